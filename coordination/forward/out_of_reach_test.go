package forward_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// avoidingDispatcher grants the first of its engines that a request does not avoid.
type avoidingDispatcher struct {
	heldDispatcher
	engines []string
	// asked holds the engines that each request avoids.
	asked [][]id.Engine
}

func (ad *avoidingDispatcher) Acquire(ctx context.Context, grantRequest broker.GrantRequest) (batch.Grant, outcome.Outcome) {
	ad.asked = append(ad.asked, grantRequest.AvoidedEngines)
	for _, engine := range ad.engines {
		if !slices.Contains(grantRequest.AvoidedEngines, id.Engine(engine)) {
			ad.grants = []batch.Grant{reservedGrantOn(string(grantRequest.ID), engine)}
			return ad.heldDispatcher.Acquire(ctx, grantRequest)
		}
	}
	return batch.Grant{}, outcome.Refuse(outcome.NoCapacity, "no engine is left")
}

// unreachableServers are failoverServers of which this host can't reach one.
type unreachableServers struct {
	failoverServers
	unreachable string
}

func (us *unreachableServers) ProbeConnection(_ context.Context, address string) forward.ProbeResult {
	if address == us.unreachable {
		return forward.Undetermined
	}
	return forward.Reachable
}

func (us *unreachableServers) ProbeHTTP(ctx context.Context, address string) forward.ProbeResult {
	if address == us.unreachable {
		return forward.Undetermined
	}
	return us.failoverServers.ProbeHTTP(ctx, address)
}

// TestEngineOutOfReachIsNotGrantedAgain guards against streams that stay at a silent engine because the same engine, which only
// this host can't reach, is granted to them again and again.
func TestEngineOutOfReachIsNotGrantedAgain(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &avoidingDispatcher{engines: []string{"one", "two", "three"}}
		backends := &unreachableServers{unreachable: "two:80", failoverServers: failoverServers{
			first:  slowBody{chunks: []chunk{{0, event1}}, repeated: chunk{time.Hour, "x"}},
			second: streamOf(slowBody{chunks: []chunk{{0, event2}}}),
		}}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
		client := &fakeClient{}
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
		assert.Assert(t, result.Complete, "%+v", result)
		assert.Equal(t, client.body.String(), event1+event2)
		assert.DeepEqual(t, backends.sentTo, []string{"one:80", "three:80"})
		time.Sleep(10 * time.Second)
		assert.NilError(t, findHeld(&dispatcher.heldDispatcher, &backends.failoverServers))
	})
}
