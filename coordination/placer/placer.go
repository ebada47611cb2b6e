// Package placer gives engines orders while its host holds the lease for them.
package placer

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/lease"
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// LeaseLog is the stream of leases of the platform's log.
type LeaseLog interface {
	// Append adds a record.
	Append(ctx context.Context, body []byte)
	// Read returns records from an offset on and the oldest offset kept.
	Read(ctx context.Context, from id.Offset) (records []LogRecord, start id.Offset, err error)
}

// LogRecord is one record with its offset.
type LogRecord struct {
	Offset id.Offset
	Body   []byte
}

// EngineClient reports and orders engines.
type EngineClient interface {
	// Report returns what an engine has loaded and how many models fit.
	Report(ctx context.Context, address string) (models []id.Model, slots int, err error)
	// Order sends an order with a fencing token and reports whether the engine took it.
	Order(ctx context.Context, order placement.Order, fencing id.Offset) (bool, error)
}

// Fleet knows the engines.
type Fleet interface {
	// AllEngines returns every engine listed.
	AllEngines() []fleet.Engine
}

// DemandSource says what the lists ask for.
type DemandSource interface {
	// ModelDemand returns the weight of each model that organisations may use.
	ModelDemand() []placement.Demand
}

// Candidacy says which hosts may hold the lease.
type Candidacy interface {
	// IsCandidate reports whether the own host may take the lease.
	IsCandidate() bool
}

// timePerEngine is the least time between comparisons for each engine of the fleet.
const timePerEngine = 10 * time.Millisecond

// Config sets the periods of a placer.
type Config struct {
	Lease     lease.Config
	Placement placement.Config
	// RoundPeriod is the time between comparisons.
	RoundPeriod time.Duration
	// CallTimeout bounds a call to the log or a report.
	CallTimeout time.Duration
	// OrderTimeout bounds an order; loading weights takes long.
	OrderTimeout time.Duration
}

// DefaultConfig returns the periods that hosts use.
func DefaultConfig() Config {
	return Config{
		Lease:        lease.DefaultConfig(),
		Placement:    placement.DefaultConfig(),
		RoundPeriod:       2 * time.Second,
		CallTimeout:  time.Second,
		OrderTimeout: 2 * time.Minute,
	}
}

// Placer keeps the engines' models as the lists want them.
type Placer struct {
	config     Config
	clock      timer.Service
	log        LeaseLog
	engines    EngineClient
	fleet      Fleet
	wanted     DemandSource
	candidates Candidacy
	metrics    tally.Scope

	mutex   sync.Mutex
	lease   *lease.Lease
	loading map[id.Engine]id.Model
	// compared is when engines were last asked for what they have loaded.
	compared time.Time
	orders   sync.WaitGroup
}

// New returns a placer that holds no lease.
func New(config Config, host id.Host, inc id.Incarnation, clock timer.Service, log LeaseLog, engines EngineClient, fl Fleet, wanted DemandSource, candidates Candidacy, metrics tally.Scope) *Placer {
	return &Placer{
		config:     config,
		clock:      clock,
		log:        log,
		engines:    engines,
		fleet:      fl,
		wanted:     wanted,
		candidates: candidates,
		metrics:    metrics,
		lease:      lease.New(config.Lease, host, inc, clock.Now()),
		loading:    map[id.Engine]id.Model{},
	}
}

// Run compares and orders until the context ends.
func (pl *Placer) Run(ctx context.Context) error {
	sub := timer.Every(pl.clock, pl.config.RoundPeriod, func() { pl.RunRound(ctx) })
	<-ctx.Done()
	sub.Stop()
	pl.orders.Wait()
	return nil
}

