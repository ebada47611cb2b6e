package shard_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// cluster simulates one engine, two hosts with dispatchers, and the calls between them. It implements all interfaces
// that clients and servers need.
type cluster struct {
	mutex sync.Mutex
	// loadCalls counts the polls of the engine's load, and loadDelay is how long the engine takes to answer one.
	loadCalls int
	loadDelay time.Duration
	// engineDown makes polls of the engine fail.
	engineDown bool
	// attemptTokens is the engine memory that attempts hold.
	attemptTokens map[id.Attempt]id.Tokens
	servers       map[id.Host]*shard.Server
	// dispatchOrder holds the live hosts in order of preference as dispatcher.
	dispatchOrder []id.Host
	// refusingHosts refuse connections.
	refusingHosts map[id.Host]bool
	// unresponsiveHosts accept calls but never answer.
	unresponsiveHosts map[id.Host]bool
	// reportsFail makes reports to all dispatchers fail.
	reportsFail bool
	// reportDelay is how long reports are under way, orderDelay how long it takes to find the dispatchers.
	reportDelay, orderDelay time.Duration
	// crashEvidenceCount counts the evidence that servers have passed to onCrashEvidence.
	crashEvidenceCount int
	// grantHolder is the client that Orphaned queries, nil if there is none.
	grantHolder *shard.Client
	// leavingByList marks the engine as leaving in the list of engines, leavingByReport in its own load reports.
	leavingByList, leavingByReport bool
}

func newCluster(ctx context.Context) *cluster {
	cl := &cluster{
		attemptTokens: map[id.Attempt]id.Tokens{}, servers: map[id.Host]*shard.Server{},
		dispatchOrder: []id.Host{"one", "two"}, refusingHosts: map[id.Host]bool{}, unresponsiveHosts: map[id.Host]bool{},
	}
	config := shard.DefaultServerConfig()
	config.PollPeriod = 250 * time.Millisecond
	for _, host := range cl.dispatchOrder {
		server := shard.NewServer(config, timer.NewSystem(), cl, cl, cl, tally.NoopScope, 1,
			func(quarantine.Evidence, []quarantine.Evidence) { cl.crashEvidenceCount++ })
		cl.servers[host] = server
		go func() { _ = server.Run(ctx) }()
	}
	return cl
}

func (cl *cluster) Orphaned(_ context.Context, attempt id.Attempt) bool {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.grantHolder == nil || !cl.grantHolder.HoldsGrant(attempt)
}

func (cl *cluster) startClient(ctx context.Context) *shard.Client {
	client := shard.NewClient("one", 1, timer.NewSystem(), cl, cl, cl.servers["one"], tally.NoopScope, 1)
	cl.grantHolder = client
	go func() { _ = client.Run(ctx) }()
	return client
}

func (cl *cluster) FetchLoad(ctx context.Context, _ string) (shard.EngineReport, error) {
	cl.mutex.Lock()
	cl.loadCalls++
	delay, leaving, down := cl.loadDelay, cl.leavingByReport, cl.engineDown
	cl.mutex.Unlock()
	if down {
		return shard.EngineReport{}, errors.New("connection refused")
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return shard.EngineReport{}, ctx.Err()
	}
	return shard.EngineReport{ReportedAt: time.Now(), CapacityTokens: 450_000, Models: []id.Model{"model"}, Leaving: leaving}, nil
}

func (cl *cluster) ListAttempts(context.Context, string) ([]dispatch.AttemptMemory, error) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	var attemptMemory []dispatch.AttemptMemory
	for attempt, tokens := range cl.attemptTokens {
		attemptMemory = append(attemptMemory, dispatch.AttemptMemory{Attempt: attempt, Tokens: tokens})
	}
	return attemptMemory, nil
}

func (cl *cluster) CacheEvents(_ context.Context, _ string, from int64) ([]shard.CacheEvent, int64, error) {
	return nil, from, nil
}

func (cl *cluster) CancelAttempt(_ context.Context, _ string, attempt id.Attempt) error {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	delete(cl.attemptTokens, attempt)
	return nil
}

func (cl *cluster) Shards() []id.Shard { return []id.Shard{"shard"} }

func (cl *cluster) Engines(id.Shard) []fleet.Engine {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return []fleet.Engine{{Name: "engine-1", Address: "engine-1", Leaving: cl.leavingByList}}
}

func (cl *cluster) RecordObservation(string, fleet.Observation) {}

func (cl *cluster) ShardDispatchers(id.Shard) []id.Host {
	cl.mutex.Lock()
	delay := cl.orderDelay
	cl.mutex.Unlock()
	time.Sleep(delay)
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return append([]id.Host(nil), cl.dispatchOrder...)
}

