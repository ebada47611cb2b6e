package servicecall_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// fakePlatform fakes two servers and the log of claims. Each send takes the next of sendResults; further sends are
// answered.
type fakePlatform struct {
	// sendResults are the results of the sends in order. A zero result hangs until the context has ended.
	sendResults []servicecall.SendResult
	// sentTo lists the addresses of all sends in order.
	sentTo       []string
	claimVerdict claim.Verdict
	// claimDelay is how long the claimant is paused between winning its claim and learning of it.
	claimDelay       time.Duration
	appendedEntries  []claim.Entry
	lastObservations map[string]fleet.Observation
}

func (fp *fakePlatform) Servers(id.Service) []fleet.BackendServer {
	return []fleet.BackendServer{{Name: "one", Address: "one"}, {Name: "two", Address: "two"}}
}

func (fp *fakePlatform) RecordObservation(name string, observation fleet.Observation) {
	fp.lastObservations[name] = observation
}

func (fp *fakePlatform) Send(ctx context.Context, address string, _ servicecall.Request) (servicecall.Response, servicecall.SendResult) {
	fp.sentTo = append(fp.sentTo, address)
	result := servicecall.Answered
	if len(fp.sendResults) > 0 {
		result = fp.sendResults[0]
		fp.sendResults = fp.sendResults[1:]
	}
	if result == 0 {
		<-ctx.Done()
		return servicecall.Response{}, servicecall.MayHaveRun
	}
	return servicecall.Response{Status: http.StatusOK, Body: []byte("booked")}, result
}

func (fp *fakePlatform) Append(ctx context.Context, entry claim.Entry) claim.Answer {
	fp.appendedEntries = append(fp.appendedEntries, entry)
	if entry.Kind != claim.Claimed {
		return claim.Answer{Verdict: claim.Done}
	}
	if fp.claimVerdict == claim.Unavailable {
		<-ctx.Done()
	}
	time.Sleep(fp.claimDelay)
	return claim.Answer{Verdict: fp.claimVerdict}
}

// runCall runs a call with a deadline of 5 s and waits until its appends have ended.
func runCall(platform *fakePlatform, call servicecall.Call) (servicecall.Response, outcome.Outcome) {
	platform.lastObservations = map[string]fleet.Observation{}
	runner := servicecall.NewRunner(timer.NewSystem(), platform, platform, platform, retry.New(retry.DefaultConfig(), 1),
		tally.NoopScope, noop.NewTracerProvider().Tracer(""), 1)
	call.ID = "host.1.1"
	call.Service = "orders-app"
	call.Deadline = time.Now().Add(5 * time.Second)
	response, callOutcome := runner.Run(context.Background(), call)
	runner.Wait()
	return response, callOutcome
}

func (fp *fakePlatform) appendedKinds() []claim.EntryKind {
	var kinds []claim.EntryKind
	for _, entry := range fp.appendedEntries {
		kinds = append(kinds, entry.Kind)
	}
	return kinds
}

// TestCallOutcomes checks the outcome of each combination of claim verdict and send results, how often the call is
// sent, and which entries it appends to the log.
func TestCallOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name         string
		key          string
		idempotent   bool
		claimVerdict claim.Verdict
		claimDelay   time.Duration
		sendResults  []servicecall.SendResult
		wantKind     outcome.Kind
		wantSends    int
		wantEntries  []claim.EntryKind
	}{
		{name: "claim won, answered", key: "k", claimVerdict: claim.Won, wantKind: outcome.Finished, wantSends: 1, wantEntries: []claim.EntryKind{claim.Claimed, claim.Completed}},
		{name: "claim lost", key: "k", claimVerdict: claim.Lost, wantKind: outcome.Failed, wantEntries: []claim.EntryKind{claim.Claimed}},
		{name: "log unavailable", key: "k", claimVerdict: claim.Unavailable, wantKind: outcome.Refused, wantEntries: []claim.EntryKind{claim.Claimed, claim.Abandoned}},
		{name: "paused past the deadline after the claim won", key: "k", claimVerdict: claim.Won, claimDelay: time.Minute, wantKind: outcome.Refused, wantEntries: []claim.EntryKind{claim.Claimed, claim.Abandoned}},
		{name: "response lost", key: "k", claimVerdict: claim.Won, sendResults: []servicecall.SendResult{servicecall.MayHaveRun}, wantKind: outcome.Failed, wantSends: 1, wantEntries: []claim.EntryKind{claim.Claimed}},
		{name: "not sent, then answered", key: "k", claimVerdict: claim.Won, sendResults: []servicecall.SendResult{servicecall.NotSent}, wantKind: outcome.Finished, wantSends: 2, wantEntries: []claim.EntryKind{claim.Claimed, claim.Completed}},
		{name: "refused, then response lost", key: "k", claimVerdict: claim.Won, sendResults: []servicecall.SendResult{servicecall.ServerRefused, servicecall.MayHaveRun}, wantKind: outcome.Failed, wantSends: 2, wantEntries: []claim.EntryKind{claim.Claimed}},
		{name: "key on an idempotent method", key: "k", idempotent: true, claimVerdict: claim.Won, sendResults: []servicecall.SendResult{servicecall.MayHaveRun}, wantKind: outcome.Failed, wantSends: 1, wantEntries: []claim.EntryKind{claim.Claimed}},
		{name: "no key, not idempotent", sendResults: []servicecall.SendResult{servicecall.MayHaveRun}, wantKind: outcome.Failed, wantSends: 1},
		{name: "no key, idempotent", idempotent: true, sendResults: []servicecall.SendResult{servicecall.MayHaveRun}, wantKind: outcome.Finished, wantSends: 2},
		{name: "server hangs", sendResults: []servicecall.SendResult{0}, wantKind: outcome.Failed, wantSends: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := &fakePlatform{sendResults: tc.sendResults, claimVerdict: tc.claimVerdict, claimDelay: tc.claimDelay}
				startedAt := time.Now()
				_, callOutcome := runCall(platform, servicecall.Call{IdempotencyKey: tc.key, Idempotent: tc.idempotent})
				assert.Equal(t, callOutcome.Kind, tc.wantKind, callOutcome.Detail)
				assert.Equal(t, len(platform.sentTo), tc.wantSends)
				assert.DeepEqual(t, platform.appendedKinds(), tc.wantEntries)
				if tc.claimDelay == 0 {
					assert.Assert(t, time.Since(startedAt) <= 5*time.Second+100*time.Millisecond)
				}
				if tc.wantKind == outcome.Refused {
					assert.Assert(t, callOutcome.RetryAfter > 0)
				}
			})
		})
	}
}
