package bodymemory

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Interruption ends reads of the body of a request that wait for the client.
type Interruption struct {
	controller  *http.ResponseController
	interrupted atomic.Bool
}

// NewInterruption returns the interruption of the request that is answered by a writer.
func NewInterruption(writer http.ResponseWriter) *Interruption {
	return &Interruption{controller: http.NewResponseController(writer)}
}

// Interrupt makes reads fail.
func (in *Interruption) Interrupt() {
	in.interrupted.Store(true)
	in.setReadDeadline(time.Unix(1, 0))
}

// Undo lets the server read from the connection again, if Interrupt was called just when the body ended.
func (in *Interruption) Undo() {
	if in.interrupted.Load() {
		in.setReadDeadline(time.Time{})
	}
}

// setReadDeadline changes the read deadline. Its error is that of a writer without a connection, whose client can't stall.
func (in *Interruption) setReadDeadline(deadline time.Time) {
	_ = in.controller.SetReadDeadline(deadline)
}
