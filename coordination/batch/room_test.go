package batch_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// crowd drives a machine of one engine whose answers each hold a slot for holdTime.
type crowd struct {
	machine *batch.Machine
	now     time.Time
	// runningUntil holds when the answers end that run; arrivedAt when the waiting requests arrived.
	runningUntil map[id.Attempt]time.Time
	arrivedAt    map[id.Request]time.Time
	// refusedAfter holds how long refused requests had waited, retryAfter when they were asked to come back, from the
	// refusal on.
	refusedAfter []time.Duration
	returnAt     []time.Time
	granted      int
}

const holdTime = time.Second

// refusingConfig returns the default configuration with early refusals.
func refusingConfig() batch.Config {
	config := batch.DefaultConfig()
	config.RefusesHopeless = true
	return config
}

func newCrowd(config batch.Config) *crowd {
	machine, now := newOneEngineMachine(config)
	return &crowd{machine: machine, now: now, runningUntil: map[id.Attempt]time.Time{}, arrivedAt: map[id.Request]time.Time{}}
}

func (cr *crowd) step(event batch.Event) {
	for _, effect := range cr.machine.Step(cr.now, event) {
		if effect.Kind == batch.Granted {
			cr.granted++
			cr.runningUntil[effect.Grant.Attempt] = cr.now.Add(holdTime)
			continue
		}
		cr.refusedAfter = append(cr.refusedAfter, cr.now.Sub(cr.arrivedAt[effect.Request]))
		cr.returnAt = append(cr.returnAt, cr.now.Add(effect.Outcome.RetryAfter))
	}
}

// run lets requests arrive at an interval for a time, in steps of 5 ms, or none if the interval is zero. First events come
// 150 ms after the grant.
func (cr *crowd) run(duration, interval time.Duration) {
	const stepTime, firstEventTime = 5 * time.Millisecond, 150 * time.Millisecond
	start := cr.now
	for cr.now = start; cr.now.Before(start.Add(duration)); cr.now = cr.now.Add(stepTime) {
		for _, attempt := range slices.Sorted(maps.Keys(cr.runningUntil)) {
			until := cr.runningUntil[attempt]
			if !cr.now.Before(until) {
				delete(cr.runningUntil, attempt)
				cr.step(batch.FinishAttempt{Attempt: attempt})
			} else if until.Sub(cr.now) == holdTime-firstEventTime {
				cr.step(batch.AttemptStarted{Attempt: attempt})
			}
		}
		if interval > 0 && cr.now.Sub(start)%interval == 0 {
			rq := shortRequest(cr.now, fmt.Sprintf("r%d", cr.now.UnixMilli()))
			cr.arrivedAt[rq.ID] = cr.now
			cr.step(batch.Submit{Request: rq})
		}
		cr.step(batch.Tick{})
	}
}

// TestHopelessRequestsAreRefusedEarly checks that in a crowd twice as large as the slots can serve, requests that are late and
// will get no slot are refused well before their clients stop waiting, that they are asked to come back at
// different times, the first ones as slots become free, and that no fewer requests are served for it.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	counts := map[bool]int{}
	for _, refuses := range []bool{false, true} {
		config := batch.DefaultConfig()
		config.RefusesHopeless = refuses
		cr := newCrowd(config)
		cr.run(8*time.Second, 125*time.Millisecond)
		counts[refuses] = cr.granted
		assert.Assert(t, len(cr.refusedAfter) > 10, "%d refused", len(cr.refusedAfter))
		if !refuses {
			continue
		}
		for ix, waited := range cr.refusedAfter {
			// The rates are known a second after the crowd begins.
			assert.Assert(t, waited <= 1500*time.Millisecond, "the refusal %d came after %s", ix, waited)
		}
		last := cr.refusedAfter[len(cr.refusedAfter)/2:]
		for _, waited := range last {
			assert.Assert(t, waited < 500*time.Millisecond, "a later refusal came after %s", waited)
		}
		// The first ones come back as slots become free: four a second, of which a quarter is for them. Later ones would come
		// back after maxRetryAfter that way, which their clients don't wait for.
		for ix := 1; ix < 4; ix++ {
			assert.Assert(t, cr.returnAt[ix].Sub(cr.returnAt[ix-1]) >= 900*time.Millisecond, "client %d is asked to come back %s after the one before", ix, cr.returnAt[ix].Sub(cr.returnAt[ix-1]))
		}
		slices.SortFunc(cr.returnAt, time.Time.Compare)
		for ix := 1; ix < len(cr.returnAt); ix++ {
			assert.Assert(t, cr.returnAt[ix].After(cr.returnAt[ix-1]), "two clients are asked to come back at the same time")
		}
	}
	assert.Assert(t, counts[true] >= counts[false], "%d served, %d without early refusals", counts[true], counts[false])
}

// TestLateRequestsAreServedWhenTheCrowdEnds checks that requests that are late are not refused if slots become free for them
// in time, and that nothing is refused while a slot is free.
func TestLateRequestsAreServedWhenTheCrowdEnds(t *testing.T) {
	cr := newCrowd(refusingConfig())
	cr.run(4*time.Second, 275*time.Millisecond)
	assert.Equal(t, len(cr.refusedAfter), 0)
	cr.run(400*time.Millisecond, 200*time.Millisecond)
	cr.run(4*time.Second, 0)
	assert.Equal(t, len(cr.refusedAfter), 0)
	assert.Equal(t, cr.machine.Waiting(), 0)
	assert.Equal(t, cr.granted, len(cr.arrivedAt))
}