// call simulates a call to a host: it blocks until the context ends if the host is unresponsive, and fails immediately
// if it refuses connections.
func (cl *cluster) call(ctx context.Context, host id.Host) error {
	cl.mutex.Lock()
	refuses, unresponsive := cl.refusingHosts[host], cl.unresponsiveHosts[host]
	cl.mutex.Unlock()
	if unresponsive {
		<-ctx.Done()
		return ctx.Err()
	}
	if refuses {
		return errors.New("connection refused")
	}
	return nil
}

func (cl *cluster) RequestShardGrant(ctx context.Context, dispatcher id.Host, request shard.GrantRequest) (shard.GrantResponse, error) {
	if err := cl.call(ctx, dispatcher); err != nil {
		return shard.GrantResponse{}, err
	}
	return cl.servers[dispatcher].RequestGrant(ctx, request), nil
}

func (cl *cluster) SendShardReport(ctx context.Context, dispatcher id.Host, report shard.Report) (shard.ReportResponse, error) {
	if err := cl.call(ctx, dispatcher); err != nil {
		return shard.ReportResponse{}, err
	}
	cl.mutex.Lock()
	fails, delay := cl.reportsFail, cl.reportDelay
	cl.mutex.Unlock()
	time.Sleep(delay)
	if fails {
		return shard.ReportResponse{}, errors.New("report lost")
	}
	return cl.servers[dispatcher].HandleReport(ctx, report), nil
}

func newGrantRequest(requestID id.Request, promptTokens id.Tokens) shard.GrantRequest {
	return shard.GrantRequest{
		Request: dispatch.Request{ID: requestID, Model: "model", PromptTokens: promptTokens, AttemptNumber: 1, Deadline: time.Now().Add(time.Minute)},
		Shard:   "shard", ContentFingerprint: id.NewFingerprint("org", []byte(requestID)),
	}
}

// runWithCluster runs a test with a new cluster on virtual time.
func runWithCluster(t *testing.T, test func(ctx context.Context, t *testing.T, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(ctx, t, newCluster(ctx))
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestCancelledGrantRequestDoesNotStopPolls checks that polling continues after the call that started the first poll is
// cancelled while that poll is running.
func TestCancelledGrantRequestDoesNotStopPolls(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		cl.loadDelay = 100 * time.Millisecond
		cancelledCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		cl.servers["one"].RequestGrant(cancelledCtx, newGrantRequest("gone", 1000))
		time.Sleep(5 * time.Second)
		assert.Assert(t, cl.loadCalls > 10, "%d polls in 5 s", cl.loadCalls)
		response := cl.servers["one"].RequestGrant(ctx, newGrantRequest("next", 1000))
		assert.Assert(t, response.Grant != nil)
	})
}

// TestNextDispatcherLearnsHeldGrants checks that after the loss of the dispatcher the next host learns the held grants,
// counts their memory as reserved, not as memory of unknown attempts, and doesn't cancel their attempts.
func TestNextDispatcherLearnsHeldGrants(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		client := cl.startClient(ctx)
		grant, oc := client.Acquire(ctx, newGrantRequest("long", 300_000))
		assert.Assert(t, oc.OK(), oc.Detail)
		cl.mutex.Lock()
		cl.attemptTokens[grant.Attempt] = 300_300
		cl.refusingHosts["one"] = true
		cl.dispatchOrder = []id.Host{"two"}
		cl.mutex.Unlock()
		time.Sleep(5 * time.Second)
		status := cl.servers["two"].Status()
		assert.Equal(t, len(status), 1)
		assert.Equal(t, status[0].Engines[0].ReservedTokens, id.Tokens(300_300))
		assert.Equal(t, status[0].Engines[0].UnknownAttemptTokens, id.Tokens(0))
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(cl.attemptTokens), 1, "a live attempt is not cancelled")
		client.ReportEnded(ctx, shard.EndedGrant{Attempt: grant.Attempt, Completed: true})
		assert.Equal(t, cl.servers["two"].Status()[0].Engines[0].ReservedTokens, id.Tokens(0))
	})
}

