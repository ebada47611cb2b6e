package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused client is asked to retry, without the jitter.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Minute
	// retryJitter is the largest random addition to that time, as a fraction of it.
	retryJitter = 0.25
)

// admit decides whether a request may wait. If not, it returns the refusal and false: the shard can never hold the
// prompt, or can't while engines are leaving or evacuated, the request can't finish before its deadline, the queue is full, or the predicted start is too late.
// Attempts after the first skip the prediction, because they continue interrupted work and are served first.
func (mc *Machine) admit(now time.Time, wt *waitingRequest) (outcome.Outcome, bool) {
	if len(mc.engines) > 0 && mc.ServesModel(wt.Model) && mc.minParts(wt) == 0 {
		if mc.minPartsOn(wt, func(en *engine) bool { return slices.Contains(en.Models, wt.Model) }) > 0 {
			return outcome.Refuse(outcome.NoCapacity, "the engines that could hold the prompt take no new requests").WithRetryAfter(mc.assignRetryAfter(now, wt)), false
		}
		return outcome.Refuse(outcome.PromptExceedsFleet, "the prompt is longer than the engines of the fleet can hold"), false
	}
	if !now.Before(wt.latestStart) {
		return outcome.Refuse(outcome.DeadlineExceeded, "the request can't finish in the time it has"), false
	}
	if len(mc.waitingByID) >= mc.config.MaxWaitingRequests {
		return outcome.Refuse(outcome.Overloaded, "the queue is full").WithRetryAfter(mc.assignRetryAfter(now, wt)), false
	}
	if !mc.config.Policy.PredictiveAdmission || wt.AttemptNumber > 1 {
		return outcome.Outcome{}, true
	}
	predictedWait := mc.predictedWait(now, wt)
	if now.Add(predictedWait).After(wt.latestStart) {
		return outcome.Refuse(outcome.Overloaded, "the request can't start in time").WithRetryAfter(mc.assignRetryAfter(now, wt)), false
	}
	return outcome.Outcome{}, true
}

// ServesModel reports whether some engine serves a model. Engines that are leaving count too.
func (mc *Machine) ServesModel(model id.Model) bool {
	return slices.ContainsFunc(mc.engines, func(en *engine) bool { return slices.Contains(en.Models, model) })
}

// predictedWait predicts the time until a request would start if it were queued now. It adds up the work that is served
// before the request: prefill that is pending on engines, the lane of interrupted requests, the lanes of shorter
// prompts, and the request's own lane. If organisations share the lanes by weight, that lane counts only as the time
// in which the organisation's share of the engines serves the organisation's own requests in it, at most the whole
// lane. The sum is divided by the number of engines that accept the model; without such engines the result is 0.
func (mc *Machine) predictedWait(now time.Time, wt *waitingRequest) time.Duration {
	engineCount, pendingTime := mc.pendingPrefillBefore(now, wt)
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

// pendingPrefillBefore returns the number of engines that accept requests for the model of a request, and the total
// time that they need for the pending prefill that they process before that of the request.
func (mc *Machine) pendingPrefillBefore(now time.Time, wt *waitingRequest) (int, time.Duration) {
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

// engineTimeOf returns the engine time that a request costs: the time of its prefill, or its share of a fully loaded
// engine while its answer is decoded, whichever is longer. Fair sharing and predicted waits count work in this unit.
func (mc *Machine) engineTimeOf(wt *waitingRequest) time.Duration {
	fullStepTime := mc.config.BaseStepTime + time.Duration(mc.config.MaxStreams)*mc.config.StepTimePerStream
	decodeTime := time.Duration(wt.plannedAnswerTokens) * fullStepTime / time.Duration(mc.config.MaxStreams)
	return max(mc.prefillTime(float64(wt.PromptTokens)), decodeTime)
}

// assignRetryAfter returns the time after which a refused client is asked to retry. Each call advances the nextRetryAt
// of the model by the engine time of the request, so that successive clients get successive times, at the rate at which
// the engines can serve them once they have served what waits now, and do not all retry together. The jitter spreads
// clients whose times are equal, such as those limited to maxRetryAfter.
func (mc *Machine) assignRetryAfter(now time.Time, wt *waitingRequest) time.Duration {
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
