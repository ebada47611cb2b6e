package peerrelay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestNoPeerIsAskedAfterAcceptTime guards against requests that a leaving host passes to a peer when it no longer accepts
// any, because its own dial or another peer took long. The host would cut them at the end of its grace.
func TestNoPeerIsAskedAfterAcceptTime(t *testing.T) {
	const peerTime = 300 * time.Millisecond
	for name, tc := range map[string]struct {
		state linkState
		// refusingPeers is the number of peers that refuse the request after peerTime.
		refusingPeers int
		acceptTime    time.Duration
		wantRelayed   int
		wantRuns      int
	}{
		"during the dial":            {state: silent, acceptTime: dialTimeout / 2},
		"while a peer refuses":       {state: refusing, refusingPeers: 1, acceptTime: peerTime / 2, wantRelayed: 1},
		"after the dial":             {state: silent, acceptTime: 2 * dialTimeout, wantRelayed: 1, wantRuns: 1},
		"after a peer has refused":   {state: refusing, refusingPeers: 1, acceptTime: 2 * peerTime, wantRelayed: 2, wantRuns: 1},
		"the links are known as cut": {state: refusing, acceptTime: time.Hour, wantRelayed: 1, wantRuns: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork("a1", "b1", "b2", "c1")
				nw.hosts["a1"].cut(tc.state)
				relayed := 0
				nw.beforeRelay = func(_ id.Host, call peerrelay.Call) error {
					if call.Kind != peerrelay.Send {
						return nil
					}
					if relayed++; relayed <= tc.refusingPeers {
						time.Sleep(peerTime)
						return failure(peerrelay.PeerLeaving)
					}
					return nil
				}
				began := time.Now()
				attempt := newAttempt("r1", "s2")
				attempt.MayBegin = func() bool { return time.Since(began) < tc.acceptTime }
				_, err := nw.hosts["a1"].send(t.Context(), attempt)
				if tc.wantRuns == 0 {
					assert.ErrorIs(t, err, forward.ErrNotSent)
				} else {
					assert.NilError(t, err)
				}
				assert.Equal(t, relayed, tc.wantRelayed)
				assert.Equal(t, nw.runCount("r1"), tc.wantRuns)
			})
		})
	}
}
