package measure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/standin/batch"
)

// Bounds of the stated target and of the users' measures.
const (
	firstTokenP95 = 930 * time.Millisecond
	gapP95        = 46 * time.Millisecond
	slowdownP95   = 1.25
	slowdownP99   = 1.5
	inTime        = 0.99
	fairServed    = 0.99
	recoveryLimit = 5 * time.Second
	// longShare is the least part of the best policy's long throughput that the default keeps.
	longShare = 0.9
)

func TestSteadyLoadBounds(t *testing.T) {
	results := defaultSetting().measureSlowdowns(seeds)
	all := over(results, func(sd slowdown) float64 { return float64(quantile(sd.mixed.all, 0.95)) })
	gaps := over(results, func(sd slowdown) float64 { return float64(quantile(sd.mixed.gaps, 0.95)) })
	p95 := over(results, func(sd slowdown) float64 { return sd.p95 })
	p99 := over(results, func(sd slowdown) float64 { return sd.p99 })
	assert.Assert(t, time.Duration(all) <= firstTokenP95, "time to first token %s", time.Duration(all))
	assert.Assert(t, time.Duration(gaps) <= gapP95, "time between tokens %s", time.Duration(gaps))
	assert.Assert(t, p95 <= slowdownP95, "slowdown of short prompts at p95: %.3f", p95)
	assert.Assert(t, p99 <= slowdownP99, "slowdown of short prompts at p99: %.3f", p99)
	for _, sd := range results {
		assert.Equal(t, sd.mixed.unserved, 0)
	}
}

func TestLongPromptThroughput(t *testing.T) {
	throughput := func(policy dispatch.Policy) float64 {
		st := defaultSetting()
		st.policy = policy
		return over(st.measureSlowdowns(seeds[:3]), func(sd slowdown) float64 { return sd.mixed.longTokens })
	}
	best := 0.0
	for _, policy := range dispatch.Policies() {
		best = max(best, throughput(policy))
	}
	assert.Assert(t, throughput(dispatch.DefaultPolicy()) >= longShare*best)
}

func checkPeak(t *testing.T, results []peak) {
	t.Helper()
	admitted := over(results, func(pk peak) float64 { return pk.admittedInTime })
	fair := over(results, func(pk peak) float64 { return pk.fairShort })
	back := over(results, func(pk peak) float64 { return float64(pk.recovery) })
	assert.Assert(t, admitted >= inTime, "admitted in time %.4f", admitted)
	assert.Assert(t, fair >= fairServed, "short requests within their fair share served %.4f", fair)
	assert.Assert(t, time.Duration(back) <= recoveryLimit, "back to quiet figures after %s", time.Duration(back))
}

func TestPeakBounds(t *testing.T) {
	checkPeak(t, defaultSetting().runPeaks(seeds, nil))
}

func TestPeakBoundsUnderFaults(t *testing.T) {
	for _, dt := range disturbances() {
		t.Run(dt.name, func(t *testing.T) {
			checkPeak(t, defaultSetting().runPeaks(seeds, dt.disturb))
		})
	}
}

// variants are the settings with which the conclusions are repeated.
func variants() []struct {
	name    string
	setting setting
} {
	half, double := batch.DefaultConfig(), batch.DefaultConfig()
	half.PrefillTokensPerSecond /= 2
	double.PrefillTokensPerSecond *= 2
	with := func(costs batch.Config, count int) setting {
		return setting{policy: dispatch.DefaultPolicy(), costs: costs, engines: count}
	}
	return []struct {
		name    string
		setting setting
	}{
		{"half-prefill", with(half, engines)},
		{"double-prefill", with(double, engines)},
		{"3-engines", with(batch.DefaultConfig(), 3)},
		{"32-engines", with(batch.DefaultConfig(), 32)},
	}
}

// TestDefaultBeatsBaselineWithOtherEngines checks that the default slows short prompts down less than the baseline does,
// whatever the speed and number of engines.
func TestDefaultBeatsBaselineWithOtherEngines(t *testing.T) {
	for _, vr := range variants() {
		t.Run(vr.name, func(t *testing.T) {
			chosen := over(vr.setting.measureSlowdowns(seeds), func(sd slowdown) float64 { return sd.p95 })
			baseline := vr.setting
			baseline.policy = dispatch.Policies()[0]
			other := over(baseline.measureSlowdowns(seeds), func(sd slowdown) float64 { return sd.p95 })
			assert.Assert(t, chosen < other, "default %.3f, baseline %.3f", chosen, other)
		})
	}
}

func BenchmarkVariants(b *testing.B) {
	for _, vr := range variants() {
		for _, policy := range []dispatch.Policy{dispatch.Policies()[0], dispatch.DefaultPolicy()} {
			b.Run(vr.name+"/"+policy.Name, func(b *testing.B) {
				st := vr.setting
				st.policy = policy
				var results []slowdown
				for range b.N {
					results = st.measureSlowdowns(seeds)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(over(results, func(sd slowdown) float64 { return sd.p95 }), "short-slowdown-p95")
				b.ReportMetric(over(results, func(sd slowdown) float64 { return sd.p99 }), "short-slowdown-p99")
				b.ReportMetric(over(results, func(sd slowdown) float64 { return millis(quantile(sd.mixed.all, 0.95)) }), "ttft-p95-ms/all")
				b.ReportMetric(over(results, func(sd slowdown) float64 { return millis(quantile(sd.mixed.firstToken[4], 0.95)) }), "ttft-p95-ms/1M")
				b.ReportMetric(over(results, func(sd slowdown) float64 { return float64(sd.mixed.unserved) }), "unserved")
			})
		}
	}
}
