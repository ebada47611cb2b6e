package dispatch

import "time"

const (
	// drainAfterSlackShare is the part of a request's slack after which engines are emptied for it.
	drainAfterSlackShare = 0.02
	// maxDrainingShare bounds the engines that are emptied at once, as a part of the shard.
	maxDrainingShare = 0.4
)

// maybeDrain empties engines for a long prompt that has waited for a part of its slack. An engine is emptied for
// one prompt at a time and all engines of a prompt are taken in one step, so two gangs never wait for each other.
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

// maybePreempt takes back the grant of the longest prompt that has not started, when a short prompt finds no memory.
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
