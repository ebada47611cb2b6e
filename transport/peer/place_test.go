package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestDispatchersAreOrderedByProcessorShare puts hosts with a larger share of a processor first, on every host in the same order.
func TestDispatchersAreOrderedByProcessorShare(t *testing.T) {
	members := []membership.Member{
		{Host: "small-1", ProcessorShare: 134},
		{Host: "large-1", ProcessorShare: 800},
		{Host: "small-2", ProcessorShare: 134},
		{Host: "large-2", ProcessorShare: 800},
		{Host: "silent"},
	}
	ordered := orderDispatchers("models", members)
	assert.Assert(t, ordered[0] == "large-1" || ordered[0] == "large-2", "%v", ordered)
	assert.Equal(t, ordered[4], id.Host("silent"))
	reversed := []membership.Member{members[4], members[3], members[2], members[1], members[0]}
	assert.DeepEqual(t, orderDispatchers("models", reversed), ordered)
}
