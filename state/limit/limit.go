// Package limit enforces the limits of plans: requests per second, tokens per minute and concurrent requests of an
// organisation. One host, called the home of the organisation's limits, decides for all hosts. While a host can't reach
// the home, it enforces its own share of the limits. The package is pure: it reads no clock and does no I/O.
package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

const (
	// concurrencyRetryAfter is the delay after which a caller may retry a request refused because of the concurrency.
	concurrencyRetryAfter = time.Second
	secondsPerMinute      = 60.0
)

// Limiter holds the accounts of organisations, which record how much of their limits is used. It is not safe for
// concurrent use.
type Limiter struct {
	accounts map[id.Organisation]*account
}

// account records how much of its limits an organisation uses.
type account struct {
	plan lists.Plan
	// requestLimiter and tokenLimiter are nil if the plan does not limit the rate.
	requestLimiter *rate.Limiter
	tokenLimiter   *rate.Limiter
	// running are the requests that count toward the concurrency.
	running map[id.Request]runningRequest
	// lastSpend is when a request of the organisation last asked for permission.
	lastSpend time.Time
}

// runningRequest is a request that runs on a host.
type runningRequest struct {
	host id.Host
	// renewedAt is when the request was admitted or the host last stated that it still runs.
	renewedAt time.Time
}

// NewLimiter returns a limiter without accounts.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[id.Organisation]*account{}}
}

// Admit asks for permission to run a request with the given prompt. If a limit is reached, the outcome is a refusal
// with a delay after which to retry. The share scales all limits: it is 1 at the home and one divided by the number of
// hosts at a host that can't reach the home. A request that already runs is permitted again without using up more.
func (lm *Limiter) Admit(now time.Time, organisation id.Organisation, plan lists.Plan, share float64, request id.Request, host id.Host, promptTokens id.Tokens) outcome.Outcome {
	orgAccount := lm.accountFor(now, organisation, plan, share)
	orgAccount.lastSpend = now
	if _, alreadyRunning := orgAccount.running[request]; alreadyRunning {
		return outcome.Done()
	}
	if plan.Concurrency > 0 && float64(len(orgAccount.running)) >= math.Ceil(float64(plan.Concurrency)*share) {
		return refuseOverLimit("the plan's concurrency is used up", concurrencyRetryAfter)
	}
	if wait := takeUnits(orgAccount.requestLimiter, now, 1); wait > 0 {
		return refuseOverLimit("the plan's requests per second are used up", wait)
	}
	if wait := takeUnits(orgAccount.tokenLimiter, now, int(promptTokens)); wait > 0 {
		return refuseOverLimit("the plan's tokens per minute are used up", wait)
	}
	orgAccount.running[request] = runningRequest{host: host, renewedAt: now}
	return outcome.Done()
}

// refuseOverLimit returns a refusal because a limit is reached.
func refuseOverLimit(detail string, retryAfter time.Duration) outcome.Outcome {
	return outcome.Refuse(outcome.LimitReached, detail).WithRetryAfter(retryAfter)
}

// takeUnits takes units from a limiter and returns zero. If it has too few, it takes none and returns the time until it
// has enough. A count above the burst takes the whole burst, because it could never be taken otherwise.
func takeUnits(limiter *rate.Limiter, now time.Time, count int) time.Duration {
	if limiter == nil {
		return 0
	}
	reservation := limiter.ReserveN(now, min(count, limiter.Burst()))
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}

// accountFor returns the account of an organisation, with its limits adjusted to the plan and the share. It creates the
// account if there is none.
func (lm *Limiter) accountFor(now time.Time, organisation id.Organisation, plan lists.Plan, share float64) *account {
	orgAccount, exists := lm.accounts[organisation]
	if !exists {
		orgAccount = &account{running: map[id.Request]runningRequest{}}
		lm.accounts[organisation] = orgAccount
	}
	orgAccount.requestLimiter = adjustLimiter(orgAccount.requestLimiter, now, plan.RequestsPerSecond*share, plan.RequestsPerSecond*share)
	tokensPerMinute := float64(plan.TokensPerMinute) * share
	orgAccount.tokenLimiter = adjustLimiter(orgAccount.tokenLimiter, now, tokensPerMinute/secondsPerMinute, tokensPerMinute)
	orgAccount.plan = plan
	return orgAccount
}

// adjustLimiter returns a limiter with the given rate and burst, in which the units already taken from the given
// limiter remain taken. It returns nil, which means no limit, if the rate is not positive.
func adjustLimiter(limiter *rate.Limiter, now time.Time, perSecond, burst float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burstUnits := max(1, int(math.Ceil(burst)))
	if limiter == nil {
		return rate.NewLimiter(rate.Limit(perSecond), burstUnits)
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burstUnits)
	}
	return limiter
}

// Release ends a request, which no longer counts toward the concurrency.
func (lm *Limiter) Release(organisation id.Organisation, request id.Request) {
	if orgAccount, ok := lm.accounts[organisation]; ok {
		delete(orgAccount.running, request)
	}
}

// Renew states that a request of a host still runs. A host that has just become the home learns in this way of the
// requests that other hosts run.
func (lm *Limiter) Renew(now time.Time, organisation id.Organisation, plan lists.Plan, request id.Request, host id.Host) {
	orgAccount := lm.accountFor(now, organisation, plan, 1)
	orgAccount.running[request] = runningRequest{host: host, renewedAt: now}
}

// ExpireUnused drops requests that were not renewed for requestTTL, and accounts without running requests in which
// nothing was spent for 2 minutes.
func (lm *Limiter) ExpireUnused(now time.Time, requestTTL time.Duration) {
	const accountIdleTimeout = 2 * time.Minute
	for organisation, orgAccount := range lm.accounts {
		for request, running := range orgAccount.running {
			if now.Sub(running.renewedAt) > requestTTL {
				delete(orgAccount.running, request)
			}
		}
		if len(orgAccount.running) == 0 && now.Sub(orgAccount.lastSpend) > accountIdleTimeout {
			delete(lm.accounts, organisation)
		}
	}
}

// RunningRequests returns the number of requests of an organisation that count toward its concurrency.
func (lm *Limiter) RunningRequests(organisation id.Organisation) int {
	orgAccount, ok := lm.accounts[organisation]
	if !ok {
		return 0
	}
	return len(orgAccount.running)
}
