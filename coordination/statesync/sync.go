package statesync

import (
	"context"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// HandleUpdate applies an update from another host and relays it if requested. It requests from the sender what the
// local copies lack, and notifies the sender if the sender's desired state is outdated.
func (fl *Follower) HandleUpdate(update Update) {
	newTable := update.CompressedTable != nil && fl.applyCompressedTable(string(update.Sender), update.CompressedTable)
	fl.mutex.Lock()
	now := fl.clock.Now()
	zones := fl.applyPeerEvacuations(now, update.Evacuations)
	if update.Evacuations != nil && update.Next == id.NoOffset {
		fl.announcedEvacuations = max(fl.announcedEvacuations, update.Evacuations.UnchangedSince)
	}
	changed, complete := fl.serverList.Apply(now, update.From, update.Next, fl.decodeServers(update.Records), false)
	if complete && update.Next >= fl.serverList.NextOffset() {
		fl.confirmList(now.Add(-update.ListAge))
	}
	outdated := !complete && update.Next != id.NoOffset || fl.table == nil || fl.table.Version() < update.Version
	startSync := outdated && fl.tryStartSync()
	notice, hasNotice := fl.newerTableNotice(update)
	fl.mutex.Unlock()
	fl.logServerChanges(string(update.Sender), changed)
	fl.logEvacuations(string(update.Sender), zones)
	if len(changed) > 0 || len(zones) > 0 {
		fl.onChange()
	}
	if update.Relay && (newTable || len(changed) > 0 || len(zones) > 0) {
		fl.relayToZone(update)
	}
	if startSync {
		fl.group.Go(func() { fl.syncFrom(update.Sender) })
	}
	if hasNotice {
		fl.group.Go(func() { _ = fl.sendUpdate(update.Sender, notice) })
	}
}

// tryStartSync marks a sync with another host as running. It returns false if one is running already. The caller holds
// the lock.
func (fl *Follower) tryStartSync() bool {
	if fl.syncing {
		return false
	}
	fl.syncing = true
	return true
}

// HandleStatus compares the local copies with another host's status. It requests from that host what the local copies
// lack, and takes the list as confirmed if they lack nothing.
func (fl *Follower) HandleStatus(host id.Host, st Status) {
	fl.mutex.Lock()
	now := fl.clock.Now()
	confirmed := st.NextOffset != id.NoOffset && fl.serverList.ConfirmUnchanged(st.UnchangedSince, st.NextOffset)
	if confirmedAt := now.Add(-st.ListAge); confirmed && confirmedAt.After(fl.listConfirmedAt) {
		fl.confirmList(confirmedAt)
	}
	outdated := fl.serverList.Loaded() && st.NextOffset != id.NoOffset && !confirmed || fl.table != nil && fl.table.Version() < st.Version ||
		fl.table != nil && fl.evacuations.NextOffset() < st.EvacuationsUnchangedSince
	startSync := outdated && fl.tryStartSync()
	fl.mutex.Unlock()
	if startSync {
		fl.group.Go(func() { fl.syncFrom(host) })
	}
}

// Status returns how recent the local copies are.
func (fl *Follower) Status() Status {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	st := Status{Version: -1, EvacuationsUnchangedSince: fl.evacuations.UnchangedSince(), UnchangedSince: fl.serverList.UnchangedSince(), NextOffset: fl.serverList.NextOffset(), ListAge: fl.clock.Now().Sub(fl.listConfirmedAt)}
	if fl.table != nil {
		st.Version = fl.table.Version()
	}
	return st
}

// newerTableNotice returns an update that tells the sender of update that its desired state is outdated, or its copy of
// the evacuated zones; it covers no part of the list. It returns false if that is not so, or unless the local host is
// among the first lastReaderRank hosts in the order of readers, so that only a few hosts answer. The caller holds the
// lock.
func (fl *Follower) newerTableNotice(update Update) (Update, bool) {
	newerZones := update.Evacuations != nil && update.Evacuations.NextOffset < fl.evacuations.UnchangedSince()
	if fl.table == nil || fl.table.Version() <= update.Version && !newerZones {
		return Update{}, false
	}
	rank := fl.readerRank()
	return Update{Sender: fl.localHost, Version: fl.table.Version(), From: id.NoOffset, Next: id.NoOffset, Evacuations: fl.evacuations.State()}, rank >= 0 && rank < lastReaderRank
}

// syncFrom requests from another host what the local copies lack, and applies it.
func (fl *Follower) syncFrom(host id.Host) {
	fl.mutex.Lock()
	version := route.Version(-1)
	if fl.table != nil {
		version = fl.table.Version()
	}
	next := fl.serverList.NextOffset()
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

// applySync applies what another host sent. For source see applyTable.
func (fl *Follower) applySync(source string, response SyncResponse) {
	fl.applyEvacuationsFromPeer(source, response.Evacuations)
	if response.CompressedTable != nil {
		fl.applyCompressedTable(source, response.CompressedTable)
	}
	if response.Next == id.NoOffset {
		return
	}
	fl.mutex.Lock()
	now := fl.clock.Now()
	fl.noteEra(now, response.Next)
	var changed []serverlist.Record
	if response.FullList {
		changed = fl.serverList.ApplyFullList(now, response.Next, fl.decodeServers(response.Records), fl.dropsMayBeFromOutage(now))
	} else {
		changed, _ = fl.serverList.Apply(now, response.From, response.Next, fl.decodeServers(response.Records), false)
	}
	if response.Next >= fl.serverList.NextOffset() {
		fl.confirmList(now.Add(-response.ListAge))
	}
	fl.mutex.Unlock()
	fl.logServerChanges(source, changed)
	if len(changed) > 0 {
		fl.onChange()
	}
}

// decodeServers returns the records with their entries decoded. Hosts send entries to each other in the encoding of the
// store.
func (fl *Follower) decodeServers(records []serverlist.Record) []serverlist.Record {
	decoded := slices.Clone(records)
	for ix, rc := range decoded {
		if !rc.Dropped {
			decoded[ix].Decode(fl.store.DecodeServer)
		}
	}
	return decoded
}

// BuildSyncResponse returns what a host lacks that has the desired state with the given version and the list up to the
// offset next. The response contains the full list if the changes from that offset on are not known, and nothing of the
// list while it has never been up to date.
func (fl *Follower) BuildSyncResponse(version route.Version, next id.Offset) SyncResponse {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	response := SyncResponse{From: next, Next: fl.serverList.NextOffset(), Version: -1, ListAge: fl.clock.Now().Sub(fl.listConfirmedAt), Evacuations: fl.evacuations.State()}
	if fl.table != nil {
		response.Version = fl.table.Version()
		if response.Version > version {
			response.CompressedTable = fl.compressedTable
		}
	}
	if fl.listConfirmedAt.IsZero() {
		response.Next = id.NoOffset
		return response
	}
	if records, complete := fl.serverList.ChangesSince(next); complete {
		response.Records = records
	} else {
		response.Records, response.FullList = fl.serverList.Records(), true
	}
	return response
}