// RunRound renews or takes the lease when that is due and, while it is held, gives the orders that are missing.
func (pl *Placer) RunRound(ctx context.Context) {
	if !pl.candidates.IsCandidate() {
		return
	}
	pl.readLease(ctx)
	pl.claimLease(ctx)
	if _, held := pl.held(); !held || !pl.compareDue() {
		return
	}
	for _, order := range placement.Plan(pl.config.Placement, pl.wanted.ModelDemand(), pl.reports(ctx)) {
		pl.order(ctx, order)
	}
}

// compareDue spreads comparisons of a large fleet over more time, because each one asks every engine.
func (pl *Placer) compareDue() bool {
	now := pl.clock.Now()
	wait := time.Duration(len(pl.fleet.AllEngines())) * timePerEngine
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if now.Sub(pl.compared) < wait {
		return false
	}
	pl.compared = now
	return true
}

func (pl *Placer) held() (id.Offset, bool) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	return pl.lease.FencingToken(pl.clock.Now())
}

func (pl *Placer) readLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pl.config.CallTimeout)
	defer cancel()
	pl.mutex.Lock()
	from := pl.lease.Next()
	pl.mutex.Unlock()
	records, start, err := pl.log.Read(ctx, from)
	if err != nil {
		pl.metrics.Counter("lease_log_failures").Inc(1)
		return
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	now := pl.clock.Now()
	pl.lease.SetLogStart(now, start)
	for _, rec := range records {
		pl.lease.Add(now, rec.Offset, rec.Body)
	}
}

func (pl *Placer) claimLease(ctx context.Context) {
	pl.mutex.Lock()
	if !pl.lease.ShouldClaim(pl.clock.Now()) {
		pl.mutex.Unlock()
		return
	}
	record := pl.lease.Claim(pl.clock.Now(), rand.Text())
	pl.mutex.Unlock()
	body, err := lease.EncodeRecord(record)
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, pl.config.CallTimeout)
	defer cancel()
	pl.log.Append(call, body)
	pl.readLease(ctx)
}

// reports asks every engine what it has loaded. Engines that do not answer get no orders.
func (pl *Placer) reports(ctx context.Context) []placement.Engine {
	ctx, cancel := context.WithTimeout(ctx, pl.config.CallTimeout)
	defer cancel()
	listed := pl.fleet.AllEngines()
	reports := make([]placement.Engine, len(listed))
	var group sync.WaitGroup
	for ix, en := range listed {
		group.Go(func() {
			models, slots, err := pl.engines.Report(ctx, en.Address)
			if err == nil {
				reports[ix] = placement.Engine{Name: en.Name, Address: en.Address, LoadedModels: models, ModelSlots: slots, Leaving: en.Leaving}
			}
		})
	}
	group.Wait()
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	var answered []placement.Engine
	for _, rp := range reports {
		if rp.Name == "" {
			continue
		}
		rp.LoadingModel = pl.loading[rp.Name]
		answered = append(answered, rp)
	}
	return answered
}

// order sends one order in the background, if the lease is still held just before.
func (pl *Placer) order(ctx context.Context, order placement.Order) {
	pl.mutex.Lock()
	if order.Kind == placement.Load {
		pl.loading[order.Engine] = order.Model
	}
	pl.mutex.Unlock()
	pl.orders.Go(func() {
		pl.send(ctx, order)
		pl.mutex.Lock()
		defer pl.mutex.Unlock()
		if order.Kind == placement.Load {
			delete(pl.loading, order.Engine)
		}
	})
}

func (pl *Placer) send(ctx context.Context, order placement.Order) {
	ctx, cancel := context.WithTimeout(ctx, pl.config.OrderTimeout)
	defer cancel()
	fencing, held := pl.held()
	if !held {
		pl.metrics.Counter("orders_without_lease").Inc(1)
		return
	}
	accepted, err := pl.engines.Order(ctx, order, fencing)
	switch {
	case err != nil:
		pl.metrics.Counter("order_failures").Inc(1)
	case !accepted:
		pl.metrics.Counter("orders_fenced").Inc(1)
	default:
		pl.metrics.Counter("orders").Inc(1)
	}
}
