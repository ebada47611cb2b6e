package reachability

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// Tracker knows the way to each backend server by its address. It is not safe for concurrent use.
type Tracker struct {
	config  Config
	servers map[string]*server
	groups  map[groupKey]*group
	// probeOrder holds the addresses of all servers in the order in which marked ones are probed, nextProbed the index of
	// the next one.
	probeOrder []string
	nextProbed int
	// lastProbe is when NextProbe last returned an address, lastReturn when a server last returned to the direct way.
	lastProbe  time.Time
	lastReturn time.Time
}

// server is what is known of the way to one server.
type server struct {
	groups []*group
	// failure is how the direct way failed; zero if it did not fail since it last succeeded.
	failure Result
	// peerReached says that a peer has reached the server since the direct way failed.
	peerReached bool
	// reachedAt is when the server last answered or accepted a connection.
	reachedAt time.Time
	// returnedAt is when the server last returned to the direct way. probeWait is the time between probes of the server,
	// and notBefore when it may be probed again.
	returnedAt time.Time
	probeWait  time.Duration
	notBefore  time.Time
}

// NewTracker returns a tracker without servers.
func NewTracker(config Config) *Tracker {
	return &Tracker{config: config, servers: map[string]*server{}, groups: map[groupKey]*group{}}
}

// UpdateServers takes a new version of the server list. Servers that are no longer listed are forgotten.
func (tr *Tracker) UpdateServers(listed []serverlist.Server) {
	servers := make(map[string]*server, len(listed))
	keys := map[string][]groupKey{}
	sizes := map[groupKey]int{}
	for _, entry := range listed {
		if _, known := servers[entry.Address]; known {
			continue
		}
		known, found := tr.servers[entry.Address]
		if !found {
			known = &server{probeWait: tr.config.ProbePeriod}
		}
		servers[entry.Address] = known
		keys[entry.Address] = []groupKey{{serviceGroup, string(entry.Service)}, {zoneGroup, string(entry.AvailabilityZone)}, {kind: allServers}}
		for _, key := range keys[entry.Address] {
			sizes[key]++
		}
	}
	tr.servers = servers
	tr.updateGroups(keys, sizes)
	tr.probeOrder = interleaveZones(listed)
}

// updateGroups assigns the listed servers to their groups.
func (tr *Tracker) updateGroups(keys map[string][]groupKey, sizes map[groupKey]int) {
	for key := range tr.groups {
		if sizes[key] == 0 {
			delete(tr.groups, key)
		}
	}
	for key, size := range sizes {
		if tr.groups[key] == nil {
			tr.groups[key] = newGroup()
		}
		tr.groups[key].size = size
	}
	for address, known := range tr.servers {
		known.groups = known.groups[:0]
		for _, key := range keys[address] {
			known.groups = append(known.groups, tr.groups[key])
		}
	}
	for _, gr := range tr.groups {
		for address := range gr.failures {
			if known, listed := tr.servers[address]; !listed || !slices.Contains(known.groups, gr) {
				gr.forget(tr.config, address)
			}
		}
		gr.review(tr.config)
	}
}

// interleaveZones returns the addresses of servers in an order in which availability zones and services take turns.
func interleaveZones(listed []serverlist.Server) []string {
	byGroup := map[string][]string{}
	for _, entry := range listed {
		name := string(entry.AvailabilityZone) + "/" + string(entry.Service)
		if !slices.Contains(byGroup[name], entry.Address) {
			byGroup[name] = append(byGroup[name], entry.Address)
		}
	}
	names := make([]string, 0, len(byGroup))
	longest := 0
	for name, addresses := range byGroup {
		names = append(names, name)
		slices.SortFunc(addresses, strings.Compare)
		longest = max(longest, len(addresses))
	}
	slices.Sort(names)
	var order []string
	for ix := range longest {
		for _, name := range names {
			if addresses := byGroup[name]; ix < len(addresses) {
				order = append(order, addresses[ix])
			}
		}
	}
	return order
}

// RecordDirect records how a direct exchange with the server at an address went. An address that is not listed is
// ignored.
func (tr *Tracker) RecordDirect(now time.Time, address string, result Result) {
	known, listed := tr.servers[address]
	if !listed {
		return
	}
	switch {
	case result == Connected:
		tr.recordConnected(now, known)
	case result == Answered:
		known.reachedAt = now
		if known.failure == TimedOut {
			tr.clearFailure(now, known)
		}
		for _, gr := range known.groups {
			gr.recordAnswer()
		}
	case result.failed():
		tr.recordFailure(now, address, known, result)
	}
}

func (tr *Tracker) recordConnected(now time.Time, known *server) {
	known.reachedAt = now
	if known.way() != Direct {
		tr.lastReturn = now
	}
	tr.clearFailure(now, known)
	for _, gr := range known.groups {
		gr.recordSuccess()
	}
}

