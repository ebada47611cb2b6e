package news

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config sets the periods of a follower.
type Config struct {
	// ListReadPeriod is the time between two reads of the list of backend servers by the host that reads it.
	ListReadPeriod time.Duration
	// StaleAfter is the age of the list at which the next host in order reads it too; each further one waits
	// StaleStep longer.
	StaleAfter time.Duration
	StaleStep  time.Duration
	// TableReadWait is how long the store may hold a read of the desired state.
	TableReadWait time.Duration
	// ReaderTableReadWait is the same for the host that reads the list of backend servers: the reads of all hosts may be lost at once.
	ReaderTableReadWait time.Duration
	// TableReadPause is the least time between two such reads.
	TableReadPause time.Duration
	// CallTimeout bounds a call to the store that does not wait, and a call to another host.
	CallTimeout time.Duration
	// SendTimeout bounds an update to another host, so that another one is told in time in place of a lost relay.
	SendTimeout time.Duration
	// FallbackReadAfter is the age of the list at which hosts of a large fleet read it that are not among the next in order.
	FallbackReadAfter time.Duration
	// Backoff is the pause after a failed call to the store; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Seeds are addresses of hosts to ask while none is known.
	Seeds []string
}

// DefaultConfig returns the periods for a bound of 2 s on changes of the desired state and on leaving servers.
func DefaultConfig() Config {
	return Config{
		ListReadPeriod:  400 * time.Millisecond,
		StaleAfter:  700 * time.Millisecond,
		StaleStep:   100 * time.Millisecond,
		TableReadWait:   20 * time.Second,
		ReaderTableReadWait:  700 * time.Millisecond,
		TableReadPause:  150 * time.Millisecond,
		CallTimeout: 700 * time.Millisecond,
		SendTimeout: 250 * time.Millisecond,
		FallbackReadAfter: 3 * time.Second,
		Backoff:     200 * time.Millisecond,
		MaxBackoff:  time.Second,
	}
}

const (
	// outageMemory is how long after an outage of the store dropped entries may come from it: the store's own
	// grace of two seconds and a heartbeat.
	outageMemory = 3500 * time.Millisecond
	// outageGap is the age of the list from which the store is taken to have been away: a host that it turns away is
	// replaced as the reader of the list sooner.
	outageGap = 1200 * time.Millisecond
)

// Follower follows the desired state and the list of backend servers.
type Follower struct {
	config  Config
	self    id.Host
	zone    id.AvailabilityZone
	clock   timer.Service
	store   Store
	peers   Peers
	seeds   Seeds
	metrics tally.Scope
	logger  *slog.Logger
	// changed is called without the lock when the desired state or the list has changed.
	changed func()

	mutex sync.Mutex
	table *route.Table
	// packed is the desired state, compressed.
	packed []byte
	roster *roster.Roster
	random *rand.Rand
	// startedAt is when the follower began to run.
	startedAt time.Time
	// toldVersion is the newest desired state that some host has told others of.
	toldVersion route.Version
	// tableAt is when the desired state was put in force here.
	tableAt time.Time
	// heardAt is when the list was last known to be up to date, outageAt when that was so again after an outage. failed says
	// that the own host has failed to read it since heardAt.
	heardAt  time.Time
	outageAt time.Time
	failed   bool
	// untoldPause is the pause between reads while nobody tells of the list.
	untoldPause time.Duration
	// away says that the last call to the store failed.
	away bool
	// dropRead ends the read of the desired state that waits for a change, so that it is begun again; nil if there is
	// none.
	dropRead context.CancelCauseFunc
	reading  bool
	readAt   time.Time
	pulling  bool
	group    tasks.Group
}

// New returns a follower that knows nothing.
func New(config Config, self id.Host, zone id.AvailabilityZone, clock timer.Service, store Store, peers Peers, seeds Seeds, metrics tally.Scope, logger *slog.Logger, seed uint64, changed func()) *Follower {
	return &Follower{
		config:  config,
		self:    self,
		zone:    zone,
		clock:   clock,
		store:   store,
		peers:   peers,
		seeds:   seeds,
		metrics: metrics,
		logger:  logger,
		changed: changed,
		roster:  roster.New(),
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

const (
	// settleTime is how long a host that has started takes to know the others. Until then each would take itself for the
	// one that reads for all.
	settleTime = 1500 * time.Millisecond
	// meetTime is how long a host takes to meet the first other one, if there is one.
	meetTime = 500 * time.Millisecond
)

// settling reports whether the host has just started and is to know other hosts soon. The caller holds the lock.
func (fl *Follower) settling() bool {
	since := fl.clock.Now().Sub(fl.startedAt)
	return since < meetTime || since < settleTime && len(fl.peers.Peers()) > 0
}

// Table returns the desired state in force, or nil while none is known.
func (fl *Follower) Table() *route.Table {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.table
}

// Loaded reports whether the desired state and the list of backend servers are known.
func (fl *Follower) Loaded() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.table != nil && fl.roster.Loaded()
}

// TableAge returns the time since the desired state was put in force here.
func (fl *Follower) TableAge() time.Duration {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.clock.Now().Sub(fl.tableAt)
}

// Servers returns the servers that are listed and whether the list has been read.
func (fl *Follower) Servers() ([]roster.Server, bool) {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.roster.Servers(fl.clock.Now()), fl.roster.Loaded()
}

// Leaving reports whether a server is known to drain or to be gone.
func (fl *Follower) Leaving(server id.BackendServer) bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.roster.Leaving(fl.clock.Now(), server)
}

