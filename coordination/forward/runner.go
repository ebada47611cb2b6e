package forward

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/backoff"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config holds the limits that a Runner enforces.
type Config struct {
	// ResponseBufferBytes is how much of the response of a plain service is buffered before any of it is forwarded. A
	// response that fails within this size can still be replaced by that of another attempt.
	ResponseBufferBytes int64
	// AttemptTimeoutShare is the part of the remaining time that one server gets for a repeatable request before
	// another server is tried, if one can take the request by then.
	AttemptTimeoutShare float64
	// IdleBeforeProbe is how long a stream may be idle before its engine is probed. Ahead of the first event, the
	// predicted time until that event is added.
	IdleBeforeProbe time.Duration
	// StallTimeoutShare is the part of the client's wait limit after which a stream without new events fails over to
	// another engine.
	StallTimeoutShare float64
	// GrantTTL is how long after its arrival a grant may be used. A host that was paused for longer has lost the grant,
	// because the dispatcher has given it to others.
	GrantTTL time.Duration
	// ProbeTimeout bounds a probe of a server or engine.
	ProbeTimeout time.Duration
	// ReservationTTL is how long reserved memory stays reserved without a renewal. It is less than the time within
	// which memory must be free again after its last use, so that this also holds if this host dies.
	ReservationTTL time.Duration
	// UnusedReservationTimeout is how long memory may be reserved for a request that has produced no event. It is less
	// than the time after which unused reserved memory counts as leaked.
	UnusedReservationTimeout time.Duration
	// MaxGrants bounds the grants that one request may use up when engines refuse to run it.
	MaxGrants int
}

// DefaultConfig returns the limits that hosts use.
func DefaultConfig() Config {
	return Config{
		ResponseBufferBytes:      32 << 10,
		AttemptTimeoutShare:      0.5,
		IdleBeforeProbe:          600 * time.Millisecond,
		StallTimeoutShare:        0.6,
		GrantTTL:                 2 * time.Second,
		ProbeTimeout:             400 * time.Millisecond,
		ReservationTTL:           3500 * time.Millisecond,
		UnusedReservationTimeout: 7 * time.Second,
		MaxGrants:                4,
	}
}

// WithMemoryBounds returns a copy of the configuration that keeps two limits on reserved memory: it is free again
// within freeWithin after its last use, also if this host dies, and it is not reserved for longer than unusedWithin
// without being used. A zero value leaves the corresponding limit unchanged.
func (cf Config) WithMemoryBounds(freeWithin, unusedWithin time.Duration) Config {
	const (
		// ttlShare leaves an eighth of the time for the engine to notice that the reservation has expired.
		ttlShare = 0.875
		// minTTL bounds the renewals of a reservation to seven per second.
		minTTL = 500 * time.Millisecond
		// unusedShare leaves two ninths of the time for the attempt to end and for its memory to be released or to
		// expire.
		unusedShare = 7.0 / 9
	)
	if freeWithin > 0 {
		cf.ReservationTTL = max(minTTL, time.Duration(ttlShare*float64(freeWithin)))
	}
	if unusedWithin > 0 {
		cf.UnusedReservationTimeout = time.Duration(unusedShare * float64(unusedWithin))
	}
	return cf
}

