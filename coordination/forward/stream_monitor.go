package forward

import (
	"context"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// streamMonitor watches the stream of one attempt. A stream that has stalled, or that is idle at an engine that does not
// respond to a probe, stays there until another engine has an event of it, because the engine may go on at any moment. Only
// then does the monitor abort the attempt. It also aborts an attempt whose reserved memory has waited too long for the first
// event.
type streamMonitor struct {
	runner *Runner
	// engine is the engine that sends the stream.
	engine batch.Part
	// idleLimit is how long the stream may be idle before the engine is probed.
	idleLimit time.Duration
	// stallLimit is how long the stream may go without an event with an id, even if the engine responds, before
	// findFailover is called; zero if the stream cannot go on at another engine.
	stallLimit time.Duration
	// findFailover runs an attempt on another engine for the stream and reports whether that one takes the stream over. Its
	// context ends when the engine shows that it is alive or, for a stalled stream, when the stream makes progress; an attempt
	// that runs by then goes on.
	findFailover func(context.Context) bool
	// handleNoResponse is called if the engine does not respond to a probe of this host, with the result and a context like
	// that of findFailover. Equal results in a row are passed on once.
	handleNoResponse func(context.Context, ProbeResult)
	// abort ends the attempt with errUnresponsive, errLinkLost or errStalled as its cause.
	abort func(error)
	// firstEventDeadline is when the attempt is aborted if no event with an id has come, because memory is reserved for
	// it; zero for no deadline.
	firstEventDeadline time.Time

	// mutex guards the fields below and firstEventDeadline.
	mutex sync.Mutex
	// cancelCallback ends a running findFailover or handleNoResponse, which callbacks waits for; nil if none runs.
	cancelCallback context.CancelFunc
	callbacks      tasks.WaitGroup
	// lastActivity is when the engine last showed that it is alive, lastProgress when the last event with an id
	// arrived. Both start at the predicted time of the first event.
	lastActivity time.Time
	lastProgress time.Time
	// lastResult is the result of the last probe.
	lastResult ProbeResult
	stopped    bool
	nextCheck  timer.Subscription
	// deadlineCheck is nil if there is no firstEventDeadline.
	deadlineCheck timer.Subscription
}

// monitorLimits are the limits that a streamMonitor enforces.
type monitorLimits struct {
	// firstEventWait is how long the stream may be idle before its first event.
	firstEventWait time.Duration
	// stallLimit and firstEventDeadline have the same meaning as in streamMonitor.
	stallLimit         time.Duration
	firstEventDeadline time.Time
}

// monitorCallbacks are the functions that a streamMonitor calls. They have the same meaning as in streamMonitor.
type monitorCallbacks struct {
	findFailover     func(context.Context) bool
	handleNoResponse func(context.Context, ProbeResult)
	abort            func(error)
}

// startStreamMonitor starts to watch a stream. The caller must call stop.
func startStreamMonitor(rn *Runner, engine batch.Part, limits monitorLimits, callbacks monitorCallbacks) *streamMonitor {
	predictedStart := rn.clock.Now().Add(limits.firstEventWait - rn.config.IdleBeforeProbe)
	sm := &streamMonitor{
		runner: rn, engine: engine, idleLimit: rn.config.IdleBeforeProbe, stallLimit: limits.stallLimit, firstEventDeadline: limits.firstEventDeadline,
		findFailover: callbacks.findFailover, handleNoResponse: callbacks.handleNoResponse, abort: callbacks.abort,
		lastActivity: predictedStart, lastProgress: predictedStart,
	}
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	sm.nextCheck = rn.clock.After(limits.firstEventWait, sm.check)
	if !limits.firstEventDeadline.IsZero() {
		sm.deadlineCheck = rn.clock.After(max(0, limits.firstEventDeadline.Sub(rn.clock.Now())), sm.checkFirstEvent)
	}
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
		sm.lastProgress = sm.lastActivity
	}
	if sm.cancelCallback != nil && !sm.stalled(sm.lastActivity) {
		sm.cancelCallback()
	}
}

