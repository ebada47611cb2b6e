package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// resourceUsage returns the processor time and the peak memory in MB of a program that has ended. It returns zeros if
// the operating system does not report them.
func (pr *process) resourceUsage() (time.Duration, float64) {
	state := pr.cmd.ProcessState
	resources, ok := state.SysUsage().(*syscall.Rusage)
	if !ok {
		return 0, 0
	}
	const kilobytesInMegabyte = 1024
	return state.UserTime() + state.SystemTime(), float64(resources.Maxrss) / kilobytesInMegabyte
}

// measureHostCost starts a fleet, leaves it idle for idleTime and then sends requestCount streaming requests with
// prompts of promptTokens. It returns the processor time of all hosts together, including their start, and the peak
// memory in MB of the host that used most.
func measureHostCost(b *testing.B, hostCount, requestCount, promptTokens int, idleTime time.Duration) (time.Duration, float64) {
	b.Helper()
	totalCPU := time.Duration(0)
	largestPeakMemory := 0.0
	fl := startFleet(b, fleetConfig{hosts: hostCount, engines: 4, engineFlags: []string{"--speed", "50"}})
	time.Sleep(idleTime)
	var group sync.WaitGroup
	const workerCount = 8
	for worker := range workerCount {
		group.Go(func() {
			for number := range requestCount / workerCount {
				if err := streamAndVerify(fl.hosts[worker%hostCount].address, "acme", fmt.Sprintf("cost %d %d", worker, number), promptTokens); err != nil {
					b.Error(err)
				}
			}
		})
	}
	group.Wait()
	for _, host := range fl.hosts {
		fl.kill(host)
		hostCPU, peakMemory := host.resourceUsage()
		totalCPU += hostCPU
		largestPeakMemory = max(largestPeakMemory, peakMemory)
	}
	return totalCPU, largestPeakMemory
}

// BenchmarkHostCost measures the processor time of idle entry hosts, and of entry hosts for each request, by prompt
// length. The processor time of a fleet that only starts is subtracted.
func BenchmarkHostCost(b *testing.B) {
	const idleTime = 20 * time.Second
	for _, hosts := range []int{1, 3, 9} {
		b.Run(fmt.Sprintf("idle/hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				startupCPU, _ := measureHostCost(b, hosts, 0, 0, 0)
				totalCPU, peakMemory := measureHostCost(b, hosts, 0, 0, idleTime)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*(totalCPU-startupCPU).Seconds()/idleTime.Seconds()/float64(hosts), "percent-of-a-core/host")
				b.ReportMetric(peakMemory, "MB")
			}
		})
	}
	for _, load := range []struct{ requests, tokens int }{{4000, 500}, {400, 50_000}, {64, 1_000_000}} {
		b.Run(fmt.Sprintf("tokens=%d", load.tokens), func(b *testing.B) {
			for range b.N {
				startupCPU, _ := measureHostCost(b, 3, 0, 0, 0)
				totalCPU, peakMemory := measureHostCost(b, 3, load.requests, load.tokens, 0)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64((totalCPU-startupCPU).Microseconds())/float64(load.requests), "us/request")
				b.ReportMetric(peakMemory, "MB")
			}
		})
	}
}
