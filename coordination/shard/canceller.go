package shard

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// maxCancelTries is the number of calls after which cancelling an attempt is given up.
	maxCancelTries = 5
	// cancelTimeout bounds each call to an engine or an entry host.
	cancelTimeout = time.Second
	// initialCancelBackoff is the pause after the first failed call; it doubles with each further failure.
	initialCancelBackoff = 200 * time.Millisecond
)

// canceller cancels attempts on engines in the background, so that their memory is released, and retries failed calls.
// It doesn't cancel an attempt that its entry host may still hold: another host may have taken over the shard without
// this one having noticed, so that attempts which this dispatcher doesn't know may be legitimate.
// If it gives up, a later comparison of the engine's attempts with the grants finds the attempt again.
type canceller struct {
	engines        EngineClient
	grantHolders   GrantHolders
	clock          timer.Clock
	metrics        tally.Scope
	runningCancels tasks.WaitGroup
}

func newCanceller(engines EngineClient, holders GrantHolders, clock timer.Clock, metrics tally.Scope) *canceller {
	return &canceller{engines: engines, grantHolders: holders, clock: clock, metrics: metrics}
}

// start cancels an attempt in the background; the end of ctx doesn't stop it.
func (cn *canceller) start(ctx context.Context, address string, attempt id.Attempt) {
	cn.runningCancels.Go(func() { cn.cancelWithRetry(context.WithoutCancel(ctx), address, attempt) })
}

// cancelWithRetry cancels an orphaned attempt and reports whether the engine has confirmed it. It returns false if the
// attempt is not orphaned, and after maxCancelTries failed calls.
func (cn *canceller) cancelWithRetry(ctx context.Context, address string, attempt id.Attempt) bool {
	if !cn.orphaned(ctx, attempt) {
		cn.metrics.Counter("cancels_of_held_attempts").Inc(1)
		return false
	}
	for try := range maxCancelTries {
		if cn.cancelOnce(ctx, address, attempt) {
			return true
		}
		cn.metrics.Counter("cancel_retries").Inc(1)
		timer.Sleep(ctx, cn.clock, initialCancelBackoff<<try)
	}
	return false
}

func (cn *canceller) orphaned(ctx context.Context, attempt id.Attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return cn.grantHolders.Orphaned(ctx, attempt)
}

func (cn *canceller) cancelOnce(ctx context.Context, address string, attempt id.Attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return cn.engines.CancelAttempt(ctx, address, attempt) == nil
}

// wait waits until all started cancellations have ended.
func (cn *canceller) wait() {
	cn.runningCancels.Wait()
}
