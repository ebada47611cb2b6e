package modelcall

import (
	"context"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// resultKind says why the streams of an attempt are no longer followed.
type resultKind int

const (
	// complete means that the whole answer was delivered.
	complete resultKind = iota + 1
	// callerGone means that the sink refused a token.
	callerGone
	// contextEnded means that the deadline has passed or that the caller has cancelled the request.
	contextEnded
	// crashed means that an engine refuses connections.
	crashed
	// unresponsive means that an engine accepts connections but does not answer in time.
	unresponsive
	// failed means any other failure; all engines of the attempt answered if they were probed.
	failed
)

// attemptResult says how an attempt ended and which engine is responsible if it failed.
type attemptResult struct {
	kind resultKind
	// cause is set if the kind is unresponsive or failed.
	cause retry.Cause
	// engine is set if the kind is crashed, unresponsive or failed.
	engine id.Engine
	// draining reports that the engine refused the attempt because it is leaving.
	draining bool
	// streamReaders counts the goroutines that may still be opening streams of the attempt.
	streamReaders *tasks.WaitGroup
}

// String returns the name of the result that is recorded in traces.
func (ar attemptResult) String() string {
	switch ar.kind {
	case complete:
		return "complete"
	case callerGone:
		return "caller_gone"
	case contextEnded:
		return "timeout"
	case crashed:
		return "crashed"
	default:
		return ar.cause.String()
	}
}

// idleChecksPerInterval is how many times within IdleBeforeProbe the streams are checked for inactivity.
const idleChecksPerInterval = 4

// streamEvent is an event of the stream of one part of an attempt: the result of opening it, a frame, or its end.
type streamEvent struct {
	// part is the index of the part in the grant. Part 0 is the leader, the others are followers.
	part  int
	frame Frame
	// openResult is set when the stream was opened or could not be opened.
	openResult *OpenResult
	// err is set when the stream has ended or was interrupted.
	err error
}

// attemptStreams follows the streams of one attempt, one for each engine. The engines of an attempt with several parts
// form a gang: the leader generates the answer, the followers process and store a part of the prompt. Only the
// goroutine of handleEvents changes the fields; the goroutines that read streams send their events to it.
type attemptStreams struct {
	runner *Runner
	state  *requestState
	grant  dispatch.Grant
	events chan streamEvent
	// requestCtx ends with the request, ctx, which cancel ends, with the attempt.
	requestCtx, ctx context.Context
	cancel          context.CancelFunc
	// second is the attempt that runs beside this one, or nil. firstEvent is the event with which this attempt, as a second one,
	// took over, or nil.
	second     *secondAttempt
	firstEvent *streamEvent
	// pendingFollowers counts the followers that have not yet processed their part of the prompt.
	pendingFollowers int
	// earlyFrames holds the leader's frames that arrived before every follower was ready.
	earlyFrames []Frame
	// resumes counts how often a stream of the attempt was opened again.
	resumes int
	// possibleStarts counts the engines that have not refused to start their part and so may run it.
	possibleStarts int
	// startReported says that the first token of the attempt was reported to the dispatcher.
	startReported bool
	// readers counts the goroutines that open and read streams.
	readers tasks.WaitGroup
}

// startStreams starts to open the streams of an attempt. requestCtx ends with the request.
func (rn *Runner) startStreams(requestCtx context.Context, state *requestState, grant dispatch.Grant) *attemptStreams {
	ctx, cancel := context.WithCancel(requestCtx)
	streams := &attemptStreams{
		requestCtx:       requestCtx,
		ctx:              ctx,
		cancel:           cancel,
		runner:           rn,
		state:            state,
		grant:            grant,
		events:           make(chan streamEvent),
		pendingFollowers: len(grant.Parts) - 1,
	}
	for part := range grant.Parts {
		request := streams.streamRequest(part)
		streams.readers.Go(func() { streams.readStream(ctx, part, request, false) })
	}
	streams.possibleStarts = len(grant.Parts)
	return streams
}

// follow passes tokens to the sink until the answer is complete or the attempt has failed.
func (as *attemptStreams) follow() attemptResult {
	defer as.cancel()
	result := as.handleEvents(as.ctx)
	as.leaveToSecond(as.ctx, result)
	result.streamReaders = &as.readers
	// An engine that has not refused to start may run the request, even if its response has not arrived.
	as.state.mayHaveRun = as.state.mayHaveRun || as.possibleStarts > 0
	return result
}

// streamRequest returns the request for the stream of a part. It asks for the tokens that are not yet delivered.
func (as *attemptStreams) streamRequest(part int) StreamRequest {
	enginePart := as.grant.Parts[part]
	return StreamRequest{
		Attempt:         as.grant.Attempt,
		Address:         enginePart.Address,
		Model:           as.state.call.Model,
		Body:            as.state.call.Body,
		Priority:        as.grant.Priority,
		FirstTokenIndex: as.state.nextTokenIndex,
		PartTokens:      enginePart.PromptTokens,
		Follower:        part > 0,
		PrefixHashes:    as.state.call.PrefixHashes,
	}
}

// readStream opens or resumes the stream of a part and sends its events until the stream or the context ends.
func (as *attemptStreams) readStream(ctx context.Context, part int, request StreamRequest, resume bool) {
	open := as.runner.engines.Open
	if resume {
		open = as.runner.engines.Resume
	}
	openResult := open(ctx, request)
	if !as.sendEvent(ctx, streamEvent{part: part, openResult: &openResult}) || openResult.Stream == nil {
		if openResult.Stream != nil {
			openResult.Stream.Close()
		}
		return
	}
	defer openResult.Stream.Close()
	for {
		frame, err := openResult.Stream.Next()
		if !as.sendEvent(ctx, streamEvent{part: part, frame: frame, err: err}) || err != nil {
			return
		}
	}
}

// sendEvent sends an event to handleEvents. It returns false if the context has ended first.
func (as *attemptStreams) sendEvent(ctx context.Context, event streamEvent) bool {
	select {
	case as.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// handleEvents handles the events of all streams until the attempt has ended, its grant is revoked or the context ends.
// If no event arrives for IdleBeforeProbe, it probes the engines in the background. The attempt continues if all of them
// answer. If one does not, it may go on at any moment, so the attempt continues until a second one, which runs on a failover,
// has something to deliver.
func (as *attemptStreams) handleEvents(ctx context.Context) attemptResult {
	rn := as.runner
	if as.firstEvent != nil {
		if result, ended := as.handleEvent(ctx, *as.firstEvent); ended {
			return result
		}
	}
	revoked := rn.dispatchers.RevocationSignal(as.grant.Attempt)
	probeResults := make(chan attemptResult, 1)
	// activeSinceProbe says that an event has arrived since the last probe began.
	probing, activeSinceProbe := false, false
	idleChecks := make(chan struct{}, 1)
	ticker := timer.Every(rn.clock, rn.config.IdleBeforeProbe/idleChecksPerInterval, func() {
		select {
		case idleChecks <- struct{}{}:
		default:
		}
	})
	defer ticker.Stop()
	lastActivity := rn.clock.Now()
	var search *failoverSearch
	defer func() { search.end(ctx) }()
	for {
		select {
		case event := <-as.events:
			lastActivity, activeSinceProbe = rn.clock.Now(), true
			search.end(ctx)
			search = nil
			tokensBefore := as.state.nextTokenIndex
			if result, ended := as.handleEvent(ctx, event); ended {
				return result
			}
			if as.state.nextTokenIndex > tokensBefore {
				as.endSecond(ctx, attemptResult{})
			}
		case event := <-as.second.events():
			as.second.lastActivity, as.second.activeSinceProbe = rn.clock.Now(), true
			if as.second.streams.delivers(event) {
				as.second.streams.firstEvent = &event
				return as.second.unresponsive
			}
			if result, ended := as.second.streams.handlePendingEvent(ctx, event); ended {
				as.endSecond(ctx, result)
			}
		case <-as.second.revocation():
			as.endSecond(ctx, attemptResult{})
		case result := <-as.second.probeResults():
			as.second.probing, as.second.lastActivity = false, rn.clock.Now()
			if result.kind != failed && !as.second.activeSinceProbe {
				as.endSecond(ctx, result)
			}
		case <-idleChecks:
			as.second.probeIfIdle()
			if !probing && rn.clock.Now().Sub(lastActivity) >= rn.config.IdleBeforeProbe {
				probing, activeSinceProbe = true, false
				tasks.Go(func() { as.probeEngines(ctx, probeResults) })
			}
		case probeResult := <-probeResults:
			probing = false
			lastActivity = rn.clock.Now()
			switch {
			case probeResult.kind == crashed:
				return probeResult
			case probeResult.kind != unresponsive:
				search.end(ctx)
				search = nil
			case search == nil && as.second == nil && !activeSinceProbe && rn.retryAllowed(as.state, probeResult.cause):
				if as.grant.RunsAlone {
					return probeResult
				}
				rn.metrics.Counter("failover_searches").Inc(1)
				search = as.startFailoverSearch(ctx, probeResult)
			}
		case found := <-search.results():
			unresponsiveResult := search.unresponsive
			search.cancel()
			search = nil
			if as.mayUseFailover(ctx, found, unresponsiveResult.cause) {
				as.second = as.startSecond(found, unresponsiveResult)
			}
			lastActivity = rn.clock.Now()
		case <-revoked:
			return attemptResult{kind: failed, cause: retry.Preempted, engine: as.grant.Parts[0].Engine}
		case <-ctx.Done():
			return attemptResult{kind: contextEnded}
		}
	}
}

// probeEngines probes every engine of the attempt and sends the result. Its kind is failed if all engines answer.
func (as *attemptStreams) probeEngines(ctx context.Context, probeResults chan<- attemptResult) {
	probeResults <- as.findLostEngine(ctx, 0)
}

// findLostEngine probes all engines of the attempt concurrently and returns a result that names one that does not
// answer, preferably one that refuses connections. If all answer, the kind is failed and the result names the engine of
// the part whose stream failed.
func (as *attemptStreams) findLostEngine(ctx context.Context, failedPart int) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, as.runner.config.EngineCallTimeout)
	defer cancel()
	healths := make([]Health, len(as.grant.Parts))
	var group tasks.WaitGroup
	for index, part := range as.grant.Parts {
		group.Go(func() { healths[index] = as.runner.engines.ProbeHealth(ctx, part.Address) })
	}
	group.Wait()
	if index := slices.Index(healths, Unreachable); index >= 0 {
		return attemptResult{kind: crashed, engine: as.grant.Parts[index].Engine}
	}
	if index := slices.Index(healths, Unresponsive); index >= 0 {
		return attemptResult{kind: unresponsive, cause: retry.Interrupted, engine: as.grant.Parts[index].Engine}
	}
	return attemptResult{kind: failed, cause: retry.Interrupted, engine: as.grant.Parts[failedPart].Engine}
}

// handleEvent handles one event and reports whether the attempt has ended with the returned result. It drops frames of
// other attempts.
func (as *attemptStreams) handleEvent(ctx context.Context, event streamEvent) (attemptResult, bool) {
	switch {
	case event.openResult != nil:
		return as.handleOpenResult(ctx, event)
	case event.err != nil:
		return as.handleStreamEnd(ctx, event)
	case event.frame.Attempt != as.grant.Attempt:
		as.runner.metrics.Counter("frames_of_other_attempts").Inc(1)
		return attemptResult{}, false
	case event.part > 0:
		return as.handleFollowerFrame(event.frame)
	default:
		return as.handleLeaderFrame(event.frame)
	}
}

// handleOpenResult handles the result of opening a stream. The attempt ends if there is no stream. If the engine may
// have started its part nevertheless, the engines are probed to find out which one was lost.
func (as *attemptStreams) handleOpenResult(ctx context.Context, event streamEvent) (attemptResult, bool) {
	if event.openResult.Stream != nil {
		return attemptResult{}, false
	}
	engine := as.grant.Parts[event.part].Engine
	if event.openResult.FailureCause == retry.Interrupted {
		return as.findLostEngine(ctx, event.part), true
	}
	as.possibleStarts--
	return attemptResult{kind: failed, cause: event.openResult.FailureCause, engine: engine, draining: event.openResult.Draining}, true
}

// handleStreamEnd handles a stream that has ended or was interrupted. It ignores the end of a follower's stream once
// all followers are ready, and the end of the leader's stream once the leader has sent its whole answer. Otherwise it
// resumes the stream of the same attempt if all engines answer a probe, at most MaxResumes times over all streams of
// the attempt.
func (as *attemptStreams) handleStreamEnd(ctx context.Context, event streamEvent) (attemptResult, bool) {
	if as.mayIgnoreEnd(event.part) {
		return attemptResult{}, false
	}
	as.runner.metrics.Counter("streams_cut").Inc(1)
	result := as.findLostEngine(ctx, event.part)
	if ctx.Err() != nil {
		return attemptResult{kind: contextEnded}, true
	}
	if result.kind != failed || as.resumes >= as.runner.config.MaxResumes {
		return result, true
	}
	as.resumes++
	as.runner.metrics.Counter("streams_resumed").Inc(1)
	request := as.streamRequest(event.part)
	as.readers.Go(func() { as.readStream(ctx, event.part, request, true) })
	return attemptResult{}, false
}

// mayIgnoreEnd reports whether the stream of a part is no longer needed.
func (as *attemptStreams) mayIgnoreEnd(part int) bool {
	return part > 0 && as.pendingFollowers == 0 || part == 0 && as.leaderFinishedEarly()
}

// leaderFinishedEarly reports whether the leader has sent its whole answer although not every follower is ready.
func (as *attemptStreams) leaderFinishedEarly() bool {
	return slices.ContainsFunc(as.earlyFrames, func(frame Frame) bool { return frame.Kind == AnswerEnd })
}

// handleFollowerFrame counts a follower that has become ready. When all are, it handles the leader's early frames.
func (as *attemptStreams) handleFollowerFrame(frame Frame) (attemptResult, bool) {
	if frame.Kind != FollowerReady || as.pendingFollowers == 0 {
		return attemptResult{}, false
	}
	as.pendingFollowers--
	if as.pendingFollowers > 0 {
		return attemptResult{}, false
	}
	earlyFrames := as.earlyFrames
	as.earlyFrames = nil
	for _, leaderFrame := range earlyFrames {
		if result, ended := as.handleLeaderFrame(leaderFrame); ended {
			return result, true
		}
	}
	return attemptResult{}, false
}

// handleLeaderFrame delivers the next token and completes the answer at its end. It drops a token that was already
// delivered. A gap in the tokens, also one before the end, fails the attempt. Frames that arrive before every follower
// is ready are stored and handled later.
func (as *attemptStreams) handleLeaderFrame(frame Frame) (attemptResult, bool) {
	if as.pendingFollowers > 0 {
		as.earlyFrames = append(as.earlyFrames, frame)
		return attemptResult{}, false
	}
	state := as.state
	switch {
	case frame.Kind == Token && frame.TokenIndex == state.nextTokenIndex:
		return as.deliverToken(frame)
	case frame.Kind == Token && frame.TokenIndex < state.nextTokenIndex:
		as.runner.metrics.Counter("frames_duplicated").Inc(1)
		return attemptResult{}, false
	case frame.Kind == AnswerEnd && frame.TokenCount == state.nextTokenIndex:
		state.summary.FinishReason = frame.FinishReason
		state.summary.PromptTokens = frame.PromptTokens
		return attemptResult{kind: complete}, true
	default:
		as.runner.metrics.Counter("frames_missing").Inc(1)
		return attemptResult{kind: failed, cause: retry.Interrupted, engine: as.grant.Parts[0].Engine}, true
	}
}

// deliverToken passes the next token to the sink. It reports the attempt's first token to the dispatcher. The attempt
// ends if the sink refuses the token.
func (as *attemptStreams) deliverToken(frame Frame) (attemptResult, bool) {
	state := as.state
	if state.nextTokenIndex == 0 {
		state.summary.TimeToFirstToken = as.runner.clock.Now().Sub(state.startedAt)
	}
	if !as.startReported {
		as.startReported = true
		as.runner.dispatchers.ReportStarted(as.grant.Attempt)
	}
	if state.sink.Token(frame.TokenIndex, frame.Text) != nil {
		return attemptResult{kind: callerGone}, true
	}
	state.nextTokenIndex++
	state.summary.DeliveredTokens = state.nextTokenIndex
	return attemptResult{}, false
}
