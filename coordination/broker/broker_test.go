package broker_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { checks.Main(m) }

const (
	service = id.Service("models")
	slots   = 4
)

// network joins the dispatchers and clients of some hosts in one process.
type network struct {
	servers map[id.Host]*broker.Server
	clients map[id.Host]*broker.Client

	mutex sync.Mutex
	// live holds the hosts in the order in which they dispatch.
	live []id.Host
	// unreachable hosts answer no calls.
	unreachable map[id.Host]bool
	// uninformed hosts know no engines yet.
	uninformed map[id.Host]bool
	// reports counts the reports of each host in which something has ended.
	reports map[id.Host]int
	// told holds the crashes that each host's dispatchers were told of.
	told map[id.Host][]quarantine.CrashID
}

// oneEngine is what a host knows of a fleet of one engine.
type oneEngine struct {
	network *network
	host    id.Host
}

func (oe oneEngine) EnginesKnown() bool {
	oe.network.mutex.Lock()
	defer oe.network.mutex.Unlock()
	return !oe.network.uninformed[oe.host]
}

func (oneEngine) EngineProfile(id.Service) (route.Engine, bool) {
	return route.Engine{
		Slots: slots, Capacity: 300_000, StepTime: 850 * time.Microsecond, StepPerSequence: 4 * time.Microsecond, StepPerThousandContextTokens: 3 * time.Microsecond,
		PrefillTokensPerSecond: 177_000, PrefillPerMillionPairs: 184 * time.Microsecond, PrefillChunk: 2048, StepsPerDecodePass: 51,
	}, true
}

func (oe oneEngine) Engines(id.Service) []batch.EngineSpec {
	if !oe.EnginesKnown() {
		return nil
	}
	return []batch.EngineSpec{{Engine: "engine-1", Address: "10.0.0.1:80"}}
}

func (oneEngine) ListAge() time.Duration { return 0 }

type innocent struct{}

func (innocent) Decide(id.Fingerprint) (quarantine.Decision, time.Duration) { return quarantine.Run, 0 }
func (innocent) LearnEvidence(quarantine.Evidence)                                   {}

// recorder notes what a host's dispatchers are told of crashes.
type recorder struct {
	innocent
	network *network
	host    id.Host
}

func (rc recorder) LearnEvidence(ev quarantine.Evidence) {
	rc.network.mutex.Lock()
	defer rc.network.mutex.Unlock()
	rc.network.told[rc.host] = append(rc.network.told[rc.host], ev.Crash)
}

func (nw *network) Dispatchers(id.Service) []id.Host {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	return slices.Clone(nw.live)
}

