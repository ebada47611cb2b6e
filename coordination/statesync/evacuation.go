package statesync

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/evacuation"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// EvacuatedZones returns the availability zones that the operator has evacuated, in order.
func (fl *Follower) EvacuatedZones() []id.AvailabilityZone {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	return fl.evacuations.Zones()
}

// applyEvacuationsFromStore applies what a read of the desired state from an offset on brought about evacuated zones, and
// sends a change to other hosts. Like a new desired state, a change is sent by the first in the order of readers, and by
// the next ones in turn if no host has.
func (fl *Follower) applyEvacuationsFromStore(from id.Offset, read TableRead) {
	if read.Expired {
		return
	}
	fl.mutex.Lock()
	var changed []evacuation.Record
	if from == id.NoOffset {
		changed = fl.evacuations.ApplyFull(fl.clock.Now(), read.Next, read.Evacuations)
	} else {
		changed = fl.evacuations.Apply(from, read.Next, read.Evacuations)
	}
	changedAt := fl.evacuations.UnchangedSince()
	fl.mutex.Unlock()
	if len(changed) == 0 {
		return
	}
	fl.logEvacuations("store", changed)
	fl.onChange()
	fl.announceInTurn(func() { fl.announceEvacuations(changedAt) })
}

// announceEvacuations sends the evacuated zones to other hosts, unless some host has sent the change at an offset already.
func (fl *Follower) announceEvacuations(changedAt id.Offset) {
	fl.mutex.Lock()
	announced := fl.announcedEvacuations >= changedAt
	fl.announcedEvacuations = max(fl.announcedEvacuations, changedAt)
	update := Update{Sender: fl.localHost, From: id.NoOffset, Next: id.NoOffset, Evacuations: fl.evacuations.State()}
	if fl.table != nil {
		update.Version = fl.table.Version()
	}
	fl.mutex.Unlock()
	if !announced {
		fl.broadcast(update, true)
	}
}

// applyPeerEvacuations takes another host's copy of the evacuated zones, if there is one, and returns what changed. The
// caller holds the lock.
func (fl *Follower) applyPeerEvacuations(now time.Time, state *evacuation.State) []evacuation.Record {
	if state == nil {
		return nil
	}
	return fl.evacuations.ApplyState(now, *state)
}

// applyEvacuationsFromPeer takes another host's copy of the evacuated zones, if there is one. For source see applyTable.
func (fl *Follower) applyEvacuationsFromPeer(source string, state *evacuation.State) {
	fl.mutex.Lock()
	changed := fl.applyPeerEvacuations(fl.clock.Now(), state)
	fl.mutex.Unlock()
	fl.logEvacuations(source, changed)
	if len(changed) > 0 {
		fl.onChange()
	}
}

func (fl *Follower) logEvacuations(source string, changed []evacuation.Record) {
	for _, rc := range changed {
		message := "availability zone evacuated"
		if rc.Ended {
			message = "evacuation of an availability zone ended"
		}
		fl.logger.Info(message, "evacuated_zone", string(rc.Zone), "source", source, "offset", rc.Offset.Position(), "era", int64(rc.Offset.Era()))
	}
}
