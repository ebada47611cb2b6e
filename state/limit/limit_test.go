package limit_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/limit"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

func TestMain(m *testing.M) { checks.Main(m) }

// TestLimitScripts runs the scripts in testdata: "spend at=MILLIS request=NAME prompt=TOKENS" and "end request=NAME".
func TestLimitScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var home *limit.Limiter
		var plan lists.Plan
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var request string
			td.MaybeScanArgs(t, "request", &request)
			switch td.Cmd {
			case "plan":
				home = limit.NewLimiter()
				plan = lists.Plan{}
				td.MaybeScanArgs(t, "rate", &plan.RequestsPerSecond)
				var tokens int64
				td.MaybeScanArgs(t, "tokens", &tokens)
				plan.TokensPerMinute = id.Tokens(tokens)
				td.MaybeScanArgs(t, "concurrency", &plan.Concurrency)
				return ""
			case "end":
				home.Release("osu", id.Request(request))
				return strconv.Itoa(home.RunningRequests("osu")) + " running\n"
			}
			var at, prompt int64
			td.MaybeScanArgs(t, "at", &at)
			td.MaybeScanArgs(t, "prompt", &prompt)
			oc := home.Spend(time.UnixMilli(at), "osu", plan, 1, id.Request(request), "host", id.Tokens(prompt))
			if oc.OK() {
				return "allowed\n"
			}
			return fmt.Sprintf("%s; come back in %s\n", oc.Detail, oc.RetryAfter.Round(time.Millisecond))
		})
	})
}

// TestRateIsNeverExceeded checks that no interval allows more than the burst and the rate, however the requests come.
func TestRateIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := rapid.IntRange(1, 20).Draw(rt, "rate")
		plan := lists.Plan{RequestsPerSecond: float64(perSecond)}
		home := limit.NewLimiter()
		now := time.Unix(0, 0)
		var allowed []time.Time
		for number := range rapid.IntRange(10, 300).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "millis")) * time.Millisecond)
			if home.Spend(now, "osu", plan, 1, id.Request(fmt.Sprint(number)), "host", 1).OK() {
				allowed = append(allowed, now)
			}
		}
		for first := range allowed {
			for last := first; last < len(allowed); last++ {
				most := float64(perSecond)*(1+allowed[last].Sub(allowed[first]).Seconds()) + 1
				if count := last - first + 1; float64(count) > most {
					rt.Fatalf("%d requests within %s at %d a second", count, allowed[last].Sub(allowed[first]), perSecond)
				}
			}
		}
	})
}

// TestHomeChangeAllowsOneMoreBurst moves an organisation's home at random. Each change lets at most one more burst pass.
func TestHomeChangeAllowsOneMoreBurst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const perSecond = 10
		plan := lists.Plan{RequestsPerSecond: perSecond}
		home := limit.NewLimiter()
		started := time.Unix(0, 0)
		now := started
		allowed, changes := 0, 0
		for number := range rapid.IntRange(10, 400).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "millis")) * time.Millisecond)
			if rapid.IntRange(0, 40).Draw(rt, "change") == 0 {
				home = limit.NewLimiter()
				changes++
			}
			if home.Spend(now, "osu", plan, 1, id.Request(fmt.Sprint(number)), "host", 1).OK() {
				allowed++
			}
		}
		most := perSecond*now.Sub(started).Seconds() + float64(perSecond*(changes+1)) + 1
		if float64(allowed) > most {
			rt.Fatalf("%d requests within %s at %d a second with %d changes of home", allowed, now.Sub(started), perSecond, changes)
		}
	})
}

// TestHostSharesAddUpToLimit spends at every host's own part, as hosts do that can't see each other.
func TestHostSharesAddUpToLimit(t *testing.T) {
	const hosts, perSecond = 18, 90
	plan := lists.Plan{RequestsPerSecond: perSecond}
	allowed := 0
	for range hosts {
		home := limit.NewLimiter()
		for number := range 1000 {
			now := time.Unix(0, 0).Add(time.Duration(number) * 10 * time.Millisecond)
			if home.Spend(now, "osu", plan, 1.0/hosts, id.Request(fmt.Sprint(number)), "host", 1).OK() {
				allowed++
			}
		}
	}
	if most := perSecond*10 + perSecond + hosts; allowed > most {
		t.Fatalf("%d requests in 10 s at %d a second over %d parts", allowed, perSecond, hosts)
	}
}
