package modelcall

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// secondAttempt is an attempt on other engines that runs beside one whose engines do not respond, because those may go on at
// any moment. It takes the request over when it has a token to deliver or the end of the answer, or when the first attempt
// fails. It is dropped if the first attempt delivers a token before that.
type secondAttempt struct {
	*failover
	streams *attemptStreams
	// revoked is closed when the grant is revoked.
	revoked <-chan struct{}
	// unresponsive is the result that the first attempt has if this one takes over.
	unresponsive attemptResult
	lastActivity time.Time
	// probing says that the engines are being probed, and activeSinceProbe that an event has arrived since that began. probes gets
	// the result.
	probing, activeSinceProbe bool
	probes                    chan attemptResult
}

// startSecond starts a second attempt under a grant for which the retry policy has allowed a retry.
func (as *attemptStreams) startSecond(found *failover, unresponsive attemptResult) *secondAttempt {
	rn := as.runner
	rn.logger.Info("attempt runs beside a silent one", "fingerprint", as.state.call.ContentFingerprint.String(), "attempt", string(found.grant.Attempt), "silent", string(as.grant.Attempt))
	return &secondAttempt{
		failover:     found,
		streams:      rn.startStreams(as.requestCtx, as.state, found.grant),
		revoked:      rn.dispatchers.RevocationSignal(found.grant.Attempt),
		unresponsive: unresponsive,
		lastActivity: rn.clock.Now(),
		probes:       make(chan attemptResult, 1),
	}
}

// events returns the channel of the events of the streams; nil, which never gets one, if there is no second attempt.
func (sa *secondAttempt) events() <-chan streamEvent {
	if sa == nil {
		return nil
	}
	return sa.streams.events
}

// revocation returns the channel that is closed when the grant is revoked; nil if there is no second attempt.
func (sa *secondAttempt) revocation() <-chan struct{} {
	if sa == nil {
		return nil
	}
	return sa.revoked
}

// probeResults returns the channel of the results of probeIfIdle; nil if there is no second attempt.
func (sa *secondAttempt) probeResults() <-chan attemptResult {
	if sa == nil {
		return nil
	}
	return sa.probes
}

// probeIfIdle probes the engines in the background if there is a second attempt without an event for IdleBeforeProbe.
func (sa *secondAttempt) probeIfIdle() {
	if sa == nil || sa.probing {
		return
	}
	rn := sa.streams.runner
	if rn.clock.Now().Sub(sa.lastActivity) < rn.config.IdleBeforeProbe {
		return
	}
	sa.probing, sa.activeSinceProbe = true, false
	tasks.Go(func() { sa.probes <- sa.streams.findLostEngine(sa.streams.ctx, 0) })
}

// delivers reports whether an event makes an attempt deliver something to the caller.
func (as *attemptStreams) delivers(event streamEvent) bool {
	frame := event.frame
	switch {
	case event.openResult != nil, event.err != nil, frame.Attempt != as.grant.Attempt:
		return false
	case event.part > 0:
		first := slices.IndexFunc(as.earlyFrames, func(early Frame) bool { return early.Kind != Token || early.TokenIndex >= as.state.nextTokenIndex })
		return frame.Kind == FollowerReady && as.pendingFollowers == 1 && first >= 0 && as.isNext(as.earlyFrames[first])
	default:
		return as.pendingFollowers == 0 && as.isNext(frame)
	}
}

// isNext reports whether a frame of a leader is the next one to deliver.
func (as *attemptStreams) isNext(frame Frame) bool {
	next := as.state.nextTokenIndex
	return frame.Kind == Token && frame.TokenIndex == next || frame.Kind == AnswerEnd && frame.TokenCount == next
}

// handlePendingEvent handles an event of a second attempt that delivers nothing, and reports whether the attempt has ended with
// the returned result. A stream that ends is not resumed, because that takes a probe for which the first attempt would wait.
func (as *attemptStreams) handlePendingEvent(ctx context.Context, event streamEvent) (attemptResult, bool) {
	engine := as.grant.Parts[event.part].Engine
	switch {
	case event.openResult != nil && event.openResult.Stream == nil && event.openResult.FailureCause == retry.Interrupted:
		return attemptResult{kind: failed, cause: retry.Interrupted, engine: engine}, true
	case event.err != nil && !as.mayIgnoreEnd(event.part):
		return attemptResult{kind: failed, cause: retry.Interrupted, engine: engine}, true
	default:
		return as.handleEvent(ctx, event)
	}
}

// endSecond ends the second attempt, if there is one, because it has failed with the given result, or because it is not needed
// if the result has no kind. The first attempt goes on.
func (as *attemptStreams) endSecond(ctx context.Context, result attemptResult) {
	second := as.second
	if second == nil {
		return
	}
	as.second = nil
	as.state.summary.Attempts++
	as.runner.dropAttempt(ctx, as.state, second, result)
}

// dropAttempt ends a second attempt that does not take its request over. Later attempts avoid the engine that failed it.
func (rn *Runner) dropAttempt(ctx context.Context, state *requestState, second *secondAttempt, result attemptResult) {
	second.streams.cancel()
	state.mayHaveRun = state.mayHaveRun || second.streams.possibleStarts > 0
	result.streamReaders = &second.streams.readers
	ended := &requestState{call: state.call, requestID: second.requestID}
	if result.kind == 0 {
		rn.endInBackground(ctx, ended, second.grant, result, true)
		return
	}
	rn.logger.Info("attempt ended", "fingerprint", state.call.ContentFingerprint.String(), "attempt", string(second.grant.Attempt), "result", result.String(), "engine", string(result.engine))
	_, _ = rn.concludeAttempt(ctx, ended, second.grant, result)
	state.avoidedEngines = append(state.avoidedEngines, ended.avoidedEngines...)
}

// leaveToSecond makes the next attempt of the request go on with the second one, if there is one, after the first one has
// failed with the given result. If the request has ended, so does the second attempt.
func (as *attemptStreams) leaveToSecond(ctx context.Context, result attemptResult) {
	switch result.kind {
	case complete, callerGone, contextEnded:
		as.endSecond(ctx, attemptResult{})
	default:
		as.state.second, as.second = as.second, nil
	}
}