// clearFailure returns a server to the direct way.
func (tr *Tracker) clearFailure(now time.Time, known *server) {
	if known.way() != Direct {
		known.returnedAt = now
	}
	known.failure, known.peerReached = 0, false
}

func (tr *Tracker) recordFailure(now time.Time, address string, known *server, result Result) {
	switch {
	case tr.relapsed(now, known.returnedAt):
		known.probeWait = min(2*known.probeWait, tr.config.MaxProbeWait)
	case known.failure == 0:
		known.probeWait = tr.config.ProbePeriod
	}
	known.returnedAt = time.Time{}
	known.failure = result
	known.notBefore = now.Add(known.probeWait)
	for _, gr := range known.groups {
		gr.recordFailure(tr.config, now, address, result)
	}
}

// relapsed reports whether the direct way fails now although it was taken again only recently.
func (tr *Tracker) relapsed(now, returnedAt time.Time) bool {
	return !returnedAt.IsZero() && now.Sub(returnedAt) <= tr.config.RelapseWindow
}

// RecordThroughPeer records whether a peer that reaches other servers reached the server at an address.
func (tr *Tracker) RecordThroughPeer(_ time.Time, address string, reached bool) {
	known, listed := tr.servers[address]
	if !listed || known.failure == 0 {
		return
	}
	known.peerReached = reached
	for _, gr := range known.groups {
		gr.recordThroughPeer(tr.config, address, reached)
	}
}

// Way returns the way to the server at an address. An address that is not listed is reached directly.
func (tr *Tracker) Way(address string) Way {
	known, listed := tr.servers[address]
	if !listed {
		return Direct
	}
	return known.way()
}

// way returns the way to the server: by its own failure, if a peer reaches the server, or by that of its groups.
func (sv *server) way() Way {
	way := Direct
	if sv.peerReached {
		way = KeptConnections
		if sv.failure == TimedOut {
			return ThroughPeer
		}
	}
	for _, gr := range sv.groups {
		way = max(way, gr.way())
	}
	return way
}

// CutOff reports whether the host is cut off from all backend servers that it tried while peers reach them.
func (tr *Tracker) CutOff() bool {
	gr := tr.groups[groupKey{kind: allServers}]
	return gr != nil && gr.cutOff
}

// Marked returns the addresses that are not reached directly, by way and sorted.
func (tr *Tracker) Marked() map[Way][]string {
	marked := map[Way][]string{}
	for address, known := range tr.servers {
		if way := known.way(); way != Direct {
			marked[way] = append(marked[way], address)
		}
	}
	for _, addresses := range marked {
		slices.Sort(addresses)
	}
	return marked
}

// ReachedAt returns when the server at an address last answered or accepted a connection; zero if it never did.
func (tr *Tracker) ReachedAt(address string) time.Time {
	if known, listed := tr.servers[address]; listed {
		return known.reachedAt
	}
	return time.Time{}
}

// Unmarked returns up to count addresses that are reached directly and have not been reached since a time, other than
// those excluded. Addresses of different services and availability zones come first.
func (tr *Tracker) Unmarked(count int, since time.Time, excluded ...string) []string {
	var addresses []string
	for offset := range tr.probeOrder {
		if len(addresses) == count {
			break
		}
		address := tr.probeOrder[(tr.nextProbed+offset)%len(tr.probeOrder)]
		known, listed := tr.servers[address]
		if listed && known.way() == Direct && known.failure == 0 && known.reachedAt.Before(since) && !slices.Contains(excluded, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Others returns the addresses other than one, those that are reached directly as far as is known first.
func (tr *Tracker) Others(address string) []string {
	var direct, failed []string
	for offset := range tr.probeOrder {
		other := tr.probeOrder[(tr.nextProbed+offset)%len(tr.probeOrder)]
		known := tr.servers[other]
		switch {
		case other == address || known == nil:
		case known.failure == 0 && known.way() == Direct:
			direct = append(direct, other)
		default:
			failed = append(failed, other)
		}
	}
	return append(direct, failed...)
}

// NextProbe returns the address of the marked server that is to be probed now, or false if no probe is due.
func (tr *Tracker) NextProbe(now time.Time) (string, bool) {
	period := tr.config.ProbePeriod
	if !tr.lastReturn.IsZero() && now.Sub(tr.lastReturn) < tr.config.RecoveryTime {
		period = tr.config.RecoveryProbePeriod
	}
	if now.Sub(tr.lastProbe) < period {
		return "", false
	}
	for offset := range tr.probeOrder {
		position := (tr.nextProbed + offset) % len(tr.probeOrder)
		address := tr.probeOrder[position]
		known, listed := tr.servers[address]
		if !listed || known.way() == Direct {
			continue
		}
		recovering := period == tr.config.RecoveryProbePeriod && known.probeWait <= tr.config.ProbePeriod
		if now.Before(known.notBefore) && !recovering {
			continue
		}
		tr.nextProbed = position + 1
		tr.lastProbe = now
		return address, true
	}
	return "", false
}
