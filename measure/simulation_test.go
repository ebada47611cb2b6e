// Package measure tests and benchmarks the decisions of the dispatcher of package dispatch. The dispatcher is the real
// one; clients, entry hosts, and engines with continuous batching are simulated on virtual time. The same seed gives
// the same result.
package measure

import (
	"fmt"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/standin/batchmodel"
	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// messageDelay is the delay of one message between hosts, or between a host and an engine.
	messageDelay = time.Millisecond
	// Each engine reports its load every loadReportPeriod. A report takes loadReportDelay to reach the dispatcher.
	loadReportPeriod = 250 * time.Millisecond
	loadReportDelay  = 500 * time.Millisecond
	// Events of prefix caches take cacheEventDelay to reach the dispatcher; one in cacheEventLossInterval is lost.
	cacheEventDelay        = 2 * time.Second
	cacheEventLossInterval = 20
	// grantReportPeriod is the interval at which entry hosts report the grants that they hold.
	grantReportPeriod = time.Second
	// tickPeriod is the interval of the dispatcher's timer.
	tickPeriod = 10 * time.Millisecond
	// maxRetries is how often a client retries after refusals.
	maxRetries = 5
	// maxDrainTime bounds the time for which the simulation continues after the last arrivals.
	maxDrainTime = 5 * time.Minute
	// failureDetectionTime is the time from the failure of an engine until the dispatcher learns of it.
	failureDetectionTime = 750 * time.Millisecond

	servedModel id.Model = "lever-8b"
)

// scheduledCall is a function to call at a virtual time.
type scheduledCall struct {
	at time.Duration
	// sequence keeps calls of the same time in the order in which they were scheduled.
	sequence uint64
	call     func()
}

// requestState records what has happened to a request. Points in time count from the start of the simulation.
type requestState struct {
	arrival arrival
	// timeToFirstToken is the time from countedSince to the first token at the entry host, zero before that.
	timeToFirstToken time.Duration
	// finishedAt is when the whole answer has arrived at the entry host, zero before that.
	finishedAt time.Duration
	// lastRefusedAt is the time of the last refusal, zero without one. refusalTime is the time from submission to it.
	lastRefusedAt time.Duration
	refusalTime   time.Duration
	// countedSince is the time of the last submission before the failure of an engine first ended an attempt. The time
	// to the first token and the deadline count from it.
	countedSince time.Duration
	// admitted says that the request has had a grant.
	admitted bool
	// retries counts the submissions after refusals, failedAttempts the attempts that ended because an engine failed.
	retries        int
	failedAttempts int
}

func (rs *requestState) isFinished() bool { return rs.finishedAt > 0 }

// requestInProgress is a request together with the state of its latest attempt.
type requestInProgress struct {
	requestState
	// interruptedAttempts counts the attempts that ended by the failure of an engine or by preemption.
	interruptedAttempts int
	// submittedAt is when the entry host last submitted the request to the dispatcher.
	submittedAt time.Duration
	attempt     id.Attempt
	grant       dispatch.Grant
	// pendingParts is the number of parts of the prompt that followers have not processed yet.
	pendingParts int
	// firstTokenProduced says that the first engine of the grant has produced a token.
	firstTokenProduced bool
	answerTokens       id.Tokens
	lastTokenAt        time.Duration
}

// engine is a simulated engine.
type engine struct {
	name  id.Engine
	model *batchmodel.Model
	// stepping says that a step is running and its end is scheduled.
	stepping bool
	failed   bool
	// loadHistory holds the samples from the one to report next, which is as old as the report's delay, to the latest.
	loadHistory []loadSample
}

// loadSample is the number of prompt tokens that an engine still had to process at the time takenAt.
type loadSample struct {
	takenAt       time.Duration
	pendingTokens id.Tokens
}

// simulation runs one dispatcher, its engines and its clients on virtual time. It is not safe for concurrent use.
type simulation struct {
	// now is the virtual time, counted from the start of the simulation.
	now time.Duration
	// sequence is the sequence number of the call that was scheduled last.
	sequence         uint64
	scheduledCalls   *container.Heap[scheduledCall]
	dispatcher       *dispatch.Machine
	config           dispatch.Config
	engines          []*engine
	engineByName     map[id.Engine]*engine
	requestByID      map[id.Request]*requestInProgress
	requestByAttempt map[id.Attempt]*requestInProgress
	requestStates    []*requestState
	// unfinishedRequests holds requests in the order of arrival, because iterating over a map is not deterministic.
	// Finished ones are removed when requestsWithGrant is called.
	unfinishedRequests []*requestInProgress
	// tokenGaps is a sample of the times between two successive tokens of an answer.
	tokenGaps []time.Duration
	// arrivalsEnd is the time after which no more requests arrive.
	arrivalsEnd time.Duration
	// No load reports are sent from loadReportsPausedFrom to loadReportsPausedUntil.
	loadReportsPausedFrom, loadReportsPausedUntil time.Duration
	cacheEventCount                               uint64
	engineCosts                                   batchmodel.Config
	tokenGapCount                                 int
	submissionTimes                               []time.Duration
}

