// Package succession orders the hosts that may act as dispatcher of a service, so that all hosts agree on the first one
// without asking each other.
//
// It is a pure function of the live members: it reads no clock, starts no goroutine and does no I/O.
package succession

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// minLateStart is how long after the oldest live host a host must have started to be ordered behind others. Hosts that
	// are started together are not ordered by the seconds between their starts.
	minLateStart = 10 * time.Second
	// lateStartFraction is the part of the time between the first and the last start of the live hosts, as a divisor, that
	// replaces minLateStart if it is longer.
	lateStartFraction = 16
)

const (
	// startOrderMask covers the lowest bits of an incarnation, less than 2 us. startOrderMark in them says that the host
	// orders dispatchers by their starts. It is odd, so that no time in whole microseconds has it.
	startOrderMask = id.Incarnation(1<<10 - 1)
	startOrderMark = id.Incarnation(0x2a5)
)

// MarkIncarnation returns an incarnation that tells the other hosts that this host orders dispatchers by their starts.
// It differs from the given one by less than 2 us. Hosts of earlier builds pass the mark on unchanged.
func MarkIncarnation(incarnation id.Incarnation) id.Incarnation {
	return incarnation&^startOrderMask | startOrderMark
}

// isMarked reports whether an incarnation was returned by MarkIncarnation.
func isMarked(incarnation id.Incarnation) bool { return incarnation&startOrderMask == startOrderMark }

// Order returns the live hosts in order of preference as dispatcher of a service. Hosts with the largest processor share
// come first, because one dispatcher serves all hosts. Among hosts with equal shares, those that started late come last,
// so that a host that has just been started does not take the service from one that serves it. Otherwise a hash of the
// host and the service decides.
//
// The order does not depend on the order of the members. If a live host does not order dispatchers by their starts, none
// counts as late, because all hosts must agree.
func Order(service id.Service, live []membership.Member) []id.Host {
	type rank struct {
		share uint32
		late  bool
	}
	ranks := make(map[id.Host]rank, len(live))
	hosts := make([]id.Host, len(live))
	lateFrom := firstLateStart(live)
	for index, member := range live {
		hosts[index] = member.Host
		ranks[member.Host] = rank{share: member.ProcessorShare, late: member.Incarnation >= lateFrom}
	}
	ordered := id.RendezvousOrder("Service/"+string(service), hosts)
	slices.SortStableFunc(ordered, func(left, right id.Host) int {
		leftRank, rightRank := ranks[left], ranks[right]
		if byShare := cmp.Compare(rightRank.share, leftRank.share); byShare != 0 {
			return byShare
		}
		return compareLate(leftRank.late, rightRank.late)
	})
	return ordered
}

// StartedLate reports whether Order places a host behind others because of its start.
func StartedLate(host id.Host, live []membership.Member) bool {
	lateFrom := firstLateStart(live)
	return slices.ContainsFunc(live, func(member membership.Member) bool { return member.Host == host && member.Incarnation >= lateFrom })
}

// compareLate returns a negative number if left goes before right.
func compareLate(left, right bool) int {
	switch {
	case left == right:
		return 0
	case right:
		return -1
	default:
		return 1
	}
}

// firstLateStart returns the incarnation from which on a host counts as started late.
func firstLateStart(live []membership.Member) id.Incarnation {
	const never = id.Incarnation(1<<63 - 1)
	oldest, newest := never, id.Incarnation(0)
	for _, member := range live {
		if !isMarked(member.Incarnation) {
			return never
		}
		oldest, newest = min(oldest, member.Incarnation), max(newest, member.Incarnation)
	}
	if len(live) == 0 {
		return never
	}
	return oldest + max(id.Incarnation(minLateStart), (newest-oldest)/lateStartFraction)
}
