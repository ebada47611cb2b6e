package testutil_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// TestMaxInWindow checks that both ends of a window are found that a window excludes its end, and that
// the order of the times does not matter.
func TestMaxInWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	var times []time.Time
	for _, seconds := range []int{20, 0, 1, 8, 1, 4, 5, 6, 7} {
		times = append(times, start.Add(time.Duration(seconds)*time.Second))
	}
	assert.Equal(t, testutil.MaxInWindow(times, 4*time.Second), 4)
	assert.Equal(t, testutil.MaxInWindow(times, time.Second), 2)
	assert.Equal(t, testutil.MaxInWindow(nil, time.Second), 0)
	assert.Equal(t, testutil.MaxAllowedByLimit(1.9), 16)
}
