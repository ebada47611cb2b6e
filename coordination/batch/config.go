package batch

import "time"

// Config sets the bounds that the machine decides by. What depends on the engines comes from their description.
type Config struct {
	// ShortPromptReadTime is the reading time up to which a prompt counts as short: it fits into the passes of an engine
	// beside others without making them long.
	ShortPromptReadTime time.Duration
	// PackingWaitShare is the predicted wait for the first event up to which short prompts are packed onto an engine,
	// as a part of their target.
	PackingWaitShare float64
	// PackingSlotShare is the part of an engine's slots up to which short prompts are packed.
	PackingSlotShare float64
	// PauseMargin is left of the longest pause that requests on an engine allow, for short prompts that come within a
	// pass; MinPauseMargin is left for a request that has used its target.
	PauseMargin time.Duration
	MinPauseMargin time.Duration
	// DispatchLead is how long before an engine is free a long prompt is handed to it.
	DispatchLead time.Duration
	// GrantDelay is the time that a grant takes to reach the engine and its first event to be reported.
	GrantDelay time.Duration
	// ShortPromptPenalty is added to the predicted finish for each engine with short prompts that would help with a long one.
	ShortPromptPenalty time.Duration
	// WriterPenalty is added for each engine that writes the answer to another long prompt: its passes get longer.
	WriterPenalty time.Duration
	// PlannedEngineShare is the part of the engines that are taken to read one prompt when requests are put in order.
	PlannedEngineShare float64
	// MinEngineShare is the part of the engines that the longest prompts wait for at least.
	MinEngineShare float64
	// StartOverhead is the time between a grant and the first event beside the reading.
	StartOverhead time.Duration
	// ReadTimeWeight is the number of its reading times, on all engines, by which a prompt gives way to shorter ones.
	ReadTimeWeight int
	// FreeSlotFactor is the inverse of the part of an engine's slots that are to be free so that it reads as much as pauses
	// allow; with fewer free ones it reads less beside its writers.
	FreeSlotFactor float64
	// FirstComeFirstServed serves requests in the order of arrival. It is a baseline to compare with.
	FirstComeFirstServed bool
	// BacklogWeight is the weight of what an organisation has waiting already, by which its further requests give way.
	BacklogWeight float64
	// MaxParts bounds the engines that read one prompt; the wire allows sixteen helpers.
	MaxParts int
	// GrantTTL is how long a grant lasts without renewal.
	GrantTTL time.Duration
	// MaxWaiting bounds the queue.
	MaxWaiting int
	// RunAloneWait is how long a request that is to run alone waits for an engine that runs nothing, before it takes the one
	// that runs least: engines of a busy fleet always run something.
	RunAloneWait time.Duration
	// FaultBackoff is how long an engine that failed gets nothing new; it doubles with each failure in a row.
	FaultBackoff    time.Duration
	MaxFaultBackoff time.Duration
}

// DefaultConfig returns the bounds that hosts use. The figures are those that earn the most in the replays of
// docs/design/dispatch.md; MaxParts is the platform's sixteen helpers and the engine that answers.
func DefaultConfig() Config {
	return Config{
		ShortPromptReadTime:     120 * time.Millisecond,
		PackingWaitShare:     0.5,
		PackingSlotShare:  0.75,
		PauseMargin:   75 * time.Millisecond,
		MinPauseMargin:   30 * time.Millisecond,
		DispatchLead:         20 * time.Millisecond,
		GrantDelay:         10 * time.Millisecond,
		ShortPromptPenalty:       20 * time.Millisecond,
		PlannedEngineShare:     0.5,
		MinEngineShare:    0.5,
		StartOverhead:   100 * time.Millisecond,
		ReadTimeWeight:    3,
		BacklogWeight: 0.5,
		FreeSlotFactor:     2,
		WriterPenalty:    20 * time.Millisecond,
		MaxParts:      17,
		GrantTTL:      5 * time.Second,
		MaxWaiting:    10_000,
		RunAloneWait:     500 * time.Millisecond,
		FaultBackoff:    time.Second,
		MaxFaultBackoff: 8 * time.Second,
	}
}
