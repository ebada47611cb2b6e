package peer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/conviction"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/news"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// errNoPart says that this host does not run the part that was asked for.
var errNoPart = connect.NewError(connect.CodeUnimplemented, errors.New("the host does not run this part"))

// errMalformed says that a message can't be used.
var errMalformed = connect.NewError(connect.CodeInvalidArgument, errors.New("the message names no place on an engine"))

// Dispatchers returns the live hosts in the order in which they dispatch for a service: those with the largest share
// of a processor first, since one of them serves all hosts, and among equals by the hash of the service.
func (cl *Client) Dispatchers(service id.Service) []id.Host {
	live := cl.members.Live()
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	known := cl.orders[service]
	// The members' list is the same until it changes, so that comparing its place is enough.
	if len(live) > 0 && len(known.live) == len(live) && &known.live[0] == &live[0] {
		return known.hosts
	}
	ordered := orderDispatchers(service, live)
	cl.orders[service] = dispatcherOrder{live: live, hosts: ordered}
	return ordered
}

func orderDispatchers(service id.Service, live []membership.Member) []id.Host {
	shares := make(map[id.Host]uint32, len(live))
	hosts := make([]id.Host, len(live))
	for ix, mb := range live {
		hosts[ix] = mb.Host
		shares[mb.Host] = mb.ProcessorShare
	}
	ordered := id.RendezvousOrder("Service/"+string(service), hosts)
	slices.SortStableFunc(ordered, func(left, right id.Host) int { return cmp.Compare(shares[right], shares[left]) })
	return ordered
}

// Peers describes the other hosts that are not dead.
func (cl *Client) Peers() []news.Peer {
	var peers []news.Peer
	for _, mb := range cl.members.RemoteMembers() {
		if mb.Status != membership.Dead {
			peers = append(peers, news.Peer{Host: mb.Host, AvailabilityZone: mb.AvailabilityZone, ProcessorShare: mb.ProcessorShare})
		}
	}
	return peers
}

// Isolated reports whether no other host has answered for some time.
func (cl *Client) Isolated() bool { return cl.members.Isolated() }

// RequestGrant asks a host's dispatcher for a place.
func (cl *Client) RequestGrant(ctx context.Context, host id.Host, ask broker.GrantRequest) (broker.GrantResponse, error) {
	if host == cl.self.Host {
		return cl.local.BrokerServer.RequestGrant(ask)
	}
	rq := &peer.PlaceRequest{Request: encodePlaced(ask, cl.clock.Now()), Host: string(ask.Host)}
	ms, err := call(ctx, cl, host, rq, method(peerconnect.PeerClient.Place))
	if err != nil {
		return broker.GrantResponse{}, err
	}
	return decodePlaceAnswer(ms)
}

// DeliverResponse passes an answer to the entry host that waits for it and reports whether it does.
func (cl *Client) DeliverResponse(ctx context.Context, host id.Host, rq id.Request, answer broker.GrantResponse) (bool, error) {
	if host == cl.self.Host {
		return cl.local.BrokerClient.DeliverResponse(rq, answer), nil
	}
	ms, err := call(ctx, cl, host, &peer.GiveRequest{Request: string(rq), Answer: encodePlaceAnswer(answer)}, method(peerconnect.PeerClient.Give))
	if err != nil {
		return false, err
	}
	return ms.GetAccepted(), nil
}

// SendReport tells a host's dispatchers what became of grants.
func (cl *Client) SendReport(ctx context.Context, host id.Host, rp broker.Report) error {
	if host == cl.self.Host {
		cl.local.BrokerServer.HandleReport(rp)
		return nil
	}
	now := cl.clock.Now()
	rq := &peer.ProgressRequest{Host: string(rp.Host)}
	for _, hd := range rp.HeldGrants {
		rq.Held = append(rq.Held, &peer.HeldPlace{Request: encodePlaced(hd.GrantRequest, now), Place: encodePlace(hd.Grant), Started: hd.Started})
	}
	for _, st := range rp.StartedAttempts {
		rq.Started = append(rq.Started, &peer.StartedPlace{Service: string(st.Service), Attempt: string(st.Attempt)})
	}
	for _, en := range rp.EndedGrants {
		rq.Ended = append(rq.Ended, &peer.EndedPlace{
			Service:   string(en.Service),
			Request:   string(en.Request),
			Attempt:   string(en.Attempt),
			Withdrawn: en.Withdrawn,
			Failed:    string(en.FailedEngine),
			Fault:     int32(en.Fault),

			RetryAfterMicros: en.RetryAfter.Microseconds(),
		})
	}
	for _, ev := range rp.Evidence {
		rq.Evidence = append(rq.Evidence, encodeFact(conviction.ToFact(ev)))
	}
	_, err := call(ctx, cl, host, rq, method(peerconnect.PeerClient.Progress))
	return err
}

