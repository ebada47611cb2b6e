package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// answerLead is how long before its client stops waiting a request without a response ends, so that the client receives
	// what is known of it. It covers the way to the client and back, since the client's time began before the request
	// arrived.
	answerLead = 20 * time.Millisecond
	// arrivingAnswerLead is the same time once a server has sent the head of its answer. It covers little more than the way
	// to the client and back, as the rest of the answer may still come.
	arrivingAnswerLead = 8 * time.Millisecond
	// maxAnswerLeadShare bounds both to a part of the time that the client gave.
	maxAnswerLeadShare = 0.05
)

// timeLimit ends a request in its time. A request without a response ends at the timeout that the route had on its arrival,
// as a client is to be told then that there is none, or shortly before the client stops waiting. A response that has begun
// goes on while the client waits and any timeout that the route has had since allows it, because nothing but the rest of the
// response helps its client. All attempts of the request share it, and it is safe for concurrent use.
type timeLimit struct {
	clock   timer.Clock
	request *Request
	start   *responseStart

	// mutex guards the fields below.
	mutex sync.Mutex
	// answerArrives says that a server has sent the head of its answer.
	answerArrives bool
	stopped       bool
	check         timer.Subscription
}

// withTimeLimit returns a copy of ctx that ends with context.DeadlineExceeded as its cause when the request's time has
// passed. Its deadline is that of the client. The caller must call the returned function to free resources.
func withTimeLimit(ctx context.Context, clock timer.Clock, request *Request, start *responseStart) (context.Context, *timeLimit, context.CancelFunc) {
	tl := &timeLimit{clock: clock, request: request, start: start}
	ctx, cancelClient := context.WithDeadline(ctx, request.Deadline)
	ctx, cancel := context.WithCancelCause(ctx)
	tl.scheduleCheck(func() { cancel(context.DeadlineExceeded) })
	return ctx, tl, func() {
		tl.stop()
		cancel(nil)
		cancelClient()
	}
}

// deadline returns when the request ends.
func (tl *timeLimit) deadline() time.Time {
	clientTime := tl.request.Deadline.Sub(tl.request.ArrivedAt)
	if tl.start.hasBegun() {
		return tl.request.ArrivedAt.Add(min(tl.timeout(), clientTime))
	}
	tl.mutex.Lock()
	lead := answerLead
	if tl.answerArrives {
		lead = arrivingAnswerLead
	}
	tl.mutex.Unlock()
	lead = min(lead, time.Duration(maxAnswerLeadShare*float64(max(0, clientTime))))
	return tl.request.ArrivedAt.Add(min(tl.timeout(), clientTime-lead))
}

// awaitAnswer gives an answer whose head has come more of the client's time.
func (tl *timeLimit) awaitAnswer() {
	tl.mutex.Lock()
	defer tl.mutex.Unlock()
	tl.answerArrives = true
}

// waitLimit returns how long after the arrival of the request its client waits, or is to be kept waiting.
func (tl *timeLimit) waitLimit() time.Duration {
	return min(tl.timeout(), tl.request.Deadline.Sub(tl.request.ArrivedAt))
}

// timeout returns the timeout of the route that applies to the request; it is as long as the client waits if there is none.
func (tl *timeLimit) timeout() time.Duration {
	timeout := tl.request.Route.Timeout
	if tl.request.LongestTimeout != nil && tl.start.hasBegun() {
		timeout = tl.request.LongestTimeout()
	}
	if timeout <= 0 {
		return tl.request.Deadline.Sub(tl.request.ArrivedAt)
	}
	return timeout
}

// scheduleCheck calls end when the deadline has passed. The deadline may move meanwhile.
func (tl *timeLimit) scheduleCheck(end func()) {
	wait := max(0, tl.deadline().Sub(tl.clock.Now()))
	tl.mutex.Lock()
	defer tl.mutex.Unlock()
	if tl.stopped {
		return
	}
	tl.check = tl.clock.After(wait, tasks.Guarded(func() {
		over := tl.isOver()
		if over && !tl.start.abort() {
			// A response that has begun may go on for longer.
			over = tl.isOver()
		}
		if over {
			end()
			return
		}
		tl.scheduleCheck(end)
	}))
}

// isOver reports whether the deadline has passed.
func (tl *timeLimit) isOver() bool { return !tl.clock.Now().Before(tl.deadline()) }

// stop ends the checks.
func (tl *timeLimit) stop() {
	tl.mutex.Lock()
	defer tl.mutex.Unlock()
	tl.stopped = true
	tl.check.Stop()
}
