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

type system struct{}

// NewSystem returns the timer service of the operating system's clock.
func NewSystem() Service {
	return system{}
}

func (system) Now() time.Time {
	return time.Now()
}

func (system) After(wait time.Duration, notify func()) Subscription {
	return time.AfterFunc(wait, notify)
}

// Every calls notify after each period until the returned subscription is stopped.
// The next period starts when notify has returned.
func Every(sv Service, period time.Duration, notify func()) Subscription {
	rp := &repeat{service: sv, period: period, notify: notify}
	rp.mutex.Lock()
	defer rp.mutex.Unlock()
	rp.next = sv.After(period, rp.fire)
	return rp
}

type repeat struct {
	service Service
	period  time.Duration
	notify  func()

	mutex   sync.Mutex
	stopped bool
	next    Subscription
}

func (rp *repeat) fire() {
	rp.notify()
	rp.mutex.Lock()
	defer rp.mutex.Unlock()
	if rp.stopped {
		return
	}
	rp.next = rp.service.After(rp.period, rp.fire)
}

func (rp *repeat) Stop() bool {
	rp.mutex.Lock()
	defer rp.mutex.Unlock()
	active := !rp.stopped
	rp.stopped = true
	rp.next.Stop()
	return active
}

// Wait returns a channel that is closed when a duration has passed.
func Wait(sv Service, wait time.Duration) (<-chan struct{}, Subscription) {
	passed := make(chan struct{})
	sub := sv.After(wait, func() { close(passed) })
	return passed, sub
}

// Sleep waits until a duration has passed and reports true, or false if the context ends first.
func Sleep(ctx context.Context, sv Service, wait time.Duration) bool {
	passed, sub := Wait(sv, wait)
	defer sub.Stop()
	select {
	case <-passed:
		return true
	case <-ctx.Done():
		return false
	}
}
