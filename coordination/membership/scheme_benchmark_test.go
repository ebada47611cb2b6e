package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// reportPeriod is the time between two status reports of a host in the flat and the two-level scheme. The paper that
	// describes the two-level scheme uses the same period.
	reportPeriod = 2 * time.Second
	// reportBytes is the size of a status report: a frame, a host name, an incarnation and a sequence number.
	reportBytes = frameBytes + 28
	// missedReports is the number of consecutive missing reports after which a host counts as dead.
	missedReports = 3
	// measuredTime is the simulated time in which traffic and false deaths are counted.
	measuredTime = 60 * time.Second
)

// hostCounts are the numbers of hosts for which the schemes are compared.
var hostCounts = []int{18, 60, 180, 490}

// schemeResult holds the results of one membership scheme for one number of hosts. Traffic is per host. detectionTime
// is the time until the last host knows of a death. falseDeaths counts live hosts that were declared dead; the schemes
// with periodic reports count the declarations of each receiver.
type schemeResult struct {
	bytesPerSecond, messagesPerSecond float64
	detectionTime                     time.Duration
	falseDeaths                       int
}

// measureGossip simulates membership machines. It counts traffic while no host changes, and then stops one host to
// measure the detection time. lossRate is the fraction of calls that are lost.
func measureGossip(hostCount int, lossRate float64) schemeResult {
	nw := newSimulatedNetwork(hostCount, lossRate, 1)
	nw.run(20 * time.Second)
	nw.bytesSent, nw.messagesSent = 0, 0
	nw.run(20*time.Second + measuredTime)
	result := schemeResult{
		bytesPerSecond:    float64(nw.bytesSent) / measuredTime.Seconds() / float64(hostCount),
		messagesPerSecond: float64(nw.messagesSent) / measuredTime.Seconds() / float64(hostCount),
		falseDeaths:       len(nw.declaredDeadAt),
	}
	victim := nw.hosts[hostCount/2]
	stoppedAt := nw.now
	nw.stopped[victim] = true
	nw.run(stoppedAt + 30*time.Second)
	if detectedAt := nw.declaredDeadAt[victim]; len(detectedAt) > 0 {
		result.detectionTime = slices.Max(detectedAt) - stoppedAt
	}
	return result
}

// reportCounts holds the numbers of status reports that a host sends and receives in one period.
type reportCounts struct{ sent, received int }

// flatReports returns the reports of a host in the flat scheme, in which every host reports to every other one.
func flatReports(hostCount int) reportCounts {
	return reportCounts{sent: hostCount - 1, received: hostCount - 1}
}

// twoLevelReports returns the reports of a controller, the busiest host in the two-level scheme of a published paper.
// There, each controller has membersPerController members and handles 2*controllers+membersPerController reports.
// twoLevelReports chooses the number of controllers with the fewest reports.
func twoLevelReports(hostCount int) reportCounts {
	fewest := reportCounts{sent: hostCount, received: hostCount}
	for controllers := 1; controllers <= hostCount; controllers++ {
		membersPerController := (hostCount + controllers - 1) / controllers
		handled := 2*controllers + membersPerController
		if handled < fewest.received {
			fewest = reportCounts{sent: 2*controllers + membersPerController, received: handled}
		}
	}
	return fewest
}

// simulateReports computes the traffic and the detection time of a scheme with periodic reports, and simulates lost
// reports to count false deaths. Each forwarding level adds half a period to the detection time.
func simulateReports(hostCount int, counts reportCounts, forwardingLevels int, lossRate float64) schemeResult {
	perSecond := float64(counts.sent+counts.received) / reportPeriod.Seconds()
	random := rand.New(rand.NewPCG(1, 1))
	result := schemeResult{
		bytesPerSecond:    perSecond * reportBytes,
		messagesPerSecond: perSecond,
		detectionTime:     time.Duration(missedReports)*reportPeriod + time.Duration(forwardingLevels)*reportPeriod/2,
	}
	periods := int(measuredTime / reportPeriod)
	for range hostCount * counts.received {
		missedInRow := 0
		for range periods {
			if random.Float64() < lossRate {
				missedInRow++
			} else {
				missedInRow = 0
			}
			if missedInRow == missedReports {
				result.falseDeaths++
			}
		}
	}
	return result
}

// BenchmarkControlTraffic compares the traffic per host, the detection time and the false deaths of the membership
// schemes.
func BenchmarkControlTraffic(b *testing.B) {
	const lossRate = 0.02
	schemes := []struct {
		name    string
		measure func(hostCount int) schemeResult
	}{
		{"flat", func(hostCount int) schemeResult {
			return simulateReports(hostCount, flatReports(hostCount), 0, lossRate)
		}},
		{"two-level", func(hostCount int) schemeResult {
			return simulateReports(hostCount, twoLevelReports(hostCount), 1, lossRate)
		}},
		{"gossip", func(hostCount int) schemeResult { return measureGossip(hostCount, lossRate) }},
	}
	for _, scheme := range schemes {
		for _, hostCount := range hostCounts {
			b.Run(fmt.Sprintf("%s/hosts=%d", scheme.name, hostCount), func(b *testing.B) {
				var result schemeResult
				for range b.N {
					result = scheme.measure(hostCount)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(result.bytesPerSecond, "B/s/host")
				b.ReportMetric(result.messagesPerSecond, "messages/s/host")
				b.ReportMetric(result.detectionTime.Seconds(), "detection-s")
				b.ReportMetric(float64(result.falseDeaths), "false-deaths")
			})
		}
	}
}

// BenchmarkChurn measures the traffic per host in a minute in which a host leaves and the configuration changes every
// 3 s. The rates are at least ten times those of the target, which is 390 restarts, 27 deaths and 2,600 configuration
// changes a day with 490 hosts.
func BenchmarkChurn(b *testing.B) {
	for _, hostCount := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", hostCount), func(b *testing.B) {
			var bytesPerHost float64
			for range b.N {
				nw := newSimulatedNetwork(hostCount, 0.02, 1)
				nw.run(10 * time.Second)
				nw.bytesSent = 0
				for change := range 20 {
					nw.run(nw.now + 3*time.Second)
					host := nw.hosts[change%hostCount]
					nw.machines[host].SetRevision(id.Offset(change))
					nw.step(host, membership.Leave{})
				}
				bytesPerHost = float64(nw.bytesSent) / 60 / float64(hostCount)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(bytesPerHost, "B/s/host")
		})
	}
}

// BenchmarkTick measures the processor time and the memory allocations of one host's machine for one tick and one
// received message.
func BenchmarkTick(b *testing.B) {
	for _, hostCount := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", hostCount), func(b *testing.B) {
			nw := newSimulatedNetwork(hostCount, 0, 1)
			machine := nw.machines[nw.hosts[0]]
			now := time.Unix(100, 0)
			msg := nw.machines[nw.hosts[1]].NextMessage()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(tickPeriod)
				machine.Step(now, membership.Tick{})
				machine.Step(now, membership.Received{Message: msg})
			}
		})
	}
}
