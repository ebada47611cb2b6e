// Package shard requests and issues grants, which permit an entry host to run an attempt on engines of a shard. A shard
// is a group of engines that one dispatcher schedules. The dispatcher runs on one of the hosts; all hosts send it their
// requests for the shard, and package dispatch decides for it. Package broker does the same with one dispatcher for
// each service.
package shard

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// GrantRequest asks a dispatcher for a grant for one attempt of a client's request.
type GrantRequest struct {
	dispatch.Request
	Shard id.Shard
	// ContentFingerprint identifies the content of the request for the quarantine.
	ContentFingerprint id.Fingerprint
	// Host is the entry host that sends the request, and Incarnation is that host's incarnation.
	Host        id.Host
	Incarnation id.Incarnation
}

// GrantResponse is a dispatcher's response to a GrantRequest. At most one of Grant and Refusal is set.
type GrantResponse struct {
	// Queued means that the request waits for a grant; the entry host must send it again to get the result.
	Queued  bool
	Grant   *dispatch.Grant
	Refusal *outcome.Outcome
}

// HeldGrant is a grant that an entry host holds, with properties of the request that it was issued for.
type HeldGrant struct {
	Grant        dispatch.Grant
	Shard        id.Shard
	Organisation id.Organisation
	// Started reports whether the first token of the attempt has arrived.
	Started            bool
	ContentFingerprint id.Fingerprint
}

// EndedGrant reports that a grant has ended, or that a request no longer waits for one.
type EndedGrant struct {
	Shard   id.Shard
	Request id.Request
	Attempt id.Attempt
	// CrashedEngine is the engine that was lost while the attempt ran, empty if none was.
	CrashedEngine id.Engine
	// Withdrawn means that the request no longer waits for a grant.
	Withdrawn bool
	// Completed means that the answer arrived completely.
	Completed bool
}

// Report informs a dispatcher of the grants of an entry host.
type Report struct {
	// Host is the entry host that sends the report, and Incarnation is that host's incarnation.
	Host        id.Host
	Incarnation id.Incarnation
	HeldGrants  []HeldGrant
	EndedGrants []EndedGrant
}

// ReportResponse is a dispatcher's response to a report.
type ReportResponse struct {
	// RevokedAttempts lists reported attempts whose grants the dispatcher has revoked in favor of other requests.
	RevokedAttempts []id.Attempt
	// EngineLoads holds the loads of the engines of the shards whose held grants were reported.
	EngineLoads []EngineLoad
}

// EngineLoad is the load of an engine as its dispatcher knows it. Entry hosts use it to choose engines themselves while
// no dispatcher can be reached.
type EngineLoad struct {
	Engine id.Engine
	// FreeTokens is the memory that no attempt holds.
	FreeTokens id.Tokens
	// PendingTokens is the number of prompt tokens that the engine has yet to process.
	PendingTokens id.Tokens
}

// EngineReport is an engine's report of its load.
type EngineReport struct {
	// ReportedAt is the time for which the report is accurate.
	ReportedAt time.Time
	// Incarnation changes when the engine restarts.
	Incarnation int64
	// CapacityTokens is the engine's memory.
	CapacityTokens id.Tokens
	// PendingTokens is the number of prompt tokens that the engine has yet to process.
	PendingTokens id.Tokens
	Models        []id.Model
	// Leaving means that the engine is leaving and must get no new grants.
	Leaving bool
}

// EngineClient queries engines for their state and cancels attempts.
type EngineClient interface {
	// FetchLoad returns an engine's report of its load.
	FetchLoad(ctx context.Context, address string) (EngineReport, error)
	// ListAttempts returns the attempts that hold memory of an engine.
	ListAttempts(ctx context.Context, address string) ([]dispatch.AttemptMemory, error)
	// CacheEvents returns the changes of an engine's prefix cache since the sequence number from, and the sequence
	// number for the next call.
	CacheEvents(ctx context.Context, address string, from int64) ([]CacheEvent, int64, error)
	// CancelAttempt releases the memory that an attempt holds on an engine. It is idempotent.
	CancelAttempt(ctx context.Context, address string, attempt id.Attempt) error
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	// Block is the hash of the block that was added or evicted.
	Block   uint64
	Evicted bool
}

// GrantHolders finds out whether an entry host still runs an attempt.
type GrantHolders interface {
	// Orphaned reports whether no entry host runs the attempt any more: its host is known to be gone, or has confirmed
	// that it doesn't hold the grant.
	Orphaned(ctx context.Context, attempt id.Attempt) bool
}

// Fleet describes the shards and their engines as this host knows them.
type Fleet interface {
	// Shards returns the names of all shards.
	Shards() []id.Shard
	// Engines returns the engines of a shard.
	Engines(shard id.Shard) []fleet.Engine
	// RecordObservation records what a poll revealed about the health of an engine.
	RecordObservation(name string, observation fleet.Observation)
}

// Peers calls the dispatchers on all hosts, including the local host.
type Peers interface {
	// ShardDispatchers returns the live hosts in order of preference as dispatcher of a shard.
	ShardDispatchers(shard id.Shard) []id.Host
	// RequestShardGrant asks the dispatcher on a host for a grant.
	RequestShardGrant(ctx context.Context, dispatcher id.Host, request GrantRequest) (GrantResponse, error)
	// SendShardReport sends a report to the dispatchers on a host.
	SendShardReport(ctx context.Context, dispatcher id.Host, report Report) (ReportResponse, error)
}
