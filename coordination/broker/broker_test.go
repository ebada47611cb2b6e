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

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const (
	service     = id.Service("models")
	engineSlots = 4
)

// network connects the dispatchers and clients of several hosts within one process. It implements broker.Peers.
type network struct {
	servers map[id.Host]*broker.Server
	clients map[id.Host]*broker.Client

	mutex sync.Mutex
	// liveHosts holds the live hosts in order of preference as dispatcher.
	liveHosts []id.Host
	// unresponsiveHosts holds the hosts to which calls block until they time out.
	unresponsiveHosts map[id.Host]bool
	// lateHosts holds the hosts that have started late after the others.
	lateHosts map[id.Host]bool
	// ownOrders holds the orders of hosts that do not know liveHosts.
	ownOrders map[id.Host][]id.Host
	// cutLinks holds pairs of hosts of which the first can't reach the second.
	cutLinks map[[2]id.Host]bool
	// reportDelay is how long reports are under way.
	reportDelay time.Duration
	// uninformedHosts holds the hosts that don't know the engines yet.
	uninformedHosts map[id.Host]bool
	// endReports counts each host's reports that contain ended grants.
	endReports map[id.Host]int
	// learnedCrashes holds the crashes that each host's dispatchers learned from reports, in order.
	learnedCrashes map[id.Host][]quarantine.CrashID
	// requestLimits holds what each host knows of the request limit of the engine.
	requestLimits map[id.Host]serverlimit.Statement
	// evacuated holds the hosts that know that the engine is evacuated.
	evacuated map[id.Host]bool
	// faults holds the faults of the next messages.
	faults []messageFault
}

// hostNetwork is the network as one host sees it.
type hostNetwork struct {
	*network
	host id.Host
}

func (hn hostNetwork) LeadsService(service id.Service) bool {
	dispatchers := hn.Dispatchers(service)
	return len(dispatchers) > 0 && dispatchers[0] == hn.host
}

func (hn hostNetwork) Dispatchers(service id.Service) []id.Host {
	hn.mutex.Lock()
	order, hasOwn := hn.ownOrders[hn.host]
	hn.mutex.Unlock()
	if hasOwn {
		return order
	}
	return hn.network.Dispatchers(service)
}

func (hn hostNetwork) StartedLate() bool {
	hn.mutex.Lock()
	defer hn.mutex.Unlock()
	return hn.lateHosts[hn.host]
}

// singleEngineFleet is a host's view of a fleet that consists of one engine.
type singleEngineFleet struct {
	network *network
	host    id.Host
}

func (sf singleEngineFleet) EnginesKnown() bool {
	sf.network.mutex.Lock()
	defer sf.network.mutex.Unlock()
	return !sf.network.uninformedHosts[sf.host]
}

func (singleEngineFleet) EngineProfile(id.Service) (route.EngineProfile, bool) {
	return route.EngineProfile{
		Slots: engineSlots, Capacity: 300_000, StepTime: 850 * time.Microsecond, StepPerSequence: 4 * time.Microsecond, StepPerThousandContextTokens: 3 * time.Microsecond,
		PrefillTokensPerSecond: 177_000, PrefillPerMillionPairs: 184 * time.Microsecond, PrefillChunk: 2048, StepsPerDecodePass: 51,
	}, true
}

func (sf singleEngineFleet) Engines(id.Service) []batch.EngineSpec {
	if !sf.EnginesKnown() {
		return nil
	}
	sf.network.mutex.Lock()
	defer sf.network.mutex.Unlock()
	return []batch.EngineSpec{{Engine: "engine-1", Address: "10.0.0.1:80", Evacuated: sf.network.evacuated[sf.host], RequestLimit: sf.network.requestLimits[sf.host].Rate}}
}

func (sf singleEngineFleet) RequestLimits(id.Service) []serverlimit.Statement {
	sf.network.mutex.Lock()
	defer sf.network.mutex.Unlock()
	if statement, known := sf.network.requestLimits[sf.host]; known {
		return []serverlimit.Statement{statement}
	}
	return nil
}

