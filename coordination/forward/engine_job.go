package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// engineJob is the forwarding of one request whose response is a stream of an engine.
type engineJob struct {
	*job
	// grantRequest is the request to the dispatcher for the current or next attempt.
	grantRequest broker.GrantRequest
	// lastEventID is the id of the last event that was forwarded.
	lastEventID string
	// endsUnnumbered says that an event with data but without an id was forwarded after the one with lastEventID. The stream
	// can't be resumed then, because no request can ask an engine to go on after it.
	endsUnnumbered bool
	// endUnconfirmed says that the stream was resumed because its end was not confirmed. It may have been the end, so that a
	// stream that resumes it may have no event.
	endUnconfirmed bool
	// grantsUsed counts the grants used so far, failover grants included.
	grantsUsed int
	// engineUse is what the request remembers of its engines. The goroutine of the attempt changes it.
	engineUse engineUse
	// mutex guards lastEventAt, the time when an event was last forwarded.
	mutex       sync.Mutex
	lastEventAt time.Time
	// forwarding is held while an event is forwarded. It guards lastEventID, endsUnnumbered and superseded while the attempt
	// runs. superseded says that the attempt may forward no more events, because its failover attempt has one to forward.
	forwarding sync.Mutex
	superseded bool
	// failover holds the failover attempts of the current attempt.
	failover failoverState
	// asFailover is the failover attempt that this job runs until it takes the stream over; nil if it runs none.
	asFailover *failoverAttempt
	// grantedAt is when the current grant arrived, server the engine that responds under it, as listed at that time.
	grantedAt time.Time
	server    serverlist.Server
	// silenceChecked says that the engine was checked for a crash because it was silent, and has sent nothing since.
	silenceChecked atomic.Bool
}

// runOnEngines acquires grants on engines and forwards the events of the stream until it is complete or is not retried.
func (jb *job) runOnEngines(ctx context.Context) {
	rn := jb.runner
	request := jb.request
	st := &engineJob{job: jb, lastEventID: request.LastEventID}
	st.grantRequest = broker.GrantRequest{
		Request: batch.Request{
			ID:                 id.NewRequest(rn.host, rn.incarnation, rn.requestCounter.Add(1)),
			Organisation:       request.Organisation,
			PromptTokens:       request.PromptTokens,
			MaxAnswerTokens:    request.MaxAnswerTokens,
			FirstEventTarget:   request.Route.TargetLatency,
			MaxPause:           request.Route.MaxPause,
			ArrivedAt:          request.ArrivedAt,
			Priority:           request.Priority,
			ContentFingerprint: st.result.Fingerprint,
			PromptParts:        request.PromptParts,
		},
		Service: request.Service,
	}
	st.result.DispatchID = st.grantRequest.ID
	defer st.dropFailover()
	for {
		st.grantRequest.AttemptNumber++
		retryNeeded := st.attempt(ctx)
		if !retryNeeded {
			return
		}
	}
}

// attempt acquires a grant and runs the request under it, or goes on with the failover attempt of the last one. It reports
// whether another attempt is to be made.
func (st *engineJob) attempt(ctx context.Context) bool {
	var ended broker.EndedGrant
	var result attemptResult
	if failover := st.failover.take(); failover != nil {
		ended, result = st.joinFailover(failover)
	} else {
		if st.rejectQuarantined() || st.rejectUnreachable() {
			return false
		}
		grant, ok := st.acquireGrant(ctx)
		if !ok {
			return false
		}
		if st.grantsUsed == 0 {
			st.result.QueueTime = st.runner.clock.Now().Sub(st.request.ArrivedAt)
		}
		ended, result = st.useGrant(ctx, grant)
		st.countFailedFailovers()
	}
	st.result.Cause = result.reason
	switch {
	case result.final:
	case ctx.Err() != nil:
		// A failover attempt ends with the request, and its engine may have run it.
		st.mayHaveRun = st.mayHaveRun || st.failover.isPresent()
		st.setOutcomeOnContextEnd(ctx)
	case st.endsUnnumbered:
		st.setOutcomeOnFailure(result.reason)
	case st.failover.isPresent():
		return true
	default:
		return st.prepareRetry(ctx, result, ended)
	}
	return false
}

