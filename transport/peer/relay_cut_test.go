package peer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
)

// TestCutRelayIsNotComplete checks that what a peer sends is never taken for complete if it is cut off before any of its
// bytes, on a new or a reused connection, closed or reset: the response of a server, with or without a length of its own,
// an order about memory, and a probe.
func TestCutRelayIsNotComplete(t *testing.T) {
	for _, tc := range []struct {
		name   string
		kind   peerrelay.Kind
		answer peerrelay.Answer
		body   string
	}{
		{"response", peerrelay.Send, peerrelay.Answer{Response: forward.Response{Status: http.StatusOK, Length: 6}}, "answer"},
		{"response without length", peerrelay.Send, peerrelay.Answer{Response: forward.Response{Status: http.StatusOK, Length: -1, EndsWithConnection: true}}, "id: 1\ndata: a\n\n"},
		{"empty response", peerrelay.Send, peerrelay.Answer{Response: forward.Response{Status: http.StatusOK}}, ""},
		{"order", peerrelay.Reserve, peerrelay.Answer{Granted: true}, ""},
		{"probe", peerrelay.ProbeConnection, peerrelay.Answer{Probe: forward.Reachable}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			client, peer := startRelay(t, func(context.Context, peerrelay.Call) (peerrelay.Answer, error) {
				answer := tc.answer
				if tc.kind == peerrelay.Send {
					answer.Response.Body = io.NopCloser(strings.NewReader(tc.body))
				}
				return answer, nil
			})
			call := fullCall()
			call.Kind = tc.kind
			answer, body, err := relayAll(t, client, peer, call)
			assert.NilError(t, err)
			assert.Equal(t, body, tc.body)
			assert.Equal(t, answer.Response.EndsWithConnection, tc.answer.Response.EndsWithConnection)
			response := recordResponse(t, peer.PeerAddress, call)
			cs := testutil.StartCutServer(t)
			pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
			defer pool.Close()
			cutClient := NewRelayClient(pool, func(context.Context, membership.Member) {})
			cutPeer := membership.Member{Host: "peer", PeerAddress: cs.Address()}
			cs.ForEachCut(response, response, func(cut int, reused, reset bool) {
				if reused {
					_, body, err := relayAll(t, cutClient, cutPeer, call)
					assert.NilError(t, err)
					assert.Equal(t, body, tc.body)
				}
				_, _, err := relayAll(t, cutClient, cutPeer, call)
				assert.Assert(t, err != nil, "cut at %d of %q, reused %v, reset %v", cut, response, reused, reset)
			})
		})
	}
}

// relayAll has a peer make a call and reads the body of its response.
func relayAll(t *testing.T, client *RelayClient, peer membership.Member, call peerrelay.Call) (peerrelay.Answer, string, error) {
	answer, err := client.Relay(t.Context(), peer, call)
	if err != nil || answer.Response.Body == nil {
		return answer, "", err
	}
	body, err := io.ReadAll(answer.Response.Body)
	assert.NilError(t, answer.Response.Body.Close())
	return answer, string(body), err
}

// recordResponse returns the bytes with which a host responds to a relayed call.
func recordResponse(t *testing.T, address string, call peerrelay.Call) string {
	body, err := encodeRelayCall(call)
	assert.NilError(t, err)
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", relayPath, len(body), body)
	assert.NilError(t, err)
	var recorded strings.Builder
	response, err := http.ReadResponse(bufio.NewReaderSize(io.TeeReader(connection, &recorded), 1), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	return recorded.String()
}
