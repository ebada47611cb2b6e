package experiment

import (
	"math"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
)

const (
	// priceInterval is the length of the intervals into which the simulated time is divided. Engine time has one price
	// in each interval.
	priceInterval = 50 * time.Millisecond
	// boundIterations is the number of iterations of the subgradient method that adapts the prices.
	boundIterations = 2000
	// initialStepSize is the step size of the first iteration, as a fraction of the mean benefit per engine second.
	// Later steps shrink with the square root of the iteration.
	initialStepSize = 0.05
)

// demand is the least engine time that one request needs, and the intervals of priceInterval in which it can be spent.
type demand struct {
	// readSeconds and writeSeconds are the engine seconds for reading the prompt and for writing the answer.
	readSeconds, writeSeconds float64
	// arrivalInterval is the first interval in which the prompt can be read. lastOnTimeInterval and lastLateInterval
	// are the last ones in which reading it makes the request on time, or late but not too late for the client; they
	// are before arrivalInterval if that is impossible. lastAnswerInterval is the last one in which the answer can be
	// written.
	arrivalInterval, lastOnTimeInterval, lastLateInterval, lastAnswerInterval int
	onTimeBenefit, lateBenefit                                                float64
}

// UpperBound returns a share of the possible benefit that no dispatch policy can exceed, between 0 and 1. It relaxes
// the problem: all requests are known in advance, engines share any work without overhead, and a schedule only has to
// fit into the engine seconds of each interval. Any prices of engine time give an upper bound by the Lagrangian dual of
// this relaxation; the prices are adapted to lower it. Requests whose clients would leave at some time are left out,
// while a Result counts those of them that are answered before that.
func UpperBound(pt Pattern, seed uint64) float64 {
	var demands []demand
	var possibleBenefit, totalSeconds float64
	intervals := 0
	for _, ar := range pt.drawArrivals(seed) {
		if ar.leavesAfter > 0 {
			continue
		}
		dm := pt.demandOf(ar)
		possibleBenefit += dm.onTimeBenefit
		totalSeconds += dm.readSeconds + dm.writeSeconds
		intervals = max(intervals, dm.lastAnswerInterval+1)
		demands = append(demands, dm)
	}
	if possibleBenefit == 0 {
		return 1
	}
	availableSeconds := pt.engineSecondsByInterval(intervals)
	prices := make([]float64, intervals)
	lowestValue := math.Inf(1)
	usedSeconds := make([]float64, intervals)
	for iteration := range boundIterations {
		value := dualValue(demands, availableSeconds, prices, usedSeconds)
		lowestValue = min(lowestValue, value)
		stepSize := initialStepSize * possibleBenefit / totalSeconds / math.Sqrt(float64(iteration+1))
		for interval := range prices {
			prices[interval] = max(0, prices[interval]+stepSize*(usedSeconds[interval]/availableSeconds[interval]-1))
		}
	}
	return min(1, lowestValue/possibleBenefit)
}

// demandOf returns the least demand of a request. It assumes that as many engines read the prompt as the default policy
// allows, and that the request never waits for them.
func (pt Pattern) demandOf(ar arrival) demand {
	kind, profile := pt.Kinds[ar.kindIndex], pt.EngineProfile
	promptTokens, answerTokens := float64(ar.promptTokens), float64(ar.answerEvents*profile.StepsPerDecodePass)
	readSeconds := profile.PrefillTime(ar.promptTokens).Seconds()
	// At best, all slots of an engine are writing and share the fixed cost of each step.
	writeSeconds := answerTokens * (profile.StepTime.Seconds()/float64(profile.Slots) + profile.StepPerSequence.Seconds() + promptTokens/1000*profile.StepPerThousandContextTokens.Seconds())
	intervalAfter := func(delay time.Duration) int { return int((ar.sinceStart + delay) / priceInterval) }
	dm := demand{
		readSeconds:        readSeconds,
		writeSeconds:       writeSeconds,
		arrivalInterval:    intervalAfter(0),
		lastOnTimeInterval: intervalAfter(kind.Target - 2*clientHop),
		lastLateInterval:   intervalAfter(firstEventWaitLimit(kind) - 2*clientHop),
		lastAnswerInterval: intervalAfter(kind.Timeout),
		onTimeBenefit:      pt.possibleBenefit(ar),
	}
	dm.lateBenefit = dm.onTimeBenefit * kind.Late / kind.Worth
	maxEngines := float64(min(pt.EngineCount, batch.DefaultConfig().MaxParts))
	if readSeconds/maxEngines > kind.Target.Seconds() {
		dm.lastOnTimeInterval = dm.arrivalInterval - 1
	}
	if readSeconds/maxEngines > firstEventWaitLimit(kind).Seconds() {
		dm.lastLateInterval = dm.arrivalInterval - 1
	}
	return dm
}

