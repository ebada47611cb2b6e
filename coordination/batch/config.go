package batch

import "time"

// Config holds the parameters of scheduling that do not depend on the engines; those that do are in the engine profile.
type Config struct {
	// ShortPromptReadTime is the reading time up to which a prompt counts as short: it fits into the passes of an engine
	// beside other work without making the passes long.
	ShortPromptReadTime time.Duration
	// PackingWaitShare is the predicted wait for the first event up to which short prompts are packed onto an engine,
	// as a share of their FirstEventTarget.
	PackingWaitShare float64
	// PackingSlotShare is the share of an engine's slots up to which short prompts are packed onto it.
	PackingSlotShare float64
	// PauseMargin is the part of the longest pause that requests on an engine allow that is kept free, for short prompts
	// that arrive during a pass. The margin shrinks as a request waits; MinPauseMargin is left for a request that has used
	// all of its FirstEventTarget.
	PauseMargin    time.Duration
	MinPauseMargin time.Duration
	// DispatchLead is how long before an engine is free a long prompt is granted to it, so that the engine does not idle.
	DispatchLead time.Duration
	// GrantDelay is the time that a grant takes to reach the engine plus the time that its first event takes to be
	// reported.
	GrantDelay time.Duration
	// ShortPassPenalty is added to the predicted end of reading a long prompt for each chosen engine that has short
	// prompts.
	ShortPassPenalty time.Duration
	// AnsweringPenalty is added for each chosen engine that answers long prompts only, because its passes take longer.
	AnsweringPenalty time.Duration
	// PlannedEngineShare is the share of the engines that one prompt is assumed to get when waiting requests are ordered.
	PlannedEngineShare float64
	// MaxMinPartsShare is the share of the engines that the longest prompts wait for at least.
	MaxMinPartsShare float64
	// StartOverhead is the time between a grant and the first event that is not spent on reading.
	StartOverhead time.Duration
	// ReadTimeWeight is the factor of a prompt's reading time, on the planned engines, by which the request moves back in
	// the queue, so that prompts that are shorter to read go first.
	ReadTimeWeight int
	// FreeSlotFactor is the inverse of the share of an engine's slots that must be free for it to read as much as its
	// pauses allow. With fewer free slots it reads less beside the answers that it writes.
	FreeSlotFactor float64
	// FirstComeFirstServed serves requests in the order of arrival. It is a baseline for comparisons.
	FirstComeFirstServed bool
	// BacklogWeight is the factor of the reading time that an organisation already has in the queue by which its further
	// requests move back.
	BacklogWeight float64
	// MaxParts bounds the engines that read one prompt. The wire protocol allows sixteen helpers beside the answering
	// engine.
	MaxParts int
	// GrantTTL is how long a grant lasts without renewal.
	GrantTTL time.Duration
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
	// RunAloneWait is how long a request that is to run alone waits for an engine that runs nothing. After that it takes
	// the engine that runs least, because every engine of a busy fleet always runs something.
	RunAloneWait time.Duration
	// FaultBackoff is how long an unreachable or unresponsive engine gets nothing new; it doubles with each consecutive
	// fault, up to MaxFaultBackoff. The backoff for other faults begins with a quarter of it.
	FaultBackoff    time.Duration
	MaxFaultBackoff time.Duration
}

// DefaultConfig returns the parameters that hosts use: those with the highest benefit in the replays that
// docs/design/dispatch.md describes. MaxParts counts the platform's sixteen helpers and the engine that answers.
func DefaultConfig() Config {
	return Config{
		ShortPromptReadTime: 120 * time.Millisecond,
		PackingWaitShare:    0.5,
		PackingSlotShare:    0.75,
		PauseMargin:         75 * time.Millisecond,
		MinPauseMargin:      30 * time.Millisecond,
		DispatchLead:        20 * time.Millisecond,
		GrantDelay:          10 * time.Millisecond,
		ShortPassPenalty:  20 * time.Millisecond,
		PlannedEngineShare:  0.5,
		MaxMinPartsShare:      0.5,
		StartOverhead:       100 * time.Millisecond,
		ReadTimeWeight:      3,
		BacklogWeight:       0.5,
		FreeSlotFactor:      2,
		AnsweringPenalty:       20 * time.Millisecond,
		MaxParts:            17,
		GrantTTL:            5 * time.Second,
		MaxWaiting:          10_000,
		RunAloneWait:        500 * time.Millisecond,
		FaultBackoff:        time.Second,
		MaxFaultBackoff:     8 * time.Second,
	}
}
