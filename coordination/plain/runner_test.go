package plain_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/plain"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { checks.Main(m) }

// backends are servers with scripted results and claims with a scripted verdict.
type backends struct {
	results []plain.SendResult
	sent    []string
	verdict claim.Verdict
	// pause is how long the claimant is stopped between winning and going on.
	pause   time.Duration
	entries []claim.Entry
	evil    map[string]fleet.Evidence
}

func (be *backends) Servers(id.Service) []fleet.BackendServer {
	return []fleet.BackendServer{{Name: "one", Address: "one"}, {Name: "two", Address: "two"}}
}

func (be *backends) RecordEvidence(name string, ev fleet.Evidence) { be.evil[name] = ev }

func (be *backends) Send(ctx context.Context, address string, _ plain.Request) (plain.Response, plain.SendResult) {
	be.sent = append(be.sent, address)
	result := plain.Answered
	if len(be.results) > 0 {
		result = be.results[0]
		be.results = be.results[1:]
	}
	if result == 0 {
		<-ctx.Done()
		return plain.Response{}, plain.MayHaveRun
	}
	return plain.Response{Status: http.StatusOK, Body: []byte("booked")}, result
}

func (be *backends) Claim(ctx context.Context, en claim.Entry) claim.Answer {
	be.entries = append(be.entries, en)
	if en.Kind != claim.Claimed {
		return claim.Answer{Verdict: claim.Done}
	}
	if be.verdict == claim.Unavailable {
		<-ctx.Done()
	}
	time.Sleep(be.pause)
	return claim.Answer{Verdict: be.verdict}
}

func run(be *backends, call plain.Call) (plain.Response, outcome.Outcome) {
	be.evil = map[string]fleet.Evidence{}
	runner := plain.NewRunner(timer.NewSystem(), be, be, be, retry.New(retry.DefaultConfig(), 1),
		tally.NoopScope, noop.NewTracerProvider().Tracer(""), 1)
	call.ID = "host.1.1"
	call.Service = "orders-app"
	call.Deadline = time.Now().Add(5 * time.Second)
	answer, oc := runner.Run(context.Background(), call)
	runner.Wait()
	return answer, oc
}

func (be *backends) kinds() []claim.EntryKind {
	var kinds []claim.EntryKind
	for _, en := range be.entries {
		kinds = append(kinds, en.Kind)
	}
	return kinds
}

func TestCallOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name       string
		key        string
		idempotent bool
		verdict    claim.Verdict
		pause      time.Duration
		results    []plain.SendResult
		kind       outcome.Kind
		sent       int
		entries    []claim.EntryKind
	}{
		{name: "won and answered", key: "k", verdict: claim.Won, kind: outcome.Finished, sent: 1, entries: []claim.EntryKind{claim.Claimed, claim.Completed}},
		{name: "lost", key: "k", verdict: claim.Lost, kind: outcome.Failed, entries: []claim.EntryKind{claim.Claimed}},
		{name: "log down", key: "k", verdict: claim.Unavailable, kind: outcome.Refused, entries: []claim.EntryKind{claim.Claimed, claim.Abandoned}},
		{name: "paused past its deadline after winning", key: "k", verdict: claim.Won, pause: time.Minute, kind: outcome.Refused, entries: []claim.EntryKind{claim.Claimed, claim.Abandoned}},
		{name: "answer lost", key: "k", verdict: claim.Won, results: []plain.SendResult{plain.MayHaveRun}, kind: outcome.Failed, sent: 1, entries: []claim.EntryKind{claim.Claimed}},
		{name: "not sent, then answered", key: "k", verdict: claim.Won, results: []plain.SendResult{plain.NotSent}, kind: outcome.Finished, sent: 2, entries: []claim.EntryKind{claim.Claimed, claim.Completed}},
		{name: "refused, then answer lost", key: "k", verdict: claim.Won, results: []plain.SendResult{plain.ServerRefused, plain.MayHaveRun}, kind: outcome.Failed, sent: 2, entries: []claim.EntryKind{claim.Claimed}},
		{name: "key on a method that may be repeated", key: "k", idempotent: true, verdict: claim.Won, results: []plain.SendResult{plain.MayHaveRun}, kind: outcome.Failed, sent: 1, entries: []claim.EntryKind{claim.Claimed}},
		{name: "no key, may not be repeated", results: []plain.SendResult{plain.MayHaveRun}, kind: outcome.Failed, sent: 1},
		{name: "no key, may be repeated", idempotent: true, results: []plain.SendResult{plain.MayHaveRun}, kind: outcome.Finished, sent: 2},
		{name: "server hangs", results: []plain.SendResult{0}, kind: outcome.Failed, sent: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				be := &backends{results: tc.results, verdict: tc.verdict, pause: tc.pause}
				started := time.Now()
				_, oc := run(be, plain.Call{IdempotencyKey: tc.key, Idempotent: tc.idempotent})
				assert.Equal(t, oc.Kind, tc.kind, oc.Detail)
				assert.Equal(t, len(be.sent), tc.sent)
				assert.DeepEqual(t, be.kinds(), tc.entries)
				if tc.pause == 0 {
					assert.Assert(t, time.Since(started) <= 5*time.Second+100*time.Millisecond)
				}
				if tc.kind == outcome.Refused {
					assert.Assert(t, oc.RetryAfter > 0)
				}
			})
		})
	}
}