// TestRequestsRunWhileDispatcherIsUnresponsive checks that while the dispatcher is unresponsive, the client itself
// chooses an engine for a short request, and a long request gets its grant from the next host.
func TestRequestsRunWhileDispatcherIsUnresponsive(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		cl.unresponsiveHosts["one"] = true
		client := cl.startClient(ctx)
		started := time.Now()
		grant, oc := client.Acquire(ctx, newGrantRequest("short", 1000))
		assert.Assert(t, oc.OK(), oc.Detail)
		assert.Equal(t, grant.Parts[0].Engine, id.Engine("engine-1"))
		assert.Assert(t, time.Since(started) <= 2*time.Second)
		grant, oc = client.Acquire(ctx, newGrantRequest("long", 100_000))
		assert.Assert(t, oc.OK(), oc.Detail)
		assert.Equal(t, len(grant.Parts), 1)
	})
}

// TestOrphanedAttemptIsCancelled checks that an attempt whose entry host is gone doesn't hold engine memory forever.
func TestOrphanedAttemptIsCancelled(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		cl.attemptTokens["gone.1.1/1"] = 400_000
		client := cl.startClient(ctx)
		_, oc := client.Acquire(ctx, newGrantRequest("first", 1000))
		assert.Assert(t, oc.OK())
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(cl.attemptTokens), 0)
	})
}

// TestRequestRefusedAtDeadline checks that a request for which the engine has no memory is refused when its time is
// over, and that it is then withdrawn from the dispatcher.
func TestRequestRefusedAtDeadline(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		client := cl.startClient(ctx)
		_, oc := client.Acquire(ctx, newGrantRequest("first", 300_000))
		assert.Assert(t, oc.OK())
		shortCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		started := time.Now()
		_, oc = client.Acquire(shortCtx, newGrantRequest("second", 300_000))
		assert.Equal(t, oc.Kind, outcome.Refused)
		assert.Assert(t, time.Since(started) <= 3*time.Second+100*time.Millisecond)
		time.Sleep(5 * time.Second)
		assert.Equal(t, cl.servers["one"].Status()[0].Waiting, 0)
	})
}

// TestCrashIsCountedBeforeReportReturns checks that ReportEnded returns only after the crash has been counted: after
// two crashes, the next request with the same content is refused.
func TestCrashIsCountedBeforeReportReturns(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		client := cl.startClient(ctx)
		for number := range 2 {
			crashing := newGrantRequest("crashing", 1000)
			crashing.AttemptNumber = number + 1
			grant, oc := client.Acquire(ctx, crashing)
			assert.Assert(t, oc.OK(), oc.Detail)
			client.ReportEnded(ctx, shard.EndedGrant{Request: "crashing", Attempt: grant.Attempt, CrashedEngine: "engine-1"})
		}
		repeated := newGrantRequest("other-id", 1000)
		repeated.ContentFingerprint = id.NewFingerprint("org", []byte("crashing"))
		_, oc := client.Acquire(ctx, repeated)
		assert.Equal(t, oc.Reason, outcome.Quarantined)
		assert.Equal(t, cl.crashEvidenceCount, 2)
	})
}

// TestSuspectWaitsForDispatcher checks what happens while no dispatcher can be reached: a request whose content is
// suspected after one crash waits for a dispatcher, a quarantined one is refused, and for unrelated requests the
// client chooses an engine itself.
func TestSuspectWaitsForDispatcher(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		client := cl.startClient(ctx)
		cl.mutex.Lock()
		cl.refusingHosts["one"], cl.refusingHosts["two"] = true, true
		cl.mutex.Unlock()
		_, oc := client.Acquire(ctx, newGrantRequest("unrelated", 1000))
		assert.Assert(t, oc.OK(), oc.Detail)
		suspect := newGrantRequest("crashing", 1000)
		for crash, want := range []outcome.Reason{outcome.DeadlineExceeded, outcome.Quarantined} {
			cl.servers["one"].LearnReportedEvidence(quarantine.Evidence{Fingerprint: suspect.ContentFingerprint, Crash: quarantine.CrashID(crash), Status: quarantine.Confirmed})
			shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			_, oc = client.Acquire(shortCtx, suspect)
			cancel()
			assert.Equal(t, oc.Reason, want)
		}
	})
}

// TestSuspectWaitsForItsOwnGrant guards against a suspect that is granted an engine between two calls of its host, and
// then waits for its own grant to end, and against a grant that nobody received and that counts as running forever.
func TestSuspectWaitsForItsOwnGrant(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		server := cl.servers["one"]
		unrelated := newGrantRequest("unrelated", 1000)
		response := server.RequestGrant(ctx, unrelated)
		assert.Assert(t, response.Grant != nil)
		suspect := newGrantRequest("suspect", 1000)
		server.LearnReportedEvidence(quarantine.Evidence{Fingerprint: suspect.ContentFingerprint, Crash: 1, Status: quarantine.Confirmed})
		assert.Assert(t, server.RequestGrant(ctx, suspect).Queued)
		server.HandleReport(ctx, shard.Report{EndedGrants: []shard.EndedGrant{{Shard: "shard", Request: unrelated.ID, Attempt: response.Grant.Attempt, Completed: true}}})
		time.Sleep(time.Second)
		assert.Assert(t, server.RequestGrant(ctx, suspect).Grant != nil, "the suspect waits for its own grant")
		// The grant expires, because no host reports that it holds it.
		time.Sleep(time.Minute)
		again := newGrantRequest("again", 1000)
		again.ContentFingerprint = suspect.ContentFingerprint
		assert.Assert(t, server.RequestGrant(ctx, again).Grant != nil, "an expired grant counts as running")
	})
}

