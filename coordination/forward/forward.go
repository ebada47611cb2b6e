// Package forward sends clients' requests to backend servers and copies the responses back to the clients. It decides
// whether a failed attempt is retried, resumes interrupted streams on other engines, and enforces the deadlines of
// requests and attempts.
//
// Requests of routes with a prompt run on engines, under grants of a dispatcher. All others run on the servers of plain
// services, which serve no models; this host chooses among them itself. Their responses may be streams too. Package
// coordination/servicecall also runs requests to plain services, but reads whole responses and supports idempotency
// keys.
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
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// Request is one request of a client.
type Request struct {
	// ID is the client's id of the request.
	ID     string
	Method string
	// Target is the request target of the HTTP request line, exactly as the client sent it.
	Target string
	// HostName is the host name that the client addressed.
	HostName string
	// Header holds the header fields that are forwarded to the server.
	Header       http.Header
	Body         []byte
	Route        route.Route
	Service      id.Service
	Organisation id.Organisation
	// Priority is the organisation's or the route's priority; 0 is the highest.
	Priority int
	// ArrivedAt is when this host read the request.
	ArrivedAt time.Time
	// Deadline is when the client stops waiting for the complete response.
	Deadline time.Time
	// LongestTimeout returns the longest timeout that the route has had since the arrival of the request, zero if there was no
	// limit. It may be nil; the timeout of Route applies then all the time.
	LongestTimeout func() time.Duration
	// PromptTokens is the length of the prompt, MaxAnswerTokens the longest answer that the model may generate.
	PromptTokens    id.Tokens
	MaxAnswerTokens id.Tokens
	// LastEventID is the id of the last event that the client received in an earlier response; the stream resumes after
	// it. Empty for a stream that starts from the beginning.
	LastEventID string
	// PromptParts are the parts of the prompt that other requests may have too, in order.
	PromptParts []id.PromptPart
}

// PromptPartNames returns the parts of the prompt as they appear in logs.
func (rq *Request) PromptPartNames() []string {
	names := make([]string, len(rq.PromptParts))
	for ix, part := range rq.PromptParts {
		names[ix] = part.String()
	}
	return names
}

// Attempt is a single send of a request to one backend server.
type Attempt struct {
	*Request
	Server id.BackendServer
	// Address is the server's address. A different server that has taken over the address must not run the request.
	Address string
	// Remaining is the time until the request's deadline, which is sent to the server.
	Remaining time.Duration
	// ResumeAfter is the id of the last event that the client has; the server resumes the stream after it.
	ResumeAfter string
	// Helpers are the engines that process parts of the prompt for the server.
	Helpers []batch.Part
	// NewConnection demands a newly opened connection instead of a pooled one.
	NewConnection bool
	// KeptConnection demands an idle pooled connection. If there is none, nothing is sent.
	KeptConnection bool
	// Urgency orders requests inside an engine, 0 first. If it is negative, no urgency is sent.
	Urgency int
	// MayBegin reports whether the request may still be sent; nil means that it may. A sender that has waited since Send was
	// called asks it before it sends. Peers don't get it.
	MayBegin func() bool
}

// Response is the head of a backend server's response, with the body still to be read. The caller must close Body.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// EndsWithConnection says that the end of the connection is the only mark of the end of the body.
	EndsWithConnection bool
	// NewConnection says that the request was sent on a newly opened connection.
	NewConnection bool
	Body          io.ReadCloser
	// NotRun says that the server did not run the request and will not run it later.
	NotRun bool
	// Misdirected says that a different server now has the address.
	Misdirected bool
	// Leaving says that the server is about to shut down.
	Leaving bool
	// RequestLimit is what the response says of the requests per second that the server accepts from all hosts.
	RequestLimit requestlimit.Named
	// RetryAfter is the backoff that a server asked for when it rejected the request; zero if it asked for none.
	RetryAfter time.Duration
	// FailedEngine is the address or the id of the engine that caused the failure, if the response names one.
	FailedEngine string
	// Load is the load that the server reported; nil if it reported none.
	Load *balance.Load
}

// ErrNotSent is wrapped by the error of an attempt that failed before any byte of the request reached the server.
var ErrNotSent = errors.New("nothing was sent")

// ErrConnectionRefused is wrapped, together with ErrNotSent, by the error of an attempt whose server refused a
// connection.
var ErrConnectionRefused = errors.New("the connection was refused")

// ErrUndetermined is wrapped, together with ErrNotSent, by the error of an attempt that this host could not send and no
// other host could send for it. Nothing follows from it about the server.
var ErrUndetermined = errors.New("no host could tell whether the server is reachable")

// ErrStaleConnection is wrapped by the error of an attempt on a reused connection that ended before any byte of the
// response arrived.
var ErrStaleConnection = errors.New("the reused connection brought no answer")

// ErrClientGone is wrapped by the error of a Sink whose client has disconnected.
var ErrClientGone = errors.New("the client has gone")

