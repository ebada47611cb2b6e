package dispatch

import (
	"math/bits"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// MaxShortPrompt is the longest prompt that counts as short.
const MaxShortPrompt id.Tokens = 4096

// Ordering decides which waiting request is served next.
type Ordering interface {
	// LaneCount returns the number of lanes.
	LaneCount() int
	// LaneOf returns the lane of a prompt length.
	LaneOf(prompt id.Tokens) int
	// Rank orders the heads of lanes; the lowest goes first.
	Rank(head LaneHead) float64
	// SharesFairly says that organisations share each lane by weight.
	SharesFairly() bool
}

// LaneHead is what an ordering sees of the first request of a lane.
type LaneHead struct {
	PromptTokens id.Tokens
	// PrefillTime is the predicted time to process the prompt.
	PrefillTime time.Duration
	// Waited is the time since the request was submitted.
	Waited time.Duration
	// Slack is the time from submission to the latest start.
	Slack    time.Duration
	Priority int32
}

// Candidate is what a router sees of an engine that may run a request.
type Candidate struct {
	EngineIndex int
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
	// PendingTokens counts prompt tokens that the engine has not processed.
	PendingTokens float64
	// ReservedTokens is the memory in use.
	ReservedTokens id.Tokens
	// CachedTokens counts prompt tokens in the engine's prefix cache.
	CachedTokens id.Tokens
}

// Router compares engines for one request.
type Router interface {
	// Better reports whether left is to be preferred to right.
	Better(left, right Candidate, turn int) bool
}

// Policy is a named combination of decisions.
type Policy struct {
	Name     string
	Ordering Ordering
	Router   Router
	// QueueUntilRoom keeps requests in the shard's queue until an engine has room.
	QueueUntilRoom bool
	// EnginePriority passes a priority by prompt length to engines.
	EnginePriority bool
	// PreemptLongPrompts takes grants of long prompts back when short ones find no memory.
	PreemptLongPrompts bool
	// ShortPromptShare is the share of memory and streams kept for short prompts.
	ShortPromptShare float64
	// AdaptiveShortShare lowers the share to what short prompts have lately used.
	AdaptiveShortShare bool
	// DrainForLongPrompts empties engines for a prompt that has waited long.
	DrainForLongPrompts bool
	// SpreadLongPrompts lets a long prompt use more engines than can just hold it.
	SpreadLongPrompts bool
	// PrefixAffinity counts cached prefix blocks when it predicts waits.
	PrefixAffinity bool
	// PredictiveAdmission refuses requests whose predicted start is too late.
	PredictiveAdmission bool
}

// fifoOrdering serves requests in the order of their arrival.
type fifoOrdering struct{}

// NewFIFO returns an ordering by arrival.
func NewFIFO() Ordering { return fifoOrdering{} }

func (fifoOrdering) LaneCount() int           { return 1 }
func (fifoOrdering) LaneOf(id.Tokens) int   { return 0 }
func (fifoOrdering) Rank(hd LaneHead) float64 { return -hd.Waited.Seconds() }
func (fifoOrdering) SharesFairly() bool           { return false }

// bandLimits are the upper ends of the bands of prompt lengths.
var bandLimits = [...]id.Tokens{MaxShortPrompt, 32_768, 100_000, 400_000}

// PromptBand returns the band of a prompt length, from 0 for short prompts.
func PromptBand(prompt id.Tokens) int {
	for band, limit := range bandLimits {
		if prompt <= limit {
			return band
		}
	}
	return len(bandLimits)
}

// PromptBandCount is the number of bands of prompt lengths.
const PromptBandCount = len(bandLimits) + 1

// laneOrdering serves lanes by length in arrival order of their heads.
type laneOrdering struct{}

// NewBandFIFO returns an ordering with a lane for each band, served in the order of their heads' arrival.
func NewBandFIFO() Ordering { return laneOrdering{} }

func (laneOrdering) LaneCount() int                { return PromptBandCount }
func (laneOrdering) LaneOf(prompt id.Tokens) int { return PromptBand(prompt) }
func (laneOrdering) Rank(hd LaneHead) float64      { return -hd.Waited.Seconds() }
func (laneOrdering) SharesFairly() bool                { return true }

// shortestOrdering serves the shortest predicted prefill first, with ageing.
type shortestOrdering struct{}

// NewShortestFirst returns an ordering by predicted prefill time. A request that has used its slack
// ranks like the longest short prompt, so short prompts stay ahead of aged ones.
func NewShortestFirst() Ordering { return shortestOrdering{} }

func (shortestOrdering) LaneCount() int                { return PromptBandCount }
func (shortestOrdering) LaneOf(prompt id.Tokens) int { return PromptBand(prompt) }
func (shortestOrdering) SharesFairly() bool                { return true }

func (shortestOrdering) Rank(hd LaneHead) float64 {
	prefill := hd.PrefillTime.Seconds()
	if hd.PromptTokens <= MaxShortPrompt || hd.Slack <= 0 {
		return prefill / float64(1+hd.Priority)
	}
	floor := prefill * float64(MaxShortPrompt) / float64(hd.PromptTokens)
	left := 1 - hd.Waited.Seconds()/hd.Slack.Seconds()
	return max(floor, prefill*left/float64(1+hd.Priority))
}

type roundRobin struct{}

// NewRoundRobin returns a router that takes engines in turn.
func NewRoundRobin() Router { return roundRobin{} }

func (roundRobin) Better(left, right Candidate, turn int) bool {
	const span = 1 << 20
	return (left.EngineIndex-turn+span)%span < (right.EngineIndex-turn+span)%span
}

type leastLoad struct{}

// NewLeastLoad returns a router to the engine with the fewest pending prompt tokens, then the least memory in use.
func NewLeastLoad() Router { return leastLoad{} }

func (leastLoad) Better(left, right Candidate, _ int) bool {
	if left.PendingTokens != right.PendingTokens {
		return left.PendingTokens < right.PendingTokens
	}
	return left.ReservedTokens < right.ReservedTokens
}

type shortestWait struct{}

// NewEarliestFirstToken returns a router to the engine with the earliest predicted first token, then the least memory in use.
func NewEarliestFirstToken() Router { return shortestWait{} }

func (shortestWait) Better(left, right Candidate, _ int) bool {
	if left.TimeToFirstToken != right.TimeToFirstToken {
		return left.TimeToFirstToken < right.TimeToFirstToken
	}
	return left.ReservedTokens < right.ReservedTokens
}

type strictAffinity struct{ rest Router }

// NewLongestCachedPrefix returns a router to the engine with the longest cached prefix, whatever its load.
func NewLongestCachedPrefix() Router { return strictAffinity{rest: shortestWait{}} }

func (sa strictAffinity) Better(left, right Candidate, turn int) bool {
	if left.CachedTokens != right.CachedTokens {
		return left.CachedTokens > right.CachedTokens
	}
	return sa.rest.Better(left, right, turn)
}

// enginePriority returns the priority that engines get for a prompt length; it falls with each doubling.
func enginePriority(prompt id.Tokens) int32 {
	return int32(classes - 1 - classOf(prompt))
}

// classes is the number of prefill classes; each holds prompts of up to twice the length of the one before.
const classes = 22

// classOf returns the class of a prompt length.
func classOf(prompt id.Tokens) int {
	return min(bits.Len64(uint64(max(0, prompt))), classes-1)
}

// Policies returns every policy that benchmarks compare, the baseline first.
func Policies() []Policy {
	base := DefaultPolicy()
	vary := func(name string, change func(*Policy)) Policy {
		pl := base
		pl.Name = name
		change(&pl)
		return pl
	}
	return []Policy{
		{Name: "least-load", Ordering: NewFIFO(), Router: NewLeastLoad()},
		{Name: "round-robin", Ordering: NewFIFO(), Router: NewRoundRobin()},
		{Name: "strict-fifo", Ordering: NewFIFO(), Router: NewLeastLoad(), QueueUntilRoom: true},
		vary("lanes", func(pl *Policy) { pl.Ordering = NewBandFIFO(); pl.EnginePriority = false }),
		vary("shortest-no-priority", func(pl *Policy) { pl.EnginePriority = false }),
		vary("no-reserve", func(pl *Policy) { pl.ShortPromptShare = 0; pl.AdaptiveShortShare = false }),
		vary("reserve-adaptive", func(pl *Policy) { pl.AdaptiveShortShare = true }),
		vary("no-drain", func(pl *Policy) { pl.DrainForLongPrompts = false }),
		vary("no-spread", func(pl *Policy) { pl.SpreadLongPrompts = false }),
		vary("no-admission", func(pl *Policy) { pl.PredictiveAdmission = false }),
		vary("affinity-off", func(pl *Policy) { pl.PrefixAffinity = false }),
		vary("affinity-strict", func(pl *Policy) { pl.Router = NewLongestCachedPrefix() }),
		vary("preempt", func(pl *Policy) { pl.PreemptLongPrompts = true }),
		base,
	}
}

// DefaultPolicy returns the policy that hosts use.
func DefaultPolicy() Policy {
	return Policy{
		Name:           "shortest",
		Ordering:       NewShortestFirst(),
		Router:         NewEarliestFirstToken(),
		QueueUntilRoom:           true,
		EnginePriority: true,
		ShortPromptShare:     0.1,
		DrainForLongPrompts:          true,
		SpreadLongPrompts:         true,
		PrefixAffinity:       true,
		PredictiveAdmission:      true,
	}
}
