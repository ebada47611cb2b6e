package broker

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

const (
	// maxEvidenceEntries is the number of newest evidence entries that a host retains for each service, for the case
	// that another host takes over as dispatcher.
	maxEvidenceEntries = 1000
	// evidenceTTL is how long an entry is retained.
	evidenceTTL = 10 * time.Minute
)

// evidenceBuffer retains a host's recent evidence about crashes of one service's backend servers, oldest first, and
// tracks how much of it the current dispatcher has received. The client's mutex guards it.
type evidenceBuffer struct {
	entries []evidenceEntry
	// droppedCount is the number of entries that were dropped from the front.
	droppedCount int
	// recipient is the dispatcher that received the latest delivery.
	recipient id.Host
	// deliveredCount is the number of entries that recipient has, counted from the first entry ever added.
	deliveredCount int
}

// evidenceEntry is evidence with the time at which it was added.
type evidenceEntry struct {
	quarantine.Evidence
	addedAt time.Time
}

// add appends evidence and drops the oldest entries beyond maxEvidenceEntries.
func (eb *evidenceBuffer) add(now time.Time, evidence quarantine.Evidence) {
	eb.entries = append(eb.entries, evidenceEntry{evidence, now})
	if excess := len(eb.entries) - maxEvidenceEntries; excess > 0 {
		eb.dropOldest(excess)
	}
}

func (eb *evidenceBuffer) dropOldest(count int) {
	eb.entries = eb.entries[count:]
	eb.droppedCount += count
}

// undelivered drops expired entries and returns the evidence that a dispatcher has not received, and the number of
// entries ever added, to be passed to markDelivered once the evidence has arrived.
func (eb *evidenceBuffer) undelivered(now time.Time, dispatcher id.Host) ([]quarantine.Evidence, int) {
	expired := 0
	for expired < len(eb.entries) && now.Sub(eb.entries[expired].addedAt) > evidenceTTL {
		expired++
	}
	eb.dropOldest(expired)
	first := 0
	if eb.recipient == dispatcher {
		first = max(0, eb.deliveredCount-eb.droppedCount)
	}
	var evidence []quarantine.Evidence
	for _, entry := range eb.entries[first:] {
		evidence = append(evidence, entry.Evidence)
	}
	return evidence, eb.droppedCount + len(eb.entries)
}

// markDelivered records that a dispatcher has the first addedCount entries, counted from the first entry ever added.
func (eb *evidenceBuffer) markDelivered(dispatcher id.Host, addedCount int) {
	if eb.recipient == dispatcher {
		addedCount = max(addedCount, eb.deliveredCount)
	}
	eb.recipient, eb.deliveredCount = dispatcher, addedCount
}