// useGrant runs the request under a grant and reports the end of the attempt to the dispatcher.
func (st *engineJob) useGrant(ctx context.Context, grant batch.Grant) (broker.EndedGrant, attemptResult) {
	rn := st.runner
	st.grantedAt = rn.clock.Now()
	st.server = rn.serverOfPart(st.request.Service, grant.Parts[0])
	st.setIsolatedParts(grant.SuspectParts)
	st.grantsUsed++
	st.result.Attempts++
	st.result.Server = id.BackendServer(grant.Parts[0].Engine)
	st.result.Helpers = len(grant.Parts) - 1
	rn.logger.Info("request placed", "request", st.request.ID, "fingerprint", st.result.Fingerprint.String(), "attempt", string(grant.Attempt), "engine", string(grant.Parts[0].Engine),
		"address", grant.Parts[0].Address, "helpers", len(grant.Parts)-1, "prompt", int64(st.request.PromptTokens), "urgency", grant.Urgency,
		"predicted_ms", grant.PredictedFirstEvent.Milliseconds(), "waited_ms", rn.clock.Now().Sub(st.request.ArrivedAt).Milliseconds(),
		"list_age_ms", rn.fleet.ListAge().Milliseconds())
	st.silenceChecked.Store(false)
	ended, result := st.runOnGrant(ctx, grant)
	if st.result.Complete {
		st.endSilence()
	}
	if result.givenUp && st.silenceChecked.Load() {
		rn.suspectAfterSilence(st.request, st.server)
	}
	ended.Request = st.grantRequest.ID
	ended.Attempt = grant.Attempt
	rn.dispatcher.ReportEnded(ended)
	rn.logger.Info("attempt ended", "request", st.request.ID, "fingerprint", st.result.Fingerprint.String(), "attempt", string(grant.Attempt), "engine", string(grant.Parts[0].Engine),
		"address", grant.Parts[0].Address, "helpers", len(grant.Parts)-1, "prompt", int64(st.request.PromptTokens), "parts", st.request.PromptPartNames(), "result", result.reason, "alone", st.grantRequest.RunAlone, "isolated", len(grant.SuspectParts) > 0,
		"predicted_ms", grant.PredictedFirstEvent.Milliseconds(), "queued_ms", st.result.QueueTime.Milliseconds(),
		"first_ms", st.result.TimeToFirstByte.Milliseconds(), "pause_ms", st.result.LongestPause.Milliseconds(), "last_event", st.lastEventID, "remaining_ms", st.remaining().Milliseconds())
	return ended, result
}

// acquireGrant returns a grant from the dispatcher for the next attempt. If it gets none, it sets the outcome and returns
// false.
func (st *engineJob) acquireGrant(ctx context.Context) (batch.Grant, bool) {
	rn := st.runner
	st.setIsolation(&st.grantRequest)
	st.grantRequest.WaitLimit = st.waitLimitFromArrival()
	st.grantRequest.Unanswered = !st.result.HeadSent
	acquireCtx, detach := st.withFirstSending(ctx)
	acquireCtx, span := rn.tracer.Start(acquireCtx, "dispatch.place")
	st.grantRequest.BackoffUntil = rn.engineBackoffs(st.request.Service, st.grantRequest.AttemptNumber)
	st.restrictGrantRequest(&st.grantRequest)
	grant, oc := rn.dispatcher.Acquire(acquireCtx, st.grantRequest)
	span.SetAttributes(attribute.String("attempt", string(grant.Attempt)), attribute.Int("engines", len(grant.Parts)))
	span.End()
	hostLeaving := errors.Is(context.Cause(acquireCtx), errHostLeaving)
	detach()
	switch {
	case hostLeaving && len(grant.Parts) == 0:
		st.setOutcomeOnShutdown()
	case ctx.Err() != nil:
		st.returnGrant(grant)
		st.setOutcomeOnContextEnd(ctx)
	case st.refusesFirstSending():
		st.returnGrant(grant)
		st.setOutcomeOnShutdown()
	case !oc.OK():
		if st.mayHaveRun {
			oc.Kind = outcome.Failed
		}
		st.result.Outcome = oc
	case !st.engineUse.mayUse(grant):
		st.returnGrant(grant)
		st.setOutcomeOnFailure("no engine that had the request has room")
	default:
		return grant, true
	}
	return batch.Grant{}, false
}

