package forward

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// renewalsPerTTL is the number of renewals within the lifetime of a reservation, so that two of them may be lost.
	renewalsPerTTL = 3.5
	// reservationCallTimeout bounds one call to an engine.
	reservationCallTimeout = 500 * time.Millisecond
	// maxReleaseAttempts bounds the calls to release memory; memory that is not released expires.
	maxReleaseAttempts = 4
)

// reservation is the memory that is reserved on engines for one attempt. It is renewed until it is released.
type reservation struct {
	runner *Runner
	// parts are the parts of the grant that need a reservation.
	parts      []batch.Part
	renewal    timer.Subscription
	reservedAt time.Time
}

// reserve reserves the memory of a grant on all of its engines. If an engine refuses or does not answer in time, it
// returns the part of that engine, and releases what the others have reserved.
func (rn *Runner) reserve(ctx context.Context, grant batch.Grant) (*reservation, *refusedReservation) {
	rv := &reservation{runner: rn, reservedAt: rn.clock.Now()}
	for _, part := range grant.Parts {
		if part.Ticket != "" {
			rv.parts = append(rv.parts, part)
		}
	}
	if len(rv.parts) == 0 {
		return rv, nil
	}
	refused := rv.reserveAll(ctx)
	if refused != nil {
		rv.release()
		return nil, refused
	}
	rv.renewal = timer.Every(rn.clock, time.Duration(float64(rn.config.ReservationTTL)/renewalsPerTTL), func() { rv.reserveAll(context.Background()) })
	return rv, nil
}

// firstEventDeadline returns when the reserved memory must be in use, which is when the first event must have arrived.
// It returns the zero time if nothing is reserved.
func (rv *reservation) firstEventDeadline() time.Time {
	if len(rv.parts) == 0 {
		return time.Time{}
	}
	return rv.reservedAt.Add(rv.runner.config.UnusedReservationTimeout)
}

// refusedReservation is memory that was not reserved.
type refusedReservation struct {
	part batch.Part
	// err is why the engine could not be asked; nil if it refused.
	err error
}

// reserveAll reserves the memory on all engines, or renews the reservations, and returns one that was not granted; nil if
// all were.
func (rv *reservation) reserveAll(ctx context.Context) *refusedReservation {
	ctx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	refused := make([]*refusedReservation, len(rv.parts))
	var calls tasks.WaitGroup
	for ix, part := range rv.parts {
		calls.Go(func() {
			ok, err := rv.runner.sender.Reserve(ctx, part, rv.runner.config.ReservationTTL)
			if !ok || err != nil {
				refused[ix] = &refusedReservation{part, err}
				rv.runner.logger.Warn("memory not set aside", "engine", string(part.Engine), "ticket", part.Ticket, "tokens", int64(part.MemoryTokens), "error", errorText(err))
			}
		})
	}
	calls.Wait()
	for _, reservation := range refused {
		if reservation != nil {
			return reservation
		}
	}
	return nil
}

// errorText returns the text of an error for logs, empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// release ends the renewals and releases the memory in the background.
func (rv *reservation) release() {
	if rv.renewal != nil {
		rv.renewal.Stop()
	}
	for _, part := range rv.parts {
		tasks.Go(func() { rv.runner.releasePart(part) })
	}
}

// releasePart releases the memory on one engine. It retries with growing delays and finally leaves the reservation to
// expire.
func (rn *Runner) releasePart(part batch.Part) {
	var err error
	for attempt := range maxReleaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), reservationCallTimeout)
		err = rn.sender.Release(ctx, part)
		cancel()
		if err == nil {
			return
		}
		timer.Sleep(context.Background(), rn.clock, reservationCallTimeout/2<<attempt)
	}
	rn.metrics.Counter("tickets_left_to_lapse").Inc(1)
	rn.logger.Warn("memory reservation left to expire", "engine", string(part.Engine), "ticket", part.Ticket, "error", errorText(err))
}
