package site_test

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/site"
	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// warningLog keeps the lines of a text log that are warnings or errors. It is safe for concurrent use.
type warningLog struct {
	mutex sync.Mutex
	lines []string
}

// Write is called by a text handler with one line.
func (wl *warningLog) Write(line []byte) (int, error) {
	wl.mutex.Lock()
	defer wl.mutex.Unlock()
	wl.lines = append(wl.lines, strings.TrimSpace(string(line)))
	return len(line), nil
}

// take returns the lines so far and forgets them.
func (wl *warningLog) take() []string {
	wl.mutex.Lock()
	defer wl.mutex.Unlock()
	taken := wl.lines
	wl.lines = nil
	return taken
}

// logger returns a logger that writes to the log.
func (wl *warningLog) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(wl, &slog.HandlerOptions{Level: slog.LevelWarn}))
}

// awaitStop stops a host and waits until it has ended.
func (hs *testHost) awaitStop(t *testing.T) {
	t.Helper()
	hs.stop()
	select {
	case err := <-hs.runEnded:
		assert.NilError(t, err)
		hs.runEnded <- nil
	case <-time.After(waitLimit):
		t.Fatal("the host has not stopped")
	}
}

// TestCalmStopWritesWarnings stops each host of a small fleet after it has served requests. The end of its own calls to
// the store and to other hosts is no failure of these.
func TestCalmStopWritesWarnings(t *testing.T) {
	for round := range 3 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			var log warningLog
			env := newTestEnv(t)
			env.shutdownTimeout = 2 * time.Second
			env.hostOptions = []site.Option{site.WithLogger(log.logger())}
			env.addServer("b1", "books")
			env.addServer("e1", "models")
			env.publishTable()
			var seeds []string
			var hosts []*testHost
			for number := range 3 {
				host := env.startHost(fmt.Sprint("host-", number), true, seeds...)
				seeds, hosts = append(seeds, host.settings.Host.PeerAddress), append(hosts, host)
			}
			for number, host := range hosts {
				env.eventually(func() bool { return host.sendPrompt(fmt.Sprint("s", number), 100).err == nil })
			}
			for _, host := range hosts {
				log.take()
				host.awaitStop(t)
				assert.DeepEqual(t, log.take(), []string(nil))
			}
		})
	}
}

// TestStoreLostDuringStop checks that a stopping host names a store that fails before the host has finished its requests.
func TestStoreLostDuringStop(t *testing.T) {
	for _, fault := range []standin.StoreFault{standin.RejectsCalls, standin.IgnoresCalls} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			t.Parallel()
			var log warningLog
			env := newTestEnv(t)
			env.shutdownTimeout = time.Minute
			env.hostOptions = []site.Option{site.WithLogger(log.logger())}
			env.addServer("b1", "books")
			env.publishTable()
			host := env.startHost("host-1", true)
			host.stop()
			env.store.SetFault(fault)
			host.awaitStop(t)
			lost := func(line string) bool { return strings.Contains(line, `msg="store lost"`) }
			lines := log.take()
			assert.Assert(t, slices.ContainsFunc(lines, lost), "%q", lines)
		})
	}
}
