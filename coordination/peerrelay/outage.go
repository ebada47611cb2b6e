package peerrelay

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
)

const (
	// outageProbes is the number of servers that are probed at once while an outage of all servers is suspected, and
	// outageProbePeriod the time after which the same server may be probed again.
	outageProbes      = 4
	outageProbePeriod = 500 * time.Millisecond
	// outagePeerPeriod is the time between probes through a peer in an outage of all servers.
	outagePeerPeriod = 250 * time.Millisecond
)

// ServersUnreachable reports whether no backend server can be reached by any way, so that a request which would be sent now
// could only fail. It is called for each request, so the members are looked at only if no server is reached directly.
func (sd *Sender) ServersUnreachable() bool {
	return sd.links.outageTotal(false) && (sd.links.outageTotal(true) || !sd.peers.any())
}

// outageTotal reports whether none of the listed servers can be reached.
func (lk *Links) outageTotal(hasPeers bool) bool {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	return lk.outage.Total(len(lk.zones), hasPeers)
}

// recordForOutage records what a direct exchange says about an outage of all servers. The caller holds the mutex.
func (lk *Links) recordForOutage(now time.Time, address string, result reachability.Result) {
	switch result {
	case reachability.Connected, reachability.Answered:
		lk.outage.RecordReached()
	case reachability.ConnectionRefused, reachability.TimedOut:
		lk.outage.RecordFailure(now, address)
	}
}

// recordPeersUnable records that no peer reached a server.
func (lk *Links) recordPeersUnable() {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	lk.outage.RecordPeerFailure(lk.clock.Now())
}

// takeUnconfirmed returns the servers to probe directly while an outage of all servers is suspected, those that have not
// failed first, and one of them to probe through a peer if that is due.
func (lk *Links) takeUnconfirmed() (direct []string, throughPeer string) {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	if !lk.outage.Suspected() {
		return nil, ""
	}
	now := lk.clock.Now()
	var failed []string
	for address := range lk.zones {
		switch {
		case now.Sub(lk.outageProbedAt[address]) < outageProbePeriod:
		case lk.outage.HasFailed(address):
			failed = append(failed, address)
		default:
			direct = append(direct, address)
		}
	}
	direct = append(direct, failed...)
	direct = direct[:min(outageProbes, len(direct))]
	for _, address := range direct {
		lk.outageProbedAt[address] = now
	}
	if len(direct) > 0 && now.Sub(lk.outagePeerProbedAt) >= outagePeerPeriod {
		lk.outagePeerProbedAt, throughPeer = now, direct[0]
	}
	return direct, throughPeer
}

// startOutageProbes finds out whether an outage of all servers has begun or ended.
func (sd *Sender) startOutageProbes(ctx context.Context) {
	direct, throughPeer := sd.links.takeUnconfirmed()
	for _, address := range direct {
		sd.startProbe(ctx, func(ctx context.Context) { sd.direct.probeConnection(ctx, address) })
	}
	if throughPeer != "" && sd.peers.any() {
		sd.startProbe(ctx, func(ctx context.Context) { sd.probeThroughPeers(ctx, ProbeConnection, throughPeer) })
	}
	sd.logOutage()
}

// logOutage logs when an outage of all servers begins and ends.
func (sd *Sender) logOutage() {
	unreachable := sd.ServersUnreachable()
	if sd.outageLogged.Swap(unreachable) == unreachable {
		return
	}
	message := "a backend server is reached again"
	if unreachable {
		message = "no backend server can be reached by any way"
		sd.metrics.Counter("servers_unreachable").Inc(1)
	}
	sd.logger.Warn(message, "servers", sd.links.servers())
}

// servers returns the number of listed servers.
func (lk *Links) servers() int {
	lk.mutex.Lock()
	defer lk.mutex.Unlock()
	return len(lk.zones)
}

// saysPeersUnable reports whether the failure of a call through peers says that no peer reaches a server.
func saysPeersUnable(failure *Failure) bool {
	switch failure.Reason {
	case PeerCutOff, PeerUnreachable, NoDirectWay:
		return true
	case ServerUnreachable:
		return !failure.ReachesOther
	default:
		return false
	}
}

var _ forward.Reachability = (*Sender)(nil)
