package peerrelay

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// IdleConnections are the host's idle connections to backend servers.
type IdleConnections interface {
	// DropIdle closes the idle connections to an address.
	DropIdle(address string)
}

// Links knows this host's own links to the backend servers. It is safe for concurrent use.
type Links struct {
	clock   timer.Clock
	idle    IdleConnections
	logger  *slog.Logger
	metrics tally.Scope
	// cutOffChanged is called when the host is cut off from all backend servers, and when it no longer is. Calls may come
	// out of order; changedAt is later for the later change. It must not block.
	cutOffChanged func(changedAt time.Time, cutOff bool)

	// mutex guards the fields below.
	mutex   sync.Mutex
	tracker *reachability.Tracker
	zones   map[string]id.AvailabilityZone
	// services holds the service of each server by address.
	services map[string]id.Service
	// markedCount is the number of servers that are not reached directly.
	markedCount int
	cutOff      bool
	// changedAt is when cutOff last changed.
	changedAt time.Time
	// suspect is a server to which the direct way failed at suspectedAt, although a peer reaches it, while the host does
	// not count as cut off; empty if that has been followed up.
	suspect     string
	suspectedAt time.Time
	// lostAt is when the number of marked servers last grew; zero if it never did.
	lostAt time.Time
	// inProgress counts the direct exchanges in progress by address. lastSign is when the last sign of any server arrived,
	// lastKeptSign when one last arrived on a connection that was open before, and lastBreak when a connection last broke.
	inProgress   map[string]int
	lastSign     time.Time
	lastKeptSign time.Time
	// lastSilenceProbe is when takeSilent last returned servers, silentRounds how often it did since a sign last came from an
	// exchange.
	lastSilenceProbe time.Time
	silentRounds     int
	// signs holds when a server last gave a sign, by service and address.
	signs     map[id.Service]map[string]time.Time
	lastBreak time.Time
	// outage knows whether no server can be reached by any way. outageProbedAt holds when each server was last probed because
	// of that, by address, and outagePeerProbedAt is when one was last probed through a peer.
	outage             reachability.Outage
	outageProbedAt     map[string]time.Time
	outagePeerProbedAt time.Time
}

// NewLinks returns the links of a host that knows no backend servers yet.
func NewLinks(config reachability.Config, clock timer.Clock, idle IdleConnections, metrics tally.Scope, logger *slog.Logger, cutOffChanged func(changedAt time.Time, cutOff bool)) *Links {
	return &Links{
		clock: clock, idle: idle, logger: logger, metrics: metrics, cutOffChanged: cutOffChanged,
		tracker: reachability.NewTracker(config), zones: map[string]id.AvailabilityZone{}, inProgress: map[string]int{},
		outageProbedAt: map[string]time.Time{},
	}
}

// UpdateServers takes a new version of the server list.
func (lk *Links) UpdateServers(listed []serverlist.Server) {
	zones := make(map[string]id.AvailabilityZone, len(listed))
	services := make(map[string]id.Service, len(listed))
	signs := map[id.Service]map[string]time.Time{}
	for _, server := range listed {
		zones[server.Address] = server.AvailabilityZone
		services[server.Address] = server.Service
		signs[server.Service] = map[string]time.Time{}
	}
	lk.update(func() {
		for service, byAddress := range signs {
			for address, at := range lk.signs[service] {
				if services[address] == service {
					byAddress[address] = at
				}
			}
		}
		lk.zones, lk.services, lk.signs = zones, services, signs
		isListed := func(address string) bool { return services[address] != "" }
		maps.DeleteFunc(lk.outageProbedAt, func(address string, _ time.Time) bool { return !isListed(address) })
		lk.outage.ForgetUnlisted(isListed)
		lk.tracker.UpdateServers(listed)
	})
}

// Way returns the way to the server at an address.
func (lk *Links) Way(address string) reachability.Way {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	return lk.tracker.Way(address)
}

// keptConnectionProof is how long after a link was lost or a connection broke something must arrive on a kept connection
// for kept connections to count as usable: what arrives before may have been under way.
const keptConnectionProof = 50 * time.Millisecond

