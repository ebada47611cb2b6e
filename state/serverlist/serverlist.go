// Package serverlist keeps a host's copy of the platform's list of backend servers. The list is a log of records with
// offsets. Each record replaces earlier ones of the same server, so that hosts which merge the same records in any
// order get the same list.
package serverlist

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Server is a backend server or an engine that the platform lists.
type Server struct {
	ID               id.BackendServer
	Service          id.Service
	Address          string
	AvailabilityZone id.AvailabilityZone
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Draining is set while the server finishes the requests that it has and must get no new ones.
	Draining bool
	// Evacuated is set if the operator has evacuated the server's availability zone: the server must get no new requests
	// until that ends. The list itself never sets it.
	Evacuated bool
	// StartedAtMillis is when the server started, in Unix milliseconds. A different value under the same id means that
	// another server process has taken over the id.
	StartedAtMillis int64
	// ColdRemaining is how much longer the server was to be cold when it wrote the entry.
	ColdRemaining time.Duration
	// ColdUntil is when the server is no longer cold according to the entry, by the clock of this host; zero if the entry
	// does not say that it is cold. Only the result of List.Servers has it.
	ColdUntil time.Time
}

// TakesNewWork reports whether the server may get new requests: it is neither draining nor evacuated.
func (sv Server) TakesNewWork() bool { return !sv.Draining && !sv.Evacuated }

// Record is an entry of the list as it was set or removed at an offset.
type Record struct {
	ID     id.BackendServer
	Offset id.Offset
	// Dropped is set if the record removes the entry.
	Dropped bool
	// Server is the decoded entry; nil if the entry does not describe a usable server.
	Server *Server
	// Problem says why the entry does not describe a usable server; empty if it does or is removed.
	Problem string
	// Body is the entry in the platform's encoding; nil if it does not describe a usable server. UnusableBytes is the length
	// of such an entry in bytes.
	Body          []byte
	UnusableBytes int
	// DroppedInOutage is set if the entry was removed during an outage of the platform's store or shortly after one. It
	// may then have expired only because of the outage, while the server still runs.
	DroppedInOutage bool
}

// Decode sets the server that the body of the record describes. If it describes no usable one, Decode sets why, and removes
// the body: other writers may leave entries of any size.
func (rc *Record) Decode(decode func(server id.BackendServer, body []byte) (*Server, error)) {
	server, err := decode(rc.ID, rc.Body)
	if err != nil {
		rc.Server, rc.Problem = nil, err.Error()
		rc.Body, rc.UnusableBytes = nil, len(rc.Body)
		return
	}
	rc.Server, rc.Problem = server, ""
}

// startedAtMillis returns the start time of the server that the record describes; zero if it describes none.
func (rc Record) startedAtMillis() int64 {
	if rc.Server == nil {
		return 0
	}
	return rc.Server.StartedAtMillis
}

// sameState reports whether a record has the same content as an earlier one of the same server, whatever their offsets.
// The time for which a server remains cold falls with each entry that it writes, which changes nothing until it ends.
func (rc Record) sameState(earlier Record) bool {
	if rc.Dropped != earlier.Dropped || (rc.Server == nil) != (earlier.Server == nil) {
		return false
	}
	if rc.Server == nil {
		return true
	}
	server, earlierServer := *rc.Server, *earlier.Server
	if server.ColdRemaining > 0 && server.ColdRemaining < earlierServer.ColdRemaining {
		server.ColdRemaining = earlierServer.ColdRemaining
	} else if server.ColdRemaining > 0 {
		return false
	}
	return server == earlierServer
}

// restoredLeavingHold is how long a server that was known to leave counts as leaving although a restored store lists it
// as ready: the time of three heartbeats, after which the store drops a server that is gone, and some time to read it.
const restoredLeavingHold = 6 * time.Second

// RelistGrace is how long after an outage of the store a server stays usable whose entry was dropped in the outage or
// since. A server that lives is listed again within two seconds.
const RelistGrace = 2500 * time.Millisecond

