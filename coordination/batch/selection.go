package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// These bound the requests at the head of each queue that one step tries to grant, and with them the work of a step.
const (
	maxShortHeads = 12
	maxLongHeads  = 6
)

// dispatch grants the requests that can start now, short prompts first, and sets when the next tick dispatches again.
func (mc *Machine) dispatch(now time.Time) {
	// maxInterval bounds the time after which a tick dispatches again, also if no waiting request has a predicted start.
	const maxInterval = 200 * time.Millisecond
	if len(mc.waitingByID) == 0 {
		return
	}
	if now.Before(mc.heldUntil) {
		mc.nextDispatchAt = mc.heldUntil
		return
	}
	mc.updateCandidates(now)
	untilNext := min(maxInterval, mc.dispatchQueue(now, &mc.shortQueue, maxShortHeads, mc.proposeShort))
	mc.refuseHopeless(now)
	untilNext = min(untilNext, mc.dispatchQueue(now, &mc.longQueue, maxLongHeads, mc.proposeLong))
	untilNext = min(untilNext, mc.untilNextRequest(now))
	if mc.isCautious(now) {
		// An engine that is skipped because it has prompts to read may have read one at any time.
		untilNext = min(untilNext, mc.config.DispatchLead)
	}
	// The lower bound keeps the ticks from dispatching again immediately if a request may start within DispatchLead.
	mc.nextDispatchAt = now.Add(max(untilNext-mc.config.DispatchLead, mc.config.DispatchLead/2))
}

// untilNextRequest returns the time until the first engine that has used up its request limit may get another request,
// or math.MaxInt64 if there is no such engine.
func (mc *Machine) untilNextRequest(now time.Time) time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, en := range mc.engines {
		if wait := en.requests.Wait(now); wait > 0 && en.isUsable(now) && !en.isWithheld() {
			next = min(next, wait)
		}
	}
	return next
}

// proposal is a grant that a request may get. Proposals for short prompts leave start and finish zero, so they are
// granted immediately.
type proposal struct {
	grant *activeGrant
	// start is the predicted time until all its engines are free.
	start time.Duration
	// finish is the predicted time until the prompt has been read.
	finish time.Duration
}

// dispatchQueue grants requests in the order of the queue. Requests behind a waiting one are granted now only if their
// prompts are read before the waiting one can start. It returns the time until that start, or math.MaxInt64 if no
// waiting request has a predicted start.
func (mc *Machine) dispatchQueue(now time.Time, qu *queue, limit int, propose func(time.Time, *waitingRequest) (proposal, bool)) time.Duration {
	untilFirstStart := time.Duration(math.MaxInt64)
	mc.headBuffer = qu.appendHeads(now.Add(mc.startOverhead(qu)-mc.config.StartOverhead), limit, mc.headBuffer[:0])
	for _, wt := range mc.headBuffer {
		prop, ok := propose(now, wt)
		if !ok {
			continue
		}
		if prop.start > mc.config.DispatchLead || prop.finish > untilFirstStart {
			untilFirstStart = min(untilFirstStart, max(prop.start, mc.config.DispatchLead))
			continue
		}
		mc.issueGrant(now, wt, prop.grant)
		mc.updateCandidates(now)
	}
	return untilFirstStart
}

// issueGrant takes a request out of its queue and grants it its engines.
func (mc *Machine) issueGrant(now time.Time, wt *waitingRequest, gr *activeGrant) {
	mc.removeWaiting(wt)
	gr.Attempt = id.NewAttempt(wt.ID, wt.AttemptNumber)
	gr.request = wt.Request
	gr.renewedAt = now
	gr.needsShortPasses = mc.hasShortPrompt(wt) || mc.hasStrictPause(wt.Request)
	gr.Urgency = urgencyOf(wt)
	gr.grantedAt = now
	if mc.config.KeepsSlotsUsable && mc.hasShortPrompt(wt) {
		mc.room.countMemory(wt.PromptTokens + wt.MaxAnswerTokens)
	}
	gr.PredictedFirstEvent = gr.firstEventAt.Sub(now)
	if mc.config.CorrectsPredictions {
		gr.PredictedFirstEvent = mc.correctionFor(len(gr.Parts)).correct(gr.modelledFirstEvent)
	}
	gr.SuspectParts = wt.SuspectParts
	for _, part := range gr.Parts {
		mc.enginesByName[part.Engine].requests.Reserve(now, 0)
	}
	mc.addGrant(gr)
	mc.effects = append(mc.effects, Effect{Kind: Granted, Request: wt.ID, Grant: gr.Grant})
}

