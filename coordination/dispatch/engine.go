package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// engine is the machine's view of one engine. Its pending prefill is predicted from the grants issued. Load reports
// correct the prediction; they describe an earlier time than that of their arrival.
type engine struct {
	EngineSpec
	// reservedTokens is the memory that active grants reserve on the engine.
	reservedTokens id.Tokens
	// unknownAttemptTokens is the memory that the engine last listed for attempts without an active grant.
	unknownAttemptTokens id.Tokens
	// streamCount is the number of parts of active grants on the engine.
	streamCount int
	// pendingPrefill is the predicted number of prompt tokens that are still to be processed, by prefill class.
	// unstartedGrants counts the grants that wait for their first token, also by prefill class.
	pendingPrefill  [prefillClasses]float64
	unstartedGrants [prefillClasses]int
	// pendingPrefillAt is the time for which pendingPrefill was last predicted.
	pendingPrefillAt time.Time
	// exclusiveAttempt is the attempt with RunAlone that occupies the engine; empty if there is none.
	exclusiveAttempt id.Attempt
	// held says that the engine gets no new grants because it has crashed.
	held bool
	// drainingFor is the request that the engine is drained for; nil if there is none.
	drainingFor *waitingRequest
	// unreportedGrants holds the grants that no load report covers yet, oldest first.
	unreportedGrants []unreportedGrant
	// cachedBlocks holds the hashes of the blocks in the engine's prefix cache.
	cachedBlocks map[uint64]struct{}
	// unknownAttemptsSince holds, for each listed attempt without an active grant, when it was first listed.
	unknownAttemptsSince map[id.Attempt]time.Time
}

// unreportedGrant is the prefill that a grant added to an engine after the time of the last load report.
type unreportedGrant struct {
	grantedAt     time.Time
	prefillTokens float64
}

// setEngine adds an engine or replaces its description. A new engine starts with the reservations of the active grants
// that name it, because a grant may be adopted before its engine is known, and an engine may reappear after its
// removal.
func (mc *Machine) setEngine(now time.Time, spec EngineSpec) {
	if en, ok := mc.enginesByName[spec.Engine]; ok {
		mc.totalCapacityTokens += spec.CapacityTokens - en.CapacityTokens
		en.EngineSpec = spec
		en.held = false
		return
	}
	en := &engine{
		EngineSpec:           spec,
		pendingPrefillAt:     now,
		cachedBlocks:         map[uint64]struct{}{},
		unknownAttemptsSince: map[id.Attempt]time.Time{},
	}
	mc.enginesByName[spec.Engine] = en
	mc.totalCapacityTokens += spec.CapacityTokens
	index, _ := slices.BinarySearchFunc(mc.engines, spec.Engine, func(en *engine, name id.Engine) int {
		return strings.Compare(string(en.Engine), string(name))
	})
	mc.engines = slices.Insert(mc.engines, index, en)
	for _, gr := range mc.grantsByAttempt {
		for partIndex, part := range gr.Parts {
			if part.Engine == spec.Engine {
				en.reservedTokens += part.PromptTokens + gr.answerTokensOf(partIndex)
				en.streamCount++
				if gr.RunsAlone {
					en.exclusiveAttempt = gr.Attempt
				}
				if !gr.started {
					en.unstartedGrants[prefillClass(part.PromptTokens)]++
				}
			}
		}
	}
}

// removeEngine removes an engine. Its grants stay active until they are finished or expire.
func (mc *Machine) removeEngine(name id.Engine) {
	if en, ok := mc.enginesByName[name]; ok {
		mc.totalCapacityTokens -= en.CapacityTokens
	}
	delete(mc.enginesByName, name)
	mc.engines = slices.DeleteFunc(mc.engines, func(en *engine) bool { return en.Engine == name })
}

// acceptsModel reports whether the engine accepts new requests for a model.
func (en *engine) acceptsModel(model id.Model) bool {
	return !en.Leaving && slices.Contains(en.Models, model)
}

// prefillRate returns the number of prompt tokens that an engine processes per second while it decodes its streams. It
// is PrefillTokensPerSecond at most. Because at most PrefillTokensPerStep fit into one step, and each stream lengthens
// the step, the rate falls once there are so many streams that this limit is the lower one.
func (mc *Machine) prefillRate(en *engine) float64 {
	stepTime := mc.config.BaseStepTime + time.Duration(en.streamCount)*mc.config.StepTimePerStream
	return min(mc.config.PrefillTokensPerSecond, mc.config.PrefillTokensPerStep/stepTime.Seconds())
}

// advancePrefill subtracts what an engine is predicted to have processed up to now from its pending prefill, beginning
// with the class of the shortest prompts, which has the highest priority.
func (mc *Machine) advancePrefill(now time.Time, en *engine) {
	elapsedSeconds := now.Sub(en.pendingPrefillAt).Seconds()
	if elapsedSeconds <= 0 {
		return
	}
	en.pendingPrefillAt = now
	processableTokens := elapsedSeconds * mc.prefillRate(en)
	for class := range en.pendingPrefill {
		processed := min(processableTokens, en.pendingPrefill[class])
		en.pendingPrefill[class] -= processed
		processableTokens -= processed
	}
}