// TestLargePromptsLeaveSlotsUsable checks that a prompt that is larger than an engine leaves its engines the memory that short
// prompts in their unused slots need, and takes all of it if it needs it.
func TestLargePromptsLeaveSlotsUsable(t *testing.T) {
	const shortTokens = 15_000
	largeRequest := func(now time.Time, tokens id.Tokens) batch.Request {
		return batch.Request{ID: "large", PromptTokens: tokens, MaxAnswerTokens: 1000, FirstEventTarget: 3 * time.Second, MaxPause: time.Second, WaitLimit: 15 * time.Second, ArrivedAt: now, AttemptNumber: 1}
	}
	for _, promptTokens := range []id.Tokens{400_000, 560_000} {
		machine, now := newOneEngineMachine(batch.DefaultConfig())
		machine.Step(now, batch.SetEngines{Engines: []batch.EngineSpec{{Engine: "a", Address: "a"}, {Engine: "b", Address: "b"}}})
		grantShort := func(name string) (id.Attempt, bool) {
			now = now.Add(time.Second)
			rq := shortRequest(now, name)
			rq.PromptTokens = shortTokens
			effects := machine.Step(now, batch.Submit{Request: rq})
			if len(effects) == 0 {
				return "", false
			}
			attempt := effects[0].Grant.Attempt
			now = now.Add(time.Second)
			machine.Step(now, batch.AttemptStarted{Attempt: attempt})
			return attempt, true
		}
		first, _ := grantShort("first")
		machine.Step(now, batch.FinishAttempt{Attempt: first})
		now = now.Add(time.Minute)
		effects := machine.Step(now, batch.Submit{Request: largeRequest(now, promptTokens)})
		assert.Equal(t, len(effects), 1, "the large prompt is not granted")
		now = now.Add(10 * time.Second)
		machine.Step(now, batch.AttemptStarted{Attempt: effects[0].Grant.Attempt})
		granted := 0
		for granted < 2*engineProfile().Slots {
			if _, ok := grantShort(fmt.Sprintf("s%d", granted)); !ok {
				break
			}
			granted++
		}
		if promptTokens == 400_000 {
			assert.Equal(t, granted, 2*engineProfile().Slots-1)
		}
	}
}

// TestNothingIsRefusedEarlyWhileEnginesMayReturn checks that an engine that is left alone after a failure counts: the requests
// that its free slots would serve are not refused early, and it serves them when it returns.
func TestNothingIsRefusedEarlyWhileEnginesMayReturn(t *testing.T) {
	cr := newCrowd(refusingConfig())
	cr.step(batch.SetEngines{Engines: []batch.EngineSpec{{Engine: "a", Address: "a"}, {Engine: "b", Address: "b"}}})
	cr.run(3*time.Second, 125*time.Millisecond)
	assert.Equal(t, len(cr.refusedAfter), 0)
	// Each failure of b is reported anew, so that it gets nothing for two seconds.
	for range 2 {
		cr.step(batch.FinishAttempt{Attempt: "unknown/1", FailedEngine: "b", Fault: batch.Unreachable})
	}
	for _, attempt := range slices.Sorted(maps.Keys(cr.runningUntil)) {
		cr.step(batch.FinishAttempt{Attempt: attempt})
		delete(cr.runningUntil, attempt)
	}
	cr.run(1500*time.Millisecond, 125*time.Millisecond)
	early := 0
	for _, waited := range cr.refusedAfter {
		if waited < time.Second {
			early++
		}
	}
	assert.Assert(t, early <= len(cr.arrivedAt)-cr.granted-engineProfile().Slots, "%d refused early of %d that got no slot", early, len(cr.arrivedAt)-cr.granted)
	waiting := cr.machine.Waiting()
	assert.Assert(t, waiting >= engineProfile().Slots, "%d wait for the engine that may return", waiting)
}

// TestNothingIsRefusedEarlyWhileLimitedEngineHasSlots checks that the free slots of a cold engine count while its limit
// allows it no request: those that wait for them are not refused, and get them as the limit allows.
func TestNothingIsRefusedEarlyWhileLimitedEngineHasSlots(t *testing.T) {
	cr := newCrowd(refusingConfig())
	cr.run(4*time.Second, 275*time.Millisecond)
	assert.Equal(t, len(cr.refusedAfter), 0)
	cold := serverlimit.ColdLimit{Rate: 2, MaxPerSecond: 2}
	cr.step(batch.SetEngines{Engines: []batch.EngineSpec{{Engine: "a", Address: "a"}, {Engine: "b", Address: "b", ColdLimit: cold}}})
	cr.run(450*time.Millisecond, 125*time.Millisecond)
	cr.run(4*time.Second, 0)
	assert.Equal(t, len(cr.refusedAfter), 0, "refused after %s", cr.refusedAfter)
	assert.Equal(t, cr.granted, len(cr.arrivedAt))
}

// TestEvacuatedEngineHoldsBackNoRefusals checks that the slots of an evacuated engine do not count as ones that may become
// free: requests that will get no slot are refused as early as without it.
func TestEvacuatedEngineHoldsBackNoRefusals(t *testing.T) {
	cr := newCrowd(refusingConfig())
	cr.step(batch.SetEngines{Engines: []batch.EngineSpec{{Engine: "a", Address: "a"}, {Engine: "b", Address: "b", Evacuated: true}}})
	cr.run(8*time.Second, 125*time.Millisecond)
	assert.Assert(t, len(cr.refusedAfter) > 10, "%d refused", len(cr.refusedAfter))
	for _, waited := range cr.refusedAfter[len(cr.refusedAfter)/2:] {
		assert.Assert(t, waited < 500*time.Millisecond, "a later refusal came after %s", waited)
	}
}