// hasStrictPause reports whether a request's MaxPause is about as short as the shortest MaxPause of all requests
// submitted or taken over so far. That shortest MaxPause never rises, not even after the requests that had it have ended.
func (mc *Machine) hasStrictPause(rq Request) bool {
	// The tolerance makes pauses that differ little count alike.
	const tolerance = 1.25
	return rq.MaxPause > 0 && float64(rq.MaxPause) <= tolerance*float64(mc.strictestPause)
}

// urgencyOf returns the urgency of a request inside an engine: the whole seconds of its FirstEventTarget, at most 9.
func urgencyOf(wt *waitingRequest) int {
	const maxUrgency = 9
	return min(maxUrgency, int(wt.FirstEventTarget/time.Second))
}

// candidate is an engine that may get a request or a part of it.
type candidate struct {
	engine *engine
	load   load
	// waitTime is the predicted time until the engine has read all prompts granted to it.
	waitTime time.Duration
	// passTime is the duration of a pass in which the engine only writes answers.
	passTime time.Duration
	// readBudget is the additional reading time that the engine can take in one pass without an answer pausing too long.
	readBudget time.Duration
}

// updateCandidates computes the engines that may get new work, with their current load.
func (mc *Machine) updateCandidates(now time.Time) {
	mc.candidatesAt = now
	mc.candidates = mc.candidates[:0]
	mc.minTasks = math.MaxInt
	for _, en := range mc.engines {
		en.updateLimits(now)
		if !en.isCandidate(now) {
			continue
		}
		mc.minTasks = min(mc.minTasks, len(en.tasks))
		ld := mc.loadOf(now, en)
		cd := candidate{engine: en, load: ld, waitTime: mc.predictedWait(now, en, ld), passTime: mc.passTime(ld), readBudget: math.MaxInt64}
		if ld.pauseLimit > 0 {
			cd.readBudget = mc.scaleByFreeSlots(ld, ld.pauseLimit-mc.config.PauseMargin-cd.passTime) - cd.waitTime
		}
		mc.candidates = append(mc.candidates, cd)
	}
}

// scaleByFreeSlots returns the part of the available time of a pass that may be used for reading. Engines with few free
// slots read less, so that their answers finish sooner and free slots.
func (mc *Machine) scaleByFreeSlots(ld load, available time.Duration) time.Duration {
	freeShare := 1 - float64(ld.slotsUsed)/float64(max(1, mc.profile.Slots))
	return time.Duration(min(1, mc.config.FreeSlotFactor*freeShare) * float64(available))
}

// mayTake reports whether a candidate may get a request or a part of it, regardless of its free memory and slots. It
// checks RunAlone, BackoffUntil and, if avoidFailed is set, AvoidedEngines.
func (mc *Machine) mayTake(cd *candidate, wt *waitingRequest, avoidFailed bool) bool {
	if wt.RunAlone && !mc.mayTakeAloneRequest(cd, wt) || wt.BackoffUntil != nil && mc.candidatesAt.Before(wt.BackoffUntil[cd.engine.Engine]) {
		return false
	}
	return !avoidFailed || !slices.Contains(wt.AvoidedEngines, cd.engine.Engine)
}

// mayTakeAloneRequest reports whether a candidate may get a request that is to run alone. No candidate may while
// another such request with the same content runs.
func (mc *Machine) mayTakeAloneRequest(cd *candidate, wt *waitingRequest) bool {
	for _, gr := range mc.grantsByAttempt {
		if gr.request.RunAlone && gr.request.ContentFingerprint == wt.ContentFingerprint && wt.ContentFingerprint != 0 {
			return false
		}
	}
	return len(cd.engine.tasks) <= mc.maxTasksBeside(wt)
}

// maxTasksBeside returns how many tasks an engine may have that gets a request which is to have it for itself.
func (mc *Machine) maxTasksBeside(wt *waitingRequest) int {
	if mc.candidatesAt.Sub(wt.waitingSince) >= mc.config.RunAloneWait {
		return mc.minTasks
	}
	return 0
}

