package limit_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/limit"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// TestLimitScripts runs the scripts in testdata. The commands are
//
//	plan rate=REQUESTS-PER-SECOND tokens=TOKENS-PER-MINUTE concurrency=REQUESTS
//	admit at=MILLIS request=NAME prompt=TOKENS
//	release request=NAME
//
// A plan starts with a new limiter; limits that it leaves out do not apply.
func TestLimitScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var limiter *limit.Limiter
		var plan lists.Plan
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var request string
			td.MaybeScanArgs(t, "request", &request)
			switch td.Cmd {
			case "plan":
				limiter = limit.NewLimiter()
				plan = lists.Plan{}
				td.MaybeScanArgs(t, "rate", &plan.RequestsPerSecond)
				var tokens int64
				td.MaybeScanArgs(t, "tokens", &tokens)
				plan.TokensPerMinute = id.Tokens(tokens)
				td.MaybeScanArgs(t, "concurrency", &plan.Concurrency)
				return ""
			case "release":
				limiter.Release("osu", id.Request(request))
				return strconv.Itoa(limiter.RunningRequests("osu")) + " running\n"
			}
			var atMillis, prompt int64
			td.MaybeScanArgs(t, "at", &atMillis)
			td.MaybeScanArgs(t, "prompt", &prompt)
			admitOutcome := limiter.Admit(time.UnixMilli(atMillis), "osu", plan, 1, id.Request(request), "host", id.Tokens(prompt))
			if admitOutcome.OK() {
				return "allowed\n"
			}
			return fmt.Sprintf("%s; retry after %s\n", admitOutcome.Detail, admitOutcome.RetryAfter.Round(time.Millisecond))
		})
	})
}

// TestRateIsNeverExceeded checks that no interval allows more requests than the burst plus the rate times its length,
// for requests at random times.
func TestRateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := rapid.IntRange(1, 20).Draw(rt, "rate")
		plan := lists.Plan{RequestsPerSecond: float64(perSecond)}
		limiter := limit.NewLimiter()
		now := time.Unix(0, 0)
		var allowedAt []time.Time
		for number := range rapid.IntRange(10, 300).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "millis")) * time.Millisecond)
			if limiter.Admit(now, "osu", plan, 1, id.Request(fmt.Sprint(number)), "host", 1).OK() {
				allowedAt = append(allowedAt, now)
			}
		}
		for first := range allowedAt {
			for last := first; last < len(allowedAt); last++ {
				maxAllowed := float64(perSecond)*(1+allowedAt[last].Sub(allowedAt[first]).Seconds()) + 1
				if count := last - first + 1; float64(count) > maxAllowed {
					rt.Fatalf("%d requests within %s at %d a second", count, allowedAt[last].Sub(allowedAt[first]), perSecond)
				}
			}
		}
	})
}

// TestOwnerChangeAllowsOneMoreBurst changes the limit owner of an organisation at random times. The new owner does not
// know what was used before, so each change may allow one more burst, but not more.
func TestOwnerChangeAllowsOneMoreBurst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const perSecond = 10
		plan := lists.Plan{RequestsPerSecond: perSecond}
		limiter := limit.NewLimiter()
		startedAt := time.Unix(0, 0)
		now := startedAt
		allowed, changes := 0, 0
		for number := range rapid.IntRange(10, 400).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "millis")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(rt, "owner change") == 0 {
				limiter = limit.NewLimiter()
				changes++
			}
			if limiter.Admit(now, "osu", plan, 1, id.Request(fmt.Sprint(number)), "host", 1).OK() {
				allowed++
			}
		}
		maxAllowed := perSecond*now.Sub(startedAt).Seconds() + float64(perSecond*(changes+1)) + 1
		if float64(allowed) > maxAllowed {
			rt.Fatalf("%d requests within %s at %d a second with %d changes of owner", allowed, now.Sub(startedAt), perSecond, changes)
		}
	})
}

// TestHostSharesAddUpToLimit admits requests at each host's share of the limit, as hosts do that can't reach the limit
// owner. Together they allow no more than the limit, except that each share is rounded up to a whole request.
func TestHostSharesAddUpToLimit(t *testing.T) {
	const hosts, perSecond = 18, 90
	plan := lists.Plan{RequestsPerSecond: perSecond}
	allowed := 0
	for range hosts {
		limiter := limit.NewLimiter()
		for index := range 1000 {
			now := time.Unix(0, 0).Add(time.Duration(index) * 10 * time.Millisecond)
			if limiter.Admit(now, "osu", plan, 1.0/hosts, id.Request(fmt.Sprint(index)), "host", 1).OK() {
				allowed++
			}
		}
	}
	if maxAllowed := perSecond*10 + perSecond + hosts; allowed > maxAllowed {
		t.Fatalf("%d requests in 10 s at %d a second over %d shares", allowed, perSecond, hosts)
	}
}
