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

const engineMemory id.Tokens = 450_000

// ledger checks what a machine says against what it was told.
type ledger struct {
	machine  *dispatch.Machine
	now      time.Time
	engines  map[id.Engine]dispatch.EngineSpec
	waiting  map[id.Request]dispatch.Request
	grants   map[id.Attempt]dispatch.Grant
	asked    map[id.Attempt]dispatch.Request
	sequence int
	// forgetEnds switches the release of memory off, to prove the checker.
	forgetEnds bool
}

func newLedger(policy dispatch.Policy) *ledger {
	config := dispatch.DefaultConfig()
	config.Policy = policy
	lg := &ledger{
		machine: dispatch.New(config, 1),
		now:     time.Unix(0, 0),
		engines: map[id.Engine]dispatch.EngineSpec{},
		waiting: map[id.Request]dispatch.Request{},
		grants:  map[id.Attempt]dispatch.Grant{},
		asked:   map[id.Attempt]dispatch.Request{},
	}
	return lg
}

func (lg *ledger) step(ev dispatch.Event) error {
	for _, ef := range lg.machine.Step(lg.now, ev) {
		switch ef.Kind {
		case dispatch.Granted:
			if err := lg.granted(ef); err != nil {
				return err
			}
		case dispatch.Refused:
			if _, ok := lg.waiting[ef.Request]; !ok {
				return fmt.Errorf("request %s was refused but does not wait", ef.Request)
			}
			delete(lg.waiting, ef.Request)
		case dispatch.CancelAttempt, dispatch.Preempted:
			delete(lg.grants, ef.Attempt)
		}
	}
	return lg.check()
}

func (lg *ledger) granted(ef dispatch.Effect) error {
	rq, ok := lg.waiting[ef.Request]
	if !ok {
		return fmt.Errorf("request %s got a grant but does not wait", ef.Request)
	}
	delete(lg.waiting, ef.Request)
	var tokens id.Tokens
	used := map[id.Engine]bool{}
	for _, part := range ef.Grant.Parts {
		tokens += part.PromptTokens
		spec, known := lg.engines[part.Engine]
		if !known || spec.Leaving {
			return fmt.Errorf("request %s was sent to engine %s, which is gone or leaving", ef.Request, part.Engine)
		}
		if used[part.Engine] {
			return fmt.Errorf("a gang names engine %s twice", part.Engine)
		}
		used[part.Engine] = true
	}
	if tokens != rq.PromptTokens {
		return fmt.Errorf("parts of request %s hold %d tokens of %d", ef.Request, tokens, rq.PromptTokens)
	}
	if lg.now.After(rq.Deadline) {
		return fmt.Errorf("request %s got a grant after its deadline", ef.Request)
	}
	lg.grants[ef.Attempt] = *ef.Grant
	lg.asked[ef.Attempt] = rq
	return nil
}

// check compares the memory that the machine counts with the memory of live grants.
func (lg *ledger) check() error {
	held := map[id.Engine]id.Tokens{}
	for _, gr := range lg.grants {
		for ix, part := range gr.Parts {
			held[part.Engine] += part.PromptTokens
			if ix == 0 {
				held[part.Engine] += gr.AnswerTokens
			}
		}
	}
	for name := range lg.engines {
		if got := lg.machine.ReservedTokens(name); got != held[name] {
			return fmt.Errorf("engine %s holds %d tokens, live grants hold %d", name, got, held[name])
		}
		if held[name] > engineMemory {
			return fmt.Errorf("engine %s holds %d tokens of %d", name, held[name], engineMemory)
		}
	}
	if lg.machine.Waiting() != len(lg.waiting) {
		return fmt.Errorf("%d requests wait, %d are known to", lg.machine.Waiting(), len(lg.waiting))
	}
	return nil
}

func (lg *ledger) addEngine(number int, leaving bool) error {
	spec := dispatch.EngineSpec{
		Engine: id.Engine(fmt.Sprint("engine-", number)), Address: fmt.Sprint("address-", number),
		CapacityTokens: engineMemory, Models: []id.Model{"model"}, Leaving: leaving,
	}
	lg.engines[spec.Engine] = spec
	return lg.step(dispatch.SetEngine{Spec: spec})
}

