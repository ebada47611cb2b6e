package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Machine is one host's view of the membership, and decides what the host sends to the others. It is not safe for
// concurrent use.
type Machine struct {
	config  Config
	random  *rand.Rand
	local   Member
	members map[id.Host]*peerState
	// localZoneRound and remoteZoneRound are the orders in which members of the local availability zone and of the
	// other zones are probed. probeCount counts the periodic probes of both.
	localZoneRound  probeRound
	remoteZoneRound probeRound
	probeCount      int
	// lastProbe is the time of the last periodic probe, lastDeadProbe that of the last probe of a dead member.
	lastProbe     time.Time
	lastDeadProbe time.Time
	// localRevision is the local host's revision of the configuration.
	localRevision id.Offset
	// reportedRevision is the highest revision that the local host had or that was reported by NewerRevision. Only
	// higher ones are reported.
	reportedRevision id.Offset
	// memberUpdates holds the hosts whose descriptions are still to be sent to other members.
	memberUpdates transmitQueue[id.Host]
	facts         map[factID]factValue
	// now is the time of the current step, lastFactSweep that of the last removal of expired facts.
	now           time.Time
	lastFactSweep time.Time
	// factUpdates holds the facts that are still to be sent to other members.
	factUpdates transmitQueue[factID]
	// effects holds the effects of the newest step. The next step reuses its memory.
	effects []Effect
}

type factValue struct {
	value int64
	// learnedAt is when the fact was first learned with this value.
	learnedAt time.Time
}

// peerState is what the machine knows about another host.
type peerState struct {
	Member
	// updatedAt is when the newest statement about the host, and with it its status, was learned.
	updatedAt time.Time
	// pendingIndirectProbes is the number of indirect probes of the host that have not ended, zero once the host
	// answers.
	pendingIndirectProbes int
}

// New returns a machine that knows only the local host. The seed determines all random choices.
func New(config Config, local Member, seed uint64) *Machine {
	local.Status = Alive
	mc := &Machine{
		config:        config,
		random:        rand.New(rand.NewPCG(seed, seed)),
		local:         local,
		members:       map[id.Host]*peerState{},
		localRevision: id.NoOffset,
		facts:         map[factID]factValue{},
	}
	mc.memberUpdates.add(local.Host)
	return mc
}

// Step processes one event and returns what the caller has to do. The effects are valid until the next step.
func (mc *Machine) Step(now time.Time, ev Event) []Effect {
	mc.effects = mc.effects[:0]
	mc.now = now
	switch ev := ev.(type) {
	case Tick:
		mc.tick(now)
	case PushFacts:
		mc.pushFacts()
	case Received:
		mc.mergeMessage(now, ev.Message)
	case ProbeEnded:
		mc.probeEnded(now, ev)
	case ConnectionRefused:
		mc.markSuspect(now, ev.Host)
	case Leave:
		mc.leave()
	}
	return mc.effects
}

// NextMessage returns a message with the queued updates that have been sent least often, and counts them as sent. The
// message may be an answer or go to any member.
func (mc *Machine) NextMessage() Message {
	return mc.buildMessage("")
}

// FullState returns a message with all members and facts, the answer to a host that joins.
func (mc *Machine) FullState() Message {
	msg := Message{From: mc.local.Host, Revision: mc.localRevision, Updates: []Member{mc.local}, FullState: true}
	for _, pr := range mc.members {
		msg.Updates = append(msg.Updates, pr.Member)
	}
	for key, fv := range mc.facts {
		msg.Facts = append(msg.Facts, key.withValue(fv.value))
	}
	return msg
}

// JoinMessage returns the message by which the local host joins the others: it asks for the receiver's full state.
func (mc *Machine) JoinMessage() Message {
	return Message{From: mc.local.Host, Revision: mc.localRevision, Updates: []Member{mc.local}, Joining: true}
}

// Member returns the description of a host, the local one included, and false if the host is unknown.
func (mc *Machine) Member(host id.Host) (Member, bool) {
	if host == mc.local.Host {
		return mc.local, true
	}
	pr, found := mc.members[host]
	if !found {
		return Member{}, false
	}
	return pr.Member, true
}

