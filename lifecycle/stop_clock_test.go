package lifecycle_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestCloseContext checks how long a process may take for what it does after its host has ended.
func TestCloseContext(t *testing.T) {
	const (
		grace   = lifecycle.Grace(10 * time.Second)
		running = time.Duration(-1)
	)
	for name, tc := range map[string]struct{ stoppingFor, want time.Duration }{
		"ends by itself":    {running, 2 * time.Second},
		"short stop":        {3 * time.Second, 2 * time.Second},
		"long stop":         {9 * time.Second, 800 * time.Millisecond},
		"stop past its end": {11 * time.Second, 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				clock := lifecycle.NewStopClock(ctx, timer.NewSystem(), grace)
				if tc.stoppingFor != running {
					stop()
					synctest.Wait()
					time.Sleep(tc.stoppingFor)
				}
				closeCtx, cancel := clock.CloseContext()
				defer cancel()
				startedAt := time.Now()
				<-closeCtx.Done()
				assert.Equal(t, time.Since(startedAt), tc.want)
			})
		})
	}
}
