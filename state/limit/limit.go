// Package limit enforces the limits of plans: requests per second, tokens per minute and concurrent requests of an
// organisation. One host, the limit owner of the organisation, decides for all hosts. A host that can't reach the limit
// owner enforces its own share of the limits. The package is pure: it reads no clock and does no I/O.
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
	// concurrencyRetryAfter is the delay after which a client may retry a request refused because of the concurrency.
	// It is fixed, because it is not known when a running request will end.
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
	// lastRequestedAt is when a request of the organisation last asked for permission, whether or not it was admitted.
	lastRequestedAt time.Time
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

// Admit decides whether a request with the given prompt may run. If a limit is reached, the outcome is a refusal with a
// delay after which to retry. A request that already runs is admitted again without using up more. A request refused
// for its tokens has still used one of the requests per second.
//
// The share scales all limits: it is 1 at the limit owner and one divided by the number of hosts at a host that can't
// reach the limit owner.
func (lm *Limiter) Admit(now time.Time, organisation id.Organisation, plan lists.Plan, share float64, request id.Request, host id.Host, promptTokens id.Tokens) outcome.Outcome {
	orgAccount := lm.accountFor(now, organisation, plan, share)
	orgAccount.lastRequestedAt = now
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

// takeUnits takes count units from the limiter and returns zero. If it has too few, it takes none and returns the time
// until it has enough. A count above the burst takes the whole burst, because it could never be taken otherwise.
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

// accountFor returns the organisation's account, with its limits adjusted to the plan and the share. It creates the
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

// Release ends the request, which no longer counts toward the concurrency.
func (lm *Limiter) Release(organisation id.Organisation, request id.Request) {
	if orgAccount, ok := lm.accounts[organisation]; ok {
		delete(orgAccount.running, request)
	}
}

// Renew states that the request still runs on the host. A host that has just become the limit owner learns in this way
// of the requests that other hosts run.
func (lm *Limiter) Renew(now time.Time, organisation id.Organisation, plan lists.Plan, request id.Request, host id.Host) {
	orgAccount := lm.accountFor(now, organisation, plan, 1)
	orgAccount.running[request] = runningRequest{host: host, renewedAt: now}
}

// ExpireUnused drops requests that were not renewed for requestTTL, and accounts without running requests whose last
// request asked for permission more than 2 minutes ago.
func (lm *Limiter) ExpireUnused(now time.Time, requestTTL time.Duration) {
	// A used-up token limit refills within a minute, so dropping an idle account returns no tokens early.
	const accountIdleTimeout = 2 * time.Minute
	for organisation, orgAccount := range lm.accounts {
		for request, running := range orgAccount.running {
			if now.Sub(running.renewedAt) > requestTTL {
				delete(orgAccount.running, request)
			}
		}
		if len(orgAccount.running) == 0 && now.Sub(orgAccount.lastRequestedAt) > accountIdleTimeout {
			delete(lm.accounts, organisation)
		}
	}
}

// RunningRequests returns the number of the organisation's requests that count toward its concurrency.
func (lm *Limiter) RunningRequests(organisation id.Organisation) int {
	orgAccount, ok := lm.accounts[organisation]
	if !ok {
		return 0
	}
	return len(orgAccount.running)
}
