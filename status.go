package hibiscuslever

import (
	"math/rand/v2"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// readyLists gives the caller server the lists of plans and organisations once the host is ready to serve callers.
type readyLists struct {
	host *Host
}

// Lists returns the current lists and whether the host is ready.
func (rl readyLists) Lists() (*lists.Lists, bool) {
	current, ready := rl.host.configuration.Lists()
	return current, ready && rl.NotReadyReason() == ""
}

// NotReadyReason says why the host is not ready, empty if it is.
func (rl readyLists) NotReadyReason() string {
	return rl.host.notReadyReason()
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

// CallerAddresses returns the caller addresses of the hosts that accept requests and are not suspected to have failed, at
// most the configured maximum. The order is random, so that callers spread their requests over the hosts.
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

// liveZoneCount returns the number of availability zones with at least one live host.
func (ht *Host) liveZoneCount() int {
	zones := map[id.AvailabilityZone]bool{}
	for _, member := range ht.gossip.Live() {
		zones[member.AvailabilityZone] = true
	}
	return len(zones)
}

// Status returns the local host's view of the fleet for operators.
func (ht *Host) Status() operator.Status {
	current, _ := ht.configuration.Lists()
	status := operator.Status{
		Host:             ht.localMember.Host,
		AvailabilityZone: ht.localMember.AvailabilityZone,
		NotReady:         ht.notReadyReason(),
		InFlight:         ht.callerServer.InFlight(),
		Started:          ht.startedAt,
		EvacuatedZones:   current.EvacuatedZones,
	}
	for _, list := range lists.Names() {
		status.Revisions = append(status.Revisions, operator.ListRevision{List: list, Revision: current.Revisions[list]})
	}
	status.Hosts = ht.hostStatuses()
	status.Shards, status.Engines = ht.shardStatuses()
	return status
}

// hostStatuses returns the local host first, then the other known hosts sorted by name, dead ones included.
func (ht *Host) hostStatuses() []operator.HostStatus {
	localMember, _ := ht.gossip.Member(ht.localMember.Host)
	var hosts []operator.HostStatus
	for _, member := range append([]membership.Member{localMember}, ht.gossip.RemoteMembers()...) {
		hosts = append(hosts, operator.HostStatus{
			Name:             member.Host,
			AvailabilityZone: member.AvailabilityZone,
			Status:           member.Status.String(),
			CallerAddress:    member.CallerAddress,
		})
	}
	return hosts
}

// shardStatuses returns all shards and their engines. The counts of requests, and the memory of engines in tokens, are
// known only for the shards that the local host dispatches, and are zero for the others.
func (ht *Host) shardStatuses() ([]operator.ShardStatus, []operator.EngineStatus) {
	dispatcherStatuses := ht.shardServer.Status()
	var shards []operator.ShardStatus
	var engines []operator.EngineStatus
	for _, name := range ht.fleet.Shards() {
		shardStatus := operator.ShardStatus{Name: name}
		if dispatchers := ht.peerClient.ShardDispatchers(name); len(dispatchers) > 0 {
			shardStatus.Dispatcher = dispatchers[0]
		}
		memoryUseByEngine := map[id.Engine]operator.EngineStatus{}
		for _, dispatcherStatus := range dispatcherStatuses {
			if dispatcherStatus.Shard != name {
				continue
			}
			shardStatus.Local = true
			shardStatus.Waiting = dispatcherStatus.Waiting
			shardStatus.Running = dispatcherStatus.Granted
			for _, engine := range dispatcherStatus.Engines {
				memoryUseByEngine[engine.Engine] = operator.EngineStatus{Held: engine.ReservedTokens + engine.UnknownAttemptTokens, Capacity: engine.CapacityTokens}
			}
		}
		shards = append(shards, shardStatus)
		for _, engine := range ht.fleet.Engines(name) {
			engines = append(engines, operator.EngineStatus{
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
