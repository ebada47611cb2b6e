// Package broker requests and issues grants, which permit an entry host to run an attempt on engines of a service.
// There is one dispatcher for each service, on one of the hosts; all hosts send it their requests for that service, and
// package batch decides for it. Package shard does the same with one dispatcher for each shard, a group of engines.
package broker

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// GrantRequest asks a dispatcher for a grant for one attempt of a client's request.
type GrantRequest struct {
	batch.Request
	Service id.Service
	// Host is the entry host that sends the request.
	Host id.Host
	// RequestLimits is what recent responses to the entry host said of the request limits of the service's engines. The
	// dispatcher thus knows a limit before it grants a request of a host that does.
	RequestLimits []serverlimit.Statement
	// Evidence is what the entry host knows against the parts of the prompt. The dispatcher thus knows of a crash before
	// it places a request that is sent again after it.
	Evidence []quarantine.Evidence
	// Unanswered says that the client has received nothing yet, so that it can still be refused. Only the entry host uses
	// it; dispatchers do not receive it.
	Unanswered bool
}

// GrantResponse is a dispatcher's response to a GrantRequest. If neither Grant nor Refusal is set, the request is
// queued and the dispatcher delivers the final response later. A response delivered later with neither field set tells
// the entry host to send its request again.
type GrantResponse struct {
	Grant   *batch.Grant
	Refusal *outcome.Outcome
}

// HeldGrant is a grant that an entry host holds, with the request that it was issued for.
type HeldGrant struct {
	GrantRequest GrantRequest
	Grant        batch.Grant
	// Started reports whether the first event of the attempt has arrived.
	Started bool
}

// EndedGrant reports that a grant has ended, or that a request no longer waits for one.
type EndedGrant struct {
	Service id.Service
	Request id.Request
	Attempt id.Attempt
	// Withdrawn means that the request no longer waits for a grant; Attempt is then unset.
	Withdrawn bool
	// FailedEngine is the engine that failed the attempt, empty if none did. Fault says how it failed.
	FailedEngine id.Engine
	Fault        batch.Fault
	// RetryAfter is the backoff that the engine asked for, zero if it asked for none.
	RetryAfter time.Duration
}

// Report informs a dispatcher of the grants of an entry host and of the crashes that the host observed.
type Report struct {
	// Host is the entry host that sends the report.
	Host            id.Host
	HeldGrants      []HeldGrant
	StartedAttempts []StartedAttempt
	EndedGrants     []EndedGrant
	// Evidence is the host's evidence about crashes of the service's backend servers.
	Evidence []quarantine.Evidence
}

// isEmpty reports whether the report carries nothing besides the host's name.
func (rp Report) isEmpty() bool {
	return len(rp.HeldGrants) == 0 && len(rp.StartedAttempts) == 0 && len(rp.EndedGrants) == 0 && len(rp.Evidence) == 0
}

// StartedAttempt is an attempt whose first event has arrived.
type StartedAttempt struct {
	Service id.Service
	Attempt id.Attempt
}

// Fleet describes the services and their engines as this host knows them.
type Fleet interface {
	// EnginesKnown reports whether this host has received the services and their engines since it started.
	EnginesKnown() bool
	// EngineProfile returns the performance profile of a service's engines, or false if the service has none.
	EngineProfile(service id.Service) (route.EngineProfile, bool)
	// Engines returns the engines that serve a service.
	Engines(service id.Service) []batch.EngineSpec
	// RequestLimits returns what recent responses to this host said of the request limits of a service's engines.
	RequestLimits(service id.Service) []serverlimit.Statement
	// LearnRequestLimits takes what another host knows of request limits.
	LearnRequestLimits(host id.Host, statements []serverlimit.Statement)
	// ListAge returns the time since the list of engines was last confirmed to be up to date.
	ListAge() time.Duration
}

// Peers calls the dispatchers and clients on all hosts, including the local host.
type Peers interface {
	// Dispatchers returns the live hosts in order of preference as dispatcher of a service.
	Dispatchers(service id.Service) []id.Host
	// LeadsService reports whether the local host is the first dispatcher of a service. Only the first dispatcher uses
	// engines with a request limit, because the requests that all hosts send to them are counted there.
	LeadsService(service id.Service) bool
	// StartedLate reports whether the local host started so late after the others that it is ordered behind them.
	StartedLate() bool
	// RequestGrant asks the dispatcher on a host for a grant.
	RequestGrant(ctx context.Context, dispatcher id.Host, request GrantRequest) (GrantResponse, error)
	// DeliverResponse passes a response to the entry host that waits for it and reports whether it was still waiting.
	DeliverResponse(ctx context.Context, host id.Host, requestID id.Request, response GrantResponse) (bool, error)
	// AskHeldGrants returns the grants of a service that the client on a host holds.
	AskHeldGrants(ctx context.Context, host id.Host, service id.Service) ([]HeldGrant, error)
	// SendReport sends a report to the dispatchers on a host.
	SendReport(ctx context.Context, dispatcher id.Host, report Report) error
}
