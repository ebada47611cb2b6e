// Package serve runs model requests: it acquires grants, follows the engines' streams, resumes and retries.
package serve

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

// Call is one model request of a caller.
type Call struct {
	RequestID      id.Request
	Organisation id.Organisation
	Weight       float64
	Priority     int32
	Service      id.Service
	// Shards are the shards to ask, in order of preference.
	Shards []id.Shard
	Model  id.Model
	// Body is the caller's request; it is passed to engines unchanged.
	Body        []byte
	PromptTokens      id.Tokens
	MaxAnswerTokens      id.Tokens
	Deadline    time.Time
	PrefixHashes      []uint64
	ContentFingerprint id.Fingerprint
}

// Sink receives the tokens of an answer in order, each exactly once.
type Sink interface {
	// Begin names the engines of an attempt before its first token.
	Begin(engines []id.Engine)
	// Token passes one token on. An error means that the caller is gone.
	Token(index int, text string) error
}

// Summary describes how a request was served.
type Summary struct {
	// Engines names the engines of the last attempt.
	Engines  []id.Engine
	Attempts int
	// TimeToFirstToken is the time to the first token.
	TimeToFirstToken   time.Duration
	DeliveredTokens       int
	PromptTokens id.Tokens
	FinishReason string
}

// FrameKind says what a frame carries.
type FrameKind int

// Kinds of frames.
const (
	// FollowerReady says that a follower of a gang has processed its part.
	FollowerReady FrameKind = iota + 1
	// Token carries one token.
	Token
	// AnswerEnd closes a whole answer.
	AnswerEnd
)

// Frame is one event of an attempt's stream.
type Frame struct {
	Attempt      id.Attempt
	Kind         FrameKind
	TokenIndex        int
	Text         string
	TokenCount        int
	FinishReason string
	PromptTokens id.Tokens
}

// StreamRequest describes an attempt for one engine.
type StreamRequest struct {
	Attempt  id.Attempt
	Address  string
	Model    id.Model
	Body     []byte
	Priority int32
	// FirstToken is the index of the first token to send.
	FirstToken int
	// PartTokens is the number of prompt tokens that the engine keeps.
	PartTokens     id.Tokens
	Follower bool
	PrefixHashes   []uint64
}

// Stream is an open stream of frames.
type Stream interface {
	// Next returns the next frame. It fails when the stream is cut.
	Next() (Frame, error)
	// Close releases the connection.
	Close()
}

// OpenResult is the result of opening a stream.
type OpenResult struct {
	Stream Stream
	// FailureCause is set when there is no stream.
	FailureCause retry.Cause
	// Draining says that the engine refused because it is leaving.
	Draining bool
}

// Health says whether an engine answers.
type Health int

// Health of an engine.
const (
	// Healthy engines answer.
	Healthy Health = iota + 1
	// Unresponsive engines accept connections but do not answer in time.
	Unresponsive
	// Unreachable engines refuse connections.
	Unreachable
)

// Engines runs attempts on engines.
type Engines interface {
	// Open starts an attempt.
	Open(ctx context.Context, st StreamRequest) OpenResult
	// Resume opens the stream of an attempt that runs again from an index on.
	Resume(ctx context.Context, st StreamRequest) OpenResult
	// ProbeHealth asks an engine whether it answers.
	ProbeHealth(ctx context.Context, address string) Health
	// CancelAttempt frees what an attempt holds. It is idempotent.
	CancelAttempt(ctx context.Context, address string, att id.Attempt) error
}

// Dispatchers gives grants and takes their ends.
type Dispatchers interface {
	// Acquire waits for a grant or a refusal.
	Acquire(ctx context.Context, ask shard.GrantRequest) (dispatch.Grant, outcome.Outcome)
	// ReportStarted notes the first token of an attempt.
	ReportStarted(att id.Attempt)
	// Revoked is closed when a grant is taken back.
	Revoked(att id.Attempt) <-chan struct{}
	// ReportEnded reports the end of an attempt.
	ReportEnded(ctx context.Context, en shard.EndedGrant)
}

// Fleet takes evidence about engines.
type Fleet interface {
	// RecordEvidence records evidence about a back end.
	RecordEvidence(name string, ev fleet.Evidence)
}
