package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/standin/batchmodel"
)

// Bounds that the default policy has to keep, from the project's stated target and the users' measures. P95 and P99
// stand for percentiles. Shares are between 0 and 1, and slowdowns are the ratios of type slowdown.
const (
	maxFirstTokenP95   = 930 * time.Millisecond
	maxTokenGapP95     = 46 * time.Millisecond
	maxSlowdownP95     = 1.25
	maxSlowdownP99     = 1.5
	minAnsweredInTime  = 0.99
	minFairShortServed = 0.99
	maxRecoveryTime    = 5 * time.Second
	// minLongThroughputShare is the least throughput of long prompts under the default policy, as a share of that under
	// the policy that is best for them.
	minLongThroughputShare = 0.9
)

// TestSteadyLoadBounds checks the latency, how much long prompts slow short ones down, and that every request is
// served, under a steady load of 70% of the capacity.
func TestSteadyLoadBounds(t *testing.T) {
	results := defaultScenario().measureSlowdowns(seeds)
	firstTokenP95 := medianOf(results, func(sd slowdown) float64 { return float64(quantile(sd.mixedLoad.firstTokenTimes, 0.95)) })
	tokenGapP95 := medianOf(results, func(sd slowdown) float64 { return float64(quantile(sd.mixedLoad.tokenGaps, 0.95)) })
	slowdownP95 := medianOf(results, func(sd slowdown) float64 { return sd.shortP95Ratio })
	slowdownP99 := medianOf(results, func(sd slowdown) float64 { return sd.shortP99Ratio })
	assert.Assert(t, time.Duration(firstTokenP95) <= maxFirstTokenP95, "time to first token %s", time.Duration(firstTokenP95))
	assert.Assert(t, time.Duration(tokenGapP95) <= maxTokenGapP95, "time between tokens %s", time.Duration(tokenGapP95))
	assert.Assert(t, slowdownP95 <= maxSlowdownP95, "slowdown of short prompts at p95: %.3f", slowdownP95)
	assert.Assert(t, slowdownP99 <= maxSlowdownP99, "slowdown of short prompts at p99: %.3f", slowdownP99)
	for _, sd := range results {
		assert.Equal(t, sd.mixedLoad.unservedRequests, 0)
	}
}

// TestLongPromptThroughput checks that long prompts have nearly the throughput under the default policy that they have
// under the policy that is best for them.
func TestLongPromptThroughput(t *testing.T) {
	throughput := func(policy dispatch.Policy) float64 {
		sc := defaultScenario()
		sc.policy = policy
		return medianOf(sc.measureSlowdowns(seeds[:3]), func(sd slowdown) float64 { return sd.mixedLoad.longPromptTokens })
	}
	bestThroughput := 0.0
	for _, policy := range dispatch.Policies() {
		bestThroughput = max(bestThroughput, throughput(policy))
	}
	assert.Assert(t, throughput(dispatch.DefaultPolicy()) >= minLongThroughputShare*bestThroughput)
}

// assertPeakBounds checks the medians of the results of a load peak.
func assertPeakBounds(t *testing.T, results []peakResult) {
	t.Helper()
	answeredInTime := medianOf(results, func(pk peakResult) float64 { return pk.answeredInTimeShare })
	fairServed := medianOf(results, func(pk peakResult) float64 { return pk.fairShortServedShare })
	recoveryTime := medianOf(results, func(pk peakResult) float64 { return float64(pk.recoveryTime) })
	assert.Assert(t, answeredInTime >= minAnsweredInTime, "share of admitted requests answered in time %.4f", answeredInTime)
	assert.Assert(t, fairServed >= minFairShortServed, "share of short requests served, of organisations within their fair share, %.4f", fairServed)
	assert.Assert(t, time.Duration(recoveryTime) <= maxRecoveryTime, "normal latency of short prompts again after %s", time.Duration(recoveryTime))
}

// TestPeakBounds checks that the dispatcher sheds a load of four times the capacity without missing the deadlines of
// admitted requests, starving small organisations, or recovering late.
func TestPeakBounds(t *testing.T) {
	assertPeakBounds(t, defaultScenario().runPeaks(seeds, nil))
}

// TestPeakBoundsUnderFaults checks the same bounds with a fault in the middle of the peak.
func TestPeakBoundsUnderFaults(t *testing.T) {
	for _, fault := range peakFaults() {
		t.Run(fault.name, func(t *testing.T) {
			assertPeakBounds(t, defaultScenario().runPeaks(seeds, fault.inject))
		})
	}
}

// engineVariants returns scenarios with engines of another speed or number, to check that results don't depend on
// either.
func engineVariants() []struct {
	name     string
	scenario scenario
} {
	halfPrefill, doublePrefill := batchmodel.DefaultConfig(), batchmodel.DefaultConfig()
	halfPrefill.PrefillTokensPerSecond /= 2
	doublePrefill.PrefillTokensPerSecond *= 2
	newScenario := func(costs batchmodel.Config, engineCount int) scenario {
		return scenario{policy: dispatch.DefaultPolicy(), costs: costs, engineCount: engineCount}
	}
	return []struct {
		name     string
		scenario scenario
	}{
		{"half-prefill", newScenario(halfPrefill, defaultEngineCount)},
		{"double-prefill", newScenario(doublePrefill, defaultEngineCount)},
		{"3-engines", newScenario(batchmodel.DefaultConfig(), 3)},
		{"32-engines", newScenario(batchmodel.DefaultConfig(), 32)},
	}
}

// TestDefaultBeatsBaselineWithOtherEngines checks that long prompts slow short ones down less under the default policy
// than under the baseline, which is the first policy, with engines of another speed or number.
func TestDefaultBeatsBaselineWithOtherEngines(t *testing.T) {
	for _, variant := range engineVariants() {
		t.Run(variant.name, func(t *testing.T) {
			defaultSlowdown := medianOf(variant.scenario.measureSlowdowns(seeds), func(sd slowdown) float64 { return sd.shortP95Ratio })
			baseline := variant.scenario
			baseline.policy = dispatch.Policies()[0]
			baselineSlowdown := medianOf(baseline.measureSlowdowns(seeds), func(sd slowdown) float64 { return sd.shortP95Ratio })
			assert.Assert(t, defaultSlowdown < baselineSlowdown, "default %.3f, baseline %.3f", defaultSlowdown, baselineSlowdown)
		})
	}
}

func BenchmarkEngineVariants(b *testing.B) {
	for _, variant := range engineVariants() {
		for _, policy := range []dispatch.Policy{dispatch.Policies()[0], dispatch.DefaultPolicy()} {
			b.Run(variant.name+"/"+policy.Name, func(b *testing.B) {
				sc := variant.scenario
				sc.policy = policy
				var results []slowdown
				for range b.N {
					results = sc.measureSlowdowns(seeds)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return sd.shortP95Ratio }), "short-slowdown-p95")
				b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return sd.shortP99Ratio }), "short-slowdown-p99")
				b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return milliseconds(quantile(sd.mixedLoad.firstTokenTimes, 0.95)) }), "ttft-p95-ms/all")
				b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return milliseconds(quantile(sd.mixedLoad.firstTokenTimesByBand[4], 0.95)) }), "ttft-p95-ms/1M")
				b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return float64(sd.mixedLoad.unservedRequests) }), "unserved")
			})
		}
	}
}
