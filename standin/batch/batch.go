// Package batch models the continuous batching of a model engine in steps.
// It reads no clock: its caller runs a step and advances its own time by the duration returned.
package batch

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Config sets the costs and sizes of an engine.
type Config struct {
	// BaseStepDuration is the shortest duration of a step.
	BaseStepDuration time.Duration
	// StepDurationPerStream is added for each decoding stream.
	StepDurationPerStream time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens processed in a second.
	PrefillTokensPerSecond float64
	// MaxPrefillTokensPerStep is the largest number of prompt tokens in one step.
	MaxPrefillTokensPerStep id.Tokens
	// MemoryTokens is the KV memory.
	MemoryTokens id.Tokens
	// BlockTokens is the size of a prefix cache block.
	BlockTokens id.Tokens
}

// DefaultConfig returns the costs of the target's engines.
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

// Stream is one attempt on the engine.
type Stream struct {
	ID id.Attempt
	// PromptTokens is the number of prompt tokens that this engine keeps.
	PromptTokens id.Tokens
	// AnswerTokens is the number of tokens in the whole answer.
	AnswerTokens id.Tokens
	// FirstIndex is the index of the first token to produce.
	FirstIndex id.Tokens
	// Priority orders prefill; higher values go first.
	Priority int32
	// Follower streams process their part of the prompt, then keep it until they are cancelled.
	Follower bool
	// PrefixBlocks holds hashes of the prompt's leading blocks.
	PrefixBlocks []uint64
}

// Event says what became of a stream in a step.
type Event struct {
	ID   id.Attempt
	Kind EventKind
	// Index is the position of a produced token.
	Index id.Tokens
}

// EventKind distinguishes events.
type EventKind int

// Kinds of events.
const (
	// PartPrefilled says that a follower's part is processed.
	PartPrefilled EventKind = iota + 1
	// TokenProduced says that a token was produced.
	TokenProduced
	// AnswerFinished says that the last token was produced and the memory is free.
	AnswerFinished
)

type streamState struct {
	Stream
	sequence          uint64
	unprocessedPrompt id.Tokens
	nextIndex         id.Tokens
}

func (ss *streamState) reservedTokens() id.Tokens {
	return ss.PromptTokens + ss.AnswerTokens
}

// Model is the state of one engine.
type Model struct {
	config             Config
	sequence           uint64
	waiting            []*streamState
	prefilling         []*streamState
	decoding           []*streamState
	processedFollowers []*streamState
	reservedTokens     id.Tokens
	blockLastUsed      map[uint64]uint64
	events             []Event
}

// New returns an idle engine.
func New(config Config) *Model {
	return &Model{config: config, blockLastUsed: map[uint64]uint64{}}
}

// Submit adds a stream. It waits in the engine until memory is free.
func (md *Model) Submit(stream Stream) {
	md.sequence++
	state := &streamState{Stream: stream, sequence: md.sequence, unprocessedPrompt: stream.PromptTokens, nextIndex: stream.FirstIndex}
	md.waiting = insertByPriority(md.waiting, state)
	md.admit()
}

// insertByPriority keeps streams ordered by priority, then by arrival.
func insertByPriority(streams []*streamState, added *streamState) []*streamState {
	index, _ := slices.BinarySearchFunc(streams, added, func(left, right *streamState) int {
		if left.Priority != right.Priority {
			return int(right.Priority) - int(left.Priority)
		}
		return int(int64(left.sequence) - int64(right.sequence))
	})
	return slices.Insert(streams, index, added)
}

// admit starts waiting streams in order while memory lasts.
func (md *Model) admit() {
	for len(md.waiting) > 0 {
		stream := md.waiting[0]
		if md.reservedTokens+stream.reservedTokens() > md.config.MemoryTokens {
			return
		}
		md.waiting = md.waiting[1:]
		md.reservedTokens += stream.reservedTokens()
		stream.unprocessedPrompt -= md.tokens(stream.Stream)
		md.prefilling = insertByPriority(md.prefilling, stream)
	}
}

// tokens returns the number of prompt tokens whose blocks are cached. The last token is always processed.
func (md *Model) tokens(stream Stream) id.Tokens {
	var tokens id.Tokens
	for _, block := range stream.PrefixBlocks {
		if _, cached := md.blockLastUsed[block]; !cached {
			break
		}
		tokens += md.config.BlockTokens
	}
	return min(tokens, stream.PromptTokens-1)
}

