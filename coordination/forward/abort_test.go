package forward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// TestAbortCutsResponseThatHasBegun guards against streams that a stopping host cuts off before it has to end: their
// clients get no answer from that, unlike those of requests whose response has not begun.
func TestAbortCutsResponseThatHasBegun(t *testing.T) {
	const (
		event1, event2    = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
		abortAt, cutOffAt = 500 * time.Millisecond, 900 * time.Millisecond
	)
	prompt := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1, TargetLatency: time.Second}
	plain := route.Route{Kind: route.Streaming, MaxAttempts: 1}
	order := route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}
	for name, tc := range map[string]struct {
		route  route.Route
		chunks []chunk
		// wantBody is what the client gets, wantComplete says that this is all, wantTook is when the request ends.
		wantBody     string
		wantComplete bool
		wantTook     time.Duration
	}{
		"stream, begun, ends after the abort":       {prompt, []chunk{{0, event1}, {700 * time.Millisecond, event2}}, event1 + event2, true, 700 * time.Millisecond},
		"stream, begun, does not end":               {prompt, []chunk{{0, event1}, {time.Hour, event2}}, event1, false, cutOffAt},
		"stream, not begun":                         {prompt, []chunk{{700 * time.Millisecond, event1}}, "", false, abortAt},
		"plain stream, begun, ends after the abort": {plain, []chunk{{0, event1}, {700 * time.Millisecond, event2}}, event1 + event2, true, 700 * time.Millisecond},
		"plain stream, begun, does not end":         {plain, []chunk{{0, event1}, {time.Hour, event2}}, event1, false, cutOffAt},
		"order, not begun":                          {order, []chunk{{0, event1}, {700 * time.Millisecond, event2}}, "", false, abortAt},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newServer("one", time.Hour)
				body := slowBody{chunks: tc.chunks}
				servers := &streamingServers{bodyByAddress: map[string]slowBody{"one:80": body, server.Address: body}}
				rn := newRunner(forward.Dependencies{
					Sender: servers, Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}},
					Fleet: fakeFleet{listed: []serverlist.Server{server}},
				})
				time.AfterFunc(abortAt, rn.Abort)
				time.AfterFunc(cutOffAt, rn.CutOff)
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: server.Service, PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: tc.route}, client)
				assert.Equal(t, result.Complete, tc.wantComplete, "%+v", result)
				assert.Equal(t, client.body.String(), tc.wantBody)
				assert.Equal(t, time.Since(now), tc.wantTook)
				assert.Equal(t, result.HeadSent, tc.wantBody != "")
				if !result.HeadSent {
					assert.Equal(t, result.Outcome.Reason, outcome.ShuttingDown)
				}
			})
		})
	}
}
