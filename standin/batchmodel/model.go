// Package batchmodel models the continuous batching of a model engine. Each step decodes one token of every stream in
// the batch and prefills a limited number of prompt tokens. The model reads no clock: the caller runs a step and
// advances its own time by the returned duration.
package batchmodel

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Config sets the step costs and memory sizes of an engine.
type Config struct {
	// BaseStepDuration is the duration of a step without decoding streams, unless its prefill takes longer.
	BaseStepDuration time.Duration
	// StepDurationPerStream is added to the duration of a step for each decoding stream.
	StepDurationPerStream time.Duration
	// PrefillTokensPerSecond is the rate at which prompt tokens are processed.
	PrefillTokensPerSecond float64
	// MaxPrefillTokensPerStep is the largest number of prompt tokens processed in one step.
	MaxPrefillTokensPerStep id.Tokens
	// MemoryTokens is the size of the KV memory in tokens.
	MemoryTokens id.Tokens
	// BlockTokens is the size of a block of the prefix cache in tokens.
	BlockTokens id.Tokens
}

// DefaultConfig returns the costs of the engines that hibiscuslever is meant for.
func DefaultConfig() Config {
	return Config{
		BaseStepDuration:        12 * time.Millisecond,
		StepDurationPerStream:   250 * time.Microsecond,
		PrefillTokensPerSecond:  80_000,
		MaxPrefillTokensPerStep: 2048,
		MemoryTokens:            450_000,
		BlockTokens:             256,
	}
}

// Stream is one attempt to run a request on the engine.
type Stream struct {
	ID id.Attempt
	// PromptTokens is the number of prompt tokens that this engine processes and keeps in memory.
	PromptTokens id.Tokens
	// AnswerTokens is the number of tokens in the whole answer, including those before FirstTokenIndex.
	AnswerTokens id.Tokens
	// FirstTokenIndex is the index of the first token to produce. It is above 0 if the stream resumes an earlier
	// attempt.
	FirstTokenIndex id.Tokens
	// Priority orders admission and prefill; higher values go first.
	Priority int32
	// Follower marks a stream that holds part of a prompt for an answer that another engine produces: it processes its
	// part, then keeps it in memory until the stream is cancelled.
	Follower bool
	// PrefixBlocks are the hashes of the prompt's leading blocks, in order.
	PrefixBlocks []uint64
}

// Event is progress of a stream in a step.
type Event struct {
	ID   id.Attempt
	Kind EventKind
	// TokenIndex is the position of a produced token. For AnswerFinished it is the position after the last token.
	TokenIndex id.Tokens
}

// EventKind is a kind of progress.
type EventKind int

// Kinds of events.
const (
	// PartPrefilled means that a follower's part of the prompt has been processed.
	PartPrefilled EventKind = iota + 1
	// TokenProduced means that a token of the answer was produced.
	TokenProduced
	// AnswerFinished means that the last token was produced and the stream's memory was released.
	AnswerFinished
)

// streamState is a submitted stream and its progress.
type streamState struct {
	Stream
	// sequence orders streams of the same priority by arrival.
	sequence uint64
	// unprocessedPromptTokens is the number of prompt tokens that still have to be processed.
	unprocessedPromptTokens id.Tokens
	// nextTokenIndex is the index of the next token to produce.
	nextTokenIndex id.Tokens
}

// reservedTokens returns the memory that the stream reserves on admission: its prompt and its whole answer.
func (ss *streamState) reservedTokens() id.Tokens {
	return ss.PromptTokens + ss.AnswerTokens
}

// Model is the state of one engine. It is not safe for concurrent use.
type Model struct {
	config Config
	// sequence numbers the arrivals of streams and the uses of cached blocks.
	sequence uint64
	// waiting streams have no memory yet. They are sorted by priority and arrival, and so are prefilling ones.
	waiting    []*streamState
	prefilling []*streamState
	decoding   []*streamState
	// processedFollowers have processed their part of a prompt and keep it in memory.
	processedFollowers []*streamState
	reservedTokens     id.Tokens
	// blockLastUsed holds the cached prefix blocks with the sequence number of their last use.
	blockLastUsed map[uint64]uint64
	// events are those of the current step; the slice is reused by the next one.
	events []Event
}

