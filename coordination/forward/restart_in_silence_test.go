package forward_test

import (
	"context"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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

// silentlyRestartingServers send responses that end with their connection, and respond to no probe of server one for a time
// after that.
type silentlyRestartingServers struct {
	unframedServers
	startedAt time.Time
	// silentFor is how long server one does not respond, probeTime how long a probe takes that it responds to.
	silentFor, probeTime time.Duration
	// acceptsFirst says that it accepts a connection before it is silent, answersNothing that it never answers HTTP requests,
	// and endsConnections that it ends each connection when a request arrives.
	acceptsFirst, answersNothing, endsConnections bool
	// exitsAfter is when server one exits in order, after which it refuses connections; zero for never.
	exitsAfter time.Duration
	// httpProbes counts the HTTP requests to server one.
	httpProbes atomic.Int32
}

func (sv *silentlyRestartingServers) ProbeHTTP(ctx context.Context, _ string) forward.ProbeResult {
	sv.httpProbes.Add(1)
	if sv.endsConnections {
		return forward.Unresponsive
	}
	if sv.answersNothing || time.Since(sv.startedAt) < sv.silentFor {
		<-ctx.Done()
		return forward.Unresponsive
	}
	return forward.Reachable
}

func (sv *silentlyRestartingServers) ProbeConnection(ctx context.Context, address string) forward.ProbeResult {
	if address != "one:80" {
		return forward.Reachable
	}
	sv.probes++
	if sv.exitsAfter > 0 && time.Since(sv.startedAt) >= sv.exitsAfter {
		return forward.ConnectionRefused
	}
	if time.Since(sv.startedAt) < sv.silentFor && !(sv.acceptsFirst && sv.probes == 1) {
		<-ctx.Done()
		return forward.Unresponsive
	}
	time.Sleep(sv.probeTime)
	return forward.Reachable
}

// lockedQuarantine is a localQuarantine that the stream monitor and its request may use at the same time.
type lockedQuarantine struct {
	localQuarantine
	mutex sync.Mutex
}

func (lq *lockedQuarantine) Judge(content quarantine.Content) quarantine.Verdict {
	lq.mutex.Lock()
	defer lq.mutex.Unlock()
	return lq.localQuarantine.Judge(content)
}

func (lq *lockedQuarantine) CrashConfirmedAt(crash quarantine.CrashID) (time.Time, bool) {
	lq.mutex.Lock()
	defer lq.mutex.Unlock()
	return lq.localQuarantine.CrashConfirmedAt(crash)
}

func (lq *lockedQuarantine) LearnLocalEvidence(service id.Service, evidence ...quarantine.Evidence) {
	lq.mutex.Lock()
	defer lq.mutex.Unlock()
	lq.localQuarantine.LearnLocalEvidence(service, evidence...)
}

func (lq *lockedQuarantine) RequestCompleted(service id.Service, content quarantine.Content) {
	lq.mutex.Lock()
	defer lq.mutex.Unlock()
	lq.localQuarantine.RequestCompleted(service, content)
}

// periodicFleet is a server list that is read in periods, and not at all from outageAt on unless that is zero.
type periodicFleet struct {
	fakeFleet
	startedAt time.Time
	outageAt  time.Duration
	// changedAt is when the store's list becomes changed; zero for never.
	changedAt time.Duration
	changed   []serverlist.Server
}

// readAt returns when the list was last read.
func (pf *periodicFleet) readAt() time.Duration {
	const period = 400 * time.Millisecond
	now := time.Since(pf.startedAt)
	if pf.outageAt > 0 {
		now = min(now, pf.outageAt)
	}
	return now.Truncate(period)
}

func (pf *periodicFleet) ListAge() time.Duration { return time.Since(pf.startedAt) - pf.readAt() }

func (pf *periodicFleet) Servers(service id.Service) []serverlist.Server {
	if pf.changedAt > 0 && pf.readAt() >= pf.changedAt {
		return pf.changed
	}
	return pf.fakeFleet.Servers(service)
}

// TestServerThatRestartsInSilenceMakesPartWhole checks that a response without length and chunks whose server was silent
// after its end counts as complete only once a list that was read after the silence shows the same start of the server. A
// request that can't be sent once more is broken off otherwise, and does not clear the crashes of its content. A server that
// accepts a connection at once needs no such list.
func TestServerThatRestartsInSilenceMakesPartWhole(t *testing.T) {
	const piece, silence = "id: 1\ndata: a\n\n", 800 * time.Millisecond
	first := serverlist.Server{ID: "one", Service: "service", Address: "one:80", StartedAtMillis: 1}
	second := serverlist.Server{ID: "two", Service: "service", Address: "two:80", StartedAtMillis: 1}
	again, successor, leaving := first, first, first
	again.StartedAtMillis = math.MaxInt64
	successor.ID, successor.StartedAtMillis = "three", again.StartedAtMillis
	leaving.Draining = true
	long := strings.Repeat("x", int(forward.DefaultConfig().ResponseBufferBytes)+1)
	kinds := []struct {
		name  string
		route route.Route
		body  string
	}{
		{"plain", route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, "ab"},
		{"plain, long", route.Route{Kind: route.Idempotent, MaxAttempts: 2}, long},
		{"plain, no other attempt", route.Route{Kind: route.Idempotent, MaxAttempts: 1}, "ab"},
		{"stream of a plain service", route.Route{Kind: route.Streaming, MaxAttempts: 1}, piece},
		{"stream", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2}, piece},
		{"stream, no other attempt", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1, Resumable: true}, piece},
	}
	for _, tc := range []struct {
		name                 string
		silentFor, probeTime time.Duration
		// acceptsFirst, answersNothing, endsConnections and exitsAfter have the same meaning as in silentlyRestartingServers,
		// outageAt and changedAt as in periodicFleet.
		acceptsFirst, answersNothing, endsConnections bool
		exitsAfter                                    time.Duration
		outageAt, changedAt                           time.Duration
		listed                                        []serverlist.Server
		complete                                      bool
		// maxTime bounds the time until the end of the response.
		maxTime time.Duration
	}{
		{name: "started again", silentFor: silence, changedAt: silence + 10*time.Millisecond, listed: []serverlist.Server{again, second}, maxTime: 3 * time.Second},
		{name: "started again under another id", silentFor: silence, changedAt: silence + 10*time.Millisecond, listed: []serverlist.Server{first, second, successor}, maxTime: 3 * time.Second},
		{name: "started again, listed later", silentFor: silence, changedAt: silence + 900*time.Millisecond, listed: []serverlist.Server{again, second}, maxTime: 3 * time.Second},
		{name: "started again within the first probe", probeTime: 300 * time.Millisecond, changedAt: 450 * time.Millisecond, listed: []serverlist.Server{first, second, successor}, maxTime: 3 * time.Second},
		{name: "started again, last connection accepted", silentFor: silence, acceptsFirst: true, changedAt: silence + 10*time.Millisecond, listed: []serverlist.Server{again, second}, maxTime: 3 * time.Second},
		{name: "started again, last connection ended", silentFor: silence, acceptsFirst: true, endsConnections: true, changedAt: silence + 10*time.Millisecond, listed: []serverlist.Server{again, second}, maxTime: 3 * time.Second},
		{name: "silent for long, last connection accepted", silentFor: time.Minute, acceptsFirst: true, maxTime: 3 * time.Second},
		{name: "no longer listed", silentFor: silence, changedAt: silence, listed: []serverlist.Server{second}, maxTime: 3 * time.Second},
		{name: "outage of the store before the end", silentFor: silence, outageAt: time.Nanosecond, maxTime: 3 * time.Second},
		{name: "outage of the store in the silence", silentFor: silence, outageAt: 500 * time.Millisecond, maxTime: 3 * time.Second},

		{name: "silent", silentFor: silence, complete: true, maxTime: silence + 1700*time.Millisecond},
		{name: "slow to accept", probeTime: 300 * time.Millisecond, complete: true, maxTime: 2 * time.Second},
		{name: "drains and exits in order", changedAt: time.Nanosecond, listed: []serverlist.Server{leaving, second}, exitsAfter: 10 * time.Millisecond, complete: true},
		{name: "ends connections", endsConnections: true, complete: true},
		{name: "answers no probe", answersNothing: true, complete: true, maxTime: 2 * time.Second},
		{name: "silent and leaving", silentFor: silence, changedAt: silence, listed: []serverlist.Server{leaving, second}, complete: true, maxTime: silence + 1700*time.Millisecond},
		{name: "at once", complete: true},
		{name: "at once, in an outage of the store", outageAt: time.Nanosecond, complete: true},
		{name: "after some time, in an outage of the store", outageAt: time.Nanosecond, probeTime: 200 * time.Millisecond, complete: true, maxTime: 200 * time.Millisecond},
	} {
		for _, kind := range kinds {
			t.Run(tc.name+"/"+kind.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					// Probes of the stream monitor end within this time.
					defer time.Sleep(time.Second)
					table := &lockedQuarantine{localQuarantine: newLocalQuarantine()}
					fingerprint := id.NewFingerprint("", []byte("/chat"), nil)
					table.Learn(time.Now(), quarantine.Evidence{Fingerprint: fingerprint, Crash: 7, Status: quarantine.Confirmed})
					now := time.Now()
					servers := &silentlyRestartingServers{
						unframedServers: unframedServers{status: http.StatusOK, contentType: plainType, bodies: []string{kind.body}},
						startedAt:       now, silentFor: tc.silentFor, probeTime: tc.probeTime, acceptsFirst: tc.acceptsFirst, answersNothing: tc.answersNothing, endsConnections: tc.endsConnections, exitsAfter: tc.exitsAfter,
					}
					if kind.route.Kind == route.Streaming {
						servers.contentType = eventStreamType
					}
					balancer := balance.New("", 1)
					balancer.EndRequest(now, second, balance.ErrorResponse, nil, time.Millisecond)
					fleet := &periodicFleet{
						fakeFleet: fakeFleet{listed: []serverlist.Server{first, second}, announcedLeaving: map[id.BackendServer]bool{}},
						startedAt: now, outageAt: tc.outageAt, changedAt: tc.changedAt, changed: tc.listed,
					}
					rn := newRunner(forward.Dependencies{
						Sender: servers, Fleet: fleet, Quarantine: table, Balancer: balancer,
						Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}},
					})
					client := &fakeClient{}
					result := rn.Run(t.Context(), &forward.Request{
						ID: "request", Target: "/chat", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: kind.route,
					}, client)
					took := time.Since(now)
					assert.Equal(t, result.Complete, tc.complete, "%+v", result)
					assert.Equal(t, len(servers.sentTo), 1)
					assert.Equal(t, servers.sentTo[0], "one")
					assert.Assert(t, took <= tc.maxTime, "%s", took)
					switch {
					case !tc.complete:
						assert.Assert(t, table.ConfirmedCrashes(fingerprint) >= 1)
					case tc.maxTime < time.Second:
						assert.Assert(t, servers.probes == 1 || tc.endsConnections && servers.probes == 2, "%d", servers.probes)
						assert.Equal(t, servers.httpProbes.Load(), int32(1))
					}
				})
			})
		}
	}
}
