package dispatch

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// Request describes a request that asks for a grant.
type Request struct {
	ID           id.Request
	Organisation id.Organisation
	// Weight is the share of the engines that the organisation gets relative to other organisations that have requests
	// waiting.
	Weight       float64
	Model        id.Model
	PromptTokens id.Tokens
	// MaxAnswerTokens is the maximum length of the answer that the request allows; 0 if the client set no limit.
	MaxAnswerTokens id.Tokens
	// Priority is the priority of the organisation's plan, from 0 up. A higher value moves the request ahead when it is
	// the head of its lane and is compared with the heads of other lanes. It does not change the order within a lane.
	Priority int32
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// AttemptNumber counts the attempts of the request from 1. Attempts after the first continue interrupted work and are
	// served first.
	AttemptNumber int
	// PrefixHashes holds the hashes of the leading blocks of the prompt, of blockTokens tokens each.
	PrefixHashes []uint64
	// AvoidedEngines lists engines that must not run the request. They are used nevertheless if the others are too few to
	// hold it.
	AvoidedEngines []id.Engine
	// RunAlone asks for an engine that runs nothing else.
	RunAlone bool
}

// Part is the part of a prompt that one engine holds.
type Part struct {
	Engine       id.Engine
	Address      string
	PromptTokens id.Tokens
}

// Grant is the permission to run an attempt on one engine, or on a gang: several engines that hold a part of the prompt
// each and run the attempt together.
type Grant struct {
	Attempt id.Attempt
	// Parts lists the engines. The first one sends the answer.
	Parts []Part
	// Priority is passed to the engines. They process prompts of a higher priority first.
	Priority int32
	// AnswerTokens is the memory that is reserved for the answer on the first engine, in tokens.
	AnswerTokens id.Tokens
	// RunsAlone says that no other grant may use these engines.
	RunsAlone bool
}

// EngineSpec describes an engine of the shard.
type EngineSpec struct {
	Engine  id.Engine
	Address string
	// CapacityTokens is the memory of the engine in tokens.
	CapacityTokens id.Tokens
	// Models lists the models that the engine serves.
	Models []id.Model
	// Leaving engines finish what they run and get no new requests.
	Leaving bool
}

// Event is an input of the machine.
type Event interface{ event() }

// Submit asks for a grant. It may be repeated: a request that already waits keeps its position, and one that has a
// grant for the same attempt gets the same grant again. A later attempt replaces a waiting one of the same request. A
// grant for another attempt of the request is released.
type Submit struct{ Request Request }

// Withdraw removes a request that waits.
type Withdraw struct{ Request id.Request }

// RenewGrant reports a grant that an entry host holds. It extends the lifetime of the grant, and it makes the grant
// known to a dispatcher that did not issue it, for example one that took over from a lost dispatcher.
type RenewGrant struct {
	Grant        Grant
	Organisation id.Organisation
	// Started says that the first token of the answer has arrived.
	Started bool
}

// FinishAttempt releases the grant of an attempt.
type FinishAttempt struct{ Attempt id.Attempt }

// SetEngine adds an engine or replaces its description.
type SetEngine struct{ Spec EngineSpec }

// HoldEngine stops new grants on an engine that has crashed under an attempt until SetEngine shows it again.
type HoldEngine struct{ Engine id.Engine }

// RemoveEngine removes an engine.
type RemoveEngine struct{ Engine id.Engine }

// ReportLoad carries a load report of an engine.
type ReportLoad struct {
	Engine     id.Engine
	MeasuredAt time.Time
	// PendingTokens is the number of prompt tokens that the engine had still to process at MeasuredAt.
	PendingTokens id.Tokens
}

// ListAttempts carries all attempts that hold memory of an engine, so that attempts without a grant can be found.
type ListAttempts struct {
	Engine   id.Engine
	Attempts []AttemptMemory
}

// AttemptMemory is the memory that an attempt holds on an engine, in tokens.
type AttemptMemory struct {
	Attempt id.Attempt
	Tokens  id.Tokens
}

// UpdateCache reports that the prefix cache of an engine gained or, if Evicted is set, lost a block.
type UpdateCache struct {
	Engine id.Engine
	// Block is the hash of the block.
	Block   uint64
	Evicted bool
}

// Tick lets the machine act on the passing of time: it releases expired grants, refuses requests that have waited too
// long and grants requests for which engines have become free. Every other event does the last two as well.
type Tick struct{}

func (Submit) event()        {}
func (Withdraw) event()      {}
func (RenewGrant) event()    {}
func (FinishAttempt) event() {}
func (SetEngine) event()     {}
func (HoldEngine) event()    {}
func (RemoveEngine) event()  {}
func (ReportLoad) event()    {}
func (ListAttempts) event()  {}
func (UpdateCache) event()   {}
func (Tick) event()          {}

// EffectKind says what an effect does.
type EffectKind int

// Kinds of effects.
const (
	// Granted gives a grant to a request.
	Granted EffectKind = iota + 1
	// Refused ends a request that has no grant. Outcome says why.
	Refused
	// CancelAttempt asks an engine to cancel an attempt and to release its memory.
	CancelAttempt
	// Preempted revokes a grant. The entry host should submit the request again.
	Preempted
)

// Effect is an output of the machine, which the caller of Step carries out.
type Effect struct {
	Kind    EffectKind
	Request id.Request
	Attempt id.Attempt
	// Grant is set for Granted.
	Grant *Grant
	// Engine and Address are set for CancelAttempt.
	Engine  id.Engine
	Address string
	// Outcome is set for Refused.
	Outcome outcome.Outcome
}
