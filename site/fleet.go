package site

import (
	"slices"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/coordination/statesync"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// fleet is this host's view of the backend servers. It combines the list of servers with what servers announced
// themselves: a server that announced that it is leaving counts as draining even while the list still shows it as
// ready. It implements the Fleet interfaces of packages forward and broker, and is safe for concurrent use.
type fleet struct {
	follower *statesync.Follower
	clock    timer.Clock
	limits   *requestlimit.Tracker
	// coldBounds says how far the requests to cold servers may exceed their rate.
	coldBounds serverlimit.ColdBounds
	// spreadFact sends a fact to all other hosts by gossip.
	spreadFact func(membership.Fact)

	// mutex guards the following fields.
	mutex sync.Mutex
	// departures holds the servers that announced that they are leaving, or whose address another server has taken over,
	// by the hash of their ids. The list may continue to show such a server as ready for a long time, or remove it and
	// show it again.
	departures map[id.ServerHash]departure
	// unlistedDepartures holds the servers that announced that they are leaving before they were in the local copy of the
	// list, and when they did. Their start times are not known yet.
	unlistedDepartures map[id.BackendServer]time.Time
	// serversByService holds the listed servers by service; those with a departure are marked as draining. Its slices are
	// returned to callers and never modified.
	serversByService map[id.Service][]serverlist.Server
	// evacuatedServers holds the listed servers in availability zones that the operator has evacuated.
	evacuatedServers map[id.BackendServer]bool
}

// departure says that a server is leaving. It applies to the process that started at startedAtMillis, in Unix
// milliseconds, and not to a later one under the same id. LearnedAt is when this host learned of it.
type departure struct {
	startedAtMillis int64
	learnedAt       time.Time
}

// departureTTL is how long a departure is remembered. It equals the time for which hosts remember facts that are spread
// by gossip.
const departureTTL = time.Hour

func newFleet(follower *statesync.Follower, clock timer.Clock, limits *requestlimit.Tracker, coldBounds serverlimit.ColdBounds, spreadFact func(membership.Fact)) *fleet {
	return &fleet{
		follower:           follower,
		coldBounds:         coldBounds,
		limits:             limits,
		clock:              clock,
		spreadFact:         spreadFact,
		departures:         map[id.ServerHash]departure{},
		unlistedDepartures: map[id.BackendServer]time.Time{},
		serversByService:   map[id.Service][]serverlist.Server{},
	}
}

// updateList takes a new version of the list. It drops expired departures, and spreads the departures of servers that
// were not listed before.
func (fl *fleet) updateList(servers []serverlist.Server) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	for hash, recordedDeparture := range fl.departures {
		if now.Sub(recordedDeparture.learnedAt) > departureTTL {
			delete(fl.departures, hash)
		}
	}
	var facts []membership.Fact
	for _, listed := range servers {
		if _, departed := fl.unlistedDepartures[listed.ID]; departed {
			delete(fl.unlistedDepartures, listed.ID)
			facts = append(facts, fl.recordDeparture(now, listed))
		}
	}
	for server, learnedAt := range fl.unlistedDepartures {
		if now.Sub(learnedAt) > departureTTL {
			delete(fl.unlistedDepartures, server)
		}
	}
	fl.groupByService(servers)
	fl.mutex.Unlock()
	for _, departureFact := range facts {
		fl.spreadFact(departureFact)
	}
}

// recordDeparture records that a server is leaving, and returns the fact to send to the other hosts. The caller holds
// the lock.
func (fl *fleet) recordDeparture(now time.Time, server serverlist.Server) membership.Fact {
	fl.departures[id.HashServer(server.ID)] = departure{startedAtMillis: server.StartedAtMillis, learnedAt: now}
	return membership.Fact{Kind: membership.DepartureFact, Key: uint64(id.HashServer(server.ID)), Value: server.StartedAtMillis}
}

// groupByService rebuilds serversByService and evacuatedServers from the listed servers. The caller holds the lock.
func (fl *fleet) groupByService(servers []serverlist.Server) {
	fl.serversByService = map[id.Service][]serverlist.Server{}
	fl.evacuatedServers = map[id.BackendServer]bool{}
	evacuatedZones := fl.follower.EvacuatedZones()
	for _, server := range servers {
		if recordedDeparture, departed := fl.departures[id.HashServer(server.ID)]; departed && recordedDeparture.startedAtMillis == server.StartedAtMillis {
			server.Draining = true
		}
		if slices.Contains(evacuatedZones, server.AvailabilityZone) {
			server.Evacuated = true
			fl.evacuatedServers[server.ID] = true
		}
		fl.serversByService[server.Service] = append(fl.serversByService[server.Service], server)
	}
}

// Evacuated reports whether the operator has evacuated the availability zone of a listed server.
func (fl *fleet) Evacuated(server id.BackendServer) bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.evacuatedServers[server]
}

// Servers returns the listed servers of a service. Those that announced that they are leaving are marked as draining, those
// in evacuated availability zones as evacuated. The caller must not modify the result.
func (fl *fleet) Servers(service id.Service) []serverlist.Server {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.serversByService[service]
}