// engineSecondsByInterval returns the engine seconds that are available in each interval, given the losses of engines.
func (pt Pattern) engineSecondsByInterval(intervals int) []float64 {
	seconds := make([]float64, intervals)
	for interval := range seconds {
		engineCount := pt.EngineCount
		for _, loss := range pt.Losses {
			if time.Duration(interval)*priceInterval > loss.At {
				engineCount -= loss.Count
			}
		}
		seconds[interval] = float64(engineCount) * priceInterval.Seconds()
	}
	return seconds
}

// dualValue returns the value of the Lagrangian dual at the given prices, which is at least the benefit of any
// schedule. Each request gets the cheapest intervals and is served only if its benefit exceeds their price. The engine
// seconds that this uses in each interval are written to usedSeconds.
func dualValue(demands []demand, availableSeconds, prices, usedSeconds []float64) float64 {
	clear(usedSeconds)
	var value float64
	for interval, price := range prices {
		value += price * availableSeconds[interval]
	}
	cheapest := newCheapestIntervals(prices)
	for _, dm := range demands {
		writeInterval := cheapest.between(dm.arrivalInterval, dm.lastAnswerInterval)
		gain, readInterval := 0.0, -1
		if dm.lastOnTimeInterval >= dm.arrivalInterval {
			interval := cheapest.between(dm.arrivalInterval, dm.lastOnTimeInterval)
			gain, readInterval = dm.onTimeBenefit-dm.readSeconds*prices[interval], interval
		}
		if dm.lastLateInterval >= dm.arrivalInterval {
			interval := cheapest.between(dm.arrivalInterval, dm.lastLateInterval)
			if lateGain := dm.lateBenefit - dm.readSeconds*prices[interval]; lateGain > gain {
				gain, readInterval = lateGain, interval
			}
		}
		gain -= dm.writeSeconds * prices[writeInterval]
		if readInterval >= 0 && gain > 0 {
			value += gain
			usedSeconds[readInterval] += dm.readSeconds
			usedSeconds[writeInterval] += dm.writeSeconds
		}
	}
	return value
}

// cheapestIntervals is a sparse table that finds the interval with the lowest price in any range in constant time.
type cheapestIntervals struct {
	prices []float64
	// byWidth[power][start] is the cheapest of the 2^power intervals from start on.
	byWidth [][]int
}

func newCheapestIntervals(prices []float64) cheapestIntervals {
	ci := cheapestIntervals{prices: prices}
	intervals := make([]int, len(prices))
	for start := range intervals {
		intervals[start] = start
	}
	ci.byWidth = append(ci.byWidth, intervals)
	for width := 1; 2*width <= len(prices); width *= 2 {
		narrower := ci.byWidth[len(ci.byWidth)-1]
		wider := make([]int, len(prices)-2*width+1)
		for start := range wider {
			wider[start] = ci.cheaperOf(narrower[start], narrower[start+width])
		}
		ci.byWidth = append(ci.byWidth, wider)
	}
	return ci
}

func (ci cheapestIntervals) cheaperOf(left, right int) int {
	if ci.prices[right] < ci.prices[left] {
		return right
	}
	return left
}

// between returns the cheapest interval from first to last, both included.
func (ci cheapestIntervals) between(first, last int) int {
	power := int(math.Log2(float64(last - first + 1)))
	return ci.cheaperOf(ci.byWidth[power][first], ci.byWidth[power][last-(1<<power)+1])
}
