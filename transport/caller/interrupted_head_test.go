package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
	"github.com/hibiscuslever/hibiscuslever/transport/caller"
)

// serveWithMemory serves callers on connections with a memory. The server can be changed by change before it accepts any.
func serveWithMemory(t *testing.T, memory *bodymemory.Memory, handler http.HandlerFunc, change func(*http.Server)) (net.Conn, *http.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler}
	caller.TrackRequests(server)
	change(server)
	go func() { _ = server.Serve(caller.NewListener(listener, 0, memory, timer.NewSystem())) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return conn, server
}

// TestRequestRunsOnInterruptedConnection closes a connection for having stalled just before its request begins, most of whose
// head the server has read together with the request before it. The request must not run, as it can't be answered.
func TestRequestRunsOnInterruptedConnection(t *testing.T) {
	memory := bodymemory.New(0, 0, bodymemory.WithInterruption(timer.NewSystem(), time.Nanosecond))
	var runs atomic.Int64
	begun, interrupted := 0, make(chan struct{})
	conn, server := serveWithMemory(t, memory, func(http.ResponseWriter, *http.Request) { runs.Add(1) }, func(server *http.Server) {
		tracked := server.ConnState
		server.ConnState = func(conn net.Conn, state http.ConnState) {
			if state == http.StateActive {
				if begun++; begun == 2 {
					memory.InterruptMostStalled()
					close(interrupted)
				}
			}
			tracked(conn, state)
		}
	})
	const head = "GET / HTTP/1.1\r\nHost: h\r\n"
	_, err := fmt.Fprint(conn, head+"\r\n"+head)
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	_, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "\r\n")
	assert.NilError(t, err)
	<-interrupted
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil)
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.Equal(t, runs.Load(), int64(1), "a request runs on a connection that the host has closed")
}
