package measure

import (
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
)

const (
	peakStart     = 20 * time.Second
	peakDuration  = 60 * time.Second
	peakEnd       = peakStart + peakDuration
	timeAfterPeak = 60 * time.Second
	// normalLoadShare and peakLoadShare are rates as shares of the capacity.
	normalLoadShare = 0.2
	peakLoadShare   = 4.0
	// recoveryFactor is the highest ratio to the latency before the peak at which the latency of short prompts counts
	// as normal again.
	recoveryFactor = 1.25
)

// peakRate returns a rate in requests per second that rises from 20% to 400% of the capacity within a second, stays
// there until the end of the peak, and drops back.
func peakRate(capacity float64) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		switch {
		case at < peakStart || at >= peakEnd:
			return normalLoadShare * capacity
		case at < peakStart+time.Second:
			return (normalLoadShare + (peakLoadShare-normalLoadShare)*(at-peakStart).Seconds()) * capacity
		default:
			return peakLoadShare * capacity
		}
	}
}

// peakResult holds the results of a load peak. Shares of the capacity may exceed 1.
type peakResult struct {
	// answeredInTimeShare is the share of admitted requests that are answered within their deadline.
	answeredInTimeShare float64
	// fairShortServedShare is the share of requests answered within their deadline, of the short requests of small
	// organisations that arrive during the peak. Small organisations ask for less than their fair share.
	fairShortServedShare float64
	// refusedOnArrivalShare is the share of refused requests that did not wait in the queue before their last refusal.
	refusedOnArrivalShare float64
	// recoveryTime is the time from the end of the peak until short prompts have normal latency again.
	recoveryTime time.Duration
	// retryPeakShare is the highest rate of submissions later than 5 s after the peak, as a share of the capacity. It
	// shows whether retries cause a second peak.
	retryPeakShare float64
	// goodputShare and tokenGoodputShare are the requests and prompt tokens per second that are answered in time during
	// the peak, as shares of the capacity.
	goodputShare      float64
	tokenGoodputShare float64
	// shortFirstTokenP95 is the 95th percentile of the time to the first token of short prompts that arrive during the
	// peak.
	shortFirstTokenP95 time.Duration
}

// runPeak simulates a load peak. It calls injectFault before the start, to schedule faults, unless it is nil.
func (sc scenario) runPeak(seed uint64, injectFault func(sm *simulation)) peakResult {
	arrivals := newGenerator(seed).drawArrivals(peakRate(sc.requestCapacity()), peakEnd+timeAfterPeak)
	sm := sc.newSimulation(seed)
	if injectFault != nil {
		injectFault(sm)
	}
	return sc.evaluatePeak(sm.run(arrivals, peakEnd+timeAfterPeak), sm)
}

func duringPeak(at time.Duration) bool {
	return at >= peakStart && at < peakEnd
}

// evaluatePeak computes the result of a simulated peak from the states of its requests.
func (sc scenario) evaluatePeak(requests []*requestState, sm *simulation) peakResult {
	var pk peakResult
	var admitted, admittedInTime, fairShortRequests, fairShortServed, refusedRequests, refusedOnArrival int
	var inTimeTokens, inTimeRequests float64
	var shortTimesDuringPeak, shortTimesBeforePeak []time.Duration
	for _, request := range requests {
		if request.admitted {
			admitted++
			if request.answeredInTime() {
				admittedInTime++
			}
		}
		if request.lastRefusedAt > 0 {
			refusedRequests++
			if request.refusalTime <= 2*messageDelay {
				refusedOnArrival++
			}
		}
		if request.answeredInTime() && duringPeak(request.finishedAt) {
			inTimeTokens += float64(request.arrival.promptTokens)
			inTimeRequests++
		}
		isShort := request.arrival.promptTokens <= dispatch.MaxShortPrompt
		if isShort && duringPeak(request.arrival.arrivesAt) && request.fromSmallOrganisation() {
			fairShortRequests++
			if request.answeredInTime() {
				fairShortServed++
			}
		}
		if isShort && request.isFinished() && duringPeak(request.arrival.arrivesAt) {
			shortTimesDuringPeak = append(shortTimesDuringPeak, request.timeToFirstToken)
		}
		if isShort && request.isFinished() && request.arrival.arrivesAt > warmUpTime && request.arrival.arrivesAt < peakStart {
			shortTimesBeforePeak = append(shortTimesBeforePeak, request.timeToFirstToken)
		}
	}
	pk.answeredInTimeShare = float64(admittedInTime) / float64(max(1, admitted))
	pk.fairShortServedShare = float64(fairShortServed) / float64(max(1, fairShortRequests))
	pk.refusedOnArrivalShare = 1
	if refusedRequests > 0 {
		pk.refusedOnArrivalShare = float64(refusedOnArrival) / float64(refusedRequests)
	}
	pk.goodputShare = inTimeRequests / peakDuration.Seconds() / sc.requestCapacity()
	pk.tokenGoodputShare = inTimeTokens / peakDuration.Seconds() / (sc.requestCapacity() * lengthMoments().meanPrompt)
	pk.shortFirstTokenP95 = quantile(shortTimesDuringPeak, 0.95)
	pk.recoveryTime = timeToRecover(requests, quantile(shortTimesBeforePeak, 0.95))
	pk.retryPeakShare = sm.peakSubmissionRate(peakEnd+5*time.Second) / sc.requestCapacity()
	return pk
}

