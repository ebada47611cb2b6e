package measure

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/standin/batch"
)

const (
	engines   = 16
	quietLoad = 0.7
	warmUp    = 10 * time.Second
	quietTime = 90 * time.Second
)

var seeds = []uint64{1, 2, 3, 4, 5}

// bandNames name the bands of prompt lengths by their upper ends.
var bandNames = [dispatch.PromptBandCount]string{"4k", "32k", "100k", "400k", "1M"}

// setting is what a measure runs with.
type setting struct {
	policy  dispatch.Policy
	costs   batch.Config
	engines int
}

func defaultSetting() setting {
	return setting{policy: dispatch.DefaultPolicy(), costs: batch.DefaultConfig(), engines: engines}
}

func (st setting) world(seed uint64) *world {
	config := dispatch.DefaultConfig()
	config.Policy = st.policy
	config.PrefillTokensPerSecond = st.costs.PrefillTokensPerSecond
	return newWorld(config, st.costs, st.engines, seed)
}

func (st setting) rate() float64 {
	return computeCapacity(st.costs).perEngine() * float64(st.engines)
}

// quiet are the figures of a steady load.
type quiet struct {
	firstToken [dispatch.PromptBandCount][]time.Duration
	all        []time.Duration
	gaps       []time.Duration
	unserved   int
	longTokens float64
	longWait   time.Duration
}

func (st setting) runQuiet(arrivals []arrival, seed uint64) quiet {
	wd := st.world(seed)
	results := wd.run(arrivals, quietTime)
	var qt quiet
	qt.gaps = wd.gaps
	for _, sv := range results {
		if sv.request.at < warmUp {
			continue
		}
		if !sv.done() {
			qt.unserved++
			continue
		}
		band := dispatch.PromptBand(sv.request.prompt)
		qt.firstToken[band] = append(qt.firstToken[band], sv.firstToken)
		qt.all = append(qt.all, sv.firstToken)
		if band > 0 {
			qt.longTokens += float64(sv.request.prompt)
			qt.longWait = max(qt.longWait, sv.firstToken)
		}
	}
	return qt
}

// slowdown are the figures of short prompts beside the long mix over short prompts alone.
type slowdown struct {
	mixed quiet
	p95   float64
	p99   float64
}

func (st setting) measureSlowdown(seed uint64) slowdown {
	arrivals := newGenerator(seed).arrivals(constant(quietLoad*st.rate()), quietTime)
	mixed := st.runQuiet(arrivals, seed)
	alone := st.runQuiet(shortOnly(arrivals), seed)
	ratio := func(q float64) float64 {
		return float64(quantile(mixed.firstToken[0], q)) / float64(quantile(alone.firstToken[0], q))
	}
	return slowdown{mixed: mixed, p95: ratio(0.95), p99: ratio(0.99)}
}

func (st setting) measureSlowdowns(seeds []uint64) []slowdown {
	return eachSeed(seeds, st.measureSlowdown)
}

// eachSeed runs a measure with every seed at once.
func eachSeed[R any](seeds []uint64, measure func(seed uint64) R) []R {
	results := make([]R, len(seeds))
	var group sync.WaitGroup
	for ix, seed := range seeds {
		group.Go(func() { results[ix] = measure(seed) })
	}
	group.Wait()
	return results
}

func over[R any](results []R, figure func(R) float64) float64 {
	values := make([]float64, len(results))
	for ix, rs := range results {
		values[ix] = figure(rs)
	}
	return median(values)
}

func spread[R any](results []R, figure func(R) float64) float64 {
	values := make([]float64, len(results))
	for ix, rs := range results {
		values[ix] = figure(rs)
	}
	return slices.Max(values) - slices.Min(values)
}

func millis(wait time.Duration) float64 {
	return float64(wait) / float64(time.Millisecond)
}

func BenchmarkFirstTokenAndSlowdown(b *testing.B) {
	for _, policy := range dispatch.Policies() {
		b.Run(policy.Name, func(b *testing.B) {
			st := defaultSetting()
			st.policy = policy
			var results []slowdown
			for range b.N {
				results = st.measureSlowdowns(seeds)
			}
			b.ReportMetric(0, "ns/op")
			for band, name := range bandNames {
				for _, q := range []struct {
					name  string
					value float64
				}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}} {
					b.ReportMetric(over(results, func(sd slowdown) float64 {
						return millis(quantile(sd.mixed.firstToken[band], q.value))
					}), "ttft-"+q.name+"-ms/"+name)
				}
			}
			p95 := func(sd slowdown) float64 { return sd.p95 }
			b.ReportMetric(over(results, func(sd slowdown) float64 { return millis(quantile(sd.mixed.all, 0.95)) }), "ttft-p95-ms/all")
			b.ReportMetric(over(results, func(sd slowdown) float64 { return millis(quantile(sd.mixed.gaps, 0.95)) }), "gap-p95-ms")
			b.ReportMetric(over(results, p95), "short-slowdown-p95")
			b.ReportMetric(spread(results, p95), "short-slowdown-p95-spread")
			b.ReportMetric(over(results, func(sd slowdown) float64 { return sd.p99 }), "short-slowdown-p99")
			b.ReportMetric(over(results, func(sd slowdown) float64 { return sd.mixed.longTokens / 1e6 }), "long-Mtokens")
			b.ReportMetric(over(results, func(sd slowdown) float64 { return float64(sd.mixed.unserved) }), "unserved")
			b.ReportMetric(over(results, func(sd slowdown) float64 { return sd.mixed.longWait.Seconds() }), "long-wait-max-s")
		})
	}
}

func TestCapacity(t *testing.T) {
	mo := lengthMoments()
	cp := computeCapacity(batch.DefaultConfig())
	t.Logf("mean prompt %.0f, mean answer %.0f, prefill %.2f/s, memory %.2f/s", mo.prompt, mo.answer, cp.prefill, cp.memory)
}
