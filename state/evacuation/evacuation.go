// Package evacuation keeps a host's copy of the availability zones that the operator has evacuated. The operator's
// records form a log with offsets. A copy that is complete up to a later offset replaces an older one as a whole, so that
// hosts agree in whatever order they receive copies.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// MaxZones is the largest number of evacuated zones in a copy. Further ones are ignored.
const MaxZones = 256

// RestoredHold is how long an evacuated zone stays evacuated that is missing after the store was restored from an older
// copy, because the operator may write its record again.
const RestoredHold = 6 * time.Second

// Record says that a zone is evacuated, or no longer is, from an offset of the log on.
type Record struct {
	Zone   id.AvailabilityZone
	Offset id.Offset
	// Ended is set if the record ends the evacuation.
	Ended bool
}

// State is a copy as hosts send it to each other.
type State struct {
	// UnchangedSince and NextOffset bound the newest offsets that changed nothing, NextOffset excluded. All records before
	// NextOffset are taken into account.
	UnchangedSince id.Offset
	NextOffset     id.Offset
	// Zones holds the newest record of each evacuated zone in the order of zones.
	Zones []Record
}

// Set is a host's copy. It is not safe for concurrent use.
type Set struct {
	offsets        map[id.AvailabilityZone]id.Offset
	unchangedSince id.Offset
	nextOffset     id.Offset
	// heldUntil holds the zones that are evacuated only because of what was known before the store was restored, and when
	// that ends.
	heldUntil map[id.AvailabilityZone]time.Time
}

// New returns a copy that knows nothing yet.
func New() *Set {
	return &Set{offsets: map[id.AvailabilityZone]id.Offset{}, nextOffset: id.NoOffset, heldUntil: map[id.AvailabilityZone]time.Time{}}
}

// Loaded reports whether the copy is complete up to some offset.
func (st *Set) Loaded() bool { return st.nextOffset != id.NoOffset }

// NextOffset returns the offset before which the copy has all records, or id.NoOffset if it knows nothing yet.
func (st *Set) NextOffset() id.Offset { return st.nextOffset }

// UnchangedSince returns an offset such that no record from it to NextOffset changed the copy.
func (st *Set) UnchangedSince() id.Offset { return st.unchangedSince }

// State returns the copy as it is sent to other hosts, or nil if it knows nothing yet. It leaves out zones that are only
// held.
func (st *Set) State() *State {
	if !st.Loaded() {
		return nil
	}
	state := &State{UnchangedSince: st.unchangedSince, NextOffset: st.nextOffset}
	for _, zone := range slices.Sorted(maps.Keys(st.offsets)) {
		state.Zones = append(state.Zones, Record{Zone: zone, Offset: st.offsets[zone]})
	}
	return state
}

// Zones returns the evacuated zones in order, including held ones.
func (st *Set) Zones() []id.AvailabilityZone {
	zones := slices.Collect(maps.Keys(st.offsets))
	zones = slices.AppendSeq(zones, maps.Keys(st.heldUntil))
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Apply applies records at the offsets in [from, next), which must be all of this range, and returns those that evacuated
// a zone or ended that. It ignores them if the copy lacks records before from.
func (st *Set) Apply(from, next id.Offset, records []Record) []Record {
	if !st.Loaded() || from > st.nextOffset || next < st.nextOffset || from.Era() != st.nextOffset.Era() {
		return nil
	}
	var changed []Record
	for _, rc := range slices.SortedFunc(slices.Values(records), compareOffsets) {
		if rc.Offset >= st.nextOffset && st.applyRecord(rc) {
			changed = append(changed, rc)
			st.unchangedSince = max(st.unchangedSince, rc.Offset+1)
		}
	}
	st.nextOffset = max(st.nextOffset, next)
	return changed
}

func compareOffsets(left, right Record) int { return cmp.Compare(left.Offset, right.Offset) }

// applyRecord applies one record and reports whether it evacuated the zone or ended that.
func (st *Set) applyRecord(rc Record) bool {
	_, evacuated := st.offsets[rc.Zone]
	_, held := st.heldUntil[rc.Zone]
	delete(st.heldUntil, rc.Zone)
	switch {
	case rc.Ended:
		delete(st.offsets, rc.Zone)
	case evacuated || len(st.offsets) < MaxZones:
		st.offsets[rc.Zone] = rc.Offset
	default:
		return false
	}
	return rc.Ended == (evacuated || held)
}

// ApplyFull replaces the copy by the newest records of all zones as they were at the offset next, and returns what
// changed. An older state than the copy is ignored.
func (st *Set) ApplyFull(now time.Time, next id.Offset, records []Record) []Record {
	if st.Loaded() && next <= st.nextOffset {
		return nil
	}
	// The newest records don't show what was evacuated and ended again in between.
	return st.replace(now, State{UnchangedSince: next, NextOffset: next, Zones: records})
}

// ApplyState replaces the copy by the one of another host if that is newer, and returns what changed.
func (st *Set) ApplyState(now time.Time, state State) []Record {
	if state.NextOffset < 0 || st.Loaded() && state.NextOffset <= st.nextOffset {
		return nil
	}
	state.UnchangedSince = max(state.UnchangedSince, st.unchangedSince)
	return st.replace(now, state)
}

// replace replaces the copy. Zones that are missing after a restore of the store are held.
func (st *Set) replace(now time.Time, state State) []Record {
	restored := st.Loaded() && state.NextOffset.Era() > st.nextOffset.Era()
	previous := st.offsets
	st.offsets = map[id.AvailabilityZone]id.Offset{}
	st.unchangedSince, st.nextOffset = state.UnchangedSince, state.NextOffset
	var changed []Record
	for _, rc := range slices.SortedFunc(slices.Values(state.Zones), compareOffsets) {
		if _, listed := st.offsets[rc.Zone]; rc.Ended || !listed && len(st.offsets) >= MaxZones {
			continue
		}
		st.offsets[rc.Zone] = rc.Offset
		_, evacuated := previous[rc.Zone]
		_, held := st.heldUntil[rc.Zone]
		delete(st.heldUntil, rc.Zone)
		if !evacuated && !held {
			changed = append(changed, rc)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(previous)) {
		if _, evacuated := st.offsets[zone]; evacuated {
			continue
		}
		if restored {
			st.heldUntil[zone] = now.Add(RestoredHold)
			continue
		}
		changed = append(changed, Record{Zone: zone, Offset: state.NextOffset, Ended: true})
	}
	return changed
}

// Expire ends the evacuation of held zones whose time has passed, and returns what changed.
func (st *Set) Expire(now time.Time) []Record {
	var changed []Record
	for _, zone := range slices.Sorted(maps.Keys(st.heldUntil)) {
		if !now.Before(st.heldUntil[zone]) {
			delete(st.heldUntil, zone)
			changed = append(changed, Record{Zone: zone, Offset: st.nextOffset, Ended: true})
		}
	}
	return changed
}
