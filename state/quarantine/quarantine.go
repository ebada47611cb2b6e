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
func NewCrashID(server, discriminator string) CrashID {
	return CrashID(xxhash.Sum64String(server + "\x00" + discriminator))
}

// String returns the crash in hexadecimal digits.
func (ci CrashID) String() string { return strconv.FormatUint(uint64(ci), 16) }

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
func (cs CrashStatus) String() string {
	switch cs {
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
	Status      CrashStatus
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
func RefusalOutcome(decision Decision, retryAfter time.Duration) (outcome.Outcome, bool) {
	switch decision {
	case Refuse:
		return outcome.Refuse(outcome.Quarantined, "the request has crashed servers and is not run again").After(retryAfter), true
	case Hold:
		return outcome.Refuse(outcome.Quarantined, "servers have fallen silent under the request; it is held back until it is known whether they crashed").After(retryAfter), true
	default:
		return outcome.Outcome{}, false
	}
}

type entry struct {
	crashes         map[CrashID]crashState
	runningAttempts int
	updatedAt       time.Time
}

// crashState is a crash as the table knows it.
type crashState struct {
	status    CrashStatus
	learnedAt time.Time
}

// Table holds crashes and running attempts by fingerprint. It is a set that merges with those of other hosts.
type Table struct {
	config  Config
	entries map[id.Fingerprint]*entry
	// serverCrashes holds by crash the contents that ran on the server.
	serverCrashes map[CrashID]*serverCrash
}

// serverCrash is a crash with the contents that ran on the server, and when it was first confirmed.
type serverCrash struct {
	fingerprints     map[id.Fingerprint]struct{}
	firstConfirmedAt time.Time
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{config: config, entries: map[id.Fingerprint]*entry{}, serverCrashes: map[CrashID]*serverCrash{}}
}

// Decide says how a request with the fingerprint may run now.
// Crashes and running attempts together never exceed the limit, where running attempts are counted.
func (tb *Table) Decide(now time.Time, fp id.Fingerprint) Decision {
	en, ok := tb.lookup(now, fp)
	if !ok {
		return Run
	}
	confirmed, reported := tb.countCrashes(now, fp, en)
	limit := tb.config.CrashLimit
	switch {
	case confirmed >= limit && !(confirmed == limit && tb.ambiguous(fp, en)):
		return Refuse
	case reported > 0 && confirmed+reported >= limit:
		return Hold
	case en.runningAttempts > 0 && confirmed+reported+en.runningAttempts >= limit:
		return Wait
	case confirmed+reported >= limit-1:
		return RunAlone
	default:
		return Run
	}
}

// countCrashes returns the crashes that count against a content: those of servers that nothing explains but the content itself.
func (tb *Table) countCrashes(now time.Time, fp id.Fingerprint, en *entry) (confirmed, reported int) {
	for crash, cs := range en.crashes {
		switch {
		case cs.status == Confirmed && !tb.attributedToOther(crash, fp, en):
			confirmed++
		case cs.status == Reported && now.Sub(cs.learnedAt) <= tb.config.ReportTTL:
			reported++
		}
	}
	return confirmed, reported
}

// confirmedCrashes returns the number of confirmed crashes.
func (en *entry) confirmedCrashes() int {
	count := 0
	for _, cs := range en.crashes {
		if cs.status == Confirmed {
			count++
		}
	}
	return count
}

// attributedToOther reports whether a crash is that of another content, which has crashed more servers than this one and enough
// to be refused.
func (tb *Table) attributedToOther(crash CrashID, fp id.Fingerprint, en *entry) bool {
	for otherFP := range tb.serverCrashes[crash].fingerprints {
		if otherFP == fp || tb.entries[otherFP].crashes[crash].status != Confirmed {
			continue
		}
		if crashes := tb.entries[otherFP].confirmedCrashes(); crashes >= tb.config.CrashLimit && crashes > en.confirmedCrashes() {
			return true
		}
	}
	return false
}

// ambiguous reports whether another content that has crashed as many servers was there at one of a content's crashes: either
// may have done it. One more crash tells.
func (tb *Table) ambiguous(fp id.Fingerprint, en *entry) bool {
	for crash, cs := range en.crashes {
		if cs.status != Confirmed {
			continue
		}
		for otherFP := range tb.serverCrashes[crash].fingerprints {
			if otherFP != fp && tb.entries[otherFP].crashes[crash].status == Confirmed && tb.entries[otherFP].confirmedCrashes() == en.confirmedCrashes() {
				return true
			}
		}
	}
	return false
}

// ConfirmedCrashes returns the number of crashes under a content that are confirmed and not cleared.
func (tb *Table) ConfirmedCrashes(fp id.Fingerprint) int {
	if en, ok := tb.entries[fp]; ok {
		return en.confirmedCrashes()
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
		return tb.config.TTL - now.Sub(en.updatedAt)
	}
	earliest := tb.config.ReportTTL
	for _, cs := range en.crashes {
		if remaining := tb.config.ReportTTL - now.Sub(cs.learnedAt); cs.status == Reported && remaining >= 0 {
			earliest = min(earliest, remaining)
		}
	}
	return earliest
}

// AttemptStarted counts a running attempt.
func (tb *Table) AttemptStarted(now time.Time, fp id.Fingerprint) {
	tb.getOrCreate(now, fp).runningAttempts++
}

// AttemptEnded ends a running attempt.
func (tb *Table) AttemptEnded(now time.Time, fp id.Fingerprint) {
	en, ok := tb.lookup(now, fp)
	if !ok {
		return
	}
	en.runningAttempts = max(0, en.runningAttempts-1)
	if en.runningAttempts == 0 && len(en.crashes) == 0 {
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
	en := tb.getOrCreate(now, ev.Fingerprint)
	if en.crashes[ev.Crash].status >= ev.Status {
		return false
	}
	if en.crashes == nil {
		en.crashes = map[CrashID]crashState{}
	}
	en.crashes[ev.Crash] = crashState{status: ev.Status, learnedAt: now}
	en.updatedAt = now
	sc, ok := tb.serverCrashes[ev.Crash]
	if !ok {
		sc = &serverCrash{fingerprints: map[id.Fingerprint]struct{}{}}
		tb.serverCrashes[ev.Crash] = sc
	}
	sc.fingerprints[ev.Fingerprint] = struct{}{}
	if ev.Status == Confirmed && sc.firstConfirmedAt.IsZero() {
		sc.firstConfirmedAt = now
	}
	return true
}

// FirstConfirmedAt returns when the table learnt that a crash was confirmed, if it did.
func (tb *Table) FirstConfirmedAt(crash CrashID) (time.Time, bool) {
	sc, ok := tb.serverCrashes[crash]
	if !ok || sc.firstConfirmedAt.IsZero() {
		return time.Time{}, false
	}
	return sc.firstConfirmedAt, true
}

// EvidenceFor returns all that is known of a content.
func (tb *Table) EvidenceFor(fp id.Fingerprint) []Evidence {
	en, ok := tb.entries[fp]
	if !ok {
		return nil
	}
	var all []Evidence
	for _, crash := range slices.Sorted(maps.Keys(en.crashes)) {
		all = append(all, Evidence{Fingerprint: fp, Crash: crash, Status: en.crashes[crash].status})
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
	if now.Sub(en.updatedAt) > tb.config.TTL && en.runningAttempts == 0 {
		tb.remove(fp)
		return nil, false
	}
	return en, true
}

func (tb *Table) getOrCreate(now time.Time, fp id.Fingerprint) *entry {
	if en, ok := tb.lookup(now, fp); ok {
		return en
	}
	if len(tb.entries) >= maxEntries {
		tb.evictOldest()
	}
	en := &entry{updatedAt: now}
	tb.entries[fp] = en
	return en
}

func (tb *Table) evictOldest() {
	var oldestFP id.Fingerprint
	var oldestEntry *entry
	for fp, en := range tb.entries {
		if en.runningAttempts == 0 && (oldestEntry == nil || en.updatedAt.Before(oldestEntry.updatedAt)) {
			oldestFP = fp
			oldestEntry = en
		}
	}
	if oldestEntry != nil {
		tb.remove(oldestFP)
	}
}

func (tb *Table) remove(fp id.Fingerprint) {
	for crash := range tb.entries[fp].crashes {
		sc := tb.serverCrashes[crash]
		delete(sc.fingerprints, fp)
		if len(sc.fingerprints) == 0 {
			delete(tb.serverCrashes, crash)
		}
	}
	delete(tb.entries, fp)
}

// Len returns the number of fingerprints in the table.
func (tb *Table) Len() int {
	return len(tb.entries)
}
