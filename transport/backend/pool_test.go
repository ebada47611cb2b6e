package backend

import (
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

// TestConnectionsAreKept uses a connection again, unless the server says that it closes it or none may be kept.
func TestConnectionsAreKept(t *testing.T) {
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
			pl.Bound(map[string]int{address: cs.bound})
			for range 3 {
				assert.Equal(t, get(t, pl, address), "answer")
			}
			assert.Equal(t, opened.Load(), cs.want)
		})
	}
}

// TestUnreadAnswerIsNotReused closes a connection whose answer was not read to its end.
func TestUnreadAnswerIsNotReused(t *testing.T) {
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

// TestNotSent tells a refused connection from a request that may have been read.
func TestNotSent(t *testing.T) {
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
