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
	Prompt id.Tokens
	// Answer is the longest answer asked for; 0 when the caller set no limit.
	Answer id.Tokens
	// Priority is the plan's priority; higher values go first among requests of one length band.
	Priority int32
	Deadline time.Time
	// Number is the number of the attempt that the grant is for.
	Number int
	// Prefix holds hashes of the prompt's leading blocks.
	Prefix []uint64
	// Avoid names engines that must not run the request.
	Avoid []id.Engine
	// Alone asks for an engine that runs nothing else.
	Alone bool
}

// Part is the share of a prompt that one engine keeps.
type Part struct {
	Engine  id.Engine
	Address string
	Tokens  id.Tokens
}

// Grant is the permission to run an attempt on one engine or a gang.
type Grant struct {
	Attempt id.Attempt
	// Parts holds the engines; the first one sends the answer.
	Parts []Part
	// Priority is passed to the engines; higher values go first.
	Priority int32
	// Answer is the memory kept for the answer on the first engine.
	Answer id.Tokens
}

// EngineSpec describes an engine of the shard.
type EngineSpec struct {
	Engine   id.Engine
	Address  string
	Capacity id.Tokens
	Models   []id.Model
	Leaving  bool
}

// Event is an input of the machine.
type Event interface{ event() }

// Submit asks for a grant. Submitting a request that waits or holds a grant again is answered alike.
type Submit struct{ Request Request }

// Withdraw ends a request that waits.
type Withdraw struct{ Request id.Request }

// Hold reports a grant that an entry host holds, to renew it or after a takeover.
type Hold struct {
	Grant        Grant
	Organisation id.Organisation
	// Started says that the first token has arrived.
	Started bool
}

// Finish ends a grant.
type Finish struct{ Attempt id.Attempt }

// EngineSeen adds an engine or changes its description.
type EngineSeen struct{ Spec EngineSpec }

// EngineLost removes an engine.
type EngineLost struct{ Engine id.Engine }

// Reported carries an engine's load report.
type Reported struct {
	Engine id.Engine
	// At is when the figures were true.
	At      time.Time
	Pending id.Tokens
}

// Listed carries the attempts that hold memory of an engine.
type Listed struct {
	Engine   id.Engine
	Attempts []Holding
}

// Holding is one attempt that holds memory.
type Holding struct {
	Attempt id.Attempt
	Tokens  id.Tokens
}

// CacheChanged says that an engine's prefix cache gained or lost a block.
type CacheChanged struct {
	Engine  id.Engine
	Block   uint64
	Evicted bool
}

// Tick lets time pass.
type Tick struct{}

func (Submit) event()       {}
func (Withdraw) event()     {}
func (Hold) event()         {}
func (Finish) event()       {}
func (EngineSeen) event()   {}
func (EngineLost) event()   {}
func (Reported) event()     {}
func (Listed) event()       {}
func (CacheChanged) event() {}
func (Tick) event()         {}

// EffectKind distinguishes effects.
type EffectKind int

// Kinds of effects.
const (
	// Granted gives a request its grant.
	Granted EffectKind = iota + 1
	// Refused ends a request that did not run.
	Refused
	// Cancel frees the memory that an attempt holds on an engine.
	Cancel
	// Preempt takes a grant back; the request is to ask again.
	Preempt
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
