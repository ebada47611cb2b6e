// Package batch schedules requests onto the engines of one service. It decides which engines run a request, and when.
//
// It is made for engines with continuous batching, which work in passes: a pass advances every answer that the engine
// writes by StepsPerDecodePass steps of one token each, and reads (prefills) new prompts. The longer an engine reads in
// a pass, the longer its running answers pause. One engine answers a request; others may help it to read a long prompt,
// each a part of it.
//
// Package dispatch schedules the engines of a shard, a group of engines, and models their work in single steps instead.
//
// The scheduler is a deterministic state machine: it reads no clock, starts no goroutine and does no I/O.
//
// It is designed for these loads:
//   - Short prompts beside long ones: short prompts are packed onto few engines, and the other engines read long
//     prompts in parts.
//   - Bursts of short or of long prompts: no engine is reserved for either; the number of engines that take short
//     prompts changes with the running requests.
//   - More work than the engines can do: requests that can still be on time go first, and requests that can't be served
//     before the client gives up are refused.
package batch

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// Request describes a request that is to be scheduled.
type Request struct {
	ID           id.Request
	Organisation id.Organisation
	PromptTokens id.Tokens
	// MaxAnswerTokens is the length of the longest answer that the request allows.
	MaxAnswerTokens id.Tokens
	// FirstEventTarget is the time from the arrival of the client's request within which the first event of the answer
	// is on time.
	FirstEventTarget time.Duration
	// MaxPause is the longest pause between two events of the answer that is still on time.
	MaxPause time.Duration
	// WaitLimit is the time from arrival after which the client stops waiting for the first event.
	WaitLimit time.Duration
	// ArrivedAt is when the entry host read the request.
	ArrivedAt time.Time
	// Priority orders kinds of requests; lower values go first.
	Priority int
	// AttemptNumber counts the attempts of the request from 1. Attempts after the first continue interrupted work.
	AttemptNumber int
	// AvoidedEngines lists engines that failed the request. They are avoided as soon as any other engine accepts new
	// work, even one without room for the request.
	AvoidedEngines []id.Engine
	// BackoffUntil holds, for each engine that asked the entry host for backoff, the time until which it gets nothing
	// from that host.
	BackoffUntil map[id.Engine]time.Time
	// ContentFingerprint identifies the content of the request; zero if it is not known.
	ContentFingerprint id.Fingerprint
	// RunAlone asks for engines that run nothing else and get nothing else until the request ends, because its content
	// may have crashed engines. At most one request with the same content runs at a time.
	RunAlone bool
	// PromptParts are the parts of the prompt that other requests may have too. SuspectParts are those that may have
	// crashed engines: until its answer begins, the engine that answers the request gets no other request with suspect
	// parts to answer, and at most one request with the same suspect part runs at a time. If Exclusive is set, that engine
	// also runs and gets nothing else until then.
	PromptParts  []id.PromptPart
	SuspectParts []id.PromptPart
	Exclusive    bool
}

// Part is the share of a grant that one engine takes.
type Part struct {
	Engine  id.Engine
	Address string
	// Ticket identifies a reservation of memory on the engine; empty if no memory is to be reserved.
	Ticket string
	// MemoryTokens is the memory that the request takes on the engine. If Ticket is set, this much memory must be
	// reserved under it before the request is sent.
	MemoryTokens id.Tokens
}

// Grant is the permission to run an attempt. The engine of the first part answers; the others help to read the prompt.
type Grant struct {
	Attempt id.Attempt
	Parts   []Part
	// Urgency orders requests inside an engine; lower values go first.
	Urgency int
	// PredictedFirstEvent is the predicted time from the grant to the first event of the answer.
	PredictedFirstEvent time.Duration
	// SuspectParts are the parts of the prompt because of which the attempt runs isolated until its first event.
	SuspectParts []id.PromptPart
}

