package forward_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// fakeDispatcher hands out its grants in order and records how attempts end. A failover attempt and the attempt that it was
// started for may call it at the same time.
type fakeDispatcher struct {
	// mutex guards the fields below during a request.
	mutex  sync.Mutex
	grants []batch.Grant
	ended  []broker.EndedGrant
	// backoffs holds the engine backoffs in each call of Acquire.
	backoffs []map[id.Engine]time.Time
	// waitLimitAt holds the time until which the client waits, for each call of Acquire.
	waitLimitAt []time.Time
	// unanswered says, for each call of Acquire, whether the client had received nothing yet.
	unanswered []bool
	// faultAt is when the first fault was reported.
	faultAt time.Time
}

func (fd *fakeDispatcher) Acquire(ctx context.Context, grantRequest broker.GrantRequest) (batch.Grant, outcome.Outcome) {
	fd.mutex.Lock()
	defer fd.mutex.Unlock()
	fd.backoffs = append(fd.backoffs, grantRequest.BackoffUntil)
	fd.unanswered = append(fd.unanswered, grantRequest.Unanswered)
	fd.waitLimitAt = append(fd.waitLimitAt, grantRequest.ArrivedAt.Add(grantRequest.WaitLimit))
	if ctx.Err() != nil || len(fd.grants) == 0 {
		return batch.Grant{}, outcome.Refuse(outcome.NoCapacity, "no engine is left")
	}
	grant := fd.grants[0]
	fd.grants = fd.grants[1:]
	return grant, outcome.Outcome{Kind: outcome.Finished}
}
func (fd *fakeDispatcher) ReportStarted(id.Attempt) {}
func (fd *fakeDispatcher) ReportEnded(ended broker.EndedGrant) {
	fd.mutex.Lock()
	defer fd.mutex.Unlock()
	fd.ended = append(fd.ended, ended)
	if ended.Fault != batch.NoFault && fd.faultAt.IsZero() {
		fd.faultAt = time.Now()
	}
}

// fakeServers responds to every attempt with a stream of one event and records the addresses.
type fakeServers struct{ sentTo []string }

func (sv *fakeServers) Send(_ context.Context, attempt forward.Attempt) (forward.Response, error) {
	sv.sentTo = append(sv.sentTo, attempt.Address)
	return forward.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}, nil
}

func (sv *fakeServers) ProbeHTTP(context.Context, string) forward.ProbeResult {
	return forward.Reachable
}

func (sv *fakeServers) ProbeConnection(context.Context, string) forward.ProbeResult {
	return forward.Reachable
}

func (sv *fakeServers) Reserve(context.Context, batch.Part, time.Duration) (bool, error) {
	return true, nil
}
func (sv *fakeServers) Release(context.Context, batch.Part) error { return nil }

// fakeFleet is a server list with settable leaving servers.
type fakeFleet struct {
	listed          []serverlist.Server
	listedAsLeaving map[id.BackendServer]bool
	// announcedLeaving holds the servers that announced that they are leaving.
	announcedLeaving map[id.BackendServer]bool
	// evacuated reports which servers are evacuated; nil if none is.
	evacuated func(server id.BackendServer) bool
	age       time.Duration
}

// Servers returns the listed servers. Those that announced that they are leaving are marked as draining, evacuated ones as
// evacuated.
func (fl fakeFleet) Servers(id.Service) []serverlist.Server {
	listed := slices.Clone(fl.listed)
	for ix, server := range listed {
		listed[ix].Draining = server.Draining || fl.announcedLeaving[server.ID]
		listed[ix].Evacuated = fl.Evacuated(server.ID)
	}
	return listed
}

func (fl fakeFleet) Evacuated(server id.BackendServer) bool {
	return fl.evacuated != nil && fl.evacuated(server)
}

func (fl fakeFleet) ListedAsLeaving(server id.BackendServer) bool { return fl.listedAsLeaving[server] }

func (fl fakeFleet) ShownAsDraining(server serverlist.Server) bool {
	return slices.ContainsFunc(fl.listed, func(listed serverlist.Server) bool {
		return listed.ID == server.ID && listed.StartedAtMillis == server.StartedAtMillis && listed.Draining
	})
}
func (fl fakeFleet) ListAge() time.Duration { return fl.age }
func (fl fakeFleet) AnnouncedLeaving(server id.BackendServer) bool {
	return fl.announcedLeaving[server]
}