// Runner forwards requests. It is safe for concurrent use.
type Runner struct {
	config      Config
	host        id.Host
	incarnation id.Incarnation
	clock       timer.Clock
	sender      Sender
	reaches     Reachability
	dispatcher  Dispatcher
	fleet       Fleet
	metrics     tally.Scope
	logger      *slog.Logger
	tracer      trace.Tracer

	quarantine Quarantine
	limits     RequestLimits

	// requestCounter numbers the requests to the dispatcher.
	requestCounter atomic.Uint64
	// mutex guards random, retries, balancer, backoffs, unresolved and scheduledLooks.
	mutex    sync.Mutex
	random   *rand.Rand
	retries  *retry.Policy
	balancer *balance.Balancer
	// backoffs holds the servers that asked this host to send no requests for a time.
	backoffs *backoff.Table
	// background runs the crash checks that go on after their request has ended.
	background tasks.Group
	// unresolved holds the lost attempts that may have crashed their server, oldest first. The server list decides on
	// them.
	unresolved []unresolvedAttempt
	// scheduledLooks holds the servers that are to be looked at because attempts ended early.
	scheduledLooks map[id.BackendServer]bool

	// grantContext ends when requests that wait for a grant are to be rejected, abortContext when requests without a
	// response are to end, and serveContext when all requests are to end.
	grantContext     context.Context
	cancelGrantWaits context.CancelFunc
	abortContext     context.Context
	abortRequests    context.CancelFunc
	serveContext     context.Context
	cancelRequests   context.CancelFunc
}

// errHostLeaving is the cancellation cause of requests that the host cannot finish before it stops.
var errHostLeaving = errors.New("the host is leaving")

// UpdateServers takes a new version of the server list. It drops the state of servers that are no longer listed, and
// reports the crashes that follow from the list.
func (rn *Runner) UpdateServers(listed []serverlist.Server) {
	rn.mutex.Lock()
	rn.balancer.ForgetUnlisted(listed)
	rn.backoffs.ForgetUnlisted(listed)
	rn.mutex.Unlock()
	rn.resolveFromServerList(listed)
}

// SetInitialRetryBudget sets the number of retries in the budget of a service that has had no requests, so that a
// service with little traffic can retry in a burst. A budget can grow to twice that number.
func (rn *Runner) SetInitialRetryBudget(initialBudget float64) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.retries.SetInitialBudget(initialBudget)
}

// RetryBudgets returns the number of retries that this host may still make, by service.
func (rn *Runner) RetryBudgets() map[id.Service]float64 {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.retries.Budgets()
}

// RejectWaiting rejects all requests that wait for a grant now or later, and all others that no server may have run yet.
// Other hosts may still serve those that have not run.
func (rn *Runner) RejectWaiting() { rn.cancelGrantWaits() }

// Wait blocks until the crash checks that outlive their requests have ended.
func (rn *Runner) Wait() { rn.background.Wait() }

// Abort ends all requests of which no response has begun. The outcome of each says whether it may have run. Responses that
// have begun go on, because nothing else can be answered to their clients.
func (rn *Runner) Abort() {
	rn.cancelGrantWaits()
	rn.abortRequests()
}

// CutOff ends all requests immediately, also those whose response has begun.
func (rn *Runner) CutOff() {
	rn.Abort()
	rn.cancelRequests()
}

