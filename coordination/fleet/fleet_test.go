package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestLeavingByListOrEvidence checks that either the list or the back end itself is enough, and the list comes back.
func TestLeavingByListOrEvidence(t *testing.T) {
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
	fl.RecordEvidence(now, "three", fleet.Answered)
	assert.Equal(t, len(fl.Servers(now, "orders")), 1, "an answer does not take back what the list says")

	fl.RecordEvidence(now, "four", fleet.Draining)
	assert.Equal(t, len(fl.Servers(now, "orders")), 0, "the list lags behind what a server says")
	fl.RecordEvidence(now, "two", fleet.Unreachable)
	assert.Assert(t, fl.Engines(now, "llm")[1].Leaving)
	assert.Assert(t, !fl.Engines(now.Add(time.Minute), "llm")[1].Leaving, "an engine that could not be reached is tried again")
}

// TestShardsAreCompleteAndBounded checks that shards stay within their size and that every engine is in one.
func TestShardsAreCompleteAndBounded(t *testing.T) {
	for _, count := range []int{1, 16, 32, 33, 150, 2200} {
		var listing fleet.Listing
		for number := range count {
			listing.Engines = append(listing.Engines, fleet.Engine{
				Name: id.Engine(fmt.Sprintf("engine-%04d", number)), Service: "llm",
				AvailabilityZone: id.AvailabilityZone(fmt.Sprint("zone-", number%15)),
			})
		}
		fl := fleet.New()
		fl.SetListing(listing)
		total := 0
		for _, name := range fl.Shards() {
			size := len(fl.Engines(time.Unix(0, 0), name))
			assert.Assert(t, size <= fleet.ShardSize, "shard %s has %d engines", name, size)
			total += size
		}
		assert.Equal(t, total, count)
	}
}
