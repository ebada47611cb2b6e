package dispatch

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// Request is a request that waits for a grant.
type Request struct {
	ID           id.Request
	Organisation id.Organisation
	// Weight is the organisation's share relative to others.
	Weight float64
	Model  id.Model
	PromptTokens id.Tokens
	// MaxAnswerTokens is the longest answer asked for; 0 when the caller set no limit.
	MaxAnswerTokens id.Tokens
	// Priority is the plan's priority; higher values go first among requests of one length band.
	Priority int32
	Deadline time.Time
	// AttemptNumber is the number of the attempt that the grant is for.
	AttemptNumber int
	// PrefixHashes holds hashes of the prompt's leading blocks.
	PrefixHashes []uint64
	// AvoidedEngines names engines that must not run the request.
	AvoidedEngines []id.Engine
	// RunAlone asks for an engine that runs nothing else.
	RunAlone bool
}

// Part is the share of a prompt that one engine keeps.
type Part struct {
	Engine  id.Engine
	Address string
	PromptTokens  id.Tokens
}

// Grant is the permission to run an attempt on one engine or a gang.
type Grant struct {
	Attempt id.Attempt
	// Parts holds the engines; the first one sends the answer.
	Parts []Part
	// Priority is passed to the engines; higher values go first.
	Priority int32
	// AnswerTokens is the memory kept for the answer on the first engine.
	AnswerTokens id.Tokens
}

// EngineSpec describes an engine of the shard.
type EngineSpec struct {
	Engine   id.Engine
	Address  string
	CapacityTokens id.Tokens
	Models   []id.Model
	Leaving  bool
}

// Event is an input of the machine.
type Event interface{ event() }

// Submit asks for a grant. Submitting a request that waits or holds a grant again is answered alike.
type Submit struct{ Request Request }

// Withdraw ends a request that waits.
type Withdraw struct{ Request id.Request }

// RenewGrant reports a grant that an entry host holds, to renew it or after a takeover.
type RenewGrant struct {
	Grant        Grant
	Organisation id.Organisation
	// Started says that the first token has arrived.
	Started bool
}

// FinishAttempt ends a grant.
type FinishAttempt struct{ Attempt id.Attempt }

// SetEngine adds an engine or changes its description.
type SetEngine struct{ Spec EngineSpec }

// RemoveEngine removes an engine.
type RemoveEngine struct{ Engine id.Engine }

// ReportLoad carries an engine's load report.
type ReportLoad struct {
	Engine id.Engine
	// MeasuredAt is when the figures were true.
	MeasuredAt      time.Time
	PendingTokens id.Tokens
}

// ListAttempts carries the attempts that hold memory of an engine.
type ListAttempts struct {
	Engine   id.Engine
	Attempts []AttemptMemory
}

// AttemptMemory is one attempt that holds memory.
type AttemptMemory struct {
	Attempt id.Attempt
	Tokens  id.Tokens
}

// UpdateCache says that an engine's prefix cache gained or lost a block.
type UpdateCache struct {
	Engine  id.Engine
	Block   uint64
	Evicted bool
}

// Tick lets time pass.
type Tick struct{}

func (Submit) event()       {}
func (Withdraw) event()     {}
func (RenewGrant) event()         {}
func (FinishAttempt) event()       {}
func (SetEngine) event()   {}
func (RemoveEngine) event()   {}
func (ReportLoad) event()     {}
func (ListAttempts) event()       {}
func (UpdateCache) event() {}
func (Tick) event()         {}

// EffectKind distinguishes effects.
type EffectKind int

// Kinds of effects.
const (
	// Granted gives a request its grant.
	Granted EffectKind = iota + 1
	// Refused ends a request that did not run.
	Refused
	// CancelAttempt frees the memory that an attempt holds on an engine.
	CancelAttempt
	// Preempted takes a grant back; the request is to ask again.
	Preempted
)

// Effect is an output of the machine.
type Effect struct {
	Kind    EffectKind
	Request id.Request
	Attempt id.Attempt
	// Grant is set for Granted.
	Grant *Grant
	// Engine and Address are set for Cancel.
	Engine  id.Engine
	Address string
	// Outcome is set for Refused.
	Outcome outcome.Outcome
}
