package batch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// The load of the tests in this file: a crest of short prompts on a fleet that has room for them.
const (
	crestEngines  = 78
	crestGap      = 6 * time.Millisecond
	crestPrompt   = 5000
	crestAnswer   = 1200 * time.Millisecond // and up to as much again, so that answers do not end together
	crestTokens   = 200
	crestHosts    = 10
	crestTarget   = 250 * time.Millisecond
	crestLostAt   = 3 * time.Second
	crestDuration = 6 * time.Second
)

// crestProfile returns the profile of the engines: a prompt takes 32 ms to read.
func crestProfile() route.EngineProfile {
	profile := engineProfile()
	profile.Slots, profile.PrefillTokensPerSecond, profile.PrefillPerMillionPairs = 12, 154_000, 0
	return profile
}

// placement is a grant as the engines see it.
type placement struct {
	request batch.Request
	grant   batch.Grant
	host    int
	at      time.Duration
	startAt time.Duration
	endAt   time.Duration
}

// crest plays requests that several machines place on the same engines. The requests of a host go to one machine.
type crest struct {
	machines   []*batch.Machine
	began      time.Time
	now        time.Duration
	busyUntil  map[id.Engine]time.Duration
	placements map[id.Request]*placement
	requests   map[id.Request]batch.Request
	refused    int
	random     *rand.Rand
}

// newCrest returns a crest with a number of machines that know the engines and nothing else.
func newCrest(machines int) *crest {
	cr := &crest{began: time.Unix(1000, 0), busyUntil: map[id.Engine]time.Duration{}, placements: map[id.Request]*placement{}, requests: map[id.Request]batch.Request{}, random: rand.New(rand.NewPCG(5, 5))}
	for number := range machines {
		cr.machines = append(cr.machines, cr.newMachine(uint64(number)*7919+3))
	}
	return cr
}

func (cr *crest) newMachine(seed uint64) *batch.Machine {
	machine := batch.New(batch.DefaultConfig(), seed)
	machine.Step(cr.time(), batch.SetEngineProfile{Profile: crestProfile()})
	var engines batch.SetEngines
	for number := range crestEngines {
		name := id.Engine(fmt.Sprintf("engine-%02d", number))
		engines.Engines = append(engines.Engines, batch.EngineSpec{Engine: name, Address: string(name)})
	}
	machine.Step(cr.time(), engines)
	return machine
}

func (cr *crest) time() time.Time { return cr.began.Add(cr.now) }

// step passes an event to a machine and has the engines take up what it grants.
func (cr *crest) step(machine *batch.Machine, ev batch.Event) {
	for _, ef := range machine.Step(cr.time(), ev) {
		if ef.Kind == batch.Refused {
			cr.refused++
			continue
		}
		rq, engine := cr.requests[ef.Request], ef.Grant.Parts[0].Engine
		readUntil := max(cr.now, cr.busyUntil[engine]) + crestProfile().PrefillTime(rq.PromptTokens)
		cr.busyUntil[engine] = readUntil
		cr.placements[ef.Request] = &placement{request: rq, grant: ef.Grant, host: hostOf(rq.ID), at: cr.now, startAt: readUntil, endAt: readUntil + crestAnswer + time.Duration(cr.random.Int64N(int64(crestAnswer)))}
	}
}

// hostOf returns the number of the entry host of a request.
func hostOf(request id.Request) int {
	var host, number int
	_, _ = fmt.Sscanf(string(request), "r%d-%d", &host, &number)
	return host
}

// submit has a host request a grant from a machine.
func (cr *crest) submit(machine *batch.Machine, host, number int) {
	rq := batch.Request{
		ID: id.Request(fmt.Sprintf("r%d-%d", host, number)), PromptTokens: crestPrompt, MaxAnswerTokens: crestTokens, FirstEventTarget: crestTarget, MaxPause: 250 * time.Millisecond,
		WaitLimit: 10 * time.Second, ArrivedAt: cr.time(), AttemptNumber: 1,
	}
	cr.requests[rq.ID] = rq
	cr.step(machine, batch.Submit{Request: rq})
}

// advance moves the time on by a millisecond. Each first event and end is reported to the machine of its host.
func (cr *crest) advance(machineOf func(host int) *batch.Machine) {
	cr.now += time.Millisecond
	for _, pl := range cr.placements {
		switch machine := machineOf(pl.host); {
		case pl.startAt <= cr.now && pl.startAt > cr.now-time.Millisecond:
			cr.step(machine, batch.AttemptStarted{Attempt: pl.grant.Attempt})
		case pl.endAt <= cr.now && pl.endAt > cr.now-time.Millisecond:
			cr.step(machine, batch.FinishAttempt{Attempt: pl.grant.Attempt})
		}
	}
	for _, machine := range cr.machines {
		cr.step(machine, batch.Tick{})
	}
}

// report passes the grants that a host holds to a machine.
func (cr *crest) report(machine *batch.Machine, host int) {
	for _, pl := range cr.placements {
		if pl.host == host && pl.endAt > cr.now {
			cr.step(machine, batch.RenewGrant{Request: pl.request, Grant: pl.grant, Started: pl.startAt <= cr.now})
		}
	}
}

