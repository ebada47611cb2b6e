// Package timer provides the timer service that parts of a host subscribe to.
package timer

import (
	"context"
	"sync"
	"time"
)

// Service tells the time and calls subscribers when a duration has passed.
type Service interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// After calls notify once, on its own goroutine, when wait has passed.
	After(wait time.Duration, notify func()) Subscription
}

// Subscription is a pending notification.
type Subscription interface {
	// Stop cancels the notification and reports whether it was still pending.
	Stop() bool
}

type systemClock struct{}

// NewSystem returns the timer service of the operating system's clock.
func NewSystem() Service {
	return systemClock{}
}

func (systemClock) Now() time.Time {
	return time.Now()
}

func (systemClock) After(wait time.Duration, notify func()) Subscription {
	return time.AfterFunc(wait, notify)
}

// Every calls notify after each period until the returned subscription is stopped.
// The next period starts when notify has returned.
func Every(clock Service, period time.Duration, notify func()) Subscription {
	periodic := &periodicSubscription{clock: clock, period: period, notify: notify}
	periodic.mutex.Lock()
	defer periodic.mutex.Unlock()
	periodic.next = clock.After(period, periodic.fire)
	return periodic
}

type periodicSubscription struct {
	clock  Service
	period time.Duration
	notify func()

	mutex   sync.Mutex
	stopped bool
	next    Subscription
}

func (rp *periodicSubscription) fire() {
	rp.notify()
	rp.mutex.Lock()
	defer rp.mutex.Unlock()
	if rp.stopped {
		return
	}
	rp.next = rp.clock.After(rp.period, rp.fire)
}

func (rp *periodicSubscription) Stop() bool {
	rp.mutex.Lock()
	defer rp.mutex.Unlock()
	active := !rp.stopped
	rp.stopped = true
	rp.next.Stop()
	return active
}

// Wait returns a channel that is closed when a duration has passed.
func Wait(clock Service, wait time.Duration) (<-chan struct{}, Subscription) {
	passed := make(chan struct{})
	subscription := clock.After(wait, func() { close(passed) })
	return passed, subscription
}

// Sleep waits until a duration has passed and reports true, or false if the context ends first.
func Sleep(ctx context.Context, clock Service, wait time.Duration) bool {
	passed, subscription := Wait(clock, wait)
	defer subscription.Stop()
	select {
	case <-passed:
		return true
	case <-ctx.Done():
		return false
	}
}
