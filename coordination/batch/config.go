package batch

import "time"

// Config sets the bounds that the machine decides by. What depends on the engines comes from their description.
type Config struct {
	// ShortRead is the reading time up to which a prompt counts as short: it fits into the passes of an engine
	// beside others without making them long.
	ShortRead time.Duration
	// ShortWait is the predicted wait for the first event up to which short prompts are packed onto an engine,
	// as a part of their target.
	ShortWait float64
	// ShortWriters is the part of an engine's slots up to which short prompts are packed.
	ShortWriters float64
	// PauseMargin is left of the longest pause that requests on an engine allow, for short prompts that come within a
	// pass; LeastMargin is left for a request that has used its target.
	PauseMargin time.Duration
	LeastMargin time.Duration
	// Ahead is how long before an engine is free a long prompt is handed to it.
	Ahead time.Duration
	// Delay is the time that a grant takes to reach the engine and its first event to be reported.
	Delay time.Duration
	// MixCost is added to the predicted finish for each engine with short prompts that would help with a long one.
	MixCost time.Duration
	// WriterCost is added for each engine that writes the answer to another long prompt: its passes get longer.
	WriterCost time.Duration
	// PlanShare is the part of the engines that are taken to read one prompt when requests are put in order.
	PlanShare float64
	// LeastShare is the part of the engines that the longest prompts wait for at least.
	LeastShare float64
	// StartMargin is the time between a grant and the first event beside the reading.
	StartMargin time.Duration
	// ReadWeight is the number of its reading times, on all engines, by which a prompt gives way to shorter ones.
	ReadWeight int
	// FreeSlots is the inverse of the part of an engine's slots that are to be free so that it reads as much as pauses
	// allow; with fewer free ones it reads less beside its writers.
	FreeSlots float64
	// FirstCome serves requests in the order of arrival. It is a baseline to compare with.
	FirstCome bool
	// BacklogWeight is the weight of what an organisation has waiting already, by which its further requests give way.
	BacklogWeight float64
	// MaxParts bounds the engines that read one prompt; the wire allows sixteen helpers.
	MaxParts int
	// GrantTTL is how long a grant lasts without renewal.
	GrantTTL time.Duration
	// MaxWaiting bounds the queue.
	MaxWaiting int
	// AloneWait is how long a request that is to run alone waits for an engine that runs nothing, before it takes the one
	// that runs least: engines of a busy fleet always run something.
	AloneWait time.Duration
	// FaultPause is how long an engine that failed gets nothing new; it doubles with each failure in a row.
	FaultPause    time.Duration
	MaxFaultPause time.Duration
}

// DefaultConfig returns the bounds that hosts use. The figures are those that earn the most in the replays of
// docs/design/dispatch.md; MaxParts is the platform's sixteen helpers and the engine that answers.
func DefaultConfig() Config {
	return Config{
		ShortRead:     120 * time.Millisecond,
		ShortWait:     0.5,
		ShortWriters:  0.75,
		PauseMargin:   75 * time.Millisecond,
		LeastMargin:   30 * time.Millisecond,
		Ahead:         20 * time.Millisecond,
		Delay:         10 * time.Millisecond,
		MixCost:       20 * time.Millisecond,
		PlanShare:     0.5,
		LeastShare:    0.5,
		StartMargin:   100 * time.Millisecond,
		ReadWeight:    3,
		BacklogWeight: 0.5,
		FreeSlots:     2,
		WriterCost:    20 * time.Millisecond,
		MaxParts:      17,
		GrantTTL:      5 * time.Second,
		MaxWaiting:    10_000,
		AloneWait:     500 * time.Millisecond,
		FaultPause:    time.Second,
		MaxFaultPause: 8 * time.Second,
	}
}
