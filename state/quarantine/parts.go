package quarantine

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// PartConfig sets the limits for parts of prompts. A part that crashes each server that begins an answer on it is found
// by elimination: all parts of the requests that ran on a crashed server are suspected, except those with which answers
// were completed, and requests with suspected parts run isolated from each other until their answers begin. If the server
// of an isolated request crashes, one of its suspected parts is the cause.
type PartConfig struct {
	// IsolatedCrashLimit is the number of crashes under isolated requests at which requests with the same suspected parts
	// are refused.
	IsolatedCrashLimit int
	// CrashLimit is the number of crashes at which requests with a part are refused where they can't run isolated.
	CrashLimit int
	// SoundTTL is how long a completed answer protects the parts of its prompt.
	SoundTTL time.Duration
	// SoundCrashLimit is the number of crashes since the last completed answer from which on such a part is suspected all
	// the same.
	SoundCrashLimit int
	// FirstRetrial is the time after which a request with a refused part may run once more, isolated. It doubles with each
	// further crash.
	FirstRetrial time.Duration
}

// Content identifies a request by what may have crashed servers.
type Content struct {
	Fingerprint id.Fingerprint
	PromptParts []id.PromptPart
}

// Verdict says whether and how a request may run.
type Verdict struct {
	Decision Decision
	// SuspectParts are the parts of the prompt because of which the request is to run isolated until its answer begins: if
	// its server crashes meanwhile, one of them is the cause.
	SuspectParts []id.PromptPart
	// Exclusive says that the server must run nothing else meanwhile, because crashes under isolated requests count
	// against one of the suspects. Otherwise it must only run no other request with suspects.
	Exclusive bool
	// ExpiresIn is how long Refuse or Hold lasts without new evidence.
	ExpiresIn time.Duration
}

// Judge says whether and how a request may run now: by its content like Decide, and by the parts of its prompt. It
// refuses the request for its parts only if they are the cause of enough crashes, see judgeParts.
func (tb *Table) Judge(now time.Time, content Content) Verdict {
	verdict := Verdict{Decision: tb.Decide(now, content.Fingerprint)}
	if verdict.Decision == Refuse || verdict.Decision == Hold {
		verdict.ExpiresIn = tb.DecisionExpiresIn(now, content.Fingerprint)
		return verdict
	}
	if len(content.PromptParts) == 0 {
		return verdict
	}
	refusedFor, suspects, exclusive := tb.judgeParts(now, content)
	if refusedFor > 0 {
		return Verdict{Decision: Refuse, ExpiresIn: refusedFor}
	}
	verdict.SuspectParts, verdict.Exclusive = suspects, exclusive
	return verdict
}

// partCrashes are the crashes that count against one part.
type partCrashes struct {
	// shared are those of servers that also ran other requests, isolated those under isolated requests.
	shared, isolated map[CrashID]time.Time
}

// judgeParts returns how long a request is refused because of the parts of its prompt, or zero, and the suspects. These
// are all parts with which no answer is known to have been completed, if one of the parts counts as suspected.
//
// The request is refused if one of its parts must be the cause of IsolatedCrashLimit crashes under isolated requests:
// those had no suspects that this request has not. It is also refused if it has several suspects and one of them has
// IsolatedCrashLimit crashes under isolated requests with different other suspects. A request with a single suspect shows
// whether that is the cause, and is needed to clear it. Where requests can't run isolated, CrashLimit crashes refuse it.
// In all cases nothing else may be common to all of these crashes.
func (tb *Table) judgeParts(now time.Time, content Content) (refusedFor time.Duration, suspects []id.PromptPart, exclusive bool) {
	config := tb.config.Parts
	suspected := false
	conclusive := map[CrashID]time.Time{}
	refuse := func(crashes map[CrashID]time.Time, limit int) {
		if len(crashes) >= limit && !tb.haveOtherCause(crashes, content) {
			refusedFor = max(refusedFor, tb.untilRetrial(now, crashes, limit))
		}
	}
	var suspectCrashes []partCrashes
	for _, part := range content.PromptParts {
		crashes := tb.crashesOfPart(now, part)
		for crash, learnedAt := range crashes.isolated {
			if tb.allSuspectsIn(crash, content) {
				conclusive[crash] = learnedAt
			}
		}
		count, suspectFrom := len(crashes.shared)+len(crashes.isolated), 1
		sound := tb.soundParts.contains(now, part, config.SoundTTL)
		if sound {
			suspectFrom = config.SoundCrashLimit
		}
		if sound && count < suspectFrom {
			continue
		}
		suspected = suspected || count >= suspectFrom
		exclusive = exclusive || len(crashes.isolated) > 0
		suspects = append(suspects, part)
		suspectCrashes = append(suspectCrashes, crashes)
		if !sound && len(crashes.isolated) == 0 {
			refuse(crashes.shared, config.CrashLimit)
		}
	}
	refuse(conclusive, config.IsolatedCrashLimit)
	if len(suspects) > 1 {
		for _, crashes := range suspectCrashes {
			refuse(crashes.isolated, config.IsolatedCrashLimit)
		}
	}
	if !suspected {
		return refusedFor, nil, false
	}
	return refusedFor, suspects, exclusive
}

