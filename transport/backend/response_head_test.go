package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// startStallingServer starts a server that sends the same bytes on each connection and then keeps the connection open until the
// client closes it. It returns the address of the server.
func startStallingServer(t *testing.T, sent string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	sentBytes := []byte(sent)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				_, _ = connection.Write(sentBytes)
				_, _ = io.Copy(io.Discard, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

// headerFields returns a number of header fields with different names, each with a value of some bytes.
func headerFields(count, valueBytes int) string {
	var fields bytes.Buffer
	for ix := range count {
		fmt.Fprintf(&fields, "%x:%s\r\n", ix, strings.Repeat("v", valueBytes))
	}
	return fields.String()
}

// peakHeap runs exchanges with a server until the context ends and returns the highest size of the heap in bytes. Each
// exchange keeps its response until then.
func peakHeap(ctx context.Context, address string, exchanges int) uint64 {
	pool := NewPool(DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	var group sync.WaitGroup
	for range exchanges {
		group.Go(func() {
			response, err := pool.Do(ctx, Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
			if err == nil {
				<-ctx.Done()
				_ = response.Body.Close()
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
	return peakBytes
}

// TestManyShortFieldsExhaustMemory reads heads with thousands of short header fields on hundreds of concurrent
// connections. The heap must stay below maxPeakBytes, a fraction of the memory of the smallest host.
func TestManyShortFieldsExhaustMemory(t *testing.T) {
	const (
		exchanges    = 300
		maxPeakBytes = 40 << 20
		statusLine   = "HTTP/1.1 200 OK\r\n"
	)
	cases := []struct{ name, sent string }{
		{"a head that ends", statusLine + headerFields(7000, 0) + "\r\n"},
		{"a head that stops", statusLine + headerFields(7000, 0)},
		{"a head without end", statusLine + headerFields(40000, 0)},
		{"a head after interim responses", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 3) + statusLine + headerFields(7000, 0)},
		{"an interim head", "HTTP/1.1 103 Early Hints\r\n" + headerFields(7000, 0)},
		{"continued lines", statusLine + "a: b\r\n" + strings.Repeat(" \r\n", 15000)},
		{"a head of long fields that stops", statusLine + headerFields(15, 4000)},
		{"one long field that stops", statusLine + headerFields(1, 60000)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runtime.GC()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			peakBytes := peakHeap(ctx, startStallingServer(t, tc.sent), exchanges)
			t.Logf("peak of the heap: %d MB", peakBytes>>20)
			assert.Assert(t, peakBytes < maxPeakBytes, "%d bytes", peakBytes)
		})
	}
}

// TestSoundLongHeadsPass requests responses with long heads and many fields, which must not be rejected.
func TestSoundLongHeadsPass(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	cases := []struct{ name, sent string }{
		{"100 fields", "HTTP/1.1 200 OK\r\n" + headerFields(100, 20) + body},
		{"a field of 24 KB", "HTTP/1.1 200 OK\r\n" + headerFields(1, 24<<10) + body},
		{"a head of 24 KB", "HTTP/1.1 200 OK\r\n" + headerFields(100, 240) + body},
		{"100 interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\n" + headerFields(100, 20) + body},
		{"interim responses with fields", strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+headerFields(100, 20)+"\r\n", 3) + "HTTP/1.1 200 OK\r\n" + headerFields(100, 20) + body},
		{"a body of empty lines", "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" + strings.Repeat("\n", 6000)},
		{"a body of lines", "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" + strings.Repeat("a\n", 3000)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pool := NewPool(DefaultConfig(), timer.NewSystem())
			defer pool.Close()
			address := startStallingServer(t, tc.sent)
			response, err := pool.Do(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
			assert.NilError(t, err)
			read, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, int64(len(read)), response.ContentLength)
			assert.NilError(t, response.Body.Close())
			assert.Assert(t, pool.takeIdle(address) != nil)
		})
	}
}
