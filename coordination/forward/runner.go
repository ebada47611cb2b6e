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
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config sets the bounds of a runner.
type Config struct {
	// ResponseBufferBytes is the size up to which the answer of a plain service is read before any of it is passed on,
	// so that one that breaks off can be tried again.
	ResponseBufferBytes int64
	// AttemptTimeoutShare is the part of the remaining time after which an idempotent request is tried at another server.
	AttemptTimeoutShare float64
	// IdleBeforeProbe is how long a stream may be silent, beyond what was predicted, before its engine is asked
	// whether it is alive.
	IdleBeforeProbe time.Duration
	// StallTimeoutShare is the part of a client's patience after which a stream that brings no event goes on elsewhere.
	StallTimeoutShare float64
	// GrantTTL is how long a place may be used after it was given: a host that was paused has lost it by then.
	GrantTTL time.Duration
	// ProbeTimeout bounds that question.
	ProbeTimeout time.Duration
	// ReservationTTL is how long memory stays set aside without renewal: less than the time within which memory is to be free
	// again after its last use, also when this host dies.
	ReservationTTL time.Duration
	// UnusedReservationTimeout is how long memory may stay set aside for a request whose first event has not come: less than the
	// time after which memory that no request uses counts as lost.
	UnusedReservationTimeout time.Duration
	// MaxGrants bounds the places that one request asks for when engines refuse to run it.
	MaxGrants int
}

// DefaultConfig returns the bounds that hosts use.
func DefaultConfig() Config {
	return Config{
		ResponseBufferBytes:   32 << 10,
		AttemptTimeoutShare:  0.5,
		IdleBeforeProbe: 600 * time.Millisecond,
		StallTimeoutShare:    0.6,
		GrantTTL:      2 * time.Second,
		ProbeTimeout:  400 * time.Millisecond,
		ReservationTTL:    3500 * time.Millisecond,
		UnusedReservationTimeout:  7 * time.Second,
		MaxGrants:     4,
	}
}

// WithMemoryBounds returns the bounds with which memory is free again within a time after its last use, and is not set aside for
// longer than another time without being used. A time of zero changes nothing.
func (cf Config) WithMemoryBounds(free, unused time.Duration) Config {
	const (
		// holdShare leaves an eighth of the time for the engine to notice that the hold has run out.
		holdShare = 0.875
		// leastHold bounds the orders that renew memory to seven a second.
		leastHold = 500 * time.Millisecond
		// unusedShare leaves two ninths for the attempt to end and its memory to be given back, or to lapse.
		unusedShare = 7.0 / 9
	)
	if free > 0 {
		cf.ReservationTTL = max(leastHold, time.Duration(holdShare*float64(free)))
	}
	if unused > 0 {
		cf.UnusedReservationTimeout = time.Duration(unusedShare * float64(unused))
	}
	return cf
}

// Runner carries requests.
type Runner struct {
	config  Config
	host    id.Host
	inc     id.Incarnation
	clock   timer.Service
	servers Servers
	places  Dispatcher
	fleet   Fleet
	metrics tally.Scope
	logger  *slog.Logger
	tracer  trace.Tracer

	quarantine Quarantine

	sequence atomic.Uint64
	mutex    sync.Mutex
	random   *rand.Rand
	retries  *retry.Policy
	balancer *balance.Balancer
	// backoffs holds the servers that asked this host to be left alone.
	backoffs *backoff.Table
	// group holds what goes on after its request was answered.
	group tasks.Group
	// broken holds attempts whose servers may have crashed.
	broken []brokenAttempt

	// placing ends when requests that wait for a place are to be refused, serving when all requests are to be answered.
	placing     context.Context
	stopPlacing context.CancelFunc
	serving     context.Context
	stopServing context.CancelFunc
}

// errLeaving ends what the host can't finish before it stops.
var errLeaving = errors.New("the host is leaving")

// UpdateServers takes a new list of servers: it forgets what is known of those that are not in it, and counts the crashes that it
// shows.
func (rn *Runner) UpdateServers(listed []roster.Server) {
	rn.mutex.Lock()
	rn.balancer.ForgetUnlisted(listed)
	rn.backoffs.KeepListed(listed)
	rn.mutex.Unlock()
	rn.listTells(listed)
}

