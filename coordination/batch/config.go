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
	// PauseMargin is subtracted from the shortest MaxPause on an engine when its reading time per pass is computed, to
	// leave time for short prompts that arrive during the pass. The margin shrinks as a request waits, down to
	// MinPauseMargin for a request that has used all of its FirstEventTarget.
	PauseMargin    time.Duration
	MinPauseMargin time.Duration
	// DispatchLead is how long before an engine is free a long prompt is granted to it, so that the engine does not idle.
	DispatchLead time.Duration
	// GrantDelay is the time that a grant takes to reach the engine plus the time that its first event takes to be
	// reported. It is part of the predicted first event on chosen engines, whose passes are known.
	GrantDelay time.Duration
	// ShortPassPenalty is added to the predicted end of reading a long prompt for each chosen engine that answers requests
	// whose prompts are short or whose pauses are strict.
	ShortPassPenalty time.Duration
	// AnsweringPenalty is added for each chosen engine that answers requests none of which needs short passes, because
	// passes of engines that answer take longer.
	AnsweringPenalty time.Duration
	// PlannedEngineShare is the share of the engines that one prompt is assumed to get when waiting requests are ordered.
	PlannedEngineShare float64
	// MaxMinPartsShare bounds the least number of parts of a prompt, as a share of the engines that the prompt may use.
	// The longest prompts would need more parts for short pauses; they wait until at least that share of the engines can
	// take a part each.
	MaxMinPartsShare float64
	// StartOverhead is the time between a grant and the first event that is not spent on reading, GrantDelay included. It
	// is used for the latest start of a queued request, whose engines and their passes are not known yet.
	StartOverhead time.Duration
	// CorrectsPredictions says that predicted first events include the passes of the engines and are corrected by what
	// earlier grants took, and that requests that can't be on time by that prediction go after those that can.
	CorrectsPredictions bool
	// RefusesHopeless says that short prompts that can no longer be on time are refused as soon as they are predicted to get
	// no slot before their clients stop waiting.
	RefusesHopeless bool
	// KeepsSlotsUsable says that a request that is larger than one engine leaves each of its engines the memory that short
	// prompts in its unused slots need.
	KeepsSlotsUsable bool
	// ReadTimeWeight is the factor of a prompt's reading time, on the planned engines, by which the request moves back in
	// the queue, so that prompts that are shorter to read go first.
	ReadTimeWeight int
	// FreeSlotFactor is the inverse of the share of an engine's slots that must be free for it to read as much as its
	// pauses allow. With fewer free slots it reads less beside the answers that it writes.
	FreeSlotFactor float64
	// FirstComeFirstServed orders requests of one priority within a queue by arrival. It is a baseline for comparisons.
	FirstComeFirstServed bool
	// BacklogWeight is the factor of the reading time that an organisation already has in the queue by which its further
	// requests move back.
	BacklogWeight float64
	// MaxParts bounds the engines that read one prompt. The protocol of the engines allows sixteen helpers beside the
	// answering engine.
	MaxParts int
	// GrantTTL is how long a grant lasts without renewal.
	GrantTTL time.Duration
	// MaxWaitingRequests bounds the number of waiting requests.
	MaxWaitingRequests int
	// RunAloneWait is how long a request that is to run alone waits for an engine that runs nothing. After that it takes
	// the engine that runs least, because every engine of a busy fleet always runs something.
	RunAloneWait time.Duration
	// FaultBackoff is how long an engine gets nothing new after an Unreachable or Unresponsive fault; it doubles with each
	// consecutive fault. After an ErrorResponse it is a quarter of that times the number of consecutive faults. After Full
	// it is a quarter; if the engine asked for backoff, it doubles with each consecutive rejection up to the time asked
	// for. MaxFaultBackoff bounds all of these.
	FaultBackoff    time.Duration
	MaxFaultBackoff time.Duration
}

// DefaultConfig returns the parameters that hosts use: those with the highest benefit in the replays that
// docs/design/dispatch.md describes. MaxParts counts the sixteen helpers that the protocol allows and the engine that
// answers.
func DefaultConfig() Config {
	return Config{
		ShortPromptReadTime: 120 * time.Millisecond,
		PackingWaitShare:    0.5,
		PackingSlotShare:    0.75,
		PauseMargin:         75 * time.Millisecond,
		MinPauseMargin:      30 * time.Millisecond,
		DispatchLead:        20 * time.Millisecond,
		GrantDelay:          10 * time.Millisecond,
		ShortPassPenalty:    20 * time.Millisecond,
		PlannedEngineShare:  0.5,
		MaxMinPartsShare:    0.5,
		StartOverhead:       100 * time.Millisecond,
		CorrectsPredictions: true,
		KeepsSlotsUsable:    true,
		ReadTimeWeight:      3,
		BacklogWeight:       0.5,
		FreeSlotFactor:      2,
		AnsweringPenalty:    20 * time.Millisecond,
		MaxParts:            17,
		GrantTTL:            5 * time.Second,
		MaxWaitingRequests:  10_000,
		RunAloneWait:        500 * time.Millisecond,
		FaultBackoff:        time.Second,
		MaxFaultBackoff:     8 * time.Second,
	}
}
