package statesync

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/evacuation"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config sets the timing of a follower and the addresses of seeds.
type Config struct {
	// ListReadPeriod is the time between two reads of the list of backend servers by the host that reads it for the fleet.
	ListReadPeriod time.Duration
	// StaleAfter and StaleStep set when hosts take over reading the list: a host of rank n in the order of readers, from 1
	// to lastReaderRank, reads the list when it is older than StaleAfter + n*StaleStep.
	StaleAfter time.Duration
	StaleStep  time.Duration
	// TableReadWait is how long a read of the desired state may wait in the store for a change.
	TableReadWait time.Duration
	// ReaderTableReadWait replaces TableReadWait at the host that reads the list of backend servers. It is shorter because
	// all waiting reads may be lost together, and this host must then still notice a change in time.
	ReaderTableReadWait time.Duration
	// TableReadPause is the pause between two reads of the desired state.
	TableReadPause time.Duration
	// CallTimeout limits a call to the store that does not wait for changes, and a sync with another host.
	CallTimeout time.Duration
	// SendTimeout limits sending an update to another host. It is short so that another host can replace a failed relay in
	// time.
	SendTimeout time.Duration
	// FallbackReadAfter is the age of the list at which hosts of a large fleet read from the store even if they come late
	// in the order of readers.
	FallbackReadAfter time.Duration
	// Backoff is the pause after a failed read of the desired state, before jitter. It doubles with each failure up to
	// MaxBackoff. Backoff is also the pause between two rounds of requests to the seeds, and MaxBackoff the time between
	// two reads of the list while the store is unavailable.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Seeds are addresses of hosts to request copies from while the store has not provided them.
	Seeds []string
}

// DefaultConfig returns the timing that hosts use. It is set for a bound of 2 s on the time until hosts know of a new
// desired state or a leaving server.
func DefaultConfig() Config {
	return Config{
		ListReadPeriod:      400 * time.Millisecond,
		StaleAfter:          700 * time.Millisecond,
		StaleStep:           100 * time.Millisecond,
		TableReadWait:       20 * time.Second,
		ReaderTableReadWait: 700 * time.Millisecond,
		TableReadPause:      150 * time.Millisecond,
		CallTimeout:         700 * time.Millisecond,
		SendTimeout:         250 * time.Millisecond,
		FallbackReadAfter:   3 * time.Second,
		Backoff:             200 * time.Millisecond,
		MaxBackoff:          time.Second,
	}
}

// Follower replicates the desired state and the list of backend servers: it reads them from the store or receives them
// from other hosts, and sends changes on to other hosts. Its methods may be called concurrently.
type Follower struct {
	config    Config
	localHost id.Host
	localZone id.AvailabilityZone
	clock     timer.Clock
	store     Store
	peers     Peers
	seeds     Seeds
	metrics   tally.Scope
	logger    *slog.Logger
	// onChange is called without the lock when the desired state or the list has changed.
	onChange func()

	// mutex guards the fields below except group.
	mutex sync.Mutex
	table *route.Table
	// pastTimeouts holds the timeouts of the desired states before table.
	pastTimeouts route.PastTimeouts
	// compressedTable is the desired state as it is sent to other hosts.
	compressedTable []byte
	serverList      *serverlist.List
	evacuations     *evacuation.Set
	random          *rand.Rand
	// startedAt is when Run was called.
	startedAt time.Time
	// announcedVersion is the highest version of the desired state that some host, the local one included, has sent to
	// others.
	announcedVersion route.Version
	// announcedEvacuations is the highest offset of a change of the evacuated zones that some host, the local one included,
	// has sent to all others. Updates of the list do not count, because most of them go to few hosts.
	announcedEvacuations id.Offset
	// tableAppliedAt is when the local host put the current desired state in force.
	tableAppliedAt time.Time
	// listConfirmedAt is when the list was last known to be up to date. outageEndedAt is when it was confirmed for the
	// first time after an outage. listReadFailed is set if a read by the local host has failed since the last one that did
	// not, and since listConfirmedAt.
	listConfirmedAt time.Time
	outageEndedAt   time.Time
	listReadFailed  bool
	// fallbackReadPause is the pause between reads of the list while the local host receives no updates of it.
	fallbackReadPause time.Duration
	// storeUnavailable is set while the last call to the store has failed.
	storeUnavailable bool
	// cancelTableRead cancels the read of the desired state that waits in the store, so that it is restarted. It is nil if
	// no read waits.
	cancelTableRead context.CancelCauseFunc
	// readingList is set while the list is read from the store, and listReadAt is when the last call for it started.
	readingList bool
	listReadAt  time.Time
	// fullListRead is used only by the goroutine that has set readingList.
	fullListRead fullListRead
	// syncing is set while a sync with another host runs; there is one at a time.
	syncing bool
	group   tasks.Group
}

