package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// drainAfter is the part of a request's slack after which engines are emptied for it.
	drainAfter = 0.1
	// drainedShare bounds the engines that are emptied at once, as a part of the shard.
	drainedShare = 0.25
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is told to wait.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// pump grants what can start now.
func (mc *Machine) pump(now time.Time) {
	mc.pumpSpecial(now)
	for _, mq := range mc.models {
		mc.pumpModel(now, mq)
	}
}

func (mc *Machine) pumpSpecial(now time.Time) {
	for ix := 0; ix < len(mc.special); {
		wt := mc.special[ix]
		parts, ok := mc.place(now, wt)
		if !ok {
			ix++
			continue
		}
		mc.special = slices.Delete(mc.special, ix, ix+1)
		mc.grant(now, wt, parts)
	}
}

// pumpModel serves lanes in the order of their heads' rank. A lane whose head finds no engine is passed over.
func (mc *Machine) pumpModel(now time.Time, mq *modelQueue) {
	var blocked [Bands]bool
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
			mc.considerDrain(now, mq, wt)
			mc.considerPreempt(now, wt)
			continue
		}
		ln.take()
		ln.queued -= float64(wt.Prompt)
		ln.waiting--
		wt.queue.queued -= float64(wt.Prompt)
		mc.undrain(wt)
		mc.grant(now, wt, parts)
	}
}

