package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// startEndlessServer starts a server that sends a prefix on each connection and then repeats a text until the
// connection is closed. It returns the address of the server.
func startEndlessServer(t *testing.T, prefix, repeated string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				_, err := io.WriteString(connection, prefix)
				for chunk := bytes.Repeat([]byte(repeated), 4096/len(repeated)); err == nil; {
					_, err = connection.Write(chunk)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestEndlessResponses sends requests to servers that never stop sending: in the status line, in a header field, in a
// response to another request, or after the announced body. Every exchange must end without waiting for the caller's
// deadline.
func TestEndlessResponses(t *testing.T) {
	const responseHead = "HTTP/1.1 200 OK\r\nFor: mine\r\n"
	cases := []struct {
		name             string
		prefix, repeated string
		// body is the expected body; it is empty if the exchange must fail.
		body string
	}{
		{"no response", "", "x", ""},
		{"lines that are not a response", "", "x\r\n", ""},
		{"an endless status line", "HTTP/1.1 200 ", "O", ""},
		{"an endless header field", responseHead + "Field: ", "x", ""},
		{"header fields without end", responseHead, "Field: x\r\n", ""},
		{"interim responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n", ""},
		{"an endless response to another request", "HTTP/1.1 200 OK\r\nFor: another\r\n\r\n", "x", ""},
		{"responses to other requests without end", "", "HTTP/1.1 200 OK\r\nFor: another\r\nContent-Length: 0\r\n\r\n", ""},
		{"an endless chunk length", responseHead + "Transfer-Encoding: chunked\r\n\r\n", "0", ""},
		{"more than the announced body", responseHead + "Content-Length: 2\r\n\r\nok", "x", "ok"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address := startEndlessServer(t, tc.prefix, tc.repeated)
			pool := NewPool(DefaultConfig(), timer.NewSystem())
			defer pool.Close()
			response, err := pool.Do(t.Context(), Request{
				Address: address, Method: http.MethodGet, Target: "/x", Host: "h",
				MatchesRequest: func(_ int, header http.Header) bool { return header.Get("For") == "mine" },
			})
			if err == nil {
				var body []byte
				body, err = io.ReadAll(response.Body)
				if tc.body != "" {
					assert.NilError(t, err)
					assert.Equal(t, string(body), tc.body)
				}
				assert.NilError(t, response.Body.Close())
				// Bytes that arrive after the body must be noticed before the connection is reused.
				for idle := pool.idle[address]; len(idle) > 0 && isOpenAndIdle(idle[0].Conn); {
					time.Sleep(time.Millisecond)
				}
				assert.Assert(t, pool.takeIdle(address) == nil)
			}
			assert.Equal(t, err == nil, tc.body != "", "%v", err)
		})
	}
}

// TestEndlessResponsesUseBoundedMemory reads endless heads and bodies on hundreds of concurrent connections. The heap
// must stay below maxPeakBytes, a fraction of the memory of the smallest host.
func TestEndlessResponsesUseBoundedMemory(t *testing.T) {
	const (
		connections  = 300
		maxPeakBytes = 40 << 20
	)
	endlessHead := startEndlessServer(t, "HTTP/1.1 200 OK\r\nField: ", "x")
	endlessBody := startEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	pool := NewPool(DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var group sync.WaitGroup
	for index := range connections {
		group.Go(func() {
			address := endlessHead
			if index%2 == 0 {
				address = endlessBody
			}
			response, err := pool.Do(ctx, Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
	var peakBytes uint64
	for ctx.Err() == nil {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peakBytes = max(peakBytes, stats.HeapAlloc)
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	assert.Assert(t, peakBytes < maxPeakBytes, "%d bytes", peakBytes)
}

// FuzzServerResponse passes arbitrary bytes to the client as the output of a server. The exchange must end, and the
// body that the client returns must have the announced length.
func FuzzServerResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nFor: mine\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nFor: another\r\nContent-Length: 1\r\n\r\n?HTTP/1.1 503 No\r\nFor: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nFor: mine\r\n\r\nto the end",
		"HTTP/1.1 204 No\r\nFor: mine\r\nContent-Length: 5\r\n\r\nmore",
		"\x00\xff", "HTTP/1.1 101 Switching\r\nFor: mine\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		pool := NewPool(DefaultConfig(), timer.NewSystem())
		client, server := net.Pipe()
		defer func() { _ = server.Close() }()
		go func() {
			_, _ = server.Read(make([]byte, 4096))
			_, _ = server.Write(sent)
			_ = server.Close()
		}()
		idle := newConn(client, "here")
		idle.expiresAt = time.Now().Add(time.Hour)
		pool.idle["here"] = []*conn{idle}
		response, err := pool.Do(t.Context(), Request{
			Address: "here", Method: http.MethodGet, Target: "/x", Host: "h",
			MatchesRequest: func(_ int, header http.Header) bool { return header.Get("For") == "mine" },
		})
		if err != nil {
			return
		}
		assert.Equal(t, response.Header.Get("For"), "mine")
		body, err := io.ReadAll(response.Body)
		if err == nil && response.ContentLength >= 0 {
			assert.Equal(t, int64(len(body)), response.ContentLength)
		}
		_ = response.Body.Close()
	})
}
