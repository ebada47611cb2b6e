package broker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// setEvacuated makes hosts learn that the engine is evacuated, or that this has ended.
func (nw *network) setEvacuated(evacuated bool, hosts ...id.Host) {
	nw.mutex.Lock()
	for _, host := range hosts {
		nw.evacuated[host] = evacuated
	}
	nw.mutex.Unlock()
	for _, host := range hosts {
		nw.servers[host].Refresh()
	}
}

// TestEvacuatedEngineIsNotGranted checks that an evacuated engine is granted by no dispatcher and not without one, that
// requests which wait and those which arrive are refused at once with a time to return, and that the engine is granted
// again when the evacuation ends, beside the work that went on there.
func TestEvacuatedEngineIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "one", "two")
		defer stop()
		var running batch.Grant
		for number := range uint64(engineSlots) {
			grant, oc := nw.acquire(t, "two", number, time.Minute)
			assert.Assert(t, oc.OK())
			running = grant
		}
		assertRefused := func(requestNumber uint64, after time.Duration) {
			t.Helper()
			start := time.Now()
			_, oc := nw.acquire(t, "two", requestNumber, time.Minute)
			assert.Equal(t, oc.Reason, outcome.NoCapacity)
			assert.Assert(t, oc.RetryAfter > 0)
			assert.Assert(t, time.Since(start) <= after, "refused after %s", time.Since(start))
		}
		const evacuatedAfter = 300 * time.Millisecond
		time.AfterFunc(evacuatedAfter, func() { nw.setEvacuated(true, "one", "two") })
		assertRefused(10, evacuatedAfter)
		assertRefused(11, 0)
		nw.setLive()
		assertRefused(12, 0)
		nw.setEvacuated(false, "one", "two")
		nw.setLive("two", "one")
		nw.clients["two"].ReportEnded(broker.EndedGrant{Attempt: running.Attempt})
		_, oc := nw.acquire(t, "two", 13, time.Minute)
		assert.Assert(t, oc.OK(), "%+v", oc)
	})
}
