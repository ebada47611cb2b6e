package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// streaming is a stream on its way.
type streaming struct {
	*job
	ask broker.GrantRequest
	// resume is the id of the last event that was passed on.
	resume string
	places int
	// last is when an event was last passed on; the mutex guards it.
	mutex sync.Mutex
	last  time.Time
	// other is the place at which the stream goes on if it stands still.
	other otherPlace
	// placed is when the newest place was given, server the engine that answers there as it was listed then.
	placed time.Time
	server roster.Server
}

// stream carries a request to engines and passes events on until the answer is whole.
func (jb *job) stream(ctx context.Context) {
	rn := jb.runner
	rq := jb.request
	st := &streaming{job: jb, resume: rq.LastEventID}
	st.ask = broker.GrantRequest{
		Request: batch.Request{
			ID:           id.NewRequest(rn.host, rn.inc, rn.sequence.Add(1)),
			Organisation: rq.Organisation,
			PromptTokens:       rq.PromptTokens,
			MaxAnswerTokens:       rq.MaxAnswerTokens,
			FirstEventTarget:       rq.Route.TargetLatency,
			MaxPause:     rq.Route.MaxPause,
			ArrivedAt:      rq.ArrivedAt,
			Priority:         rq.Priority,
			ContentFingerprint:      st.result.Fingerprint,
		},
		Service: rq.Service,
	}
	st.result.DispatchID = st.ask.ID
	for {
		st.ask.AttemptNumber++
		again := st.attempt(ctx)
		if !again {
			return
		}
	}
}

// attempt acquires a place and runs the request there. It reports whether another attempt is to be made.
func (st *streaming) attempt(ctx context.Context) bool {
	rn := st.runner
	if st.barred() {
		return false
	}
	grant, ok := st.place(ctx)
	if !ok {
		return false
	}
	if st.places == 0 {
		st.result.QueueTime = rn.clock.Now().Sub(st.request.ArrivedAt)
	}
	st.placed = rn.clock.Now()
	st.server = rn.serverOf(st.request.Service, grant.Parts[0])
	st.places++
	st.result.Attempts++
	st.result.Server = id.BackendServer(grant.Parts[0].Engine)
	st.result.Helpers = len(grant.Parts) - 1
	rn.logger.Info("request placed", "request", st.request.ID, "fingerprint", st.result.Fingerprint.String(), "attempt", string(grant.Attempt), "engine", string(grant.Parts[0].Engine),
		"address", grant.Parts[0].Address, "helpers", len(grant.Parts)-1, "prompt", int64(st.request.PromptTokens), "urgency", grant.Urgency,
		"predicted_ms", grant.PredictedFirstEvent.Milliseconds(), "waited_ms", rn.clock.Now().Sub(st.request.ArrivedAt).Milliseconds(),
		"list_age_ms", rn.fleet.ListAge().Milliseconds())
	ended, cause := st.run(ctx, grant)
	ended.Request = st.ask.ID
	ended.Attempt = grant.Attempt
	rn.places.ReportEnded(ended)
	rn.logger.Info("attempt ended", "request", st.request.ID, "fingerprint", st.result.Fingerprint.String(), "attempt", string(grant.Attempt), "engine", string(grant.Parts[0].Engine),
		"address", grant.Parts[0].Address, "helpers", len(grant.Parts)-1, "prompt", int64(st.request.PromptTokens), "result", cause.text, "alone", st.ask.RunAlone,
		"predicted_ms", grant.PredictedFirstEvent.Milliseconds(), "queued_ms", st.result.QueueTime.Milliseconds(),
		"first_ms", st.result.TimeToFirstByte.Milliseconds(), "pause_ms", st.result.LongestPause.Milliseconds(), "last_event", st.resume, "remaining_ms", st.remaining().Milliseconds())
	st.result.Cause = cause.text
	switch {
	case cause.final:
	case ctx.Err() != nil:
		st.ended(ctx)
	case st.other.isHeld():
		st.ask.AvoidedEngines = append(st.ask.AvoidedEngines, grant.Parts[0].Engine)
		return true
	default:
		return st.another(ctx, cause, ended)
	}
	if ask, grant, held := st.other.take(); held {
		rn.places.ReportEnded(broker.EndedGrant{Request: ask.ID, Attempt: grant.Attempt})
	}
	return false
}