func (sf singleEngineFleet) LearnRequestLimits(_ id.Host, statements []serverlimit.Statement) {
	for _, statement := range statements {
		sf.network.mutex.Lock()
		sf.network.requestLimits[sf.host] = statement
		sf.network.mutex.Unlock()
		sf.network.servers[sf.host].Refresh()
	}
}

func (singleEngineFleet) ListAge() time.Duration { return 0 }

// emptyQuarantine lets every content run.
type emptyQuarantine struct{}

func (emptyQuarantine) Judge(quarantine.Content) quarantine.Verdict {
	return quarantine.Verdict{Decision: quarantine.Run}
}
func (emptyQuarantine) PartsCompleted(id.Service, []id.PromptPart) bool { return false }
func (emptyQuarantine) LearnReportedEvidence(quarantine.Evidence)       {}

// recordingQuarantine records the crashes that a host's dispatchers learn from reports.
type recordingQuarantine struct {
	emptyQuarantine
	network *network
	host    id.Host
}

func (rq recordingQuarantine) LearnReportedEvidence(evidence quarantine.Evidence) {
	rq.network.mutex.Lock()
	defer rq.network.mutex.Unlock()
	rq.network.learnedCrashes[rq.host] = append(rq.network.learnedCrashes[rq.host], evidence.Crash)
}

func (nw *network) Dispatchers(id.Service) []id.Host {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	return slices.Clone(nw.liveHosts)
}

// call simulates a call to a host: it blocks until the context ends if the host is unresponsive.
func (nw *network) call(ctx context.Context, host id.Host) error {
	nw.mutex.Lock()
	unresponsive := nw.unresponsiveHosts[host]
	nw.mutex.Unlock()
	if unresponsive {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (nw *network) RequestGrant(ctx context.Context, dispatcher id.Host, request broker.GrantRequest) (broker.GrantResponse, error) {
	if err := nw.call(ctx, dispatcher); err != nil {
		return broker.GrantResponse{}, err
	}
	return send(ctx, nw, func() (broker.GrantResponse, error) { return nw.servers[dispatcher].RequestGrant(request) })
}

func (nw *network) DeliverResponse(ctx context.Context, host id.Host, requestID id.Request, response broker.GrantResponse) (bool, error) {
	if err := nw.call(ctx, host); err != nil {
		return false, err
	}
	return send(ctx, nw, func() (bool, error) { return nw.clients[host].DeliverResponse(requestID, response), nil })
}

func (nw *network) AskHeldGrants(ctx context.Context, host id.Host, service id.Service) ([]broker.HeldGrant, error) {
	if err := nw.call(ctx, host); err != nil {
		return nil, err
	}
	return send(ctx, nw, func() ([]broker.HeldGrant, error) { return nw.clients[host].HeldGrants(service), nil })
}

func (nw *network) SendReport(ctx context.Context, dispatcher id.Host, report broker.Report) error {
	if err := nw.call(ctx, dispatcher); err != nil {
		return err
	}
	nw.mutex.Lock()
	reportDelay := nw.reportDelay
	nw.mutex.Unlock()
	time.Sleep(reportDelay)
	if len(report.EndedGrants) > 0 {
		nw.mutex.Lock()
		nw.endReports[report.Host]++
		nw.mutex.Unlock()
	}
	_, err := send(ctx, nw, func() (struct{}, error) { return struct{}{}, nw.servers[dispatcher].HandleReport(report) })
	return err
}

// startHosts runs the given hosts, all of them live, until the returned function is called.
func startHosts(t *testing.T, hosts ...id.Host) (*network, func()) {
	nw := &network{servers: map[id.Host]*broker.Server{}, clients: map[id.Host]*broker.Client{}, liveHosts: hosts, unresponsiveHosts: map[id.Host]bool{}, endReports: map[id.Host]int{}, uninformedHosts: map[id.Host]bool{}, learnedCrashes: map[id.Host][]quarantine.CrashID{}, requestLimits: map[id.Host]serverlimit.Statement{}, evacuated: map[id.Host]bool{}}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	clock, logger := timer.NewSystem(), slog.New(slog.DiscardHandler)
	for _, host := range hosts {
		nw.servers[host] = broker.NewServer(batch.DefaultConfig(), clock, singleEngineFleet{nw, host}, hostNetwork{nw, host}, recordingQuarantine{network: nw, host: host}, tally.NoopScope, logger, 1)
		nw.clients[host] = broker.NewClient(batch.DefaultConfig(), host, clock, hostNetwork{nw, host}, singleEngineFleet{nw, host}, tally.NoopScope, logger, 1)
		nw.clients[host].SetHostsKnown()
	}
	for _, host := range hosts {
		running.Go(func() { _ = nw.servers[host].Run(ctx) })
		running.Go(func() { _ = nw.clients[host].Run(ctx) })
	}
	return nw, func() {
		cancel()
		running.Wait()
	}
}

// setLive changes the live hosts and their order of preference as dispatcher, and notifies them.
func (nw *network) setLive(hosts ...id.Host) {
	nw.mutex.Lock()
	nw.liveHosts = hosts
	nw.mutex.Unlock()
	for _, host := range hosts {
		nw.clients[host].HostsChanged()
		nw.servers[host].Refresh()
	}
}

// delayReports makes reports take some time to arrive from now on.
func (nw *network) delayReports(delay time.Duration) {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	nw.reportDelay = delay
}

// acquire requests a grant on behalf of a host and waits for it up to waitLimit.
func (nw *network) acquire(t *testing.T, host id.Host, requestNumber uint64, waitLimit time.Duration) (batch.Grant, outcome.Outcome) {
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	return nw.clients[host].Acquire(ctx, broker.GrantRequest{Service: service, Request: batch.Request{
		ID: id.NewRequest(host, 1, requestNumber), Organisation: id.Organisation(fmt.Sprint("org-", requestNumber)), PromptTokens: 2000, MaxAnswerTokens: 100,
		FirstEventTarget: time.Second, MaxPause: 250 * time.Millisecond, WaitLimit: waitLimit, ArrivedAt: time.Now(),
	}})
}

// TestReturningDispatcherLearnsHeldGrants checks that a host which becomes the preferred dispatcher learns all held
// grants immediately, even from hosts that request nothing. Otherwise it would grant capacity that is in use.
func TestReturningDispatcherLearnsHeldGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		nw.setLive("second", "third")
		time.Sleep(5 * time.Second)
		for requestNumber := range uint64(engineSlots) {
			_, oc := nw.acquire(t, "third", requestNumber, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
		}
		nw.setLive("first", "second", "third")
		time.Sleep(50 * time.Millisecond)
		_, oc := nw.acquire(t, "second", engineSlots, 300*time.Millisecond)
		assert.Assert(t, !oc.OK(), "a grant was issued for capacity that is in use")
	})
}

