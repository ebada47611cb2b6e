package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/transport/peer"
)

func TestMain(m *testing.M) { testutil.Main(m) }

const (
	oneWayLatency = 2 * time.Millisecond
	// frameBytes is the overhead of HTTP/2 for a small request or response: frame headers and indexed header fields.
	frameBytes = 60
	tickPeriod = 100 * time.Millisecond
)

// scheduledEvent is a function to run at a point of the virtual time. The sequence orders events of the same time.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// simulatedNetwork runs membership machines on virtual time and counts the messages that they exchange.
type simulatedNetwork struct {
	now      time.Duration
	sequence int
	events   *container.Heap[scheduledEvent]
	random   *rand.Rand
	// lossRate is the fraction of calls that are lost.
	lossRate float64
	machines map[id.Host]*membership.Machine
	hosts    []id.Host
	// stopped holds hosts that have died.
	stopped map[id.Host]bool
	// partitioned holds hosts that reach only each other.
	partitioned  map[id.Host]bool
	bytesSent    int
	messagesSent int
	// declaredDeadAt holds, by the host that was declared dead, the times at which other hosts declared it.
	declaredDeadAt map[id.Host][]time.Duration
	// factLearnedAt and revisionFetchedAt hold, by host, when it last learned a fact and fetched a newer revision.
	factLearnedAt     map[id.Host]time.Duration
	revisionFetchedAt map[id.Host]time.Duration
}

// newSimulatedNetwork returns a network of running hosts that know each other already. Their ticks are spread evenly
// over tickPeriod.
func newSimulatedNetwork(hostCount int, lossRate float64, seed uint64) *simulatedNetwork {
	nw := &simulatedNetwork{
		events: container.NewHeap(func(left, right scheduledEvent) bool {
			return left.at < right.at || left.at == right.at && left.sequence < right.sequence
		}),
		random:            rand.New(rand.NewPCG(seed, seed)),
		lossRate:          lossRate,
		machines:          map[id.Host]*membership.Machine{},
		stopped:           map[id.Host]bool{},
		partitioned:       map[id.Host]bool{},
		declaredDeadAt:    map[id.Host][]time.Duration{},
		factLearnedAt:     map[id.Host]time.Duration{},
		revisionFetchedAt: map[id.Host]time.Duration{},
	}
	fullState := membership.Message{FullState: true}
	for number := range hostCount {
		mb := testMember(number)
		nw.hosts = append(nw.hosts, mb.Host)
		nw.machines[mb.Host] = membership.New(membership.DefaultConfig(), mb, seed+uint64(number))
		fullState.Updates = append(fullState.Updates, nw.machines[mb.Host].LocalMember())
	}
	for number, host := range nw.hosts {
		nw.machines[host].Step(nw.wallTime(), membership.Received{Message: fullState})
		nw.scheduleTicks(host, time.Duration(number)*tickPeriod/time.Duration(hostCount))
	}
	return nw
}

// testMember describes a host of one availability zone that differs by its number.
func testMember(number int) membership.Member {
	return membership.Member{
		Host: id.Host(fmt.Sprintf("accra-a-%03d", number)), Incarnation: 1,
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:8100", number/250, number%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8000", number/250, number%250), AvailabilityZone: "accra-a",
	}
}

func (nw *simulatedNetwork) wallTime() time.Time { return time.Unix(0, 0).Add(nw.now) }

// schedule runs a function at a point of the virtual time.
func (nw *simulatedNetwork) schedule(at time.Duration, run func()) {
	nw.sequence++
	nw.events.Push(scheduledEvent{at: at, sequence: nw.sequence, run: run})
}

// scheduleTicks makes a host tick from a point of the virtual time on until it stops.
func (nw *simulatedNetwork) scheduleTicks(host id.Host, at time.Duration) {
	nw.schedule(at, func() {
		if nw.stopped[host] {
			return
		}
		nw.step(host, membership.Tick{})
		nw.scheduleTicks(host, nw.now+tickPeriod)
	})
}

