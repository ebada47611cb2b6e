package news

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config sets the periods of a follower.
type Config struct {
	// ReadPeriod is the time between two reads of the list of backend servers by the host that reads it.
	ReadPeriod time.Duration
	// StaleAfter is the age of the list at which the next host in order reads it too; each further one waits
	// StaleStep longer.
	StaleAfter time.Duration
	StaleStep  time.Duration
	// TableWait is how long the store may hold a read of the desired state.
	TableWait time.Duration
	// TablePause is the least time between two such reads.
	TablePause time.Duration
	// CallTimeout bounds a call to the store that does not wait, and a call to another host.
	CallTimeout time.Duration
	// Backoff is the pause after a failed call to the store; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Seeds are addresses of hosts to ask while none is known.
	Seeds []string
}

// DefaultConfig returns the periods for a bound of 2 s on changes of the desired state and on leaving servers.
func DefaultConfig() Config {
	return Config{
		ReadPeriod:  400 * time.Millisecond,
		StaleAfter:  700 * time.Millisecond,
		StaleStep:   100 * time.Millisecond,
		TableWait:   20 * time.Second,
		TablePause:  150 * time.Millisecond,
		CallTimeout: 700 * time.Millisecond,
		Backoff:     200 * time.Millisecond,
		MaxBackoff:  time.Second,
	}
}

// outageMemory is how long after an outage of the store dropped entries may come from it: the store's own
// grace of two seconds and a heartbeat.
const outageMemory = 3500 * time.Millisecond

// Follower follows the desired state and the list of backend servers.
type Follower struct {
	config  Config
	self    id.Host
	clock   timer.Service
	store   Store
	peers   Peers
	seeds   Seeds
	metrics tally.Scope
	logger  *slog.Logger
	// changed is called without the lock when the desired state or the list has changed.
	changed func()

	mutex   sync.Mutex
	table   *route.Table
	body    []byte
	roster  *roster.Roster
	random  *rand.Rand
	heardAt time.Time
	// failedAt is when a call to the store last failed.
	failedAt time.Time
	away     bool
	reading  bool
	readAt   time.Time
	pulling  bool
	group    sync.WaitGroup
}

// New returns a follower that knows nothing.
func New(config Config, self id.Host, clock timer.Service, store Store, peers Peers, seeds Seeds, metrics tally.Scope, logger *slog.Logger, seed uint64, changed func()) *Follower {
	return &Follower{
		config:  config,
		self:    self,
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

// Table returns the desired state in force, or nil while none is known.
func (fl *Follower) Table() *route.Table {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.table
}

// Informed reports whether the desired state and the list of backend servers are known.
func (fl *Follower) Informed() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.table != nil && fl.roster.Known()
}

// Servers returns the servers that are listed and whether the list has been read.
func (fl *Follower) Servers() ([]roster.Server, bool) {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.roster.Servers(fl.clock.Now()), fl.roster.Known()
}

// Age returns the time since the list of backend servers was last known to be up to date.
func (fl *Follower) Age() time.Duration {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.clock.Now().Sub(fl.heardAt)
}

// Away reports whether the last call to the store failed.
func (fl *Follower) Away() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.away
}

// Run follows until the context ends.
func (fl *Follower) Run(ctx context.Context) error {
	const lookPeriod = 100 * time.Millisecond
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
		if fl.Informed() {
			return
		}
		for _, address := range fl.config.Seeds {
			call, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
			cp, err := fl.seeds.CopyFrom(call, address)
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
		read, err := fl.readTable(ctx, next)
		if err != nil {
			fl.storeFailed("desired state", err)
			timer.Sleep(ctx, fl.clock, fl.jitter(backoff))
			backoff = min(2*backoff, fl.config.MaxBackoff)
			continue
		}
		backoff = fl.config.Backoff
		fl.storeAnswered()
		if read.Body != nil {
			fl.takeTable("store", read.Body)
		}
		switch {
		case read.Expired:
			next = id.NoOffset
		case read.Next > next:
			next = read.Next
		default:
			// A store that answers from an old copy names an end that was passed already.
		}
		timer.Sleep(ctx, fl.clock, fl.config.TablePause)
	}
}

