package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// startServer starts a server and returns its address and the number of connections that it has accepted.
func startServer(t *testing.T, handler http.HandlerFunc) (string, *atomic.Int64) {
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String(), &opened
}

// getBody sends a GET request and returns the body of the response.
func getBody(t *testing.T, pool *Pool, address string) string {
	response, err := pool.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return string(body)
}

// TestConnectionReuse checks that a connection is reused, unless the server announces that it closes the connection or
// a keep-alive timeout that is too short, or the limit of idle connections is 0.
func TestConnectionReuse(t *testing.T) {
	cases := []struct {
		name       string
		header     map[string]string
		idleLimit  int
		wantOpened int64
	}{
		{"reused", nil, 4, 1},
		{"closed by the server", map[string]string{"Connection": "close"}, 4, 3},
		{"keep-alive timeout too short", map[string]string{"Keep-Alive": "timeout=0"}, 4, 3},
		{"no idle connections allowed", nil, 0, 3},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			address, opened := startServer(t, func(writer http.ResponseWriter, _ *http.Request) {
				for name, value := range tc.header {
					writer.Header().Set(name, value)
				}
				_, _ = io.WriteString(writer, "answer")
			})
			pool := NewPool(DefaultConfig(), timer.NewSystem())
			defer pool.Close()
			pool.SetIdleLimits(map[string]int{address: tc.idleLimit})
			for range 3 {
				assert.Equal(t, getBody(t, pool, address), "answer")
			}
			assert.Equal(t, opened.Load(), tc.wantOpened)
		})
	}
}

// TestConnectionWithUnreadBodyIsNotReused checks that a connection is closed if the body was not read to its end.
func TestConnectionWithUnreadBodyIsNotReused(t *testing.T) {
	address, opened := startServer(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(make([]byte, 100_000))
	})
	pool := NewPool(DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	response, err := pool.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, len(getBody(t, pool, address)), 100_000)
	assert.Equal(t, opened.Load(), int64(2))
}

