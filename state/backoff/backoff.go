// Package backoff keeps which backend servers asked to be left alone for a time, and paces what they get afterwards.
// It is pure: it reads no clock and does no I/O.
//
// Load pattern that it answers: servers of a service that are full all tell every host to come back after the same time.
// Hosts then come back one request at a time, not with all that has gathered.
package backoff

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
)

const (
	// spreadShare is the random part that is added to the time a server asks for, so that hosts do not return together.
	spreadShare = 0.25
	// maxSpread bounds that part.
	maxSpread = time.Second
	// trialTime is how long the one request that tries a server out is waited for before another one may.
	trialTime = time.Second
	// maxWait bounds the time that a server may ask for.
	maxWait = 10 * time.Minute
)

// entry is what is known of a server that asked to be left alone.
type entry struct {
	service id.Service
	born    int64
	until   time.Time
	// triedAt is when a request was last sent to try the server out.
	triedAt time.Time
}

// Table holds the servers that asked to be left alone. It is not safe for concurrent use.
type Table struct {
	random  *rand.Rand
	entries map[id.BackendServer]*entry
}

// New returns an empty table. The seed determines its random choices.
func New(seed uint64) *Table {
	return &Table{random: rand.New(rand.NewPCG(seed, seed)), entries: map[id.BackendServer]*entry{}}
}

// RecordBackoff notes that a server wants nothing for a time. A shorter time than one asked for before changes nothing.
func (tb *Table) RecordBackoff(now time.Time, sv roster.Server, wait time.Duration) {
	wait = min(wait, maxWait)
	wait += time.Duration(tb.random.Float64() * min(spreadShare*float64(wait), float64(maxSpread)))
	en, known := tb.entries[sv.ID]
	if !known || en.born != sv.StartedAtMillis {
		en = &entry{service: sv.Service, born: sv.StartedAtMillis}
		tb.entries[sv.ID] = en
	}
	en.triedAt = time.Time{}
	if until := now.Add(wait); until.After(en.until) {
		en.until = until
	}
}

// AllowsRequest reports whether a server may get a request now: it did not ask to be left alone, or that time is over and no
// other request tries it out.
func (tb *Table) AllowsRequest(now time.Time, sv roster.Server) bool {
	en, known := tb.entries[sv.ID]
	if !known || en.born != sv.StartedAtMillis {
		return true
	}
	return !now.Before(en.until) && now.Sub(en.triedAt) >= trialTime
}

// RecordSent notes that a server gets a request.
func (tb *Table) RecordSent(now time.Time, server id.BackendServer) {
	if en, known := tb.entries[server]; known {
		en.triedAt = now
	}
}

// RecordAccepted notes that a server took a request: it may get any number again.
func (tb *Table) RecordAccepted(now time.Time, server id.BackendServer) {
	if en, known := tb.entries[server]; known && !now.Before(en.until) {
		delete(tb.entries, server)
	}
}

// BackoffUntil returns when a server may get requests again, and false if it did not ask to be left alone or that time is over.
func (tb *Table) BackoffUntil(now time.Time, server id.BackendServer) (time.Time, bool) {
	en, known := tb.entries[server]
	if !known || !now.Before(en.until) {
		return time.Time{}, false
	}
	return en.until, true
}

// MinWait returns the least time until one of some servers may get requests again; zero if one may now.
func (tb *Table) MinWait(now time.Time, servers []roster.Server) time.Duration {
	least := time.Duration(0)
	for ix, sv := range servers {
		wait := time.Duration(0)
		if until, waits := tb.BackoffUntil(now, sv.ID); waits {
			wait = until.Sub(now)
		}
		if ix == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// ServiceBackoffs returns when the servers of a service that asked to be left alone may get requests again.
func (tb *Table) ServiceBackoffs(now time.Time, service id.Service) map[id.BackendServer]time.Time {
	var waits map[id.BackendServer]time.Time
	for name, en := range tb.entries {
		if en.service != service || !now.Before(en.until) {
			continue
		}
		if waits == nil {
			waits = map[id.BackendServer]time.Time{}
		}
		waits[name] = en.until
	}
	return waits
}

// KeepListed forgets servers that are no longer listed, or that were started anew.
func (tb *Table) KeepListed(listed []roster.Server) {
	if len(tb.entries) == 0 {
		return
	}
	born := make(map[id.BackendServer]int64, len(listed))
	for _, sv := range listed {
		born[sv.ID] = sv.StartedAtMillis
	}
	for name, en := range tb.entries {
		if start, present := born[name]; !present || start != en.born {
			delete(tb.entries, name)
		}
	}
}
