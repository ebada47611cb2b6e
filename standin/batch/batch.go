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
	// StepBase is the shortest duration of a step.
	StepBase time.Duration
	// StepStream is added for each decoding stream.
	StepStream time.Duration
	// PrefillPerSecond is the number of prompt tokens processed in a second.
	PrefillPerSecond float64
	// PrefillPerStep is the largest number of prompt tokens in one step.
	PrefillPerStep id.Tokens
	// Memory is the KV memory.
	Memory id.Tokens
	// BlockTokens is the size of a prefix cache block.
	BlockTokens id.Tokens
}

// DefaultConfig returns the costs of the target's engines.
func DefaultConfig() Config {
	return Config{
		StepBase:         12 * time.Millisecond,
		StepStream:       250 * time.Microsecond,
		PrefillPerSecond: 80_000,
		PrefillPerStep:   2048,
		Memory:           450_000,
		BlockTokens:      256,
	}
}

// Stream is one attempt on the engine.
type Stream struct {
	ID id.Attempt
	// Prompt is the number of prompt tokens that this engine keeps.
	Prompt id.Tokens
	// Answer is the number of tokens in the whole answer.
	Answer id.Tokens
	// From is the index of the first token to produce.
	From id.Tokens
	// Priority orders prefill; higher values go first.
	Priority int32
	// Follower streams process their part of the prompt, then keep it until they are cancelled.
	Follower bool
	// Prefix holds hashes of the prompt's leading blocks.
	Prefix []uint64
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
	// Prefilled says that a follower's part is processed.
	Prefilled EventKind = iota + 1
	// Produced says that a token was produced.
	Produced
	// Finished says that the last token was produced and the memory is free.
	Finished
)

type running struct {
	Stream
	sequence uint64
	left     id.Tokens
	produced id.Tokens
}

func (rn *running) reserved() id.Tokens {
	return rn.Prompt + rn.Answer
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
	rn := &running{Stream: st, sequence: md.sequence, left: st.Prompt, produced: st.From}
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
		if md.held+rn.reserved() > md.config.Memory {
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
	for _, block := range st.Prefix {
		if _, ok := md.cached[block]; !ok {
			break
		}
		hit += md.config.BlockTokens
	}
	return min(hit, st.Prompt-1)
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
	compute := time.Duration(float64(processed) / md.config.PrefillPerSecond * float64(time.Second))
	return max(md.config.StepBase+time.Duration(decoding)*md.config.StepStream, compute), md.events
}

func (md *Model) stepDecode() {
	kept := md.decode[:0]
	for _, rn := range md.decode {
		md.produce(rn)
		if rn.produced < rn.Answer {
			kept = append(kept, rn)
		}
	}
	md.decode = kept
}

func (md *Model) produce(rn *running) {
	md.events = append(md.events, Event{ID: rn.ID, Kind: Produced, Index: rn.produced})
	rn.produced++
	if rn.produced >= rn.Answer {
		md.events = append(md.events, Event{ID: rn.ID, Kind: Finished, Index: rn.produced})
		md.held -= rn.reserved()
	}
}

func (md *Model) stepPrefill() id.Tokens {
	budget := md.config.PrefillPerStep
	for budget > 0 && len(md.prefill) > 0 {
		rn := md.prefill[0]
		taken := min(budget, rn.left)
		rn.left -= taken
		budget -= taken
		if rn.left > 0 {
			break
		}
		md.prefill = md.prefill[1:]
		md.remember(rn.Prefix)
		if rn.Follower {
			md.kept = append(md.kept, rn)
			md.events = append(md.events, Event{ID: rn.ID, Kind: Prefilled})
			continue
		}
		md.produce(rn)
		if rn.produced < rn.Answer {
			md.decode = append(md.decode, rn)
		}
	}
	return md.config.PrefillPerStep - budget
}

// remember caches blocks and evicts the oldest beyond a tenth of the memory.
func (md *Model) remember(prefix []uint64) {
	for _, block := range prefix {
		md.sequence++
		md.cached[block] = md.sequence
	}
	limit := int(md.config.Memory / 10 / md.config.BlockTokens)
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

// Held returns the memory in use.
func (md *Model) Held() id.Tokens {
	return md.held
}

// Pending returns the prompt tokens that are not processed yet.
func (md *Model) Pending() id.Tokens {
	var pending id.Tokens
	for _, rn := range md.prefill {
		pending += rn.left
	}
	for _, rn := range md.waiting {
		pending += rn.left
	}
	return pending
}

// Running returns the number of streams that hold memory.
func (md *Model) Running() int {
	return len(md.prefill) + len(md.decode) + len(md.kept)
}

// Waiting returns the number of streams that wait for memory.
func (md *Model) Waiting() int {
	return len(md.waiting)
}

// HeldBy returns the memory held by each stream that runs.
func (md *Model) HeldBy() []Holding {
	var holdings []Holding
	for _, streams := range [][]*running{md.prefill, md.decode, md.kept} {
		for _, rn := range streams {
			holdings = append(holdings, Holding{ID: rn.ID, Tokens: rn.reserved()})
		}
	}
	for _, rn := range md.waiting {
		holdings = append(holdings, Holding{ID: rn.ID})
	}
	return holdings
}

// Holding is the memory that one stream holds.
type Holding struct {
	ID     id.Attempt
	Tokens id.Tokens
}