// Place asks the own dispatcher for a place.
func (sv *Server) Place(_ context.Context, rq *connect.Request[peer.PlaceRequest]) (*connect.Response[peer.PlaceResponse], error) {
	if sv.local.BrokerServer == nil {
		return nil, errNoPart
	}
	ask := decodePlaced(rq.Msg.GetRequest(), sv.clock.Now())
	ask.Host = id.Host(rq.Msg.GetHost())
	answer, err := sv.local.BrokerServer.RequestGrant(ask)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(encodePlaceAnswer(answer)), nil
}

// Give takes the answer to a request of the own host that waited.
func (sv *Server) Give(_ context.Context, rq *connect.Request[peer.GiveRequest]) (*connect.Response[peer.GiveResponse], error) {
	if sv.local.BrokerClient == nil {
		return nil, errNoPart
	}
	answer, err := decodePlaceAnswer(rq.Msg.GetAnswer())
	if err != nil {
		return nil, err
	}
	accepted := sv.local.BrokerClient.DeliverResponse(id.Request(rq.Msg.GetRequest()), answer)
	return connect.NewResponse(&peer.GiveResponse{Accepted: accepted}), nil
}

func encodePlaceAnswer(answer broker.GrantResponse) *peer.PlaceResponse {
	ms := &peer.PlaceResponse{}
	switch {
	case answer.Grant != nil:
		ms.Place = encodePlace(*answer.Grant)
	case answer.Refusal != nil:
		ms.Refused = true
		ms.Reason = string(answer.Refusal.Reason)
		ms.Detail = answer.Refusal.Detail
		ms.RetryAfterMillis = answer.Refusal.RetryAfter.Milliseconds()
	}
	return ms
}

func decodePlaceAnswer(ms *peer.PlaceResponse) (broker.GrantResponse, error) {
	switch {
	case ms.GetRefused():
		oc := decodeRefusal(ms.GetReason(), ms.GetDetail(), ms.GetRetryAfterMillis())
		return broker.GrantResponse{Refusal: &oc}, nil
	case ms.GetPlace() != nil:
		grant, err := decodePlace(ms.GetPlace())
		if err != nil {
			return broker.GrantResponse{}, err
		}
		return broker.GrantResponse{Grant: &grant}, nil
	default:
		return broker.GrantResponse{}, nil
	}
}

// Progress takes another host's report.
func (sv *Server) Progress(_ context.Context, rq *connect.Request[peer.ProgressRequest]) (*connect.Response[peer.ProgressResponse], error) {
	if sv.local.BrokerServer == nil {
		return nil, errNoPart
	}
	now := sv.clock.Now()
	rp := broker.Report{Host: id.Host(rq.Msg.GetHost())}
	for _, hd := range rq.Msg.GetHeld() {
		grant, err := decodePlace(hd.GetPlace())
		if err != nil {
			return nil, err
		}
		rp.HeldGrants = append(rp.HeldGrants, broker.HeldGrant{GrantRequest: decodePlaced(hd.GetRequest(), now), Grant: grant, Started: hd.GetStarted()})
	}
	for _, st := range rq.Msg.GetStarted() {
		rp.StartedAttempts = append(rp.StartedAttempts, broker.StartedAttempt{Service: id.Service(st.GetService()), Attempt: id.Attempt(st.GetAttempt())})
	}
	for _, en := range rq.Msg.GetEnded() {
		rp.EndedGrants = append(rp.EndedGrants, broker.EndedGrant{
			Service:      id.Service(en.GetService()),
			Request:      id.Request(en.GetRequest()),
			Attempt:      id.Attempt(en.GetAttempt()),
			Withdrawn:    en.GetWithdrawn(),
			FailedEngine: id.Engine(en.GetFailed()),
			Fault:        batch.Fault(en.GetFault()),
			RetryAfter:   micros(en.GetRetryAfterMicros()),
		})
	}
	for _, ms := range rq.Msg.GetEvidence() {
		rp.Evidence = append(rp.Evidence, conviction.FromFact(decodeFact(ms)))
	}
	sv.local.BrokerServer.HandleReport(rp)
	return connect.NewResponse(&peer.ProgressResponse{}), nil
}

