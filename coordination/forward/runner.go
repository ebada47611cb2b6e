package forward

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config sets the bounds of a runner.
type Config struct {
	// BufferBytes is the size up to which the answer of a plain service is read before any of it is passed on,
	// so that one that breaks off can be tried again.
	BufferBytes int64
	// AttemptShare is the part of the remaining time after which an idempotent request is tried at another server.
	AttemptShare float64
	// StreamSilence is how long a stream may be silent, beyond what was predicted, before its engine is asked
	// whether it is alive.
	StreamSilence time.Duration
	// ProbeTimeout bounds that question.
	ProbeTimeout time.Duration
	// MaxPlaces bounds the places that one request asks for when engines refuse to run it.
	MaxPlaces int
}

// DefaultConfig returns the bounds that hosts use.
func DefaultConfig() Config {
	return Config{
		BufferBytes:   256 << 10,
		AttemptShare:  0.5,
		StreamSilence: 600 * time.Millisecond,
		ProbeTimeout:  400 * time.Millisecond,
		MaxPlaces:     4,
	}
}

// Runner carries requests.
type Runner struct {
	config  Config
	host    id.Host
	inc     id.Incarnation
	clock   timer.Service
	servers Servers
	places  Places
	fleet   Fleet
	metrics tally.Scope
	logger  *slog.Logger
	tracer  trace.Tracer

	sequence atomic.Uint64
	mutex    sync.Mutex
	retries  *retry.Policy
	balancer *balance.Balancer

	// placing ends when requests that wait for a place are to be refused, serving when all requests are to be answered.
	placing     context.Context
	stopPlacing context.CancelFunc
	serving     context.Context
	stopServing context.CancelFunc
}

// errLeaving ends what the host can't finish before it stops.
var errLeaving = errors.New("the host is leaving")

// Keep forgets what is known of servers that are no longer listed.
func (rn *Runner) Keep(listed []roster.Server) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.balancer.Keep(listed)
}

// SetQuietRetries sets the number of retries that this host may make at once for a quiet service.
func (rn *Runner) SetQuietRetries(count float64) {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	rn.retries.Resize(count)
}

// RetryBudgets returns the number of retries that this host may still make for each service.
func (rn *Runner) RetryBudgets() map[id.Service]float64 {
	rn.mutex.Lock()
	defer rn.mutex.Unlock()
	return rn.retries.Budgets()
}

// StopPlacing has requests that wait for a place refused: they have not run, and other hosts may serve them.
func (rn *Runner) StopPlacing() { rn.stopPlacing() }

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

// NewRunner returns a runner.
func NewRunner(config Config, host id.Host, inc id.Incarnation, clock timer.Service, servers Servers, places Places, fleet Fleet, retries *retry.Policy, balancer *balance.Balancer, metrics tally.Scope, logger *slog.Logger, tracer trace.Tracer) *Runner {
	rn := &Runner{
		config:   config,
		host:     host,
		inc:      inc,
		clock:    clock,
		servers:  servers,
		places:   places,
		fleet:    fleet,
		retries:  retries,
		balancer: balancer,
		metrics:  metrics,
		logger:   logger,
		tracer:   tracer,
	}
	rn.placing, rn.stopPlacing = context.WithCancel(context.Background())
	rn.serving, rn.stopServing = context.WithCancel(context.Background())
	return rn
}

// Run carries a request until its answer has been passed on or it has failed, at the latest at its deadline.
func (rn *Runner) Run(ctx context.Context, rq *Request, sink Sink) Result {
	limit := rq.Deadline
	if rq.Route.Timeout > 0 && rq.Arrived.Add(rq.Route.Timeout).Before(limit) {
		limit = rq.Arrived.Add(rq.Route.Timeout)
	}
	ctx, stop := until(ctx, rn.serving)
	defer stop()
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	rn.mutex.Lock()
	rn.retries.First(rq.Service)
	rn.mutex.Unlock()
	ctx, span := rn.tracer.Start(ctx, "client.request", trace.WithAttributes(
		attribute.String("request", rq.ID), attribute.String("route", rq.Route.Name), attribute.String("service", string(rq.Service))))
	defer span.End()
	job := &job{runner: rn, request: rq, sink: sink, limit: limit}
	if rq.Route.Prompt {
		job.stream(ctx)
	} else {
		job.plain(ctx)
	}
	span.SetAttributes(attribute.Int("status", job.result.Status), attribute.Bool("whole", job.result.Whole), attribute.Int("attempts", job.result.Attempts))
	rn.count(rq, job.result)
	return job.result
}

func (rn *Runner) count(rq *Request, rs Result) {
	what := "answered"
	switch {
	case rs.Whole:
	case rs.Begun:
		what = "broken_off"
	default:
		what = string(rs.Outcome.Reason)
	}
	kind := rq.Route.Kind.String()
	rn.metrics.Tagged(map[string]string{"kind": kind, "outcome": what}).Counter("requests").Inc(1)
	if rs.FirstByte > 0 {
		tags := map[string]string{"kind": kind, "prompt": promptBand(rq.Prompt)}
		rn.metrics.Tagged(tags).Histogram("first_byte_seconds", firstByteBuckets).RecordDuration(rs.FirstByte)
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
		Attempts:   jb.sent,
		Idempotent: jb.request.Route.Repeatable(),
		Remaining:  jb.remaining(),
	})
	rn.mutex.Unlock()
	if verdict.Exhausted {
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