// TestNextHostDispatchesWhenFirstUnresponsive checks that the next host in order issues grants when the first one is
// unresponsive, and that it doesn't grant capacity that is in use.
func TestNextHostDispatchesWhenFirstUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		for requestNumber := range uint64(engineSlots - 1) {
			_, oc := nw.acquire(t, "third", requestNumber, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
		}
		nw.mutex.Lock()
		nw.unresponsiveHosts["first"] = true
		nw.mutex.Unlock()
		_, oc := nw.acquire(t, "third", engineSlots, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		_, oc = nw.acquire(t, "second", engineSlots+1, 300*time.Millisecond)
		assert.Assert(t, !oc.OK(), "a grant was issued for capacity that is in use")
	})
}

// TestReleasedGrantGoesToWaitingRequest checks that the capacity of an ended grant immediately goes to a request that
// waits on another host.
func TestReleasedGrantGoesToWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		var lastGrant batch.Grant
		for requestNumber := range uint64(engineSlots) {
			grant, oc := nw.acquire(t, "third", requestNumber, time.Second)
			assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
			lastGrant = grant
		}
		time.AfterFunc(100*time.Millisecond, func() {
			nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: lastGrant.Attempt})
		})
		began := time.Now()
		_, oc := nw.acquire(t, "second", engineSlots, 2*time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		assert.Assert(t, time.Since(began) < 150*time.Millisecond, "it took %s", time.Since(began))
	})
}