// place returns the place of the attempt: the one that is kept for a stream that stood still, or one that is asked for. Without
// one it sets the outcome.
func (st *streaming) place(ctx context.Context) (batch.Grant, bool) {
	rn := st.runner
	if ask, grant, held := st.other.take(); held {
		st.ask.ID, st.ask.AttemptNumber = ask.ID, ask.AttemptNumber
		st.result.DispatchID = ask.ID
		return grant, true
	}
	st.ask.RunAlone = st.suspected()
	st.ask.WaitLimit = st.patience()
	wait, stop := until(ctx, rn.placing)
	wait, span := rn.tracer.Start(wait, "dispatch.place")
	st.ask.BackoffUntil = rn.banned(st.request.Service)
	grant, oc := rn.places.Acquire(wait, st.ask)
	span.SetAttributes(attribute.String("attempt", string(grant.Attempt)), attribute.Int("engines", len(grant.Parts)))
	span.End()
	left := errors.Is(context.Cause(wait), errLeaving)
	stop()
	switch {
	case left && len(grant.Parts) == 0:
		st.leaving()
	case ctx.Err() != nil:
		if len(grant.Parts) > 0 {
			rn.places.ReportEnded(broker.EndedGrant{Request: st.ask.ID, Attempt: grant.Attempt})
		}
		st.ended(ctx)
	case !oc.OK():
		if st.unknown {
			oc.Kind = outcome.Failed
		}
		st.result.Outcome = oc
	default:
		return grant, true
	}
	return batch.Grant{}, false
}

// patience returns the time from the request's arrival after which the client leaves: some time after the last event that it
// has, its deadline at the latest.
func (st *streaming) patience() time.Duration {
	rq := st.request
	since := rq.ArrivedAt
	st.mutex.Lock()
	if !st.last.IsZero() {
		since = st.last
	}
	st.mutex.Unlock()
	return min(since.Sub(rq.ArrivedAt)+route.WaitLimit(rq.Route.TargetLatency, rq.Route.MaxPause), st.limit.Sub(rq.ArrivedAt))
}

// cause says why an attempt ended.
type cause struct {
	text string
	// final says that the request has its result.
	final bool
	retry retry.Cause
}

// another decides whether the request is run again and prepares that.
func (st *streaming) another(ctx context.Context, cs cause, ended broker.EndedGrant) bool {
	if ended.FailedEngine != "" {
		st.ask.AvoidedEngines = append(st.ask.AvoidedEngines, ended.FailedEngine)
	}
	ran := cs.retry == retry.Interrupted || cs.retry == retry.Crashed
	allowed := st.places < st.runner.config.MaxGrants
	if ran {
		allowed = allowed && st.sent < max(1, st.request.Route.MaxAttempts)
	}
	if !allowed || !st.again(ctx, cs.retry) {
		if ctx.Err() != nil {
			st.ended(ctx)
			return false
		}
		st.giveUp(cs.text)
		return false
	}
	return true
}

