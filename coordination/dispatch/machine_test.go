package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// engineMemory is the memory of each engine in the tests.
const engineMemory id.Tokens = 450_000

// grantChecker runs a machine and compares its effects and its counts with a model that it derives from the events and
// effects.
type grantChecker struct {
	machine     *dispatch.Machine
	now         time.Time
	engines     map[id.Engine]dispatch.EngineSpec
	waitingByID map[id.Request]dispatch.Request
	liveGrants  map[id.Attempt]dispatch.Grant
	// requestsByAttempt holds the request of each grant, also after the grant has ended.
	requestsByAttempt map[id.Attempt]dispatch.Request
	// requestCount numbers the submitted requests.
	requestCount int
	// omitFinish hides the ends of grants from the machine, so that a test can show that the checker detects the
	// difference.
	omitFinish bool
}

func newGrantChecker(policy dispatch.Policy) *grantChecker {
	config := dispatch.DefaultConfig()
	config.Policy = policy
	gc := &grantChecker{
		machine:           dispatch.New(config, 1),
		now:               time.Unix(0, 0),
		engines:           map[id.Engine]dispatch.EngineSpec{},
		waitingByID:       map[id.Request]dispatch.Request{},
		liveGrants:        map[id.Attempt]dispatch.Grant{},
		requestsByAttempt: map[id.Attempt]dispatch.Request{},
	}
	return gc
}

// step applies an event, checks the effects and compares the state of the machine with the model.
func (gc *grantChecker) step(ev dispatch.Event) error {
	for _, ef := range gc.machine.Step(gc.now, ev) {
		switch ef.Kind {
		case dispatch.Granted:
			if err := gc.recordGrant(ef); err != nil {
				return err
			}
		case dispatch.Refused:
			if _, ok := gc.waitingByID[ef.Request]; !ok {
				return fmt.Errorf("request %s was refused but does not wait", ef.Request)
			}
			delete(gc.waitingByID, ef.Request)
		case dispatch.CancelAttempt, dispatch.Preempted:
			delete(gc.liveGrants, ef.Attempt)
		}
	}
	return gc.compareState()
}

// recordGrant checks that a grant goes to a waiting request before its deadline, that its parts add up to the prompt,
// and that they are on different engines which accept requests.
func (gc *grantChecker) recordGrant(ef dispatch.Effect) error {
	rq, ok := gc.waitingByID[ef.Request]
	if !ok {
		return fmt.Errorf("request %s got a grant but does not wait", ef.Request)
	}
	delete(gc.waitingByID, ef.Request)
	var promptTokens id.Tokens
	usedEngines := map[id.Engine]bool{}
	for _, part := range ef.Grant.Parts {
		promptTokens += part.PromptTokens
		spec, known := gc.engines[part.Engine]
		if !known || spec.Leaving {
			return fmt.Errorf("request %s was sent to engine %s, which is removed or leaving", ef.Request, part.Engine)
		}
		if usedEngines[part.Engine] {
			return fmt.Errorf("a grant names engine %s twice", part.Engine)
		}
		usedEngines[part.Engine] = true
	}
	if promptTokens != rq.PromptTokens {
		return fmt.Errorf("parts of request %s hold %d tokens of %d", ef.Request, promptTokens, rq.PromptTokens)
	}
	if gc.now.After(rq.Deadline) {
		return fmt.Errorf("request %s got a grant after its deadline", ef.Request)
	}
	gc.liveGrants[ef.Attempt] = *ef.Grant
	gc.requestsByAttempt[ef.Attempt] = rq
	return nil
}

// compareState compares the machine's count of reserved memory with the memory of the live grants, which must not
// exceed the memory of an engine. It also compares the numbers of waiting requests.
func (gc *grantChecker) compareState() error {
	reservedTokens := map[id.Engine]id.Tokens{}
	for _, gr := range gc.liveGrants {
		for ix, part := range gr.Parts {
			reservedTokens[part.Engine] += part.PromptTokens
			if ix == 0 {
				reservedTokens[part.Engine] += gr.AnswerTokens
			}
		}
	}
	for name := range gc.engines {
		if counted := gc.machine.ReservedTokens(name); counted != reservedTokens[name] {
			return fmt.Errorf("engine %s holds %d tokens, live grants hold %d", name, counted, reservedTokens[name])
		}
		if reservedTokens[name] > engineMemory {
			return fmt.Errorf("engine %s holds %d tokens of %d", name, reservedTokens[name], engineMemory)
		}
	}
	if gc.machine.Waiting() != len(gc.waitingByID) {
		return fmt.Errorf("the machine has %d waiting requests, want %d", gc.machine.Waiting(), len(gc.waitingByID))
	}
	return nil
}

func (gc *grantChecker) addEngine(number int, leaving bool) error {
	spec := dispatch.EngineSpec{
		Engine: id.Engine(fmt.Sprint("engine-", number)), Address: fmt.Sprint("address-", number),
		CapacityTokens: engineMemory, Models: []id.Model{"model"}, Leaving: leaving,
	}
	gc.engines[spec.Engine] = spec
	return gc.step(dispatch.SetEngine{Spec: spec})
}