func (fl *Follower) readTable(ctx context.Context, next id.Offset) (TableRead, error) {
	if next == id.NoOffset {
		call, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
		defer cancel()
		return fl.store.NewestTable(call)
	}
	call, cancel := context.WithTimeout(ctx, fl.config.TableWait+fl.config.CallTimeout)
	defer cancel()
	return fl.store.AwaitTable(call, next, fl.config.TableWait)
}

func (fl *Follower) jitter(wait time.Duration) time.Duration {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return wait/2 + time.Duration(fl.random.Float64()*float64(wait))
}

func (fl *Follower) storeFailed(what string, err error) {
	fl.mutex.Lock()
	lost := !fl.away
	fl.away = true
	fl.failedAt = fl.clock.Now()
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
	fl.mutex.Unlock()
	if regained {
		fl.logger.Info("store regained")
	}
}

// takeTable puts a desired state in force if it is newer than the one that is.
func (fl *Follower) takeTable(source string, body []byte) {
	tb, err := fl.store.DecodeTable(body)
	if err != nil {
		fl.metrics.Counter("tables_rejected").Inc(1)
		fl.logger.Error("desired state rejected", "source", source, "bytes", len(body), "error", err.Error())
		return
	}
	fl.mutex.Lock()
	if fl.table != nil && tb.Version() <= fl.table.Version() {
		fl.mutex.Unlock()
		return
	}
	fl.table = tb
	fl.body = body
	fl.mutex.Unlock()
	fl.logger.Info("desired state in force", "version", int64(tb.Version()), "source", source, "routes", tb.Routes())
	fl.changed()
}

// look starts a read of the list of backend servers if it is this host's turn.
func (fl *Follower) look(ctx context.Context) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	due := !fl.reading && fl.due(now)
	if due {
		fl.reading = true
		fl.readAt = now
	}
	fl.mutex.Unlock()
	if due {
		fl.group.Go(func() { fl.readServers(ctx) })
	}
}

// due reports whether the own host is to read now: the first host in order reads always, the others when the list
// grows old, one after the other.
func (fl *Follower) due(now time.Time) bool {
	period := fl.config.ReadPeriod
	if fl.away {
		period = fl.config.MaxBackoff
	}
	if now.Sub(fl.readAt) < period {
		return false
	}
	if !fl.roster.Known() {
		return true
	}
	rank := slices.Index(id.Rendezvous("ServerList", fl.peers.LiveHosts()), fl.self)
	if rank == 0 {
		return true
	}
	const lastRank = 6
	if rank < 0 || rank > lastRank {
		rank = lastRank
	}
	return now.Sub(fl.heardAt) > fl.config.StaleAfter+time.Duration(rank)*fl.config.StaleStep
}

// readServers reads the list and tells the other hosts.
func (fl *Follower) readServers(ctx context.Context) {
	fl.mutex.Lock()
	from := fl.roster.Next()
	fl.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
	read, err := fl.fetchServers(call, from)
	cancel()
	if err != nil {
		fl.storeFailed("list of backend servers", err)
		fl.mutex.Lock()
		fl.reading = false
		fl.mutex.Unlock()
		return
	}
	fl.storeAnswered()
	fl.mutex.Lock()
	fl.reading = false
	if read.Next < from {
		// The store answers from an old copy.
		fl.mutex.Unlock()
		fl.metrics.Counter("stale_reads").Inc(1)
		return
	}
	now := fl.clock.Now()
	outage := now.Sub(fl.failedAt) < outageMemory
	var changed []roster.Record
	if read.Whole {
		changed = fl.roster.Replace(now, read.Next, read.Records, outage)
	} else {
		changed, _ = fl.roster.Apply(now, from, read.Next, read.Records, outage)
	}
	fl.heardAt = now
	version := route.Version(0)
	if fl.table != nil {
		version = fl.table.Version()
	}
	fl.mutex.Unlock()
	fl.logServers("store", changed)
	if len(changed) > 0 {
		fl.changed()
	}
	up := Update{Host: fl.self, Version: version, From: from, Next: read.Next, Records: changed}
	if read.Whole {
		up.From = id.NoOffset
	}
	for _, host := range fl.peers.Others() {
		fl.group.Go(func() { fl.tell(ctx, host, up) })
	}
}

