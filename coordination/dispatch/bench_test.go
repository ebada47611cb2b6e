package dispatch_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// newLoadedMachine returns a machine whose engines are busy and whose queue holds requests of several organisations,
// and the time to continue from. It submits enough requests to fill all streams and waitingCount more.
func newLoadedMachine(engineCount, waitingCount, organisationCount int) (*dispatch.Machine, time.Time) {
	config := dispatch.DefaultConfig()
	config.GrantWaitLimit = time.Hour
	config.Policy.PredictiveAdmission = false
	mc := dispatch.New(config, 1)
	now := time.Unix(0, 0)
	for engineNumber := range engineCount {
		mc.Step(now, dispatch.SetEngine{Spec: dispatch.EngineSpec{
			Engine: id.Engine(fmt.Sprintf("engine-%02d", engineNumber)), CapacityTokens: engineMemory, Models: []id.Model{"model"},
		}})
	}
	promptLengths := []id.Tokens{1000, 2000, 4000, 20_000, 90_000, 300_000}
	for requestNumber := range engineCount*config.MaxStreams + waitingCount {
		mc.Step(now, dispatch.Submit{Request: newBenchmarkRequest(requestNumber, organisationCount, promptLengths[requestNumber%len(promptLengths)], now)})
	}
	return mc, now
}

func newBenchmarkRequest(requestNumber, organisationCount int, promptTokens id.Tokens, now time.Time) dispatch.Request {
	return dispatch.Request{
		ID:           id.Request(fmt.Sprint("request-", requestNumber)),
		Organisation: id.Organisation(fmt.Sprint("org-", requestNumber%organisationCount)),
		Weight:       1, Model: "model", PromptTokens: promptTokens, AttemptNumber: 1, Deadline: now.Add(2 * time.Hour),
	}
}

// BenchmarkStep measures two steps: the submission of one request and the end of one grant.
func BenchmarkStep(b *testing.B) {
	for _, load := range []struct{ waiting, organisations int }{
		{0, 10}, {100, 10}, {1000, 10}, {10_000, 10}, {10_000, 1000}, {10_000, 18_000},
	} {
		b.Run(fmt.Sprintf("waiting=%d/organisations=%d", load.waiting, load.organisations), func(b *testing.B) {
			mc, now := newLoadedMachine(32, load.waiting, load.organisations)
			requests := make([]dispatch.Request, b.N)
			for stepNumber := range requests {
				requests[stepNumber] = newBenchmarkRequest(1_000_000+stepNumber, load.organisations, 2000, now)
			}
			var liveAttempts []id.Attempt
			b.ReportAllocs()
			b.ResetTimer()
			for stepNumber := range b.N {
				now = now.Add(time.Millisecond)
				for _, ef := range mc.Step(now, dispatch.Submit{Request: requests[stepNumber]}) {
					if ef.Kind == dispatch.Granted {
						liveAttempts = append(liveAttempts, ef.Attempt)
					}
				}
				if len(liveAttempts) > 0 {
					att := liveAttempts[0]
					liveAttempts = liveAttempts[1:]
					for _, ef := range mc.Step(now, dispatch.FinishAttempt{Attempt: att}) {
						if ef.Kind == dispatch.Granted {
							liveAttempts = append(liveAttempts, ef.Attempt)
						}
					}
				}
			}
		})
	}
}

// BenchmarkWaitingMemory measures the heap memory per waiting request.
func BenchmarkWaitingMemory(b *testing.B) {
	for _, waitingCount := range []int{10_000, 40_000} {
		b.Run(fmt.Sprintf("waiting=%d", waitingCount), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				mc, _ := newLoadedMachine(1, waitingCount, 1000)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(mc.Waiting()), "B/request")
				runtime.KeepAlive(mc)
			}
		})
	}
}

// TestStepAllocationsIndependentOfQueueLength guards against steps whose cost grows with the number of waiting
// requests. It counts allocations, because unlike times they do not depend on the speed of the computer.
func TestStepAllocationsIndependentOfQueueLength(t *testing.T) {
	allocationsPerStep := func(waitingCount int) float64 {
		mc, now := newLoadedMachine(32, waitingCount, 1000)
		return testing.AllocsPerRun(100, func() {
			now = now.Add(time.Millisecond)
			mc.Step(now, dispatch.Tick{})
		})
	}
	withShortQueue, withLongQueue := allocationsPerStep(100), allocationsPerStep(10_000)
	if withLongQueue > withShortQueue+1 {
		t.Fatalf("a step makes %.1f allocations with 100 waiting requests, and %.1f with 10,000", withShortQueue, withLongQueue)
	}
}
