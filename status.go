package hibiscuslever

import (
	"math/rand/v2"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// readiness says whether the host may serve callers.
type readiness struct {
	host *Host
}

func (rd readiness) Lists() (*lists.Lists, bool) {
	current, ready := rd.host.configuration.Lists()
	return current, ready && rd.NotReadyReason() == ""
}

func (rd readiness) NotReadyReason() string {
	return rd.host.notReady()
}

func (ht *Host) notReady() string {
	if reason := ht.configuration.NotReadyReason(); reason != "" {
		return reason
	}
	if !ht.fleet.ListingRead() {
		return "the platform's host list has not been read yet"
	}
	return ""
}

// CallerAddresses returns addresses of live hosts in random order.
func (ht *Host) CallerAddresses() []string {
	var addresses []string
	for _, mb := range ht.gossip.Live() {
		if mb.Status == membership.Alive {
			addresses = append(addresses, mb.CallerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(left, right int) {
		addresses[left], addresses[right] = addresses[right], addresses[left]
	})
	return addresses[:min(len(addresses), ht.settings.Callers.MaxAddresses)]
}

// zones returns the number of availability zones that have live hosts.
func (ht *Host) zones() int {
	zones := map[id.AvailabilityZone]bool{}
	for _, mb := range ht.gossip.Live() {
		zones[mb.AvailabilityZone] = true
	}
	return len(zones)
}

// Status returns what the host knows of the fleet.
func (ht *Host) Status() operator.Status {
	current, _ := ht.configuration.Lists()
	status := operator.Status{
		Host:             ht.self.Host,
		AvailabilityZone: ht.self.AvailabilityZone,
		NotReady:         ht.notReady(),
		InFlight:         ht.callers.InFlight(),
		Started:          ht.started,
	}
	for _, list := range lists.Names() {
		status.Revisions = append(status.Revisions, operator.ListRevision{List: list, Revision: current.Revisions[list]})
	}
	status.Hosts = ht.hostStatuses()
	status.Shards, status.Engines = ht.shardStatuses()
	return status
}

func (ht *Host) hostStatuses() []operator.HostStatus {
	own, _ := ht.gossip.Member(ht.self.Host)
	var hosts []operator.HostStatus
	for _, mb := range append([]membership.Member{own}, ht.gossip.RemoteMembers()...) {
		hosts = append(hosts, operator.HostStatus{
			Name:             mb.Host,
			AvailabilityZone: mb.AvailabilityZone,
			Status:           mb.Status.String(),
			CallerAddress:    mb.CallerAddress,
		})
	}
	return hosts
}

func (ht *Host) shardStatuses() ([]operator.ShardStatus, []operator.EngineStatus) {
	local := ht.shardServer.Status()
	var shards []operator.ShardStatus
	var engines []operator.EngineStatus
	for _, name := range ht.fleet.Shards() {
		sh := operator.ShardStatus{Name: name}
		if owners := ht.peers.ShardDispatchers(name); len(owners) > 0 {
			sh.Dispatcher = owners[0]
		}
		held := map[id.Engine]operator.EngineStatus{}
		for _, st := range local {
			if st.Shard != name {
				continue
			}
			sh.Local = true
			sh.Waiting = st.Waiting
			sh.Running = st.Granted
			for _, en := range st.Engines {
				held[en.Engine] = operator.EngineStatus{Held: en.ReservedTokens + en.UnknownAttemptTokens, Capacity: en.CapacityTokens}
			}
		}
		shards = append(shards, sh)
		for _, en := range ht.fleet.Engines(name) {
			engines = append(engines, operator.EngineStatus{
				Name:             en.Name,
				Service:          en.Service,
				AvailabilityZone: en.AvailabilityZone,
				Leaving:          en.Leaving,
				Held:             held[en.Name].Held,
				Capacity:         held[en.Name].Capacity,
			})
		}
	}
	return shards, engines
}
