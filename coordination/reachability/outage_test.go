package reachability_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
)

// TestOutageNeedsServersAndPeers checks what must have failed for an outage of all servers, and that one success ends it.
func TestOutageNeedsServersAndPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	const servers = 20
	var ou reachability.Outage
	ou.RecordPeerFailure(now.Add(-time.Second))
	for number := range servers {
		assert.Equal(t, ou.Total(servers, false), number >= 8, "%d failed", number)
		ou.RecordFailure(now, fmt.Sprint(number))
		ou.RecordFailure(now, fmt.Sprint(number))
		assert.Equal(t, ou.Suspected(), number > 0)
	}
	assert.Assert(t, !ou.Total(servers, true), "the peers failed before the servers did")
	ou.RecordPeerFailure(now)
	assert.Assert(t, ou.Total(servers, true))
	ou.RecordReached()
	assert.Assert(t, !ou.Total(servers, true) && !ou.Total(servers, false) && !ou.Suspected() && !ou.HasFailed("0"))
	ou.RecordFailure(now, "0")
	assert.Assert(t, ou.Total(1, false) && !ou.Total(0, false), "the only server has failed; a host without servers has no outage")
}

// TestReplacedServersEndOutage replaces all servers after an outage. What failed before says nothing about the new ones.
func TestReplacedServersEndOutage(t *testing.T) {
	const servers = 10
	now := time.Unix(1000, 0)
	var ou reachability.Outage
	for number := range servers {
		ou.RecordFailure(now, fmt.Sprint(number))
	}
	assert.Assert(t, ou.Total(servers, false))
	ou.ForgetUnlisted(func(string) bool { return false })
	assert.Assert(t, !ou.Total(servers, false) && !ou.Suspected())
}
