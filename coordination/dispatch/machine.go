// Package dispatch schedules requests onto the engines of one shard. It decides which engines run a request, and when.
//
// Engines work in steps: in one step an engine decodes a token for each of its streams and processes (prefills) a
// limited number of prompt tokens. Memory of engines is counted in tokens. A prompt that does not fit into the memory
// of one engine is split into parts for several engines, which form a gang.
//
// Waiting requests are queued by model and by the length of their prompts. The scheduler predicts how much prefill is
// pending on each engine and holds requests back until an engine has room, so that short prompts can overtake long
// ones.
//
// The scheduler is a deterministic state machine: it reads no clock, starts no goroutine and does no I/O.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
)

// Config holds the policy of the machine, the costs and limits of its engines, and the limits on waiting.
type Config struct {
	Policy Policy
	// PrefillTokensPerSecond is the number of prompt tokens that an engine processes per second at most.
	PrefillTokensPerSecond float64
	// PrefillTokensPerStep is the largest number of prompt tokens in one step of an engine.
	PrefillTokensPerStep float64
	// BaseStepTime is the duration of an engine's step without streams. Each stream lengthens it by StepTimePerStream.
	BaseStepTime      time.Duration
	StepTimePerStream time.Duration
	// MaxStreams is the largest number of streams on an engine.
	MaxStreams int
	// MaxPendingPrefill limits the pending prefill that an engine may process before a new request, expressed as the
	// time that the prefill takes at PrefillTokensPerSecond. While every engine has more than this, requests wait in
	// the queue, where the ordering applies to them.
	MaxPendingPrefill time.Duration
	// GrantWaitLimit is how long the first attempt of a request may wait for its grant, in addition to
	// prefillWaitFactor times its own prefill time. A request that can't start by then is refused, because its client
	// is better served by a time at which to retry than by a longer wait.
	GrantWaitLimit time.Duration
	// ExpectedAnswerTokens is the length of the answer that is planned for a request, unless the request's own limit is
	// lower.
	ExpectedAnswerTokens id.Tokens
	// GrantTTL is how long a grant lasts without being renewed.
	GrantTTL time.Duration
	// OrphanTimeout is how long an attempt without a grant may hold memory before it is cancelled.
	OrphanTimeout time.Duration
	// MaxWaitingRequests bounds the number of waiting requests.
	MaxWaitingRequests int
}

// DefaultConfig returns the configuration for the engines of the target platform.
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

// prefillWaitFactor is how many times its own prefill time the first attempt of a request may wait for its grant in
// addition to GrantWaitLimit, so that long prompts may wait longer.
const prefillWaitFactor = 4

// Machine schedules the requests of one shard. It is not safe for concurrent use.
type Machine struct {
	config Config
	random *rand.Rand
	// engines is sorted by name.
	engines         []*engine
	enginesByName   map[id.Engine]*engine
	grantsByAttempt map[id.Attempt]*activeGrant
	grantsByRequest map[id.Request]*activeGrant
	waitingByID     map[id.Request]*waitingRequest
	// modelQueues holds the queues of all models in the order of their first requests.
	modelQueues   []*modelQueue
	queuesByModel map[id.Model]*modelQueue
	// runAloneQueue holds the waiting requests with RunAlone in the order of their submission. They are in no other queue.
	runAloneQueue []*waitingRequest
	// waitingByLatestStart orders waiting requests by their latest start. Requests that no longer wait are removed from
	// it only when they come first.
	waitingByLatestStart *container.Heap[*waitingRequest]
	// totalCapacityTokens is the memory of all engines. shortPromptTokens is the part of it that grants for short prompts
	// reserve.
	totalCapacityTokens id.Tokens
	shortPromptTokens   id.Tokens
	// grantsIssued counts the grants issued so far. It advances the round-robin router.
	grantsIssued int
	// lastExpirySweep is when expireGrants last visited the grants.
	lastExpirySweep time.Time
	// effects collects the effects of the current step. Its storage is reused.
	effects []Effect
}

// activeGrant is a grant that has been issued or adopted and has not been released.
type activeGrant struct {
	Grant
	// request is the request as submitted. For an adopted grant, only its ID, organisation and prompt length are known.
	request   Request
	renewedAt time.Time
	// started says that the first token of the answer has arrived, which means that the prompt has been processed.
	started bool
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
		waitingByLatestStart: container.NewHeap(func(left, right *waitingRequest) bool {
			return left.latestStart.Before(right.latestStart)
		}),
	}
}

// Step applies one event and returns its effects, which are valid until the next call.
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
	case HoldEngine:
		if en, ok := mc.enginesByName[ev.Engine]; ok {
			en.held = true
		}
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
	mc.refuseOverdue(now)
	mc.dispatch(now)
	return mc.effects
}

// Waiting returns the number of requests that wait.
func (mc *Machine) Waiting() int {
	return len(mc.waitingByID)
}

// Granted returns the number of active grants.
func (mc *Machine) Granted() int {
	return len(mc.grantsByAttempt)
}

// ReservedTokens returns the memory that active grants reserve on an engine; 0 for an engine that is not known.
func (mc *Machine) ReservedTokens(engineName id.Engine) id.Tokens {
	en, ok := mc.enginesByName[engineName]
	if !ok {
		return 0
	}
	return en.reservedTokens
}

// EngineStatuses returns the state of the shard's engines in the order of their names.
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

