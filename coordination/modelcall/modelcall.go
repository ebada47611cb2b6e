// Package modelcall runs model requests. For each attempt it acquires a grant from a dispatcher, starts the request on
// the granted engines and passes their tokens to the caller. It resumes interrupted streams and retries failed attempts
// on other engines, continuing at the first token that was not delivered.
package modelcall

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// Call is a caller's request to a model.
type Call struct {
	RequestID    id.Request
	Organisation id.Organisation
	// Weight is the share of the engines that the organisation gets relative to other organisations that have requests
	// waiting.
	Weight float64
	// Priority is the priority of the organisation's plan, from 0 up; higher values go first.
	Priority int32
	Service  id.Service
	// Shards are the shards whose dispatchers are asked for a grant, in order of preference.
	Shards []id.Shard
	Model  id.Model
	// Body is the body of the caller's request. It is passed to engines unchanged.
	Body            []byte
	PromptTokens    id.Tokens
	MaxAnswerTokens id.Tokens
	Deadline        time.Time
	// PrefixHashes are hashes of the leading blocks of the prompt.
	PrefixHashes []uint64
	// ContentFingerprint identifies the content of the request among the requests of its organisation.
	ContentFingerprint id.Fingerprint
}

// Sink receives the tokens of an answer in order, each exactly once.
type Sink interface {
	// Begin receives the engines of an attempt before the attempt's first token. It is called once for each attempt
	// that was granted.
	Begin(engines []id.Engine)
	// Token receives the next token with its index in the whole answer. An error means that the caller has gone; the
	// request is then cancelled.
	Token(index int, text string) error
}

// Summary describes how a call was served.
type Summary struct {
	// Engines are the engines of the last attempt that was granted, with the leader first.
	Engines []id.Engine
	// Attempts is the number of attempts, including those that got no grant.
	Attempts int
	// TimeToFirstToken is the time from the start of the call to its first token; zero if there was none.
	TimeToFirstToken time.Duration
	DeliveredTokens  int
	// PromptTokens and FinishReason are as reported by the engine at the end of the answer.
	PromptTokens id.Tokens
	FinishReason string
}

// FrameKind says what a frame carries.
type FrameKind int

// Kinds of frames.
const (
	// FollowerReady says that a follower has processed its part of the prompt.
	FollowerReady FrameKind = iota + 1
	// Token carries one token of the answer.
	Token
	// AnswerEnd ends a complete answer.
	AnswerEnd
)

// Frame is one message of an attempt's stream.
type Frame struct {
	Attempt id.Attempt
	Kind    FrameKind
	// TokenIndex is the index of the token within the whole answer, and Text its text. Both are set in Token frames.
	TokenIndex int
	Text       string
	// TokenCount is the number of tokens of the whole answer. It is set in AnswerEnd frames, as are FinishReason and
	// PromptTokens.
	TokenCount   int
	FinishReason string
	PromptTokens id.Tokens
}

// StreamRequest asks one engine to start its part of an attempt or to resume the stream of the attempt.
type StreamRequest struct {
	Attempt  id.Attempt
	Address  string
	Model    id.Model
	Body     []byte
	Priority int32
	// FirstTokenIndex is the index of the first token to send.
	FirstTokenIndex int
	// PartTokens is the number of prompt tokens that the engine stores.
	PartTokens id.Tokens
	// Follower reports whether the engine only stores its part of the prompt; it then sends no tokens.
	Follower bool
	// PrefixHashes are hashes of the leading blocks of the prompt.
	PrefixHashes []uint64
}

// Stream is an open stream of frames from one engine.
type Stream interface {
	// Next waits for the next frame. It fails when the stream has ended or was interrupted.
	Next() (Frame, error)
	// Close releases the connection.
	Close()
}

// OpenResult is the result of opening a stream: either Stream or FailureCause is set.
type OpenResult struct {
	Stream Stream
	// FailureCause is Interrupted if the engine may have started the attempt. Any other cause means that it has not.
	FailureCause retry.Cause
	// Draining reports that the engine refused the attempt because it is leaving.
	Draining bool
}

// Health says whether an engine answers a probe.
type Health int

// Results of probing an engine.
const (
	// Healthy means that the engine answers.
	Healthy Health = iota + 1
	// Unresponsive means that the engine accepts connections but does not answer in time.
	Unresponsive
	// Unreachable means that the engine refuses connections.
	Unreachable
)

// Engines starts, resumes and cancels attempts on engines. It is safe for concurrent use.
type Engines interface {
	// Open starts an attempt and opens its stream.
	Open(ctx context.Context, request StreamRequest) OpenResult
	// Resume opens the stream of a running attempt again, beginning with the requested token.
	Resume(ctx context.Context, request StreamRequest) OpenResult
	// ProbeHealth asks an engine whether it answers. The context bounds the wait for the engine.
	ProbeHealth(ctx context.Context, address string) Health
	// CancelAttempt ends an attempt and releases the memory that it holds. It is idempotent.
	CancelAttempt(ctx context.Context, address string, attempt id.Attempt) error
}

// Dispatchers acquires grants from the dispatchers of shards and reports what becomes of them.
type Dispatchers interface {
	// Acquire waits until the dispatcher of a shard grants or refuses a request, or the context ends.
	Acquire(ctx context.Context, request shard.GrantRequest) (dispatch.Grant, outcome.Outcome)
	// ReportStarted reports the first token of an attempt.
	ReportStarted(attempt id.Attempt)
	// RevocationSignal returns a channel that is closed when the grant of an attempt is revoked.
	RevocationSignal(attempt id.Attempt) <-chan struct{}
	// ReportEnded reports the end of an attempt, which releases its grant.
	ReportEnded(ctx context.Context, ended shard.EndedGrant)
}

// Fleet collects observations of the health of engines.
type Fleet interface {
	// RecordObservation records what a request revealed about the health of an engine.
	RecordObservation(name string, observation fleet.Observation)
}
