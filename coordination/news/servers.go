package news

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// look starts a read of the list of backend servers if it is this host's turn, and ends the grace of lapsed entries.
func (fl *Follower) look(ctx context.Context) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	expired := fl.roster.Expire(now)
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
	rank := fl.rank()
	if rank == 0 {
		return true
	}
	if rank < 0 || rank > lastRank {
		rank = lastRank
	}
	return now.Sub(fl.heardAt) > fl.config.StaleAfter+time.Duration(rank)*fl.config.StaleStep
}

// lastRank is the place in the order of readers that all further hosts share.
const lastRank = 6

// rank returns the own host's place in the order of readers; negative if it takes no new work.
func (fl *Follower) rank() int {
	return slices.Index(id.Rendezvous("ServerList", fl.peers.LiveHosts()), fl.self)
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
	fl.heard(now)
	var changed []roster.Record
	if read.Whole {
		changed = fl.roster.Replace(now, read.Next, read.Records, fl.lapsing(now))
	} else {
		changed, _ = fl.roster.Apply(now, from, read.Next, read.Records, fl.lapsing(now))
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
	up := Update{Host: fl.self, Version: version, From: from, Next: read.Next, Records: changed}
	if read.Whole {
		up.From = id.NoOffset
	}
	for _, host := range fl.peers.Others() {
		fl.group.Go(func() { fl.tell(ctx, host, up) })
	}
}

func (fl *Follower) fetchServers(ctx context.Context, from id.Offset) (ServersRead, error) {
	fl.countCall("servers")
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
