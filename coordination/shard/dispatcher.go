package shard

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// shardDispatcher is the state machine of one shard, with the calls that wait for a response from it and the state of
// polling the shard's engines. The server's mutex guards it.
type shardDispatcher struct {
	shard   id.Shard
	machine *dispatch.Machine
	// lastUsed is when a host last sent a request or a report.
	lastUsed time.Time
	// readySignal is closed, and isReady set, once every engine has been polled. Before that the dispatcher doesn't
	// know the engines and must not decide.
	readySignal chan struct{}
	isReady     bool
	// waiters holds a channel for the response to each call that currently waits.
	waiters map[id.Request]chan GrantResponse
	// submitted holds the requests that have passed the quarantine and got no response yet. They may be queued in the
	// machine without a waiting call, until the entry host sends them again.
	submitted           map[id.Request]bool
	requestFingerprints map[id.Request]id.Fingerprint
	// attemptFingerprints holds the fingerprints of running attempts.
	attemptFingerprints map[id.Attempt]id.Fingerprint
	// revokedAttempts holds the attempts whose grants were revoked and whose entry hosts have not reported their end.
	revokedAttempts map[id.Attempt]bool
	enginePolls     map[id.Engine]*enginePoll
}

// enginePoll is the state of polling one engine.
type enginePoll struct {
	spec dispatch.EngineSpec
	// reachable is set by a successful poll and reset after MaxPollFailures consecutive failures.
	reachable bool
	// crashedAt is when an attempt last reported a crash of the engine.
	crashedAt time.Time
	// reportedLeaving means that the engine itself has reported that it is leaving.
	reportedLeaving bool
	// inProgress is set while a poll is running.
	inProgress bool
	lastPolled time.Time
	// lastFullPoll is when the latest full poll was started.
	lastFullPoll        time.Time
	consecutiveFailures int
	// incarnation is the incarnation that the engine last reported; it changes when the engine restarts.
	incarnation int64
	// nextCacheEvent is the sequence number from which to read cache events.
	nextCacheEvent int64
}

func newShardDispatcher(shard id.Shard, machine *dispatch.Machine) *shardDispatcher {
	return &shardDispatcher{
		shard:               shard,
		readySignal:         make(chan struct{}),
		machine:             machine,
		waiters:             map[id.Request]chan GrantResponse{},
		submitted:           map[id.Request]bool{},
		requestFingerprints: map[id.Request]id.Fingerprint{},
		attemptFingerprints: map[id.Attempt]id.Fingerprint{},
		revokedAttempts:     map[id.Attempt]bool{},
		enginePolls:         map[id.Engine]*enginePoll{},
	}
}

// addWaiter registers the channel on which to respond to a request.
func (dp *shardDispatcher) addWaiter(request GrantRequest, responses chan GrantResponse) {
	dp.waiters[request.ID] = responses
	dp.submitted[request.ID] = true
	dp.requestFingerprints[request.ID] = request.ContentFingerprint
}

// respond passes a response to the waiting call, if there is one. Otherwise the response is dropped, and the machine
// produces it again when the entry host sends the request again.
func (dp *shardDispatcher) respond(requestID id.Request, response GrantResponse) {
	delete(dp.submitted, requestID)
	delete(dp.requestFingerprints, requestID)
	if waiter, ok := dp.waiters[requestID]; ok {
		delete(dp.waiters, requestID)
		waiter <- response
	}
}

// removeRequest drops a withdrawn request with its waiting call.
func (dp *shardDispatcher) removeRequest(requestID id.Request) {
	delete(dp.waiters, requestID)
	delete(dp.submitted, requestID)
	delete(dp.requestFingerprints, requestID)
}

// recordGrantedAttempt records the attempt of a granted request as running. It returns the attempt's fingerprint and
// whether the attempt is new.
func (dp *shardDispatcher) recordGrantedAttempt(requestID id.Request, attempt id.Attempt) (id.Fingerprint, bool) {
	fingerprint := dp.requestFingerprints[requestID]
	return fingerprint, dp.recordAttempt(attempt, fingerprint)
}

