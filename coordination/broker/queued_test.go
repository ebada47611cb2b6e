package broker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
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
