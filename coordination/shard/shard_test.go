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

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { checks.Main(m) }

// site is two engines, two hosts with dispatchers, and the calls between them.
type site struct {
	mutex   sync.Mutex
	loads   int
	slow    time.Duration
	holding map[id.Attempt]id.Tokens
	servers map[id.Host]*shard.Server
	owners  []id.Host
	down    map[id.Host]bool
	frozen  map[id.Host]bool
	crashes int
	holder  *shard.Client
	// listed and told say that the engine is leaving by the list, and by its own word.
	listed, told bool
}

func newSite(ctx context.Context) *site {
	st := &site{
		holding: map[id.Attempt]id.Tokens{}, servers: map[id.Host]*shard.Server{},
		owners: []id.Host{"one", "two"}, down: map[id.Host]bool{}, frozen: map[id.Host]bool{},
	}
	config := shard.DefaultServerConfig()
	config.PollPeriod = 250 * time.Millisecond
	for _, host := range st.owners {
		server := shard.NewServer(config, timer.NewSystem(), st, st, st, tally.NoopScope, 1,
			func(quarantine.Evidence, []quarantine.Evidence) { st.crashes++ })
		st.servers[host] = server
		go func() { _ = server.Run(ctx) }()
	}
	return st
}

func (st *site) Orphaned(_ context.Context, att id.Attempt) bool {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.holder == nil || !st.holder.HoldsGrant(att)
}

func (st *site) client(ctx context.Context) *shard.Client {
	client := shard.NewClient("one", 1, timer.NewSystem(), st, st, st.servers["one"], tally.NoopScope, 1)
	st.holder = client
	go func() { _ = client.Run(ctx) }()
	return client
}

func (st *site) Load(ctx context.Context, _ string) (shard.EngineReport, error) {
	st.mutex.Lock()
	st.loads++
	slow, told := st.slow, st.told
	st.mutex.Unlock()
	select {
	case <-time.After(slow):
	case <-ctx.Done():
		return shard.EngineReport{}, ctx.Err()
	}
	return shard.EngineReport{ReportedAt: time.Now(), CapacityTokens: 450_000, Models: []id.Model{"model"}, Draining: told}, nil
}

func (st *site) ListAttempts(context.Context, string) ([]dispatch.AttemptMemory, error) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	var holdings []dispatch.AttemptMemory
	for att, tokens := range st.holding {
		holdings = append(holdings, dispatch.AttemptMemory{Attempt: att, Tokens: tokens})
	}
	return holdings, nil
}

func (st *site) CacheEvents(_ context.Context, _ string, from int64) ([]shard.CacheEvent, int64, error) {
	return nil, from, nil
}

func (st *site) CancelAttempt(_ context.Context, _ string, att id.Attempt) error {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	delete(st.holding, att)
	return nil
}

func (st *site) Shards() []id.Shard { return []id.Shard{"shard"} }

func (st *site) Engines(id.Shard) []fleet.Engine {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return []fleet.Engine{{Name: "engine-1", Address: "engine-1", Leaving: st.listed}}
}

func (st *site) RecordEvidence(string, fleet.Evidence) {}

func (st *site) ShardDispatchers(id.Shard) []id.Host {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return append([]id.Host(nil), st.owners...)
}

// reach waits like a call to a host: forever at a frozen one, not at all at one that is down.
func (st *site) reach(ctx context.Context, host id.Host) error {
	st.mutex.Lock()
	down, frozen := st.down[host], st.frozen[host]
	st.mutex.Unlock()
	if frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errors.New("connection refused")
	}
	return nil
}

func (st *site) RequestShardGrant(ctx context.Context, host id.Host, ask shard.GrantRequest) (shard.GrantResponse, error) {
	if err := st.reach(ctx, host); err != nil {
		return shard.GrantResponse{}, err
	}
	return st.servers[host].RequestGrant(ctx, ask), nil
}

