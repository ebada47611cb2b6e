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

// timedClient records when each part of a body arrives.
type timedClient struct {
	fakeClient
	arrivals []time.Time
}

func (tc *timedClient) Write(part []byte) error {
	tc.arrivals = append(tc.arrivals, time.Now())
	return tc.fakeClient.Write(part)
}

// TestProofOfEndDoesNotDelayOtherEngine guards against pauses of an answer that goes on at another engine while the first one's
// attempt waits for the proof that it was at its end.
func TestProofOfEndDoesNotDelayOtherEngine(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &heldDispatcher{}
		dispatcher.grants = []batch.Grant{reservedGrantOn("1", "one"), reservedGrantOn("2", "two")}
		backends := &silentProbes{failoverServers{scripted: true, second: func(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
			if attempt.Address != "one:80" {
				return streamResponse(&slowBody{ctx: ctx, chunks: []chunk{{700 * time.Millisecond, event2}}}), nil
			}
			response := streamResponse(&delayedEnd{slowBody{ctx: ctx, chunks: []chunk{{0, event1}}}, 1100 * time.Millisecond})
			response.EndsWithConnection = true
			return response, nil
		}}}
		fleet := fakeFleet{age: time.Second, listed: []serverlist.Server{{ID: "two", Address: "two:80", StartedAtMillis: 1}}}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fleet, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
		client := &timedClient{}
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
		assert.Assert(t, result.Complete, "%+v", result)
		assert.Equal(t, client.body.String(), event1+event2)
		pause := client.arrivals[1].Sub(client.arrivals[0])
		assert.Assert(t, pause < 2*time.Second, "%s", pause)
		time.Sleep(10 * time.Second)
		assert.NilError(t, findHeld(dispatcher, &backends.failoverServers))
	})
}

// silentProbes are failoverServers of which "one" responds to no probe by HTTP in time.
type silentProbes struct{ failoverServers }

func (sp *silentProbes) ProbeHTTP(ctx context.Context, address string) forward.ProbeResult {
	if !strings.HasPrefix(address, "one") {
		return forward.Reachable
	}
	<-ctx.Done()
	return forward.Unresponsive
}

// delayedEnd is a body that ends some time after its last chunk.
type delayedEnd struct {
	slowBody
	delay time.Duration
}

func (de *delayedEnd) Read(buffer []byte) (int, error) {
	count, err := de.slowBody.Read(buffer)
	if err != io.EOF { //nolint:errorlint // slowBody returns it as it is
		return count, err
	}
	select {
	case <-time.After(de.delay):
		return 0, io.EOF
	case <-de.ctx.Done():
		return 0, de.ctx.Err()
	}
}

// TestProofOfEndDoesNotDelayOtherServer guards against answers that wait while the first server's attempt waits for the proof
// that its answer is complete.
func TestProofOfEndDoesNotDelayOtherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		backends := &silentBackends{scriptedBackends{send: func(context.Context, forward.Attempt) (forward.Response, error) {
			number := sent.Add(1)
			if number == 1 {
				time.Sleep(2100 * time.Millisecond)
			} else {
				time.Sleep(1500 * time.Millisecond)
			}
			return forward.Response{Status: http.StatusOK, Length: -1, EndsWithConnection: number == 1, Body: io.NopCloser(strings.NewReader("answer"))}, nil
		}}}
		fleet := fakeFleet{age: time.Second, listed: []serverlist.Server{{ID: "one", Address: "one"}, {ID: "two", Address: "two"}}, announcedLeaving: map[id.BackendServer]bool{}}
		rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fleet, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 10}, 1)})
		client := &fakeClient{}
		now := time.Now()
		// The second attempt begins after 2 s, and the proof takes from 2.1 s to 4.5 s.
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(4 * time.Second), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2}}, client)
		assert.Assert(t, result.Complete, "%+v", result)
		assert.Equal(t, client.body.String(), "answer")
		synctest.Wait()
	})
}

// silentBackends are scriptedBackends that respond to no probe by HTTP in time.
type silentBackends struct{ scriptedBackends }

func (*silentBackends) ProbeHTTP(ctx context.Context, _ string) forward.ProbeResult {
	<-ctx.Done()
	return forward.Unresponsive
}
