package site_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
	"github.com/hibiscuslever/hibiscuslever/transport/peer"
)

// TestPlannedStopWaitsForRelayedCalls stops a host while it makes a call for another one. The call must be answered
// completely, although the host has no request of its own, and a call that arrives after the time in which the host
// accepts new requests must be refused as not sent.
func TestPlannedStopWaitsForRelayedCalls(t *testing.T) {
	t.Parallel()
	const answerTime, shutdownTimeout = 1200 * time.Millisecond, 2 * time.Second
	runs := make(chan string, 2)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		attemptID := request.Header.Get("X-Attempt-Id")
		runs <- attemptID
		time.Sleep(answerTime)
		writer.Header().Set("X-Attempt-Id", attemptID)
		_, _ = io.WriteString(writer, "answer")
	}))
	defer server.Close()
	env := newTestEnv(t)
	env.shutdownTimeout = shutdownTimeout
	env.addServer("book-1", "books")
	env.publishTable()
	host := env.startHost("host-1", true)
	pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	client := peer.NewRelayClient(pool, func(context.Context, membership.Member) {})
	send := func(request string) (string, error) {
		address := server.Listener.Addr().String()
		answer, err := client.Relay(context.Background(), membership.Member{PeerAddress: host.settings.Host.PeerAddress}, peerrelay.Call{
			Kind: peerrelay.Send, From: "host-2", Address: address, Timeout: 5 * time.Second,
			Attempt: forward.Attempt{
				Request: &forward.Request{ID: request, Method: http.MethodGet, Target: "/x", HostName: "h", Header: http.Header{"X-Attempt-Id": {request}}},
				Server:  "server-1", Address: address, Remaining: 5 * time.Second, Urgency: -1,
			},
		})
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(answer.Response.Body)
		assert.NilError(t, answer.Response.Body.Close())
		return string(body), err
	}
	answered := make(chan error, 1)
	go func() {
		body, err := send("first")
		assert.Check(t, body == "answer", "%q", body)
		answered <- err
	}()
	assert.Equal(t, <-runs, "first")
	status, err := operator.NewClient("http://" + host.settings.Host.OperatorAddress).Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.InFlightForPeers, int64(1))
	assert.Equal(t, status.InFlight, int64(0))
	host.stop()
	time.Sleep(answerTime * 4 / 5)
	_, err = send("second")
	assert.ErrorIs(t, err, forward.ErrNotSent)
	assert.NilError(t, <-answered)
	assert.Equal(t, len(runs), 0)
}
