// Package quarantine decides whether requests that may have crashed servers may run again. Requests are identified by
// the fingerprint of their content, so that a retry or an identical request of another client counts as the same
// request, and by the parts of their prompts that other requests may have too.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// Config sets the limits of a table.
type Config struct {
	// CrashLimit is the number of confirmed crashes at which requests with the same fingerprint are refused.
	CrashLimit int
	// TTL is how long a fingerprint is remembered after the last new evidence about it.
	TTL time.Duration
	// ReportTTL is how long a crash that is reported but not confirmed counts.
	ReportTTL time.Duration
	// Parts sets the limits for parts of prompts.
	Parts PartConfig
}

const (
	// maxEntries bounds the number of fingerprints in a table. When it is reached, evictedAtOnce entries without running
	// attempts are evicted: those with the fewest crashes that count, and among them those with the oldest evidence. So many
	// single crashes displace no content that is refused.
	maxEntries    = 10_000
	evictedAtOnce = maxEntries / 100
)

// Decision says whether and how a request may run.
type Decision int

// Values of Decision.
const (
	// Run lets the request run on an engine together with other requests.
	Run Decision = iota + 1
	// RunAlone lets the request run only on an engine that runs nothing else, so that a crash affects no other request
	// and is attributed to the right one.
	RunAlone
	// Wait asks the caller to decide again later, because attempts with the same fingerprint are running that could
	// reach the crash limit.
	Wait
	// Hold refuses the request for now, until reported crashes are confirmed or their reports expire.
	Hold
	// Refuse refuses the request, because it has crashed too many servers.
	Refuse
)

// RefusalOutcome returns the outcome to send to the client if the decision is Refuse or Hold, and false for other
// decisions. The client may retry after the given time.
func RefusalOutcome(decision Decision, retryAfter time.Duration) (outcome.Outcome, bool) {
	switch decision {
	case Refuse:
		return outcome.Refuse(outcome.Quarantined, "the request, or a part of its prompt, has crashed servers and is not run again").WithRetryAfter(retryAfter), true
	case Hold:
		return outcome.Refuse(outcome.Quarantined, "servers have fallen silent under the request; it is held back until it is known whether they crashed").WithRetryAfter(retryAfter), true
	default:
		return outcome.Outcome{}, false
	}
}

// entry holds what is known about one fingerprint.
type entry struct {
	crashes         map[CrashID]crashState
	runningAttempts int
	// updatedAt is when the entry was created or new evidence was last learned.
	updatedAt time.Time
}

// crashState is the status of one crash with respect to one fingerprint.
type crashState struct {
	status CrashStatus
	// learnedAt is when the status was learned.
	learnedAt time.Time
	// stored is the status that MarkStored has recorded; zero if it has recorded none.
	stored CrashStatus
}

// Table holds crashes and running attempts by fingerprint. Evidence is only added, and the rank of the status
// of a crash only rises, so that tables of several hosts converge when the hosts exchange their evidence in any order. A table is not
// safe for concurrent use.
type Table struct {
	config  Config
	entries map[id.Fingerprint]*entry
	// serverCrashes indexes the fingerprints of entries by crash. It holds exactly the crashes that occur in entries.
	serverCrashes map[CrashID]*serverCrash
	// soundParts holds the parts of prompts of answers that were completed.
	soundParts soundParts
}

// serverCrash is one crash with all fingerprints that it may count against.
type serverCrash struct {
	fingerprints map[id.Fingerprint]struct{}
	// firstConfirmedAt is when the crash was first learned to be confirmed, for any fingerprint; zero if it was not.
	firstConfirmedAt time.Time
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{config: config, entries: map[id.Fingerprint]*entry{}, serverCrashes: map[CrashID]*serverCrash{}}
}

// Decide says whether and how a request with the fingerprint may run now. In a table that counts running attempts with
// AttemptStarted, it lets no attempt start that could bring the crashes above the limit: each running attempt might
// crash its server. The only exception is a fingerprint that is at the limit but may not be the cause (see ambiguous):
// it may run alone once more.
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

// countCrashes returns the numbers of confirmed and reported crashes that count against the fingerprint. Confirmed
// crashes that are attributed to another fingerprint and reports older than ReportTTL don't count.
func (tb *Table) countCrashes(now time.Time, fp id.Fingerprint, en *entry) (confirmed, reported int) {
	for crash, cs := range en.crashes {
		switch {
		case cs.status.isConfirmed() && !tb.attributedToOther(crash, fp, en):
			confirmed++
		case cs.status == Reported && now.Sub(cs.learnedAt) <= tb.config.ReportTTL:
			reported++
		}
	}
	return confirmed, reported
}

