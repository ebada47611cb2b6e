package peer

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/crashlog"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/coordination/statesync"
	"github.com/hibiscuslever/hibiscuslever/coordination/succession"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

// errNotRunning is returned if the local host does not run the component that would answer the call.
var errNotRunning = connect.NewError(connect.CodeUnimplemented, errors.New("the host does not run this component"))

// errInvalidGrant is returned for a message with an incomplete grant.
var errInvalidGrant = connect.NewError(connect.CodeInvalidArgument, errors.New("the grant has no attempt, engine or address"))

// Dispatchers returns the live hosts in order of preference as dispatcher of a service, as succession.Order defines it.
// The caller must not change the slice.
func (cl *Client) Dispatchers(service id.Service) []id.Host {
	liveMembers := cl.members.Live()
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cached := cl.dispatcherOrders[service]
	// Live returns the same slice until the membership changes, so it is enough to compare the lengths and the
	// addresses of the first elements.
	if len(liveMembers) > 0 && len(cached.liveMembers) == len(liveMembers) && &cached.liveMembers[0] == &liveMembers[0] {
		return cached.dispatchers
	}
	dispatchers := succession.Order(service, liveMembers)
	cl.dispatcherOrders[service] = dispatcherOrder{liveMembers: liveMembers, dispatchers: dispatchers}
	return dispatchers
}

// LeadsService reports whether the local host is the first dispatcher of a service.
func (cl *Client) LeadsService(service id.Service) bool {
	dispatchers := cl.Dispatchers(service)
	return len(dispatchers) > 0 && dispatchers[0] == cl.self.Host
}

// StartedLate reports whether the local host started so late after the other live hosts that it is ordered behind them as
// a dispatcher.
func (cl *Client) StartedLate() bool { return succession.StartedLate(cl.self.Host, cl.members.Live()) }

// Peers returns the remote hosts that are not dead, with their availability zones and processor shares.
func (cl *Client) Peers() []statesync.Peer {
	var peers []statesync.Peer
	for _, member := range cl.members.RemoteMembers() {
		if member.Status != membership.Dead {
			peers = append(peers, statesync.Peer{Host: member.Host, AvailabilityZone: member.AvailabilityZone, ProcessorShare: member.ProcessorShare})
		}
	}
	return peers
}

// Isolated reports whether no other host has been in contact for some time.
func (cl *Client) Isolated() bool { return cl.members.Isolated() }

// RequestGrant requests a grant from the dispatcher on a host.
func (cl *Client) RequestGrant(ctx context.Context, host id.Host, request broker.GrantRequest) (broker.GrantResponse, error) {
	if host == cl.self.Host {
		return cl.local.BrokerServer.RequestGrant(request)
	}
	message := &peer.PlaceRequest{Request: encodeBrokerGrantRequest(request, cl.clock.Now()), Host: string(request.Host)}
	response, err := call(ctx, cl, host, message, rpcMethod(peerconnect.PeerClient.Place))
	if err != nil {
		return broker.GrantResponse{}, err
	}
	return decodeBrokerGrantResponse(response)
}

// DeliverResponse passes the response to a queued request to its entry host. It returns true if the entry host still
// waited for the response.
func (cl *Client) DeliverResponse(ctx context.Context, host id.Host, request id.Request, response broker.GrantResponse) (bool, error) {
	if host == cl.self.Host {
		return cl.local.BrokerClient.DeliverResponse(request, response), nil
	}
	message, err := call(ctx, cl, host, &peer.GiveRequest{Request: string(request), Answer: encodeBrokerGrantResponse(response)}, rpcMethod(peerconnect.PeerClient.Give))
	if err != nil {
		return false, err
	}
	return message.GetAccepted(), nil
}

