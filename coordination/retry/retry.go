// Package retry decides whether a failed attempt of a request is retried, and after which backoff. Each service has a
// budget of retries, so that retries don't multiply the load of a service that is down. No other package allows a retry
// of an attempt that reached a server.
package retry

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Cause says why an attempt did not return a complete answer.
type Cause int

// Causes.
const (
	// NotSent means that nothing of the request reached the backend.
	NotSent Cause = iota + 1
	// BackendRefused means that the backend said that it did not run the request.
	BackendRefused
	// Interrupted means that the answer was cut off or stalled.
	Interrupted
	// StaleConnection means that a reused connection ended before any of the answer arrived.
	StaleConnection
	// Crashed means that the engine or backend server was lost while it ran the request.
	Crashed
	// Preempted means that the dispatcher revoked the grant.
	Preempted
)

// String returns the name of the cause in metrics and log lines.
func (cs Cause) String() string {
	switch cs {
	case NotSent:
		return "not_sent"
	case BackendRefused:
		return "backend_refused"
	case Interrupted:
		return "interrupted"
	case StaleConnection:
		return "stale"
	case Crashed:
		return "crashed"
	case Preempted:
		return "preempted"
	default:
		return "unknown"
	}
}

// Config sets the limits of retries.
type Config struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// BudgetRatio is the number of retries that each first attempt adds to the budget of its service.
	BudgetRatio float64
	// InitialBudget is the number of retries in the budget of a service that has had no requests, so that a service with
	// few requests can retry too. The budget can grow to twice that number.
	InitialBudget float64
	// FirstBackoff is the largest backoff before the second attempt. It doubles with each further attempt, up to
	// MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:   5,
		BudgetRatio:   0.1,
		InitialBudget: 10,
		FirstBackoff:  50 * time.Millisecond,
		MaxBackoff:    2 * time.Second,
	}
}

// Failure describes an attempt that did not return a complete answer.
type Failure struct {
	Service id.Service
	Cause   Cause
	// AttemptsMade is the number of attempts made so far, the failed one included.
	AttemptsMade int
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// UntilDeadline is the time until the request's deadline.
	UntilDeadline time.Duration
}

// Decision says whether and when to retry.
type Decision struct {
	Retry bool
	// Backoff is how long to wait before the retry.
	Backoff time.Duration
	// BudgetExhausted says that the request is not retried only because the budget is used up.
	BudgetExhausted bool
}

// Policy decides about retries within a budget for each service. It is not safe for concurrent use.
type Policy struct {
	config Config
	random *rand.Rand
	// budgets holds the number of retries left for each service that has had requests.
	budgets map[id.Service]float64
}

// New returns a policy in which every service has its initial budget. The seed determines the random backoffs.
func New(config Config, seed uint64) *Policy {
	return &Policy{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, seed)),
		budgets: map[id.Service]float64{},
	}
}

// SetInitialBudget changes Config.InitialBudget and cuts budgets that are larger than they can grow with it.
func (pl *Policy) SetInitialBudget(initialBudget float64) {
	pl.config.InitialBudget = initialBudget
	for service, budget := range pl.budgets {
		pl.budgets[service] = min(budget, 2*initialBudget)
	}
}

// RecordFirstAttempt adds BudgetRatio to the budget of a service, for the first attempt of a request.
func (pl *Policy) RecordFirstAttempt(service id.Service) {
	budget := pl.budgetOf(service) + pl.config.BudgetRatio
	pl.budgets[service] = min(budget, 2*pl.config.InitialBudget)
}

// Budgets returns the number of retries left for each service that has had requests.
func (pl *Policy) Budgets() map[id.Service]float64 { return maps.Clone(pl.budgets) }

func (pl *Policy) budgetOf(service id.Service) float64 {
	budget, ok := pl.budgets[service]
	if !ok {
		return pl.config.InitialBudget
	}
	return budget
}

// Allows reports whether a failed attempt may be retried, without regard to its deadline. It takes nothing from the
// budget.
func (pl *Policy) Allows(failure Failure) bool {
	return pl.isRetryable(failure) && (failure.Cause == NotSent || failure.Cause == Preempted || pl.budgetOf(failure.Service) >= 1)
}

// isRetryable reports whether a failed attempt may be retried, without regard to its deadline and the budget: the
// request did not run, or it may run twice, and attempts are left.
func (pl *Policy) isRetryable(failure Failure) bool {
	mayHaveRun := failure.Cause == Interrupted || failure.Cause == StaleConnection || failure.Cause == Crashed
	return (!mayHaveRun || failure.Idempotent) && failure.AttemptsMade < pl.config.MaxAttempts
}

// Decide decides whether a failed attempt is retried, and takes the retry from the budget. Requests that may have run
// are retried only if they are idempotent, and no retry is made whose backoff would end after the deadline. Retries
// take nothing from the budget if the attempt was preempted, or if it reached no server and so added no load to any.
// Preempted attempts are retried without a backoff, but only if a backoff would have ended before the deadline.
func (pl *Policy) Decide(failure Failure) Decision {
	if !pl.isRetryable(failure) {
		return Decision{}
	}
	backoff := pl.randomBackoff(failure.AttemptsMade)
	if backoff >= failure.UntilDeadline {
		return Decision{}
	}
	switch failure.Cause {
	case Preempted:
		return Decision{Retry: true}
	case NotSent:
		return Decision{Retry: true, Backoff: backoff}
	}
	budget := pl.budgetOf(failure.Service)
	if budget < 1 {
		return Decision{BudgetExhausted: true}
	}
	pl.budgets[failure.Service] = budget - 1
	return Decision{Retry: true, Backoff: backoff}
}

// randomBackoff returns a random time up to a maximum that doubles with each attempt.
func (pl *Policy) randomBackoff(attemptsMade int) time.Duration {
	maxBackoff := pl.config.FirstBackoff
	for range attemptsMade - 1 {
		maxBackoff = min(2*maxBackoff, pl.config.MaxBackoff)
	}
	return time.Duration(pl.random.Float64() * float64(maxBackoff))
}
