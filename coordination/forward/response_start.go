package forward

import (
	"context"
	"sync"

	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// responseStart decides whether a request is aborted before its response begins. It is safe for concurrent use.
type responseStart struct {
	mutex          sync.Mutex
	begun, aborted bool
}

// begin reports whether the response may begin or has begun: the request was not aborted before.
func (rs *responseStart) begin() bool {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	rs.begun = rs.begun || !rs.aborted
	return rs.begun
}

// abort reports whether the request is aborted: its response has not begun.
func (rs *responseStart) abort() bool {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	rs.aborted = !rs.begun
	return rs.aborted
}

// hasBegun reports whether the response has begun.
func (rs *responseStart) hasBegun() bool {
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	return rs.begun
}

// withAbort returns a copy of ctx that also ends when abortCtx ends and the response has not begun, then with errHostLeaving
// as its cause. The caller must call the returned function to free resources.
func withAbort(ctx, abortCtx context.Context, start *responseStart) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(abortCtx, tasks.Guarded(func() {
		if start.abort() {
			cancel(errHostLeaving)
		}
	}))
	return ctx, func() {
		detach()
		cancel(nil)
	}
}
