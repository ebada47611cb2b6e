package peerrelay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestPeerSendsNothingToEvacuatedServers checks that a peer which knows that a server or an engine that is to help it is
// evacuated sends nothing, although the entry host does not know it, that no other peer is asked, and that nothing
// follows about the server. A peer still probes it, and renews and releases memory there.
func TestPeerSendsNothingToEvacuatedServers(t *testing.T) {
	for name, evacuated := range map[string]id.BackendServer{"the server": "s2", "a helper": "s1"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork("a1", "b1", "b2", "b3")
				nw.hosts["a1"].cut(refusing)
				for _, peer := range []id.Host{"b1", "b2", "b3"} {
					nw.hosts[peer].evacuated[evacuated] = true
				}
				attempt := newAttempt("r1", "s2")
				attempt.Helpers = []batch.Part{{Engine: "s1", Address: "s1:80"}}
				_, err := nw.hosts["a1"].send(t.Context(), attempt)
				assert.ErrorIs(t, err, forward.ErrNotSent)
				assert.ErrorIs(t, err, forward.ErrUndetermined)
				var refusal *peerrelay.Failure
				assert.Assert(t, errors.As(err, &refusal))
				assert.Equal(t, refusal.Reason, peerrelay.ServerEvacuated)
				assert.Equal(t, len(nw.relayed), 1)
				assert.Equal(t, nw.runCount("r1"), 0)
				assert.Equal(t, nw.hosts["a1"].sender.ProbeConnection(t.Context(), "s2:80"), forward.ReachableThroughPeer)
				granted, err := nw.hosts["a1"].sender.Reserve(t.Context(), batch.Part{Engine: "s2", Address: "s2:80", Ticket: "ticket", MemoryTokens: 1}, time.Second)
				assert.NilError(t, err)
				assert.Assert(t, granted)
				assert.NilError(t, nw.hosts["a1"].sender.Release(t.Context(), batch.Part{Engine: "s2", Address: "s2:80", Ticket: "ticket"}))
				time.Sleep(time.Second)
			})
		})
	}
}
