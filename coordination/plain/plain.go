// Package plain runs requests to plain services. A request that may not be repeated is sent at most once.
package plain

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Request is what is sent to a backend server.
type Request struct {
	Method string
	// Path is the path and query below the service.
	Path   string
	Header http.Header
	Body   []byte
	// AtMostOnce forbids that the request is sent twice.
	AtMostOnce bool
}

// Response is a backend server's answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// SendResult says what became of a request that was sent.
type SendResult int

// Results of requests.
const (
	// Answered means that the server answered.
	Answered SendResult = iota + 1
	// NotSent means that nothing reached the server.
	NotSent
	// ServerRefused means that the server answered that it did not run the request.
	ServerRefused
	// MayHaveRun means that the request may have reached the server.
	MayHaveRun
)

// Call is one request of a caller to a plain service.
type Call struct {
	Request
	ID           id.Request
	Organisation id.Organisation
	Service      id.Service
	Deadline     time.Time
	// Idempotent says that the request may be repeated.
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key, if it gave one.
	IdempotencyKey string
}

// claimKey returns the key under which the call is claimed.
func (cl Call) claimKey() claim.Key {
	return claim.Key(string(cl.Organisation) + "\x00" + string(cl.Service) + "\x00" + cl.IdempotencyKey)
}

// Servers knows the backend servers.
type Servers interface {
	// Servers returns the servers of a service that take new work.
	Servers(service id.Service) []fleet.BackendServer
	// RecordEvidence records evidence about a back end.
	RecordEvidence(name string, ev fleet.Evidence)
}

// Sender sends requests to backend servers.
type Sender interface {
	// Send sends a request to the server at an address.
	Send(ctx context.Context, address string, rq Request) (Response, SendResult)
}

// Claims appends entries about idempotency keys to the log.
type Claims interface {
	// Claim appends an entry and answers from the log.
	Claim(ctx context.Context, en claim.Entry) claim.Answer
}
