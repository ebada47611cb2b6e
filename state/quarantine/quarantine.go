// Package quarantine tracks requests that crash servers by the fingerprint of their content.
package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// Config sets the bounds of a table.
type Config struct {
	// CrashLimit is the number of crashes after which a content is refused.
	CrashLimit int
	// TTL is how long a content is remembered after its last crash.
	TTL time.Duration
	// ReportTTL is how long a report counts that is not confirmed.
	ReportTTL time.Duration
}

// maxEntries bounds the table; the oldest suspicion goes first.
const maxEntries = 10_000

// CrashID identifies one crash of a server, so that two reports of it count once.
type CrashID uint64

// NewCrashID returns the crash of a server by what tells it from other crashes of the server.
func NewCrashID(server, which string) CrashID {
	return CrashID(xxhash.Sum64String(server + "\x00" + which))
}

// String returns the crash in hexadecimal digits.
func (cr CrashID) String() string { return strconv.FormatUint(uint64(cr), 16) }

// CrashStatus says what is known of a crash under a content. A higher one replaces a lower one, so that tables that learn
// the same in any order agree.
type CrashStatus int64

// Standings.
const (
	// Reported crashes are likely: the server is silent.
	Reported CrashStatus = iota + 1
	// Confirmed crashes have been seen.
	Confirmed
	// Cleared crashes say nothing of the content any more: it has run to its end since.
	Cleared
)

// String returns the standing as logs name it.
func (sd CrashStatus) String() string {
	switch sd {
	case Reported:
		return "reported"
	case Confirmed:
		return "confirmed"
	case Cleared:
		return "cleared"
	default:
		return "unknown"
	}
}

// Evidence is what is known of one crash under one content.
type Evidence struct {
	Fingerprint id.Fingerprint
	Crash       CrashID
	Status    CrashStatus
}

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
	// Hold refuses the request until reports of crashes are confirmed or have lapsed.
	Hold
	// Refuse ends the request.
	Refuse
)

// RefusalOutcome returns what a client is told whose request may not run, if a decision is that it may not. A content that is held
// back or refused may be tried again after the wait.
func RefusalOutcome(decision Decision, wait time.Duration) (outcome.Outcome, bool) {
	switch decision {
	case Refuse:
		return outcome.Refuse(outcome.Quarantined, "the request has crashed servers and is not run again").WithRetryAfter(wait), true
	case Hold:
		return outcome.Refuse(outcome.Quarantined, "servers have fallen silent under the request; it is held back until it is known whether they crashed").WithRetryAfter(wait), true
	default:
		return outcome.Outcome{}, false
	}
}

type entry struct {
	crashes map[CrashID]known
	running int
	at      time.Time
}

// known is a crash as the table knows it.
type known struct {
	standing CrashStatus
	at       time.Time
}

// Table holds crashes and running attempts by fingerprint. It is a set that merges with those of other hosts.
type Table struct {
	config  Config
	entries map[id.Fingerprint]*entry
	// contents holds by crash the contents that ran on the server.
	contents map[CrashID]*occurrence
}

// occurrence is a crash with the contents that ran on the server, and when it was first confirmed.
type occurrence struct {
	of map[id.Fingerprint]struct{}
	at time.Time
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{config: config, entries: map[id.Fingerprint]*entry{}, contents: map[CrashID]*occurrence{}}
}

// Decide says how a request with the fingerprint may run now.
// Crashes and running attempts together never exceed the limit, where running attempts are counted.
func (tb *Table) Decide(now time.Time, fp id.Fingerprint) Decision {
	en, ok := tb.lookup(now, fp)
	if !ok {
		return Run
	}
	confirmed, reported := tb.count(now, fp, en)
	limit := tb.config.CrashLimit
	switch {
	case confirmed >= limit && !(confirmed == limit && tb.ambiguous(fp, en)):
		return Refuse
	case reported > 0 && confirmed+reported >= limit:
		return Hold
	case en.running > 0 && confirmed+reported+en.running >= limit:
		return Wait
	case confirmed+reported >= limit-1:
		return RunAlone
	default:
		return Run
	}
}

// count returns the crashes that count against a content: those of servers that nothing explains but the content itself.
func (tb *Table) count(now time.Time, fp id.Fingerprint, en *entry) (confirmed, reported int) {
	for crash, kn := range en.crashes {
		switch {
		case kn.standing == Confirmed && !tb.explained(crash, fp, en):
			confirmed++
		case kn.standing == Reported && now.Sub(kn.at) <= tb.config.ReportTTL:
			reported++
		}
	}
	return confirmed, reported
}

// confirmed returns the number of confirmed crashes.
func (en *entry) confirmed() int {
	count := 0
	for _, kn := range en.crashes {
		if kn.standing == Confirmed {
			count++
		}
	}
	return count
}

// explained reports whether a crash is that of another content, which has crashed more servers than this one and enough
// to be refused.
func (tb *Table) explained(crash CrashID, fp id.Fingerprint, en *entry) bool {
	for other := range tb.contents[crash].of {
		if other == fp || tb.entries[other].crashes[crash].standing != Confirmed {
			continue
		}
		if crashes := tb.entries[other].confirmed(); crashes >= tb.config.CrashLimit && crashes > en.confirmed() {
			return true
		}
	}
	return false
}

