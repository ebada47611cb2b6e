package forward_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// unlinkedServers are streaming servers to which this host may have lost its links.
type unlinkedServers struct {
	streamingServers
	// sendErrors holds the errors of attempts by address.
	sendErrors map[string]error
	// probe is how the engine "one" responds to probes over HTTP.
	probe forward.ProbeResult
}

func (us *unlinkedServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	if err := us.sendErrors[attempt.Address]; err != nil {
		us.sentTo = append(us.sentTo, attempt.Address)
		return forward.Response{}, err
	}
	return us.streamingServers.Send(ctx, attempt)
}

func (us *unlinkedServers) ProbeHTTP(_ context.Context, address string) forward.ProbeResult {
	if address != "one:80" {
		return forward.Reachable
	}
	return us.probe
}

// TestLostLinkIsNoFaultOfEngine guards against engines that get nothing from any host because one host has lost its link
// to them. An engine that has failed is still reported.
func TestLostLinkIsNoFaultOfEngine(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	silentBody := slowBody{chunks: []chunk{{0, event1}}, repeated: chunk{time.Hour, "x"}}
	for _, tc := range []struct {
		name      string
		sendError error
		probe     forward.ProbeResult
		wantFault batch.Fault
	}{
		{"stream is silent, a peer reaches the engine", nil, forward.ReachableThroughPeer, batch.NoFault},
		{"stream is silent, no host can tell", nil, forward.Undetermined, batch.NoFault},
		{"stream is silent, the engine has failed", nil, forward.Unresponsive, batch.Unresponsive},
		{"not sent, no host can tell", errors.Join(forward.ErrNotSent, forward.ErrUndetermined), forward.Undetermined, batch.NoFault},
		{"not sent, another host confirms it", forward.ErrNotSent, forward.Unresponsive, batch.Unreachable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}}
				rest := slowBody{chunks: []chunk{{0, event2}}}
				if tc.sendError != nil {
					rest.chunks = []chunk{{0, event1}, {0, event2}}
				}
				backends := &unlinkedServers{streamingServers: streamingServers{bodyByAddress: map[string]slowBody{"one:80": silentBody, "two:80": rest}}, probe: tc.probe}
				backends.sendErrors = map[string]error{"one:80": tc.sendError}
				rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}})
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second),
					Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond},
				}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, client.body.String(), event1+event2)
				fault := batch.NoFault
				for _, ended := range dispatcher.ended {
					fault = max(fault, ended.Fault)
				}
				assert.Equal(t, fault, tc.wantFault)
				if errors.Is(tc.sendError, forward.ErrUndetermined) {
					_, outOfReach := dispatcher.backoffs[1][id.Engine("one")]
					assert.Assert(t, outOfReach)
				}
			})
		})
	}
}

// TestGrantOnEngineOutOfReach guards against engines that get nothing from any host because a request of a host that has
// lost its links was granted one: the request goes to another engine, and the dispatcher learns of no fault.
func TestGrantOnEngineOutOfReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two"), grantOn("3", "one"), grantOn("4", "two")}}
		backends := &unlinkedServers{
			streamingServers: streamingServers{bodyByAddress: map[string]slowBody{"two:80": {chunks: []chunk{{0, "id: 1\ndata: a\n\n"}}}}},
			sendErrors:       map[string]error{"one:80": errors.Join(forward.ErrNotSent, forward.ErrUndetermined)},
		}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}})
		for number := range 2 {
			assert.Assert(t, runRequest(t, rn, number, route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2}).Complete)
		}
		assert.DeepEqual(t, backends.sentTo, []string{"one:80", "two:80", "two:80"})
		for _, ended := range dispatcher.ended {
			assert.Equal(t, ended.Fault, batch.NoFault, "%+v", ended)
		}
	})
}

// TestRequestThatWasNotSentIsRefusedBeforeClientLeaves guards against requests that get neither an answer nor a refusal
// because they wait for a second grant after nothing was sent under the first: the dispatcher client has to know that their
// clients can still be refused, other than those that have received a part of the answer.
func TestRequestThatWasNotSentIsRefusedBeforeClientLeaves(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two"), grantOn("3", "three")}}
		backends := &unlinkedServers{
			streamingServers: streamingServers{truncatedAddress: "two:80", bodyByAddress: map[string]slowBody{"two:80": {chunks: []chunk{{0, event1}}}, "three:80": {chunks: []chunk{{0, event2}}}}},
			sendErrors:       map[string]error{"one:80": errors.Join(forward.ErrNotSent, forward.ErrUndetermined)},
		}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}})
		assert.Assert(t, runRequest(t, rn, 1, route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2}).Complete)
		assert.DeepEqual(t, dispatcher.unanswered, []bool{true, true, false})
	})
}
