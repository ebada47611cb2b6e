package serverlimit_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// coldBounds are those of the users' deployments with cold servers.
var coldBounds = serverlimit.ColdBounds{Overage: 1.5, Slack: 5}

func TestColdLimitOfTwoHostsStaysWithinBounds(t *testing.T) {
	for _, testCase := range []struct {
		perSecond float64
		bounds    serverlimit.ColdBounds
		want      serverlimit.ColdLimit
	}{
		{0, coldBounds, serverlimit.ColdLimit{}},
		{-1, coldBounds, serverlimit.ColdLimit{}},
		{math.NaN(), coldBounds, serverlimit.ColdLimit{}},
		{17, coldBounds, serverlimit.ColdLimit{Rate: 17, MaxPerSecond: 15}},
		{0.5, coldBounds, serverlimit.ColdLimit{Rate: 0.5, MaxPerSecond: 2}},
		{50, coldBounds, serverlimit.ColdLimit{Rate: 50, MaxPerSecond: 40}},
		{17, serverlimit.ColdBounds{}, serverlimit.ColdLimit{Rate: 17, MaxPerSecond: 1}},
	} {
		assert.Equal(t, testCase.bounds.Limit(testCase.perSecond), testCase.want, "%g per second", testCase.perSecond)
	}
}

func TestLowerLimitIsInForce(t *testing.T) {
	cold := serverlimit.ColdLimit{Rate: 17}
	for named, want := range map[serverlimit.Rate]serverlimit.Rate{0: 17, 5: 5, 30: 17} {
		assert.Equal(t, cold.InForce(named), want)
	}
	assert.Equal(t, serverlimit.ColdLimit{}.InForce(3), serverlimit.Rate(3))
}

// useUp reserves whenever the account allows it, at every step, and returns the times.
func useUp(account *serverlimit.Account, from, to time.Time, step time.Duration) []time.Time {
	var sent []time.Time
	for now := from; now.Before(to); now = now.Add(step) {
		for {
			if _, ok := account.Reserve(now, 0); !ok {
				break
			}
			sent = append(sent, now)
		}
	}
	return sent
}

// usedShare returns the part of a cold server's rate that one host has to use up. Two hosts that both used up more of a
// high rate would together exceed the bound.
func usedShare(perSecond float64) float64 {
	const highRate = 30
	if perSecond <= highRate {
		return 0.8
	}
	return 0.75
}

// TestColdServerGetsItsRampAndNoMore has two hosts count for one cold server without knowing of each other, each with
// demand without end. They must hold the bound together, and each alone must use up the ramp.
func TestColdServerGetsItsRampAndNoMore(t *testing.T) {
	const duration = 6 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := math.Exp(rapid.Float64Range(math.Log(0.2), math.Log(200)).Draw(rt, "ln rate"))
		limit := coldBounds.Limit(perSecond)
		var sentByBoth []time.Time
		for range 2 {
			step := time.Duration(rapid.IntRange(1, 20).Draw(rt, "step ms")) * time.Millisecond
			from := start.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "start ms")) * time.Millisecond)
			var account serverlimit.Account
			account.SetColdLimit(from, limit)
			sent := useUp(&account, from, from.Add(duration), step)
			assert.Assert(rt, float64(len(sent)) >= math.Floor(usedShare(perSecond)*perSecond*duration.Seconds())-1, "%d requests in %s at %g/s", len(sent), duration, perSecond)
			most := testutil.MaxInWindow(sent, time.Second)
			assert.Assert(rt, most <= limit.MaxPerSecond, "%d requests in a second, allowed %d", most, limit.MaxPerSecond)
			sentByBoth = append(sentByBoth, sent...)
		}
		slices.SortFunc(sentByBoth, time.Time.Compare)
		most, allowed := testutil.MaxInWindow(sentByBoth, time.Second), perSecond*coldBounds.Overage+coldBounds.Slack
		assert.Assert(rt, float64(most) <= allowed, "%d requests in a second, allowed %g", most, allowed)
	})
}

// TestServerBecomesColdWhileBusy checks that requests of the second before count, and no older ones.
func TestServerBecomesColdWhileBusy(t *testing.T) {
	var account serverlimit.Account
	for millis := range 200 {
		// A hundred a second for two seconds.
		account.Reserve(start.Add(time.Duration(10*millis)*time.Millisecond), 0)
	}
	now := start.Add(2 * time.Second)
	account.SetColdLimit(now, coldBounds.Limit(17))
	sent := useUp(&account, now, now.Add(3*time.Second), time.Millisecond)
	assert.Assert(t, sent[0].Sub(now) > 800*time.Millisecond, "first after %s", sent[0].Sub(now))
	assert.Assert(t, sent[0].Sub(now) < time.Second, "first after %s", sent[0].Sub(now))
	assert.Assert(t, len(sent) >= 2*14, "%d requests", len(sent))
}

func TestWarmServerIsNotSlowed(t *testing.T) {
	var account serverlimit.Account
	account.SetColdLimit(start, coldBounds.Limit(17))
	useUp(&account, start, start.Add(time.Second), time.Millisecond)
	account.SetColdLimit(start.Add(time.Second), serverlimit.ColdLimit{})
	for range 1000 {
		wait, ok := account.Reserve(start.Add(time.Second), 0)
		assert.Assert(t, ok && wait == 0)
	}
}

// TestBothLimitsApply checks that a cold server that names a lower rate gets no more than that, and that a restarted
// account allows nothing at once.
func TestBothLimitsApply(t *testing.T) {
	var account serverlimit.Account
	account.SetColdLimit(start, coldBounds.Limit(17))
	account.SetRate(start, 2)
	sent := useUp(&account, start, start.Add(testutil.LimitWindow), time.Millisecond)
	assert.Assert(t, len(sent) <= testutil.MaxAllowedByLimit(2) && len(sent) >= 7, "%d requests", len(sent))
	account.SetRate(start.Add(testutil.LimitWindow), 0)
	now := start.Add(2 * testutil.LimitWindow)
	assert.Equal(t, account.Wait(now), time.Duration(0))
	account.Restart(now)
	assert.Assert(t, account.Wait(now) > 0)
}
