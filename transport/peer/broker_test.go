package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestDispatchersAreOrderedByProcessorShare checks that hosts with a larger processor share come first, and that the
// order does not depend on the order of the members, so that all hosts agree on it.
func TestDispatchersAreOrderedByProcessorShare(t *testing.T) {
	members := []membership.Member{
		{Host: "small-1", ProcessorShare: 134},
		{Host: "large-1", ProcessorShare: 800},
		{Host: "small-2", ProcessorShare: 134},
		{Host: "large-2", ProcessorShare: 800},
		{Host: "no-share"},
	}
	ordered := orderDispatchers("models", members)
	assert.Assert(t, ordered[0] == "large-1" || ordered[0] == "large-2", "%v", ordered)
	assert.Equal(t, ordered[4], id.Host("no-share"))
	reversed := []membership.Member{members[4], members[3], members[2], members[1], members[0]}
	assert.DeepEqual(t, orderDispatchers("models", reversed), ordered)
}