func (fl *Follower) fetchServers(ctx context.Context, from id.Offset) (ServersRead, error) {
	if from == id.NoOffset {
		return fl.store.NewestServers(ctx)
	}
	read, err := fl.store.ReadServers(ctx, from)
	if err == nil && read.Expired {
		return fl.store.NewestServers(ctx)
	}
	return read, err
}

func (fl *Follower) tell(ctx context.Context, host id.Host, up Update) {
	call, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
	defer cancel()
	if err := fl.peers.Tell(call, host, up); err != nil {
		fl.metrics.Counter("updates_untold").Inc(1)
	}
}

func (fl *Follower) logServers(source string, changed []roster.Record) {
	for _, rc := range changed {
		switch {
		case rc.Dropped:
			fl.logger.Info("backend server gone", "server", string(rc.ID), "source", source, "offset", int64(rc.Offset))
		case rc.Server == nil:
			fl.logger.Warn("backend server entry names no usable server", "server", string(rc.ID), "source", source, "offset", int64(rc.Offset))
		default:
			fl.logger.Info("backend server listed", "server", string(rc.ID), "service", string(rc.Server.Service), "address", rc.Server.Address,
				"draining", rc.Server.Draining, "born", rc.Server.Born, "source", source, "offset", int64(rc.Offset))
		}
	}
}

// Heard takes an update of another host.
func (fl *Follower) Heard(ctx context.Context, up Update) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	outage := now.Sub(fl.failedAt) < outageMemory
	changed, complete := fl.roster.Apply(now, up.From, up.Next, fl.decode(up.Records), outage)
	if complete && up.Next >= fl.roster.Next() {
		fl.heardAt = now
	}
	behind := !complete || fl.table == nil || fl.table.Version() < up.Version
	pull := behind && !fl.pulling
	if pull {
		fl.pulling = true
	}
	fl.mutex.Unlock()
	fl.logServers(string(up.Host), changed)
	if len(changed) > 0 {
		fl.changed()
	}
	if pull {
		fl.group.Go(func() { fl.pull(context.WithoutCancel(ctx), up.Host) })
	}
}

// pull takes what another host knows beyond the own copies.
func (fl *Follower) pull(ctx context.Context, host id.Host) {
	fl.mutex.Lock()
	version := route.Version(-1)
	if fl.table != nil {
		version = fl.table.Version()
	}
	next := fl.roster.Next()
	fl.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
	cp, err := fl.peers.Copy(call, host, version, next)
	cancel()
	fl.mutex.Lock()
	fl.pulling = false
	fl.mutex.Unlock()
	if err != nil {
		fl.metrics.Counter("copies_failed").Inc(1)
		return
	}
	fl.take(string(host), cp)
}

func (fl *Follower) take(source string, cp Copy) {
	if cp.Table != nil {
		fl.takeTable(source, cp.Table)
	}
	if cp.Next == id.NoOffset || cp.Records == nil {
		return
	}
	fl.mutex.Lock()
	now := fl.clock.Now()
	changed := fl.roster.Replace(now, cp.Next, fl.decode(cp.Records), now.Sub(fl.failedAt) < outageMemory)
	fl.heardAt = now
	fl.mutex.Unlock()
	fl.logServers(source, changed)
	if len(changed) > 0 {
		fl.changed()
	}
}

// decode reads the entries of records that came from another host.
func (fl *Follower) decode(records []roster.Record) []roster.Record {
	decoded := slices.Clone(records)
	for ix, rc := range decoded {
		if !rc.Dropped {
			decoded[ix].Server = fl.store.DecodeServer(rc.ID, rc.Body)
		}
	}
	return decoded
}

// Copy returns what the own host knows beyond a version and an offset.
func (fl *Follower) Copy(version route.Version, next id.Offset) Copy {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	cp := Copy{Next: fl.roster.Next(), Version: -1}
	if fl.table != nil {
		cp.Version = fl.table.Version()
		if cp.Version > version {
			cp.Table = fl.body
		}
	}
	if cp.Next > next {
		cp.Records = fl.roster.Records()
	}
	return cp
}