// SendReport sends held grants, started attempts, ended grants and evidence about crashes to the dispatchers on a host.
func (cl *Client) SendReport(ctx context.Context, host id.Host, report broker.Report) error {
	if host == cl.self.Host {
		return cl.local.BrokerServer.HandleReport(report)
	}
	now := cl.clock.Now()
	message := &peer.ProgressRequest{Host: string(report.Host)}
	message.Held = encodeHeldGrants(report.HeldGrants, now)
	for _, started := range report.StartedAttempts {
		message.Started = append(message.Started, &peer.StartedPlace{Service: string(started.Service), Attempt: string(started.Attempt)})
	}
	for _, ended := range report.EndedGrants {
		message.Ended = append(message.Ended, &peer.EndedPlace{
			Service:   string(ended.Service),
			Request:   string(ended.Request),
			Attempt:   string(ended.Attempt),
			Withdrawn: ended.Withdrawn,
			Failed:    string(ended.FailedEngine),
			Fault:     int32(ended.Fault),

			RetryAfterMicros: ended.RetryAfter.Microseconds(),
		})
	}
	message.Evidence = encodeFacts(report.Evidence, crashlog.ToFact)
	_, err := call(ctx, cl, host, message, rpcMethod(peerconnect.PeerClient.Progress))
	return err
}

// Place requests a grant from the local dispatcher on behalf of another host.
func (sv *Server) Place(_ context.Context, message *connect.Request[peer.PlaceRequest]) (*connect.Response[peer.PlaceResponse], error) {
	if sv.local.BrokerServer == nil {
		return nil, errNotRunning
	}
	request := decodeBrokerGrantRequest(message.Msg.GetRequest(), sv.clock.Now())
	request.Host = id.Host(message.Msg.GetHost())
	response, err := sv.local.BrokerServer.RequestGrant(request)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(encodeBrokerGrantResponse(response)), nil
}

// Give accepts the response to a request of the local host that was queued at another host's dispatcher.
func (sv *Server) Give(_ context.Context, request *connect.Request[peer.GiveRequest]) (*connect.Response[peer.GiveResponse], error) {
	if sv.local.BrokerClient == nil {
		return nil, errNotRunning
	}
	response, err := decodeBrokerGrantResponse(request.Msg.GetAnswer())
	if err != nil {
		return nil, err
	}
	accepted := sv.local.BrokerClient.DeliverResponse(id.Request(request.Msg.GetRequest()), response)
	return connect.NewResponse(&peer.GiveResponse{Accepted: accepted}), nil
}

// encodeBrokerGrantResponse returns the wire form of a response: a grant, a refusal, or neither for a queued request.
func encodeBrokerGrantResponse(response broker.GrantResponse) *peer.PlaceResponse {
	message := &peer.PlaceResponse{}
	switch {
	case response.Grant != nil:
		message.Place = encodeBrokerGrant(*response.Grant)
	case response.Refusal != nil:
		message.Refused = true
		message.Reason = string(response.Refusal.Reason)
		message.Detail = response.Refusal.Detail
		message.RetryAfterMillis = response.Refusal.RetryAfter.Milliseconds()
	}
	return message
}

// decodeBrokerGrantResponse is the reverse of encodeBrokerGrantResponse. An incomplete grant is an error.
func decodeBrokerGrantResponse(message *peer.PlaceResponse) (broker.GrantResponse, error) {
	switch {
	case message.GetRefused():
		refusal := decodeRefusal(message.GetReason(), message.GetDetail(), message.GetRetryAfterMillis())
		return broker.GrantResponse{Refusal: &refusal}, nil
	case message.GetPlace() != nil:
		grant, err := decodeBrokerGrant(message.GetPlace())
		if err != nil {
			return broker.GrantResponse{}, err
		}
		return broker.GrantResponse{Grant: &grant}, nil
	default:
		return broker.GrantResponse{}, nil
	}
}