// mayAnswer reports whether a candidate may answer a request with regard to its suspect parts. Engines that only help to
// read the prompt are not restricted, because it is the answering engine that crashes.
func (mc *Machine) mayAnswer(cd *candidate, wt *waitingRequest) bool {
	switch {
	case len(wt.SuspectParts) == 0:
		return true
	case cd.engine.answersIsolated() || wt.Exclusive && len(cd.engine.tasks) > mc.maxTasksBeside(wt):
		return false
	}
	for _, gr := range mc.grantsByAttempt {
		if gr.isIsolated() && slices.ContainsFunc(wt.SuspectParts, func(part id.PromptPart) bool { return slices.Contains(gr.request.SuspectParts, part) }) {
			return false
		}
	}
	return true
}

// isIsolated reports whether a grant has suspect parts and its answer has not begun.
func (gr *activeGrant) isIsolated() bool { return len(gr.request.SuspectParts) > 0 && !gr.started }

// hasOtherCandidate reports whether a candidate outside the request's AvoidedEngines exists, even one without room for
// the request. The avoided engines get nothing then.
func (mc *Machine) hasOtherCandidate(wt *waitingRequest) bool {
	return len(wt.AvoidedEngines) > 0 && slices.ContainsFunc(mc.candidates, func(cd candidate) bool {
		return !slices.Contains(wt.AvoidedEngines, cd.engine.Engine)
	})
}

// hasRoom reports whether a candidate has the needed memory and a slot to answer a request.
func (mc *Machine) hasRoom(cd *candidate, neededTokens id.Tokens) bool {
	return cd.load.slotsUsed < mc.profile.Slots && cd.load.usedTokens+neededTokens <= mc.profile.Capacity
}

// mayServe reports whether a candidate may get the whole of a request. For avoidFailed see mayTake.
func (mc *Machine) mayServe(cd *candidate, wt *waitingRequest, avoidFailed bool) bool {
	return mc.mayTake(cd, wt, avoidFailed) && mc.hasRoom(cd, wt.PromptTokens+wt.MaxAnswerTokens) && mc.mayAnswer(cd, wt)
}

// proposeShort chooses the engine for a short prompt: the first one, in name order, whose predicted first event comes
// soon enough and that is not packed full. That way short prompts occupy few engines, and the others stay free for long
// prompts. If there is none, it chooses the engine with the earliest predicted first event. It returns false, and the
// request waits, if that event is later than FirstEventTarget and the engine is not about to become free.
func (mc *Machine) proposeShort(now time.Time, wt *waitingRequest) (proposal, bool) {
	if mc.isCautious(now) {
		return mc.proposeCautiously(now, wt)
	}
	packingWait := time.Duration(mc.config.PackingWaitShare * float64(wt.FirstEventTarget))
	packingSlots := max(1, int(mc.config.PackingSlotShare*float64(mc.profile.Slots)))
	avoidFailed := mc.hasOtherCandidate(wt)
	var best *candidate
	var bestFirstEvent time.Duration
	for ix := range mc.candidates {
		cd := &mc.candidates[ix]
		if !mc.mayServe(cd, wt, avoidFailed) {
			continue
		}
		firstEvent := cd.waitTime + wt.readTime + cd.passTime/2
		if len(wt.SuspectParts) > 0 && firstEvent <= wt.FirstEventTarget {
			// The fewer answers the engine writes, the fewer are lost if it crashes.
			if best == nil || bestFirstEvent > wt.FirstEventTarget || cd.load.slotsUsed < best.load.slotsUsed {
				best, bestFirstEvent = cd, firstEvent
			}
			continue
		}
		if firstEvent <= packingWait && cd.load.slotsUsed < packingSlots {
			best, bestFirstEvent = cd, firstEvent
			break
		}
		if mc.config.CorrectsPredictions {
			firstEvent = mc.modelFirstEvent(cd.waitTime, wt.readTime, cd.passTime)
		}
		if best == nil || firstEvent < bestFirstEvent {
			best, bestFirstEvent = cd, firstEvent
		}
	}
	if best == nil || bestFirstEvent > wt.FirstEventTarget && best.waitTime > mc.config.DispatchLead {
		return proposal{}, false
	}
	return mc.shortProposal(now, wt, best), true
}