// ambiguous reports whether another content that has crashed as many servers was there at one of a content's crashes: either
// may have done it. One more crash tells.
func (tb *Table) ambiguous(fp id.Fingerprint, en *entry) bool {
	for crash, kn := range en.crashes {
		if kn.standing != Confirmed {
			continue
		}
		for other := range tb.contents[crash].of {
			if other != fp && tb.entries[other].crashes[crash].standing == Confirmed && tb.entries[other].confirmed() == en.confirmed() {
				return true
			}
		}
	}
	return false
}

// ConfirmedCrashes returns the number of crashes under a content that are confirmed and not cleared.
func (tb *Table) ConfirmedCrashes(fp id.Fingerprint) int {
	if en, ok := tb.entries[fp]; ok {
		return en.confirmed()
	}
	return 0
}

// DecisionExpiresIn returns the time until a decision for a content changes by itself: until a report lapses that holds it back, or
// until it is forgotten.
func (tb *Table) DecisionExpiresIn(now time.Time, fp id.Fingerprint) time.Duration {
	en, ok := tb.lookup(now, fp)
	if !ok {
		return 0
	}
	if tb.Decide(now, fp) != Hold {
		return tb.config.TTL - now.Sub(en.at)
	}
	first := tb.config.ReportTTL
	for _, kn := range en.crashes {
		if left := tb.config.ReportTTL - now.Sub(kn.at); kn.standing == Reported && left >= 0 {
			first = min(first, left)
		}
	}
	return first
}

// AttemptStarted counts a running attempt.
func (tb *Table) AttemptStarted(now time.Time, fp id.Fingerprint) {
	tb.entryOf(now, fp).running++
}

// AttemptEnded ends a running attempt.
func (tb *Table) AttemptEnded(now time.Time, fp id.Fingerprint) {
	en, ok := tb.lookup(now, fp)
	if !ok {
		return
	}
	en.running = max(0, en.running-1)
	if en.running == 0 && len(en.crashes) == 0 {
		delete(tb.entries, fp)
	}
}

// RequestCompleted notes that a content has run to its end, and returns the crashes that this clears.
func (tb *Table) RequestCompleted(now time.Time, fp id.Fingerprint) []Evidence {
	en, ok := tb.lookup(now, fp)
	if !ok {
		return nil
	}
	var cleared []Evidence
	for _, crash := range slices.Sorted(maps.Keys(en.crashes)) {
		ev := Evidence{Fingerprint: fp, Crash: crash, Status: Cleared}
		if tb.Learn(now, ev) {
			cleared = append(cleared, ev)
		}
	}
	return cleared
}

// Learn takes evidence and reports whether it was news.
func (tb *Table) Learn(now time.Time, ev Evidence) bool {
	if ev.Status < Reported || ev.Status > Cleared {
		return false
	}
	en := tb.entryOf(now, ev.Fingerprint)
	if en.crashes[ev.Crash].standing >= ev.Status {
		return false
	}
	if en.crashes == nil {
		en.crashes = map[CrashID]known{}
	}
	en.crashes[ev.Crash] = known{standing: ev.Status, at: now}
	en.at = now
	oc, ok := tb.contents[ev.Crash]
	if !ok {
		oc = &occurrence{of: map[id.Fingerprint]struct{}{}}
		tb.contents[ev.Crash] = oc
	}
	oc.of[ev.Fingerprint] = struct{}{}
	if ev.Status == Confirmed && oc.at.IsZero() {
		oc.at = now
	}
	return true
}

// FirstConfirmedAt returns when the table learnt that a crash was confirmed, if it did.
func (tb *Table) FirstConfirmedAt(crash CrashID) (time.Time, bool) {
	oc, ok := tb.contents[crash]
	if !ok || oc.at.IsZero() {
		return time.Time{}, false
	}
	return oc.at, true
}

// EvidenceFor returns all that is known of a content.
func (tb *Table) EvidenceFor(fp id.Fingerprint) []Evidence {
	en, ok := tb.entries[fp]
	if !ok {
		return nil
	}
	var all []Evidence
	for _, crash := range slices.Sorted(maps.Keys(en.crashes)) {
		all = append(all, Evidence{Fingerprint: fp, Crash: crash, Status: en.crashes[crash].standing})
	}
	return all
}

// RefusedFingerprints returns the fingerprints that are refused.
func (tb *Table) RefusedFingerprints(now time.Time) []id.Fingerprint {
	var refused []id.Fingerprint
	for _, fp := range slices.Sorted(maps.Keys(tb.entries)) {
		if tb.Decide(now, fp) == Refuse {
			refused = append(refused, fp)
		}
	}
	return refused
}

// lookup finds an entry that has not expired.
func (tb *Table) lookup(now time.Time, fp id.Fingerprint) (*entry, bool) {
	en, ok := tb.entries[fp]
	if !ok {
		return nil, false
	}
	if now.Sub(en.at) > tb.config.TTL && en.running == 0 {
		tb.remove(fp)
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
	if found != nil {
		tb.remove(oldest)
	}
}

func (tb *Table) remove(fp id.Fingerprint) {
	for crash := range tb.entries[fp].crashes {
		oc := tb.contents[crash]
		delete(oc.of, fp)
		if len(oc.of) == 0 {
			delete(tb.contents, crash)
		}
	}
	delete(tb.entries, fp)
}

// Len returns the number of fingerprints in the table.
func (tb *Table) Len() int {
	return len(tb.entries)
}