func (lg *ledger) submit(prompt id.Tokens, org int, wait time.Duration) error {
	lg.sequence++
	rq := dispatch.Request{
		ID:           id.Request(fmt.Sprint("request-", lg.sequence)),
		Organisation: id.Organisation(fmt.Sprint("org-", org)),
		Weight:       1,
		Model:        "model",
		PromptTokens:       prompt,
		Deadline:     lg.now.Add(wait),
		AttemptNumber:       1,
	}
	lg.waiting[rq.ID] = rq
	return lg.step(dispatch.Submit{Request: rq})
}

func (lg *ledger) finish(att id.Attempt) error {
	if lg.forgetEnds {
		delete(lg.grants, att)
		return lg.check()
	}
	delete(lg.grants, att)
	return lg.step(dispatch.FinishAttempt{Attempt: att})
}

// anyGrant returns the attempt at a position of the live grants in order.
func (lg *ledger) anyGrant(rt *rapid.T) (id.Attempt, bool) {
	if len(lg.grants) == 0 {
		return "", false
	}
	names := make([]id.Attempt, 0, len(lg.grants))
	for name := range lg.grants {
		names = append(names, name)
	}
	return rapid.SampledFrom(slices.Sorted(slices.Values(names))).Draw(rt, "grant"), true
}

func (lg *ledger) act(rt *rapid.T) error {
	switch rapid.IntRange(0, 9).Draw(rt, "action") {
	case 0, 1, 2:
		prompt := rapid.SampledFrom([]id.Tokens{200, 2000, 4096, 30_000, 90_000, 390_000, 700_000, 1_000_000, 3_000_000}).Draw(rt, "prompt")
		wait := time.Duration(rapid.IntRange(1, 60).Draw(rt, "seconds")) * time.Second
		return lg.submit(prompt, rapid.IntRange(0, 3).Draw(rt, "organisation"), wait)
	case 3, 4:
		if att, ok := lg.anyGrant(rt); ok {
			return lg.finish(att)
		}
	case 5:
		if att, ok := lg.anyGrant(rt); ok {
			return lg.step(dispatch.RenewGrant{Grant: lg.grants[att], Organisation: lg.asked[att].Organisation, Started: rapid.Bool().Draw(rt, "started")})
		}
	case 6:
		lg.now = lg.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "millis")) * time.Millisecond)
		return lg.step(dispatch.Tick{})
	case 7:
		return lg.addEngine(rapid.IntRange(0, 5).Draw(rt, "engine"), rapid.IntRange(0, 3).Draw(rt, "leaving") == 0)
	case 8:
		name := id.Engine(fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(rt, "engine")))
		delete(lg.engines, name)
		return lg.step(dispatch.RemoveEngine{Engine: name})
	case 9:
		name := id.Engine(fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(rt, "engine")))
		pending := id.Tokens(rapid.IntRange(0, 500_000).Draw(rt, "pending"))
		return lg.step(dispatch.ReportLoad{Engine: name, MeasuredAt: lg.now.Add(-500 * time.Millisecond), PendingTokens: pending})
	}
	return nil
}

func TestGrantMemoryIsReleased(t *testing.T) {
	for _, policy := range dispatch.Policies() {
		if !policy.QueueUntilRoom {
			continue
		}
		t.Run(policy.Name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				lg := newLedger(policy)
				for number := range 4 {
					assert.NilError(rt, lg.addEngine(number, false))
				}
				for range rapid.IntRange(10, 80).Draw(rt, "steps") {
					if err := lg.act(rt); err != nil {
						rt.Fatal(err)
					}
				}
				drain(rt, lg)
			})
		})
	}
}

// drain ends everything and checks that nothing is held and nothing waits for good.
func drain(rt *rapid.T, lg *ledger) {
	for len(lg.grants)+len(lg.waiting) > 0 {
		for att := range lg.grants {
			if err := lg.finish(att); err != nil {
				rt.Fatal(err)
			}
		}
		lg.now = lg.now.Add(time.Second)
		if err := lg.step(dispatch.Tick{}); err != nil {
			rt.Fatal(err)
		}
		if lg.now.After(time.Unix(10_000, 0)) {
			rt.Fatalf("%d requests still wait long after their deadlines", len(lg.waiting))
		}
	}
	for name := range lg.engines {
		assert.Equal(rt, lg.machine.ReservedTokens(name), id.Tokens(0))
	}
}