// plan returns the way to send to the server at an address, and whether to open a new connection for it. Idle connections
// may end with the first bytes that are sent on them, so that a request that must not be repeated is lost. Where links
// are lost, they are therefore used only if kept connections are seen to live. While the link to some server is lost,
// others that have given no sign since get a new connection, which shows whether their links work before anything is sent.
func (lk *Links) plan(address string) (way reachability.Way, newConnection bool) {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	way = lk.tracker.Way(address)
	switch way {
	case reachability.KeptConnections:
		if doubtfulSince := later(lk.lostAt, lk.lastBreak); lk.lastKeptSign.Sub(doubtfulSince) < keptConnectionProof {
			way = reachability.ThroughPeer
		}
	case reachability.Direct:
		newConnection = lk.markedCount > 0 && lk.tracker.ReachedAt(address).Before(lk.lostAt)
	}
	return way, newConnection
}

// lostFor reports whether the link to some server has been lost for a time.
func (lk *Links) lostFor(duration time.Duration) bool {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	return lk.markedCount > 0 && lk.clock.Now().Sub(lk.lostAt) >= duration
}

// later returns the later one of two times.
func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// CutOff reports whether the host is cut off from the backend servers.
func (lk *Links) CutOff() bool {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	return lk.cutOff
}

// MarkedServers returns the number of servers that are not reached directly.
func (lk *Links) MarkedServers() int {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	return lk.markedCount
}

// zone returns the availability zone of the server at an address; empty if it is not known.
func (lk *Links) zone(address string) id.AvailabilityZone {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	return lk.zones[address]
}

// recordServerSign records that a server gave a sign. The caller holds the mutex.
func (lk *Links) recordServerSign(address string, now time.Time) {
	if signs := lk.signs[lk.services[address]]; signs != nil {
		signs[address] = now
	}
}

// signSince reports whether anything has arrived since a time from another server of the service than the one at an
// address.
func (lk *Links) signSince(address string, since time.Time) bool {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	for other, at := range lk.signs[lk.services[address]] {
		if other != address && at.After(since) {
			return true
		}
	}
	return false
}

// recordDirect records how a direct exchange with the server at an address went.
func (lk *Links) recordDirect(address string, result reachability.Result) {
	record := func() {
		now := lk.clock.Now()
		if result == reachability.Connected || result == reachability.Answered {
			lk.lastSign = now
			lk.recordServerSign(address, now)
		}
		if result == reachability.Answered {
			lk.lastKeptSign, lk.silentRounds = now, 0
		}
		lk.recordForOutage(now, address, result)
		lk.tracker.RecordDirect(now, address, result)
	}
	if !lk.recordWithoutLosses(result, record) {
		lk.update(record)
	}
}

// recordWithoutLosses records a success if no link is lost, and reports whether it did. Such a success changes no way, so
// that the ways to all servers need not be looked at for each answer.
func (lk *Links) recordWithoutLosses(result reachability.Result, record func()) bool {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	if result != reachability.Connected && result != reachability.Answered || lk.markedCount > 0 || lk.cutOff {
		return false
	}
	record()
	return true
}

// recordThroughPeer records whether a peer reached the server at an address.
func (lk *Links) recordThroughPeer(address string, reached bool) {
	lk.update(func() {
		// A peer that does not reach this server reaches others.
		lk.outage.RecordReached()
		before := lk.tracker.Way(address)
		lk.tracker.RecordThroughPeer(lk.clock.Now(), address, reached)
		if before == reachability.Direct && lk.tracker.Way(address) != reachability.Direct && !lk.tracker.CutOff() {
			lk.suspect, lk.suspectedAt = address, lk.clock.Now()
		}
	})
}

// update changes the tracker and applies what follows: it closes idle connections to servers whose links are silent,
// logs changes, and reports when the host is cut off or no longer is.
func (lk *Links) update(change func()) {
	lk.mutex.Lock()
	change()
	marked := lk.tracker.Marked()
	throughPeer := marked[reachability.ThroughPeer]
	markedCount := len(throughPeer) + len(marked[reachability.KeptConnections])
	countChanged := markedCount != lk.markedCount
	if markedCount > lk.markedCount {
		lk.lostAt = lk.clock.Now()
	}
	lk.markedCount = markedCount
	cutOff := lk.tracker.CutOff()
	changed := cutOff != lk.cutOff
	lk.cutOff = cutOff
	if changed {
		lk.changedAt = laterMillisecond(lk.clock.Now(), lk.changedAt)
	}
	changedAt := lk.changedAt
	servers := len(lk.zones)
	lk.mutex.Unlock()
	if !countChanged && !changed {
		return
	}
	for _, address := range throughPeer {
		lk.idle.DropIdle(address)
	}
	if countChanged {
		lk.logger.Info("ways to backend servers changed", "servers", servers, "through_peer", len(throughPeer), "kept_connections", len(marked[reachability.KeptConnections]))
	}
	if !changed {
		return
	}
	message := "host reaches backend servers again"
	if cutOff {
		message = "host is cut off from backend servers"
		lk.metrics.Counter("cut_off").Inc(1)
	}
	lk.logger.Warn(message, "servers", servers, "through_peer", len(throughPeer), "kept_connections", len(marked[reachability.KeptConnections]))
	lk.cutOffChanged(changedAt, cutOff)
}

