package site

import (
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// desiredState names the platform's desired state where operators see revisions of lists.
const desiredState = "DesiredState"

// Status returns what the host knows of the fleet.
func (ht *Host) Status() operator.Status {
	status := operator.Status{
		Host:             ht.self.Host,
		AvailabilityZone: ht.self.AvailabilityZone,
		InFlight:         ht.front.InFlight(),
		Started:          ht.started,
		StoreAway:        ht.news.StoreUnavailable(),
		ListAge:          ht.news.ListAge(),
	}
	if ready, why := ht.Ready(); !ready {
		status.NotReady = why
	}
	if tb := ht.news.Table(); tb != nil {
		status.Revisions = append(status.Revisions, operator.ListRevision{List: desiredState, Revision: id.Offset(tb.Version())})
	}
	own, _ := ht.gossip.Member(ht.self.Host)
	for _, mb := range append([]membership.Member{own}, ht.gossip.RemoteMembers()...) {
		status.Hosts = append(status.Hosts, operator.HostStatus{
			Name: mb.Host, AvailabilityZone: mb.AvailabilityZone, Status: mb.Status.String(), CallerAddress: mb.CallerAddress,
		})
	}
	status.Shards, status.Engines = ht.dispatchStatus()
	return status
}

// dispatchStatus describes the services with engines, each with its dispatcher, and all backend servers.
func (ht *Host) dispatchStatus() ([]operator.ShardStatus, []operator.EngineStatus) {
	local := map[id.Service]broker.Status{}
	for _, st := range ht.broker.Status() {
		local[st.Service] = st
	}
	servers, _ := ht.news.Servers()
	var shards []operator.ShardStatus
	var engines []operator.EngineStatus
	seen := map[id.Service]bool{}
	for _, sv := range servers {
		engine, isEngine := ht.fleet.EngineProfile(sv.Service)
		engines = append(engines, operator.EngineStatus{
			Name: id.Engine(sv.ID), Service: sv.Service, AvailabilityZone: sv.AvailabilityZone, Leaving: ht.fleet.ListedAsLeaving(sv.ID), Capacity: engine.Capacity,
		})
		if !isEngine || seen[sv.Service] {
			continue
		}
		seen[sv.Service] = true
		shard := operator.ShardStatus{Name: id.Shard(sv.Service)}
		if order := ht.peers.Dispatchers(sv.Service); len(order) > 0 {
			shard.Dispatcher = order[0]
		}
		if st, ok := local[sv.Service]; ok {
			shard.Local, shard.Waiting, shard.Running = true, st.Waiting, st.Granted
		}
		shards = append(shards, shard)
	}
	return shards, engines
}