// EngineSpec describes an engine of the service.
type EngineSpec struct {
	Engine  id.Engine
	Address string
	// StartedAtMillis is when the engine's process started. A different value under the same name is a new process,
	// which holds none of the earlier work.
	StartedAtMillis int64
	// Leaving engines finish what they run and get nothing new.
	Leaving bool
	// Evacuated engines finish what they run and get nothing new until the evacuation of their availability zone ends.
	Evacuated bool
	// RequestLimit is the rate of requests that the engine accepts from all hosts together; zero for no limit.
	RequestLimit serverlimit.Rate
	// ColdLimit applies in addition while the engine is cold; without a rate otherwise. ColdAfterFault is the limit of the
	// service's cold engines, which applies for ColdDuration after an engine could not be reached or did not respond, because
	// it may have been started again; without a rate if the service has no cold engines.
	ColdLimit      serverlimit.ColdLimit
	ColdAfterFault serverlimit.ColdLimit
	ColdDuration   time.Duration
	// CountedElsewhere says that another host counts the requests to engines with a limit. Such engines get nothing from
	// this machine.
	CountedElsewhere bool
}

// Event is an input of the machine.
type Event interface{ event() }

// SetEngineProfile sets how the engines of the service spend time and memory.
type SetEngineProfile struct{ Profile route.EngineProfile }

// SetEngines replaces the list of engines.
type SetEngines struct{ Engines []EngineSpec }

// Submit asks for a grant. It may be repeated: a request that already waits keeps its position and takes the new
// BackoffUntil, and one that already has a grant for the attempt is answered with that grant. A later attempt replaces
// a waiting one; any other attempt replaces one that has a grant, which is released.
type Submit struct{ Request Request }

// Withdraw removes a request that waits, and releases its grant if it already has one.
type Withdraw struct{ Request id.Request }

// Review applies what has become known of the contents of waiting requests: some are withdrawn, and others have other
// suspect parts, or are to run alone or not. No request is granted between these changes.
type Review struct {
	Withdrawn []id.Request
	Changed   []ReviewedRequest
}

// ReviewedRequest says how a waiting request is to run.
type ReviewedRequest struct {
	Request      id.Request
	RunAlone     bool
	SuspectParts []id.PromptPart
	Exclusive    bool
}

// RenewGrant reports a grant that an entry host holds. It extends the lifetime of the grant, and it makes a grant known
// to a dispatcher that did not issue it, for example after the dispatcher that did was lost.
type RenewGrant struct {
	Request Request
	Grant   Grant
	// Started says that the first event of the answer has arrived.
	Started bool
}

// AttemptStarted reports that the first event of an attempt's answer has arrived.
type AttemptStarted struct{ Attempt id.Attempt }

// FinishAttempt releases the grant of an attempt.
type FinishAttempt struct {
	Attempt id.Attempt
	// FailedEngine names the engine that failed the attempt; empty if none did.
	FailedEngine id.Engine
	// Fault says how that engine failed.
	Fault Fault
	// RetryAfter is how long the engine asked for backoff; zero if it did not.
	RetryAfter time.Duration
}

// Fault says how an engine failed an attempt.
type Fault int

// Faults.
const (
	// NoFault means that no engine failed.
	NoFault Fault = iota
	// Unreachable means that the engine could not be reached, or was lost while it ran the attempt.
	Unreachable
	// Unresponsive means that the engine stopped answering.
	Unresponsive
	// ErrorResponse means that the engine answered with an error, or that the answer was cut off although the engine
	// still responds.
	ErrorResponse
	// Full means that the engine can't take the attempt now: it has no room, has asked for backoff, or is leaving
	// according to a list that may be out of date.
	Full
	// Gone means that the engine is leaving, or that another server has its address.
	Gone
)

// Tick lets the machine act on the passing of time: it releases expired grants, refuses requests that have waited too
// long, and dispatches requests to engines that have become free.
type Tick struct{}

func (SetEngineProfile) event() {}
func (SetEngines) event()       {}
func (Submit) event()           {}
func (Withdraw) event()         {}
func (Review) event()           {}
func (RenewGrant) event()       {}
func (AttemptStarted) event()   {}
func (FinishAttempt) event()    {}
func (Tick) event()             {}

// EffectKind says what an effect does.
type EffectKind int

// Kinds of effects.
const (
	// Granted gives a request the engines that it runs on.
	Granted EffectKind = iota + 1
	// Refused ends a request that did not run.
	Refused
)

// Effect is an output of the machine.
type Effect struct {
	Kind    EffectKind
	Request id.Request
	// Grant is set if Kind is Granted.
	Grant Grant
	// Outcome is set if Kind is Refused.
	Outcome outcome.Outcome
}
