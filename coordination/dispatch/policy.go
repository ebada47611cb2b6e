package dispatch

import (
	"math/bits"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// ShortPrompt is the longest prompt that counts as short.
const ShortPrompt id.Tokens = 4096

// Ordering decides which waiting request is served next.
type Ordering interface {
	// Lanes returns the number of lanes.
	Lanes() int
	// Lane returns the lane of a prompt length.
	Lane(prompt id.Tokens) int
	// Rank orders the heads of lanes; the lowest goes first.
	Rank(head Head) float64
	// Fair says that organisations share each lane by weight.
	Fair() bool
}

// Head is what an ordering sees of the first request of a lane.
type Head struct {
	Prompt id.Tokens
	// Prefill is the predicted time to process the prompt.
	Prefill time.Duration
	// Waited is the time since the request was submitted.
	Waited time.Duration
	// Slack is the time from submission to the latest start.
	Slack    time.Duration
	Priority int32
}

// Candidate is what a router sees of an engine that may run a request.
type Candidate struct {
	Index int
	// Wait is the predicted time to the first token.
	Wait time.Duration
	// Pending counts prompt tokens that the engine has not processed.
	Pending float64
	// Held is the memory in use.
	Held id.Tokens
	// Cached counts prompt tokens in the engine's prefix cache.
	Cached id.Tokens
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
	// Hold keeps requests in the shard's queue until an engine has room.
	Hold bool
	// EnginePriority passes a priority by prompt length to engines.
	EnginePriority bool
	// Preempt takes grants of long prompts back when short ones find no memory.
	Preempt bool
	// ShortShare is the share of memory and streams kept for short prompts.
	ShortShare float64
	// Adaptive lowers the share to what short prompts have lately used.
	Adaptive bool
	// Drain empties engines for a prompt that has waited long.
	Drain bool
	// Spread lets a long prompt use more engines than can just hold it.
	Spread bool
	// Affinity counts cached prefix blocks when it predicts waits.
	Affinity bool
	// Admission refuses requests whose predicted start is too late.
	Admission bool
}

// fifoOrdering serves requests in the order of their arrival.
type fifoOrdering struct{}

// NewFIFO returns an ordering by arrival.
func NewFIFO() Ordering { return fifoOrdering{} }

func (fifoOrdering) Lanes() int           { return 1 }
func (fifoOrdering) Lane(id.Tokens) int   { return 0 }
func (fifoOrdering) Rank(hd Head) float64 { return -hd.Waited.Seconds() }
func (fifoOrdering) Fair() bool           { return false }

// bandLimits are the upper ends of the bands of prompt lengths.
var bandLimits = [...]id.Tokens{ShortPrompt, 32_768, 100_000, 400_000}

// Band returns the band of a prompt length, from 0 for short prompts.
func Band(prompt id.Tokens) int {
	for band, limit := range bandLimits {
		if prompt <= limit {
			return band
		}
	}
	return len(bandLimits)
}

// Bands is the number of bands of prompt lengths.
const Bands = len(bandLimits) + 1

// laneOrdering serves lanes by length in arrival order of their heads.
type laneOrdering struct{}

// NewLanes returns an ordering with a lane for each band, served in the order of their heads' arrival.
func NewLanes() Ordering { return laneOrdering{} }

func (laneOrdering) Lanes() int                { return Bands }
func (laneOrdering) Lane(prompt id.Tokens) int { return Band(prompt) }
func (laneOrdering) Rank(hd Head) float64      { return -hd.Waited.Seconds() }
func (laneOrdering) Fair() bool                { return true }

// shortestOrdering serves the shortest predicted prefill first, with ageing.
type shortestOrdering struct{}

// NewShortest returns an ordering by predicted prefill time. A request that has used its slack
// ranks like the longest short prompt, so short prompts stay ahead of aged ones.
func NewShortest() Ordering { return shortestOrdering{} }

func (shortestOrdering) Lanes() int                { return Bands }
func (shortestOrdering) Lane(prompt id.Tokens) int { return Band(prompt) }
func (shortestOrdering) Fair() bool                { return true }

func (shortestOrdering) Rank(hd Head) float64 {
	prefill := hd.Prefill.Seconds()
	if hd.Prompt <= ShortPrompt || hd.Slack <= 0 {
		return prefill / float64(1+hd.Priority)
	}
	floor := prefill * float64(ShortPrompt) / float64(hd.Prompt)
	left := 1 - hd.Waited.Seconds()/hd.Slack.Seconds()
	return max(floor, prefill*left/float64(1+hd.Priority))
}

type roundRobin struct{}

// NewRoundRobin returns a router that takes engines in turn.
func NewRoundRobin() Router { return roundRobin{} }

func (roundRobin) Better(left, right Candidate, turn int) bool {
	const span = 1 << 20
	return (left.Index-turn+span)%span < (right.Index-turn+span)%span
}

type leastLoad struct{}

// NewLeastLoad returns a router to the engine with the fewest pending prompt tokens, then the least memory in use.
func NewLeastLoad() Router { return leastLoad{} }

func (leastLoad) Better(left, right Candidate, _ int) bool {
	if left.Pending != right.Pending {
		return left.Pending < right.Pending
	}
	return left.Held < right.Held
}

type shortestWait struct{}

// NewShortestWait returns a router to the engine with the earliest predicted first token, then the least memory in use.
func NewShortestWait() Router { return shortestWait{} }

func (shortestWait) Better(left, right Candidate, _ int) bool {
	if left.Wait != right.Wait {
		return left.Wait < right.Wait
	}
	return left.Held < right.Held
}

type strictAffinity struct{ rest Router }

// NewStrictAffinity returns a router to the engine with the longest cached prefix, whatever its load.
func NewStrictAffinity() Router { return strictAffinity{rest: shortestWait{}} }

func (sa strictAffinity) Better(left, right Candidate, turn int) bool {
	if left.Cached != right.Cached {
		return left.Cached > right.Cached
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
		{Name: "strict-fifo", Ordering: NewFIFO(), Router: NewLeastLoad(), Hold: true},
		vary("lanes", func(pl *Policy) { pl.Ordering = NewLanes(); pl.EnginePriority = false }),
		vary("shortest-no-priority", func(pl *Policy) { pl.EnginePriority = false }),
		vary("no-reserve", func(pl *Policy) { pl.ShortShare = 0; pl.Adaptive = false }),
		vary("reserve-adaptive", func(pl *Policy) { pl.Adaptive = true }),
		vary("no-drain", func(pl *Policy) { pl.Drain = false }),
		vary("no-spread", func(pl *Policy) { pl.Spread = false }),
		vary("no-admission", func(pl *Policy) { pl.Admission = false }),
		vary("affinity-off", func(pl *Policy) { pl.Affinity = false }),
		vary("affinity-strict", func(pl *Policy) { pl.Router = NewStrictAffinity() }),
		vary("preempt", func(pl *Policy) { pl.Preempt = true }),
		base,
	}
}

// DefaultPolicy returns the policy that hosts use.
func DefaultPolicy() Policy {
	return Policy{
		Name:           "shortest",
		Ordering:       NewShortest(),
		Router:         NewShortestWait(),
		Hold:           true,
		EnginePriority: true,
		ShortShare:     0.1,
		Drain:          true,
		Spread:         true,
		Affinity:       true,
		Admission:      true,
	}
}
