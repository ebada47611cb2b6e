package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// engine is the machine's view of one engine. Pending prefill is predicted from the grants made
// and corrected by load reports, which are old when they arrive.
type engine struct {
	EngineSpec
	reservedTokens       id.Tokens
	unknownAttemptTokens id.Tokens
	streamCount          int
	// pendingPrefill counts pending prompt tokens by class, unstarted the grants that wait for their first token.
	pendingPrefill  [prefillClasses]float64
	unstartedGrants [prefillClasses]int
	advancedAt      time.Time
	// exclusiveAttempt is the attempt that has the engine for itself.
	exclusiveAttempt id.Attempt
	// drainingFor is the request that the engine is being emptied for.
	drainingFor *waitingRequest
	// recentGrants holds the prompt tokens granted lately, to correct old reports.
	recentGrants []recentGrant
	cachedBlocks map[uint64]struct{}
	unknownSince map[id.Attempt]time.Time
}

type recentGrant struct {
	grantedAt     time.Time
	prefillTokens float64
}

func (mc *Machine) setEngine(now time.Time, spec EngineSpec) {
	if en, ok := mc.enginesByName[spec.Engine]; ok {
		mc.totalTokens += spec.CapacityTokens - en.CapacityTokens
		en.EngineSpec = spec
		return
	}
	en := &engine{
		EngineSpec:   spec,
		advancedAt:   now,
		cachedBlocks: map[uint64]struct{}{},
		unknownSince: map[id.Attempt]time.Time{},
	}
	mc.enginesByName[spec.Engine] = en
	mc.totalTokens += spec.CapacityTokens
	index, _ := slices.BinarySearchFunc(mc.engines, spec.Engine, func(en *engine, name id.Engine) int {
		return strings.Compare(string(en.Engine), string(name))
	})
	mc.engines = slices.Insert(mc.engines, index, en)
	for _, gr := range mc.grantsByAttempt {
		for partIndex, part := range gr.Parts {
			if part.Engine == spec.Engine {
				en.reservedTokens += part.PromptTokens + gr.answerTokensOf(partIndex)
				en.streamCount++
				if !gr.started {
					en.unstartedGrants[prefillClass(part.PromptTokens)]++
				}
			}
		}
	}
}

func (mc *Machine) removeEngine(name id.Engine) {
	if en, ok := mc.enginesByName[name]; ok {
		mc.totalTokens -= en.CapacityTokens
	}
	delete(mc.enginesByName, name)
	mc.engines = slices.DeleteFunc(mc.engines, func(en *engine) bool { return en.Engine == name })
}

// acceptsModel reports whether an engine takes new work for a model.
func (en *engine) acceptsModel(model id.Model) bool {
	return !en.Leaving && slices.Contains(en.Models, model)
}

// prefillRate returns the prompt tokens per second that an engine processes beside its decoding streams.
func (mc *Machine) prefillRate(en *engine) float64 {
	step := mc.config.BaseStepTime + time.Duration(en.streamCount)*mc.config.StepTimePerStream
	return min(mc.config.PrefillTokensPerSecond, mc.config.PrefillTokensPerStep/step.Seconds())
}

// advancePrefill lets the predicted prefill progress up to now, highest class first.
func (mc *Machine) advancePrefill(now time.Time, en *engine) {
	elapsedSeconds := now.Sub(en.advancedAt).Seconds()
	if elapsedSeconds <= 0 {
		return
	}
	en.advancedAt = now
	budget := elapsedSeconds * mc.prefillRate(en)
	for class := range en.pendingPrefill {
		processed := min(budget, en.pendingPrefill[class])
		en.pendingPrefill[class] -= processed
		budget -= processed
	}
}

// pendingTokens returns the predicted prompt tokens that are not processed.
func (en *engine) pendingTokens() float64 {
	var total float64
	for _, tokens := range en.pendingPrefill {
		total += tokens
	}
	return total
}

// tokensAhead returns the pending prompt tokens that are processed before a new prompt of a class.
func (en *engine) tokensAhead(class int, priorityScheduling bool) float64 {
	if !priorityScheduling {
		return en.pendingTokens()
	}
	var total float64
	for aheadClass := range class + 1 {
		total += en.pendingPrefill[aheadClass]
	}
	return total
}

