package dispatch

import "time"

const (
	// drainAfterSlackShare is the fraction of its slack that a long prompt waits before engines are drained for it. The
	// slack is the time from submission to the latest start.
	drainAfterSlackShare = 0.02
	// maxDrainingShare bounds the number of engines that are drained at the same time, as a fraction of the shard's
	// engines.
	maxDrainingShare = 0.4
)

// maybeDrain starts to drain engines for a long prompt that found no room and has waited for drainAfterSlackShare of
// its slack. Draining engines accept no other long prompts, so that their memory becomes free. An engine is drained for
// one prompt at a time, and all engines of a prompt are chosen in one step; otherwise two prompts, each with some of
// the engines that it needs, could wait for each other forever. Nothing is drained for a prompt that needs every engine
// of a shard of several, nor beyond maxDrainingShare unless the prompt needs more engines by itself and no other drain
// is in progress.
func (mc *Machine) maybeDrain(now time.Time, wt *waitingRequest) {
	if !mc.config.Policy.DrainForLongPrompts || wt.draining || wt.PromptTokens <= MaxShortPrompt {
		return
	}
	slack := wt.latestStart.Sub(wt.waitingSince)
	if now.Sub(wt.waitingSince) < time.Duration(drainAfterSlackShare*float64(slack)) {
		return
	}
	partCount := mc.minParts(wt)
	drainingCount := 0
	for _, en := range mc.engines {
		if en.drainingFor != nil {
			drainingCount++
		}
	}
	maxDraining := max(1, int(maxDrainingShare*float64(len(mc.engines))))
	if partCount == 0 || drainingCount+partCount > max(maxDraining, partCount) || partCount > 1 && partCount >= len(mc.engines) {
		return
	}
	wt.draining = true
	for range partCount {
		en := mc.leastReservedEngine(wt)
		if en == nil {
			mc.stopDraining(wt)
			return
		}
		en.drainingFor = wt
	}
}

// leastReservedEngine returns the engine with the least reserved memory among those that may be drained for a request,
// or nil if there is none.
func (mc *Machine) leastReservedEngine(wt *waitingRequest) *engine {
	var best *engine
	for _, en := range mc.engines {
		if en.drainingFor != nil || en.exclusiveAttempt != "" || wt.mustAvoid(en) || !en.acceptsModel(wt.Model) {
			continue
		}
		if best == nil || en.reservedTokens < best.reservedTokens {
			best = en
		}
	}
	return best
}

// stopDraining ends the drain of the engines that are drained for a request, if there are any.
func (mc *Machine) stopDraining(wt *waitingRequest) {
	if !wt.draining {
		return
	}
	wt.draining = false
	for _, en := range mc.engines {
		if en.drainingFor == wt {
			en.drainingFor = nil
		}
	}
}

// maybePreempt revokes one grant for a long prompt after a short prompt of the same model found no room. It picks the
// longest prompt beyond the second band whose first token has not arrived; among equals, the one with the highest
// attempt identifier, so that the choice is deterministic.
func (mc *Machine) maybePreempt(now time.Time, wt *waitingRequest) {
	if !mc.config.Policy.PreemptLongPrompts || wt.PromptTokens > MaxShortPrompt {
		return
	}
	var victim *activeGrant
	for _, gr := range mc.grantsByAttempt {
		if gr.started || gr.request.PromptTokens <= bandLimits[1] || gr.request.Model != wt.Model {
			continue
		}
		if victim == nil || gr.request.PromptTokens > victim.request.PromptTokens ||
			gr.request.PromptTokens == victim.request.PromptTokens && gr.Attempt > victim.Attempt {
			victim = gr
		}
	}
	if victim == nil {
		return
	}
	mc.releaseGrant(now, victim)
	mc.cancelOnEngines(victim)
	mc.addEffect(Effect{Kind: Preempted, Request: victim.request.ID, Attempt: victim.Attempt})
}
