// Package quarantine tracks requests that crash engines by the fingerprint of their content.
package quarantine

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// convictedAt is the number of crashes after which a fingerprint is refused.
	convictedAt = 2
	// maxEntries bounds the table; the oldest suspicion goes first.
	maxEntries = 10_000
)

// Decision says how a request may run.
type Decision int

// Decisions.
const (
	// Run lets the request run beside others.
	Run Decision = iota + 1
	// RunAlone lets it run on an engine that runs nothing else.
	RunAlone
	// Wait asks for another try, because the same content runs already.
	Wait
	// Refuse ends the request.
	Refuse
)

type entry struct {
	crashes int
	running int
	at      time.Time
}

// Table counts crashes and running attempts by fingerprint.
type Table struct {
	ttl     time.Duration
	entries map[id.Fingerprint]*entry
}

// New returns an empty table that forgets suspicions after ttl. Convictions last as long.
func New(ttl time.Duration) *Table {
	return &Table{ttl: ttl, entries: map[id.Fingerprint]*entry{}}
}

// Decide says how a request with the fingerprint may run now.
// Crashes and running attempts together never exceed the number that convicts.
func (tb *Table) Decide(now time.Time, fp id.Fingerprint) Decision {
	en, ok := tb.lookup(now, fp)
	switch {
	case !ok:
		return Run
	case en.crashes >= convictedAt:
		return Refuse
	case en.crashes+en.running >= convictedAt:
		return Wait
	case en.crashes > 0:
		return RunAlone
	default:
		return Run
	}
}

// Started counts a running attempt.
func (tb *Table) Started(now time.Time, fp id.Fingerprint) {
	tb.entryOf(now, fp).running++
}

// Ended ends a running attempt. An attempt that finished clears the suspicion.
func (tb *Table) Ended(now time.Time, fp id.Fingerprint, finished bool) {
	en, ok := tb.lookup(now, fp)
	if !ok {
		return
	}
	en.running = max(0, en.running-1)
	if finished && en.crashes < convictedAt {
		en.crashes = 0
	}
	if en.running == 0 && en.crashes == 0 {
		delete(tb.entries, fp)
	}
}

// Crashed counts a crash of an engine that ran the fingerprint and returns the count.
func (tb *Table) Crashed(now time.Time, fp id.Fingerprint) int {
	en := tb.entryOf(now, fp)
	en.crashes++
	en.at = now
	return en.crashes
}

// Learn merges a count of crashes that another host knows and reports whether it was news.
func (tb *Table) Learn(now time.Time, fp id.Fingerprint, crashes int) bool {
	if crashes <= 0 {
		return false
	}
	en := tb.entryOf(now, fp)
	if crashes <= en.crashes {
		return false
	}
	en.crashes = crashes
	en.at = now
	return true
}

// Convicted returns the fingerprints that are refused.
func (tb *Table) Convicted() []id.Fingerprint {
	var convicted []id.Fingerprint
	for fp, en := range tb.entries {
		if en.crashes >= convictedAt {
			convicted = append(convicted, fp)
		}
	}
	return convicted
}

// IsConvicted reports whether a count of crashes convicts.
func IsConvicted(crashes int) bool {
	return crashes >= convictedAt
}

// lookup finds an entry that has not expired.
func (tb *Table) lookup(now time.Time, fp id.Fingerprint) (*entry, bool) {
	en, ok := tb.entries[fp]
	if !ok {
		return nil, false
	}
	if now.Sub(en.at) > tb.ttl && en.running == 0 {
		delete(tb.entries, fp)
		return nil, false
	}
	return en, true
}

func (tb *Table) entryOf(now time.Time, fp id.Fingerprint) *entry {
	if en, ok := tb.lookup(now, fp); ok {
		return en
	}
	if len(tb.entries) >= maxEntries {
		tb.evict()
	}
	en := &entry{at: now}
	tb.entries[fp] = en
	return en
}

func (tb *Table) evict() {
	var oldest id.Fingerprint
	var found *entry
	for fp, en := range tb.entries {
		if en.running == 0 && (found == nil || en.at.Before(found.at)) {
			oldest = fp
			found = en
		}
	}
	delete(tb.entries, oldest)
}

// Len returns the number of fingerprints in the table.
func (tb *Table) Len() int {
	return len(tb.entries)
}
