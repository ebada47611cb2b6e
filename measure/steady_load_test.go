package measure

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/standin/batchmodel"
)

const (
	defaultEngineCount = 16
	// steadyLoadShare is the rate of the steady load as a share of the capacity.
	steadyLoadShare = 0.7
	// Requests that arrive during warmUpTime are not counted.
	warmUpTime     = 10 * time.Second
	steadyLoadTime = 90 * time.Second
)

var seeds = []uint64{1, 2, 3, 4, 5}

// bandNames names the bands of prompt lengths by their upper ends in tokens, from short to long.
var bandNames = [dispatch.PromptBandCount]string{"4k", "32k", "100k", "400k", "1M"}

// scenario is a policy of the dispatcher and the engines with which a load is simulated.
type scenario struct {
	policy      dispatch.Policy
	costs       batchmodel.Config
	engineCount int
}

func defaultScenario() scenario {
	return scenario{policy: dispatch.DefaultPolicy(), costs: batchmodel.DefaultConfig(), engineCount: defaultEngineCount}
}

func (sc scenario) newSimulation(seed uint64) *simulation {
	config := dispatch.DefaultConfig()
	config.Policy = sc.policy
	config.PrefillTokensPerSecond = sc.costs.PrefillTokensPerSecond
	return newSimulation(config, sc.costs, sc.engineCount, seed)
}

// requestCapacity returns the rate of requests per second that all engines together can take.
func (sc scenario) requestCapacity() float64 {
	return computeEngineCapacity(sc.costs).lowerLimit() * float64(sc.engineCount)
}

// steadyLoadResult holds the results of a steady load. Except for tokenGaps, it leaves out the requests that arrive
// during the warm-up.
type steadyLoadResult struct {
	firstTokenTimesByBand [dispatch.PromptBandCount][]time.Duration
	firstTokenTimes       []time.Duration
	tokenGaps             []time.Duration
	unservedRequests      int
	// longPromptTokens is the number of prompt tokens of the served requests that are not short. maxLongFirstTokenTime
	// is the longest time to the first token of these requests.
	longPromptTokens      float64
	maxLongFirstTokenTime time.Duration
}

func (sc scenario) runSteadyLoad(arrivals []arrival, seed uint64) steadyLoadResult {
	sm := sc.newSimulation(seed)
	requestStates := sm.run(arrivals, steadyLoadTime)
	var result steadyLoadResult
	result.tokenGaps = sm.tokenGaps
	for _, request := range requestStates {
		if request.arrival.arrivesAt < warmUpTime {
			continue
		}
		if !request.isFinished() {
			result.unservedRequests++
			continue
		}
		band := dispatch.PromptBand(request.arrival.promptTokens)
		result.firstTokenTimesByBand[band] = append(result.firstTokenTimesByBand[band], request.timeToFirstToken)
		result.firstTokenTimes = append(result.firstTokenTimes, request.timeToFirstToken)
		if band > 0 {
			result.longPromptTokens += float64(request.arrival.promptTokens)
			result.maxLongFirstTokenTime = max(result.maxLongFirstTokenTime, request.timeToFirstToken)
		}
	}
	return result
}

// slowdown compares a mixed load with the short prompts of it alone. The ratios are percentiles of the time to the
// first token of short prompts in the mixed load, divided by those of the short prompts alone.
type slowdown struct {
	mixedLoad     steadyLoadResult
	shortP95Ratio float64
	shortP99Ratio float64
}

// measureSlowdown simulates a mixed load and the short prompts of the same load alone.
func (sc scenario) measureSlowdown(seed uint64) slowdown {
	arrivals := newGenerator(seed).drawArrivals(constantRate(steadyLoadShare*sc.requestCapacity()), steadyLoadTime)
	mixedLoad := sc.runSteadyLoad(arrivals, seed)
	shortOnly := sc.runSteadyLoad(shortPromptsOnly(arrivals), seed)
	ratio := func(fraction float64) float64 {
		return float64(quantile(mixedLoad.firstTokenTimesByBand[0], fraction)) / float64(quantile(shortOnly.firstTokenTimesByBand[0], fraction))
	}
	return slowdown{mixedLoad: mixedLoad, shortP95Ratio: ratio(0.95), shortP99Ratio: ratio(0.99)}
}

func (sc scenario) measureSlowdowns(seeds []uint64) []slowdown {
	return runSeeds(seeds, sc.measureSlowdown)
}

// runSeeds calls run with every seed concurrently and returns the results in the order of seeds.
func runSeeds[R any](seeds []uint64, run func(seed uint64) R) []R {
	results := make([]R, len(seeds))
	var group sync.WaitGroup
	for index, seed := range seeds {
		group.Go(func() { results[index] = run(seed) })
	}
	group.Wait()
	return results
}

// medianOf returns the median of a metric over the results.
func medianOf[R any](results []R, metric func(R) float64) float64 {
	values := make([]float64, len(results))
	for index, result := range results {
		values[index] = metric(result)
	}
	return median(values)
}

// rangeOf returns the difference between the highest and the lowest value of a metric over the results.
func rangeOf[R any](results []R, metric func(R) float64) float64 {
	values := make([]float64, len(results))
	for index, result := range results {
		values[index] = metric(result)
	}
	return slices.Max(values) - slices.Min(values)
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func BenchmarkFirstTokenAndSlowdown(b *testing.B) {
	for _, policy := range dispatch.Policies() {
		b.Run(policy.Name, func(b *testing.B) {
			sc := defaultScenario()
			sc.policy = policy
			var results []slowdown
			for range b.N {
				results = sc.measureSlowdowns(seeds)
			}
			b.ReportMetric(0, "ns/op")
			for band, name := range bandNames {
				for _, percentile := range []struct {
					name  string
					value float64
				}{{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}} {
					b.ReportMetric(medianOf(results, func(sd slowdown) float64 {
						return milliseconds(quantile(sd.mixedLoad.firstTokenTimesByBand[band], percentile.value))
					}), "ttft-"+percentile.name+"-ms/"+name)
				}
			}
			shortP95Ratio := func(sd slowdown) float64 { return sd.shortP95Ratio }
			b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return milliseconds(quantile(sd.mixedLoad.firstTokenTimes, 0.95)) }), "ttft-p95-ms/all")
			b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return milliseconds(quantile(sd.mixedLoad.tokenGaps, 0.95)) }), "gap-p95-ms")
			b.ReportMetric(medianOf(results, shortP95Ratio), "short-slowdown-p95")
			b.ReportMetric(rangeOf(results, shortP95Ratio), "short-slowdown-p95-spread")
			b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return sd.shortP99Ratio }), "short-slowdown-p99")
			b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return sd.mixedLoad.longPromptTokens / 1e6 }), "long-Mtokens")
			b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return float64(sd.mixedLoad.unservedRequests) }), "unserved")
			b.ReportMetric(medianOf(results, func(sd slowdown) float64 { return sd.mixedLoad.maxLongFirstTokenTime.Seconds() }), "long-wait-max-s")
		})
	}
}

// TestLogEngineCapacity logs the capacity of an engine and the mean lengths, so that a reader can relate the results of
// the other tests and benchmarks to them. It checks nothing.
func TestLogEngineCapacity(t *testing.T) {
	lengths := lengthMoments()
	capacity := computeEngineCapacity(batchmodel.DefaultConfig())
	t.Logf("mean prompt %.0f, mean answer %.0f, prefill %.2f/s, memory %.2f/s", lengths.meanPrompt, lengths.meanAnswer, capacity.prefillLimit, capacity.memoryLimit)
}