// New returns a model of an idle engine.
func New(config Config) *Model {
	return &Model{config: config, blockLastUsed: map[uint64]uint64{}}
}

// Submit adds a stream. It waits until its prompt and answer fit into the memory.
func (md *Model) Submit(stream Stream) {
	md.sequence++
	state := &streamState{Stream: stream, sequence: md.sequence, unprocessedPromptTokens: stream.PromptTokens, nextTokenIndex: stream.FirstTokenIndex}
	md.waiting = insertByPriority(md.waiting, state)
	md.admit()
}

// insertByPriority inserts a stream into a slice that is sorted by priority, highest first, and then by arrival.
func insertByPriority(streams []*streamState, added *streamState) []*streamState {
	index, _ := slices.BinarySearchFunc(streams, added, func(left, right *streamState) int {
		if left.Priority != right.Priority {
			return int(right.Priority) - int(left.Priority)
		}
		return int(int64(left.sequence) - int64(right.sequence))
	})
	return slices.Insert(streams, index, added)
}

// admit reserves memory for waiting streams and starts their prefill. It stops at the first stream that does not fit,
// so that smaller streams behind it do not overtake it.
func (md *Model) admit() {
	for len(md.waiting) > 0 {
		stream := md.waiting[0]
		if md.reservedTokens+stream.reservedTokens() > md.config.MemoryTokens {
			return
		}
		md.waiting = md.waiting[1:]
		md.reservedTokens += stream.reservedTokens()
		stream.unprocessedPromptTokens -= md.cachedPrefixTokens(stream.Stream)
		md.prefilling = insertByPriority(md.prefilling, stream)
	}
}

// cachedPrefixTokens returns the number of leading prompt tokens that need no prefill because their blocks are cached.
// It never covers the last prompt token, which is always processed.
func (md *Model) cachedPrefixTokens(stream Stream) id.Tokens {
	var tokens id.Tokens
	for _, block := range stream.PrefixBlocks {
		if _, cached := md.blockLastUsed[block]; !cached {
			break
		}
		tokens += md.config.BlockTokens
	}
	return min(tokens, stream.PromptTokens-1)
}

// Cancel removes a stream, releases its memory and reports whether the stream existed.
func (md *Model) Cancel(attempt id.Attempt) bool {
	for _, streams := range []*[]*streamState{&md.waiting, &md.prefilling, &md.decoding, &md.processedFollowers} {
		index := slices.IndexFunc(*streams, func(stream *streamState) bool { return stream.ID == attempt })
		if index < 0 {
			continue
		}
		if streams != &md.waiting {
			md.reservedTokens -= (*streams)[index].reservedTokens()
		}
		*streams = slices.Delete(*streams, index, index+1)
		md.admit()
		return true
	}
	return false
}

// Idle reports whether a step would do nothing, because no stream is prefilling or decoding.
func (md *Model) Idle() bool {
	return len(md.prefilling) == 0 && len(md.decoding) == 0
}

// Step runs one step and returns its duration and its events, which occur at its end. The slice of events is valid
// until the next step.
func (md *Model) Step() (time.Duration, []Event) {
	md.events = md.events[:0]
	decodingCount := len(md.decoding)
	md.runDecode()
	prefilledTokens := md.runPrefill()
	md.admit()
	prefillDuration := time.Duration(float64(prefilledTokens) / md.config.PrefillTokensPerSecond * float64(time.Second))
	return max(md.config.BaseStepDuration+time.Duration(decodingCount)*md.config.StepDurationPerStream, prefillDuration), md.events
}

// runDecode produces one token of each decoding stream.
func (md *Model) runDecode() {
	unfinished := md.decoding[:0]
	for _, stream := range md.decoding {
		md.produceToken(stream)
		if stream.nextTokenIndex < stream.AnswerTokens {
			unfinished = append(unfinished, stream)
		}
	}
	md.decoding = unfinished
}

// produceToken produces the next token of a stream. After the last one it releases the memory; the caller then removes
// the stream from its slice.
func (md *Model) produceToken(stream *streamState) {
	md.events = append(md.events, Event{ID: stream.ID, Kind: TokenProduced, TokenIndex: stream.nextTokenIndex})
	stream.nextTokenIndex++
	if stream.nextTokenIndex >= stream.AnswerTokens {
		md.events = append(md.events, Event{ID: stream.ID, Kind: AnswerFinished, TokenIndex: stream.nextTokenIndex})
		md.reservedTokens -= stream.reservedTokens()
	}
}

