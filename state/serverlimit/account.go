package serverlimit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstDuration is the time whose unused requests a server may get at once.
	burstDuration = 250 * time.Millisecond
	// recentDuration is how long requests are remembered that were sent before the limit was known. They count while they
	// are that recent, so that a server that has just named a limit gets no more than without them.
	recentDuration = 4 * time.Second
)

// Account counts the requests that all hosts together send to one server, and says when the server may get the next
// one. The zero value has no limit.
type Account struct {
	rate Rate
	// limiter is nil if there is no limit.
	limiter *rate.Limiter
	// cold is the limit while the server is cold, and coldLimiter counts against its rate. coldLimiter is nil if the server
	// is not cold.
	cold        ColdLimit
	coldLimiter *rate.Limiter
	// recent holds the times of the requests of the last recentDuration, in the order in which they were counted.
	recent []time.Time
}

// SetRate changes the rate. Zero ends the limit. A new limit allows nothing at once, because it is not known what other
// hosts have sent.
func (ac *Account) SetRate(now time.Time, perSecond Rate) {
	switch {
	case perSecond == ac.rate:
		return
	case perSecond == 0:
		ac.limiter = nil
	case ac.limiter == nil:
		ac.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond.burst())
		ac.limiter.ReserveN(now, perSecond.burst())
	default:
		ac.limiter.SetLimitAt(now, rate.Limit(perSecond))
		ac.limiter.SetBurstAt(now, perSecond.burst())
	}
	ac.rate = perSecond
}

// SetColdLimit changes the limit that applies in addition to the rate because the server is cold. The zero value ends it.
// A new limit allows no burst, and the requests of the second before count against MaxPerSecond.
func (ac *Account) SetColdLimit(now time.Time, limit ColdLimit) {
	if limit.Rate == ac.cold.Rate {
		ac.cold = limit
		return
	}
	ac.cold, ac.coldLimiter = limit, nil
	if limit.Rate > 0 {
		ac.coldLimiter = rate.NewLimiter(rate.Limit(limit.Rate), limit.Rate.burst())
		ac.coldLimiter.ReserveN(now, limit.Rate.burst())
	}
}

// Restart makes the account allow nothing at once, as for a new limit.
func (ac *Account) Restart(now time.Time) {
	perSecond, cold := ac.rate, ac.cold
	ac.SetRate(now, 0)
	ac.SetRate(now, perSecond)
	ac.SetColdLimit(now, ColdLimit{})
	ac.SetColdLimit(now, cold)
}

// burst returns the number of requests that may be sent at once.
func (rt Rate) burst() int { return 1 + int(float64(rt)*burstDuration.Seconds()) }

// Wait returns the time until the server may get a request; zero if it may get one now.
func (ac *Account) Wait(now time.Time) time.Duration {
	if ac.limiter == nil && ac.coldLimiter == nil {
		return 0
	}
	ac.dropOld(now)
	wait := ac.coldWait(now)
	if ac.limiter == nil {
		return wait
	}
	wait = max(wait, untilToken(ac.limiter, now))
	maxRecent := ac.rate.burst() + int(float64(ac.rate)*recentDuration.Seconds())
	if excess := len(ac.recent) - maxRecent; excess >= 0 {
		wait = max(wait, ac.recent[excess].Add(recentDuration).Sub(now))
	}
	return wait
}

// coldWait returns the time until the limit of a cold server allows a request; zero if it allows one now.
func (ac *Account) coldWait(now time.Time) time.Duration {
	if ac.coldLimiter == nil {
		return 0
	}
	wait := untilToken(ac.coldLimiter, now)
	if excess := len(ac.recent) - ac.cold.MaxPerSecond; excess >= 0 && ac.cold.MaxPerSecond > 0 {
		wait = max(wait, ac.recent[excess].Add(time.Second).Sub(now))
	}
	return wait
}

// untilToken returns the time until a limiter allows a request; zero if it allows one now.
func untilToken(limiter *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - limiter.TokensAt(now)
	return max(0, time.Duration(missing/float64(limiter.Limit())*float64(time.Second)))
}

// Reserve counts a request that is sent after the returned wait, if that is at most maxWait. Otherwise it counts nothing
// and returns false with the wait.
func (ac *Account) Reserve(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	wait := ac.Wait(now)
	if wait > maxWait {
		return wait, false
	}
	ac.dropOld(now)
	for _, limiter := range []*rate.Limiter{ac.limiter, ac.coldLimiter} {
		if limiter != nil {
			limiter.ReserveN(now, 1)
		}
	}
	ac.recent = append(ac.recent, now.Add(wait))
	return wait, true
}

// dropOld drops the requests that are no longer recent.
func (ac *Account) dropOld(now time.Time) {
	kept := 0
	for kept < len(ac.recent) && now.Sub(ac.recent[kept]) >= recentDuration {
		kept++
	}
	if kept > 0 {
		ac.recent = append(ac.recent[:0], ac.recent[kept:]...)
	}
}
