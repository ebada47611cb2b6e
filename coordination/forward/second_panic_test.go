package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// panickingClient panics when it receives a part of an answer that is not the first event.
type panickingClient struct{ fakeClient }

func (pc *panickingClient) Write(chunk []byte) error {
	if string(chunk) != "id: 1\ndata: a\n\n" {
		panic("index 7")
	}
	return nil
}

// TestPanicOfSecondAttemptEndsRequest guards against processes that end because a second attempt panics while it forwards an
// answer: as with a first attempt, only its request ends.
func TestPanicOfSecondAttemptEndsRequest(t *testing.T) {
	panics := countPanics(t)
	recovered := func(run func()) (value any) {
		defer func() { value = recover() }()
		run()
		return nil
	}
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	now := time.Now
	t.Run("stream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}}
			backends := &failoverServers{first: slowBody{chunks: []chunk{{0, event1}}, repeated: chunk{time.Hour, "x"}}, second: streamOf(slowBody{chunks: []chunk{{0, event2}}})}
			rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
			assert.Assert(t, recovered(func() {
				rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now(), Deadline: now().Add(10 * time.Second), Route: failoverRoute}, &panickingClient{})
			}) != nil)
			synctest.Wait()
			assert.Equal(t, backends.open, 0)
		})
	})
	t.Run("plain service", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			one, two := serverlist.Server{ID: "one", Address: "one"}, serverlist.Server{ID: "two", Address: "two"}
			balancer := balance.New("", 1)
			balancer.EndRequest(now(), two, balance.ErrorResponse, nil, time.Millisecond)
			backends := &secondServers{delay: time.Minute, second: func(ctx context.Context) (forward.Response, error) {
				return streamOf(slowBody{chunks: []chunk{{0, event2}}})(ctx, forward.Attempt{})
			}}
			rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: []serverlist.Server{one, two}}, Balancer: balancer, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 10}, 1)})
			assert.Assert(t, recovered(func() {
				rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now(), Deadline: now().Add(time.Second), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2}}, &panickingClient{})
			}) != nil)
		})
	})
	assert.Equal(t, panics.Load(), int64(0))
}
