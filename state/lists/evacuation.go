package lists

import (
	"fmt"
	"slices"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Evacuations stands in verdicts for the list to which evacuations of availability zones belong. Operators do not edit it
// as a whole, so that Names leaves it out.
const Evacuations Name = "Evacuations"

// maxEvacuatedZones is the largest number of availability zones that are evacuated at a time.
const maxEvacuatedZones = 256

// Evacuation evacuates an availability zone, or ends that: its engines and backend servers get no new requests while it is
// evacuated. Unlike an Edit, it applies whatever was decided before.
type Evacuation struct {
	Zone id.AvailabilityZone
	// Ended is set if the evacuation of the zone ends.
	Ended bool
	// Token identifies the record, so that one that is appended to the log several times is applied only once.
	Token string
	// Operator names the person who published the record.
	Operator string
}

// Check returns an error that says why the record is not valid, or nil.
func (ev Evacuation) Check() error {
	if ev.Zone == "" || len(ev.Zone) > maxNameLength {
		return fmt.Errorf("availability zone %q: want a name of 1 to %d bytes", string(ev.Zone), maxNameLength)
	}
	return nil
}

// applyEvacuation applies an evacuation record and stores the verdict on it. A record that changes nothing is accepted too,
// but makes no new revision.
func (rp *Replica) applyEvacuation(offset id.Offset, ev Evacuation) {
	vd := Verdict{Offset: offset, Token: ev.Token, List: Evacuations, Operator: ev.Operator, Winner: id.NoOffset}
	if _, found := rp.Verdict(ev.Token); found && ev.Token != "" {
		return
	}
	zones := withoutZone(rp.lists.EvacuatedZones, ev.Zone)
	if !ev.Ended {
		zones = append(zones, ev.Zone)
		slices.Sort(zones)
	}
	switch err := ev.Check(); {
	case err != nil:
		vd.Reason = err.Error()
	case len(zones) > maxEvacuatedZones:
		vd.Reason = fmt.Sprintf("%d availability zones are evacuated, which is the most", maxEvacuatedZones)
	default:
		vd.Accepted = true
		rp.setEvacuatedZones(offset, zones)
	}
	rp.addVerdict(vd)
}

// withoutZone returns a copy of zones without the given one.
func withoutZone(zones []id.AvailabilityZone, removed id.AvailabilityZone) []id.AvailabilityZone {
	return slices.DeleteFunc(slices.Clone(zones), func(zone id.AvailabilityZone) bool { return zone == removed })
}

// setEvacuatedZones replaces the evacuated zones by those of the record at an offset.
func (rp *Replica) setEvacuatedZones(offset id.Offset, zones []id.AvailabilityZone) {
	if slices.Equal(zones, rp.lists.EvacuatedZones) {
		return
	}
	changed := *rp.lists
	changed.EvacuatedZones, changed.Revision = zones, offset
	rp.lists = &changed
}
