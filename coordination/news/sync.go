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
	newTable := up.CompressedTable != nil && fl.applyCompressedTable(string(up.Sender), up.CompressedTable)
	fl.mutex.Lock()
	now := fl.clock.Now()
	changed, complete := fl.roster.Apply(now, up.From, up.Next, fl.decodeServers(up.Records), false)
	if complete && up.Next >= fl.roster.Next() {
		fl.confirmList(now.Add(-up.ListAge))
	}
	behind := !complete && up.Next != id.NoOffset || fl.table == nil || fl.table.Version() < up.Version
	startSync := behind && fl.tryStartSync()
	notice, hasNotice := fl.newerTableNotice(up)
	fl.mutex.Unlock()
	fl.logServerChanges(string(up.Sender), changed)
	if len(changed) > 0 {
		fl.onChange()
	}
	if up.Relay && (newTable || len(changed) > 0) {
		fl.relayToZone(up)
	}
	if startSync {
		fl.group.Go(func() { fl.syncFrom(up.Sender) })
	}
	if hasNotice {
		fl.group.Go(func() { _ = fl.sendUpdate(up.Sender, notice) })
	}
}

// tryStartSync reports whether another host may be asked for its copies now, and notes that it is. The caller holds the
// lock.
func (fl *Follower) tryStartSync() bool {
	if fl.syncing {
		return false
	}
	fl.syncing = true
	return true
}

// HandleStatus takes what another host says of its copies in a message, and asks it for what it knows more.
func (fl *Follower) HandleStatus(host id.Host, st Status) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	confirmed := st.Next != id.NoOffset && fl.roster.ConfirmUnchanged(st.UnchangedSince, st.Next)
	if confirmedAt := now.Add(-st.ListAge); confirmed && confirmedAt.After(fl.listConfirmedAt) {
		fl.confirmList(confirmedAt)
	}
	behind := fl.roster.Loaded() && st.Next != id.NoOffset && !confirmed || fl.table != nil && fl.table.Version() < st.Version
	startSync := behind && fl.tryStartSync()
	fl.mutex.Unlock()
	if startSync {
		fl.group.Go(func() { fl.syncFrom(host) })
	}
}

// Status returns what the own host says of its copies.
func (fl *Follower) Status() Status {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	st := Status{Version: -1, UnchangedSince: fl.roster.UnchangedSince(), Next: fl.roster.Next(), ListAge: fl.clock.Now().Sub(fl.listConfirmedAt)}
	if fl.table != nil {
		st.Version = fl.table.Version()
	}
	return st
}

// newerTableNotice returns what tells the host that reads the list that its desired state is old, if it is and this host is one of
// those that would read in its place. Such an update covers no part of the list. The caller holds the lock.
func (fl *Follower) newerTableNotice(up Update) (Update, bool) {
	if fl.table == nil || fl.table.Version() <= up.Version {
		return Update{}, false
	}
	rank := fl.readerRank()
	return Update{Sender: fl.localHost, Version: fl.table.Version(), From: id.NoOffset, Next: id.NoOffset}, rank >= 0 && rank < lastReaderRank
}

// syncFrom takes what another host knows beyond the own copies.
func (fl *Follower) syncFrom(host id.Host) {
	fl.mutex.Lock()
	version := route.Version(-1)
	if fl.table != nil {
		version = fl.table.Version()
	}
	next := fl.roster.Next()
	fl.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(context.Background(), fl.config.CallTimeout)
	response, err := fl.peers.RequestSync(callCtx, host, version, next)
	cancel()
	fl.mutex.Lock()
	fl.syncing = false
	fl.mutex.Unlock()
	if err != nil {
		fl.metrics.Counter("copies_failed").Inc(1)
		return
	}
	fl.applySync(string(host), response)
}

func (fl *Follower) applySync(source string, response SyncResponse) {
	if response.CompressedTable != nil {
		fl.applyCompressedTable(source, response.CompressedTable)
	}
	if response.Next == id.NoOffset {
		return
	}
	fl.mutex.Lock()
	now := fl.clock.Now()
	var changed []roster.Record
	if response.FullList {
		changed = fl.roster.ApplyFullList(now, response.Next, fl.decodeServers(response.Records), fl.dropsMayBeFromOutage(now))
	} else {
		changed, _ = fl.roster.Apply(now, response.From, response.Next, fl.decodeServers(response.Records), false)
	}
	if response.Next >= fl.roster.Next() {
		fl.confirmList(now.Add(-response.ListAge))
	}
	fl.mutex.Unlock()
	fl.logServerChanges(source, changed)
	if len(changed) > 0 {
		fl.onChange()
	}
}

// decodeServers reads the entries of records that came from another host.
func (fl *Follower) decodeServers(records []roster.Record) []roster.Record {
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
	response := SyncResponse{From: next, Next: fl.roster.Next(), Version: -1, ListAge: fl.clock.Now().Sub(fl.listConfirmedAt)}
	if fl.table != nil {
		response.Version = fl.table.Version()
		if response.Version > version {
			response.CompressedTable = fl.compressedTable
		}
	}
	if records, complete := fl.roster.ChangesSince(next); complete {
		response.Records = records
	} else {
		response.Records, response.FullList = fl.roster.Records(), true
	}
	return response
}