// returnGrant returns a grant to the dispatcher that was not used. It does nothing if the grant is empty.
func (st *engineJob) returnGrant(grant batch.Grant) {
	if len(grant.Parts) > 0 {
		st.runner.dispatcher.ReportEnded(broker.EndedGrant{Request: st.grantRequest.ID, Attempt: grant.Attempt})
	}
}

// waitLimitFromArrival returns how long after the arrival of the request the client gives up. That is route.WaitLimit
// after the last forwarded event, or after the arrival if there was none, but never later than the deadline.
func (st *engineJob) waitLimitFromArrival() time.Duration {
	request := st.request
	waitingSince := request.ArrivedAt
	st.mutex.Lock()
	if !st.lastEventAt.IsZero() {
		waitingSince = st.lastEventAt
	}
	st.mutex.Unlock()
	return min(waitingSince.Sub(request.ArrivedAt)+route.WaitLimit(request.Route.TargetLatency, request.Route.MaxPause), st.limit.waitLimit())
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	// reason is the description for logs; it also becomes part of the detail that a client gets when all attempts fail.
	reason string
	// final says that the request is finished, so that nothing is retried.
	final bool
	// retryCause is what the retry policy decides on if the result is not final.
	retryCause retry.Cause
	// givenUp says that this host ended the attempt, and not its engine.
	givenUp bool
}

// prepareRetry decides whether the request is run again. If so, it makes the next request to the dispatcher avoid the
// failed engine; if not, it sets the outcome.
func (st *engineJob) prepareRetry(ctx context.Context, result attemptResult, ended broker.EndedGrant) bool {
	if ended.FailedEngine != "" {
		st.grantRequest.AvoidedEngines = append(st.grantRequest.AvoidedEngines, ended.FailedEngine)
	}
	reachedEngine := result.retryCause == retry.Interrupted || result.retryCause == retry.Crashed
	allowed := st.grantsUsed < st.runner.config.MaxGrants
	if reachedEngine && st.sentCount >= st.engineUse.limit(st.request.Route.MaxAttempts) || len(st.engineUse.allowed) > 0 {
		allowed = allowed && st.engineUse.restrict(ended.FailedEngine)
	}
	if !allowed || !st.takeRetry(ctx, result.retryCause) {
		if ctx.Err() != nil {
			st.setOutcomeOnContextEnd(ctx)
			return false
		}
		st.setOutcomeOnFailure(result.reason)
		return false
	}
	return true
}

