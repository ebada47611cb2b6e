package peer

import (
	"math"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// encodeShardGrantRequest returns the wire form of a request. The deadline is encoded relative to now, because the
// clocks of hosts may differ.
func encodeShardGrantRequest(request shard.GrantRequest, now time.Time) *peer.AcquireRequest {
	return &peer.AcquireRequest{
		Request:         string(request.ID),
		Shard:           string(request.Shard),
		Organisation:    string(request.Organisation),
		Weight:          request.Weight,
		Model:           string(request.Model),
		PromptTokens:    int64(request.PromptTokens),
		AnswerTokens:    int64(request.MaxAnswerTokens),
		Priority:        request.Priority,
		RemainingMillis: request.Deadline.Sub(now).Milliseconds(),
		Fingerprint:     uint64(request.ContentFingerprint),
		Prefix:          request.PrefixHashes,
		Host:            string(request.Host),
		Incarnation:     int64(request.Incarnation),
		Number:          int32(request.AttemptNumber),
		Avoid:           encodeNames(request.AvoidedEngines),
		Alone:           request.RunAlone,
	}
}

// decodeShardGrantRequest is the reverse of encodeShardGrantRequest. It limits token counts, the deadline and the weight to
// valid ranges.
func decodeShardGrantRequest(message *peer.AcquireRequest, now time.Time) shard.GrantRequest {
	return shard.GrantRequest{
		Request: dispatch.Request{
			ID:              id.Request(message.GetRequest()),
			Organisation:    id.Organisation(message.GetOrganisation()),
			Weight:          clampWeight(message.GetWeight()),
			Model:           id.Model(message.GetModel()),
			PromptTokens:    clampTokens(message.GetPromptTokens()),
			MaxAnswerTokens: clampTokens(message.GetAnswerTokens()),
			Priority:        message.GetPriority(),
			Deadline:        now.Add(durationFromMicros(min(max(message.GetRemainingMillis(), 0), maxDurationMicros/microsPerMilli) * microsPerMilli)),
			AttemptNumber:   int(message.GetNumber()),
			PrefixHashes:    message.GetPrefix(),
			AvoidedEngines:  decodeNames[id.Engine](message.GetAvoid()),
			RunAlone:        message.GetAlone(),
		},
		Shard:              id.Shard(message.GetShard()),
		ContentFingerprint: id.Fingerprint(message.GetFingerprint()),
		Host:               id.Host(message.GetHost()),
		Incarnation:        id.Incarnation(message.GetIncarnation()),
	}
}

// microsPerMilli is the number of microseconds in a millisecond.
const microsPerMilli = int64(time.Millisecond / time.Microsecond)

// maxWeight bounds the weight of an organisation in a message.
const maxWeight = 1e6

// clampWeight limits a weight of a message to the range from 0 to maxWeight. What is no number becomes 0.
func clampWeight(weight float64) float64 {
	if math.IsNaN(weight) {
		return 0
	}
	return min(max(weight, 0), maxWeight)
}

func encodeNames[N ~string](names []N) []string {
	texts := make([]string, len(names))
	for index, name := range names {
		texts[index] = string(name)
	}
	return texts
}

func decodeNames[N ~string](texts []string) []N {
	names := make([]N, len(texts))
	for index, text := range texts {
		names[index] = N(text)
	}
	return names
}

func encodeShardGrant(grant dispatch.Grant) *peer.Grant {
	message := &peer.Grant{Attempt: string(grant.Attempt), Priority: grant.Priority, AnswerTokens: int64(grant.AnswerTokens), Alone: grant.RunsAlone}
	for _, part := range grant.Parts {
		message.Parts = append(message.Parts, &peer.Part{Engine: string(part.Engine), Address: part.Address, Tokens: int64(part.PromptTokens)})
	}
	return message
}

func decodeShardGrant(message *peer.Grant) dispatch.Grant {
	grant := dispatch.Grant{Attempt: id.Attempt(message.GetAttempt()), Priority: message.GetPriority(), AnswerTokens: clampTokens(message.GetAnswerTokens()), RunsAlone: message.GetAlone()}
	for _, part := range message.GetParts() {
		grant.Parts = append(grant.Parts, dispatch.Part{
			Engine:       id.Engine(part.GetEngine()),
			Address:      part.GetAddress(),
			PromptTokens: clampTokens(part.GetTokens()),
		})
	}
	return grant
}

func encodeShardGrantResponse(response shard.GrantResponse) *peer.AcquireResponse {
	switch {
	case response.Grant != nil:
		return &peer.AcquireResponse{Kind: peer.AcquireResponse_KIND_GRANTED, Grant: encodeShardGrant(*response.Grant)}
	case response.Refusal != nil:
		return &peer.AcquireResponse{
			Kind:             peer.AcquireResponse_KIND_REFUSED,
			Reason:           string(response.Refusal.Reason),
			Detail:           response.Refusal.Detail,
			RetryAfterMillis: response.Refusal.RetryAfter.Milliseconds(),
		}
	default:
		return &peer.AcquireResponse{Kind: peer.AcquireResponse_KIND_QUEUED}
	}
}

// decodeShardGrantResponse returns the response of a message. An unknown kind counts as queued, so that the request is
// sent again.
func decodeShardGrantResponse(message *peer.AcquireResponse) shard.GrantResponse {
	switch message.GetKind() {
	case peer.AcquireResponse_KIND_GRANTED:
		grant := decodeShardGrant(message.GetGrant())
		return shard.GrantResponse{Grant: &grant}
	case peer.AcquireResponse_KIND_REFUSED:
		refusal := decodeRefusal(message.GetReason(), message.GetDetail(), message.GetRetryAfterMillis())
		return shard.GrantResponse{Refusal: &refusal}
	default:
		return shard.GrantResponse{Queued: true}
	}
}

// decodeRefusal returns the refusal that a host answered with.
func decodeRefusal(reason, detail string, retryAfterMillis int64) outcome.Outcome {
	return outcome.Refuse(outcome.Reason(reason), detail).WithRetryAfter(time.Duration(retryAfterMillis) * time.Millisecond)
}

func encodeShardReport(report shard.Report) *peer.ReportRequest {
	message := &peer.ReportRequest{Host: string(report.Host), Incarnation: int64(report.Incarnation)}
	for _, held := range report.HeldGrants {
		message.Held = append(message.Held, &peer.Held{
			Grant:        encodeShardGrant(held.Grant),
			Shard:        string(held.Shard),
			Organisation: string(held.Organisation),
			Started:      held.Started,
			Fingerprint:  uint64(held.ContentFingerprint),
		})
	}
	for _, ended := range report.EndedGrants {
		message.Ended = append(message.Ended, &peer.Ended{
			Attempt:   string(ended.Attempt),
			Shard:     string(ended.Shard),
			Crashed:   string(ended.CrashedEngine),
			Withdrawn: ended.Withdrawn,
			Request:   string(ended.Request),
			Finished:  ended.Completed,
		})
	}
	return message
}

func decodeShardReport(message *peer.ReportRequest) shard.Report {
	report := shard.Report{Host: id.Host(message.GetHost()), Incarnation: id.Incarnation(message.GetIncarnation())}
	for _, held := range message.GetHeld() {
		report.HeldGrants = append(report.HeldGrants, shard.HeldGrant{
			Grant:              decodeShardGrant(held.GetGrant()),
			Shard:              id.Shard(held.GetShard()),
			Organisation:       id.Organisation(held.GetOrganisation()),
			Started:            held.GetStarted(),
			ContentFingerprint: id.Fingerprint(held.GetFingerprint()),
		})
	}
	for _, ended := range message.GetEnded() {
		report.EndedGrants = append(report.EndedGrants, shard.EndedGrant{
			Attempt:       id.Attempt(ended.GetAttempt()),
			Shard:         id.Shard(ended.GetShard()),
			CrashedEngine: id.Engine(ended.GetCrashed()),
			Withdrawn:     ended.GetWithdrawn(),
			Request:       id.Request(ended.GetRequest()),
			Completed:     ended.GetFinished(),
		})
	}
	return report
}

func encodeShardReportResponse(response shard.ReportResponse) *peer.ReportResponse {
	message := &peer.ReportResponse{Lapsed: encodeNames(response.RevokedAttempts)}
	for _, load := range response.EngineLoads {
		message.Engines = append(message.Engines, &peer.EngineLoad{
			Engine:        string(load.Engine),
			FreeTokens:    int64(load.FreeTokens),
			PendingTokens: int64(load.PendingTokens),
		})
	}
	return message
}

func decodeShardReportResponse(message *peer.ReportResponse) shard.ReportResponse {
	response := shard.ReportResponse{RevokedAttempts: decodeNames[id.Attempt](message.GetLapsed())}
	for _, load := range message.GetEngines() {
		response.EngineLoads = append(response.EngineLoads, shard.EngineLoad{
			Engine:        id.Engine(load.GetEngine()),
			FreeTokens:    clampTokens(load.GetFreeTokens()),
			PendingTokens: clampTokens(load.GetPendingTokens()),
		})
	}
	return response
}

// EncodeMembershipMessage returns the wire form of a membership message. Tests use it to measure the size of messages.
func EncodeMembershipMessage(message membership.Message) *peer.ExchangeMessage {
	encoded := &peer.ExchangeMessage{
		Host:     string(message.From),
		Revision: int64(message.Revision),
		Probe:    string(message.ProbeTarget),
		Joining:  message.Joining,
		Complete: message.FullState,

		ListQuiet:     int64(message.ListFreshness.UnchangedSince),
		ListNext:      int64(message.ListFreshness.NextOffset),
		ListAgeMillis: message.ListFreshness.Age.Milliseconds(),

		EvacuationsQuiet: int64(message.ListFreshness.EvacuationsUnchangedSince),
	}
	for _, member := range message.Updates {
		encoded.Updates = append(encoded.Updates, &peer.MemberUpdate{
			Host:             string(member.Host),
			Incarnation:      int64(member.Incarnation),
			Status:           uint32(member.Status),
			Sequence:         member.Sequence,
			PeerAddress:      member.PeerAddress,
			CallerAddress:    member.CallerAddress,
			AvailabilityZone: string(member.AvailabilityZone),
			ProcessorShare:   member.ProcessorShare,
		})
	}
	for _, fact := range message.Facts {
		encoded.Facts = append(encoded.Facts, encodeFact(fact))
	}
	return encoded
}

func decodeMembershipMessage(encoded *peer.ExchangeMessage) membership.Message {
	message := membership.Message{
		From:        id.Host(encoded.GetHost()),
		Revision:    id.Offset(encoded.GetRevision()),
		ProbeTarget: id.Host(encoded.GetProbe()),
		Joining:     encoded.GetJoining(),
		FullState:   encoded.GetComplete(),
		ListFreshness: membership.ListFreshness{
			UnchangedSince: id.Offset(encoded.GetListQuiet()),
			NextOffset:     id.Offset(encoded.GetListNext()),
			Age:            durationFromMillis(encoded.GetListAgeMillis()),

			EvacuationsUnchangedSince: id.Offset(encoded.GetEvacuationsQuiet()),
		},
	}
	for _, member := range encoded.GetUpdates() {
		message.Updates = append(message.Updates, membership.Member{
			Host:             id.Host(member.GetHost()),
			Incarnation:      id.Incarnation(member.GetIncarnation()),
			Status:           membership.Status(member.GetStatus()),
			Sequence:         member.GetSequence(),
			PeerAddress:      member.GetPeerAddress(),
			CallerAddress:    member.GetCallerAddress(),
			AvailabilityZone: id.AvailabilityZone(member.GetAvailabilityZone()),
			ProcessorShare:   member.GetProcessorShare(),
		})
	}
	for _, fact := range encoded.GetFacts() {
		message.Facts = append(message.Facts, decodeFact(fact))
	}
	return message
}

func encodeConcurrencyUses(uses []quota.ConcurrencyUse) []*peer.Usage {
	var messages []*peer.Usage
	for _, use := range uses {
		messages = append(messages, &peer.Usage{Organisation: string(use.Organisation), Request: string(use.Request)})
	}
	return messages
}

func decodeConcurrencyUses(messages []*peer.Usage) []quota.ConcurrencyUse {
	var uses []quota.ConcurrencyUse
	for _, message := range messages {
		uses = append(uses, quota.ConcurrencyUse{Organisation: id.Organisation(message.GetOrganisation()), Request: id.Request(message.GetRequest())})
	}
	return uses
}

func encodeListing(listing fleet.Listing) *peer.ListingResponse {
	message := &peer.ListingResponse{}
	for _, engine := range listing.Engines {
		message.Engines = append(message.Engines, &peer.Listed{
			Name:             string(engine.Name),
			Service:          string(engine.Service),
			Address:          engine.Address,
			AvailabilityZone: string(engine.AvailabilityZone),
			Leaving:          engine.Leaving,
			ChecksFencing:    engine.ChecksFencing,
		})
	}
	for _, server := range listing.Servers {
		message.Servers = append(message.Servers, &peer.Listed{
			Name:             string(server.Name),
			Service:          string(server.Service),
			Address:          server.Address,
			AvailabilityZone: string(server.AvailabilityZone),
			Leaving:          server.Leaving,
		})
	}
	return message
}

func decodeListing(message *peer.ListingResponse) fleet.Listing {
	var listing fleet.Listing
	for _, engine := range message.GetEngines() {
		listing.Engines = append(listing.Engines, fleet.Engine{
			Name:             id.Engine(engine.GetName()),
			Service:          id.Service(engine.GetService()),
			Address:          engine.GetAddress(),
			AvailabilityZone: id.AvailabilityZone(engine.GetAvailabilityZone()),
			Leaving:          engine.GetLeaving(),
			ChecksFencing:    engine.GetChecksFencing(),
		})
	}
	for _, server := range message.GetServers() {
		listing.Servers = append(listing.Servers, fleet.BackendServer{
			Name:             id.BackendServer(server.GetName()),
			Service:          id.Service(server.GetService()),
			Address:          server.GetAddress(),
			AvailabilityZone: id.AvailabilityZone(server.GetAvailabilityZone()),
			Leaving:          server.GetLeaving(),
		})
	}
	return listing
}

func encodeFact(fact membership.Fact) *peer.Fact {
	return &peer.Fact{Kind: uint32(fact.Kind), Key: fact.Key, Detail: fact.Detail, Value: fact.Value}
}

func decodeFact(message *peer.Fact) membership.Fact {
	return membership.Fact{Kind: membership.FactKind(message.GetKind()), Key: message.GetKey(), Detail: message.GetDetail(), Value: message.GetValue()}
}
