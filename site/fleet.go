package site

import (
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
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

	mutex sync.Mutex
	// left holds the servers that said that they are leaving, or whose address another one has, by their start.
	left map[id.BackendServer]int64
}

func newFleet(fl *news.Follower, clock timer.Service) *fleet {
	return &fleet{news: fl, clock: clock, left: map[id.BackendServer]int64{}}
}

// keep forgets servers that are no longer listed.
func (fl *fleet) keep(servers []roster.Server) {
	listed := map[id.BackendServer]bool{}
	for _, sv := range servers {
		listed[sv.ID] = true
	}
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	for name := range fl.left {
		if !listed[name] {
			delete(fl.left, name)
		}
	}
}

// Servers returns the servers of a service that are listed; those that left count as draining.
func (fl *fleet) Servers(service id.Service) []roster.Server {
	servers, _ := fl.news.Servers()
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	var found []roster.Server
	for _, sv := range servers {
		if sv.Service != service {
			continue
		}
		if born, left := fl.left[sv.ID]; left && born == sv.Born {
			sv.Draining = true
		}
		found = append(found, sv)
	}
	return found
}

// Leaving reports whether a server is known to drain or to be gone.
func (fl *fleet) Leaving(server id.BackendServer) bool { return fl.news.Leaving(server) }

// Age returns the time since the list was last known to be up to date.
func (fl *fleet) Age() time.Duration { return fl.news.Age() }

// Left records a server's own word that it is leaving, or that another has its address.
func (fl *fleet) Left(server id.BackendServer) {
	servers, _ := fl.news.Servers()
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	for _, sv := range servers {
		if sv.ID == server {
			fl.left[server] = sv.Born
		}
	}
}

// Informed reports whether the desired state and the list of servers are known.
func (fl *fleet) Informed() bool { return fl.news.Informed() }

// Engine describes the engines of a service, or reports false for one without engines.
func (fl *fleet) Engine(service id.Service) (route.Engine, bool) {
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
		specs = append(specs, batch.EngineSpec{Engine: id.Engine(sv.ID), Address: sv.Address, Born: sv.Born, Leaving: sv.Draining})
	}
	return specs
}
