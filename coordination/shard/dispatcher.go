package shard

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// dispatcher is one shard's machine with the askers that wait for it. The server's mutex guards it.
type dispatcher struct {
	shard   id.Shard
	machine *dispatch.Machine
	used    time.Time
	// ready says that every engine has been asked for its load once.
	ready        chan struct{}
	isReady      bool
	waiters      map[id.Request]chan GrantResponse
	asked        map[id.Request]bool
	prints       map[id.Request]id.Fingerprint
	fingerprints map[id.Attempt]id.Fingerprint
	preempted    map[id.Attempt]bool
	polls        map[id.Engine]*poll
}

// poll is what is known of the calls to one engine.
type poll struct {
	spec    dispatch.EngineSpec
	present bool
	// draining is the engine's own word that it is leaving.
	draining    bool
	busy        bool
	polled      time.Time
	listed      time.Time
	failures    int
	incarnation int64
	cacheNext   int64
}

func newDispatcher(name id.Shard, machine *dispatch.Machine) *dispatcher {
	return &dispatcher{
		shard:        name,
		ready:        make(chan struct{}),
		machine:      machine,
		waiters:      map[id.Request]chan GrantResponse{},
		asked:        map[id.Request]bool{},
		prints:       map[id.Request]id.Fingerprint{},
		fingerprints: map[id.Attempt]id.Fingerprint{},
		preempted:    map[id.Attempt]bool{},
		polls:        map[id.Engine]*poll{},
	}
}

// expect registers an asker.
func (dp *dispatcher) expect(ask GrantRequest, answered chan GrantResponse) {
	dp.waiters[ask.ID] = answered
	dp.asked[ask.ID] = true
	dp.prints[ask.ID] = ask.Fingerprint
}

// answer passes an answer to the asker, if it still waits. An asker that does not is answered
// by the machine when it asks again.
func (dp *dispatcher) answer(rq id.Request, answer GrantResponse) {
	delete(dp.asked, rq)
	delete(dp.prints, rq)
	if waiter, ok := dp.waiters[rq]; ok {
		delete(dp.waiters, rq)
		waiter <- answer
	}
}

// forget drops a request that waits no longer.
func (dp *dispatcher) forget(rq id.Request) {
	delete(dp.waiters, rq)
	delete(dp.asked, rq)
	delete(dp.prints, rq)
}

// start notes that a request's attempt runs and returns its fingerprint when it is the first time.
func (dp *dispatcher) start(rq id.Request, att id.Attempt) (id.Fingerprint, bool) {
	fp := dp.prints[rq]
	return fp, dp.running(att, fp)
}

// running notes the fingerprint of a running attempt and reports whether it is new.
func (dp *dispatcher) running(att id.Attempt, fp id.Fingerprint) bool {
	if _, known := dp.fingerprints[att]; known {
		return false
	}
	dp.fingerprints[att] = fp
	return true
}

func (dp *dispatcher) loads() []EngineLoad {
	var loads []EngineLoad
	for _, en := range dp.machine.EngineStatuses() {
		if en.Leaving {
			continue
		}
		loads = append(loads, EngineLoad{
			Engine:  en.Engine,
			FreeTokens:    en.CapacityTokens - en.ReservedTokens - en.UnknownAttemptTokens,
			PendingTokens: en.PendingTokens,
		})
	}
	return loads
}

// pollDue starts the calls to engines that are due and removes engines that are no longer listed.
func (sv *Server) pollDue(ctx context.Context, now time.Time, dp *dispatcher) {
	listed := map[id.Engine]bool{}
	for _, en := range sv.fleet.Engines(dp.shard) {
		listed[en.Name] = true
		pl, known := dp.polls[en.Name]
		if !known {
			pl = &poll{}
			dp.polls[en.Name] = pl
		}
		sv.describe(ctx, now, dp, pl, en)
		if pl.busy || now.Sub(pl.polled) < sv.config.PollPeriod {
			continue
		}
		pl.busy = true
		pl.polled = now
		list := now.Sub(pl.listed) >= sv.config.ListPeriod
		if list {
			pl.listed = now
		}
		go sv.poll(ctx, dp, en, pl.cacheNext, list)
	}
	for name := range dp.polls {
		if !listed[name] {
			delete(dp.polls, name)
			sv.apply(ctx, dp, dp.machine.Step(now, dispatch.RemoveEngine{Engine: name}))
		}
	}
}

