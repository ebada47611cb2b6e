// Package servicecall runs requests to plain services, which are those that serve no models. A request that is not
// idempotent is sent to another server only if no earlier server can have run it. A request with an idempotency key
// runs only if its claim of the key wins in the platform's log.
//
// It reads whole responses. Package coordination/forward also sends requests to plain services; it forwards responses
// as they arrive, streams included, and has no idempotency keys.
package servicecall

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Request is an HTTP request to a backend server.
type Request struct {
	Method string
	// Path is the path and query relative to the root of the service.
	Path   string
	Header http.Header
	Body   []byte
	// AtMostOnce forbids the sender to transmit the request again by itself, for example on a new connection.
	AtMostOnce bool
}

// Response is the HTTP response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// SendResult says whether a server received and ran a request that was sent to it.
type SendResult int

// Results of sending a request.
const (
	// Answered means that the server returned a complete response.
	Answered SendResult = iota + 1
	// NotSent means that no part of the request reached the server, so it did not run.
	NotSent
	// ServerRefused means that the server stated that it is draining and did not run the request.
	ServerRefused
	// MayHaveRun means that the request may have reached the server and run, but no complete response arrived.
	MayHaveRun
)

// Call is a client's request to a plain service.
type Call struct {
	Request
	ID           id.Request
	Organisation id.Organisation
	Service      id.Service
	Deadline     time.Time
	// Idempotent reports whether the request may run more than once. It has no effect on a call with an idempotency
	// key.
	Idempotent bool
	// IdempotencyKey is the key that the client sent; it is empty if the client sent none.
	IdempotencyKey string
}

// claimKey returns the key to claim for the call. Its parts are separated by NUL bytes, so that the keys of different
// organisations and services are distinct.
func (call Call) claimKey() claim.Key {
	return claim.Key(string(call.Organisation) + "\x00" + string(call.Service) + "\x00" + call.IdempotencyKey)
}

// ServerList lists the backend servers and collects observations of their health.
type ServerList interface {
	// Servers returns the servers of a service that accept new requests.
	Servers(service id.Service) []fleet.BackendServer
	// RecordObservation records what a request revealed about the health of a backend server.
	RecordObservation(name string, observation fleet.Observation)
}

// Sender sends requests to backend servers.
type Sender interface {
	// Send sends a request to the server at an address. The response is valid only if the result is Answered.
	Send(ctx context.Context, address string, request Request) (Response, SendResult)
}

// ClaimLog appends entries about idempotency keys to the platform's log.
type ClaimLog interface {
	// Append appends an entry of any kind and returns the decision that follows from the order of the entries in the
	// log.
	Append(ctx context.Context, entry claim.Entry) claim.Answer
}
