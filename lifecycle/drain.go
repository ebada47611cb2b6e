package lifecycle

import (
	"context"
	"log/slog"
	"time"

	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// drainPollInterval is the time between two checks whether a host has requests in flight.
const drainPollInterval = 20 * time.Millisecond

// Drain waits for the requests in flight of a host that no longer accepts new ones.
type Drain struct {
	Clock  timer.Clock
	Logger *slog.Logger
	// Grace is the time that the host has to stop, from StartedAt on.
	Grace     Grace
	StartedAt time.Time
	// InFlight returns the number of requests in flight.
	InFlight func() int64
	// Abort ends the requests in flight to whose clients the host can still send that it does. It is called once at most.
	Abort func()
	// CutOff, if not nil, ends the others, whose clients only see that the response breaks off. It is called once at most,
	// after Abort.
	CutOff func()
}

// Elapsed returns how long ago the stop began.
func (dr Drain) Elapsed() time.Duration { return dr.Clock.Now().Sub(dr.StartedAt) }

// Wait returns when no request is in flight, when the host has to end, or when the context ends. It aborts requests that
// can't finish in time. It returns how long the ends of responses may still be sent. A process that did not run when it
// had to abort or to end does both later, because the clients of aborted requests still need their responses.
func (dr Drain) Wait(ctx context.Context) time.Duration {
	aborted, cutOff := false, dr.CutOff == nil
	exitAt := dr.Grace.ExitTime()
	for dr.InFlight() > 0 && (!aborted || !cutOff || dr.Elapsed() < exitAt) {
		if !aborted && dr.Elapsed() >= dr.Grace.AbortTime() {
			aborted = true
			exitAt = max(exitAt, dr.Elapsed()+min(minAnswerTime, (dr.Grace.ExitTime()-dr.Grace.AbortTime())/2))
			dr.Logger.Warn("host aborts the requests that it can't finish in time", "in_flight", dr.InFlight())
			dr.Abort()
		}
		if !cutOff && dr.Elapsed() >= dr.Grace.CutOffTime() {
			cutOff = true
			dr.Logger.Warn("host cuts off the responses that it can't finish in time", "in_flight", dr.InFlight())
			dr.CutOff()
		}
		if !timer.Sleep(ctx, dr.Clock, drainPollInterval) {
			break
		}
	}
	dr.Logger.Info("host has finished its requests", "in_flight", dr.InFlight(), "took_ms", dr.Elapsed().Milliseconds())
	return dr.Left()
}

// Left returns how long the host may still run.
func (dr Drain) Left() time.Duration {
	return max(dr.Grace.CloseTime()-dr.Elapsed(), min(closeDelay, dr.Grace.CloseTime()-dr.Grace.ExitTime()))
}

// Await runs functions that wait for what outlasts its requests, one after the other. It returns when all have returned
// or the host has to end.
func (dr Drain) Await(waits ...func()) {
	ended := make(chan struct{})
	tasks.Go(func() {
		defer close(ended)
		for _, wait := range waits {
			wait()
		}
	})
	expired, subscription := timer.Wait(dr.Clock, dr.Left())
	defer subscription.Stop()
	select {
	case <-ended:
	case <-expired:
		dr.Logger.Warn("host ends before the work that outlasts its requests", "took_ms", dr.Elapsed().Milliseconds())
	}
}
