package agenda_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/standin/agenda"
)

// TestCallsRunInOrder makes calls in the order of their times, those of the same time in the order in which they were noted, also
// such as are noted meanwhile, and none that is due later.
func TestCallsRunInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	ag := agenda.New(start)
	var made []string
	note := func(name string) func(time.Time) {
		return func(now time.Time) {
			assert.Equal(t, now, ag.Now())
			made = append(made, name)
		}
	}
	ag.ScheduleAt(start.Add(2*time.Second), note("third"))
	ag.ScheduleAt(start.Add(time.Second), func(now time.Time) {
		note("first")(now)
		ag.ScheduleAt(now, note("second"))
	})
	ag.ScheduleAt(start.Add(2*time.Second), note("fourth"))
	ag.ScheduleAt(start.Add(3*time.Second), note("later"))
	ag.RunUntil(start.Add(2 * time.Second))
	assert.DeepEqual(t, made, []string{"first", "second", "third", "fourth"})
	assert.Equal(t, ag.Now(), start.Add(2*time.Second))
}