// step passes an event to the machine of a host and carries out the effects.
func (nw *simulatedNetwork) step(host id.Host, ev membership.Event) {
	for _, ef := range append([]membership.Effect(nil), nw.machines[host].Step(nw.wallTime(), ev)...) {
		switch ef.Kind {
		case membership.SendProbe:
			nw.probe(host, ef)
		case membership.MemberChanged:
			if ef.Member.Status == membership.Dead {
				nw.declaredDeadAt[ef.Member.Host] = append(nw.declaredDeadAt[ef.Member.Host], nw.now)
			}
		case membership.FactLearned:
			nw.factLearnedAt[host] = nw.now
		case membership.NewerRevision:
			nw.fetchRevision(host, ef.Host)
		}
	}
}

// fetchRevision gives a host the revision of the configuration of another host after the round trip of one call.
func (nw *simulatedNetwork) fetchRevision(host, from id.Host) {
	revision := nw.machines[from].NextMessage().Revision
	nw.schedule(nw.now+2*oneWayLatency, func() {
		nw.revisionFetchedAt[host] = nw.now
		nw.machines[host].SetRevision(revision)
	})
}

// countMessage adds a message to the counted traffic.
func (nw *simulatedNetwork) countMessage(msg membership.Message) {
	nw.messagesSent++
	nw.bytesSent += frameBytes + proto.Size(peer.EncodeMembershipMessage(msg))
}

// reaches reports whether a call from one host to another succeeds.
func (nw *simulatedNetwork) reaches(from, to id.Host) bool {
	return !nw.stopped[from] && !nw.stopped[to] && nw.partitioned[from] == nw.partitioned[to] && nw.random.Float64() >= nw.lossRate
}

// exchange delivers a message and returns the answer, and false if the message was lost or the receiver is unreachable.
func (nw *simulatedNetwork) exchange(from, to id.Host, msg membership.Message) (membership.Message, bool) {
	nw.countMessage(msg)
	if !nw.reaches(from, to) {
		return membership.Message{}, false
	}
	nw.step(to, membership.Received{Message: msg})
	answer := nw.machines[to].NextMessage()
	nw.countMessage(answer)
	return answer, true
}

// probe carries out a direct or indirect probe. A failed probe ends after 400 ms, the default ExchangeTimeout of
// package gossip.
func (nw *simulatedNetwork) probe(host id.Host, ef membership.Effect) {
	nw.schedule(nw.now+oneWayLatency, func() {
		ended := membership.ProbeEnded{Target: ef.Target.Host, Via: ef.Via.Host}
		if ef.Via.Host == "" {
			ended.Answer, ended.Reached = nw.exchange(host, ef.Target.Host, ef.Message)
		} else if answer, ok := nw.exchange(host, ef.Via.Host, ef.Message); ok {
			ended.Answer = answer
			_, ended.Reached = nw.exchange(ef.Via.Host, ef.Target.Host, nw.machines[ef.Via.Host].NextMessage())
		}
		delay := oneWayLatency
		if !ended.Reached {
			delay = 400 * time.Millisecond
		}
		nw.schedule(nw.now+delay, func() {
			if !nw.stopped[host] {
				nw.step(host, ended)
			}
		})
	})
}

// run processes all events up to a point of the virtual time.
func (nw *simulatedNetwork) run(until time.Duration) {
	for nw.events.Len() > 0 && nw.events.Peek().at <= until {
		ev := nw.events.Pop()
		nw.now = ev.at
		ev.run()
	}
	nw.now = until
}

// liveHosts returns how many hosts are live in the view of a host.
func (nw *simulatedNetwork) liveHosts(host id.Host) int { return len(nw.machines[host].Live()) }

// TestDeadHostIsDetected checks that every host learns of a death within the same limit for any number of hosts.
func TestDeadHostIsDetected(t *testing.T) {
	const limit = 8 * time.Second
	for _, hostCount := range []int{3, 18, 60, 180} {
		nw := newSimulatedNetwork(hostCount, 0, 1)
		nw.run(5 * time.Second)
		victim := nw.hosts[hostCount/2]
		nw.stopped[victim] = true
		nw.run(5*time.Second + limit)
		for _, host := range nw.hosts {
			if host != victim {
				assert.Equal(t, nw.liveHosts(host), hostCount-1, "%d hosts, in the view of %s", hostCount, host)
			}
		}
	}
}

// TestPacketLossCausesNoFalseDeaths loses five percent of all calls for two minutes. No live host may be declared dead.
func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	nw := newSimulatedNetwork(60, 0.05, 1)
	nw.run(2 * time.Minute)
	assert.Equal(t, len(nw.declaredDeadAt), 0)
}