// run sends the request to the engines of a grant and passes events on.
func (st *streaming) run(ctx context.Context, grant batch.Grant) (broker.EndedGrant, cause) {
	rn := st.runner
	first := grant.Parts[0]
	if ended, why, unusable := rn.unusable(grant); unusable {
		return ended, cause{text: why, retry: retry.NotSent}
	}
	ctx, span := rn.tracer.Start(ctx, "engine.attempt", trace.WithAttributes(
		attribute.String("attempt", string(grant.Attempt)), attribute.String("engine", string(first.Engine))))
	defer span.End()
	memory, refused := rn.reserve(ctx, grant)
	if refused != nil {
		return broker.EndedGrant{FailedEngine: refused.Engine, Fault: batch.Full}, cause{text: "an engine has no memory to set aside", retry: retry.NotSent}
	}
	defer memory.release()
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if rn.clock.Now().Sub(st.placed) > rn.config.GrantTTL {
		return broker.EndedGrant{}, cause{text: "the place was given too long ago", retry: retry.NotSent}
	}
	ask := st.ask
	watch := newWatch(rn, first, bounds{first: grant.PredictedFirstEvent + rn.config.IdleBeforeProbe, stall: st.stallTime(), useBy: memory.useBy()},
		func(seeking context.Context) bool { return st.seek(seeking, ask, first.Engine) }, func(err error) { cancel(err) })
	defer watch.stop()
	if st.barred() {
		return broker.EndedGrant{}, cause{text: "servers crashed under the content meanwhile", final: true}
	}
	answer, err := rn.servers.Send(call, Attempt{
		Request:   st.request,
		Server:    id.BackendServer(first.Engine),
		Address:   first.Address,
		Remaining: st.remaining(),
		ResumeAfter:    st.resume,
		Helpers:   grant.Parts[1:],
		Urgency:   grant.Urgency,
	})
	if err != nil {
		return st.sendFailed(call, ctx, first, err)
	}
	defer func() { _ = answer.Body.Close() }()
	rn.heedEngine(st.request.Service, first, answer)
	switch {
	case answer.Misdirected:
		rn.fleet.RecordLeaving(id.BackendServer(first.Engine))
		return broker.EndedGrant{FailedEngine: first.Engine, Fault: batch.Gone}, cause{text: "another server has the address", retry: retry.BackendRefused}
	case answer.NotRun:
		failed, fault := st.culprit(grant, answer)
		return broker.EndedGrant{FailedEngine: failed, Fault: fault, RetryAfter: answer.RetryAfter}, cause{text: "the engine did not run the request", retry: retry.BackendRefused}
	}
	st.sent++
	if answer.Status >= http.StatusMultipleChoices {
		return st.failure(ctx, first, answer)
	}
	return st.events(call, ctx, grant, answer, watch)
}

// errSilent ends an attempt whose engine does not answer, errStalled one whose engine does, without the stream getting on.
var (
	errSilent  = errors.New("the engine is silent")
	errStalled = errors.New("the stream has stalled")
)

// stallTime returns how long a stream may bring no event before it goes on at another engine, in time before the client
// leaves; zero if it can't go on elsewhere.
func (st *streaming) stallTime() time.Duration {
	rt := st.request.Route
	if !rt.Repeatable() || st.sent+1 >= rt.MaxAttempts {
		return 0
	}
	return time.Duration(st.runner.config.StallTimeoutShare * float64(route.WaitLimit(rt.TargetLatency, rt.MaxPause)))
}

func (st *streaming) sendFailed(call, ctx context.Context, first batch.Part, err error) (broker.EndedGrant, cause) {
	if errors.Is(err, ErrNotSent) {
		if ctx.Err() != nil {
			return broker.EndedGrant{}, cause{text: "ended before it was sent", retry: retry.NotSent}
		}
		return broker.EndedGrant{FailedEngine: first.Engine, Fault: batch.Unreachable}, cause{text: err.Error(), retry: retry.NotSent}
	}
	st.sent++
	st.unknown = true
	return st.lost(call, ctx, first, err)
}

// lost describes an attempt whose engine broke off or went silent.
func (st *streaming) lost(call, ctx context.Context, first batch.Part, err error) (broker.EndedGrant, cause) {
	if ctx.Err() != nil {
		return broker.EndedGrant{}, cause{text: "ended: " + context.Cause(ctx).Error(), retry: retry.Interrupted}
	}
	ended := broker.EndedGrant{FailedEngine: first.Engine, Fault: batch.Unresponsive}
	switch why := context.Cause(call); {
	case errors.Is(why, errSilent):
		st.examine(ctx, st.server, st.placed, Unresponsive, why)
		return ended, cause{text: why.Error(), retry: retry.Interrupted}
	case errors.Is(why, errStalled):
		return ended, cause{text: why.Error(), retry: retry.Interrupted}
	}
	health := st.runner.health(ctx, st.server)
	if st.examine(ctx, st.server, st.placed, health, err) {
		ended.Fault = batch.Unreachable
		return ended, cause{text: "the engine crashed: " + err.Error(), retry: retry.Crashed}
	}
	ended.Fault = batch.ErrorResponse
	if health == Unresponsive {
		ended.Fault = batch.Unreachable
	}
	return ended, cause{text: "the engine broke off: " + err.Error(), retry: retry.Interrupted}
}

