package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// crashingFP is the fingerprint of a request that crashes each server that runs it.
const crashingFP id.Fingerprint = 7

var (
	// refuseAfterTwo and refuseAfterThree refuse a request after two and three confirmed crashes.
	refuseAfterTwo   = quarantine.Config{CrashLimit: 2, TTL: time.Hour, ReportTTL: 5 * time.Second}
	refuseAfterThree = quarantine.Config{CrashLimit: 3, TTL: time.Hour, ReportTTL: 5 * time.Second}
	start            = time.Unix(1000, 0)
)

func confirmedEvidence(fp id.Fingerprint, crash quarantine.CrashID) quarantine.Evidence {
	return quarantine.Evidence{Fingerprint: fp, Crash: crash, Status: quarantine.Confirmed}
}

// TestCrashingRequestIsRefusedAfterTwoCrashes runs a request that crashes every engine as often as the table allows.
// However its attempts and crashes interleave, there must be no third crash.
func TestCrashingRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := quarantine.New(refuseAfterTwo)
		now := start
		runningAttempts, crashes, isolatedAttempts := 0, 0, 0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0, 1:
				switch tb.Decide(now, crashingFP) {
				case quarantine.RunAlone:
					isolatedAttempts++
					fallthrough
				case quarantine.Run:
					tb.AttemptStarted(now, crashingFP)
					runningAttempts++
				case quarantine.Wait, quarantine.Hold, quarantine.Refuse:
				}
			case 2:
				if runningAttempts > 0 {
					runningAttempts--
					crashes++
					tb.Learn(now, confirmedEvidence(crashingFP, quarantine.CrashID(crashes)))
					tb.AttemptEnded(now, crashingFP)
				}
			}
		}
		if crashes > 2 {
			rt.Fatalf("%d crashes", crashes)
		}
		if crashes == 2 && tb.Decide(now, crashingFP) != quarantine.Refuse {
			rt.Fatal("a request with two crashes is not refused")
		}
		if isolatedAttempts > 1 {
			rt.Fatalf("%d attempts were allowed to run alone", isolatedAttempts)
		}
	})
}

// TestSingleEngineCrashQuarantinesNoRequest has an engine crash under many unrelated requests. Each of them then runs
// alone, and counts as unrelated to the crash once it has run to completion.
func TestSingleEngineCrashQuarantinesNoRequest(t *testing.T) {
	tb := quarantine.New(refuseAfterTwo)
	now := start
	const unrelatedRequests = 20
	for fp := range id.Fingerprint(unrelatedRequests) {
		tb.AttemptStarted(now, fp)
	}
	for fp := range id.Fingerprint(unrelatedRequests) {
		tb.Learn(now, confirmedEvidence(fp, 1))
		tb.AttemptEnded(now, fp)
		assert.Equal(t, tb.Decide(now, fp), quarantine.RunAlone)
	}
	for fp := range id.Fingerprint(unrelatedRequests) {
		tb.AttemptStarted(now, fp)
		tb.AttemptEnded(now, fp)
		assert.Equal(t, len(tb.RequestCompleted(now, fp)), 1)
		assert.Equal(t, tb.Decide(now, fp), quarantine.Run)
	}
	assert.Equal(t, len(tb.RefusedFingerprints(now)), 0)
}

// TestCrashesBelowLimitDoNotRefuse checks that a request may still run after two crashes if the limit is three: servers
// also crash for other reasons. After the second crash it runs alone.
func TestCrashesBelowLimitDoNotRefuse(t *testing.T) {
	tb := quarantine.New(refuseAfterThree)
	tb.Learn(start, confirmedEvidence(crashingFP, 1))
	assert.Equal(t, tb.Decide(start, crashingFP), quarantine.Run)
	tb.Learn(start, confirmedEvidence(crashingFP, 2))
	assert.Equal(t, tb.Decide(start, crashingFP), quarantine.RunAlone)
	tb.Learn(start, confirmedEvidence(crashingFP, 3))
	assert.Equal(t, tb.Decide(start, crashingFP), quarantine.Refuse)
}

// TestCrashesReportedByDifferentHostsAddUp has each of three hosts see one crash and send it to the others. The crashes
// add up to the limit, and a crash that is received more than once counts exactly once.
func TestCrashesReportedByDifferentHostsAddUp(t *testing.T) {
	var tables []*quarantine.Table
	for host := range 3 {
		tb := quarantine.New(refuseAfterThree)
		tb.Learn(start, confirmedEvidence(crashingFP, quarantine.CrashID(host)))
		tables = append(tables, tb)
	}
	for _, tb := range tables {
		for crash := range quarantine.CrashID(2) {
			tb.Learn(start, confirmedEvidence(crashingFP, crash))
			tb.Learn(start, confirmedEvidence(crashingFP, crash))
		}
	}
	assert.Equal(t, tables[0].Decide(start, crashingFP), quarantine.RunAlone)
	for _, tb := range tables {
		tb.Learn(start, confirmedEvidence(crashingFP, 2))
		assert.Equal(t, tb.Decide(start, crashingFP), quarantine.Refuse)
	}
}

