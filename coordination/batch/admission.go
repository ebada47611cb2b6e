package batch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused client is asked to retry, without the jitter.
	// They don't apply to a client that is refused because all engines asked for backoff: it is asked to retry when the
	// first backoff ends.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryJitter is the largest part of that time that is added at random, so that clients that were refused together
	// do not retry together.
	retryJitter = 0.5
)

// admit reports whether a request may wait, and returns the refusal if not. It refuses a request if its prompt can't be
// read before the client stops waiting, if the engines can't hold it, or if the queue is full. Attempts after the first
// continue interrupted work: they are refused only if no engine is left or the engines can't hold them.
func (mc *Machine) admit(now time.Time, wt *waitingRequest) (outcome.Outcome, bool) {
	remainingEngines, evacuatedEngines := 0, 0
	// readers is the number of engines that read prompts like this one, where an engine with a request limit counts less.
	readers := 0.0
	firstRequestWait := time.Duration(math.MaxInt64)
	// shortestBackoff is the time until the first engine may get the request from its entry host.
	shortestBackoff := time.Duration(math.MaxInt64)
	for _, en := range mc.engines {
		if !en.remains() {
			if en.isEvacuated() {
				evacuatedEngines++
			}
			continue
		}
		remainingEngines++
		shortestBackoff = min(shortestBackoff, max(0, wt.BackoffUntil[en.Engine].Sub(now)))
		if en.isUsable(now) && !en.isWithheld() {
			readers += en.readingShare(wt.readTime)
			firstRequestWait = min(firstRequestWait, en.requests.Wait(now))
		}
	}
	if readers == 0 {
		readers, firstRequestWait = 1, 0
	}
	tokens := wt.PromptTokens + wt.MaxAnswerTokens
	switch {
	case remainingEngines == 0:
		return mc.noEngineRefusal(), false
	case tokens > mc.maxRequestTokens(min(remainingEngines+evacuatedEngines, mc.config.MaxParts)):
		return outcome.Refuse(outcome.PromptExceedsFleet, "the prompt is longer than the engines can hold"), false
	case tokens > mc.maxRequestTokens(min(remainingEngines, mc.config.MaxParts)):
		return outcome.Refuse(outcome.NoCapacity, "the prompt is longer than the engines outside the evacuated zones can hold").WithRetryAfter(mc.boundedRetryAfter(maxRetryAfter)), false
	case wt.AttemptNumber > 1:
		return outcome.Outcome{}, true
	case len(mc.waitingByID) >= mc.config.MaxWaitingRequests:
		return outcome.Refuse(outcome.Overloaded, "the queue is full").WithRetryAfter(mc.boundedRetryAfter(maxRetryAfter)), false
	}
	if shortestBackoff > 0 && now.Add(shortestBackoff).After(wt.refuseAt) {
		return outcome.Refuse(outcome.Overloaded, "all engines asked to be left alone or are out of reach of the host").WithRetryAfter(mc.addJitter(shortestBackoff)), false
	}
	predictedStart := firstRequestWait + time.Duration(float64(mc.queueFor(wt).totalReadTime)/readers)
	predictedReadTime := time.Duration(float64(wt.readTime) / max(1, min(readers, float64(mc.config.MaxParts))))
	predictedFirstEvent := now.Sub(wt.ArrivedAt) + predictedStart + predictedReadTime + mc.startTime(wt.Request)
	if predictedFirstEvent > wt.WaitLimit {
		return outcome.Refuse(outcome.Overloaded, "the request can't start in its time").WithRetryAfter(mc.boundedRetryAfter(predictedFirstEvent - wt.WaitLimit)), false
	}
	return outcome.Outcome{}, true
}

// noEngineRefusal returns the refusal of a request for which no engine remains.
func (mc *Machine) noEngineRefusal() outcome.Outcome {
	return outcome.Refuse(outcome.NoCapacity, "no engine serves the request now").WithRetryAfter(mc.boundedRetryAfter(time.Second))
}

// refuseEvacuated refuses all waiting requests if no engine remains because of an evacuation. Without one, an engine that
// takes the place of those that are leaving may be listed any moment.
func (mc *Machine) refuseEvacuated() {
	if len(mc.waitingByID) == 0 || !slices.ContainsFunc(mc.engines, (*engine).isEvacuated) || slices.ContainsFunc(mc.engines, (*engine).remains) {
		return
	}
	for _, requestID := range slices.Sorted(maps.Keys(mc.waitingByID)) {
		wt := mc.waitingByID[requestID]
		mc.removeWaiting(wt)
		mc.addRefusal(wt, mc.noEngineRefusal())
	}
}

// boundedRetryAfter returns the time after which a client is asked to retry: the given time within the bounds, plus
// jitter.
func (mc *Machine) boundedRetryAfter(wait time.Duration) time.Duration {
	return mc.addJitter(min(max(wait, minRetryAfter), maxRetryAfter))
}

// addJitter adds a random part to the time after which a client is asked to retry.
func (mc *Machine) addJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(mc.random.Float64()*retryJitter*float64(wait))
}

// refuseExpired refuses the waiting requests that can no longer be read before their clients give up.
func (mc *Machine) refuseExpired(now time.Time) {
	for mc.waitDeadlines.Len() > 0 {
		wt := mc.waitDeadlines.Peek()
		if !wt.removed && !now.After(wt.refuseAt) {
			return
		}
		mc.waitDeadlines.Pop()
		if wt.removed {
			continue
		}
		mc.removeWaiting(wt)
		mc.addRefusal(wt, outcome.Refuse(outcome.Overloaded, "the request can no longer start in its time").WithRetryAfter(mc.boundedRetryAfter(time.Second)))
	}
}