// newSimulation returns a simulation without arrivals. The seed determines the dispatcher's random choices.
func newSimulation(config dispatch.Config, costs batchmodel.Config, engineCount int, seed uint64) *simulation {
	sm := &simulation{
		scheduledCalls: container.NewHeap(func(left, right scheduledCall) bool {
			if left.at != right.at {
				return left.at < right.at
			}
			return left.sequence < right.sequence
		}),
		config:           config,
		dispatcher:       dispatch.New(config, seed),
		engineByName:     map[id.Engine]*engine{},
		requestByID:      map[id.Request]*requestInProgress{},
		requestByAttempt: map[id.Attempt]*requestInProgress{},
		engineCosts:      costs,
	}
	for index := range engineCount {
		en := &engine{name: id.Engine(fmt.Sprintf("engine-%02d", index)), model: batchmodel.New(costs)}
		sm.engines = append(sm.engines, en)
		sm.engineByName[en.name] = en
		sm.stepDispatcher(dispatch.SetEngine{Spec: sm.engineSpec(en)})
	}
	sm.callEvery(tickPeriod, func() { sm.stepDispatcher(dispatch.Tick{}) })
	sm.callEvery(loadReportPeriod, sm.reportLoads)
	sm.callEvery(grantReportPeriod, sm.reportGrants)
	return sm
}

func (sm *simulation) engineSpec(en *engine) dispatch.EngineSpec {
	return dispatch.EngineSpec{Engine: en.name, Address: string(en.name), CapacityTokens: sm.engineCosts.MemoryTokens, Models: []id.Model{servedModel}}
}

func (sm *simulation) virtualTime() time.Time {
	return time.Unix(0, 0).Add(sm.now)
}

// callAt schedules a call. A time in the past means now.
func (sm *simulation) callAt(at time.Duration, call func()) {
	sm.sequence++
	sm.scheduledCalls.Push(scheduledCall{at: max(at, sm.now), sequence: sm.sequence, call: call})
}

// callEvery calls a function periodically until the arrivals have ended and no request waits or runs.
func (sm *simulation) callEvery(period time.Duration, call func()) {
	var callAndRepeat func()
	callAndRepeat = func() {
		call()
		if sm.now < sm.arrivalsEnd || len(sm.requestByAttempt)+sm.dispatcher.Waiting() > 0 {
			sm.callAt(sm.now+period, callAndRepeat)
		}
	}
	sm.callAt(period, callAndRepeat)
}

// run simulates the arrivals until everything is answered or maxDrainTime has passed since arrivalsEnd. It returns the
// states of the requests in the order of arrival.
func (sm *simulation) run(arrivals []arrival, arrivalsEnd time.Duration) []*requestState {
	sm.arrivalsEnd = arrivalsEnd
	for _, ar := range arrivals {
		sm.callAt(ar.arrivesAt, func() { sm.addRequest(ar) })
	}
	for sm.scheduledCalls.Len() > 0 && sm.now < arrivalsEnd+maxDrainTime {
		next := sm.scheduledCalls.Pop()
		sm.now = next.at
		next.call()
	}
	return sm.requestStates
}

// addRequest registers a request that arrives now and submits it.
func (sm *simulation) addRequest(ar arrival) {
	rq := &requestInProgress{requestState: requestState{arrival: ar}, answerTokens: ar.answerTokens}
	sm.requestStates = append(sm.requestStates, &rq.requestState)
	sm.requestByID[ar.requestID] = rq
	sm.unfinishedRequests = append(sm.unfinishedRequests, rq)
	sm.submit(rq)
}

// submit sends a request to the dispatcher. It is called on arrival, and again after a refusal, after an interrupted
// attempt, or when a new dispatcher starts.
func (sm *simulation) submit(rq *requestInProgress) {
	rq.submittedAt = sm.now
	if rq.failedAttempts == 0 {
		rq.countedSince = sm.now
	}
	sm.submissionTimes = append(sm.submissionTimes, sm.now)
	sm.callAt(sm.now+messageDelay, func() {
		sm.stepDispatcher(dispatch.Submit{Request: dispatch.Request{
			ID:            rq.arrival.requestID,
			Organisation:  rq.arrival.organisation,
			Weight:        1,
			Model:         servedModel,
			PromptTokens:  rq.arrival.promptTokens,
			Deadline:      time.Unix(0, 0).Add(rq.submittedAt + rq.arrival.deadline),
			AttemptNumber: rq.interruptedAttempts + 1,
			PrefixHashes:  rq.arrival.prefixBlocks,
		}})
	})
}

