// Package placer orders engines to load and unload models, so that the loaded models match the demand that follows from
// the lists of organisations and plans. Several hosts run a placer. Only the one that holds a lease sends orders, and
// each order carries a fencing token, so that engines can reject orders of a host that has lost the lease. The lease is
// stored in a log of the users' platform, which all hosts share.
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
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// LeaseLog is the stream of lease records in the platform's log.
type LeaseLog interface {
	// Append adds a record. It reports no error: whether the record was added shows when it is read.
	Append(ctx context.Context, body []byte)
	// Read returns the records from an offset on and the oldest offset that the log still retains.
	Read(ctx context.Context, from id.Offset) (records []LogRecord, oldest id.Offset, err error)
}

// LogRecord is one record of the log with its offset.
type LogRecord struct {
	Offset id.Offset
	Body   []byte
}

// EngineClient calls engines.
type EngineClient interface {
	// FetchModels returns the models that an engine has loaded and the number of models that fit in its memory.
	FetchModels(ctx context.Context, address string) (models []id.Model, modelSlots int, err error)
	// SendOrder sends an order with a fencing token and reports whether the engine accepted it. Engines that check tokens
	// reject tokens lower than the highest they have seen.
	SendOrder(ctx context.Context, order placement.Order, fencingToken id.Offset) (bool, error)
}

// Fleet lists the engines.
type Fleet interface {
	// AllEngines returns every listed engine.
	AllEngines() []fleet.Engine
}

// DemandSource derives the demand for models from the lists.
type DemandSource interface {
	// ModelDemand returns the weight of each model that organisations may use.
	ModelDemand() []placement.Demand
}

// LeaseEligibility decides whether the local host may hold the lease.
type LeaseEligibility interface {
	// MayClaimLease reports whether the local host may claim the lease.
	MayClaimLease() bool
}

// minIntervalPerEngine is multiplied by the number of engines to get the least time between two polls of all engines.
const minIntervalPerEngine = 10 * time.Millisecond

// Config sets the periods and timeouts of a placer.
type Config struct {
	Lease     lease.Config
	Placement placement.Config
	// ReconcilePeriod is the time between two calls of Reconcile.
	ReconcilePeriod time.Duration
	// CallTimeout bounds a call to the log and the poll of all engines.
	CallTimeout time.Duration
	// OrderTimeout bounds an order. It is long because loading the weights of a model takes long.
	OrderTimeout time.Duration
}

// DefaultConfig returns the periods and timeouts that hosts use.
func DefaultConfig() Config {
	return Config{
		Lease:           lease.DefaultConfig(),
		Placement:       placement.DefaultConfig(),
		ReconcilePeriod: 2 * time.Second,
		CallTimeout:     time.Second,
		OrderTimeout:    2 * time.Minute,
	}
}

// Placer makes the engines load the models that are in demand.
type Placer struct {
	config           Config
	clock            timer.Clock
	leaseLog         LeaseLog
	engineClient     EngineClient
	fleet            Fleet
	demandSource     DemandSource
	leaseEligibility LeaseEligibility
	metrics          tally.Scope

	// mutex guards lease, loadingModels and lastEnginePoll.
	mutex sync.Mutex
	lease *lease.Lease
	// loadingModels holds the model of each load order that has not returned.
	loadingModels map[id.Engine]id.Model
	// lastEnginePoll is when engines were last polled and compared with the demand.
	lastEnginePoll time.Time
	pendingOrders  tasks.WaitGroup
}

// New returns a placer that holds no lease.
func New(config Config, host id.Host, incarnation id.Incarnation, clock timer.Clock, leaseLog LeaseLog, engineClient EngineClient, fl Fleet, demandSource DemandSource, leaseEligibility LeaseEligibility, metrics tally.Scope) *Placer {
	return &Placer{
		config:           config,
		clock:            clock,
		leaseLog:         leaseLog,
		engineClient:     engineClient,
		fleet:            fl,
		demandSource:     demandSource,
		leaseEligibility: leaseEligibility,
		metrics:          metrics,
		lease:            lease.New(config.Lease, host, incarnation, clock.Now()),
		loadingModels:    map[id.Engine]id.Model{},
	}
}

// Run calls Reconcile every ReconcilePeriod until the context ends. It returns when all pending orders have ended.
func (pl *Placer) Run(ctx context.Context) error {
	sub := timer.Every(pl.clock, pl.config.ReconcilePeriod, func() { pl.Reconcile(ctx) })
	<-ctx.Done()
	sub.Stop()
	pl.pendingOrders.Wait()
	return nil
}

