package forward_test

import (
	"context"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// slowClient is a client that takes some time to accept each part of the body.
type slowClient struct {
	fakeClient
	wait time.Duration
}

func (sc *slowClient) Write(chunk []byte) error {
	time.Sleep(sc.wait)
	return sc.fakeClient.Write(chunk)
}

// pacedServers send a response that ends with its connection in pieces, each after a pause, and its end after another pause.
type pacedServers struct {
	fakeServers
	contentType, piece string
	pieces             int
	pause              time.Duration
}

func (sv *pacedServers) Send(_ context.Context, attempt forward.Attempt) (forward.Response, error) {
	sv.sentTo = append(sv.sentTo, string(attempt.Server))
	return forward.Response{
		Status: http.StatusOK, Length: -1, EndsWithConnection: true, Header: http.Header{"Content-Type": {sv.contentType}},
		Body: &pacedBody{servers: sv},
	}, nil
}

// pacedBody is the body of a response of pacedServers.
type pacedBody struct {
	servers *pacedServers
	sent    int
	rest    strings.Reader
}

func (pb *pacedBody) Read(buffer []byte) (int, error) {
	if pb.rest.Len() == 0 {
		time.Sleep(pb.servers.pause)
		if pb.sent == pb.servers.pieces {
			return 0, io.EOF
		}
		pb.sent++
		pb.rest.Reset(strings.ReplaceAll(pb.servers.piece, "N", string(rune('0'+pb.sent))))
	}
	return pb.rest.Read(buffer)
}

func (*pacedBody) Close() error { return nil }

// TestServerThatRestartsWhileClientReadsMakesPartWhole checks that a response without length and chunks whose end is found
// late, because the client took long to accept what came before, counts as complete only once a list that was read after that
// shows the same start of its server. If the host waited for the end, it was found in time.
func TestServerThatRestartsWhileClientReadsMakesPartWhole(t *testing.T) {
	first := serverlist.Server{ID: "one", Service: "service", Address: "one:80", StartedAtMillis: 1}
	second := serverlist.Server{ID: "two", Service: "service", Address: "two:80", StartedAtMillis: 1}
	successor := first
	successor.ID, successor.StartedAtMillis = "three", math.MaxInt64
	long := strings.Repeat("x", int(forward.DefaultConfig().ResponseBufferBytes)+1)
	for _, kind := range []struct {
		name        string
		route       route.Route
		contentType string
		piece       string
		// writes is the number of writes to the client for one piece.
		writes int
	}{
		{"plain", route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainType, long, 2},
		{"stream of a plain service", route.Route{Kind: route.Streaming, MaxAttempts: 1}, eventStreamType, "id: N\ndata: a\n\n", 1},
		{"stream", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1}, eventStreamType, "id: N\ndata: a\n\n", 1},
	} {
		for _, tc := range []struct {
			name      string
			clientLag time.Duration
			pause     time.Duration
			restarts  bool
			complete  bool
			// maxWait bounds the time from the end to when it counts.
			maxWait time.Duration
		}{
			{name: "restart", clientLag: 1100 * time.Millisecond, restarts: true},
			{name: "sound, slow client", clientLag: time.Second, complete: true, maxWait: 1700 * time.Millisecond},
			{name: "sound, the host waits for the end", clientLag: 200 * time.Millisecond, pause: 300 * time.Millisecond, complete: true},
			{name: "sound, the host waits for a moment", clientLag: 10 * time.Millisecond, pause: 2 * time.Millisecond, complete: true},
		} {
			t.Run(kind.name+"/"+tc.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					// Probes of the stream monitor end within this time.
					defer time.Sleep(time.Second)
					now := time.Now()
					const pieces = 3
					servers := &pacedServers{contentType: kind.contentType, piece: kind.piece, pieces: pieces, pause: tc.pause}
					fleet := &periodicFleet{fakeFleet: fakeFleet{listed: []serverlist.Server{first, second}, announcedLeaving: map[id.BackendServer]bool{}}, startedAt: now}
					client := &slowClient{wait: tc.clientLag}
					if tc.restarts {
						servers.pieces = 1
						fleet.changedAt = time.Duration(kind.writes)*tc.clientLag - 50*time.Millisecond
						fleet.changed = []serverlist.Server{first, second, successor}
					}
					balancer := balance.New("", 1)
					balancer.EndRequest(now, second, balance.ErrorResponse, nil, time.Millisecond)
					rn := newRunner(forward.Dependencies{
						Sender: servers, Fleet: fleet, Balancer: balancer, Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}},
					})
					result := rn.Run(t.Context(), &forward.Request{
						ID: "request", Target: "/chat", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(time.Minute), Route: kind.route,
					}, client)
					took := time.Since(now)
					assert.Equal(t, result.Complete, tc.complete, "%+v", result)
					assert.DeepEqual(t, servers.sentTo, []string{"one"})
					if tc.complete {
						assert.Equal(t, client.body.Len(), pieces*len(kind.piece))
						assert.Assert(t, took <= time.Duration(pieces*kind.writes)*tc.clientLag+(pieces+1)*tc.pause+tc.maxWait, "%s", took)
					}
				})
			})
		}
	}
}
