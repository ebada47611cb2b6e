package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
)

// TestRetriesAreBoundedInOutage fails every attempt and checks that the retries stay within the budget, so that they
// don't multiply the load during an outage, and that at least half of the budget is used.
func TestRetriesAreBoundedInOutage(t *testing.T) {
	config := retry.DefaultConfig()
	pl := retry.New(config, 1)
	const requests = 10_000
	retries := 0
	for range requests {
		pl.RecordFirstAttempt("models")
		for attemptsMade := 1; ; attemptsMade++ {
			decision := pl.Decide(retry.Failure{Service: "models", Cause: retry.Interrupted, AttemptsMade: attemptsMade, Idempotent: true, UntilDeadline: time.Minute})
			if !decision.Retry {
				break
			}
			retries++
		}
	}
	maxRetries := requests*config.BudgetRatio + config.InitialBudget
	assert.Assert(t, float64(retries) <= maxRetries, "%d retries of %d requests", retries, requests)
	assert.Assert(t, float64(retries) > maxRetries/2, "%d retries of %d requests", retries, requests)
}

// TestUnsentAttemptsCostNoBudget checks that attempts that reach no server take nothing from the budget. For example,
// an attempt whose connection is refused adds no load to any server.
func TestUnsentAttemptsCostNoBudget(t *testing.T) {
	config := retry.DefaultConfig()
	config.InitialBudget, config.BudgetRatio = 2, 0
	pl := retry.New(config, 1)
	failure := retry.Failure{Service: "models", Cause: retry.NotSent, AttemptsMade: 1, Idempotent: true, UntilDeadline: time.Minute}
	for range 10 {
		assert.Assert(t, pl.Decide(failure).Retry)
	}
	failure.Cause = retry.Crashed
	assert.Assert(t, pl.Decide(failure).Retry)
	assert.Assert(t, pl.Decide(failure).Retry)
	assert.Assert(t, pl.Decide(failure).BudgetExhausted)
	failure.Cause = retry.NotSent
	assert.Assert(t, pl.Decide(failure).Retry)
	failure.AttemptsMade = config.MaxAttempts
	assert.Assert(t, !pl.Decide(failure).Retry, "MaxAttempts applies to attempts that were not sent too")
}

// TestRetriesRequestsThatMayHaveRunOnlyIfIdempotent checks that requests that may have run are retried only if they are
// idempotent, and that requests that did not run are retried even if they are not.
func TestRetriesRequestsThatMayHaveRunOnlyIfIdempotent(t *testing.T) {
	for _, tc := range []struct {
		cause      retry.Cause
		idempotent bool
		want       bool
	}{
		{retry.NotSent, false, true},
		{retry.BackendRefused, false, true},
		{retry.Interrupted, false, false},
		{retry.Crashed, false, false},
		{retry.Interrupted, true, true},
		{retry.Crashed, true, true},
		{retry.StaleConnection, false, false},
		{retry.StaleConnection, true, true},
		{retry.Preempted, true, true},
	} {
		pl := retry.New(retry.DefaultConfig(), 1)
		decision := pl.Decide(retry.Failure{Service: "s", Cause: tc.cause, AttemptsMade: 1, Idempotent: tc.idempotent, UntilDeadline: time.Minute})
		assert.Equal(t, decision.Retry, tc.want, "%s, idempotent %v", tc.cause, tc.idempotent)
	}
}

// TestBackoffStaysWithinDeadlineAndBounds checks that backoffs never exceed MaxBackoff, and that there is no retry
// after the deadline or after MaxAttempts.
func TestBackoffStaysWithinDeadlineAndBounds(t *testing.T) {
	config := retry.DefaultConfig()
	config.MaxAttempts = 20
	config.InitialBudget = 1000
	pl := retry.New(config, 1)
	for attemptsMade := 1; attemptsMade < config.MaxAttempts; attemptsMade++ {
		decision := pl.Decide(retry.Failure{Service: "s", Cause: retry.NotSent, AttemptsMade: attemptsMade, UntilDeadline: time.Minute})
		assert.Assert(t, decision.Retry)
		assert.Assert(t, decision.Backoff <= config.MaxBackoff)
	}
	assert.Assert(t, !pl.Decide(retry.Failure{Service: "s", Cause: retry.NotSent, AttemptsMade: 1, UntilDeadline: 0}).Retry)
	assert.Assert(t, !pl.Decide(retry.Failure{Service: "s", Cause: retry.NotSent, AttemptsMade: config.MaxAttempts, UntilDeadline: time.Minute}).Retry)
}

// TestSetInitialBudgetCapsGrownBudgets checks that a smaller initial budget also cuts a budget that has grown before,
// to twice the new initial budget.
func TestSetInitialBudgetCapsGrownBudgets(t *testing.T) {
	config := retry.DefaultConfig()
	config.InitialBudget, config.BudgetRatio = 4, 1
	policy := retry.New(config, 1)
	for range 100 {
		policy.RecordFirstAttempt("service")
	}
	policy.SetInitialBudget(1)
	allowed := 0
	for range 100 {
		if policy.Decide(retry.Failure{Service: "service", Cause: retry.BackendRefused, AttemptsMade: 1, UntilDeadline: time.Minute}).Retry {
			allowed++
		}
	}
	assert.Equal(t, allowed, 2)
}
