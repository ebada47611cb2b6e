package reachability

import "time"

// groupKind says what the servers of a group have in common.
type groupKind int

// Values of groupKind.
const (
	serviceGroup groupKind = iota + 1
	zoneGroup
	allServers
)

// groupKey identifies a group of servers: those of a service or of an availability zone, or all of them.
type groupKey struct {
	kind groupKind
	name string
}

// group holds the failures of the direct way to servers that have something in common.
type group struct {
	// size is the number of listed servers in the group.
	size int
	// failures holds the servers to which the direct way failed since it last succeeded to any server of the group.
	failures map[string]failure
	// cutOff says that the group is reached only through peers. It stays set until the direct way succeeds to a server of
	// the group.
	cutOff bool
}

// failure is the newest failure of the direct way to a server.
type failure struct {
	at     time.Time
	result Result
	// peerReached says that a peer has reached the server since.
	peerReached bool
}

func newGroup() *group { return &group{failures: map[string]failure{}} }

// recordFailure records a failure of the direct way to a server. Older failures than the window are dropped, unless the
// group already counts as cut off.
func (gr *group) recordFailure(config Config, now time.Time, address string, result Result) {
	for other, known := range gr.failures {
		if !gr.cutOff && now.Sub(known.at) > config.FailureWindow {
			delete(gr.failures, other)
		}
	}
	gr.failures[address] = failure{at: now, result: result, peerReached: gr.failures[address].peerReached}
	gr.review(config)
}

// recordThroughPeer records whether a peer reached a server to which the direct way has failed.
func (gr *group) recordThroughPeer(config Config, address string, reached bool) {
	known, found := gr.failures[address]
	if !found {
		return
	}
	known.peerReached = reached
	gr.failures[address] = known
	gr.review(config)
}

// recordSuccess records that a new connection to a server of the group was opened.
func (gr *group) recordSuccess() {
	clear(gr.failures)
	gr.cutOff = false
}

// recordAnswer records an answer on a connection that was opened earlier. It shows that packets pass, so that timeouts
// have another cause, but not that new connections are accepted.
func (gr *group) recordAnswer() {
	for address, known := range gr.failures {
		if known.result == TimedOut {
			delete(gr.failures, address)
		}
	}
	gr.cutOff = gr.cutOff && len(gr.failures) > 0
}

// forget drops the failure of a server that is no longer listed.
func (gr *group) forget(config Config, address string) {
	delete(gr.failures, address)
	gr.cutOff = gr.cutOff && len(gr.failures) > 0
	gr.review(config)
}

// review sets cutOff if the failures suffice. Servers that no peer reaches count as well, as long as a peer reaches one.
func (gr *group) review(config Config) {
	if gr.cutOff || gr.size == 0 || len(gr.failures) < min(config.MinFailedServers, gr.size) {
		return
	}
	for _, known := range gr.failures {
		gr.cutOff = gr.cutOff || known.peerReached
	}
}

// way returns the way to servers of the group that have not failed themselves.
func (gr *group) way() Way {
	if !gr.cutOff {
		return Direct
	}
	for _, known := range gr.failures {
		if known.result == TimedOut {
			return ThroughPeer
		}
	}
	return KeptConnections
}
