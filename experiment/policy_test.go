package experiment_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/experiment"
)

const seedCount = 5

// patternFiles are the patterns in testdata that the dispatcher has to handle well.
var patternFiles = []string{"waves.ini", "crest.ini", "burst.ini", "hot-key.ini", "impatient.ini", "leaving.ini", "flood.ini", "heavy-tail.ini"}

func readPattern(t *testing.T, name string) experiment.Pattern {
	pt, err := experiment.ReadPattern("testdata/" + name)
	assert.NilError(t, err)
	return pt
}

// TestFirstEventTargets checks that the 95th percentile of the time to the first event of short prompts is within the
// project's target, maxFirstEventP95, under every pattern; the Target of the kind is stricter. It also checks that no
// kind of request starves: the served share of each kind is at least a quarter of the mean over all kinds.
func TestFirstEventTargets(t *testing.T) {
	const maxFirstEventP95 = 930 * time.Millisecond
	for _, name := range patternFiles {
		pt := readPattern(t, name)
		summary := experiment.RunSeeds(pt, batch.DefaultConfig(), seedCount, nil)
		assert.Assert(t, summary.Kinds[0].FirstEventP95 <= maxFirstEventP95, "%s: %v", name, summary.Kinds[0].FirstEventP95)
		var meanServedShare float64
		for _, ks := range summary.Kinds {
			meanServedShare += ks.ServedShare / float64(len(summary.Kinds))
		}
		for kindIndex, ks := range summary.Kinds {
			assert.Assert(t, ks.ServedShare >= meanServedShare/4, "%s: %s: %.2f of the requests are served, %.2f on average", name, pt.Kinds[kindIndex].Name, ks.ServedShare, meanServedShare)
		}
	}
}

// meanOverSeeds simulates a pattern with seedCount seeds and returns the mean of a metric.
func meanOverSeeds(pt experiment.Pattern, policy experiment.Policy, metric func(experiment.Result) float64) float64 {
	var sum float64
	for seed := range uint64(seedCount) {
		sum += metric(experiment.Run(pt, policy.Config, seed))
	}
	return sum / seedCount
}

// assertDefaultBetter checks that the default policy has a higher mean of a metric than each of the other policies.
func assertDefaultBetter(t *testing.T, pattern string, metric func(experiment.Result) float64, otherPolicies ...string) {
	t.Helper()
	pt := readPattern(t, pattern)
	means := map[string]float64{}
	for _, pl := range experiment.Policies() {
		if pl.Name == "default" || slices.Contains(otherPolicies, pl.Name) {
			means[pl.Name] = meanOverSeeds(pt, pl, metric)
		}
	}
	for _, name := range otherPolicies {
		assert.Assert(t, means[name] > 0, "the policy %s does not exist or its mean is zero", name)
		assert.Assert(t, means["default"] > means[name], "%s: %s gives %.3f, the default %.3f", pattern, name, means[name], means["default"])
	}
}

func earnedShare(rs experiment.Result) float64 { return rs.EarnedShare }

// TestDefaultBeatsPoliciesWithoutOneRule checks that each of several rules of the default policy contributes to the
// earned benefit, by comparing it with policies that lack one of them, on the same seeds.
func TestDefaultBeatsPoliciesWithoutOneRule(t *testing.T) {
	assertDefaultBetter(t, "waves.ini", earnedShare, "one-engine", "few-parts", "no-packing", "no-pauses", "any-part")
}

// TestFloodKeepsShortPromptsOnTime checks the rule that engines whose slots are nearly full read less. In one
// organisation's flood of middle-sized prompts, short prompts earn more benefit with this rule than without it.
func TestFloodKeepsShortPromptsOnTime(t *testing.T) {
	assertDefaultBetter(t, "flood.ini", func(rs experiment.Result) float64 { return rs.Kinds[0].EarnedShare }, "full-reads")
}

// TestDefaultBeatsPlanningWithAllEngines checks that ordering the queue as if half of the engines read each prompt
// earns more than assuming that all of them do, in a burst and in a flood.
func TestDefaultBeatsPlanningWithAllEngines(t *testing.T) {
	for _, pattern := range []string{"burst.ini", "flood.ini"} {
		assertDefaultBetter(t, pattern, earnedShare, "all-plan")
	}
}

// TestCutOffZoneTakesEnginesFromOthers checks that hosts of one zone which can't reach the engines, because dials are
// refused or time out, take at most a twentieth of the benefit from each other zone.
func TestCutOffZoneTakesEnginesFromOthers(t *testing.T) {
	const toleratedLoss = 0.05
	pt := readPattern(t, "cut-off.ini")
	earnedByZone := func(pt experiment.Pattern, zone int) float64 {
		return meanOverSeeds(pt, experiment.Policy{Config: batch.DefaultConfig()}, func(rs experiment.Result) float64 { return rs.ZoneShares[zone] })
	}
	for _, dialTimeout := range []time.Duration{0, 400 * time.Millisecond} {
		withoutCut, withCut := pt, pt
		withoutCut.Cuts, withCut.Cuts = nil, slices.Clone(pt.Cuts)
		withCut.Cuts[0].DialTimeout = dialTimeout
		for zone := range pt.Clients.Zones {
			if zone != pt.Cuts[0].Zone {
				got, want := earnedByZone(withCut, zone), earnedByZone(withoutCut, zone)
				assert.Check(t, got >= want-toleratedLoss, "dials end after %s: zone %d earns %.3f, without the cut %.3f", dialTimeout, zone, got, want)
			}
		}
	}
}

