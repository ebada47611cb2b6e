package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

func TestMain(m *testing.M) { checks.Main(m) }

const poison id.Fingerprint = 7

var (
	// two and three are tables that refuse after so many crashes.
	two   = quarantine.Config{CrashLimit: 2, TTL: time.Hour, ReportTTL: 5 * time.Second}
	three = quarantine.Config{CrashLimit: 3, TTL: time.Hour, ReportTTL: 5 * time.Second}
	start = time.Unix(1000, 0)
)

func confirmed(fp id.Fingerprint, crash quarantine.CrashID) quarantine.Evidence {
	return quarantine.Evidence{Fingerprint: fp, Crash: crash, Status: quarantine.Confirmed}
}

// TestCrashingRequestIsRefusedAfterTwoCrashes runs a request that crashes every engine, as often as the table lets it.
func TestCrashingRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := quarantine.New(two)
		now := start
		running, crashes, alone := 0, 0, 0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 2).Draw(rt, "action") {
			case 0, 1:
				switch tb.Decide(now, poison) {
				case quarantine.RunAlone:
					alone++
					fallthrough
				case quarantine.Run:
					tb.AttemptStarted(now, poison)
					running++
				case quarantine.Wait, quarantine.Hold, quarantine.Refuse:
				}
			case 2:
				if running > 0 {
					running--
					crashes++
					tb.Learn(now, confirmed(poison, quarantine.CrashID(crashes)))
					tb.AttemptEnded(now, poison)
				}
			}
		}
		if crashes > 2 {
			rt.Fatalf("%d crashes", crashes)
		}
		if crashes == 2 && tb.Decide(now, poison) != quarantine.Refuse {
			rt.Fatal("a request with two crashes is not refused")
		}
		if alone > 1 {
			rt.Fatalf("%d suspects at a time", alone)
		}
	})
}

// TestSingleEngineCrashQuarantinesNoRequest runs innocent requests on engines that die now and then.
func TestSingleEngineCrashQuarantinesNoRequest(t *testing.T) {
	tb := quarantine.New(two)
	now := start
	const innocents = 20
	for fp := range id.Fingerprint(innocents) {
		tb.AttemptStarted(now, fp)
	}
	for fp := range id.Fingerprint(innocents) {
		tb.Learn(now, confirmed(fp, 1))
		tb.AttemptEnded(now, fp)
		assert.Equal(t, tb.Decide(now, fp), quarantine.RunAlone)
	}
	for fp := range id.Fingerprint(innocents) {
		tb.AttemptStarted(now, fp)
		tb.AttemptEnded(now, fp)
		assert.Equal(t, len(tb.RequestCompleted(now, fp)), 1)
		assert.Equal(t, tb.Decide(now, fp), quarantine.Run)
	}
	assert.Equal(t, len(tb.RefusedFingerprints(now)), 0)
}

// TestCrashesBelowLimitDoNotRefuse lets a content run whose servers died twice, alone the second time.
func TestCrashesBelowLimitDoNotRefuse(t *testing.T) {
	tb := quarantine.New(three)
	tb.Learn(start, confirmed(poison, 1))
	assert.Equal(t, tb.Decide(start, poison), quarantine.Run)
	tb.Learn(start, confirmed(poison, 2))
	assert.Equal(t, tb.Decide(start, poison), quarantine.RunAlone)
	tb.Learn(start, confirmed(poison, 3))
	assert.Equal(t, tb.Decide(start, poison), quarantine.Refuse)
}

// TestCrashesReportedByDifferentHostsAddUp has each of three hosts count one crash, and tell the others; one crash that two of them
// tell counts once.
func TestCrashesReportedByDifferentHostsAddUp(t *testing.T) {
	var tables []*quarantine.Table
	for host := range 3 {
		tb := quarantine.New(three)
		tb.Learn(start, confirmed(poison, quarantine.CrashID(host)))
		tables = append(tables, tb)
	}
	for _, tb := range tables {
		for crash := range quarantine.CrashID(2) {
			tb.Learn(start, confirmed(poison, crash))
			tb.Learn(start, confirmed(poison, crash))
		}
	}
	assert.Equal(t, tables[0].Decide(start, poison), quarantine.RunAlone)
	for _, tb := range tables {
		tb.Learn(start, confirmed(poison, 2))
		assert.Equal(t, tb.Decide(start, poison), quarantine.Refuse)
	}
}

// TestTablesConvergeInAnyOrder has tables learn the same evidence in different orders, some of it several times.
func TestTablesConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var all []quarantine.Evidence
		for range rapid.IntRange(1, 30).Draw(rt, "evidence") {
			all = append(all, quarantine.Evidence{
				Fingerprint: id.Fingerprint(rapid.IntRange(1, 3).Draw(rt, "content")),
				Crash:       quarantine.CrashID(rapid.IntRange(1, 5).Draw(rt, "crash")),
				Status:    quarantine.CrashStatus(rapid.IntRange(int(quarantine.Reported), int(quarantine.Cleared)).Draw(rt, "standing")),
			})
		}
		one, other := quarantine.New(three), quarantine.New(three)
		for _, ev := range all {
			one.Learn(start, ev)
		}
		shuffled := rapid.Permutation(append(all, all...)).Draw(rt, "order")
		for _, ev := range shuffled {
			other.Learn(start, ev)
		}
		for fp := range id.Fingerprint(4) {
			if one.Decide(start, fp) != other.Decide(start, fp) {
				rt.Fatalf("content %d: %d and %d", fp, one.Decide(start, fp), other.Decide(start, fp))
			}
		}
	})
}

