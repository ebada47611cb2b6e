package forward_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// slowServers answers after a time, each server its own; some can't be reached.
type slowServers struct {
	servers
	after       map[string]time.Duration
	unreachable string
}

func (sv *slowServers) Send(ctx context.Context, at forward.Attempt) (forward.Response, error) {
	sv.sent = append(sv.sent, at.Address)
	if at.Address == sv.unreachable {
		return forward.Response{}, forward.ErrNotSent
	}
	select {
	case <-time.After(sv.after[at.Address]):
		return forward.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("from " + at.Address))}, nil
	case <-ctx.Done():
		return forward.Response{}, ctx.Err()
	}
}

// TestSlowServerTimeout gives a slow server half of the time that is left when another one may answer, and all of it when there
// is none, or when the budget allows no further attempt.
func TestSlowServerTimeout(t *testing.T) {
	const limit = 800 * time.Millisecond
	one, two := roster.Server{ID: "one", Address: "one"}, roster.Server{ID: "two", Address: "two"}
	leaving := two
	leaving.Draining = true
	for _, cs := range []struct {
		name        string
		listed      []roster.Server
		unreachable string
		budget      float64
		want        string
		sent        int
	}{
		{"another server", []roster.Server{one, two}, "", 10, "from two", 2},
		{"no other server", []roster.Server{one}, "", 10, "from one", 1},
		{"the other one is leaving", []roster.Server{one, leaving}, "", 10, "from one", 1},
		{"the other one was tried", []roster.Server{one, two}, "two", 10, "from one", 2},
		{"no budget", []roster.Server{one, two}, "", 0, "from one", 1},
	} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sv := &slowServers{after: map[string]time.Duration{"one": 600 * time.Millisecond, "two": 50 * time.Millisecond}, unreachable: cs.unreachable}
				config := retry.DefaultConfig()
				config.InitialBudget, config.BudgetRatio = cs.budget, 0
				balancer := balance.New("", 1)
				// The first choice is the slow server, unless the other one is to be tried before.
				second := two
				if cs.unreachable != "" {
					second = one
				}
				balancer.EndRequest(time.Now(), second, balance.ErrorResponse, nil, time.Millisecond)
				rn := newRunner(forward.Dependencies{Servers: sv, Fleet: fleet{listed: cs.listed}, Retries: retry.New(config, 1), Balancer: balancer})
				out := &sink{}
				now := time.Now()
				rs := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(limit),
					Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2},
				}, out)
				assert.Assert(t, rs.Complete, "%+v", rs)
				assert.Equal(t, out.body.String(), cs.want)
				assert.Equal(t, len(sv.sent), cs.sent)
			})
		})
	}
}

// TestAttemptLogLines writes lines by which explain finds a request's own attempts and not those of others at the same server.
func TestAttemptLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		rn := newRunner(forward.Dependencies{
			Servers: &slowServers{}, Fleet: fleet{listed: []roster.Server{{ID: "one", Address: "one"}}}, Logger: telemetry.NewLogger(&log, "JSON", "Info"),
		})
		for _, name := range []string{"first", "second"} {
			rs := rn.Run(t.Context(), &forward.Request{
				ID: name, Service: "service", ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Second), Route: route.Route{Kind: route.Idempotent},
			}, &sink{})
			assert.Assert(t, rs.Complete)
		}
		lines, _, err := telemetry.ReadLines(&log)
		assert.NilError(t, err)
		assert.Equal(t, len(lines), 2)
		assert.Equal(t, len(telemetry.Explain(lines, "first")), 1)
	})
}

// staleServers have every connection that was kept end without an answer.
type staleServers struct {
	servers
	fresh int
	dead  bool
}

func (sv *staleServers) Send(_ context.Context, at forward.Attempt) (forward.Response, error) {
	sv.sent = append(sv.sent, at.Address)
	if !at.NewConnection || sv.dead {
		return forward.Response{}, forward.ErrStaleConnection
	}
	sv.fresh++
	return forward.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("fresh"))}, nil
}

// TestStaleConnection sends a request that may run twice again on a new connection, to the same server if there is no
// other one.
func TestStaleConnection(t *testing.T) {
	one, two := roster.Server{ID: "one", Address: "one"}, roster.Server{ID: "two", Address: "two"}
	for _, cs := range []struct {
		name   string
		listed []roster.Server
		kind   route.Kind
		dead   bool
		sent   []string
		whole  bool
	}{
		{"may run twice", []roster.Server{one}, route.Idempotent, false, []string{"one", "one"}, true},
		{"may run once", []roster.Server{one}, route.NonIdempotent, false, []string{"one"}, false},
		{"the server is dead", []roster.Server{one}, route.Idempotent, true, []string{"one", "one"}, false},
		{"another server", []roster.Server{one, two}, route.Idempotent, false, []string{"one", "two"}, true},
	} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sv := &staleServers{dead: cs.dead}
				balancer := balance.New("", 1)
				// The other server is worse, and yet goes before the one whose connection ended.
				for range 20 {
					balancer.EndRequest(time.Now(), two, balance.ErrorResponse, nil, time.Millisecond)
				}
				rn := newRunner(forward.Dependencies{Servers: sv, Fleet: fleet{listed: cs.listed}, Balancer: balancer})
				rs := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: "service", ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Second),
					Route: route.Route{Kind: cs.kind, MaxAttempts: 3},
				}, &sink{})
				assert.Equal(t, rs.Complete, cs.whole, "%+v", rs)
				assert.DeepEqual(t, sv.sent, cs.sent)
			})
		})
	}
}
