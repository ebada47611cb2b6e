package statesync

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// pollServerList starts a read of the list of backend servers if the local host is due to read it. It also removes
// servers that were dropped in an outage of the store and not listed again within their grace period.
func (fl *Follower) pollServerList(ctx context.Context) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	graceEnded := fl.serverList.ExpireGracePeriods(now)
	zones := fl.evacuations.Expire(now)
	due := !fl.readingList && fl.listReadDue(now)
	if due {
		fl.readingList = true
		fl.listReadAt = now
	}
	fl.mutex.Unlock()
	if graceEnded {
		fl.logger.Info("grace period of backend servers after an outage or a restore of the store has ended")
	}
	fl.logEvacuations("hold after a restore", zones)
	if graceEnded || len(zones) > 0 {
		fl.onChange()
	}
	if due {
		fl.group.Go(func() { fl.readServerList(ctx) })
	}
}

// listReadDue reports whether the local host has to read the list now. The first host in the order of readers reads in
// every ListReadPeriod. The next ones take over in turn as the list gets older than StaleAfter, because the
// first one may have failed. The caller holds the lock.
func (fl *Follower) listReadDue(now time.Time) bool {
	period := fl.config.ListReadPeriod
	if fl.storeUnavailable {
		period = fl.config.MaxBackoff
	}
	if now.Sub(fl.listReadAt) < period {
		return false
	}
	if !fl.serverList.Loaded() {
		return true
	}
	if fl.discoveringPeers() {
		return false
	}
	rank := fl.readerRank()
	if rank == 0 {
		return true
	}
	age := now.Sub(fl.listConfirmedAt)
	if rank < 0 || rank > lastReaderRank {
		if !fl.readsDespiteRank() {
			return age > fl.config.FallbackReadAfter && now.Sub(fl.listReadAt) > fl.fallbackReadPause
		}
		rank = lastReaderRank
	}
	return age > fl.config.StaleAfter+time.Duration(rank)*fl.config.StaleStep
}

// readsDespiteRank reports whether the local host reads from the store like the first hosts in the order of readers,
// whatever its rank: in a small fleet, where every host receives an update at every read, or if it is isolated.
func (fl *Follower) readsDespiteRank() bool {
	return fl.peers.Isolated() || len(fl.peers.LiveHosts()) <= maxDirectRecipients+1
}

const (
	// lastReaderRank is the rank of the last host in the order of readers that receives an update at every read.
	lastReaderRank = 6
	// readerOrderKey is the key of the rendezvous hash that orders the readers. All hosts must use the same one.
	readerOrderKey = "ServerList"
)

// readerRank returns the local host's rank in the order of readers, 0 for the first. It is negative if the host does
// not accept new work.
func (fl *Follower) readerRank() int {
	return id.RendezvousRank(readerOrderKey, fl.peers.LiveHosts(), fl.localHost)
}

// IsListReader reports whether the local host currently reads the list of backend servers from the store, either for
// the whole fleet or because it receives no updates.
func (fl *Follower) IsListReader() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	// The limit exceeds two periods of DefaultConfig, so that a reader also counts as one between two reads.
	const recent = time.Second
	return fl.serverList.Loaded() && !fl.discoveringPeers() && fl.clock.Now().Sub(fl.listReadAt) < recent
}

// readServerList reads the list from the store until the end of what is there, and applies and sends on each part.
func (fl *Follower) readServerList(ctx context.Context) {
	for fl.readListPart(ctx) {
	}
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	fl.readingList = false
	// Spreads the reads of hosts that receive no updates over time. The larger the fleet, the less often each host reads.
	fl.fallbackReadPause = time.Duration(fl.random.Float64() * float64(len(fl.peers.LiveHosts())) * float64(fallbackPausePerHost))
}