// runOnGrant reserves memory on the engines of a grant, sends the request to the first of them and forwards the events.
// It returns the report to the dispatcher and how the attempt ended.
func (st *engineJob) runOnGrant(ctx context.Context, grant batch.Grant) (broker.EndedGrant, attemptResult) {
	rn := st.runner
	primary := grant.Parts[0]
	if ended, reason, unusable := rn.findUnusableEngine(grant); unusable {
		return ended, attemptResult{reason: reason, retryCause: retry.NotSent}
	}
	ctx, span := rn.tracer.Start(ctx, "engine.attempt", trace.WithAttributes(
		attribute.String("attempt", string(grant.Attempt)), attribute.String("engine", string(primary.Engine))))
	defer span.End()
	reserveCtx, detach := st.withFirstSending(ctx)
	reservedMemory, refused := rn.reserve(reserveCtx, grant)
	detach()
	switch {
	case st.refusesFirstSending():
		if reservedMemory != nil {
			reservedMemory.release()
		}
		st.setOutcomeOnShutdown()
		return broker.EndedGrant{}, attemptResult{reason: "the host is leaving", final: true}
	case refused != nil && errors.Is(refused.err, ErrUndetermined):
		rn.recordUnreachable(rn.serverOfPart(st.request.Service, refused.part))
		return broker.EndedGrant{FailedEngine: refused.part.Engine}, attemptResult{reason: refused.err.Error(), retryCause: retry.NotSent}
	case refused != nil:
		return broker.EndedGrant{FailedEngine: refused.part.Engine, Fault: batch.Full}, attemptResult{reason: "an engine has no memory to set aside", retryCause: retry.NotSent}
	}
	defer reservedMemory.release()
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if rn.clock.Now().Sub(st.grantedAt) > rn.config.GrantTTL {
		return broker.EndedGrant{}, attemptResult{reason: "the place was given too long ago", retryCause: retry.NotSent}
	}
	origin := st.failoverOrigin(ctx, sendCtx, primary.Engine)
	monitor := startStreamMonitor(rn, primary, monitorLimits{firstEventWait: grant.PredictedFirstEvent + rn.config.IdleBeforeProbe, stallLimit: st.stallLimit(), firstEventDeadline: reservedMemory.firstEventDeadline()}, monitorCallbacks{
		findFailover: func(searchCtx context.Context) bool {
			return st.findFailover(searchCtx, origin)
		},
		handleNoResponse: func(checkCtx context.Context, result ProbeResult) {
			st.handleNoResponse(checkCtx, primary.Engine, result)
		},
		abort: func(err error) { cancel(err) },
	})
	defer monitor.stop()
	// The context ends first, so that stop does not wait for a failover attempt.
	defer cancel(nil)
	if st.rejectQuarantined() {
		// This host may have learned of crashes while it waited for the memory.
		return broker.EndedGrant{}, attemptResult{reason: "quarantined meanwhile: servers crashed while running this content", final: true}
	}
	if engine, evacuated := rn.evacuatedEngine(grant); evacuated {
		// The evacuation may have begun while this host waited for the memory.
		return broker.EndedGrant{FailedEngine: engine}, attemptResult{reason: evacuatedReason, retryCause: retry.NotSent}
	}
	sentAt := rn.clock.Now()
	response, err := rn.sender.Send(sendCtx, Attempt{
		Request:     st.request,
		Server:      id.BackendServer(primary.Engine),
		Address:     primary.Address,
		Remaining:   st.remainingForServer(),
		ResumeAfter: st.lastEventID,
		Helpers:     grant.Parts[1:],
		Urgency:     grant.Urgency,
		MayBegin: func() bool {
			_, evacuated := rn.evacuatedEngine(grant)
			return st.maySend() && !evacuated
		},

		NewConnection: st.newConnection,
	})
	if err != nil {
		return st.classifySendError(sendCtx, ctx, primary, err)
	}
	response = watchEnd(rn.clock, response)
	defer func() { _ = response.Body.Close() }()
	st.result.PassedOn++
	rn.applyEngineState(st.server, sentAt, response)
	return st.handleResponse(sendCtx, ctx, grant, response, monitor)
}

// handleResponse forwards the response of the first engine of a grant, or reports why it can't be forwarded.
func (st *engineJob) handleResponse(sendCtx, ctx context.Context, grant batch.Grant, response Response, monitor *streamMonitor) (broker.EndedGrant, attemptResult) {
	primary := grant.Parts[0]
	switch {
	case response.Misdirected:
		st.runner.fleet.RecordLeaving(id.BackendServer(primary.Engine))
		return broker.EndedGrant{FailedEngine: primary.Engine, Fault: batch.Gone}, attemptResult{reason: "another server has the address", retryCause: retry.BackendRefused}
	case response.NotRun:
		// The body is not read, so that the connection is closed. On a reused one, the engine could send this refusal once
		// more when it runs the request after all.
		failedEngine, fault := st.engineAtFault(grant, response)
		return broker.EndedGrant{FailedEngine: failedEngine, Fault: fault, RetryAfter: response.RetryAfter}, attemptResult{reason: "the engine did not run the request", retryCause: retry.BackendRefused}
	}
	st.sentCount++
	if response.Status >= http.StatusMultipleChoices {
		return st.handleErrorResponse(ctx, primary, response)
	}
	return st.forwardEvents(sendCtx, ctx, grant, response, monitor)
}