func (st *site) SendShardReport(ctx context.Context, host id.Host, rp shard.Report) (shard.ReportResponse, error) {
	if err := st.reach(ctx, host); err != nil {
		return shard.ReportResponse{}, err
	}
	return st.servers[host].HandleReport(ctx, rp), nil
}

func ask(name id.Request, prompt id.Tokens) shard.GrantRequest {
	return shard.GrantRequest{
		Request: dispatch.Request{ID: name, Model: "model", PromptTokens: prompt, AttemptNumber: 1, Deadline: time.Now().Add(time.Minute)},
		Shard:   "shard", Fingerprint: id.NewFingerprint("org", []byte(name)),
	}
}

// inSite runs a test on virtual time.
func inSite(t *testing.T, test func(ctx context.Context, t *testing.T, st *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(ctx, t, newSite(ctx))
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestCancelledGrantRequestDoesNotStopPolls cancels an Ask while the poll that it started is on its way.
func TestCancelledGrantRequestDoesNotStopPolls(t *testing.T) {
	inSite(t, func(ctx context.Context, t *testing.T, st *site) {
		st.slow = 100 * time.Millisecond
		gone, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
		defer cancel()
		st.servers["one"].RequestGrant(gone, ask("gone", 1000))
		time.Sleep(5 * time.Second)
		assert.Assert(t, st.loads > 10, "%d polls in 5 s", st.loads)
		answer := st.servers["one"].RequestGrant(ctx, ask("next", 1000))
		assert.Assert(t, answer.Grant != nil)
	})
}

// TestNextDispatcherLearnsHeldGrants loses the dispatcher: the next host learns of the grants that are held and counts their memory.
func TestNextDispatcherLearnsHeldGrants(t *testing.T) {
	inSite(t, func(ctx context.Context, t *testing.T, st *site) {
		client := st.client(ctx)
		grant, oc := client.Acquire(ctx, ask("long", 300_000))
		assert.Assert(t, oc.OK(), oc.Detail)
		st.mutex.Lock()
		st.holding[grant.Attempt] = 300_300
		st.down["one"] = true
		st.owners = []id.Host{"two"}
		st.mutex.Unlock()
		time.Sleep(5 * time.Second)
		status := st.servers["two"].Status()
		assert.Equal(t, len(status), 1)
		assert.Equal(t, status[0].Engines[0].ReservedTokens, id.Tokens(300_300))
		assert.Equal(t, status[0].Engines[0].UnknownAttemptTokens, id.Tokens(0))
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(st.holding), 1, "a live attempt is not cancelled")
		client.ReportEnded(ctx, shard.EndedGrant{Attempt: grant.Attempt, Completed: true})
		assert.Equal(t, st.servers["two"].Status()[0].Engines[0].ReservedTokens, id.Tokens(0))
	})
}

// TestRequestsRunWhileDispatcherIsFrozen freezes the dispatcher: short requests are placed without it, long ones by the next host.
func TestRequestsRunWhileDispatcherIsFrozen(t *testing.T) {
	inSite(t, func(ctx context.Context, t *testing.T, st *site) {
		st.frozen["one"] = true
		client := st.client(ctx)
		started := time.Now()
		grant, oc := client.Acquire(ctx, ask("short", 1000))
		assert.Assert(t, oc.OK(), oc.Detail)
		assert.Equal(t, grant.Parts[0].Engine, id.Engine("engine-1"))
		assert.Assert(t, time.Since(started) <= 2*time.Second)
		grant, oc = client.Acquire(ctx, ask("long", 100_000))
		assert.Assert(t, oc.OK(), oc.Detail)
		assert.Equal(t, len(grant.Parts), 1)
	})
}

// TestOrphanedAttemptIsCancelled leaves an attempt of a host that is gone on an engine.
func TestOrphanedAttemptIsCancelled(t *testing.T) {
	inSite(t, func(ctx context.Context, t *testing.T, st *site) {
		st.holding["gone.1.1/1"] = 400_000
		client := st.client(ctx)
		_, oc := client.Acquire(ctx, ask("first", 1000))
		assert.Assert(t, oc.OK())
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(st.holding), 0)
	})
}