// proposeLong chooses the engines for a long prompt, which they read in equal parts. It takes the number of engines
// with the earliest predicted end of reading, penalties included, and only engines on which reading a part makes no
// answer pause too long. It returns false if there are none.
func (mc *Machine) proposeLong(now time.Time, wt *waitingRequest) (proposal, bool) {
	mc.sortCandidates(wt)
	var rankedFinish, start time.Duration
	found := false
	maxParts := min(len(mc.orderedIndexes), mc.config.MaxParts)
	for parts := mc.minParts(wt, maxParts); parts <= maxParts; parts += nextPartsStep(parts) {
		trialRankedFinish, trialStart, ok := mc.chooseEngines(now, wt, parts)
		if ok && (!found || trialRankedFinish < rankedFinish) {
			rankedFinish, start, found = trialRankedFinish, trialStart, true
			mc.bestIndexes = append(mc.bestIndexes[:0], mc.chosenIndexes...)
		}
	}
	if !found {
		return proposal{}, false
	}
	partReadTime := wt.readTime / time.Duration(len(mc.bestIndexes))
	return proposal{
		grant: &activeGrant{
			Grant:              Grant{Parts: mc.allocateParts(mc.bestIndexes, wt)},
			partReadTime:       partReadTime,
			firstEventAt:       now.Add(start + partReadTime + mc.longestPass(mc.bestIndexes)/2 + mc.config.GrantDelay),
			modelledFirstEvent: mc.modelFirstEvent(start, partReadTime, mc.longestPass(mc.bestIndexes)),
		},
		start:  start,
		finish: start + partReadTime,
	}, true
}

// nextPartsStep returns how many parts more than the given number are tried next. From four parts on it skips every
// other number, because one more part makes little difference there.
func nextPartsStep(parts int) int {
	const fewParts = 4
	if parts < fewParts {
		return 1
	}
	return 2
}

// longestPass returns the longest passTime of the candidates with the given indexes.
func (mc *Machine) longestPass(indexes []int) time.Duration {
	var longest time.Duration
	for _, ix := range indexes {
		longest = max(longest, mc.candidates[ix].passTime)
	}
	return longest
}

// minParts returns the least number of parts in which a prompt is read: as many as needed for a part to be read within
// the request's own MaxPause less PauseMargin, but no more than MaxMinPartsShare of maxParts and at least 1.
func (mc *Machine) minParts(wt *waitingRequest, maxParts int) int {
	if wt.MaxPause <= 0 {
		return 1
	}
	maxPartReadTime := max(time.Millisecond, wt.MaxPause-mc.config.PauseMargin)
	return max(1, min(int(mc.config.MaxMinPartsShare*float64(maxParts)), int((wt.readTime+maxPartReadTime-1)/maxPartReadTime)))
}

// sortCandidates fills orderedIndexes with the candidates that may get a long prompt: those without requests that need
// short passes come first, then those that answer nothing, then those that are free earliest.
func (mc *Machine) sortCandidates(wt *waitingRequest) {
	avoidFailed := mc.hasOtherCandidate(wt)
	mc.orderedIndexes = mc.orderedIndexes[:0]
	for ix := range mc.candidates {
		if mc.mayTake(&mc.candidates[ix], wt, avoidFailed) {
			mc.orderedIndexes = append(mc.orderedIndexes, ix)
		}
	}
	slices.SortStableFunc(mc.orderedIndexes, func(leftIndex, rightIndex int) int {
		left, right := &mc.candidates[leftIndex], &mc.candidates[rightIndex]
		if byShortPasses := cmp.Compare(min(left.load.shortPassRequests, 1), min(right.load.shortPassRequests, 1)); byShortPasses != 0 {
			return byShortPasses
		}
		if bySlotsUsed := cmp.Compare(min(left.load.slotsUsed, 1), min(right.load.slotsUsed, 1)); bySlotsUsed != 0 {
			return bySlotsUsed
		}
		return cmp.Compare(left.waitTime, right.waitTime)
	})
}