// recordAttempt records a running attempt with its fingerprint and reports whether the attempt is new.
func (dp *shardDispatcher) recordAttempt(attempt id.Attempt, fingerprint id.Fingerprint) bool {
	if _, exists := dp.attemptFingerprints[attempt]; exists {
		return false
	}
	dp.attemptFingerprints[attempt] = fingerprint
	return true
}

// removeAttempt drops an attempt that no longer runs. It returns the attempt's fingerprint, or false if the attempt is not
// recorded as running.
func (dp *shardDispatcher) removeAttempt(attempt id.Attempt) (id.Fingerprint, bool) {
	fingerprint, ok := dp.attemptFingerprints[attempt]
	delete(dp.attemptFingerprints, attempt)
	return fingerprint, ok
}

// hasGrant reports whether a request has been granted its attempt.
func (dp *shardDispatcher) hasGrant(request GrantRequest) bool {
	_, running := dp.attemptFingerprints[id.NewAttempt(request.ID, request.AttemptNumber)]
	return running
}

// engineLoads returns the loads of the engines that are not leaving.
func (dp *shardDispatcher) engineLoads() []EngineLoad {
	var loads []EngineLoad
	for _, engine := range dp.machine.EngineStatuses() {
		if engine.Leaving {
			continue
		}
		loads = append(loads, EngineLoad{
			Engine:        engine.Engine,
			FreeTokens:    engine.CapacityTokens - engine.ReservedTokens - engine.UnknownAttemptTokens,
			PendingTokens: engine.PendingTokens,
		})
	}
	return loads
}

// startDuePolls starts polls of the engines for which one is due, and removes engines that are no longer listed.
// The caller holds the mutex.
func (sv *Server) startDuePolls(ctx context.Context, now time.Time, dp *shardDispatcher) {
	listedEngines := map[id.Engine]bool{}
	for _, engine := range sv.fleet.Engines(dp.shard) {
		listedEngines[engine.Name] = true
		poll, exists := dp.enginePolls[engine.Name]
		if !exists {
			poll = &enginePoll{}
			dp.enginePolls[engine.Name] = poll
		}
		sv.applyListedEngine(ctx, now, dp, poll, engine)
		if poll.inProgress || now.Sub(poll.lastPolled) < sv.config.PollPeriod {
			continue
		}
		poll.inProgress = true
		poll.lastPolled = now
		fullPoll := now.Sub(poll.lastFullPoll) >= sv.config.FullPollPeriod
		if fullPoll {
			poll.lastFullPoll = now
		}
		tasks.Go(func() { sv.pollEngine(ctx, dp, engine, poll.nextCacheEvent, fullPoll) })
	}
	for name := range dp.enginePolls {
		if !listedEngines[name] {
			delete(dp.enginePolls, name)
			sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.RemoveEngine{Engine: name}))
		}
	}
}

// applyListedEngine passes changes of an engine's address and leaving state to the machine. The caller holds the mutex.
func (sv *Server) applyListedEngine(ctx context.Context, now time.Time, dp *shardDispatcher, poll *enginePoll, engine fleet.Engine) {
	leaving := engine.Leaving || poll.reportedLeaving
	if !poll.reachable || poll.spec.Leaving == leaving && poll.spec.Address == engine.Address {
		return
	}
	poll.spec.Leaving = leaving
	poll.spec.Address = engine.Address
	sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.SetEngine{Spec: poll.spec}))
}

// pollResult is the result of one poll of an engine.
type pollResult struct {
	// report is the load report; it is valid only if err is nil.
	report EngineReport
	err    error
	// attemptMemory is the memory of the engine that each attempt holds; it is valid only if attemptsListed is set.
	attemptMemory  []dispatch.AttemptMemory
	attemptsListed bool
	cacheEvents    []CacheEvent
	nextCacheEvent int64
}

