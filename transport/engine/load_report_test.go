package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessLoadReportsExhaustMemory fetches the load reports of many engines that answer with a text without end. The
// heap must stay below maxPeakBytes, a fraction of the memory of the smallest host.
func TestEndlessLoadReportsExhaustMemory(t *testing.T) {
	const (
		engines      = 100
		maxPeakBytes = 60 << 20
	)
	text := []byte(strings.Repeat("x", 4096))
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, err := writer.Write([]byte(`{"Models":["`))
		for sent := 0; err == nil && sent < 3<<20; sent += len(text) {
			_, err = writer.Write(text)
		}
		<-request.Context().Done()
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	client := newClient(t)
	var group sync.WaitGroup
	for range engines {
		group.Go(func() {
			_, err := client.FetchLoad(ctx, server.Listener.Addr().String())
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

// TestLoadReportWithManyModels fetches a report with a thousand models with long names.
func TestLoadReportWithManyModels(t *testing.T) {
	const models = 1000
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		names := make([]string, models)
		for ix := range names {
			names[ix] = fmt.Sprintf("%q", fmt.Sprint(strings.Repeat("m", 80), ix))
		}
		_, _ = fmt.Fprintf(writer, `{"Models":[%s]}`, strings.Join(names, ","))
	}))
	defer server.Close()
	loaded, _, err := newClient(t).FetchModels(t.Context(), server.Listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, len(loaded), models)
}
