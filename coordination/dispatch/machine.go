// Package dispatch decides, for one shard of engines, which request runs where and when.
// The machine is pure: it reads no clock, starts no goroutine and does no I/O.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// Config sets the sizes that the machine plans with.
type Config struct {
	Policy Policy
	// PrefillTokensPerSecond is an engine's rate of prompt processing in tokens.
	PrefillTokensPerSecond float64
	// PrefillTokensPerStep is the largest number of prompt tokens in one step of an engine.
	PrefillTokensPerStep float64
	// BaseStepTime and StepTimePerStream give the duration of an engine's step.
	BaseStepTime      time.Duration
	StepTimePerStream time.Duration
	// MaxStreams is the largest number of streams on an engine.
	MaxStreams int
	// MaxPendingPrefill is how much prefill of the same or a higher class may be pending on an engine that gets more.
	MaxPendingPrefill time.Duration
	// GrantWaitLimit is how long a short prompt may wait for its grant; longer ones may wait for several times their
	// own prefill on top. A caller whose request can't start by then is better told when to come back.
	GrantWaitLimit time.Duration
	// ExpectedAnswerTokens is planned for answers without a limit.
	ExpectedAnswerTokens id.Tokens
	// GrantTTL is how long a grant lasts without renewal.
	GrantTTL time.Duration
	// OrphanTimeout is how long an unknown attempt may hold memory before it is cancelled.
	OrphanTimeout time.Duration
	// MaxWaitingRequests bounds the queue.
	MaxWaitingRequests int
}

// DefaultConfig returns the sizes of the target's engines.
func DefaultConfig() Config {
	return Config{
		Policy:                 DefaultPolicy(),
		PrefillTokensPerSecond: 80_000,
		PrefillTokensPerStep:   2048,
		BaseStepTime:           12 * time.Millisecond,
		StepTimePerStream:      250 * time.Microsecond,
		MaxStreams:             128,
		MaxPendingPrefill:      100 * time.Millisecond,
		GrantWaitLimit:         2 * time.Second,
		ExpectedAnswerTokens:   300,
		GrantTTL:               6 * time.Second,
		OrphanTimeout:          6 * time.Second,
		MaxWaitingRequests:     50_000,
	}
}

// prefillWaitFactor is the number of its own prefill times that a long prompt may wait for its grant.
const prefillWaitFactor = 4

// Machine is the state of one shard's dispatcher.
type Machine struct {
	config          Config
	random          *rand.Rand
	engines         []*engine
	enginesByName   map[id.Engine]*engine
	grantsByAttempt map[id.Attempt]*activeGrant
	// grantsByRequest finds the live grant of a request.
	grantsByRequest map[id.Request]*activeGrant
	waitingByID     map[id.Request]*waitingRequest
	modelQueues     []*modelQueue
	queuesByModel   map[id.Model]*modelQueue
	// runAloneQueue holds waiting requests that need an engine for themselves.
	runAloneQueue  []*waitingRequest
	startDeadlines *container.Heap[*waitingRequest]
	// totalTokens is the memory of all engines, shortPromptTokens what grants of short prompts hold of it.
	totalTokens       id.Tokens
	shortPromptTokens id.Tokens
	grantsIssued      int
	lastSweep         time.Time
	effects           []Effect
}

type activeGrant struct {
	Grant
	request   Request
	renewedAt time.Time
	started   bool
	runsAlone bool
}

// New returns a machine without engines. The seed determines its random choices.
func New(config Config, seed uint64) *Machine {
	return &Machine{
		config:          config,
		random:          rand.New(rand.NewPCG(seed, seed)),
		enginesByName:   map[id.Engine]*engine{},
		grantsByAttempt: map[id.Attempt]*activeGrant{},
		grantsByRequest: map[id.Request]*activeGrant{},
		waitingByID:     map[id.Request]*waitingRequest{},
		queuesByModel:   map[id.Model]*modelQueue{},
		startDeadlines: container.NewHeap(func(left, right *waitingRequest) bool {
			return left.latestStart.Before(right.latestStart)
		}),
	}
}

// Step takes one event and returns what is to be done. The effects are valid until the next step.
func (mc *Machine) Step(now time.Time, ev Event) []Effect {
	mc.effects = mc.effects[:0]
	switch ev := ev.(type) {
	case Submit:
		mc.submit(now, ev.Request)
	case Withdraw:
		mc.withdraw(ev.Request)
	case RenewGrant:
		mc.renewGrant(now, ev)
	case FinishAttempt:
		mc.finishAttempt(now, ev.Attempt)
	case SetEngine:
		mc.setEngine(now, ev.Spec)
	case RemoveEngine:
		mc.removeEngine(ev.Engine)
	case ReportLoad:
		mc.correctPendingPrefill(now, ev)
	case ListAttempts:
		mc.cancelOrphans(now, ev)
	case UpdateCache:
		mc.updateCache(ev)
	case Tick:
		mc.expireGrants(now)
	}
	mc.refuseExpired(now)
	mc.dispatch(now)
	return mc.effects
}

