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
	// retrySpread is the random part of that time.
	retrySpread = 0.25
)

// admit decides whether a request may wait.
func (mc *Machine) admit(now time.Time, wt *waiting) (outcome.Outcome, bool) {
	if len(mc.engines) > 0 && mc.ServesModel(wt.Model) && mc.partsFor(wt) == 0 {
		return outcome.Refuse(outcome.PromptExceedsFleet, "the prompt is longer than the engines of the fleet can hold"), false
	}
	if !now.Before(wt.latestStart) {
		return outcome.Refuse(outcome.DeadlineExceeded, "the request can't finish in the time it has"), false
	}
	if len(mc.waiting) >= mc.config.MaxWaitingRequests {
		return outcome.Refuse(outcome.Overloaded, "the queue is full").WithRetryAfter(mc.retryAfter(now, wt)), false
	}
	if !mc.config.Policy.PredictiveAdmission || wt.AttemptNumber > 1 {
		return outcome.Outcome{}, true
	}
	wait := mc.predictedWait(now, wt)
	if now.Add(wait).After(wt.latestStart) {
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
func (mc *Machine) predictedWait(now time.Time, wt *waiting) time.Duration {
	engines, pending := mc.engineWork(now, wt)
	if engines == 0 {
		return 0
	}
	mq := mc.queueOf(wt.Model)
	index := mc.laneOf(wt)
	before := pending + mq.lanes[len(mq.lanes)-1].queued
	for ix := range index {
		before += mq.lanes[ix].queued
	}
	ln := &mq.lanes[index]
	own := ln.queued
	if mc.config.Policy.Ordering.SharesFairly() {
		own = 0
		if oq, ok := ln.organisations[wt.Organisation]; ok && oq.active {
			own = min(ln.queued, time.Duration(float64(oq.queued)*ln.weight/oq.weight))
		}
	}
	return (before + own) / time.Duration(engines)
}

// engineWork returns the engines that serve a request's model, and the work on them that goes before it.
func (mc *Machine) engineWork(now time.Time, wt *waiting) (int, time.Duration) {
	var pending time.Duration
	engines := 0
	class := classOf(wt.PromptTokens)
	for _, en := range mc.engines {
		if !en.takes(wt.Model) {
			continue
		}
		mc.advance(now, en)
		engines++
		ahead := en.ahead(class, mc.config.Policy.EnginePriority)
		pending += time.Duration(ahead / mc.rate(en) * float64(time.Second))
	}
	return engines, pending
}

// workOf returns the time of one engine that a request takes from others: its prefill, or its part of the
// engine's streams while its answer is decoded, whichever is more.
func (mc *Machine) workOf(wt *waiting) time.Duration {
	fullStep := mc.config.BaseStepTime + time.Duration(mc.config.MaxStreams)*mc.config.StepTimePerStream
	decode := time.Duration(wt.answer) * fullStep / time.Duration(mc.config.MaxStreams)
	return max(mc.prefillTime(float64(wt.PromptTokens)), decode)
}

// retryAfter returns when a refused caller is to come back. Callers are given times one after the other, as fast as
// the engines can serve them after what waits now, so that they do not come back together; a random part spreads
// callers that were told the same.
func (mc *Machine) retryAfter(now time.Time, wt *waiting) time.Duration {
	engines := 0
	for _, en := range mc.engines {
		if en.takes(wt.Model) {
			engines++
		}
	}
	mq := mc.queueOf(wt.Model)
	var queued time.Duration
	for ix := range mq.lanes {
		queued += mq.lanes[ix].queued
	}
	served := time.Duration(max(1, engines))
	if earliest := now.Add(max(minRetryAfter, queued/served)); mq.returns.Before(earliest) {
		mq.returns = earliest
	}
	mq.returns = mq.returns.Add(wt.work / served)
	wait := min(mq.returns.Sub(now), maxRetryAfter)
	return wait + time.Duration(mc.random.Float64()*retrySpread*float64(wait))
}