// SetRevision sets the local host's revision of the configuration, which messages carry.
func (mc *Machine) SetRevision(revision id.Offset) {
	mc.localRevision = revision
	mc.reportedRevision = max(mc.reportedRevision, revision)
}

// SpreadFact records a fact of the local host and queues it to be sent, unless the same or a higher value is known.
func (mc *Machine) SpreadFact(fact Fact) {
	mc.mergeFact(fact, true)
}

// LocalMember returns the description of the local host.
func (mc *Machine) LocalMember() Member {
	return mc.local
}

// RemoteMembers returns all known hosts except the local one, dead ones included, sorted by name.
func (mc *Machine) RemoteMembers() []Member {
	members := make([]Member, 0, len(mc.members))
	for _, pr := range mc.members {
		members = append(members, pr.Member)
	}
	slices.SortFunc(members, func(left, right Member) int { return strings.Compare(string(left.Host), string(right.Host)) })
	return members
}

// Live returns the hosts that accept new requests, including the local one unless it is leaving. Suspect hosts are
// included, because they may still refute the suspicion, even those that were leaving when they became suspect.
func (mc *Machine) Live() []Member {
	var live []Member
	if mc.local.Status == Alive {
		live = append(live, mc.local)
	}
	for _, mb := range mc.RemoteMembers() {
		if mb.Status == Alive || mb.Status == Suspect {
			live = append(live, mb)
		}
	}
	return live
}

// tick expires suspicions, members and facts, and sends the periodic probes that are due.
func (mc *Machine) tick(now time.Time) {
	mc.expireMembers(now)
	mc.dropExpiredFacts(now)
	if now.Sub(mc.lastProbe) < mc.config.ProbePeriod {
		return
	}
	mc.lastProbe = now
	target, ok := mc.nextTarget()
	if !ok {
		return
	}
	mc.probe(target)
	mc.probeDeadMember(now)
}

// pushFacts sends messages with queued facts to PushFanout random members, in addition to the periodic probes.
func (mc *Machine) pushFacts() {
	for _, mb := range mc.randomAlive(mc.config.PushFanout, "") {
		mc.probe(mb)
	}
}

// dropExpiredFacts removes facts older than FactTTL, so that they do not accumulate while the host runs.
func (mc *Machine) dropExpiredFacts(now time.Time) {
	const sweepPeriod = time.Minute
	if now.Sub(mc.lastFactSweep) < sweepPeriod {
		return
	}
	mc.lastFactSweep = now
	for key, fv := range mc.facts {
		if now.Sub(fv.learnedAt) > mc.config.FactTTL {
			delete(mc.facts, key)
			mc.factUpdates.remove(key)
		}
	}
}

// leave makes the local host leaving and queues the update. A second call does nothing.
func (mc *Machine) leave() {
	if mc.local.Status == Leaving {
		return
	}
	mc.local.Status = Leaving
	mc.local.Sequence++
	mc.memberUpdates.add(mc.local.Host)
	mc.effects = append(mc.effects, Effect{Kind: MemberChanged, Member: mc.local})
}

// mergeMessage merges the updates and facts of a message. It queues new ones to be sent on, unless the message is a
// full state, and reports a higher revision of the configuration once.
func (mc *Machine) mergeMessage(now time.Time, msg Message) {
	for _, mb := range msg.Updates {
		if mc.mergeMember(now, mb) && !msg.FullState {
			mc.memberUpdates.add(mb.Host)
		}
	}
	pushNeeded := false
	for _, fact := range msg.Facts {
		if mc.mergeFact(fact, !msg.FullState) {
			mc.effects = append(mc.effects, Effect{Kind: FactLearned, Fact: fact})
			pushNeeded = pushNeeded || !msg.FullState
		}
	}
	if pushNeeded {
		mc.effects = append(mc.effects, Effect{Kind: PushFactsSoon})
	}
	if msg.From != "" && msg.Revision > mc.reportedRevision {
		mc.reportedRevision = msg.Revision
		mc.effects = append(mc.effects, Effect{Kind: NewerRevision, Host: msg.From})
	}
}

