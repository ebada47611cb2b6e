// Package agenda makes calls on virtual time, in the order of their times.
package agenda

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
)

// Scheduler holds the calls that are due. It is not safe for concurrent use.
type Scheduler struct {
	pending        *container.Heap[scheduledCall]
	scheduledCount int
	now            time.Time
}

type scheduledCall struct {
	dueAt time.Time
	// sequence keeps calls of the same time in the order in which they were noted.
	sequence int
	call     func(now time.Time)
}

// New returns an empty agenda that starts at a time.
func New(start time.Time) *Scheduler {
	return &Scheduler{now: start, pending: container.NewHeap(func(left, right scheduledCall) bool {
		return left.dueAt.Before(right.dueAt) || left.dueAt.Equal(right.dueAt) && left.sequence < right.sequence
	})}
}

// Now returns the time of the call that is being made.
func (sc *Scheduler) Now() time.Time { return sc.now }

// ScheduleAt notes a call.
func (sc *Scheduler) ScheduleAt(dueAt time.Time, call func(now time.Time)) {
	sc.scheduledCount++
	sc.pending.Push(scheduledCall{dueAt: dueAt, sequence: sc.scheduledCount, call: call})
}

// RunUntil makes the calls that are due until a time, those that are noted meanwhile included.
func (sc *Scheduler) RunUntil(until time.Time) {
	for sc.pending.Len() > 0 && !sc.pending.Peek().dueAt.After(until) {
		next := sc.pending.Pop()
		sc.now = next.dueAt
		next.call(next.dueAt)
	}
}