// readListPart makes one read of the list, applies it, and sends what changed to other hosts. It reports whether the store
// has more. The list counts as up to date only once it has not.
func (fl *Follower) readListPart(ctx context.Context) bool {
	fl.mutex.Lock()
	from := fl.serverList.NextOffset()
	fl.listReadAt = fl.clock.Now()
	fl.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
	read, err := fl.fetchServerList(callCtx, from)
	cancel()
	if err != nil {
		fl.mutex.Lock()
		fl.listReadFailed = true
		fl.mutex.Unlock()
		fl.noteStoreFailure(ctx, "list of backend servers", err)
		return false
	}
	fl.noteStoreSuccess()
	fl.mutex.Lock()
	if read.Next < from {
		// The store answered from an outdated replica.
		fl.mutex.Unlock()
		fl.metrics.Counter("stale_reads").Inc(1)
		return false
	}
	now := fl.clock.Now()
	if read.More {
		fl.noteListAnswer(now)
	} else {
		fl.confirmList(now)
	}
	fl.noteEra(now, read.Next)
	outage := fl.dropsMayBeFromOutage(now)
	unchangedSince := fl.serverList.UnchangedSince()
	var changed []serverlist.Record
	if read.FullList {
		// The changes are relative to the local copy. Hosts with other copies must request the differences.
		unchangedSince = read.Next
		changed = fl.serverList.ApplyFullList(now, read.Next, read.Records, outage)
	} else {
		changed, _ = fl.serverList.Apply(now, from, read.Next, read.Records, outage)
	}
	for ix := range changed {
		changed[ix].DroppedInOutage = changed[ix].Dropped && outage
	}
	update := Update{Sender: fl.localHost, From: unchangedSince, Next: read.Next, Records: changed, ListAge: now.Sub(fl.listConfirmedAt), Evacuations: fl.evacuations.State()}
	if fl.table != nil {
		update.Version = fl.table.Version()
	}
	neverConfirmed := fl.listConfirmedAt.IsZero()
	fl.mutex.Unlock()
	fl.logServerChanges("store", changed)
	if len(changed) > 0 {
		fl.onChange()
	}
	if neverConfirmed || read.More && len(changed) == 0 {
		return read.More
	}
	fl.broadcast(update, len(changed) > 0)
	return read.More
}

// fallbackPausePerHost times the number of hosts in the fleet is the longest pause between two reads of a host that
// receives no updates. With it, hundreds of such hosts together read some tens of times per second.
const fallbackPausePerHost = 20 * time.Millisecond

// fetchServerList makes one read of the changes of the list from the offset from on, or of the full list if from is
// id.NoOffset or the store no longer retains the changes. It returns the full list as a whole after its last page; until
// then it returns no records, and that there are more.
func (fl *Follower) fetchServerList(ctx context.Context, from id.Offset) (ServersRead, error) {
	fl.countStoreCall("servers")
	if from != id.NoOffset && from >= fl.fullListRead.position.Next {
		fl.fullListRead = fullListRead{}
		read, err := fl.store.ReadServerChanges(ctx, from)
		if err != nil || !read.Expired {
			return read, err
		}
	}
	return fl.fetchFullListPage(ctx, from)
}

// fullListRead is what a host has read of the full list. It is zero while none is read.
type fullListRead struct {
	position ListPosition
	records  []serverlist.Record
}

// fetchFullListPage reads the next page of the full list. See fetchServerList for the result. What was read before is kept
// if the read fails, unless it can't go on.
func (fl *Follower) fetchFullListPage(ctx context.Context, from id.Offset) (ServersRead, error) {
	progress := &fl.fullListRead
	read, err := fl.store.ReadServerPage(ctx, progress.position)
	if err != nil {
		if errors.Is(err, ErrReadRestarts) {
			*progress = fullListRead{}
		}
		return ServersRead{}, err
	}
	firstPage := progress.position == ListPosition{}
	progress.position = read.Position
	progress.records = append(progress.records, read.Records...)
	if read.More {
		return ServersRead{Next: from, More: true}, nil
	}
	read.Records = progress.records
	// Pages are no snapshot: entries may have changed while later pages were read.
	read.More = !firstPage
	*progress = fullListRead{}
	return read, nil
}

// sendUpdate sends an update to a host and counts failures.
func (fl *Follower) sendUpdate(host id.Host, update Update) error {
	callCtx, cancel := context.WithTimeout(context.Background(), fl.config.SendTimeout)
	defer cancel()
	err := fl.peers.SendUpdate(callCtx, host, update)
	if err != nil {
		fl.metrics.Counter("updates_untold").Inc(1)
	}
	return err
}

func (fl *Follower) logServerChanges(source string, changed []serverlist.Record) {
	for _, rc := range changed {
		switch {
		case rc.Dropped:
			fl.logger.Info("backend server gone", "server", string(rc.ID), "source", source, "offset", rc.Offset.Position(), "era", int64(rc.Offset.Era()))
		case rc.Server == nil:
			fl.logger.Warn("backend server entry names no usable server", "server", string(rc.ID), "problem", rc.Problem, "bytes", rc.UnusableBytes, "source", source, "offset", rc.Offset.Position(), "era", int64(rc.Offset.Era()))
		default:
			fl.logger.Info("backend server listed", "server", string(rc.ID), "service", string(rc.Server.Service), "address", rc.Server.Address,
				"draining", rc.Server.Draining, "born", rc.Server.StartedAtMillis, "source", source, "offset", rc.Offset.Position(), "era", int64(rc.Offset.Era()))
		}
	}
}
