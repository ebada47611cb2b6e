package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
)

// TestEndlessBodyOfRelayedProbe has a peer answer a relayed probe with a body without end. The call must end without
// waiting for its deadline.
func TestEndlessBodyOfRelayedProbe(t *testing.T) {
	peer := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		err := writeJSONFrame(writer, headFrame, relayHead{Probe: 1})
		for err == nil {
			err = writeFrame(writer, dataFrame, make([]byte, 4096))
		}
	}))
	defer peer.Close()
	pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	client := NewRelayClient(pool, func(context.Context, membership.Member) {})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	member := membership.Member{Host: "peer", PeerAddress: peer.Listener.Addr().String()}
	_, err := client.Relay(ctx, member, peerrelay.Call{Kind: peerrelay.ProbeHTTP, From: "entry", Address: "10.0.0.1:80", Timeout: time.Second})
	assert.ErrorContains(t, err, "longer than")
	var failure *peerrelay.Failure
	assert.Assert(t, errors.As(err, &failure))
	assert.NilError(t, ctx.Err())
}
