package limit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/limit"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// BenchmarkAdmit measures the time of a decision and the memory of an account.
func BenchmarkAdmit(b *testing.B) {
	plan := lists.Plan{RequestsPerSecond: 1e9, TokensPerMinute: 1e15, Concurrency: 1 << 30}
	for _, organisations := range []int{10, 1000, 18_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			names := make([]id.Organisation, organisations)
			for number := range names {
				names[number] = id.Organisation(fmt.Sprint("organisation-", number))
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			limiter := limit.NewLimiter()
			now := time.Unix(0, 0)
			for _, name := range names {
				limiter.Admit(now, name, plan, 1, "request", "host", 1000)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				now = now.Add(time.Millisecond)
				name := names[number%organisations]
				limiter.Admit(now, name, plan, 1, "another", "host", 1000)
				limiter.Release(name, "another")
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(organisations), "B/organisation")
		})
	}
}