func encodePlaced(ask broker.GrantRequest, now time.Time) *peer.PlacedRequest {
	ms := &peer.PlacedRequest{
		Request:        string(ask.ID),
		Service:        string(ask.Service),
		Organisation:   string(ask.Organisation),
		PromptTokens:   int64(ask.PromptTokens),
		AnswerTokens:   int64(ask.MaxAnswerTokens),
		TargetMicros:   ask.FirstEventTarget.Microseconds(),
		MaxPauseMicros: ask.MaxPause.Microseconds(),
		PatienceMicros: ask.WaitLimit.Microseconds(),
		AgeMicros:      now.Sub(ask.ArrivedAt).Microseconds(),
		Rank:           int32(ask.Priority),
		Number:         int32(ask.AttemptNumber),
		Fingerprint:    uint64(ask.ContentFingerprint),
		Alone:          ask.RunAlone,
	}
	for _, name := range ask.AvoidedEngines {
		ms.Avoid = append(ms.Avoid, string(name))
	}
	for name, until := range ask.BackoffUntil {
		ms.Banned = append(ms.Banned, &peer.BannedEngine{Engine: string(name), ForMicros: until.Sub(now).Microseconds()})
	}
	return ms
}

func decodePlaced(ms *peer.PlacedRequest, now time.Time) broker.GrantRequest {
	ask := broker.GrantRequest{
		Request: batch.Request{
			ID:                 id.Request(ms.GetRequest()),
			Organisation:       id.Organisation(ms.GetOrganisation()),
			PromptTokens:       tokens(ms.GetPromptTokens()),
			MaxAnswerTokens:    tokens(ms.GetAnswerTokens()),
			FirstEventTarget:   micros(ms.GetTargetMicros()),
			MaxPause:           micros(ms.GetMaxPauseMicros()),
			WaitLimit:          micros(ms.GetPatienceMicros()),
			ArrivedAt:          now.Add(-micros(ms.GetAgeMicros())),
			Priority:           int(ms.GetRank()),
			AttemptNumber:      int(ms.GetNumber()),
			ContentFingerprint: id.Fingerprint(ms.GetFingerprint()),
			RunAlone:           ms.GetAlone(),
		},
		Service: id.Service(ms.GetService()),
	}
	for _, name := range ms.GetAvoid() {
		ask.AvoidedEngines = append(ask.AvoidedEngines, id.Engine(name))
	}
	for _, ban := range ms.GetBanned() {
		if ask.BackoffUntil == nil {
			ask.BackoffUntil = map[id.Engine]time.Time{}
		}
		ask.BackoffUntil[id.Engine(ban.GetEngine())] = now.Add(micros(ban.GetForMicros()))
	}
	return ask
}

func encodePlace(grant batch.Grant) *peer.Place {
	ms := &peer.Place{Attempt: string(grant.Attempt), Urgency: int32(grant.Urgency), StartMicros: grant.PredictedFirstEvent.Microseconds()}
	for _, part := range grant.Parts {
		ms.Parts = append(ms.Parts, &peer.PlacePart{
			Engine:  string(part.Engine),
			Address: part.Address,
			Ticket:  part.Ticket,
			Tokens:  int64(part.MemoryTokens),
		})
	}
	return ms
}

// maxMicros bounds the times of messages, so that none overflows.
const maxMicros = int64(24 * time.Hour / time.Microsecond)

// micros returns a time of a message; one that is beyond the bounds counts as the nearest that is within.
func micros(value int64) time.Duration {
	return time.Duration(min(max(value, 0), maxMicros)) * time.Microsecond
}

// tokens returns a count of tokens of a message within the bounds of such counts.
func tokens(count int64) id.Tokens { return min(max(id.Tokens(count), 0), id.MaxTokens) }

// decodePlace reads a place. One without parts, or with a part that names no engine, is an error.
func decodePlace(ms *peer.Place) (batch.Grant, error) {
	grant := batch.Grant{
		Attempt:             id.Attempt(ms.GetAttempt()),
		Urgency:             int(ms.GetUrgency()),
		PredictedFirstEvent: micros(ms.GetStartMicros()),
	}
	if grant.Attempt == "" || len(ms.GetParts()) == 0 {
		return batch.Grant{}, errMalformed
	}
	for _, part := range ms.GetParts() {
		if part.GetEngine() == "" || part.GetAddress() == "" {
			return batch.Grant{}, errMalformed
		}
		grant.Parts = append(grant.Parts, batch.Part{
			Engine:       id.Engine(part.GetEngine()),
			Address:      part.GetAddress(),
			Ticket:       part.GetTicket(),
			MemoryTokens: tokens(part.GetTokens()),
		})
	}
	return grant, nil
}