// entry is the newest record of a server.
type entry struct {
	Record
	// changeOffset is the offset of the last record that changed the content of the entry.
	changeOffset id.Offset
	// graceStart is when the outage of the store ended in which the entry was dropped, and graceServer is the server that it
	// described. They are zero for other entries.
	graceStart  time.Time
	graceServer *Server
	// startedAtMillis is the start time of the server that the entry last described.
	startedAtMillis int64
	// drained is set once a record has shown the server as draining; drainedStart is the newest start time for which one has.
	drained      bool
	drainedStart int64
	// leavingUntil is when the server no longer counts as leaving because of what was known before the store was restored.
	// It is zero for other entries.
	leavingUntil time.Time
	// coldUntil is when the server is no longer cold; zero if the record does not say that it is.
	coldUntil time.Time
}

// setColdUntil takes the remaining time of the newest record, which was written before now. A record that drops the entry
// says nothing of it.
func (en *entry) setColdUntil(now time.Time) {
	switch {
	case en.Dropped || en.Server == nil:
	case en.Server.ColdRemaining > 0:
		en.coldUntil = now.Add(en.Server.ColdRemaining)
	default:
		en.coldUntil = time.Time{}
	}
}

// noteDraining records that a record shows a server as draining, also if a newer record is known.
func (en *entry) noteDraining(rc Record) {
	if rc.Server == nil || !rc.Server.Draining || en.drained && rc.Server.StartedAtMillis < en.drainedStart {
		return
	}
	en.drained, en.drainedStart = true, rc.Server.StartedAtMillis
}

// knownToLeave reports whether the entry says that its server is leaving or gone, other than by expiring in an outage of
// the store.
func (en *entry) knownToLeave() bool {
	return en.Dropped && !en.DroppedInOutage || en.Server != nil && en.Server.Draining
}

// usableServer returns the server that the entry lists, or the server within its grace period if the entry was dropped
// in an outage. It returns nil if there is none.
func (en *entry) usableServer(now time.Time) *Server {
	switch {
	case en.Server != nil && !en.Dropped && now.Before(en.leavingUntil):
		leaving := *en.Server
		leaving.Draining = true
		return &leaving
	case en.Server != nil && !en.Dropped:
		return en.Server
	case en.graceServer != nil && now.Sub(en.graceStart) < RelistGrace:
		return en.graceServer
	default:
		return nil
	}
}

// List is a copy of the list of backend servers. It is not safe for concurrent use.
type List struct {
	entries map[id.BackendServer]*entry
	// nextOffset is the offset before which the copy has all records. No record from unchangedSince to nextOffset changed
	// the list.
	nextOffset     id.Offset
	unchangedSince id.Offset
	// fullListOffset is the offset at which the full list was last read. A full list has no records of entries dropped
	// before, so the copy does not know all changes before that offset.
	fullListOffset id.Offset
	// outageEndedAt is when the last known outage of the store ended.
	outageEndedAt time.Time
	// cachedServers is the result of Servers; nil after a change.
	cachedServers []Server
}

// New returns an empty copy, which needs the full list first.
func New() *List {
	return &List{entries: map[id.BackendServer]*entry{}, nextOffset: id.NoOffset, unchangedSince: id.NoOffset}
}

// NextOffset returns the offset before which the copy has all records, or id.NoOffset if it has not received the full
// list yet.
func (ls *List) NextOffset() id.Offset { return ls.nextOffset }

// RecordOutageEnd records that an outage of the store ended, or that it came back from an older copy.
func (ls *List) RecordOutageEnd(endedAt time.Time) { ls.outageEndedAt = endedAt }

// UnchangedSince returns an offset such that no record from it to Next changed the list. It is id.NoOffset in a new
// copy, and has no meaning before the full list has been received.
func (ls *List) UnchangedSince() id.Offset { return ls.unchangedSince }

// ConfirmUnchanged records that no record from unchangedSince to next changed the list, as another host has found. It
// returns false if the copy may still lack changes before next.
func (ls *List) ConfirmUnchanged(unchangedSince, next id.Offset) bool {
	if !ls.Loaded() || unchangedSince > ls.nextOffset {
		return false
	}
	ls.nextOffset = max(ls.nextOffset, next)
	return true
}

