// Package roster keeps the platform's list of backend servers as records with offsets, so that copies on
// different hosts merge to the same list in any order.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Server is a backend server or model engine that the platform lists.
type Server struct {
	ID               id.BackendServer
	Service          id.Service
	Address          string
	AvailabilityZone id.AvailabilityZone
	// Slots is the number of requests that the server works on at once.
	Slots int
	// Draining servers finish what they run and get nothing new.
	Draining bool
	// StartedAtMillis is when the server started, in Unix milliseconds; another value under the same id is another server.
	StartedAtMillis int64
}

// Record is the newest word on one id.
type Record struct {
	ID     id.BackendServer
	Offset id.Offset
	// Dropped says that the entry was removed.
	Dropped bool
	// Server is nil for an entry that names no usable server.
	Server *Server
	// Body is the entry as the platform encodes it.
	Body []byte
	// DroppedInOutage says that the entry was dropped around an outage of the platform's store.
	DroppedInOutage bool
}

// sameState reports whether two records say the same of a server.
func (rc Record) sameState(other Record) bool {
	if rc.Dropped != other.Dropped || (rc.Server == nil) != (other.Server == nil) {
		return false
	}
	return rc.Server == nil || *rc.Server == *other.Server
}

// relistGrace is how long a server whose entry lapsed with an outage of the store may take to be listed again.
const relistGrace = 2500 * time.Millisecond

type entry struct {
	Record
	// changedAt is the offset at which the entry last said something else than before.
	changedAt id.Offset
	// graceStart is set for entries that were dropped around an outage of the store.
	graceStart time.Time
	// graceServer is the server before its entry lapsed.
	graceServer *Server
}

// usableServer returns the server that an entry lists, or listed until it lapsed a moment ago; nil if there is none.
func (en *entry) usableServer(now time.Time) *Server {
	switch {
	case en.Server != nil && !en.Dropped:
		return en.Server
	case en.graceServer != nil && now.Sub(en.graceStart) < relistGrace:
		return en.graceServer
	default:
		return nil
	}
}

// Roster is a host's copy of the list. It is not safe for concurrent use.
type Roster struct {
	entries map[id.BackendServer]*entry
	// next is the offset up to which every record is known, quiet the one from which on none of these changed anything.
	next           id.Offset
	unchangedSince id.Offset
	// fullListAt is the offset at which the list was last read whole: not all that was dropped before is known.
	fullListAt id.Offset
	// cachedServers holds the servers in the order of their ids until something changes.
	cachedServers []Server
}

// New returns a roster that has read nothing.
func New() *Roster {
	return &Roster{entries: map[id.BackendServer]*entry{}, next: id.NoOffset, unchangedSince: id.NoOffset}
}

// Next returns the offset up to which every record is known, or id.NoOffset.
func (rs *Roster) Next() id.Offset { return rs.next }

// UnchangedSince returns the offset from which on no record up to Next changed anything, or id.NoOffset.
func (rs *Roster) UnchangedSince() id.Offset { return rs.unchangedSince }

// ConfirmUnchanged takes the word that no record from one offset up to another changed anything. It reports whether the roster is
// then known to hold every change up to there.
func (rs *Roster) ConfirmUnchanged(unchangedSince, next id.Offset) bool {
	if !rs.Loaded() || unchangedSince > rs.next {
		return false
	}
	rs.next = max(rs.next, next)
	return true
}

// Loaded reports whether the whole list has been read once.
func (rs *Roster) Loaded() bool { return rs.next != id.NoOffset }

// Apply merges records that follow from an offset on, up to next, and returns those that changed something.
// Without a gap before them the roster is then complete up to next; it reports whether that is so.
// After an outage of the store, dropped entries count as lapsed: their servers stay usable for a grace period.
func (rs *Roster) Apply(now time.Time, from, next id.Offset, records []Record, outage bool) ([]Record, bool) {
	var changed []Record
	for _, rc := range records {
		if rc.Offset < rs.fullListAt {
			// The list was read whole after that.
			continue
		}
		if rs.mergeRecord(now, rc, outage) {
			changed = append(changed, rc)
		}
	}
	if !rs.Loaded() || from > rs.next {
		return changed, false
	}
	rs.advance(next, len(changed) > 0)
	return changed, true
}

// advance notes that every record up to an offset is known.
func (rs *Roster) advance(next id.Offset, changed bool) {
	rs.next = max(rs.next, next)
	if changed {
		rs.unchangedSince = max(rs.unchangedSince, rs.next)
	}
}

