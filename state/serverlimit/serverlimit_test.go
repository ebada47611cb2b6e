package serverlimit_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

var (
	start  = time.Unix(1000, 0)
	server = serverlist.Server{ID: "server", Service: "service", StartedAtMillis: 7}
)

// TestParseRate checks which texts are rates.
func TestParseRate(t *testing.T) {
	for text, want := range map[string]serverlimit.Rate{
		"1.9": 1.9, " 2 ": 2, "0": 0.1, "0.01": 0.1, "1e2": 100, "1e300": 1_000_000, "1.23456": 1.235,
	} {
		got, err := serverlimit.ParseRate(text)
		assert.NilError(t, err, text)
		assert.Equal(t, got, want, text)
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "-Inf", "two", "1,5", "1e999", "1 2"} {
		_, err := serverlimit.ParseRate(text)
		assert.ErrorIs(t, err, serverlimit.ErrInvalidRate, text)
	}
}

// observation is a response in a test of the order of statements. Times are in milliseconds from the start.
type observation struct {
	sentAt, receivedAt int
	rate               serverlimit.Rate
	failed             bool
	wantRate           serverlimit.Rate
}

// TestObservedOrder checks which response determines a limit when responses arrive out of order or fail.
func TestObservedOrder(t *testing.T) {
	for name, observations := range map[string][]observation{
		"a limit is named, changed and ended": {
			{0, 10, 2, false, 2}, {20, 30, 5, false, 5}, {40, 50, 0, false, 0}, {60, 70, 1, false, 1},
		},
		"a response to an earlier request does not end or raise a limit": {
			{20, 30, 2, false, 2}, {10, 40, 0, false, 2}, {15, 50, 3, false, 2}, {35, 60, 0, false, 0},
		},
		"a response to an earlier request makes a limit tighter": {
			{20, 30, 2, false, 2}, {10, 40, 1, false, 1},
		},
		"a failed response does not end a limit": {
			{0, 10, 2, false, 2}, {20, 30, 0, true, 2}, {40, 50, 1, true, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := serverlimit.NewTable()
			at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
			for index, obs := range observations {
				table.Observe(at(obs.receivedAt), serverlimit.Response{Server: server, SentAt: at(obs.sentAt), Rate: obs.rate, Successful: !obs.failed})
				assert.Equal(t, table.Rate(server), obs.wantRate, "observation %d", index)
			}
		})
	}
}

// TestRestartedServerHasNoLimit checks that a limit applies only to the process that named it.
func TestRestartedServerHasNoLimit(t *testing.T) {
	table := serverlimit.NewTable()
	table.Observe(start, serverlimit.Response{Server: server, SentAt: start, Rate: 2, Successful: true})
	restarted := server
	restarted.StartedAtMillis++
	assert.Equal(t, table.Rate(restarted), serverlimit.Rate(0))
	statement, changed := table.Observe(start, serverlimit.Response{Server: restarted, SentAt: start, Rate: 3, Successful: true})
	assert.Assert(t, changed)
	assert.Equal(t, statement.Version, uint32(1))
	_, changed = table.Observe(start, serverlimit.Response{Server: server, SentAt: start, Rate: 1, Successful: true})
	assert.Assert(t, !changed)
	table.ForgetUnlisted(start, []serverlist.Server{restarted})
	assert.Equal(t, table.Rate(restarted), serverlimit.Rate(3))
	table.ForgetUnlisted(start.Add(time.Minute), nil)
	assert.Equal(t, table.Rate(restarted), serverlimit.Rate(3))
	table.ForgetUnlisted(start.Add(2*time.Hour), nil)
	assert.Equal(t, table.Rate(restarted), serverlimit.Rate(0))
}

// TestStatementsSinceObservation checks that a statement counts as observed while responses agree with it, and not if
// another host made it.
func TestStatementsSinceObservation(t *testing.T) {
	table := serverlimit.NewTable()
	observe := func(seconds int) {
		at := start.Add(time.Duration(seconds) * time.Second)
		table.Observe(at, serverlimit.Response{Server: server, SentAt: at, Rate: 2, Successful: true})
	}
	observedSince := func(seconds int) int {
		return len(table.Statements([]serverlist.Server{server}, start.Add(time.Duration(seconds)*time.Second)))
	}
	observe(1)
	assert.Equal(t, observedSince(1), 1)
	assert.Equal(t, observedSince(2), 0)
	observe(5)
	assert.Equal(t, observedSince(2), 1)
	assert.Assert(t, table.Learn(start.Add(6*time.Second), serverlimit.Statement{Server: id.HashServer(server.ID), StartedAtMillis: server.StartedAtMillis, Version: 9, Rate: 3}))
	assert.Equal(t, observedSince(2), 0)
	assert.Equal(t, len(table.Statements([]serverlist.Server{server}, time.Time{})), 1)
}

// TestTablesAgree checks that hosts that receive the same statements in any order, and more than once, agree.
func TestTablesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		statements := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) serverlimit.Statement {
			return serverlimit.Statement{
				StartedAtMillis: rapid.Int64Range(1, 2).Draw(rt, "started"), Version: rapid.Uint32Range(1, 3).Draw(rt, "version"),
				Rate: serverlimit.Rate(rapid.IntRange(0, 3).Draw(rt, "rate")),
			}
		}), 1, 8).Draw(rt, "statements")
		left, right := serverlimit.NewTable(), serverlimit.NewTable()
		for _, statement := range statements {
			left.Learn(start, statement)
		}
		for _, statement := range rapid.Permutation(append(statements, statements...)).Draw(rt, "order") {
			right.Learn(start, statement)
		}
		listed := []serverlist.Server{{StartedAtMillis: 1}, {StartedAtMillis: 2}}
		for _, server := range listed {
			assert.Equal(rt, left.Rate(server), right.Rate(server))
		}
	})
}

// TestAccountKeepsRate checks the two directions of a limit, with constant demand: in any 4 s the server gets no more than
// one and a half times its rate and 5 requests, and while there is demand it gets its rate.
func TestAccountKeepsRate(t *testing.T) {
	const duration = 20 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		perSecond := serverlimit.Rate(math.Exp(rapid.Float64Range(math.Log(0.1), math.Log(100)).Draw(rt, "ln rate")))
		idle := time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "idle ms")) * time.Millisecond
		step := time.Duration(rapid.IntRange(1, 50).Draw(rt, "step ms")) * time.Millisecond
		before := rapid.IntRange(0, 30).Draw(rt, "requests before the limit")
		var account serverlimit.Account
		now := start
		for range before {
			account.Reserve(now, 0)
		}
		account.SetRate(now, perSecond)
		now = now.Add(idle)
		demandStart := now
		var sent []time.Time
		for ; now.Sub(demandStart) < duration; now = now.Add(step) {
			for {
				if _, ok := account.Reserve(now, 0); !ok {
					break
				}
				sent = append(sent, now)
			}
		}
		most, allowed := testutil.MaxInWindow(sent, testutil.LimitWindow), testutil.MaxAllowedByLimit(float64(perSecond))
		assert.Assert(rt, most <= allowed, "%d requests in 4 s, allowed %d", most, allowed)
		// A request may come one step late, and the requests before the limit may take up to a window to be forgotten.
		minimum := float64(perSecond) * (duration - testutil.LimitWindow - step).Seconds() / (1 + float64(perSecond)*step.Seconds())
		assert.Assert(rt, float64(len(sent)) >= math.Floor(minimum)-1, "%d requests in %s at %g/s", len(sent), duration, perSecond)
	})
}
