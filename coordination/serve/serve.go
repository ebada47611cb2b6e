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
	Request      id.Request
	Organisation id.Organisation
	Weight       float64
	Priority     int32
	Service      id.Service
	// Shards are the shards to ask, in order of preference.
	Shards []id.Shard
	Model  id.Model
	// Body is the caller's request; it is passed to engines unchanged.
	Body        []byte
	Prompt      id.Tokens
	Answer      id.Tokens
	Deadline    time.Time
	Prefix      []uint64
	Fingerprint id.Fingerprint
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
	// FirstToken is the time to the first token.
	FirstToken   time.Duration
	Tokens       int
	PromptTokens id.Tokens
	FinishReason string
}

// FrameKind says what a frame carries.
type FrameKind int

// Kinds of frames.
const (
	// Ready says that a follower of a gang has processed its part.
	Ready FrameKind = iota + 1
	// Token carries one token.
	Token
	// End closes a whole answer.
	End
)

// Frame is one event of an attempt's stream.
type Frame struct {
	Attempt      id.Attempt
	Kind         FrameKind
	Index        int
	Text         string
	Count        int
	FinishReason string
	PromptTokens id.Tokens
}

// Start describes an attempt for one engine.
type Start struct {
	Attempt  id.Attempt
	Address  string
	Model    id.Model
	Body     []byte
	Priority int32
	// From is the index of the first token to send.
	From int
	// Part is the number of prompt tokens that the engine keeps.
	Part     id.Tokens
	Follower bool
	Prefix   []uint64
}

// Stream is an open stream of frames.
type Stream interface {
	// Next returns the next frame. It fails when the stream is cut.
	Next() (Frame, error)
	// Close releases the connection.
	Close()
}

// Opened is the result of opening a stream.
type Opened struct {
	Stream Stream
	// Cause is set when there is no stream.
	Cause retry.Cause
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
	// Gone engines refuse connections.
	Gone
)

// Engines runs attempts on engines.
type Engines interface {
	// Open starts an attempt.
	Open(ctx context.Context, st Start) Opened
	// Resume opens the stream of an attempt that runs again from an index on.
	Resume(ctx context.Context, st Start) Opened
	// Health asks an engine whether it answers.
	Health(ctx context.Context, address string) Health
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