// readBudgetFor returns the reading time that a candidate can take for a request. The margin for arrivals that can't be
// predicted shrinks as the request waits. It never falls below MinPauseMargin: delaying one waiting request is better
// than exceeding the MaxPause of many running ones.
func (mc *Machine) readBudgetFor(now time.Time, cd *candidate, wt *waitingRequest) time.Duration {
	if cd.load.pauseLimit == 0 {
		return cd.readBudget
	}
	usedTargetShare := min(1, float64(now.Sub(wt.ArrivedAt))/float64(max(wt.FirstEventTarget, time.Millisecond)))
	return cd.readBudget + time.Duration(usedTargetShare*float64(mc.config.PauseMargin-mc.config.MinPauseMargin))
}

// chooseEngines fills chosenIndexes with the given number of engines that can take a part each, the answering engine
// first. rankedFinish is the predicted time until they have read the prompt, increased by the penalties for engines
// that do other work; it is used only to compare choices. start is the predicted time until all of them are free. ok is
// false if there are too few engines or too little memory.
func (mc *Machine) chooseEngines(now time.Time, wt *waitingRequest, parts int) (rankedFinish, start time.Duration, ok bool) {
	partReadTime := wt.readTime / time.Duration(parts)
	answeringIndex := mc.chooseAnsweringEngine(now, wt, partReadTime)
	if answeringIndex < 0 {
		return 0, 0, false
	}
	mc.chosenIndexes = append(mc.chosenIndexes[:0], answeringIndex)
	for _, ix := range mc.orderedIndexes {
		if len(mc.chosenIndexes) == parts {
			break
		}
		if ix != answeringIndex && mc.readBudgetFor(now, &mc.candidates[ix], wt) >= partReadTime {
			mc.chosenIndexes = append(mc.chosenIndexes, ix)
		}
	}
	if len(mc.chosenIndexes) < parts || mc.isOversize(wt) && mc.allocateParts(mc.chosenIndexes, wt) == nil {
		return 0, 0, false
	}
	var penalty time.Duration
	for _, ix := range mc.chosenIndexes {
		start = max(start, mc.candidates[ix].waitTime)
		if mc.candidates[ix].load.shortPassRequests > 0 {
			penalty += mc.config.ShortPassPenalty
		} else if mc.candidates[ix].load.slotsUsed > 0 {
			penalty += mc.config.AnsweringPenalty
		}
	}
	return start + partReadTime + penalty, start, true
}

// chooseAnsweringEngine returns the index of the candidate that is to answer a request, or -1 if none can. It prefers
// engines without a pauseMismatch, then those that are free earliest, then the one with the most used memory, so that
// few engines write long answers and the others only read.
func (mc *Machine) chooseAnsweringEngine(now time.Time, wt *waitingRequest, partReadTime time.Duration) int {
	neededTokens := mc.minAnsweringTokens(wt)
	strict := mc.hasStrictPause(wt.Request)
	best := -1
	for _, ix := range mc.orderedIndexes {
		cd := &mc.candidates[ix]
		if !mc.hasRoom(cd, neededTokens) || mc.readBudgetFor(now, cd, wt) < partReadTime || !mc.mayAnswer(cd, wt) {
			continue
		}
		if best < 0 || mc.isBetterAnsweringEngine(cd, &mc.candidates[best], strict) {
			best = ix
		}
	}
	return best
}

// isBetterAnsweringEngine reports whether left is preferred to right as the answering engine.
func (mc *Machine) isBetterAnsweringEngine(left, right *candidate, strict bool) bool {
	if byMismatch := cmp.Compare(pauseMismatch(left, strict), pauseMismatch(right, strict)); byMismatch != 0 {
		return byMismatch < 0
	}
	if byWait := cmp.Compare(max(left.waitTime, mc.config.DispatchLead), max(right.waitTime, mc.config.DispatchLead)); byWait != 0 {
		return byWait < 0
	}
	return left.load.usedTokens > right.load.usedTokens
}

// pauseMismatch returns 0 if a candidate answers requests that need short passes exactly when the request's pause is
// strict, and 1 otherwise. An idle engine counts like one that answers only lenient requests, so strict requests gather
// on few engines. A lone strict request would limit the passes of an engine that answers lenient ones.
func pauseMismatch(cd *candidate, strict bool) int {
	if strict == (cd.load.shortPassRequests > 0) {
		return 0
	}
	return 1
}
