// Package batch decides, for one service of engines that work in passes, which request runs where and when.
// The machine is pure: it reads no clock, starts no goroutine and does no I/O.
//
// Load patterns that it answers: short prompts beside long ones (short prompts are packed onto few engines, long
// prompts are read in parts by the others), bursts of one length (the border between the two moves with what runs),
// and more work than the engines can do (what can still be on time goes first, what can't be served is refused).
package batch

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// Request is a request that waits for a place.
type Request struct {
	ID           id.Request
	Organisation id.Organisation
	PromptTokens       id.Tokens
	// MaxAnswerTokens is the longest answer.
	MaxAnswerTokens id.Tokens
	// FirstEventTarget is the time from the arrival of the client's request to the first event that is on time.
	FirstEventTarget time.Duration
	// MaxPause is the longest pause between events that is on time.
	MaxPause time.Duration
	// WaitLimit is the time from arrival after which the client has given up waiting for the first event.
	WaitLimit time.Duration
	// ArrivedAt is when the entry host read the request.
	ArrivedAt time.Time
	// Priority orders kinds of requests; 0 goes first.
	Priority int
	// AttemptNumber counts the attempts of the request; later ones continue interrupted work.
	AttemptNumber int
	// AvoidedEngines names engines that failed the request.
	AvoidedEngines []id.Engine
	// BackoffUntil holds until when engines asked the entry host to send them nothing.
	BackoffUntil map[id.Engine]time.Time
	// ContentFingerprint identifies what is asked; zero if that is not known.
	ContentFingerprint id.Fingerprint
	// RunAlone asks for engines that run nothing else and get nothing else meanwhile, because the content may have crashed
	// some. Such a content runs once at a time.
	RunAlone bool
}

// Part is one engine of a grant.
type Part struct {
	Engine  id.Engine
	Address string
	// Ticket names memory that is set aside on the engine, empty if none is.
	Ticket string
	// MemoryTokens is the memory that the request takes there. With a ticket it is to be set aside before the request is sent.
	MemoryTokens id.Tokens
}

// Grant is the permission to run an attempt. The first part's engine answers, the others help to read the prompt.
type Grant struct {
	Attempt id.Attempt
	Parts   []Part
	// Urgency orders requests inside an engine; 0 goes first.
	Urgency int
	// PredictedFirstEvent is the predicted time until the first event.
	PredictedFirstEvent time.Duration
}

// EngineSpec describes an engine.
type EngineSpec struct {
	Engine  id.Engine
	Address string
	StartedUnixMilli    int64
	// Leaving engines get nothing new.
	Leaving bool
}

// Event is an input of the machine.
type Event interface{ event() }

// SetEngineProfile sets how the engines of the service spend time and memory.
type SetEngineProfile struct{ Profile route.Engine }

// SetEngines replaces the engines.
type SetEngines struct{ Engines []EngineSpec }

// Submit asks for a place. Submitting a request that waits or holds a grant again is answered alike.
type Submit struct{ Request Request }

// Withdraw ends a request that waits, or whose grant was not taken.
type Withdraw struct{ Request id.Request }

// RenewGrant reports a grant that an entry host holds, to renew it or after another dispatcher has gone.
type RenewGrant struct {
	Request Request
	Grant   Grant
	// Started says that the first event has arrived.
	Started bool
}

// AttemptStarted says that the first event of an attempt has arrived.
type AttemptStarted struct{ Attempt id.Attempt }

// FinishAttempt ends a grant.
type FinishAttempt struct {
	Attempt id.Attempt
	// FailedEngine names an engine that failed the attempt, if one did.
	FailedEngine id.Engine
	// Fault says how it failed.
	Fault Fault
	// RetryAfter is how long the engine asked to be left alone; zero if it did not.
	RetryAfter time.Duration
}

// Fault says how an engine failed an attempt.
type Fault int

// Faults.
const (
	// NoFault means that no engine failed.
	NoFault Fault = iota
	// Unreachable engines took no connection, or lost it.
	Unreachable
	// Unresponsive engines stopped answering.
	Unresponsive
	// ErrorResponse engines answered with an error of their own.
	ErrorResponse
	// Full engines said that they have no room.
	Full
	// Gone engines have another server at their address, or said that they are leaving.
	Gone
)

// Tick lets time pass.
type Tick struct{}

func (SetEngineProfile) event() {}
func (SetEngines) event()     {}
func (Submit) event()     {}
func (Withdraw) event()   {}
func (RenewGrant) event()       {}
func (AttemptStarted) event()    {}
func (FinishAttempt) event()     {}
func (Tick) event()       {}

// EffectKind distinguishes effects.
type EffectKind int

// Kinds of effects.
const (
	// Granted gives a request its place.
	Granted EffectKind = iota + 1
	// Refused ends a request that did not run.
	Refused
)

// Effect is an output of the machine.
type Effect struct {
	Kind    EffectKind
	Request id.Request
	Grant   Grant
	Outcome outcome.Outcome
}
