package batch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

const (
	// coldPerSecond is the rate of a cold engine in the replayed load.
	coldPerSecond = 17
	// coldFrom and coldTo bound the time in which the first coldEngines engines are cold.
	coldFrom, coldTo = 2 * time.Second, 10 * time.Second
	// replayDuration is the length of a replay, and replayStep its resolution.
	replayDuration = 12 * time.Second
	replayStep     = time.Millisecond
	replayEngines  = 9
	coldEngines    = 3
)

// replay plays a crest of short prompts on a model of engines, some of which are cold for a time. Each machine decides
// by itself, without knowledge of the others.
type replay struct {
	random   *rand.Rand
	machines []*batch.Machine
	engines  map[id.Engine]*replayedEngine
	// perSecond is the demand on each machine. Each request takes up to maxDelay from its grant to the engine.
	perSecond float64
	maxDelay  time.Duration
	// pending are what happens later, by the step in which it does.
	pending map[time.Duration][]func()
	// lostAt is when the first machine no longer decides and the second one takes over its demand; zero if both decide all
	// the time.
	lostAt time.Duration
	now    time.Duration
}

// replayedEngine reads one prompt after the other and counts what reaches it.
type replayedEngine struct {
	busyUntil time.Duration
	arrivals  []time.Time
	// mostRunning is the largest number of requests that it ran at a time.
	running, mostRunning int
}

func newReplay(seed uint64, machineCount int, perSecond float64, maxDelay time.Duration) *replay {
	rp := &replay{random: rand.New(rand.NewPCG(seed, seed)), engines: map[id.Engine]*replayedEngine{}, perSecond: perSecond, maxDelay: maxDelay, pending: map[time.Duration][]func(){}}
	for number := range replayEngines {
		rp.engines[engineName(number)] = &replayedEngine{}
	}
	profile := engineProfile()
	profile.Slots, profile.PrefillTokensPerSecond = 12, 154_000
	for range machineCount {
		machine := batch.New(batch.DefaultConfig(), seed)
		machine.Step(rp.time(), batch.SetEngineProfile{Profile: profile})
		rp.machines = append(rp.machines, machine)
	}
	return rp
}

func engineName(number int) id.Engine { return id.Engine(fmt.Sprint("engine-", number)) }

func (rp *replay) time() time.Time { return time.Unix(1000, 0).Add(rp.now) }

// run plays the whole load.
func (rp *replay) run() {
	for ; rp.now < replayDuration; rp.now += replayStep {
		if rp.now%(100*time.Millisecond) == 0 {
			rp.listEngines()
		}
		for _, happen := range rp.pending[rp.now] {
			happen()
		}
		delete(rp.pending, rp.now)
		for index, machine := range rp.machines {
			if !rp.decides(index) {
				continue
			}
			for rp.random.Float64() < rp.perSecond*replayStep.Seconds() {
				rp.submit(index, machine)
			}
			rp.apply(machine, machine.Step(rp.time(), batch.Tick{}))
		}
	}
}

// decides reports whether a machine has demand now. If lostAt is set, the first machine has until then and the second from
// then on.
func (rp *replay) decides(index int) bool {
	return rp.lostAt == 0 || (index == 0) == (rp.now < rp.lostAt)
}

func (rp *replay) listEngines() {
	for index, machine := range rp.machines {
		var specs []batch.EngineSpec
		for number := range replayEngines {
			name := engineName(number)
			spec := batch.EngineSpec{Engine: name, Address: string(name), CountedElsewhere: !rp.decides(index)}
			if number < coldEngines && rp.now >= coldFrom && rp.now < coldTo {
				spec.ColdLimit = coldBounds.Limit(coldPerSecond)
			}
			specs = append(specs, spec)
		}
		rp.apply(machine, machine.Step(rp.time(), batch.SetEngines{Engines: specs}))
	}
}

func (rp *replay) submit(index int, machine *batch.Machine) {
	rq := batch.Request{
		ID: id.Request(fmt.Sprintf("%d-%d-%d", index, rp.now, rp.random.Uint32())), PromptTokens: 4960, MaxAnswerTokens: 500,
		FirstEventTarget: 250 * time.Millisecond, MaxPause: 250 * time.Millisecond, ArrivedAt: rp.time(), AttemptNumber: 1, WaitLimit: 2 * time.Second,
	}
	rp.apply(machine, machine.Step(rp.time(), batch.Submit{Request: rq}))
}

// after lets something happen after a wait.
func (rp *replay) after(wait time.Duration, happen func()) {
	at := rp.now + max(replayStep, wait.Truncate(replayStep))
	rp.pending[at] = append(rp.pending[at], happen)
}

func (rp *replay) apply(machine *batch.Machine, effects []batch.Effect) {
	for _, effect := range effects {
		if effect.Kind != batch.Granted {
			continue
		}
		attempt := effect.Grant.Attempt
		for index, part := range effect.Grant.Parts {
			engine, answers := rp.engines[part.Engine], index == 0
			rp.after(time.Duration(rp.random.Float64()*float64(rp.maxDelay)), func() { rp.arrive(machine, engine, attempt, answers) })
		}
	}
}

