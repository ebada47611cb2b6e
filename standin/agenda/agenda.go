// Package agenda makes calls on virtual time, in the order of their times.
package agenda

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
)

// Scheduler holds the calls that are due. It is not safe for concurrent use.
type Scheduler struct {
	calls *container.Heap[call]
	count int
	now   time.Time
}

type call struct {
	at time.Time
	// number keeps calls of the same time in the order in which they were noted.
	number int
	run    func(now time.Time)
}

// New returns an empty agenda that starts at a time.
func New(start time.Time) *Scheduler {
	return &Scheduler{now: start, calls: container.NewHeap(func(left, right call) bool {
		return left.at.Before(right.at) || left.at.Equal(right.at) && left.number < right.number
	})}
}

// Now returns the time of the call that is being made.
func (ag *Scheduler) Now() time.Time { return ag.now }

// ScheduleAt notes a call.
func (ag *Scheduler) ScheduleAt(at time.Time, run func(now time.Time)) {
	ag.count++
	ag.calls.Push(call{at: at, number: ag.count, run: run})
}

// RunUntil makes the calls that are due until a time, those that are noted meanwhile included.
func (ag *Scheduler) RunUntil(until time.Time) {
	for ag.calls.Len() > 0 && !ag.calls.Peek().at.After(until) {
		next := ag.calls.Pop()
		ag.now = next.at
		next.run(next.at)
	}
}