// stepDispatcher passes an event to the dispatcher and schedules its effects.
func (sm *simulation) stepDispatcher(event dispatch.Event) {
	for _, effect := range sm.dispatcher.Step(sm.virtualTime(), event) {
		switch effect.Kind {
		case dispatch.Granted:
			rq := sm.requestByID[effect.Request]
			grant := *effect.Grant
			sm.callAt(sm.now+2*messageDelay, func() { sm.startAttempt(rq, grant) })
		case dispatch.Refused:
			sm.handleRefusal(sm.requestByID[effect.Request], effect)
		case dispatch.Preempted:
			sm.handlePreemption(effect)
		case dispatch.CancelAttempt:
			en, attempt := sm.engineByName[effect.Engine], effect.Attempt
			sm.callAt(sm.now+messageDelay, func() { en.model.Cancel(attempt) })
		}
	}
}

// handleRefusal records a refusal and retries after the delay that the dispatcher asks for. It gives up after
// maxRetries, or if the dispatcher gives no delay.
func (sm *simulation) handleRefusal(rq *requestInProgress, effect dispatch.Effect) {
	rq.lastRefusedAt = sm.now
	rq.refusalTime = sm.now - rq.submittedAt
	if rq.retries >= maxRetries || effect.Outcome.RetryAfter == 0 {
		return
	}
	rq.retries++
	sm.callAt(sm.now+messageDelay+effect.Outcome.RetryAfter, func() { sm.submit(rq) })
}

// handlePreemption submits the request of a preempted attempt again.
func (sm *simulation) handlePreemption(effect dispatch.Effect) {
	rq, ok := sm.requestByAttempt[effect.Attempt]
	if !ok {
		return
	}
	delete(sm.requestByAttempt, effect.Attempt)
	rq.interruptedAttempts++
	sm.callAt(sm.now+messageDelay, func() { sm.submit(rq) })
}

// startAttempt starts the attempt of a grant on all of its engines. The first one produces the answer, the others are
// followers that process and keep a part of the prompt.
func (sm *simulation) startAttempt(rq *requestInProgress, grant dispatch.Grant) {
	rq.admitted = true
	rq.attempt = grant.Attempt
	rq.grant = grant
	rq.pendingParts = len(grant.Parts) - 1
	rq.firstTokenProduced = false
	sm.requestByAttempt[grant.Attempt] = rq
	for _, part := range grant.Parts {
		if sm.engineByName[part.Engine].failed {
			// The engine refuses the connection, so the entry host submits the request again.
			sm.retryAfterEngineFailure(rq)
			return
		}
	}
	for index, part := range grant.Parts {
		en := sm.engineByName[part.Engine]
		stream := batchmodel.Stream{ID: grant.Attempt, PromptTokens: part.PromptTokens, AnswerTokens: rq.answerTokens, Priority: grant.Priority, PrefixBlocks: rq.arrival.prefixBlocks}
		if index > 0 {
			stream.AnswerTokens = 0
			stream.Follower = true
			stream.PrefixBlocks = nil
		}
		en.model.Submit(stream)
		sm.publishCacheEvents(en, stream.PrefixBlocks)
		sm.runSteps(en)
	}
}

// runSteps makes an engine run steps until it is idle or fails. It does nothing if the engine is already stepping.
func (sm *simulation) runSteps(en *engine) {
	if en.stepping || en.failed || en.model.Idle() {
		return
	}
	en.stepping = true
	duration, events := en.model.Step()
	events = append([]batchmodel.Event(nil), events...)
	sm.callAt(sm.now+duration, func() {
		en.stepping = false
		if en.failed {
			return
		}
		for _, event := range events {
			sm.handleEngineEvent(en, event)
		}
		sm.runSteps(en)
	})
}

// handleEngineEvent handles what a step of an engine has done for an attempt. Events of attempts that have ended are
// ignored.
func (sm *simulation) handleEngineEvent(en *engine, event batchmodel.Event) {
	rq, ok := sm.requestByAttempt[event.ID]
	if !ok {
		return
	}
	switch event.Kind {
	case batchmodel.PartPrefilled:
		rq.pendingParts--
		sm.recordFirstToken(rq)
	case batchmodel.TokenProduced:
		if en.name == rq.grant.Parts[0].Engine {
			sm.handleToken(rq)
		}
	case batchmodel.AnswerFinished:
		if en.name == rq.grant.Parts[0].Engine {
			sm.finishRequest(rq)
		}
	}
}

