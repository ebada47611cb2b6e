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
)

// blockingDispatcher grants nothing before the request's context ends.
type blockingDispatcher struct{ fakeDispatcher }

func (*blockingDispatcher) Acquire(ctx context.Context, _ broker.GrantRequest) (batch.Grant, outcome.Outcome) {
	<-ctx.Done()
	return batch.Grant{}, outcome.Refuse(outcome.DeadlineExceeded, "the request found no engine in its time")
}

// TestResultTellsWhetherRequestWasPassedOn checks that the result of a request whose client has left says whether a
// server may have received it.
func TestResultTellsWhetherRequestWasPassedOn(t *testing.T) {
	const leavesAfter = 200 * time.Millisecond
	for _, tc := range []struct {
		name         string
		dispatcher   forward.Dispatcher
		wantKind     outcome.Kind
		wantPassedOn int
	}{
		{"waiting for a grant", &blockingDispatcher{}, outcome.Refused, 0},
		{"running", &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}}, outcome.Failed, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backends := &streamingServers{bodyByAddress: map[string]slowBody{"one:80": {repeated: chunk{time.Hour, "x"}}}}
				rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: tc.dispatcher, Fleet: fakeFleet{}})
				ctx, leave := context.WithCancel(t.Context())
				time.AfterFunc(leavesAfter, leave)
				now := time.Now()
				result := rn.Run(ctx, &forward.Request{
					ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second),
					Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond},
				}, &fakeClient{})
				assert.Equal(t, result.Outcome.Reason, outcome.CallerGone)
				assert.Equal(t, result.Outcome.Kind, tc.wantKind)
				assert.Equal(t, result.PassedOn, tc.wantPassedOn)
			})
		})
	}
}
