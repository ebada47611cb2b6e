package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/transport/peer"
)

func TestMain(m *testing.M) { checks.Main(m) }

const (
	latency = 2 * time.Millisecond
	// frameBytes is what HTTP/2 adds to a small call or answer: frame headers and indexed header fields.
	frameBytes = 60
	tickPeriod = 100 * time.Millisecond
)

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// network runs membership machines on virtual time and counts what they send.
type network struct {
	now      time.Duration
	sequence int
	events   *container.Heap[event]
	random   *rand.Rand
	// loss is the part of calls that get no answer.
	loss     float64
	machines map[id.Host]*membership.Machine
	order    []id.Host
	dead     map[id.Host]bool
	// cut holds hosts that can't reach the others.
	cut      map[id.Host]bool
	bytes    int
	messages int
	deadAt   map[id.Host][]time.Duration
	learnt   map[id.Host]time.Duration
	behind   map[id.Host]time.Duration
}

func newNetwork(hosts int, loss float64, seed uint64) *network {
	nw := &network{
		events: container.NewHeap(func(left, right event) bool {
			return left.at < right.at || left.at == right.at && left.sequence < right.sequence
		}),
		random:   rand.New(rand.NewPCG(seed, seed)),
		loss:     loss,
		machines: map[id.Host]*membership.Machine{},
		dead:     map[id.Host]bool{},
		cut:      map[id.Host]bool{},
		deadAt:   map[id.Host][]time.Duration{},
		learnt:   map[id.Host]time.Duration{},
		behind:   map[id.Host]time.Duration{},
	}
	everyone := membership.Message{FullState: true}
	for number := range hosts {
		mb := describe(number)
		nw.order = append(nw.order, mb.Host)
		nw.machines[mb.Host] = membership.New(membership.DefaultConfig(), mb, seed+uint64(number))
		everyone.Updates = append(everyone.Updates, nw.machines[mb.Host].LocalMember())
	}
	for number, host := range nw.order {
		nw.machines[host].Step(nw.clock(), membership.Received{Message: everyone})
		nw.tick(host, time.Duration(number)*tickPeriod/time.Duration(hosts))
	}
	return nw
}

func describe(number int) membership.Member {
	return membership.Member{
		Host: id.Host(fmt.Sprintf("accra-a-%03d", number)), Incarnation: 1,
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:8100", number/250, number%250),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:8000", number/250, number%250), AvailabilityZone: "accra-a",
	}
}

func (nw *network) clock() time.Time { return time.Unix(0, 0).Add(nw.now) }

func (nw *network) at(when time.Duration, run func()) {
	nw.sequence++
	nw.events.Push(event{at: when, sequence: nw.sequence, run: run})
}

func (nw *network) tick(host id.Host, at time.Duration) {
	nw.at(at, func() {
		if nw.dead[host] {
			return
		}
		nw.step(host, membership.Tick{})
		nw.tick(host, nw.now+tickPeriod)
	})
}

func (nw *network) step(host id.Host, ev membership.Event) {
	for _, ef := range append([]membership.Effect(nil), nw.machines[host].Step(nw.clock(), ev)...) {
		switch ef.Kind {
		case membership.SendProbe:
			nw.probe(host, ef)
		case membership.MemberChanged:
			if ef.Member.Status == membership.Dead {
				nw.deadAt[ef.Member.Host] = append(nw.deadAt[ef.Member.Host], nw.now)
			}
		case membership.FactLearned:
			nw.learnt[host] = nw.now
		case membership.NewerRevision:
			nw.fetch(host, ef.Host)
		}
	}
}

// fetch takes the revision of another host, a call later.
func (nw *network) fetch(host, from id.Host) {
	revision := nw.machines[from].NextMessage().Revision
	nw.at(nw.now+2*latency, func() {
		nw.behind[host] = nw.now
		nw.machines[host].SetRevision(revision)
	})
}

// count adds a message to the traffic.
func (nw *network) count(msg membership.Message) {
	nw.messages++
	nw.bytes += frameBytes + proto.Size(peer.EncodeMessage(msg))
}

func (nw *network) reaches(from, to id.Host) bool {
	return !nw.dead[from] && !nw.dead[to] && nw.cut[from] == nw.cut[to] && nw.random.Float64() >= nw.loss
}

// exchange delivers a message and returns whether its answer comes back.
func (nw *network) exchange(from, to id.Host, msg membership.Message) (membership.Message, bool) {
	nw.count(msg)
	if !nw.reaches(from, to) {
		return membership.Message{}, false
	}
	nw.step(to, membership.Received{Message: msg})
	answer := nw.machines[to].NextMessage()
	nw.count(answer)
	return answer, true
}

func (nw *network) probe(host id.Host, ef membership.Effect) {
	nw.at(nw.now+latency, func() {
		ended := membership.ProbeEnded{Target: ef.Target.Host, Via: ef.Via.Host}
		if ef.Via.Host == "" {
			ended.Answer, ended.Reached = nw.exchange(host, ef.Target.Host, ef.Message)
		} else if answer, ok := nw.exchange(host, ef.Via.Host, ef.Message); ok {
			ended.Answer = answer
			_, ended.Reached = nw.exchange(ef.Via.Host, ef.Target.Host, nw.machines[ef.Via.Host].NextMessage())
		}
		wait := latency
		if !ended.Reached {
			wait = 400 * time.Millisecond
		}
		nw.at(nw.now+wait, func() {
			if !nw.dead[host] {
				nw.step(host, ended)
			}
		})
	})
}