// withShutdown returns a copy of ctx that also ends when shutdown ends, then with errHostLeaving as its cause. The
// caller must call the returned function to free resources.
func withShutdown(ctx, shutdown context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(shutdown, tasks.Guarded(func() { cancel(errHostLeaving) }))
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// Dependencies are the components that a Runner uses.
type Dependencies struct {
	Host        id.Host
	Incarnation id.Incarnation
	Clock       timer.Clock
	Sender      Sender
	// Reachability may be nil. Requests are then sent although no server may be reached.
	Reachability Reachability
	Dispatcher   Dispatcher
	Fleet        Fleet
	Quarantine   Quarantine
	Limits       RequestLimits
	Retries      *retry.Policy
	Balancer     *balance.Balancer
	Metrics      tally.Scope
	Logger       *slog.Logger
	Tracer       trace.Tracer
	// Seed determines the random parts of retry delays and backoffs.
	Seed uint64
}

// NewRunner returns a Runner that uses the given components.
func NewRunner(config Config, deps Dependencies) *Runner {
	rn := &Runner{
		config:      config,
		host:        deps.Host,
		incarnation: deps.Incarnation,
		clock:       deps.Clock,
		sender:      deps.Sender,
		reaches:     deps.Reachability,
		dispatcher:  deps.Dispatcher,
		fleet:       deps.Fleet,
		retries:     deps.Retries,
		balancer:    deps.Balancer,
		backoffs:    backoff.New(deps.Seed),
		random:      rand.New(rand.NewPCG(deps.Seed, deps.Seed)),
		metrics:     deps.Metrics,
		logger:      deps.Logger,
		tracer:      deps.Tracer,

		quarantine: deps.Quarantine,
		limits:     deps.Limits,

		scheduledLooks: map[id.BackendServer]bool{},
	}
	rn.grantContext, rn.cancelGrantWaits = context.WithCancel(context.Background())
	rn.abortContext, rn.abortRequests = context.WithCancel(context.Background())
	rn.serveContext, rn.cancelRequests = context.WithCancel(context.Background())
	return rn
}

// Run forwards a request and blocks until its response has been forwarded or it has failed. It returns
// about when the client's deadline or the route's timeout is reached, whichever is earlier; see timeLimit.
func (rn *Runner) Run(ctx context.Context, request *Request, sink Sink) Result {
	jb := &job{runner: rn, request: request, sink: sink, start: &responseStart{}}
	ctx, detach := withShutdown(ctx, rn.serveContext)
	defer detach()
	ctx, detachAbort := withAbort(ctx, rn.abortContext, jb.start)
	defer detachAbort()
	ctx, limit, stopLimit := withTimeLimit(ctx, rn.clock, request, jb.start)
	defer stopLimit()
	jb.limit = limit
	rn.mutex.Lock()
	rn.retries.RecordFirstAttempt(request.Service)
	rn.mutex.Unlock()
	ctx, span := rn.tracer.Start(ctx, "client.request", trace.WithAttributes(
		attribute.String("request", request.ID), attribute.String("route", request.Route.Name), attribute.String("service", string(request.Service))))
	defer span.End()
	jb.result.Fingerprint = id.NewFingerprint(request.Organisation, []byte(request.Target), request.Body)
	if request.Route.HasPrompt {
		jb.runOnEngines(ctx)
	} else {
		jb.runOnServers(ctx)
	}
	if jb.result.Complete && jb.result.Status < http.StatusMultipleChoices {
		rn.quarantine.RequestCompleted(request.Service, jb.content())
	}
	span.SetAttributes(attribute.Int("status", jb.result.Status), attribute.Bool("whole", jb.result.Complete), attribute.Int("attempts", jb.result.Attempts))
	rn.recordMetrics(request, jb.result)
	return jb.result
}

// recordMetrics counts a finished request by its outcome and records its time to the first byte.
func (rn *Runner) recordMetrics(request *Request, result Result) {
	outcomeLabel := "answered"
	switch {
	case result.Complete:
	case result.HeadSent:
		outcomeLabel = "broken_off"
	default:
		outcomeLabel = string(result.Outcome.Reason)
	}
	kind := request.Route.Kind.String()
	rn.metrics.Tagged(map[string]string{"kind": kind, "outcome": outcomeLabel}).Counter("requests").Inc(1)
	if result.TimeToFirstByte > 0 {
		tags := map[string]string{"kind": kind, "prompt": promptLengthLabel(request.PromptTokens)}
		rn.metrics.Tagged(tags).Histogram("first_byte_seconds", firstByteBuckets).RecordDuration(result.TimeToFirstByte)
	}
}

// firstByteBuckets are the histogram buckets of the time to the first byte: 12 buckets that double from 10 ms to 20 s.
var firstByteBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)

// promptLengthLabel returns the metric label of a prompt's length range.
func promptLengthLabel(tokens id.Tokens) string {
	switch {
	case tokens == 0:
		return "none"
	case tokens <= 10_000:
		return "up_to_10k"
	case tokens <= 100_000:
		return "up_to_100k"
	default:
		return "over_100k"
	}
}

// addJitter lengthens a retry delay by a random part of up to a half, so that clients that were rejected together do
// not retry together.
func (rn *Runner) addJitter(wait time.Duration) time.Duration {
	const maxJitterShare = 0.5
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return wait + time.Duration(rn.random.Float64()*maxJitterShare*float64(wait))
}

