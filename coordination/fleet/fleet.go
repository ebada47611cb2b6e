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

type timedEvidence struct {
	evidence   Evidence
	observedAt time.Time
}

// Fleet is a host's view of all back ends. It is not safe for concurrent use.
type Fleet struct {
	listing    Listing
	evidence   map[string]timedEvidence
	shards     map[id.Shard][]Engine
	shardNames []id.Shard
}

// unreachableTTL is how long a back end that refused a connection gets no new work.
const unreachableTTL = 2 * time.Second

// New returns a fleet without back ends.
func New() *Fleet {
	return &Fleet{evidence: map[string]timedEvidence{}}
}

// SetListing takes a new host list.
func (fl *Fleet) SetListing(listing Listing) {
	fl.listing = listing
	fl.shards = assignShards(listing.Engines)
	fl.shardNames = nil
	for name := range fl.shards {
		fl.shardNames = append(fl.shardNames, name)
	}
	slices.Sort(fl.shardNames)
	fl.dropUnlistedEvidence()
}

// dropUnlistedEvidence drops evidence about back ends that are no longer listed.
func (fl *Fleet) dropUnlistedEvidence() {
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
	fl.evidence[name] = timedEvidence{evidence: ev, observedAt: now}
}

// isLeaving reports whether a back end is to get nothing new.
func (fl *Fleet) isLeaving(now time.Time, name string, listedLeaving bool) bool {
	te, ok := fl.evidence[name]
	if !ok {
		return listedLeaving
	}
	switch te.evidence {
	case Draining:
		return true
	case Unreachable:
		return listedLeaving || now.Sub(te.observedAt) < unreachableTTL
	default:
		return listedLeaving
	}
}

// Shards returns the names of all shards in order.
func (fl *Fleet) Shards() []id.Shard {
	return fl.shardNames
}

// Engines returns the engines of a shard, with evidence applied.
func (fl *Fleet) Engines(now time.Time, shard id.Shard) []Engine {
	engines := slices.Clone(fl.shards[shard])
	for ix := range engines {
		engines[ix].Leaving = fl.isLeaving(now, string(engines[ix].Name), engines[ix].Leaving)
	}
	return engines
}

// AllEngines returns every engine listed, with evidence applied.
func (fl *Fleet) AllEngines(now time.Time) []Engine {
	var engines []Engine
	for _, shard := range fl.shardNames {
		engines = append(engines, fl.Engines(now, shard)...)
	}
	return engines
}

// Servers returns the servers of a plain service that take new work.
func (fl *Fleet) Servers(now time.Time, service id.Service) []BackendServer {
	var servers []BackendServer
	for _, sv := range fl.listing.Servers {
		if sv.Service == service && !fl.isLeaving(now, string(sv.Name), sv.Leaving) {
			servers = append(servers, sv)
		}
	}
	return servers
}

// HasService reports whether the list names a plain service.
func (fl *Fleet) HasService(service id.Service) bool {
	return slices.ContainsFunc(fl.listing.Servers, func(sv BackendServer) bool { return sv.Service == service })
}

// assignShards groups engines into shards: a service is one shard while it is small, else one or more in each availability zone.
func assignShards(engines []Engine) map[id.Shard][]Engine {
	byService := map[id.Service][]Engine{}
	for _, en := range engines {
		byService[en.Service] = append(byService[en.Service], en)
	}
	shards := map[id.Shard][]Engine{}
	for service, members := range byService {
		if len(members) <= ShardSize {
			shards[id.Shard(service)] = sortedByName(members)
			continue
		}
		assignZoneShards(shards, service, members)
	}
	return shards
}

func assignZoneShards(shards map[id.Shard][]Engine, service id.Service, members []Engine) {
	byZone := map[id.AvailabilityZone][]Engine{}
	for _, en := range members {
		byZone[en.AvailabilityZone] = append(byZone[en.AvailabilityZone], en)
	}
	for az, inZone := range byZone {
		shardCount := (len(inZone) + ShardSize - 1) / ShardSize
		for ix, en := range sortedByName(inZone) {
			name := id.Shard(string(service) + "/" + string(az) + "/" + strconv.Itoa(ix%shardCount))
			shards[name] = append(shards[name], en)
		}
	}
}

func sortedByName(engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(left, right Engine) int { return strings.Compare(string(left.Name), string(right.Name)) })
	return sorted
}
