package forward_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// places gives grants in order and notes how they end.
type places struct {
	grants []batch.Grant
	ended  []broker.EndedGrant
	// banned holds what each Ask said of engines that are to be left alone.
	banned []map[id.Engine]time.Time
	// until holds when the client of each Ask leaves.
	until []time.Time
}

func (pl *places) Acquire(ctx context.Context, ask broker.GrantRequest) (batch.Grant, outcome.Outcome) {
	pl.banned = append(pl.banned, ask.BackoffUntil)
	pl.until = append(pl.until, ask.ArrivedAt.Add(ask.WaitLimit))
	if ctx.Err() != nil || len(pl.grants) == 0 {
		return batch.Grant{}, outcome.Refuse(outcome.NoCapacity, "no engine is left")
	}
	grant := pl.grants[0]
	pl.grants = pl.grants[1:]
	return grant, outcome.Outcome{Kind: outcome.Finished}
}
func (pl *places) ReportStarted(id.Attempt)  {}
func (pl *places) ReportEnded(en broker.EndedGrant) { pl.ended = append(pl.ended, en) }

// servers answers every attempt with a stream of one event and notes where it was sent.
type servers struct{ sent []string }

func (sv *servers) Send(_ context.Context, at forward.Attempt) (forward.Response, error) {
	sv.sent = append(sv.sent, at.Address)
	return forward.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}, nil
}
func (sv *servers) Alive(context.Context, string) bool { return true }

func (sv *servers) Probe(context.Context, string) forward.Health { return forward.Reachable }
func (sv *servers) Reserve(context.Context, string, string, id.Tokens, time.Duration) (bool, error) {
	return true, nil
}
func (sv *servers) Release(context.Context, string, string) error { return nil }

// fleet knows which servers are leaving.
type fleet struct {
	listed  []roster.Server
	leaving map[id.BackendServer]bool
	// left holds the servers that said that they are leaving.
	left map[id.BackendServer]bool
	age  time.Duration
}

// Servers returns the listed servers, those that said that they are leaving as draining.
func (fl fleet) Servers(id.Service) []roster.Server {
	listed := slices.Clone(fl.listed)
	for ix, sv := range listed {
		listed[ix].Draining = sv.Draining || fl.left[sv.ID]
	}
	return listed
}

func (fl fleet) ListedAsLeaving(server id.BackendServer) bool { return fl.leaving[server] }
func (fl fleet) ListAge() time.Duration                   { return fl.age }
func (fl fleet) AnnouncedLeaving(server id.BackendServer) bool { return fl.left[server] }
func (fl fleet) RecordLeaving(server id.BackendServer) bool {
	known := fl.left[server]
	fl.left[server] = true
	return !known
}

type sink struct{ body strings.Builder }

func (sk *sink) WriteHead(int, http.Header, int64) error { return nil }
func (sk *sink) Write(part []byte) error {
	_, _ = sk.body.Write(part)
	return nil
}

// innocent bars no content.
type innocent struct{}

func (innocent) Decide(id.Fingerprint) (quarantine.Decision, time.Duration) { return quarantine.Run, 0 }

func (innocent) CrashLearnedAt(quarantine.CrashID) (time.Time, bool) { return time.Time{}, false }
func (innocent) ReportEvidence(id.Service, quarantine.Evidence)      {}
func (innocent) Finished(id.Service, id.Fingerprint)        {}

// newRunner returns a runner with defaults for the parts that are missing.
func newRunner(parts forward.Dependencies) *forward.Runner {
	parts.Host, parts.Incarnation, parts.Clock, parts.Seed = "host", 1, timer.NewSystem(), 1
	parts.Metrics, parts.Tracer = tally.NoopScope, noop.NewTracerProvider().Tracer("")
	if parts.Quarantine == nil {
		parts.Quarantine = innocent{}
	}
	if parts.Dispatcher == nil {
		parts.Dispatcher = &places{}
	}
	if parts.Retries == nil {
		parts.Retries = retry.New(retry.DefaultConfig(), 1)
	}
	if parts.Balancer == nil {
		parts.Balancer = balance.New("", 1)
	}
	if parts.Logger == nil {
		parts.Logger = slog.New(slog.DiscardHandler)
	}
	return forward.NewRunner(forward.DefaultConfig(), parts)
}

func grantOn(attempt string, engines ...string) batch.Grant {
	grant := batch.Grant{Attempt: id.Attempt(attempt)}
	for _, name := range engines {
		grant.Parts = append(grant.Parts, batch.Part{Engine: id.Engine(name), Address: name + ":80"})
	}
	return grant
}

// TestLeavingEngines sends nothing to engines of a grant that the entry host knows to be leaving, also when one of them
// would only help: the dispatcher hears of them and gives another place. A host with an old list says only that the
// engine did not serve it now.
func TestLeavingEngines(t *testing.T) {
	for _, cs := range []struct {
		age   time.Duration
		fault batch.Fault
	}{{0, batch.Gone}, {5 * time.Second, batch.Full}} {
		pl := &places{grants: []batch.Grant{grantOn("1", "gone"), grantOn("2", "here", "gone"), grantOn("3", "here", "unknown")}}
		sv := &servers{}
		known := fleet{leaving: map[id.BackendServer]bool{"gone": true}, age: cs.age}
		rn := newRunner(forward.Dependencies{Servers: sv, Dispatcher: pl, Fleet: known})
		out := &sink{}
		now := time.Now()
		rs := rn.Run(t.Context(), &forward.Request{
			ID: "request", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second),
			Route: route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1},
		}, out)
		assert.Assert(t, rs.Complete, "%+v", rs)
		assert.Equal(t, out.body.String(), "id: 1\ndata: a\n\n")
		assert.DeepEqual(t, sv.sent, []string{"here:80"})
		assert.Equal(t, len(pl.ended), 3)
		for _, ended := range pl.ended[:2] {
			assert.Equal(t, ended.FailedEngine, id.Engine("gone"))
			assert.Equal(t, ended.Fault, cs.fault)
		}
	}
}
