package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// maxSpread bounds the engines of a gang, as a multiple of those that can hold the prompt when empty.
const maxSpread = 2

// pump grants what can start now.
func (mc *Machine) pump(now time.Time) {
	mc.pumpAlone(now)
	for _, mq := range mc.models {
		mc.pumpModel(now, mq)
	}
}

func (mc *Machine) pumpAlone(now time.Time) {
	for ix := 0; ix < len(mc.alone); {
		wt := mc.alone[ix]
		parts, ok := mc.place(now, wt)
		if !ok {
			ix++
			continue
		}
		mc.alone = slices.Delete(mc.alone, ix, ix+1)
		mc.grant(now, wt, parts)
	}
}

// pumpModel serves lanes in the order of their heads' rank. A lane whose head finds no engine is passed over.
func (mc *Machine) pumpModel(now time.Time, mq *modelQueue) {
	var blocked [PromptBandCount + 1]bool
	for {
		ix := mc.nextLane(now, mq, &blocked)
		if ix < 0 {
			return
		}
		ln := &mq.lanes[ix]
		wt := ln.head()
		parts, ok := mc.place(now, wt)
		if !ok {
			blocked[ix] = true
			mc.considerDrain(now, wt)
			mc.considerPreempt(now, wt)
			continue
		}
		ln.take()
		mc.undrain(wt)
		mc.grant(now, wt, parts)
	}
}

func (mc *Machine) nextLane(now time.Time, mq *modelQueue, blocked *[PromptBandCount + 1]bool) int {
	best := -1
	var bestRank float64
	interrupted := len(mq.lanes) - 1
	if !blocked[interrupted] && mq.lanes[interrupted].head() != nil {
		return interrupted
	}
	for ix := range interrupted {
		if blocked[ix] {
			continue
		}
		wt := mq.lanes[ix].head()
		if wt == nil {
			continue
		}
		rank := mc.config.Policy.Ordering.Rank(LaneHead{
			PromptTokens:   wt.PromptTokens,
			PrefillTime:  mc.prefillTime(float64(wt.PromptTokens)),
			Waited:   now.Sub(wt.since),
			Slack:    wt.latestStart.Sub(wt.since),
			Priority: wt.Priority,
		})
		if best < 0 || rank < bestRank {
			best = ix
			bestRank = rank
		}
	}
	return best
}

func (mc *Machine) grant(now time.Time, wt *waiting, parts []Part) {
	delete(mc.waiting, wt.ID)
	wt.gone = true
	gr := &grant{
		Grant: Grant{
			Attempt: id.NewAttempt(wt.ID, wt.AttemptNumber),
			Parts:   parts,
			AnswerTokens:  wt.answer,
		},
		request: wt.Request,
		renewed: now,
		alone:   wt.RunAlone,
	}
	if mc.config.Policy.EnginePriority {
		gr.Priority = enginePriority(agedTokens(now, wt, parts[0].PromptTokens))
	}
	mc.grants[gr.Attempt] = gr
	mc.granted[wt.ID] = gr
	mc.shortHeld += gr.short()
	for ix := range parts {
		mc.charge(now, gr, ix)
		if wt.RunAlone {
			mc.byName[parts[ix].Engine].alone = gr.Attempt
		}
	}
	mc.turn++
	mc.emit(Effect{Kind: Granted, Request: wt.ID, Attempt: gr.Attempt, Grant: &gr.Grant})
}

// agedTokens returns the prompt length that decides a grant's priority on engines: it falls with the part of its
// slack that the request has waited.
func agedTokens(now time.Time, wt *waiting, tokens id.Tokens) id.Tokens {
	slack := wt.latestStart.Sub(wt.since)
	if tokens <= MaxShortPrompt || slack <= 0 {
		return tokens
	}
	left := 1 - float64(now.Sub(wt.since))/float64(slack)
	return max(MaxShortPrompt+1, id.Tokens(float64(tokens)*left))
}

// partsFor returns the number of engines that a prompt needs, or 0 if the shard can never hold it.
func (mc *Machine) partsFor(wt *waiting) int {
	var largest id.Tokens
	usable := 0
	for _, en := range mc.engines {
		if en.takes(wt.Model) {
			largest = max(largest, mc.usable(en, wt.PromptTokens))
			usable++
		}
	}
	if largest == 0 {
		return 0
	}
	need := wt.PromptTokens + wt.answer
	parts := int((need + largest - 1) / largest)
	if parts > usable {
		return 0
	}
	return parts
}

// usable returns the memory of an engine that a prompt of this length may use.
func (mc *Machine) usable(en *engine, prompt id.Tokens) id.Tokens {
	if prompt <= MaxShortPrompt {
		return en.CapacityTokens
	}
	return id.Tokens(float64(en.CapacityTokens) * (1 - mc.shortShare()))
}

// shortShare returns the part of memory and streams kept for short prompts. An adaptive share follows what short
// prompts hold now, with room for half as much again.
func (mc *Machine) shortShare() float64 {
	if !mc.config.Policy.AdaptiveShortShare || mc.capacity == 0 {
		return mc.config.Policy.ShortPromptShare
	}
	const room, least = 1.5, 0.01
	return min(mc.config.Policy.ShortPromptShare, least+room*float64(mc.shortHeld)/float64(mc.capacity))
}