func (nw *network) run(until time.Duration) {
	for nw.events.Len() > 0 && nw.events.Peek().at <= until {
		ev := nw.events.Pop()
		nw.now = ev.at
		ev.run()
	}
	nw.now = until
}

func (nw *network) live(host id.Host) int { return len(nw.machines[host].Live()) }

// TestDeadHostIsDetected bounds the time until every host knows of a death, whatever the number of hosts.
func TestDeadHostIsDetected(t *testing.T) {
	const limit = 8 * time.Second
	for _, hosts := range []int{3, 18, 60, 180} {
		nw := newNetwork(hosts, 0, 1)
		nw.run(5 * time.Second)
		victim := nw.order[hosts/2]
		nw.dead[victim] = true
		nw.run(5*time.Second + limit)
		for _, host := range nw.order {
			if host != victim {
				assert.Equal(t, nw.live(host), hosts-1, "%d hosts, seen by %s", hosts, host)
			}
		}
	}
}

func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	nw := newNetwork(60, 0.05, 1)
	nw.run(2 * time.Minute)
	assert.Equal(t, len(nw.deadAt), 0)
}

func TestPartitionHeals(t *testing.T) {
	nw := newNetwork(18, 0, 1)
	nw.run(5 * time.Second)
	for _, host := range nw.order[:6] {
		nw.cut[host] = true
	}
	nw.run(30 * time.Second)
	assert.Equal(t, nw.live(nw.order[0]), 6)
	assert.Equal(t, nw.live(nw.order[17]), 12)
	clear(nw.cut)
	nw.run(5 * time.Minute)
	for _, host := range nw.order {
		assert.Equal(t, nw.live(host), 18, "seen by %s", host)
	}
}

func TestLeavingFactsAndRevisionsSpread(t *testing.T) {
	nw := newNetwork(60, 0.02, 1)
	nw.run(time.Second)
	nw.step(nw.order[3], membership.Leave{})
	nw.machines[nw.order[4]].SpreadFact(membership.Fact{Kind: membership.CrashFact, Key: 7, Value: 2})
	nw.machines[nw.order[5]].SetRevision(41)
	nw.run(6 * time.Second)
	for _, host := range nw.order {
		assert.Equal(t, nw.live(host), 59, "seen by %s", host)
	}
	assert.Equal(t, len(nw.learnt), 59)
	assert.Assert(t, len(nw.behind) > 0)
}

// TestRevisionReachesAllHosts bounds the time from the first host that has read an edit to the last one. A poll of
// the log by some host comes before it, within 0.2 s.
func TestRevisionReachesAllHosts(t *testing.T) {
	const limit = 4 * time.Second
	for _, hosts := range []int{18, 180, 490} {
		nw := newNetwork(hosts, 0.02, 1)
		nw.run(3 * time.Second)
		nw.machines[nw.order[0]].SetRevision(7)
		nw.run(3*time.Second + limit)
		assert.Equal(t, len(nw.behind), hosts-1, "of %d hosts", hosts)
	}
}

// TestLateIndirectProbesDoNotHideDeath has a member suspected, by a refused connection, while three helpers still probe it.
// It refutes, and then dies before it has answered a probe of its own: it must be suspected again.
func TestLateIndirectProbesDoNotHideDeath(t *testing.T) {
	now := time.Unix(0, 0)
	mc := membership.New(membership.DefaultConfig(), describe(0), 1)
	everyone := membership.Message{FullState: true}
	for number := 1; number < 6; number++ {
		mb := describe(number)
		mb.Status = membership.Alive
		everyone.Updates = append(everyone.Updates, mb)
	}
	mc.Step(now, membership.Received{Message: everyone})
	target := describe(5)
	fail := func() {
		effects := append([]membership.Effect(nil), mc.Step(now, membership.ProbeEnded{Target: target.Host})...)
		mc.Step(now, membership.ConnectionRefused{Host: target.Host})
		for _, ef := range effects {
			mc.Step(now, membership.ProbeEnded{Target: target.Host, Via: ef.Via.Host})
		}
	}
	fail()
	target.Status = membership.Alive
	target.Sequence = 1
	mc.Step(now, membership.Received{Message: membership.Message{From: "other", Updates: []membership.Member{target}}})
	helpers := append([]membership.Effect(nil), mc.Step(now, membership.ProbeEnded{Target: target.Host})...)
	assert.Equal(t, len(helpers), 3, "helpers are asked again")
	for _, ef := range helpers {
		mc.Step(now, membership.ProbeEnded{Target: target.Host, Via: ef.Via.Host})
	}
	suspected, _ := mc.Member(target.Host)
	assert.Equal(t, suspected.Status, membership.Suspect)
}
