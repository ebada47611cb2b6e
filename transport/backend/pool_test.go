package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// server counts the connections that it is given.
func server(t *testing.T, handler http.HandlerFunc) (string, *atomic.Int64) {
	var opened atomic.Int64
	sv := httptest.NewUnstartedServer(handler)
	sv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	sv.Start()
	t.Cleanup(func() {
		sv.CloseClientConnections()
		sv.Close()
	})
	return sv.Listener.Addr().String(), &opened
}

func get(t *testing.T, pl *Pool, address string) string {
	rs, err := pl.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
	assert.NilError(t, err)
	body, err := io.ReadAll(rs.Body)
	assert.NilError(t, err)
	assert.NilError(t, rs.Body.Close())
	return string(body)
}

// TestConnectionReuse uses a connection again, unless the server says that it closes it or none may be kept.
func TestConnectionReuse(t *testing.T) {
	cases := []struct {
		name   string
		header map[string]string
		bound  int
		want   int64
	}{
		{"kept", nil, 4, 1},
		{"closed by the server", map[string]string{"Connection": "close"}, 4, 3},
		{"kept for too short a time", map[string]string{"Keep-Alive": "timeout=0"}, 4, 3},
		{"none may be kept", nil, 0, 3},
	}
	for _, cs := range cases {
		t.Run(cs.name, func(t *testing.T) {
			address, opened := server(t, func(wr http.ResponseWriter, _ *http.Request) {
				for name, value := range cs.header {
					wr.Header().Set(name, value)
				}
				_, _ = io.WriteString(wr, "answer")
			})
			pl := NewPool(DefaultConfig(), timer.NewSystem())
			defer pl.Close()
			pl.SetIdleLimits(map[string]int{address: cs.bound})
			for range 3 {
				assert.Equal(t, get(t, pl, address), "answer")
			}
			assert.Equal(t, opened.Load(), cs.want)
		})
	}
}

// TestConnectionWithUnreadBodyIsNotReused closes a connection whose answer was not read to its end.
func TestConnectionWithUnreadBodyIsNotReused(t *testing.T) {
	address, opened := server(t, func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = wr.Write(make([]byte, 100_000))
	})
	pl := NewPool(DefaultConfig(), timer.NewSystem())
	defer pl.Close()
	rs, err := pl.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
	assert.NilError(t, err)
	assert.NilError(t, rs.Body.Close())
	assert.Equal(t, len(get(t, pl, address)), 100_000)
	assert.Equal(t, opened.Load(), int64(2))
}

// TestErrNotSent tells a refused connection from a request that may have been read.
func TestErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	pl := NewPool(DefaultConfig(), timer.NewSystem())
	defer pl.Close()
	_, err = pl.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
	assert.ErrorIs(t, err, ErrNotSent)
	hanging, _ := server(t, func(_ http.ResponseWriter, rq *http.Request) {
		_, _ = io.ReadAll(rq.Body)
		<-rq.Context().Done()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = pl.Do(ctx, Request{Address: hanging, Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("body")})
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, ErrNotSent))
}

// TestSurplusResponse reuses a connection on which the server later sends an answer that nobody asked for and closes.
// The request is told from one that a server dropped, and at once.
func TestSurplusResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAndAgain(raw)
		}
	}()
	pl := NewPool(DefaultConfig(), timer.NewSystem())
	defer pl.Close()
	rq := Request{
		Address: listener.Addr().String(), Method: http.MethodGet, Target: "/x", Host: "h",
		MatchesRequest: func(_ int, header http.Header) bool { return header.Get("For") == "mine" },
	}
	take := func() error {
		rs, err := pl.Do(context.Background(), rq)
		if err != nil {
			return err
		}
		_, err = io.ReadAll(rs.Body)
		assert.NilError(t, err)
		return rs.Body.Close()
	}
	assert.NilError(t, take())
	assert.ErrorIs(t, take(), ErrStaleConnection)
	assert.NilError(t, take())
	rq.NewConnection = true
	assert.NilError(t, take())
}

// answerAndAgain answers the first request on a connection, and the second one with an answer to another request. The
// connection stays open after that, although the answer says that it is closed.
func answerAndAgain(raw net.Conn) {
	rd := bufio.NewReader(raw)
	for _, head := range []string{"For: mine", "For: another\r\nConnection: close"} {
		if _, err := http.ReadRequest(rd); err != nil {
			_ = raw.Close()
			return
		}
		_, _ = io.WriteString(raw, "HTTP/1.1 200 OK\r\n"+head+"\r\nContent-Length: 2\r\n\r\nok")
	}
	_, _ = io.Copy(io.Discard, rd)
	_ = raw.Close()
}

// TestErrStaleConnection tells a connection that ended before it brought anything of an answer from one that ended in the
// middle of it, from a new one, and from one that was given up by the caller.
func TestErrStaleConnection(t *testing.T) {
	var cuts atomic.Int64
	address, _ := server(t, func(wr http.ResponseWriter, _ *http.Request) {
		switch cuts.Load() {
		case 1:
			panic(http.ErrAbortHandler)
		case 3:
			time.Sleep(200 * time.Millisecond)
		case 2:
			raw, _, err := http.NewResponseController(wr).Hijack()
			if err == nil {
				_, _ = io.WriteString(raw, "HTTP/1.1 200 OK\r\nContent-Le")
				_ = raw.Close()
			}
		}
	})
	pl := NewPool(DefaultConfig(), timer.NewSystem())
	defer pl.Close()
	rq := Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"}
	for _, cs := range []struct {
		cut   int64
		fresh bool
		stale bool
	}{{1, false, true}, {1, true, false}, {2, false, false}, {3, false, false}} {
		cuts.Store(0)
		get(t, pl, address)
		cuts.Store(cs.cut)
		rq.NewConnection = cs.fresh
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := pl.Do(ctx, rq)
		cancel()
		assert.Assert(t, err != nil)
		assert.Equal(t, errors.Is(err, ErrStaleConnection), cs.stale, "%+v: %v", cs, err)
	}
}