func (gc *grantChecker) submit(promptTokens id.Tokens, organisationNumber int, timeToDeadline time.Duration) error {
	gc.requestCount++
	rq := dispatch.Request{
		ID:            id.Request(fmt.Sprint("request-", gc.requestCount)),
		Organisation:  id.Organisation(fmt.Sprint("org-", organisationNumber)),
		Weight:        1,
		Model:         "model",
		PromptTokens:  promptTokens,
		Deadline:      gc.now.Add(timeToDeadline),
		AttemptNumber: 1,
	}
	gc.waitingByID[rq.ID] = rq
	return gc.step(dispatch.Submit{Request: rq})
}

// finish ends a live grant. With omitFinish, the machine is not notified.
func (gc *grantChecker) finish(att id.Attempt) error {
	if gc.omitFinish {
		delete(gc.liveGrants, att)
		return gc.compareState()
	}
	delete(gc.liveGrants, att)
	return gc.step(dispatch.FinishAttempt{Attempt: att})
}

// drawLiveGrant draws the attempt of a live grant, and returns false if there is none.
func (gc *grantChecker) drawLiveGrant(rt *rapid.T) (id.Attempt, bool) {
	if len(gc.liveGrants) == 0 {
		return "", false
	}
	attempts := make([]id.Attempt, 0, len(gc.liveGrants))
	for attempt := range gc.liveGrants {
		attempts = append(attempts, attempt)
	}
	return rapid.SampledFrom(slices.Sorted(slices.Values(attempts))).Draw(rt, "grant"), true
}

// randomStep applies a randomly drawn event.
func (gc *grantChecker) randomStep(rt *rapid.T) error {
	switch rapid.IntRange(0, 9).Draw(rt, "action") {
	case 0, 1, 2:
		promptTokens := rapid.SampledFrom([]id.Tokens{200, 2000, 4096, 30_000, 90_000, 390_000, 700_000, 1_000_000, 3_000_000}).Draw(rt, "prompt")
		timeToDeadline := time.Duration(rapid.IntRange(1, 60).Draw(rt, "seconds")) * time.Second
		return gc.submit(promptTokens, rapid.IntRange(0, 3).Draw(rt, "organisation"), timeToDeadline)
	case 3, 4:
		if att, ok := gc.drawLiveGrant(rt); ok {
			return gc.finish(att)
		}
	case 5:
		if att, ok := gc.drawLiveGrant(rt); ok {
			return gc.step(dispatch.RenewGrant{Grant: gc.liveGrants[att], Organisation: gc.requestsByAttempt[att].Organisation, Started: rapid.Bool().Draw(rt, "started")})
		}
	case 6:
		gc.now = gc.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "millis")) * time.Millisecond)
		return gc.step(dispatch.Tick{})
	case 7:
		return gc.addEngine(rapid.IntRange(0, 5).Draw(rt, "engine"), rapid.IntRange(0, 3).Draw(rt, "leaving") == 0)
	case 8:
		name := id.Engine(fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(rt, "engine")))
		delete(gc.engines, name)
		return gc.step(dispatch.RemoveEngine{Engine: name})
	case 9:
		name := id.Engine(fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(rt, "engine")))
		pending := id.Tokens(rapid.IntRange(0, 500_000).Draw(rt, "pending"))
		return gc.step(dispatch.ReportLoad{Engine: name, MeasuredAt: gc.now.Add(-500 * time.Millisecond), PendingTokens: pending})
	}
	return nil
}

// TestGrantMemoryIsReleased applies random events under every policy that reserves memory. It guards against memory
// that is counted twice, never released, or granted beyond the memory of an engine, and against requests that wait
// forever.
func TestGrantMemoryIsReleased(t *testing.T) {
	for _, policy := range dispatch.Policies() {
		if !policy.QueueUntilRoom {
			continue
		}
		t.Run(policy.Name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				gc := newGrantChecker(policy)
				for number := range 4 {
					assert.NilError(rt, gc.addEngine(number, false))
				}
				for range rapid.IntRange(10, 80).Draw(rt, "steps") {
					if err := gc.randomStep(rt); err != nil {
						rt.Fatal(err)
					}
				}
				finishAll(rt, gc)
			})
		})
	}
}

// finishAll finishes all grants until no request waits, and checks that no memory remains reserved. It fails if
// requests still wait long after their deadlines.
func finishAll(rt *rapid.T, gc *grantChecker) {
	for len(gc.liveGrants)+len(gc.waitingByID) > 0 {
		for att := range gc.liveGrants {
			if err := gc.finish(att); err != nil {
				rt.Fatal(err)
			}
		}
		gc.now = gc.now.Add(time.Second)
		if err := gc.step(dispatch.Tick{}); err != nil {
			rt.Fatal(err)
		}
		if gc.now.After(time.Unix(10_000, 0)) {
			rt.Fatalf("%d requests still wait long after their deadlines", len(gc.waitingByID))
		}
	}
	for name := range gc.engines {
		assert.Equal(rt, gc.machine.ReservedTokens(name), id.Tokens(0))
	}
}

