package measure

import (
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
)

const (
	peakStart = 20 * time.Second
	peakTime  = 60 * time.Second
	peakEnd   = peakStart + peakTime
	peakAfter = 60 * time.Second
	lowLoad   = 0.2
	highLoad  = 4.0
	// recoveredWithin is the factor over the quiet figure at which short prompts count as recovered.
	recoveredWithin = 1.25
)

// peakRate steps from 20% to 400% of capacity within a second, stays, and falls.
func peakRate(capacity float64) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		switch {
		case at < peakStart || at >= peakEnd:
			return lowLoad * capacity
		case at < peakStart+time.Second:
			return (lowLoad + (highLoad-lowLoad)*(at-peakStart).Seconds()) * capacity
		default:
			return highLoad * capacity
		}
	}
}

// peak are the figures of service at a peak.
type peak struct {
	admittedInTime float64
	fairShort      float64
	onArrival      float64
	recovery       time.Duration
	secondPeak     float64
	goodput        float64
	goodTokens     float64
	shortP95       time.Duration
}

func (st setting) runPeak(seed uint64, disturb func(wd *world)) peak {
	arrivals := newGenerator(seed).arrivals(peakRate(st.rate()), peakEnd+peakAfter)
	wd := st.world(seed)
	if disturb != nil {
		disturb(wd)
	}
	return st.judgePeak(wd.run(arrivals, peakEnd+peakAfter), wd)
}

func inPeak(at time.Duration) bool {
	return at >= peakStart && at < peakEnd
}

func (st setting) judgePeak(results []*served, wd *world) peak {
	var pk peak
	var admitted, inTime, fair, fairServed, refusals, onArrival int
	var goodTokens, goodRequests float64
	var short, calm []time.Duration
	for _, sv := range results {
		if sv.admitted {
			admitted++
			if sv.inTime() {
				inTime++
			}
		}
		if sv.refused > 0 {
			refusals++
			if sv.waited <= 2*hop {
				onArrival++
			}
		}
		if sv.inTime() && inPeak(sv.finished) {
			goodTokens += float64(sv.request.prompt)
			goodRequests++
		}
		isShort := sv.request.prompt <= dispatch.MaxShortPrompt
		if isShort && inPeak(sv.request.at) && sv.small() {
			fair++
			if sv.inTime() {
				fairServed++
			}
		}
		if isShort && sv.done() && inPeak(sv.request.at) {
			short = append(short, sv.firstToken)
		}
		if isShort && sv.done() && sv.request.at > warmUp && sv.request.at < peakStart {
			calm = append(calm, sv.firstToken)
		}
	}
	pk.admittedInTime = float64(inTime) / float64(max(1, admitted))
	pk.fairShort = float64(fairServed) / float64(max(1, fair))
	pk.onArrival = 1
	if refusals > 0 {
		pk.onArrival = float64(onArrival) / float64(refusals)
	}
	pk.goodput = goodRequests / peakTime.Seconds() / st.rate()
	pk.goodTokens = goodTokens / peakTime.Seconds() / (st.rate() * lengthMoments().prompt)
	pk.shortP95 = quantile(short, 0.95)
	pk.recovery = recovery(results, quantile(calm, 0.95))
	pk.secondPeak = wd.highestRate(peakEnd+5*time.Second) / st.rate()
	return pk
}

// inTime reports whether the whole answer came within the deadline of the submission that was served.
func (sv *served) inTime() bool {
	return sv.done() && sv.finished-sv.submitted <= sv.request.deadline
}

// small reports whether the organisation asks for less than its fair share even at the peak.
func (sv *served) small() bool {
	return sv.request.organisation > "org-2"
}

// recovery returns the time after the fall until short prompts that arrive have their quiet figures for good.
func recovery(results []*served, calm time.Duration) time.Duration {
	const window = time.Second
	last := time.Duration(0)
	for start := peakEnd; start < peakEnd+peakAfter; start += window {
		var waits []time.Duration
		for _, sv := range results {
			if sv.request.prompt <= dispatch.MaxShortPrompt && sv.request.at >= start && sv.request.at < start+window && sv.done() {
				waits = append(waits, sv.firstToken)
			}
		}
		if quantile(waits, 0.5) > time.Duration(recoveredWithin*float64(calm)) {
			last = start + window - peakEnd
		}
	}
	return last
}

// highestRate returns the most submissions in any second from a time on.
func (wd *world) highestRate(from time.Duration) float64 {
	counts := map[time.Duration]int{}
	most := 0
	for _, at := range wd.submissions {
		if at < from {
			continue
		}
		second := at.Truncate(time.Second)
		counts[second]++
		most = max(most, counts[second])
	}
	return float64(most)
}

func (st setting) runPeaks(seeds []uint64, disturb func(wd *world)) []peak {
	return eachSeed(seeds, func(seed uint64) peak { return st.runPeak(seed, disturb) })
}

func reportPeak(b *testing.B, results []peak) {
	b.Helper()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(over(results, func(pk peak) float64 { return pk.admittedInTime }), "peak-admitted-in-time")
	b.ReportMetric(over(results, func(pk peak) float64 { return pk.fairShort }), "peak-fair-short-served")
	b.ReportMetric(over(results, func(pk peak) float64 { return pk.onArrival }), "peak-refused-on-arrival")
	b.ReportMetric(over(results, func(pk peak) float64 { return pk.recovery.Seconds() }), "peak-recovery-s")
	b.ReportMetric(over(results, func(pk peak) float64 { return pk.secondPeak }), "peak-second")
	b.ReportMetric(over(results, func(pk peak) float64 { return pk.goodput }), "peak-goodput")
	b.ReportMetric(spread(results, func(pk peak) float64 { return pk.goodput }), "peak-goodput-spread")
	b.ReportMetric(over(results, func(pk peak) float64 { return pk.goodTokens }), "peak-goodput-tokens")
	b.ReportMetric(over(results, func(pk peak) float64 { return millis(pk.shortP95) }), "peak-short-p95-ms")
}

func BenchmarkPeak(b *testing.B) {
	for _, policy := range dispatch.Policies() {
		b.Run(policy.Name, func(b *testing.B) {
			st := defaultSetting()
			st.policy = policy
			var results []peak
			for range b.N {
				results = st.runPeaks(seeds, nil)
			}
			reportPeak(b, results)
		})
	}
}

// disturbances are the faults that the peak is measured under.
func disturbances() []struct {
	name    string
	disturb func(wd *world)
} {
	const middle = peakStart + peakTime/2
	return []struct {
		name    string
		disturb func(wd *world)
	}{
		{"engines-die", func(wd *world) { wd.kill(middle, middle+20*time.Second, 3) }},
		{"dispatcher-lost", func(wd *world) { wd.loseDispatcher(middle, 99) }},
		{"reports-frozen", func(wd *world) { wd.frozenFrom, wd.frozenUntil = middle, middle+10*time.Second }},
		{"flood", func(wd *world) { wd.flood(middle, 400) }},
	}
}

func BenchmarkPeakUnderFaults(b *testing.B) {
	for _, dt := range disturbances() {
		b.Run(dt.name, func(b *testing.B) {
			var results []peak
			for range b.N {
				results = defaultSetting().runPeaks(seeds, dt.disturb)
			}
			reportPeak(b, results)
		})
	}
}
