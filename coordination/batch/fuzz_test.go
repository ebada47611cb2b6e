package batch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// boundedCount and boundedDuration limit fuzzed figures as the adapter of the platform limits those that it decodes.
func boundedCount(value int64) int64 { return min(max(value, -1<<53), 1<<53) }

func boundedDuration(value int64) time.Duration {
	const year = 365 * 24 * time.Hour
	return min(max(time.Duration(value), -year), year)
}

// FuzzWildProfile checks that the machine neither fails nor keeps requests for ever with an engine profile whose figures are
// wild: each request is granted on listed engines or refused in its time, no engine answers more requests than it has
// slots, and no event takes long.
func FuzzWildProfile(f *testing.F) {
	const second = int64(time.Second)
	f.Add(int64(16), int64(315_000), int64(850_000), int64(4000), int64(3000), 177_000.0, int64(184_000), int64(2048), int64(51), uint8(3), int64(5000), int64(100), second/3, second/4, 0.0)
	f.Add(int64(1<<53), int64(1<<53), int64(1<<62), int64(1<<62), int64(1<<62), 1e-300, int64(1<<62), int64(1<<53), int64(1<<53), uint8(20), int64(400_000), int64(100), second, second, 0.1)
	f.Add(int64(-1<<53), int64(-1<<53), int64(-1<<62), int64(-1<<62), int64(-1<<62), -1.0, int64(-1<<62), int64(-1<<53), int64(-1<<53), uint8(3), int64(1<<40), int64(1<<40), int64(-1<<62), int64(-1<<62), 1e300)
	f.Add(int64(0), int64(0), int64(0), int64(0), int64(0), 0.0, int64(0), int64(0), int64(0), uint8(17), int64(0), int64(0), int64(0), int64(0), 5.0)
	f.Add(int64(1), int64(1), int64(1), int64(0), int64(0), 1e300, int64(0), int64(1), int64(1<<53), uint8(40), int64(16), int64(0), int64(1<<62), int64(1<<62), 0.0)
	f.Fuzz(func(t *testing.T, slots, capacity, step, perSequence, perContext int64, prefillRate float64, perPairs, chunk, stride int64, engineCount uint8, prompt, answer, target, pause int64, limit float64) {
		startedAt := time.Now()
		machine := New(DefaultConfig(), 1)
		now := time.Unix(1_700_000_000, 0)
		answering := map[id.Engine]int{}
		requests := map[id.Request]Request{}
		granted, settled := map[id.Request]Grant{}, map[id.Request]bool{}
		apply := func(ev Event) {
			for _, effect := range machine.Step(now, ev) {
				switch effect.Kind {
				case Granted:
					assert.Assert(t, len(effect.Grant.Parts) > 0)
					granted[effect.Request], settled[effect.Request] = effect.Grant, true
					answering[effect.Grant.Parts[0].Engine]++
					assert.Assert(t, int64(answering[effect.Grant.Parts[0].Engine]) <= boundedCount(slots))
					for _, part := range effect.Grant.Parts {
						assert.Assert(t, part.MemoryTokens >= 0 && part.Address != "")
					}
				case Refused:
					settled[effect.Request] = true
				}
			}
		}
		apply(SetEngineProfile{Profile: route.EngineProfile{
			Slots: int(boundedCount(slots)), Capacity: id.Tokens(boundedCount(capacity)), StepTime: boundedDuration(step), StepPerSequence: boundedDuration(perSequence),
			StepPerThousandContextTokens: boundedDuration(perContext), PrefillTokensPerSecond: prefillRate, PrefillPerMillionPairs: boundedDuration(perPairs),
			PrefillChunk: id.Tokens(boundedCount(chunk)), StepsPerDecodePass: int(boundedCount(stride)),
		}})
		var engines []EngineSpec
		requestLimit := serverlimit.Rate(0)
		if limit > 0 {
			requestLimit = serverlimit.ClampRate(limit)
		}
		for number := range min(int(engineCount), 40) {
			engines = append(engines, EngineSpec{Engine: id.Engine(fmt.Sprint("e", number)), Address: fmt.Sprint("e", number, ":1"), StartedAtMillis: prompt, RequestLimit: requestLimit})
		}
		apply(SetEngines{Engines: engines})
		const requestCount, maxWait = 12, 3 * time.Second
		requestID := func(number int) id.Request { return id.Request(fmt.Sprint("h.1.", number)) }
		for number := range requestCount {
			promptTokens := min(max(id.Tokens(prompt)>>(number%4), 0), id.MaxTokens)
			requests[requestID(number)] = Request{
				ID: requestID(number), Organisation: "o", PromptTokens: promptTokens, MaxAnswerTokens: min(max(id.Tokens(answer), 0), id.MaxTokens),
				FirstEventTarget: boundedDuration(target), MaxPause: boundedDuration(pause), ArrivedAt: now, WaitLimit: maxWait, AttemptNumber: 1,
			}
			apply(Submit{Request: requests[requestID(number)]})
			now = now.Add(10 * time.Millisecond)
			if grant, ok := granted[requestID(number)]; ok && number%2 == 0 {
				apply(AttemptStarted{Attempt: grant.Attempt})
			}
			apply(Tick{})
		}
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			apply(Tick{})
			for name, grant := range granted {
				apply(RenewGrant{Request: requests[name], Grant: grant})
			}
		}
		for number := range requestCount {
			assert.Assert(t, settled[requestID(number)], "request %d is neither granted nor refused", number)
		}
		assert.Assert(t, time.Since(startedAt) < 10*time.Second)
	})
}
