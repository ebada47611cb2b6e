// Package timer provides the clock of a host: components read the time from it and subscribe to be called later. Tests
// replace it with a clock that they control.
package timer

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// Clock is a clock that calls subscribers when a duration has passed. It is safe for concurrent use.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// After calls notify once, in a separate goroutine, when wait has passed.
	After(wait time.Duration, notify func()) Subscription
}

// Subscription is a pending notification.
type Subscription interface {
	// Stop cancels the notification and reports whether it was still pending.
	Stop() bool
}

type systemClock struct{}

// NewSystem returns the clock of the operating system.
func NewSystem() Clock {
	return systemClock{}
}

func (systemClock) Now() time.Time {
	return time.Now()
}

func (systemClock) After(wait time.Duration, notify func()) Subscription {
	return time.AfterFunc(wait, tasks.Guarded(notify))
}

// Every calls notify after each period until the returned subscription is stopped. Calls don't overlap: the next period
// starts when notify has returned. Stopping does not wait for a call that is running.
func Every(clock Clock, period time.Duration, notify func()) Subscription {
	periodic := &periodicSubscription{clock: clock, period: period, notify: notify}
	periodic.mutex.Lock()
	defer periodic.mutex.Unlock()
	periodic.next = clock.After(period, periodic.notifyAndReschedule)
	return periodic
}

// periodicSubscription is the subscription that Every returns.
type periodicSubscription struct {
	clock  Clock
	period time.Duration
	notify func()

	// mutex guards the fields below.
	mutex   sync.Mutex
	stopped bool
	// next is the subscription of the next call of notify.
	next Subscription
}

func (ps *periodicSubscription) notifyAndReschedule() {
	ps.notify()
	ps.mutex.Lock()
	defer ps.mutex.Unlock()
	if ps.stopped {
		return
	}
	ps.next = ps.clock.After(ps.period, ps.notifyAndReschedule)
}

func (ps *periodicSubscription) Stop() bool {
	ps.mutex.Lock()
	defer ps.mutex.Unlock()
	wasActive := !ps.stopped
	ps.stopped = true
	ps.next.Stop()
	return wasActive
}

// Wait returns a channel that is closed when wait has passed, and the subscription behind it. If that is stopped
// before, the channel is never closed.
func Wait(clock Clock, wait time.Duration) (<-chan struct{}, Subscription) {
	passed := make(chan struct{})
	subscription := clock.After(wait, func() { close(passed) })
	return passed, subscription
}

// Sleep returns true when wait has passed, or false as soon as the context ends.
func Sleep(ctx context.Context, clock Clock, wait time.Duration) bool {
	passed, subscription := Wait(clock, wait)
	defer subscription.Stop()
	select {
	case <-passed:
		return true
	case <-ctx.Done():
		return false
	}
}
