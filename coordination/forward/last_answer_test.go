package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// waitingDispatcher keeps requests waiting until their contexts end.
type waitingDispatcher struct {
	*fakeDispatcher
	waits bool
}

func (wd *waitingDispatcher) Acquire(ctx context.Context, grantRequest broker.GrantRequest) (batch.Grant, outcome.Outcome) {
	if wd.waits {
		<-ctx.Done()
	}
	return wd.fakeDispatcher.Acquire(ctx, grantRequest)
}

// headlessServers are servers that never answer.
type headlessServers struct{ *streamingServers }

func (headlessServers) Send(ctx context.Context, _ forward.Attempt) (forward.Response, error) {
	<-ctx.Done()
	return forward.Response{}, ctx.Err()
}

// TestAnswerLeavesBeforeClientDoes guards against requests that end with neither an answer nor a refusal, because the host
// answers them at the moment at which their clients stop waiting.
func TestAnswerLeavesBeforeClientDoes(t *testing.T) {
	const (
		event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
		clientTime     = 1500 * time.Millisecond
		lead           = 20 * time.Millisecond
		// arrivingLead applies once a server has sent the head of its answer.
		arrivingLead = 8 * time.Millisecond
	)
	never := []chunk{{time.Hour, event1}}
	prompt := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1, TargetLatency: time.Second}
	plainStream := route.Route{Kind: route.Streaming, MaxAttempts: 1}
	order := route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}
	withTimeout := func(rt route.Route, timeout time.Duration) route.Route {
		rt.Timeout = timeout
		return rt
	}
	for name, tc := range map[string]struct {
		route    route.Route
		chunks   []chunk
		noServer bool
		// noHead makes the server send no head either.
		noHead     bool
		clientTime time.Duration
		wantBody   string
		wantTook   time.Duration
		wantKind   outcome.Kind
	}{
		"order without an answer":               {order, never, false, true, clientTime, "", clientTime - lead, outcome.Failed},
		"order of a client with little time":    {order, never, false, true, 200 * time.Millisecond, "", 190 * time.Millisecond, outcome.Failed},
		"order without the end of its answer":   {order, never, false, false, clientTime, "", clientTime - arrivingLead, outcome.Failed},
		"the same of a client with little time": {order, never, false, false, 100 * time.Millisecond, "", 95 * time.Millisecond, outcome.Failed},
		"order, answered just before":           {order, []chunk{{clientTime - arrivingLead - time.Millisecond, event1}}, false, false, clientTime, event1, clientTime - arrivingLead - time.Millisecond, 0},
		"order, timeout of the route":           {withTimeout(order, time.Second), never, false, false, clientTime, "", time.Second, outcome.Failed},
		"order, timeout after the client left":  {withTimeout(order, clientTime), never, false, true, clientTime, "", clientTime - lead, outcome.Failed},
		"stream without an event":               {prompt, never, false, false, clientTime, "", clientTime - lead, outcome.Failed},
		"stream without a place":                {prompt, nil, true, false, clientTime, "", clientTime - lead, outcome.Refused},
		"stream that has begun":                 {prompt, []chunk{{0, event1}, {clientTime - time.Millisecond, event2}}, false, false, clientTime, event1 + event2, clientTime - time.Millisecond, 0},
		"plain stream that has begun":           {plainStream, []chunk{{0, event1}, {clientTime - time.Millisecond, event2}}, false, false, clientTime, event1 + event2, clientTime - time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newServer("one", time.Hour)
				body := slowBody{chunks: tc.chunks}
				servers := &streamingServers{bodyByAddress: map[string]slowBody{"one:80": body, server.Address: body}}
				dispatcher := &fakeDispatcher{}
				if !tc.noServer {
					dispatcher.grants = []batch.Grant{grantOn("1", "one")}
				}
				var sender forward.Sender = servers
				if tc.noHead {
					sender = &headlessServers{servers}
				}
				rn := newRunner(forward.Dependencies{Sender: sender, Dispatcher: &waitingDispatcher{fakeDispatcher: dispatcher, waits: tc.noServer}, Fleet: fakeFleet{listed: []serverlist.Server{server}}})
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: server.Service, PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(tc.clientTime), Route: tc.route}, client)
				assert.Equal(t, client.body.String(), tc.wantBody, "%+v", result)
				assert.Equal(t, time.Since(now), tc.wantTook)
				assert.Equal(t, result.Complete, tc.wantBody != "")
				assert.Equal(t, result.Outcome.Kind, tc.wantKind)
				if !result.Complete {
					assert.Equal(t, result.Outcome.Reason, outcome.DeadlineExceeded)
				}
				assert.Equal(t, result.Outcome.RetryAfter > 0, tc.wantKind == outcome.Refused)
			})
		})
	}
}
