package news

import (
	"cmp"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// maxDirectRecipients is the number of other hosts up to which one host tells each of them itself, at every read. In larger
	// fleets it tells those that would read in its place at every read, and the others only what changed, by relays.
	maxDirectRecipients = 24
	// relaysPerZone is the number of relays of an availability zone that are told, so that one of them may be lost.
	relaysPerZone = 2
	// maxRelayCandidates bounds the hosts of a zone that are tried until one of them takes an update.
	maxRelayCandidates = 4
)

// groupByZone groups hosts by availability zone, in each of them the hosts with the largest share of a processor first, and
// among equals by the hash of what is told.
func groupByZone(orderKey string, peers []Peer) [][]Peer {
	position := map[id.Host]int{}
	hosts := make([]id.Host, len(peers))
	for ix, pr := range peers {
		hosts[ix] = pr.Host
	}
	for ix, host := range id.Rendezvous(orderKey, hosts) {
		position[host] = ix
	}
	ordered := slices.Clone(peers)
	slices.SortFunc(ordered, func(left, right Peer) int {
		return cmp.Or(
			cmp.Compare(left.AvailabilityZone, right.AvailabilityZone),
			cmp.Compare(right.ProcessorShare, left.ProcessorShare),
			cmp.Compare(position[left.Host], position[right.Host]),
		)
	})
	var groups [][]Peer
	for ix, pr := range ordered {
		if ix == 0 || pr.AvailabilityZone != ordered[ix-1].AvailabilityZone {
			groups = append(groups, nil)
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], pr)
	}
	return groups
}

// broadcast tells other hosts an update that is new. In a small fleet, and where nothing changed, it tells single hosts.
func (fl *Follower) broadcast(up Update, relay bool) {
	others := fl.peers.Peers()
	if len(others) <= maxDirectRecipients {
		for _, pr := range others {
			fl.group.Go(func() { _ = fl.sendUpdate(pr.Host, up) })
		}
		return
	}
	for _, host := range fl.otherListReaders() {
		fl.group.Go(func() { _ = fl.sendUpdate(host, up) })
	}
	if !relay {
		return
	}
	up.Relay = true
	for _, zonePeers := range groupByZone("Relay", others) {
		fl.group.Go(func() { fl.sendToZone(zonePeers, up) })
	}
}

// sendToZone tells the relays of an availability zone, and further hosts of it in place of those that don't answer.
func (fl *Follower) sendToZone(zonePeers []Peer, up Update) {
	failed := make(chan bool, relaysPerZone)
	next, pending := 0, 0
	sendNext := func() {
		host := zonePeers[next].Host
		next++
		// A follower that stops starts nothing more.
		if fl.group.Go(func() { failed <- fl.sendUpdate(host, up) != nil }) {
			pending++
		}
	}
	for next < min(relaysPerZone, len(zonePeers)) {
		sendNext()
	}
	for ; pending > 0; pending-- {
		if <-failed && next < min(maxRelayCandidates, len(zonePeers)) {
			sendNext()
		}
	}
}

// relayToZone passes an update on to the other hosts of the own availability zone.
func (fl *Follower) relayToZone(up Update) {
	sender := up.Sender
	up.Sender, up.Relay = fl.localHost, false
	for _, pr := range fl.peers.Peers() {
		if pr.AvailabilityZone == fl.localZone && pr.Host != sender {
			fl.group.Go(func() { _ = fl.sendUpdate(pr.Host, up) })
		}
	}
}

// otherListReaders returns the other hosts that would read the list in place of the one that does.
func (fl *Follower) otherListReaders() []id.Host {
	order := id.Rendezvous(readerOrderKey, fl.peers.LiveHosts())
	order = order[:min(len(order), lastReaderRank+1)]
	return slices.DeleteFunc(order, func(host id.Host) bool { return host == fl.localHost })
}
