package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// streamMonitor watches the stream of one attempt. It aborts the attempt in three cases: the stream is idle and the
// engine does not respond to a probe; the stream has stalled, even if the engine still responds, and a grant on another
// engine is available; or reserved memory has waited too long for the first event.
type streamMonitor struct {
	runner *Runner
	// engine is the engine that sends the stream.
	engine batch.Part
	// idleLimit is how long the stream may be idle before the engine is probed.
	idleLimit time.Duration
	// stallLimit is how long the stream may go without an event with an id, even if the engine responds, before
	// findFailover is called; zero for no limit.
	stallLimit time.Duration
	// findFailover acquires a grant on another engine for the stalled stream and reports whether it succeeded. Its
	// context ends when the stream makes progress.
	findFailover func(context.Context) bool
	// abort ends the attempt with errUnresponsive or errStalled as its cause.
	abort func(error)
	// firstEventDeadline is when the attempt is aborted if no event with an id has come, because memory is reserved for
	// it; zero for no deadline.
	firstEventDeadline time.Time

	// mutex guards the fields below and firstEventDeadline.
	mutex sync.Mutex
	// cancelSearch ends a running findFailover, which search waits for; nil if none runs.
	cancelSearch context.CancelFunc
	search       sync.WaitGroup
	// lastActivity is when the engine last showed that it is alive, lastProgress when the last event with an id
	// arrived. Both start at the predicted time of the first event.
	lastActivity time.Time
	lastProgress time.Time
	stopped      bool
	nextCheck    timer.Subscription
}

// monitorLimits are the limits that a streamMonitor enforces.
type monitorLimits struct {
	// firstEventWait is how long the stream may be idle before its first event.
	firstEventWait time.Duration
	// stallLimit and firstEventDeadline have the same meaning as in streamMonitor.
	stallLimit         time.Duration
	firstEventDeadline time.Time
}

// startStreamMonitor starts to watch a stream. The caller must call stop.
func startStreamMonitor(rn *Runner, engine batch.Part, limits monitorLimits, findFailover func(context.Context) bool, abort func(error)) *streamMonitor {
	firstCheck := limits.firstEventWait
	predictedStart := rn.clock.Now().Add(firstCheck - rn.config.IdleBeforeProbe)
	sm := &streamMonitor{runner: rn, engine: engine, idleLimit: rn.config.IdleBeforeProbe, stallLimit: limits.stallLimit, firstEventDeadline: limits.firstEventDeadline, findFailover: findFailover, abort: abort, lastActivity: predictedStart, lastProgress: predictedStart}
	if !limits.firstEventDeadline.IsZero() {
		firstCheck = min(firstCheck, max(0, limits.firstEventDeadline.Sub(rn.clock.Now())))
	}
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.nextCheck = rn.clock.After(firstCheck, sm.check)
	return sm
}

// recordEvent records that an event arrived. An event without an id, such as a comment, shows that the engine is alive,
// but does not count as progress.
func (sm *streamMonitor) recordEvent(ev event) {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.lastActivity = sm.runner.clock.Now()
	if ev.id != "" {
		sm.firstEventDeadline = time.Time{}
		if sm.cancelSearch != nil {
			sm.cancelSearch()
		}
		sm.lastProgress = sm.lastActivity
	}
}

// check aborts the attempt with errStalled if the first event is overdue, searches for another engine for a stalled
// stream, probes the engine if the stream has been idle for too long, and schedules the next check. The timer calls it
// on its own goroutine, because the search and the probe may block.
func (sm *streamMonitor) check() {
	sm.mutex.Lock()
	if sm.stopped {
		sm.mutex.Unlock()
		return
	}
	now := sm.runner.clock.Now()
	if !sm.firstEventDeadline.IsZero() && !now.Before(sm.firstEventDeadline) {
		sm.mutex.Unlock()
		sm.abort(errStalled)
		return
	}
	if sm.stalled(now) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sm.cancelSearch = cancel
		sm.search.Add(1)
		sm.mutex.Unlock()
		found := sm.findFailover(ctx)
		sm.search.Done()
		if found {
			sm.abort(errStalled)
			return
		}
		sm.mutex.Lock()
		sm.cancelSearch = nil
		if sm.stopped {
			sm.mutex.Unlock()
			return
		}
		now = sm.runner.clock.Now()
	}
	if idleLeft := sm.idleLimit - now.Sub(sm.lastActivity); idleLeft > 0 {
		sm.nextCheck = sm.runner.clock.After(idleLeft, sm.check)
		sm.mutex.Unlock()
		return
	}
	sm.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), sm.runner.config.ProbeTimeout)
	defer cancel()
	alive := sm.runner.askedForBackoff(id.BackendServer(sm.engine.Engine)) || sm.runner.sender.ProbeHTTP(ctx, sm.engine.Address).Alive()
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	if sm.stopped {
		return
	}
	if !alive && sm.runner.clock.Now().Sub(sm.lastActivity) >= sm.idleLimit {
		sm.abort(errUnresponsive)
		return
	}
	sm.lastActivity = sm.runner.clock.Now()
	sm.nextCheck = sm.runner.clock.After(sm.idleLimit, sm.check)
}

// stalled reports whether the stream has gone without an event with an id for too long. The caller holds the mutex.
func (sm *streamMonitor) stalled(now time.Time) bool {
	return sm.stallLimit > 0 && now.Sub(sm.lastProgress) >= sm.stallLimit
}

// stop ends the monitoring and waits until a running search for another engine has ended.
func (sm *streamMonitor) stop() {
	sm.mutex.Lock()
	sm.stopped = true
	if sm.cancelSearch != nil {
		sm.cancelSearch()
	}
	sm.nextCheck.Stop()
	sm.mutex.Unlock()
	sm.search.Wait()
}