// ApplyFullList merges a whole listing that was complete at next. Entries that it lacks and that are older were dropped.
func (rs *Roster) ApplyFullList(now time.Time, next id.Offset, records []Record, outage bool) []Record {
	if next < rs.next {
		return nil
	}
	if next > rs.next {
		// What came and went in between is not in the listing.
		rs.fullListAt, rs.unchangedSince = next, max(rs.unchangedSince, next)
	}
	present := map[id.BackendServer]bool{}
	var changed []Record
	for _, rc := range records {
		// A drop in another host's copy may be older than what is known here of the server.
		present[rc.ID] = !rc.Dropped
		if rs.mergeRecord(now, rc, outage) {
			changed = append(changed, rc)
		}
	}
	for name, en := range rs.entries {
		if present[name] || en.Dropped || en.Offset >= next {
			continue
		}
		// The entry went before next; a record there may list it again.
		rc := Record{ID: name, Offset: next - 1, Dropped: true}
		if rs.mergeRecord(now, rc, outage) {
			changed = append(changed, rc)
		}
	}
	rs.advance(next, len(changed) > 0)
	return changed
}

// ChangesSince returns the newest record of each entry that changed at an offset or later, and true; false if the roster does
// not hold every change since then.
func (rs *Roster) ChangesSince(from id.Offset) ([]Record, bool) {
	if from == id.NoOffset || !rs.Loaded() || from < rs.fullListAt {
		return nil, false
	}
	var records []Record
	for _, en := range rs.entries {
		if en.changedAt >= from {
			records = append(records, en.Record)
		}
	}
	slices.SortFunc(records, func(left, right Record) int { return strings.Compare(string(left.ID), string(right.ID)) })
	return records, true
}

func (rs *Roster) mergeRecord(now time.Time, rc Record, outage bool) bool {
	en, found := rs.entries[rc.ID]
	if !found {
		rs.entries[rc.ID] = &entry{Record: rc, changedAt: rc.Offset}
		rs.noteChangeAt(rc.Offset)
		return true
	}
	if rc.Offset <= en.Offset {
		return false
	}
	unchanged := rc.sameState(en.Record)
	if !unchanged {
		en.changedAt = rc.Offset
		rs.noteChangeAt(rc.Offset)
	}
	rc.DroppedInOutage = rc.Dropped && (rc.DroppedInOutage || outage || en.Dropped && en.DroppedInOutage)
	if rc.Dropped && !en.Dropped && rc.DroppedInOutage && en.Server != nil {
		en.graceStart = now
		en.graceServer = en.Server
	}
	if !rc.Dropped {
		en.graceStart = time.Time{}
		en.graceServer = nil
	}
	en.Record = rc
	return !unchanged
}

// noteChangeAt notes that a record changed something, also one that was told of before those in front of it.
func (rs *Roster) noteChangeAt(offset id.Offset) {
	rs.cachedServers = nil
	rs.unchangedSince = max(rs.unchangedSince, offset+1)
}

// Records returns every record, dropped ones included, in the order of the ids.
func (rs *Roster) Records() []Record {
	records := make([]Record, 0, len(rs.entries))
	for _, en := range rs.entries {
		records = append(records, en.Record)
	}
	slices.SortFunc(records, func(left, right Record) int { return strings.Compare(string(left.ID), string(right.ID)) })
	return records
}

// Leaving reports whether a server is listed as draining or was dropped. One that was never listed is not.
func (rs *Roster) Leaving(now time.Time, server id.BackendServer) bool {
	en, found := rs.entries[server]
	if !found {
		return false
	}
	sv := en.usableServer(now)
	return sv == nil || sv.Draining
}

// EndGraces forgets the servers whose entries lapsed and were not listed again in time, and reports whether there were any.
func (rs *Roster) EndGraces(now time.Time) bool {
	ended := false
	for _, en := range rs.entries {
		if en.graceServer != nil && en.usableServer(now) == nil {
			en.graceServer = nil
			rs.cachedServers = nil
			ended = true
		}
	}
	return ended
}

// Servers returns the servers that are listed, draining ones included, in the order of their ids. Those that lapsed are
// among them until Expire is called after their grace. The result is not to be changed.
func (rs *Roster) Servers(now time.Time) []Server {
	if rs.cachedServers != nil {
		return rs.cachedServers
	}
	servers := make([]Server, 0, len(rs.entries))
	for _, en := range rs.entries {
		if sv := en.usableServer(now); sv != nil {
			servers = append(servers, *sv)
		}
	}
	slices.SortFunc(servers, func(left, right Server) int { return strings.Compare(string(left.ID), string(right.ID)) })
	rs.cachedServers = servers
	return servers
}