// laterMillisecond returns now, or a time in the first millisecond after another time if now is not later than that.
func laterMillisecond(now, other time.Time) time.Time {
	if now.UnixMilli() > other.UnixMilli() {
		return now
	}
	return other.Add(time.Millisecond)
}

// nextProbe returns the address of the marked server to probe now, if any.
func (lk *Links) nextProbe() (string, bool) {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	if lk.markedCount == 0 {
		return "", false
	}
	return lk.tracker.NextProbe(lk.clock.Now())
}

// takeSuspects returns the servers to probe because the direct way failed to one that a peer reaches: that server, since
// it may just have started again, and up to count others, which show whether the link of the host or only that to the
// server is lost. The first result is empty if there is nothing to probe.
func (lk *Links) takeSuspects(count int) (string, []string) {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	if lk.suspect == "" {
		return "", nil
	}
	// recently is the time within which a server that answered needs no probe.
	const recently = 200 * time.Millisecond
	suspect := lk.suspect
	lk.suspect = ""
	return suspect, lk.tracker.Unmarked(count, lk.suspectedAt.Add(-recently), suspect)
}

// otherServers returns up to count servers other than the one at an address, only those of its service if sameService is
// set.
func (lk *Links) otherServers(address string, count int, sameService bool) []string {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	others := slices.DeleteFunc(lk.tracker.Others(address), func(other string) bool {
		return sameService && lk.services[other] != lk.services[address]
	})
	return others[:min(count, len(others))]
}

// beginExchange records that a direct exchange begins. The returned function ends it.
func (lk *Links) beginExchange(address string) func() {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	if len(lk.inProgress) == 0 {
		lk.lastSign, lk.silentRounds = lk.clock.Now(), 0
	}
	lk.inProgress[address]++
	return sync.OnceFunc(func() {
		lk.mutex.Lock()
		defer lk.mutex.Unlock()
		if lk.inProgress[address]--; lk.inProgress[address] <= 0 {
			delete(lk.inProgress, address)
		}
	})
}

// recordSign records that a direct exchange with the server at an address received something.
func (lk *Links) recordSign(address string) {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	lk.lastSign = lk.clock.Now()
	lk.lastKeptSign, lk.silentRounds = lk.lastSign, 0
	lk.outage.RecordReached()
	lk.recordServerSign(address, lk.lastSign)
}

// recordBreak records that a connection broke while an exchange was in progress on it.
func (lk *Links) recordBreak() {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	lk.lastBreak = lk.clock.Now()
}

// maxSilenceDoublings limits how often the time before the next round of probes doubles.
const maxSilenceDoublings = 2

// takeSilent returns up to count servers to probe if there are exchanges in progress and none of them has received anything
// for a time, although the host's links count as sound: first a server with an exchange in progress, then others. The
// time then starts anew; it doubles up to maxSilenceDoublings times until an exchange receives something.
func (lk *Links) takeSilent(silence time.Duration, count int) []string {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	now := lk.clock.Now()
	if len(lk.inProgress) == 0 || now.Sub(later(lk.lastSign, lk.lastSilenceProbe)) < silence<<min(lk.silentRounds, maxSilenceDoublings) {
		return nil
	}
	lk.lastSilenceProbe = now
	lk.silentRounds++
	for address := range lk.inProgress {
		if lk.tracker.Way(address) == reachability.Direct {
			return append([]string{address}, lk.tracker.Unmarked(count-1, now.Add(-silence), address)...)
		}
	}
	return nil
}
