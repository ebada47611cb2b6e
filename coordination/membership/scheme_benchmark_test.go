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
	// reportPeriod is the period of status reports of the schemes that are compared, as in the related paper.
	reportPeriod = 2 * time.Second
	// reportBytes is a status report: a frame, a host name, an incarnation and a sequence number.
	reportBytes = frameBytes + 28
	// missedReports is the number of missing reports after which a host counts as dead.
	missedReports = 3
	measuredTime  = 60 * time.Second
)

var hostCounts = []int{18, 60, 180, 490}

// schemeResult are the figures of one scheme at one size.
type schemeResult struct {
	bytesPerSecond, messagesPerSecond float64
	detectionTime                     time.Duration
	falseDeaths                       int
}

// measureGossip runs the membership machine without changes, then with one death.
func measureGossip(hosts int, loss float64) schemeResult {
	nw := newSimulatedNetwork(hosts, loss, 1)
	nw.run(20 * time.Second)
	nw.bytesSent, nw.messagesSent = 0, 0
	nw.run(20*time.Second + measuredTime)
	result := schemeResult{
		bytesPerSecond:    float64(nw.bytesSent) / measuredTime.Seconds() / float64(hosts),
		messagesPerSecond: float64(nw.messagesSent) / measuredTime.Seconds() / float64(hosts),
		falseDeaths:       len(nw.declaredDeadAt),
	}
	victim := nw.hosts[hosts/2]
	killedAt := nw.now
	nw.stopped[victim] = true
	nw.run(killedAt + 30*time.Second)
	if detectedAt := nw.declaredDeadAt[victim]; len(detectedAt) > 0 {
		result.detectionTime = slices.Max(detectedAt) - killedAt
	}
	return result
}

// reportCounts is the number of status reports that a host sends and receives in a period.
type reportCounts struct{ sent, received int }

// flatReports: every host reports to every other one.
func flatReports(hosts int) reportCounts {
	return reportCounts{sent: hosts - 1, received: hosts - 1}
}

// twoLevelReports are the busiest host's in the related paper's structure: p controllers with q members each, where a
// controller handles 2p+q reports. The sizes are those with the fewest reports.
func twoLevelReports(hosts int) reportCounts {
	fewest := reportCounts{sent: hosts, received: hosts}
	for controllers := 1; controllers <= hosts; controllers++ {
		members := (hosts + controllers - 1) / controllers
		handled := 2*controllers + members
		if handled < fewest.received {
			fewest = reportCounts{sent: 2*controllers + members, received: handled}
		}
	}
	return fewest
}

// simulateReports gives the traffic of a scheme of periodic reports and simulates losses for false deaths.
func simulateReports(hosts int, counts reportCounts, forwardingLevels int, loss float64) schemeResult {
	perSecond := float64(counts.sent+counts.received) / reportPeriod.Seconds()
	random := rand.New(rand.NewPCG(1, 1))
	result := schemeResult{
		bytesPerSecond:    perSecond * reportBytes,
		messagesPerSecond: perSecond,
		detectionTime:     time.Duration(missedReports)*reportPeriod + time.Duration(forwardingLevels)*reportPeriod/2,
	}
	periods := int(measuredTime / reportPeriod)
	for range hosts * counts.received {
		missedInRow := 0
		for range periods {
			if random.Float64() < loss {
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

// BenchmarkControlTraffic compares the schemes per host.
func BenchmarkControlTraffic(b *testing.B) {
	const loss = 0.02
	schemes := []struct {
		name    string
		measure func(hosts int) schemeResult
	}{
		{"flat", func(hosts int) schemeResult { return simulateReports(hosts, flatReports(hosts), 0, loss) }},
		{"two-level", func(hosts int) schemeResult { return simulateReports(hosts, twoLevelReports(hosts), 1, loss) }},
		{"gossip", func(hosts int) schemeResult { return measureGossip(hosts, loss) }},
	}
	for _, scheme := range schemes {
		for _, hosts := range hostCounts {
			b.Run(fmt.Sprintf("%s/hosts=%d", scheme.name, hosts), func(b *testing.B) {
				var result schemeResult
				for range b.N {
					result = scheme.measure(hosts)
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

// BenchmarkChurn measures the traffic at the target's churn: 390 restarts and 27 deaths a day over 490 hosts, and
// 2,600 changes of configuration, taken together in a minute of ten times that rate.
func BenchmarkChurn(b *testing.B) {
	for _, hosts := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var bytesPerHost float64
			for range b.N {
				nw := newSimulatedNetwork(hosts, 0.02, 1)
				nw.run(10 * time.Second)
				nw.bytesSent = 0
				for change := range 20 {
					nw.run(nw.now + 3*time.Second)
					host := nw.hosts[change%hosts]
					nw.machines[host].SetRevision(id.Offset(change))
					nw.step(host, membership.Leave{})
				}
				bytesPerHost = float64(nw.bytesSent) / 60 / float64(hosts)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(bytesPerHost, "B/s/host")
		})
	}
}

// BenchmarkTick measures the processor time of a host's membership and the memory of its view.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			nw := newSimulatedNetwork(hosts, 0, 1)
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