// job is the forwarding of one request.
type job struct {
	runner  *Runner
	request *Request
	sink    Sink
	// limit says when the request ends. All attempts of the request share it.
	limit  *timeLimit
	result Result
	// start decides whether an abort of the host may still end the request. All attempts of the request share it.
	start *responseStart
	// sentCount counts the attempts that use up the route's limit because the request reached a server; mayHaveRun says
	// that one of them may have run it.
	sentCount  int
	mayHaveRun bool
	// backoffWait is the time until a server may get requests again, as chooseServer returned it when there was no
	// server.
	backoffWait time.Duration
	// limitReached says that chooseServer found only servers whose request limits are reached.
	limitReached bool
	// isolationMutex guards isolatedParts, which the stream monitor reads. They are the parts of the prompt because of which
	// the current attempt runs isolated, until its first event.
	isolationMutex sync.Mutex
	isolatedParts  []id.PromptPart
	// nextSecond is the second attempt to go on with after the last attempt, nil if there is none; failedSeconds holds the
	// second attempts that failed during the last attempt.
	nextSecond    *secondAttempt
	failedSeconds []*secondAttempt
	// second is the second attempt that this job runs, nil if it runs none.
	second *secondAttempt
	// newConnection makes further attempts use new connections, because a reused one ended without a response or the
	// connection of a stream broke, as others may just now.
	newConnection bool
}

// setIsolatedParts replaces the parts of the prompt because of which the current attempt runs isolated.
func (jb *job) setIsolatedParts(parts []id.PromptPart) {
	jb.isolationMutex.Lock()
	defer jb.isolationMutex.Unlock()
	jb.isolatedParts = parts
}

// isolation returns the parts of the prompt because of which the current attempt runs isolated.
func (jb *job) isolation() []id.PromptPart {
	jb.isolationMutex.Lock()
	defer jb.isolationMutex.Unlock()
	return jb.isolatedParts
}

// remaining returns the time until the request's deadline.
func (jb *job) remaining() time.Duration { return jb.limit.deadline().Sub(jb.runner.clock.Now()) }

// remainingForServer returns the time that a server gets. A stream may outlast the timeout that applies when it is sent,
// and a server ends it when the time that it got has passed; so it gets all that the client waits.
func (jb *job) remainingForServer() time.Duration {
	if jb.request.Route.Kind == route.Streaming {
		return jb.request.Deadline.Sub(jb.runner.clock.Now())
	}
	return jb.remaining()
}

// takeRetry decides whether the request is sent once more after an attempt failed for the given cause and, if so,
// charges the service's retry budget. It charges nothing if nothing was sent or the dispatcher preempted the attempt.
// The backoff that the retry policy asks for is not waited for.
func (jb *job) takeRetry(ctx context.Context, cause retry.Cause) bool {
	return jb.takeRetryAfter(ctx, cause, jb.sentCount)
}

// takeRetryAfter is takeRetry after a number of attempts. It may be called while the last one of them runs.
func (jb *job) takeRetryAfter(ctx context.Context, cause retry.Cause, attemptsMade int) bool {
	if ctx.Err() != nil {
		return false
	}
	rn := jb.runner
	rn.mutex.Lock()
	decision := rn.retries.Decide(retry.Failure{
		Service:       jb.request.Service,
		Cause:         cause,
		AttemptsMade:  attemptsMade,
		Idempotent:    jb.request.Route.Repeatable(),
		UntilDeadline: jb.remaining(),
	})
	rn.mutex.Unlock()
	if decision.BudgetExhausted {
		rn.metrics.Counter("retry_budget_exhausted").Inc(1)
		rn.logger.Warn("retry refused by the budget", "request", jb.request.ID, "service", string(jb.request.Service), "cause", cause.String())
	}
	return decision.Retry
}

