package lifecycle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// newConnectionTime is how long a new connection may be without a request before a stop no longer waits for one.
const newConnectionTime = 200 * time.Millisecond

// connections holds the connections of HTTP servers on which a request is being answered. A connection is among them
// from the moment at which the head of a request has been read until net/http has sent the whole response, which is
// after the handler has returned. It is safe for concurrent use.
type connections struct {
	clock timer.Clock
	// mutex guards active, acceptedAt and accepting.
	mutex  sync.Mutex
	active map[net.Conn]struct{}
	// acceptedAt holds the connections whose first request has not begun.
	acceptedAt map[net.Conn]time.Time
	// accepting is the number of servers that may still accept connections. net/http reports a connection as new after it
	// was accepted, and before it accepts the next one.
	accepting int
	// changed receives a value when a connection has left active or acceptedAt, or a server no longer accepts any.
	changed chan struct{}
	// The process stops when stopping is done or failed is closed. All connections are to be closed when closing is closed.
	stopping context.Context
	failed   <-chan struct{}
	closing  chan struct{}
	// listenersClosed says that the listeners were closed to stop.
	listenersClosed atomic.Bool
}

func newConnections(stopping context.Context, clock timer.Clock, failed <-chan struct{}) *connections {
	return &connections{clock: clock, active: map[net.Conn]struct{}{}, acceptedAt: map[net.Conn]time.Time{}, changed: make(chan struct{}, 1), stopping: stopping, failed: failed, closing: make(chan struct{})}
}

// watch follows the connections of a server that does not serve yet. The server's own hooks are still called.
func (cn *connections) watch(server *http.Server) {
	cn.accepting++
	if contextHook := server.ConnContext; contextHook != nil {
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context { return contextHook(ctx, withoutStop(conn)) }
	}
	hook := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		cn.record(conn, state)
		if hook == nil {
			return
		}
		hook(withoutStop(conn), state)
	}
}

// withoutStop returns the connection of the server's own listener.
func withoutStop(conn net.Conn) net.Conn {
	if stopping, ok := conn.(*stoppingConn); ok {
		return stopping.Conn
	}
	return conn
}

func (cn *connections) record(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		cn.mutex.Lock()
		defer cn.mutex.Unlock()
		cn.acceptedAt[conn] = cn.clock.Now()
	case http.StateActive:
		cn.add(conn)
	default:
		cn.remove(conn)
	}
}

func (cn *connections) add(conn net.Conn) {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	delete(cn.acceptedAt, conn)
	cn.active[conn] = struct{}{}
}

func (cn *connections) remove(conn net.Conn) {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	delete(cn.active, conn)
	delete(cn.acceptedAt, conn)
	cn.notify()
}

// acceptEnded records that a server accepts no further connection.
func (cn *connections) acceptEnded() {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	cn.accepting--
	cn.notify()
}

func (cn *connections) notify() {
	select {
	case cn.changed <- struct{}{}:
	default:
	}
}

// activeCount returns the number of connections on which a request is being answered.
func (cn *connections) activeCount() int {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	return len(cn.active)
}

// awaitsRequest reports whether a connection is so new that its first request may be about to arrive, or may still be
// accepted.
func (cn *connections) awaitsRequest() bool {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	if cn.accepting > 0 {
		return true
	}
	now := cn.clock.Now()
	for _, acceptedAt := range cn.acceptedAt {
		if now.Sub(acceptedAt) < newConnectionTime {
			return true
		}
	}
	return false
}

// resetUnfinished makes Close reset the connections on which a response is still being written. An ordinary end would make
// a response that ends with its connection look complete.
func (cn *connections) resetUnfinished() {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	for conn := range cn.active {
		if stopping, ok := conn.(*stoppingConn); ok && !stopping.ending.Load() {
			// The error is that of a closed connection.
			_ = stopping.SetLinger(0)
		}
	}
}

func (cn *connections) isActive(conn net.Conn) bool {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	_, active := cn.active[conn]
	return active
}

// waitsForClients reports whether the process is stopping and connections may still wait for their clients.
func (cn *connections) waitsForClients() bool {
	select {
	case <-cn.closing:
		return false
	default:
	}
	select {
	case <-cn.failed:
		return true
	default:
		return cn.stopping.Err() != nil
	}
}
