// Package limit enforces the limits of plans at the host that is the home of an organisation's limits.
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
	// concurrencyRetry is when a caller over its concurrency is told to come back.
	concurrencyRetry = time.Second
	minute           = 60.0
)

// Limiter holds the limits of the organisations that a host is the home of.
type Limiter struct {
	organisations map[id.Organisation]*account
}

type account struct {
	plan     lists.Plan
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  map[id.Request]lease
	used     time.Time
}

type lease struct {
	host    id.Host
	renewed time.Time
}

// NewLimiter returns a home without accounts.
func NewLimiter() *Limiter {
	return &Limiter{organisations: map[id.Organisation]*account{}}
}

// Spend asks for permission to run a request with the given prompt. The share scales the rates;
// it is 1 at the home itself and one host's part while the home can't be reached.
func (hm *Limiter) Spend(now time.Time, org id.Organisation, plan lists.Plan, share float64, rq id.Request, host id.Host, prompt id.Tokens) outcome.Outcome {
	ac := hm.accountOf(now, org, plan, share)
	ac.used = now
	if _, again := ac.running[rq]; again {
		return outcome.Done()
	}
	if plan.Concurrency > 0 && float64(len(ac.running)) >= math.Ceil(float64(plan.Concurrency)*share) {
		return refuse("the plan's concurrency is used up", concurrencyRetry)
	}
	if wait := take(ac.requests, now, 1); wait > 0 {
		return refuse("the plan's requests per second are used up", wait)
	}
	if wait := take(ac.tokens, now, int(prompt)); wait > 0 {
		return refuse("the plan's tokens per minute are used up", wait)
	}
	ac.running[rq] = lease{host: host, renewed: now}
	return outcome.Done()
}

func refuse(detail string, wait time.Duration) outcome.Outcome {
	return outcome.Refuse(outcome.LimitReached, detail).WithRetryAfter(wait)
}

// take spends count units or returns when they will be there. A count above the burst takes the whole burst.
func take(lm *rate.Limiter, now time.Time, count int) time.Duration {
	if lm == nil {
		return 0
	}
	res := lm.ReserveN(now, min(count, lm.Burst()))
	wait := res.DelayFrom(now)
	if wait > 0 {
		res.CancelAt(now)
	}
	return wait
}

func (hm *Limiter) accountOf(now time.Time, org id.Organisation, plan lists.Plan, share float64) *account {
	ac, ok := hm.organisations[org]
	if !ok {
		ac = &account{running: map[id.Request]lease{}}
		hm.organisations[org] = ac
	}
	ac.requests = adjust(ac.requests, now, plan.RequestsPerSecond*share, plan.RequestsPerSecond*share)
	perMinute := float64(plan.TokensPerMinute) * share
	ac.tokens = adjust(ac.tokens, now, perMinute/minute, perMinute)
	ac.plan = plan
	return ac
}

// adjust returns a limiter with the wanted rate and burst, keeping what was spent.
func adjust(lm *rate.Limiter, now time.Time, perSecond, burst float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	size := max(1, int(math.Ceil(burst)))
	if lm == nil {
		return rate.NewLimiter(rate.Limit(perSecond), size)
	}
	if lm.Limit() != rate.Limit(perSecond) {
		lm.SetLimitAt(now, rate.Limit(perSecond))
		lm.SetBurstAt(now, size)
	}
	return lm
}

// Release gives the concurrency of a request back.
func (hm *Limiter) Release(org id.Organisation, rq id.Request) {
	if ac, ok := hm.organisations[org]; ok {
		delete(ac.running, rq)
	}
}

// Renew states that a request of a host still runs; a home that has just taken over learns it so.
func (hm *Limiter) Renew(now time.Time, org id.Organisation, plan lists.Plan, rq id.Request, host id.Host) {
	ac := hm.accountOf(now, org, plan, 1)
	ac.running[rq] = lease{host: host, renewed: now}
}

// ExpireUnused forgets requests that were not renewed for ttl and accounts that were not used for as long.
func (hm *Limiter) ExpireUnused(now time.Time, ttl time.Duration) {
	const idle = 2 * time.Minute
	for org, ac := range hm.organisations {
		for rq, ls := range ac.running {
			if now.Sub(ls.renewed) > ttl {
				delete(ac.running, rq)
			}
		}
		if len(ac.running) == 0 && now.Sub(ac.used) > idle {
			delete(hm.organisations, org)
		}
	}
}

// RunningRequests returns the number of requests of an organisation that hold concurrency.
func (hm *Limiter) RunningRequests(org id.Organisation) int {
	ac, ok := hm.organisations[org]
	if !ok {
		return 0
	}
	return len(ac.running)
}
