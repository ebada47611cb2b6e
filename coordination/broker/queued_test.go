package broker_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestQueuedRequestStaysAtDispatchers guards against requests that are sent to engines without room. A request that is queued
// at a dispatcher, and at the next one if the first is lost, must stay there while one answers. Its own host does not know of
// the grants of others.
func TestQueuedRequestStaysAtDispatchers(t *testing.T) {
	const endsAfter = 1500 * time.Millisecond
	for _, lostAfter := range []time.Duration{0, 100 * time.Millisecond, time.Second, 1200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			nw, stop := startHosts(t, "first", "second", "third")
			defer stop()
			var running []batch.Grant
			for number := range uint64(engineSlots) {
				grant, oc := nw.acquire(t, "third", number, time.Second)
				assert.Assert(t, oc.OK(), "%+v", oc)
				running = append(running, grant)
			}
			time.AfterFunc(lostAfter, func() {
				nw.mutex.Lock()
				defer nw.mutex.Unlock()
				nw.unresponsiveHosts["first"] = true
			})
			time.AfterFunc(endsAfter, func() { nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: running[0].Attempt}) })
			began := time.Now()
			grant, oc := nw.acquire(t, "second", 100, 3*time.Second)
			assert.Assert(t, oc.OK(), "%+v", oc)
			assert.Assert(t, time.Since(began) >= endsAfter, "a grant was issued for capacity that is in use after %s", time.Since(began))
			nw.clients["second"].ReportEnded(broker.EndedGrant{Attempt: grant.Attempt})
		})
	}
}

// TestGrantOfEarlierAttemptIsNotUsed guards against attempts on engines that have just failed: the grant of an earlier attempt
// that arrives late, or once more, must not be taken for the one that the request waits for.
func TestGrantOfEarlierAttemptIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := broker.NewClient(batch.DefaultConfig(), "entry", timer.NewSystem(), mutePeers{}, singleEngineFleet{network: &network{}}, tally.NoopScope, slog.New(slog.DiscardHandler), 1)
		client.SetHostsKnown()
		grantOf := func(attemptNumber int) broker.GrantResponse {
			return broker.GrantResponse{Grant: &batch.Grant{Attempt: id.NewAttempt("request", attemptNumber), Parts: []batch.Part{{Engine: "engine-1"}}}}
		}
		time.AfterFunc(100*time.Millisecond, func() { assert.Check(t, !client.DeliverResponse("request", grantOf(1))) })
		time.AfterFunc(200*time.Millisecond, func() { assert.Check(t, client.DeliverResponse("request", grantOf(2))) })
		grant, oc := client.Acquire(t.Context(), broker.GrantRequest{Service: service, Unanswered: true, Request: batch.Request{ID: "request", ArrivedAt: time.Now(), WaitLimit: 2 * time.Second, AttemptNumber: 2}})
		assert.Assert(t, oc.OK(), "%+v", oc)
		assert.Equal(t, grant.Attempt, id.NewAttempt("request", 2))
		synctest.Wait()
	})
}
