package news

import (
	"context"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// Heard takes an update of another host.
func (fl *Follower) Heard(ctx context.Context, up Update) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	changed, complete := fl.roster.Apply(now, up.From, up.Next, fl.decode(up.Records), fl.lapsing(now))
	if complete && up.Next >= fl.roster.Next() {
		fl.heard(now)
	}
	behind := !complete || fl.table == nil || fl.table.Version() < up.Version
	pull := behind && !fl.pulling
	if pull {
		fl.pulling = true
	}
	answer, ahead := fl.ahead(up)
	fl.mutex.Unlock()
	fl.logServers(string(up.Host), changed)
	if len(changed) > 0 {
		fl.changed()
	}
	if pull {
		fl.group.Go(func() { fl.pull(context.WithoutCancel(ctx), up.Host) })
	}
	if ahead {
		fl.group.Go(func() { fl.tell(context.WithoutCancel(ctx), up.Host, answer) })
	}
}

// ahead returns what tells the host that reads the list that its desired state is old, if it is and this host is one of
// those that would read in its place. Such an update covers no part of the list. The caller holds the lock.
func (fl *Follower) ahead(up Update) (Update, bool) {
	if fl.table == nil || fl.table.Version() <= up.Version {
		return Update{}, false
	}
	rank := fl.rank()
	return Update{Host: fl.self, Version: fl.table.Version()}, rank >= 0 && rank < lastRank
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
	fl.heard(now)
	changed := fl.roster.Replace(now, cp.Next, fl.decode(cp.Records), fl.lapsing(now))
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