// handleNoResponse handles the result of a probe to which the engine of the current attempt did not respond. If the engine
// has failed, and not this host's link to it, the dispatcher learns of that, and it is checked whether the engine crashed.
// The attempt stays there meanwhile.
func (st *engineJob) handleNoResponse(ctx context.Context, engine id.Engine, result ProbeResult) {
	st.runner.logger.Info("engine does not respond", "request", st.request.ID, "engine", string(engine), "health", result.String())
	if !result.saysServerFailed() {
		return
	}
	st.runner.dispatcher.ReportEnded(broker.EndedGrant{Service: st.request.Service, FailedEngine: engine, Fault: batch.Unresponsive})
	st.checkForCrash(ctx, st.server, st.grantedAt, Unresponsive, errUnresponsive)
	st.silenceChecked.Store(true)
}

// endSilence withdraws what the silence of the engine of the current attempt says about crashes, because the engine went
// on.
func (st *engineJob) endSilence() {
	if st.silenceChecked.CompareAndSwap(true, false) {
		st.runner.dropUnresolved(st.request, st.server.ID)
	}
}

// errUnresponsive is the cause of aborting an attempt whose engine does not respond, once the stream goes on at another
// engine. errLinkLost is the cause if only this host does not reach the engine. errStalled is the cause of aborting an
// attempt whose stream makes no progress although the engine may still respond, or whose first event did not arrive before
// the deadline for using the reserved memory.
var (
	errUnresponsive = errors.New("the engine is silent")
	errLinkLost     = errors.New("the link to the engine is lost")
	errStalled      = errors.New("the stream has stalled")
)

// stallLimit returns how long a stream may go without a new event before it fails over to another engine. It is less
// than the client's wait limit, so that the client is still there. It returns zero if the stream cannot be resumed on
// another engine.
func (st *engineJob) stallLimit() time.Duration {
	rt := st.request.Route
	if !rt.Repeatable() || st.sentCount+1 >= st.engineUse.limit(rt.MaxAttempts) || len(st.engineUse.allowed) > 0 {
		return 0
	}
	return time.Duration(st.runner.config.StallTimeoutShare * float64(route.WaitLimit(rt.TargetLatency, rt.MaxPause)))
}

// classifySendError describes an attempt whose request could not be sent or got no response head. sendCtx is the
// context of the attempt, which the stream monitor cancels; ctx is that of the request.
func (st *engineJob) classifySendError(sendCtx, ctx context.Context, primary batch.Part, err error) (broker.EndedGrant, attemptResult) {
	if errors.Is(err, ErrNotSent) {
		if ctx.Err() != nil {
			return broker.EndedGrant{}, attemptResult{reason: "ended before it was sent", retryCause: retry.NotSent}
		}
		ended := broker.EndedGrant{FailedEngine: primary.Engine, Fault: batch.Unreachable}
		if errors.Is(err, ErrUndetermined) {
			ended.Fault = batch.NoFault
			st.runner.recordUnreachable(st.server)
		}
		return ended, attemptResult{reason: err.Error(), retryCause: retry.NotSent}
	}
	st.result.PassedOn++
	st.sentCount++
	st.mayHaveRun = true
	return st.classifyLoss(sendCtx, ctx, primary, err)
}

// classifyLoss describes an attempt that was sent and then lost: the connection to the engine broke, or the stream
// monitor aborted the attempt. It checks whether the engine crashed if the connection broke, and keeps the attempt under
// suspicion if the request has ended. sendCtx is the context of the attempt, ctx that of the request.
//
// A stalled stream is reported as Unresponsive, a crashed engine and one that accepts no connections any more as
// Unreachable; the dispatcher backs off longer from these. handleNoResponse has reported an unresponsive engine. If the
// engine still accepts connections, only its response failed, and it is reported as ErrorResponse. A lost link says nothing
// about the engine.
func (st *engineJob) classifyLoss(sendCtx, ctx context.Context, primary batch.Part, err error) (broker.EndedGrant, attemptResult) {
	if ctx.Err() != nil {
		st.suspectAfterEarlyEnd(ctx, st.server, st.grantedAt)
		return broker.EndedGrant{}, attemptResult{reason: "ended: " + context.Cause(ctx).Error(), retryCause: retry.Interrupted, givenUp: true}
	}
	ended := broker.EndedGrant{FailedEngine: primary.Engine, Fault: batch.Unresponsive}
	switch cause := context.Cause(sendCtx); {
	case errors.Is(cause, errUnresponsive), errors.Is(cause, errLinkLost):
		ended.Fault = batch.NoFault
		return ended, attemptResult{reason: cause.Error(), retryCause: retry.Interrupted, givenUp: true}
	case errors.Is(cause, errStalled):
		return ended, attemptResult{reason: cause.Error(), retryCause: retry.Interrupted, givenUp: true}
	}
	st.newConnection = true
	probeResult := st.runner.probeConnection(ctx, st.server)
	if st.checkForCrash(ctx, st.server, st.grantedAt, probeResult, err) {
		if st.result.HeadSent {
			st.engineUse.ended++
		}
		ended.Fault = batch.Unreachable
		return ended, attemptResult{reason: "the engine crashed: " + err.Error(), retryCause: retry.Crashed}
	}
	switch probeResult {
	case Unresponsive, ConnectionRefused:
		ended.Fault = batch.Unreachable
	case ReachableThroughPeer, Undetermined:
		ended.Fault = batch.NoFault
	default:
		ended.Fault = batch.ErrorResponse
	}
	return ended, attemptResult{reason: "the engine broke off: " + err.Error(), retryCause: retry.Interrupted}
}