// answeredInTime reports whether the whole answer arrived within the deadline, counted from countedSince.
func (rs *requestState) answeredInTime() bool {
	return rs.isFinished() && rs.finishedAt-rs.countedSince <= rs.arrival.deadline
}

// fromSmallOrganisation reports whether the request's organisation asks for less than its fair share even at the peak.
// That holds for all but the large organisations, which are the first three.
func (rs *requestState) fromSmallOrganisation() bool {
	return rs.arrival.organisation > "org-2"
}

// timeToRecover returns the time from the end of the peak after which the median time to the first token of short
// prompts stays at or below recoveryFactor times normalP95. It takes one median for each second of arrival.
func timeToRecover(requests []*requestState, normalP95 time.Duration) time.Duration {
	const window = time.Second
	recoveredAfter := time.Duration(0)
	for start := peakEnd; start < peakEnd+timeAfterPeak; start += window {
		var firstTokenTimes []time.Duration
		for _, request := range requests {
			if request.arrival.promptTokens <= dispatch.MaxShortPrompt && request.arrival.arrivesAt >= start && request.arrival.arrivesAt < start+window && request.isFinished() {
				firstTokenTimes = append(firstTokenTimes, request.timeToFirstToken)
			}
		}
		if quantile(firstTokenTimes, 0.5) > time.Duration(recoveryFactor*float64(normalP95)) {
			recoveredAfter = start + window - peakEnd
		}
	}
	return recoveredAfter
}

// peakSubmissionRate returns the highest number of submissions in a second, from a time on.
func (sm *simulation) peakSubmissionRate(from time.Duration) float64 {
	countBySecond := map[time.Duration]int{}
	highest := 0
	for _, at := range sm.submissionTimes {
		if at < from {
			continue
		}
		second := at.Truncate(time.Second)
		countBySecond[second]++
		highest = max(highest, countBySecond[second])
	}
	return float64(highest)
}

func (sc scenario) runPeaks(seeds []uint64, injectFault func(sm *simulation)) []peakResult {
	return runSeeds(seeds, func(seed uint64) peakResult { return sc.runPeak(seed, injectFault) })
}

func reportPeakMetrics(b *testing.B, results []peakResult) {
	b.Helper()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(medianOf(results, func(pk peakResult) float64 { return pk.answeredInTimeShare }), "peak-admitted-in-time")
	b.ReportMetric(medianOf(results, func(pk peakResult) float64 { return pk.fairShortServedShare }), "peak-fair-short-served")
	b.ReportMetric(medianOf(results, func(pk peakResult) float64 { return pk.refusedOnArrivalShare }), "peak-refused-on-arrival")
	b.ReportMetric(medianOf(results, func(pk peakResult) float64 { return pk.recoveryTime.Seconds() }), "peak-recovery-s")
	b.ReportMetric(medianOf(results, func(pk peakResult) float64 { return pk.retryPeakShare }), "peak-second")
	b.ReportMetric(medianOf(results, func(pk peakResult) float64 { return pk.goodputShare }), "peak-goodput")
	b.ReportMetric(rangeOf(results, func(pk peakResult) float64 { return pk.goodputShare }), "peak-goodput-spread")
	b.ReportMetric(medianOf(results, func(pk peakResult) float64 { return pk.tokenGoodputShare }), "peak-goodput-tokens")
	b.ReportMetric(medianOf(results, func(pk peakResult) float64 { return milliseconds(pk.shortFirstTokenP95) }), "peak-short-p95-ms")
}

func BenchmarkPeak(b *testing.B) {
	for _, policy := range dispatch.Policies() {
		b.Run(policy.Name, func(b *testing.B) {
			sc := defaultScenario()
			sc.policy = policy
			var results []peakResult
			for range b.N {
				results = sc.runPeaks(seeds, nil)
			}
			reportPeakMetrics(b, results)
		})
	}
}

// peakFaults returns faults to inject in the middle of a peak, each into a simulation of its own.
func peakFaults() []struct {
	name   string
	inject func(sm *simulation)
} {
	const middle = peakStart + peakDuration/2
	return []struct {
		name   string
		inject func(sm *simulation)
	}{
		{"engines-fail", func(sm *simulation) { sm.scheduleEngineFailures(middle, middle+20*time.Second, 3) }},
		{"dispatcher-lost", func(sm *simulation) { sm.scheduleDispatcherReplacement(middle, 99) }},
		{"load-reports-paused", func(sm *simulation) {
			sm.loadReportsPausedFrom, sm.loadReportsPausedUntil = middle, middle+10*time.Second
		}},
		{"flood", func(sm *simulation) { sm.scheduleFlood(middle, 400) }},
	}
}

func BenchmarkPeakUnderFaults(b *testing.B) {
	for _, fault := range peakFaults() {
		b.Run(fault.name, func(b *testing.B) {
			var results []peakResult
			for range b.N {
				results = defaultScenario().runPeaks(seeds, fault.inject)
			}
			reportPeakMetrics(b, results)
		})
	}
}