// mostToRead returns the most prompts that one engine had to read at the moment at which it got one of them, of those
// that came in [from, until). They are read in a row, and the answers of the engine pause meanwhile.
func (cr *crest) mostToRead(from, until time.Duration) int {
	return cr.most(func(newest, other *placement) bool {
		return newest.at >= from && newest.at < until && other.at <= newest.at && other.startAt > newest.at
	})
}

// mostTogether returns the most requests that one engine held at the moment at which it got one of them, of those that
// came in [from, until).
func (cr *crest) mostTogether(from, until time.Duration) int {
	return cr.most(func(newest, other *placement) bool {
		return newest.at >= from && newest.at < until && other.at <= newest.at && other.endAt > newest.at
	})
}

// most returns the largest number of placements on one engine that a condition relates to one of them.
func (cr *crest) most(isRelated func(first, other *placement) bool) int {
	most := 0
	for _, first := range cr.placements {
		count := 0
		for _, other := range cr.placements {
			if other.grant.Parts[0].Engine == first.grant.Parts[0].Engine && isRelated(first, other) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestDispatcherLostInCrest has a second machine take over while short prompts come. It learns what the hosts hold
// shortly after, except from one host, which reports a second later. No engine may have more prompts to read, or hold more
// requests, than before, nor may prompts wait longer than the hold.
func TestDispatcherLostInCrest(t *testing.T) {
	cr := newCrest(2)
	const silentHost = crestHosts - 1
	number := 0
	current := cr.machines[0]
	for cr.now < crestDuration {
		switch cr.now {
		case crestLostAt:
			current = cr.machines[1]
			cr.machines = cr.machines[1:]
			cr.step(current, batch.TakeOver{HoldUntil: cr.time().Add(50 * time.Millisecond), CautiousUntil: cr.time().Add(time.Second)})
		case crestLostAt + 20*time.Millisecond:
			for host := range silentHost {
				cr.report(current, host)
			}
		case crestLostAt + time.Second:
			cr.report(current, silentHost)
		}
		if cr.now%crestGap == 0 {
			cr.submit(current, number%crestHosts, number)
			number++
		}
		cr.advance(func(int) *batch.Machine { return current })
	}
	toReadBefore, togetherBefore := cr.mostToRead(0, crestLostAt), cr.mostTogether(0, crestLostAt)
	toRead, together := cr.mostToRead(crestLostAt, crestDuration), cr.mostTogether(crestLostAt, crestDuration)
	t.Logf("most prompts to read on an engine: %d, before %d; most requests on an engine: %d, before %d", toRead, toReadBefore, together, togetherBefore)
	assert.Check(t, toRead <= toReadBefore, "%d prompts to read on an engine, before the change %d", toRead, toReadBefore)
	assert.Check(t, together <= togetherBefore, "%d requests on an engine, before the change %d", together, togetherBefore)
	assert.Equal(t, cr.refused, 0)
	for _, pl := range cr.placements {
		waited := pl.at - pl.request.ArrivedAt.Sub(cr.began)
		assert.Assert(t, waited <= 60*time.Millisecond, "a request waited %s", waited)
	}
}

// TestTwoDispatchersInCrest has two machines decide at the same time for half of the hosts each, without knowing of each
// other's grants. The second one, which is not the first dispatcher, is cautious. The bound is the four prompts that one
// machine packs onto an engine to be read, and the two that a cautious one adds.
func TestTwoDispatchersInCrest(t *testing.T) {
	cr := newCrest(2)
	machineOf := func(host int) *batch.Machine { return cr.machines[host%2] }
	for number := 0; cr.now < crestDuration; {
		if cr.now%crestGap == 0 {
			cr.step(cr.machines[1], batch.TakeOver{CautiousUntil: cr.time().Add(time.Second)})
			cr.submit(machineOf(number%crestHosts), number%crestHosts, number)
			number++
		}
		cr.advance(machineOf)
	}
	most := cr.mostToRead(0, crestDuration)
	t.Logf("most prompts to read on an engine: %d; most requests on an engine: %d", most, cr.mostTogether(0, crestDuration))
	assert.Assert(t, most <= 6, "%d prompts to read", most)
}

// TestManyDispatchersAfterAllHostsWereLost has five machines place a wave of 250 requests within half a second on idle
// engines, as after all hosts were lost and started again without knowing each other.
func TestManyDispatchersAfterAllHostsWereLost(t *testing.T) {
	cr := newCrest(5)
	machineOf := func(host int) *batch.Machine { return cr.machines[host%5] }
	for _, machine := range cr.machines {
		cr.step(machine, batch.TakeOver{CautiousUntil: cr.time().Add(time.Second)})
	}
	for number := 0; number < 250; {
		if cr.now%(2*time.Millisecond) == 0 {
			cr.submit(machineOf(number%crestHosts), number%crestHosts, number)
			number++
		}
		cr.advance(machineOf)
	}
	most := cr.mostToRead(0, crestDuration)
	t.Logf("most prompts to read on an engine: %d; most requests on an engine: %d", most, cr.mostTogether(0, crestDuration))
	assert.Assert(t, most <= 5, "%d prompts to read", most)
}
