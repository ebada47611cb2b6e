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

// same reports whether two records say the same of a server.
func (rc Record) same(other Record) bool {
	if rc.Dropped != other.Dropped || (rc.Server == nil) != (other.Server == nil) {
		return false
	}
	return rc.Server == nil || *rc.Server == *other.Server
}

// lapseGrace is how long a server whose entry lapsed with an outage of the store may take to be listed again.
const lapseGrace = 2500 * time.Millisecond

type entry struct {
	Record
	// changed is the offset at which the entry last said something else than before.
	changed id.Offset
	// lapsed is set for entries that were dropped around an outage of the store.
	lapsed time.Time
	// last is the server before its entry lapsed.
	last *Server
}

// usable returns the server that an entry lists, or listed until it lapsed a moment ago; nil if there is none.
func (en *entry) usable(now time.Time) *Server {
	switch {
	case en.Server != nil && !en.Dropped:
		return en.Server
	case en.last != nil && now.Sub(en.lapsed) < lapseGrace:
		return en.last
	default:
		return nil
	}
}

// Roster is a host's copy of the list. It is not safe for concurrent use.
type Roster struct {
	entries map[id.BackendServer]*entry
	// next is the offset up to which every record is known, quiet the one from which on none of these changed anything.
	next  id.Offset
	quiet id.Offset
	// begun is the offset at which the list was last read whole: not all that was dropped before is known.
	begun id.Offset
	// listed holds the servers in the order of their ids until something changes.
	listed []Server
}

// New returns a roster that has read nothing.
func New() *Roster {
	return &Roster{entries: map[id.BackendServer]*entry{}, next: id.NoOffset, quiet: id.NoOffset}
}

// Next returns the offset up to which every record is known, or id.NoOffset.
func (rs *Roster) Next() id.Offset { return rs.next }

// UnchangedSince returns the offset from which on no record up to Next changed anything, or id.NoOffset.
func (rs *Roster) UnchangedSince() id.Offset { return rs.quiet }

// ConfirmUnchanged takes the word that no record from one offset up to another changed anything. It reports whether the roster is
// then known to hold every change up to there.
func (rs *Roster) ConfirmUnchanged(quiet, next id.Offset) bool {
	if !rs.Loaded() || quiet > rs.next {
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
		if rc.Offset < rs.begun {
			// The list was read whole after that.
			continue
		}
		if rs.merge(now, rc, outage) {
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
		rs.quiet = max(rs.quiet, rs.next)
	}
}

// ApplyFullList merges a whole listing that was complete at next. Entries that it lacks and that are older were dropped.
func (rs *Roster) ApplyFullList(now time.Time, next id.Offset, records []Record, outage bool) []Record {
	if next < rs.next {
		return nil
	}
	if next > rs.next {
		// What came and went in between is not in the listing.
		rs.begun, rs.quiet = next, max(rs.quiet, next)
	}
	present := map[id.BackendServer]bool{}
	var changed []Record
	for _, rc := range records {
		// A drop in another host's copy may be older than what is known here of the server.
		present[rc.ID] = !rc.Dropped
		if rs.merge(now, rc, outage) {
			changed = append(changed, rc)
		}
	}
	for name, en := range rs.entries {
		if present[name] || en.Dropped || en.Offset >= next {
			continue
		}
		// The entry went before next; a record there may list it again.
		rc := Record{ID: name, Offset: next - 1, Dropped: true}
		if rs.merge(now, rc, outage) {
			changed = append(changed, rc)
		}
	}
	rs.advance(next, len(changed) > 0)
	return changed
}

// ChangesSince returns the newest record of each entry that changed at an offset or later, and true; false if the roster does
// not hold every change since then.
func (rs *Roster) ChangesSince(from id.Offset) ([]Record, bool) {
	if from == id.NoOffset || !rs.Loaded() || from < rs.begun {
		return nil, false
	}
	var records []Record
	for _, en := range rs.entries {
		if en.changed >= from {
			records = append(records, en.Record)
		}
	}
	slices.SortFunc(records, func(left, right Record) int { return strings.Compare(string(left.ID), string(right.ID)) })
	return records, true
}

func (rs *Roster) merge(now time.Time, rc Record, outage bool) bool {
	en, known := rs.entries[rc.ID]
	if !known {
		rs.entries[rc.ID] = &entry{Record: rc, changed: rc.Offset}
		rs.noteChange(rc.Offset)
		return true
	}
	if rc.Offset <= en.Offset {
		return false
	}
	same := rc.same(en.Record)
	if !same {
		en.changed = rc.Offset
		rs.noteChange(rc.Offset)
	}
	rc.DroppedInOutage = rc.Dropped && (rc.DroppedInOutage || outage || en.Dropped && en.DroppedInOutage)
	if rc.Dropped && !en.Dropped && rc.DroppedInOutage && en.Server != nil {
		en.lapsed = now
		en.last = en.Server
	}
	if !rc.Dropped {
		en.lapsed = time.Time{}
		en.last = nil
	}
	en.Record = rc
	return !same
}

// noteChange notes that a record changed something, also one that was told of before those in front of it.
func (rs *Roster) noteChange(at id.Offset) {
	rs.listed = nil
	rs.quiet = max(rs.quiet, at+1)
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
	en, known := rs.entries[server]
	if !known {
		return false
	}
	sv := en.usable(now)
	return sv == nil || sv.Draining
}

// EndGraces forgets the servers whose entries lapsed and were not listed again in time, and reports whether there were any.
func (rs *Roster) EndGraces(now time.Time) bool {
	expired := false
	for _, en := range rs.entries {
		if en.last != nil && en.usable(now) == nil {
			en.last = nil
			rs.listed = nil
			expired = true
		}
	}
	return expired
}

// Servers returns the servers that are listed, draining ones included, in the order of their ids. Those that lapsed are
// among them until Expire is called after their grace. The result is not to be changed.
func (rs *Roster) Servers(now time.Time) []Server {
	if rs.listed != nil {
		return rs.listed
	}
	servers := make([]Server, 0, len(rs.entries))
	for _, en := range rs.entries {
		if sv := en.usable(now); sv != nil {
			servers = append(servers, *sv)
		}
	}
	slices.SortFunc(servers, func(left, right Server) int { return strings.Compare(string(left.ID), string(right.ID)) })
	rs.listed = servers
	return servers
}
