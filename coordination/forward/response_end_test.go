package forward_test

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// unframedServers send responses that end with their connection, the ones of bodies in order. Server one responds to
// probes with probeResults in order, the last one again and again; the others are reachable.
type unframedServers struct {
	fakeServers
	status       int
	contentType  string
	bodies       []string
	probeResults []forward.ProbeResult
	// probes counts the probes of server one.
	probes int
	// resumedAfter holds the event after which each attempt resumes the stream.
	resumedAfter []string
	// sent is called after each response.
	sent func()
}

func (sv *unframedServers) Send(_ context.Context, attempt forward.Attempt) (forward.Response, error) {
	sv.sentTo = append(sv.sentTo, string(attempt.Server))
	sv.resumedAfter = append(sv.resumedAfter, attempt.ResumeAfter)
	body := sv.bodies[0]
	sv.bodies = sv.bodies[1:]
	if sv.sent != nil {
		sv.sent()
	}
	return forward.Response{
		Status: sv.status, Length: -1, EndsWithConnection: true, Header: http.Header{"Content-Type": {sv.contentType}}, Body: io.NopCloser(strings.NewReader(body)),
	}, nil
}

func (sv *unframedServers) ProbeConnection(_ context.Context, address string) forward.ProbeResult {
	if address != "one:80" || len(sv.probeResults) == 0 {
		return forward.Reachable
	}
	result := sv.probeResults[0]
	if len(sv.probeResults) > 1 {
		sv.probeResults = sv.probeResults[1:]
	}
	sv.probes++
	return result
}

// changingFleet is a server list that changes while a request runs.
type changingFleet struct {
	fakeFleet
	changed *[]serverlist.Server
}

func (cf changingFleet) Servers(service id.Service) []serverlist.Server {
	if *cf.changed != nil {
		return *cf.changed
	}
	return cf.fakeFleet.Servers(service)
}

const plainType = "application/octet-stream"