// New returns a follower without copies. The seed initializes its random numbers.
func New(config Config, localHost id.Host, localZone id.AvailabilityZone, clock timer.Clock, store Store, peers Peers, seeds Seeds, metrics tally.Scope, logger *slog.Logger, seed uint64, onChange func()) *Follower {
	return &Follower{
		config:      config,
		localHost:   localHost,
		localZone:   localZone,
		clock:       clock,
		store:       store,
		peers:       peers,
		seeds:       seeds,
		metrics:     metrics,
		logger:      logger,
		onChange:    onChange,
		serverList:  serverlist.New(),
		evacuations: evacuation.New(),
		random:      rand.New(rand.NewPCG(seed, seed)),
	}
}

const (
	// peerDiscoveryTime is how long a host may take after its start to learn of the other hosts. A host that knows only
	// some of them could wrongly take itself for the one that reads for the fleet.
	peerDiscoveryTime = 1500 * time.Millisecond
	// firstPeerTime is how long a host takes to learn of the first other host if there is one.
	firstPeerTime = 500 * time.Millisecond
)

// discoveringPeers reports whether the host has started so recently that it may not know all other hosts yet. A host
// that has found none by firstPeerTime counts as alone. The caller holds the lock.
func (fl *Follower) discoveringPeers() bool {
	sinceStart := fl.clock.Now().Sub(fl.startedAt)
	return sinceStart < firstPeerTime || sinceStart < peerDiscoveryTime && len(fl.peers.Peers()) > 0
}

// Table returns the desired state in force, or nil if none has been received yet.
func (fl *Follower) Table() *route.Table {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.table
}

// LongestTimeout returns the longest timeout that a route has had since the arrival of a request, given the route as it was
// on arrival. Zero means that there was no limit at some time.
func (fl *Follower) LongestTimeout(arrival route.Route, arrivedAt time.Time) time.Duration {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.pastTimeouts.Longest(fl.table, arrival, arrivedAt)
}

// Loaded reports whether the host has both a desired state and a list of backend servers that was up to date at some time
// since its start or, if it comes from another host, at that host.
func (fl *Follower) Loaded() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.table != nil && fl.serverList.Loaded() && !fl.listConfirmedAt.IsZero()
}

// TableAge returns the time since the local host put the current desired state in force.
func (fl *Follower) TableAge() time.Duration {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.clock.Now().Sub(fl.tableAppliedAt)
}

// Servers returns the listed servers, and false if the list has not been read yet. The result must not be changed.
func (fl *Follower) Servers() ([]serverlist.Server, bool) {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.serverList.Servers(fl.clock.Now()), fl.serverList.Loaded()
}

// Leaving reports whether a server is draining or no longer listed. It returns false for a server that was never
// listed.
func (fl *Follower) Leaving(server id.BackendServer) bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.serverList.Leaving(fl.clock.Now(), server)
}

// ShownAsDraining reports whether the list shows the given start of a server as draining, or showed it so before it dropped
// or replaced its entry.
func (fl *Follower) ShownAsDraining(server serverlist.Server) bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.serverList.ShownAsDraining(fl.clock.Now(), server)
}

// ListAge returns the time since the list of backend servers was last known to be up to date.
func (fl *Follower) ListAge() time.Duration {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.clock.Now().Sub(fl.listConfirmedAt)
}

// StoreUnavailable reports whether the last call to the store failed.
func (fl *Follower) StoreUnavailable() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.storeUnavailable
}

