package clientconn

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Listener is a listener whose TCP connections have a State. Those of servers for clients have listeners of their own.
type Listener struct{ net.Listener }

// Accept waits for the next connection.
func (ls Listener) Accept() (net.Conn, error) {
	conn, err := ls.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcpConn, isTCP := conn.(*net.TCPConn); isTCP {
		return &trackedConn{TCPConn: tcpConn, state: NewState(tcpConn)}, nil
	}
	return conn, nil
}

// TrackRequests makes a server report to the connections of a Listener when their requests begin.
func TrackRequests(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if tracked, ok := conn.(*trackedConn); ok {
			return WithState(ctx, tracked.state)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if tracked, ok := conn.(*trackedConn); ok && state == http.StateActive {
			tracked.state.RequestBegan()
		}
	}
}

// trackedConn is a connection of a Listener.
type trackedConn struct {
	*net.TCPConn
	state *State
}

// SetReadDeadline sets the deadline of reads.
func (tc *trackedConn) SetReadDeadline(deadline time.Time) error {
	return tc.state.SetReadDeadline(deadline)
}

// Read reads from the connection.
func (tc *trackedConn) Read(buffer []byte) (int, error) {
	count, err := tc.TCPConn.Read(buffer)
	tc.state.RecordRead(err)
	return count, err
}

// Write writes to the connection.
func (tc *trackedConn) Write(content []byte) (int, error) {
	count, err := tc.TCPConn.Write(content)
	tc.state.RecordWrite(err)
	return count, err
}