// Sender sends requests to backend servers and engines.
type Sender interface {
	// Send sends the request of an attempt and returns the head of the response.
	Send(ctx context.Context, attempt Attempt) (Response, error)
	// ProbeHTTP sends an HTTP request to the engine at an address and reports how that went.
	ProbeHTTP(ctx context.Context, address string) ProbeResult
	// ProbeConnection opens a connection to the server at an address and reports how that went.
	ProbeConnection(ctx context.Context, address string) ProbeResult
	// Reserve reserves the memory of a part on its engine for ttl, or renews the reservation, and reports whether the engine
	// granted it. Another engine that has the address by now does not.
	Reserve(ctx context.Context, part batch.Part, ttl time.Duration) (bool, error)
	// Release releases the memory that is reserved for a part.
	Release(ctx context.Context, part batch.Part) error
}

// Reachability says whether backend servers can be reached.
type Reachability interface {
	// ServersUnreachable reports whether no backend server can be reached by any way.
	ServersUnreachable() bool
}

// Dispatcher grants attempts on engines.
type Dispatcher interface {
	// Acquire blocks until the dispatcher grants or refuses the request, or ctx ends.
	Acquire(ctx context.Context, ask broker.GrantRequest) (batch.Grant, outcome.Outcome)
	// ReportStarted reports that an attempt has produced an event. Repeated calls for one attempt are allowed.
	ReportStarted(attempt id.Attempt)
	// ReportEnded reports that an attempt has ended, which returns its grant.
	ReportEnded(ended broker.EndedGrant)
}

// Fleet gives access to this host's copy of the list of backend servers.
type Fleet interface {
	// Servers returns the listed servers of a service. The caller must not modify the result.
	Servers(service id.Service) []serverlist.Server
	// ListedAsLeaving reports whether the list shows a server as draining or removed. It returns false for a server
	// that was never listed.
	ListedAsLeaving(server id.BackendServer) bool
	// ShownAsDraining reports whether the list shows the given start of a server as draining, or showed it so before it
	// dropped or replaced its entry.
	ShownAsDraining(server serverlist.Server) bool
	// AnnouncedLeaving reports whether a server itself announced that it is leaving, or was found replaced at its
	// address by another server.
	AnnouncedLeaving(server id.BackendServer) bool
	// Evacuated reports whether the operator has evacuated the availability zone of a listed server.
	Evacuated(server id.BackendServer) bool
	// ListAge returns the time since the list was last known to be up to date.
	ListAge() time.Duration
	// RecordLeaving records that a server announced that it is leaving, or that another server has its address. It
	// reports whether this was not recorded before.
	RecordLeaving(server id.BackendServer) bool
}

// RequestLimits holds the request rates that servers accept from all hosts together. Requests to the servers of plain
// services that have such a limit need a permit; those to engines are counted by the dispatcher that grants them.
type RequestLimits interface {
	// Rate returns the rate that a server accepts; zero if it has no limit.
	Rate(server serverlist.Server) serverlimit.Rate
	// Acquire asks for a permit to send a request to one of the given servers of a service, within maxWait.
	Acquire(ctx context.Context, service id.Service, servers []serverlist.Server, maxWait time.Duration) requestlimit.Permit
	// RecordResponse records what the response to a request that was sent at sentAt says of the server's limit.
	RecordResponse(server serverlist.Server, sentAt time.Time, named requestlimit.Named, successful bool)
	// RecordLoss records that a request did not reach a server, or that its connection was lost.
	RecordLoss(server serverlist.Server)
}

// Sink receives the response on behalf of the client.
type Sink interface {
	// WriteHead sends the status and the header. A negative length stands for a body of unknown length.
	WriteHead(status int, header http.Header, length int64) error
	// Write sends a part of the body without buffering it.
	Write(chunk []byte) error
}

// Result describes how the forwarding of a request ended.
type Result struct {
	// Outcome is what the client receives if no part of a response was forwarded.
	Outcome outcome.Outcome
	// HeadSent says that the head of a response was forwarded.
	HeadSent bool
	// Complete says that a complete response was forwarded.
	Complete bool
	// Status is the HTTP status of the forwarded response, Attempts the number of attempts made.
	Status   int
	Attempts int
	// PassedOn is the number of attempts of which a server may have received a part or all of the request.
	PassedOn int
	// Fingerprint identifies the content of the request.
	Fingerprint id.Fingerprint
	// Server is the server or engine of the last attempt, Helpers the number of engines that helped with it.
	Server  id.BackendServer
	Helpers int
	// DispatchID is the id under which the dispatcher knows the request; empty for requests that need no grant.
	DispatchID id.Request
	// QueueTime is the time from arrival to the first grant, TimeToFirstByte the time from arrival to the first part of
	// the body.
	QueueTime       time.Duration
	TimeToFirstByte time.Duration
	// LongestPause is the longest time between two forwarded events.
	LongestPause time.Duration
	// Cause describes in a few words why the last attempt ended; it is meant for logs.
	Cause string
}
