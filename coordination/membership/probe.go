package membership

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// probe sends a message to a member. A member that is not alive as far as is known is told so, to refute it.
func (mc *Machine) probe(target Member) {
	msg := mc.message("")
	if target.Status == Suspect || target.Status == Dead {
		msg.Updates = append(msg.Updates, target)
	}
	mc.effects = append(mc.effects, Effect{Kind: SendProbe, Target: target, Message: msg})
}

// reviveDue probes a dead member now and then, so that hosts that were cut off find each other again.
func (mc *Machine) reviveDue(now time.Time) {
	if now.Sub(mc.revivedAt) < mc.config.DeadProbePeriod {
		return
	}
	mc.revivedAt = now
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

// expire declares suspects dead and forgets old members.
func (mc *Machine) expire(now time.Time) {
	var due []id.Host
	for host, pr := range mc.members {
		if wait, expires := mc.lifetime(pr.Status); expires && now.Sub(pr.since) >= wait {
			due = append(due, host)
		}
	}
	slices.Sort(due)
	for _, host := range due {
		if mb := mc.members[host].Member; mb.Status == Suspect {
			mb.Status = Dead
			mc.declare(now, mb)
			continue
		}
		delete(mc.members, host)
		mc.updates.remove(host)
	}
}

// lifetime returns how long a member keeps a status, and false if it keeps it until there is news.
func (mc *Machine) lifetime(status Status) (time.Duration, bool) {
	switch status {
	case Suspect:
		return mc.config.SuspectTimeout, true
	case Dead:
		return mc.config.DeadMemberTTL, true
	default:
		return 0, false
	}
}

// round is an order in which members are probed; it is shuffled after each round.
type round struct {
	order    []id.Host
	position int
}

// nextTarget returns the next member to probe: mostly one of the own availability zone, where messages are cheap. Every
// member of each round that is not dead is probed once in it.
func (mc *Machine) nextTarget() (Member, bool) {
	mc.probes++
	first, second := &mc.near, &mc.far
	if mc.probes%mc.config.RemoteZoneProbeEvery == 0 {
		first, second = second, first
	}
	if mb, ok := mc.nextOf(first); ok {
		return mb, true
	}
	return mc.nextOf(second)
}

func (mc *Machine) nextOf(rd *round) (Member, bool) {
	for range len(rd.order) + 1 {
		if rd.position >= len(rd.order) {
			mc.shuffle(rd)
		}
		if len(rd.order) == 0 {
			return Member{}, false
		}
		host := rd.order[rd.position]
		rd.position++
		if pr, ok := mc.members[host]; ok && pr.Status != Dead {
			return pr.Member, true
		}
	}
	return Member{}, false
}

// shuffle begins a round anew with the members of its kind that are not dead.
func (mc *Machine) shuffle(rd *round) {
	rd.order = rd.order[:0]
	for _, mb := range mc.RemoteMembers() {
		if near := mb.AvailabilityZone == mc.self.AvailabilityZone; mb.Status != Dead && near == (rd == &mc.near) {
			rd.order = append(rd.order, mb.Host)
		}
	}
	mc.random.Shuffle(len(rd.order), func(left, right int) {
		rd.order[left], rd.order[right] = rd.order[right], rd.order[left]
	})
	rd.position = 0
}

func (mc *Machine) probeEnded(now time.Time, ev ProbeEnded) {
	mc.merge(now, ev.Answer)
	pr, known := mc.members[ev.Target]
	if ev.Reached {
		if known {
			pr.helpers = 0
		}
		return
	}
	if known && ev.Via != "" {
		mc.helperFailed(now, pr)
		return
	}
	if !known || pr.Status == Dead || pr.Status == Suspect || pr.helpers > 0 {
		return
	}
	helpers := mc.anyAlive(mc.config.IndirectProbes, ev.Target)
	pr.helpers = len(helpers)
	if len(helpers) == 0 {
		mc.suspect(now, ev.Target)
	}
	for _, helper := range helpers {
		mc.effects = append(mc.effects, Effect{Kind: SendProbe, Target: pr.Member, Via: helper, Message: mc.message(ev.Target)})
	}
}

// helperFailed counts an indirect probe that did not reach a member, whatever the member's status is by now.
// Indirect probes that end after the member has answered count for nothing.
func (mc *Machine) helperFailed(now time.Time, pr *peer) {
	if pr.helpers == 0 {
		return
	}
	pr.helpers--
	if pr.helpers == 0 {
		mc.suspect(now, pr.Host)
	}
}

// anyAlive returns up to count random members that are alive, without one of them.
func (mc *Machine) anyAlive(count int, without id.Host) []Member {
	var alive []Member
	for _, mb := range mc.RemoteMembers() {
		if mb.Host != without && mb.Status == Alive {
			alive = append(alive, mb)
		}
	}
	mc.random.Shuffle(len(alive), func(left, right int) { alive[left], alive[right] = alive[right], alive[left] })
	return alive[:min(len(alive), count)]
}

func (mc *Machine) suspect(now time.Time, host id.Host) {
	pr, known := mc.members[host]
	if !known || pr.Status == Dead || pr.Status == Suspect {
		return
	}
	suspected := pr.Member
	suspected.Status = Suspect
	mc.declare(now, suspected)
}