// ListedAsLeaving reports whether the list shows a server as draining, or no longer contains it.
func (fl *fleet) ListedAsLeaving(server id.BackendServer) bool { return fl.follower.Leaving(server) }

// ShownAsDraining reports whether the list shows the given start of a server as draining, or showed it so before it dropped
// or replaced its entry.
func (fl *fleet) ShownAsDraining(server serverlist.Server) bool {
	return fl.follower.ShownAsDraining(server)
}

// AnnouncedLeaving reports whether a server itself announced that it is leaving, or another server has its address. It
// returns false if the server has been started again since.
func (fl *fleet) AnnouncedLeaving(server id.BackendServer) bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	if _, unlisted := fl.unlistedDepartures[server]; unlisted {
		return true
	}
	recordedDeparture, departed := fl.departures[id.HashServer(server)]
	if !departed {
		return false
	}
	for _, servers := range fl.serversByService {
		for _, listed := range servers {
			if listed.ID == server {
				return listed.StartedAtMillis == recordedDeparture.startedAtMillis
			}
		}
	}
	return true
}

// ListAge returns the time since the list was last known to be up to date.
func (fl *fleet) ListAge() time.Duration { return fl.follower.ListAge() }

// RecordLeaving records that a server announced that it is leaving, or that another server has its address, and spreads
// this fact to the other hosts. If the server is not in the list yet, the fact is spread once it is. RecordLeaving
// reports whether the fact was new.
func (fl *fleet) RecordLeaving(server id.BackendServer) bool {
	if fl.AnnouncedLeaving(server) {
		return false
	}
	servers, _ := fl.follower.Servers()
	fl.mutex.Lock()
	now := fl.clock.Now()
	for _, listed := range servers {
		if listed.ID != server {
			continue
		}
		fact := fl.recordDeparture(now, listed)
		fl.groupByService(servers)
		fl.mutex.Unlock()
		fl.spreadFact(fact)
		return true
	}
	fl.unlistedDepartures[server] = now
	fl.mutex.Unlock()
	return true
}

// learnDeparture records another host's fact that a server is leaving, and reports whether it was new.
func (fl *fleet) learnDeparture(fact membership.Fact) bool {
	servers, _ := fl.follower.Servers()
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	if recordedDeparture, recorded := fl.departures[id.ServerHash(fact.Key)]; recorded && recordedDeparture.startedAtMillis >= fact.Value {
		return false
	}
	fl.departures[id.ServerHash(fact.Key)] = departure{startedAtMillis: fact.Value, learnedAt: fl.clock.Now()}
	fl.groupByService(servers)
	return true
}

// EnginesKnown reports whether both the desired state and the list of servers have been received.
func (fl *fleet) EnginesKnown() bool { return fl.follower.Loaded() }

// EngineProfile returns the performance profile of a service's engines, or false if the service has no engines or is
// unknown.
func (fl *fleet) EngineProfile(service id.Service) (route.EngineProfile, bool) {
	table := fl.follower.Table()
	if table == nil {
		return route.EngineProfile{}, false
	}
	described, ok := table.Service(service)
	if !ok || described.Engine == nil {
		return route.EngineProfile{}, false
	}
	return *described.Engine, true
}

// Engines returns the listed engines of a service.
func (fl *fleet) Engines(service id.Service) []batch.EngineSpec {
	servers := fl.Servers(service)
	specs := make([]batch.EngineSpec, 0, len(servers))
	cold := fl.ColdService(service)
	coldAfterFault := cold.Limit
	coldAfterFault.Assumed = true
	for _, server := range servers {
		spec := batch.EngineSpec{Engine: id.Engine(server.ID), Address: server.Address, StartedAtMillis: server.StartedAtMillis, Leaving: server.Draining, Evacuated: server.Evacuated, RequestLimit: fl.limits.Rate(server)}
		if cold.HasColdServers() {
			spec.ColdLimit, spec.ColdAfterFault, spec.ColdDuration = fl.limits.ColdLimit(server), coldAfterFault, cold.Duration
		}
		specs = append(specs, spec)
	}
	return specs
}

// ColdService describes the cold servers of a service.
func (fl *fleet) ColdService(service id.Service) requestlimit.ColdService {
	table := fl.follower.Table()
	if table == nil {
		return requestlimit.ColdService{}
	}
	described, ok := table.Service(service)
	if !ok || described.ColdRequestsPerSecond == 0 {
		return requestlimit.ColdService{}
	}
	return requestlimit.ColdService{Duration: described.ColdDuration, Limit: fl.coldBounds.Limit(described.ColdRequestsPerSecond)}
}

// RequestLimits returns what recent responses to this host said of the request limits of a service's servers.
func (fl *fleet) RequestLimits(service id.Service) []serverlimit.Statement {
	return fl.limits.ObservedStatements(fl.Servers(service))
}

// LearnRequestLimits takes what another host knows of request limits.
func (fl *fleet) LearnRequestLimits(host id.Host, statements []serverlimit.Statement) {
	fl.limits.Learn(string(host), statements...)
}