// crashesOfPart returns the crashes that count against a part, with the time at which each was learned.
func (tb *Table) crashesOfPart(now time.Time, part id.PromptPart) partCrashes {
	crashes := partCrashes{shared: map[CrashID]time.Time{}, isolated: map[CrashID]time.Time{}}
	en, ok := tb.lookup(now, part.Fingerprint())
	if !ok {
		return crashes
	}
	for crash, cs := range en.crashes {
		switch {
		case !cs.status.isConfirmed() || tb.hasKnownCause(crash, part):
		case cs.status == ConfirmedIsolated:
			crashes.isolated[crash] = cs.learnedAt
		case !tb.ranIsolated(crash):
			crashes.shared[crash] = cs.learnedAt
		}
	}
	return crashes
}

// untilRetrial returns the time until a request that is refused because of crashes may run once more: it doubles with
// each crash beyond the limit.
func (tb *Table) untilRetrial(now time.Time, crashes map[CrashID]time.Time, limit int) time.Duration {
	// The bound on the shift prevents overflow.
	const maxDoublings = 10
	var lastLearnedAt time.Time
	for _, learnedAt := range crashes {
		lastLearnedAt = latest(lastLearnedAt, learnedAt)
	}
	delay := min(tb.config.Parts.FirstRetrial<<min(maxDoublings, len(crashes)-limit), tb.config.TTL)
	return max(0, delay-now.Sub(lastLearnedAt))
}

// latest returns the later one of two times.
func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// hasKnownCause reports whether another part on the crashed server is known to crash servers.
func (tb *Table) hasKnownCause(crash CrashID, part id.PromptPart) bool {
	for fp := range tb.serverCrashes[crash].fingerprints {
		if other, ok := fp.PromptPart(); ok && other != part && tb.entries[fp].crashes[crash].status.isConfirmed() && tb.partMustBeCause(other) {
			return true
		}
	}
	return false
}

// partMustBeCause reports whether a part is known to crash servers: it was the only suspect of IsolatedCrashLimit requests
// that ran isolated on crashed servers.
func (tb *Table) partMustBeCause(part id.PromptPart) bool {
	onlySuspect := 0
	for crash, cs := range tb.entries[part.Fingerprint()].crashes {
		if cs.status == ConfirmedIsolated && tb.allSuspectsIn(crash, Content{PromptParts: []id.PromptPart{part}}) {
			onlySuspect++
		}
	}
	return onlySuspect >= tb.config.Parts.IsolatedCrashLimit
}

// ranIsolated reports whether a request ran isolated on the server that crashed. Other parts on that server are then not
// the cause.
func (tb *Table) ranIsolated(crash CrashID) bool {
	for fp := range tb.serverCrashes[crash].fingerprints {
		if tb.entries[fp].crashes[crash].status == ConfirmedIsolated {
			return true
		}
	}
	return false
}

// allSuspectsIn reports whether the content has all parts because of which requests ran isolated on the crashed server,
// except those that were cleared since.
func (tb *Table) allSuspectsIn(crash CrashID, content Content) bool {
	for fp := range tb.serverCrashes[crash].fingerprints {
		if tb.entries[fp].crashes[crash].status == ConfirmedIsolated && !content.contains(fp) {
			return false
		}
	}
	return true
}

// haveOtherCause reports whether all of the crashes are also confirmed for one fingerprint that does not belong to the
// content.
func (tb *Table) haveOtherCause(crashes map[CrashID]time.Time, content Content) bool {
	for first := range crashes {
		for fp := range tb.serverCrashes[first].fingerprints {
			if !content.contains(fp) && tb.entries[fp].confirmsAll(crashes) {
				return true
			}
		}
		return false
	}
	return false
}

// contains reports whether the content has the fingerprint itself or as that of a part.
func (ct Content) contains(fp id.Fingerprint) bool {
	for _, part := range ct.PromptParts {
		if part.Fingerprint() == fp {
			return true
		}
	}
	return ct.Fingerprint == fp
}

// confirmsAll reports whether the entry has all of the crashes as confirmed ones.
func (en *entry) confirmsAll(crashes map[CrashID]time.Time) bool {
	for crash := range crashes {
		if !en.crashes[crash].status.isConfirmed() {
			return false
		}
	}
	return true
}

// PartsCompleted records that an answer to a prompt with the given parts was completed, which clears all crashes that
// are recorded for them. It returns the evidence that changed, for other hosts.
func (tb *Table) PartsCompleted(now time.Time, parts []id.PromptPart) []Evidence {
	var cleared []Evidence
	for _, part := range parts {
		tb.soundParts.add(now, part, tb.config.Parts.SoundTTL)
		cleared = append(cleared, tb.RequestCompleted(now, part.Fingerprint())...)
	}
	return cleared
}

// maxSoundParts bounds each of the two generations of soundParts.
const maxSoundParts = 20_000

// soundParts remembers when answers to prompts with a part were last completed. It holds two generations of parts and
// drops the older one when the newer one is full or as old as the time for which parts are remembered.
type soundParts struct {
	newer, older map[id.PromptPart]time.Time
	newerSince   time.Time
}

func (sp *soundParts) add(now time.Time, part id.PromptPart, ttl time.Duration) {
	if sp.newer == nil || len(sp.newer) >= maxSoundParts || now.Sub(sp.newerSince) > ttl {
		sp.newer, sp.older, sp.newerSince = map[id.PromptPart]time.Time{}, sp.newer, now
	}
	sp.newer[part] = now
}

// contains reports whether an answer with the part was completed within ttl.
func (sp *soundParts) contains(now time.Time, part id.PromptPart, ttl time.Duration) bool {
	completedAt, ok := sp.newer[part]
	if !ok {
		completedAt, ok = sp.older[part]
	}
	return ok && now.Sub(completedAt) <= ttl
}
