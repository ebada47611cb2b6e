package site

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/news"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// fleet is what the host knows of backend servers: the list, and what servers said themselves.
type fleet struct {
	news  *news.Follower
	clock timer.Service
	// spread passes on what a server said to the other hosts.
	spread func(membership.Fact)

	mutex sync.Mutex
	// left holds the starts of servers that said that they are leaving, or whose address another one has, by their hashed ids:
	// the list may name them as ready for a long time, drop them and name them again.
	left map[uint64]departure
	// unlisted holds the servers that said so before the own list named them.
	unlisted map[id.BackendServer]time.Time
	// services holds the listed servers by service, those that left as draining. Its slices are not changed.
	services map[id.Service][]roster.Server
}

// departure is the start of a server that is leaving and when the host learnt that it is.
type departure struct {
	born  int64
	since time.Time
}

// departureTTL is how long a server's word that it is leaving is remembered; it is the memory of facts between hosts.
const departureTTL = time.Hour

func newFleet(fl *news.Follower, clock timer.Service, spread func(membership.Fact)) *fleet {
	return &fleet{
		news:     fl,
		clock:    clock,
		spread:   spread,
		left:     map[uint64]departure{},
		unlisted: map[id.BackendServer]time.Time{},
		services: map[id.Service][]roster.Server{},
	}
}

func hashOf(server id.BackendServer) uint64 { return xxhash.Sum64String(string(server)) }

// listed takes a new list of servers, and forgets what servers said long ago.
func (fl *fleet) listed(servers []roster.Server) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	for hash, dp := range fl.left {
		if now.Sub(dp.since) > departureTTL {
			delete(fl.left, hash)
		}
	}
	var facts []membership.Fact
	for _, sv := range servers {
		if _, waits := fl.unlisted[sv.ID]; waits {
			delete(fl.unlisted, sv.ID)
			facts = append(facts, fl.depart(now, sv))
		}
	}
	for name, since := range fl.unlisted {
		if now.Sub(since) > departureTTL {
			delete(fl.unlisted, name)
		}
	}
	fl.arrange(servers)
	fl.mutex.Unlock()
	for _, fact := range facts {
		fl.spread(fact)
	}
}

// depart records that a server is leaving and returns the fact for the other hosts. The caller holds the lock.
func (fl *fleet) depart(now time.Time, sv roster.Server) membership.Fact {
	fl.left[hashOf(sv.ID)] = departure{born: sv.StartedAtMillis, since: now}
	return membership.Fact{Kind: membership.DepartureFact, Key: hashOf(sv.ID), Value: sv.StartedAtMillis}
}

// arrange sorts the listed servers by service. The caller holds the lock.
func (fl *fleet) arrange(servers []roster.Server) {
	fl.services = map[id.Service][]roster.Server{}
	for _, sv := range servers {
		if dp, left := fl.left[hashOf(sv.ID)]; left && dp.born == sv.StartedAtMillis {
			sv.Draining = true
		}
		fl.services[sv.Service] = append(fl.services[sv.Service], sv)
	}
}

// Servers returns the servers of a service that are listed; those that left count as draining. The result is not to be
// changed.
func (fl *fleet) Servers(service id.Service) []roster.Server {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.services[service]
}

// ListedAsLeaving reports whether a server is listed as draining or gone.
func (fl *fleet) ListedAsLeaving(server id.BackendServer) bool { return fl.news.Leaving(server) }

// AnnouncedLeaving reports whether a server said itself that it is leaving, or that another has its address.
func (fl *fleet) AnnouncedLeaving(server id.BackendServer) bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	if _, waits := fl.unlisted[server]; waits {
		return true
	}
	dp, left := fl.left[hashOf(server)]
	if !left {
		return false
	}
	for _, servers := range fl.services {
		for _, sv := range servers {
			if sv.ID == server {
				return sv.StartedAtMillis == dp.born
			}
		}
	}
	return true
}

// ListAge returns the time since the list was last known to be up to date.
func (fl *fleet) ListAge() time.Duration { return fl.news.ListAge() }

// RecordLeaving records a server's own word that it is leaving, or that another has its address, and tells the other hosts. It
// reports whether that is new.
func (fl *fleet) RecordLeaving(server id.BackendServer) bool {
	if fl.AnnouncedLeaving(server) {
		return false
	}
	servers, _ := fl.news.Servers()
	fl.mutex.Lock()
	now := fl.clock.Now()
	for _, sv := range servers {
		if sv.ID != server {
			continue
		}
		fact := fl.depart(now, sv)
		fl.arrange(servers)
		fl.mutex.Unlock()
		fl.spread(fact)
		return true
	}
	fl.unlisted[server] = now
	fl.mutex.Unlock()
	return true
}

// learned takes another host's word that a server is leaving, and reports whether that is new.
func (fl *fleet) learned(fact membership.Fact) bool {
	servers, _ := fl.news.Servers()
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	if dp, known := fl.left[fact.Key]; known && dp.born >= fact.Value {
		return false
	}
	fl.left[fact.Key] = departure{born: fact.Value, since: fl.clock.Now()}
	fl.arrange(servers)
	return true
}

// EnginesKnown reports whether the desired state and the list of servers are known.
func (fl *fleet) EnginesKnown() bool { return fl.news.Loaded() }

// EngineProfile describes the engines of a service, or reports false for one without engines.
func (fl *fleet) EngineProfile(service id.Service) (route.Engine, bool) {
	tb := fl.news.Table()
	if tb == nil {
		return route.Engine{}, false
	}
	sv, ok := tb.Service(service)
	if !ok || sv.Engine == nil {
		return route.Engine{}, false
	}
	return *sv.Engine, true
}

// Engines returns the engines of a service.
func (fl *fleet) Engines(service id.Service) []batch.EngineSpec {
	servers := fl.Servers(service)
	specs := make([]batch.EngineSpec, 0, len(servers))
	for _, sv := range servers {
		specs = append(specs, batch.EngineSpec{Engine: id.Engine(sv.ID), Address: sv.Address, StartedAtMillis: sv.StartedAtMillis, Leaving: sv.Draining})
	}
	return specs
}
