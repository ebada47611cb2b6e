package tasks_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

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

// TestPanicEndsProcess has each way to run a function panic while somebody has subscribed.
func TestPanicEndsProcess(t *testing.T) {
	for name, run := range map[string]func(task func()){
		"guarded": func(task func()) { tasks.Guarded(task)() },
		"goroutine": func(task func()) {
			ended := make(chan struct{})
			tasks.Go(func() {
				defer close(ended)
				task()
			})
			<-ended
		},
		"group": func(task func()) {
			var group tasks.Group
			group.Go(task)
			group.Wait()
		},
		"wait group": func(task func()) {
			var group tasks.WaitGroup
			group.Go(task)
			group.Wait()
		},
	} {
		t.Run(name, func(t *testing.T) {
			reported := make(chan *tasks.Panic, 1)
			unsubscribe := tasks.NotifyPanics(func(pn *tasks.Panic) { reported <- pn })
			defer unsubscribe()
			run(func() { panic("index 7") })
			pn := <-reported
			assert.Error(t, pn, "panic: index 7")
			assert.Assert(t, cmp.Contains(pn.Stack(), "group_test.go"))
		})
	}
}

// TestPanicGoesUnnoticed checks that a panic continues while nobody has subscribed.
func TestPanicGoesUnnoticed(t *testing.T) {
	tasks.NotifyPanics(func(*tasks.Panic) { t.Error("the subscription has ended") })()
	recovered := func() (recovered any) {
		defer func() { recovered = recover() }()
		tasks.Guarded(func() { panic("index 7") })()
		return nil
	}()
	assert.Equal(t, recovered, "index 7")
}

// TestTaskStartedDuringWaitPanics starts functions while others wait for the group.
func TestTaskStartedDuringWaitPanics(t *testing.T) {
	const rounds, waiters = 2000, 8
	var group, waiting tasks.WaitGroup
	var ended atomic.Int64
	for range waiters {
		waiting.Go(func() {
			for ended.Load() < rounds {
				group.Wait()
			}
		})
	}
	for range rounds {
		group.Go(func() { time.Sleep(time.Microsecond); ended.Add(1) })
		time.Sleep(2 * time.Microsecond)
	}
	waiting.Wait()
	group.Wait()
	assert.Equal(t, ended.Load(), int64(rounds))
}
