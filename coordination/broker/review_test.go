package broker_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// tableQuarantine judges by a table without sharing evidence with other hosts.
type tableQuarantine struct {
	mutex sync.Mutex
	table *quarantine.Table
}

func newTableQuarantine() *tableQuarantine {
	return &tableQuarantine{table: quarantine.New(quarantine.Config{CrashLimit: 3, TTL: time.Hour, Parts: quarantine.PartConfig{
		IsolatedCrashLimit: 2, CrashLimit: 4, SoundTTL: time.Hour, SoundCrashLimit: 3, FirstRetrial: time.Minute,
	}})}
}

func (tq *tableQuarantine) Judge(content quarantine.Content) quarantine.Verdict {
	tq.mutex.Lock()
	defer tq.mutex.Unlock()
	return tq.table.Judge(time.Now(), content)
}

func (tq *tableQuarantine) PartsCompleted(_ id.Service, parts []id.PromptPart) bool {
	tq.mutex.Lock()
	defer tq.mutex.Unlock()
	return len(tq.table.PartsCompleted(time.Now(), parts)) > 0
}

func (tq *tableQuarantine) LearnReportedEvidence(evidence quarantine.Evidence) {
	tq.mutex.Lock()
	defer tq.mutex.Unlock()
	tq.table.Learn(time.Now(), evidence)
}

// recordingPeers records the responses that a server delivers.
type recordingPeers struct {
	hostNetwork
	mutex     sync.Mutex
	responses map[id.Request]broker.GrantResponse
}

func (rp *recordingPeers) Dispatchers(id.Service) []id.Host { return nil }

func (rp *recordingPeers) StartedLate() bool { return false }

func (rp *recordingPeers) LeadsService(id.Service) bool { return true }

func (rp *recordingPeers) DeliverResponse(_ context.Context, _ id.Host, requestID id.Request, response broker.GrantResponse) (bool, error) {
	rp.mutex.Lock()
	defer rp.mutex.Unlock()
	rp.responses[requestID] = response
	return true, nil
}

// startServer starts a server with one engine that judges by a table of its own.
func startServer(t *testing.T) (*broker.Server, *recordingPeers, func()) {
	peers := &recordingPeers{responses: map[id.Request]broker.GrantResponse{}}
	server := broker.NewServer(batch.DefaultConfig(), timer.NewSystem(), singleEngineFleet{&network{}, "first"}, peers, newTableQuarantine(), tally.NoopScope, slog.New(slog.DiscardHandler), 1)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Run(ctx) })
	return server, peers, func() {
		cancel()
		running.Wait()
	}
}

var crashingPart = id.NewPromptPart("p")

// newPartRequest returns a request whose prompt has crashingPart, with the given evidence against the part.
func newPartRequest(name string, evidence ...quarantine.Evidence) broker.GrantRequest {
	return broker.GrantRequest{Service: service, Host: "second", Evidence: evidence, Request: batch.Request{
		ID: id.Request(name), PromptTokens: 2000, MaxAnswerTokens: 100, FirstEventTarget: time.Second, MaxPause: 250 * time.Millisecond,
		WaitLimit: 10 * time.Second, ArrivedAt: time.Now(), PromptParts: []id.PromptPart{crashingPart}, ContentFingerprint: id.NewFingerprint("", []byte(name)),
	}}
}

func partEvidence(crash quarantine.CrashID, status quarantine.CrashStatus) quarantine.Evidence {
	return quarantine.Evidence{Fingerprint: crashingPart.Fingerprint(), Crash: crash, Status: status}
}

// TestEvidenceRefusesWaitingRequest checks that a request which waits for the isolated run of another one with the same
// part is refused, and not granted the engine, when one report brings the end of that run and the evidence that refuses
// the part.
func TestEvidenceRefusesWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, peers, stop := startServer(t)
		defer stop()
		response, err := server.RequestGrant(newPartRequest("a", partEvidence(1, quarantine.Confirmed), partEvidence(2, quarantine.ConfirmedIsolated)))
		assert.NilError(t, err)
		assert.Assert(t, response.Grant != nil, "%+v", response)
		assert.DeepEqual(t, response.Grant.SuspectParts, []id.PromptPart{crashingPart})
		waiting, err := server.RequestGrant(newPartRequest("b"))
		assert.NilError(t, err)
		assert.Assert(t, waiting.Grant == nil && waiting.Refusal == nil, "%+v", waiting)
		server.HandleReport(broker.Report{
			Host: "second", Evidence: []quarantine.Evidence{partEvidence(3, quarantine.ConfirmedIsolated)},
			EndedGrants: []broker.EndedGrant{{Service: service, Request: "a", Attempt: response.Grant.Attempt}},
		})
		time.Sleep(time.Second)
		peers.mutex.Lock()
		defer peers.mutex.Unlock()
		assert.Assert(t, peers.responses["b"].Refusal != nil, "%+v", peers.responses["b"])
	})
}

// TestCompletedAnswerEndsIsolation checks that a dispatcher takes a part for sound once an answer with it was completed,
// also for requests that wait, and that the end of an attempt without an answer does not count.
func TestCompletedAnswerEndsIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, peers, stop := startServer(t)
		defer stop()
		response, err := server.RequestGrant(newPartRequest("a", partEvidence(1, quarantine.Confirmed)))
		assert.NilError(t, err)
		server.HandleReport(broker.Report{EndedGrants: []broker.EndedGrant{{Service: service, Request: "a", Attempt: response.Grant.Attempt}}})
		response, err = server.RequestGrant(newPartRequest("b"))
		assert.NilError(t, err)
		assert.Equal(t, len(response.Grant.SuspectParts), 1)
		_, err = server.RequestGrant(newPartRequest("c"))
		assert.NilError(t, err)
		server.HandleReport(broker.Report{
			StartedAttempts: []broker.StartedAttempt{{Service: service, Attempt: response.Grant.Attempt}},
			EndedGrants:     []broker.EndedGrant{{Service: service, Request: "b", Attempt: response.Grant.Attempt}},
		})
		time.Sleep(time.Second)
		response, err = server.RequestGrant(newPartRequest("d"))
		assert.NilError(t, err)
		assert.Equal(t, len(response.Grant.SuspectParts), 0)
		peers.mutex.Lock()
		defer peers.mutex.Unlock()
		assert.Assert(t, peers.responses["c"].Grant != nil)
	})
}

// TestNextDispatcherKeepsEngineOfIsolatedRequest checks that a dispatcher that takes over a grant of an isolated request
// gives its engine to no other request before the answer begins.
func TestNextDispatcherKeepsEngineOfIsolatedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, _, stop := startServer(t)
		defer stop()
		held := newPartRequest("a")
		grant := batch.Grant{Attempt: id.NewAttempt("a", 1), Parts: []batch.Part{{Engine: "engine-1", Address: "10.0.0.1:80"}}, SuspectParts: []id.PromptPart{crashingPart}}
		server.HandleReport(broker.Report{Host: "second", HeldGrants: []broker.HeldGrant{{GrantRequest: held, Grant: grant}}})
		other := newPartRequest("b")
		other.PromptParts = nil
		response, err := server.RequestGrant(other)
		assert.NilError(t, err)
		assert.Assert(t, response.Grant == nil && response.Refusal == nil, "%+v", response)
		server.HandleReport(broker.Report{Host: "second", StartedAttempts: []broker.StartedAttempt{{Service: service, Attempt: grant.Attempt}}})
		other.ID = "c"
		response, err = server.RequestGrant(other)
		assert.NilError(t, err)
		assert.Assert(t, response.Grant != nil, "%+v", response)
	})
}
