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
	self    Member
	members map[id.Host]*peer
	// near and far are the orders in which members of the own availability zone and of others are probed. probes counts the
	// probes of both.
	near     round
	far      round
	probes   int
	probedAt time.Time
	// revivedAt is when a dead member was last probed.
	revivedAt time.Time
	revision  id.Offset
	behind    id.Offset
	updates   spreader[id.Host]
	facts     map[factID]factValue
	// now is the time of the newest step, sweptAt when old facts were last looked for.
	now     time.Time
	sweptAt time.Time
	rumours spreader[factID]
	effects []Effect
}

// factValue is the value of a fact and when it was learnt.
type factValue struct {
	value int64
	since time.Time
}

type peer struct {
	Member
	// since is when the status was learnt.
	since time.Time
	// helpers is the number of indirect probes that have not ended.
	helpers int
}

// New returns a machine that knows only its own host. The seed determines the order of probes.
func New(config Config, self Member, seed uint64) *Machine {
	self.Status = Alive
	mc := &Machine{
		config:   config,
		random:   rand.New(rand.NewPCG(seed, seed)),
		self:     self,
		members:  map[id.Host]*peer{},
		revision: id.NoOffset,
		facts:    map[factID]factValue{},
	}
	mc.updates.add(self.Host)
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
		mc.hurry()
	case Received:
		mc.merge(now, ev.Message)
	case ProbeEnded:
		mc.probeEnded(now, ev)
	case ConnectionRefused:
		mc.suspect(now, ev.Host)
	case Leave:
		mc.leave()
	}
	return mc.effects
}

// NextMessage returns the message that answers one from another member.
func (mc *Machine) NextMessage() Message {
	return mc.message("")
}

// FullState returns a message with every member and fact, for a host that joins.
func (mc *Machine) FullState() Message {
	msg := Message{From: mc.self.Host, Revision: mc.revision, Updates: []Member{mc.self}, FullState: true}
	for _, pr := range mc.members {
		msg.Updates = append(msg.Updates, pr.Member)
	}
	for fact, known := range mc.facts {
		msg.Facts = append(msg.Facts, fact.with(known.value))
	}
	return msg
}

// JoinMessage returns the message by which a host joins.
func (mc *Machine) JoinMessage() Message {
	return Message{From: mc.self.Host, Revision: mc.revision, Updates: []Member{mc.self}, Joining: true}
}

// Member returns what is known of a host.
func (mc *Machine) Member(host id.Host) (Member, bool) {
	if host == mc.self.Host {
		return mc.self, true
	}
	pr, known := mc.members[host]
	if !known {
		return Member{}, false
	}
	return pr.Member, true
}

// SetRevision sets the revision of the configuration that messages carry.
func (mc *Machine) SetRevision(revision id.Offset) {
	mc.revision = revision
	mc.behind = max(mc.behind, revision)
}

// SpreadFact adds a fact and passes it on.
func (mc *Machine) SpreadFact(fact Fact) {
	mc.learn(fact, true)
}

// LocalMember returns the own host's description.
func (mc *Machine) LocalMember() Member {
	return mc.self
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
	if mc.self.Status == Alive {
		live = append(live, mc.self)
	}
	for _, mb := range mc.RemoteMembers() {
		if mb.Status == Alive || mb.Status == Suspect {
			live = append(live, mb)
		}
	}
	return live
}

func (mc *Machine) tick(now time.Time) {
	mc.expire(now)
	mc.forgetFacts(now)
	if now.Sub(mc.probedAt) < mc.config.ProbePeriod {
		return
	}
	mc.probedAt = now
	target, ok := mc.nextTarget()
	if !ok {
		return
	}
	mc.probe(target)
	mc.reviveDue(now)
}

// hurry passes facts on to random members beside the probes.
func (mc *Machine) hurry() {
	for _, mb := range mc.anyAlive(mc.config.PushFanout, "") {
		mc.probe(mb)
	}
}

// forgetFacts drops old facts, so that they do not gather over the life of a host.
func (mc *Machine) forgetFacts(now time.Time) {
	const sweepPeriod = time.Minute
	if now.Sub(mc.sweptAt) < sweepPeriod {
		return
	}
	mc.sweptAt = now
	for key, known := range mc.facts {
		if now.Sub(known.since) > mc.config.FactTTL {
			delete(mc.facts, key)
			mc.rumours.remove(key)
		}
	}
}

