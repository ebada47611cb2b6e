package peer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestBrokenHeadOfPeer has a peer answer a call between hosts with an empty message behind a broken head. Only the sound head
// may be taken for an answer.
func TestBrokenHeadOfPeer(t *testing.T) {
	for _, tc := range []struct {
		name, status, field string
		accepted            bool
	}{
		{"sound", "200 OK", "X-Note: a", true},
		{"status", "000 None", "X-Note: a", false},
		{"blank in a name", "200 OK", "X Note: a", false},
		{"control byte in a name", "200 OK", "X\x01Note: a", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			response := "HTTP/1.1 " + tc.status + "\r\nContent-Type: application/proto\r\n" + tc.field + "\r\nContent-Length: 0\r\n\r\n"
			cs := testutil.StartCutServer(t)
			cs.Prepare("", response, len(response), false)
			client := NewHTTP1Client(membership.Member{Host: "self"}, timer.NewSystem())
			defer client.Close()
			_, err := client.clientAt(cs.Address()).Listing(t.Context(), connect.NewRequest(&peer.ListingRequest{}))
			assert.Equal(t, err == nil, tc.accepted, "%v", err)
		})
	}
}

// TestBrokenHeadThroughPeer has a peer pass on heads of servers that are no HTTP, as a host of an older build may. They must
// not be taken for responses, and what is said of the attempt is that it may have been sent.
func TestBrokenHeadThroughPeer(t *testing.T) {
	for _, tc := range []struct {
		name     string
		status   int
		header   http.Header
		accepted bool
	}{
		{"sound", 200, http.Header{"X-Seal": {"\xfe1"}}, true},
		{"unknown failure", 599, nil, true},
		{"status 000", 0, nil, false},
		{"status 099", 99, nil, false},
		{"interim", 100, nil, false},
		{"blank in a name", 200, http.Header{"X Seal": {"a"}}, false},
		{"blank before a colon", 200, http.Header{"Transfer-Encoding ": {"chunked"}}, false},
		{"control byte in a name", 200, http.Header{"X\x01": {"a"}}, false},
		{"line break in a name", 200, http.Header{"X\r\nY": {"a"}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			client, member := startRelay(t, func(context.Context, peerrelay.Call) (peerrelay.Answer, error) {
				return peerrelay.Answer{Response: forward.Response{Status: tc.status, Header: tc.header, Length: 2, Body: io.NopCloser(strings.NewReader("ok"))}}, nil
			})
			_, body, err := relayAll(t, client, member, fullCall())
			if tc.accepted {
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
				return
			}
			var failure *peerrelay.Failure
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Assert(t, !failure.NotSent)
		})
	}
}