// TestErrNotSent checks that ErrNotSent is returned for a refused connection, but not for a request that the server may
// have read.
func TestErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	pool := NewPool(DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	_, err = pool.Do(context.Background(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"})
	assert.ErrorIs(t, err, ErrNotSent)
	unresponsiveAddress, _ := startServer(t, func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.ReadAll(request.Body)
		<-request.Context().Done()
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = pool.Do(ctx, Request{Address: unresponsiveAddress, Method: http.MethodPost, Target: "/x", Host: "h", Body: []byte("body")})
	assert.Assert(t, err != nil)
	assert.Assert(t, !errors.Is(err, ErrNotSent))
}

// TestSurplusResponse sends a request on a reused connection on which the server sends only a response to another
// request. The request must fail immediately with ErrStaleConnection, so that the caller can distinguish it from a
// request that the server aborted, and must succeed on a new connection.
func TestSurplusResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serveSurplusResponse(connection)
		}
	}()
	pool := NewPool(DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	request := Request{
		Address: listener.Addr().String(), Method: http.MethodGet, Target: "/x", Host: "h",
		MatchesRequest: func(_ int, header http.Header) bool { return header.Get("For") == "mine" },
	}
	send := func() error {
		response, err := pool.Do(context.Background(), request)
		if err != nil {
			return err
		}
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.Body.Close()
	}
	assert.NilError(t, send())
	assert.ErrorIs(t, send(), ErrStaleConnection)
	assert.NilError(t, send())
	request.NewConnection = true
	assert.NilError(t, send())
}

// serveSurplusResponse answers the first request on a connection, and answers the second one with a response to another
// request. The connection then stays open, although that response announces that it is closed.
func serveSurplusResponse(connection net.Conn) {
	reader := bufio.NewReader(connection)
	for _, head := range []string{"For: mine", "For: another\r\nConnection: close"} {
		if _, err := http.ReadRequest(reader); err != nil {
			_ = connection.Close()
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+head+"\r\nContent-Length: 2\r\n\r\nok")
	}
	_, _ = io.Copy(io.Discard, reader)
	_ = connection.Close()
}

// TestErrStaleConnection checks that ErrStaleConnection is returned only for a reused connection that ended before any
// byte of the response. It must not be returned if the connection ended within the response or was new, or if the
// caller's context ended.
func TestErrStaleConnection(t *testing.T) {
	// serverMode selects how the server responds: 0 normally, 1 it closes the connection without a response, 2 it
	// closes the connection within the head, 3 it responds after the deadline of the client.
	var serverMode atomic.Int64
	address, _ := startServer(t, func(writer http.ResponseWriter, _ *http.Request) {
		switch serverMode.Load() {
		case 1:
			panic(http.ErrAbortHandler)
		case 3:
			time.Sleep(200 * time.Millisecond)
		case 2:
			connection, _, err := http.NewResponseController(writer).Hijack()
			if err == nil {
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Le")
				_ = connection.Close()
			}
		}
	})
	pool := NewPool(DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	request := Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h"}
	for _, tc := range []struct {
		mode          int64
		newConnection bool
		stale         bool
	}{{1, false, true}, {1, true, false}, {2, false, false}, {3, false, false}} {
		serverMode.Store(0)
		getBody(t, pool, address)
		serverMode.Store(tc.mode)
		request.NewConnection = tc.newConnection
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := pool.Do(ctx, request)
		cancel()
		assert.Assert(t, err != nil)
		assert.Equal(t, errors.Is(err, ErrStaleConnection), tc.stale, "%+v: %v", tc, err)
	}
}

// TestDialFunction checks that the pool opens connections with the function of its configuration, which gets a context
// that ends after the timeout of dials.
func TestDialFunction(t *testing.T) {
	config := DefaultConfig()
	config.DialTimeout = 10 * time.Millisecond
	config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		assert.Equal(t, network+" "+address, "tcp server:80")
		<-ctx.Done()
		return nil, ctx.Err()
	}
	pool := NewPool(config, timer.NewSystem())
	defer pool.Close()
	assert.ErrorIs(t, pool.Preconnect(t.Context(), "server:80"), context.DeadlineExceeded)
}

// TestKeptConnectionOnly checks that a request that demands a kept connection opens none, sends nothing if there is none,
// and that the response says whether its connection was new.
func TestKeptConnectionOnly(t *testing.T) {
	address, opened := startServer(t, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "answer") })
	pool := NewPool(DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	send := func(keptConnection bool) (bool, error) {
		response, err := pool.Do(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h", KeptConnection: keptConnection})
		if err != nil {
			return false, err
		}
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.NewConnection, response.Body.Close()
	}
	_, err := send(true)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.ErrorIs(t, err, ErrNoIdleConnection)
	assert.Equal(t, opened.Load(), int64(0))
	newConnection, err := send(false)
	assert.NilError(t, err)
	assert.Assert(t, newConnection)
	newConnection, err = send(true)
	assert.NilError(t, err)
	assert.Assert(t, !newConnection)
	assert.Equal(t, opened.Load(), int64(1))
	pool.DropIdle(address)
	_, err = send(true)
	assert.ErrorIs(t, err, ErrNoIdleConnection)
}

// TestDialWithoutDescriptorsFails opens connections while the process has no descriptors left: one is free after a while, or
// when the pool closes an idle connection.
func TestDialWithoutDescriptorsFails(t *testing.T) {
	address, _ := startServer(t, func(http.ResponseWriter, *http.Request) {})
	for name, holdsIdle := range map[string]bool{"freed by others": false, "held by an idle connection": true} {
		t.Run(name, func(t *testing.T) {
			config := DefaultConfig()
			config.DialTimeout = time.Minute
			var pool *Pool
			exhausted, tries := false, 0
			config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				tries++
				if exhausted && (tries < 3 || holdsIdle && len(pool.idle) > 0) {
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			pool = NewPool(config, timer.NewSystem())
			defer pool.Close()
			if holdsIdle {
				assert.NilError(t, pool.Preconnect(t.Context(), address))
			}
			exhausted, tries = true, 0
			response, err := pool.Do(t.Context(), Request{Address: address, Method: http.MethodGet, Target: "/x", Host: "h", NewConnection: true})
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusOK)
		})
	}
}
