package dispatch

import "time"

const (
	// drainAfter is the part of a request's slack after which engines are emptied for it.
	drainAfter = 0.02
	// drainedShare bounds the engines that are emptied at once, as a part of the shard.
	drainedShare = 0.4
)

// considerDrain empties engines for a long prompt that has waited for a part of its slack. An engine is emptied for
// one prompt at a time and all engines of a prompt are taken in one step, so two gangs never wait for each other.
func (mc *Machine) considerDrain(now time.Time, wt *waiting) {
	if !mc.config.Policy.DrainForLongPrompts || wt.draining || wt.PromptTokens <= MaxShortPrompt {
		return
	}
	slack := wt.latestStart.Sub(wt.since)
	if now.Sub(wt.since) < time.Duration(drainAfter*float64(slack)) {
		return
	}
	parts := mc.partsFor(wt)
	drained := 0
	for _, en := range mc.engines {
		if en.drainFor != nil {
			drained++
		}
	}
	limit := max(1, int(drainedShare*float64(len(mc.engines))))
	if parts == 0 || drained+parts > max(limit, parts) || parts > 1 && parts >= len(mc.engines) {
		return
	}
	wt.draining = true
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
		if en.drainFor != nil || en.alone != "" || wt.avoids(en) || !en.takes(wt.Model) {
			continue
		}
		if best == nil || en.held < best.held {
			best = en
		}
	}
	return best
}

func (mc *Machine) undrain(wt *waiting) {
	if !wt.draining {
		return
	}
	wt.draining = false
	for _, en := range mc.engines {
		if en.drainFor == wt {
			en.drainFor = nil
		}
	}
}

// considerPreempt takes back the grant of the longest prompt that has not started, when a short prompt finds no memory.
func (mc *Machine) considerPreempt(now time.Time, wt *waiting) {
	if !mc.config.Policy.PreemptLongPrompts || wt.PromptTokens > MaxShortPrompt {
		return
	}
	var victim *grant
	for _, gr := range mc.grants {
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
	mc.release(now, victim)
	mc.cancel(victim)
	mc.emit(Effect{Kind: Preempted, Request: victim.request.ID, Attempt: victim.Attempt})
}
