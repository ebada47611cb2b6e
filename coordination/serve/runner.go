package serve

import (
	"context"
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
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config sets the bounds of a runner.
type Config struct {
	// IdleBeforeProbe is how long a stream may be silent before its engine is asked whether it is alive.
	IdleBeforeProbe time.Duration
	// EngineCallTimeout bounds that question.
	EngineCallTimeout time.Duration
	// CleanupTimeout bounds the work after an attempt has ended.
	CleanupTimeout time.Duration
	// MaxResumes bounds how often one attempt's stream is opened again.
	MaxResumes int
}

// DefaultConfig returns the bounds that hosts use.
func DefaultConfig() Config {
	return Config{
		IdleBeforeProbe:   time.Second,
		EngineCallTimeout:   time.Second,
		CleanupTimeout: 5 * time.Second,
		MaxResumes:     3,
	}
}

// Runner runs model requests.
type Runner struct {
	config      Config
	clock       timer.Service
	engines     Engines
	dispatchers Dispatchers
	fleet       Fleet
	metrics     tally.Scope
	tracer      trace.Tracer

	mutex   sync.Mutex
	retries *retry.Policy
	cleanup sync.WaitGroup
}

// NewRunner returns a runner.
func NewRunner(config Config, clock timer.Service, engines Engines, dispatchers Dispatchers, fl Fleet, retries *retry.Policy, metrics tally.Scope, tracer trace.Tracer) *Runner {
	return &Runner{
		config:      config,
		clock:       clock,
		engines:     engines,
		dispatchers: dispatchers,
		fleet:       fl,
		retries:     retries,
		metrics:     metrics,
		tracer:      tracer,
	}
}

// Wait blocks until the work after ended attempts is done.
func (rn *Runner) Wait() {
	rn.cleanup.Wait()
}

// progress is what a request has reached over its attempts.
type progress struct {
	call    Call
	sink    Sink
	started time.Time
	// next is the index of the next token to deliver.
	next int
	// sent says that an engine may have run the request.
	sent    bool
	avoid   []id.Engine
	summary Summary
}

// Run serves a call until its whole answer is delivered, or it has failed or was refused.
// It returns by the call's deadline.
func (rn *Runner) Run(ctx context.Context, call Call, sink Sink) (Summary, outcome.Outcome) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	rn.mutex.Lock()
	rn.retries.RecordFirstAttempt(call.Service)
	rn.mutex.Unlock()
	pg := &progress{call: call, sink: sink, started: rn.clock.Now()}
	for {
		pg.summary.Attempts++
		oc, failure := rn.attempt(ctx, pg)
		if failure == 0 {
			return pg.summary, oc
		}
		verdict := rn.decide(pg, failure)
		if !verdict.Retry {
			return pg.summary, rn.giveUp(pg, failure)
		}
		rn.metrics.Tagged(map[string]string{"cause": failure.String()}).Counter("retries").Inc(1)
		if !timer.Sleep(ctx, rn.clock, verdict.Backoff) {
			return pg.summary, rn.timeout(ctx, pg)
		}
	}
}

func (rn *Runner) decide(pg *progress, cause retry.Cause) retry.Verdict {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	verdict := rn.retries.Decide(retry.Failure{
		Service:       pg.call.Service,
		Cause:         cause,
		AttemptsMade:  pg.summary.Attempts,
		Idempotent:    true,
		UntilDeadline: pg.call.Deadline.Sub(rn.clock.Now()),
	})
	if verdict.BudgetExhausted {
		rn.metrics.Counter("retry_budget_exhausted").Inc(1)
	}
	return verdict
}

func (rn *Runner) giveUp(pg *progress, cause retry.Cause) outcome.Outcome {
	const comeBack = 2 * time.Second
	if !pg.sent {
		return outcome.Refuse(outcome.NoCapacity, "no engine took the request: "+cause.String()).WithRetryAfter(comeBack)
	}
	return outcome.Fail(outcome.RetriesExhausted, "the answer was interrupted: "+cause.String()).WithRetryAfter(comeBack)
}

// timeout returns the outcome of a request whose context has ended.
func (rn *Runner) timeout(ctx context.Context, pg *progress) outcome.Outcome {
	const comeBack = time.Second
	if context.Cause(ctx) == context.Canceled { //nolint:errorlint // the cause is the caller's own cancellation
		return outcome.Fail(outcome.CallerGone, "the caller has gone")
	}
	if !pg.sent {
		return outcome.Refuse(outcome.DeadlineExceeded, "the request did not start in its time").WithRetryAfter(comeBack)
	}
	return outcome.Fail(outcome.DeadlineExceeded, "the answer was not complete in the request's time").WithRetryAfter(comeBack)
}

// attempt acquires a grant and runs it. It returns a final outcome or the cause of a failure.
func (rn *Runner) attempt(ctx context.Context, pg *progress) (outcome.Outcome, retry.Cause) {
	grant, oc := rn.acquire(ctx, pg)
	if ctx.Err() != nil {
		if len(grant.Parts) > 0 {
			rn.endLater(ctx, pg, grant, result{}, true)
		}
		return rn.timeout(ctx, pg), 0
	}
	if !oc.OK() {
		return rn.refused(pg, oc), 0
	}
	pg.summary.Engines = pg.summary.Engines[:0]
	for _, part := range grant.Parts {
		pg.summary.Engines = append(pg.summary.Engines, part.Engine)
	}
	pg.sink.Begin(pg.summary.Engines)
	ctx, span := rn.tracer.Start(ctx, "engine.attempt", trace.WithAttributes(
		attribute.String("attempt", string(grant.Attempt)),
		attribute.Int("engines", len(grant.Parts)),
	))
	defer span.End()
	result := rn.follow(ctx, pg, grant)
	span.SetAttributes(attribute.String("result", result.String()))
	return rn.conclude(ctx, pg, grant, result)
}