func (fl fakeFleet) RecordLeaving(server id.BackendServer) bool {
	recorded := fl.announcedLeaving[server]
	fl.announcedLeaving[server] = true
	return !recorded
}

// fakeClient is a Sink that collects the body.
type fakeClient struct{ body strings.Builder }

func (fc *fakeClient) WriteHead(int, http.Header, int64) error { return nil }
func (fc *fakeClient) Write(chunk []byte) error {
	_, _ = fc.body.Write(chunk)
	return nil
}

// emptyQuarantine lets every content run.
type emptyQuarantine struct{}

func (emptyQuarantine) Judge(quarantine.Content) quarantine.Verdict {
	return quarantine.Verdict{Decision: quarantine.Run}
}
func (emptyQuarantine) EvidenceAbout([]id.PromptPart) []quarantine.Evidence { return nil }

func (emptyQuarantine) CrashConfirmedAt(quarantine.CrashID) (time.Time, bool) {
	return time.Time{}, false
}
func (emptyQuarantine) LearnLocalEvidence(id.Service, ...quarantine.Evidence) {}
func (emptyQuarantine) RequestCompleted(id.Service, quarantine.Content)       {}

// unlimited knows of no limits.
type unlimited struct{}

func (unlimited) Rate(serverlist.Server) serverlimit.Rate { return 0 }
func (unlimited) Acquire(context.Context, id.Service, []serverlist.Server, time.Duration) requestlimit.Permit {
	return requestlimit.Permit{}
}
func (unlimited) RecordResponse(serverlist.Server, time.Time, requestlimit.Named, bool) {}

func (unlimited) RecordLoss(serverlist.Server) {}

// newRunner returns a runner with defaults for the dependencies that are not set.
func newRunner(deps forward.Dependencies) *forward.Runner {
	deps.Host, deps.Incarnation, deps.Clock, deps.Seed = "host", 1, timer.NewSystem(), 1
	deps.Metrics, deps.Tracer = tally.NoopScope, noop.NewTracerProvider().Tracer("")
	if deps.Quarantine == nil {
		deps.Quarantine = emptyQuarantine{}
	}
	if deps.Limits == nil {
		deps.Limits = unlimited{}
	}
	if deps.Dispatcher == nil {
		deps.Dispatcher = &fakeDispatcher{}
	}
	if deps.Retries == nil {
		deps.Retries = retry.New(retry.DefaultConfig(), 1)
	}
	if deps.Balancer == nil {
		deps.Balancer = balance.New("", 1)
	}
	if deps.Logger == nil {
		deps.Logger = slog.New(slog.DiscardHandler)
	}
	return forward.NewRunner(forward.DefaultConfig(), deps)
}

// grantOn returns a grant on the given engines, each at the address of its name with port 80.
func grantOn(attempt string, engines ...string) batch.Grant {
	grant := batch.Grant{Attempt: id.Attempt(attempt)}
	for _, name := range engines {
		grant.Parts = append(grant.Parts, batch.Part{Engine: id.Engine(name), Address: name + ":80"})
	}
	return grant
}

// TestGrantOnEngineListedAsLeaving checks that nothing is sent under a grant with an engine that this host's server
// list shows as leaving, also if that engine is only a helper: the engine is reported to the dispatcher, and another
// grant is used. If the list is old, the engine is reported as full and not as gone.
func TestGrantOnEngineListedAsLeaving(t *testing.T) {
	for _, tc := range []struct {
		age   time.Duration
		fault batch.Fault
	}{{0, batch.Gone}, {5 * time.Second, batch.Full}} {
		dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "gone"), grantOn("2", "here", "gone"), grantOn("3", "here", "unknown")}}
		backends := &fakeServers{}
		serverList := fakeFleet{listedAsLeaving: map[id.BackendServer]bool{"gone": true}, age: tc.age}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: serverList})
		client := &fakeClient{}
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{
			ID: "request", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second),
			Route: route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1},
		}, client)
		assert.Assert(t, result.Complete, "%+v", result)
		assert.Equal(t, client.body.String(), "id: 1\ndata: a\n\n")
		assert.DeepEqual(t, backends.sentTo, []string{"here:80"})
		assert.Equal(t, len(dispatcher.ended), 3)
		for _, ended := range dispatcher.ended[:2] {
			assert.Equal(t, ended.FailedEngine, id.Engine("gone"))
			assert.Equal(t, ended.Fault, tc.fault)
		}
	}
}
