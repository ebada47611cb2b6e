package site

import (
	"cmp"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// maxAddresses is the largest number of addresses that clients accept in a response.
const maxAddresses = 64

// Addresses returns the client addresses of the hosts that accept requests and are not suspected to have failed, and
// how many seconds clients may cache them. If there are more than maxAddresses of them, hosts in the client's
// availability zone are preferred, and a rendezvous hash of the zone's name selects among the others, so that clients
// of different zones get different hosts. A host that is not ready returns no addresses, so that clients ask another
// host.
func (ht *Host) Addresses(zone string) ([]string, float64) {
	if ready, _ := ht.Ready(); !ready {
		return nil, 0
	}
	live := slices.DeleteFunc(slices.Clone(ht.gossip.Live()), func(member membership.Member) bool { return member.Status == membership.Suspect })
	if len(live) > maxAddresses {
		preference := id.RendezvousOrder(zone, hostNames(live))
		slices.SortStableFunc(live, func(left, right membership.Member) int {
			if byZone := cmp.Compare(zoneDistance(left, zone), zoneDistance(right, zone)); byZone != 0 {
				return byZone
			}
			return cmp.Compare(slices.Index(preference, left.Host), slices.Index(preference, right.Host))
		})
		live = live[:maxAddresses]
	}
	addresses := make([]string, len(live))
	for ix, member := range live {
		addresses[ix] = member.CallerAddress
	}
	return addresses, ht.settings.Callers.KeepAddresses.Seconds()
}

// zoneDistance returns 0 if a member is in the zone, else 1.
func zoneDistance(member membership.Member, zone string) int {
	if string(member.AvailabilityZone) == zone {
		return 0
	}
	return 1
}

// hostNames returns the names of members.
func hostNames(members []membership.Member) []id.Host {
	hosts := make([]id.Host, len(members))
	for ix, member := range members {
		hosts[ix] = member.Host
	}
	return hosts
}
