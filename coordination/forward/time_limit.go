package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// timeLimit ends a request in its time. A request without a response ends at the timeout that the route had on its arrival,
// as a client is to be told then that there is none. A response that has begun goes on while any timeout that the route has
// had since allows it, because nothing but the rest of the response helps its client. Neither lasts longer than the
// client waits. All attempts of the request share it, and it is safe for concurrent use.
type timeLimit struct {
	clock   timer.Clock
	request *Request
	start   *responseStart

	// mutex guards the fields below.
	mutex   sync.Mutex
	stopped bool
	check   timer.Subscription
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
	timeout := tl.request.Route.Timeout
	if tl.request.LongestTimeout != nil && tl.start.hasBegun() {
		timeout = tl.request.LongestTimeout()
	}
	if end := tl.request.ArrivedAt.Add(timeout); timeout > 0 && end.Before(tl.request.Deadline) {
		return end
	}
	return tl.request.Deadline
}

// scheduleCheck calls end when the deadline has passed. The deadline may move meanwhile.
func (tl *timeLimit) scheduleCheck(end func()) {
	tl.mutex.Lock()
	defer tl.mutex.Unlock()
	if tl.stopped {
		return
	}
	tl.check = tl.clock.After(max(0, tl.deadline().Sub(tl.clock.Now())), tasks.Guarded(func() {
		if tl.start.abort() || !tl.clock.Now().Before(tl.deadline()) {
			end()
			return
		}
		tl.scheduleCheck(end)
	}))
}

// stop ends the checks.
func (tl *timeLimit) stop() {
	tl.mutex.Lock()
	defer tl.mutex.Unlock()
	tl.stopped = true
	tl.check.Stop()
}