// place chooses engines for a request, or reports that it has to wait. A prompt is spread over as few engines as
// can hold it; over more, up to maxSpread times as many, when the few have no room now.
func (mc *Machine) place(now time.Time, wt *waiting) ([]Part, bool) {
	least := mc.partsFor(wt)
	if least == 0 {
		return nil, false
	}
	most := least
	if mc.config.Policy.SpreadLongPrompts && wt.PromptTokens > bandLimits[2] {
		most = least * maxSpread
	}
	wt.avoiding = mc.canAvoid(wt, least)
	for parts := least; parts <= most; parts++ {
		if chosen, ok := mc.placeOn(now, wt, parts); ok {
			return chosen, true
		}
	}
	return nil, false
}

// canAvoid reports whether enough engines are left when a request avoids the ones it names. A small shard can't spare them.
func (mc *Machine) canAvoid(wt *waiting, parts int) bool {
	left := 0
	for _, en := range mc.engines {
		if en.takes(wt.Model) && !slices.Contains(wt.AvoidedEngines, en.Engine) {
			left++
		}
	}
	return left >= parts
}

// avoids reports whether a request must not run on an engine.
func (wt *waiting) avoids(en *engine) bool {
	return wt.avoiding && slices.Contains(wt.AvoidedEngines, en.Engine)
}

// placeOn chooses the given number of engines.
func (mc *Machine) placeOn(now time.Time, wt *waiting, parts int) ([]Part, bool) {
	share := (wt.PromptTokens + id.Tokens(parts) - 1) / id.Tokens(parts)
	var storage [8]Candidate
	found := storage[:0]
	for ix, en := range mc.engines {
		if !mc.fits(now, en, wt, share) {
			continue
		}
		found = mc.keepBest(found, mc.candidate(ix, en, wt, share), parts)
	}
	if len(found) < parts {
		return nil, false
	}
	chosen := make([]Part, 0, parts)
	left := wt.PromptTokens
	for _, cd := range found {
		en := mc.engines[cd.EngineIndex]
		tokens := min(share, left)
		left -= tokens
		chosen = append(chosen, Part{Engine: en.Engine, Address: en.Address, PromptTokens: tokens})
	}
	return chosen, true
}

// keepBest inserts a candidate into the best count ones.
func (mc *Machine) keepBest(best []Candidate, cd Candidate, count int) []Candidate {
	at := len(best)
	for at > 0 && mc.config.Policy.Router.Better(cd, best[at-1], mc.turnIndex()) {
		at--
	}
	if at == count {
		return best
	}
	best = slices.Insert(best, at, cd)
	return best[:min(len(best), count)]
}

func (mc *Machine) turnIndex() int {
	return mc.turn % max(1, len(mc.engines))
}

func (mc *Machine) candidate(ix int, en *engine, wt *waiting, share id.Tokens) Candidate {
	cached := mc.cachedPrefix(en, wt.PrefixHashes, share)
	ahead := en.ahead(classOf(share), mc.config.Policy.EnginePriority)
	return Candidate{
		EngineIndex:   ix,
		TimeToFirstToken:    mc.stepWait(en, ahead, float64(share-cached)),
		PendingTokens: en.pending(),
		ReservedTokens:    en.held,
		CachedTokens:  cached,
	}
}

// stepWait predicts the time to the first token: the rest of the step that the engine is in, what goes ahead, and
// the own prompt. Steps that other prefill fills last longer than those of an engine that only decodes.
func (mc *Machine) stepWait(en *engine, ahead, own float64) time.Duration {
	decode := (mc.config.BaseStepTime + time.Duration(en.streams)*mc.config.StepTimePerStream).Seconds()
	full := max(decode, mc.config.PrefillTokensPerStep/mc.config.PrefillTokensPerSecond)
	work := (ahead + own) / mc.rate(en)
	wait := decode/2 + max(work, decode)
	if en.pending() > 0 {
		steps := math.Ceil((ahead + own) / mc.config.PrefillTokensPerStep)
		wait = full/2 + steps*full
	}
	return time.Duration(wait * float64(time.Second))
}

// fits reports whether an engine can take a part of a request now.
func (mc *Machine) fits(now time.Time, en *engine, wt *waiting, share id.Tokens) bool {
	if en.alone != "" || wt.RunAlone && en.streams > 0 {
		return false
	}
	if !en.takes(wt.Model) || wt.avoids(en) {
		return false
	}
	mc.advance(now, en)
	if !mc.config.Policy.QueueUntilRoom {
		return share+wt.answer <= en.CapacityTokens
	}
	if en.drainFor != nil && en.drainFor != wt && wt.PromptTokens > MaxShortPrompt {
		return false
	}
	if en.held+en.foreign+share+wt.answer > mc.usable(en, wt.PromptTokens) {
		return false
	}
	if en.streams >= mc.streamLimit(wt.PromptTokens) {
		return false
	}
	window := mc.config.MaxPendingPrefill.Seconds() * mc.config.PrefillTokensPerSecond
	return en.ahead(classOf(share), mc.config.Policy.EnginePriority) <= window
}

func (mc *Machine) streamLimit(prompt id.Tokens) int {
	if prompt <= MaxShortPrompt {
		return mc.config.MaxStreams
	}
	return int(float64(mc.config.MaxStreams) * (1 - mc.shortShare()))
}
