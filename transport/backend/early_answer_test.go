package backend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
)

const (
	// bufferBytes is the size of the buffers of connections, longBodyBytes that of a body that does not fit into them.
	bufferBytes   = 64 << 10
	longBodyBytes = 2 << 20
)

// smallBufferConfig returns a configuration with which connections buffer little of a request.
func smallBufferConfig() backend.Config {
	config := backend.DefaultConfig()
	config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, conn.(*net.TCPConn).SetWriteBuffer(bufferBytes)
	}
	return config
}

// TestResetEarlyAnswerIsNotComplete has a server answer while a long request is still being written, and then end the
// connection. A body without a length is complete only if the server has ended its side of the connection, not if the
// connection was reset, which closing it does while input is unread.
func TestResetEarlyAnswerIsNotComplete(t *testing.T) {
	const (
		rounds = 30
		pause  = 5 * time.Millisecond
	)
	body := make([]byte, longBodyBytes)
	reset := func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) }
	closeUnread := func(*net.TCPConn, io.Reader) {}
	endSide := func(conn *net.TCPConn, rest io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, rest)
	}
	endSideAndClose := func(conn *net.TCPConn, _ io.Reader) { _ = conn.CloseWrite() }
	for _, tc := range []struct {
		name, response string
		end            func(conn *net.TCPConn, rest io.Reader)
		complete       bool
	}{
		{"reset", "HTTP/1.1 200 OK\r\n\r\npart", reset, false},
		{"closed", "HTTP/1.1 200 OK\r\n\r\npart", closeUnread, false},
		{"old version, reset", "HTTP/1.0 200 OK\r\n\r\npart", reset, false},
		{"failure, reset", "HTTP/1.1 500 Internal Server Error\r\n\r\npart", reset, false},
		{"side ended", "HTTP/1.1 200 OK\r\n\r\npart", endSide, true},
		{"side ended, closed", "HTTP/1.1 200 OK\r\n\r\npart", endSideAndClose, true},
		{"length, closed", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", closeUnread, true},
		{"chunks, closed", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", closeUnread, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := testutil.StartEarlyServer(t, func(conn *net.TCPConn, rest io.Reader) {
				_ = conn.SetReadBuffer(bufferBytes)
				_, _ = io.WriteString(conn, tc.response)
				time.Sleep(pause)
				tc.end(conn, rest)
			})
			pool := backend.NewPool(smallBufferConfig(), timer.NewSystem())
			defer pool.Close()
			for range rounds {
				response, err := pool.Do(t.Context(), backend.Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: body})
				assert.NilError(t, err)
				received, err := io.ReadAll(response.Body)
				assert.Equal(t, string(received), "part")
				assert.Equal(t, err == nil, tc.complete, "%v", err)
				assert.NilError(t, response.Body.Close())
			}
		})
	}
}

// TestServerThatEndsItsSideGetsWholeRequest has a server answer at once without a length, end its side of the connection and
// read on after that. The request must go on being written although its response has been read to its end.
func TestServerThatEndsItsSideGetsWholeRequest(t *testing.T) {
	const receiveLimit = 20 * time.Second
	responseRead, received := make(chan struct{}), make(chan int64, 1)
	address := testutil.StartEarlyServer(t, func(conn *net.TCPConn, rest io.Reader) {
		_ = conn.SetReadBuffer(bufferBytes)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = conn.CloseWrite()
		<-responseRead
		count, _ := io.CopyN(io.Discard, rest, longBodyBytes)
		received <- count
	})
	pool := backend.NewPool(smallBufferConfig(), timer.NewSystem())
	defer pool.Close()
	response, err := pool.Do(t.Context(), backend.Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, longBodyBytes)})
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	close(responseRead)
	select {
	case count := <-received:
		assert.Equal(t, count, int64(longBodyBytes))
	case <-time.After(receiveLimit):
		t.Error("the server has not got the whole request")
	}
	assert.NilError(t, response.Body.Close())
}
