package site

import (
	"cmp"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// maxAddresses is the largest number of addresses that clients take.
const maxAddresses = 64

// Addresses returns the addresses of the hosts that take requests, those in the client's availability zone first
// where there are too many, and the seconds to keep them. A host that is not ready names none, so that clients ask
// another one.
func (ht *Host) Addresses(zone string) ([]string, float64) {
	if ready, _ := ht.Ready(); !ready {
		return nil, 0
	}
	live := slices.DeleteFunc(slices.Clone(ht.gossip.Live()), func(mb membership.Member) bool { return mb.Status == membership.Suspect })
	if len(live) > maxAddresses {
		order := id.RendezvousOrder(zone, hostsOf(live))
		slices.SortStableFunc(live, func(left, right membership.Member) int {
			if near := cmp.Compare(distance(left, zone), distance(right, zone)); near != 0 {
				return near
			}
			return cmp.Compare(slices.Index(order, left.Host), slices.Index(order, right.Host))
		})
		live = live[:maxAddresses]
	}
	addresses := make([]string, len(live))
	for ix, mb := range live {
		addresses[ix] = mb.CallerAddress
	}
	return addresses, ht.settings.Callers.KeepAddresses.Seconds()
}

func distance(mb membership.Member, zone string) int {
	if string(mb.AvailabilityZone) == zone {
		return 0
	}
	return 1
}

func hostsOf(members []membership.Member) []id.Host {
	hosts := make([]id.Host, len(members))
	for ix, mb := range members {
		hosts[ix] = mb.Host
	}
	return hosts
}