// checkFirstEvent aborts the attempt with errStalled if the first event is overdue. It does not wait for a search for another
// engine.
func (sm *streamMonitor) checkFirstEvent() {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	if !sm.stopped && !sm.firstEventDeadline.IsZero() {
		sm.abort(errStalled)
	}
}

// check searches for another engine if the stream has stalled, probes the engine if the stream has been idle for too long,
// searches for another engine if it does not respond, and schedules the next check. The timer calls it on its own
// goroutine, because the searches and the probe may block.
func (sm *streamMonitor) check() {
	sm.mutex.Lock()
	defer sm.mutex.Unlock()
	if sm.stopped {
		return
	}
	stalled := sm.stalled(sm.runner.clock.Now())
	if stalled && sm.failOver(errStalled) || sm.stopped {
		return
	}
	nextCheck := sm.idleLimit
	if idleLeft := sm.idleLeft(); idleLeft > 0 {
		nextCheck = idleLeft
	} else if result := sm.probe(); result == Reachable {
		sm.lastResult, sm.lastActivity = result, sm.runner.clock.Now()
	} else if sm.idleLeft() <= 0 && !sm.stopped && sm.leave(result, stalled) {
		return
	}
	if !sm.stopped {
		sm.nextCheck = sm.runner.clock.After(nextCheck, sm.check)
	}
}

// leave handles the result of a probe to which the engine did not respond. It reports whether the stream goes on at another
// engine, for which it searches unless that was just done. The caller holds the mutex, which is unlocked meanwhile.
func (sm *streamMonitor) leave(result ProbeResult, searched bool) bool {
	if result != sm.lastResult {
		sm.lastResult = result
		sm.runCallback(func(ctx context.Context) { sm.handleNoResponse(ctx, result) })
	}
	if searched || sm.stopped || sm.stallLimit == 0 {
		return false
	}
	cause := errUnresponsive
	if !result.saysServerFailed() {
		cause = errLinkLost
	}
	return sm.failOver(cause)
}

// idleLeft returns how long the stream may still be idle before the engine is probed. The caller holds the mutex.
func (sm *streamMonitor) idleLeft() time.Duration {
	return sm.idleLimit - sm.runner.clock.Now().Sub(sm.lastActivity)
}

// probe returns how the engine responds to a probe. The caller holds the mutex, which is unlocked meanwhile.
func (sm *streamMonitor) probe() ProbeResult {
	sm.mutex.Unlock()
	defer sm.mutex.Lock()
	return sm.runner.probeHTTP(context.Background(), id.BackendServer(sm.engine.Engine), sm.engine.Address)
}

// runCallback runs a callback with a context that ends when the stream goes on or the monitor stops. The caller holds the
// mutex, which is unlocked meanwhile.
func (sm *streamMonitor) runCallback(callback func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sm.cancelCallback = cancel
	sm.mutex.Unlock()
	defer func() {
		sm.mutex.Lock()
		sm.cancelCallback = nil
	}()
	sm.callbacks.Run(func() { callback(ctx) })
}

// failOver searches for another engine for the stream. If one takes the stream over, it aborts the attempt with the given
// cause and returns true. The caller holds the mutex, which is unlocked meanwhile.
func (sm *streamMonitor) failOver(cause error) bool {
	found := false
	sm.runCallback(func(ctx context.Context) { found = sm.findFailover(ctx) })
	if found {
		sm.abort(cause)
	}
	return found
}

// stalled reports whether the stream has gone without an event with an id for too long. The caller holds the mutex.
func (sm *streamMonitor) stalled(now time.Time) bool {
	return sm.stallLimit > 0 && now.Sub(sm.lastProgress) >= sm.stallLimit
}

// stop ends the monitoring and waits until a running callback has ended.
func (sm *streamMonitor) stop() {
	sm.mutex.Lock()
	sm.stopped = true
	if sm.cancelCallback != nil {
		sm.cancelCallback()
	}
	sm.nextCheck.Stop()
	if sm.deadlineCheck != nil {
		sm.deadlineCheck.Stop()
	}
	sm.mutex.Unlock()
	sm.callbacks.Wait()
}