// TestUnconfirmedReportsHoldRequest holds a content back for as long as reports count that are neither confirmed nor cleared.
func TestUnconfirmedReportsHoldRequest(t *testing.T) {
	tb := quarantine.New(three)
	for crash := range quarantine.CrashID(3) {
		tb.Learn(start, quarantine.Evidence{Fingerprint: poison, Crash: crash, Status: quarantine.Reported})
	}
	assert.Equal(t, tb.Decide(start.Add(time.Second), poison), quarantine.Hold)
	assert.Equal(t, tb.DecisionExpiresIn(start.Add(time.Second), poison), 4*time.Second)
	assert.Equal(t, tb.Decide(start.Add(6*time.Second), poison), quarantine.Run, "reports have lapsed")
	for crash := range quarantine.CrashID(3) {
		tb.Learn(start.Add(7*time.Second), confirmed(poison, crash))
	}
	assert.Equal(t, tb.Decide(start.Add(7*time.Second), poison), quarantine.Refuse)
}

// TestConcurrentRequestsAreNotRefusedWhileAmbiguous has two contents together on each server that crashes. Neither is refused until one crash
// more tells which of them did it; then only that one is.
func TestConcurrentRequestsAreNotRefusedWhileAmbiguous(t *testing.T) {
	const neighbour id.Fingerprint = 8
	tb := quarantine.New(three)
	for crash := range quarantine.CrashID(3) {
		tb.Learn(start, confirmed(poison, crash))
		tb.Learn(start, confirmed(neighbour, crash))
	}
	assert.Equal(t, len(tb.RefusedFingerprints(start)), 0)
	tb.Learn(start, confirmed(poison, 4))
	assert.DeepEqual(t, tb.RefusedFingerprints(start), []id.Fingerprint{poison})
	assert.Equal(t, tb.Decide(start, neighbour), quarantine.Run)
}

// TestCompletionClearsEarlierCrashes lets a content run again that has run to its end, whatever is told of the crashes before, and counts
// the crashes after.
func TestCompletionClearsEarlierCrashes(t *testing.T) {
	tb := quarantine.New(three)
	tb.Learn(start, confirmed(poison, 1))
	tb.Learn(start, confirmed(poison, 2))
	assert.Equal(t, len(tb.RequestCompleted(start, poison)), 2)
	tb.Learn(start, confirmed(poison, 1))
	assert.Equal(t, tb.Decide(start, poison), quarantine.Run)
	for crash := range quarantine.CrashID(3) {
		tb.Learn(start, confirmed(poison, 10+crash))
	}
	assert.Equal(t, tb.Decide(start, poison), quarantine.Refuse)
}

func TestRefusalExpires(t *testing.T) {
	tb := quarantine.New(two)
	assert.Assert(t, tb.Learn(start, confirmed(poison, 1)))
	assert.Assert(t, tb.Learn(start, confirmed(poison, 2)))
	assert.Assert(t, !tb.Learn(start, confirmed(poison, 1)))
	assert.Equal(t, tb.Decide(start, poison), quarantine.Refuse)
	assert.Equal(t, tb.DecisionExpiresIn(start, poison), time.Hour)
	assert.Equal(t, tb.Decide(start.Add(2*time.Hour), poison), quarantine.Run)
}

func TestTableEvictsOldestEntries(t *testing.T) {
	tb := quarantine.New(two)
	for fp := range id.Fingerprint(30_000) {
		tb.Learn(start.Add(time.Duration(fp)), confirmed(fp, 1))
	}
	assert.Equal(t, tb.Len(), 10_000, fmt.Sprint(tb.Len()))
}

// TestRandomServerCrashes has servers die at random while innocent requests run on them and a request comes again and again that
// crashes each server that runs it. Innocent requests are tried four times at most. The one that crashes servers is refused
// after one crash more than the limit at the latest, and nobody is who died with fewer servers than the limit beside those
// that it crashed.
func TestRandomServerCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const (
			servers = 5
			tries   = 4
			rounds  = 40
		)
		tb := quarantine.New(three)
		death := rapid.Float64Range(0, 0.4).Draw(rt, "death")
		chance := rapid.Float64Range(0, 1)
		now := start
		crashes, culprit := quarantine.CrashID(0), 0
		type innocent struct {
			fp           id.Fingerprint
			tried, alone int
		}
		next := id.Fingerprint(100)
		var waiting []innocent
		for range rounds {
			now = now.Add(time.Second)
			for len(waiting) < 8 {
				next++
				waiting = append(waiting, innocent{fp: next})
			}
			runs := make([][]innocent, servers)
			var later []innocent
			for _, in := range waiting {
				if tb.Decide(now, in.fp) == quarantine.Refuse {
					if in.alone < three.CrashLimit {
						rt.Fatalf("refused after %d deaths of its own", in.alone)
					}
					continue
				}
				at := rapid.IntRange(0, servers-1).Draw(rt, "server")
				runs[at] = append(runs[at], in)
			}
			target := -1
			if tb.Decide(now, poison) != quarantine.Refuse {
				target = rapid.IntRange(0, servers-1).Draw(rt, "target")
				culprit++
			}
			for at, ran := range runs {
				if at != target && chance.Draw(rt, "chance") >= death {
					for _, in := range ran {
						tb.RequestCompleted(now, in.fp)
					}
					continue
				}
				crashes++
				if at == target {
					tb.Learn(now, confirmed(poison, crashes))
				}
				for _, in := range ran {
					tb.Learn(now, confirmed(in.fp, crashes))
					in.tried++
					if at != target {
						in.alone++
					}
					if in.tried < tries {
						later = append(later, in)
					}
				}
			}
			waiting = later
		}
		if culprit > three.CrashLimit+1 {
			rt.Fatalf("%d servers were crashed", culprit)
		}
	})
}
