// Package fleet combines the platform's list of engines and backend servers, which lags behind the real state, with
// what the local host observes of these backends itself. Engines run models; backend servers handle the requests of
// plain services. The platform's list also has the addresses of the entry hosts.
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

// Engine is a model engine of the platform's list.
type Engine struct {
	Name             id.Engine
	Service          id.Service
	Address          string
	AvailabilityZone id.AvailabilityZone
	// Leaving says that the engine must get no new requests. In a Listing, it means that the platform lists the engine as
	// leaving. Methods that return engines also set it because of observations and of evacuated zones (see isUnavailable).
	Leaving bool
	// ChecksFencing says that the engine rejects orders to load or unload a model whose fencing token is outdated.
	ChecksFencing bool
}

// BackendServer is a server of a plain service in the platform's list. A plain service has no engines.
type BackendServer struct {
	Name             id.BackendServer
	Service          id.Service
	Address          string
	AvailabilityZone id.AvailabilityZone
	// Leaving says that the platform lists the server as leaving.
	Leaving bool
}

// Listing is the platform's list of engines and backend servers.
type Listing struct {
	Engines []Engine
	Servers []BackendServer
}

// Observation is what the local host observed of a backend's health itself.
type Observation int

// Values of Observation.
const (
	// Answered means that the backend answered and accepts requests.
	Answered Observation = iota + 1
	// Draining means that the backend announced that it is leaving.
	Draining
	// Unreachable means that a connection to the backend failed.
	Unreachable
)

// timedObservation is the newest observation of a backend and when it was recorded.
type timedObservation struct {
	observation Observation
	observedAt  time.Time
}

// Fleet is a host's view of all backends. It is not safe for concurrent use.
type Fleet struct {
	listing Listing
	// observations holds the newest observation by the name of the backend.
	observations map[string]timedObservation
	// shards holds the engines of listing by shard, shardNames the sorted names of the shards.
	shards     map[id.Shard][]Engine
	shardNames []id.Shard
	// evacuatedZones are the availability zones that the operator has evacuated.
	evacuatedZones []id.AvailabilityZone
}

// unreachableTTL is how long a backend gets no new requests after a connection to it failed.
const unreachableTTL = 2 * time.Second

// New returns a fleet without backends.
func New() *Fleet {
	return &Fleet{observations: map[string]timedObservation{}}
}

// SetListing replaces the list, assigns its engines to shards, and drops the observations of backends that it does not
// name.
func (fl *Fleet) SetListing(listing Listing) {
	fl.listing = listing
	fl.shards = assignShards(listing.Engines)
	fl.shardNames = nil
	for shard := range fl.shards {
		fl.shardNames = append(fl.shardNames, shard)
	}
	slices.Sort(fl.shardNames)
	fl.dropUnlistedObservations()
}

// dropUnlistedObservations drops the observations of backends that are no longer listed.
func (fl *Fleet) dropUnlistedObservations() {
	listedNames := map[string]bool{}
	for _, en := range fl.listing.Engines {
		listedNames[string(en.Name)] = true
	}
	for _, sv := range fl.listing.Servers {
		listedNames[string(sv.Name)] = true
	}
	for name := range fl.observations {
		if !listedNames[name] {
			delete(fl.observations, name)
		}
	}
}

// SetEvacuatedZones sets the availability zones whose backends must get no new requests because the operator has evacuated
// them. The slice must not be changed any more.
func (fl *Fleet) SetEvacuatedZones(zones []id.AvailabilityZone) { fl.evacuatedZones = zones }

// RecordObservation records an observation of the backend with the given name, in place of an earlier one.
func (fl *Fleet) RecordObservation(now time.Time, name string, observation Observation) {
	fl.observations[name] = timedObservation{observation: observation, observedAt: now}
}

// isUnavailable reports whether a backend must get no new requests, because its availability zone is evacuated, because the
// platform lists it as leaving (listedLeaving), or because of an observation. An answer from the backend does not override
// the list.
func (fl *Fleet) isUnavailable(now time.Time, name string, zone id.AvailabilityZone, listedLeaving bool) bool {
	if slices.Contains(fl.evacuatedZones, zone) {
		return true
	}
	newest, ok := fl.observations[name]
	if !ok {
		return listedLeaving
	}
	switch newest.observation {
	case Draining:
		return true
	case Unreachable:
		return listedLeaving || now.Sub(newest.observedAt) < unreachableTTL
	default:
		return listedLeaving
	}
}

// Shards returns the names of all shards, sorted.
func (fl *Fleet) Shards() []id.Shard {
	return fl.shardNames
}

// Engines returns the engines of a shard, sorted by name. The field Leaving takes observations and evacuated zones into account.
func (fl *Fleet) Engines(now time.Time, shard id.Shard) []Engine {
	engines := slices.Clone(fl.shards[shard])
	for ix := range engines {
		engines[ix].Leaving = fl.isUnavailable(now, string(engines[ix].Name), engines[ix].AvailabilityZone, engines[ix].Leaving)
	}
	return engines
}

// AllEngines returns the engines of all shards. The field Leaving takes observations and evacuated zones into account.
func (fl *Fleet) AllEngines(now time.Time) []Engine {
	var engines []Engine
	for _, shard := range fl.shardNames {
		engines = append(engines, fl.Engines(now, shard)...)
	}
	return engines
}

// Servers returns the servers of a plain service that may get new requests.
func (fl *Fleet) Servers(now time.Time, service id.Service) []BackendServer {
	var servers []BackendServer
	for _, sv := range fl.listing.Servers {
		if sv.Service == service && !fl.isUnavailable(now, string(sv.Name), sv.AvailabilityZone, sv.Leaving) {
			servers = append(servers, sv)
		}
	}
	return servers
}

// HasService reports whether the list names a server of the plain service, even one that must get no new requests.
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