// Run keeps the copies up to date until the context is canceled. It always returns nil.
func (fl *Follower) Run(ctx context.Context) error {
	const pollPeriod = 100 * time.Millisecond
	fl.mutex.Lock()
	fl.startedAt = fl.clock.Now()
	fl.mutex.Unlock()
	fl.group.Go(func() { fl.watchTable(ctx) })
	fl.group.Go(func() { fl.syncFromSeeds(ctx) })
	fl.pollServerList(ctx)
	ticker := timer.Every(fl.clock, pollPeriod, func() { fl.pollServerList(ctx) })
	<-ctx.Done()
	ticker.Stop()
	fl.group.Wait()
	return nil
}

// syncFromSeeds requests copies from the seeds until both are loaded, so that a host can start during an outage of the
// store.
func (fl *Follower) syncFromSeeds(ctx context.Context) {
	for timer.Sleep(ctx, fl.clock, fl.config.Backoff) {
		if fl.Loaded() {
			return
		}
		for _, address := range fl.config.Seeds {
			callCtx, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
			response, err := fl.seeds.RequestSyncAt(callCtx, address)
			cancel()
			if err == nil {
				fl.applySync("seed "+address, response)
			}
		}
	}
}

// watchTable reads each new desired state from the store until the context is canceled. While the local host is not one
// that reads from the store, it only checks whether it has become one.
func (fl *Follower) watchTable(ctx context.Context) {
	next := id.NoOffset
	backoff := fl.config.Backoff
	for ctx.Err() == nil {
		if !fl.readsTableFromStore() {
			timer.Sleep(ctx, fl.clock, fl.config.TableReadPause)
			next = id.NoOffset
			continue
		}
		read, err := fl.readTable(ctx, next)
		if errors.Is(err, errReadOutdated) {
			timer.Sleep(ctx, fl.clock, fl.jitter(fl.config.Backoff))
			continue
		}
		if err != nil {
			fl.noteStoreFailure(ctx, "desired state", err)
			timer.Sleep(ctx, fl.clock, fl.jitter(backoff))
			backoff = min(2*backoff, fl.config.MaxBackoff)
			continue
		}
		backoff = fl.config.Backoff
		fl.noteStoreSuccess()
		fl.applyEvacuationsFromStore(next, read)
		if read.Body != nil {
			fl.applyTableFromStore(read.Body)
		}
		switch {
		case read.Expired:
			next = id.NoOffset
		case read.Next > next:
			next = read.Next
		default:
			// Ignores the offset of a store that answered from an outdated replica.
		}
		timer.Sleep(ctx, fl.clock, fl.config.TableReadPause)
	}
}

// readsTableFromStore reports whether the local host has to read the desired state from the store: if it has none or
// does not know the evacuated zones, is one of the first in the order of readers, which send it to others, is isolated or
// in a small fleet, or has not had its list confirmed for longer than FallbackReadAfter.
func (fl *Follower) readsTableFromStore() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	if fl.table == nil || !fl.evacuations.Loaded() {
		return true
	}
	if fl.discoveringPeers() {
		return false
	}
	if fl.readsDespiteRank() {
		return true
	}
	rank := fl.readerRank()
	return rank >= 0 && rank <= lastReaderRank || fl.clock.Now().Sub(fl.listConfirmedAt) > fl.config.FallbackReadAfter
}

// readTable reads the newest desired state if next is id.NoOffset. Otherwise it waits for one at that offset or later.
// It returns errReadOutdated if the read was canceled in order to be restarted.
func (fl *Follower) readTable(ctx context.Context, next id.Offset) (TableRead, error) {
	fl.countStoreCall("desired_state")
	if next == id.NoOffset {
		callCtx, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
		defer cancel()
		return fl.store.NewestTable(callCtx)
	}
	wait := fl.config.TableReadWait
	if fl.readerRank() == 0 {
		wait = fl.config.ReaderTableReadWait
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+fl.config.CallTimeout)
	defer cancel()
	callCtx, cancelRead := context.WithCancelCause(callCtx)
	defer cancelRead(nil)
	fl.setCancelTableRead(cancelRead)
	defer fl.setCancelTableRead(nil)
	read, err := fl.store.AwaitTable(callCtx, next, wait)
	if err != nil && errors.Is(context.Cause(callCtx), errReadOutdated) {
		return TableRead{}, errReadOutdated
	}
	return read, err
}