// retryAllowed reports whether the retry policy would allow another attempt if the last of attemptsMade attempts were
// interrupted now. It may be called while that attempt runs.
func (jb *job) retryAllowed(attemptsMade int) bool {
	rn := jb.runner
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.retries.Allows(retry.Failure{Service: jb.request.Service, Cause: retry.Interrupted, AttemptsMade: attemptsMade, Idempotent: jb.request.Route.Repeatable()})
}

// refusesFirstSending reports whether the request must not be sent any more, because the host no longer accepts requests
// and no server may have run this one yet: it could not be finished before the host stops, while another host can serve
// it.
func (jb *job) refusesFirstSending() bool {
	return jb.runner.grantContext.Err() != nil && !jb.mayHaveRun && !jb.result.HeadSent
}

// rejectUnreachable reports whether the request must not wait for a server, because none can be reached and none may have
// run it yet. In that case it sets the outcome.
func (jb *job) rejectUnreachable() bool {
	// retryAfter is the least time after which the client may try again.
	const retryAfter = 500 * time.Millisecond
	rn := jb.runner
	if rn.reaches == nil || jb.mayHaveRun || jb.result.HeadSent || !rn.reaches.ServersUnreachable() {
		return false
	}
	jb.result.Outcome = outcome.Refuse(outcome.NoCapacity, "no backend server can be reached").WithRetryAfter(rn.addJitter(retryAfter))
	rn.metrics.Counter("unreachable_refused").Inc(1)
	return true
}

// maySend reports whether the request may still be sent.
func (jb *job) maySend() bool { return !jb.refusesFirstSending() }

// withFirstSending returns a copy of ctx for what precedes a sending. It also ends when the request must not be sent for
// the first time any more. The caller must call the returned function to free resources.
func (jb *job) withFirstSending(ctx context.Context) (context.Context, context.CancelFunc) {
	if jb.mayHaveRun || jb.result.HeadSent {
		return context.WithCancel(ctx)
	}
	return withShutdown(ctx, jb.runner.grantContext)
}

// setOutcomeOnContextEnd sets the outcome of a request whose context has ended: because the host is shutting down,
// because the client has disconnected, or because the deadline has passed.
func (jb *job) setOutcomeOnContextEnd(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), errHostLeaving):
		jb.setOutcomeOnShutdown()
	case context.Cause(ctx) == context.Canceled: //nolint:errorlint // the cause is the client's own cancellation
		jb.result.Outcome = outcome.Refuse(outcome.CallerGone, "the client has gone")
		if jb.mayHaveRun {
			jb.result.Outcome.Kind = outcome.Failed
		}
	case jb.mayHaveRun:
		jb.result.Outcome = outcome.Fail(outcome.DeadlineExceeded, "the answer was not complete in the request's time")
	default:
		jb.result.Outcome = outcome.Refuse(outcome.DeadlineExceeded, "the request did not start in its time").WithRetryAfter(time.Second)
	}
}

// setOutcomeOnShutdown sets the outcome of a request that the host cannot finish before it stops. If the request has
// not run, the client may retry soon, because other hosts can still serve it.
func (jb *job) setOutcomeOnShutdown() {
	const retryAfter = 50 * time.Millisecond
	if jb.mayHaveRun {
		jb.result.Outcome = outcome.Fail(outcome.ShuttingDown, "the host stops before the answer is complete")
		return
	}
	jb.result.Outcome = outcome.Refuse(outcome.ShuttingDown, "the host is leaving").WithRetryAfter(retryAfter)
}

// setOutcomeOnFailure sets the outcome of a request that failed and is not retried.
func (jb *job) setOutcomeOnFailure(cause string) {
	const retryAfter = 300 * time.Millisecond
	jb.result.Cause = cause
	if jb.mayHaveRun {
		jb.result.Outcome = outcome.Fail(outcome.RetriesExhausted, "the request may have run: "+cause)
		return
	}
	jb.result.Outcome = outcome.Refuse(outcome.NoCapacity, "no server took the request: "+cause).WithRetryAfter(retryAfter)
}
