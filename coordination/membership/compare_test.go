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
	// statusPeriod is the period of status reports of the schemes that are compared, as in the related paper.
	statusPeriod = 2 * time.Second
	// statusBytes is a status report: a frame, a host name, an incarnation and a sequence number.
	statusBytes = frameBytes + 28
	// missedReports is the number of missing reports after which a host counts as dead.
	missedReports = 3
	comparedTime  = 60 * time.Second
)

var comparedSizes = []int{18, 60, 180, 490}

// traffic are the figures of one scheme at one size.
type traffic struct {
	bytes, messages float64
	detection       time.Duration
	falseDeaths     int
}

// measureGossip runs the membership machine without changes, then with one death.
func measureGossip(hosts int, loss float64) traffic {
	nw := newNetwork(hosts, loss, 1)
	nw.run(20 * time.Second)
	nw.bytes, nw.messages = 0, 0
	nw.run(20*time.Second + comparedTime)
	tf := traffic{
		bytes:       float64(nw.bytes) / comparedTime.Seconds() / float64(hosts),
		messages:    float64(nw.messages) / comparedTime.Seconds() / float64(hosts),
		falseDeaths: len(nw.deadAt),
	}
	victim := nw.order[hosts/2]
	killed := nw.now
	nw.dead[victim] = true
	nw.run(killed + 30*time.Second)
	if seen := nw.deadAt[victim]; len(seen) > 0 {
		tf.detection = slices.Max(seen) - killed
	}
	return tf
}

// reports is the number of status reports that a host sends and receives in a period.
type reports struct{ sent, received int }

// flatReports: every host reports to every other one.
func flatReports(hosts int) reports {
	return reports{sent: hosts - 1, received: hosts - 1}
}

// twoLevelReports are the busiest host's in the related paper's structure: p controllers with q members each, where a
// controller handles 2p+q reports. The sizes are those with the fewest reports.
func twoLevelReports(hosts int) reports {
	best := reports{sent: hosts, received: hosts}
	for controllers := 1; controllers <= hosts; controllers++ {
		members := (hosts + controllers - 1) / controllers
		handled := 2*controllers + members
		if handled < best.received {
			best = reports{sent: 2*controllers + members, received: handled}
		}
	}
	return best
}

// measureReports gives the traffic of a scheme of periodic reports and simulates losses for false deaths.
func measureReports(hosts int, rp reports, levels int, loss float64) traffic {
	perSecond := float64(rp.sent+rp.received) / statusPeriod.Seconds()
	random := rand.New(rand.NewPCG(1, 1))
	tf := traffic{
		bytes:     perSecond * statusBytes,
		messages:  perSecond,
		detection: time.Duration(missedReports)*statusPeriod + time.Duration(levels)*statusPeriod/2,
	}
	periods := int(comparedTime / statusPeriod)
	for range hosts * rp.received {
		missed := 0
		for range periods {
			if random.Float64() < loss {
				missed++
			} else {
				missed = 0
			}
			if missed == missedReports {
				tf.falseDeaths++
			}
		}
	}
	return tf
}

// BenchmarkControlTraffic compares the schemes per host.
func BenchmarkControlTraffic(b *testing.B) {
	const loss = 0.02
	schemes := []struct {
		name    string
		measure func(hosts int) traffic
	}{
		{"flat", func(hosts int) traffic { return measureReports(hosts, flatReports(hosts), 0, loss) }},
		{"two-level", func(hosts int) traffic { return measureReports(hosts, twoLevelReports(hosts), 1, loss) }},
		{"gossip", func(hosts int) traffic { return measureGossip(hosts, loss) }},
	}
	for _, sc := range schemes {
		for _, hosts := range comparedSizes {
			b.Run(fmt.Sprintf("%s/hosts=%d", sc.name, hosts), func(b *testing.B) {
				var tf traffic
				for range b.N {
					tf = sc.measure(hosts)
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(tf.bytes, "B/s/host")
				b.ReportMetric(tf.messages, "messages/s/host")
				b.ReportMetric(tf.detection.Seconds(), "detection-s")
				b.ReportMetric(float64(tf.falseDeaths), "false-deaths")
			})
		}
	}
}

// BenchmarkChurn measures the traffic at the target's churn: 390 restarts and 27 deaths a day over 490 hosts, and
// 2,600 changes of configuration, taken together in a minute of ten times that rate.
func BenchmarkChurn(b *testing.B) {
	for _, hosts := range comparedSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var perHost float64
			for range b.N {
				nw := newNetwork(hosts, 0.02, 1)
				nw.run(10 * time.Second)
				nw.bytes = 0
				for change := range 20 {
					nw.run(nw.now + 3*time.Second)
					host := nw.order[change%hosts]
					nw.machines[host].SetRevision(id.Offset(change))
					nw.step(host, membership.Leave{})
				}
				perHost = float64(nw.bytes) / 60 / float64(hosts)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(perHost, "B/s/host")
		})
	}
}

// BenchmarkTick measures the processor time of a host's membership and the memory of its view.
func BenchmarkTick(b *testing.B) {
	for _, hosts := range comparedSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			nw := newNetwork(hosts, 0, 1)
			machine := nw.machines[nw.order[0]]
			now := time.Unix(100, 0)
			msg := nw.machines[nw.order[1]].NextMessage()
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
