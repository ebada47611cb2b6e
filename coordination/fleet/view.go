package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Source returns the platform's host list.
type Source interface {
	// List returns the back ends and the peer addresses of entry hosts.
	List(ctx context.Context) (Listing, []string, error)
}

const (
	// listPeriod is the time between reads of the host list.
	listPeriod = time.Second
	// listTimeout bounds one read.
	listTimeout = 2 * time.Second
)

// View is a fleet that is kept up to date from the platform's list and safe for concurrent use.
type View struct {
	clock   timer.Service
	source  Source
	metrics tally.Scope
	// onHosts is called with the peer addresses of entry hosts.
	onHosts func(addresses []string)

	mutex  sync.Mutex
	fleet  *Fleet
	listed bool
}

// NewView returns a view that has read nothing.
func NewView(clock timer.Service, source Source, metrics tally.Scope, onHosts func([]string)) *View {
	return &View{clock: clock, source: source, metrics: metrics, onHosts: onHosts, fleet: New()}
}

// Run reads the host list until the context ends.
func (vw *View) Run(ctx context.Context) error {
	vw.Poll(ctx)
	sub := timer.Every(vw.clock, listPeriod, func() { vw.Poll(ctx) })
	<-ctx.Done()
	sub.Stop()
	return nil
}

// Poll reads the host list once. While it can't be read, the last one stays in use.
func (vw *View) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, addresses, err := vw.source.List(ctx)
	if err != nil {
		vw.metrics.Counter("host_list_failures").Inc(1)
		return
	}
	vw.onHosts(addresses)
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	vw.listed = true
	vw.fleet.SetListing(listing)
}

// ListingRead reports whether a host list has been read.
func (vw *View) ListingRead() bool {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.listed
}

// Listing returns the host list as last read, without evidence, and false if it was never read.
func (vw *View) Listing() (Listing, bool) {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.listing, vw.listed
}

// RecordEvidence records evidence about a back end.
func (vw *View) RecordEvidence(name string, ev Evidence) {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	vw.fleet.RecordEvidence(vw.clock.Now(), name, ev)
}

// Shards returns the names of all shards in order.
func (vw *View) Shards() []id.Shard {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.Shards()
}

// Engines returns the engines of a shard.
func (vw *View) Engines(shard id.Shard) []Engine {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.Engines(vw.clock.Now(), shard)
}

// AllEngines returns every engine listed.
func (vw *View) AllEngines() []Engine {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.AllEngines(vw.clock.Now())
}

// Servers returns the servers of a plain service that take new work.
func (vw *View) Servers(service id.Service) []BackendServer {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.Servers(vw.clock.Now(), service)
}

// HasService reports whether the list names a plain service.
func (vw *View) HasService(service id.Service) bool {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.fleet.HasService(service)
}
