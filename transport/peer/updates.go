package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/hibiscuslever/hibiscuslever/coordination/statesync"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/evacuation"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// SendUpdate sends an update of the desired state or of the list of backend servers to a host.
func (cl *Client) SendUpdate(ctx context.Context, host id.Host, update statesync.Update) error {
	message := &peer.TellRequest{
		Host:    string(update.Sender),
		Version: int64(update.Version),
		From:    int64(update.From),
		Next:    int64(update.Next),
		Records: encodeServerRecords(update.Records),
		Table:   update.CompressedTable,
		Relay:   update.Relay,

		AgeMillis:   update.ListAge.Milliseconds(),
		Evacuations: encodeEvacuations(update.Evacuations),
	}
	_, err := call(ctx, cl, host, message, rpcMethod(peerconnect.PeerClient.Tell))
	return err
}

// RequestSync requests from a host the desired state, if it is newer than a version, and the changes of the list of
// backend servers from an offset on.
func (cl *Client) RequestSync(ctx context.Context, host id.Host, version route.Version, next id.Offset) (statesync.SyncResponse, error) {
	response, err := call(ctx, cl, host, &peer.CopyRequest{Version: int64(version), Next: int64(next)}, rpcMethod(peerconnect.PeerClient.Copy))
	if err != nil {
		return statesync.SyncResponse{}, err
	}
	return decodeSyncResponse(response), nil
}

// RequestSyncAt requests the whole desired state and list of backend servers from the host at an address. Its name and
// membership need not be known.
func (cl *Client) RequestSyncAt(ctx context.Context, address string) (statesync.SyncResponse, error) {
	response, err := cl.clientAt(address).Copy(ctx, connect.NewRequest(&peer.CopyRequest{Version: -1, Next: int64(id.NoOffset)}))
	if err != nil {
		return statesync.SyncResponse{}, err
	}
	return decodeSyncResponse(response.Msg), nil
}

// Tell passes an update from another host to the local follower.
func (sv *Server) Tell(_ context.Context, request *connect.Request[peer.TellRequest]) (*connect.Response[peer.TellResponse], error) {
	if sv.local.UpdateFollower == nil {
		return nil, errNotRunning
	}
	sv.local.UpdateFollower.HandleUpdate(statesync.Update{
		Sender:          id.Host(request.Msg.GetHost()),
		Version:         route.Version(request.Msg.GetVersion()),
		From:            id.Offset(request.Msg.GetFrom()),
		Next:            id.Offset(request.Msg.GetNext()),
		Records:         decodeServerRecords(request.Msg.GetRecords()),
		CompressedTable: request.Msg.GetTable(),
		Relay:           request.Msg.GetRelay(),
		ListAge:         durationFromMillis(request.Msg.GetAgeMillis()),
		Evacuations:     decodeEvacuations(request.Msg.GetEvacuations()),
	})
	return connect.NewResponse(&peer.TellResponse{}), nil
}

// Copy returns the local desired state and list of backend servers, as far as they are newer than what the caller has.
func (sv *Server) Copy(_ context.Context, request *connect.Request[peer.CopyRequest]) (*connect.Response[peer.CopyResponse], error) {
	if sv.local.UpdateFollower == nil {
		return nil, errNotRunning
	}
	response := sv.local.UpdateFollower.BuildSyncResponse(route.Version(request.Msg.GetVersion()), id.Offset(request.Msg.GetNext()))
	return connect.NewResponse(&peer.CopyResponse{
		Version: int64(response.Version),
		Table:   response.CompressedTable,
		Next:    int64(response.Next),
		Records: encodeServerRecords(response.Records),
		From:    int64(response.From),
		Whole:   response.FullList,

		AgeMillis:   response.ListAge.Milliseconds(),
		Evacuations: encodeEvacuations(response.Evacuations),
	}), nil
}

func decodeSyncResponse(message *peer.CopyResponse) statesync.SyncResponse {
	return statesync.SyncResponse{
		Version:         route.Version(message.GetVersion()),
		CompressedTable: message.GetTable(),
		Next:            id.Offset(message.GetNext()),
		Records:         decodeServerRecords(message.GetRecords()),
		From:            id.Offset(message.GetFrom()),
		FullList:        message.GetWhole(),
		ListAge:         durationFromMillis(message.GetAgeMillis()),
		Evacuations:     decodeEvacuations(message.GetEvacuations()),
	}
}

func encodeEvacuations(state *evacuation.State) *peer.Evacuations {
	if state == nil {
		return nil
	}
	encoded := &peer.Evacuations{Quiet: int64(state.UnchangedSince), Next: int64(state.NextOffset)}
	for _, record := range state.Zones {
		encoded.Zones = append(encoded.Zones, &peer.Evacuation{Zone: string(record.Zone), Offset: int64(record.Offset)})
	}
	return encoded
}

// decodeEvacuations returns the copy in a message, or nil if the message has none.
func decodeEvacuations(encoded *peer.Evacuations) *evacuation.State {
	if encoded == nil {
		return nil
	}
	state := &evacuation.State{UnchangedSince: id.Offset(encoded.GetQuiet()), NextOffset: id.Offset(encoded.GetNext())}
	for _, message := range encoded.GetZones() {
		state.Zones = append(state.Zones, evacuation.Record{Zone: id.AvailabilityZone(message.GetZone()), Offset: id.Offset(message.GetOffset())})
	}
	return state
}

// durationFromMillis converts a duration of a message and limits it to the range from 0 to 1 h.
func durationFromMillis(value int64) time.Duration {
	const maxMillis = int64(time.Hour / time.Millisecond)
	return time.Duration(min(max(value, 0), maxMillis)) * time.Millisecond
}

func encodeServerRecords(records []serverlist.Record) []*peer.ServerRecord {
	encoded := make([]*peer.ServerRecord, 0, len(records))
	for _, record := range records {
		encoded = append(encoded, &peer.ServerRecord{Id: string(record.ID), Offset: int64(record.Offset), Dropped: record.Dropped, Lapsed: record.DroppedInOutage, Body: record.Body})
	}
	return encoded
}

// decodeServerRecords returns the records of a message. It leaves the bodies encoded, because only the adapter of the
// platform can decode them.
func decodeServerRecords(encoded []*peer.ServerRecord) []serverlist.Record {
	var records []serverlist.Record
	for _, message := range encoded {
		records = append(records, serverlist.Record{ID: id.BackendServer(message.GetId()), Offset: id.Offset(message.GetOffset()), Dropped: message.GetDropped(), DroppedInOutage: message.GetLapsed(), Body: message.GetBody()})
	}
	return records
}
