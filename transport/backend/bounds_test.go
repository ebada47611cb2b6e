package backend

import (
	"bufio"
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

// endless listens and answers each connection with a beginning and then a part again and again, until it is closed.
func endless(t *testing.T, begin, part string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = raw.Close() }()
				_, err := io.WriteString(raw, begin)
				for much := bytes.Repeat([]byte(part), 4096/len(part)); err == nil; {
					_, err = raw.Write(much)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestEndlessResponses ends exchanges with servers that send bytes without end where an answer, a field, an answer to
// another request or more than the announced body is due. None waits for the caller's deadline.
func TestEndlessResponses(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nFor: mine\r\n"
	cases := []struct {
		name        string
		begin, part string
		// body says that the answer itself is whole.
		body string
	}{
		{"no answer", "", "x", ""},
		{"lines that are no answer", "", "x\r\n", ""},
		{"an endless status line", "HTTP/1.1 200 ", "O", ""},
		{"an endless field", answer + "Field: ", "x", ""},
		{"fields without end", answer, "Field: x\r\n", ""},
		{"interim answers without end", "", "HTTP/1.1 100 Continue\r\n\r\n", ""},
		{"an endless answer to another request", "HTTP/1.1 200 OK\r\nFor: another\r\n\r\n", "x", ""},
		{"answers to other requests without end", "", "HTTP/1.1 200 OK\r\nFor: another\r\nContent-Length: 0\r\n\r\n", ""},
		{"an endless chunk length", answer + "Transfer-Encoding: chunked\r\n\r\n", "0", ""},
		{"more than the announced body", answer + "Content-Length: 2\r\n\r\nok", "x", "ok"},
	}
	for _, cs := range cases {
		t.Run(cs.name, func(t *testing.T) {
			address := endless(t, cs.begin, cs.part)
			pl := NewPool(DefaultConfig(), timer.NewSystem())
			defer pl.Close()
			rs, err := pl.Do(t.Context(), Request{
				Address: address, Method: http.MethodGet, Target: "/x", Host: "h",
				MatchesRequest: func(_ int, header http.Header) bool { return header.Get("For") == "mine" },
			})
			if err == nil {
				var body []byte
				body, err = io.ReadAll(rs.Body)
				if cs.body != "" {
					assert.NilError(t, err)
					assert.Equal(t, string(body), cs.body)
				}
				assert.NilError(t, rs.Body.Close())
				// What comes later than the body is seen before the connection is used again.
				for kept := pl.idle[address]; len(kept) > 0 && quiet(kept[0].Conn); {
					time.Sleep(time.Millisecond)
				}
				assert.Assert(t, pl.take(address) == nil)
			}
			assert.Equal(t, err == nil, cs.body != "", "%v", err)
		})
	}
}

// TestEndlessResponsesUseBoundedMemory reads endless heads and bodies on hundreds of connections at once, within a part of
// the memory of the smallest host.
func TestEndlessResponsesUseBoundedMemory(t *testing.T) {
	const (
		connections = 300
		mostBytes   = 40 << 20
	)
	head := endless(t, "HTTP/1.1 200 OK\r\nField: ", "x")
	body := endless(t, "HTTP/1.1 200 OK\r\n\r\n", "x")
	pl := NewPool(DefaultConfig(), timer.NewSystem())
	defer pl.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var group sync.WaitGroup
	for ix := range connections {
		group.Go(func() {
			address := head
			if ix%2 == 0 {
				address = body
			}
			rs, err := pl.Do(ctx, Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
			if err == nil {
				_, _ = io.Copy(io.Discard, rs.Body)
				_ = rs.Body.Close()
			}
		})
	}
	var most uint64
	for ctx.Err() == nil {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		most = max(most, stats.HeapAlloc)
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	assert.Assert(t, most < mostBytes, "%d bytes", most)
}

// FuzzServerResponse gives any bytes to the client as what a server sends. The exchange ends, and no more of a body is passed on
// than was announced.
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
	f.Fuzz(func(t *testing.T, raw []byte) {
		pl := NewPool(DefaultConfig(), timer.NewSystem())
		client, server := net.Pipe()
		defer func() { _ = server.Close() }()
		go func() {
			_, _ = server.Read(make([]byte, 4096))
			_, _ = server.Write(raw)
			_ = server.Close()
		}()
		src := &source{Reader: client, left: unlimited}
		pl.idle["here"] = []*conn{{Conn: client, address: "here", source: src, reader: bufio.NewReader(src), expires: time.Now().Add(time.Hour)}}
		rs, err := pl.Do(t.Context(), Request{
			Address: "here", Method: http.MethodGet, Target: "/x", Host: "h",
			MatchesRequest: func(_ int, header http.Header) bool { return header.Get("For") == "mine" },
		})
		if err != nil {
			return
		}
		assert.Equal(t, rs.Header.Get("For"), "mine")
		body, err := io.ReadAll(rs.Body)
		if err == nil && rs.ContentLength >= 0 {
			assert.Equal(t, int64(len(body)), rs.ContentLength)
		}
		_ = rs.Body.Close()
	})
}
