package modelcall

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config sets the time limits of a runner and the number of resumes.
type Config struct {
	// IdleBeforeProbe is how long an attempt may pass without an event on any stream before its engines are probed.
	IdleBeforeProbe time.Duration
	// EngineCallTimeout bounds a probe of an engine and each call that cancels an attempt.
	EngineCallTimeout time.Duration
	// CleanupTimeout bounds the whole cleanup after an attempt: cancelling it on its engines and reporting its end.
	CleanupTimeout time.Duration
	// MaxResumes is how many times streams of one attempt may be resumed.
	MaxResumes int
}

// DefaultConfig returns the configuration that hosts use.
func DefaultConfig() Config {
	return Config{
		IdleBeforeProbe:   time.Second,
		EngineCallTimeout: time.Second,
		CleanupTimeout:    5 * time.Second,
		MaxResumes:        3,
	}
}

// Runner runs model requests. It is safe for concurrent use.
type Runner struct {
	config      Config
	clock       timer.Clock
	engines     Engines
	dispatchers Dispatchers
	fleet       Fleet
	metrics     tally.Scope
	logger      *slog.Logger
	tracer      trace.Tracer

	// mutex guards retries.
	mutex   sync.Mutex
	retries *retry.Policy
	// backgroundWork counts the cleanups that go on after their attempts have ended.
	backgroundWork tasks.WaitGroup
}

// NewRunner returns a runner. The retry policy must not be used by others, because the runner guards it with its own
// mutex.
func NewRunner(config Config, clock timer.Clock, engines Engines, dispatchers Dispatchers, fl Fleet, retries *retry.Policy, metrics tally.Scope, logger *slog.Logger, tracer trace.Tracer) *Runner {
	return &Runner{
		config:      config,
		clock:       clock,
		engines:     engines,
		dispatchers: dispatchers,
		fleet:       fl,
		retries:     retries,
		metrics:     metrics,
		logger:      logger,
		tracer:      tracer,
	}
}

// Wait blocks until the cleanup after all ended attempts is done.
func (rn *Runner) Wait() {
	rn.backgroundWork.Wait()
}

// requestState is the state of a request across its attempts.
type requestState struct {
	call Call
	// requestID is the identifier under which the current grant is or was requested.
	requestID id.Request
	// second is the attempt to go on with, or nil if the next one needs a grant.
	second *secondAttempt
	// failoverSearches counts the searches for a failover.
	failoverSearches int

	sink      Sink
	startedAt time.Time
	// nextTokenIndex is the index of the next token to deliver.
	nextTokenIndex int
	// mayHaveRun reports that an engine may have run the request, at least partly.
	mayHaveRun bool
	// avoidedEngines are the engines on which earlier attempts failed.
	avoidedEngines []id.Engine
	summary        Summary
}

// Run serves a call until its whole answer is delivered, or it has failed or was refused. It returns by the call's
// deadline; the cleanup after the last attempt may go on after that.
func (rn *Runner) Run(ctx context.Context, call Call, sink Sink) (Summary, outcome.Outcome) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	rn.mutex.Lock()
	rn.retries.RecordFirstAttempt(call.Service)
	rn.mutex.Unlock()
	state := &requestState{call: call, requestID: call.RequestID, sink: sink, startedAt: rn.clock.Now()}
	for {
		state.summary.Attempts++
		callOutcome, cause := rn.runAttempt(ctx, state)
		if cause == 0 {
			return state.summary, callOutcome
		}
		if state.second != nil {
			// The retry was allowed when the second attempt began.
			rn.metrics.Tagged(map[string]string{"cause": cause.String()}).Counter("retries").Inc(1)
			continue
		}
		decision := rn.decideRetry(state, cause)
		if !decision.Retry {
			return state.summary, rn.outcomeWithoutRetry(state, cause)
		}
		rn.metrics.Tagged(map[string]string{"cause": cause.String()}).Counter("retries").Inc(1)
		if !timer.Sleep(ctx, rn.clock, decision.Backoff) {
			return state.summary, rn.contextEndedOutcome(ctx, state)
		}
	}
}

// retryFailure describes a failed attempt for the retry policy. A request may always be repeated, because tokens that were
// already delivered are not delivered again.
func (rn *Runner) retryFailure(state *requestState, cause retry.Cause) retry.Failure {
	return retry.Failure{
		Service:       state.call.Service,
		Cause:         cause,
		AttemptsMade:  state.summary.Attempts,
		Idempotent:    true,
		UntilDeadline: state.call.Deadline.Sub(rn.clock.Now()),
	}
}

// decideRetry asks the retry policy whether to run another attempt.
func (rn *Runner) decideRetry(state *requestState, cause retry.Cause) retry.Decision {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	decision := rn.retries.Decide(rn.retryFailure(state, cause))
	if decision.BudgetExhausted {
		rn.metrics.Counter("retry_budget_exhausted").Inc(1)
	}
	return decision
}

// retryAllowed reports whether the retry policy would allow another attempt.
func (rn *Runner) retryAllowed(state *requestState, cause retry.Cause) bool {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.retries.Allows(rn.retryFailure(state, cause))
}

