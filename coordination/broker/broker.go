// Package broker asks for and gives places on engines: one host dispatches for each service, the others ask it.
package broker

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// GrantRequest is a request for a place.
type GrantRequest struct {
	batch.Request
	Service id.Service
	// Host is the entry host that asks.
	Host id.Host
}

// GrantResponse is a dispatcher's answer to an Ask. Without Grant and Refusal the request waits; the answer is given later.
type GrantResponse struct {
	Grant   *batch.Grant
	Refusal *outcome.Outcome
}

// HeldGrant is a grant that an entry host holds.
type HeldGrant struct {
	GrantRequest     GrantRequest
	Grant   batch.Grant
	Started bool
}

// EndedGrant is a grant that has ended, or a request that no longer waits for one.
type EndedGrant struct {
	Service id.Service
	Request id.Request
	Attempt id.Attempt
	// Withdrawn says that the request waits no longer.
	Withdrawn bool
	// FailedEngine names the engine that failed the attempt, and Fault says how.
	FailedEngine id.Engine
	Fault  batch.Fault
	// RetryAfter is how long the engine asked to be left alone; zero if it did not.
	RetryAfter time.Duration
}

// Report tells a dispatcher what became of grants.
type Report struct {
	Host    id.Host
	HeldGrants    []HeldGrant
	StartedAttempts []StartedAttempt
	EndedGrants   []EndedGrant
	// Evidence is what the host found out of crashes of servers of the service.
	Evidence []quarantine.Evidence
}

// empty reports whether there is nothing in a report.
func (rp Report) empty() bool {
	return len(rp.HeldGrants) == 0 && len(rp.StartedAttempts) == 0 && len(rp.EndedGrants) == 0 && len(rp.Evidence) == 0
}

// StartedAttempt is an attempt whose first event has arrived.
type StartedAttempt struct {
	Service id.Service
	Attempt id.Attempt
}

// Fleet knows the services and their engines.
type Fleet interface {
	// EnginesKnown reports whether the services and their engines are known at all.
	EnginesKnown() bool
	// EngineProfile describes the engines of a service, or reports false for one without engines.
	EngineProfile(service id.Service) (route.Engine, bool)
	// Engines returns the engines of a service.
	Engines(service id.Service) []batch.EngineSpec
	// ListAge returns the time since the list of engines was last known to be up to date.
	ListAge() time.Duration
}

// Peers reaches the dispatchers on all hosts, the own one included.
type Peers interface {
	// Dispatchers returns the live hosts in the order in which they take a service.
	Dispatchers(service id.Service) []id.Host
	// RequestGrant asks a host's dispatcher for a place.
	RequestGrant(ctx context.Context, host id.Host, ask GrantRequest) (GrantResponse, error)
	// DeliverResponse passes an answer to the entry host that waits for it and reports whether it does.
	DeliverResponse(ctx context.Context, host id.Host, rq id.Request, answer GrantResponse) (bool, error)
	// SendReport tells a host's dispatchers what became of grants.
	SendReport(ctx context.Context, host id.Host, rp Report) error
}
