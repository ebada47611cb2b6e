package shard

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	cancelTries   = 5
	cancelTimeout = time.Second
	cancelBackoff = 200 * time.Millisecond
)

// canceller frees what attempts hold on engines, trying again until the engine answers. It leaves attempts alone that
// their entry host may still hold: this host may have lost its shard to another one without knowing.
// What it gives up on, the comparison of engines' attempts with grants finds later.
type canceller struct {
	engines EngineClient
	holders GrantHolders
	clock   timer.Service
	metrics tally.Scope
	group   sync.WaitGroup
}

func newCanceller(engines EngineClient, holders GrantHolders, clock timer.Service, metrics tally.Scope) *canceller {
	return &canceller{engines: engines, holders: holders, clock: clock, metrics: metrics}
}

// cancel starts to free an attempt.
func (cn *canceller) cancel(ctx context.Context, address string, att id.Attempt) {
	cn.group.Go(func() { cn.run(context.WithoutCancel(ctx), address, att) })
}

func (cn *canceller) run(ctx context.Context, address string, att id.Attempt) bool {
	if !cn.disowned(ctx, att) {
		cn.metrics.Counter("cancels_of_held_attempts").Inc(1)
		return false
	}
	for try := range cancelTries {
		if cn.once(ctx, address, att) {
			return true
		}
		cn.metrics.Counter("cancel_retries").Inc(1)
		timer.Sleep(ctx, cn.clock, cancelBackoff<<try)
	}
	return false
}

func (cn *canceller) disowned(ctx context.Context, att id.Attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return cn.holders.Orphaned(ctx, att)
}

func (cn *canceller) once(ctx context.Context, address string, att id.Attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return cn.engines.CancelAttempt(ctx, address, att) == nil
}

func (cn *canceller) wait() {
	cn.group.Wait()
}