// TestCheckerDetectsUnreleasedMemory proves the checker: when ends are not told, memory is counted that no live grant holds.
func TestCheckerDetectsUnreleasedMemory(t *testing.T) {
	lg := newLedger(dispatch.DefaultPolicy())
	assert.NilError(t, lg.addEngine(0, false))
	assert.NilError(t, lg.submit(2000, 0, time.Minute))
	lg.forgetEnds = true
	assert.ErrorContains(t, lg.finish(id.NewAttempt("request-1", 1)), "live grants hold 0")
}

func TestGrantExpiresWithoutRenewal(t *testing.T) {
	lg := newLedger(dispatch.DefaultPolicy())
	assert.NilError(t, lg.addEngine(0, false))
	assert.NilError(t, lg.submit(2000, 0, time.Minute))
	assert.Equal(t, len(lg.grants), 1)
	lg.now = lg.now.Add(dispatch.DefaultConfig().GrantTTL + time.Second)
	assert.NilError(t, lg.step(dispatch.Tick{}))
	assert.Equal(t, len(lg.grants), 0)
	assert.Equal(t, lg.machine.ReservedTokens("engine-0"), id.Tokens(0))
}

func TestOrphanedAttemptIsCancelled(t *testing.T) {
	lg := newLedger(dispatch.DefaultPolicy())
	assert.NilError(t, lg.addEngine(0, false))
	listed := dispatch.ListAttempts{Engine: "engine-0", Attempts: []dispatch.AttemptMemory{{Attempt: "gone.1.1/1", Tokens: 400_000}}}
	assert.Equal(t, len(lg.machine.Step(lg.now, listed)), 0)
	assert.NilError(t, lg.submit(200_000, 0, time.Minute))
	assert.Equal(t, len(lg.grants), 0, "memory of an unknown attempt is not given away")
	lg.now = lg.now.Add(dispatch.DefaultConfig().OrphanTimeout)
	effects := lg.machine.Step(lg.now, listed)
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0].Kind, dispatch.CancelAttempt)
	assert.Equal(t, effects[0].Attempt, id.Attempt("gone.1.1/1"))
}

func TestRunAloneRequestSharesNoEngine(t *testing.T) {
	lg := newLedger(dispatch.DefaultPolicy())
	assert.NilError(t, lg.addEngine(0, false))
	assert.NilError(t, lg.submit(2000, 0, time.Minute))
	suspect := dispatch.Request{ID: "suspect", Model: "model", PromptTokens: 1000, AttemptNumber: 1, RunAlone: true, Deadline: lg.now.Add(time.Minute)}
	lg.waiting[suspect.ID] = suspect
	assert.NilError(t, lg.step(dispatch.Submit{Request: suspect}))
	assert.Equal(t, len(lg.grants), 1, "the suspect waits for an empty engine")
	assert.NilError(t, lg.finish(id.NewAttempt("request-1", 1)))
	assert.Equal(t, len(lg.grants), 1)
	assert.NilError(t, lg.submit(2000, 0, time.Minute))
	assert.Equal(t, len(lg.grants), 1, "nothing joins the suspect")
	assert.NilError(t, lg.finish(id.NewAttempt("suspect", 1)))
	assert.Equal(t, len(lg.grants), 1)
}

// TestAvoidedEngineIsUsedWhenNoneCanBeSpared retries a prompt that only the engines it is to avoid can hold.
func TestAvoidedEngineIsUsedWhenNoneCanBeSpared(t *testing.T) {
	lg := newLedger(dispatch.DefaultPolicy())
	for number := range 3 {
		assert.NilError(t, lg.addEngine(number, false))
	}
	long := dispatch.Request{
		ID: "long", Model: "model", PromptTokens: 900_000, AttemptNumber: 2, Deadline: lg.now.Add(time.Minute), AvoidedEngines: []id.Engine{"engine-0"},
	}
	lg.waiting[long.ID] = long
	assert.NilError(t, lg.step(dispatch.Submit{Request: long}))
	assert.Equal(t, len(lg.grants), 1)
}
