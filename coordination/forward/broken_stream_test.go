package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// cutOffServers sends streams of unknown length that end where the connection ends. Server one refuses probes.
type cutOffServers struct {
	fakeServers
	// bodies holds the body of each attempt in order.
	bodies []string
}

func (sv *cutOffServers) Send(context.Context, forward.Attempt) (forward.Response, error) {
	body := sv.bodies[0]
	sv.bodies = sv.bodies[1:]
	return forward.Response{
		Status: http.StatusOK, Length: -1, EndsWithConnection: true, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(strings.NewReader(body)),
	}, nil
}

func (sv *cutOffServers) ProbeConnection(_ context.Context, address string) forward.ProbeResult {
	if address == "one:80" {
		return forward.ConnectionRefused
	}
	return forward.Reachable
}

// TestStreamCutInsideEventIsNotComplete checks that a stream whose connection ends inside or before an event is resumed if that
// is allowed and never forwarded as complete, and that it counts as a crash of its server instead of clearing the
// crashes of its content.
func TestStreamCutInsideEventIsNotComplete(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	server := serverlist.Server{ID: "one", Service: "service", Address: "one:80", StartedAtMillis: time.Now().Add(-time.Hour).UnixMilli()}
	for _, tc := range []struct {
		name     string
		route    route.Route
		bodies   []string
		complete bool
		want     string
	}{
		{"resumed on another engine", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2, Resumable: true}, []string{first + "id: 2\nda", second}, true, first + second},
		{"engine, not resumable", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2}, []string{first + "id: 2\nda"}, false, first},
		{"resumed after a stream without events", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2, Resumable: true}, []string{"", first}, true, first},
		{"plain service", route.Route{Kind: route.Streaming, MaxAttempts: 1}, []string{first + "id: 2\nda"}, false, first + "id: 2\nda"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newLocalQuarantine()
			fingerprint := id.NewFingerprint("", []byte("/chat"), nil)
			table.Learn(time.Now(), quarantine.Evidence{Fingerprint: fingerprint, Crash: 7, Status: quarantine.Confirmed})
			fleet := fakeFleet{listed: []serverlist.Server{server}, announcedLeaving: map[id.BackendServer]bool{}}
			rn := newRunner(forward.Dependencies{
				Sender: &cutOffServers{bodies: tc.bodies}, Fleet: fleet, Quarantine: table,
				Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}},
			})
			client := &fakeClient{}
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{
				ID: "request", Target: "/chat", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: tc.route,
			}, client)
			assert.Equal(t, result.Complete, tc.complete, "%+v", result)
			assert.Assert(t, result.HeadSent)
			assert.Equal(t, client.body.String(), tc.want)
			if !tc.complete {
				assert.Equal(t, table.ConfirmedCrashes(fingerprint), 2)
			}
		})
	}
}
