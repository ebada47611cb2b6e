// Package requestbody lets handlers refuse requests whose bodies they have not read.
package requestbody

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// DiscardTime bounds how long a request that is refused early usually occupies its handler.
const DiscardTime = 5 * time.Second

// StalledDiscardTime bounds how long a request whose client has stopped sending its body occupies its handler after the
// refusal.
const StalledDiscardTime = 200 * time.Millisecond

const (
	// maxDiscardedBytes bounds what is read of the body of one refused request. It exceeds the longest body that is
	// usually allowed, so that clients with an older limit receive their refusals too.
	maxDiscardedBytes = 32 << 20
	// maxRefusalDelay is how long a refusal waits for the end of the body, after which the connection can be kept.
	maxRefusalDelay = 100 * time.Millisecond
	// writeTime limits the writing of a refusal. It does not depend on how long the body may take, so that a host that was
	// paused meanwhile still writes it.
	writeTime = DiscardTime
)

// Discarded describes what was read of the body of a refused request.
type Discarded struct {
	Bytes int64
	// Err says why the body was not read to its end; nil if it was.
	Err error
}

// errTooManyBytes says that a body is longer than maxDiscardedBytes.
var errTooManyBytes = errors.New("the body is too long to be discarded")

// Refuse calls write, which writes a refusal with a length, and reads and discards the rest of the request's body,
// because a client may send all of it before it reads the response: if the connection were closed while the body still
// arrives, the client would receive a reset instead of the refusal. The refusal waits for at most maxRefusalDelay and
// then announces that the connection is closed. Refuse returns when the body has ended, maxDiscardedBytes were read or
// discardTime has passed.
func Refuse(writer http.ResponseWriter, request *http.Request, clock timer.Clock, discardTime time.Duration, write func()) Discarded {
	// The errors of the controller are those of writers without connections, whose requests can't be slow.
	controller := http.NewResponseController(writer)
	writeRefusal := func() {
		CloseAfterEnd(writer, request)
		// net/http removes the deadline after the request.
		_ = controller.SetWriteDeadline(clock.Now().Add(writeTime))
		write()
	}
	if request.Body == nil || request.Body == http.NoBody {
		writeRefusal()
		return Discarded{}
	}
	_ = controller.EnableFullDuplex()
	_ = controller.SetReadDeadline(clock.Now().Add(discardTime))
	if request.Header.Get("Expect") != "" {
		// Reading would ask the client for the body, so the refusal is sent first. net/http closes the connection unless
		// the body has been read.
		writeRefusal()
		_ = controller.Flush()
		discarded := discard(request.Body)
		clearReadDeadline(controller, discarded)
		return discarded
	}
	ended := make(chan Discarded, 1)
	tasks.Go(func() { ended <- discard(request.Body) })
	delayPassed, delay := timer.Wait(clock, maxRefusalDelay)
	defer delay.Stop()
	select {
	case discarded := <-ended:
		if discarded.Err != nil {
			writer.Header().Set("Connection", "close")
		}
		clearReadDeadline(controller, discarded)
		writeRefusal()
		return discarded
	case <-delayPassed:
		writer.Header().Set("Connection", "close")
		writeRefusal()
		_ = controller.Flush()
		return <-ended
	}
}

// CloseAfterEnd makes a response that has not begun announce that the connection is closed if the context of its request has
// ended. net/http ends the context of the whole connection after an error of reading, also if the client is still there, so that
// further requests on it would end at once.
func CloseAfterEnd(writer http.ResponseWriter, request *http.Request) {
	if request.Context().Err() != nil {
		writer.Header().Set("Connection", "close")
	}
}

// clearReadDeadline removes the read deadline if the body was read to its end. Otherwise the deadline stays, because
// net/http reads on before it closes the connection.
func clearReadDeadline(controller *http.ResponseController, discarded Discarded) {
	if discarded.Err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
}

// discard reads a body to its end, at most maxDiscardedBytes of it.
func discard(body io.Reader) Discarded {
	count, err := io.CopyN(io.Discard, body, maxDiscardedBytes)
	switch {
	case err == nil:
		err = errTooManyBytes
	case errors.Is(err, io.EOF):
		err = nil
	}
	return Discarded{Bytes: count, Err: err}
}
