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
	// current is the newest delivery that has not ended; nil if there is none.
	current *delivery
}

// delivery is a report with evidence that is under way to a dispatcher.
type delivery struct {
	dispatcher id.Host
	// addedCount is the number of entries ever added when the report was made.
	addedCount int
	evidence   []quarantine.Evidence
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

// beginDelivery drops expired entries and begins to deliver to a dispatcher the evidence that it has not received. It
// returns nil if there is none, or while another delivery to the dispatcher is under way. endDelivery must be called
// once the delivery has ended.
func (eb *evidenceBuffer) beginDelivery(now time.Time, dispatcher id.Host) *delivery {
	if eb.current != nil && eb.current.dispatcher == dispatcher {
		return nil
	}
	expired := 0
	for expired < len(eb.entries) && now.Sub(eb.entries[expired].addedAt) > evidenceTTL {
		expired++
	}
	eb.dropOldest(expired)
	first := 0
	if eb.recipient == dispatcher {
		first = max(0, eb.deliveredCount-eb.droppedCount)
	}
	if first == len(eb.entries) {
		return nil
	}
	eb.current = &delivery{dispatcher: dispatcher, addedCount: eb.droppedCount + len(eb.entries)}
	for _, entry := range eb.entries[first:] {
		eb.current.evidence = append(eb.current.evidence, entry.Evidence)
	}
	return eb.current
}

// endDelivery records whether the dispatcher has received a delivery, and reports whether more evidence has been added
// meanwhile. It ignores a delivery that another one, to another dispatcher, has replaced.
func (eb *evidenceBuffer) endDelivery(dl *delivery, received bool) bool {
	if eb.current != dl {
		return false
	}
	eb.current = nil
	if !received {
		return false
	}
	eb.recipient, eb.deliveredCount = dl.dispatcher, dl.addedCount
	return eb.droppedCount+len(eb.entries) > dl.addedCount
}
