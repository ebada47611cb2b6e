// Package shard runs the dispatchers of shards on hosts and asks them for grants.
package shard

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// GrantRequest is a request for a grant.
type GrantRequest struct {
	dispatch.Request
	Shard       id.Shard
	Fingerprint id.Fingerprint
	Host        id.Host
	Incarnation id.Incarnation
}

// GrantResponse is a dispatcher's answer to an Ask. At most one of Grant and Refusal is set.
type GrantResponse struct {
	// Queued says that the request waits; the asker is to ask again.
	Queued  bool
	Grant   *dispatch.Grant
	Refusal *outcome.Outcome
}

// HeldGrant is a grant that an entry host holds.
type HeldGrant struct {
	Grant        dispatch.Grant
	Shard        id.Shard
	Organisation id.Organisation
	Started      bool
	Fingerprint  id.Fingerprint
}

// EndedGrant is a grant that has ended, or a request that no longer waits for one.
type EndedGrant struct {
	Shard   id.Shard
	Request id.Request
	Attempt id.Attempt
	// CrashedEngine names the engine that was lost while the attempt ran.
	CrashedEngine id.Engine
	// Withdrawn says that the request waits no longer.
	Withdrawn bool
	// Completed says that the whole answer arrived.
	Completed bool
}

// Report tells a dispatcher what an entry host holds.
type Report struct {
	Host        id.Host
	Incarnation id.Incarnation
	HeldGrants        []HeldGrant
	EndedGrants       []EndedGrant
}

// ReportResponse answers a report.
type ReportResponse struct {
	// RevokedAttempts lists attempts whose grants were taken back.
	RevokedAttempts  []id.Attempt
	EngineLoads []EngineLoad
}

// EngineLoad is what a dispatcher knows of an engine, for choices made without it.
type EngineLoad struct {
	Engine  id.Engine
	FreeTokens    id.Tokens
	PendingTokens id.Tokens
}

// EngineReport is an engine's report of its load.
type EngineReport struct {
	ReportedAt          time.Time
	Incarnation int64
	CapacityTokens    id.Tokens
	PendingTokens     id.Tokens
	Models      []id.Model
	Draining    bool
}

// EngineClient asks engines for their state and cancels attempts.
type EngineClient interface {
	// Load returns an engine's report of its load.
	Load(ctx context.Context, address string) (EngineReport, error)
	// ListAttempts returns the attempts that hold memory of an engine.
	ListAttempts(ctx context.Context, address string) ([]dispatch.AttemptMemory, error)
	// CacheEvents returns changes of an engine's prefix cache from a sequence number on, and the next number.
	CacheEvents(ctx context.Context, address string, from int64) ([]CacheEvent, int64, error)
	// CancelAttempt frees what an attempt holds. It is idempotent.
	CancelAttempt(ctx context.Context, address string, att id.Attempt) error
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Block   uint64
	Evicted bool
}

// GrantHolders knows which attempts entry hosts hold.
type GrantHolders interface {
	// Orphaned reports whether an attempt's entry host is known to be gone, or says that it does not hold the attempt.
	Orphaned(ctx context.Context, att id.Attempt) bool
}

// Fleet knows the back ends.
type Fleet interface {
	// Shards returns the names of all shards.
	Shards() []id.Shard
	// Engines returns the engines of a shard.
	Engines(shard id.Shard) []fleet.Engine
	// RecordEvidence records evidence about a back end.
	RecordEvidence(name string, ev fleet.Evidence)
}

// Peers reaches the dispatchers on all hosts, the own one included.
type Peers interface {
	// ShardDispatchers returns the live hosts in the order in which they take a shard.
	ShardDispatchers(shard id.Shard) []id.Host
	// RequestShardGrant asks a host's dispatcher for a grant.
	RequestShardGrant(ctx context.Context, host id.Host, ask GrantRequest) (GrantResponse, error)
	// SendShardReport tells a host's dispatchers what is held.
	SendShardReport(ctx context.Context, host id.Host, rp Report) (ReportResponse, error)
}