// TestPartitionHeals separates six of 18 hosts until both sides have declared each other dead. When the partition ends,
// all hosts must find each other again.
func TestPartitionHeals(t *testing.T) {
	nw := newSimulatedNetwork(18, 0, 1)
	nw.run(5 * time.Second)
	for _, host := range nw.hosts[:6] {
		nw.partitioned[host] = true
	}
	nw.run(30 * time.Second)
	assert.Equal(t, nw.liveHosts(nw.hosts[0]), 6)
	assert.Equal(t, nw.liveHosts(nw.hosts[17]), 12)
	clear(nw.partitioned)
	nw.run(5 * time.Minute)
	for _, host := range nw.hosts {
		assert.Equal(t, nw.liveHosts(host), 18, "in the view of %s", host)
	}
}

// TestDeparturesFactsAndRevisionsSpread checks that a departure, a fact and a new revision of the configuration spread to
// the other hosts although two percent of the calls are lost.
func TestDeparturesFactsAndRevisionsSpread(t *testing.T) {
	nw := newSimulatedNetwork(60, 0.02, 1)
	nw.run(time.Second)
	nw.step(nw.hosts[3], membership.Leave{})
	nw.machines[nw.hosts[4]].SpreadFact(membership.Fact{Kind: membership.CrashFact, Key: 7, Value: 2})
	nw.machines[nw.hosts[5]].SetRevision(41)
	nw.run(6 * time.Second)
	for _, host := range nw.hosts {
		assert.Equal(t, nw.liveHosts(host), 59, "in the view of %s", host)
	}
	assert.Equal(t, len(nw.factLearnedAt), 59)
	assert.Assert(t, len(nw.revisionFetchedAt) > 0)
}

// TestRevisionReachesAllHosts bounds the time from the moment at which the first host has read an edit until the last
// host has. In operation, up to 0.2 s pass before that until some host polls the log.
func TestRevisionReachesAllHosts(t *testing.T) {
	const limit = 4 * time.Second
	for _, hostCount := range []int{18, 180, 490} {
		nw := newSimulatedNetwork(hostCount, 0.02, 1)
		nw.run(3 * time.Second)
		nw.machines[nw.hosts[0]].SetRevision(7)
		nw.run(3*time.Second + limit)
		assert.Equal(t, len(nw.revisionFetchedAt), hostCount-1, "of %d hosts", hostCount)
	}
}

// TestLateIndirectProbesDoNotHideDeath makes a member suspect through a refused connection while three indirect probes
// of it are pending. The member refutes the suspicion, and then dies before it has answered a direct probe. The
// indirect probes that failed late must not keep it from becoming suspect again.
func TestLateIndirectProbesDoNotHideDeath(t *testing.T) {
	now := time.Unix(0, 0)
	mc := membership.New(membership.DefaultConfig(), testMember(0), 1)
	fullState := membership.Message{FullState: true}
	for number := 1; number < 6; number++ {
		mb := testMember(number)
		mb.Status = membership.Alive
		fullState.Updates = append(fullState.Updates, mb)
	}
	mc.Step(now, membership.Received{Message: fullState})
	target := testMember(5)
	suspectWhileIndirectProbesPending := func() {
		effects := append([]membership.Effect(nil), mc.Step(now, membership.ProbeEnded{Target: target.Host})...)
		mc.Step(now, membership.ConnectionRefused{Host: target.Host})
		for _, ef := range effects {
			mc.Step(now, membership.ProbeEnded{Target: target.Host, Via: ef.Via.Host})
		}
	}
	suspectWhileIndirectProbesPending()
	target.Status = membership.Alive
	target.Sequence = 1
	mc.Step(now, membership.Received{Message: membership.Message{From: "other", Updates: []membership.Member{target}}})
	indirectProbes := append([]membership.Effect(nil), mc.Step(now, membership.ProbeEnded{Target: target.Host})...)
	assert.Equal(t, len(indirectProbes), 3, "indirect probes must be sent again")
	for _, ef := range indirectProbes {
		mc.Step(now, membership.ProbeEnded{Target: target.Host, Via: ef.Via.Host})
	}
	suspected, _ := mc.Member(target.Host)
	assert.Equal(t, suspected.Status, membership.Suspect)
}