// ListAge returns the time since the list of backend servers was last known to be up to date.
func (fl *Follower) ListAge() time.Duration {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.clock.Now().Sub(fl.heardAt)
}

// StoreUnavailable reports whether the last call to the store failed.
func (fl *Follower) StoreUnavailable() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.away
}

// Run follows until the context ends.
func (fl *Follower) Run(ctx context.Context) error {
	const lookPeriod = 100 * time.Millisecond
	fl.mutex.Lock()
	fl.startedAt = fl.clock.Now()
	fl.mutex.Unlock()
	fl.group.Go(func() { fl.followTable(ctx) })
	fl.group.Go(func() { fl.askSeeds(ctx) })
	fl.look(ctx)
	sub := timer.Every(fl.clock, lookPeriod, func() { fl.look(ctx) })
	<-ctx.Done()
	sub.Stop()
	fl.group.Wait()
	return nil
}

// askSeeds takes what other hosts know while the store gives nothing.
func (fl *Follower) askSeeds(ctx context.Context) {
	for timer.Sleep(ctx, fl.clock, fl.config.Backoff) {
		if fl.Loaded() {
			return
		}
		for _, address := range fl.config.Seeds {
			call, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
			cp, err := fl.seeds.RequestSyncAt(call, address)
			cancel()
			if err == nil {
				fl.take("seed "+address, cp)
			}
		}
	}
}

// followTable reads the desired state as it changes.
func (fl *Follower) followTable(ctx context.Context) {
	next := id.NoOffset
	backoff := fl.config.Backoff
	for ctx.Err() == nil {
		if !fl.waitsAtStore() {
			timer.Sleep(ctx, fl.clock, fl.config.TableReadPause)
			next = id.NoOffset
			continue
		}
		read, err := fl.readTable(ctx, next)
		if errors.Is(err, errReadDropped) {
			timer.Sleep(ctx, fl.clock, fl.jitter(fl.config.Backoff))
			continue
		}
		if err != nil {
			fl.storeFailed("desired state", err)
			timer.Sleep(ctx, fl.clock, fl.jitter(backoff))
			backoff = min(2*backoff, fl.config.MaxBackoff)
			continue
		}
		backoff = fl.config.Backoff
		fl.storeAnswered()
		if read.Body != nil {
			fl.takeFromStore(read.Body)
		}
		switch {
		case read.Expired:
			next = id.NoOffset
		case read.Next > next:
			next = read.Next
		default:
			// A store that answers from an old copy names an end that was passed already.
		}
		timer.Sleep(ctx, fl.clock, fl.config.TableReadPause)
	}
}

// waitsAtStore reports whether the own host is to read the desired state at the store: it knows none, it is one of the
// hosts that tell the others, all of a small fleet are, or nobody has told it anything for long.
func (fl *Follower) waitsAtStore() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	if fl.table == nil {
		return true
	}
	if fl.settling() {
		return false
	}
	if fl.actsAlone() {
		return true
	}
	rank := fl.rank()
	return rank >= 0 && rank <= lastRank || fl.clock.Now().Sub(fl.heardAt) > fl.config.FallbackReadAfter
}

func (fl *Follower) readTable(ctx context.Context, next id.Offset) (TableRead, error) {
	fl.countCall("desired_state")
	if next == id.NoOffset {
		call, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
		defer cancel()
		return fl.store.NewestTable(call)
	}
	wait := fl.config.TableReadWait
	if fl.rank() == 0 {
		wait = fl.config.ReaderTableReadWait
	}
	call, cancel := context.WithTimeout(ctx, wait+fl.config.CallTimeout)
	defer cancel()
	call, drop := context.WithCancelCause(call)
	defer drop(nil)
	fl.setDropRead(drop)
	defer fl.setDropRead(nil)
	read, err := fl.store.AwaitTable(call, next, wait)
	if err != nil && errors.Is(context.Cause(call), errReadDropped) {
		return TableRead{}, errReadDropped
	}
	return read, err
}

