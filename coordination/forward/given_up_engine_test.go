package forward_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// endedServers are failoverServers of which one ends while it runs the request.
type endedServers struct {
	failoverServers
	ending string
	ended  atomic.Bool
}

func (es *endedServers) ProbeConnection(_ context.Context, address string) forward.ProbeResult {
	if address == es.ending && es.ended.Load() {
		return forward.ConnectionRefused
	}
	return forward.Reachable
}

// TestStreamGoesOnAtEngineThatWasGivenUp guards against answers that are cut after the last allowed attempt failed, although
// an engine that was given up for another one is sound or the other one has ended.
func TestStreamGoesOnAtEngineThatWasGivenUp(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	const silence = 2300 * time.Millisecond
	silent := chunk{time.Hour, "x"}
	for _, tc := range []struct {
		name string
		// bodies holds what engines send in their attempts, by engine and event after which the attempt goes on.
		bodies map[string]slowBody
		// ending is the address of an engine that ends while it runs the request.
		ending string
		// grants holds the engines that are granted, sent those that get the request.
		grants, sent []string
		// givenUp is the only engine that the dispatcher is asked for in the third attempt; empty if it is asked for any.
		givenUp id.Engine
		cut     bool
	}{
		{
			name: "the second engine breaks off",
			bodies: map[string]slowBody{
				"one ":  {chunks: []chunk{{0, event1}, {silence, event2}, {0, event3}}},
				"two 1": {chunks: []chunk{{0, event2}}, truncated: true},
				"one 2": {chunks: []chunk{{0, event3}}},
			},
			grants: []string{"one", "two", "one"}, sent: []string{"one:80", "two:80", "one:80"}, givenUp: "one",
		},
		{
			name: "the first engine breaks off after one event",
			bodies: map[string]slowBody{
				"one ":  {chunks: []chunk{{0, event1}, {silence, event2}}, truncated: true},
				"two 1": {repeated: silent},
				"two 2": {chunks: []chunk{{0, event3}}},
			},
			grants: []string{"one", "two", "two"}, sent: []string{"one:80", "two:80", "two:80"}, givenUp: "two",
		},
		{
			name: "the engine that was given up breaks off too",
			bodies: map[string]slowBody{
				"one ":  {chunks: []chunk{{0, event1}, {silence, event2}, {0, event3}}},
				"two 1": {chunks: []chunk{{0, event2}}, truncated: true},
				"one 2": {truncated: true},
			},
			grants: []string{"one", "two", "one", "one"}, sent: []string{"one:80", "two:80", "one:80"}, givenUp: "one", cut: true,
		},
		{
			name: "another engine is granted",
			bodies: map[string]slowBody{
				"one ":  {chunks: []chunk{{0, event1}, {silence, event2}, {0, event3}}},
				"two 1": {chunks: []chunk{{0, event2}}, truncated: true},
			},
			grants: []string{"one", "two", "three"}, sent: []string{"one:80", "two:80"}, givenUp: "one", cut: true,
		},
		{
			name: "the second engine has ended",
			bodies: map[string]slowBody{
				"one ":    {chunks: []chunk{{0, event1}}, repeated: silent},
				"two 1":   {chunks: []chunk{{0, event2}}, truncated: true},
				"three 2": {chunks: []chunk{{0, event3}}},
			},
			ending: "two:80", grants: []string{"one", "two", "three"}, sent: []string{"one:80", "two:80", "three:80"},
		},
		{
			name: "the first engine has ended and the second one is silent",
			bodies: map[string]slowBody{
				"one ":    {chunks: []chunk{{0, event1}}, truncated: true},
				"two 1":   {repeated: silent},
				"three 1": {chunks: []chunk{{0, event2}, {0, event3}}},
			},
			ending: "one:80", grants: []string{"one", "two", "three"}, sent: []string{"one:80", "two:80", "three:80"},
		},
		{
			name: "an engine ends before the client has an answer",
			bodies: map[string]slowBody{
				"one ": {truncated: true},
				"two ": {truncated: true},
			},
			ending: "one:80", grants: []string{"one", "two", "three"}, sent: []string{"one:80", "two:80"}, cut: true,
		},
	} {
		for _, unresponsive := range []bool{false, true} {
			t.Run(tc.name+map[bool]string{true: "/unresponsive", false: "/stalled"}[unresponsive], func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					dispatcher := &heldDispatcher{}
					for _, engine := range tc.grants {
						attempt := engine + string(rune('0'+len(dispatcher.grants)))
						dispatcher.grants = append(dispatcher.grants, reservedGrantOn(attempt, engine))
					}
					backends := &endedServers{failoverServers: failoverServers{scripted: true, unresponsive: unresponsive}, ending: tc.ending}
					backends.second = func(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
						body, ok := tc.bodies[string(attempt.Server)+" "+attempt.ResumeAfter]
						if !ok {
							return forward.Response{}, errors.Errorf("unexpected attempt on %s after %q", attempt.Server, attempt.ResumeAfter)
						}
						body.ctx = ctx
						if attempt.Address == tc.ending {
							backends.ended.Store(true)
						}
						return streamResponse(&body), nil
					}
					fleet := fakeFleet{listed: []serverlist.Server{{ID: "one", Address: "one:80"}, {ID: "two", Address: "two:80"}, {ID: "three", Address: "three:80"}}}
					retries := retry.New(retry.Config{MaxAttempts: 5, InitialBudget: 100}, 1)
					rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fleet, Retries: retries})
					client := &fakeClient{}
					now := time.Now()
					result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
					if !tc.cut {
						assert.Assert(t, result.Complete, "%+v", result)
						assert.Equal(t, result.Status, http.StatusOK)
						assert.Equal(t, client.body.String(), event1+event2+event3)
					}
					assert.DeepEqual(t, backends.sentTo, tc.sent)
					assert.Equal(t, rn.RetryBudgets()["service"], 100-float64(len(tc.grants)-len(dispatcher.grants)-1))
					if tc.givenUp != "" {
						assert.Assert(t, len(dispatcher.backoffs) > 2)
						_, bansThird := dispatcher.backoffs[2]["three"]
						_, bansGivenUp := dispatcher.backoffs[2][tc.givenUp]
						assert.Assert(t, bansThird && !bansGivenUp, "%v", dispatcher.backoffs[2])
					}
					time.Sleep(10 * time.Second)
					assert.NilError(t, findHeld(dispatcher, &backends.failoverServers))
				})
			})
		}
	}
}