// TestTablesConvergeInAnyOrder checks that two tables decide alike after they have learned the same evidence in
// different orders, one of them each piece twice.
func TestTablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var evidence []quarantine.Evidence
		for range rapid.IntRange(1, 30).Draw(rt, "evidence") {
			evidence = append(evidence, quarantine.Evidence{
				Fingerprint: id.Fingerprint(rapid.IntRange(1, 3).Draw(rt, "fingerprint")),
				Crash:       quarantine.CrashID(rapid.IntRange(1, 5).Draw(rt, "crash")),
				Status:      quarantine.CrashStatus(rapid.IntRange(int(quarantine.Reported), int(quarantine.Cleared)).Draw(rt, "status")),
			})
		}
		ordered, reordered := quarantine.New(refuseAfterThree), quarantine.New(refuseAfterThree)
		for _, ev := range evidence {
			ordered.Learn(start, ev)
		}
		shuffled := rapid.Permutation(append(evidence, evidence...)).Draw(rt, "order")
		for _, ev := range shuffled {
			reordered.Learn(start, ev)
		}
		for fp := range id.Fingerprint(4) {
			if ordered.Decide(start, fp) != reordered.Decide(start, fp) {
				rt.Fatalf("fingerprint %d: decisions %d and %d", fp, ordered.Decide(start, fp), reordered.Decide(start, fp))
			}
		}
	})
}

// TestUnconfirmedReportsHoldRequest checks that a request is held while reported crashes are neither confirmed nor
// expired, and refused when they are confirmed after their reports have expired.
func TestUnconfirmedReportsHoldRequest(t *testing.T) {
	tb := quarantine.New(refuseAfterThree)
	for crash := range quarantine.CrashID(3) {
		tb.Learn(start, quarantine.Evidence{Fingerprint: crashingFP, Crash: crash, Status: quarantine.Reported})
	}
	assert.Equal(t, tb.Decide(start.Add(time.Second), crashingFP), quarantine.Hold)
	assert.Equal(t, tb.DecisionExpiresIn(start.Add(time.Second), crashingFP), 4*time.Second)
	assert.Equal(t, tb.Decide(start.Add(6*time.Second), crashingFP), quarantine.Run, "the reports have expired")
	for crash := range quarantine.CrashID(3) {
		tb.Learn(start.Add(7*time.Second), confirmedEvidence(crashingFP, crash))
	}
	assert.Equal(t, tb.Decide(start.Add(7*time.Second), crashingFP), quarantine.Refuse)
}

// TestConcurrentRequestsAreNotRefusedWhileAmbiguous has two requests run together on each server that crashes. Neither
// is refused until one more crash shows which of them is the cause; then only that one is refused.
func TestConcurrentRequestsAreNotRefusedWhileAmbiguous(t *testing.T) {
	const concurrentFP id.Fingerprint = 8
	tb := quarantine.New(refuseAfterThree)
	for crash := range quarantine.CrashID(3) {
		tb.Learn(start, confirmedEvidence(crashingFP, crash))
		tb.Learn(start, confirmedEvidence(concurrentFP, crash))
	}
	assert.Equal(t, len(tb.RefusedFingerprints(start)), 0)
	tb.Learn(start, confirmedEvidence(crashingFP, 4))
	assert.DeepEqual(t, tb.RefusedFingerprints(start), []id.Fingerprint{crashingFP})
	assert.Equal(t, tb.Decide(start, concurrentFP), quarantine.Run)
}

// TestCompletionClearsEarlierCrashes checks that a request that ran to completion may run again, even if another host
// sends evidence of an earlier crash once more. Later crashes count again.
func TestCompletionClearsEarlierCrashes(t *testing.T) {
	tb := quarantine.New(refuseAfterThree)
	tb.Learn(start, confirmedEvidence(crashingFP, 1))
	tb.Learn(start, confirmedEvidence(crashingFP, 2))
	assert.Equal(t, len(tb.RequestCompleted(start, crashingFP)), 2)
	tb.Learn(start, confirmedEvidence(crashingFP, 1))
	assert.Equal(t, tb.Decide(start, crashingFP), quarantine.Run)
	for crash := range quarantine.CrashID(3) {
		tb.Learn(start, confirmedEvidence(crashingFP, 10+crash))
	}
	assert.Equal(t, tb.Decide(start, crashingFP), quarantine.Refuse)
}

// TestRefusalExpires checks that a refused request may run again after the evidence against it has expired.
func TestRefusalExpires(t *testing.T) {
	tb := quarantine.New(refuseAfterTwo)
	assert.Assert(t, tb.Learn(start, confirmedEvidence(crashingFP, 1)))
	assert.Assert(t, tb.Learn(start, confirmedEvidence(crashingFP, 2)))
	assert.Assert(t, !tb.Learn(start, confirmedEvidence(crashingFP, 1)))
	assert.Equal(t, tb.Decide(start, crashingFP), quarantine.Refuse)
	assert.Equal(t, tb.DecisionExpiresIn(start, crashingFP), time.Hour)
	assert.Equal(t, tb.Decide(start.Add(2*time.Hour), crashingFP), quarantine.Run)
}