// SetMinRetryBudget sets the number of retries that this host may make at once for a quiet service.
func (rn *Runner) SetMinRetryBudget(count float64) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.retries.SetInitialBudget(count)
}

// RetryBudgets returns the number of retries that this host may still make for each service.
func (rn *Runner) RetryBudgets() map[id.Service]float64 {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.retries.Budgets()
}

// RejectWaiting has requests that wait for a place refused: they have not run, and other hosts may serve them.
func (rn *Runner) RejectWaiting() { rn.stopPlacing() }

// Wait returns when what goes on after requests were answered has ended.
func (rn *Runner) Wait() { rn.group.Wait() }

// Abort has every request answered now with what is known of it.
func (rn *Runner) Abort() {
	rn.stopPlacing()
	rn.stopServing()
}

// until returns a context that ends with another one as well, with errLeaving as its cause.
func until(ctx, end context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(end, func() { cancel(errLeaving) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Dependencies are what a runner works with.
type Dependencies struct {
	Host        id.Host
	Incarnation id.Incarnation
	Clock       timer.Service
	Servers     Servers
	Dispatcher      Dispatcher
	Fleet       Fleet
	Quarantine  Quarantine
	Retries     *retry.Policy
	Balancer    *balance.Balancer
	Metrics     tally.Scope
	Logger      *slog.Logger
	Tracer      trace.Tracer
	// Seed determines random choices.
	Seed uint64
}

// NewRunner returns a runner.
func NewRunner(config Config, parts Dependencies) *Runner {
	rn := &Runner{
		config:   config,
		host:     parts.Host,
		inc:      parts.Incarnation,
		clock:    parts.Clock,
		servers:  parts.Servers,
		places:   parts.Dispatcher,
		fleet:    parts.Fleet,
		retries:  parts.Retries,
		balancer: parts.Balancer,
		backoffs: backoff.New(parts.Seed),
		random:   rand.New(rand.NewPCG(parts.Seed, parts.Seed)),
		metrics:  parts.Metrics,
		logger:   parts.Logger,
		tracer:   parts.Tracer,

		quarantine: parts.Quarantine,
	}
	rn.placing, rn.stopPlacing = context.WithCancel(context.Background())
	rn.serving, rn.stopServing = context.WithCancel(context.Background())
	return rn
}

// Run carries a request until its answer has been passed on or it has failed, at the latest at its deadline.
func (rn *Runner) Run(ctx context.Context, rq *Request, sink Sink) Result {
	limit := rq.Deadline
	if rq.Route.Timeout > 0 && rq.ArrivedAt.Add(rq.Route.Timeout).Before(limit) {
		limit = rq.ArrivedAt.Add(rq.Route.Timeout)
	}
	ctx, stop := until(ctx, rn.serving)
	defer stop()
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	rn.mutex.Lock()
	rn.retries.RecordFirstAttempt(rq.Service)
	rn.mutex.Unlock()
	ctx, span := rn.tracer.Start(ctx, "client.request", trace.WithAttributes(
		attribute.String("request", rq.ID), attribute.String("route", rq.Route.Name), attribute.String("service", string(rq.Service))))
	defer span.End()
	job := &job{runner: rn, request: rq, sink: sink, limit: limit}
	job.result.Fingerprint = id.NewFingerprint(rq.Organisation, []byte(rq.Target), rq.Body)
	if rq.Route.HasPrompt {
		job.stream(ctx)
	} else {
		job.plain(ctx)
	}
	if job.result.Complete && job.result.Status < http.StatusMultipleChoices {
		rn.quarantine.Finished(rq.Service, job.result.Fingerprint)
	}
	span.SetAttributes(attribute.Int("status", job.result.Status), attribute.Bool("whole", job.result.Complete), attribute.Int("attempts", job.result.Attempts))
	rn.count(rq, job.result)
	return job.result
}

func (rn *Runner) count(rq *Request, rs Result) {
	what := "answered"
	switch {
	case rs.Complete:
	case rs.HeadSent:
		what = "broken_off"
	default:
		what = string(rs.Outcome.Reason)
	}
	kind := rq.Route.Kind.String()
	rn.metrics.Tagged(map[string]string{"kind": kind, "outcome": what}).Counter("requests").Inc(1)
	if rs.TimeToFirstByte > 0 {
		tags := map[string]string{"kind": kind, "prompt": promptBand(rq.PromptTokens)}
		rn.metrics.Tagged(tags).Histogram("first_byte_seconds", firstByteBuckets).RecordDuration(rs.TimeToFirstByte)
	}
}

// firstByteBuckets are the buckets of the time to the first byte: 10 ms to 20 s.
var firstByteBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)

// promptBand names a range of prompt lengths, as histograms are tagged with it.
func promptBand(prompt id.Tokens) string {
	switch {
	case prompt == 0:
		return "none"
	case prompt <= 10_000:
		return "up_to_10k"
	case prompt <= 100_000:
		return "up_to_100k"
	default:
		return "over_100k"
	}
}

// apart adds a random part to the time after which a client is to come back, so that those refused together do not
// return together.
func (rn *Runner) apart(wait time.Duration) time.Duration {
	const spread = 0.5
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return wait + time.Duration(rn.random.Float64()*spread*float64(wait))
}

// job is one request on its way.
type job struct {
	runner  *Runner
	request *Request
	sink    Sink
	// limit is the earlier one of the client's deadline and the route's timeout.
	limit  time.Time
	result Result
	// sent counts the servers that the request was sent to; unknown says that one of them may have run it.
	sent    int
	unknown bool
	// wait is the time until a server may be tried, when all want to be left alone.
	wait time.Duration
	// fresh has further attempts made on new connections, since a reused one brought no answer.
	fresh bool
}

// remaining returns the time until the request's limit.
func (jb *job) remaining() time.Duration { return jb.limit.Sub(jb.runner.clock.Now()) }

// again decides whether a request is sent once more.
func (jb *job) again(ctx context.Context, cause retry.Cause) bool {
	if ctx.Err() != nil {
		return false
	}
	rn := jb.runner
	rn.mutex.Lock()
	verdict := rn.retries.Decide(retry.Failure{
		Service:    jb.request.Service,
		Cause:      cause,
		AttemptsMade:   jb.sent,
		Idempotent: jb.request.Route.Repeatable(),
		UntilDeadline:  jb.remaining(),
	})
	rn.mutex.Unlock()
	if verdict.BudgetExhausted {
		rn.metrics.Counter("retry_budget_exhausted").Inc(1)
		rn.logger.Warn("retry refused by the budget", "request", jb.request.ID, "service", string(jb.request.Service), "cause", cause.String())
	}
	return verdict.Retry
}

// ended sets the outcome of a request whose context has ended.
func (jb *job) ended(ctx context.Context) {
	switch {
	case errors.Is(context.Cause(ctx), errLeaving):
		jb.leaving()
	case context.Cause(ctx) == context.Canceled: //nolint:errorlint // the cause is the client's own cancellation
		jb.result.Outcome = outcome.Fail(outcome.CallerGone, "the client has gone")
	case jb.unknown:
		jb.result.Outcome = outcome.Fail(outcome.DeadlineExceeded, "the answer was not complete in the request's time")
	default:
		jb.result.Outcome = outcome.Refuse(outcome.DeadlineExceeded, "the request did not start in its time").After(time.Second)
	}
}

// leaving sets the outcome of a request that the host can't finish before it stops.
func (jb *job) leaving() {
	const comeBack = 50 * time.Millisecond
	if jb.unknown {
		jb.result.Outcome = outcome.Fail(outcome.ShuttingDown, "the host stops before the answer is complete")
		return
	}
	jb.result.Outcome = outcome.Refuse(outcome.ShuttingDown, "the host is leaving").After(comeBack)
}

// giveUp sets the outcome of a request that is not sent again.
func (jb *job) giveUp(cause string) {
	const comeBack = 300 * time.Millisecond
	jb.result.Cause = cause
	if jb.unknown {
		jb.result.Outcome = outcome.Fail(outcome.RetriesExhausted, "the request may have run: "+cause)
		return
	}
	jb.result.Outcome = outcome.Refuse(outcome.NoCapacity, "no server took the request: "+cause).After(comeBack)
}
