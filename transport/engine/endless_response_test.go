package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
)

// TestEndlessEventLinesExhaustMemory reads endless lines on many concurrent streams. The heap must stay below
// maxPeakBytes, a fraction of the memory of the smallest host.
func TestEndlessEventLinesExhaustMemory(t *testing.T) {
	const (
		streams      = 300
		lineBytes    = 1000 << 10
		maxPeakBytes = 60 << 20
	)
	line := []byte("data: " + strings.Repeat("x", lineBytes))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		for rest := line; len(rest) > 0; rest = rest[min(len(rest), 4096):] {
			if _, err := writer.Write(rest[:min(len(rest), 4096)]); err != nil {
				return
			}
		}
		<-request.Context().Done()
	}))
	defer server.Close()
	client := newClient(t)
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			opened := client.Open(ctx, modelcall.StreamRequest{Address: server.Listener.Addr().String(), Attempt: "a"})
			if opened.Stream != nil {
				_, err := opened.Stream.Next()
				assert.Check(t, err != nil)
				opened.Stream.Close()
			}
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

// TestLongFramePasses reads a frame of 60 KB.
func TestLongFramePasses(t *testing.T) {
	text := strings.Repeat("x", 60<<10)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, `data: {"Text":"`+text+`"}`+"\n\n")
	}))
	defer server.Close()
	opened := newClient(t).Open(t.Context(), modelcall.StreamRequest{Address: server.Listener.Addr().String(), Attempt: "a"})
	assert.Assert(t, opened.Stream != nil)
	defer opened.Stream.Close()
	frame, err := opened.Stream.Next()
	assert.NilError(t, err)
	assert.Equal(t, frame.Text, text)
}
