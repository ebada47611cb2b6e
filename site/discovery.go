package site

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// aloneFor is how long a host may know no other one before it looks for them in the store.
	aloneFor = time.Second
	// discoveryTimeout bounds a call to the store.
	discoveryTimeout = time.Second
	// maxFound bounds the hosts that are tried.
	maxFound = 8
)

// findHosts tells the other hosts through the store where this one is, and finds them there while the seeds of the
// settings lead to none.
func (ht *Host) findHosts(ctx context.Context) error {
	announced := false
	for timer.Sleep(ctx, ht.clock, aloneFor) {
		if ready, _ := ht.Ready(); !ready {
			continue
		}
		if !announced && ht.announces() {
			announced = ht.announce(ctx)
		}
		if len(ht.gossip.OtherHosts()) == 0 {
			ht.lookForHosts(ctx)
		}
	}
	return nil
}

// settleTime is how long a host that has met another one takes to know the rest.
const settleTime = 3 * time.Second

// announces reports whether the host is one of those that a new one is to find in the store, which are more than it
// tries, or knows no other one.
func (ht *Host) announces() bool {
	if len(ht.gossip.OtherHosts()) > 0 && ht.clock.Now().Sub(ht.started) < settleTime {
		return false
	}
	rank := id.RendezvousRank("Hosts", ht.gossip.LiveHosts(), ht.self.Host)
	return rank >= 0 && rank < 2*maxFound
}

func (ht *Host) announce(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	ht.countCall("announce")
	if err := ht.store.AnnounceHost(call, ht.self.Host, ht.self.PeerAddress); err != nil {
		ht.logger.Warn("host not announced", "error", err.Error())
		return false
	}
	return true
}

func (ht *Host) lookForHosts(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	ht.countCall("hosts")
	addresses, err := ht.store.HostAddresses(call)
	if err != nil {
		ht.logger.Warn("hosts not found", "error", err.Error())
		return
	}
	for _, address := range addresses[:min(maxFound, len(addresses))] {
		ht.gossip.AddSeed(address)
	}
	ht.logger.Info("hosts looked for", "found", len(addresses))
}

// countCall counts a call to the store.
func (ht *Host) countCall(what string) {
	ht.metrics.Scope.Tagged(map[string]string{"what": what}).Counter("store_calls").Inc(1)
}
