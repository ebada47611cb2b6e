package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// TestThirdEngineGoesOnWithStream guards against streams that are cut or that stop although a third engine goes on with them.
func TestThirdEngineGoesOnWithStream(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	silent := chunk{time.Hour, "x"}
	for _, tc := range []struct {
		name     string
		one, two slowBody
		three    slowBody
	}{
		{
			name: "second engine falls silent after an event", one: slowBody{chunks: []chunk{{0, event1}}, repeated: silent},
			two: slowBody{chunks: []chunk{{0, event2}}, repeated: silent}, three: slowBody{chunks: []chunk{{100 * time.Millisecond, event3}}},
		},
		{
			name: "second engine is silent", one: slowBody{chunks: []chunk{{0, event1}}, repeated: silent},
			two: slowBody{repeated: silent}, three: slowBody{chunks: []chunk{{0, event2}, {0, event3}}},
		},
		{
			name: "first engine breaks off while the second is silent", one: slowBody{chunks: []chunk{{0, event1}, {1900 * time.Millisecond, "id: 1\ndat"}}, truncated: true},
			two: slowBody{repeated: silent}, three: slowBody{chunks: []chunk{{0, event2}, {0, event3}}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := &heldDispatcher{}
				dispatcher.grants = []batch.Grant{grantOn("1", "one"), grantOn("2", "two"), grantOn("3", "three")}
				backends := &failoverServers{first: tc.one, second: func(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
					body := tc.two
					if attempt.Address == "three:80" {
						body = tc.three
					}
					body.ctx = ctx
					return streamResponse(&body), nil
				}}
				streamRoute := failoverRoute
				streamRoute.MaxAttempts = 3
				rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 5, InitialBudget: 100}, 1)})
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(15 * time.Second), Route: streamRoute}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, client.body.String(), event1+event2+event3)
				time.Sleep(10 * time.Second)
				assert.NilError(t, findHeld(dispatcher, backends))
			})
		})
	}
}

// TestThirdServerAnswers guards against requests that end without an answer because two servers are silent.
func TestThirdServerAnswers(t *testing.T) {
	for _, tc := range []struct {
		name string
		// breaksOffAfter is when the first server breaks off.
		breaksOffAfter time.Duration
	}{
		{name: "first server stays silent", breaksOffAfter: time.Hour},
		{name: "first server breaks off", breaksOffAfter: 2500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				var sent atomic.Int64
				backends := &scriptedBackends{}
				backends.send = func(ctx context.Context, _ forward.Attempt) (forward.Response, error) {
					breaksOffAfter := time.Hour
					switch sent.Add(1) {
					case 1:
						breaksOffAfter = tc.breaksOffAfter
					case 3:
						return forward.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("from the third"))}, nil
					}
					select {
					case <-time.After(breaksOffAfter):
						return forward.Response{}, io.ErrUnexpectedEOF
					case <-ctx.Done():
						return forward.Response{}, ctx.Err()
					}
				}
				listed := []serverlist.Server{{ID: "one", Address: "one"}, {ID: "two", Address: "two"}, {ID: "three", Address: "three"}}
				rn := newRunner(forward.Dependencies{
					Sender: backends, Fleet: fakeFleet{listed: listed, announcedLeaving: map[id.BackendServer]bool{}},
					Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 10}, 1),
				})
				client := &fakeClient{}
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(4 * time.Second), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 3}}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, client.body.String(), "from the third")
				assert.Equal(t, result.Attempts, 3)
				synctest.Wait()
			})
		})
	}
}

// unsentServers never reaches the server "one", and others end a little later than the request.
type unsentServers struct{ fakeServers }

func (us *unsentServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	<-ctx.Done()
	if strings.HasPrefix(attempt.Address, "one") {
		return forward.Response{}, forward.ErrNotSent
	}
	time.Sleep(time.Millisecond)
	return forward.Response{}, ctx.Err()
}

// TestStreamOfFailoverAttemptIsNotCalledNotRun guards against refusals, which say that a request has not run, of streams that a
// failover attempt has sent.
func TestStreamOfFailoverAttemptIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &heldDispatcher{}
		dispatcher.grants = []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}
		rn := newRunner(forward.Dependencies{Sender: &unsentServers{}, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 5, InitialBudget: 100}, 1)})
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(5 * time.Second), Route: failoverRoute}, &fakeClient{})
		time.Sleep(time.Second)
		assert.Equal(t, result.Outcome.Kind, outcome.Failed, "%+v", result)
	})
}

