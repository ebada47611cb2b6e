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

// engineSummary sums up the engines with regard to a request.
type engineSummary struct {
	// remaining is the number of engines that are neither leaving nor evacuated, evacuated that of those that are only
	// evacuated.
	remaining, evacuated int
	// readers is the number of engines that read prompts like this one, where an engine with a request limit counts less.
	readers float64
	// firstRequestWait is the time until the first of the readers may get a request.
	firstRequestWait time.Duration
	// shortestBackoff is the time until the first engine may get the request from its entry host.
	shortestBackoff time.Duration
}

// summarizeEngines sums up the engines for a request that is to be admitted.
func (mc *Machine) summarizeEngines(now time.Time, wt *waitingRequest) engineSummary {
	sum := engineSummary{firstRequestWait: math.MaxInt64, shortestBackoff: math.MaxInt64}
	for _, en := range mc.engines {
		if en.isEvacuated() {
			sum.evacuated++
		}
		if !en.remains() {
			continue
		}
		sum.remaining++
		sum.shortestBackoff = min(sum.shortestBackoff, max(0, wt.BackoffUntil[en.Engine].Sub(now)))
		if en.isUsable(now) && !en.isWithheld() {
			sum.readers += en.readingShare(wt.readTime)
			sum.firstRequestWait = min(sum.firstRequestWait, en.requests.Wait(now))
		}
	}
	if sum.readers == 0 {
		sum.readers, sum.firstRequestWait = 1, 0
	}
	return sum
}

// admit reports whether a request may wait, and returns the refusal if not. It refuses a request if its prompt can't be
// read before the client stops waiting, if the engines can't hold it, or if the queue is full. Attempts after the first
// continue interrupted work: they are refused only if no engine is left or the engines can't hold them.
func (mc *Machine) admit(now time.Time, wt *waitingRequest) (outcome.Outcome, bool) {
	sum := mc.summarizeEngines(now, wt)
	tokens := wt.PromptTokens + wt.MaxAnswerTokens
	switch {
	case sum.remaining == 0:
		return mc.noEngineRefusal(), false
	case tokens > mc.maxRequestTokens(min(sum.remaining+sum.evacuated, mc.config.MaxParts)):
		return outcome.Refuse(outcome.PromptExceedsFleet, "the prompt is longer than the engines can hold"), false
	case tokens > mc.maxRequestTokens(min(sum.remaining, mc.config.MaxParts)):
		return outcome.Refuse(outcome.NoCapacity, "the prompt is longer than the engines outside the evacuated zones can hold").WithRetryAfter(mc.boundedRetryAfter(maxRetryAfter)), false
	case wt.AttemptNumber > 1:
		return outcome.Outcome{}, true
	case len(mc.waitingByID) >= mc.config.MaxWaitingRequests:
		return outcome.Refuse(outcome.Overloaded, "the queue is full").WithRetryAfter(mc.boundedRetryAfter(maxRetryAfter)), false
	}
	if sum.shortestBackoff > 0 && now.Add(sum.shortestBackoff).After(wt.refuseAt) {
		return outcome.Refuse(outcome.Overloaded, "all engines asked to be left alone or are out of reach of the host").WithRetryAfter(mc.addJitter(sum.shortestBackoff)), false
	}
	predictedStart := sum.firstRequestWait + time.Duration(float64(mc.queueFor(wt).totalReadTime)/sum.readers)
	predictedReadTime := time.Duration(float64(wt.readTime) / max(1, min(sum.readers, float64(mc.config.MaxParts))))
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
