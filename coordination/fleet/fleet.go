// Package fleet combines the platform's host list, which lags behind the real state, with what the local host observes
// of the backends itself. Backends are engines and the servers of plain services.
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

// Engine is a model engine as named in the host list.
type Engine struct {
	Name             id.Engine
	Service          id.Service
	Address          string
	AvailabilityZone id.AvailabilityZone
	// Leaving says that the engine is to get no new requests.
	Leaving bool
	// ChecksFencing says that the engine rejects orders with an outdated fencing token.
	ChecksFencing bool
}

// BackendServer is a server of a plain service as named in the host list. A plain service has no engines.
type BackendServer struct {
	Name             id.BackendServer
	Service          id.Service
	Address          string
	AvailabilityZone id.AvailabilityZone
	Leaving          bool
}

// Listing holds the backends of the platform's host list.
type Listing struct {
	Engines []Engine
	Servers []BackendServer
}

// Observation is what the local host observed of a backend itself.
type Observation int

// Values of Evidence.
const (
	// Answered means that the backend answered and accepts requests.
	Answered Observation = iota + 1
	// Draining means that the backend announced that it is leaving.
	Draining
	// Unreachable means that a connection to the backend failed.
	Unreachable
)

// timedEvidence is the newest evidence about a backend and when it was recorded.
type timedEvidence struct {
	evidence   Observation
	observedAt time.Time
}

// Fleet is a host's view of all backends. It is not safe for concurrent use.
type Fleet struct {
	listing Listing
	// evidence holds the newest evidence by the name of the backend.
	evidence map[string]timedEvidence
	// shards holds the engines of listing by shard, shardNames the sorted names of the shards.
	shards     map[id.Shard][]Engine
	shardNames []id.Shard
}

// unreachableTTL is how long a backend gets no new requests after a connection to it failed.
const unreachableTTL = 2 * time.Second

// New returns a fleet without backends.
func New() *Fleet {
	return &Fleet{evidence: map[string]timedEvidence{}}
}

// SetListing replaces the host list, assigns its engines to shards, and drops evidence about backends that it does not
// name.
func (fl *Fleet) SetListing(listing Listing) {
	fl.listing = listing
	fl.shards = assignShards(listing.Engines)
	fl.shardNames = nil
	for shard := range fl.shards {
		fl.shardNames = append(fl.shardNames, shard)
	}
	slices.Sort(fl.shardNames)
	fl.dropUnlistedEvidence()
}

// dropUnlistedEvidence drops evidence about backends that are no longer listed.
func (fl *Fleet) dropUnlistedEvidence() {
	listedNames := map[string]bool{}
	for _, en := range fl.listing.Engines {
		listedNames[string(en.Name)] = true
	}
	for _, sv := range fl.listing.Servers {
		listedNames[string(sv.Name)] = true
	}
	for name := range fl.evidence {
		if !listedNames[name] {
			delete(fl.evidence, name)
		}
	}
}

// RecordObservation records evidence about a backend. It replaces earlier evidence about the same backend.
func (fl *Fleet) RecordObservation(now time.Time, name string, ev Observation) {
	fl.evidence[name] = timedEvidence{evidence: ev, observedAt: now}
}

// isLeaving reports whether a backend is to get no new requests, because the host list says so (listedLeaving) or
// because of evidence. An answer from the backend does not override the list.
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

// Shards returns the names of all shards, sorted.
func (fl *Fleet) Shards() []id.Shard {
	return fl.shardNames
}

// Engines returns the engines of a shard, sorted by name. The field Leaving takes evidence into account.
func (fl *Fleet) Engines(now time.Time, shard id.Shard) []Engine {
	engines := slices.Clone(fl.shards[shard])
	for ix := range engines {
		engines[ix].Leaving = fl.isLeaving(now, string(engines[ix].Name), engines[ix].Leaving)
	}
	return engines
}

// AllEngines returns the engines of all shards. The field Leaving takes evidence into account.
func (fl *Fleet) AllEngines(now time.Time) []Engine {
	var engines []Engine
	for _, shard := range fl.shardNames {
		engines = append(engines, fl.Engines(now, shard)...)
	}
	return engines
}

// Servers returns the servers of a plain service that accept new requests.
func (fl *Fleet) Servers(now time.Time, service id.Service) []BackendServer {
	var servers []BackendServer
	for _, sv := range fl.listing.Servers {
		if sv.Service == service && !fl.isLeaving(now, string(sv.Name), sv.Leaving) {
			servers = append(servers, sv)
		}
	}
	return servers
}

// HasService reports whether the host list names a server of the plain service, even if it accepts no new requests.
func (fl *Fleet) HasService(service id.Service) bool {
	return slices.ContainsFunc(fl.listing.Servers, func(sv BackendServer) bool { return sv.Service == service })
}

// assignShards groups engines into shards of at most ShardSize. The engines of a service form one shard if they fit
// into it, else one or more shards in each availability zone.
func assignShards(engines []Engine) map[id.Shard][]Engine {
	byService := map[id.Service][]Engine{}
	for _, en := range engines {
		byService[en.Service] = append(byService[en.Service], en)
	}
	shards := map[id.Shard][]Engine{}
	for service, serviceEngines := range byService {
		if len(serviceEngines) <= ShardSize {
			shards[id.Shard(service)] = sortedByName(serviceEngines)
			continue
		}
		assignZoneShards(shards, service, serviceEngines)
	}
	return shards
}

// assignZoneShards adds the shards of a large service to shards: in each availability zone, its engines are distributed
// evenly over as few shards as possible. Shards are named SERVICE/ZONE/NUMBER.
func assignZoneShards(shards map[id.Shard][]Engine, service id.Service, engines []Engine) {
	byZone := map[id.AvailabilityZone][]Engine{}
	for _, en := range engines {
		byZone[en.AvailabilityZone] = append(byZone[en.AvailabilityZone], en)
	}
	for az, zoneEngines := range byZone {
		shardCount := (len(zoneEngines) + ShardSize - 1) / ShardSize
		for ix, en := range sortedByName(zoneEngines) {
			shard := id.Shard(string(service) + "/" + string(az) + "/" + strconv.Itoa(ix%shardCount))
			shards[shard] = append(shards[shard], en)
		}
	}
}

// sortedByName returns a sorted copy of the engines.
func sortedByName(engines []Engine) []Engine {
	sorted := slices.Clone(engines)
	slices.SortFunc(sorted, func(left, right Engine) int { return strings.Compare(string(left.Name), string(right.Name)) })
	return sorted
}
