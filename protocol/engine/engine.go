// Package engine defines the messages that model engines and entry hosts exchange.
package engine

import (
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Paths of an engine's HTTP interface.
const (
	// AttemptsPath starts attempts (POST), lists them (GET) and, followed by an id, resumes (GET) or cancels one
	// (DELETE).
	AttemptsPath = "/v1/attempts"
	// LoadPath returns a LoadReport, which may be outdated.
	LoadPath = "/v1/load"
	// CachePath returns events of the prefix cache. They may be late or incomplete.
	CachePath = "/v1/cache"
	// OrdersPath accepts orders.
	OrdersPath = "/v1/orders"
	// KVPath is followed by an attempt id; GET exports the KV cache and PUT imports it.
	KVPath = "/v1/kv"
)

// Header fields of a request that starts an attempt. The body of the request is the caller's body, unchanged.
const (
	// AttemptHeader holds the ID of the attempt.
	AttemptHeader = "Attempt-Id"
	// PriorityHeader holds the priority of the attempt.
	PriorityHeader = "Attempt-Priority"
	// ResumeHeader holds the index of the first token to send.
	ResumeHeader = "Resume-From"
	// PartHeader holds the number of prompt tokens that this engine stores. A prompt that is too long for one engine is
	// divided among a gang of engines.
	PartHeader = "Part-Tokens"
	// FollowerHeader is set for every engine of a gang except the one that sends tokens.
	FollowerHeader = "Part-Follower"
	// ModelHeader holds the model, so that the engine need not read the body to find it.
	ModelHeader = "Attempt-Model"
	// PrefixHeader holds hashes of the prompt's leading blocks, separated by commas.
	PrefixHeader = "Prompt-Prefix"
)

// FrameKind says what a frame of an attempt's stream contains.
type FrameKind string

// Kinds of frames.
const (
	// FollowerReady means that a follower has processed its part of the prompt.
	FollowerReady FrameKind = "Ready"
	// Token contains one token of the answer.
	Token FrameKind = "Token"
	// AnswerEnd follows the last token of a complete answer.
	AnswerEnd FrameKind = "End"
)

// Frame is one event of an attempt's stream.
type Frame struct {
	Attempt id.Attempt
	Kind    FrameKind
	// Index is the position of the token in the answer, from 0.
	Index int    `json:",omitempty"`
	Text  string `json:",omitempty"`
	// Count is the number of tokens in the whole answer. It is set in AnswerEnd frames.
	Count int `json:",omitempty"`
	// FinishReason is "stop" or "length". It is set in AnswerEnd frames.
	FinishReason string `json:",omitempty"`
	// PromptTokens is the engine's count of the prompt's tokens. It is set in AnswerEnd frames.
	PromptTokens id.Tokens `json:",omitempty"`
}

// MemoryHolder is an attempt that occupies memory of an engine.
type MemoryHolder struct {
	Attempt id.Attempt
	// Tokens is the occupied memory.
	Tokens id.Tokens
}

// AttemptList lists the attempts that occupy memory of an engine.
type AttemptList struct {
	Attempts []MemoryHolder
}

// LoadReport is an engine's report of its load.
type LoadReport struct {
	Engine id.Engine
	// AgeMillis is the age of the report.
	AgeMillis int64
	// Incarnation changes when the engine restarts.
	Incarnation int64
	// Capacity and Held are the total and the occupied memory in tokens.
	Capacity id.Tokens
	Held     id.Tokens
	// Pending is the number of prompt tokens that are not processed yet.
	Pending id.Tokens
	// Running and Waiting are numbers of attempts.
	Running int
	Waiting int
	Models  []id.Model
	// ModelSlots is the number of models that fit into the engine beside the memory of the KV cache.
	ModelSlots int
	Draining   bool
}

// CacheEvent says that an engine's prefix cache stored or evicted a block.
type CacheEvent struct {
	Sequence int64
	// Block is the hash of the block.
	Block   uint64
	Evicted bool
}

// CacheEvents is the response to a request for cache events. Next is the sequence number to continue from.
type CacheEvents struct {
	Events []CacheEvent
	Next   int64
}

// OrderKind says what an order asks for.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "LoadModel"
	UnloadModel OrderKind = "UnloadModel"
)

// Order tells an engine to load or unload a model. Orders are idempotent.
type Order struct {
	Kind         OrderKind
	Model        id.Model
	FencingToken id.Offset
}

// RefusalReason says why an engine refused an attempt or an order.
type RefusalReason string

// Reasons for refusals. A refused attempt did not run.
const (
	Draining     RefusalReason = "Draining"
	OutOfMemory  RefusalReason = "OutOfMemory"
	UnknownModel RefusalReason = "UnknownModel"
	// StaleToken means that the fencing token of an order is outdated.
	StaleToken RefusalReason = "StaleToken"
)

// Refusal is the body of a response with status 409 to an order, or with status 503 to an attempt or to a request to a
// plain service.
type Refusal struct {
	Reason RefusalReason
}
