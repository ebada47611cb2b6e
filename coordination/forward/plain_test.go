package forward_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// slowServers responds after a delay that depends on the address. One address cannot be reached.
type slowServers struct {
	fakeServers
	// mutex guards sentTo.
	mutex              sync.Mutex
	delays             map[string]time.Duration
	unreachableAddress string
}

func (sv *slowServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	sv.mutex.Lock()
	sv.sentTo = append(sv.sentTo, attempt.Address)
	sv.mutex.Unlock()
	if attempt.Address == sv.unreachableAddress {
		return forward.Response{}, forward.ErrNotSent
	}
	select {
	case <-time.After(sv.delays[attempt.Address]):
		return forward.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("from " + attempt.Address))}, nil
	case <-ctx.Done():
		return forward.Response{}, ctx.Err()
	}
}

// TestSlowServerTimeout checks that a slow server gets half of the remaining time if another server can be tried after
// it. It gets all of the time if there is no other server or the retry budget allows no retry.
func TestSlowServerTimeout(t *testing.T) {
	const requestTimeout = 800 * time.Millisecond
	one, two := serverlist.Server{ID: "one", Address: "one"}, serverlist.Server{ID: "two", Address: "two"}
	leaving := two
	leaving.Draining = true
	for _, tc := range []struct {
		name               string
		listed             []serverlist.Server
		unreachableAddress string
		budget             float64
		wantBody           string
		wantSends          int
	}{
		{"another server", []serverlist.Server{one, two}, "", 10, "from two", 2},
		{"no other server", []serverlist.Server{one}, "", 10, "from one", 1},
		{"other server is leaving", []serverlist.Server{one, leaving}, "", 10, "from one", 1},
		{"other server was tried", []serverlist.Server{one, two}, "two", 10, "from one", 2},
		{"no retry budget", []serverlist.Server{one, two}, "", 0, "from one", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backends := &slowServers{delays: map[string]time.Duration{"one": 600 * time.Millisecond, "two": 50 * time.Millisecond}, unreachableAddress: tc.unreachableAddress}
				config := retry.DefaultConfig()
				config.InitialBudget, config.BudgetRatio = tc.budget, 0
				balancer := balance.New("", 1)
				// The recorded error makes the balancer prefer the slow server, or the unreachable one in the case that
				// has one.
				penalized := two
				if tc.unreachableAddress != "" {
					penalized = one
				}
				balancer.EndRequest(time.Now(), penalized, balance.ErrorResponse, nil, time.Millisecond)
				rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: tc.listed}, Retries: retry.New(config, 1), Balancer: balancer})
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(requestTimeout),
					Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2},
				}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, client.body.String(), tc.wantBody)
				assert.Equal(t, len(backends.sentTo), tc.wantSends)
			})
		})
	}
}

// TestAttemptLogLines checks that the explain command finds the log lines of a request's own attempts, and not those of
// another request's attempts at the same server.
func TestAttemptLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logOutput bytes.Buffer
		rn := newRunner(forward.Dependencies{
			Sender: &slowServers{}, Fleet: fakeFleet{listed: []serverlist.Server{{ID: "one", Address: "one"}}}, Logger: telemetry.NewLogger(&logOutput, "JSON", "Info"),
		})
		for _, name := range []string{"first", "second"} {
			result := rn.Run(t.Context(), &forward.Request{
				ID: name, Service: "service", ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Second), Route: route.Route{Kind: route.Idempotent},
			}, &fakeClient{})
			assert.Assert(t, result.Complete)
		}
		lines, _, err := telemetry.ReadLogLines(&logOutput)
		assert.NilError(t, err)
		assert.Equal(t, len(lines), 2)
		assert.Equal(t, len(telemetry.RequestLines(lines, "first")), 1)
	})
}

// staleServers fails every attempt on a reused connection. If dead, it also fails those on new connections.
type staleServers struct {
	fakeServers
	newConnections int
	dead           bool
}

func (sv *staleServers) Send(_ context.Context, attempt forward.Attempt) (forward.Response, error) {
	sv.sentTo = append(sv.sentTo, attempt.Address)
	if !attempt.NewConnection || sv.dead {
		return forward.Response{}, forward.ErrStaleConnection
	}
	sv.newConnections++
	return forward.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("fresh"))}, nil
}

// TestStaleConnection checks that a repeatable request whose reused connection ended without a response is retried on a
// new connection, to the same server if there is no other one.
func TestStaleConnection(t *testing.T) {
	one, two := serverlist.Server{ID: "one", Address: "one"}, serverlist.Server{ID: "two", Address: "two"}
	for _, tc := range []struct {
		name         string
		listed       []serverlist.Server
		kind         route.Kind
		serverDead   bool
		wantSentTo   []string
		wantComplete bool
	}{
		{"repeatable request", []serverlist.Server{one}, route.Idempotent, false, []string{"one", "one"}, true},
		{"non-repeatable request", []serverlist.Server{one}, route.NonIdempotent, false, []string{"one"}, false},
		{"server is down", []serverlist.Server{one}, route.Idempotent, true, []string{"one", "one"}, false},
		{"another server", []serverlist.Server{one, two}, route.Idempotent, false, []string{"one", "two"}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backends := &staleServers{dead: tc.serverDead}
				balancer := balance.New("", 1)
				// The balancer rates the other server worse, but prefers it to the server whose connection ended.
				for range 20 {
					balancer.EndRequest(time.Now(), two, balance.ErrorResponse, nil, time.Millisecond)
				}
				rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: tc.listed}, Balancer: balancer})
				result := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: "service", ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Second),
					Route: route.Route{Kind: tc.kind, MaxAttempts: 3},
				}, &fakeClient{})
				assert.Equal(t, result.Complete, tc.wantComplete, "%+v", result)
				assert.DeepEqual(t, backends.sentTo, tc.wantSentTo)
			})
		})
	}
}