// pendingTokens returns the predicted number of prompt tokens that are still to be processed, over all classes.
func (en *engine) pendingTokens() float64 {
	var total float64
	for _, tokens := range en.pendingPrefill {
		total += tokens
	}
	return total
}

// tokensAhead returns the number of pending prompt tokens that are processed before a new prompt of a class. With
// priority scheduling, these are only the tokens of the same class and of classes of shorter prompts; otherwise all
// pending tokens.
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

// addPart adds one part of a grant to its engine: the reserved memory, the stream and, unless the grant has started,
// the prefill of the prompt tokens that are not cached. It does nothing if the engine is not known.
func (mc *Machine) addPart(now time.Time, gr *activeGrant, partIndex int) {
	part := gr.Parts[partIndex]
	en, ok := mc.enginesByName[part.Engine]
	if !ok {
		return
	}
	mc.advancePrefill(now, en)
	en.reservedTokens += part.PromptTokens + gr.answerTokensOf(partIndex)
	en.streamCount++
	if gr.RunsAlone {
		en.exclusiveAttempt = gr.Attempt
	}
	delete(en.unknownAttemptsSince, gr.Attempt)
	if gr.started {
		return
	}
	en.unstartedGrants[prefillClass(part.PromptTokens)]++
	uncachedTokens := float64(part.PromptTokens - mc.cachedTokens(en, gr.request.PrefixHashes, part.PromptTokens))
	en.pendingPrefill[prefillClass(part.PromptTokens)] += uncachedTokens
	en.unreportedGrants = append(en.unreportedGrants, unreportedGrant{grantedAt: now, prefillTokens: uncachedTokens})
}

// recordPrefillEnd is called when the first token of a grant has arrived or when a grant has ended without one. On each
// engine of the grant, it decrements unstartedGrants. If no other grant of the class waits for its first token there,
// it sets the pending prefill of the class to zero, which removes errors of the prediction.
func (mc *Machine) recordPrefillEnd(now time.Time, gr *activeGrant) {
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

// correctPendingPrefill corrects the pending prefill of an engine by a load report: the tokens that were pending when
// the load was measured, plus those granted since then, less those that the engine is predicted to have processed since
// then.
func (mc *Machine) correctPendingPrefill(now time.Time, ev ReportLoad) {
	en, ok := mc.enginesByName[ev.Engine]
	if !ok {
		return
	}
	mc.advancePrefill(now, en)
	newerGrants := en.unreportedGrants[:0]
	var tokensSinceReport float64
	for _, unreported := range en.unreportedGrants {
		if unreported.grantedAt.After(ev.MeasuredAt) {
			tokensSinceReport += unreported.prefillTokens
			newerGrants = append(newerGrants, unreported)
		}
	}
	en.unreportedGrants = newerGrants
	estimate := max(0, float64(ev.PendingTokens)+tokensSinceReport-now.Sub(ev.MeasuredAt).Seconds()*mc.prefillRate(en))
	mc.setPendingPrefill(en, estimate)
}

// setPendingPrefill changes the pending prefill of an engine so that its sum over all classes equals an estimate. It
// removes an excess from the classes of the longest prompts first, because the engine processes those last, and adds
// what is missing to the class of the longest prompts.
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

// cancelOrphans compares the attempts that an engine lists with the active grants. Memory of attempts without an active
// grant is not granted to others. Once an attempt has been listed without a grant for OrphanTimeout, every further list
// that still contains it causes a cancellation.
func (mc *Machine) cancelOrphans(now time.Time, ev ListAttempts) {
	en, ok := mc.enginesByName[ev.Engine]
	if !ok {
		return
	}
	var unknownTokens id.Tokens
	unknownAttemptsSince := map[id.Attempt]time.Time{}
	for _, listed := range ev.Attempts {
		if _, granted := mc.grantsByAttempt[listed.Attempt]; granted {
			continue
		}
		unknownTokens += listed.Tokens
		firstListed, listedBefore := en.unknownAttemptsSince[listed.Attempt]
		if !listedBefore {
			firstListed = now
		}
		unknownAttemptsSince[listed.Attempt] = firstListed
		if now.Sub(firstListed) >= mc.config.OrphanTimeout {
			mc.addEffect(Effect{Kind: CancelAttempt, Attempt: listed.Attempt, Request: id.RequestOf(listed.Attempt), Engine: en.Engine, Address: en.Address})
		}
	}
	en.unknownAttemptsSince = unknownAttemptsSince
	en.unknownAttemptTokens = unknownTokens
}

// updateCache applies a change of an engine's prefix cache. If maxBlocks blocks of the engine are recorded already, all
// of them are dropped before the new one is added, which bounds the memory of the machine.
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

// blockTokens is the number of prompt tokens in one block of the prefix cache.
const blockTokens = 256

// cachedTokens returns how many leading tokens of a prompt are in an engine's prefix cache, and 0 without
// PrefixAffinity. It is less than the length of the prompt, because an engine processes at least one token of each
// prompt.
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