// outcomeWithoutRetry returns the outcome of a request whose last attempt failed and that is not retried: a refusal if
// no engine can have run it, or else a failure.
func (rn *Runner) outcomeWithoutRetry(state *requestState, cause retry.Cause) outcome.Outcome {
	const retryAfter = 2 * time.Second
	if !state.mayHaveRun {
		return outcome.Refuse(outcome.NoCapacity, "no engine took the request: "+cause.String()).WithRetryAfter(retryAfter)
	}
	return outcome.Fail(outcome.RetriesExhausted, "the answer was interrupted: "+cause.String()).WithRetryAfter(retryAfter)
}

// contextEndedOutcome returns the outcome of a request whose context has ended, either because the caller has cancelled
// it or because its deadline has passed.
func (rn *Runner) contextEndedOutcome(ctx context.Context, state *requestState) outcome.Outcome {
	const retryAfter = time.Second
	if context.Cause(ctx) == context.Canceled { //nolint:errorlint // the cause is the caller's own cancellation
		return outcome.Fail(outcome.CallerGone, "the caller has gone")
	}
	if !state.mayHaveRun {
		return outcome.Refuse(outcome.DeadlineExceeded, "the request did not start in its time").WithRetryAfter(retryAfter)
	}
	return outcome.Fail(outcome.DeadlineExceeded, "the answer was not complete in the request's time").WithRetryAfter(retryAfter)
}

// runAttempt acquires a grant and runs one attempt with it. It returns the outcome of the request, or the cause of a
// failure after which the request may be retried; the cause is zero if the outcome is final.
func (rn *Runner) runAttempt(ctx context.Context, state *requestState) (outcome.Outcome, retry.Cause) {
	second := state.second
	grant, acquireOutcome := rn.nextGrant(ctx, state)
	if ctx.Err() != nil && second != nil {
		rn.dropAttempt(ctx, state, second, attemptResult{})
		return rn.contextEndedOutcome(ctx, state), 0
	}
	if ctx.Err() != nil {
		if len(grant.Parts) > 0 {
			rn.endInBackground(ctx, state, grant, attemptResult{}, true)
		}
		return rn.contextEndedOutcome(ctx, state), 0
	}
	if !acquireOutcome.OK() {
		return rn.refusalOutcome(state, acquireOutcome), 0
	}
	state.summary.Engines = state.summary.Engines[:0]
	for _, part := range grant.Parts {
		state.summary.Engines = append(state.summary.Engines, part.Engine)
	}
	state.sink.Begin(state.summary.Engines)
	ctx, span := rn.tracer.Start(ctx, "engine.attempt", trace.WithAttributes(
		attribute.String("attempt", string(grant.Attempt)),
		attribute.Int("engines", len(grant.Parts)),
	))
	defer span.End()
	var streams *attemptStreams
	if second != nil {
		streams = second.streams
	} else {
		streams = rn.startStreams(ctx, state, grant)
	}
	result := streams.follow()
	span.SetAttributes(attribute.String("result", result.String()))
	rn.logger.Info("attempt ended", "fingerprint", state.call.ContentFingerprint.String(), "attempt", string(grant.Attempt), "engines", state.summary.Engines,
		"alone", grant.RunsAlone, "result", result.String(), "engine", string(result.engine), "tokens", state.summary.DeliveredTokens)
	return rn.concludeAttempt(ctx, state, grant, result)
}

// refusalOutcome turns a dispatcher's refusal into the outcome of the request. If an earlier attempt may have run, that
// is a failure, because a refusal states that the request did not run.
func (rn *Runner) refusalOutcome(state *requestState, refusal outcome.Outcome) outcome.Outcome {
	if state.mayHaveRun && refusal.Kind == outcome.Refused {
		refusal.Kind = outcome.Failed
	}
	return refusal
}

// nextGrant returns the grant for the next attempt: that of the second attempt to go on with, if there is one, or else one
// that it acquires.
func (rn *Runner) nextGrant(ctx context.Context, state *requestState) (dispatch.Grant, outcome.Outcome) {
	if second := state.second; second != nil {
		state.second, state.requestID = nil, second.requestID
		return second.grant, outcome.Done()
	}
	return rn.acquireGrant(ctx, state)
}

// acquireGrant asks the dispatchers of the call's shards for a grant, one after another. It proceeds to the next shard
// only if the shard has no capacity or the request is too large for all its engines.
func (rn *Runner) acquireGrant(ctx context.Context, state *requestState) (dispatch.Grant, outcome.Outcome) {
	ctx, span := rn.tracer.Start(ctx, "dispatch.acquire")
	defer span.End()
	var grant dispatch.Grant
	acquireOutcome := outcome.Refuse(outcome.NoCapacity, "no engine is known").WithRetryAfter(time.Second)
	for _, shardID := range state.call.Shards {
		grant, acquireOutcome = rn.acquireFromShard(ctx, state, shardID)
		if acquireOutcome.Reason != outcome.NoCapacity && acquireOutcome.Reason != outcome.PromptExceedsFleet {
			break
		}
	}
	return grant, acquireOutcome
}