func TestTableSizeIsBounded(t *testing.T) {
	tb := quarantine.New(refuseAfterTwo)
	for fp := range id.Fingerprint(30_000) {
		tb.Learn(start.Add(time.Duration(fp)), confirmedEvidence(fp, 1))
	}
	assert.Equal(t, tb.Len(), 10_000, fmt.Sprint(tb.Len()))
}

// TestRandomServerCrashes has servers crash at random while they run unrelated requests, and one request return in
// every round that crashes each server that runs it. Unrelated requests are tried four times at most.
//
// The crashing request must be refused after one crash more than the limit at the latest. An unrelated request must not
// be refused unless it has seen as many crashes as the limit on servers that did not run the crashing request.
func TestRandomServerCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const (
			servers     = 5
			maxAttempts = 4
			rounds      = 40
		)
		tb := quarantine.New(refuseAfterThree)
		crashProbability := rapid.Float64Range(0, 0.4).Draw(rt, "crash probability")
		probability := rapid.Float64Range(0, 1)
		now := start
		lastCrash, crashingAttempts := quarantine.CrashID(0), 0
		type unrelatedRequest struct {
			fp                         id.Fingerprint
			attempts, unrelatedCrashes int
		}
		nextFP := id.Fingerprint(100)
		var waiting []unrelatedRequest
		for range rounds {
			now = now.Add(time.Second)
			for len(waiting) < 8 {
				nextFP++
				waiting = append(waiting, unrelatedRequest{fp: nextFP})
			}
			assigned := make([][]unrelatedRequest, servers)
			var retried []unrelatedRequest
			for _, rq := range waiting {
				if tb.Decide(now, rq.fp) == quarantine.Refuse {
					if rq.unrelatedCrashes < refuseAfterThree.CrashLimit {
						rt.Fatalf("unrelated request refused after %d unrelated crashes", rq.unrelatedCrashes)
					}
					continue
				}
				server := rapid.IntRange(0, servers-1).Draw(rt, "server")
				assigned[server] = append(assigned[server], rq)
			}
			crashingServer := -1
			if tb.Decide(now, crashingFP) != quarantine.Refuse {
				crashingServer = rapid.IntRange(0, servers-1).Draw(rt, "crashing server")
				crashingAttempts++
			}
			for server, requests := range assigned {
				if server != crashingServer && probability.Draw(rt, "probability") >= crashProbability {
					for _, rq := range requests {
						tb.RequestCompleted(now, rq.fp)
					}
					continue
				}
				lastCrash++
				if server == crashingServer {
					tb.Learn(now, confirmedEvidence(crashingFP, lastCrash))
				}
				for _, rq := range requests {
					tb.Learn(now, confirmedEvidence(rq.fp, lastCrash))
					rq.attempts++
					if server != crashingServer {
						rq.unrelatedCrashes++
					}
					if rq.attempts < maxAttempts {
						retried = append(retried, rq)
					}
				}
			}
			waiting = retried
		}
		if crashingAttempts > refuseAfterThree.CrashLimit+1 {
			rt.Fatalf("%d servers were crashed", crashingAttempts)
		}
	})
}

// TestManySingleCrashesDisplaceRefusedContent checks that a table which is full of contents with single crashes still refuses
// the content that crashed servers before them.
func TestManySingleCrashesDisplaceRefusedContent(t *testing.T) {
	tb := quarantine.New(refuseAfterThree)
	for crash := range quarantine.CrashID(3) {
		tb.Learn(start, confirmedEvidence(crashingFP, crash))
	}
	for number := range 30_000 {
		tb.Learn(start.Add(time.Duration(number)*time.Millisecond), confirmedEvidence(id.Fingerprint(1000+number), quarantine.CrashID(10+number/50)))
	}
	assert.Equal(t, tb.Decide(start.Add(time.Minute), crashingFP), quarantine.Refuse)
	assert.Assert(t, tb.Len() <= 10_000, "%d entries", tb.Len())
}

// TestSameEvidenceIsStoredTwice checks that evidence is to be stored once, and again when its status has changed.
func TestSameEvidenceIsStoredTwice(t *testing.T) {
	tb := quarantine.New(refuseAfterThree)
	confirmed := confirmedEvidence(crashingFP, 1)
	assert.Assert(t, !tb.MarkStored(confirmed), "the table does not hold the evidence")
	tb.Learn(start, confirmed)
	assert.Assert(t, tb.MarkStored(confirmed))
	assert.Assert(t, !tb.MarkStored(confirmed))
	cleared := tb.RequestCompleted(start, crashingFP)
	assert.Equal(t, len(cleared), 1)
	assert.Assert(t, tb.MarkStored(cleared[0]))
	assert.Assert(t, !tb.MarkStored(confirmed))
}