// confirmedCrashes returns the number of confirmed crashes, including those that are attributed to another fingerprint.
func (en *entry) confirmedCrashes() int {
	count := 0
	for _, cs := range en.crashes {
		if cs.status.isConfirmed() {
			count++
		}
	}
	return count
}

// attributedToOther reports whether a crash was probably caused by another fingerprint that ran on the same server: one
// with more confirmed crashes than this one, and with enough to be refused.
func (tb *Table) attributedToOther(crash CrashID, fp id.Fingerprint, en *entry) bool {
	for otherFP := range tb.serverCrashes[crash].fingerprints {
		if otherFP == fp || !tb.entries[otherFP].crashes[crash].status.isConfirmed() {
			continue
		}
		if part, ok := otherFP.PromptPart(); ok {
			// A common part is on many crashed servers without being the cause.
			if tb.partMustBeCause(part) {
				return true
			}
			continue
		}
		if crashes := tb.entries[otherFP].confirmedCrashes(); crashes >= tb.config.CrashLimit && crashes > en.confirmedCrashes() {
			return true
		}
	}
	return false
}

// ambiguous reports whether another content with the same number of confirmed crashes took part in one of the
// confirmed crashes of this one. Either may then have caused the crash; one more crash shows which.
func (tb *Table) ambiguous(fp id.Fingerprint, en *entry) bool {
	for crash, cs := range en.crashes {
		if !cs.status.isConfirmed() {
			continue
		}
		for otherFP := range tb.serverCrashes[crash].fingerprints {
			if _, isPart := otherFP.PromptPart(); !isPart && otherFP != fp && tb.entries[otherFP].crashes[crash].status.isConfirmed() && tb.entries[otherFP].confirmedCrashes() == en.confirmedCrashes() {
				return true
			}
		}
	}
	return false
}

// ConfirmedCrashes returns the number of crashes recorded for the fingerprint that are confirmed and not cleared.
func (tb *Table) ConfirmedCrashes(fp id.Fingerprint) int {
	if en, ok := tb.entries[fp]; ok {
		return en.confirmedCrashes()
	}
	return 0
}

// DecisionExpiresIn returns the time until the decision for the fingerprint changes without new evidence: until the
// first report expires if requests are held, else until the fingerprint is forgotten. It is zero for an unknown
// fingerprint.
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

// AttemptStarted increments the number of running attempts of a request with the fingerprint.
func (tb *Table) AttemptStarted(now time.Time, fp id.Fingerprint) {
	tb.getOrCreate(now, fp).runningAttempts++
}

// AttemptEnded decrements the number of running attempts. The entry of a fingerprint without crashes is removed with
// its last attempt.
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

// RequestCompleted clears all crashes recorded for the fingerprint, because a request with it has run to completion. It
// returns the evidence that changed, for other hosts.
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

// maxEntryCrashes bounds the crashes that are recorded for one fingerprint. A part of a prompt that most requests have
// is on every server that crashes.
const maxEntryCrashes = 64

// Learn records evidence and reports whether it was new. Evidence with a status that is unknown, or of no higher rank
// than the recorded one, is ignored.
func (tb *Table) Learn(now time.Time, ev Evidence) bool {
	if ev.Status.rank() == 0 {
		return false
	}
	en := tb.getOrCreate(now, ev.Fingerprint)
	if en.crashes[ev.Crash].status.rank() >= ev.Status.rank() {
		return false
	}
	if _, known := en.crashes[ev.Crash]; !known && len(en.crashes) >= maxEntryCrashes {
		tb.forgetCrash(ev.Fingerprint, en.mostDispensableCrash())
	}
	if en.crashes == nil {
		en.crashes = map[CrashID]crashState{}
	}
	en.crashes[ev.Crash] = crashState{status: ev.Status, learnedAt: now, stored: en.crashes[ev.Crash].stored}
	en.updatedAt = now
	sc, ok := tb.serverCrashes[ev.Crash]
	if !ok {
		sc = &serverCrash{fingerprints: map[id.Fingerprint]struct{}{}}
		tb.serverCrashes[ev.Crash] = sc
	}
	sc.fingerprints[ev.Fingerprint] = struct{}{}
	if ev.Status.isConfirmed() && sc.firstConfirmedAt.IsZero() {
		sc.firstConfirmedAt = now
	}
	return true
}

