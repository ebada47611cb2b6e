package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// renewals is the number of renewals within the time that memory stays set aside, so that two may be lost.
	renewals = 3.5
	// ticketTimeout bounds one order.
	ticketTimeout = 500 * time.Millisecond
	// releaseTries bounds the orders to give memory back; memory that is not given back lapses.
	releaseTries = 4
)

// tickets is the memory that is set aside for one attempt.
type tickets struct {
	runner *Runner
	parts  []batch.Part
	sub    timer.Subscription
	since  time.Time
}

// reserve sets the memory of a grant aside on all its engines. It returns the part that has no room, if one has none;
// nothing stays set aside then.
func (rn *Runner) reserve(ctx context.Context, grant batch.Grant) (*tickets, *batch.Part) {
	tk := &tickets{runner: rn, since: rn.clock.Now()}
	for _, part := range grant.Parts {
		if part.Ticket != "" {
			tk.parts = append(tk.parts, part)
		}
	}
	if len(tk.parts) == 0 {
		return tk, nil
	}
	refused := tk.order(ctx)
	if refused != nil {
		tk.release()
		return nil, refused
	}
	tk.sub = timer.Every(rn.clock, time.Duration(float64(rn.config.ReservationTTL)/renewals), func() { tk.order(context.Background()) })
	return tk, nil
}

// useBy returns when the memory is to be used, zero if none is set aside.
func (tk *tickets) useBy() time.Time {
	if len(tk.parts) == 0 {
		return time.Time{}
	}
	return tk.since.Add(tk.runner.config.UnusedReservationTimeout)
}

// order sets the memory aside, or renews that, and returns a part that was not granted.
func (tk *tickets) order(ctx context.Context) *batch.Part {
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	granted := make([]bool, len(tk.parts))
	var group sync.WaitGroup
	for ix, part := range tk.parts {
		group.Go(func() {
			ok, err := tk.runner.servers.Reserve(ctx, part.Address, part.Ticket, part.MemoryTokens, tk.runner.config.ReservationTTL)
			granted[ix] = ok && err == nil
			if !granted[ix] {
				tk.runner.logger.Warn("memory not set aside", "engine", string(part.Engine), "ticket", part.Ticket, "tokens", int64(part.MemoryTokens), "error", errorText(err))
			}
		})
	}
	group.Wait()
	for ix, ok := range granted {
		if !ok {
			return &tk.parts[ix]
		}
	}
	return nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// release gives the memory back, trying again until each engine has answered.
func (tk *tickets) release() {
	if tk.sub != nil {
		tk.sub.Stop()
	}
	for _, part := range tk.parts {
		go tk.runner.giveBack(part)
	}
}

func (rn *Runner) giveBack(part batch.Part) {
	var err error
	for try := range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), ticketTimeout)
		err = rn.servers.Release(ctx, part.Address, part.Ticket)
		cancel()
		if err == nil {
			return
		}
		timer.Sleep(context.Background(), rn.clock, ticketTimeout/2<<try)
	}
	rn.metrics.Counter("tickets_left_to_lapse").Inc(1)
	rn.logger.Warn("memory left to lapse", "engine", string(part.Engine), "ticket", part.Ticket, "error", errorText(err))
}