// TestEndedGrantReportedAtShutdown checks that a grant which ends just before its host stops is still reported, and
// that nothing is reported after the host has stopped.
func TestEndedGrantReportedAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second")
		grant, oc := nw.acquire(t, "second", 1, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		nw.clients["second"].ReportEnded(broker.EndedGrant{Attempt: grant.Attempt})
		stop()
		assert.Equal(t, nw.endReportCount("second"), 1)
		nw.clients["second"].ReportEnded(broker.EndedGrant{Attempt: grant.Attempt})
		time.Sleep(time.Second)
		assert.Equal(t, nw.endReportCount("second"), 1)
	})
}

// endReportCount returns the number of a host's reports that contained ended grants.
func (nw *network) endReportCount(host id.Host) int {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	return nw.endReports[host]
}

// TestDispatcherWithoutEngineListIsSkipped checks that a host which has just started and doesn't know the engines yet
// is treated like one to which calls fail: it refuses no request, and the next host in order issues the grant.
func TestDispatcherWithoutEngineListIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		nw.mutex.Lock()
		nw.uninformedHosts["first"] = true
		nw.mutex.Unlock()
		_, oc := nw.acquire(t, "third", 1, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
	})
}

// TestEvidenceReachesNextDispatcher checks that a dispatcher receives each piece of evidence about crashes exactly
// once, and that a new dispatcher receives all unexpired evidence: when the first dispatcher becomes unresponsive, when
// it leaves the list of live hosts, and when it is replaced by a host that has received none before.
func TestEvidenceReachesNextDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		reportCrash := func(crash quarantine.CrashID) {
			nw.clients["third"].ReportEvidence(service, quarantine.Evidence{Fingerprint: 7, Crash: crash, Status: quarantine.Confirmed})
			time.Sleep(3 * time.Second)
		}
		learnedCrashes := func(host id.Host) []quarantine.CrashID {
			nw.mutex.Lock()
			defer nw.mutex.Unlock()
			return slices.Clone(nw.learnedCrashes[host])
		}
		reportCrash(1)
		reportCrash(2)
		assert.DeepEqual(t, learnedCrashes("first"), []quarantine.CrashID{1, 2})
		nw.mutex.Lock()
		nw.unresponsiveHosts["first"] = true
		nw.mutex.Unlock()
		reportCrash(3)
		nw.acquire(t, "third", 1, time.Second)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, learnedCrashes("second"), []quarantine.CrashID{1, 2, 3})
		nw.setLive("second", "third")
		reportCrash(4)
		assert.DeepEqual(t, learnedCrashes("second"), []quarantine.CrashID{1, 2, 3, 4})
		time.Sleep(11 * time.Minute)
		nw.setLive("third")
		reportCrash(5)
		// Expired evidence is not reported to the new dispatcher.
		assert.DeepEqual(t, learnedCrashes("third"), []quarantine.CrashID{5})
	})
}

// TestHandOver lets a request wait while another host becomes the dispatcher, with and without a call of Leave on the
// old one. The old dispatcher no longer receives reports of held grants and must not grant the request capacity that is
// in use; the new one must grant it the capacity that becomes free after freedAfter.
func TestHandOver(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			nw, stop := startHosts(t, "first", "second", "third")
			defer stop()
			var lastGrant batch.Grant
			for requestNumber := range uint64(engineSlots) {
				grant, oc := nw.acquire(t, "third", requestNumber, time.Second)
				assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
				lastGrant = grant
			}
			const waitLimit, freedAfter = 20 * time.Second, 15 * time.Second
			began := time.Now()
			time.AfterFunc(time.Second, func() {
				if leaves {
					nw.servers["first"].Leave()
				}
				nw.setLive("second", "third", "first")
			})
			time.AfterFunc(freedAfter, func() { nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: lastGrant.Attempt}) })
			_, oc := nw.acquire(t, "third", engineSlots, waitLimit)
			assert.Assert(t, oc.OK(), "%+v", oc)
			assert.Assert(t, time.Since(began) >= freedAfter, "a place was given that is taken, after %s", time.Since(began))
			assert.Assert(t, time.Since(began) < freedAfter+100*time.Millisecond, "it took %s", time.Since(began))
		})
	}
}

