package lifecycle_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// steppedClock is a clock on which each wait ends at once and moves the time forward.
type steppedClock struct {
	now time.Time
}

func (sc *steppedClock) Now() time.Time { return sc.now }

func (sc *steppedClock) After(wait time.Duration, notify func()) timer.Subscription {
	sc.now = sc.now.Add(wait)
	notify()
	return endedSubscription{}
}

type endedSubscription struct{}

func (endedSubscription) Stop() bool { return false }

// TestDrain checks when requests in flight are aborted, and when the wait for them ends.
func TestDrain(t *testing.T) {
	const (
		grace = lifecycle.Grace(10 * time.Second)
		// never is the end of requests that don't end by themselves.
		never = time.Hour
		// pollTime bounds what a wait adds to the moment that it waits for.
		pollTime = 50 * time.Millisecond
	)
	for _, tc := range []struct {
		name string
		// startedBefore is how long before the wait the stop began.
		startedBefore time.Duration
		// endsAfter is when the requests end by themselves, and endsAfterAbort how long after they were aborted. Both times
		// count from the start of the stop.
		endsAfter, endsAfterAbort time.Duration
		wantAbortAt, wantEndAt    time.Duration
	}{
		{"no requests", 3 * time.Second, 0, 0, 0, 3 * time.Second},
		{"requests that end in time", 3 * time.Second, 7 * time.Second, 0, 0, 7 * time.Second},
		{"requests that end in the last sixth", 0, grace.AbortTime() - pollTime, 0, 0, grace.AbortTime() - pollTime},
		{"aborted requests", 3 * time.Second, never, 100 * time.Millisecond, grace.AbortTime(), grace.AbortTime() + 100*time.Millisecond},
		{"requests that do not end", 3 * time.Second, never, never, grace.AbortTime(), grace.ExitTime()},
		{"a stop that goes on after the abort time", grace.ExitTime(), never, 100 * time.Millisecond, grace.ExitTime(), grace.ExitTime() + 100*time.Millisecond},
		{"a stop that goes on after its end", time.Duration(grace), never, 100 * time.Millisecond, time.Duration(grace), time.Duration(grace) + 100*time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			startedAt := time.Now()
			clock := &steppedClock{now: startedAt.Add(tc.startedBefore)}
			endsAt, abortedAt := tc.endsAfter, time.Duration(0)
			drain := lifecycle.Drain{
				Clock: clock, Logger: slog.New(slog.DiscardHandler), Grace: grace, StartedAt: startedAt,
				InFlight: func() int64 {
					if clock.now.Sub(startedAt) < endsAt {
						return 1
					}
					return 0
				},
				Abort: func() {
					assert.Equal(t, abortedAt, time.Duration(0), "aborted twice")
					abortedAt = clock.now.Sub(startedAt)
					endsAt = abortedAt + tc.endsAfterAbort
				},
			}
			left := drain.Wait(t.Context())
			assert.Equal(t, left, max(grace.CloseTime()-drain.Elapsed(), 50*time.Millisecond))
			for _, times := range []struct{ got, want time.Duration }{{abortedAt, tc.wantAbortAt}, {drain.Elapsed(), tc.wantEndAt}} {
				assert.Assert(t, times.got >= times.want && times.got <= times.want+pollTime, "%s, not %s", times.got, times.want)
			}
		})
	}
}

// TestAbortCutsResponses guards against responses that are cut off together with the requests that are aborted to be
// answered, although the host still has time: those that have begun may go on until it has to end.
func TestAbortCutsResponses(t *testing.T) {
	const (
		pollTime = 50 * time.Millisecond
		never    = time.Hour
	)
	for name, tc := range map[string]struct {
		grace lifecycle.Grace
		// startedBefore is how long before the wait the stop began.
		startedBefore, endsAfter, wantCutOffAt, wantEndAt time.Duration
	}{
		"ends after the abort":                   {lifecycle.Grace(5 * time.Second), time.Second, 4750 * time.Millisecond, 0, 4750 * time.Millisecond},
		"does not end":                           {lifecycle.Grace(5 * time.Second), time.Second, never, 4800 * time.Millisecond, 4800 * time.Millisecond},
		"does not end, long grace":               {lifecycle.Grace(30 * time.Second), time.Second, never, 28800 * time.Millisecond, 28800 * time.Millisecond},
		"does not end, short grace":              {lifecycle.Grace(2 * time.Second), 500 * time.Millisecond, never, 1800 * time.Millisecond, 1900 * time.Millisecond},
		"does not end, no time to cut off later": {lifecycle.Grace(time.Second), 300 * time.Millisecond, never, 840 * time.Millisecond, 940 * time.Millisecond},
		"the process was frozen":                 {lifecycle.Grace(5 * time.Second), 6 * time.Second, never, 6 * time.Second, 6100 * time.Millisecond},
		"no grace":                               {0, 0, never, 0, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			startedAt := time.Now()
			clock := &steppedClock{now: startedAt.Add(tc.startedBefore)}
			elapsed := func() time.Duration { return clock.now.Sub(startedAt) }
			endsAt, cutOffAt, abortCount := tc.endsAfter, time.Duration(0), 0
			drain := lifecycle.Drain{
				Clock: clock, Logger: slog.New(slog.DiscardHandler), Grace: tc.grace, StartedAt: startedAt,
				InFlight: func() int64 {
					if elapsed() < endsAt {
						return 1
					}
					return 0
				},
				Abort: func() { abortCount++ },
				CutOff: func() {
					assert.Equal(t, abortCount, 1)
					assert.Equal(t, cutOffAt, time.Duration(0), "cut off twice")
					cutOffAt = elapsed()
					// Connections take a time to close.
					endsAt = cutOffAt + 100*time.Millisecond
				},
			}
			drain.Wait(t.Context())
			for _, times := range []struct{ got, want time.Duration }{{cutOffAt, tc.wantCutOffAt}, {elapsed(), tc.wantEndAt}} {
				assert.Assert(t, times.got >= times.want && times.got <= times.want+pollTime, "%s, not %s", times.got, times.want)
			}
		})
	}
}

// TestDrainEndsWithContext checks that a wait for requests ends when a component of the host has stopped by itself.
func TestDrainEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var log bytes.Buffer
	drain := lifecycle.Drain{
		Clock: timer.NewSystem(), Logger: slog.New(slog.NewTextHandler(&log, nil)), Grace: lifecycle.Grace(time.Hour), StartedAt: time.Now(),
		InFlight: func() int64 { cancel(); return 2 },
		Abort:    func() { t.Error("aborted") },
	}
	drain.Wait(ctx)
	assert.Assert(t, strings.Contains(log.String(), "in_flight=2"), log.String())
}

// TestAwait checks that a stop waits for work that outlasts its requests, at most until the host has to end.
func TestAwait(t *testing.T) {
	const grace = lifecycle.Grace(10 * time.Second)
	for _, tc := range []struct {
		name           string
		work, wantTime time.Duration
	}{
		{"short work", time.Second, 2 * time.Second},
		{"endless work", time.Minute, grace.CloseTime()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				drain := lifecycle.Drain{Clock: timer.NewSystem(), Logger: slog.New(slog.DiscardHandler), Grace: grace, StartedAt: time.Now()}
				work := func() { time.Sleep(tc.work) }
				drain.Await(work, work)
				assert.Equal(t, drain.Elapsed(), tc.wantTime)
				// The work ends before the test does.
				time.Sleep(2 * tc.work)
			})
		})
	}
}