// Waiting returns the number of requests that wait.
func (mc *Machine) Waiting() int {
	return len(mc.waitingByID)
}

// Granted returns the number of grants that are held.
func (mc *Machine) Granted() int {
	return len(mc.grantsByAttempt)
}

// ReservedTokens returns the memory that grants hold on an engine.
func (mc *Machine) ReservedTokens(name id.Engine) id.Tokens {
	en, ok := mc.enginesByName[name]
	if !ok {
		return 0
	}
	return en.reservedTokens
}

// EngineStatuses describes the shard's engines in the order of their names.
func (mc *Machine) EngineStatuses() []EngineStatus {
	statuses := make([]EngineStatus, 0, len(mc.engines))
	for _, en := range mc.engines {
		statuses = append(statuses, EngineStatus{
			Engine:               en.Engine,
			CapacityTokens:       en.CapacityTokens,
			ReservedTokens:       en.reservedTokens,
			UnknownAttemptTokens: en.unknownAttemptTokens,
			PendingTokens:        id.Tokens(en.pendingTokens()),
			Streams:              en.streamCount,
			Leaving:              en.Leaving,
		})
	}
	return statuses
}

// EngineStatus is an engine as the machine sees it.
type EngineStatus struct {
	Engine         id.Engine
	CapacityTokens id.Tokens
	// ReservedTokens is the memory of grants.
	ReservedTokens id.Tokens
	// UnknownAttemptTokens is the memory of attempts that are not known.
	UnknownAttemptTokens id.Tokens
	PendingTokens        id.Tokens
	Streams              int
	Leaving              bool
}

func (mc *Machine) addEffect(effect Effect) {
	mc.effects = append(mc.effects, effect)
}

func (mc *Machine) addRefusal(rq Request, oc outcome.Outcome) {
	mc.addEffect(Effect{Kind: Refused, Request: rq.ID, Outcome: oc})
}

func (mc *Machine) submit(now time.Time, rq Request) {
	if wt, alreadyWaiting := mc.waitingByID[rq.ID]; alreadyWaiting {
		if wt.AttemptNumber >= rq.AttemptNumber {
			return
		}
		mc.removeWaiting(wt)
	}
	if gr, alreadyGranted := mc.grantsByRequest[rq.ID]; alreadyGranted {
		if gr.Attempt == id.NewAttempt(rq.ID, rq.AttemptNumber) {
			mc.addEffect(Effect{Kind: Granted, Request: rq.ID, Attempt: gr.Attempt, Grant: &gr.Grant})
			return
		}
		mc.releaseGrant(now, gr)
	}
	wt := mc.newWaitingRequest(now, rq)
	if oc, admitted := mc.admit(now, wt); !admitted {
		mc.addRefusal(rq, oc)
		return
	}
	mc.enqueue(wt)
}

func (mc *Machine) newWaitingRequest(now time.Time, rq Request) *waitingRequest {
	rq.Weight = max(rq.Weight, minWeight)
	plannedAnswerTokens := mc.config.ExpectedAnswerTokens
	if rq.MaxAnswerTokens > 0 {
		plannedAnswerTokens = min(plannedAnswerTokens, rq.MaxAnswerTokens)
	}
	wt := &waitingRequest{Request: rq, plannedAnswerTokens: plannedAnswerTokens, waitingSince: now}
	wt.engineTime = mc.engineTimeOf(wt)
	wt.latestStart = rq.Deadline.Add(-mc.minRunTime(wt))
	waitLimit := mc.config.GrantWaitLimit + prefillWaitFactor*mc.prefillTime(float64(wt.PromptTokens))
	if waitEnd := now.Add(waitLimit); rq.AttemptNumber <= 1 && waitEnd.Before(wt.latestStart) {
		wt.latestStart = waitEnd
	}
	return wt
}

// minRunTime returns the time that a request takes on idle engines. The length of the answer is a guess,
// so that it counts for at most half of the request's time.
func (mc *Machine) minRunTime(wt *waitingRequest) time.Duration {
	partCount := max(1, mc.minParts(wt))
	answerTime := time.Duration(wt.plannedAnswerTokens) * mc.config.BaseStepTime
	return mc.prefillTime(float64(wt.PromptTokens)/float64(partCount)) + min(answerTime, wt.Deadline.Sub(wt.waitingSince)/2)
}

func (mc *Machine) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / mc.config.PrefillTokensPerSecond * float64(time.Second))
}

func (mc *Machine) withdraw(requestID id.Request) {
	if wt, ok := mc.waitingByID[requestID]; ok {
		mc.removeWaiting(wt)
	}
}

