package news

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// look starts a read of the list of backend servers if it is this host's turn, and ends the grace of lapsed entries.
func (fl *Follower) look(ctx context.Context) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	expired := fl.roster.EndGraces(now)
	due := !fl.reading && fl.due(now)
	if due {
		fl.reading = true
		fl.readAt = now
	}
	fl.mutex.Unlock()
	if expired {
		fl.logger.Info("lapsed backend servers were not listed again")
		fl.changed()
	}
	if due {
		fl.group.Go(func() { fl.readServers(ctx) })
	}
}

// due reports whether the own host is to read now: the first host in order reads always, the others when the list
// grows old, one after the other.
func (fl *Follower) due(now time.Time) bool {
	period := fl.config.ListReadPeriod
	if fl.away {
		period = fl.config.MaxBackoff
	}
	if now.Sub(fl.readAt) < period {
		return false
	}
	if !fl.roster.Loaded() {
		return true
	}
	if fl.settling() {
		return false
	}
	rank := fl.rank()
	if rank == 0 {
		return true
	}
	age := now.Sub(fl.heardAt)
	if rank < 0 || rank > lastRank {
		if !fl.actsAlone() {
			return age > fl.config.FallbackReadAfter && now.Sub(fl.readAt) > fl.untoldPause
		}
		rank = lastRank
	}
	return age > fl.config.StaleAfter+time.Duration(rank)*fl.config.StaleStep
}

// actsAlone reports whether the own host reads like those that are next in order though it is none of them: all hosts of a
// small fleet do, being told at every read, and so does one that reaches no other host.
func (fl *Follower) actsAlone() bool {
	return fl.peers.Isolated() || len(fl.peers.LiveHosts()) <= mostTold+1
}

const (
	// lastRank is the last place in the order of readers whose hosts are told at every read.
	lastRank = 6
	// readersKey is what the order of readers is hashed with.
	readersKey = "ServerList"
)

// rank returns the own host's place in the order of readers; negative if it takes no new work.
func (fl *Follower) rank() int { return id.RendezvousRank(readersKey, fl.peers.LiveHosts(), fl.self) }

// IsListReader reports whether the own host reads the list of backend servers at the store now, for all hosts or because nobody
// tells it anything.
func (fl *Follower) IsListReader() bool {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	const lately = time.Second
	return fl.roster.Loaded() && !fl.settling() && fl.clock.Now().Sub(fl.readAt) < lately
}

// readServers reads the list and tells the other hosts.
func (fl *Follower) readServers(ctx context.Context) {
	fl.mutex.Lock()
	from := fl.roster.Next()
	fl.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, fl.config.CallTimeout)
	read, err := fl.fetchServers(call, from)
	cancel()
	fl.mutex.Lock()
	fl.reading = false
	fl.failed = fl.failed || err != nil
	// Hosts that nobody tells read apart from each other, and seldom where there are many.
	fl.untoldPause = time.Duration(fl.random.Float64() * float64(len(fl.peers.LiveHosts())) * float64(untoldShare))
	fl.mutex.Unlock()
	if err != nil {
		fl.storeFailed("list of backend servers", err)
		return
	}
	fl.storeAnswered()
	fl.mutex.Lock()
	if read.Next < from {
		// The store answers from an old copy.
		fl.mutex.Unlock()
		fl.metrics.Counter("stale_reads").Inc(1)
		return
	}
	now := fl.clock.Now()
	fl.heard(now)
	lapsing := fl.lapsing(now)
	quiet := fl.roster.UnchangedSince()
	var changed []roster.Record
	if read.FullList {
		// What changed is known against the own copy only; hosts with another one are to ask for the differences.
		quiet = read.Next
		changed = fl.roster.ApplyFullList(now, read.Next, read.Records, lapsing)
	} else {
		changed, _ = fl.roster.Apply(now, from, read.Next, read.Records, lapsing)
	}
	for ix := range changed {
		changed[ix].DroppedInOutage = changed[ix].Dropped && lapsing
	}
	version := route.Version(0)
	if fl.table != nil {
		version = fl.table.Version()
	}
	fl.mutex.Unlock()
	fl.logServers("store", changed)
	if len(changed) > 0 {
		fl.changed()
	}
	fl.spread(Update{Sender: fl.self, Version: version, From: quiet, Next: read.Next, Records: changed}, len(changed) > 0)
}

// untoldShare is the part of the time between two reads of a host that nobody tells, for each host of the fleet: hundreds
// of them together read some tens of times a second.
const untoldShare = 20 * time.Millisecond

func (fl *Follower) fetchServers(ctx context.Context, from id.Offset) (ServersRead, error) {
	fl.countCall("servers")
	if from == id.NoOffset {
		return fl.store.ReadServerList(ctx)
	}
	read, err := fl.store.ReadServerChanges(ctx, from)
	if err == nil && read.Expired {
		return fl.store.ReadServerList(ctx)
	}
	return read, err
}

// tell passes an update to a host.
func (fl *Follower) tell(host id.Host, up Update) error {
	call, cancel := context.WithTimeout(context.Background(), fl.config.SendTimeout)
	defer cancel()
	err := fl.peers.SendUpdate(call, host, up)
	if err != nil {
		fl.metrics.Counter("updates_untold").Inc(1)
	}
	return err
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
				"draining", rc.Server.Draining, "born", rc.Server.StartedAtMillis, "source", source, "offset", int64(rc.Offset))
		}
	}
}
