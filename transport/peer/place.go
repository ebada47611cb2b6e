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
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// errNoPart says that this host does not run the part that was asked for.
var errNoPart = connect.NewError(connect.CodeUnimplemented, errors.New("the host does not run this part"))

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
	ordered := id.Rendezvous("Service/"+string(service), hosts)
	slices.SortStableFunc(ordered, func(left, right id.Host) int { return cmp.Compare(shares[right], shares[left]) })
	return ordered
}

// Place asks a host's dispatcher for a place.
func (cl *Client) Place(ctx context.Context, host id.Host, ask broker.Ask) (broker.Answer, error) {
	if host == cl.self.Host {
		return cl.local.Broker.Place(ask)
	}
	rq := &peer.PlaceRequest{Request: encodePlaced(ask, cl.clock.Now()), Host: string(ask.Host)}
	ms, err := call(ctx, cl, host, rq, method(peerconnect.PeerClient.Place))
	if err != nil {
		return broker.Answer{}, err
	}
	return decodePlaceAnswer(ms), nil
}

// Give passes an answer to the entry host that waits for it and reports whether it does.
func (cl *Client) Give(ctx context.Context, host id.Host, rq id.Request, answer broker.Answer) (bool, error) {
	if host == cl.self.Host {
		return cl.local.Places.Given(rq, answer), nil
	}
	ms, err := call(ctx, cl, host, &peer.GiveRequest{Request: string(rq), Answer: encodePlaceAnswer(answer)}, method(peerconnect.PeerClient.Give))
	if err != nil {
		return false, err
	}
	return ms.GetAccepted(), nil
}

// Progress tells a host's dispatchers what became of grants.
func (cl *Client) Progress(ctx context.Context, host id.Host, rp broker.Report) error {
	if host == cl.self.Host {
		cl.local.Broker.Progress(rp)
		return nil
	}
	now := cl.clock.Now()
	rq := &peer.ProgressRequest{Host: string(rp.Host)}
	for _, hd := range rp.Held {
		rq.Held = append(rq.Held, &peer.HeldPlace{Request: encodePlaced(hd.Ask, now), Place: encodePlace(hd.Grant), Started: hd.Started})
	}
	for _, st := range rp.Started {
		rq.Started = append(rq.Started, &peer.StartedPlace{Service: string(st.Service), Attempt: string(st.Attempt)})
	}
	for _, en := range rp.Ended {
		rq.Ended = append(rq.Ended, &peer.EndedPlace{
			Service:     string(en.Service),
			Request:     string(en.Request),
			Attempt:     string(en.Attempt),
			Withdrawn:   en.Withdrawn,
			Failed:      string(en.Failed),
			Fault:       int32(en.Fault),
			Fingerprint: uint64(en.Fingerprint),
		})
	}
	_, err := call(ctx, cl, host, rq, method(peerconnect.PeerClient.Progress))
	return err
}

// Place asks the own dispatcher for a place.
func (sv *Server) Place(_ context.Context, rq *connect.Request[peer.PlaceRequest]) (*connect.Response[peer.PlaceResponse], error) {
	if sv.local.Broker == nil {
		return nil, errNoPart
	}
	ask := decodePlaced(rq.Msg.GetRequest(), sv.clock.Now())
	ask.Host = id.Host(rq.Msg.GetHost())
	answer, err := sv.local.Broker.Place(ask)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(encodePlaceAnswer(answer)), nil
}

// Give takes the answer to a request of the own host that waited.
func (sv *Server) Give(_ context.Context, rq *connect.Request[peer.GiveRequest]) (*connect.Response[peer.GiveResponse], error) {
	if sv.local.Places == nil {
		return nil, errNoPart
	}
	accepted := sv.local.Places.Given(id.Request(rq.Msg.GetRequest()), decodePlaceAnswer(rq.Msg.GetAnswer()))
	return connect.NewResponse(&peer.GiveResponse{Accepted: accepted}), nil
}