// TestSameSeedGivesSameResult checks that a simulation is deterministic.
func TestSameSeedGivesSameResult(t *testing.T) {
	pt := readPattern(t, "crest.ini")
	first, second := experiment.Run(pt, batch.DefaultConfig(), 3), experiment.Run(pt, batch.DefaultConfig(), 3)
	assert.DeepEqual(t, first.EarnedShare, second.EarnedShare)
	assert.DeepEqual(t, first.Kinds[2].FirstEventTimes, second.Kinds[2].FirstEventTimes)
}

// TestInvalidPatterns checks that invalid and missing pattern files are rejected with an error that names the file.
func TestInvalidPatterns(t *testing.T) {
	for _, name := range []string{"none.ini", "unknown-section.txt", "bad-value.txt", "unknown-kind.txt", "too-many-lost.txt", "own-base.txt", "unknown-zone.txt"} {
		_, err := experiment.ReadPattern("testdata/" + name)
		assert.ErrorContains(t, err, name)
	}
}

// TestUpperBound checks that the default policy earns no more than the bound, and that the bound falls when the load
// exceeds the engines.
func TestUpperBound(t *testing.T) {
	for _, name := range patternFiles {
		pt := readPattern(t, name)
		rs := experiment.Run(pt, batch.DefaultConfig(), 0)
		bound := experiment.UpperBound(pt, 0)
		assert.Assert(t, rs.EarnedShare <= bound, "%s: earns %.3f of at most %.3f", name, rs.EarnedShare, bound)
	}
	pt := readPattern(t, "waves.ini")
	pt.EngineCount /= 4
	bound := experiment.UpperBound(pt, 0)
	assert.Assert(t, bound < 0.9, "the bound with a quarter of the engines is %.3f", bound)
}

// TestCrestAtTheEdgeOfSlots checks that in a crest of short prompts that takes all slots, most of those that are served are
// on time: the short prompts earn clearly more, in the worst two seconds too, than with predictions that leave out the
// passes of the engines, and no fewer of them are served. The other kinds must not pay for it.
func TestCrestAtTheEdgeOfSlots(t *testing.T) {
	const minGain, minWorstGain, toleratedLoss = 0.08, 0.2, 0.02
	for _, pattern := range []string{"slot-edge.ini", "slots.ini"} {
		pt := readPattern(t, pattern)
		with := experiment.RunSeeds(pt, policyNamed(t, "default").Config, seedCount, nil)
		without := experiment.RunSeeds(pt, policyNamed(t, "no-correction").Config, seedCount, nil)
		assert.Assert(t, with.Kinds[0].EarnedShare >= without.Kinds[0].EarnedShare+minGain, "%s: %.3f, without correction %.3f", pattern, with.Kinds[0].EarnedShare, without.Kinds[0].EarnedShare)
		assert.Assert(t, with.WorstWindowShare >= without.WorstWindowShare+minWorstGain, "%s: %.3f in the worst window, without correction %.3f", pattern, with.WorstWindowShare, without.WorstWindowShare)
		for ix := range pt.Kinds {
			assert.Assert(t, with.Kinds[ix].EarnedShare >= without.Kinds[ix].EarnedShare-toleratedLoss, "%s: %s: %.3f, without correction %.3f", pattern, pt.Kinds[ix].Name, with.Kinds[ix].EarnedShare, without.Kinds[ix].EarnedShare)
			assert.Assert(t, with.Kinds[ix].ServedShare >= without.Kinds[ix].ServedShare-toleratedLoss, "%s: %s: %.3f served, without correction %.3f", pattern, pt.Kinds[ix].Name, with.Kinds[ix].ServedShare, without.Kinds[ix].ServedShare)
		}
	}
}

// policyNamed returns the policy with a name.
func policyNamed(t *testing.T, name string) experiment.Policy {
	t.Helper()
	policies := experiment.Policies()
	ix := slices.IndexFunc(policies, func(pl experiment.Policy) bool { return pl.Name == name })
	assert.Assert(t, ix >= 0, "the policy %s does not exist", name)
	return policies[ix]
}

// TestEarlyRefusalsCostNoBenefit checks that refusing short prompts that are predicted to get no slot in time costs no
// benefit beyond the noise of the seeds, and that those that are answered get their first event earlier.
func TestEarlyRefusalsCostNoBenefit(t *testing.T) {
	const toleratedLoss = 0.005
	for _, pattern := range []string{"slot-edge.ini", "slots.ini"} {
		pt := readPattern(t, pattern)
		with := experiment.RunSeeds(pt, policyNamed(t, "early-refusal").Config, seedCount, nil)
		without := experiment.RunSeeds(pt, policyNamed(t, "default").Config, seedCount, nil)
		assert.Assert(t, with.EarnedShare >= without.EarnedShare-toleratedLoss, "%s: %.3f, without refusals %.3f", pattern, with.EarnedShare, without.EarnedShare)
		assert.Assert(t, with.Kinds[0].FirstEventP95 < without.Kinds[0].FirstEventP95, "%s: %s, without refusals %s", pattern, with.Kinds[0].FirstEventP95, without.Kinds[0].FirstEventP95)
	}
}
