package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/standin/batchmodel"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// Lengths of prompts and answers are log-normally distributed. Medians and bounds are in tokens; sigmas are those
	// of the logarithm.
	promptMedian = 2000.0
	promptSigma  = 1.905
	minPrompt    = 200.0
	maxPrompt    = 1_000_000.0
	answerMedian = 180.0
	answerSigma  = 0.93
	maxAnswer    = 4096.0

	organisationCount      = 10
	largeOrganisationCount = 3
	// largeOrganisationShare is the share of requests that each large organisation sends. The others share the rest
	// evenly.
	largeOrganisationShare = 0.3

	// requestDeadline is long enough for the longest answers when steps are slowest.
	requestDeadline = 2 * time.Minute

	// With probability prefixProbability, a prompt begins with up to maxPrefixBlocks blocks that such prompts of its
	// organisation have in common.
	prefixProbability = 0.3
	maxPrefixBlocks   = 4
)

// arrival is a request and the time at which it arrives at its entry host.
type arrival struct {
	arrivesAt    time.Duration
	requestID    id.Request
	organisation id.Organisation
	promptTokens id.Tokens
	answerTokens id.Tokens
	// deadline is the longest allowed time from submission to the end of the answer.
	deadline time.Duration
	// prefixBlocks holds the hashes of the leading blocks of the prompt that it has in common with other prompts of its
	// organisation, so that a prefix cache may hold them.
	prefixBlocks []uint64
}

// generator draws random requests. The same seed gives the same requests.
type generator struct {
	random       *rand.Rand
	arrivalCount int
}

func newGenerator(seed uint64) *generator {
	return &generator{random: rand.New(rand.NewPCG(seed, seed+1))}
}

// logNormal maps a value of the standard normal distribution to one of the log-normal distribution with the given
// median and sigma of the logarithm, and clamps the result to the bounds.
func logNormal(median, sigma, standardNormal, minimum, maximum float64) float64 {
	return min(max(median*math.Exp(sigma*standardNormal), minimum), maximum)
}

func (gn *generator) drawArrival(at time.Duration) arrival {
	gn.arrivalCount++
	ar := arrival{
		arrivesAt:    at,
		requestID:    id.Request(fmt.Sprintf("r%07d", gn.arrivalCount)),
		promptTokens: id.Tokens(logNormal(promptMedian, promptSigma, gn.random.NormFloat64(), minPrompt, maxPrompt)),
		answerTokens: id.Tokens(max(1, logNormal(answerMedian, answerSigma, gn.random.NormFloat64(), 1, maxAnswer))),
		deadline:     requestDeadline,
	}
	organisation := gn.drawOrganisation()
	ar.organisation = id.Organisation(fmt.Sprint("org-", organisation))
	if gn.random.Float64() < prefixProbability {
		// A block has 512 tokens.
		blocks := min(maxPrefixBlocks, int(ar.promptTokens)/512)
		for block := range blocks {
			ar.prefixBlocks = append(ar.prefixBlocks, uint64(organisation*100+block+1))
		}
	}
	return ar
}

// drawOrganisation returns the index of an organisation; the large ones come first.
func (gn *generator) drawOrganisation() int {
	draw := gn.random.Float64()
	if index := int(draw / largeOrganisationShare); index < largeOrganisationCount {
		return index
	}
	return largeOrganisationCount + gn.random.IntN(organisationCount-largeOrganisationCount)
}

// drawArrivals draws requests until the end time, at a rate in requests per second that may change with time.
func (gn *generator) drawArrivals(rate func(at time.Duration) float64, end time.Duration) []arrival {
	var arrivals []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(gn.random.ExpFloat64() / rate(at) * float64(time.Second))
		if at >= end {
			return arrivals
		}
		arrivals = append(arrivals, gn.drawArrival(at))
	}
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// shortPromptsOnly returns the arrivals whose prompts are short.
func shortPromptsOnly(arrivals []arrival) []arrival {
	return slices.DeleteFunc(slices.Clone(arrivals), func(ar arrival) bool { return ar.promptTokens > dispatch.MaxShortPrompt })
}

// moments holds expected values of the distributions of prompt and answer lengths, in tokens and squared tokens.
type moments struct {
	meanPrompt, meanSquaredPrompt, meanAnswer float64
}

// lengthMoments returns the moments. It computes them only on the first call.
var lengthMoments = sync.OnceValue(computeMoments)

// computeMoments integrates the distributions numerically, at evenly spaced quantiles.
func computeMoments() moments {
	const samples = 200_000
	var lengths moments
	for sample := range samples {
		standardNormal := math.Sqrt2 * math.Erfinv(2*(float64(sample)+0.5)/samples-1)
		prompt := logNormal(promptMedian, promptSigma, standardNormal, minPrompt, maxPrompt)
		lengths.meanPrompt += prompt / samples
		lengths.meanSquaredPrompt += prompt * prompt / samples
		lengths.meanAnswer += logNormal(answerMedian, answerSigma, standardNormal, 1, maxAnswer) / samples
	}
	return lengths
}

// engineCapacity holds the highest rates of requests per second that one engine can take, as limited by prefill and by
// KV memory.
type engineCapacity struct {
	prefillLimit float64
	memoryLimit  float64
}

func (ec engineCapacity) lowerLimit() float64 { return min(ec.prefillLimit, ec.memoryLimit) }

// computeEngineCapacity returns the rates at which prefill and KV memory are fully used. It finds the limit by memory
// by bisection, because the use of memory is not linear in the rate.
func computeEngineCapacity(costs batchmodel.Config) engineCapacity {
	lengths := lengthMoments()
	capacity := engineCapacity{prefillLimit: costs.PrefillTokensPerSecond / lengths.meanPrompt}
	low, high := 0.0, 4*capacity.prefillLimit
	for range 60 {
		rate := (low + high) / 2
		if kvMemoryUse(costs, lengths, rate) > float64(costs.MemoryTokens) {
			high = rate
		} else {
			low = rate
		}
	}
	capacity.memoryLimit = low
	return capacity
}

// kvMemoryUse returns the mean KV memory in use at a rate of requests per second, in tokens. A prompt occupies memory
// while it is processed and while its answer is decoded. A step takes as long as its decoding or its mean amount of
// prefill, whichever is longer. Its duration depends on the number of streams that decode, which depends on the
// duration of a step, so that it is found by fixed-point iteration.
func kvMemoryUse(costs batchmodel.Config, lengths moments, rate float64) float64 {
	stepSeconds := costs.BaseStepDuration.Seconds()
	for range 100 {
		decodingStreams := rate * lengths.meanAnswer * stepSeconds
		decodeSeconds := costs.BaseStepDuration.Seconds() + decodingStreams*costs.StepDurationPerStream.Seconds()
		stepSeconds = max(decodeSeconds, min(1, rate*lengths.meanPrompt/costs.PrefillTokensPerSecond)*float64(costs.MaxPrefillTokensPerStep)/costs.PrefillTokensPerSecond)
	}
	decodingMemory := rate * (lengths.meanPrompt + lengths.meanAnswer/2) * lengths.meanAnswer * stepSeconds
	prefillMemory := rate * lengths.meanSquaredPrompt / costs.PrefillTokensPerSecond
	return decodingMemory + prefillMemory
}

// quantile returns the value at a fraction between 0 and 1 of the durations in ascending order, or zero if there are
// none. The durations may have any order.
func quantile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

// median returns the median of the values, of which there must be at least one. Of two middle values it returns the
// higher.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
