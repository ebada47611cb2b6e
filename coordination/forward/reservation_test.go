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

// reservingServers records when memory was first reserved and when it was released, by ticket.
type reservingServers struct {
	streamingServers
	reserved, released map[string]time.Time
}

func (rv *reservingServers) Reserve(_ context.Context, part batch.Part, _ time.Duration) (bool, error) {
	if _, present := rv.reserved[part.Ticket]; !present {
		rv.reserved[part.Ticket] = time.Now()
	}
	return true, nil
}

func (rv *reservingServers) Release(_ context.Context, part batch.Part) error {
	rv.released[part.Ticket] = time.Now()
	return nil
}

// TestUnusedReservation checks that memory reserved for a prompt whose first event does not arrive is released within
// the limit for unused memory, even if the engines pass their probes and the client would wait longer.
func TestUnusedReservation(t *testing.T) {
	const unusedLimit = 9 * time.Second
	for _, maxAttempts := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			stalledGrant := grantOn("1", "one", "two")
			stalledGrant.Parts[1].Ticket, stalledGrant.Parts[1].MemoryTokens = "ticket", 16_000
			stalledGrant.PredictedFirstEvent = 4 * time.Second
			commentsOnly := slowBody{repeated: chunk{100 * time.Millisecond, ": wait\n\n"}}
			backends := &reservingServers{
				streamingServers: streamingServers{bodyByAddress: map[string]slowBody{"one:80": commentsOnly, "three:80": {chunks: []chunk{{0, "id: 1\ndata: a\n\n"}}}}},
				reserved:         map[string]time.Time{}, released: map[string]time.Time{},
			}
			dispatcher := &fakeDispatcher{grants: []batch.Grant{stalledGrant, grantOn("2", "three")}}
			rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}})
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{
				ID: "request", Service: "service", PromptTokens: 400_000, ArrivedAt: now, Deadline: now.Add(20 * time.Second),
				Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: maxAttempts, TargetLatency: 4 * time.Second, MaxPause: 1200 * time.Millisecond},
			}, &fakeClient{})
			synctest.Wait()
			assert.Equal(t, result.Complete, maxAttempts > 1, "%+v", result)
			unusedTime := backends.released["ticket"].Sub(backends.reserved["ticket"])
			assert.Assert(t, unusedTime > 0 && unusedTime < unusedLimit, "%s", unusedTime)
		})
	}
}

// unlinkedReservations are servers of which one can't be reached to reserve memory, by this host or another one.
type unlinkedReservations struct {
	streamingServers
	reserveError error
}

func (ur *unlinkedReservations) Reserve(_ context.Context, part batch.Part, _ time.Duration) (bool, error) {
	if part.Address == "one:80" {
		return false, ur.reserveError
	}
	return true, nil
}

// TestReservationOnEngineOutOfReach guards against engines that get nothing from any host because a host that has lost its
// links could reserve no memory there. An engine that has no memory to reserve is still reported.
func TestReservationOnEngineOutOfReach(t *testing.T) {
	for _, tc := range []struct {
		reserveError error
		wantFault    batch.Fault
	}{{errors.Join(forward.ErrNotSent, forward.ErrUndetermined), batch.NoFault}, {nil, batch.Full}} {
		synctest.Test(t, func(t *testing.T) {
			unreached := grantOn("1", "two", "one")
			unreached.Parts[1].Ticket = "ticket"
			dispatcher := &fakeDispatcher{grants: []batch.Grant{unreached, grantOn("2", "two")}}
			backends := &unlinkedReservations{reserveError: tc.reserveError, streamingServers: streamingServers{bodyByAddress: map[string]slowBody{"two:80": {chunks: []chunk{{0, "id: 1\ndata: a\n\n"}}}}}}
			rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}})
			assert.Assert(t, runRequest(t, rn, 1, route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1}).Complete)
			synctest.Wait()
			assert.Equal(t, dispatcher.ended[0].FailedEngine, id.Engine("one"))
			assert.Equal(t, dispatcher.ended[0].Fault, tc.wantFault)
			_, outOfReach := dispatcher.backoffs[1]["one"]
			assert.Equal(t, outOfReach, tc.reserveError != nil)
		})
	}
}
