package peer

import (
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

func encodeAsk(ask shard.GrantRequest, now time.Time) *peer.AcquireRequest {
	return &peer.AcquireRequest{
		Request:         string(ask.ID),
		Shard:           string(ask.Shard),
		Organisation:    string(ask.Organisation),
		Weight:          ask.Weight,
		Model:           string(ask.Model),
		PromptTokens:    int64(ask.PromptTokens),
		AnswerTokens:    int64(ask.MaxAnswerTokens),
		Priority:        ask.Priority,
		RemainingMillis: ask.Deadline.Sub(now).Milliseconds(),
		Fingerprint:     uint64(ask.ContentFingerprint),
		Prefix:          ask.PrefixHashes,
		Host:            string(ask.Host),
		Incarnation:     int64(ask.Incarnation),
		Number:          int32(ask.AttemptNumber),
		Avoid:           encodeNames(ask.AvoidedEngines),
		Alone:           ask.RunAlone,
	}
}

func decodeAsk(ms *peer.AcquireRequest, now time.Time) shard.GrantRequest {
	return shard.GrantRequest{
		Request: dispatch.Request{
			ID:              id.Request(ms.GetRequest()),
			Organisation:    id.Organisation(ms.GetOrganisation()),
			Weight:          ms.GetWeight(),
			Model:           id.Model(ms.GetModel()),
			PromptTokens:    id.Tokens(ms.GetPromptTokens()),
			MaxAnswerTokens: id.Tokens(ms.GetAnswerTokens()),
			Priority:        ms.GetPriority(),
			Deadline:        now.Add(time.Duration(ms.GetRemainingMillis()) * time.Millisecond),
			AttemptNumber:   int(ms.GetNumber()),
			PrefixHashes:    ms.GetPrefix(),
			AvoidedEngines:  decodeNames[id.Engine](ms.GetAvoid()),
			RunAlone:        ms.GetAlone(),
		},
		Shard:       id.Shard(ms.GetShard()),
		ContentFingerprint: id.Fingerprint(ms.GetFingerprint()),
		Host:        id.Host(ms.GetHost()),
		Incarnation: id.Incarnation(ms.GetIncarnation()),
	}
}

func encodeNames[N ~string](names []N) []string {
	texts := make([]string, len(names))
	for ix, name := range names {
		texts[ix] = string(name)
	}
	return texts
}

func decodeNames[N ~string](texts []string) []N {
	names := make([]N, len(texts))
	for ix, text := range texts {
		names[ix] = N(text)
	}
	return names
}

func encodeGrant(gr dispatch.Grant) *peer.Grant {
	ms := &peer.Grant{Attempt: string(gr.Attempt), Priority: gr.Priority, AnswerTokens: int64(gr.AnswerTokens)}
	for _, part := range gr.Parts {
		ms.Parts = append(ms.Parts, &peer.Part{Engine: string(part.Engine), Address: part.Address, Tokens: int64(part.PromptTokens)})
	}
	return ms
}

func decodeGrant(ms *peer.Grant) dispatch.Grant {
	gr := dispatch.Grant{Attempt: id.Attempt(ms.GetAttempt()), Priority: ms.GetPriority(), AnswerTokens: id.Tokens(ms.GetAnswerTokens())}
	for _, part := range ms.GetParts() {
		gr.Parts = append(gr.Parts, dispatch.Part{
			Engine:       id.Engine(part.GetEngine()),
			Address:      part.GetAddress(),
			PromptTokens: id.Tokens(part.GetTokens()),
		})
	}
	return gr
}

func encodeAnswer(answer shard.GrantResponse) *peer.AcquireResponse {
	switch {
	case answer.Grant != nil:
		return &peer.AcquireResponse{Kind: peer.AcquireResponse_KIND_GRANTED, Grant: encodeGrant(*answer.Grant)}
	case answer.Refusal != nil:
		return &peer.AcquireResponse{
			Kind:             peer.AcquireResponse_KIND_REFUSED,
			Reason:           string(answer.Refusal.Reason),
			Detail:           answer.Refusal.Detail,
			RetryAfterMillis: answer.Refusal.RetryAfter.Milliseconds(),
		}
	default:
		return &peer.AcquireResponse{Kind: peer.AcquireResponse_KIND_QUEUED}
	}
}

func decodeAnswer(ms *peer.AcquireResponse) shard.GrantResponse {
	switch ms.GetKind() {
	case peer.AcquireResponse_KIND_GRANTED:
		grant := decodeGrant(ms.GetGrant())
		return shard.GrantResponse{Grant: &grant}
	case peer.AcquireResponse_KIND_REFUSED:
		refusal := decodeRefusal(ms.GetReason(), ms.GetDetail(), ms.GetRetryAfterMillis())
		return shard.GrantResponse{Refusal: &refusal}
	default:
		return shard.GrantResponse{Queued: true}
	}
}

func decodeRefusal(reason, detail string, retryAfterMillis int64) outcome.Outcome {
	return outcome.Refuse(outcome.Reason(reason), detail).WithRetryAfter(time.Duration(retryAfterMillis) * time.Millisecond)
}

func encodeReport(rp shard.Report) *peer.ReportRequest {
	ms := &peer.ReportRequest{Host: string(rp.Host), Incarnation: int64(rp.Incarnation)}
	for _, hd := range rp.HeldGrants {
		ms.Held = append(ms.Held, &peer.Held{
			Grant:        encodeGrant(hd.Grant),
			Shard:        string(hd.Shard),
			Organisation: string(hd.Organisation),
			Started:      hd.Started,
			Fingerprint:  uint64(hd.ContentFingerprint),
		})
	}
	for _, en := range rp.EndedGrants {
		ms.Ended = append(ms.Ended, &peer.Ended{
			Attempt:   string(en.Attempt),
			Shard:     string(en.Shard),
			Crashed:   string(en.CrashedEngine),
			Withdrawn: en.Withdrawn,
			Request:   string(en.Request),
			Finished:  en.Completed,
		})
	}
	return ms
}

func decodeReport(ms *peer.ReportRequest) shard.Report {
	rp := shard.Report{Host: id.Host(ms.GetHost()), Incarnation: id.Incarnation(ms.GetIncarnation())}
	for _, hd := range ms.GetHeld() {
		rp.HeldGrants = append(rp.HeldGrants, shard.HeldGrant{
			Grant:        decodeGrant(hd.GetGrant()),
			Shard:        id.Shard(hd.GetShard()),
			Organisation: id.Organisation(hd.GetOrganisation()),
			Started:      hd.GetStarted(),
			ContentFingerprint:  id.Fingerprint(hd.GetFingerprint()),
		})
	}
	for _, en := range ms.GetEnded() {
		rp.EndedGrants = append(rp.EndedGrants, shard.EndedGrant{
			Attempt:       id.Attempt(en.GetAttempt()),
			Shard:         id.Shard(en.GetShard()),
			CrashedEngine: id.Engine(en.GetCrashed()),
			Withdrawn:     en.GetWithdrawn(),
			Request:       id.Request(en.GetRequest()),
			Completed:     en.GetFinished(),
		})
	}
	return rp
}

func encodeLoads(loads shard.ReportResponse) *peer.ReportResponse {
	ms := &peer.ReportResponse{Lapsed: encodeNames(loads.RevokedAttempts)}
	for _, ld := range loads.EngineLoads {
		ms.Engines = append(ms.Engines, &peer.EngineLoad{
			Engine:        string(ld.Engine),
			FreeTokens:    int64(ld.FreeTokens),
			PendingTokens: int64(ld.PendingTokens),
		})
	}
	return ms
}

func decodeLoads(ms *peer.ReportResponse) shard.ReportResponse {
	loads := shard.ReportResponse{RevokedAttempts: decodeNames[id.Attempt](ms.GetLapsed())}
	for _, ld := range ms.GetEngines() {
		loads.EngineLoads = append(loads.EngineLoads, shard.EngineLoad{
			Engine:        id.Engine(ld.GetEngine()),
			FreeTokens:    id.Tokens(ld.GetFreeTokens()),
			PendingTokens: id.Tokens(ld.GetPendingTokens()),
		})
	}
	return loads
}

// EncodeMembershipMessage returns the wire form of a membership message.
func EncodeMembershipMessage(msg membership.Message) *peer.ExchangeMessage {
	ms := &peer.ExchangeMessage{
		Host:     string(msg.From),
		Revision: int64(msg.Revision),
		Probe:    string(msg.ProbeTarget),
		Joining:  msg.Joining,
		Complete: msg.FullState,

		ListQuiet:     int64(msg.ListFreshness.UnchangedSince),
		ListNext:      int64(msg.ListFreshness.NextOffset),
		ListAgeMillis: msg.ListFreshness.Age.Milliseconds(),
	}
	for _, mb := range msg.Updates {
		ms.Updates = append(ms.Updates, &peer.MemberUpdate{
			Host:             string(mb.Host),
			Incarnation:      int64(mb.Incarnation),
			Status:           uint32(mb.Status),
			Sequence:         mb.Sequence,
			PeerAddress:      mb.PeerAddress,
			CallerAddress:    mb.CallerAddress,
			AvailabilityZone: string(mb.AvailabilityZone),
			ProcessorShare:   mb.ProcessorShare,
		})
	}
	for _, fact := range msg.Facts {
		ms.Facts = append(ms.Facts, encodeFact(fact))
	}
	return ms
}

func decodeMessage(ms *peer.ExchangeMessage) membership.Message {
	msg := membership.Message{
		From:        id.Host(ms.GetHost()),
		Revision:    id.Offset(ms.GetRevision()),
		ProbeTarget: id.Host(ms.GetProbe()),
		Joining:     ms.GetJoining(),
		FullState:   ms.GetComplete(),
		ListFreshness: membership.ListFreshness{
			UnchangedSince: id.Offset(ms.GetListQuiet()),
			NextOffset:     id.Offset(ms.GetListNext()),
			Age:            millis(ms.GetListAgeMillis()),
		},
	}
	for _, mb := range ms.GetUpdates() {
		msg.Updates = append(msg.Updates, membership.Member{
			Host:             id.Host(mb.GetHost()),
			Incarnation:      id.Incarnation(mb.GetIncarnation()),
			Status:           membership.Status(mb.GetStatus()),
			Sequence:         mb.GetSequence(),
			PeerAddress:      mb.GetPeerAddress(),
			CallerAddress:    mb.GetCallerAddress(),
			AvailabilityZone: id.AvailabilityZone(mb.GetAvailabilityZone()),
			ProcessorShare:   mb.GetProcessorShare(),
		})
	}
	for _, fact := range ms.GetFacts() {
		msg.Facts = append(msg.Facts, decodeFact(fact))
	}
	return msg
}

func encodeUsages(usages []quota.ConcurrencyUse) []*peer.Usage {
	var ms []*peer.Usage
	for _, us := range usages {
		ms = append(ms, &peer.Usage{Organisation: string(us.Organisation), Request: string(us.Request)})
	}
	return ms
}

func decodeUsages(ms []*peer.Usage) []quota.ConcurrencyUse {
	var usages []quota.ConcurrencyUse
	for _, us := range ms {
		usages = append(usages, quota.ConcurrencyUse{Organisation: id.Organisation(us.GetOrganisation()), Request: id.Request(us.GetRequest())})
	}
	return usages
}

func encodeListing(listing fleet.Listing) *peer.ListingResponse {
	ms := &peer.ListingResponse{}
	for _, en := range listing.Engines {
		ms.Engines = append(ms.Engines, &peer.Listed{
			Name:             string(en.Name),
			Service:          string(en.Service),
			Address:          en.Address,
			AvailabilityZone: string(en.AvailabilityZone),
			Leaving:          en.Leaving,
			ChecksFencing:    en.ChecksFencing,
		})
	}
	for _, sv := range listing.Servers {
		ms.Servers = append(ms.Servers, &peer.Listed{
			Name:             string(sv.Name),
			Service:          string(sv.Service),
			Address:          sv.Address,
			AvailabilityZone: string(sv.AvailabilityZone),
			Leaving:          sv.Leaving,
		})
	}
	return ms
}

func decodeListing(ms *peer.ListingResponse) fleet.Listing {
	var listing fleet.Listing
	for _, en := range ms.GetEngines() {
		listing.Engines = append(listing.Engines, fleet.Engine{
			Name:             id.Engine(en.GetName()),
			Service:          id.Service(en.GetService()),
			Address:          en.GetAddress(),
			AvailabilityZone: id.AvailabilityZone(en.GetAvailabilityZone()),
			Leaving:          en.GetLeaving(),
			ChecksFencing:    en.GetChecksFencing(),
		})
	}
	for _, sv := range ms.GetServers() {
		listing.Servers = append(listing.Servers, fleet.BackendServer{
			Name:             id.BackendServer(sv.GetName()),
			Service:          id.Service(sv.GetService()),
			Address:          sv.GetAddress(),
			AvailabilityZone: id.AvailabilityZone(sv.GetAvailabilityZone()),
			Leaving:          sv.GetLeaving(),
		})
	}
	return listing
}

func encodeFact(fact membership.Fact) *peer.Fact {
	return &peer.Fact{Kind: uint32(fact.Kind), Key: fact.Key, Detail: fact.Detail, Value: fact.Value}
}

func decodeFact(ms *peer.Fact) membership.Fact {
	return membership.Fact{Kind: membership.FactKind(ms.GetKind()), Key: ms.GetKey(), Detail: ms.GetDetail(), Value: ms.GetValue()}
}