// TestRequestRefusedAtDeadline asks for more than there is room for until the deadline.
func TestRequestRefusedAtDeadline(t *testing.T) {
	inSite(t, func(ctx context.Context, t *testing.T, st *site) {
		client := st.client(ctx)
		_, oc := client.Acquire(ctx, ask("first", 300_000))
		assert.Assert(t, oc.OK())
		short, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		started := time.Now()
		_, oc = client.Acquire(short, ask("second", 300_000))
		assert.Equal(t, oc.Kind, outcome.Refused)
		assert.Assert(t, time.Since(started) <= 3*time.Second+100*time.Millisecond)
		time.Sleep(5 * time.Second)
		assert.Equal(t, st.servers["one"].Status()[0].Waiting, 0)
	})
}

// TestCrashIsCountedBeforeReportReturns ends an attempt whose engine crashed twice; the third try is refused.
func TestCrashIsCountedBeforeReportReturns(t *testing.T) {
	inSite(t, func(ctx context.Context, t *testing.T, st *site) {
		client := st.client(ctx)
		for number := range 2 {
			poison := ask("poison", 1000)
			poison.AttemptNumber = number + 1
			grant, oc := client.Acquire(ctx, poison)
			assert.Assert(t, oc.OK(), oc.Detail)
			client.ReportEnded(ctx, shard.EndedGrant{Request: "poison", Attempt: grant.Attempt, CrashedEngine: "engine-1"})
		}
		again := ask("other-id", 1000)
		again.Fingerprint = id.NewFingerprint("org", []byte("poison"))
		_, oc := client.Acquire(ctx, again)
		assert.Equal(t, oc.Reason, outcome.Quarantined)
		assert.Equal(t, st.crashes, 2)
	})
}

// TestSuspectWaitsForDispatcher has a request that crashed engines come while no dispatcher can be reached: a suspect
// waits for one, a convicted request is refused, and others are placed by the own host.
func TestSuspectWaitsForDispatcher(t *testing.T) {
	inSite(t, func(ctx context.Context, t *testing.T, st *site) {
		client := st.client(ctx)
		st.mutex.Lock()
		st.down["one"], st.down["two"] = true, true
		st.mutex.Unlock()
		_, oc := client.Acquire(ctx, ask("innocent", 1000))
		assert.Assert(t, oc.OK(), oc.Detail)
		poison := ask("poison", 1000)
		for crash, want := range []outcome.Reason{outcome.DeadlineExceeded, outcome.Quarantined} {
			st.servers["one"].LearnEvidence(quarantine.Evidence{Fingerprint: poison.Fingerprint, Crash: quarantine.CrashID(crash), Status: quarantine.Confirmed})
			short, cancel := context.WithTimeout(ctx, 2*time.Second)
			_, oc = client.Acquire(short, poison)
			cancel()
			assert.Equal(t, oc.Reason, want)
		}
	})
}

// TestLeavingEngineGetsNoNewGrants has the only engine leave, by the list or by its own word, and asks 3 s later.
func TestLeavingEngineGetsNoNewGrants(t *testing.T) {
	const limit = 3 * time.Second
	for _, byList := range []bool{true, false} {
		inSite(t, func(ctx context.Context, t *testing.T, st *site) {
			client := st.client(ctx)
			_, oc := client.Acquire(ctx, ask("before", 1000))
			assert.Assert(t, oc.OK(), oc.Detail)
			st.mutex.Lock()
			st.listed, st.told = byList, !byList
			st.mutex.Unlock()
			time.Sleep(limit)
			short, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			_, oc = client.Acquire(short, ask("after", 1000))
			assert.Equal(t, oc.Kind, outcome.Refused)
		})
	}
}