// Progress passes the report of another host to the local dispatcher. If a held grant is incomplete, the whole report
// is rejected.
func (sv *Server) Progress(_ context.Context, request *connect.Request[peer.ProgressRequest]) (*connect.Response[peer.ProgressResponse], error) {
	if sv.local.BrokerServer == nil {
		return nil, errNotRunning
	}
	now := sv.clock.Now()
	report := broker.Report{Host: id.Host(request.Msg.GetHost())}
	heldGrants, err := decodeHeldGrants(request.Msg.GetHeld(), now)
	if err != nil {
		return nil, err
	}
	report.HeldGrants = heldGrants
	for _, started := range request.Msg.GetStarted() {
		report.StartedAttempts = append(report.StartedAttempts, broker.StartedAttempt{Service: id.Service(started.GetService()), Attempt: id.Attempt(started.GetAttempt())})
	}
	for _, ended := range request.Msg.GetEnded() {
		report.EndedGrants = append(report.EndedGrants, broker.EndedGrant{
			Service:      id.Service(ended.GetService()),
			Request:      id.Request(ended.GetRequest()),
			Attempt:      id.Attempt(ended.GetAttempt()),
			Withdrawn:    ended.GetWithdrawn(),
			FailedEngine: id.Engine(ended.GetFailed()),
			Fault:        batch.Fault(ended.GetFault()),
			RetryAfter:   durationFromMicros(ended.GetRetryAfterMicros()),
		})
	}
	report.Evidence = decodeEvidence(request.Msg.GetEvidence())
	if err := sv.local.BrokerServer.HandleReport(report); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.ProgressResponse{}), nil
}

// encodeFacts returns the wire form of items that hosts exchange as facts.
func encodeFacts[T any](items []T, toFact func(T) membership.Fact) []*peer.Fact {
	var facts []*peer.Fact
	for _, item := range items {
		facts = append(facts, encodeFact(toFact(item)))
	}
	return facts
}

func decodeEvidence(facts []*peer.Fact) []quarantine.Evidence {
	var evidence []quarantine.Evidence
	for _, fact := range facts {
		evidence = append(evidence, crashlog.FromFact(decodeFact(fact)))
	}
	return evidence
}

func encodePromptParts(parts []id.PromptPart) []uint64 {
	var hashes []uint64
	for _, part := range parts {
		hashes = append(hashes, uint64(part))
	}
	return hashes
}

func decodePromptParts(hashes []uint64) []id.PromptPart {
	var parts []id.PromptPart
	for _, hash := range hashes {
		parts = append(parts, id.PromptPart(hash))
	}
	return parts
}

// encodeBrokerGrantRequest returns the wire form of a request without its host. Points in time are encoded relative to
// now, because the clocks of hosts may differ.
func encodeBrokerGrantRequest(request broker.GrantRequest, now time.Time) *peer.PlacedRequest {
	message := &peer.PlacedRequest{
		Request:        string(request.ID),
		Service:        string(request.Service),
		Organisation:   string(request.Organisation),
		PromptTokens:   int64(request.PromptTokens),
		AnswerTokens:   int64(request.MaxAnswerTokens),
		TargetMicros:   request.FirstEventTarget.Microseconds(),
		MaxPauseMicros: request.MaxPause.Microseconds(),
		PatienceMicros: request.WaitLimit.Microseconds(),
		AgeMicros:      now.Sub(request.ArrivedAt).Microseconds(),
		Rank:           int32(request.Priority),
		Number:         int32(request.AttemptNumber),
		Fingerprint:    uint64(request.ContentFingerprint),
		Alone:          request.RunAlone,
	}
	for _, name := range request.AvoidedEngines {
		message.Avoid = append(message.Avoid, string(name))
	}
	message.Parts = encodePromptParts(request.PromptParts)
	message.Evidence = encodeFacts(request.Evidence, crashlog.ToFact)
	message.Limits = encodeFacts(request.RequestLimits, requestlimit.ToFact)
	for name, until := range request.BackoffUntil {
		message.Banned = append(message.Banned, &peer.BannedEngine{Engine: string(name), ForMicros: until.Sub(now).Microseconds()})
	}
	return message
}