// handleToken records a token of the answer. It samples every seventh gap between tokens.
func (sm *simulation) handleToken(rq *requestInProgress) {
	if rq.firstTokenProduced {
		sm.tokenGapCount++
		if sm.tokenGapCount%7 == 0 {
			sm.tokenGaps = append(sm.tokenGaps, sm.now-rq.lastTokenAt)
		}
	}
	rq.lastTokenAt = sm.now
	if !rq.firstTokenProduced {
		rq.firstTokenProduced = true
		sm.recordFirstToken(rq)
	}
}

// recordFirstToken records the time to the first token once there is one and all followers have processed their parts.
// It does nothing before, or if the time is already recorded.
func (sm *simulation) recordFirstToken(rq *requestInProgress) {
	if rq.firstTokenProduced && rq.pendingParts <= 0 && rq.timeToFirstToken == 0 {
		rq.timeToFirstToken = sm.now + messageDelay - rq.countedSince
	}
}

// finishRequest records the end of the answer and releases the grant.
func (sm *simulation) finishRequest(rq *requestInProgress) {
	delete(sm.requestByAttempt, rq.attempt)
	rq.finishedAt = sm.now + messageDelay
	sm.releaseGrant(rq)
}

// releaseGrant releases a request's grant and the memory that its followers hold, after the delay of two messages.
func (sm *simulation) releaseGrant(rq *requestInProgress) {
	attempt := rq.attempt
	followers := rq.grant.Parts[1:]
	sm.callAt(sm.now+2*messageDelay, func() {
		for _, part := range followers {
			sm.engineByName[part.Engine].model.Cancel(attempt)
		}
		sm.stepDispatcher(dispatch.FinishAttempt{Attempt: attempt})
	})
}

// requestsWithGrant returns the requests that hold a grant, in the order of arrival.
func (sm *simulation) requestsWithGrant() []*requestInProgress {
	var withGrant []*requestInProgress
	unfinished := sm.unfinishedRequests[:0]
	for _, rq := range sm.unfinishedRequests {
		if sm.requestByAttempt[rq.attempt] == rq {
			withGrant = append(withGrant, rq)
		}
		if !rq.isFinished() {
			unfinished = append(unfinished, rq)
		}
	}
	sm.unfinishedRequests = unfinished
	return withGrant
}

// reportGrants reports to the dispatcher all grants that entry hosts hold, to renew them.
func (sm *simulation) reportGrants() {
	for _, rq := range sm.requestsWithGrant() {
		sm.stepDispatcher(dispatch.RenewGrant{Grant: rq.grant, Organisation: rq.arrival.organisation, Started: rq.firstTokenProduced && rq.pendingParts <= 0})
	}
}

// reportLoads samples the load of each engine and reports to the dispatcher the latest sample that is at least
// loadReportDelay old, to simulate the delay of the report. It reports nothing for failed engines or while reports are
// paused.
func (sm *simulation) reportLoads() {
	paused := sm.now >= sm.loadReportsPausedFrom && sm.now < sm.loadReportsPausedUntil
	for _, en := range sm.engines {
		en.loadHistory = append(en.loadHistory, loadSample{takenAt: sm.now, pendingTokens: en.model.PendingPromptTokens()})
		for len(en.loadHistory) > 1 && sm.now-en.loadHistory[1].takenAt >= loadReportDelay {
			en.loadHistory = en.loadHistory[1:]
		}
		sample := en.loadHistory[0]
		if paused || en.failed || sm.now-sample.takenAt < loadReportDelay {
			continue
		}
		sm.stepDispatcher(dispatch.ReportLoad{Engine: en.name, MeasuredAt: time.Unix(0, 0).Add(sample.takenAt), PendingTokens: sample.pendingTokens})
	}
}

// publishCacheEvents reports to the dispatcher the prefix blocks that an engine's cache does not hold yet. The events
// are delayed, and some are lost.
func (sm *simulation) publishCacheEvents(en *engine, prefixBlocks []uint64) {
	for _, block := range prefixBlocks {
		if en.model.Cached(block) {
			continue
		}
		sm.cacheEventCount++
		if sm.cacheEventCount%cacheEventLossInterval == 0 {
			continue
		}
		sm.callAt(sm.now+cacheEventDelay, func() { sm.stepDispatcher(dispatch.UpdateCache{Engine: en.name, Block: block}) })
	}
}