// Cancel removes a stream, frees its memory and reports whether it was there.
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

// Idle reports whether a step would do nothing.
func (md *Model) Idle() bool {
	return len(md.prefilling) == 0 && len(md.decoding) == 0
}

// Step runs one step and returns its duration and what became of streams at its end.
// The events are valid until the next step.
func (md *Model) Step() (time.Duration, []Event) {
	md.events = md.events[:0]
	decodingCount := len(md.decoding)
	md.runDecode()
	prefilledTokens := md.runPrefill()
	md.admit()
	prefillDuration := time.Duration(float64(prefilledTokens) / md.config.PrefillTokensPerSecond * float64(time.Second))
	return max(md.config.BaseStepDuration+time.Duration(decodingCount)*md.config.StepDurationPerStream, prefillDuration), md.events
}

func (md *Model) runDecode() {
	unfinished := md.decoding[:0]
	for _, stream := range md.decoding {
		md.produceToken(stream)
		if stream.nextIndex < stream.AnswerTokens {
			unfinished = append(unfinished, stream)
		}
	}
	md.decoding = unfinished
}

func (md *Model) produceToken(stream *streamState) {
	md.events = append(md.events, Event{ID: stream.ID, Kind: TokenProduced, Index: stream.nextIndex})
	stream.nextIndex++
	if stream.nextIndex >= stream.AnswerTokens {
		md.events = append(md.events, Event{ID: stream.ID, Kind: AnswerFinished, Index: stream.nextIndex})
		md.reservedTokens -= stream.reservedTokens()
	}
}

func (md *Model) runPrefill() id.Tokens {
	tokenBudget := md.config.MaxPrefillTokensPerStep
	for tokenBudget > 0 && len(md.prefilling) > 0 {
		stream := md.prefilling[0]
		processed := min(tokenBudget, stream.unprocessedPrompt)
		stream.unprocessedPrompt -= processed
		tokenBudget -= processed
		if stream.unprocessedPrompt > 0 {
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
		if stream.nextIndex < stream.AnswerTokens {
			md.decoding = append(md.decoding, stream)
		}
	}
	return md.config.MaxPrefillTokensPerStep - tokenBudget
}

// cacheBlocks caches blocks and evicts the oldest beyond a tenth of the memory.
func (md *Model) cacheBlocks(blocks []uint64) {
	for _, block := range blocks {
		md.sequence++
		md.blockLastUsed[block] = md.sequence
	}
	maxBlocks := int(md.config.MemoryTokens / 10 / md.config.BlockTokens)
	for len(md.blockLastUsed) > maxBlocks {
		md.evictLeastRecentBlock()
	}
}

func (md *Model) evictLeastRecentBlock() {
	var oldest uint64
	first := true
	for block, lastUsed := range md.blockLastUsed {
		if first || lastUsed < md.blockLastUsed[oldest] {
			oldest = block
			first = false
		}
	}
	delete(md.blockLastUsed, oldest)
}

// Cached reports whether a prefix block is in the cache.
func (md *Model) Cached(block uint64) bool {
	_, cached := md.blockLastUsed[block]
	return cached
}

// ReservedTokens returns the memory in use.
func (md *Model) ReservedTokens() id.Tokens {
	return md.reservedTokens
}

// PendingPromptTokens returns the prompt tokens that are not processed yet.
func (md *Model) PendingPromptTokens() id.Tokens {
	var pending id.Tokens
	for _, stream := range md.prefilling {
		pending += stream.unprocessedPrompt
	}
	for _, stream := range md.waiting {
		pending += stream.unprocessedPrompt
	}
	return pending
}

// RunningStreams returns the number of streams that hold memory.
func (md *Model) RunningStreams() int {
	return len(md.prefilling) + len(md.decoding) + len(md.processedFollowers)
}

// WaitingStreams returns the number of streams that wait for memory.
func (md *Model) WaitingStreams() int {
	return len(md.waiting)
}

// Reservations returns the memory held by each stream that runs.
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

// Reservation is the memory that one stream holds.
type Reservation struct {
	ID     id.Attempt
	Tokens id.Tokens
}
