package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
)

// TestRetriesAreBoundedInOutage lets every attempt fail and counts the retries.
func TestRetriesAreBoundedInOutage(t *testing.T) {
	config := retry.DefaultConfig()
	pl := retry.New(config, 1)
	const requests = 10_000
	retries := 0
	for range requests {
		pl.RecordFirstAttempt("models")
		for attempts := 1; ; attempts++ {
			verdict := pl.Decide(retry.Failure{Service: "models", Cause: retry.Interrupted, AttemptsMade: attempts, Idempotent: true, UntilDeadline: time.Minute})
			if !verdict.Retry {
				break
			}
			retries++
		}
	}
	most := requests*config.BudgetRatio + config.InitialBudget
	assert.Assert(t, float64(retries) <= most, "%d retries of %d requests", retries, requests)
	assert.Assert(t, float64(retries) > most/2, "%d retries of %d requests", retries, requests)
}

// TestUnsentAttemptsCostNoBudget leaves the budget to attempts that reach servers: one that found its server's address
// refused adds no load to any.
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
	assert.Assert(t, !pl.Decide(failure).Retry, "attempts are bounded all the same")
}

func TestRetriesOnlySafeAttempts(t *testing.T) {
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
		verdict := pl.Decide(retry.Failure{Service: "s", Cause: tc.cause, AttemptsMade: 1, Idempotent: tc.idempotent, UntilDeadline: time.Minute})
		assert.Equal(t, verdict.Retry, tc.want, "%s, idempotent %v", tc.cause, tc.idempotent)
	}
}

func TestBackoffStaysWithinDeadlineAndBounds(t *testing.T) {
	config := retry.DefaultConfig()
	config.MaxAttempts = 20
	config.InitialBudget = 1000
	pl := retry.New(config, 1)
	for attempts := 1; attempts < config.MaxAttempts; attempts++ {
		verdict := pl.Decide(retry.Failure{Service: "s", Cause: retry.NotSent, AttemptsMade: attempts, UntilDeadline: time.Minute})
		assert.Assert(t, verdict.Retry)
		assert.Assert(t, verdict.Backoff <= config.MaxBackoff)
	}
	assert.Assert(t, !pl.Decide(retry.Failure{Service: "s", Cause: retry.NotSent, AttemptsMade: 1, UntilDeadline: 0}).Retry)
	assert.Assert(t, !pl.Decide(retry.Failure{Service: "s", Cause: retry.NotSent, AttemptsMade: config.MaxAttempts, UntilDeadline: time.Minute}).Retry)
}

// TestSmallerBudgetDropsSavedRetries leaves no more saved up than the new size allows.
func TestSmallerBudgetDropsSavedRetries(t *testing.T) {
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
