package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Source returns the platform's list of engines and backend servers.
type Source interface {
	// List returns the list and the peer addresses of the entry hosts.
	List(ctx context.Context) (Listing, []string, error)
}

const (
	// pollPeriod is the time between reads of the list.
	pollPeriod = time.Second
	// pollTimeout bounds one read of the list.
	pollTimeout = 2 * time.Second
)

// View is a Fleet that polls the platform's list. It is safe for concurrent use.
type View struct {
	clock   timer.Clock
	source  Source
	metrics tally.Scope
	// onEntryHosts is called with the peer addresses of the entry hosts after each successful read of the list.
	onEntryHosts func(addresses []string)

	// mutex guards the following fields.
	mutex sync.Mutex
	fleet *Fleet
	// listingRead says that the list has been read at least once.
	listingRead bool
}

// NewView returns a view without backends.
func NewView(clock timer.Clock, source Source, metrics tally.Scope, onEntryHosts func([]string)) *View {
	return &View{clock: clock, source: source, metrics: metrics, onEntryHosts: onEntryHosts, fleet: New()}
}

// Run polls the list until the context ends. It always returns nil.
func (vw *View) Run(ctx context.Context) error {
	vw.Poll(ctx)
	pollTimer := timer.Every(vw.clock, pollPeriod, func() { vw.Poll(ctx) })
	<-ctx.Done()
	pollTimer.Stop()
	return nil
}

// Poll reads the list once. If that fails, the view keeps the last one.
func (vw *View) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	listing, addresses, err := vw.source.List(ctx)
	if err != nil {
		vw.metrics.Counter("host_list_failures").Inc(1)
		return
	}
	vw.onEntryHosts(addresses)
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	vw.listingRead = true
	vw.fleet.SetListing(listing)
}

// ListingRead reports whether the list has been read at least once.
func (vw *View) ListingRead() bool {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.listingRead
}

// Listing returns the list as last read, without observations, and false if it was never read.
func (vw *View) Listing() (Listing, bool) {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.listing, vw.listingRead
}

// RecordObservation records an observation of the backend with the given name, in place of an earlier one.
func (vw *View) RecordObservation(name string, observation Observation) {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	vw.fleet.RecordObservation(vw.clock.Now(), name, observation)
}

// SetEvacuatedZones sets the availability zones whose backends must get no new requests because the operator has evacuated
// them. The slice must not be changed any more.
func (vw *View) SetEvacuatedZones(zones []id.AvailabilityZone) {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	vw.fleet.SetEvacuatedZones(zones)
}

// Shards returns the names of all shards, sorted.
func (vw *View) Shards() []id.Shard {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.Shards()
}

// Engines returns the engines of a shard, sorted by name. The field Leaving takes observations and evacuated zones into account.
func (vw *View) Engines(shard id.Shard) []Engine {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.Engines(vw.clock.Now(), shard)
}

// AllEngines returns the engines of all shards. The field Leaving takes observations and evacuated zones into account.
func (vw *View) AllEngines() []Engine {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.AllEngines(vw.clock.Now())
}

// Servers returns the servers of a plain service that may get new requests.
func (vw *View) Servers(service id.Service) []BackendServer {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.Servers(vw.clock.Now(), service)
}

// HasService reports whether the list names a server of the plain service, even one that must get no new requests.
func (vw *View) HasService(service id.Service) bool {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.HasService(service)
}
