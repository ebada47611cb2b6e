package experiment_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/experiment"
)

const seeds = 5

// patterns are the patterns of load of testdata.
var patterns = []string{"waves.ini", "crest.ini", "burst.ini", "hot-key.ini", "impatient.ini", "leaving.ini", "flood.ini", "heavy-tail.ini"}

func read(t *testing.T, name string) experiment.Pattern {
	pt, err := experiment.ReadPattern("testdata/" + name)
	assert.NilError(t, err)
	return pt
}

// TestFirstEventTargets holds the target's time to the first event for short prompts, and that no kind of request is starved:
// each is served at least a quarter as often as all.
func TestFirstEventTargets(t *testing.T) {
	const target = 930 * time.Millisecond
	for _, name := range patterns {
		pt := read(t, name)
		sm := experiment.RunSeeds(pt, batch.DefaultConfig(), seeds, nil)
		assert.Assert(t, sm.Kinds[0].FirstEventP95 <= target, "%s: %v", name, sm.Kinds[0].FirstEventP95)
		var all float64
		for _, ks := range sm.Kinds {
			all += ks.ServedShare / float64(len(sm.Kinds))
		}
		for ix, ks := range sm.Kinds {
			assert.Assert(t, ks.ServedShare >= all/4, "%s: %s is served %.2f of the time, all %.2f", name, pt.Kinds[ix].Name, ks.ServedShare, all)
		}
	}
}

// mean replays a pattern with several seeds and returns the mean of a figure.
func mean(pt experiment.Pattern, pl experiment.Policy, figure func(experiment.Result) float64) float64 {
	var sum float64
	for seed := range uint64(seeds) {
		sum += figure(experiment.Run(pt, pl.Config, seed))
	}
	return sum / seeds
}

// better holds that the default gives a higher mean than other ways.
func better(t *testing.T, pattern string, figure func(experiment.Result) float64, others ...string) {
	t.Helper()
	pt := read(t, pattern)
	means := map[string]float64{}
	for _, pl := range experiment.Policies() {
		if pl.Name == "default" || slices.Contains(others, pl.Name) {
			means[pl.Name] = mean(pt, pl, figure)
		}
	}
	for _, name := range others {
		assert.Assert(t, means[name] > 0, "%s does not exist", name)
		assert.Assert(t, means["default"] > means[name], "%s: %s gives %.3f, the default %.3f", pattern, name, means[name], means["default"])
	}
}

func worth(rs experiment.Result) float64 { return rs.EarnedShare }

// TestDefaultBeatsPoliciesWithoutOneRule compares what hosts do with the same without one part of it, on the same seeds.
func TestDefaultBeatsPoliciesWithoutOneRule(t *testing.T) {
	better(t, "waves.ini", worth, "one-engine", "few-parts", "no-packing", "no-pauses", "any-part")
}

// TestFloodKeepsShortPromptsOnTime holds that engines whose slots are nearly full read less: in one organisation's flood of
// middle prompts the short ones of all others stay on time.
func TestFloodKeepsShortPromptsOnTime(t *testing.T) {
	better(t, "flood.ini", func(rs experiment.Result) float64 { return rs.Kinds[0].EarnedShare }, "full-reads")
}

// TestDefaultBeatsPlanningWithAllEngines compares the order for half of the engines with that for all of them, in a burst and in a flood.
func TestDefaultBeatsPlanningWithAllEngines(t *testing.T) {
	for _, pattern := range []string{"burst.ini", "flood.ini"} {
		better(t, pattern, worth, "all-plan")
	}
}

// TestSameSeedGivesSameResult gives the same figures for the same seed.
func TestSameSeedGivesSameResult(t *testing.T) {
	pt := read(t, "crest.ini")
	first, second := experiment.Run(pt, batch.DefaultConfig(), 3), experiment.Run(pt, batch.DefaultConfig(), 3)
	assert.DeepEqual(t, first.EarnedShare, second.EarnedShare)
	assert.DeepEqual(t, first.Kinds[2].FirstEventTimes, second.Kinds[2].FirstEventTimes)
}

// TestInvalidPatterns names what is wrong with a pattern file.
func TestInvalidPatterns(t *testing.T) {
	for _, name := range []string{"none.ini", "unknown-section.txt", "bad-value.txt", "unknown-kind.txt", "too-many-lost.txt", "own-base.txt"} {
		_, err := experiment.ReadPattern("testdata/" + name)
		assert.ErrorContains(t, err, name)
	}
}

// TestUpperBound holds that no way earns more than the bound, and that the bound falls with the load.
func TestUpperBound(t *testing.T) {
	for _, name := range patterns {
		pt := read(t, name)
		rs := experiment.Run(pt, batch.DefaultConfig(), 0)
		bound := experiment.UpperBound(pt, 0)
		assert.Assert(t, rs.EarnedShare <= bound, "%s: earns %.3f of at most %.3f", name, rs.EarnedShare, bound)
	}
	pt := read(t, "waves.ini")
	pt.EngineCount /= 4
	bound := experiment.UpperBound(pt, 0)
	assert.Assert(t, bound < 0.9, "a quarter of the engines may earn %.3f", bound)
}
