package peerrelay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestTimeAtFailedPeersIsTakenOff checks that a peer that is asked after others gets the time that is left then.
func TestTimeAtFailedPeersIsTakenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const peerTime = 250 * time.Millisecond
		nw := newNetwork("a1", "b1", "b2", "b3")
		nw.hosts["a1"].cut(refusing)
		var last peerrelay.Call
		calls := 0
		nw.beforeRelay = func(_ id.Host, call peerrelay.Call) error {
			last = call
			if calls++; calls <= 2 {
				time.Sleep(peerTime)
				return failure(peerrelay.PeerUnreachable)
			}
			return nil
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		attempt := newAttempt("r1", "s2")
		_, err := nw.hosts["a1"].send(ctx, attempt)
		assert.NilError(t, err)
		assert.Equal(t, calls, 3)
		assert.Equal(t, last.Timeout, 5*time.Second-2*peerTime)
		assert.Equal(t, nw.lastAttempt.Remaining, attempt.Remaining-2*peerTime)
	})
}
