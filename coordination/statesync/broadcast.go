package statesync

import (
	"cmp"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// maxDirectRecipients is the largest number of other hosts that a host sends every update to directly. In a larger
	// fleet it sends updates without changes only to the hosts that would replace it as the reader of the list, and
	// changes to all others too, through relays.
	maxDirectRecipients = 24
	// relaysPerZone is the number of hosts of an availability zone that are asked to relay an update, so that one of them
	// may fail.
	relaysPerZone = 2
	// maxRelayCandidates limits how many hosts of a zone are tried as relays when some of them fail to receive an update.
	maxRelayCandidates = 4
)

// groupByZone groups hosts by availability zone. Relays send to the whole zone, so hosts with more processor time come
// first in each group; hosts with equal shares are in the rendezvous order of orderKey.
func groupByZone(orderKey string, peers []Peer) [][]Peer {
	position := map[id.Host]int{}
	hosts := make([]id.Host, len(peers))
	for ix, pr := range peers {
		hosts[ix] = pr.Host
	}
	for ix, host := range id.RendezvousOrder(orderKey, hosts) {
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

// broadcast sends an update to the other hosts without waiting for the result. In a small fleet it sends to each host
// directly. In a large one it sends to the other readers of the list and, if relay is set, to all availability zones
// through relays. The caller must not set relay for updates that change nothing, because they are frequent.
func (fl *Follower) broadcast(update Update, relay bool) {
	others := fl.peers.Peers()
	if len(others) <= maxDirectRecipients {
		for _, pr := range others {
			fl.group.Go(func() { _ = fl.sendUpdate(pr.Host, update) })
		}
		return
	}
	for _, host := range fl.otherListReaders() {
		fl.group.Go(func() { _ = fl.sendUpdate(host, update) })
	}
	if !relay {
		return
	}
	// The goroutines above still read update.
	relayed := update
	relayed.Relay = true
	for _, zonePeers := range groupByZone("Relay", others) {
		fl.group.Go(func() { fl.sendToZone(zonePeers, relayed) })
	}
}

// sendToZone sends an update to the relays of an availability zone. For each host that fails to receive it, the next
// host of the zone is tried, up to maxRelayCandidates hosts in all.
func (fl *Follower) sendToZone(zonePeers []Peer, update Update) {
	sendFailed := make(chan bool, relaysPerZone)
	next, pending := 0, 0
	sendNext := func() {
		host := zonePeers[next].Host
		next++
		// The group starts no goroutine once the follower stops.
		if fl.group.Go(func() { sendFailed <- fl.sendUpdate(host, update) != nil }) {
			pending++
		}
	}
	for next < min(relaysPerZone, len(zonePeers)) {
		sendNext()
	}
	for ; pending > 0; pending-- {
		if <-sendFailed && next < min(maxRelayCandidates, len(zonePeers)) {
			sendNext()
		}
	}
}

// relayToZone forwards an update to the other hosts of the local availability zone except its sender.
func (fl *Follower) relayToZone(update Update) {
	sender := update.Sender
	update.Sender, update.Relay = fl.localHost, false
	for _, pr := range fl.peers.Peers() {
		if pr.AvailabilityZone == fl.localZone && pr.Host != sender {
			fl.group.Go(func() { _ = fl.sendUpdate(pr.Host, update) })
		}
	}
}

// otherListReaders returns the other hosts that come first in the order of readers, one of which reads the list when
// the current reader fails.
func (fl *Follower) otherListReaders() []id.Host {
	readers := id.RendezvousOrder(readerOrderKey, fl.peers.LiveHosts())
	readers = readers[:min(len(readers), lastReaderRank+1)]
	return slices.DeleteFunc(readers, func(host id.Host) bool { return host == fl.localHost })
}
