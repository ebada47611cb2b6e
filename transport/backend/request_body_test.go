package backend

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestLongRequestBodiesAreNotCopied sends the same long body to a server that does not read, on many connections. The
// heap must not grow by a copy for each of them.
func TestLongRequestBodiesAreNotCopied(t *testing.T) {
	const (
		requests     = 64
		bodyBytes    = 4 << 20
		maxPeakBytes = 40 << 20
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	pool := NewPool(DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	body := make([]byte, bodyBytes)
	var group sync.WaitGroup
	for range requests {
		group.Go(func() {
			_, err := pool.Do(ctx, Request{Address: listener.Addr().String(), Method: http.MethodPost, Target: "/x", Host: "h", Body: body})
			assert.Check(t, err != nil)
		})
	}
	var peakBytes uint64
	for ctx.Err() == nil {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peakBytes = max(peakBytes, stats.HeapAlloc)
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	t.Logf("peak of the heap: %d MB", peakBytes>>20)
	assert.Assert(t, peakBytes < maxPeakBytes, "%d bytes", peakBytes)
}
