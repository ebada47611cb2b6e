// Package forward carries requests of clients to backend servers and their answers back: it decides when an attempt
// is made again, goes on with broken streams at other engines, and keeps the bounds of time.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// Request is one request of a client.
type Request struct {
	// ID is the client's id of the attempt.
	ID     string
	Method string
	// Target is the request line's target as the client sent it.
	Target string
	Host   string
	// Header holds the fields that are passed on.
	Header       http.Header
	Body         []byte
	Route        route.Route
	Service      id.Service
	Organisation id.Organisation
	// Priority is the organisation's or the route's priority; 0 is the highest.
	Priority    int
	ArrivedAt time.Time
	// Deadline is when the client stops waiting.
	Deadline time.Time
	PromptTokens   id.Tokens
	MaxAnswerTokens   id.Tokens
	// LastEventID is the id of the last event that the client has from an earlier answer.
	LastEventID string
}

// Attempt is one sending of a request to a backend server.
type Attempt struct {
	*Request
	Server id.BackendServer
	// Address is the server's address; another server there is not to run the request.
	Address string
	// Remaining is the time that the server has.
	Remaining time.Duration
	// ResumeAfter is the id of the last event that was passed on.
	ResumeAfter string
	// Helpers read the prompt together with the server.
	Helpers []batch.Part
	// NewConnection has the attempt sent on a connection of its own.
	NewConnection bool
	// Urgency orders requests inside an engine; negative for none.
	Urgency int
}

// Response is the head of a backend server's answer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if it is not known.
	Length int64
	Body   io.ReadCloser
	// NotRun says that the server did not run the request and won't.
	NotRun bool
	// Misdirected says that another server has the address.
	Misdirected bool
	// Leaving says that the server is about to leave.
	Leaving bool
	// RetryAfter is how long a server that turned the request away wants to be left alone; zero if it does not say.
	RetryAfter time.Duration
	// FailedAddress is the address of the server that is at fault, if the answer names one.
	FailedAddress string
	// Load is nil if the server does not say.
	Load *balance.Load
}

// ErrNotSent is wrapped by errors of attempts of which nothing reached the server.
var ErrNotSent = errors.New("nothing was sent")

// ErrStaleConnection is wrapped by errors of attempts on a reused connection that ended without bringing any of the answer.
var ErrStaleConnection = errors.New("the reused connection brought no answer")

// ErrClientGone is wrapped by errors of sinks whose client has gone.
var ErrClientGone = errors.New("the client has gone")

// Servers sends attempts to backend servers.
type Servers interface {
	// Send sends an attempt and returns the head of the answer.
	Send(ctx context.Context, at Attempt) (Response, error)
	// Alive asks the engine at an address whether it answers.
	Alive(ctx context.Context, address string) bool
	// Probe opens a connection to the server at an address.
	Probe(ctx context.Context, address string) Health
	// Reserve sets memory aside on an engine, or renews that, and reports whether it was granted.
	Reserve(ctx context.Context, address, ticket string, tokens id.Tokens, hold time.Duration) (bool, error)
	// Release gives memory back.
	Release(ctx context.Context, address, ticket string) error
}

// Dispatcher gives places on engines.
type Dispatcher interface {
	// Acquire waits for a place.
	Acquire(ctx context.Context, ask broker.GrantRequest) (batch.Grant, outcome.Outcome)
	// ReportStarted notes the first event of an attempt.
	ReportStarted(att id.Attempt)
	// ReportEnded reports the end of an attempt.
	ReportEnded(en broker.EndedGrant)
}

// Fleet knows the backend servers.
type Fleet interface {
	// Servers returns the servers of a service that are listed.
	Servers(service id.Service) []roster.Server
	// ListedAsLeaving reports whether a server is known to drain or to be gone. One that is not known is not.
	ListedAsLeaving(server id.BackendServer) bool
	// AnnouncedLeaving reports whether a server said itself that it is leaving, or that another has its address.
	AnnouncedLeaving(server id.BackendServer) bool
	// ListAge returns the time since the list was last known to be up to date.
	ListAge() time.Duration
	// RecordLeaving records a server's own word that it is leaving, or that another has its address, and reports whether it is new.
	RecordLeaving(server id.BackendServer) bool
}

// Sink takes the answer for the client.
type Sink interface {
	// WriteHead sends the head of the answer. A negative length stands for a body whose length is not known.
	WriteHead(status int, header http.Header, length int64) error
	// Write sends a part of the body at once.
	Write(part []byte) error
}

// Result says what became of a request.
type Result struct {
	// Outcome tells the client what happened when nothing of an answer was passed on.
	Outcome outcome.Outcome
	// HeadSent says that the head of an answer was passed on.
	HeadSent bool
	// Complete says that a whole answer was passed on.
	Complete    bool
	Status   int
	Attempts int
	// Fingerprint identifies the request's content.
	Fingerprint id.Fingerprint
	Server      id.BackendServer
	Helpers     int
	// DispatchID is the id under which the dispatcher knows the request, empty if it was not asked.
	DispatchID id.Request
	// QueueTime is the time until the first place was given, TimeToFirstByte the time to the first part of the body.
	QueueTime    time.Duration
	TimeToFirstByte time.Duration
	// LongestPause is the longest time between two events that were passed on.
	LongestPause time.Duration
	Cause string
}
