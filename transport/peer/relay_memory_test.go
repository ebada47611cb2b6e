package peer

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
)

// TestLongRelayedBodiesExhaustMemory has relayed calls with long bodies take the memory for bodies. Another long one must be
// rejected as busy and not sent, one with a short body must be made, and a long one again once there is memory.
func TestLongRelayedBodiesExhaustMemory(t *testing.T) {
	const bodyMemoryBytes, longBytes, heldCalls = 9_000_000, 2_000_000, 4
	held, release := make(chan struct{}), make(chan struct{})
	relay := relayFunc(func(_ context.Context, call peerrelay.Call) (peerrelay.Answer, error) {
		if call.Attempt.Target == "/hold" {
			held <- struct{}{}
			<-release
		}
		return peerrelay.Answer{Response: forward.Response{Status: http.StatusOK, Body: http.NoBody}}, nil
	})
	memory := bodymemory.New(bodyMemoryBytes, 0)
	server := httptest.NewServer(NewServer(LocalComponents{RelayServer: relay, BodyMemory: memory}, timer.NewSystem()).Handler())
	defer server.Close()
	releaseHeld := sync.OnceFunc(func() { close(release) })
	defer releaseHeld()
	pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	client := NewRelayClient(pool, func(context.Context, membership.Member) {})
	send := func(target string, length int) error {
		call := fullCall()
		call.Attempt.Target, call.Attempt.Body = target, bytes.Repeat([]byte("x"), length)
		answer, err := client.Relay(t.Context(), membership.Member{Host: "peer", PeerAddress: server.Listener.Addr().String()}, call)
		if err == nil {
			err = answer.Response.Body.Close()
		}
		return err
	}
	var group sync.WaitGroup
	for range heldCalls {
		group.Go(func() { assert.Check(t, send("/hold", longBytes)) })
		<-held
	}
	var failure *peerrelay.Failure
	err := send("/x", longBytes)
	assert.Assert(t, errors.As(err, &failure) && failure.Reason == peerrelay.Busy && failure.NotSent, "%v", err)
	assert.NilError(t, send("/x", 1000))
	releaseHeld()
	group.Wait()
	assert.NilError(t, send("/x", longBytes))
}
