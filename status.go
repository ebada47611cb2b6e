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
	return rd.host.notReadyReason()
}

func (ht *Host) notReadyReason() string {
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
	for _, member := range ht.gossip.Live() {
		if member.Status == membership.Alive {
			addresses = append(addresses, member.CallerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(left, right int) {
		addresses[left], addresses[right] = addresses[right], addresses[left]
	})
	return addresses[:min(len(addresses), ht.settings.Callers.MaxAddresses)]
}

// liveZoneCount returns the number of availability zones that have live hosts.
func (ht *Host) liveZoneCount() int {
	zones := map[id.AvailabilityZone]bool{}
	for _, member := range ht.gossip.Live() {
		zones[member.AvailabilityZone] = true
	}
	return len(zones)
}

// Status returns what the host knows of the fleet.
func (ht *Host) Status() operator.Status {
	current, _ := ht.configuration.Lists()
	status := operator.Status{
		Host:             ht.localMember.Host,
		AvailabilityZone: ht.localMember.AvailabilityZone,
		NotReady:         ht.notReadyReason(),
		InFlight:         ht.callerServer.InFlight(),
		Started:          ht.startedAt,
	}
	for _, list := range lists.Names() {
		status.Revisions = append(status.Revisions, operator.ListRevision{List: list, Revision: current.Revisions[list]})
	}
	status.Hosts = ht.hostStatuses()
	status.Shards, status.Engines = ht.shardStatuses()
	return status
}

func (ht *Host) hostStatuses() []operator.Host {
	localMember, _ := ht.gossip.Member(ht.localMember.Host)
	var hostStatuses []operator.Host
	for _, member := range append([]membership.Member{localMember}, ht.gossip.RemoteMembers()...) {
		hostStatuses = append(hostStatuses, operator.Host{
			Name:             member.Host,
			AvailabilityZone: member.AvailabilityZone,
			Status:           member.Status.String(),
			CallerAddress:    member.CallerAddress,
		})
	}
	return hostStatuses
}

func (ht *Host) shardStatuses() ([]operator.Shard, []operator.Engine) {
	dispatcherStatuses := ht.shardServer.Status()
	var shards []operator.Shard
	var engines []operator.Engine
	for _, name := range ht.fleet.Shards() {
		shardStatus := operator.Shard{Name: name}
		if dispatchers := ht.peerClient.ShardDispatchers(name); len(dispatchers) > 0 {
			shardStatus.Dispatcher = dispatchers[0]
		}
		memoryUseByEngine := map[id.Engine]operator.Engine{}
		for _, dispatcherStatus := range dispatcherStatuses {
			if dispatcherStatus.Shard != name {
				continue
			}
			shardStatus.Local = true
			shardStatus.Waiting = dispatcherStatus.Waiting
			shardStatus.Running = dispatcherStatus.Granted
			for _, engine := range dispatcherStatus.Engines {
				memoryUseByEngine[engine.Engine] = operator.Engine{Held: engine.Held + engine.Foreign, Capacity: engine.Capacity}
			}
		}
		shards = append(shards, shardStatus)
		for _, engine := range ht.fleet.Engines(name) {
			engines = append(engines, operator.Engine{
				Name:             engine.Name,
				Service:          engine.Service,
				AvailabilityZone: engine.AvailabilityZone,
				Leaving:          engine.Leaving,
				Held:             memoryUseByEngine[engine.Name].Held,
				Capacity:         memoryUseByEngine[engine.Name].Capacity,
			})
		}
	}
	return shards, engines
}