// refused turns a dispatcher's refusal into an outcome; after an attempt has run, the request may have run.
func (rn *Runner) refused(pg *progress, oc outcome.Outcome) outcome.Outcome {
	if pg.sent && oc.Kind == outcome.Refused {
		oc.Kind = outcome.Failed
	}
	return oc
}

func (rn *Runner) acquire(ctx context.Context, pg *progress) (dispatch.Grant, outcome.Outcome) {
	ctx, span := rn.tracer.Start(ctx, "dispatch.acquire")
	defer span.End()
	var grant dispatch.Grant
	oc := outcome.Refuse(outcome.NoCapacity, "no engine is known").WithRetryAfter(time.Second)
	for _, name := range pg.call.Shards {
		grant, oc = rn.acquireFrom(ctx, pg, name)
		if oc.Reason != outcome.NoCapacity && oc.Reason != outcome.PromptExceedsFleet {
			break
		}
	}
	return grant, oc
}

func (rn *Runner) acquireFrom(ctx context.Context, pg *progress, name id.Shard) (dispatch.Grant, outcome.Outcome) {
	call := pg.call
	return rn.dispatchers.Acquire(ctx, shard.GrantRequest{
		Request: dispatch.Request{
			ID:           call.RequestID,
			Organisation: call.Organisation,
			Weight:       call.Weight,
			Model:        call.Model,
			PromptTokens:       call.PromptTokens,
			MaxAnswerTokens:       call.MaxAnswerTokens,
			Priority:     call.Priority,
			Deadline:     call.Deadline,
			AttemptNumber:       pg.summary.Attempts,
			PrefixHashes:       call.PrefixHashes,
			AvoidedEngines:        pg.avoid,
		},
		Shard:       name,
		Fingerprint: call.ContentFingerprint,
	})
}

// conclude frees the grant and turns the result of an attempt into an outcome or a cause for a retry.
func (rn *Runner) conclude(ctx context.Context, pg *progress, grant dispatch.Grant, result result) (outcome.Outcome, retry.Cause) {
	switch result.kind {
	case complete:
		rn.endLater(ctx, pg, grant, result, len(grant.Parts) > 1)
		return outcome.Done(), 0
	case callerGone:
		rn.endLater(ctx, pg, grant, result, true)
		return outcome.Fail(outcome.CallerGone, "the caller has gone"), 0
	case contextEnded:
		rn.endLater(ctx, pg, grant, result, true)
		return rn.timeout(ctx, pg), 0
	case crashed:
		rn.fleet.RecordEvidence(string(result.engine), fleet.Unreachable)
		rn.metrics.Counter("engines_lost").Inc(1)
		rn.dispatchers.ReportEnded(ctx, shard.EndedGrant{Request: pg.call.RequestID, Attempt: grant.Attempt, CrashedEngine: result.engine})
		rn.later(ctx, func(ctx context.Context) { rn.cancelParts(ctx, grant, result) })
		pg.avoid = append(pg.avoid, result.engine)
		return outcome.Outcome{}, retry.Crashed
	default:
		if result.draining {
			rn.fleet.RecordEvidence(string(result.engine), fleet.Draining)
		}
		if result.cause == retry.NotSent || result.kind == unresponsive {
			rn.fleet.RecordEvidence(string(result.engine), fleet.Unreachable)
		}
		rn.endLater(ctx, pg, grant, result, true)
		pg.avoid = append(pg.avoid, result.engine)
		return outcome.Outcome{}, result.cause
	}
}

// endLater frees what an attempt holds and then reports its end, without holding up the caller.
func (rn *Runner) endLater(ctx context.Context, pg *progress, grant dispatch.Grant, rs result, cancel bool) {
	request := pg.call.RequestID
	rn.later(ctx, func(ctx context.Context) {
		if cancel {
			rn.cancelParts(ctx, grant, rs)
		}
		rn.dispatchers.ReportEnded(ctx, shard.EndedGrant{Request: request, Attempt: grant.Attempt, Completed: rs.kind == complete})
	})
}

// later does work after an attempt within the cleanup's timeout, whether or not the caller waits.
func (rn *Runner) later(ctx context.Context, work func(ctx context.Context)) {
	rn.cleanup.Go(func() {
		ctx, done := context.WithTimeout(context.WithoutCancel(ctx), rn.config.CleanupTimeout)
		defer done()
		work(ctx)
	})
}

// cancelParts cancels an attempt on all its engines at once. What stays without an answer is found
// by the dispatcher when it compares the engines' attempts with its grants. It first waits until no stream is being
// opened, because an engine could get the cancellation before the start.
func (rn *Runner) cancelParts(ctx context.Context, grant dispatch.Grant, rs result) {
	const pauseBetween = 200 * time.Millisecond
	if rs.readers != nil {
		rs.readers.Wait()
	}
	var group sync.WaitGroup
	for _, part := range grant.Parts {
		group.Go(func() {
			for ctx.Err() == nil {
				call, done := context.WithTimeout(ctx, rn.config.EngineCallTimeout)
				err := rn.engines.CancelAttempt(call, part.Address, grant.Attempt)
				done()
				if err == nil {
					return
				}
				rn.metrics.Counter("cancel_retries").Inc(1)
				timer.Sleep(ctx, rn.clock, pauseBetween)
			}
		})
	}
	group.Wait()
}
