// Package fleet combines the platform's lagging host list with direct evidence about back ends.
package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// ShardSize is the largest number of engines in a shard.
const ShardSize = 32

// Engine is a model engine of the host list.
type Engine struct {
	Name             id.Engine
	Service          id.Service
	Address          string
	AvailabilityZone id.AvailabilityZone
	Leaving          bool
	ChecksFencing    bool
}

// BackendServer is a server of a plain service.
type BackendServer struct {
	Name             id.BackendServer
	Service          id.Service
	Address          string
	AvailabilityZone id.AvailabilityZone
	Leaving          bool
}

// Listing is the platform's host list.
type Listing struct {
	Engines []Engine
	Servers []BackendServer
}

// Evidence says what a host saw of a back end itself.
type Evidence int

// Kinds of evidence.
const (
	// Answered says that the back end answered and takes work.
	Answered Evidence = iota + 1
	// Draining says that the back end said that it is leaving.
	Draining
	// Unreachable says that a connection to it failed.
	Unreachable
)

type seen struct {
	evidence Evidence
	at       time.Time
}

// Fleet is a host's view of all back ends. It is not safe for concurrent use.
type Fleet struct {
	listing  Listing
	evidence map[string]seen
	shards   map[id.Shard][]Engine
	order    []id.Shard
}

// unreachableFor is how long a back end that refused a connection gets no new work.
const unreachableFor = 2 * time.Second

// New returns a fleet without back ends.
func New() *Fleet {
	return &Fleet{evidence: map[string]seen{}}
}

// SetListing takes a new host list.
func (fl *Fleet) SetListing(listing Listing) {
	fl.listing = listing
	fl.shards = assign(listing.Engines)
	fl.order = nil
	for name := range fl.shards {
		fl.order = append(fl.order, name)
	}
	slices.Sort(fl.order)
	fl.forget()
}

// forget drops evidence about back ends that are no longer listed.
func (fl *Fleet) forget() {
	listed := map[string]bool{}
	for _, en := range fl.listing.Engines {
		listed[string(en.Name)] = true
	}
	for _, sv := range fl.listing.Servers {
		listed[string(sv.Name)] = true
	}
	for name := range fl.evidence {
		if !listed[name] {
			delete(fl.evidence, name)
		}
	}
}

// RecordEvidence records evidence about a back end.
func (fl *Fleet) RecordEvidence(now time.Time, name string, ev Evidence) {
	fl.evidence[name] = seen{evidence: ev, at: now}
}

// leaving reports whether a back end is to get nothing new.
func (fl *Fleet) leaving(now time.Time, name string, listed bool) bool {
	sn, ok := fl.evidence[name]
	if !ok {
		return listed
	}
	switch sn.evidence {
	case Draining:
		return true
	case Unreachable:
		return listed || now.Sub(sn.at) < unreachableFor
	default:
		return listed
	}
}

// Shards returns the names of all shards in order.
func (fl *Fleet) Shards() []id.Shard {
	return fl.order
}

// Engines returns the engines of a shard, with evidence applied.
func (fl *Fleet) Engines(now time.Time, shard id.Shard) []Engine {
	engines := slices.Clone(fl.shards[shard])
	for ix := range engines {
		engines[ix].Leaving = fl.leaving(now, string(engines[ix].Name), engines[ix].Leaving)
	}
	return engines
}

// AllEngines returns every engine listed, with evidence applied.
func (fl *Fleet) AllEngines(now time.Time) []Engine {
	var engines []Engine
	for _, shard := range fl.order {
		engines = append(engines, fl.Engines(now, shard)...)
	}
	return engines
}

// Servers returns the servers of a plain service that take new work.
func (fl *Fleet) Servers(now time.Time, service id.Service) []BackendServer {
	var servers []BackendServer
	for _, sv := range fl.listing.Servers {
		if sv.Service == service && !fl.leaving(now, string(sv.Name), sv.Leaving) {
			servers = append(servers, sv)
		}
	}
	return servers
}

// HasService reports whether the list names a plain service.
func (fl *Fleet) HasService(service id.Service) bool {
	return slices.ContainsFunc(fl.listing.Servers, func(sv BackendServer) bool { return sv.Service == service })
}

// assign groups engines into shards: a service is one shard while it is small, else one or more in each availability zone.
func assign(engines []Engine) map[id.Shard][]Engine {
	byService := map[id.Service][]Engine{}
	for _, en := range engines {
		byService[en.Service] = append(byService[en.Service], en)
	}
	shards := map[id.Shard][]Engine{}
	for service, members := range byService {
		if len(members) <= ShardSize {
			shards[id.Shard(service)] = sorted(members)
			continue
		}
		assignZones(shards, service, members)
	}
	return shards
}

func assignZones(shards map[id.Shard][]Engine, service id.Service, members []Engine) {
	byZone := map[id.AvailabilityZone][]Engine{}
	for _, en := range members {
		byZone[en.AvailabilityZone] = append(byZone[en.AvailabilityZone], en)
	}
	for az, inZone := range byZone {
		count := (len(inZone) + ShardSize - 1) / ShardSize
		for ix, en := range sorted(inZone) {
			name := id.Shard(string(service) + "/" + string(az) + "/" + strconv.Itoa(ix%count))
			shards[name] = append(shards[name], en)
		}
	}
}

func sorted(engines []Engine) []Engine {
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(left, right Engine) int { return strings.Compare(string(left.Name), string(right.Name)) })
	return ordered
}