func (nw *network) reached(ctx context.Context, host id.Host) error {
	nw.mutex.Lock()
	lost := nw.unreachable[host]
	nw.mutex.Unlock()
	if lost {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (nw *network) RequestGrant(ctx context.Context, host id.Host, ask broker.GrantRequest) (broker.GrantResponse, error) {
	if err := nw.reached(ctx, host); err != nil {
		return broker.GrantResponse{}, err
	}
	return nw.servers[host].RequestGrant(ask)
}

func (nw *network) DeliverResponse(ctx context.Context, host id.Host, rq id.Request, answer broker.GrantResponse) (bool, error) {
	if err := nw.reached(ctx, host); err != nil {
		return false, err
	}
	return nw.clients[host].DeliverResponse(rq, answer), nil
}

func (nw *network) SendReport(ctx context.Context, host id.Host, rp broker.Report) error {
	if err := nw.reached(ctx, host); err != nil {
		return err
	}
	if len(rp.EndedGrants) > 0 {
		nw.mutex.Lock()
		nw.reports[rp.Host]++
		nw.mutex.Unlock()
	}
	nw.servers[host].HandleReport(rp)
	return nil
}

// run starts hosts, all of them live, until the returned function is called.
func run(t *testing.T, hosts ...id.Host) (*network, func()) {
	nw := &network{servers: map[id.Host]*broker.Server{}, clients: map[id.Host]*broker.Client{}, live: hosts, unreachable: map[id.Host]bool{}, reports: map[id.Host]int{}, uninformed: map[id.Host]bool{}, told: map[id.Host][]quarantine.CrashID{}}
	ctx, cancel := context.WithCancel(t.Context())
	var parts sync.WaitGroup
	clock, logger := timer.NewSystem(), slog.New(slog.DiscardHandler)
	for _, host := range hosts {
		nw.servers[host] = broker.NewServer(batch.DefaultConfig(), clock, oneEngine{nw, host}, nw, recorder{network: nw, host: host}, tally.NoopScope, logger, 1)
		nw.clients[host] = broker.NewClient(batch.DefaultConfig(), host, clock, nw, oneEngine{nw, host}, tally.NoopScope, logger, 1)
		nw.clients[host].EnablePlacement()
	}
	for _, host := range hosts {
		parts.Go(func() { _ = nw.servers[host].Run(ctx) })
		parts.Go(func() { _ = nw.clients[host].Run(ctx) })
	}
	return nw, func() {
		cancel()
		parts.Wait()
	}
}

// setLive changes the hosts that all hosts know, in the order in which they dispatch.
func (nw *network) setLive(hosts ...id.Host) {
	nw.mutex.Lock()
	nw.live = hosts
	nw.mutex.Unlock()
	for _, host := range hosts {
		nw.clients[host].HostsChanged()
	}
}

// ask asks for a place for a request of a host that has a time left.
func (nw *network) ask(t *testing.T, host id.Host, number uint64, patience time.Duration) (batch.Grant, outcome.Outcome) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	return nw.clients[host].Acquire(ctx, broker.GrantRequest{Service: service, Request: batch.Request{
		ID: id.NewRequest(host, 1, number), Organisation: id.Organisation(fmt.Sprint("org-", number)), PromptTokens: 2000, MaxAnswerTokens: 100,
		FirstEventTarget: time.Second, MaxPause: 250 * time.Millisecond, WaitLimit: patience, ArrivedAt: time.Now(),
	}})
}

// TestReturningDispatcherLearnsHeldGrants has a host that comes to stand first learn at once what all hosts hold: it gives out no place
// that is taken, also when those who hold one ask for nothing.
func TestReturningDispatcherLearnsHeldGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := run(t, "first", "second", "third")
		defer stop()
		nw.setLive("second", "third")
		time.Sleep(5 * time.Second)
		for number := range uint64(slots) {
			_, oc := nw.ask(t, "third", number, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", number, oc)
		}
		nw.setLive("first", "second", "third")
		time.Sleep(50 * time.Millisecond)
		_, oc := nw.ask(t, "second", slots, 300*time.Millisecond)
		assert.Assert(t, !oc.OK(), "a place was given that is taken")
	})
}

// TestNextHostDispatchesWhenFirstUnreachable has the next host in order give places when the first one can't be reached, none of them twice.
func TestNextHostDispatchesWhenFirstUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := run(t, "first", "second", "third")
		defer stop()
		for number := range uint64(slots - 1) {
			_, oc := nw.ask(t, "third", number, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", number, oc)
		}
		nw.mutex.Lock()
		nw.unreachable["first"] = true
		nw.mutex.Unlock()
		_, oc := nw.ask(t, "third", slots, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		_, oc = nw.ask(t, "second", slots+1, 300*time.Millisecond)
		assert.Assert(t, !oc.OK(), "a place was given that is taken")
	})
}

// TestReleasedGrantGoesToWaitingRequest gives a place that has ended to one that waits for it, on another host.
func TestReleasedGrantGoesToWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := run(t, "first", "second", "third")
		defer stop()
		var last batch.Grant
		for number := range uint64(slots) {
			grant, oc := nw.ask(t, "third", number, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", number, oc)
			last = grant
		}
		time.AfterFunc(100*time.Millisecond, func() {
			nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: last.Attempt})
		})
		began := time.Now()
		_, oc := nw.ask(t, "second", slots, 2*time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		assert.Assert(t, time.Since(began) < 150*time.Millisecond, "it took %s", time.Since(began))
	})
}

