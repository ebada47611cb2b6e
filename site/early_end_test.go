package site_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/site"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// panickingClock is the system clock, except that one notification panics before the subscriber is called.
type panickingClock struct {
	timer.Clock
	armed atomic.Bool
	// left is the number of notifications up to and including the one that panics, counted while armed is set.
	left atomic.Int64
}

// After calls notify or panics.
func (pc *panickingClock) After(wait time.Duration, notify func()) timer.Subscription {
	return pc.Clock.After(wait, func() {
		if pc.armed.Load() && pc.left.Add(-1) == 0 {
			panic("index 7")
		}
		notify()
	})
}

// TestPanicInBackgroundCutsRequests has a timer's callback panic while a host answers a stream. The host must say that it
// isn't ready, finish the stream, and end with the panic as its error.
func TestPanicInBackgroundCutsRequests(t *testing.T) {
	for _, callback := range []int64{1, 3, 8, 21} {
		t.Run(fmt.Sprintf("callback %d", callback), func(t *testing.T) {
			env := newTestEnv(t)
			env.hostsFail = true
			env.shutdownTimeout = 8 * time.Second
			env.routes[0]["TimeoutMs"] = int(waitLimit.Milliseconds())
			engine := env.addServer("e1", "models")
			engine.SetEventInterval(300 * time.Millisecond)
			env.publishTable()
			clock := &panickingClock{Clock: timer.NewSystem()}
			clock.left.Store(callback)
			env.hostOptions = []site.Option{site.WithClock(clock)}
			host := env.startHost("host-1", true)
			streamed := make(chan response, 1)
			go func() { streamed <- host.sendPrompt("a1", 1000) }()
			env.eventually(func() bool { return len(engine.ExecutedRequests()) == 1 })
			clock.armed.Store(true)
			env.eventually(func() bool {
				return env.getStatus("http://"+host.settings.Host.ReadyAddress+"/-/ready") != http.StatusOK
			})
			got := <-streamed
			assert.NilError(t, got.err, got.body)
			assert.Assert(t, got.status == http.StatusOK && strings.HasSuffix(got.body, "data: event 5\n\n"), got.body)
			select {
			case err := <-host.runEnded:
				assert.ErrorContains(t, err, "panic: index 7")
				host.runEnded <- err
			case <-time.After(waitLimit):
				t.Fatal("the host has not stopped")
			}
		})
	}
}