// errReadDropped ends a read that the store may never answer.
var errReadDropped = errors.New("begun before an outage of the store")

func (fl *Follower) setDropRead(drop context.CancelCauseFunc) {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	fl.dropRead = drop
}

// readAgain has the desired state read again: what was waited for since before an outage of the store may never be
// answered. The caller holds the lock.
func (fl *Follower) readAgain() {
	if fl.dropRead != nil {
		fl.dropRead(errReadDropped)
	}
}

// countCall counts a call to the store.
func (fl *Follower) countCall(what string) {
	fl.metrics.Tagged(map[string]string{"what": what}).Counter("store_calls").Inc(1)
}

func (fl *Follower) jitter(wait time.Duration) time.Duration {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return wait/2 + time.Duration(fl.random.Float64()*float64(wait))
}

// heard notes that the list is up to date. The caller holds the lock.
func (fl *Follower) heard(now time.Time) {
	if fl.outage(now) {
		fl.outageAt = now
		fl.readAgain()
	}
	if now.After(fl.heardAt) {
		fl.heardAt = now
		fl.failed = false
	}
}

// outage reports whether nobody has told of the list for so long, the own host having failed to read it, that the store
// must have been away. The caller holds the lock.
func (fl *Follower) outage(now time.Time) bool {
	return fl.failed && !fl.heardAt.IsZero() && now.Sub(fl.heardAt) > outageGap
}

// lapsing reports whether entries that are dropped now may have lapsed in an outage. That this host alone could not
// reach the store says nothing of the servers. The caller holds the lock.
func (fl *Follower) lapsing(now time.Time) bool {
	return fl.outage(now) || now.Sub(fl.outageAt) < outageMemory
}

func (fl *Follower) storeFailed(what string, err error) {
	fl.mutex.Lock()
	lost := !fl.away
	fl.away = true
	fl.mutex.Unlock()
	fl.metrics.Counter("store_failures").Inc(1)
	if lost {
		fl.logger.Warn("store lost", "reading", what, "error", err.Error())
	}
}

func (fl *Follower) storeAnswered() {
	fl.mutex.Lock()
	regained := fl.away
	fl.away = false
	if regained {
		fl.readAgain()
	}
	fl.mutex.Unlock()
	if regained {
		fl.logger.Info("store regained")
	}
}

// takeFromStore puts a desired state in force that the store gave, and tells others of it. The hosts that wait for changes
// there get it together; the first of them tells, the others only if it did not.
func (fl *Follower) takeFromStore(body []byte) {
	packed, err := pack(body)
	if err != nil {
		fl.logger.Error("desired state not compressed", "bytes", len(body), "error", err.Error())
		return
	}
	if !fl.takeBody("store", body, packed) {
		return
	}
	version := fl.Table().Version()
	rank := fl.rank()
	if rank < 0 || rank > lastRank {
		return
	}
	fl.clock.After(time.Duration(rank)*tellStep, func() {
		fl.mutex.Lock()
		told := fl.toldVersion >= version
		fl.toldVersion = max(fl.toldVersion, version)
		fl.mutex.Unlock()
		if !told {
			fl.spread(Update{Sender: fl.self, Version: version, CompressedTable: packed, From: id.NoOffset, Next: id.NoOffset}, true)
		}
	})
}

// tellStep is the time by which each further host that got a desired state from the store waits for those before it to
// tell of it.
const tellStep = 100 * time.Millisecond

// takeTable puts a compressed desired state of another host in force if it is newer than the one that is, and reports
// whether it was.
func (fl *Follower) takeTable(source string, packed []byte) bool {
	body, err := unpack(packed)
	if err != nil {
		fl.metrics.Counter("tables_rejected").Inc(1)
		fl.logger.Error("desired state rejected", "source", source, "bytes", len(packed), "error", err.Error())
		return false
	}
	return fl.takeBody(source, body, packed)
}

// takeBody puts a desired state in force if it is newer than the one that is, and reports whether it was.
func (fl *Follower) takeBody(source string, body, packed []byte) bool {
	tb, err := fl.store.DecodeTable(body)
	if err != nil {
		fl.metrics.Counter("tables_rejected").Inc(1)
		fl.logger.Error("desired state rejected", "source", source, "bytes", len(body), "error", err.Error())
		return false
	}
	fl.mutex.Lock()
	if source != "store" {
		fl.toldVersion = max(fl.toldVersion, tb.Version())
	}
	if fl.table != nil && tb.Version() <= fl.table.Version() {
		fl.mutex.Unlock()
		return false
	}
	fl.table = tb
	fl.packed = packed
	fl.tableAt = fl.clock.Now()
	fl.mutex.Unlock()
	fl.logger.Info("desired state in force", "version", int64(tb.Version()), "source", source, "routes", tb.RouteCount())
	fl.changed()
	return true
}