// TestRequestOfSecondAttemptIsNotCalledNotRun guards against refusals, which say that a request has not run, of requests that
// a second attempt has sent.
func TestRequestOfSecondAttemptIsNotCalledNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := serverlist.Server{ID: "one", Address: "one"}, serverlist.Server{ID: "two", Address: "two"}
		balancer := balance.New("", 1)
		balancer.EndRequest(time.Now(), two, balance.ErrorResponse, nil, time.Millisecond)
		rn := newRunner(forward.Dependencies{
			Sender: &unsentServers{}, Fleet: fakeFleet{listed: []serverlist.Server{one, two}, announcedLeaving: map[id.BackendServer]bool{}}, Balancer: balancer,
			Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 10}, 1),
		})
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(time.Second), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 3}}, &fakeClient{})
		time.Sleep(time.Second)
		assert.Equal(t, result.Outcome.Kind, outcome.Failed, "%+v", result)
	})
}

// TestLateErrorLeavesStreamToFailoverAttempt guards against streams that are cut or charged twice because their first engine fails
// while a failover attempt runs.
func TestLateErrorLeavesStreamToFailoverAttempt(t *testing.T) {
	const event1 = "id: 1\ndata: a\n\n"
	for _, budget := range []float64{1, 100} {
		synctest.Test(t, func(t *testing.T) {
			dispatcher := &heldDispatcher{}
			dispatcher.grants = []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}
			backends := &failoverServers{scripted: true, second: func(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
				if attempt.Address == "one:80" {
					time.Sleep(2 * time.Second)
					return forward.Response{Status: http.StatusInternalServerError, Body: http.NoBody}, nil
				}
				return streamResponse(&slowBody{ctx: ctx, chunks: []chunk{{time.Second, event1}}}), nil
			}}
			retries := retry.New(retry.Config{MaxAttempts: 3, InitialBudget: budget}, 1)
			rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retries})
			client := &fakeClient{}
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
			assert.Equal(t, result.Status, http.StatusOK, "%+v", result)
			assert.Equal(t, client.body.String(), event1)
			assert.Assert(t, rn.RetryBudgets()["service"] >= budget-1, "%v left of %v", rn.RetryBudgets(), budget)
		})
	}
}

// TestLateErrorRunsNoMoreEnginesThanAllowed guards against requests that run on more engines than the route allows because their
// first engine fails after a failover attempt has failed.
func TestLateErrorRunsNoMoreEnginesThanAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &heldDispatcher{}
		dispatcher.grants = []batch.Grant{grantOn("1", "one"), grantOn("2", "two"), grantOn("3", "three")}
		backends := &failoverServers{scripted: true, second: func(_ context.Context, attempt forward.Attempt) (forward.Response, error) {
			if attempt.Address == "one:80" {
				time.Sleep(2 * time.Second)
			}
			return forward.Response{Status: http.StatusInternalServerError, Body: http.NoBody}, nil
		}}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, &fakeClient{})
		assert.Equal(t, result.Status, http.StatusInternalServerError, "%+v", result)
		assert.DeepEqual(t, backends.sentTo, []string{"one:80", "two:80"})
		assert.Equal(t, rn.RetryBudgets()["service"], 99.0)
	})
}

// TestLongErrorOfSlowServerLeavesRequestToSecondAttempt guards against failures that are forwarded, because they are too long to be
// kept, though a second attempt runs.
func TestLongErrorOfSlowServerLeavesRequestToSecondAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := serverlist.Server{ID: "one", Address: "one"}, serverlist.Server{ID: "two", Address: "two"}
		balancer := balance.New("", 1)
		balancer.EndRequest(time.Now(), two, balance.ErrorResponse, nil, time.Millisecond)
		backends := &scriptedBackends{send: func(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
			if attempt.Address == "one" {
				time.Sleep(600 * time.Millisecond)
				return forward.Response{Status: http.StatusInternalServerError, Length: -1, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 100_000)))}, nil
			}
			time.Sleep(200 * time.Millisecond)
			return forward.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("ok"))}, ctx.Err()
		}}
		rn := newRunner(forward.Dependencies{
			Sender: backends, Fleet: fakeFleet{listed: []serverlist.Server{one, two}, announcedLeaving: map[id.BackendServer]bool{}}, Balancer: balancer,
			Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 10}, 1),
		})
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(time.Second), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2}}, &fakeClient{})
		time.Sleep(time.Second)
		assert.Equal(t, result.Status, http.StatusOK, "%+v", result)
	})
}
