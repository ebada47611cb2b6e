package batch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const shortPromptTokens = 5000

// newOneEngineMachine returns a machine with one engine, and the time at which it was made.
func newOneEngineMachine(config batch.Config) (*batch.Machine, time.Time) {
	machine, now := batch.New(config, 1), time.Unix(1000, 0)
	machine.Step(now, batch.SetEngineProfile{Profile: engineProfile()})
	machine.Step(now, batch.SetEngines{Engines: []batch.EngineSpec{{Engine: "a", Address: "a"}}})
	return machine, now
}

// shortRequest returns a request with a short prompt that arrives now.
func shortRequest(now time.Time, name string) batch.Request {
	return batch.Request{ID: id.Request(name), PromptTokens: shortPromptTokens, MaxAnswerTokens: 500, FirstEventTarget: 300 * time.Millisecond, MaxPause: 250 * time.Millisecond, WaitLimit: 2 * time.Second, ArrivedAt: now, AttemptNumber: 1}
}

// grantedNames returns the requests that a step granted.
func grantedNames(effects []batch.Effect) []id.Request {
	var names []id.Request
	for _, effect := range effects {
		if effect.Kind == batch.Granted {
			names = append(names, effect.Request)
		}
	}
	return names
}

// TestPredictionIncludesPasses checks that the predicted first event on an engine that writes contains the rest of the pass
// in progress and the pass that reads the prompt.
func TestPredictionIncludesPasses(t *testing.T) {
	machine, now := newOneEngineMachine(batch.DefaultConfig())
	idle := machine.Step(now, batch.Submit{Request: shortRequest(now, "r1")})[0].Grant
	machine.Step(now.Add(idle.PredictedFirstEvent), batch.AttemptStarted{Attempt: idle.Attempt})
	now = now.Add(time.Second)
	writing := machine.Step(now, batch.Submit{Request: shortRequest(now, "r2")})[0].Grant
	profile := engineProfile()
	pass := time.Duration(profile.StepsPerDecodePass) * (profile.StepTime + profile.StepPerSequence)
	assert.Assert(t, writing.PredictedFirstEvent >= idle.PredictedFirstEvent+3*pass/2, "%s beside an answer, %s on an idle engine, a pass takes %s or more", writing.PredictedFirstEvent, idle.PredictedFirstEvent, pass)
}

// TestPredictionFollowsMeasuredTimes checks that predictions approach what grants take on engines that are half as fast as
// their profile says, and that a single first event that never seems to come moves them by little.
func TestPredictionFollowsMeasuredTimes(t *testing.T) {
	machine, now := newOneEngineMachine(batch.DefaultConfig())
	grant := func(name string, slowness time.Duration, modelled time.Duration) time.Duration {
		now = now.Add(time.Minute)
		gr := machine.Step(now, batch.Submit{Request: shortRequest(now, name)})[0].Grant
		if modelled == 0 {
			modelled = gr.PredictedFirstEvent
		}
		machine.Step(now.Add(slowness*modelled), batch.AttemptStarted{Attempt: gr.Attempt})
		machine.Step(now.Add(slowness*modelled), batch.FinishAttempt{Attempt: gr.Attempt})
		return gr.PredictedFirstEvent
	}
	modelled := grant("first", 1, 0)
	var predicted time.Duration
	for ix := range 200 {
		predicted = grant(fmt.Sprintf("r%d", ix), 2, modelled)
	}
	assert.Assert(t, predicted > 2*modelled*95/100 && predicted <= 2*modelled, "predicted %s, measured %s", predicted, 2*modelled)
	ratio, _ := machine.FirstEventRatios()
	assert.Assert(t, ratio > 1.9 && ratio <= 2, "the ratio is %.2f", ratio)
	grant("lost", 1000, modelled)
	afterLost := grant("last", 2, modelled)
	assert.Assert(t, afterLost < predicted*11/10, "%s before, %s after one lost request", predicted, afterLost)
}

// TestRequestsThatCanBeOnTimeGoFirst checks that a request whose first event can't be on time by the passes of the engines
// goes after one that can, although its latest start is earlier, and that it is still served.
func TestRequestsThatCanBeOnTimeGoFirst(t *testing.T) {
	machine, now := newOneEngineMachine(batch.DefaultConfig())
	var running []id.Attempt
	for ix := range engineProfile().Slots {
		gr := machine.Step(now, batch.Submit{Request: shortRequest(now, fmt.Sprintf("running%d", ix))})[0].Grant
		running = append(running, gr.Attempt)
	}
	now = now.Add(200 * time.Millisecond)
	for _, attempt := range running {
		machine.Step(now, batch.AttemptStarted{Attempt: attempt})
	}
	now = now.Add(time.Second)
	assert.Equal(t, len(machine.Step(now, batch.Submit{Request: shortRequest(now, "older")})), 0)
	now = now.Add(165 * time.Millisecond)
	assert.Equal(t, len(machine.Step(now, batch.Submit{Request: shortRequest(now, "newer")})), 0)
	now = now.Add(time.Millisecond)
	assert.DeepEqual(t, grantedNames(machine.Step(now, batch.FinishAttempt{Attempt: running[0]})), []id.Request{"newer"})
	assert.DeepEqual(t, grantedNames(machine.Step(now, batch.FinishAttempt{Attempt: running[1]})), []id.Request{"older"})
}
