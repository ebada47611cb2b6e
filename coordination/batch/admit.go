package batch

import (
	"math"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// minRetryAfter and maxRetryAfter bound the time that a refused client is told to wait.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retrySpread is the random part of that time, so that clients that were refused together do not return together.
	retrySpread = 0.5
)

// admit decides whether a request may wait. What can't be served in its time is refused at once.
func (mc *Machine) admit(now time.Time, wt *waiting) (outcome.Outcome, bool) {
	usable, present := 0, 0
	// banned is the time until the first engine may get the request.
	banned := time.Duration(math.MaxInt64)
	for _, en := range mc.engines {
		if en.Leaving {
			continue
		}
		present++
		banned = min(banned, max(0, wt.BackoffUntil[en.Engine].Sub(now)))
		if en.usable(now) {
			usable++
		}
	}
	switch {
	case present == 0:
		return outcome.Refuse(outcome.NoCapacity, "no engine serves the request now").WithRetryAfter(mc.spread(time.Second)), false
	case wt.PromptTokens+wt.MaxAnswerTokens > mc.largest(min(present, mc.config.MaxParts)):
		return outcome.Refuse(outcome.PromptExceedsFleet, "the prompt is longer than the engines can hold"), false
	case wt.AttemptNumber > 1:
		return outcome.Outcome{}, true
	case len(mc.waiting) >= mc.config.MaxWaiting:
		return outcome.Refuse(outcome.Overloaded, "the queue is full").WithRetryAfter(mc.spread(maxRetryAfter)), false
	}
	if banned > 0 && now.Sub(wt.ArrivedAt)+banned+wt.read/mc.allParts() > wt.WaitLimit {
		return outcome.Refuse(outcome.Overloaded, "all engines asked to be left alone").WithRetryAfter(mc.apart(banned)), false
	}
	start := now.Sub(wt.ArrivedAt) + mc.queueOf(wt).work/time.Duration(max(1, usable)) + wt.read/time.Duration(max(1, min(usable, mc.config.MaxParts)))
	if start > wt.WaitLimit {
		return outcome.Refuse(outcome.Overloaded, "the request can't start in its time").WithRetryAfter(mc.spread(start - wt.WaitLimit)), false
	}
	return outcome.Outcome{}, true
}

func (mc *Machine) spread(wait time.Duration) time.Duration {
	return mc.apart(min(max(wait, minRetryAfter), maxRetryAfter))
}

// apart adds the random part to a time that a client is told to wait.
func (mc *Machine) apart(wait time.Duration) time.Duration {
	return wait + time.Duration(mc.random.Float64()*retrySpread*float64(wait))
}

// expire refuses requests whose clients have run out of patience, before they would be served too late.
func (mc *Machine) expire(now time.Time) {
	for mc.leaving.Len() > 0 {
		wt := mc.leaving.Peek()
		if !wt.gone && !now.After(wt.last) {
			return
		}
		mc.leaving.Pop()
		if wt.gone {
			continue
		}
		mc.drop(wt)
		mc.refuse(wt, outcome.Refuse(outcome.Overloaded, "the request can no longer start in its time").WithRetryAfter(mc.spread(time.Second)))
	}
}
