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
	// Stale means that a reused connection ended without bringing any of the answer.
	Stale
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
	case Stale:
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
	// BudgetShare is the part of first attempts that may be added as retries.
	BudgetShare float64
	// MinBudget is the number of retries that a quiet service may make at once.
	MinBudget float64
	// FirstBackoff is the largest wait before the second attempt; it doubles up to MaxBackoff.
	FirstBackoff time.Duration
	MaxBackoff   time.Duration
}

// DefaultConfig returns the bounds that hosts use.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:  5,
		BudgetShare:  0.1,
		MinBudget:    10,
		FirstBackoff: 50 * time.Millisecond,
		MaxBackoff:   2 * time.Second,
	}
}

// Failure describes an attempt that did not bring a whole answer.
type Failure struct {
	Service id.Service
	Cause   Cause
	// Attempts is the number of attempts made.
	Attempts int
	// Idempotent says that running the request again does no harm.
	Idempotent bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Verdict says whether and when to try again.
type Verdict struct {
	Retry bool
	After time.Duration
	// Exhausted says that only the budget forbids the retry.
	Exhausted bool
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

// Resize changes the number of retries that a quiet service may make at once.
func (pl *Policy) Resize(minBudget float64) {
	pl.config.MinBudget = minBudget
	for service, budget := range pl.budgets {
		pl.budgets[service] = min(budget, 2*minBudget)
	}
}

// First counts a first attempt, which adds to the service's budget.
func (pl *Policy) First(service id.Service) {
	budget := pl.budgetOf(service) + pl.config.BudgetShare
	pl.budgets[service] = min(budget, 2*pl.config.MinBudget)
}

// Budgets returns the number of retries that are left for each service that had requests.
func (pl *Policy) Budgets() map[id.Service]float64 { return maps.Clone(pl.budgets) }

func (pl *Policy) budgetOf(service id.Service) float64 {
	budget, ok := pl.budgets[service]
	if !ok {
		return pl.config.MinBudget
	}
	return budget
}

// Allows reports whether an attempt that failed now would be made again. It takes nothing from the budget.
func (pl *Policy) Allows(fl Failure) bool {
	return pl.repeatable(fl) && (fl.Cause == NotSent || fl.Cause == Preempted || pl.budgetOf(fl.Service) >= 1)
}

// repeatable reports whether a failed attempt may be made again as far as the budget is not concerned.
func (pl *Policy) repeatable(fl Failure) bool {
	ran := fl.Cause == Interrupted || fl.Cause == Stale || fl.Cause == Crashed
	return (!ran || fl.Idempotent) && fl.Attempts < pl.config.MaxAttempts
}

// Decide says whether a failed attempt is made again.
// Only what did not run, or may run twice, is tried again. Preempted attempts, and those that reached no server, cost no
// budget.
func (pl *Policy) Decide(fl Failure) Verdict {
	if !pl.repeatable(fl) {
		return Verdict{}
	}
	after := pl.backoff(fl.Attempts)
	if after >= fl.Remaining {
		return Verdict{}
	}
	switch fl.Cause {
	case Preempted:
		return Verdict{Retry: true}
	case NotSent:
		return Verdict{Retry: true, After: after}
	}
	budget := pl.budgetOf(fl.Service)
	if budget < 1 {
		return Verdict{Exhausted: true}
	}
	pl.budgets[fl.Service] = budget - 1
	return Verdict{Retry: true, After: after}
}

// backoff returns a random wait up to a bound that doubles with each attempt.
func (pl *Policy) backoff(attempts int) time.Duration {
	bound := pl.config.FirstBackoff
	for range attempts - 1 {
		bound = min(2*bound, pl.config.MaxBackoff)
	}
	return time.Duration(pl.random.Float64() * float64(bound))
}
