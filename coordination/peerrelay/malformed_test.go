package peerrelay_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestCallThatCannotBeRelayedCostsNoPeer guards against hosts that lose their peers because of one request that does not
// fit into a call: the next request must be served through the same peers.
func TestCallThatCannotBeRelayedCostsNoPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1", "b2", "b3")
		nw.hosts["a1"].cut(refusing)
		nw.beforeRelay = func(_ id.Host, call peerrelay.Call) error {
			if call.Attempt.ID == "too long" {
				return failure(peerrelay.Malformed)
			}
			return nil
		}
		_, err := nw.hosts["a1"].send(t.Context(), newAttempt("too long", "s2"))
		assert.ErrorIs(t, err, forward.ErrNotSent)
		_, err = nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s2"))
		assert.NilError(t, err)
		assert.Equal(t, nw.runCount("r1"), 1)
	})
}