// Reconcile claims or renews the lease if that is due. If the local host holds the lease and a poll is due, it compares
// the engines with the demand and sends the orders that remove the difference. It does not wait for the orders to end.
// It does nothing on a host that may not hold the lease.
func (pl *Placer) Reconcile(ctx context.Context) {
	if !pl.leaseEligibility.MayClaimLease() {
		return
	}
	pl.readLeaseLog(ctx)
	pl.claimLeaseIfDue(ctx)
	if _, leaseHeld := pl.fencingToken(); !leaseHeld || !pl.beginEnginePollIfDue() {
		return
	}
	for _, order := range placement.Plan(pl.config.Placement, pl.demandSource.ModelDemand(), pl.pollEngines(ctx)) {
		pl.sendInBackground(ctx, order)
	}
}

// beginEnginePollIfDue reports whether a poll of all engines is due, and if so records that it begins now. The more
// engines there are, the longer the time between polls, because each poll calls every engine.
func (pl *Placer) beginEnginePollIfDue() bool {
	now := pl.clock.Now()
	minInterval := time.Duration(len(pl.fleet.AllEngines())) * minIntervalPerEngine
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	if now.Sub(pl.lastEnginePoll) < minInterval {
		return false
	}
	pl.lastEnginePoll = now
	return true
}

// fencingToken returns the token of the lease, and false if the local host does not hold the lease.
func (pl *Placer) fencingToken() (id.Offset, bool) {
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	return pl.lease.FencingToken(pl.clock.Now())
}

// readLeaseLog applies the records that the log has received since the last read. If the log can't be read, the lease
// stays as it is and expires in time.
func (pl *Placer) readLeaseLog(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pl.config.CallTimeout)
	defer cancel()
	pl.mutex.Lock()
	nextOffset := pl.lease.NextOffset()
	pl.mutex.Unlock()
	records, oldestOffset, err := pl.leaseLog.Read(ctx, nextOffset)
	if err != nil {
		pl.metrics.Counter("lease_log_failures").Inc(1)
		return
	}
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	now := pl.clock.Now()
	pl.lease.SetLogStart(now, oldestOffset)
	for _, rec := range records {
		pl.lease.ApplyRecord(now, rec.Offset, rec.Body)
	}
}

// claimLeaseIfDue appends a record that claims or renews the lease, and reads the log to learn whether it won. The
// random token identifies the record as this host's when the log is read. A claim that can't be encoded
// is skipped.
func (pl *Placer) claimLeaseIfDue(ctx context.Context) {
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
	callCtx, cancel := context.WithTimeout(ctx, pl.config.CallTimeout)
	defer cancel()
	pl.leaseLog.Append(callCtx, body)
	pl.readLeaseLog(ctx)
}

// pollEngines asks all engines concurrently which models they have loaded. It leaves out engines that don't answer
// within CallTimeout, so they get no orders.
func (pl *Placer) pollEngines(ctx context.Context) []placement.Engine {
	ctx, cancel := context.WithTimeout(ctx, pl.config.CallTimeout)
	defer cancel()
	listed := pl.fleet.AllEngines()
	reports := make([]placement.Engine, len(listed))
	var group tasks.WaitGroup
	for ix, en := range listed {
		group.Go(func() {
			models, modelSlots, err := pl.engineClient.FetchModels(ctx, en.Address)
			if err == nil {
				reports[ix] = placement.Engine{Name: en.Name, Address: en.Address, LoadedModels: models, ModelSlots: modelSlots, Leaving: en.Leaving}
			}
		})
	}
	group.Wait()
	pl.mutex.Lock()
	defer pl.mutex.Unlock()
	var answered []placement.Engine
	for _, report := range reports {
		if report.Name == "" {
			continue
		}
		report.LoadingModel = pl.loadingModels[report.Name]
		answered = append(answered, report)
	}
	return answered
}

// sendInBackground sends an order in a new goroutine. Until the call to the engine returns, the model of a load order
// counts as loading.
func (pl *Placer) sendInBackground(ctx context.Context, order placement.Order) {
	pl.mutex.Lock()
	if order.Kind == placement.LoadModel {
		pl.loadingModels[order.Engine] = order.Model
	}
	pl.mutex.Unlock()
	pl.pendingOrders.Go(func() {
		pl.sendIfLeaseHeld(ctx, order)
		pl.mutex.Lock()
		defer pl.mutex.Unlock()
		if order.Kind == placement.LoadModel {
			delete(pl.loadingModels, order.Engine)
		}
	})
}

// sendIfLeaseHeld sends an order if the local host still holds the lease, and counts the result.
func (pl *Placer) sendIfLeaseHeld(ctx context.Context, order placement.Order) {
	ctx, cancel := context.WithTimeout(ctx, pl.config.OrderTimeout)
	defer cancel()
	token, leaseHeld := pl.fencingToken()
	if !leaseHeld {
		pl.metrics.Counter("orders_without_lease").Inc(1)
		return
	}
	accepted, err := pl.engineClient.SendOrder(ctx, order, token)
	switch {
	case err != nil:
		pl.metrics.Counter("order_failures").Inc(1)
	case !accepted:
		pl.metrics.Counter("orders_fenced").Inc(1)
	default:
		pl.metrics.Counter("orders").Inc(1)
	}
}
