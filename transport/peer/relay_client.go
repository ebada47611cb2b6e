package peer

import (
	"bufio"
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

// relayPath is the path at which hosts take relayed calls.
const relayPath = "/relay/calls"

// RelayClient passes calls to backend servers on to peers. It implements peerrelay.Transport and is safe for concurrent
// use. It never sends a call twice.
type RelayClient struct {
	pool *backend.Pool
	// connectionRefused is called when a peer refuses a connection.
	connectionRefused func(ctx context.Context, peer membership.Member)
}

// NewRelayClient returns a client that uses the connections of a pool and calls connectionRefused when a peer refuses a
// connection.
func NewRelayClient(pool *backend.Pool, connectionRefused func(ctx context.Context, peer membership.Member)) *RelayClient {
	return &RelayClient{pool: pool, connectionRefused: connectionRefused}
}

// Relay has a peer make a call. Its errors are or wrap a *peerrelay.Failure. What the peer does not explicitly report as
// not sent may have been sent, unless not even the call could be sent to the peer.
func (rc *RelayClient) Relay(ctx context.Context, peer membership.Member, call peerrelay.Call) (peerrelay.Answer, error) {
	body, err := encodeRelayCall(call)
	if err != nil {
		return peerrelay.Answer{}, &peerrelay.Failure{Reason: peerrelay.Malformed, NotSent: true, Detail: err.Error()}
	}
	response, err := rc.pool.Do(ctx, backend.Request{
		Address: peer.PeerAddress,
		Method:  http.MethodPost,
		Target:  relayPath,
		Host:    peer.PeerAddress,
		Header:  http.Header{"Content-Type": {"application/octet-stream"}},
		Body:    body,
	})
	if err != nil {
		notSent := errors.Is(err, backend.ErrNotSent)
		if notSent && ctx.Err() == nil && isConnectionRefused(err) {
			rc.connectionRefused(context.WithoutCancel(ctx), peer)
		}
		return peerrelay.Answer{}, &peerrelay.Failure{Reason: peerrelay.PeerUnreachable, NotSent: notSent, Detail: err.Error()}
	}
	if response.Status != http.StatusOK {
		_ = response.Body.Close()
		// A host that does not know the path has not made the call. Any other status is not one of the handler.
		unsupported := response.Status == http.StatusNotFound || response.Status == http.StatusMethodNotAllowed
		failure := &peerrelay.Failure{Reason: peerrelay.ExchangeFailed, NotSent: unsupported, Detail: "status " + http.StatusText(response.Status)}
		if unsupported {
			failure.Reason = peerrelay.Unsupported
		}
		return peerrelay.Answer{}, failure
	}
	relayed := newRelayedBody(response.Body)
	answer, err := relayed.readHead(call.Kind)
	if err != nil {
		_ = relayed.Close()
		return peerrelay.Answer{}, err
	}
	if call.Kind != peerrelay.Send {
		err := backend.DiscardBody(relayed)
		_ = relayed.Close()
		var failure *peerrelay.Failure
		switch {
		case errors.As(err, &failure):
			return peerrelay.Answer{}, err
		case err != nil:
			return peerrelay.Answer{}, brokenRelay(err)
		}
		return answer, nil
	}
	answer.Response.Body = relayed
	return answer, nil
}

// relayedBody is the body of a backend server's response that arrives in frames through a peer.
type relayedBody struct {
	input  *bufio.Reader
	closer io.Closer
	// frameLeft is the number of bytes left of the current frame.
	frameLeft int
	// err is the end of the body: io.EOF if it is complete, else the reason why it is not.
	err error
}

func newRelayedBody(body io.ReadCloser) *relayedBody {
	return &relayedBody{input: bufio.NewReader(body), closer: body}
}

// readHead reads the first frame of the response to a call.
func (rb *relayedBody) readHead(call peerrelay.Kind) (peerrelay.Answer, error) {
	kind, length, err := readFrameStart(rb.input)
	if err != nil {
		return peerrelay.Answer{}, brokenRelay(err)
	}
	switch kind {
	case headFrame:
		var head relayHead
		if err := readPayload(rb.input, length, &head); err != nil {
			return peerrelay.Answer{}, brokenRelay(err)
		}
		if err := head.check(call); err != nil {
			return peerrelay.Answer{}, brokenRelay(err)
		}
		answer := head.answer()
		if call == peerrelay.Send {
			// A host of an older build may pass on a head that this one rejects.
			if err := httpresponse.CheckHead(answer.Response.Status, answer.Response.Header); err != nil {
				return peerrelay.Answer{}, brokenRelay(err)
			}
		}
		return answer, nil
	case failureFrame:
		failure := rb.readFailure(length)
		_, _ = rb.input.ReadByte()
		return peerrelay.Answer{}, failure
	default:
		return peerrelay.Answer{}, brokenRelay(errors.New("the response does not begin with a head"))
	}
}

// brokenRelay returns the failure of a call whose response is not complete. The call may have been sent.
func brokenRelay(err error) *peerrelay.Failure {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &peerrelay.Failure{Reason: peerrelay.PeerUnreachable, Detail: "the response of the peer is not complete: " + err.Error()}
}

// readFailure reads a failure.
func (rb *relayedBody) readFailure(length int) *peerrelay.Failure {
	var message relayFailure
	if err := readPayload(rb.input, length, &message); err != nil {
		return brokenRelay(err)
	}
	return message.failure()
}

// Read reads the body. A body that does not end with the frame for its end is not complete, which is an error.
func (rb *relayedBody) Read(buffer []byte) (int, error) {
	for rb.err == nil && rb.frameLeft == 0 {
		rb.nextFrame()
	}
	if rb.err != nil {
		return 0, rb.err
	}
	count, err := rb.input.Read(buffer[:min(len(buffer), rb.frameLeft)])
	rb.frameLeft -= count
	if err != nil {
		rb.err = brokenRelay(err)
		return count, rb.err
	}
	return count, nil
}

// nextFrame reads the start of the next frame and sets err if it is not one with data.
func (rb *relayedBody) nextFrame() {
	kind, length, err := readFrameStart(rb.input)
	switch {
	case err != nil:
		rb.err = brokenRelay(err)
	case kind == dataFrame:
		rb.frameLeft = length
	case kind == endFrame:
		rb.err = io.EOF
		// Reading to the end of the peer's response makes its connection reusable.
		if _, err := rb.input.ReadByte(); !errors.Is(err, io.EOF) {
			rb.err = brokenRelay(errors.New("the response goes on after its end"))
		}
	case kind == failureFrame:
		failure := rb.readFailure(length)
		// The response has begun, so that the request was sent whatever the failure says.
		failure.NotSent = false
		rb.err = failure
	default:
		rb.err = brokenRelay(errors.New("the response has a second head"))
	}
}

// Close ends the call. If the response is not complete, it closes the connection, so that the peer ends its call too.
func (rb *relayedBody) Close() error { return rb.closer.Close() }