// TestNextDispatcherFillsEngineOfSuspect guards against a new dispatcher that grants others the engine on which a content
// runs alone.
func TestNextDispatcherFillsEngineOfSuspect(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		client := cl.startClient(ctx)
		suspect := newGrantRequest("suspect", 1000)
		suspect.RunAlone = true
		grant, oc := client.Acquire(ctx, suspect)
		assert.Assert(t, oc.OK(), oc.Detail)
		cl.mutex.Lock()
		cl.dispatchOrder = []id.Host{"two"}
		cl.mutex.Unlock()
		time.Sleep(5 * time.Second)
		shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, oc = client.Acquire(shortCtx, newGrantRequest("unrelated", 1000))
		assert.Assert(t, !oc.OK(), "granted the engine on which a suspect runs alone")
		client.ReportEnded(ctx, shard.EndedGrant{Request: suspect.ID, Attempt: grant.Attempt, Completed: true})
		_, oc = client.Acquire(ctx, newGrantRequest("unrelated", 1000))
		assert.Assert(t, oc.OK(), oc.Detail)
	})
}

// TestRetriesShareEngineAfterCommonCrash guards against requests that ran on a crashed engine and are retried together,
// because only one of them waits for the report of the crash that carries them all.
func TestRetriesShareEngineAfterCommonCrash(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		client := cl.startClient(ctx)
		var requests []shard.GrantRequest
		var attempts []id.Attempt
		for _, name := range []id.Request{"crashing", "unrelated-1", "unrelated-2"} {
			request := newGrantRequest(name, 1000)
			grant, oc := client.Acquire(ctx, request)
			assert.Assert(t, oc.OK(), oc.Detail)
			requests, attempts = append(requests, request), append(attempts, grant.Attempt)
		}
		cl.mutex.Lock()
		cl.reportDelay, cl.orderDelay = 50*time.Millisecond, time.Millisecond
		cl.mutex.Unlock()
		granted := make([]bool, len(requests))
		var retries sync.WaitGroup
		for index, request := range requests {
			retries.Go(func() {
				client.ReportEnded(ctx, shard.EndedGrant{Request: request.ID, Attempt: attempts[index], CrashedEngine: "engine-1"})
				request.AttemptNumber = 2
				shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
				defer cancel()
				_, oc := client.Acquire(shortCtx, request)
				granted[index] = oc.OK()
			})
		}
		retries.Wait()
		grantedCount := 0
		for _, ok := range granted {
			if ok {
				grantedCount++
			}
		}
		assert.Equal(t, grantedCount, 1)
	})
}

// TestSuspectIsGrantedCrashedEngine guards against a request that waits to run alone and is granted the engine that the
// suspect before it has just crashed: the host would count the crashed engine as a second crash of the request.
func TestSuspectIsGrantedCrashedEngine(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		client := cl.startClient(ctx)
		crashing, unrelated := newGrantRequest("crashing", 1000), newGrantRequest("unrelated", 1000)
		var attempts []id.Attempt
		for _, request := range []shard.GrantRequest{crashing, unrelated} {
			grant, oc := client.Acquire(ctx, request)
			assert.Assert(t, oc.OK(), oc.Detail)
			attempts = append(attempts, grant.Attempt)
		}
		client.ReportEnded(ctx, shard.EndedGrant{Request: "crashing", Attempt: attempts[0], CrashedEngine: "engine-1"})
		client.ReportEnded(ctx, shard.EndedGrant{Request: "unrelated", Attempt: attempts[1], CrashedEngine: "engine-1"})
		crashing.AttemptNumber, unrelated.AttemptNumber = 2, 2
		grant, oc := client.Acquire(ctx, crashing)
		assert.Assert(t, oc.OK(), oc.Detail)
		assert.Assert(t, grant.RunsAlone)
		granted := make(chan bool, 1)
		go func() {
			_, oc := client.Acquire(ctx, unrelated)
			granted <- oc.OK()
		}()
		time.Sleep(time.Second)
		cl.mutex.Lock()
		cl.engineDown = true
		cl.mutex.Unlock()
		client.ReportEnded(ctx, shard.EndedGrant{Request: "crashing", Attempt: grant.Attempt, CrashedEngine: "engine-1"})
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(granted), 0, "the engine was granted before it was polled again")
		cl.mutex.Lock()
		cl.engineDown = false
		cl.mutex.Unlock()
		assert.Assert(t, <-granted)
	})
}

