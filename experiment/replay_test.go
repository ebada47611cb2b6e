package experiment_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/experiment"
)

const seeds = 5

func read(t *testing.T, name string) experiment.Pattern {
	pt, err := experiment.Read("testdata/" + name)
	assert.NilError(t, err)
	return pt
}

// TestTargets holds the target's time to the first event for short prompts, and that no kind of request is starved:
// each is served at least a quarter as often as all.
func TestTargets(t *testing.T) {
	const target = 930 * time.Millisecond
	for _, name := range []string{"waves.ini", "crest.ini"} {
		pt := read(t, name)
		sm := experiment.Compare(pt, batch.DefaultConfig(), seeds)
		assert.Assert(t, sm.First[0] <= target, "%s: %v", name, sm.First[0])
		var all float64
		for _, served := range sm.Served {
			all += served / float64(len(sm.Served))
		}
		for ix, served := range sm.Served {
			assert.Assert(t, served >= all/4, "%s: %s is served %.2f of the time, all %.2f", name, pt.Kinds[ix].Name, served, all)
		}
	}
}

// TestEachGainCounts compares what hosts do with the same without one part of it, on the same seeds.
func TestEachGainCounts(t *testing.T) {
	pt := read(t, "waves.ini")
	worth := map[string]float64{}
	for _, pl := range experiment.Policies() {
		worth[pl.Name] = experiment.Compare(pt, pl.Config, seeds).Worth
	}
	for _, name := range []string{"one-engine", "few-parts", "no-packing", "no-pauses", "any-part"} {
		assert.Assert(t, worth["default"] > worth[name], "%s earns %.3f, the default %.3f", name, worth[name], worth["default"])
	}
}

// TestRunsRepeat gives the same figures for the same seed.
func TestRunsRepeat(t *testing.T) {
	pt := read(t, "crest.ini")
	first, second := experiment.Run(pt, batch.DefaultConfig(), 3), experiment.Run(pt, batch.DefaultConfig(), 3)
	assert.DeepEqual(t, first.Worth, second.Worth)
	assert.DeepEqual(t, first.Kinds[2].First, second.Kinds[2].First)
}

// TestBadPatterns names what is wrong with a pattern file.
func TestBadPatterns(t *testing.T) {
	for _, name := range []string{"none.ini", "unknown-section.txt", "bad-value.txt"} {
		_, err := experiment.Read("testdata/" + name)
		assert.ErrorContains(t, err, name)
	}
}
