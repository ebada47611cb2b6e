package site

import (
	"encoding/json"
	"net/http"

	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/protocol/operator"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// desiredState names the platform's desired state where operators see revisions of lists.
const desiredState = "DesiredState"

// operatorHandler serves the operators' client: status and metrics. The lists are edited on the platform.
func (ht *Host) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+operator.MetricsPath, ht.metrics.Handler)
	mux.HandleFunc("GET "+operator.HealthPath, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET "+operator.ReadyPath, ht.serveReady)
	mux.HandleFunc("GET "+operator.StatusPath, ht.serveStatus)
	return mux
}

func (ht *Host) serveReady(wr http.ResponseWriter, _ *http.Request) {
	if ready, why := ht.Ready(); !ready {
		http.Error(wr, why, http.StatusServiceUnavailable)
	}
}

func (ht *Host) serveStatus(wr http.ResponseWriter, _ *http.Request) {
	wr.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(wr).Encode(ht.Status()); err != nil {
		ht.logger.Warn("status not sent", "error", err.Error())
	}
}

// Status returns what the host knows of the fleet.
func (ht *Host) Status() operator.Status {
	status := operator.Status{
		Host:             ht.self.Host,
		AvailabilityZone: ht.self.AvailabilityZone,
		InFlight:         ht.front.InFlight(),
		Started:          ht.started,
		StoreAway:        ht.news.Away(),
		ListAge:          ht.news.Age(),
	}
	if ready, why := ht.Ready(); !ready {
		status.NotReady = why
	}
	if tb := ht.news.Table(); tb != nil {
		status.Revisions = append(status.Revisions, operator.ListRevision{List: desiredState, Revision: id.Offset(tb.Version())})
	}
	own, _ := ht.gossip.Member(ht.self.Host)
	for _, mb := range append([]membership.Member{own}, ht.gossip.Members()...) {
		status.Hosts = append(status.Hosts, operator.Host{
			Name: mb.Host, AvailabilityZone: mb.AvailabilityZone, Status: mb.Status.String(), CallerAddress: mb.CallerAddress,
		})
	}
	status.Shards, status.Engines = ht.dispatchStatus()
	return status
}

// dispatchStatus describes the services with engines, each with its dispatcher, and all backend servers.
func (ht *Host) dispatchStatus() ([]operator.Shard, []operator.Engine) {
	local := map[id.Service]broker.Status{}
	for _, st := range ht.broker.Status() {
		local[st.Service] = st
	}
	servers, _ := ht.news.Servers()
	var shards []operator.Shard
	var engines []operator.Engine
	seen := map[id.Service]bool{}
	for _, sv := range servers {
		engine, isEngine := ht.fleet.Engine(sv.Service)
		engines = append(engines, operator.Engine{
			Name: id.Engine(sv.ID), Service: sv.Service, AvailabilityZone: sv.AvailabilityZone, Leaving: ht.fleet.Leaving(sv.ID), Capacity: engine.Capacity,
		})
		if !isEngine || seen[sv.Service] {
			continue
		}
		seen[sv.Service] = true
		shard := operator.Shard{Name: id.Shard(sv.Service)}
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