// engineAtFault returns the engine because of which the request was not run, and its fault. That is a helper if the
// response names one, else the engine that responded.
func (st *engineJob) engineAtFault(grant batch.Grant, response Response) (id.Engine, batch.Fault) {
	for _, part := range grant.Parts {
		if response.FailedEngine != "" && (part.Address == response.FailedEngine || string(part.Engine) == response.FailedEngine) && part.Engine != grant.Parts[0].Engine {
			return part.Engine, batch.Unreachable
		}
	}
	if response.Leaving {
		return grant.Parts[0].Engine, batch.Gone
	}
	return grant.Parts[0].Engine, batch.Full
}

// handleErrorResponse handles an engine's response that has a status other than success. The response is forwarded to
// the client unless the request is run again, part of a stream was forwarded before, the response is incomplete, or its
// status would falsely tell the client that the request has not run.
func (st *engineJob) handleErrorResponse(ctx context.Context, primary batch.Part, response Response) (broker.EndedGrant, attemptResult) {
	body, complete, err := readUpTo(response.Body, st.runner.config.ResponseBufferBytes)
	ended := broker.EndedGrant{FailedEngine: primary.Engine, Fault: batch.ErrorResponse}
	st.mayHaveRun = true
	result := attemptResult{reason: "the engine failed with status " + http.StatusText(response.Status), retryCause: retry.Interrupted}
	if st.asFailover.isPending() || st.result.HeadSent || err != nil || !complete || st.falselyPromisesNotRun(response.Status) {
		return ended, result
	}
	if response.Status >= http.StatusInternalServerError && st.failover.isPresent() {
		// The failover attempt has been charged, and may do better.
		return ended, result
	}
	attemptsMade := st.sentCount + st.failover.failed().sent
	if response.Status >= http.StatusInternalServerError && attemptsMade < st.request.Route.MaxAttempts && st.request.Route.Repeatable() && st.takeRetryAfter(ctx, retry.Interrupted, attemptsMade) {
		// prepareRetry must not charge the retry a second time. It charges none for Preempted, although this attempt
		// was not preempted.
		result.retryCause = retry.Preempted
		return ended, result
	}
	st.writeBuffered(bufferedResponse{status: response.Status, header: response.Header, body: body})
	result.final = true
	return ended, result
}

