package lifecycle

import (
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
}

func newConnections() *connections {
	return &connections{active: map[net.Conn]struct{}{}, changed: make(chan struct{}, 1)}
}

// watch follows the connections of a server that does not serve yet. The server's own hook is still called.
func (cn *connections) watch(server *http.Server) {
	hook := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		cn.record(conn, state)
		if hook != nil {
			hook(conn, state)
		}
	}
}

func (cn *connections) record(conn net.Conn, state http.ConnState) {
	cn.mutex.Lock()
	defer cn.mutex.Unlock()
	if state == http.StateActive {
		cn.active[conn] = struct{}{}
		return
	}
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