// acquireFromShard asks the dispatcher of one shard for a grant, avoiding the engines on which earlier attempts failed.
func (rn *Runner) acquireFromShard(ctx context.Context, state *requestState, shardID id.Shard) (dispatch.Grant, outcome.Outcome) {
	call := state.call
	return rn.dispatchers.Acquire(ctx, shard.GrantRequest{
		Request: dispatch.Request{
			ID:              state.requestID,
			Organisation:    call.Organisation,
			Weight:          call.Weight,
			Model:           call.Model,
			PromptTokens:    call.PromptTokens,
			MaxAnswerTokens: call.MaxAnswerTokens,
			Priority:        call.Priority,
			Deadline:        call.Deadline,
			AttemptNumber:   state.summary.Attempts,
			PrefixHashes:    call.PrefixHashes,
			AvoidedEngines:  state.avoidedEngines,
		},
		Shard:              shardID,
		ContentFingerprint: call.ContentFingerprint,
	})
}

// concludeAttempt releases the grant and turns the result of an attempt into a final outcome or the cause for a retry.
// It records an observation of an engine that crashed, is unresponsive, could not be reached or is draining, and avoids
// the engine of a failed attempt in later attempts. A crash is reported before it returns, so that the dispatcher
// learns of it before the next attempt asks for a grant.
func (rn *Runner) concludeAttempt(ctx context.Context, state *requestState, grant dispatch.Grant, result attemptResult) (outcome.Outcome, retry.Cause) {
	switch result.kind {
	case complete:
		// Followers keep their parts of the prompt in memory until the attempt is cancelled.
		rn.endInBackground(ctx, state, grant, result, len(grant.Parts) > 1)
		return outcome.Done(), 0
	case callerGone:
		rn.endInBackground(ctx, state, grant, result, true)
		return outcome.Fail(outcome.CallerGone, "the caller has gone"), 0
	case contextEnded:
		rn.endInBackground(ctx, state, grant, result, true)
		return rn.contextEndedOutcome(ctx, state), 0
	case crashed:
		rn.fleet.RecordObservation(string(result.engine), fleet.Unreachable)
		rn.metrics.Counter("engines_lost").Inc(1)
		rn.dispatchers.ReportEnded(ctx, shard.EndedGrant{Request: state.requestID, Attempt: grant.Attempt, CrashedEngine: result.engine})
		rn.cleanUpInBackground(ctx, func(ctx context.Context) { rn.cancelOnEngines(ctx, grant, result) })
		state.avoidedEngines = append(state.avoidedEngines, result.engine)
		return outcome.Outcome{}, retry.Crashed
	default:
		if result.draining {
			rn.fleet.RecordObservation(string(result.engine), fleet.Draining)
		}
		if result.cause == retry.NotSent || result.kind == unresponsive {
			rn.fleet.RecordObservation(string(result.engine), fleet.Unreachable)
		}
		rn.endInBackground(ctx, state, grant, result, true)
		state.avoidedEngines = append(state.avoidedEngines, result.engine)
		return outcome.Outcome{}, result.cause
	}
}

// endInBackground cancels an attempt on its engines, if asked to, and then reports its end to the dispatcher, without
// delaying the caller.
func (rn *Runner) endInBackground(ctx context.Context, state *requestState, grant dispatch.Grant, result attemptResult, cancelEngines bool) {
	requestID := state.requestID
	rn.cleanUpInBackground(ctx, func(ctx context.Context) {
		if cancelEngines {
			rn.cancelOnEngines(ctx, grant, result)
		}
		rn.dispatchers.ReportEnded(ctx, shard.EndedGrant{Request: requestID, Attempt: grant.Attempt, Completed: result.kind == complete})
	})
}

// cleanUpInBackground runs the cleanup of an attempt, bounded by CleanupTimeout. The cleanup continues after ctx has
// been cancelled.
func (rn *Runner) cleanUpInBackground(ctx context.Context, cleanUp func(ctx context.Context)) {
	rn.backgroundWork.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), rn.config.CleanupTimeout)
		defer cancel()
		cleanUp(ctx)
	})
}

// cancelOnEngines cancels an attempt on all its engines concurrently and retries each until it succeeds or the context
// ends. It first waits until no stream is being opened, because an engine could otherwise receive the cancellation
// before the start. An attempt that could not be cancelled is found by the dispatcher when it compares the engines'
// attempts with its grants.
func (rn *Runner) cancelOnEngines(ctx context.Context, grant dispatch.Grant, result attemptResult) {
	const retryDelay = 200 * time.Millisecond
	if result.streamReaders != nil {
		result.streamReaders.Wait()
	}
	var group tasks.WaitGroup
	for _, part := range grant.Parts {
		group.Go(func() {
			for ctx.Err() == nil {
				callContext, cancelCall := context.WithTimeout(ctx, rn.config.EngineCallTimeout)
				err := rn.engines.CancelAttempt(callContext, part.Address, grant.Attempt)
				cancelCall()
				if err == nil {
					return
				}
				rn.metrics.Counter("cancel_retries").Inc(1)
				timer.Sleep(ctx, rn.clock, retryDelay)
			}
		})
	}
	group.Wait()
}
