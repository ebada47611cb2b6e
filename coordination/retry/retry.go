// Package retry is the one place that decides whether an attempt is made again.
package retry

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Cause says why an attempt did not bring a whole answer.
type Cause int

// Causes.
const (
	// NotSent means that nothing reached the backend.
	NotSent Cause = iota + 1
	// BackendRefused means that the backend said it did not run the request.
	BackendRefused
	// Interrupted means that the stream was cut or stalled.
	Interrupted
	// StaleConnection means that a reused connection ended without bringing any of the answer.
	StaleConnection
	// Crashed means that the engine was lost while it ran the request.
	Crashed
	// Preempted means that the dispatcher took the grant back.
	Preempted
)

// String returns the cause as counters name it.
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

// Config sets the bounds of retries.
type Config struct {
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// BudgetRatio is the part of first attempts that may be added as retries.
	BudgetRatio float64
	// InitialBudget is the number of retries that a quiet service may make at once.
	InitialBudget float64
	// FirstBackoff is the largest wait before the second attempt; it doubles up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
}

// DefaultConfig returns the bounds that hosts use.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:  5,
		BudgetRatio:  0.1,
		InitialBudget:    10,
		FirstBackoff: 50 * time.Millisecond,
		MaxBackoff:   2 * time.Second,
	}
}

// Failure describes an attempt that did not bring a whole answer.
type Failure struct {
	Service id.Service
	Cause   Cause
	// AttemptsMade is the number of attempts made.
	AttemptsMade int
	// Idempotent says that running the request again does no harm.
	Idempotent bool
	// UntilDeadline is the time until the request's deadline.
	UntilDeadline time.Duration
}

// Verdict says whether and when to try again.
type Verdict struct {
	Retry bool
	Backoff time.Duration
	// BudgetExhausted says that only the budget forbids the retry.
	BudgetExhausted bool
}

// Policy decides retries within a budget for each service.
type Policy struct {
	config  Config
	random  *rand.Rand
	budgets map[id.Service]float64
}

// New returns a policy with full budgets. The seed determines the backoff.
func New(config Config, seed uint64) *Policy {
	return &Policy{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, seed)),
		budgets: map[id.Service]float64{},
	}
}

// SetInitialBudget changes the number of retries that a quiet service may make at once.
func (pl *Policy) SetInitialBudget(minBudget float64) {
	pl.config.InitialBudget = minBudget
	for service, budget := range pl.budgets {
		pl.budgets[service] = min(budget, 2*minBudget)
	}
}

// RecordFirstAttempt counts a first attempt, which adds to the service's budget.
func (pl *Policy) RecordFirstAttempt(service id.Service) {
	budget := pl.budgetOf(service) + pl.config.BudgetRatio
	pl.budgets[service] = min(budget, 2*pl.config.InitialBudget)
}

// Budgets returns the number of retries that are left for each service that had requests.
func (pl *Policy) Budgets() map[id.Service]float64 { return maps.Clone(pl.budgets) }

func (pl *Policy) budgetOf(service id.Service) float64 {
	budget, ok := pl.budgets[service]
	if !ok {
		return pl.config.InitialBudget
	}
	return budget
}

// Allows reports whether an attempt that failed now would be made again. It takes nothing from the budget.
func (pl *Policy) Allows(fl Failure) bool {
	return pl.repeatable(fl) && (fl.Cause == NotSent || fl.Cause == Preempted || pl.budgetOf(fl.Service) >= 1)
}

// repeatable reports whether a failed attempt may be made again as far as the budget is not concerned.
func (pl *Policy) repeatable(fl Failure) bool {
	ran := fl.Cause == Interrupted || fl.Cause == StaleConnection || fl.Cause == Crashed
	return (!ran || fl.Idempotent) && fl.AttemptsMade < pl.config.MaxAttempts
}

// Decide says whether a failed attempt is made again.
// Only what did not run, or may run twice, is tried again. Preempted attempts, and those that reached no server, cost no
// budget.
func (pl *Policy) Decide(fl Failure) Verdict {
	if !pl.repeatable(fl) {
		return Verdict{}
	}
	after := pl.backoff(fl.AttemptsMade)
	if after >= fl.UntilDeadline {
		return Verdict{}
	}
	switch fl.Cause {
	case Preempted:
		return Verdict{Retry: true}
	case NotSent:
		return Verdict{Retry: true, Backoff: after}
	}
	budget := pl.budgetOf(fl.Service)
	if budget < 1 {
		return Verdict{BudgetExhausted: true}
	}
	pl.budgets[fl.Service] = budget - 1
	return Verdict{Retry: true, Backoff: after}
}

// backoff returns a random wait up to a bound that doubles with each attempt.
func (pl *Policy) backoff(attempts int) time.Duration {
	bound := pl.config.FirstBackoff
	for range attempts - 1 {
		bound = min(2*bound, pl.config.MaxBackoff)
	}
	return time.Duration(pl.random.Float64() * float64(bound))
}