// TestCrashEndsAnswerWithoutLength checks that a response without length and chunks counts as complete only if its server
// still runs after the end, as the same start. If it does not, or if that can't be found out, the request is sent to
// another server or the stream resumed there where that is allowed, and otherwise the response is broken off. A refused
// connection counts as a crash of the request's content, and does not clear the earlier ones.
func TestCrashEndsAnswerWithoutLength(t *testing.T) {
	const piece1, piece2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	first := serverlist.Server{ID: "one", Service: "service", Address: "one:80", StartedAtMillis: 1}
	second := serverlist.Server{ID: "two", Service: "service", Address: "two:80", StartedAtMillis: 1}
	leaving, again, successor := first, first, first
	leaving.Draining = true
	again.StartedAtMillis = math.MaxInt64
	successor.ID, successor.StartedAtMillis = "three", again.StartedAtMillis
	plainOnce, plainTwice := route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, route.Route{Kind: route.Idempotent, MaxAttempts: 2}
	streamOnce, streamTwice := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2}, route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2, Resumable: true}
	streamThrice := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 3, Resumable: true}
	plainStream := route.Route{Kind: route.Streaming, MaxAttempts: 1}
	alive, dead, silent := []forward.ProbeResult{forward.Reachable}, []forward.ProbeResult{forward.ConnectionRefused}, []forward.ProbeResult{forward.Unresponsive}
	long := strings.Repeat("x", int(forward.DefaultConfig().ResponseBufferBytes)+1)
	for _, tc := range []struct {
		name         string
		route        route.Route
		bodies       []string
		probeResults []forward.ProbeResult
		// listed is the list of servers once the first response has arrived; empty if it is unchanged.
		listed   []serverlist.Server
		status   int
		complete bool
		want     string
		sends    int
		// crashes is the number of crashes of the content afterwards, of which one was counted before.
		crashes int
	}{
		{name: "plain, crash", route: plainTwice, bodies: []string{"ab", "abc"}, probeResults: dead, complete: true, want: "abc", sends: 2},
		{name: "plain, not repeatable, crash", route: plainOnce, bodies: []string{"ab"}, probeResults: dead, sends: 1, crashes: 2},
		{name: "plain, empty, crash", route: plainOnce, bodies: []string{""}, probeResults: dead, sends: 1, crashes: 2},
		{name: "plain, long, crash", route: plainTwice, bodies: []string{long}, probeResults: dead, want: long, sends: 1, crashes: 2},
		{name: "plain, silent", route: plainTwice, bodies: []string{"ab", "abc"}, probeResults: silent, complete: true, want: "abc", sends: 2},
		{name: "plain, not repeatable, silent", route: plainOnce, bodies: []string{"ab"}, probeResults: silent, sends: 1, crashes: 1},
		{name: "plain, undetermined", route: plainTwice, bodies: []string{"ab", "abc"}, probeResults: []forward.ProbeResult{forward.Undetermined}, complete: true, want: "abc", sends: 2},
		{name: "plain, started again", route: plainOnce, bodies: []string{"ab"}, probeResults: alive, listed: []serverlist.Server{again, second}, sends: 1, crashes: 2},
		{name: "plain, successor at the address", route: plainOnce, bodies: []string{"ab"}, probeResults: alive, listed: []serverlist.Server{successor, second}, sends: 1, crashes: 2},
		{name: "stream of a plain service, crash", route: plainStream, bodies: []string{piece1}, probeResults: dead, want: piece1, sends: 1, crashes: 2},
		{name: "stream, crash", route: streamTwice, bodies: []string{piece1, piece2}, probeResults: dead, complete: true, want: piece1 + piece2, sends: 2},
		{name: "stream, crash after a part of a comment", route: streamTwice, bodies: []string{piece1 + ": comm", piece2}, probeResults: dead, complete: true, want: piece1 + piece2, sends: 2},
		{name: "stream, crash after its last event", route: streamTwice, bodies: []string{piece1 + piece2, ""}, probeResults: dead, complete: true, want: piece1 + piece2, sends: 2},
		{name: "stream, broken off twice after a crash", route: streamTwice, bodies: []string{piece1 + piece2, "id: 3\nda", "id: 3\nda"}, probeResults: dead, want: piece1 + piece2, sends: 3, crashes: 2},
		{name: "stream, resumed with a part of a comment", route: streamThrice, bodies: []string{piece1 + "id: 2\nda", ": comm", piece2}, probeResults: dead, complete: true, want: piece1 + piece2, sends: 3},
		{name: "stream, not resumable, crash", route: streamOnce, bodies: []string{piece1}, probeResults: dead, want: piece1, sends: 1, crashes: 2},
		{name: "stream, not resumable, started again", route: streamOnce, bodies: []string{piece1}, probeResults: alive, listed: []serverlist.Server{again, second}, want: piece1, sends: 1, crashes: 2},

		{name: "plain", route: plainOnce, bodies: []string{"abc"}, probeResults: alive, complete: true, want: "abc", sends: 1},
		{name: "plain, empty", route: plainOnce, bodies: []string{""}, probeResults: alive, complete: true, sends: 1},
		{name: "plain, long", route: plainOnce, bodies: []string{long}, probeResults: alive, complete: true, want: long, sends: 1},
		{name: "plain, through a peer", route: plainOnce, bodies: []string{"abc"}, probeResults: []forward.ProbeResult{forward.ReachableThroughPeer}, complete: true, want: "abc", sends: 1},
		{name: "plain, not repeatable, silent for a moment", route: plainOnce, bodies: []string{"abc"}, probeResults: []forward.ProbeResult{forward.Unresponsive, forward.Undetermined, forward.Reachable}, complete: true, want: "abc", sends: 1},
		{name: "plain, no other attempt, silent for a moment", route: route.Route{Kind: route.Idempotent, MaxAttempts: 1}, bodies: []string{"abc"}, probeResults: []forward.ProbeResult{forward.Unresponsive, forward.Undetermined, forward.Reachable}, complete: true, want: "abc", sends: 1},
		{name: "plain, long, silent for a moment", route: plainTwice, bodies: []string{long}, probeResults: []forward.ProbeResult{forward.Unresponsive, forward.Reachable}, complete: true, want: long, sends: 1},
		{name: "plain, leaving", route: plainOnce, bodies: []string{"abc"}, probeResults: alive, listed: []serverlist.Server{leaving, second}, complete: true, want: "abc", sends: 1},
		{name: "plain, no longer listed", route: plainOnce, bodies: []string{"abc"}, probeResults: alive, listed: []serverlist.Server{second}, complete: true, want: "abc", sends: 1},
		{name: "plain, failure", route: plainOnce, bodies: []string{"no"}, probeResults: dead, status: http.StatusNotFound, complete: true, want: "no", sends: 1, crashes: 1},
		{name: "stream of a plain service", route: plainStream, bodies: []string{piece1}, probeResults: alive, complete: true, want: piece1, sends: 1},
		{name: "stream", route: streamOnce, bodies: []string{piece1 + piece2}, probeResults: alive, complete: true, want: piece1 + piece2, sends: 1},
		{name: "stream, comment at its end", route: streamOnce, bodies: []string{piece1 + ": comment"}, probeResults: alive, complete: true, want: piece1 + ": comment", sends: 1},
		{name: "stream, no other attempt, silent for a moment", route: route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1, Resumable: true}, bodies: []string{piece1}, probeResults: []forward.ProbeResult{forward.Unresponsive, forward.Reachable}, complete: true, want: piece1, sends: 1},
		{name: "stream, leaving", route: streamOnce, bodies: []string{piece1 + piece2}, probeResults: alive, listed: []serverlist.Server{leaving, second}, complete: true, want: piece1 + piece2, sends: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newLocalQuarantine()
				fingerprint := id.NewFingerprint("", []byte("/chat"), nil)
				table.Learn(time.Now(), quarantine.Evidence{Fingerprint: fingerprint, Crash: 7, Status: quarantine.Confirmed})
				var changed []serverlist.Server
				fleet := changingFleet{fakeFleet{listed: []serverlist.Server{first, second}, announcedLeaving: map[id.BackendServer]bool{}}, &changed}
				servers := &unframedServers{status: max(tc.status, http.StatusOK), contentType: plainType, bodies: tc.bodies, probeResults: tc.probeResults, sent: func() { changed = tc.listed }}
				if tc.route.Kind == route.Streaming {
					servers.contentType = eventStreamType
				}
				balancer := balance.New("", 1)
				balancer.EndRequest(time.Now(), second, balance.ErrorResponse, nil, time.Millisecond)
				rn := newRunner(forward.Dependencies{
					Sender: servers, Fleet: fleet, Quarantine: table, Balancer: balancer,
					Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two"), grantOn("3", "three"), grantOn("4", "four")}},
				})
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{
					ID: "request", Target: "/chat", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: tc.route,
				}, client)
				assert.Equal(t, result.Complete, tc.complete, "%+v", result)
				assert.Assert(t, client.body.String() == tc.want, "%d bytes", client.body.Len())
				assert.Equal(t, len(servers.sentTo), tc.sends)
				assert.Equal(t, table.ConfirmedCrashes(fingerprint), tc.crashes)
				switch {
				case tc.route.Resumable && tc.sends > 1:
					assert.Equal(t, servers.resumedAfter[1], strconv.Itoa(strings.Count(tc.bodies[0], "data:")))
				case tc.status == http.StatusNotFound:
					assert.Equal(t, servers.probes, 0)
				case tc.complete && tc.sends == 1 && len(tc.probeResults) == 1:
					assert.Equal(t, servers.probes, 1)
				case !tc.complete:
					assert.Equal(t, result.HeadSent, tc.want != "")
				}
			})
		})
	}
}
