package batch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// BenchmarkStep measures one event of a service with 54 engines while at least 10,000 requests wait. It submits 500
// more than that, because the first ones are granted and do not wait.
func BenchmarkStep(bm *testing.B) {
	const engines, waitingRequests = 54, 10_000
	config := batch.DefaultConfig()
	config.MaxWaitingRequests = 2 * waitingRequests
	mc := batch.New(config, 1)
	now := time.Unix(1000, 0)
	mc.Step(now, batch.SetEngineProfile{Profile: engineProfile()})
	var engineList batch.SetEngines
	for ix := range engines {
		name := id.Engine(fmt.Sprintf("engine-%02d", ix))
		engineList.Engines = append(engineList.Engines, batch.EngineSpec{Engine: name, Address: string(name)})
	}
	mc.Step(now, engineList)
	submit := func(number int) {
		prompt := id.Tokens(5000)
		if number%10 == 0 {
			prompt = 150_000
		}
		mc.Step(now, batch.Submit{Request: batch.Request{
			ID: id.Request(fmt.Sprintf("r%d", number)), PromptTokens: prompt, MaxAnswerTokens: 1700, FirstEventTarget: 300 * time.Millisecond,
			MaxPause: 250 * time.Millisecond, WaitLimit: time.Hour, ArrivedAt: now, AttemptNumber: 1,
		}})
	}
	for number := range waitingRequests + 500 {
		submit(number)
	}
	bm.ReportAllocs()
	bm.ResetTimer()
	for round := 0; bm.Loop(); round++ {
		now = now.Add(time.Millisecond)
		switch round % 3 {
		case 0:
			submit(1_000_000 + round)
		case 1:
			mc.Step(now, batch.Withdraw{Request: id.Request(fmt.Sprintf("r%d", 1_000_000+round-1))})
		default:
			mc.Step(now, batch.AttemptStarted{Attempt: "none"})
		}
	}
}
