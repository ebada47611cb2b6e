package reachability

import (
	"maps"
	"time"
)

// Outage decides whether no backend server can be reached by any way: neither on this host's own connections nor through a
// peer. It is a pure state machine that is not safe for concurrent use. The zero value knows of no failure.
type Outage struct {
	// failedSince is when the first server failed since one was last reached, directly or through a peer.
	failedSince time.Time
	failed      map[string]struct{}
	// peersFailedAt is when a peer last could not help.
	peersFailedAt time.Time
}

// minFailedServers is the number of servers that must have failed, unless there are fewer: one or two may be down.
const minFailedServers = 8

// RecordReached records that a server was reached, by any way.
func (ou *Outage) RecordReached() { *ou = Outage{} }

// RecordFailure records that the server at an address could not be reached directly.
func (ou *Outage) RecordFailure(now time.Time, address string) {
	if ou.failed == nil {
		ou.failed, ou.failedSince = map[string]struct{}{}, now
	}
	ou.failed[address] = struct{}{}
}

// ForgetUnlisted forgets the servers at addresses that are not listed any more.
func (ou *Outage) ForgetUnlisted(isListed func(address string) bool) {
	maps.DeleteFunc(ou.failed, func(address string, _ struct{}) bool { return !isListed(address) })
}

// RecordPeerFailure records that a peer reached no server either, or that there is no peer to ask.
func (ou *Outage) RecordPeerFailure(now time.Time) { ou.peersFailedAt = now }

// Suspected reports whether enough servers have failed to look at the others, and none has been reached since.
func (ou *Outage) Suspected() bool {
	const suspiciousFailures = 2
	return len(ou.failed) >= suspiciousFailures
}

// HasFailed reports whether the server at an address has failed since one was last reached.
func (ou *Outage) HasFailed(address string) bool {
	_, failed := ou.failed[address]
	return failed
}

// Total reports whether none of a number of servers can be reached. Peers count if there are any.
func (ou *Outage) Total(servers int, hasPeers bool) bool {
	if servers == 0 || len(ou.failed) < min(servers, minFailedServers) {
		return false
	}
	return !hasPeers || !ou.peersFailedAt.Before(ou.failedSince)
}