// describe passes a change of an engine's listing to the machine.
func (sv *Server) describe(ctx context.Context, now time.Time, dp *dispatcher, pl *poll, en fleet.Engine) {
	leaving := en.Leaving || pl.draining
	if !pl.present || pl.spec.Leaving == leaving && pl.spec.Address == en.Address {
		return
	}
	pl.spec.Leaving = leaving
	pl.spec.Address = en.Address
	sv.apply(ctx, dp, dp.machine.Step(now, dispatch.SetEngine{Spec: pl.spec}))
}

type polled struct {
	report   EngineReport
	err      error
	holdings []dispatch.AttemptMemory
	listed   bool
	cache    []CacheEvent
	next     int64
}

// poll asks an engine for its load and, when due, its cache events and its attempts.
func (sv *Server) poll(ctx context.Context, dp *dispatcher, en fleet.Engine, cacheFrom int64, list bool) {
	call, cancel := context.WithTimeout(ctx, sv.config.CallTimeout)
	defer cancel()
	result := polled{next: cacheFrom}
	result.report, result.err = sv.engines.Load(call, en.Address)
	if result.err == nil && list {
		events, next, err := sv.engines.CacheEvents(call, en.Address, cacheFrom)
		if err == nil {
			result.cache = events
			result.next = next
		}
	}
	if result.err == nil && list {
		holdings, err := sv.engines.ListAttempts(call, en.Address)
		result.holdings = holdings
		result.listed = err == nil
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.polled(ctx, dp, en, result)
}

// polled takes the result of a poll.
func (sv *Server) polled(ctx context.Context, dp *dispatcher, en fleet.Engine, result polled) {
	pl, ok := dp.polls[en.Name]
	if !ok {
		return
	}
	pl.busy = false
	now := sv.clock.Now()
	defer dp.checkReady()
	if result.err != nil {
		sv.pollFailed(ctx, now, dp, pl, en)
		return
	}
	pl.failures = 0
	evidence := fleet.Answered
	if result.report.Draining {
		evidence = fleet.Draining
	}
	sv.fleet.RecordEvidence(string(en.Name), evidence)
	if pl.present && pl.incarnation != result.report.Incarnation {
		sv.apply(ctx, dp, dp.machine.Step(now, dispatch.RemoveEngine{Engine: en.Name}))
	}
	pl.present = true
	pl.draining = result.report.Draining
	pl.incarnation = result.report.Incarnation
	pl.cacheNext = result.next
	pl.spec = dispatch.EngineSpec{
		Engine:   en.Name,
		Address:  en.Address,
		CapacityTokens: result.report.CapacityTokens,
		Models:   result.report.Models,
		Leaving:  en.Leaving || result.report.Draining,
	}
	sv.apply(ctx, dp, dp.machine.Step(now, dispatch.SetEngine{Spec: pl.spec}))
	sv.apply(ctx, dp, dp.machine.Step(now, dispatch.ReportLoad{Engine: en.Name, MeasuredAt: result.report.ReportedAt, PendingTokens: result.report.PendingTokens}))
	for _, ev := range result.cache {
		sv.apply(ctx, dp, dp.machine.Step(now, dispatch.UpdateCache{Engine: en.Name, Block: ev.Block, Evicted: ev.Evicted}))
	}
	if result.listed {
		sv.apply(ctx, dp, dp.machine.Step(now, dispatch.ListAttempts{Engine: en.Name, Attempts: result.holdings}))
	}
}

func (sv *Server) pollFailed(ctx context.Context, now time.Time, dp *dispatcher, pl *poll, en fleet.Engine) {
	pl.failures++
	sv.metrics.Counter("engine_poll_failures").Inc(1)
	if pl.failures < sv.config.MaxPollFailures || !pl.present {
		return
	}
	pl.present = false
	sv.fleet.RecordEvidence(string(en.Name), fleet.Unreachable)
	sv.apply(ctx, dp, dp.machine.Step(now, dispatch.RemoveEngine{Engine: en.Name}))
}

// checkReady notes that no first poll is outstanding.
func (dp *dispatcher) checkReady() {
	for _, pl := range dp.polls {
		if !pl.present && pl.failures == 0 {
			return
		}
	}
	if !dp.isReady {
		dp.isReady = true
		close(dp.ready)
	}
}
