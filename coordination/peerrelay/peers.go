package peerrelay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Members provides the local view of the cluster membership.
type Members interface {
	// RemoteMembers returns the members other than the local host.
	RemoteMembers() []membership.Member
}

// preferredCalls is the number of this host's calls in progress at each peer of the preferred availability zone from
// which on peers of other zones are chosen too.
const preferredCalls = 16

// How long a peer gets no calls after one that it did not take.
const (
	failedPeerBackoff      = time.Second
	busyPeerBackoff        = 100 * time.Millisecond
	unsupportedPeerBackoff = time.Minute
)

// peers chooses the peers that make calls on behalf of this host. It is safe for concurrent use.
type peers struct {
	members Members
	zone    id.AvailabilityZone
	clock   timer.Clock

	// mutex guards the fields below.
	mutex  sync.Mutex
	random *rand.Rand
	// calls holds the number of calls in progress by peer, backoffUntil when a peer gets calls again.
	calls        map[id.Host]int
	backoffUntil map[id.Host]time.Time
	// cutOff holds the newest value of the fact about each host that is or was cut off, by the hash of its name.
	cutOff map[uint64]int64
}

func newPeers(members Members, zone id.AvailabilityZone, clock timer.Clock, seed uint64) *peers {
	return &peers{
		members: members, zone: zone, clock: clock, random: rand.New(rand.NewPCG(seed, seed)),
		calls: map[id.Host]int{}, backoffUntil: map[id.Host]time.Time{}, cutOff: map[uint64]int64{},
	}
}

// any reports whether there is any other host whose status is not Dead.
func (pr *peers) any() bool {
	for _, member := range pr.members.RemoteMembers() {
		if member.Status != membership.Dead {
			return true
		}
	}
	return false
}

// choose returns a peer for a call to a server in an availability zone, other than those tried. It prefers peers in this
// host's zone, then those in the server's zone; those in zones that may be cut off as a whole come last. Among these it
// takes the one of two random ones that has fewer calls of this host in progress. The caller must call the returned
// function when the call has ended.
func (pr *peers) choose(serverZone id.AvailabilityZone, tried []id.Host, cutOffZones []id.AvailabilityZone) (membership.Member, func(), bool) {
	members := pr.members.RemoteMembers()
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	now := pr.clock.Now()
	var ownZone, sameZone, others, last, backedOff []membership.Member
	for _, member := range members {
		switch {
		case !pr.usable(member, tried):
		case now.Before(pr.backoffUntil[member.Host]):
			backedOff = append(backedOff, member)
		case slices.Contains(cutOffZones, member.AvailabilityZone):
			last = append(last, member)
		case member.AvailabilityZone == pr.zone:
			ownZone = append(ownZone, member)
		case member.AvailabilityZone == serverZone:
			sameZone = append(sameZone, member)
		default:
			others = append(others, member)
		}
	}
	var candidates []membership.Member
	for _, preferred := range [][]membership.Member{ownZone, sameZone, others, last} {
		candidates = append(candidates, preferred...)
		if pr.hasRoom(candidates) {
			break
		}
	}
	if len(candidates) == 0 {
		candidates = backedOff
	}
	if len(candidates) == 0 {
		return membership.Member{}, nil, false
	}
	first, second := candidates[pr.random.IntN(len(candidates))], candidates[pr.random.IntN(len(candidates))]
	if pr.calls[second.Host] < pr.calls[first.Host] {
		first = second
	}
	pr.calls[first.Host]++
	return first, sync.OnceFunc(func() { pr.endCall(first.Host) }), true
}

// usable reports whether a member may get a call. The caller holds the mutex.
func (pr *peers) usable(member membership.Member, tried []id.Host) bool {
	return !slices.Contains(tried, member.Host) && member.Status == membership.Alive && !pr.isCutOff(member)
}

// hasRoom reports whether one of the members has fewer calls of this host in progress than preferredCalls. The caller
// holds the mutex.
func (pr *peers) hasRoom(members []membership.Member) bool {
	for _, member := range members {
		if pr.calls[member.Host] < preferredCalls {
			return true
		}
	}
	return false
}

func (pr *peers) endCall(host id.Host) {
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	if pr.calls[host]--; pr.calls[host] <= 0 {
		delete(pr.calls, host)
	}
}

// backOff makes a peer get no calls for a time that depends on why it did not take one.
func (pr *peers) backOff(host id.Host, reason Reason) {
	backoff := failedPeerBackoff
	switch reason {
	case Busy:
		backoff = busyPeerBackoff
	case Unsupported:
		backoff = unsupportedPeerBackoff
	}
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	pr.backoffUntil[host] = pr.clock.Now().Add(backoff)
}

// CutOffFact returns the fact that a host is or is no longer cut off from the backend servers. Of two facts about a
// host, the later one has the higher value.
func CutOffFact(host id.Host, now time.Time, cutOff bool) membership.Fact {
	value := now.UnixMilli() << 1
	if cutOff {
		value |= 1
	}
	return membership.Fact{Kind: membership.CutOffFact, Key: xxhash.Sum64String(string(host)), Value: value}
}

// learnCutOff records a fact about another host.
func (pr *peers) learnCutOff(fact membership.Fact) {
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	pr.cutOff[fact.Key] = max(pr.cutOff[fact.Key], fact.Value)
}

// isCutOff reports whether a member is cut off from the backend servers. A fact from before the start of the member's
// process does not count. The caller holds the mutex.
func (pr *peers) isCutOff(member membership.Member) bool {
	value := pr.cutOff[xxhash.Sum64String(string(member.Host))]
	return value&1 == 1 && value>>1 >= time.Unix(0, int64(member.Incarnation)).UnixMilli()
}

// cutOffHosts returns the names of the live hosts that are cut off, in order.
func (pr *peers) cutOffHosts() []id.Host {
	members := pr.members.RemoteMembers()
	pr.mutex.Lock()
	defer pr.mutex.Unlock()
	var hosts []id.Host
	for _, member := range members {
		if member.Status != membership.Dead && pr.isCutOff(member) {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}