// pollEngine asks an engine for its load and, in a full poll, for its cache events and its attempts. It makes the calls
// without the mutex and then locks it to handle the result.
func (sv *Server) pollEngine(ctx context.Context, dp *shardDispatcher, engine fleet.Engine, firstCacheEvent int64, fullPoll bool) {
	callCtx, cancel := context.WithTimeout(ctx, sv.config.PollTimeout)
	defer cancel()
	result := pollResult{nextCacheEvent: firstCacheEvent}
	result.report, result.err = sv.engines.FetchLoad(callCtx, engine.Address)
	if result.err == nil && fullPoll {
		events, next, err := sv.engines.CacheEvents(callCtx, engine.Address, firstCacheEvent)
		if err == nil {
			result.cacheEvents = events
			result.nextCacheEvent = next
		}
	}
	if result.err == nil && fullPoll {
		attemptMemory, err := sv.engines.ListAttempts(callCtx, engine.Address)
		result.attemptMemory = attemptMemory
		result.attemptsListed = err == nil
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.handlePollResult(ctx, dp, engine, result)
}

// handlePollResult passes the result of a poll to the machine. An engine whose incarnation has changed is removed
// first, because its attempts and its memory are gone. The caller holds the mutex.
func (sv *Server) handlePollResult(ctx context.Context, dp *shardDispatcher, engine fleet.Engine, result pollResult) {
	poll, ok := dp.enginePolls[engine.Name]
	if !ok {
		return
	}
	poll.inProgress = false
	now := sv.clock.Now()
	defer dp.updateReady()
	if result.err == nil && poll.lastPolled.Before(poll.crashedAt) {
		// The poll may have been answered before the crash.
		return
	}
	if result.err != nil {
		sv.handlePollFailure(ctx, now, dp, poll, engine)
		return
	}
	poll.consecutiveFailures = 0
	observation := fleet.Answered
	if result.report.Leaving {
		observation = fleet.Draining
	}
	sv.fleet.RecordObservation(string(engine.Name), observation)
	if poll.reachable && poll.incarnation != result.report.Incarnation {
		sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.RemoveEngine{Engine: engine.Name}))
	}
	poll.reachable = true
	poll.reportedLeaving = result.report.Leaving
	poll.incarnation = result.report.Incarnation
	poll.nextCacheEvent = result.nextCacheEvent
	poll.spec = dispatch.EngineSpec{
		Engine:         engine.Name,
		Address:        engine.Address,
		CapacityTokens: result.report.CapacityTokens,
		Models:         result.report.Models,
		Leaving:        engine.Leaving || result.report.Leaving,
	}
	sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.SetEngine{Spec: poll.spec}))
	sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.ReportLoad{Engine: engine.Name, MeasuredAt: result.report.ReportedAt, PendingTokens: result.report.PendingTokens}))
	for _, event := range result.cacheEvents {
		sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.UpdateCache{Engine: engine.Name, Block: event.Block, Evicted: event.Evicted}))
	}
	if result.attemptsListed {
		sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.ListAttempts{Engine: engine.Name, Attempts: result.attemptMemory}))
	}
}

// holdCrashedEngine stops new grants on an engine that crashed under an attempt until a poll that starts later succeeds.
// Otherwise the end of the attempt would free the crashed engine for the next request. The caller holds the mutex.
func (sv *Server) holdCrashedEngine(ctx context.Context, now time.Time, dp *shardDispatcher, engine id.Engine) {
	if poll, ok := dp.enginePolls[engine]; ok {
		poll.crashedAt = now
	}
	sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.HoldEngine{Engine: engine}))
}

// handlePollFailure removes an engine from the machine after MaxPollFailures consecutive failures. The caller holds the
// mutex.
func (sv *Server) handlePollFailure(ctx context.Context, now time.Time, dp *shardDispatcher, poll *enginePoll, engine fleet.Engine) {
	poll.consecutiveFailures++
	sv.metrics.Counter("engine_poll_failures").Inc(1)
	if poll.consecutiveFailures < sv.config.MaxPollFailures || !poll.reachable {
		return
	}
	poll.reachable = false
	sv.fleet.RecordObservation(string(engine.Name), fleet.Unreachable)
	sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.RemoveEngine{Engine: engine.Name}))
}

// updateReady marks the dispatcher as ready once the first poll of every engine has succeeded or failed.
func (dp *shardDispatcher) updateReady() {
	for _, poll := range dp.enginePolls {
		if !poll.reachable && poll.consecutiveFailures == 0 {
			return
		}
	}
	if !dp.isReady {
		dp.isReady = true
		close(dp.readySignal)
	}
}