// Loaded reports whether the copy has received the full list.
func (ls *List) Loaded() bool { return ls.nextOffset != id.NoOffset }

// Apply merges records and returns those that changed the list. The records must include all changes at the offsets in
// [from, next). Apply also reports whether the copy is now complete up to next. It is not if the copy lacks records
// before from, but the records are merged nevertheless.
//
// If outage is set, entries dropped by the records may have expired because of an outage of the store. Their servers
// stay usable for a grace period.
func (ls *List) Apply(now time.Time, from, next id.Offset, records []Record, outage bool) ([]Record, bool) {
	var changed []Record
	for _, rc := range records {
		if rc.Offset < ls.fullListOffset {
			// The full list that was read later covers this record.
			continue
		}
		if ls.mergeRecord(now, rc, outage) {
			changed = append(changed, rc)
		}
	}
	if !ls.Loaded() || from > ls.nextOffset {
		return changed, false
	}
	ls.advance(next, len(changed) > 0)
	return changed, true
}

// advance records that the copy is complete up to next.
func (ls *List) advance(next id.Offset, changed bool) {
	ls.nextOffset = max(ls.nextOffset, next)
	if changed {
		ls.unchangedSince = max(ls.unchangedSince, ls.nextOffset)
	}
}

// ApplyFullList merges the full list as it was at the offset next and returns the records that changed the copy.
// Entries that are missing in the full list and older than next have been dropped. A full list older than the copy is
// ignored. For outage see Apply; a full list of a later era counts as read after an outage, because servers that listed
// themselves since the copy from which the store was restored have to do it again.
func (ls *List) ApplyFullList(now time.Time, next id.Offset, records []Record, outage bool) []Record {
	if next < ls.nextOffset {
		return nil
	}
	outage = outage || ls.Loaded() && next.Era() > ls.nextOffset.Era()
	if next > ls.nextOffset {
		// The full list does not show servers that were listed and dropped in between.
		ls.fullListOffset, ls.unchangedSince = next, max(ls.unchangedSince, next)
	}
	present := map[id.BackendServer]bool{}
	var changed []Record
	for _, rc := range records {
		// A dropped entry counts as missing: the drop in another host's copy may be older than the local entry.
		present[rc.ID] = !rc.Dropped
		if ls.mergeRecord(now, rc, outage) {
			changed = append(changed, rc)
		}
	}
	for name, en := range ls.entries {
		if present[name] || en.Dropped || en.Offset >= next {
			continue
		}
		// The entry was dropped before next. With the offset before next, a record at next can list it again.
		rc := Record{ID: name, Offset: next - 1, Dropped: true}
		if ls.mergeRecord(now, rc, outage) {
			changed = append(changed, rc)
		}
	}
	ls.advance(next, len(changed) > 0)
	return changed
}

// ChangesSince returns the newest record of each entry whose content changed at the offset from or later, in the order
// of ids. It returns false if the copy does not know all changes since then.
func (ls *List) ChangesSince(from id.Offset) ([]Record, bool) {
	if from == id.NoOffset || !ls.Loaded() || from < ls.fullListOffset {
		return nil, false
	}
	var records []Record
	for _, en := range ls.entries {
		if en.changeOffset >= from {
			records = append(records, en.Record)
		}
	}
	slices.SortFunc(records, func(left, right Record) int { return strings.Compare(string(left.ID), string(right.ID)) })
	return records, true
}

