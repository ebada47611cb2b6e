package membership

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// probe sends a message to a member. The message tells a suspect or dead member its status, to let it refute that.
func (mc *Machine) probe(target Member) {
	msg := mc.buildMessage("")
	if target.Status == Suspect || target.Status == Dead {
		msg.Updates = append(msg.Updates, target)
	}
	mc.effects = append(mc.effects, Effect{Kind: SendProbe, Target: target, Message: msg})
}

// probeDeadMember probes a random dead member once in every DeadProbePeriod, so that hosts that were partitioned from
// each other find each other again.
func (mc *Machine) probeDeadMember(now time.Time) {
	if now.Sub(mc.lastDeadProbe) < mc.config.DeadProbePeriod {
		return
	}
	mc.lastDeadProbe = now
	var dead []Member
	for _, mb := range mc.RemoteMembers() {
		if mb.Status == Dead {
			dead = append(dead, mb)
		}
	}
	if len(dead) > 0 {
		mc.probe(dead[mc.random.IntN(len(dead))])
	}
}

// expireMembers declares suspects dead whose timeout has passed, and forgets members that have been dead for long.
func (mc *Machine) expireMembers(now time.Time) {
	var expired []id.Host
	for host, pr := range mc.members {
		if timeout, expires := mc.statusTimeout(pr.Status); expires && now.Sub(pr.updatedAt) >= timeout {
			expired = append(expired, host)
		}
	}
	slices.Sort(expired)
	for _, host := range expired {
		if mb := mc.members[host].Member; mb.Status == Suspect {
			mb.Status = Dead
			mc.recordLocalFinding(now, mb)
			continue
		}
		delete(mc.members, host)
		mc.memberUpdates.remove(host)
	}
}

// statusTimeout returns how long a member keeps a status, and false if it keeps it until the next update.
func (mc *Machine) statusTimeout(status Status) (time.Duration, bool) {
	switch status {
	case Suspect:
		return mc.config.SuspectTimeout, true
	case Dead:
		return mc.config.DeadMemberTTL, true
	default:
		return 0, false
	}
}

// probeRound is the order in which members are probed. It is reshuffled after each round.
type probeRound struct {
	order     []id.Host
	nextIndex int
}

// nextTarget returns the next member to probe, and false if there is none. It mostly selects members of the local
// availability zone, where messages are cheap. Every member that is not dead is probed once in each round of its
// zones.
func (mc *Machine) nextTarget() (Member, bool) {
	mc.probeCount++
	preferred, fallback := &mc.localZoneRound, &mc.remoteZoneRound
	if mc.probeCount%mc.config.RemoteZoneProbeEvery == 0 {
		preferred, fallback = fallback, preferred
	}
	if mb, ok := mc.nextInRound(preferred); ok {
		return mb, true
	}
	return mc.nextInRound(fallback)
}

// nextInRound returns the next member of a round that is not dead, and false if there is none. It starts a new round
// when the current one has ended.
func (mc *Machine) nextInRound(rd *probeRound) (Member, bool) {
	for range len(rd.order) + 1 {
		if rd.nextIndex >= len(rd.order) {
			mc.startRound(rd)
		}
		if len(rd.order) == 0 {
			return Member{}, false
		}
		host := rd.order[rd.nextIndex]
		rd.nextIndex++
		if pr, ok := mc.members[host]; ok && pr.Status != Dead {
			return pr.Member, true
		}
	}
	return Member{}, false
}

// startRound fills a round with the members that are not dead and belong in it, in random order: those of the local
// availability zone or those of all other zones.
func (mc *Machine) startRound(rd *probeRound) {
	rd.order = rd.order[:0]
	for _, mb := range mc.RemoteMembers() {
		if sameZone := mb.AvailabilityZone == mc.local.AvailabilityZone; mb.Status != Dead && sameZone == (rd == &mc.localZoneRound) {
			rd.order = append(rd.order, mb.Host)
		}
	}
	mc.random.Shuffle(len(rd.order), func(left, right int) {
		rd.order[left], rd.order[right] = rd.order[right], rd.order[left]
	})
	rd.nextIndex = 0
}

// probeEnded merges the answer of a probe. When a direct probe failed, other members are asked to probe the target too;
// it becomes suspect when all of these probes have failed, or immediately if there is no other member to ask.
func (mc *Machine) probeEnded(now time.Time, ev ProbeEnded) {
	mc.mergeMessage(now, ev.Answer)
	pr, found := mc.members[ev.Target]
	if ev.Reached {
		if found {
			pr.pendingIndirectProbes = 0
		}
		return
	}
	if found && ev.Via != "" {
		mc.indirectProbeFailed(now, pr)
		return
	}
	if !found || pr.Status == Dead || pr.Status == Suspect || pr.pendingIndirectProbes > 0 {
		return
	}
	helpers := mc.randomAlive(mc.config.IndirectProbes, ev.Target)
	pr.pendingIndirectProbes = len(helpers)
	if len(helpers) == 0 {
		mc.markSuspect(now, ev.Target)
	}
	for _, helper := range helpers {
		mc.effects = append(mc.effects, Effect{Kind: SendProbe, Target: pr.Member, Via: helper, Message: mc.buildMessage(ev.Target)})
	}
}

// indirectProbeFailed counts an indirect probe that did not reach a member, whatever the member's status is by now, and
// makes the member suspect after the last one. Indirect probes that end after the member has answered are ignored.
func (mc *Machine) indirectProbeFailed(now time.Time, pr *peerState) {
	if pr.pendingIndirectProbes == 0 {
		return
	}
	pr.pendingIndirectProbes--
	if pr.pendingIndirectProbes == 0 {
		mc.markSuspect(now, pr.Host)
	}
}

// randomAlive returns up to count random members that are alive, other than the excluded one.
func (mc *Machine) randomAlive(count int, exclude id.Host) []Member {
	var alive []Member
	for _, mb := range mc.RemoteMembers() {
		if mb.Host != exclude && mb.Status == Alive {
			alive = append(alive, mb)
		}
	}
	mc.random.Shuffle(len(alive), func(left, right int) { alive[left], alive[right] = alive[right], alive[left] })
	return alive[:min(len(alive), count)]
}

// markSuspect makes a member suspect unless it is suspect or dead already, and queues the update to be spread.
func (mc *Machine) markSuspect(now time.Time, host id.Host) {
	pr, found := mc.members[host]
	if !found || pr.Status == Dead || pr.Status == Suspect {
		return
	}
	suspected := pr.Member
	suspected.Status = Suspect
	mc.recordLocalFinding(now, suspected)
}
