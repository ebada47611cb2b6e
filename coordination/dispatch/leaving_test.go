package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// TestLeavingEnginesAreNoReasonToShorten checks the refusal of a prompt that only fits on engines which take no new requests,
// because they are leaving or evacuated: the client may come again, and has a time to return. A prompt that fits on no
// engines at all is too long.
func TestLeavingEnginesAreNoReasonToShorten(t *testing.T) {
	for name, tc := range map[string]struct {
		promptTokens id.Tokens
		leaving      []id.Engine
		reason       outcome.Reason
	}{
		"no engine remains":                     {1000, []id.Engine{"a", "b", "c"}, outcome.NoCapacity},
		"the remaining one can't hold it":       {engineMemory * 3 / 2, []id.Engine{"a", "b"}, outcome.NoCapacity},
		"no number of engines can hold it":      {100 * engineMemory, []id.Engine{"a"}, outcome.PromptExceedsFleet},
		"the same while no engine is leaving":   {100 * engineMemory, nil, outcome.PromptExceedsFleet},
		"the remaining ones hold it; no reason": {1000, []id.Engine{"a"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			mc, now := dispatch.New(dispatch.DefaultConfig(), 1), time.Unix(0, 0)
			for _, engine := range []id.Engine{"a", "b", "c"} {
				spec := dispatch.EngineSpec{Engine: engine, CapacityTokens: engineMemory, Models: []id.Model{"model"}}
				for _, leaving := range tc.leaving {
					spec.Leaving = spec.Leaving || engine == leaving
				}
				mc.Step(now, dispatch.SetEngine{Spec: spec})
			}
			effects := mc.Step(now, dispatch.Submit{Request: dispatch.Request{
				ID: "r", Model: "model", PromptTokens: tc.promptTokens, MaxAnswerTokens: 10, Deadline: now.Add(time.Hour), AttemptNumber: 1,
			}})
			assert.Equal(t, len(effects), 1)
			assert.Equal(t, effects[0].Outcome.Reason, tc.reason)
			assert.Equal(t, effects[0].Outcome.RetryAfter > 0, tc.reason == outcome.NoCapacity)
		})
	}
}