// TestRetryAfterLostCrashReport guards against a request that is retried beside others because the report of its first
// crash has not reached the dispatcher.
func TestRetryAfterLostCrashReport(t *testing.T) {
	runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
		client := cl.startClient(ctx)
		unrelated, oc := client.Acquire(ctx, newGrantRequest("unrelated", 1000))
		assert.Assert(t, oc.OK(), oc.Detail)
		crashing := newGrantRequest("crashing", 1000)
		grant, oc := client.Acquire(ctx, crashing)
		assert.Assert(t, oc.OK(), oc.Detail)
		cl.mutex.Lock()
		cl.reportsFail = true
		cl.mutex.Unlock()
		client.ReportEnded(ctx, shard.EndedGrant{Request: crashing.ID, Attempt: grant.Attempt, CrashedEngine: "engine-1"})
		crashing.AttemptNumber = 2
		shortCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, oc = client.Acquire(shortCtx, crashing)
		assert.Assert(t, !oc.OK(), "the retry runs beside an unrelated request")
		cl.mutex.Lock()
		cl.reportsFail = false
		cl.mutex.Unlock()
		client.ReportEnded(ctx, shard.EndedGrant{Request: "unrelated", Attempt: unrelated.Attempt, Completed: true})
		_, oc = client.Acquire(ctx, crashing)
		assert.Assert(t, oc.OK(), oc.Detail)
	})
}

// TestSuspectsShareEngineAfterFailover guards against two dispatchers that each grant the same engine to a content that
// must run alone: after a call to the first dispatcher has failed, and after the first dispatcher has been replaced.
func TestSuspectsShareEngineAfterFailover(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
			client := cl.startClient(ctx)
			running, next := newGrantRequest("running", 1000), newGrantRequest("next", 1000)
			for crash, suspect := range []shard.GrantRequest{running, next} {
				cl.servers["one"].LearnReportedEvidence(quarantine.Evidence{Fingerprint: suspect.ContentFingerprint, Crash: quarantine.CrashID(crash), Status: quarantine.Confirmed})
			}
			grant, oc := client.Acquire(ctx, running)
			assert.Assert(t, oc.OK(), oc.Detail)
			cl.mutex.Lock()
			cl.unresponsiveHosts["one"] = true
			if replaced {
				cl.dispatchOrder = []id.Host{"two"}
			}
			cl.mutex.Unlock()
			time.Sleep(5 * time.Second)
			shortCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			defer cancel()
			_, oc = client.Acquire(shortCtx, next)
			assert.Assert(t, !oc.OK(), "granted an engine that another suspect occupies; replaced %v", replaced)
			client.ReportEnded(ctx, shard.EndedGrant{Request: running.ID, Attempt: grant.Attempt, Completed: true})
			cl.mutex.Lock()
			cl.unresponsiveHosts["one"] = false
			cl.mutex.Unlock()
			_, oc = client.Acquire(ctx, next)
			assert.Assert(t, oc.OK(), oc.Detail)
		})
	}
}

// TestLeavingEngineGetsNoNewGrants checks that a request is refused noticeTime after the only engine has been marked as
// leaving, either in the list of engines or in its own load report.
func TestLeavingEngineGetsNoNewGrants(t *testing.T) {
	const noticeTime = 3 * time.Second
	for _, byList := range []bool{true, false} {
		runWithCluster(t, func(ctx context.Context, t *testing.T, cl *cluster) {
			client := cl.startClient(ctx)
			_, oc := client.Acquire(ctx, newGrantRequest("before", 1000))
			assert.Assert(t, oc.OK(), oc.Detail)
			cl.mutex.Lock()
			cl.leavingByList, cl.leavingByReport = byList, !byList
			cl.mutex.Unlock()
			time.Sleep(noticeTime)
			shortCtx, cancel := context.WithTimeout(ctx, noticeTime)
			defer cancel()
			_, oc = client.Acquire(shortCtx, newGrantRequest("after", 1000))
			assert.Equal(t, oc.Kind, outcome.Refused)
		})
	}
}
