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

// TestAtMostTwoCrashes runs a request that crashes every engine, as often as the table lets it.
func TestAtMostTwoCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb := quarantine.New(time.Hour)
		now := time.Unix(0, 0)
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
					tb.Started(now, poison)
					running++
				case quarantine.Wait, quarantine.Refuse:
				}
			case 2:
				if running > 0 {
					running--
					crashes++
					tb.Crashed(now, poison)
					tb.Ended(now, poison, false)
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

// TestPlainEngineDeathConvictsNobody runs innocent requests on engines that die now and then.
func TestPlainEngineDeathConvictsNobody(t *testing.T) {
	tb := quarantine.New(time.Hour)
	now := time.Unix(0, 0)
	const innocents = 20
	for fp := range id.Fingerprint(innocents) {
		tb.Started(now, fp)
	}
	for fp := range id.Fingerprint(innocents) {
		tb.Crashed(now, fp)
		tb.Ended(now, fp, false)
		assert.Equal(t, tb.Decide(now, fp), quarantine.RunAlone)
	}
	for fp := range id.Fingerprint(innocents) {
		tb.Started(now, fp)
		tb.Ended(now, fp, true)
		assert.Equal(t, tb.Decide(now, fp), quarantine.Run)
	}
	assert.Equal(t, len(tb.Convicted()), 0)
}

func TestConvictionIsLearntAndForgotten(t *testing.T) {
	tb := quarantine.New(time.Hour)
	now := time.Unix(0, 0)
	assert.Assert(t, tb.Learn(now, poison, 2))
	assert.Assert(t, !tb.Learn(now, poison, 1))
	assert.Equal(t, tb.Decide(now, poison), quarantine.Refuse)
	assert.Equal(t, tb.Decide(now.Add(2*time.Hour), poison), quarantine.Run)
}

func TestTableIsBounded(t *testing.T) {
	tb := quarantine.New(time.Hour)
	now := time.Unix(0, 0)
	for fp := range id.Fingerprint(30_000) {
		tb.Crashed(now.Add(time.Duration(fp)), fp)
	}
	assert.Equal(t, tb.Len(), 10_000, fmt.Sprint(tb.Len()))
}