func (mc *Machine) leave() {
	if mc.self.Status == Leaving {
		return
	}
	mc.self.Status = Leaving
	mc.self.Sequence++
	mc.updates.add(mc.self.Host)
	mc.effects = append(mc.effects, Effect{Kind: MemberChanged, Member: mc.self})
}

func (mc *Machine) merge(now time.Time, msg Message) {
	for _, mb := range msg.Updates {
		if mc.apply(now, mb) && !msg.FullState {
			mc.updates.add(mb.Host)
		}
	}
	hurried := false
	for _, fact := range msg.Facts {
		if mc.learn(fact, !msg.FullState) {
			mc.effects = append(mc.effects, Effect{Kind: FactLearned, Fact: fact})
			hurried = hurried || !msg.FullState
		}
	}
	if hurried {
		mc.effects = append(mc.effects, Effect{Kind: PushFactsSoon})
	}
	if msg.From != "" && msg.Revision > mc.behind {
		mc.behind = msg.Revision
		mc.effects = append(mc.effects, Effect{Kind: NewerRevision, Host: msg.From})
	}
}

// RetryNewerRevision makes the machine report again that it is behind, after records could not be fetched.
func (mc *Machine) RetryNewerRevision() {
	mc.behind = mc.revision
}

// learn takes a fact that is new and reports whether it was.
func (mc *Machine) learn(fact Fact, spread bool) bool {
	key := factID{kind: fact.Kind, key: fact.Key, detail: fact.Detail}
	if old, known := mc.facts[key]; known && old.value >= fact.Value {
		return false
	}
	mc.facts[key] = factValue{value: fact.Value, since: mc.now}
	if spread {
		mc.rumours.add(key)
	}
	return true
}

// apply takes a statement about a host if it is newer than what is known, and reports whether it was.
func (mc *Machine) apply(now time.Time, mb Member) bool {
	if mb.Host == mc.self.Host {
		mc.refute(mb)
		return false
	}
	pr, known := mc.members[mb.Host]
	if known && !mb.overrides(pr.Member) {
		return false
	}
	if !known {
		if mb.Status == Dead {
			return false
		}
		pr = &peer{}
		mc.members[mb.Host] = pr
		mc.insert(mb)
	}
	pr.Member = mb
	pr.since = now
	mc.effects = append(mc.effects, Effect{Kind: MemberChanged, Member: mb})
	return true
}

// insert puts a new member at a random place of the probing order, so that hosts that learnt the members in the same
// order do not probe them in the same order.
func (mc *Machine) insert(mb Member) {
	rd := &mc.far
	if mb.AvailabilityZone == mc.self.AvailabilityZone {
		rd = &mc.near
	}
	at := mc.random.IntN(len(rd.order) + 1)
	rd.order = slices.Insert(rd.order, at, mb.Host)
	if at < rd.position {
		rd.position++
	}
}

// declare takes an own finding about a host and passes it on.
func (mc *Machine) declare(now time.Time, mb Member) {
	if mc.apply(now, mb) {
		mc.updates.add(mb.Host)
	}
}

// refute answers a false statement about the own host with a higher sequence number.
func (mc *Machine) refute(mb Member) {
	if mb.Incarnation != mc.self.Incarnation || mb.Status <= mc.self.Status || mb.Sequence < mc.self.Sequence {
		return
	}
	mc.self.Sequence = mb.Sequence + 1
	mc.updates.add(mc.self.Host)
}

// message returns a message with the changes that have been passed on least.
func (mc *Machine) message(probe id.Host) Message {
	msg := Message{From: mc.self.Host, Revision: mc.revision, ProbeTarget: probe}
	limit := mc.config.RetransmitMultiplier * bits.Len(uint(len(mc.members)+1))
	for _, host := range mc.updates.take(mc.config.MaxUpdates, limit) {
		if host == mc.self.Host {
			msg.Updates = append(msg.Updates, mc.self)
		} else if pr, known := mc.members[host]; known {
			msg.Updates = append(msg.Updates, pr.Member)
		}
	}
	for _, fact := range mc.rumours.take(mc.config.MaxFacts, limit) {
		msg.Facts = append(msg.Facts, fact.with(mc.facts[fact].value))
	}
	return msg
}
