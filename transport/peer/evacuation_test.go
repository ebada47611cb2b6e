package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/state/evacuation"
)

// TestEvacuationsArriveUnchanged checks that the copy of the evacuated zones and its freshness arrive as they were sent, and
// that messages of a host that knows nothing of them bring no copy.
func TestEvacuationsArriveUnchanged(t *testing.T) {
	state := &evacuation.State{UnchangedSince: 1<<41 | 7, NextOffset: 1<<41 | 9, Zones: []evacuation.Record{{Zone: "norte-a", Offset: 5}, {Zone: "norte-b", Offset: 1<<41 | 6}}}
	body, err := proto.Marshal(&peer.TellRequest{Evacuations: encodeEvacuations(state)})
	assert.NilError(t, err)
	var received peer.TellRequest
	assert.NilError(t, proto.Unmarshal(body, &received))
	assert.DeepEqual(t, decodeEvacuations(received.GetEvacuations()), state)
	assert.Assert(t, encodeEvacuations(nil) == nil)
	assert.Assert(t, decodeEvacuations((&peer.TellRequest{}).GetEvacuations()) == nil)
	assert.DeepEqual(t, decodeSyncResponse(&peer.CopyResponse{Evacuations: encodeEvacuations(state)}).Evacuations, state)
	message := membership.Message{ListFreshness: membership.ListFreshness{EvacuationsUnchangedSince: state.UnchangedSince}}
	assert.Equal(t, decodeMembershipMessage(EncodeMembershipMessage(message)).ListFreshness.EvacuationsUnchangedSince, state.UnchangedSince)
}