// mergeRecord replaces the entry of a server if the record is newer, and reports whether that changed the content of
// the entry.
func (ls *List) mergeRecord(now time.Time, rc Record, outage bool) bool {
	en, found := ls.entries[rc.ID]
	if !found {
		en = &entry{Record: rc, changeOffset: rc.Offset, startedAtMillis: rc.startedAtMillis()}
		en.setColdUntil(now)
		en.noteDraining(rc)
		ls.entries[rc.ID] = en
		ls.noteChangeAt(rc.Offset)
		return true
	}
	en.noteDraining(rc)
	if rc.Offset <= en.Offset {
		return false
	}
	unchanged := rc.sameState(en.Record)
	if !unchanged {
		en.changeOffset = rc.Offset
		ls.noteChangeAt(rc.Offset)
	}
	rc.DroppedInOutage = rc.Dropped && (rc.DroppedInOutage || outage || en.Dropped && en.DroppedInOutage)
	if rc.Dropped && !en.Dropped && rc.DroppedInOutage && en.Server != nil {
		en.graceStart = now
		if now.Sub(ls.outageEndedAt) < RelistGrace {
			en.graceStart = ls.outageEndedAt
		}
		en.graceServer = en.Server
	}
	if !rc.Dropped {
		en.graceStart = time.Time{}
		en.graceServer = nil
	}
	switch {
	case rc.Server == nil || rc.Server.Draining || rc.Server.StartedAtMillis != en.startedAtMillis:
		en.leavingUntil = time.Time{}
	case rc.Offset.Era() > en.Offset.Era() && en.knownToLeave():
		// The copy from which the store was restored is older than what is known.
		en.leavingUntil = now.Add(restoredLeavingHold)
	}
	if rc.Server != nil {
		en.startedAtMillis = rc.Server.StartedAtMillis
	}
	en.Record = rc
	en.setColdUntil(now)
	return !unchanged
}

// noteChangeAt records that the record at offset changed the list. The offset may be higher than ls.nextOffset if
// records before it are missing.
func (ls *List) noteChangeAt(offset id.Offset) {
	ls.cachedServers = nil
	ls.unchangedSince = max(ls.unchangedSince, offset+1)
}

// Records returns the newest record of each server in the order of ids, including dropped entries.
func (ls *List) Records() []Record {
	records := make([]Record, 0, len(ls.entries))
	for _, en := range ls.entries {
		records = append(records, en.Record)
	}
	slices.SortFunc(records, func(left, right Record) int { return strings.Compare(string(left.ID), string(right.ID)) })
	return records
}

// Leaving reports whether a server is draining or its entry was dropped and has no grace period left. It returns false
// for a server that was never listed.
func (ls *List) Leaving(now time.Time, server id.BackendServer) bool {
	en, found := ls.entries[server]
	if !found {
		return false
	}
	sv := en.usableServer(now)
	return sv == nil || sv.Draining
}

// ShownAsDraining reports whether the list shows the given start of a server as draining, or showed it so before it dropped
// or replaced its entry.
func (ls *List) ShownAsDraining(now time.Time, server Server) bool {
	en, found := ls.entries[server.ID]
	if !found {
		return false
	}
	if listed := en.usableServer(now); listed != nil && listed.StartedAtMillis == server.StartedAtMillis {
		return listed.Draining
	}
	return en.drained && en.drainedStart == server.StartedAtMillis
}

// ExpireGracePeriods removes the servers that were not listed again within their grace period, and admits those that
// counted as leaving since a restore of the store. It reports whether there were any.
func (ls *List) ExpireGracePeriods(now time.Time) bool {
	ended := false
	for _, en := range ls.entries {
		if en.graceServer != nil && en.usableServer(now) == nil {
			en.graceServer = nil
			ls.cachedServers = nil
			ended = true
		}
		if !en.leavingUntil.IsZero() && !now.Before(en.leavingUntil) {
			en.leavingUntil = time.Time{}
			ls.cachedServers = nil
			ended = true
		}
	}
	return ended
}

// Servers returns the usable servers in the order of ids, including draining ones. The result must not be changed. It
// is cached: a server whose grace period has ended may still be included until ExpireGracePeriods is called or the list
// changes.
func (ls *List) Servers(now time.Time) []Server {
	if ls.cachedServers != nil {
		return ls.cachedServers
	}
	servers := make([]Server, 0, len(ls.entries))
	for _, en := range ls.entries {
		if sv := en.usableServer(now); sv != nil {
			listed := *sv
			listed.ColdUntil = en.coldUntil
			servers = append(servers, listed)
		}
	}
	slices.SortFunc(servers, func(left, right Server) int { return strings.Compare(string(left.ID), string(right.ID)) })
	ls.cachedServers = servers
	return servers
}