func (mc *Machine) nextLane(now time.Time, mq *modelQueue, blocked *[Bands]bool) int {
	best := -1
	var bestRank float64
	for ix := range mq.lanes {
		if blocked[ix] {
			continue
		}
		wt := mq.lanes[ix].head()
		if wt == nil {
			continue
		}
		rank := mc.config.Policy.Ordering.Rank(Head{
			Prompt:   wt.Prompt,
			Prefill:  mc.prefillTime(float64(wt.Prompt)),
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
			Attempt: id.NewAttempt(wt.ID, wt.Number),
			Parts:   parts,
			Answer:  wt.answer,
		},
		request: wt.Request,
		since:   now,
		renewed: now,
		alone:   wt.Alone,
	}
	if mc.config.Policy.EnginePriority {
		gr.Priority = enginePriority(parts[0].Tokens)
	}
	mc.grants[gr.Attempt] = gr
	mc.granted[wt.ID] = gr
	for ix := range parts {
		mc.charge(now, gr, ix)
		if wt.Alone {
			mc.byName[parts[ix].Engine].alone = gr.Attempt
		}
	}
	mc.turn++
	mc.emit(Effect{Kind: Granted, Request: wt.ID, Attempt: gr.Attempt, Grant: &gr.Grant})
}

// partsFor returns the number of engines that a prompt needs, or 0 if the shard can never hold it.
func (mc *Machine) partsFor(wt *waiting) int {
	var largest id.Tokens
	usable := 0
	for _, en := range mc.engines {
		if !en.Leaving && slices.Contains(en.Models, wt.Model) {
			largest = max(largest, mc.usable(en, wt.Prompt))
			usable++
		}
	}
	if largest == 0 {
		return 0
	}
	need := wt.Prompt + wt.answer
	parts := int((need + largest - 1) / largest)
	if parts > usable {
		return 0
	}
	return parts
}

// usable returns the memory of an engine that a prompt of this length may use.
func (mc *Machine) usable(en *engine, prompt id.Tokens) id.Tokens {
	if prompt <= ShortPrompt {
		return en.Capacity
	}
	return id.Tokens(float64(en.Capacity) * (1 - mc.config.Policy.ShortShare))
}

// place chooses engines for a request, or reports that it has to wait.
func (mc *Machine) place(now time.Time, wt *waiting) ([]Part, bool) {
	parts := mc.partsFor(wt)
	if parts == 0 {
		return nil, false
	}
	share := (wt.Prompt + id.Tokens(parts) - 1) / id.Tokens(parts)
	var found []Candidate
	var storage [8]Candidate
	found = storage[:0]
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
	left := wt.Prompt
	for _, cd := range found {
		en := mc.engines[cd.Index]
		tokens := min(share, left)
		left -= tokens
		chosen = append(chosen, Part{Engine: en.Engine, Address: en.Address, Tokens: tokens})
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
	cached := mc.cachedPrefix(en, wt.Prefix, share)
	ahead := en.ahead(classOf(share), mc.config.Policy.EnginePriority)
	return Candidate{
		Index:   ix,
		Wait:    time.Duration((ahead + float64(share-cached)) / mc.rate(en) * float64(time.Second)),
		Pending: en.pending(),
		Held:    en.held,
		Streams: en.streams,
		Cached:  cached,
	}
}

// fits reports whether an engine can take a part of a request now.
func (mc *Machine) fits(now time.Time, en *engine, wt *waiting, share id.Tokens) bool {
	if en.Leaving || en.alone != "" || wt.Alone && en.streams > 0 {
		return false
	}
	if !slices.Contains(en.Models, wt.Model) || slices.Contains(wt.Avoid, en.Engine) {
		return false
	}
	mc.advance(now, en)
	if !mc.config.Policy.Hold {
		return share+wt.answer <= en.Capacity
	}
	if en.drainFor != nil && en.drainFor != wt && wt.Prompt > ShortPrompt {
		return false
	}
	if en.held+en.foreign+share+wt.answer > mc.usable(en, wt.Prompt) {
		return false
	}
	if en.streams >= mc.streamLimit(wt.Prompt) {
		return false
	}
	window := mc.config.Window.Seconds() * mc.config.PrefillPerSecond
	return en.ahead(classOf(share), mc.config.Policy.EnginePriority) <= window
}

func (mc *Machine) streamLimit(prompt id.Tokens) int {
	if prompt <= ShortPrompt {
		return mc.config.MaxStreams
	}
	return int(float64(mc.config.MaxStreams) * (1 - mc.config.Policy.ShortShare))
}

// considerDrain empties engines for a long prompt that has waited for a part of its slack.
// Only one request of a model has engines emptied at a time, so two gangs never wait for each other.
func (mc *Machine) considerDrain(now time.Time, mq *modelQueue, wt *waiting) {
	if !mc.config.Policy.Drain || mq.draining != nil || wt.Prompt <= ShortPrompt {
		return
	}
	slack := wt.latestStart.Sub(wt.since)
	if now.Sub(wt.since) < time.Duration(drainAfter*float64(slack)) {
		return
	}
	parts := mc.partsFor(wt)
	limit := max(parts, int(drainedShare*float64(len(mc.engines))))
	if parts == 0 || parts > limit || parts >= len(mc.engines) && parts > 1 {
		return
	}
	mq.draining = wt
	for range parts {
		en := mc.emptiest(wt)
		if en == nil {
			mc.undrain(wt)
			return
		}
		en.drainFor = wt
	}
}

func (mc *Machine) emptiest(wt *waiting) *engine {
	var best *engine
	for _, en := range mc.engines {
		if en.drainFor != nil || en.Leaving || en.alone != "" || !slices.Contains(en.Models, wt.Model) {
			continue
		}
		if best == nil || en.held < best.held {
			best = en
		}
	}
	return best
}

func (mc *Machine) undrain(wt *waiting) {
	mq, ok := mc.byModel[wt.Model]
	if !ok || mq.draining != wt {
		return
	}
	mq.draining = nil
	for _, en := range mc.engines {
		if en.drainFor == wt {
			en.drainFor = nil
		}
	}
}

// considerPreempt takes back the grant of the longest prompt that has not started, when a short prompt finds no memory.
func (mc *Machine) considerPreempt(now time.Time, wt *waiting) {
	if !mc.config.Policy.Preempt || wt.Prompt > ShortPrompt {
		return
	}
	var victim *grant
	for _, gr := range mc.grants {
		if gr.started || gr.request.Prompt <= bandLimits[1] || gr.request.Model != wt.Model {
			continue
		}
		if victim == nil || gr.request.Prompt > victim.request.Prompt ||
			gr.request.Prompt == victim.request.Prompt && gr.Attempt > victim.Attempt {
			victim = gr
		}
	}
	if victim == nil {
		return
	}
	mc.release(now, victim)
	mc.cancel(victim)
	mc.emit(Effect{Kind: Preempt, Request: victim.request.ID, Attempt: victim.Attempt})
}

// admit decides whether a request may wait.
func (mc *Machine) admit(now time.Time, wt *waiting) (outcome.Outcome, bool) {
	if len(mc.engines) > 0 && mc.Serves(wt.Model) && mc.partsFor(wt) == 0 {
		return outcome.Refuse(outcome.NeverFits, "the prompt is longer than the engines of the fleet can hold"), false
	}
	if !now.Before(wt.latestStart) {
		return outcome.Refuse(outcome.DeadlineExceeded, "the request can't finish in the time it has"), false
	}
	if len(mc.waiting) >= mc.config.MaxWaiting {
		return outcome.Refuse(outcome.Overloaded, "the queue is full").After(mc.retryAfter(wt)), false
	}
	if !mc.config.Policy.Admission {
		return outcome.Outcome{}, true
	}
	wait := mc.predictedWait(now, wt)
	if now.Add(wait).After(wt.latestStart) {
		return outcome.Refuse(outcome.Overloaded, "the request can't start in time").After(mc.retryAfter(wt)), false
	}
	return outcome.Outcome{}, true
}

// Serves reports whether some engine serves a model.
func (mc *Machine) Serves(model id.Model) bool {
	return slices.ContainsFunc(mc.engines, func(en *engine) bool { return slices.Contains(en.Models, model) })
}

// predictedWait returns the time until a request would start: the shorter of the time to serve all that
// goes before it and the time its organisation's share takes to serve what it has queued itself.
func (mc *Machine) predictedWait(now time.Time, wt *waiting) time.Duration {
	var rate, pending float64
	class := classOf(wt.Prompt)
	for _, en := range mc.engines {
		if en.Leaving || !slices.Contains(en.Models, wt.Model) {
			continue
		}
		mc.advance(now, en)
		rate += mc.rate(en)
		pending += en.ahead(class, mc.config.Policy.EnginePriority)
	}
	if rate == 0 {
		return 0
	}
	mq := mc.queueOf(wt.Model)
	index := mc.config.Policy.Ordering.Lane(wt.Prompt)
	total := pending
	for ix := range index + 1 {
		total += mq.lanes[ix].queued
	}
	ln := &mq.lanes[index]
	share := total
	if oq, ok := ln.organisations[wt.Organisation]; ok && mc.config.Policy.Ordering.Fair() {
		share = pending + (total - pending - ln.queued) + oq.queued*ln.weight/oq.weight
	} else if mc.config.Policy.Ordering.Fair() {
		share = total - ln.queued
	}
	return time.Duration(min(total, share) / rate * float64(time.Second))
}

// retryAfter returns when a refused caller is to come back: when the queue is likely to have drained,
// spread at random so that callers do not come back together.
func (mc *Machine) retryAfter(wt *waiting) time.Duration {
	var queued, rate float64
	for _, en := range mc.engines {
		rate += mc.rate(en)
	}
	if mq, ok := mc.byModel[wt.Model]; ok {
		for ix := range mq.lanes {
			queued += mq.lanes[ix].queued
		}
	}
	drain := minRetryAfter
	if rate > 0 {
		drain = max(drain, time.Duration(queued/rate*float64(time.Second)))
	}
	wait := min(drain, maxRetryAfter)
	return wait + time.Duration(mc.random.Float64()*float64(wait))
}
