package broker

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

const (
	// maxEvidence bounds the evidence that a host keeps for the next dispatcher of a service.
	maxEvidence = 1000
	// evidenceTTL is how long it keeps it.
	evidenceTTL = 10 * time.Minute
)

// evidence is what a host found out of crashes of a service's servers, in order, and how much of it a dispatcher has.
type evidence struct {
	found []foundEvidence
	// dropped counts what was there before the first one that is kept.
	dropped int
	// to is the dispatcher that has the first of them, sent their number, those that were dropped included.
	to   id.Host
	sent int
}

type foundEvidence struct {
	quarantine.Evidence
	at time.Time
}

func (ec *evidence) add(now time.Time, ev quarantine.Evidence) {
	ec.found = append(ec.found, foundEvidence{ev, now})
	if over := len(ec.found) - maxEvidence; over > 0 {
		ec.drop(over)
	}
}

func (ec *evidence) drop(count int) {
	ec.found = ec.found[count:]
	ec.dropped += count
}

// outstanding returns what a dispatcher does not have, and the end of all evidence.
func (ec *evidence) outstanding(now time.Time, host id.Host) ([]quarantine.Evidence, int) {
	old := 0
	for old < len(ec.found) && now.Sub(ec.found[old].at) > evidenceTTL {
		old++
	}
	ec.drop(old)
	first := 0
	if ec.to == host {
		first = max(0, ec.sent-ec.dropped)
	}
	var found []quarantine.Evidence
	for _, fe := range ec.found[first:] {
		found = append(found, fe.Evidence)
	}
	return found, ec.dropped + len(ec.found)
}

// delivered notes that a dispatcher has all evidence up to an end.
func (ec *evidence) delivered(host id.Host, end int) {
	if ec.to == host {
		end = max(end, ec.sent)
	}
	ec.to, ec.sent = host, end
}