// arrive has an engine read and answer a request.
func (rp *replay) arrive(machine *batch.Machine, engine *replayedEngine, attempt id.Attempt, answers bool) {
	const readTime, answerTime = 33 * time.Millisecond, 200 * time.Millisecond
	engine.arrivals = append(engine.arrivals, rp.time())
	engine.running++
	engine.mostRunning = max(engine.mostRunning, engine.running)
	engine.busyUntil = max(engine.busyUntil, rp.now) + readTime
	rp.after(engine.busyUntil-rp.now, func() {
		if answers {
			rp.apply(machine, machine.Step(rp.time(), batch.AttemptStarted{Attempt: attempt}))
		}
		rp.after(answerTime, func() {
			engine.running--
			if answers {
				rp.apply(machine, machine.Step(rp.time(), batch.FinishAttempt{Attempt: attempt}))
			}
		})
	})
}

// arrivalsIn returns the arrivals at an engine in a part of the replay.
func (rp *replay) arrivalsIn(number int, from, to time.Duration) []time.Time {
	start := time.Unix(1000, 0)
	arrivals := slices.Clone(rp.engines[engineName(number)].arrivals)
	slices.SortFunc(arrivals, time.Time.Compare)
	return slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(start.Add(from)) || !at.Before(start.Add(to)) })
}

// checkColdEngines checks that no cold engine got more than the users allow in any second, counted over all machines.
func (rp *replay) checkColdEngines(t *testing.T, from time.Duration) {
	t.Helper()
	const allowed = coldPerSecond*1.5 + 5
	for number := range coldEngines {
		most := testutil.MaxInWindow(rp.arrivalsIn(number, from, coldTo), time.Second)
		assert.Check(t, float64(most) <= allowed, "engine %d: %d requests in a second, allowed %g", number, most, allowed)
	}
}

// checkRamp checks that each cold engine got at least 0.8 of its rate in a part of the replay.
func (rp *replay) checkRamp(t *testing.T, from, to time.Duration) {
	t.Helper()
	for number := range coldEngines {
		used := float64(len(rp.arrivalsIn(number, from, to))) / (coldPerSecond * (to - from).Seconds())
		assert.Check(t, used >= 0.8, "engine %d got %.2f of its rate", number, used)
	}
}

// settled is how long after a change the requests that were on the way have arrived.
const settled = 100 * time.Millisecond

// TestZoneBecomesColdInCrest has a third of the engines become cold while there is more demand than all can serve. They
// get their ramp and no more, the warm ones no more at a time than before, and all get the same once they are warm.
func TestZoneBecomesColdInCrest(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			rp := newReplay(seed, 1, 350, 40*time.Millisecond)
			rp.run()
			rp.checkColdEngines(t, coldFrom+settled)
			rp.checkRamp(t, coldFrom+time.Second, coldTo)
			rp.checkWarmEngines(t)
		})
	}
}

// checkWarmEngines checks that engines that are warm got no more than their slots, and as much after their time as before
// it.
func (rp *replay) checkWarmEngines(t *testing.T) {
	t.Helper()
	var before, after float64
	for number := range replayEngines {
		assert.Check(t, rp.engines[engineName(number)].mostRunning <= 12, "engine %d ran %d requests at a time", number, rp.engines[engineName(number)].mostRunning)
		if number < coldEngines {
			before += float64(len(rp.arrivalsIn(number, coldFrom-time.Second, coldFrom)))
			after += float64(len(rp.arrivalsIn(number, coldTo+settled, coldTo+settled+time.Second)))
		}
	}
	assert.Check(t, after >= 0.9*before, "%g requests in the second after the cold time, %g in that before", after, before)
	assert.Check(t, math.Max(before, after) > coldEngines*coldPerSecond, "the load does not reach the limit")
}

// TestTwoDispatchersSendToColdEngines has two machines decide at the same time without knowing of each other, each with
// more demand than the cold engines take.
func TestTwoDispatchersSendToColdEngines(t *testing.T) {
	for seed := range uint64(5) {
		rp := newReplay(seed, 2, 300, 2*time.Millisecond)
		rp.run()
		rp.checkColdEngines(t, coldFrom+settled)
	}
}

// TestLinksBunchArrivalsAtColdEngines has requests take up to three tenths of a second to the engines.
func TestLinksBunchArrivalsAtColdEngines(t *testing.T) {
	for seed := range uint64(5) {
		rp := newReplay(seed, 1, 350, 300*time.Millisecond)
		rp.run()
		rp.checkColdEngines(t, coldFrom+300*time.Millisecond)
		rp.checkRamp(t, coldFrom+time.Second, coldTo)
	}
}

// TestDispatcherLostWhileEnginesAreCold has a second machine take over amid the cold time, without the account of the
// first one.
func TestDispatcherLostWhileEnginesAreCold(t *testing.T) {
	for seed := range uint64(5) {
		rp := newReplay(seed, 2, 350, 20*time.Millisecond)
		rp.lostAt = 3500 * time.Millisecond
		rp.run()
		rp.checkColdEngines(t, coldFrom+settled)
		rp.checkRamp(t, 3700*time.Millisecond, coldTo)
	}
}