// EngineStatus is the state of an engine as the machine knows or predicts it.
type EngineStatus struct {
	Engine         id.Engine
	CapacityTokens id.Tokens
	// ReservedTokens is the memory that active grants reserve.
	ReservedTokens id.Tokens
	// UnknownAttemptTokens is the memory of attempts without an active grant.
	UnknownAttemptTokens id.Tokens
	// PendingTokens is the predicted number of prompt tokens that are still to be processed.
	PendingTokens id.Tokens
	Streams       int
	Leaving       bool
}

func (mc *Machine) addEffect(effect Effect) {
	mc.effects = append(mc.effects, effect)
}

func (mc *Machine) addRefusal(rq Request, oc outcome.Outcome) {
	mc.addEffect(Effect{Kind: Refused, Request: rq.ID, Outcome: oc})
}

// submit queues a request unless it is refused, already waits, or already has a grant for the same attempt. An earlier
// attempt of the request is removed from the queue; a grant for any other attempt of it is released.
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

// newWaitingRequest computes the planned length of the answer, the cost and the latest start of a request. The latest
// start follows from the deadline and, for the first attempt, from GrantWaitLimit. Later attempts continue interrupted
// work, so only the deadline limits their wait.
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

// minRunTime returns the time that a request takes on idle engines. The length of the answer is only an estimate, so
// its time counts for at most half of the time until the deadline.
func (mc *Machine) minRunTime(wt *waitingRequest) time.Duration {
	partCount := max(1, mc.minParts(wt))
	answerTime := time.Duration(wt.plannedAnswerTokens) * mc.config.BaseStepTime
	return mc.prefillTime(float64(wt.PromptTokens)/float64(partCount)) + min(answerTime, wt.Deadline.Sub(wt.waitingSince)/2)
}

// prefillTime returns the time that an engine takes to process prompt tokens if it does nothing else.
func (mc *Machine) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / mc.config.PrefillTokensPerSecond * float64(time.Second))
}

func (mc *Machine) withdraw(requestID id.Request) {
	if wt, ok := mc.waitingByID[requestID]; ok {
		mc.removeWaiting(wt)
	}
}

// removeWaiting removes a waiting request that gets no grant, and ends the drain of engines for it. Its entries in the
// lane and in waitingByLatestStart are dropped later, by head and refuseOverdue.
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

// refuseOverdue refuses the waiting requests whose latest start has passed.
func (mc *Machine) refuseOverdue(now time.Time) {
	for mc.waitingByLatestStart.Len() > 0 {
		wt := mc.waitingByLatestStart.Peek()
		if !wt.removed && !now.After(wt.latestStart) {
			return
		}
		mc.waitingByLatestStart.Pop()
		if wt.removed {
			continue
		}
		mc.removeWaiting(wt)
		mc.addRefusal(wt.Request, outcome.Refuse(outcome.Overloaded, "the request can no longer start in time").WithRetryAfter(mc.assignRetryAfter(now, wt)))
	}
}

// renewGrant extends the lifetime of a grant, or adopts the grant if the machine does not know it.
func (mc *Machine) renewGrant(now time.Time, ev RenewGrant) {
	gr, found := mc.grantsByAttempt[ev.Grant.Attempt]
	if !found {
		mc.adoptGrant(now, ev)
		return
	}
	gr.renewedAt = now
	if ev.Started && !gr.started {
		gr.started = true
		mc.recordPrefillEnd(now, gr)
	}
}

// adoptGrant takes over a grant that another dispatcher or the entry host itself issued.
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

// releaseGrant removes an active grant and what it reserves on its engines.
func (mc *Machine) releaseGrant(now time.Time, gr *activeGrant) {
	delete(mc.grantsByAttempt, gr.Attempt)
	mc.shortPromptTokens -= gr.shortPromptTokens()
	if mc.grantsByRequest[gr.request.ID] == gr {
		delete(mc.grantsByRequest, gr.request.ID)
	}
	if !gr.started {
		mc.recordPrefillEnd(now, gr)
	}
	for partIndex, part := range gr.Parts {
		en, ok := mc.enginesByName[part.Engine]
		if !ok {
			continue
		}
		en.reservedTokens -= part.PromptTokens + gr.answerTokensOf(partIndex)
		en.streamCount--
		if gr.RunsAlone {
			en.exclusiveAttempt = ""
		}
	}
}

// shortPromptTokens returns the memory that the grant reserves if its prompt is short, and 0 otherwise.
func (gr *activeGrant) shortPromptTokens() id.Tokens {
	if gr.request.PromptTokens > MaxShortPrompt {
		return 0
	}
	return gr.request.PromptTokens + gr.AnswerTokens
}

// answerTokensOf returns the memory that is reserved for the answer on the engine of a part: all of it for the first
// part, whose engine sends the answer, and 0 for the others.
func (gr *activeGrant) answerTokensOf(partIndex int) id.Tokens {
	if partIndex == 0 {
		return gr.AnswerTokens
	}
	return 0
}

// expireGrants releases and cancels the grants that have not been renewed for GrantTTL, in the order of their attempts
// so that the effects are deterministic. It does this at most once per sweepInterval, because it visits every grant.
func (mc *Machine) expireGrants(now time.Time) {
	const sweepInterval = 500 * time.Millisecond
	if now.Sub(mc.lastExpirySweep) < sweepInterval {
		return
	}
	mc.lastExpirySweep = now
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

// cancelOnEngines asks all engines of a grant to cancel its attempt.
func (mc *Machine) cancelOnEngines(gr *activeGrant) {
	for _, part := range gr.Parts {
		mc.addEffect(Effect{Kind: CancelAttempt, Request: gr.request.ID, Attempt: gr.Attempt, Engine: part.Engine, Address: part.Address})
	}
}
