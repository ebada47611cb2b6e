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
	// PauseUse is the part of the longest allowed pause that a pass may take, PauseMost the same for a request that
	// has used its target.
	PauseUse  float64
	PauseMost float64
	// Ahead is how long before an engine is free a long prompt is handed to it.
	Ahead time.Duration
	// Delay is the time that a grant takes to reach the engine and its first event to be reported.
	Delay time.Duration
	// MixCost is added to the predicted finish for each engine with short prompts that would help with a long one.
	MixCost time.Duration
	// MaxParts bounds the engines that read one prompt; the wire allows sixteen helpers.
	MaxParts int
	// GrantTTL is how long a grant lasts without renewal.
	GrantTTL time.Duration
	// MaxWaiting bounds the queue.
	MaxWaiting int
	// FaultPause is how long an engine that failed gets nothing new; it doubles with each failure in a row.
	FaultPause    time.Duration
	MaxFaultPause time.Duration
}

// DefaultConfig returns the bounds that hosts use.
func DefaultConfig() Config {
	return Config{
		ShortRead:     80 * time.Millisecond,
		ShortWait:     0.5,
		ShortWriters:  0.75,
		PauseUse:      0.7,
		PauseMost:     0.9,
		Ahead:         20 * time.Millisecond,
		Delay:         10 * time.Millisecond,
		MixCost:       20 * time.Millisecond,
		MaxParts:      17,
		GrantTTL:      5 * time.Second,
		MaxWaiting:    10_000,
		FaultPause:    time.Second,
		MaxFaultPause: 8 * time.Second,
	}
}