// addPart adds a part of a grant to its engine.
func (mc *Machine) addPart(now time.Time, gr *activeGrant, partIndex int) {
	part := gr.Parts[partIndex]
	en, ok := mc.enginesByName[part.Engine]
	if !ok {
		return
	}
	mc.advancePrefill(now, en)
	en.reservedTokens += part.PromptTokens + gr.answerTokensOf(partIndex)
	en.streamCount++
	delete(en.unknownSince, gr.Attempt)
	if gr.started {
		return
	}
	en.unstartedGrants[prefillClass(part.PromptTokens)]++
	uncachedTokens := float64(part.PromptTokens - mc.cachedTokens(en, gr.request.PrefixHashes, part.PromptTokens))
	en.pendingPrefill[prefillClass(part.PromptTokens)] += uncachedTokens
	en.recentGrants = append(en.recentGrants, recentGrant{grantedAt: now, prefillTokens: uncachedTokens})
}

// clearPendingPrefill removes what is left of the predicted prefill of a grant whose first token has arrived or that has ended,
// when no other grant of its class waits for its first token on the engine.
func (mc *Machine) clearPendingPrefill(now time.Time, gr *activeGrant) {
	for _, part := range gr.Parts {
		en, ok := mc.enginesByName[part.Engine]
		if !ok {
			continue
		}
		mc.advancePrefill(now, en)
		class := prefillClass(part.PromptTokens)
		en.unstartedGrants[class]--
		if en.unstartedGrants[class] == 0 {
			en.pendingPrefill[class] = 0
		}
	}
}

// correctPendingPrefill corrects the predicted prefill: what was pending then, plus what was granted since,
// less what the engine has processed since.
func (mc *Machine) correctPendingPrefill(now time.Time, ev ReportLoad) {
	en, ok := mc.enginesByName[ev.Engine]
	if !ok {
		return
	}
	mc.advancePrefill(now, en)
	newerGrants := en.recentGrants[:0]
	var tokensSinceReport float64
	for _, recent := range en.recentGrants {
		if recent.grantedAt.After(ev.MeasuredAt) {
			tokensSinceReport += recent.prefillTokens
			newerGrants = append(newerGrants, recent)
		}
	}
	en.recentGrants = newerGrants
	estimate := max(0, float64(ev.PendingTokens)+tokensSinceReport-now.Sub(ev.MeasuredAt).Seconds()*mc.prefillRate(en))
	mc.setPendingPrefill(en, estimate)
}

// setPendingPrefill moves the predicted prefill to an estimate, the lowest class first.
func (mc *Machine) setPendingPrefill(en *engine, estimate float64) {
	excess := en.pendingTokens() - estimate
	for class := prefillClasses - 1; class >= 0 && excess > 0; class-- {
		removed := min(excess, en.pendingPrefill[class])
		en.pendingPrefill[class] -= removed
		excess -= removed
	}
	if excess < 0 {
		en.pendingPrefill[prefillClasses-1] -= excess
	}
}

// cancelOrphans compares the attempts on an engine with the grants. Attempts that stay unknown are cancelled.
func (mc *Machine) cancelOrphans(now time.Time, ev ListAttempts) {
	en, ok := mc.enginesByName[ev.Engine]
	if !ok {
		return
	}
	var unknownTokens id.Tokens
	unknownSince := map[id.Attempt]time.Time{}
	for _, listed := range ev.Attempts {
		if _, granted := mc.grantsByAttempt[listed.Attempt]; granted {
			continue
		}
		unknownTokens += listed.Tokens
		firstListed, listedBefore := en.unknownSince[listed.Attempt]
		if !listedBefore {
			firstListed = now
		}
		unknownSince[listed.Attempt] = firstListed
		if now.Sub(firstListed) >= mc.config.OrphanTimeout {
			mc.addEffect(Effect{Kind: CancelAttempt, Attempt: listed.Attempt, Request: id.RequestOf(listed.Attempt), Engine: en.Engine, Address: en.Address})
		}
	}
	en.unknownSince = unknownSince
	en.unknownAttemptTokens = unknownTokens
}

func (mc *Machine) updateCache(ev UpdateCache) {
	en, ok := mc.enginesByName[ev.Engine]
	if !ok {
		return
	}
	if ev.Evicted {
		delete(en.cachedBlocks, ev.Block)
		return
	}
	const maxBlocks = 4096
	if len(en.cachedBlocks) >= maxBlocks {
		clear(en.cachedBlocks)
	}
	en.cachedBlocks[ev.Block] = struct{}{}
}

// blockTokens is the number of prompt tokens in a prefix block.
const blockTokens = 256

func (mc *Machine) cachedTokens(en *engine, prefixHashes []uint64, promptTokens id.Tokens) id.Tokens {
	if !mc.config.Policy.PrefixAffinity {
		return 0
	}
	var cached id.Tokens
	for _, block := range prefixHashes {
		if _, ok := en.cachedBlocks[block]; !ok {
			break
		}
		cached += blockTokens
	}
	return max(0, min(cached, promptTokens-1))
}
