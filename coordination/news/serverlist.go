package news

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// pollServerList starts a read of the list of backend servers if it is this host's turn, and ends the grace of lapsed entries.
func (fl *Follower) pollServerList(ctx context.Context) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	graceEnded := fl.roster.EndGraces(now)
	due := !fl.readingList && fl.listReadDue(now)
	if due {
		fl.readingList = true
		fl.listReadAt = now
	}
	fl.mutex.Unlock()
	if graceEnded {
		fl.logger.Info("lapsed backend servers were not listed again")
		fl.onChange()
	}
	if due {
		fl.group.Go(func() { fl.readServerList(ctx) })
	}
}

// listReadDue reports whether the own host is to read now: the first host in order reads always, the others when the list
// grows old, one after the other.
func (fl *Follower) listReadDue(now time.Time) bool {
	period := fl.config.ListReadPeriod
	if fl.storeUnavailable {
		period = fl.config.MaxBackoff
	}
	if now.Sub(fl.listReadAt) < period {
		return false
	}
	if !fl.roster.Loaded() {
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

// readsDespiteRank reports whether the own host reads like those that are next in order though it is none of them: all hosts of a
// small fleet do, being told at every read, and so does one that reaches no other host.
func (fl *Follower) readsDespiteRank() bool {
	return fl.peers.Isolated() || len(fl.peers.LiveHosts()) <= maxDirectRecipients+1
}

const (
	// lastReaderRank is the last place in the order of readers whose hosts are told at every read.
	lastReaderRank = 6
	// readerOrderKey is what the order of readers is hashed with.
	readerOrderKey = "ServerList"
)

// readerRank returns the own host's place in the order of readers; negative if it takes no new work.
func (fl *Follower) readerRank() int {
	return id.Rank(readerOrderKey, fl.peers.LiveHosts(), fl.localHost)
}

// IsListReader reports whether the own host reads the list of backend servers at the store now, for all hosts or because nobody
// tells it anything.
func (fl *Follower) IsListReader() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	const recent = time.Second
	return fl.roster.Loaded() && !fl.discoveringPeers() && fl.clock.Now().Sub(fl.listReadAt) < recent
}

// readServerList reads the list and tells the other hosts.
func (fl *Follower) readServerList(ctx context.Context) {
	fl.mutex.Lock()
	from := fl.roster.Next()
	fl.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
	read, err := fl.fetchServerList(callCtx, from)
	cancel()
	fl.mutex.Lock()
	fl.readingList = false
	fl.listReadFailed = fl.listReadFailed || err != nil
	// Hosts that nobody tells read apart from each other, and seldom where there are many.
	fl.fallbackReadPause = time.Duration(fl.random.Float64() * float64(len(fl.peers.LiveHosts())) * float64(fallbackPausePerHost))
	fl.mutex.Unlock()
	if err != nil {
		fl.noteStoreFailure("list of backend servers", err)
		return
	}
	fl.noteStoreSuccess()
	fl.mutex.Lock()
	if read.Next < from {
		// The store answers from an old copy.
		fl.mutex.Unlock()
		fl.metrics.Counter("stale_reads").Inc(1)
		return
	}
	now := fl.clock.Now()
	fl.confirmList(now)
	outage := fl.dropsMayBeFromOutage(now)
	unchangedSince := fl.roster.UnchangedSince()
	var changed []roster.Record
	if read.FullList {
		// What changed is known against the own copy only; hosts with another one are to ask for the differences.
		unchangedSince = read.Next
		changed = fl.roster.ApplyFullList(now, read.Next, read.Records, outage)
	} else {
		changed, _ = fl.roster.Apply(now, from, read.Next, read.Records, outage)
	}
	for ix := range changed {
		changed[ix].DroppedInOutage = changed[ix].Dropped && outage
	}
	version := route.Version(0)
	if fl.table != nil {
		version = fl.table.Version()
	}
	fl.mutex.Unlock()
	fl.logServerChanges("store", changed)
	if len(changed) > 0 {
		fl.onChange()
	}
	fl.broadcast(Update{Sender: fl.localHost, Version: version, From: unchangedSince, Next: read.Next, Records: changed}, len(changed) > 0)
}

// fallbackPausePerHost is the part of the time between two reads of a host that nobody tells, for each host of the fleet: hundreds
// of them together read some tens of times a second.
const fallbackPausePerHost = 20 * time.Millisecond

func (fl *Follower) fetchServerList(ctx context.Context, from id.Offset) (ServersRead, error) {
	fl.countStoreCall("servers")
	if from == id.NoOffset {
		return fl.store.ReadServerList(ctx)
	}
	read, err := fl.store.ReadServerChanges(ctx, from)
	if err == nil && read.Expired {
		return fl.store.ReadServerList(ctx)
	}
	return read, err
}

// sendUpdate passes an update to a host.
func (fl *Follower) sendUpdate(host id.Host, up Update) error {
	callCtx, cancel := context.WithTimeout(context.Background(), fl.config.SendTimeout)
	defer cancel()
	err := fl.peers.SendUpdate(callCtx, host, up)
	if err != nil {
		fl.metrics.Counter("updates_untold").Inc(1)
	}
	return err
}

func (fl *Follower) logServerChanges(source string, changed []roster.Record) {
	for _, rc := range changed {
		switch {
		case rc.Dropped:
			fl.logger.Info("backend server gone", "server", string(rc.ID), "source", source, "offset", int64(rc.Offset))
		case rc.Server == nil:
			fl.logger.Warn("backend server entry names no usable server", "server", string(rc.ID), "source", source, "offset", int64(rc.Offset))
		default:
			fl.logger.Info("backend server listed", "server", string(rc.ID), "service", string(rc.Server.Service), "address", rc.Server.Address,
				"draining", rc.Server.Draining, "born", rc.Server.StartedAtMillis, "source", source, "offset", int64(rc.Offset))
		}
	}
}
