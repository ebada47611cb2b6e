package tasks_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/tasks"
)

func TestMain(m *testing.M) { checks.Main(m) }

// TestWaitBlocksNewTasks waits for what was started before, and starts nothing after.
func TestWaitBlocksNewTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gr tasks.Group
		var ended atomic.Int64
		for ix := range 3 {
			assert.Assert(t, gr.Go(func() {
				time.Sleep(time.Duration(ix+1) * time.Second)
				ended.Add(1)
			}))
		}
		time.AfterFunc(time.Second/2, func() { assert.Assert(t, !gr.Go(func() { ended.Add(1) })) })
		gr.Wait()
		assert.Equal(t, ended.Load(), int64(3))
	})
}
