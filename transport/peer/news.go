package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/hibiscuslever/hibiscuslever/coordination/news"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// SendUpdate passes an update to a host.
func (cl *Client) SendUpdate(ctx context.Context, host id.Host, up news.Update) error {
	rq := &peer.TellRequest{
		Host:    string(up.Sender),
		Version: int64(up.Version),
		From:    int64(up.From),
		Next:    int64(up.Next),
		Records: encodeRecords(up.Records),
		Table:   up.CompressedTable,
		Relay:   up.Relay,

		AgeMillis: up.ListAge.Milliseconds(),
	}
	_, err := call(ctx, cl, host, rq, method(peerconnect.PeerClient.Tell))
	return err
}

// RequestSync asks a host for what it knows beyond a version and an offset.
func (cl *Client) RequestSync(ctx context.Context, host id.Host, version route.Version, next id.Offset) (news.SyncResponse, error) {
	ms, err := call(ctx, cl, host, &peer.CopyRequest{Version: int64(version), Next: int64(next)}, method(peerconnect.PeerClient.Copy))
	if err != nil {
		return news.SyncResponse{}, err
	}
	return decodeCopy(ms), nil
}

// RequestSyncAt asks the host at an address for everything that it knows.
func (cl *Client) RequestSyncAt(ctx context.Context, address string) (news.SyncResponse, error) {
	answer, err := cl.at(address).Copy(ctx, connect.NewRequest(&peer.CopyRequest{Version: -1, Next: int64(id.NoOffset)}))
	if err != nil {
		return news.SyncResponse{}, err
	}
	return decodeCopy(answer.Msg), nil
}

// Tell takes an update of another host.
func (sv *Server) Tell(_ context.Context, rq *connect.Request[peer.TellRequest]) (*connect.Response[peer.TellResponse], error) {
	if sv.local.UpdateFollower == nil {
		return nil, errNoPart
	}
	sv.local.UpdateFollower.HandleUpdate(news.Update{
		Sender:          id.Host(rq.Msg.GetHost()),
		Version:         route.Version(rq.Msg.GetVersion()),
		From:            id.Offset(rq.Msg.GetFrom()),
		Next:            id.Offset(rq.Msg.GetNext()),
		Records:         decodeRecords(rq.Msg.GetRecords()),
		CompressedTable: rq.Msg.GetTable(),
		Relay:           rq.Msg.GetRelay(),
		ListAge:         millis(rq.Msg.GetAgeMillis()),
	})
	return connect.NewResponse(&peer.TellResponse{}), nil
}

// Copy returns what the own host knows.
func (sv *Server) Copy(_ context.Context, rq *connect.Request[peer.CopyRequest]) (*connect.Response[peer.CopyResponse], error) {
	if sv.local.UpdateFollower == nil {
		return nil, errNoPart
	}
	cp := sv.local.UpdateFollower.BuildSyncResponse(route.Version(rq.Msg.GetVersion()), id.Offset(rq.Msg.GetNext()))
	return connect.NewResponse(&peer.CopyResponse{
		Version: int64(cp.Version),
		Table:   cp.CompressedTable,
		Next:    int64(cp.Next),
		Records: encodeRecords(cp.Records),
		From:    int64(cp.From),
		Whole:   cp.FullList,

		AgeMillis: cp.ListAge.Milliseconds(),
	}), nil
}

func decodeCopy(ms *peer.CopyResponse) news.SyncResponse {
	return news.SyncResponse{
		Version:         route.Version(ms.GetVersion()),
		CompressedTable: ms.GetTable(),
		Next:            id.Offset(ms.GetNext()),
		Records:         decodeRecords(ms.GetRecords()),
		From:            id.Offset(ms.GetFrom()),
		FullList:        ms.GetWhole(),
		ListAge:         millis(ms.GetAgeMillis()),
	}
}

// millis returns a time of a message in milliseconds.
func millis(value int64) time.Duration {
	const most = int64(time.Hour / time.Millisecond)
	return time.Duration(min(max(value, 0), most)) * time.Millisecond
}

func encodeRecords(records []roster.Record) []*peer.ServerRecord {
	encoded := make([]*peer.ServerRecord, 0, len(records))
	for _, rc := range records {
		encoded = append(encoded, &peer.ServerRecord{Id: string(rc.ID), Offset: int64(rc.Offset), Dropped: rc.Dropped, Lapsed: rc.DroppedInOutage, Body: rc.Body})
	}
	return encoded
}

// decodeRecords leaves the entries undecoded; only the platform's adapter reads them.
func decodeRecords(encoded []*peer.ServerRecord) []roster.Record {
	var records []roster.Record
	for _, ms := range encoded {
		records = append(records, roster.Record{ID: id.BackendServer(ms.GetId()), Offset: id.Offset(ms.GetOffset()), Dropped: ms.GetDropped(), DroppedInOutage: ms.GetLapsed(), Body: ms.GetBody()})
	}
	return records
}