// errReadOutdated cancels a waiting read that the store may never answer.
var errReadOutdated = errors.New("read started before an outage of the store")

func (fl *Follower) setCancelTableRead(cancelRead context.CancelCauseFunc) {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	fl.cancelTableRead = cancelRead
}

// restartTableRead cancels the waiting read of the desired state, so that watchTable starts a new one: the store may
// never answer a read that started before an outage. The caller holds the lock.
func (fl *Follower) restartTableRead() {
	if fl.cancelTableRead != nil {
		fl.cancelTableRead(errReadOutdated)
	}
}

func (fl *Follower) countStoreCall(dataset string) {
	fl.metrics.Tagged(map[string]string{"what": dataset}).Counter("store_calls").Inc(1)
}

// jitter returns wait with random jitter: at least half of it and less than one and a half times.
func (fl *Follower) jitter(wait time.Duration) time.Duration {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return wait/2 + time.Duration(fl.random.Float64()*float64(wait))
}

// applyTableFromStore puts a desired state from the store in force and sends it to other hosts. All hosts that wait in
// the store receive it at the same time. The first in the order of readers sends it; the next ones wait announceStep
// longer each, and send it only if no host has.
func (fl *Follower) applyTableFromStore(body []byte) {
	compressed, err := compressTable(body)
	if err != nil {
		fl.logger.Error("desired state could not be compressed", "bytes", len(body), "error", err.Error())
		return
	}
	if !fl.applyTable("store", body, compressed) {
		return
	}
	version := fl.Table().Version()
	fl.announceInTurn(func() {
		fl.mutex.Lock()
		announced := fl.announcedVersion >= version
		fl.announcedVersion = max(fl.announcedVersion, version)
		evacuations := fl.evacuations.State()
		fl.mutex.Unlock()
		if !announced {
			fl.broadcast(Update{Sender: fl.localHost, Version: version, CompressedTable: compressed, From: id.NoOffset, Next: id.NoOffset, Evacuations: evacuations}, true)
		}
	})
}

// announceInTurn calls announce after the wait of the local host's rank in the order of readers, or not at all if the host
// is not one of the first in that order.
func (fl *Follower) announceInTurn(announce func()) {
	if rank := fl.readerRank(); rank >= 0 && rank <= lastReaderRank {
		fl.clock.After(time.Duration(rank)*announceStep, announce)
	}
}

// announceStep is the additional time that each further host in the order of readers waits before it sends a desired
// state from the store to others.
const announceStep = 100 * time.Millisecond

// applyCompressedTable puts a desired state from another host in force if it is newer than the current one, and reports
// whether it is. For source see applyTable.
func (fl *Follower) applyCompressedTable(source string, compressed []byte) bool {
	body, err := decompressTable(compressed)
	if err != nil {
		fl.metrics.Counter("tables_rejected").Inc(1)
		fl.logger.Error("desired state rejected", "source", source, "bytes", len(compressed), "error", err.Error())
		return false
	}
	return fl.applyTable(source, body, compressed)
}

// applyTable puts a desired state in force if it is newer than the current one, and reports whether it is. The source
// is "store", the name of the sending host, or "seed " and its address. It is logged, and a desired state from another
// host counts as announced, so that the local host does not send it to others as well.
func (fl *Follower) applyTable(source string, body, compressed []byte) bool {
	tb, err := fl.store.DecodeTable(body)
	if err != nil {
		fl.metrics.Counter("tables_rejected").Inc(1)
		fl.logger.Error("desired state rejected", "source", source, "bytes", len(body), "error", err.Error())
		return false
	}
	fl.mutex.Lock()
	if source != "store" {
		fl.announcedVersion = max(fl.announcedVersion, tb.Version())
	}
	if fl.table != nil && tb.Version() <= fl.table.Version() {
		fl.mutex.Unlock()
		return false
	}
	if fl.table != nil {
		fl.pastTimeouts.Replace(fl.clock.Now(), fl.table, tb)
	}
	fl.table = tb
	fl.compressedTable = compressed
	fl.tableAppliedAt = fl.clock.Now()
	fl.mutex.Unlock()
	fl.logger.Info("desired state in force", "version", int64(tb.Version()), "source", source, "routes", tb.RouteCount())
	fl.onChange()
	return true
}