// removeWaiting removes a waiting request; its place in the queue is skipped later.
func (mc *Machine) removeWaiting(wt *waitingRequest) {
	delete(mc.waitingByID, wt.ID)
	wt.removed = true
	if wt.RunAlone {
		mc.runAloneQueue = slices.DeleteFunc(mc.runAloneQueue, func(other *waitingRequest) bool { return other == wt })
		return
	}
	wt.lane.subtractQueued(wt)
	mc.stopDraining(wt)
}

// refuseExpired refuses requests whose latest start has passed.
func (mc *Machine) refuseExpired(now time.Time) {
	for mc.startDeadlines.Len() > 0 {
		wt := mc.startDeadlines.Peek()
		if !wt.removed && !now.After(wt.latestStart) {
			return
		}
		mc.startDeadlines.Pop()
		if wt.removed {
			continue
		}
		mc.removeWaiting(wt)
		mc.addRefusal(wt.Request, outcome.Refuse(outcome.Overloaded, "the request can no longer start in time").WithRetryAfter(mc.retryAfter(now, wt)))
	}
}

func (mc *Machine) renewGrant(now time.Time, ev RenewGrant) {
	gr, found := mc.grantsByAttempt[ev.Grant.Attempt]
	if !found {
		mc.adoptGrant(now, ev)
		return
	}
	gr.renewedAt = now
	if ev.Started && !gr.started {
		gr.started = true
		mc.clearPendingPrefill(now, gr)
	}
}

// adoptGrant takes over a grant that another dispatcher or an entry host itself made.
func (mc *Machine) adoptGrant(now time.Time, ev RenewGrant) {
	requestID := id.RequestOf(ev.Grant.Attempt)
	if wt, ok := mc.waitingByID[requestID]; ok {
		mc.removeWaiting(wt)
	}
	gr := &activeGrant{
		Grant:     ev.Grant,
		request:   Request{ID: requestID, Organisation: ev.Organisation},
		renewedAt: now,
		started:   ev.Started,
	}
	for _, part := range ev.Grant.Parts {
		gr.request.PromptTokens += part.PromptTokens
	}
	mc.grantsByAttempt[gr.Attempt] = gr
	mc.grantsByRequest[requestID] = gr
	mc.shortPromptTokens += gr.shortPromptTokens()
	for partIndex := range gr.Parts {
		mc.addPart(now, gr, partIndex)
	}
}

func (mc *Machine) finishAttempt(now time.Time, att id.Attempt) {
	gr, ok := mc.grantsByAttempt[att]
	if !ok {
		return
	}
	mc.releaseGrant(now, gr)
}

func (mc *Machine) releaseGrant(now time.Time, gr *activeGrant) {
	delete(mc.grantsByAttempt, gr.Attempt)
	mc.shortPromptTokens -= gr.shortPromptTokens()
	if mc.grantsByRequest[gr.request.ID] == gr {
		delete(mc.grantsByRequest, gr.request.ID)
	}
	if !gr.started {
		mc.clearPendingPrefill(now, gr)
	}
	for partIndex, part := range gr.Parts {
		en, ok := mc.enginesByName[part.Engine]
		if !ok {
			continue
		}
		en.reservedTokens -= part.PromptTokens + gr.answerTokensOf(partIndex)
		en.streamCount--
		if gr.runsAlone {
			en.exclusiveAttempt = ""
		}
	}
}

// shortPromptTokens returns the memory of a grant for a short prompt, or 0.
func (gr *activeGrant) shortPromptTokens() id.Tokens {
	if gr.request.PromptTokens > MaxShortPrompt {
		return 0
	}
	return gr.request.PromptTokens + gr.AnswerTokens
}

func (gr *activeGrant) answerTokensOf(partIndex int) id.Tokens {
	if partIndex == 0 {
		return gr.AnswerTokens
	}
	return 0
}

// expireGrants ends grants that were not renewed.
func (mc *Machine) expireGrants(now time.Time) {
	const sweepInterval = 500 * time.Millisecond
	if now.Sub(mc.lastSweep) < sweepInterval {
		return
	}
	mc.lastSweep = now
	var expired []*activeGrant
	for _, gr := range mc.grantsByAttempt {
		if now.Sub(gr.renewedAt) > mc.config.GrantTTL {
			expired = append(expired, gr)
		}
	}
	slices.SortFunc(expired, func(left, right *activeGrant) int { return compareAttempts(left.Attempt, right.Attempt) })
	for _, gr := range expired {
		mc.releaseGrant(now, gr)
		mc.cancelOnEngines(gr)
	}
}

func compareAttempts(left, right id.Attempt) int {
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	default:
		return 0
	}
}

func (mc *Machine) cancelOnEngines(gr *activeGrant) {
	for _, part := range gr.Parts {
		mc.addEffect(Effect{Kind: CancelAttempt, Request: gr.request.ID, Attempt: gr.Attempt, Engine: part.Engine, Address: part.Address})
	}
}