// TestEndedGrantReportedAtShutdown reports what ended just before a host stops, and nothing after its parts have ended.
func TestEndedGrantReportedAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := run(t, "first", "second")
		grant, oc := nw.ask(t, "second", 1, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		nw.clients["second"].ReportEnded(broker.EndedGrant{Attempt: grant.Attempt})
		stop()
		assert.Equal(t, nw.reportsOf("second"), 1)
		nw.clients["second"].ReportEnded(broker.EndedGrant{Attempt: grant.Attempt})
		time.Sleep(time.Second)
		assert.Equal(t, nw.reportsOf("second"), 1)
	})
}

// reportsOf returns the number of reports of a host in which something has ended.
func (nw *network) reportsOf(host id.Host) int {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	return nw.reports[host]
}

// TestDispatcherWithoutEngineListIsSkipped has a host that has just started, and knows no engines yet, pass for one that can't be asked:
// it refuses nothing, and the next host in order gives places.
func TestDispatcherWithoutEngineListIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := run(t, "first", "second", "third")
		defer stop()
		nw.mutex.Lock()
		nw.uninformed["first"] = true
		nw.mutex.Unlock()
		_, oc := nw.ask(t, "third", 1, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
	})
}

// TestEvidenceReachesNextDispatcher tells each dispatcher once what a host found out of crashes, and a new one all of it: when the
// first one falls silent, when it comes back, and when it is replaced by a host that never heard of any.
func TestEvidenceReachesNextDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := run(t, "first", "second", "third")
		defer stop()
		found := func(crash quarantine.CrashID) {
			nw.clients["third"].ReportEvidence(service, quarantine.Evidence{Fingerprint: 7, Crash: crash, Status: quarantine.Confirmed})
			time.Sleep(3 * time.Second)
		}
		told := func(host id.Host) []quarantine.CrashID {
			nw.mutex.Lock()
			defer nw.mutex.Unlock()
			return slices.Clone(nw.told[host])
		}
		found(1)
		found(2)
		assert.DeepEqual(t, told("first"), []quarantine.CrashID{1, 2})
		nw.mutex.Lock()
		nw.unreachable["first"] = true
		nw.mutex.Unlock()
		found(3)
		nw.ask(t, "third", 1, time.Second)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, told("second"), []quarantine.CrashID{1, 2, 3})
		nw.setLive("second", "third")
		found(4)
		assert.DeepEqual(t, told("second"), []quarantine.CrashID{1, 2, 3, 4})
		time.Sleep(11 * time.Minute)
		nw.setLive("third")
		found(5)
		// Old evidence is told no more.
		assert.DeepEqual(t, told("third"), []quarantine.CrashID{5})
	})
}

// TestHandOver has a request wait at a dispatcher that is replaced by another host, or that leaves. The old one, which is told no
// more of what hosts hold, gives it no place that is taken; the new one gives it a place that becomes free.
func TestHandOver(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			nw, stop := run(t, "first", "second", "third")
			defer stop()
			var held batch.Grant
			for number := range uint64(slots) {
				grant, oc := nw.ask(t, "third", number, time.Second)
				assert.Assert(t, oc.OK(), "request %d: %+v", number, oc)
				held = grant
			}
			const patience, free = 20 * time.Second, 15 * time.Second
			began := time.Now()
			time.AfterFunc(time.Second, func() {
				if leaves {
					nw.servers["first"].Leave()
				}
				nw.setLive("second", "third", "first")
			})
			time.AfterFunc(free, func() { nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: held.Attempt}) })
			_, oc := nw.ask(t, "third", slots, patience)
			assert.Assert(t, oc.OK(), "%+v", oc)
			assert.Assert(t, time.Since(began) >= free, "a place was given that is taken, after %s", time.Since(began))
			assert.Assert(t, time.Since(began) < free+100*time.Millisecond, "it took %s", time.Since(began))
		})
	}
}

// TestLeavingDispatcherIsSkipped has the dispatcher leave while a request waits there: its host asks the next one at once.
func TestLeavingDispatcherIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := run(t, "first", "second", "third")
		defer stop()
		nw.servers["first"].Leave()
		began := time.Now()
		_, oc := nw.ask(t, "third", 1, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond, "it took %s", time.Since(began))
	})
}