// forwardEvents forwards the events of a stream until it ends. sendCtx is the context of the attempt, ctx that of the
// request.
func (st *engineJob) forwardEvents(sendCtx, ctx context.Context, grant batch.Grant, response Response, monitor *streamMonitor) (broker.EndedGrant, attemptResult) {
	rn := st.runner
	primary := grant.Parts[0]
	if st.result.HeadSent && !hasEventStream(response.Header) {
		st.mayHaveRun = true
		return broker.EndedGrant{FailedEngine: primary.Engine, Fault: batch.ErrorResponse}, attemptResult{reason: "the engine did not resume the stream", retryCause: retry.Interrupted}
	}
	reader := newEventReader(response.Body)
	resumed := st.lastEventID != "" && st.request.Route.Repeatable()
	// A stream that is not resumed may have no events; that of a failover attempt would be worse than the one that it takes
	// over.
	resumesResponse := st.result.HeadSent || st.asFailover.isPending()
	receivedEvents, receivedField := false, false
	for {
		ev, err := reader.next()
		if resumed && ev.id != "" && !idFollows(st.lastEventID, ev.id) {
			ev, err = event{}, errNotResumed
		}
		receivedEvents = receivedEvents || len(ev.data) > 0
		receivedField = receivedField || ev.hasField
		switch mayBeEmpty := resumesResponse && st.endUnconfirmed; {
		case !errors.Is(err, io.EOF):
		case !mayBeEmpty && (!receivedEvents && response.EndsWithConnection || !receivedField && resumesResponse):
			// An engine that crashes before its first event ends the connection in the same way. A stream that broke off
			// was not at its end, so that an engine that resumes it has at least one event.
			ev, err = event{}, io.ErrUnexpectedEOF
		default:
			if endErr := st.confirmEnd(sendCtx, st.server, st.grantedAt, response); endErr != nil {
				ev, err = event{}, endErr
			}
		}
		if len(ev.data) > 0 {
			st.setIsolatedParts(nil)
			monitor.recordEvent(ev)
			st.endSilence()
			rn.dispatcher.ReportStarted(grant.Attempt)
		}
		if st.asFailover.isPending() && (ev.hasField || errors.Is(err, io.EOF)) && !st.asFailover.takeOver(ctx) {
			return broker.EndedGrant{}, attemptResult{reason: errNotNeeded.Error(), retryCause: retry.Interrupted}
		}
		// Comments of a failover attempt are dropped until it has an event.
		if len(ev.data) > 0 && !st.asFailover.isPending() {
			if !st.start.begin() {
				// The request was aborted, and the end of ctx ends the attempt.
				st.mayHaveRun = true
				<-ctx.Done()
				return st.classifyLoss(sendCtx, ctx, primary, context.Cause(ctx))
			}
			switch sinkErr := st.forwardEvent(response, ev); {
			case errors.Is(sinkErr, errSuperseded):
				st.mayHaveRun = true
				return broker.EndedGrant{}, attemptResult{reason: sinkErr.Error(), retryCause: retry.Interrupted, givenUp: true}
			case sinkErr != nil:
				return broker.EndedGrant{}, attemptResult{reason: sinkErr.Error(), final: true}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if !st.result.HeadSent {
				st.result.HeadSent = true
				st.result.Status = response.Status
				_ = st.sink.WriteHead(response.Status, response.Header, 0)
			}
			st.result.Complete = true
			return broker.EndedGrant{}, attemptResult{reason: "answered", final: true}
		default:
			st.mayHaveRun = true
			st.endUnconfirmed = errors.Is(err, errEndUnconfirmed)
			return st.classifyLoss(sendCtx, ctx, primary, err)
		}
	}
}

// forwardEvent sends one event to the client, preceded by the head of the response if this is the first one. It returns
// errSuperseded if a failover attempt has taken the stream over.
func (st *engineJob) forwardEvent(response Response, ev event) error {
	st.forwarding.Lock()
	defer st.forwarding.Unlock()
	if st.superseded {
		return errSuperseded
	}
	st.dropBefore(ev)
	if !st.result.HeadSent {
		st.result.HeadSent = true
		st.result.Status = response.Status
		st.result.TimeToFirstByte = st.runner.clock.Now().Sub(st.request.ArrivedAt)
		if err := st.sink.WriteHead(response.Status, response.Header, -1); err != nil {
			return errors.Wrap(err, "write the response head")
		}
	}
	if err := st.sink.Write(ev.data); err != nil {
		return errors.Wrap(err, "write an event")
	}
	now := st.runner.clock.Now()
	st.mutex.Lock()
	if !st.lastEventAt.IsZero() {
		st.result.LongestPause = max(st.result.LongestPause, now.Sub(st.lastEventAt))
	}
	st.lastEventAt = now
	st.mutex.Unlock()
	if ev.id != "" {
		st.lastEventID = ev.id
	}
	st.endsUnnumbered = ev.id == "" && (st.endsUnnumbered || ev.hasData)
	return nil
}
