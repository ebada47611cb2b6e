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
		BaseStepDuration:         12 * time.Millisecond,
		StepDurationPerStream:       250 * time.Microsecond,
		PrefillTokensPerSecond: 80_000,
		MaxPrefillTokensPerStep:   2048,
		MemoryTokens:           450_000,
		BlockTokens:      256,
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

type running struct {
	Stream
	sequence uint64
	left     id.Tokens
	produced id.Tokens
}

func (rn *running) reserved() id.Tokens {
	return rn.PromptTokens + rn.AnswerTokens
}

// Model is the state of one engine.
type Model struct {
	config   Config
	sequence uint64
	waiting  []*running
	prefill  []*running
	decode   []*running
	kept     []*running
	held     id.Tokens
	cached   map[uint64]uint64
	events   []Event
}

// New returns an idle engine.
func New(config Config) *Model {
	return &Model{config: config, cached: map[uint64]uint64{}}
}

// Submit adds a stream. It waits in the engine until memory is free.
func (md *Model) Submit(st Stream) {
	md.sequence++
	rn := &running{Stream: st, sequence: md.sequence, left: st.PromptTokens, produced: st.FirstIndex}
	md.waiting = insert(md.waiting, rn)
	md.admit()
}

// insert keeps streams ordered by priority, then by arrival.
func insert(streams []*running, rn *running) []*running {
	at, _ := slices.BinarySearchFunc(streams, rn, func(left, right *running) int {
		if left.Priority != right.Priority {
			return int(right.Priority) - int(left.Priority)
		}
		return int(int64(left.sequence) - int64(right.sequence))
	})
	return slices.Insert(streams, at, rn)
}

// admit starts waiting streams in order while memory lasts.
func (md *Model) admit() {
	for len(md.waiting) > 0 {
		rn := md.waiting[0]
		if md.held+rn.reserved() > md.config.MemoryTokens {
			return
		}
		md.waiting = md.waiting[1:]
		md.held += rn.reserved()
		rn.left -= md.hit(rn.Stream)
		md.prefill = insert(md.prefill, rn)
	}
}

// hit returns the number of prompt tokens whose blocks are cached. The last token is always processed.
func (md *Model) hit(st Stream) id.Tokens {
	var hit id.Tokens
	for _, block := range st.PrefixBlocks {
		if _, ok := md.cached[block]; !ok {
			break
		}
		hit += md.config.BlockTokens
	}
	return min(hit, st.PromptTokens-1)
}

// Cancel removes a stream, frees its memory and reports whether it was there.
func (md *Model) Cancel(att id.Attempt) bool {
	for _, streams := range []*[]*running{&md.waiting, &md.prefill, &md.decode, &md.kept} {
		at := slices.IndexFunc(*streams, func(rn *running) bool { return rn.ID == att })
		if at < 0 {
			continue
		}
		if streams != &md.waiting {
			md.held -= (*streams)[at].reserved()
		}
		*streams = slices.Delete(*streams, at, at+1)
		md.admit()
		return true
	}
	return false
}

// Idle reports whether a step would do nothing.
func (md *Model) Idle() bool {
	return len(md.prefill) == 0 && len(md.decode) == 0
}

// Step runs one step and returns its duration and what became of streams at its end.
// The events are valid until the next step.
func (md *Model) Step() (time.Duration, []Event) {
	md.events = md.events[:0]
	decoding := len(md.decode)
	md.stepDecode()
	processed := md.stepPrefill()
	md.admit()
	compute := time.Duration(float64(processed) / md.config.PrefillTokensPerSecond * float64(time.Second))
	return max(md.config.BaseStepDuration+time.Duration(decoding)*md.config.StepDurationPerStream, compute), md.events
}

func (md *Model) stepDecode() {
	kept := md.decode[:0]
	for _, rn := range md.decode {
		md.produce(rn)
		if rn.produced < rn.AnswerTokens {
			kept = append(kept, rn)
		}
	}
	md.decode = kept
}

func (md *Model) produce(rn *running) {
	md.events = append(md.events, Event{ID: rn.ID, Kind: TokenProduced, Index: rn.produced})
	rn.produced++
	if rn.produced >= rn.AnswerTokens {
		md.events = append(md.events, Event{ID: rn.ID, Kind: AnswerFinished, Index: rn.produced})
		md.held -= rn.reserved()
	}
}

func (md *Model) stepPrefill() id.Tokens {
	budget := md.config.MaxPrefillTokensPerStep
	for budget > 0 && len(md.prefill) > 0 {
		rn := md.prefill[0]
		taken := min(budget, rn.left)
		rn.left -= taken
		budget -= taken
		if rn.left > 0 {
			break
		}
		md.prefill = md.prefill[1:]
		md.remember(rn.PrefixBlocks)
		if rn.Follower {
			md.kept = append(md.kept, rn)
			md.events = append(md.events, Event{ID: rn.ID, Kind: PartPrefilled})
			continue
		}
		md.produce(rn)
		if rn.produced < rn.AnswerTokens {
			md.decode = append(md.decode, rn)
		}
	}
	return md.config.MaxPrefillTokensPerStep - budget
}

// remember caches blocks and evicts the oldest beyond a tenth of the memory.
func (md *Model) remember(prefix []uint64) {
	for _, block := range prefix {
		md.sequence++
		md.cached[block] = md.sequence
	}
	limit := int(md.config.MemoryTokens / 10 / md.config.BlockTokens)
	for len(md.cached) > limit {
		md.evict()
	}
}

func (md *Model) evict() {
	var oldest uint64
	first := true
	for block, used := range md.cached {
		if first || used < md.cached[oldest] {
			oldest = block
			first = false
		}
	}
	delete(md.cached, oldest)
}

// Cached reports whether a prefix block is in the cache.
func (md *Model) Cached(block uint64) bool {
	_, ok := md.cached[block]
	return ok
}

// ReservedTokens returns the memory in use.
func (md *Model) ReservedTokens() id.Tokens {
	return md.held
}

// PendingPromptTokens returns the prompt tokens that are not processed yet.
func (md *Model) PendingPromptTokens() id.Tokens {
	var pending id.Tokens
	for _, rn := range md.prefill {
		pending += rn.left
	}
	for _, rn := range md.waiting {
		pending += rn.left
	}
	return pending
}

// RunningStreams returns the number of streams that hold memory.
func (md *Model) RunningStreams() int {
	return len(md.prefill) + len(md.decode) + len(md.kept)
}

// WaitingStreams returns the number of streams that wait for memory.
func (md *Model) WaitingStreams() int {
	return len(md.waiting)
}

// Reservations returns the memory held by each stream that runs.
func (md *Model) Reservations() []Reservation {
	var holdings []Reservation
	for _, streams := range [][]*running{md.prefill, md.decode, md.kept} {
		for _, rn := range streams {
			holdings = append(holdings, Reservation{ID: rn.ID, Tokens: rn.reserved()})
		}
	}
	for _, rn := range md.waiting {
		holdings = append(holdings, Reservation{ID: rn.ID})
	}
	return holdings
}

// Reservation is the memory that one stream holds.
type Reservation struct {
	ID     id.Attempt
	Tokens id.Tokens
}
