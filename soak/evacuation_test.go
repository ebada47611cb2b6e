package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// evacuationLimit is how long after a zone was evacuated requests may still reach its servers.
	evacuationLimit = 5 * time.Second
	// quietTime is how long no server of an evacuated zone has to start a request to count as left alone.
	quietTime = 500 * time.Millisecond
)

// zoneEvacuation is the time in which a zone is evacuated; to is zero until that has ended.
type zoneEvacuation struct {
	zone string
	timeSpan
}

// evacuateZones has the operator evacuate one or two zones, or seldom all, for longer than evacuationLimit, and take that
// back.
func evacuateZones(tb *testbed, random *rand.Rand) scheduledFault {
	var zones []string
	for _, ix := range random.Perm(zoneCount)[:[]int{1, 1, 1, 2, 2, zoneCount}[random.IntN(6)]] {
		zones = append(zones, fmt.Sprintf("zone-%c", 'a'+ix))
	}
	duration := evacuationLimit + time.Duration(random.Int64N(int64(3*time.Second)))
	return scheduledFault{
		planned: true, fixedDuration: duration, description: "the operator evacuates " + strings.Join(zones, " and "),
		inject: func() { tb.setEvacuated(true, zones...) },
		revert: func() { tb.setEvacuated(false, zones...) },
	}
}

// setEvacuated evacuates zones, or takes that back once for each time that they were evacuated.
func (tb *testbed) setEvacuated(evacuated bool, zones ...string) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	for _, zone := range zones {
		if evacuated {
			tb.evacuationCounts[zone]++
		} else {
			tb.evacuationCounts[zone]--
		}
		switch count := tb.evacuationCounts[zone]; {
		case evacuated && count == 1:
			tb.evacuations = append(tb.evacuations, &zoneEvacuation{zone: zone, timeSpan: timeSpan{from: time.Now()}})
		case !evacuated && count == 0:
			for _, ev := range tb.evacuations {
				if ev.zone == zone && ev.to.IsZero() {
					ev.to = time.Now()
				}
			}
		default:
			continue
		}
		tb.writeEvacuation(zone)
	}
}

// writeEvacuation writes to the store whether a zone is evacuated. The caller holds the mutex.
func (tb *testbed) writeEvacuation(zone string) {
	var value []byte
	if tb.evacuationCounts[zone] > 0 {
		value = []byte("{}")
	}
	tb.store.Put("keyed.op", "evacuate/"+zone, value)
}

// checkEvacuations checks, with -soak.timed, that no server of an evacuated zone started a request later than
// evacuationLimit after the evacuation, unless there was an unplanned fault within that time.
func (tb *testbed) checkEvacuations() {
	for _, ev := range tb.evacuations {
		for _, sv := range tb.servers {
			for _, run := range sv.ExecutedRequests() {
				late := sv.Zone == ev.zone && run.StartedAt.After(ev.from.Add(evacuationLimit)) && (ev.to.IsZero() || run.StartedAt.Before(ev.to))
				excused := slices.ContainsFunc(tb.unplannedFaults, func(span *timeSpan) bool {
					return span.from.Before(run.StartedAt) && (span.to.IsZero() || span.to.Add(contactTime).After(ev.from))
				})
				if late && !excused && *checkTimeLimits {
					tb.reportViolation("EVAC", "%s ran %s %s after %s was evacuated", sv.ID, run.Attempt, run.StartedAt.Sub(ev.from), ev.zone)
				}
			}
		}
	}
}

// runsInZone returns the number of requests that the servers of a zone have started.
func (tb *testbed) runsInZone(zone string) int {
	tb.mutex.Lock()
	servers := slices.Clone(tb.servers)
	tb.mutex.Unlock()
	count := 0
	for _, sv := range servers {
		if sv.Zone == zone {
			count += len(sv.ExecutedRequests())
		}
	}
	return count
}

// checkEvacuation evacuates each zone in turn after the faults, while clients send requests. It checks that its servers are
// left alone, with -soak.timed within evacuationLimit, and that they are used again when the evacuation ends.
func (tb *testbed) checkEvacuation() {
	for ix := range zoneCount {
		zone := fmt.Sprintf("zone-%c", 'a'+ix)
		tb.setEvacuated(true, zone)
		elapsed := tb.eventually("EVAC", "the servers of "+zone+" are left alone", func() bool {
			before := tb.runsInZone(zone)
			time.Sleep(quietTime)
			return tb.runsInZone(zone) == before
		})
		tb.checkTimeLimit("EVAC", "leaving an evacuated zone alone", elapsed-quietTime, evacuationLimit)
		before := tb.runsInZone(zone)
		tb.setEvacuated(false, zone)
		tb.eventually("EVAC", "the servers of "+zone+" are used again", func() bool { return tb.runsInZone(zone) > before })
	}
}
