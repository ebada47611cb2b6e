// Package clientconn says why the connection of a client has ended while a request was in progress on it.
package clientconn

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

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

// State says how the connection of a client has ended for the request on it. The methods of a nil State do nothing. It is safe
// for concurrent use.
type State struct {
	// mutex guards the field below.
	mutex sync.Mutex
	end   End
}

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

// RequestBegan records that a request has begun.
func (st *State) RequestBegan() {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.end = NotEnded
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

// End returns what has ended the connection for the request in progress.
func (st *State) End() End {
	if st == nil {
		return NotEnded
	}
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.end
}
