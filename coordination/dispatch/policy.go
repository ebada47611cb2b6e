package dispatch

import (
	"math/bits"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// MaxShortPrompt is the length of the longest prompt that counts as short.
const MaxShortPrompt id.Tokens = 4096

// Ordering decides which waiting request is served next. Requests wait in lanes by the length of their prompts; only
// the first request of a lane, its head, can be served.
type Ordering interface {
	// LaneCount returns the number of lanes, without the lane of interrupted requests.
	LaneCount() int
	// LaneOf returns the index of the lane for prompts of a length.
	LaneOf(promptTokens id.Tokens) int
	// Rank returns a number that orders the heads of different lanes. The lane with the lowest rank is served first.
	Rank(head LaneHead) float64
	// SharesFairly reports whether organisations share each lane by weight. Otherwise a lane is served in the order of
	// arrival.
	SharesFairly() bool
}

// LaneHead describes the first request of a lane to an ordering.
type LaneHead struct {
	PromptTokens id.Tokens
	// PrefillTime is the predicted time to process the prompt.
	PrefillTime time.Duration
	// Waited is the time since the request was submitted.
	Waited time.Duration
	// Slack is the time from submission to the latest start.
	Slack time.Duration
	// Priority is the priority of the organisation's plan, from 0 up. A higher value should lower the rank.
	Priority int32
}

// Candidate describes an engine that may run a part of a request to a router.
type Candidate struct {
	// EngineIndex is the position of the engine in the order of the engines' names.
	EngineIndex int
	// TimeToFirstToken is the predicted time to the first token of the request.
	TimeToFirstToken time.Duration
	// PendingTokens is the predicted number of prompt tokens that the engine has still to process.
	PendingTokens float64
	// ReservedTokens is the memory that active grants reserve.
	ReservedTokens id.Tokens
	// CachedTokens is the number of the request's prompt tokens that are in the engine's prefix cache.
	CachedTokens id.Tokens
}

// Router compares engines for one request.
type Router interface {
	// Better reports whether left is preferred to right. roundRobinStart is the index of the engine that comes first if
	// engines take turns.
	Better(left, right Candidate, roundRobinStart int) bool
}

// Policy combines an ordering, a router and optional parts of the scheduler under a name.
type Policy struct {
	Name     string
	Ordering Ordering
	Router   Router
	// QueueUntilRoom keeps requests in the queue until an engine has room. Otherwise engines queue them.
	QueueUntilRoom bool
	// EnginePriority makes engines process short prompts first.
	EnginePriority bool
	// PreemptLongPrompts revokes grants for long prompts whose first token has not arrived if short prompts find no
	// room.
	PreemptLongPrompts bool
	// ShortPromptShare is the fraction of each engine's memory and streams that is reserved for short prompts.
	ShortPromptShare float64
	// AdaptiveShortPromptShare lowers that fraction to little more than what short prompts use now.
	AdaptiveShortPromptShare bool
	// DrainForLongPrompts keeps other long prompts off some engines once a long prompt has waited for a fraction of its
	// slack.
	DrainForLongPrompts bool
	// SpreadLongPrompts allows a long prompt to use more engines than are needed to hold it.
	SpreadLongPrompts bool
	// PrefixAffinity takes into account which prompt tokens are in the prefix cache of an engine.
	PrefixAffinity bool
	// PredictiveAdmission refuses requests immediately if their predicted start is too late.
	PredictiveAdmission bool
}

// fifoOrdering serves requests in the order of their arrival, in one lane.
type fifoOrdering struct{}

// NewFIFO returns an ordering that serves requests in the order of their arrival.
func NewFIFO() Ordering { return fifoOrdering{} }

func (fifoOrdering) LaneCount() int             { return 1 }
func (fifoOrdering) LaneOf(id.Tokens) int       { return 0 }
func (fifoOrdering) Rank(head LaneHead) float64 { return -head.Waited.Seconds() }
func (fifoOrdering) SharesFairly() bool         { return false }

// bandLimits holds the longest prompt of each band of prompt lengths but the last, which has no limit.
var bandLimits = [...]id.Tokens{MaxShortPrompt, 32_768, 100_000, 400_000}

// PromptBand returns the index of the band that a prompt length falls into, from 0 for short prompts.
func PromptBand(promptTokens id.Tokens) int {
	for band, limit := range bandLimits {
		if promptTokens <= limit {
			return band
		}
	}
	return len(bandLimits)
}

// PromptBandCount is the number of bands of prompt lengths.
const PromptBandCount = len(bandLimits) + 1

// bandFIFOOrdering has a lane for each band of prompt lengths and serves the lanes in the order of their heads'
// arrival.
type bandFIFOOrdering struct{}

// NewBandFIFO returns an ordering with a lane for each band of prompt lengths. The lane whose head has waited longest
// is served first.
func NewBandFIFO() Ordering { return bandFIFOOrdering{} }

func (bandFIFOOrdering) LaneCount() int                    { return PromptBandCount }
func (bandFIFOOrdering) LaneOf(promptTokens id.Tokens) int { return PromptBand(promptTokens) }
func (bandFIFOOrdering) Rank(head LaneHead) float64        { return -head.Waited.Seconds() }
func (bandFIFOOrdering) SharesFairly() bool                { return true }

// shortestFirstOrdering serves the shortest predicted prefill first, with ageing, so that long prompts do not starve.
type shortestFirstOrdering struct{}

// NewShortestFirst returns an ordering by predicted prefill time, divided by 1 plus the priority. The rank of a long
// prompt falls as its slack is used up. It never falls below the prefill time of the longest short prompt, so short
// prompts stay ahead.
func NewShortestFirst() Ordering { return shortestFirstOrdering{} }

func (shortestFirstOrdering) LaneCount() int                    { return PromptBandCount }
func (shortestFirstOrdering) LaneOf(promptTokens id.Tokens) int { return PromptBand(promptTokens) }
func (shortestFirstOrdering) SharesFairly() bool                { return true }

func (shortestFirstOrdering) Rank(head LaneHead) float64 {
	prefillSeconds := head.PrefillTime.Seconds()
	if head.PromptTokens <= MaxShortPrompt || head.Slack <= 0 {
		return prefillSeconds / float64(1+head.Priority)
	}
	minRank := prefillSeconds * float64(MaxShortPrompt) / float64(head.PromptTokens)
	remainingShare := 1 - head.Waited.Seconds()/head.Slack.Seconds()
	return max(minRank, prefillSeconds*remainingShare/float64(1+head.Priority))
}

// roundRobin prefers each engine in turn; the turn advances by one engine with each grant.
type roundRobin struct{}

// NewRoundRobin returns a router that uses engines in turn.
func NewRoundRobin() Router { return roundRobin{} }

func (roundRobin) Better(left, right Candidate, roundRobinStart int) bool {
	// modulus is above the number of engines, so that engines before the start come after all others.
	const modulus = 1 << 20
	return (left.EngineIndex-roundRobinStart+modulus)%modulus < (right.EngineIndex-roundRobinStart+modulus)%modulus
}

// leastLoad prefers the engine with the least pending prefill.
type leastLoad struct{}

// NewLeastLoad returns a router that prefers the engine with the fewest pending prompt tokens; among equals, the one
// with the least reserved memory.
func NewLeastLoad() Router { return leastLoad{} }

func (leastLoad) Better(left, right Candidate, _ int) bool {
	if left.PendingTokens != right.PendingTokens {
		return left.PendingTokens < right.PendingTokens
	}
	return left.ReservedTokens < right.ReservedTokens
}

// earliestFirstToken prefers the engine with the shortest predicted time to the first token.
type earliestFirstToken struct{}

// NewEarliestFirstToken returns a router that prefers the engine with the shortest predicted time to the first token;
// among equals, the one with the least reserved memory.
func NewEarliestFirstToken() Router { return earliestFirstToken{} }

func (earliestFirstToken) Better(left, right Candidate, _ int) bool {
	if left.TimeToFirstToken != right.TimeToFirstToken {
		return left.TimeToFirstToken < right.TimeToFirstToken
	}
	return left.ReservedTokens < right.ReservedTokens
}

// longestCachedPrefix prefers the engine with the most cached prompt tokens. The tie breaker decides among equals.
type longestCachedPrefix struct{ tieBreaker Router }

// NewLongestCachedPrefix returns a router that prefers the engine with the longest cached prefix of the prompt,
// whatever its load; among equals, the one with the shortest predicted time to the first token.
func NewLongestCachedPrefix() Router { return longestCachedPrefix{tieBreaker: earliestFirstToken{}} }

func (lp longestCachedPrefix) Better(left, right Candidate, roundRobinStart int) bool {
	if left.CachedTokens != right.CachedTokens {
		return left.CachedTokens > right.CachedTokens
	}
	return lp.tieBreaker.Better(left, right, roundRobinStart)
}

// enginePriorityFor returns the priority inside engines for a prompt length. It is one lower for each doubling of the
// length; higher priorities are processed first.
func enginePriorityFor(promptTokens id.Tokens) int32 {
	return int32(prefillClasses - 1 - prefillClass(promptTokens))
}

// prefillClasses is the number of prefill classes. The prompts of each class are up to twice as long as those of the
// class before. The last class holds all prompts of 2^20 tokens or more.
const prefillClasses = 22

// prefillClass returns the class of a prompt length. Class 0 has the highest priority inside engines.
func prefillClass(promptTokens id.Tokens) int {
	return min(bits.Len64(uint64(max(0, promptTokens))), prefillClasses-1)
}

// Policies returns all policies that benchmarks compare: first the baselines, then variants of the default policy that
// each change one part of it, then the default policy itself.
func Policies() []Policy {
	defaultPolicy := DefaultPolicy()
	variant := func(name string, change func(*Policy)) Policy {
		pl := defaultPolicy
		pl.Name = name
		change(&pl)
		return pl
	}
	return []Policy{
		{Name: "least-load", Ordering: NewFIFO(), Router: NewLeastLoad()},
		{Name: "round-robin", Ordering: NewFIFO(), Router: NewRoundRobin()},
		{Name: "strict-fifo", Ordering: NewFIFO(), Router: NewLeastLoad(), QueueUntilRoom: true},
		variant("lanes", func(pl *Policy) { pl.Ordering = NewBandFIFO(); pl.EnginePriority = false }),
		variant("shortest-no-priority", func(pl *Policy) { pl.EnginePriority = false }),
		variant("no-reserve", func(pl *Policy) { pl.ShortPromptShare = 0; pl.AdaptiveShortPromptShare = false }),
		variant("reserve-adaptive", func(pl *Policy) { pl.AdaptiveShortPromptShare = true }),
		variant("no-drain", func(pl *Policy) { pl.DrainForLongPrompts = false }),
		variant("no-spread", func(pl *Policy) { pl.SpreadLongPrompts = false }),
		variant("no-admission", func(pl *Policy) { pl.PredictiveAdmission = false }),
		variant("affinity-off", func(pl *Policy) { pl.PrefixAffinity = false }),
		variant("affinity-strict", func(pl *Policy) { pl.Router = NewLongestCachedPrefix() }),
		variant("preempt", func(pl *Policy) { pl.PreemptLongPrompts = true }),
		defaultPolicy,
	}
}

// DefaultPolicy returns the policy that hosts use in production.
func DefaultPolicy() Policy {
	return Policy{
		Name:                "shortest",
		Ordering:            NewShortestFirst(),
		Router:              NewEarliestFirstToken(),
		QueueUntilRoom:      true,
		EnginePriority:      true,
		ShortPromptShare:    0.1,
		DrainForLongPrompts: true,
		SpreadLongPrompts:   true,
		PrefixAffinity:      true,
		PredictiveAdmission: true,
	}
}
