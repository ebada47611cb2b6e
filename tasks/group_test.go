package tasks_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestWaitBlocksNewTasks checks that Wait returns only when all running tasks have returned, and that Go starts no task
// while Wait waits.
func TestWaitBlocksNewTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var group tasks.Group
		var ended atomic.Int64
		for index := range 3 {
			assert.Assert(t, group.Go(func() {
				time.Sleep(time.Duration(index+1) * time.Second)
				ended.Add(1)
			}))
		}
		time.AfterFunc(time.Second/2, func() { assert.Assert(t, !group.Go(func() { ended.Add(1) })) })
		group.Wait()
		assert.Equal(t, ended.Load(), int64(3))
	})
}