func encodePlaceAnswer(answer broker.Answer) *peer.PlaceResponse {
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

func decodePlaceAnswer(ms *peer.PlaceResponse) broker.Answer {
	switch {
	case ms.GetRefused():
		oc := decodeRefusal(ms.GetReason(), ms.GetDetail(), ms.GetRetryAfterMillis())
		return broker.Answer{Refusal: &oc}
	case ms.GetPlace() != nil:
		grant := decodePlace(ms.GetPlace())
		return broker.Answer{Grant: &grant}
	default:
		return broker.Answer{}
	}
}

// Progress takes another host's report.
func (sv *Server) Progress(_ context.Context, rq *connect.Request[peer.ProgressRequest]) (*connect.Response[peer.ProgressResponse], error) {
	if sv.local.Broker == nil {
		return nil, errNoPart
	}
	now := sv.clock.Now()
	rp := broker.Report{Host: id.Host(rq.Msg.GetHost())}
	for _, hd := range rq.Msg.GetHeld() {
		rp.Held = append(rp.Held, broker.Held{Ask: decodePlaced(hd.GetRequest(), now), Grant: decodePlace(hd.GetPlace()), Started: hd.GetStarted()})
	}
	for _, st := range rq.Msg.GetStarted() {
		rp.Started = append(rp.Started, broker.StartedAttempt{Service: id.Service(st.GetService()), Attempt: id.Attempt(st.GetAttempt())})
	}
	for _, en := range rq.Msg.GetEnded() {
		rp.Ended = append(rp.Ended, broker.Ended{
			Service:     id.Service(en.GetService()),
			Request:     id.Request(en.GetRequest()),
			Attempt:     id.Attempt(en.GetAttempt()),
			Withdrawn:   en.GetWithdrawn(),
			Failed:      id.Engine(en.GetFailed()),
			Fault:       batch.Fault(en.GetFault()),
			Fingerprint: id.Fingerprint(en.GetFingerprint()),
		})
	}
	sv.local.Broker.Progress(rp)
	return connect.NewResponse(&peer.ProgressResponse{}), nil
}

func encodePlaced(ask broker.Ask, now time.Time) *peer.PlacedRequest {
	ms := &peer.PlacedRequest{
		Request:        string(ask.ID),
		Service:        string(ask.Service),
		Organisation:   string(ask.Organisation),
		PromptTokens:   int64(ask.Prompt),
		AnswerTokens:   int64(ask.Answer),
		TargetMicros:   ask.Target.Microseconds(),
		MaxPauseMicros: ask.MaxPause.Microseconds(),
		PatienceMicros: ask.Patience.Microseconds(),
		AgeMicros:      now.Sub(ask.Arrived).Microseconds(),
		Rank:           int32(ask.Rank),
		Number:         int32(ask.Number),
		Fingerprint:    uint64(ask.Fingerprint),
	}
	for _, name := range ask.Avoid {
		ms.Avoid = append(ms.Avoid, string(name))
	}
	return ms
}

func decodePlaced(ms *peer.PlacedRequest, now time.Time) broker.Ask {
	ask := broker.Ask{
		Request: batch.Request{
			ID:           id.Request(ms.GetRequest()),
			Organisation: id.Organisation(ms.GetOrganisation()),
			Prompt:       id.Tokens(ms.GetPromptTokens()),
			Answer:       id.Tokens(ms.GetAnswerTokens()),
			Target:       time.Duration(ms.GetTargetMicros()) * time.Microsecond,
			MaxPause:     time.Duration(ms.GetMaxPauseMicros()) * time.Microsecond,
			Patience:     time.Duration(ms.GetPatienceMicros()) * time.Microsecond,
			Arrived:      now.Add(-time.Duration(ms.GetAgeMicros()) * time.Microsecond),
			Rank:         int(ms.GetRank()),
			Number:       int(ms.GetNumber()),
		},
		Service:     id.Service(ms.GetService()),
		Fingerprint: id.Fingerprint(ms.GetFingerprint()),
	}
	for _, name := range ms.GetAvoid() {
		ask.Avoid = append(ask.Avoid, id.Engine(name))
	}
	return ask
}

func encodePlace(grant batch.Grant) *peer.Place {
	ms := &peer.Place{Attempt: string(grant.Attempt), Urgency: int32(grant.Urgency), StartMicros: grant.Start.Microseconds()}
	for _, part := range grant.Parts {
		ms.Parts = append(ms.Parts, &peer.PlacePart{
			Engine:  string(part.Engine),
			Address: part.Address,
			Ticket:  part.Ticket,
			Tokens:  int64(part.Tokens),
		})
	}
	return ms
}

func decodePlace(ms *peer.Place) batch.Grant {
	grant := batch.Grant{
		Attempt: id.Attempt(ms.GetAttempt()),
		Urgency: int(ms.GetUrgency()),
		Start:   time.Duration(ms.GetStartMicros()) * time.Microsecond,
	}
	for _, part := range ms.GetParts() {
		grant.Parts = append(grant.Parts, batch.Part{
			Engine:  id.Engine(part.GetEngine()),
			Address: part.GetAddress(),
			Ticket:  part.GetTicket(),
			Tokens:  id.Tokens(part.GetTokens()),
		})
	}
	return grant
}
