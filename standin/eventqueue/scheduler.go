// Package eventqueue is the event queue of a discrete-event simulation: it runs scheduled calls in time order on a
// virtual clock, without waiting.
package eventqueue

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
)

// Scheduler holds the scheduled calls and the virtual clock. It is not safe for concurrent use.
type Scheduler struct {
	pending        *container.Heap[scheduledCall]
	scheduledCount int
	// now is the virtual time of the latest call.
	now time.Time
}

// scheduledCall is a call that has not run yet.
type scheduledCall struct {
	dueAt time.Time
	// sequence keeps calls that are due at the same time in the order in which they were scheduled.
	sequence int
	call     func(now time.Time)
}

// New returns a scheduler without calls. Its clock starts at the given time.
func New(start time.Time) *Scheduler {
	return &Scheduler{now: start, pending: container.NewHeap(func(left, right scheduledCall) bool {
		return left.dueAt.Before(right.dueAt) || left.dueAt.Equal(right.dueAt) && left.sequence < right.sequence
	})}
}

// Now returns the time at which the latest call was due, or the start time before the first call.
func (sc *Scheduler) Now() time.Time { return sc.now }

// ScheduleAt schedules a call. Calls that are due at the same time run in the order in which they were scheduled.
func (sc *Scheduler) ScheduleAt(dueAt time.Time, call func(now time.Time)) {
	sc.scheduledCount++
	sc.pending.Push(scheduledCall{dueAt: dueAt, sequence: sc.scheduledCount, call: call})
}

// RunUntil runs all calls that are due at or before a time, including those that are scheduled by the calls it runs.
// The clock stops at the last of them.
func (sc *Scheduler) RunUntil(until time.Time) {
	for sc.pending.Len() > 0 && !sc.pending.Peek().dueAt.After(until) {
		next := sc.pending.Pop()
		sc.now = next.dueAt
		next.call(next.dueAt)
	}
}
