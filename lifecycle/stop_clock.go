package lifecycle

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// maxCloseTime is the longest time for what a process does after its host has ended, such as the export of its last spans.
const maxCloseTime = 2 * time.Second

// StopClock knows when a process was told to stop.
type StopClock struct {
	clock timer.Clock
	grace Grace
	// startedAt is when the stop began, nil before.
	startedAt atomic.Pointer[time.Time]
}

// NewStopClock returns the clock of a process that is told to stop by the end of a context.
func NewStopClock(ctx context.Context, clock timer.Clock, grace Grace) *StopClock {
	sc := &StopClock{clock: clock, grace: grace}
	context.AfterFunc(ctx, tasks.Guarded(func() {
		now := clock.Now()
		sc.startedAt.Store(&now)
	}))
	return sc
}

// CloseContext returns a context for what remains to be done when the host has ended. It ends before the time that the
// process has to stop is over.
func (sc *StopClock) CloseContext() (context.Context, context.CancelFunc) {
	left := maxCloseTime
	if startedAt := sc.startedAt.Load(); startedAt != nil {
		left = min(left, max(closeDelay, sc.grace.CloseTime()-sc.clock.Now().Sub(*startedAt)))
	}
	return context.WithTimeout(context.Background(), left)
}
