package peerrelay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallsThatEndBeforeAPeerIsAskedSayNothingOfPeers checks that a host whose links to all servers are lost does not take
// the servers for unreachable because requests ended, or must not be sent any more, before a peer was asked; and that it does
// once the peers reach no server either.
func TestCallsThatEndBeforeAPeerIsAskedSayNothingOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		entry, peer := nw.hosts["a1"], nw.hosts["b1"]
		entry.cut(refusing)
		mayBegin := func() bool { return false }
		for range 3 {
			for _, server := range listed {
				attempt := newAttempt("r1", string(server.ID))
				attempt.MayBegin = mayBegin
				_, err := entry.send(t.Context(), attempt)
				assert.Assert(t, err != nil)
				ended, cancel := context.WithCancel(t.Context())
				cancel()
				_, err = entry.send(ended, newAttempt("r2", string(server.ID)))
				assert.Assert(t, err != nil)
			}
		}
		assert.Equal(t, len(nw.relayed), 0)
		assert.Assert(t, !entry.sender.ServersUnreachable())
		peer.cut(refusing)
		for _, server := range listed {
			_, err := entry.send(t.Context(), newAttempt("r3", string(server.ID)))
			assert.Assert(t, err != nil)
		}
		assert.Assert(t, entry.sender.ServersUnreachable())
		time.Sleep(time.Second)
	})
}
