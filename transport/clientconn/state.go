// Package clientconn follows the request on a client's connection: why the connection has ended meanwhile, and whether reading
// the body may be interrupted.
package clientconn

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// End is what ended a connection for the request on it. net/http ends the context of a request after any error of its
// connection, also if the client is still there.
type End string

// Values of End.
const (
	// NotEnded means that no error has occurred on the connection.
	NotEnded End = ""
	// ClientClosed and ClientReset mean that the client has left.
	ClientClosed End = "client_closed"
	ClientReset  End = "client_reset"
	// ReadDeadline means that the host has ended its reading, WriteDeadline that the client has not taken the response in its
	// time.
	ReadDeadline  End = "read_deadline"
	WriteDeadline End = "write_deadline"
	// ClosedByHost means that the host has closed the connection.
	ClosedByHost End = "closed_by_host"
	// Failed means any other error.
	Failed End = "failed"
)

// IsClients reports whether the client itself has left.
func (en End) IsClients() bool { return en == ClientClosed || en == ClientReset }

// State is the state of a client's connection and of the request on it. It is safe for concurrent use.
type State struct {
	conn ReadDeadlineSetter

	// mutex guards the fields below, and orders changes of the read deadline.
	mutex sync.Mutex
	end   End
	// readsBody says that a request is in progress whose body net/http has not read to its end.
	readsBody bool
}

// ReadDeadlineSetter is a connection.
type ReadDeadlineSetter interface {
	SetReadDeadline(deadline time.Time) error
}

// NewState returns the state of a connection on which no request has begun.
func NewState(conn ReadDeadlineSetter) *State { return &State{conn: conn} }

// stateKey is the key of a State in the context of a request.
type stateKey struct{}

// WithState returns a context whose requests are on the connection of a state.
func WithState(ctx context.Context, state *State) context.Context {
	return context.WithValue(ctx, stateKey{}, state)
}

// StateOf returns the state of the connection of a request's context; nil if it is unknown.
func StateOf(ctx context.Context) *State {
	state, _ := ctx.Value(stateKey{}).(*State)
	return state
}

// Interruption returns a function that makes reads of the body of a request fail, given its context; nil if the state of the
// connection is unknown.
func Interruption(ctx context.Context) func() {
	if state := StateOf(ctx); state != nil {
		return state.InterruptBody
	}
	return nil
}

// RequestBegan records that a request has begun. net/http calls the hook of ConnState for it before it reads the body.
func (st *State) RequestBegan() {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.end, st.readsBody = NotEnded, true
}

// SetReadDeadline sets the read deadline of the connection. net/http removes it at the end of a body, before it begins to
// watch whether the client leaves.
func (st *State) SetReadDeadline(deadline time.Time) error {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if deadline.IsZero() {
		st.readsBody = false
	}
	return st.conn.SetReadDeadline(deadline)
}

// InterruptBody makes reads fail, unless the body has ended: a read that watches whether the client leaves must not fail, because
// net/http would end the request.
func (st *State) InterruptBody() {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if st.readsBody {
		// The error is that of a closed connection.
		_ = st.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// RecordRead records the error of a read from the connection, which may be nil.
func (st *State) RecordRead(err error) { st.record(err, ReadDeadline) }

// RecordWrite records the error of a write to the connection, which may be nil.
func (st *State) RecordWrite(err error) { st.record(err, WriteDeadline) }

// record keeps the first error since the request began. The end is that of an error about the deadline.
func (st *State) record(err error, ofDeadline End) {
	if err == nil {
		return
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if st.end != NotEnded {
		return
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		st.end = ofDeadline
	case errors.Is(err, io.EOF):
		st.end = ClientClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		st.end = ClientReset
	case errors.Is(err, net.ErrClosed):
		st.end = ClosedByHost
	default:
		st.end = Failed
	}
}

// End returns what has ended the connection for the request in progress. It is NotEnded if the state is nil.
func (st *State) End() End {
	if st == nil {
		return NotEnded
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.end
}