// TestRequestOvertakesHeldGrants guards against a new dispatcher that gets a request of a host before the report of the
// grants that the host holds, and grants capacity that is in use.
func TestRequestOvertakesHeldGrants(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			nw, stop := startHosts(t, "first", "second", "third")
			defer stop()
			for requestNumber := range uint64(engineSlots) {
				_, oc := nw.acquire(t, "third", requestNumber, time.Second)
				assert.Assert(t, oc.OK(), "request %d: %+v", requestNumber, oc)
			}
			time.Sleep(2 * time.Second)
			nw.delayReports(50 * time.Millisecond)
			if leaves {
				nw.servers["first"].Leave()
			}
			nw.setLive("second", "third", "first")
			_, oc := nw.acquire(t, "third", engineSlots, 300*time.Millisecond)
			assert.Assert(t, !oc.OK(), "a grant was issued for capacity that is in use")
		})
	}
}

// TestEvidenceIsReportedTwice guards against reports that are under way at the same time and carry the same evidence.
func TestEvidenceIsReportedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second")
		defer stop()
		nw.delayReports(50 * time.Millisecond)
		var want []quarantine.CrashID
		for crash := range quarantine.CrashID(10) {
			nw.clients["second"].ReportEvidence(service, quarantine.Evidence{Fingerprint: 7, Crash: crash, Status: quarantine.Confirmed})
			want = append(want, crash)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		nw.mutex.Lock()
		defer nw.mutex.Unlock()
		assert.DeepEqual(t, nw.learnedCrashes["first"], want)
	})
}

// TestLeavingDispatcherIsSkipped checks that a request immediately goes to the next dispatcher if the first one is
// leaving.
func TestLeavingDispatcherIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		nw.servers["first"].Leave()
		began := time.Now()
		_, oc := nw.acquire(t, "third", 1, time.Second)
		assert.Assert(t, oc.OK(), "%+v", oc)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond, "it took %s", time.Since(began))
	})
}

// TestDispatchersTogetherKeepRequestLimit has a host that alone knows the request limit of the engine request grants all
// the time, while the first dispatcher is unresponsive for a while, leaves, and returns. The engine must get no more
// than the users allow, nothing while its requests can't be counted, and its rate otherwise.
func TestDispatchersTogetherKeepRequestLimit(t *testing.T) {
	const ratePerSecond = 5
	synctest.Test(t, func(t *testing.T) {
		nw, stop := startHosts(t, "first", "second", "third")
		defer stop()
		nw.mutex.Lock()
		nw.requestLimits["third"] = serverlimit.Statement{Version: 1, Rate: ratePerSecond}
		nw.mutex.Unlock()
		var grantedAt []time.Time
		requestNumber := uint64(0)
		requestGrants := func(duration time.Duration) int {
			before := len(grantedAt)
			for end := time.Now().Add(duration); time.Now().Before(end); requestNumber++ {
				grant, oc := nw.acquire(t, "third", requestNumber, 500*time.Millisecond)
				if !oc.OK() {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				grantedAt = append(grantedAt, time.Now())
				nw.clients["third"].ReportStarted(grant.Attempt)
				nw.clients["third"].ReportEnded(broker.EndedGrant{Attempt: grant.Attempt})
			}
			return len(grantedAt) - before
		}
		assert.Assert(t, requestGrants(10*time.Second) >= 45)
		nw.mutex.Lock()
		nw.unresponsiveHosts["first"] = true
		nw.mutex.Unlock()
		assert.Equal(t, requestGrants(3*time.Second), 0, "granted by a dispatcher that is not the first one")
		nw.setLive("second", "third")
		assert.Assert(t, requestGrants(5*time.Second) >= 20)
		nw.mutex.Lock()
		nw.unresponsiveHosts["first"] = false
		nw.mutex.Unlock()
		nw.setLive("first", "second", "third")
		assert.Assert(t, requestGrants(5*time.Second) >= 15)
		most, allowed := testutil.MaxInWindow(grantedAt, testutil.LimitWindow), testutil.MaxAllowedByLimit(ratePerSecond)
		assert.Assert(t, most <= allowed, "%d grants in 4 s, allowed %d", most, allowed)
	})
}