// RetryNewerRevision makes the machine report NewerRevision again for a revision that it has reported before. The
// caller calls it if it could not fetch the records of that revision.
func (mc *Machine) RetryNewerRevision() {
	mc.reportedRevision = mc.localRevision
}

// mergeFact records a fact if its value is higher than the known one, and reports whether it was. It queues a new fact
// to be sent if spread is set.
func (mc *Machine) mergeFact(fact Fact, spread bool) bool {
	key := factID{kind: fact.Kind, key: fact.Key, detail: fact.Detail}
	if current, found := mc.facts[key]; found && current.value >= fact.Value {
		return false
	}
	mc.facts[key] = factValue{value: fact.Value, learnedAt: mc.now}
	if spread {
		mc.factUpdates.add(key)
	}
	return true
}

// mergeMember records a statement about a host if it overrides what is known, and reports whether it did. A statement
// about the local host is never recorded; if it is false, it is refuted. A dead host that is not known is ignored, so
// that forgotten members do not reappear.
func (mc *Machine) mergeMember(now time.Time, mb Member) bool {
	if mb.Host == mc.local.Host {
		mc.refute(mb)
		return false
	}
	pr, found := mc.members[mb.Host]
	if found && !mb.overrides(pr.Member) {
		return false
	}
	if !found {
		if mb.Status == Dead {
			return false
		}
		pr = &peerState{}
		mc.members[mb.Host] = pr
		mc.insertIntoRound(mb)
	}
	pr.Member = mb
	pr.updatedAt = now
	mc.effects = append(mc.effects, Effect{Kind: MemberChanged, Member: mb})
	return true
}

// insertIntoRound inserts a new member at a random position of the probing order, so that hosts that learned of the
// members in the same order do not probe them in the same order.
func (mc *Machine) insertIntoRound(mb Member) {
	rd := &mc.remoteZoneRound
	if mb.AvailabilityZone == mc.local.AvailabilityZone {
		rd = &mc.localZoneRound
	}
	position := mc.random.IntN(len(rd.order) + 1)
	rd.order = slices.Insert(rd.order, position, mb.Host)
	if position < rd.nextIndex {
		rd.nextIndex++
	}
}

// recordLocalFinding records what the local host found out about a member, and queues it to be sent.
func (mc *Machine) recordLocalFinding(now time.Time, mb Member) {
	if mc.mergeMember(now, mb) {
		mc.memberUpdates.add(mb.Host)
	}
}

// refute raises the local host's sequence number above that of a false statement about it, such as a suspicion, and
// queues the update. Statements about an earlier incarnation, or with an older sequence number, need no answer.
func (mc *Machine) refute(mb Member) {
	if mb.Incarnation != mc.local.Incarnation || mb.Status <= mc.local.Status || mb.Sequence < mc.local.Sequence {
		return
	}
	mc.local.Sequence = mb.Sequence + 1
	mc.memberUpdates.add(mc.local.Host)
}

// buildMessage returns a message with the queued updates that have been sent least often. Updates are sent a number of
// times that grows with the logarithm of the number of members, and then removed. probeTarget is empty unless the
// receiver is to probe that member.
func (mc *Machine) buildMessage(probeTarget id.Host) Message {
	msg := Message{From: mc.local.Host, Revision: mc.localRevision, ProbeTarget: probeTarget}
	maxTimesSent := mc.config.RetransmitMultiplier * bits.Len(uint(len(mc.members)+1))
	for _, host := range mc.memberUpdates.takeLeastSent(mc.config.MaxUpdates, maxTimesSent) {
		if host == mc.local.Host {
			msg.Updates = append(msg.Updates, mc.local)
		} else if pr, found := mc.members[host]; found {
			msg.Updates = append(msg.Updates, pr.Member)
		}
	}
	for _, key := range mc.factUpdates.takeLeastSent(mc.config.MaxFacts, maxTimesSent) {
		msg.Facts = append(msg.Facts, key.withValue(mc.facts[key].value))
	}
	return msg
}
