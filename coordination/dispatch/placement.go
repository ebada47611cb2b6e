package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// maxSpreadFactor bounds the number of engines that a prompt is spread over, as a multiple of the number that can hold
// it if they are empty.
const maxSpreadFactor = 2

// dispatch issues grants to the waiting requests that can start now, first to those with RunAlone.
func (mc *Machine) dispatch(now time.Time) {
	mc.dispatchRunAlone(now)
	for _, mq := range mc.modelQueues {
		mc.dispatchModel(now, mq)
	}
}

// dispatchRunAlone issues grants to requests with RunAlone for which an idle engine exists.
func (mc *Machine) dispatchRunAlone(now time.Time) {
	for ix := 0; ix < len(mc.runAloneQueue); {
		wt := mc.runAloneQueue[ix]
		parts, ok := mc.chooseEngines(now, wt)
		if !ok {
			ix++
			continue
		}
		mc.runAloneQueue = slices.Delete(mc.runAloneQueue, ix, ix+1)
		mc.issueGrant(now, wt, parts)
	}
}

// dispatchModel issues grants to the requests that wait for one model, lane by lane in the order that nextLane gives. A
// lane whose head finds no room is blocked for the rest of the call, so that it does not delay the other lanes; engines
// may be drained or a grant preempted for its head.
func (mc *Machine) dispatchModel(now time.Time, mq *modelQueue) {
	var blockedLanes [PromptBandCount + 1]bool
	for {
		laneIndex := mc.nextLane(now, mq, &blockedLanes)
		if laneIndex < 0 {
			return
		}
		ln := &mq.lanes[laneIndex]
		wt := ln.head()
		parts, ok := mc.chooseEngines(now, wt)
		if !ok {
			blockedLanes[laneIndex] = true
			mc.maybeDrain(now, wt)
			mc.maybePreempt(now, wt)
			continue
		}
		ln.popHead()
		mc.stopDraining(wt)
		mc.issueGrant(now, wt, parts)
	}
}

// nextLane returns the index of the lane to serve next, or -1 if every lane is empty or blocked. The lane of
// interrupted requests goes first, then the lane whose head has the lowest rank.
func (mc *Machine) nextLane(now time.Time, mq *modelQueue, blockedLanes *[PromptBandCount + 1]bool) int {
	bestLane := -1
	var bestRank float64
	interruptedLane := len(mq.lanes) - 1
	if !blockedLanes[interruptedLane] && mq.lanes[interruptedLane].head() != nil {
		return interruptedLane
	}
	for laneIndex := range interruptedLane {
		if blockedLanes[laneIndex] {
			continue
		}
		wt := mq.lanes[laneIndex].head()
		if wt == nil {
			continue
		}
		rank := mc.config.Policy.Ordering.Rank(LaneHead{
			PromptTokens: wt.PromptTokens,
			PrefillTime:  mc.prefillTime(float64(wt.PromptTokens)),
			Waited:       now.Sub(wt.waitingSince),
			Slack:        wt.latestStart.Sub(wt.waitingSince),
			Priority:     wt.Priority,
		})
		if bestLane < 0 || rank < bestRank {
			bestLane = laneIndex
			bestRank = rank
		}
	}
	return bestLane
}

// issueGrant makes a waiting request an active grant on the given parts. The caller has removed it from its queue.
func (mc *Machine) issueGrant(now time.Time, wt *waitingRequest, parts []Part) {
	delete(mc.waitingByID, wt.ID)
	wt.removed = true
	gr := &activeGrant{
		Grant: Grant{
			Attempt:      id.NewAttempt(wt.ID, wt.AttemptNumber),
			Parts:        parts,
			AnswerTokens: wt.plannedAnswerTokens,
			RunsAlone:    wt.RunAlone,
		},
		request:   wt.Request,
		renewedAt: now,
	}
	if mc.config.Policy.EnginePriority {
		gr.Priority = enginePriorityFor(agedPromptTokens(now, wt, parts[0].PromptTokens))
	}
	mc.grantsByAttempt[gr.Attempt] = gr
	mc.grantsByRequest[wt.ID] = gr
	mc.shortPromptTokens += gr.shortPromptTokens()
	for partIndex := range parts {
		mc.addPart(now, gr, partIndex)
	}
	mc.grantsIssued++
	mc.addEffect(Effect{Kind: Granted, Request: wt.ID, Attempt: gr.Attempt, Grant: &gr.Grant})
}

// agedPromptTokens returns the prompt length from which the priority of a grant inside engines is derived. For a long
// prompt it is the length of the part, reduced by the fraction of its slack that the request has waited, so that long
// prompts gain priority with time. It stays above MaxShortPrompt.
func agedPromptTokens(now time.Time, wt *waitingRequest, partTokens id.Tokens) id.Tokens {
	slack := wt.latestStart.Sub(wt.waitingSince)
	if partTokens <= MaxShortPrompt || slack <= 0 {
		return partTokens
	}
	remainingShare := 1 - float64(now.Sub(wt.waitingSince))/float64(slack)
	return max(MaxShortPrompt+1, id.Tokens(float64(partTokens)*remainingShare))
}

