package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// crowded returns a machine of 32 busy engines with waiting requests of several organisations, and its time.
func crowded(engines, waiting, organisations int) (*dispatch.Machine, time.Time) {
	config := dispatch.DefaultConfig()
	config.GrantWaitLimit = time.Hour
	config.Policy.PredictiveAdmission = false
	mc := dispatch.New(config, 1)
	now := time.Unix(0, 0)
	for number := range engines {
		mc.Step(now, dispatch.SetEngine{Spec: dispatch.EngineSpec{
			Engine: id.Engine(fmt.Sprintf("engine-%02d", number)), CapacityTokens: engineMemory, Models: []id.Model{"model"},
		}})
	}
	prompts := []id.Tokens{1000, 2000, 4000, 20_000, 90_000, 300_000}
	for number := range engines*config.MaxStreams + waiting {
		mc.Step(now, dispatch.Submit{Request: request(number, organisations, prompts[number%len(prompts)], now)})
	}
	return mc, now
}

func request(number, organisations int, prompt id.Tokens, now time.Time) dispatch.Request {
	return dispatch.Request{
		ID:           id.Request(fmt.Sprint("request-", number)),
		Organisation: id.Organisation(fmt.Sprint("org-", number%organisations)),
		Weight:       1, Model: "model", PromptTokens: prompt, AttemptNumber: 1, Deadline: now.Add(2 * time.Hour),
	}
}

// BenchmarkStep measures a decision: one request comes and one grant ends.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ waiting, organisations int }{
		{0, 10}, {100, 10}, {1000, 10}, {10_000, 10}, {10_000, 1000}, {10_000, 18_000},
	} {
		b.Run(fmt.Sprintf("waiting=%d/organisations=%d", size.waiting, size.organisations), func(b *testing.B) {
			mc, now := crowded(32, size.waiting, size.organisations)
			requests := make([]dispatch.Request, b.N)
			for number := range requests {
				requests[number] = request(1_000_000+number, size.organisations, 2000, now)
			}
			var live []id.Attempt
			b.ReportAllocs()
			b.ResetTimer()
			for number := range b.N {
				now = now.Add(time.Millisecond)
				for _, ef := range mc.Step(now, dispatch.Submit{Request: requests[number]}) {
					if ef.Kind == dispatch.Granted {
						live = append(live, ef.Attempt)
					}
				}
				if len(live) > 0 {
					att := live[0]
					live = live[1:]
					for _, ef := range mc.Step(now, dispatch.FinishAttempt{Attempt: att}) {
						if ef.Kind == dispatch.Granted {
							live = append(live, ef.Attempt)
						}
					}
				}
			}
		})
	}
}

// BenchmarkWaitingMemory measures the memory of a waiting request.
func BenchmarkWaitingMemory(b *testing.B) {
	for _, waiting := range []int{10_000, 40_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				mc, _ := crowded(1, waiting, 1000)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(mc.Waiting()), "B/request")
				runtime.KeepAlive(mc)
			}
		})
	}
}

// TestStepAllocationsIndependentOfQueueLength counts allocations, which do not depend on the machine's speed.
func TestStepAllocationsIndependentOfQueueLength(t *testing.T) {
	count := func(waiting int) float64 {
		mc, now := crowded(32, waiting, 1000)
		return testing.AllocsPerRun(100, func() {
			now = now.Add(time.Millisecond)
			mc.Step(now, dispatch.Tick{})
		})
	}
	small, large := count(100), count(10_000)
	if large > small+1 {
		t.Fatalf("a step allocates %.1f times with 100 waiting and %.1f times with 10,000", small, large)
	}
}
