package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestUnavailableByListOrObservation checks that a backend gets no new requests if either the platform's list or the
// backend itself says that it is leaving, and that a failed connection counts only for a time.
func TestUnavailableByListOrObservation(t *testing.T) {
	now := time.Unix(0, 0)
	fl := fleet.New()
	listing := fleet.Listing{
		Engines: []fleet.Engine{{Name: "one", Service: "llm"}, {Name: "two", Service: "llm"}},
		Servers: []fleet.BackendServer{{Name: "three", Service: "orders"}, {Name: "four", Service: "orders"}},
	}
	fl.SetListing(listing)
	assert.Equal(t, len(fl.Servers(now, "orders")), 2)

	listing.Servers[0].Leaving = true
	listing.Engines[0].Leaving = true
	fl.SetListing(listing)
	assert.Equal(t, len(fl.Servers(now, "orders")), 1)
	assert.Assert(t, fl.Engines(now, "llm")[0].Leaving)
	fl.RecordObservation(now, "three", fleet.Answered)
	assert.Equal(t, len(fl.Servers(now, "orders")), 1, "an answer must not override a departure in the list")

	fl.RecordObservation(now, "four", fleet.Draining)
	assert.Equal(t, len(fl.Servers(now, "orders")), 0, "a departure announced by the server counts before the list shows it")
	fl.RecordObservation(now, "two", fleet.Unreachable)
	assert.Assert(t, fl.Engines(now, "llm")[1].Leaving)
	assert.Assert(t, !fl.Engines(now.Add(time.Minute), "llm")[1].Leaving, "an unreachable engine must be tried again after a time")
}

// TestEvacuatedZoneIsUnavailable checks that the backends of an evacuated zone get no new requests, whatever was observed of
// them, and that they are used again when the evacuation ends.
func TestEvacuatedZoneIsUnavailable(t *testing.T) {
	now := time.Unix(0, 0)
	fl := fleet.New()
	fl.SetListing(fleet.Listing{
		Engines: []fleet.Engine{{Name: "one", Service: "llm", AvailabilityZone: "a"}, {Name: "two", Service: "llm", AvailabilityZone: "b"}},
		Servers: []fleet.BackendServer{{Name: "three", Service: "orders", AvailabilityZone: "a"}, {Name: "four", Service: "orders", AvailabilityZone: "b"}},
	})
	fl.RecordObservation(now, "one", fleet.Answered)
	fl.SetEvacuatedZones([]id.AvailabilityZone{"a", "nowhere"})
	assert.Assert(t, fl.Engines(now, "llm")[0].Leaving)
	assert.Assert(t, !fl.AllEngines(now)[1].Leaving)
	servers := fl.Servers(now, "orders")
	assert.Equal(t, len(servers), 1)
	assert.Equal(t, servers[0].Name, id.BackendServer("four"))
	assert.Assert(t, fl.HasService("orders"))
	fl.SetEvacuatedZones(nil)
	assert.Assert(t, !fl.Engines(now, "llm")[0].Leaving)
	assert.Equal(t, len(fl.Servers(now, "orders")), 2)
}

// TestShardsAreCompleteAndBounded checks that no shard exceeds ShardSize and that every engine is in a shard.
func TestShardsAreCompleteAndBounded(t *testing.T) {
	for _, engineCount := range []int{1, 16, 32, 33, 150, 2200} {
		var listing fleet.Listing
		for number := range engineCount {
			listing.Engines = append(listing.Engines, fleet.Engine{
				Name: id.Engine(fmt.Sprintf("engine-%04d", number)), Service: "llm",
				AvailabilityZone: id.AvailabilityZone(fmt.Sprint("zone-", number%15)),
			})
		}
		fl := fleet.New()
		fl.SetListing(listing)
		total := 0
		for _, shard := range fl.Shards() {
			size := len(fl.Engines(time.Unix(0, 0), shard))
			assert.Assert(t, size <= fleet.ShardSize, "shard %s has %d engines", shard, size)
			total += size
		}
		assert.Equal(t, total, engineCount)
	}
}
