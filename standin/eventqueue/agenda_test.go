package eventqueue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/standin/eventqueue"
)

// TestCallsRunInOrder checks that calls run in time order, that calls due at the same time run in the order in which
// they were scheduled, even if a running call schedules them, and that calls due after the end do not run.
func TestCallsRunInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	scheduler := eventqueue.New(start)
	var calls []string
	record := func(name string) func(time.Time) {
		return func(now time.Time) {
			assert.Equal(t, now, scheduler.Now())
			calls = append(calls, name)
		}
	}
	scheduler.ScheduleAt(start.Add(2*time.Second), record("third"))
	scheduler.ScheduleAt(start.Add(time.Second), func(now time.Time) {
		record("first")(now)
		scheduler.ScheduleAt(now, record("second"))
	})
	scheduler.ScheduleAt(start.Add(2*time.Second), record("fourth"))
	scheduler.ScheduleAt(start.Add(3*time.Second), record("later"))
	scheduler.RunUntil(start.Add(2 * time.Second))
	assert.DeepEqual(t, calls, []string{"first", "second", "third", "fourth"})
	assert.Equal(t, scheduler.Now(), start.Add(2*time.Second))
}
