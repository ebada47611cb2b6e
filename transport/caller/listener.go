package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
	"github.com/hibiscuslever/hibiscuslever/transport/clientconn"
)

// Listener accepts callers' connections up to a number, and makes the heads of their requests part of a memory.
type Listener struct {
	net.Listener
	memory   *bodymemory.Memory
	maxConns int64
	clock    timer.Clock

	openConns atomic.Int64
	// connClosed receives a value when a connection has been closed.
	connClosed chan struct{}
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once
}

// NewListener returns a listener for a server that TrackRequests has been called with. maxConns is 0 for no limit.
func NewListener(listener net.Listener, maxConns int64, memory *bodymemory.Memory, clock timer.Clock) *Listener {
	return &Listener{Listener: listener, maxConns: maxConns, memory: memory, clock: clock, connClosed: make(chan struct{}, 1), closed: make(chan struct{})}
}

// Accept waits for the next connection. While as many are open as are allowed, it closes those of callers that have stalled
// between or in requests, a few at a time. It must not be called concurrently.
func (ls *Listener) Accept() (net.Conn, error) {
	for ls.maxConns > 0 && ls.openConns.Load() >= ls.maxConns {
		if !ls.memory.AwaitConnection(ls.clock, ls.connClosed, ls.closed) {
			return nil, net.ErrClosed
		}
	}
	conn, err := ls.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcpConn, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return conn, nil
	}
	ls.openConns.Add(1)
	// The server notices that the connection is closed when it reads.
	return &callerConn{TCPConn: tcpConn, listener: ls, state: clientconn.NewState(tcpConn), head: ls.memory.NewHead(func() { _ = tcpConn.Close() })}, nil
}

// Close stops the listener.
func (ls *Listener) Close() error {
	ls.closeOnce.Do(func() { close(ls.closed) })
	return ls.Listener.Close()
}

// connKey is the key of a callerConn in the context of a request.
type connKey struct{}

// TrackRequests makes a server report to the connections of a Listener when their requests begin and end. Requests on a
// connection that was closed for having stalled don't reach the server's handler, which must have been set.
func TrackRequests(server *http.Server) {
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if tracked, ok := request.Context().Value(connKey{}).(*callerConn); ok && tracked.head.Interrupted() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(writer, request)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if tracked, ok := conn.(*callerConn); ok {
			ctx = clientconn.WithState(bodymemory.WithHead(ctx, tracked.head), tracked.state)
			return context.WithValue(ctx, connKey{}, tracked)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if tracked, ok := conn.(*callerConn); ok {
			tracked.stateChanged(state)
		}
	}
}

// callerConn is a connection of a Listener.
type callerConn struct {
	*net.TCPConn
	listener *Listener
	// head is the memory of the heads of requests; nil for no limit.
	head *bodymemory.Head
	// state is that of the request on the connection.
	state *clientconn.State
	// serving says that a request is in progress.
	serving   atomic.Bool
	closeOnce sync.Once
}

// stateChanged records that a request has begun or ended.
func (cc *callerConn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		cc.serving.Store(true)
		cc.head.RequestBegan()
		cc.state.RequestBegan()
	case http.StateIdle:
		cc.head.RequestEnded()
		cc.serving.Store(false)
		cc.head.Await()
	}
}

// Read reads from the connection. It fails if there is no memory for the head of a request.
func (cc *callerConn) Read(buffer []byte) (int, error) {
	count, err := cc.TCPConn.Read(buffer)
	cc.state.RecordRead(err)
	if count > 0 && !cc.serving.Load() && !cc.head.Received(buffer[:count]) {
		// The connection is closed before net/http can send a response on it.
		_ = cc.TCPConn.Close()
		return 0, bodymemory.ErrNoHeadMemory
	}
	return count, err
}

// SetReadDeadline sets the deadline of reads.
func (cc *callerConn) SetReadDeadline(deadline time.Time) error {
	return cc.state.SetReadDeadline(deadline)
}

// Write writes to the connection.
func (cc *callerConn) Write(content []byte) (int, error) {
	count, err := cc.TCPConn.Write(content)
	cc.state.RecordWrite(err)
	return count, err
}

// Close closes the connection.
func (cc *callerConn) Close() error {
	err := cc.TCPConn.Close()
	cc.closeOnce.Do(func() {
		cc.head.Closed()
		cc.listener.openConns.Add(-1)
		select {
		case cc.listener.connClosed <- struct{}{}:
		default:
		}
	})
	return err
}
