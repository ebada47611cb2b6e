package news

import (
	"context"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// HandleUpdate takes an update of another host, and passes it on if it is asked to.
func (fl *Follower) HandleUpdate(up Update) {
	newTable := up.CompressedTable != nil && fl.takeTable(string(up.Sender), up.CompressedTable)
	fl.mutex.Lock()
	now := fl.clock.Now()
	changed, complete := fl.roster.Apply(now, up.From, up.Next, fl.decode(up.Records), false)
	if complete && up.Next >= fl.roster.Next() {
		fl.heard(now.Add(-up.ListAge))
	}
	behind := !complete && up.Next != id.NoOffset || fl.table == nil || fl.table.Version() < up.Version
	pull := behind && fl.startPull()
	answer, ahead := fl.ahead(up)
	fl.mutex.Unlock()
	fl.logServers(string(up.Sender), changed)
	if len(changed) > 0 {
		fl.changed()
	}
	if up.Relay && (newTable || len(changed) > 0) {
		fl.relay(up)
	}
	if pull {
		fl.group.Go(func() { fl.pull(up.Sender) })
	}
	if ahead {
		fl.group.Go(func() { _ = fl.tell(up.Sender, answer) })
	}
}

// startPull reports whether another host may be asked for its copies now, and notes that it is. The caller holds the
// lock.
func (fl *Follower) startPull() bool {
	if fl.pulling {
		return false
	}
	fl.pulling = true
	return true
}

// HandleStatus takes what another host says of its copies in a message, and asks it for what it knows more.
func (fl *Follower) HandleStatus(host id.Host, st Status) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	confirmed := st.Next != id.NoOffset && fl.roster.ConfirmUnchanged(st.UnchangedSince, st.Next)
	if at := now.Add(-st.ListAge); confirmed && at.After(fl.heardAt) {
		fl.heard(at)
	}
	behind := fl.roster.Loaded() && st.Next != id.NoOffset && !confirmed || fl.table != nil && fl.table.Version() < st.Version
	pull := behind && fl.startPull()
	fl.mutex.Unlock()
	if pull {
		fl.group.Go(func() { fl.pull(host) })
	}
}

// Status returns what the own host says of its copies.
func (fl *Follower) Status() Status {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	st := Status{Version: -1, UnchangedSince: fl.roster.UnchangedSince(), Next: fl.roster.Next(), ListAge: fl.clock.Now().Sub(fl.heardAt)}
	if fl.table != nil {
		st.Version = fl.table.Version()
	}
	return st
}

// ahead returns what tells the host that reads the list that its desired state is old, if it is and this host is one of
// those that would read in its place. Such an update covers no part of the list. The caller holds the lock.
func (fl *Follower) ahead(up Update) (Update, bool) {
	if fl.table == nil || fl.table.Version() <= up.Version {
		return Update{}, false
	}
	rank := fl.rank()
	return Update{Sender: fl.self, Version: fl.table.Version(), From: id.NoOffset, Next: id.NoOffset}, rank >= 0 && rank < lastRank
}

// pull takes what another host knows beyond the own copies.
func (fl *Follower) pull(host id.Host) {
	fl.mutex.Lock()
	version := route.Version(-1)
	if fl.table != nil {
		version = fl.table.Version()
	}
	next := fl.roster.Next()
	fl.mutex.Unlock()
	call, cancel := context.WithTimeout(context.Background(), fl.config.CallTimeout)
	cp, err := fl.peers.RequestSync(call, host, version, next)
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

func (fl *Follower) take(source string, cp SyncResponse) {
	if cp.CompressedTable != nil {
		fl.takeTable(source, cp.CompressedTable)
	}
	if cp.Next == id.NoOffset {
		return
	}
	fl.mutex.Lock()
	now := fl.clock.Now()
	var changed []roster.Record
	if cp.FullList {
		changed = fl.roster.ApplyFullList(now, cp.Next, fl.decode(cp.Records), fl.lapsing(now))
	} else {
		changed, _ = fl.roster.Apply(now, cp.From, cp.Next, fl.decode(cp.Records), false)
	}
	if cp.Next >= fl.roster.Next() {
		fl.heard(now.Add(-cp.ListAge))
	}
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

// SyncResponse returns what the own host knows beyond a version and an offset.
func (fl *Follower) SyncResponse(version route.Version, next id.Offset) SyncResponse {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	cp := SyncResponse{From: next, Next: fl.roster.Next(), Version: -1, ListAge: fl.clock.Now().Sub(fl.heardAt)}
	if fl.table != nil {
		cp.Version = fl.table.Version()
		if cp.Version > version {
			cp.CompressedTable = fl.packed
		}
	}
	if records, known := fl.roster.ChangesSince(next); known {
		cp.Records = records
	} else {
		cp.Records, cp.FullList = fl.roster.Records(), true
	}
	return cp
}
