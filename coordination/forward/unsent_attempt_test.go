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

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// TestAttemptThatWasNotSentLeavesAnother guards against streams that are cut because a first attempt, which never reached its
// engine, used up one of the allowed ones.
func TestAttemptThatWasNotSentLeavesAnother(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &heldDispatcher{}
		dispatcher.grants = []batch.Grant{reservedGrantOn("1", "one"), reservedGrantOn("2", "two"), reservedGrantOn("3", "three")}
		backends := &failoverServers{scripted: true, unresponsive: true, second: func(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
			switch attempt.Address {
			case "one:80":
				<-ctx.Done()
				return forward.Response{}, forward.ErrNotSent
			case "two:80":
				return streamResponse(&slowBody{ctx: ctx, chunks: []chunk{{0, event1}}, truncated: true}), nil
			default:
				return streamResponse(&slowBody{ctx: ctx, chunks: []chunk{{0, event2}}}), nil
			}
		}}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
		client := &fakeClient{}
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
		assert.Assert(t, result.Complete, "%+v", result)
		assert.Equal(t, client.body.String(), event1+event2)
		assert.DeepEqual(t, backends.sentTo, []string{"one:80", "two:80", "three:80"})
		time.Sleep(10 * time.Second)
		assert.NilError(t, findHeld(dispatcher, backends))
	})
}

// TestServerThatWasNotReachedLeavesAnother guards against requests that fail because a first attempt, which never reached its
// server, used up one of the allowed ones.
func TestServerThatWasNotReachedLeavesAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		backends := &scriptedBackends{send: func(context.Context, forward.Attempt) (forward.Response, error) {
			switch sent.Add(1) {
			case 1:
				time.Sleep(2500 * time.Millisecond)
				return forward.Response{}, forward.ErrNotSent
			case 2:
				time.Sleep(time.Second)
				return forward.Response{}, io.ErrUnexpectedEOF
			default:
				return forward.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("from the third"))}, nil
			}
		}}
		listed := []serverlist.Server{{ID: "one", Address: "one"}, {ID: "two", Address: "two"}, {ID: "three", Address: "three"}}
		rn := newRunner(forward.Dependencies{
			Sender: backends, Fleet: fakeFleet{listed: listed, announcedLeaving: map[id.BackendServer]bool{}},
			Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 10}, 1),
		})
		client := &fakeClient{}
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(4 * time.Second), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2}}, client)
		assert.Assert(t, result.Complete, "%+v", result)
		assert.Equal(t, client.body.String(), "from the third")
		synctest.Wait()
	})
}
