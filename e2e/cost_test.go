package e2e

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// resourceUsage is the processor time and the largest memory of a program that has ended.
func (pr *process) resourceUsage() (time.Duration, float64) {
	state := pr.cmd.ProcessState
	resources, ok := state.SysUsage().(*syscall.Rusage)
	if !ok {
		return 0, 0
	}
	const kilobytesInMegabyte = 1024
	return state.UserTime() + state.SystemTime(), float64(resources.Maxrss) / kilobytesInMegabyte
}

// measureHostCost serves requests of a length and returns the processor time of all hosts and the largest memory of one.
func measureHostCost(b *testing.B, hosts, requests, tokens int, idle time.Duration) (time.Duration, float64) {
	b.Helper()
	cost := time.Duration(0)
	largest := 0.0
	fl := startFleet(b, fleetConfig{hosts: hosts, engines: 4, engineFlags: []string{"--speed", "50"}})
	time.Sleep(idle)
	var group sync.WaitGroup
	const workers = 8
	for worker := range workers {
		group.Go(func() {
			for number := range requests / workers {
				if err := streamAndVerify(fl.hosts[worker%hosts].address, "acme", fmt.Sprintf("cost %d %d", worker, number), tokens); err != nil {
					b.Error(err)
				}
			}
		})
	}
	group.Wait()
	for _, host := range fl.hosts {
		fl.kill(host)
		spent, memory := host.resourceUsage()
		cost += spent
		largest = max(largest, memory)
	}
	return cost, largest
}

// BenchmarkHostCost measures the processor time of entry hosts: idle, and for each request of a length.
func BenchmarkHostCost(b *testing.B) {
	const idle = 20 * time.Second
	for _, hosts := range []int{1, 3, 9} {
		b.Run(fmt.Sprintf("idle/hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				started, _ := measureHostCost(b, hosts, 0, 0, 0)
				spent, memory := measureHostCost(b, hosts, 0, 0, idle)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*(spent-started).Seconds()/idle.Seconds()/float64(hosts), "percent-of-a-core/host")
				b.ReportMetric(memory, "MB")
			}
		})
	}
	for _, size := range []struct{ requests, tokens int }{{4000, 500}, {400, 50_000}, {64, 1_000_000}} {
		b.Run(fmt.Sprintf("tokens=%d", size.tokens), func(b *testing.B) {
			for range b.N {
				started, _ := measureHostCost(b, 3, 0, 0, 0)
				spent, memory := measureHostCost(b, 3, size.requests, size.tokens, 0)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64((spent-started).Microseconds())/float64(size.requests), "us/request")
				b.ReportMetric(memory, "MB")
			}
		})
	}
}