// minParts returns the number of engines that are needed to hold a prompt and its answer, or 0 if the shard can't hold
// them even when it is idle. It assumes that every engine has the memory of the largest one.
func (mc *Machine) minParts(wt *waitingRequest) int {
	return mc.minPartsOn(wt, func(en *engine) bool { return en.acceptsModel(wt.Model) })
}

// minPartsOn is minParts with the engines for which usable returns true.
func (mc *Machine) minPartsOn(wt *waitingRequest, usable func(en *engine) bool) int {
	var maxUsable id.Tokens
	engineCount := 0
	for _, en := range mc.engines {
		if usable(en) {
			maxUsable = max(maxUsable, mc.usableTokens(en, wt.PromptTokens))
			engineCount++
		}
	}
	if maxUsable == 0 {
		return 0
	}
	neededTokens := wt.PromptTokens + wt.plannedAnswerTokens
	partCount := int((neededTokens + maxUsable - 1) / maxUsable)
	if partCount > engineCount {
		return 0
	}
	return partCount
}

// usableTokens returns the memory of an engine up to which it may be filled, by all requests together, when a prompt of
// the given length is added. It is lower for long prompts, because a share of the memory is reserved for short ones.
func (mc *Machine) usableTokens(en *engine, promptTokens id.Tokens) id.Tokens {
	if promptTokens <= MaxShortPrompt {
		return en.CapacityTokens
	}
	return id.Tokens(float64(en.CapacityTokens) * (1 - mc.shortPromptShare()))
}

// shortPromptShare returns the fraction of each engine's memory and streams that is reserved for short prompts. An
// adaptive share is the fraction of the shard's memory that short prompts reserve now times headroomFactor, which
// leaves room for half as much again, plus minShare, up to the fixed share.
func (mc *Machine) shortPromptShare() float64 {
	if !mc.config.Policy.AdaptiveShortPromptShare || mc.totalCapacityTokens == 0 {
		return mc.config.Policy.ShortPromptShare
	}
	const headroomFactor, minShare = 1.5, 0.01
	return min(mc.config.Policy.ShortPromptShare, minShare+headroomFactor*float64(mc.shortPromptTokens)/float64(mc.totalCapacityTokens))
}

// chooseEngines chooses the engines for a request and divides the prompt among them. It returns false if the request
// has to wait. A prompt is spread over as few engines as can hold it. If these have no room now, a prompt beyond the
// third band is spread over more, up to maxSpreadFactor times as many, provided that the policy allows it.
func (mc *Machine) chooseEngines(now time.Time, wt *waitingRequest) ([]Part, bool) {
	minParts := mc.minParts(wt)
	if minParts == 0 {
		return nil, false
	}
	maxParts := minParts
	if mc.config.Policy.SpreadLongPrompts && wt.PromptTokens > bandLimits[2] {
		maxParts = minParts * maxSpreadFactor
	}
	wt.avoidsEngines = mc.canAvoidEngines(wt, minParts)
	for partCount := minParts; partCount <= maxParts; partCount++ {
		if chosen, ok := mc.chooseParts(now, wt, partCount); ok {
			return chosen, true
		}
	}
	return nil, false
}

// canAvoidEngines reports whether enough engines for a request remain if it avoids AvoidedEngines. In a small shard
// there may be too few.
func (mc *Machine) canAvoidEngines(wt *waitingRequest, partCount int) bool {
	remainingEngines := 0
	for _, en := range mc.engines {
		if en.acceptsModel(wt.Model) && !slices.Contains(wt.AvoidedEngines, en.Engine) {
			remainingEngines++
		}
	}
	return remainingEngines >= partCount
}

// mustAvoid reports whether the request must not run on an engine: the engine is one of AvoidedEngines, and the others
// suffice.
func (wt *waitingRequest) mustAvoid(en *engine) bool {
	return wt.avoidsEngines && slices.Contains(wt.AvoidedEngines, en.Engine)
}

// chooseParts divides a prompt evenly among the given number of engines, which are those with room that the router
// prefers. It returns false if fewer engines have room.
func (mc *Machine) chooseParts(now time.Time, wt *waitingRequest, partCount int) ([]Part, bool) {
	partTokens := (wt.PromptTokens + id.Tokens(partCount) - 1) / id.Tokens(partCount)
	var candidateStorage [8]Candidate
	candidates := candidateStorage[:0]
	for engineIndex, en := range mc.engines {
		if !mc.hasRoom(now, en, wt, partTokens) {
			continue
		}
		candidates = mc.insertCandidate(candidates, mc.newCandidate(engineIndex, en, wt, partTokens), partCount)
	}
	if len(candidates) < partCount {
		return nil, false
	}
	chosenParts := make([]Part, 0, partCount)
	remainingTokens := wt.PromptTokens
	for _, candidate := range candidates {
		en := mc.engines[candidate.EngineIndex]
		tokens := min(partTokens, remainingTokens)
		remainingTokens -= tokens
		chosenParts = append(chosenParts, Part{Engine: en.Engine, Address: en.Address, PromptTokens: tokens})
	}
	return chosenParts, true
}