// decodeBrokerGrantRequest is the reverse of encodeBrokerGrantRequest. It limits durations and token counts to valid
// ranges.
func decodeBrokerGrantRequest(message *peer.PlacedRequest, now time.Time) broker.GrantRequest {
	request := broker.GrantRequest{
		Request: batch.Request{
			ID:                 id.Request(message.GetRequest()),
			Organisation:       id.Organisation(message.GetOrganisation()),
			PromptTokens:       clampTokens(message.GetPromptTokens()),
			MaxAnswerTokens:    clampTokens(message.GetAnswerTokens()),
			FirstEventTarget:   durationFromMicros(message.GetTargetMicros()),
			MaxPause:           durationFromMicros(message.GetMaxPauseMicros()),
			WaitLimit:          durationFromMicros(message.GetPatienceMicros()),
			ArrivedAt:          now.Add(-durationFromMicros(message.GetAgeMicros())),
			Priority:           int(message.GetRank()),
			AttemptNumber:      int(message.GetNumber()),
			ContentFingerprint: id.Fingerprint(message.GetFingerprint()),
			RunAlone:           message.GetAlone(),
			PromptParts:        decodePromptParts(message.GetParts()),
		},
		Evidence:      decodeEvidence(message.GetEvidence()),
		Service:       id.Service(message.GetService()),
		RequestLimits: decodeStatements(message.GetLimits()),
	}
	for _, name := range message.GetAvoid() {
		request.AvoidedEngines = append(request.AvoidedEngines, id.Engine(name))
	}
	for _, ban := range message.GetBanned() {
		if request.BackoffUntil == nil {
			request.BackoffUntil = map[id.Engine]time.Time{}
		}
		request.BackoffUntil[id.Engine(ban.GetEngine())] = now.Add(durationFromMicros(ban.GetForMicros()))
	}
	return request
}

func encodeBrokerGrant(grant batch.Grant) *peer.Place {
	message := &peer.Place{Attempt: string(grant.Attempt), Urgency: int32(grant.Urgency), StartMicros: grant.PredictedFirstEvent.Microseconds(), SuspectParts: encodePromptParts(grant.SuspectParts)}
	for _, part := range grant.Parts {
		message.Parts = append(message.Parts, &peer.PlacePart{
			Engine:  string(part.Engine),
			Address: part.Address,
			Ticket:  part.Ticket,
			Tokens:  int64(part.MemoryTokens),
		})
	}
	return message
}

// maxDurationMicros limits the durations in messages, so that calculations with them don't overflow.
const maxDurationMicros = int64(24 * time.Hour / time.Microsecond)

// durationFromMicros converts a duration of a message and limits it to the range from 0 to maxDurationMicros.
func durationFromMicros(value int64) time.Duration {
	return time.Duration(min(max(value, 0), maxDurationMicros)) * time.Microsecond
}

// clampTokens limits a token count of a message to the range from 0 to id.MaxTokens.
func clampTokens(count int64) id.Tokens { return min(max(id.Tokens(count), 0), id.MaxTokens) }

// decodeBrokerGrant returns the grant of a message. It returns errInvalidGrant if the grant has no attempt or no parts,
// or if a part has no engine or no address.
func decodeBrokerGrant(message *peer.Place) (batch.Grant, error) {
	grant := batch.Grant{
		Attempt:             id.Attempt(message.GetAttempt()),
		Urgency:             int(message.GetUrgency()),
		PredictedFirstEvent: durationFromMicros(message.GetStartMicros()),
		SuspectParts:        decodePromptParts(message.GetSuspectParts()),
	}
	if grant.Attempt == "" || len(message.GetParts()) == 0 {
		return batch.Grant{}, errInvalidGrant
	}
	for _, part := range message.GetParts() {
		if part.GetEngine() == "" || part.GetAddress() == "" {
			return batch.Grant{}, errInvalidGrant
		}
		grant.Parts = append(grant.Parts, batch.Part{
			Engine:       id.Engine(part.GetEngine()),
			Address:      part.GetAddress(),
			Ticket:       part.GetTicket(),
			MemoryTokens: clampTokens(part.GetTokens()),
		})
	}
	return grant, nil
}
