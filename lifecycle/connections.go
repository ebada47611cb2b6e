package lifecycle

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connections holds the connections of HTTP servers on which a request is being answered. A connection is among them
// from the moment at which the head of a request has been read until net/http has sent the whole response, which is
// after the handler has returned. It is safe for concurrent use.
type connections struct {
	// mutex guards active.
	mutex  sync.Mutex
	active map[net.Conn]struct{}
	// changed receives a value when a connection has left active.
	changed chan struct{}
	// The process stops when stopping is done or failed is closed. All connections are to be closed when closing is closed.
	stopping context.Context
	failed   <-chan struct{}
	closing  chan struct{}
}

func newConnections(stopping context.Context, failed <-chan struct{}) *connections {
	return &connections{active: map[net.Conn]struct{}{}, changed: make(chan struct{}, 1), stopping: stopping, failed: failed, closing: make(chan struct{})}
}

// watch follows the connections of a server that does not serve yet. The server's own hook is still called.
func (cn *connections) watch(server *http.Server) {
	hook := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		cn.record(conn, state)
		if hook == nil {
			return
		}
		if stopping, ok := conn.(*stoppingConn); ok {
			conn = stopping.Conn
		}
		hook(conn, state)
	}
}

func (cn *connections) record(conn net.Conn, state http.ConnState) {
	if state == http.StateActive {
		cn.add(conn)
		return
	}
	cn.remove(conn)
}

func (cn *connections) add(conn net.Conn) {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	cn.active[conn] = struct{}{}
}

func (cn *connections) remove(conn net.Conn) {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	delete(cn.active, conn)
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
