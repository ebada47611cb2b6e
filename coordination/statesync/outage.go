package statesync

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// outageListAge is the age of the list from which the store counts as unavailable to all hosts. If the store rejected
// only the reader of the list, another host would have taken over and confirmed the list sooner.
const outageListAge = 1200 * time.Millisecond

// confirmList records that the list was up to date at confirmedAt. If that ends an outage of the store, it also
// restarts the waiting read of the desired state. The caller holds the lock.
func (fl *Follower) confirmList(confirmedAt time.Time) {
	if fl.outageOngoing(confirmedAt) {
		fl.recordOutageEnd(confirmedAt)
		fl.restartTableRead()
	}
	if confirmedAt.After(fl.listConfirmedAt) {
		fl.listConfirmedAt = confirmedAt
		fl.listReadFailed = false
	}
}

// noteListAnswer records that the store answered a read of the list while it has more of it. This may end an outage of the
// store, but does not confirm the list. The caller holds the lock.
func (fl *Follower) noteListAnswer(now time.Time) {
	if fl.outageOngoing(now) {
		fl.recordOutageEnd(now)
		fl.restartTableRead()
	}
	fl.listReadFailed = false
}

// recordOutageEnd records that an outage of the store ended. The caller holds the lock.
func (fl *Follower) recordOutageEnd(endedAt time.Time) {
	fl.outageEndedAt = endedAt
	fl.serverList.RecordOutageEnd(endedAt)
}

// noteEra is called with the end of a newer list before it is applied. If the store was restored since the local copy, it
// restarts the waiting read of the desired state, which may wait at an offset that the store gives out again, and makes
// entries that are dropped in the next time count as dropped in an outage. The caller holds the lock.
func (fl *Follower) noteEra(now time.Time, next id.Offset) {
	previous := fl.serverList.NextOffset()
	if previous == id.NoOffset || next.Era() <= previous.Era() {
		return
	}
	fl.recordOutageEnd(now)
	fl.restartTableRead()
	fl.metrics.Counter("store_restores").Inc(1)
	fl.logger.Warn("platform's store was restored from an older copy", "era", int64(next.Era()), "previous_era", int64(previous.Era()),
		"end", next.Position(), "previous_end", previous.Position())
}

// outageOngoing reports whether the store must be unavailable to all hosts: the local host failed to read the list, and
// no other host has confirmed it for longer than outageListAge. The caller holds the lock.
func (fl *Follower) outageOngoing(now time.Time) bool {
	return fl.listReadFailed && !fl.listConfirmedAt.IsZero() && now.Sub(fl.listConfirmedAt) > outageListAge
}

// dropsMayBeFromOutage reports whether entries dropped now may have expired because of an outage of the store. A store
// that only the local host can't reach does not count as an outage, as that says nothing about the servers. The caller
// holds the lock.
func (fl *Follower) dropsMayBeFromOutage(now time.Time) bool {
	return fl.outageOngoing(now) || now.Sub(fl.outageEndedAt) < serverlist.RelistGrace
}

// noteStoreFailure records that a call to the store failed. Only the first of several failures in a row is logged. A call
// that ended with its context, because the host stops, is no failure.
func (fl *Follower) noteStoreFailure(ctx context.Context, dataset string, err error) {
	if ctx.Err() != nil {
		return
	}
	fl.mutex.Lock()
	justFailed := !fl.storeUnavailable
	fl.storeUnavailable = true
	fl.mutex.Unlock()
	fl.metrics.Counter("store_failures").Inc(1)
	if justFailed {
		fl.logger.Warn("store lost", "reading", dataset, "error", err.Error())
	}
}

// noteStoreSuccess records that the store answered. After failures it restarts the waiting read of the desired state.
func (fl *Follower) noteStoreSuccess() {
	fl.mutex.Lock()
	recovered := fl.storeUnavailable
	fl.storeUnavailable = false
	if recovered {
		fl.restartTableRead()
	}
	fl.mutex.Unlock()
	if recovered {
		fl.logger.Info("store regained")
	}
}
