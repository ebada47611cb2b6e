// Package peerrelay sends calls to backend servers on behalf of hosts that have lost their own links to them.
//
// The relay works at the level of a single sending. The entry host of a request keeps every decision about it: grants,
// retries, quarantine, resumption and deadlines. A relay keeps no state of the request, sends it exactly once on its
// own connections, and copies the response. Since a relay has only a direct sender, it can't pass a call on to a third
// host.
package peerrelay

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Kind says which call a peer is to make.
type Kind string

// Values of Kind, one for each method of forward.Sender.
const (
	Send            Kind = "Send"
	ProbeHTTP       Kind = "ProbeHTTP"
	ProbeConnection Kind = "ProbeConnection"
	Reserve         Kind = "Reserve"
	Release         Kind = "Release"
)

// Call is one call to a backend server that a peer makes on behalf of the entry host.
type Call struct {
	Kind Kind
	// From is the entry host.
	From id.Host
	// Address is the address of the backend server.
	Address string
	// Timeout is the time that the entry host waits for the call.
	Timeout time.Duration
	// Attempt is the attempt to send, for the kind Send.
	Attempt forward.Attempt
	// Engine, Ticket, Tokens and TTL belong to the kinds Reserve and Release. Engine is empty if the entry host does not name it.
	Engine id.Engine
	Ticket string
	Tokens id.Tokens
	TTL    time.Duration
}

// part returns the part of a grant whose memory the call reserves or releases.
func (cl Call) part() batch.Part {
	return batch.Part{Engine: cl.Engine, Address: cl.Address, Ticket: cl.Ticket, MemoryTokens: cl.Tokens}
}

// after returns the call as it is to be made when a time has passed since it was described.
func (cl Call) after(passed time.Duration) Call {
	if cl.Timeout > 0 {
		// A timeout of zero would mean that there is none.
		cl.Timeout = max(time.Millisecond, cl.Timeout-passed)
	}
	cl.Attempt.Remaining -= passed
	return cl
}

// Answer is the result of a call that a peer made.
type Answer struct {
	// Response is the response of the backend server, for the kind Send. The caller must close its body.
	Response forward.Response
	// Probe is the result of a probe. ReachesOther says that the peer reaches some other backend server.
	Probe        forward.ProbeResult
	ReachesOther bool
	// Granted is the result of the kind Reserve.
	Granted bool
}

// Transport passes calls to peers.
type Transport interface {
	// Relay has a peer make a call. Its errors are or wrap a *Failure.
	Relay(ctx context.Context, peer membership.Member, call Call) (Answer, error)
}

// Reason says why a peer could not complete a call.
type Reason string

// Values of Reason.
const (
	// PeerUnreachable means that the peer could not be reached, or its connection broke.
	PeerUnreachable Reason = "peer_unreachable"
	// Unsupported means that the peer does not know the call.
	Unsupported Reason = "unsupported"
	// Busy means that the peer runs as many calls as it may, or has no memory for the body of the call.
	Busy Reason = "busy"
	// PeerLeaving means that the peer accepts no new calls because it is leaving.
	PeerLeaving Reason = "peer_leaving"
	// PeerCutOff means that the peer is cut off from all servers, NoDirectWay that it does not reach this one directly.
	PeerCutOff  Reason = "peer_cut_off"
	NoDirectWay Reason = "no_direct_way"
	// ServerLeaving means that the peer knows that the server is leaving.
	ServerLeaving Reason = "server_leaving"
	// ServerEvacuated means that the peer knows that the server, or an engine that is to help it, is evacuated.
	ServerEvacuated Reason = "server_evacuated"
	// ServerUnreachable means that the peer could not connect to the server.
	ServerUnreachable Reason = "server_unreachable"
	// ExchangeFailed means that the peer's exchange with the server failed after something was sent.
	ExchangeFailed Reason = "exchange_failed"
	// Malformed means that the peer could not read the call.
	Malformed Reason = "malformed"
)

// Failure is the error of a call through a peer.
type Failure struct {
	Reason Reason
	// NotSent says that no part of the call reached the backend server.
	NotSent bool
	// ConnectionRefused says that the backend server refused the peer's connection.
	ConnectionRefused bool
	// Stale says that the peer sent the request on a reused connection that ended without a response.
	Stale bool
	// ReachesOther says that the peer reaches some other backend server.
	ReachesOther bool
	// Detail describes the failure for logs.
	Detail string
}

// Error returns the reason and the detail.
func (fl *Failure) Error() string {
	return "through a peer: " + string(fl.Reason) + ": " + fl.Detail
}

// Unwrap returns the errors of package forward that apply.
func (fl *Failure) Unwrap() []error {
	var wrapped []error
	if fl.NotSent {
		wrapped = append(wrapped, forward.ErrNotSent)
	}
	if fl.NotSent && fl.Reason != ServerLeaving && !(fl.Reason == ServerUnreachable && fl.ReachesOther) {
		wrapped = append(wrapped, forward.ErrUndetermined)
	}
	if fl.ConnectionRefused {
		wrapped = append(wrapped, forward.ErrConnectionRefused)
	}
	if fl.Stale {
		wrapped = append(wrapped, forward.ErrStaleConnection)
	}
	return wrapped
}

// asFailure returns the Failure that an error is or wraps. Any other error says nothing about what was sent.
func asFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Reason: ExchangeFailed, NotSent: errors.Is(err, forward.ErrNotSent), Detail: err.Error()}
}

// errNoPeer is the detail of the failure of a call for which there was no peer.
const errNoPeer = "no peer can take the call"
