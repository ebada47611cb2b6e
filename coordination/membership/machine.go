package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Machine is one host's view of the membership.
type Machine struct {
	config  Config
	random  *rand.Rand
	local   Member
	members map[id.Host]*peer
	// localZoneRound and far are the orders in which members of the own availability zone and of others are probed. probes counts the
	// probes of both.
	localZoneRound  probeRound
	remoteZoneRound probeRound
	probeCount      int
	lastProbe       time.Time
	// lastDeadProbe is when a dead member was last probed.
	lastDeadProbe   time.Time
	revision        id.Offset
	highestRevision id.Offset
	memberUpdates   transmitQueue[id.Host]
	facts           map[factID]factValue
	// now is the time of the newest step, lastFactSweep when old facts were last looked for.
	now           time.Time
	lastFactSweep time.Time
	factUpdates   transmitQueue[factID]
	effects       []Effect
}

// factValue is the value of a fact and when it was learnt.
type factValue struct {
	value     int64
	learnedAt time.Time
}

type peer struct {
	Member
	// statusSince is when the status was learnt.
	statusSince time.Time
	// pendingIndirectProbes is the number of indirect probes that have not ended.
	pendingIndirectProbes int
}

// New returns a machine that knows only its own host. The seed determines the order of probes.
func New(config Config, local Member, seed uint64) *Machine {
	local.Status = Alive
	mc := &Machine{
		config:   config,
		random:   rand.New(rand.NewPCG(seed, seed)),
		local:    local,
		members:  map[id.Host]*peer{},
		revision: id.NoOffset,
		facts:    map[factID]factValue{},
	}
	mc.memberUpdates.add(local.Host)
	return mc
}

// Step takes one event and returns what is to be done. The effects are valid until the next step.
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

// NextMessage returns the message that answers one from another member.
func (mc *Machine) NextMessage() Message {
	return mc.buildMessage("")
}

// FullState returns a message with every member and fact, for a host that joins.
func (mc *Machine) FullState() Message {
	msg := Message{From: mc.local.Host, Revision: mc.revision, Updates: []Member{mc.local}, FullState: true}
	for _, pr := range mc.members {
		msg.Updates = append(msg.Updates, pr.Member)
	}
	for key, fv := range mc.facts {
		msg.Facts = append(msg.Facts, key.withValue(fv.value))
	}
	return msg
}

// JoinMessage returns the message by which a host joins.
func (mc *Machine) JoinMessage() Message {
	return Message{From: mc.local.Host, Revision: mc.revision, Updates: []Member{mc.local}, Joining: true}
}

// Member returns what is known of a host.
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

// SetRevision sets the revision of the configuration that messages carry.
func (mc *Machine) SetRevision(revision id.Offset) {
	mc.revision = revision
	mc.highestRevision = max(mc.highestRevision, revision)
}

// SpreadFact adds a fact and passes it on.
func (mc *Machine) SpreadFact(fact Fact) {
	mc.mergeFact(fact, true)
}

// LocalMember returns the own host's description.
func (mc *Machine) LocalMember() Member {
	return mc.local
}

// RemoteMembers returns all known hosts but the own one, in order.
func (mc *Machine) RemoteMembers() []Member {
	members := make([]Member, 0, len(mc.members))
	for _, pr := range mc.members {
		members = append(members, pr.Member)
	}
	slices.SortFunc(members, func(left, right Member) int { return strings.Compare(string(left.Host), string(right.Host)) })
	return members
}

// Live returns the hosts that take new work, including the own one.
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

// pushFacts passes facts on to random members beside the probes.
func (mc *Machine) pushFacts() {
	for _, mb := range mc.randomAlive(mc.config.PushFanout, "") {
		mc.probe(mb)
	}
}

// dropExpiredFacts drops old facts, so that they do not gather over the life of a host.
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

func (mc *Machine) leave() {
	if mc.local.Status == Leaving {
		return
	}
	mc.local.Status = Leaving
	mc.local.Sequence++
	mc.memberUpdates.add(mc.local.Host)
	mc.effects = append(mc.effects, Effect{Kind: MemberChanged, Member: mc.local})
}

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
	if msg.From != "" && msg.Revision > mc.highestRevision {
		mc.highestRevision = msg.Revision
		mc.effects = append(mc.effects, Effect{Kind: NewerRevision, Host: msg.From})
	}
}

// RetryNewerRevision makes the machine report again that it is behind, after records could not be fetched.
func (mc *Machine) RetryNewerRevision() {
	mc.highestRevision = mc.revision
}

// mergeFact takes a fact that is new and reports whether it was.
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

// mergeMember takes a statement about a host if it is newer than what is known, and reports whether it was.
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
		pr = &peer{}
		mc.members[mb.Host] = pr
		mc.insertIntoRound(mb)
	}
	pr.Member = mb
	pr.statusSince = now
	mc.effects = append(mc.effects, Effect{Kind: MemberChanged, Member: mb})
	return true
}

// insertIntoRound puts a new member at a random place of the probing order, so that hosts that learnt the members in the same
// order do not probe them in the same order.
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

// recordLocalFinding takes an own finding about a host and passes it on.
func (mc *Machine) recordLocalFinding(now time.Time, mb Member) {
	if mc.mergeMember(now, mb) {
		mc.memberUpdates.add(mb.Host)
	}
}

// refute answers a false statement about the own host with a higher sequence number.
func (mc *Machine) refute(mb Member) {
	if mb.Incarnation != mc.local.Incarnation || mb.Status <= mc.local.Status || mb.Sequence < mc.local.Sequence {
		return
	}
	mc.local.Sequence = mb.Sequence + 1
	mc.memberUpdates.add(mc.local.Host)
}

// buildMessage returns a message with the changes that have been passed on least.
func (mc *Machine) buildMessage(probeTarget id.Host) Message {
	msg := Message{From: mc.local.Host, Revision: mc.revision, ProbeTarget: probeTarget}
	maxTransmissions := mc.config.RetransmitMultiplier * bits.Len(uint(len(mc.members)+1))
	for _, host := range mc.memberUpdates.takeLeastSent(mc.config.MaxUpdates, maxTransmissions) {
		if host == mc.local.Host {
			msg.Updates = append(msg.Updates, mc.local)
		} else if pr, found := mc.members[host]; found {
			msg.Updates = append(msg.Updates, pr.Member)
		}
	}
	for _, key := range mc.factUpdates.takeLeastSent(mc.config.MaxFacts, maxTransmissions) {
		msg.Facts = append(msg.Facts, key.withValue(mc.facts[key].value))
	}
	return msg
}
