package broker_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// mutePeers have a dispatcher that queues every request and never delivers a response.
type mutePeers struct{ hostNetwork }

func (mutePeers) Dispatchers(id.Service) []id.Host { return []id.Host{"mute"} }

func (mutePeers) RequestGrant(context.Context, id.Host, broker.GrantRequest) (broker.GrantResponse, error) {
	return broker.GrantResponse{}, nil
}
func (mutePeers) SendReport(context.Context, id.Host, broker.Report) error { return nil }

// TestWaitingRequestIsRefusedBeforeClientLeaves guards against requests that get neither an answer nor a refusal because
// their clients leave while they wait for a grant. A later attempt waits on if its client may have a part of the answer.
func TestWaitingRequestIsRefusedBeforeClientLeaves(t *testing.T) {
	const waitLimit, deadline = 2 * time.Second, 3 * time.Second
	for _, tc := range []struct {
		attemptNumber int
		unanswered    bool
		wantBefore    time.Duration
	}{{1, false, waitLimit}, {1, true, waitLimit}, {2, false, deadline + time.Millisecond}, {2, true, waitLimit}} {
		synctest.Test(t, func(t *testing.T) {
			client := broker.NewClient(batch.DefaultConfig(), "entry", timer.NewSystem(), mutePeers{}, singleEngineFleet{network: &network{}}, tally.NoopScope, slog.New(slog.DiscardHandler), 1)
			client.SetHostsKnown()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			arrivedAt := time.Now()
			_, oc := client.Acquire(ctx, broker.GrantRequest{Service: service, Unanswered: tc.unanswered, Request: batch.Request{ID: "request", ArrivedAt: arrivedAt, WaitLimit: waitLimit, AttemptNumber: tc.attemptNumber}})
			waited := time.Since(arrivedAt)
			assert.Equal(t, oc.Kind, outcome.Refused)
			assert.Assert(t, oc.RetryAfter > 0)
			assert.Assert(t, waited < tc.wantBefore, "%s", waited)
			assert.Assert(t, waited > tc.wantBefore-100*time.Millisecond, "%s", waited)
		})
	}
}