// insertCandidate inserts a candidate into best, which lists the candidates that the router prefers, the most preferred
// first. The result has at most limit entries.
func (mc *Machine) insertCandidate(best []Candidate, candidate Candidate, limit int) []Candidate {
	index := len(best)
	for index > 0 && mc.config.Policy.Router.Better(candidate, best[index-1], mc.roundRobinStart()) {
		index--
	}
	if index == limit {
		return best
	}
	best = slices.Insert(best, index, candidate)
	return best[:min(len(best), limit)]
}

// roundRobinStart returns the index of the engine that a round-robin router prefers now.
func (mc *Machine) roundRobinStart() int {
	return mc.grantsIssued % max(1, len(mc.engines))
}

func (mc *Machine) newCandidate(engineIndex int, en *engine, wt *waitingRequest, partTokens id.Tokens) Candidate {
	cachedTokens := mc.cachedTokens(en, wt.PrefixHashes, partTokens)
	tokensAhead := en.tokensAhead(prefillClass(partTokens), mc.config.Policy.EnginePriority)
	return Candidate{
		EngineIndex:      engineIndex,
		TimeToFirstToken: mc.predictTimeToFirstToken(en, tokensAhead, float64(partTokens-cachedTokens)),
		PendingTokens:    en.pendingTokens(),
		ReservedTokens:   en.reservedTokens,
		CachedTokens:     cachedTokens,
	}
}

// predictTimeToFirstToken predicts the time to the first token of a new prompt on an engine: half a step, for the step
// in progress, then the prefill of the tokens ahead and of the prompt itself. If prefill is pending, all these steps
// are counted as full of prefill; such steps last longer than those of an engine that only decodes.
func (mc *Machine) predictTimeToFirstToken(en *engine, tokensAhead, ownTokens float64) time.Duration {
	decodeStepSeconds := (mc.config.BaseStepTime + time.Duration(en.streamCount)*mc.config.StepTimePerStream).Seconds()
	fullStepSeconds := max(decodeStepSeconds, mc.config.PrefillTokensPerStep/mc.config.PrefillTokensPerSecond)
	prefillSeconds := (tokensAhead + ownTokens) / mc.prefillRate(en)
	waitSeconds := decodeStepSeconds/2 + max(prefillSeconds, decodeStepSeconds)
	if en.pendingTokens() > 0 {
		stepCount := math.Ceil((tokensAhead + ownTokens) / mc.config.PrefillTokensPerStep)
		waitSeconds = fullStepSeconds/2 + stepCount*fullStepSeconds
	}
	return time.Duration(waitSeconds * float64(time.Second))
}

// hasRoom reports whether an engine can take a part of a request now. An engine that runs a request with RunAlone takes
// no other, and a request with RunAlone needs an engine without streams. Without QueueUntilRoom, the part only has to
// fit into an empty engine, which queues it. With QueueUntilRoom, the engine needs enough memory and a stream that
// prompts of this length may use, and little enough pending prefill. While it is drained for another request, it takes
// no long prompt.
func (mc *Machine) hasRoom(now time.Time, en *engine, wt *waitingRequest, partTokens id.Tokens) bool {
	if en.held || en.exclusiveAttempt != "" || wt.RunAlone && en.streamCount > 0 {
		return false
	}
	if !en.acceptsModel(wt.Model) || wt.mustAvoid(en) {
		return false
	}
	mc.advancePrefill(now, en)
	if !mc.config.Policy.QueueUntilRoom {
		return partTokens+wt.plannedAnswerTokens <= en.CapacityTokens
	}
	if en.drainingFor != nil && en.drainingFor != wt && wt.PromptTokens > MaxShortPrompt {
		return false
	}
	if en.reservedTokens+en.unknownAttemptTokens+partTokens+wt.plannedAnswerTokens > mc.usableTokens(en, wt.PromptTokens) {
		return false
	}
	if en.streamCount >= mc.streamLimit(wt.PromptTokens) {
		return false
	}
	maxPendingTokens := mc.config.MaxPendingPrefill.Seconds() * mc.config.PrefillTokensPerSecond
	return en.tokensAhead(prefillClass(partTokens), mc.config.Policy.EnginePriority) <= maxPendingTokens
}

// streamLimit returns the number of streams at which an engine takes no more prompts of the given length. It is lower
// for long prompts, because a share of the streams is reserved for short ones.
func (mc *Machine) streamLimit(promptTokens id.Tokens) int {
	if promptTokens <= MaxShortPrompt {
		return mc.config.MaxStreams
	}
	return int(float64(mc.config.MaxStreams) * (1 - mc.shortPromptShare()))
}