// TestCheckerDetectsUnreleasedMemory checks grantChecker itself: if the machine does not learn that a grant has ended,
// the checker must notice reserved memory without a live grant.
func TestCheckerDetectsUnreleasedMemory(t *testing.T) {
	gc := newGrantChecker(dispatch.DefaultPolicy())
	assert.NilError(t, gc.addEngine(0, false))
	assert.NilError(t, gc.submit(2000, 0, time.Minute))
	gc.omitFinish = true
	assert.ErrorContains(t, gc.finish(id.NewAttempt("request-1", 1)), "live grants hold 0")
}

func TestGrantExpiresWithoutRenewal(t *testing.T) {
	gc := newGrantChecker(dispatch.DefaultPolicy())
	assert.NilError(t, gc.addEngine(0, false))
	assert.NilError(t, gc.submit(2000, 0, time.Minute))
	assert.Equal(t, len(gc.liveGrants), 1)
	gc.now = gc.now.Add(dispatch.DefaultConfig().GrantTTL + time.Second)
	assert.NilError(t, gc.step(dispatch.Tick{}))
	assert.Equal(t, len(gc.liveGrants), 0)
	assert.Equal(t, gc.machine.ReservedTokens("engine-0"), id.Tokens(0))
}

// TestOrphanedAttemptIsCancelled checks that memory of an attempt without a grant is not granted to others, and that
// the attempt is cancelled after OrphanTimeout.
func TestOrphanedAttemptIsCancelled(t *testing.T) {
	gc := newGrantChecker(dispatch.DefaultPolicy())
	assert.NilError(t, gc.addEngine(0, false))
	orphan := dispatch.ListAttempts{Engine: "engine-0", Attempts: []dispatch.AttemptMemory{{Attempt: "gone.1.1/1", Tokens: 400_000}}}
	assert.Equal(t, len(gc.machine.Step(gc.now, orphan)), 0)
	assert.NilError(t, gc.submit(200_000, 0, time.Minute))
	assert.Equal(t, len(gc.liveGrants), 0, "memory of an unknown attempt must not be granted")
	gc.now = gc.now.Add(dispatch.DefaultConfig().OrphanTimeout)
	effects := gc.machine.Step(gc.now, orphan)
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0].Kind, dispatch.CancelAttempt)
	assert.Equal(t, effects[0].Attempt, id.Attempt("gone.1.1/1"))
}

// TestRunAloneRequestSharesNoEngine checks that a request with RunAlone waits for an idle engine, and that other
// requests wait until it has ended.
func TestRunAloneRequestSharesNoEngine(t *testing.T) {
	gc := newGrantChecker(dispatch.DefaultPolicy())
	assert.NilError(t, gc.addEngine(0, false))
	assert.NilError(t, gc.submit(2000, 0, time.Minute))
	runAlone := dispatch.Request{ID: "suspect", Model: "model", PromptTokens: 1000, AttemptNumber: 1, RunAlone: true, Deadline: gc.now.Add(time.Minute)}
	gc.waitingByID[runAlone.ID] = runAlone
	assert.NilError(t, gc.step(dispatch.Submit{Request: runAlone}))
	assert.Equal(t, len(gc.liveGrants), 1, "the request with RunAlone must wait for an idle engine")
	assert.NilError(t, gc.finish(id.NewAttempt("request-1", 1)))
	assert.Equal(t, len(gc.liveGrants), 1)
	assert.NilError(t, gc.submit(2000, 0, time.Minute))
	assert.Equal(t, len(gc.liveGrants), 1, "no other request may share the engine with the request that has RunAlone")
	assert.NilError(t, gc.finish(id.NewAttempt("suspect", 1)))
	assert.Equal(t, len(gc.liveGrants), 1)
}

// TestAvoidedEngineIsUsedWhenNoneCanBeSpared retries a prompt that only all engines together can hold, so that it can't
// avoid any of them. The request must not wait until its deadline.
func TestAvoidedEngineIsUsedWhenNoneCanBeSpared(t *testing.T) {
	gc := newGrantChecker(dispatch.DefaultPolicy())
	for number := range 3 {
		assert.NilError(t, gc.addEngine(number, false))
	}
	longPrompt := dispatch.Request{
		ID: "long", Model: "model", PromptTokens: 900_000, AttemptNumber: 2, Deadline: gc.now.Add(time.Minute), AvoidedEngines: []id.Engine{"engine-0"},
	}
	gc.waitingByID[longPrompt.ID] = longPrompt
	assert.NilError(t, gc.step(dispatch.Submit{Request: longPrompt}))
	assert.Equal(t, len(gc.liveGrants), 1)
}