// MarkStored records that evidence is stored outside of the table. It reports whether the table holds the evidence and
// nothing of the same or a higher rank was marked before.
func (tb *Table) MarkStored(ev Evidence) bool {
	en, ok := tb.entries[ev.Fingerprint]
	if !ok {
		return false
	}
	state, ok := en.crashes[ev.Crash]
	if !ok || state.status != ev.Status || state.stored.rank() >= ev.Status.rank() {
		return false
	}
	state.stored = ev.Status
	en.crashes[ev.Crash] = state
	return true
}

// FirstConfirmedAt returns when the table first learned that the crash was confirmed, and false if it has not.
func (tb *Table) FirstConfirmedAt(crash CrashID) (time.Time, bool) {
	sc, ok := tb.serverCrashes[crash]
	if !ok || sc.firstConfirmedAt.IsZero() {
		return time.Time{}, false
	}
	return sc.firstConfirmedAt, true
}

// EvidenceFor returns all evidence about the fingerprint, in the order of crash identifiers.
func (tb *Table) EvidenceFor(fp id.Fingerprint) []Evidence {
	en, ok := tb.entries[fp]
	if !ok {
		return nil
	}
	var evidence []Evidence
	for _, crash := range slices.Sorted(maps.Keys(en.crashes)) {
		evidence = append(evidence, Evidence{Fingerprint: fp, Crash: crash, Status: en.crashes[crash].status})
	}
	return evidence
}

// Fingerprints returns all fingerprints in the table, in order.
func (tb *Table) Fingerprints() []id.Fingerprint { return slices.Sorted(maps.Keys(tb.entries)) }

// RefusedFingerprints returns the fingerprints whose requests are refused now, in order.
func (tb *Table) RefusedFingerprints(now time.Time) []id.Fingerprint {
	var refused []id.Fingerprint
	for _, fp := range slices.Sorted(maps.Keys(tb.entries)) {
		if tb.Decide(now, fp) == Refuse {
			refused = append(refused, fp)
		}
	}
	return refused
}

// lookup returns the entry of the fingerprint. It removes an entry that has expired and has no running attempts.
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

// getOrCreate returns the entry of the fingerprint, and creates one if there is none or it has expired.
func (tb *Table) getOrCreate(now time.Time, fp id.Fingerprint) *entry {
	if en, ok := tb.lookup(now, fp); ok {
		return en
	}
	if len(tb.entries) >= maxEntries {
		tb.evict()
	}
	en := &entry{updatedAt: now}
	tb.entries[fp] = en
	return en
}

// evict removes up to evictedAtOnce entries without running attempts, in the order that maxEntries describes.
func (tb *Table) evict() {
	type candidate struct {
		fingerprint id.Fingerprint
		crashes     int
		updatedAt   time.Time
	}
	var candidates []candidate
	for fp, en := range tb.entries {
		if en.runningAttempts == 0 {
			candidates = append(candidates, candidate{fp, en.confirmedCrashes(), en.updatedAt})
		}
	}
	slices.SortFunc(candidates, func(left, right candidate) int {
		return cmp.Or(cmp.Compare(left.crashes, right.crashes), left.updatedAt.Compare(right.updatedAt), cmp.Compare(left.fingerprint, right.fingerprint))
	})
	for _, evicted := range candidates[:min(evictedAtOnce, len(candidates))] {
		tb.remove(evicted.fingerprint)
	}
}

// remove deletes the entry of the fingerprint, which must exist, together with its references from serverCrashes.
func (tb *Table) remove(fp id.Fingerprint) {
	for crash := range tb.entries[fp].crashes {
		tb.forgetCrash(fp, crash)
	}
	delete(tb.entries, fp)
}

// forgetCrash removes one recorded crash of a fingerprint.
func (tb *Table) forgetCrash(fp id.Fingerprint, crash CrashID) {
	delete(tb.entries[fp].crashes, crash)
	sc := tb.serverCrashes[crash]
	delete(sc.fingerprints, fp)
	if len(sc.fingerprints) == 0 {
		delete(tb.serverCrashes, crash)
	}
}

// mostDispensableCrash returns the crash that is forgotten first: a cleared one before any other, then the one learned
// first.
func (en *entry) mostDispensableCrash() CrashID {
	return slices.MinFunc(slices.Collect(maps.Keys(en.crashes)), func(left, right CrashID) int {
		leftState, rightState := en.crashes[left], en.crashes[right]
		if (leftState.status == Cleared) != (rightState.status == Cleared) {
			return cmp.Compare(rightState.status.rank(), leftState.status.rank())
		}
		if byTime := leftState.learnedAt.Compare(rightState.learnedAt); byTime != 0 {
			return byTime
		}
		return cmp.Compare(left, right)
	})
}

// Len returns the number of fingerprints in the table.
func (tb *Table) Len() int {
	return len(tb.entries)
}
