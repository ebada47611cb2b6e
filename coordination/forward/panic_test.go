package forward_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// countPanics counts the panics that are reported during the test.
func countPanics(t *testing.T) *atomic.Int64 {
	var count atomic.Int64
	t.Cleanup(tasks.NotifyPanics(func(*tasks.Panic) { count.Add(1) }))
	return &count
}

// panickingDispatcher panics when a grant on another engine is searched.
type panickingDispatcher struct {
	*fakeDispatcher
	acquired int
}

func (pd *panickingDispatcher) Acquire(ctx context.Context, grantRequest broker.GrantRequest) (batch.Grant, outcome.Outcome) {
	pd.acquired++
	if pd.acquired > 1 {
		panic("index 7")
	}
	return pd.fakeDispatcher.Acquire(ctx, grantRequest)
}

// panickingServers panics when a stream's engine is probed, or a connection to another server is tried.
type panickingServers struct{ forward.Sender }

func (panickingServers) ProbeHTTP(context.Context, string) forward.ProbeResult { panic("index 7") }

func (panickingServers) ProbeConnection(context.Context, string) forward.ProbeResult {
	panic("index 7")
}

// TestPanicInStreamMonitorEndsProcess has a search for another engine, and a probe of an idle engine, panic in the timer's
// goroutine. The panic must be reported and the stream must go on.
func TestPanicInStreamMonitorEndsProcess(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	resumable := route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond}
	other := resumable
	other.Resumable = false
	for _, tc := range []struct {
		name        string
		route       route.Route
		probePanics bool
	}{
		{"search", resumable, false},
		{"probe", other, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			panics := countPanics(t)
			synctest.Test(t, func(t *testing.T) {
				var backends forward.Sender = &streamingServers{bodyByAddress: map[string]slowBody{"one:80": {chunks: []chunk{{0, event1}, {20 * time.Second, event2}}}}}
				if tc.probePanics {
					backends = panickingServers{backends}
				}
				rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: &panickingDispatcher{fakeDispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}}}, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, BudgetRatio: 1, InitialBudget: 100}, 1)})
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(time.Minute), Route: tc.route}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, client.body.String(), event1+event2)
			})
			assert.Equal(t, panics.Load(), int64(1))
		})
	}
}

// TestPanicInSlowServerMonitorEndsProcess has a search for another server panic in the timer's goroutine.
func TestPanicInSlowServerMonitorEndsProcess(t *testing.T) {
	panics := countPanics(t)
	synctest.Test(t, func(t *testing.T) {
		one, two := serverlist.Server{ID: "one", Address: "one"}, serverlist.Server{ID: "two", Address: "two"}
		backends := &spentBudgetServers{slowServers: slowServers{delays: map[string]time.Duration{"one": 600 * time.Millisecond}}}
		balancer := balance.New("", 1)
		balancer.EndRequest(time.Now(), two, balance.ErrorResponse, nil, time.Millisecond)
		rn := newRunner(forward.Dependencies{Sender: panickingServers{backends}, Fleet: fakeFleet{listed: []serverlist.Server{one, two}}, Balancer: balancer, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 10}, 1)})
		client := &fakeClient{}
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{
			ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(800 * time.Millisecond), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2},
		}, client)
		assert.Equal(t, result.Status, http.StatusOK)
		assert.Equal(t, client.body.String(), "from one")
	})
	assert.Equal(t, panics.Load(), int64(1))
}
