package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is told to wait.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Minute
	// retryJitter is the random part of that time.
	retryJitter = 0.25
)

// admit decides whether a request may wait.
func (mc *Machine) admit(now time.Time, wt *waitingRequest) (outcome.Outcome, bool) {
	if len(mc.engines) > 0 && mc.ServesModel(wt.Model) && mc.minParts(wt) == 0 {
		return outcome.Refuse(outcome.PromptExceedsFleet, "the prompt is longer than the engines of the fleet can hold"), false
	}
	if !now.Before(wt.latestStart) {
		return outcome.Refuse(outcome.DeadlineExceeded, "the request can't finish in the time it has"), false
	}
	if len(mc.waitingByID) >= mc.config.MaxWaitingRequests {
		return outcome.Refuse(outcome.Overloaded, "the queue is full").WithRetryAfter(mc.retryAfter(now, wt)), false
	}
	if !mc.config.Policy.PredictiveAdmission || wt.AttemptNumber > 1 {
		return outcome.Outcome{}, true
	}
	predictedWait := mc.predictedWait(now, wt)
	if now.Add(predictedWait).After(wt.latestStart) {
		return outcome.Refuse(outcome.Overloaded, "the request can't start in time").WithRetryAfter(mc.retryAfter(now, wt)), false
	}
	return outcome.Outcome{}, true
}

// ServesModel reports whether some engine serves a model.
func (mc *Machine) ServesModel(model id.Model) bool {
	return slices.ContainsFunc(mc.engines, func(en *engine) bool { return slices.Contains(en.Models, model) })
}

// predictedWait returns the time until a request would start: the shorter of the time to serve all that
// goes before it and the time its organisation's share takes to serve what it has queued itself.
func (mc *Machine) predictedWait(now time.Time, wt *waitingRequest) time.Duration {
	engineCount, pendingTime := mc.engineTimeBefore(now, wt)
	if engineCount == 0 {
		return 0
	}
	mq := mc.queueFor(wt.Model)
	laneIndex := mc.laneIndex(wt)
	timeBefore := pendingTime + mq.lanes[len(mq.lanes)-1].queuedTime
	for ix := range laneIndex {
		timeBefore += mq.lanes[ix].queuedTime
	}
	ln := &mq.lanes[laneIndex]
	ownTime := ln.queuedTime
	if mc.config.Policy.Ordering.SharesFairly() {
		ownTime = 0
		if oq, ok := ln.organisations[wt.Organisation]; ok && oq.active {
			ownTime = min(ln.queuedTime, time.Duration(float64(oq.queuedTime)*ln.activeWeight/oq.weight))
		}
	}
	return (timeBefore + ownTime) / time.Duration(engineCount)
}

// engineTimeBefore returns the engines that serve a request's model, and the work on them that goes before it.
func (mc *Machine) engineTimeBefore(now time.Time, wt *waitingRequest) (int, time.Duration) {
	var pendingTime time.Duration
	engineCount := 0
	class := prefillClass(wt.PromptTokens)
	for _, en := range mc.engines {
		if !en.acceptsModel(wt.Model) {
			continue
		}
		mc.advancePrefill(now, en)
		engineCount++
		tokensAhead := en.tokensAhead(class, mc.config.Policy.EnginePriority)
		pendingTime += time.Duration(tokensAhead / mc.prefillRate(en) * float64(time.Second))
	}
	return engineCount, pendingTime
}

// engineTimeOf returns the time of one engine that a request takes from others: its prefill, or its part of the
// engine's streams while its answer is decoded, whichever is more.
func (mc *Machine) engineTimeOf(wt *waitingRequest) time.Duration {
	fullStepTime := mc.config.BaseStepTime + time.Duration(mc.config.MaxStreams)*mc.config.StepTimePerStream
	decodeTime := time.Duration(wt.plannedAnswerTokens) * fullStepTime / time.Duration(mc.config.MaxStreams)
	return max(mc.prefillTime(float64(wt.PromptTokens)), decodeTime)
}

// retryAfter returns when a refused caller is to come back. Callers are given times one after the other, as fast as
// the engines can serve them after what waits now, so that they do not come back together; a random part spreads
// callers that were told the same.
func (mc *Machine) retryAfter(now time.Time, wt *waitingRequest) time.Duration {
	engineCount := 0
	for _, en := range mc.engines {
		if en.acceptsModel(wt.Model) {
			engineCount++
		}
	}
	mq := mc.queueFor(wt.Model)
	var queuedTime time.Duration
	for ix := range mq.lanes {
		queuedTime += mq.lanes[ix].queuedTime
	}
	parallelism := time.Duration(max(1, engineCount))
	if earliestRetry := now.Add(max(minRetryAfter, queuedTime/parallelism)); mq.nextRetryAt.Before(earliestRetry) {
		mq.nextRetryAt = earliestRetry
	}
	mq.nextRetryAt = mq.nextRetryAt.Add(wt.engineTime / parallelism)
	wait := min(mq.nextRetryAt.Sub(now), maxRetryAfter)
	return wait + time.Duration(mc.random.Float64()*retryJitter*float64(wait))
}
