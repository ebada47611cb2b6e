package news

import (
	"cmp"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// mostTold is the number of other hosts up to which one host tells each of them itself, at every read. In larger
	// fleets it tells those that would read in its place at every read, and the others only what changed, by relays.
	mostTold = 24
	// relaysOfZone is the number of relays of an availability zone that are told, so that one of them may be lost.
	relaysOfZone = 2
	// relayTries bounds the hosts of a zone that are tried until one of them takes an update.
	relayTries = 4
)

// zones groups hosts by availability zone, in each of them the hosts with the largest share of a processor first, and
// among equals by the hash of what is told.
func zones(key string, peers []Peer) [][]Peer {
	place := map[id.Host]int{}
	names := make([]id.Host, len(peers))
	for ix, pr := range peers {
		names[ix] = pr.Host
	}
	for ix, host := range id.RendezvousOrder(key, names) {
		place[host] = ix
	}
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(left, right Peer) int {
		return cmp.Or(
			cmp.Compare(left.AvailabilityZone, right.AvailabilityZone),
			cmp.Compare(right.ProcessorShare, left.ProcessorShare),
			cmp.Compare(place[left.Host], place[right.Host]),
		)
	})
	var grouped [][]Peer
	for ix, pr := range ordered {
		if ix == 0 || pr.AvailabilityZone != ordered[ix-1].AvailabilityZone {
			grouped = append(grouped, nil)
		}
		last := len(grouped) - 1
		grouped[last] = append(grouped[last], pr)
	}
	return grouped
}

// spread tells other hosts an update that is new. In a small fleet, and where nothing changed, it tells single hosts.
func (fl *Follower) spread(up Update, changed bool) {
	others := fl.peers.Peers()
	if len(others) <= mostTold {
		for _, pr := range others {
			fl.group.Go(func() { _ = fl.tell(pr.Host, up) })
		}
		return
	}
	for _, host := range fl.readers() {
		fl.group.Go(func() { _ = fl.tell(host, up) })
	}
	if !changed {
		return
	}
	up.Relay = true
	for _, zone := range zones("Relay", others) {
		fl.group.Go(func() { fl.tellZone(zone, up) })
	}
}

// tellZone tells the relays of an availability zone, and further hosts of it in place of those that don't answer.
func (fl *Follower) tellZone(zone []Peer, up Update) {
	failed := make(chan bool, relaysOfZone)
	next, waiting := 0, 0
	start := func() {
		host := zone[next].Host
		next++
		// A follower that stops starts nothing more.
		if fl.group.Go(func() { failed <- fl.tell(host, up) != nil }) {
			waiting++
		}
	}
	for next < min(relaysOfZone, len(zone)) {
		start()
	}
	for ; waiting > 0; waiting-- {
		if <-failed && next < min(relayTries, len(zone)) {
			start()
		}
	}
}

// relay passes an update on to the other hosts of the own availability zone.
func (fl *Follower) relay(up Update) {
	from := up.Sender
	up.Sender, up.Relay = fl.self, false
	for _, pr := range fl.peers.Peers() {
		if pr.AvailabilityZone == fl.zone && pr.Host != from {
			fl.group.Go(func() { _ = fl.tell(pr.Host, up) })
		}
	}
}

// readers returns the other hosts that would read the list in place of the one that does.
func (fl *Follower) readers() []id.Host {
	order := id.RendezvousOrder(readersKey, fl.peers.LiveHosts())
	order = order[:min(len(order), lastRank+1)]
	return slices.DeleteFunc(order, func(host id.Host) bool { return host == fl.self })
}