// runPrefill processes prompt tokens of prefilling streams in order, up to the limit of a step, and returns their
// number. A stream whose prompt is complete produces its first token in the same step, unless it is a follower.
func (md *Model) runPrefill() id.Tokens {
	tokenBudget := md.config.MaxPrefillTokensPerStep
	for tokenBudget > 0 && len(md.prefilling) > 0 {
		stream := md.prefilling[0]
		processedTokens := min(tokenBudget, stream.unprocessedPromptTokens)
		stream.unprocessedPromptTokens -= processedTokens
		tokenBudget -= processedTokens
		if stream.unprocessedPromptTokens > 0 {
			break
		}
		md.prefilling = md.prefilling[1:]
		md.cacheBlocks(stream.PrefixBlocks)
		if stream.Follower {
			md.processedFollowers = append(md.processedFollowers, stream)
			md.events = append(md.events, Event{ID: stream.ID, Kind: PartPrefilled})
			continue
		}
		md.produceToken(stream)
		if stream.nextTokenIndex < stream.AnswerTokens {
			md.decoding = append(md.decoding, stream)
		}
	}
	return md.config.MaxPrefillTokensPerStep - tokenBudget
}

// cacheBlocks marks blocks as cached and used now. The cache may fill a tenth of the memory; beyond that the least
// recently used blocks are evicted.
func (md *Model) cacheBlocks(blocks []uint64) {
	for _, block := range blocks {
		md.sequence++
		md.blockLastUsed[block] = md.sequence
	}
	maxBlocks := int(md.config.MemoryTokens / 10 / md.config.BlockTokens)
	for len(md.blockLastUsed) > maxBlocks {
		md.evictLeastRecentlyUsedBlock()
	}
}

// evictLeastRecentlyUsedBlock drops the least recently used block.
func (md *Model) evictLeastRecentlyUsedBlock() {
	var leastRecentlyUsed uint64
	first := true
	for block, lastUsed := range md.blockLastUsed {
		if first || lastUsed < md.blockLastUsed[leastRecentlyUsed] {
			leastRecentlyUsed = block
			first = false
		}
	}
	delete(md.blockLastUsed, leastRecentlyUsed)
}

// Cached reports whether a block is in the prefix cache.
func (md *Model) Cached(block uint64) bool {
	_, cached := md.blockLastUsed[block]
	return cached
}

// ReservedTokens returns the memory that admitted streams have reserved.
func (md *Model) ReservedTokens() id.Tokens {
	return md.reservedTokens
}

// PendingPromptTokens returns the number of prompt tokens that still have to be processed, including those of waiting
// streams.
func (md *Model) PendingPromptTokens() id.Tokens {
	var pendingTokens id.Tokens
	for _, stream := range md.prefilling {
		pendingTokens += stream.unprocessedPromptTokens
	}
	for _, stream := range md.waiting {
		pendingTokens += stream.unprocessedPromptTokens
	}
	return pendingTokens
}

// RunningStreams returns the number of streams that have reserved memory.
func (md *Model) RunningStreams() int {
	return len(md.prefilling) + len(md.decoding) + len(md.processedFollowers)
}

// WaitingStreams returns the number of streams that wait for memory.
func (md *Model) WaitingStreams() int {
	return len(md.waiting)
}

// Reservations returns the memory that each stream has reserved. Waiting streams are listed with 0 tokens.
func (md *Model) Reservations() []Reservation {
	var reservations []Reservation
	for _, streams := range [][]*streamState{md.prefilling, md.decoding, md.processedFollowers} {
		for _, stream := range streams {
			reservations = append(reservations, Reservation{ID: stream.ID, Tokens: stream.reservedTokens()})
		}
	}
	for _, stream := range md.waiting {
		reservations = append(reservations, Reservation{ID: stream.ID})
	}
	return reservations
}

// Reservation is the memory that a stream has reserved.
type Reservation struct {
	ID     id.Attempt
	Tokens id.Tokens
}
