package site

import (
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// desiredStateList is the name of the platform's desired state among the lists whose revisions operators see.
const desiredStateList = "DesiredState"

// Status returns this host's view of the fleet.
func (ht *Host) Status() operator.Status {
	status := operator.Status{
		Host:             ht.localMember.Host,
		AvailabilityZone: ht.localMember.AvailabilityZone,
		InFlight:         ht.clientHandler.InFlight(),
		InFlightForPeers: ht.relayServer.InFlight(),
		CutOff:           ht.links.CutOff(),
		CutOffHosts:      ht.backendSender.CutOffHosts(),
		ThroughPeers:     ht.links.MarkedServers(),
		Started:          ht.startedAt,
		StoreAway:        ht.updateFollower.StoreUnavailable(),
		ListAge:          ht.updateFollower.ListAge(),
		EvacuatedZones:   ht.updateFollower.EvacuatedZones(),
	}
	if ready, reason := ht.Ready(); !ready {
		status.NotReady = reason
	}
	if table := ht.updateFollower.Table(); table != nil {
		status.Revisions = append(status.Revisions, operator.ListRevision{List: desiredStateList, Revision: id.Offset(table.Version())})
	}
	currentMember, _ := ht.gossip.Member(ht.localMember.Host)
	for _, member := range append([]membership.Member{currentMember}, ht.gossip.RemoteMembers()...) {
		status.Hosts = append(status.Hosts, operator.HostStatus{
			Name: member.Host, AvailabilityZone: member.AvailabilityZone, Status: member.Status.String(), CallerAddress: member.CallerAddress,
		})
	}
	status.Shards, status.Engines = ht.dispatchStatus()
	return status
}

// dispatchStatus returns the services with engines, each with its dispatcher, and all backend servers.
func (ht *Host) dispatchStatus() ([]operator.ShardStatus, []operator.EngineStatus) {
	localDispatchers := map[id.Service]broker.Status{}
	for _, status := range ht.grantServer.Status() {
		localDispatchers[status.Service] = status
	}
	servers, _ := ht.updateFollower.Servers()
	var shards []operator.ShardStatus
	var engines []operator.EngineStatus
	reportedServices := map[id.Service]bool{}
	for _, server := range servers {
		profile, hasEngines := ht.fleet.EngineProfile(server.Service)
		engines = append(engines, operator.EngineStatus{
			Name: id.Engine(server.ID), Service: server.Service, AvailabilityZone: server.AvailabilityZone, Leaving: ht.fleet.ListedAsLeaving(server.ID), Capacity: profile.Capacity,
		})
		if !hasEngines || reportedServices[server.Service] {
			continue
		}
		reportedServices[server.Service] = true
		shard := operator.ShardStatus{Name: id.Shard(server.Service)}
		if dispatchers := ht.peerClient.Dispatchers(server.Service); len(dispatchers) > 0 {
			shard.Dispatcher = dispatchers[0]
		}
		if status, ok := localDispatchers[server.Service]; ok {
			shard.Local, shard.Waiting, shard.Running = true, status.Waiting, status.Granted
		}
		shards = append(shards, shard)
	}
	return shards, engines
}