// culprit names the engine at fault for a request that was not run.
func (st *streaming) culprit(grant batch.Grant, answer Response) (id.Engine, batch.Fault) {
	for _, part := range grant.Parts {
		if answer.FailedAddress != "" && (part.Address == answer.FailedAddress || string(part.Engine) == answer.FailedAddress) && part.Engine != grant.Parts[0].Engine {
			return part.Engine, batch.Unreachable
		}
	}
	if answer.Leaving {
		return grant.Parts[0].Engine, batch.Gone
	}
	return grant.Parts[0].Engine, batch.Full
}

// failure takes an engine's answer that is not a stream. It is passed on if the request is not run again.
func (st *streaming) failure(ctx context.Context, first batch.Part, answer Response) (broker.EndedGrant, cause) {
	body, whole, err := readUpTo(answer.Body, st.runner.config.ResponseBufferBytes)
	ended := broker.EndedGrant{FailedEngine: first.Engine, Fault: batch.ErrorResponse}
	st.unknown = true
	cs := cause{text: "the engine failed with status " + http.StatusText(answer.Status), retry: retry.Interrupted}
	if st.result.HeadSent || err != nil || !whole {
		return ended, cs
	}
	if answer.Status >= http.StatusInternalServerError && st.sent < st.request.Route.MaxAttempts && st.request.Route.Repeatable() && st.again(ctx, retry.Interrupted) {
		cs.retry = retry.Preempted
		return ended, cs
	}
	st.passOn(kept{status: answer.Status, header: answer.Header, body: body})
	cs.final = true
	return ended, cs
}

// events passes events on until the stream ends.
func (st *streaming) events(call, ctx context.Context, grant batch.Grant, answer Response, watch *watch) (broker.EndedGrant, cause) {
	rn := st.runner
	first := grant.Parts[0]
	reader := newEventReader(answer.Body)
	for {
		event, err := reader.next()
		if len(event.data) > 0 {
			watch.heard(event)
			rn.places.ReportStarted(grant.Attempt)
			if sinkErr := st.deliver(answer, event); sinkErr != nil {
				return broker.EndedGrant{}, cause{text: sinkErr.Error(), final: true}
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if !st.result.HeadSent {
				st.result.HeadSent = true
				st.result.Status = answer.Status
				_ = st.sink.WriteHead(answer.Status, answer.Header, 0)
			}
			st.result.Complete = true
			return broker.EndedGrant{}, cause{text: "answered", final: true}
		default:
			st.unknown = true
			return st.lost(call, ctx, first, err)
		}
	}
}

// deliver passes one event on.
func (st *streaming) deliver(answer Response, ev event) error {
	if !st.result.HeadSent {
		st.result.HeadSent = true
		st.result.Status = answer.Status
		st.result.TimeToFirstByte = st.runner.clock.Now().Sub(st.request.ArrivedAt)
		if err := st.sink.WriteHead(answer.Status, answer.Header, -1); err != nil {
			return errors.Wrap(err, "pass on the head")
		}
	}
	if err := st.sink.Write(ev.data); err != nil {
		return errors.Wrap(err, "pass on an event")
	}
	now := st.runner.clock.Now()
	st.mutex.Lock()
	if !st.last.IsZero() {
		st.result.LongestPause = max(st.result.LongestPause, now.Sub(st.last))
	}
	st.last = now
	st.mutex.Unlock()
	if ev.id != "" {
		st.resume = ev.id
	}
	return nil
}
