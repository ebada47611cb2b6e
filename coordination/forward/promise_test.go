package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// statusServers respond to every attempt with a status.
type statusServers struct {
	fakeServers
	status int
	notRun bool
}

func (sv *statusServers) Send(context.Context, forward.Attempt) (forward.Response, error) {
	return forward.Response{Status: sv.status, NotRun: sv.notRun, Length: 5, Body: io.NopCloser(strings.NewReader("error"))}, nil
}

// TestStatusThatPromisesNotRun checks that a client is not sent a status that promises that its request has not run,
// unless the server said so or the request may run twice. Other statuses are passed on.
func TestStatusThatPromisesNotRun(t *testing.T) {
	for _, tc := range []struct {
		status    int
		notRun    bool
		kind      route.Kind
		forwarded bool
	}{
		{http.StatusServiceUnavailable, false, route.NonIdempotent, false},
		{http.StatusTooManyRequests, false, route.NonIdempotent, false},
		{http.StatusRequestTimeout, false, route.NonIdempotent, false},
		{http.StatusServiceUnavailable, false, route.Streaming, false},
		{http.StatusTooManyRequests, false, route.Streaming, false},
		{http.StatusInternalServerError, false, route.NonIdempotent, true},
		{http.StatusConflict, false, route.NonIdempotent, true},
		{http.StatusTooManyRequests, true, route.NonIdempotent, true},
		{http.StatusTooManyRequests, false, route.Idempotent, true},
	} {
		for _, hasPrompt := range []bool{false, true} {
			if tc.notRun && hasPrompt {
				continue
			}
			t.Run(fmt.Sprintf("%+v prompt %t", tc, hasPrompt), func(t *testing.T) {
				server := serverlist.Server{ID: "one", Service: "service", Address: "one:80"}
				rn := newRunner(forward.Dependencies{
					Sender: &statusServers{status: tc.status, notRun: tc.notRun}, Fleet: fakeFleet{listed: []serverlist.Server{server}},
					Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}},
				})
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second),
					Route: route.Route{Kind: tc.kind, HasPrompt: hasPrompt, MaxAttempts: 1},
				}, &fakeClient{})
				assert.Equal(t, result.Complete, tc.forwarded, "%+v", result)
				if tc.forwarded {
					assert.Equal(t, result.Status, tc.status)
					return
				}
				assert.Assert(t, !result.HeadSent)
				assert.Equal(t, result.Outcome.Kind, outcome.Failed)
			})
		}
	}
}
