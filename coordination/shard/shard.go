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

// Ask is a request for a grant.
type Ask struct {
	dispatch.Request
	Shard       id.Shard
	Fingerprint id.Fingerprint
	Host        id.Host
	Incarnation id.Incarnation
}

// Answer is a dispatcher's answer to an Ask. At most one of Grant and Refusal is set.
type Answer struct {
	// Queued says that the request waits; the asker is to ask again.
	Queued  bool
	Grant   *dispatch.Grant
	Refusal *outcome.Outcome
}

// Held is a grant that an entry host holds.
type Held struct {
	Grant        dispatch.Grant
	Shard        id.Shard
	Organisation id.Organisation
	Started      bool
	Fingerprint  id.Fingerprint
}

// Ended is a grant that has ended, or a request that no longer waits for one.
type Ended struct {
	Shard   id.Shard
	Request id.Request
	Attempt id.Attempt
	// Crashed names the engine that was lost while the attempt ran.
	Crashed id.Engine
	// Withdrawn says that the request waits no longer.
	Withdrawn bool
	// Finished says that the whole answer arrived.
	Finished bool
}

// Report tells a dispatcher what an entry host holds.
type Report struct {
	Host        id.Host
	Incarnation id.Incarnation
	Held        []Held
	Ended       []Ended
}

// Loads answers a report.
type Loads struct {
	// Lapsed lists attempts whose grants were taken back.
	Lapsed  []id.Attempt
	Engines []EngineLoad
}

// EngineLoad is what a dispatcher knows of an engine, for choices made without it.
type EngineLoad struct {
	Engine  id.Engine
	Free    id.Tokens
	Pending id.Tokens
}

// EngineReport is an engine's report of its load.
type EngineReport struct {
	At          time.Time
	Incarnation int64
	Capacity    id.Tokens
	Pending     id.Tokens
	Models      []id.Model
	Draining    bool
}

// Engines asks engines for their state and cancels attempts.
type Engines interface {
	// Load returns an engine's report of its load.
	Load(ctx context.Context, address string) (EngineReport, error)
	// List returns the attempts that hold memory of an engine.
	List(ctx context.Context, address string) ([]dispatch.AttemptMemory, error)
	// CacheEvents returns changes of an engine's prefix cache from a sequence number on, and the next number.
	CacheEvents(ctx context.Context, address string, from int64) ([]CacheEvent, int64, error)
	// Cancel frees what an attempt holds. It is idempotent.
	Cancel(ctx context.Context, address string, att id.Attempt) error
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Block   uint64
	Evicted bool
}

// Holders knows which attempts entry hosts hold.
type Holders interface {
	// Disowned reports whether an attempt's entry host is known to be gone, or says that it does not hold the attempt.
	Disowned(ctx context.Context, att id.Attempt) bool
}

// Fleet knows the back ends.
type Fleet interface {
	// Shards returns the names of all shards.
	Shards() []id.Shard
	// Engines returns the engines of a shard.
	Engines(shard id.Shard) []fleet.Engine
	// Saw records evidence about a back end.
	Saw(name string, ev fleet.Evidence)
}

// Peers reaches the dispatchers on all hosts, the own one included.
type Peers interface {
	// Owners returns the live hosts in the order in which they take a shard.
	Owners(shard id.Shard) []id.Host
	// Acquire asks a host's dispatcher for a grant.
	Acquire(ctx context.Context, host id.Host, ask Ask) (Answer, error)
	// Report tells a host's dispatchers what is held.
	Report(ctx context.Context, host id.Host, rp Report) (Loads, error)
}
