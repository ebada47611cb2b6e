// Package engine defines the messages that model engines and entry hosts exchange.
package engine

import (
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Paths of an engine's HTTP interface.
const (
	// AttemptsPath starts attempts (POST), lists them (GET) and, followed by an id, resumes (GET) or cancels one (DELETE).
	AttemptsPath = "/v1/attempts"
	// LoadPath reports load, with a lag.
	LoadPath = "/v1/load"
	// CachePath reports prefix cache events, late and with gaps.
	CachePath = "/v1/cache"
	// OrdersPath takes orders.
	OrdersPath = "/v1/orders"
	// KVPath is followed by an attempt id; GET exports the KV cache and PUT imports it.
	KVPath = "/v1/kv"
)

// Headers of a request that starts an attempt. Its body is the caller's, unchanged.
const (
	AttemptHeader  = "Attempt-Id"
	PriorityHeader = "Attempt-Priority"
	// ResumeHeader holds the index of the first token to send.
	ResumeHeader = "Resume-From"
	// PartHeader holds the number of prompt tokens that this engine of a gang keeps.
	PartHeader = "Part-Tokens"
	// FollowerHeader is set on every engine of a gang but the one that sends tokens.
	FollowerHeader = "Part-Follower"
	// ModelHeader names the model, so that the body need not be read for it.
	ModelHeader = "Attempt-Model"
	// PrefixHeader holds hashes of the prompt's leading blocks, separated by commas.
	PrefixHeader = "Prompt-Prefix"
)

// FrameKind says what a frame of an answer carries.
type FrameKind string

// Kinds of frames.
const (
	// FollowerReady says that a follower has processed its part of the prompt.
	FollowerReady FrameKind = "Ready"
	// Token carries one token of the answer.
	Token FrameKind = "Token"
	// AnswerEnd closes a whole answer.
	AnswerEnd FrameKind = "End"
)

// Frame is one event of an attempt's stream.
type Frame struct {
	Attempt id.Attempt
	Kind    FrameKind
	// Index is the position of the token in the answer, from 0.
	Index int    `json:",omitempty"`
	Text  string `json:",omitempty"`
	// Count is the number of tokens in the whole answer, in End frames.
	Count int `json:",omitempty"`
	// FinishReason is "stop" or "length", in End frames.
	FinishReason string `json:",omitempty"`
	// PromptTokens is the engine's own count, in End frames.
	PromptTokens id.Tokens `json:",omitempty"`
}

// MemoryHolder is one attempt that holds memory of an engine.
type MemoryHolder struct {
	Attempt id.Attempt
	Tokens  id.Tokens
}

// AttemptList lists what holds memory of an engine.
type AttemptList struct {
	Attempts []MemoryHolder
}

// LoadReport is an engine's report of its load.
type LoadReport struct {
	Engine id.Engine
	// AgeMillis is how old the figures are.
	AgeMillis int64
	// Incarnation changes when the engine restarts.
	Incarnation int64
	Capacity    id.Tokens
	Held        id.Tokens
	// Pending counts prompt tokens that are not processed yet.
	Pending id.Tokens
	Running int
	Waiting int
	Models  []id.Model
	// ModelSlots is the number of models that fit beside the KV memory.
	ModelSlots int
	Draining   bool
}

// CacheEvent says that an engine's prefix cache gained or lost a block.
type CacheEvent struct {
	Sequence int64
	Block    uint64
	Evicted  bool
}

// CacheEvents answers a request for cache events.
type CacheEvents struct {
	Events []CacheEvent
	Next   int64
}

// OrderKind says what an order changes.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "LoadModel"
	UnloadModel OrderKind = "UnloadModel"
)

// Order changes what an engine serves. Orders are idempotent.
type Order struct {
	Kind         OrderKind
	Model        id.Model
	FencingToken id.Offset
}

// RefusalReason says why an engine did not start an attempt.
type RefusalReason string

// Reasons of refusals. A refused attempt did not run.
const (
	Draining     RefusalReason = "Draining"
	OutOfMemory  RefusalReason = "OutOfMemory"
	UnknownModel RefusalReason = "UnknownModel"
	StaleToken   RefusalReason = "StaleToken"
)

// Refusal is the body of an answer with status 409 or 503.
type Refusal struct {
	Reason RefusalReason
}
