package peer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
	"github.com/hibiscuslever/hibiscuslever/transport/clientconn"
)

// RelayServer makes calls to backend servers on behalf of other hosts.
type RelayServer interface {
	// Handle makes a call that arrived at receivedAt. Its errors are a *peerrelay.Failure.
	Handle(ctx context.Context, call peerrelay.Call, receivedAt time.Time) (peerrelay.Answer, error)
}

// relayHandler takes relayed calls over HTTP.
type relayHandler struct {
	server RelayServer
	clock  timer.Clock
	// bodyMemory limits the memory for the bodies of calls; nil for no limit.
	bodyMemory *bodymemory.Memory
}

// ServeHTTP makes one call. If the entry host closes its connection, the context of the call ends.
func (rh *relayHandler) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	receivedAt := rh.clock.Now()
	// net/http decides by the body of its own request whether the connection can be kept.
	httpRequest = httpRequest.WithContext(httpRequest.Context())
	defer rh.bodyMemory.LimitInterruptible(httpRequest, clientconn.Interruption(httpRequest.Context()))()
	call, err := decodeRelayCall(httpRequest.Body)
	switch {
	case errors.Is(err, bodymemory.ErrExhausted):
		// The entry host would receive a reset instead of the failure if the connection were closed while it still sends.
		_, _ = io.CopyN(io.Discard, httpRequest.Body, maxRelayHeadBytes+maxRelayBodyBytes)
		_ = writeJSONFrame(writer, failureFrame, relayFailure{Reason: peerrelay.Busy, NotSent: true, Detail: octets(err.Error())})
		return
	case errors.Is(err, bodymemory.ErrStalled):
		_ = writeJSONFrame(writer, failureFrame, relayFailure{Reason: peerrelay.Busy, NotSent: true, Detail: octets(err.Error())})
		return
	case err != nil:
		_ = writeJSONFrame(writer, failureFrame, relayFailure{Reason: peerrelay.Malformed, NotSent: true, Detail: octets(err.Error())})
		return
	}
	answer, err := rh.server.Handle(httpRequest.Context(), call, receivedAt)
	if err != nil {
		_ = writeJSONFrame(writer, failureFrame, encodeFailure(err))
		return
	}
	if answer.Response.Body != nil {
		defer func() { _ = answer.Response.Body.Close() }()
	}
	if err := copyAnswer(writer, answer); err != nil {
		// The entry host has left, or the connection to it broke.
		panic(http.ErrAbortHandler)
	}
}

// encodeFailure returns the wire form of a failure.
func encodeFailure(err error) relayFailure {
	var failure *peerrelay.Failure
	if !errors.As(err, &failure) {
		return relayFailure{Reason: peerrelay.ExchangeFailed, Detail: octets(err.Error())}
	}
	return relayFailure{
		Reason: failure.Reason, NotSent: failure.NotSent, ConnectionRefused: failure.ConnectionRefused, Stale: failure.Stale, ReachesOther: failure.ReachesOther, Detail: octets(failure.Detail),
	}
}

// copyAnswer writes the result of a call and the body of its response. Each part of the body is passed on as soon as it
// arrives. A body that breaks off ends with a failure instead of its end. The error is that of writing.
func copyAnswer(writer http.ResponseWriter, answer peerrelay.Answer) error {
	controller := http.NewResponseController(writer)
	if err := writeJSONFrame(writer, headFrame, encodeRelayHead(answer)); err != nil {
		return err
	}
	if answer.Response.Body == nil {
		return writeFrame(writer, endFrame, nil)
	}
	const chunkBytes = 32 << 10
	chunk := make([]byte, chunkBytes)
	flushNeeded := true
	for {
		if flushNeeded {
			if err := controller.Flush(); err != nil {
				return err
			}
		}
		count, readErr := answer.Response.Body.Read(chunk)
		flushNeeded = count > 0
		if count > 0 {
			if err := writeFrame(writer, dataFrame, chunk[:count]); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			return writeFrame(writer, endFrame, nil)
		case readErr != nil:
			return writeJSONFrame(writer, failureFrame, relayFailure{Reason: peerrelay.ExchangeFailed, Detail: octets(readErr.Error())})
		}
	}
}
