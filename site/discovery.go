package site

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// discoveryInterval is the time between checks whether the host knows any other host. A host that knows none looks for
	// other hosts in the store at each check.
	discoveryInterval = time.Second
	// discoveryTimeout limits the duration of a call to the store.
	discoveryTimeout = time.Second
	// maxDiscoveredHosts limits the number of hosts from the store that the host tries to join through.
	maxDiscoveredHosts = 8
)

// discoverHosts announces this host's peer address in the store, again after each restore of the store, and adds the announced addresses of other hosts as
// seeds while no other host is known, for example because the seeds in the settings are missing or unreachable. It does
// neither before the host is ready. It runs until the context ends and always returns nil.
func (ht *Host) discoverHosts(ctx context.Context) error {
	announced := false
	var announcedEra id.Era
	for timer.Sleep(ctx, ht.clock, discoveryInterval) {
		if ready, _ := ht.Ready(); !ready {
			continue
		}
		// Other hosts may know of a restore first: a read of this host that waits in the store shows it only when it ends.
		era := max(ht.store.Era(), ht.updateFollower.Status().NextOffset.Era())
		if (!announced || era > announcedEra) && ht.shouldAnnounce() {
			// An announcement of before the restore may be missing in the copy.
			announced = ht.announce(ctx)
			announcedEra = era
		}
		if len(ht.gossip.OtherHosts()) == 0 {
			ht.addSeedsFromStore(ctx)
		}
	}
	return nil
}

// membershipSettleTime is the time after which a host that has joined through another host knows the remaining hosts.
const membershipSettleTime = 3 * time.Second

// shouldAnnounce reports whether the host is to announce its address. Only a limited number of hosts, chosen by rank,
// do so: twice as many as a new host tries. A host that knows no other host always announces its address; one that does
// waits until it knows the remaining hosts, on which its rank depends.
func (ht *Host) shouldAnnounce() bool {
	if len(ht.gossip.OtherHosts()) > 0 && ht.clock.Now().Sub(ht.startedAt) < membershipSettleTime {
		return false
	}
	rank := id.RendezvousRank("Hosts", ht.gossip.LiveHosts(), ht.localMember.Host)
	return rank >= 0 && rank < 2*maxDiscoveredHosts
}

// announce writes the peer address of the host to the store and reports whether that succeeded.
func (ht *Host) announce(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	ht.countStoreCall("announce")
	if err := ht.store.AnnounceHost(callCtx, ht.localMember.Host, ht.localMember.PeerAddress); err != nil {
		ht.logger.Warn("failed to announce this host in the platform's store", "error", err.Error())
		return false
	}
	return true
}

// addSeedsFromStore reads the announced addresses of hosts from the store and adds the most recent ones as seeds.
func (ht *Host) addSeedsFromStore(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	ht.countStoreCall("hosts")
	addresses, err := ht.store.HostAddresses(callCtx)
	if err != nil {
		ht.logger.Warn("failed to read the addresses of hosts from the platform's store", "error", err.Error())
		return
	}
	for _, address := range addresses[:min(maxDiscoveredHosts, len(addresses))] {
		ht.gossip.AddSeed(address)
	}
	ht.logger.Info("read the addresses of hosts from the platform's store", "found", len(addresses))
}

// countStoreCall counts a call to the store in the metrics.
func (ht *Host) countStoreCall(operation string) {
	ht.metrics.Scope.Tagged(map[string]string{"what": operation}).Counter("store_calls").Inc(1)
}
