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
	BaseStepTime   time.Duration
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
		Policy:           DefaultPolicy(),
		PrefillTokensPerSecond: 80_000,
		PrefillTokensPerStep:   2048,
		BaseStepTime:         12 * time.Millisecond,
		StepTimePerStream:       250 * time.Microsecond,
		MaxStreams:       128,
		MaxPendingPrefill:           100 * time.Millisecond,
		GrantWaitLimit:      2 * time.Second,
		ExpectedAnswerTokens:   300,
		GrantTTL:         6 * time.Second,
		OrphanTimeout:      6 * time.Second,
		MaxWaitingRequests:       50_000,
	}
}

// startFactor is the number of its own prefill times that a long prompt may wait for its grant.
const startFactor = 4

// Machine is the state of one shard's dispatcher.
type Machine struct {
	config  Config
	random  *rand.Rand
	engines []*engine
	byName  map[id.Engine]*engine
	grants  map[id.Attempt]*grant
	// granted finds the live grant of a request.
	granted map[id.Request]*grant
	waiting map[id.Request]*waiting
	models  []*modelQueue
	byModel map[id.Model]*modelQueue
	// alone holds waiting requests that need an engine for themselves.
	alone  []*waiting
	latest *container.Heap[*waiting]
	// capacity is the memory of all engines, shortHeld what grants of short prompts hold of it.
	capacity  id.Tokens
	shortHeld id.Tokens
	turn      int
	swept     time.Time
	effects   []Effect
}

type grant struct {
	Grant
	request Request
	renewed time.Time
	started bool
	alone   bool
}

// New returns a machine without engines. The seed determines its random choices.
func New(config Config, seed uint64) *Machine {
	return &Machine{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, seed)),
		byName:  map[id.Engine]*engine{},
		grants:  map[id.Attempt]*grant{},
		granted: map[id.Request]*grant{},
		waiting: map[id.Request]*waiting{},
		byModel: map[id.Model]*modelQueue{},
		latest: container.NewHeap(func(left, right *waiting) bool {
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
		mc.hold(now, ev)
	case FinishAttempt:
		mc.finish(now, ev.Attempt)
	case SetEngine:
		mc.engineSeen(now, ev.Spec)
	case RemoveEngine:
		mc.engineLost(ev.Engine)
	case ReportLoad:
		mc.reported(now, ev)
	case ListAttempts:
		mc.listed(now, ev)
	case UpdateCache:
		mc.cacheChanged(ev)
	case Tick:
		mc.sweep(now)
	}
	mc.expire(now)
	mc.pump(now)
	return mc.effects
}

// Waiting returns the number of requests that wait.
func (mc *Machine) Waiting() int {
	return len(mc.waiting)
}

// Granted returns the number of grants that are held.
func (mc *Machine) Granted() int {
	return len(mc.grants)
}

// ReservedTokens returns the memory that grants hold on an engine.
func (mc *Machine) ReservedTokens(name id.Engine) id.Tokens {
	en, ok := mc.byName[name]
	if !ok {
		return 0
	}
	return en.held
}

// EngineStatuses describes the shard's engines in the order of their names.
func (mc *Machine) EngineStatuses() []EngineStatus {
	statuses := make([]EngineStatus, 0, len(mc.engines))
	for _, en := range mc.engines {
		statuses = append(statuses, EngineStatus{
			Engine:   en.Engine,
			CapacityTokens: en.CapacityTokens,
			ReservedTokens:     en.held,
			UnknownAttemptTokens:  en.foreign,
			PendingTokens:  id.Tokens(en.pending()),
			Streams:  en.streams,
			Leaving:  en.Leaving,
		})
	}
	return statuses
}

// EngineStatus is an engine as the machine sees it.
type EngineStatus struct {
	Engine   id.Engine
	CapacityTokens id.Tokens
	// ReservedTokens is the memory of grants.
	ReservedTokens id.Tokens
	// UnknownAttemptTokens is the memory of attempts that are not known.
	UnknownAttemptTokens id.Tokens
	PendingTokens id.Tokens
	Streams int
	Leaving bool
}

func (mc *Machine) emit(ef Effect) {
	mc.effects = append(mc.effects, ef)
}

func (mc *Machine) refuse(rq Request, oc outcome.Outcome) {
	mc.emit(Effect{Kind: Refused, Request: rq.ID, Outcome: oc})
}

func (mc *Machine) submit(now time.Time, rq Request) {
	if wt, queued := mc.waiting[rq.ID]; queued {
		if wt.AttemptNumber >= rq.AttemptNumber {
			return
		}
		mc.drop(wt)
	}
	if gr, held := mc.granted[rq.ID]; held {
		if gr.Attempt == id.NewAttempt(rq.ID, rq.AttemptNumber) {
			mc.emit(Effect{Kind: Granted, Request: rq.ID, Attempt: gr.Attempt, Grant: &gr.Grant})
			return
		}
		mc.release(now, gr)
	}
	wt := mc.newWaiting(now, rq)
	if oc, admitted := mc.admit(now, wt); !admitted {
		mc.refuse(rq, oc)
		return
	}
	mc.enqueue(wt)
}

func (mc *Machine) newWaiting(now time.Time, rq Request) *waiting {
	rq.Weight = max(rq.Weight, minWeight)
	answer := mc.config.ExpectedAnswerTokens
	if rq.MaxAnswerTokens > 0 {
		answer = min(answer, rq.MaxAnswerTokens)
	}
	wt := &waiting{Request: rq, answer: answer, since: now}
	wt.work = mc.workOf(wt)
	wt.latestStart = rq.Deadline.Add(-mc.shortestRun(wt))
	patience := mc.config.GrantWaitLimit + startFactor*mc.prefillTime(float64(wt.PromptTokens))
	if within := now.Add(patience); rq.AttemptNumber <= 1 && within.Before(wt.latestStart) {
		wt.latestStart = within
	}
	return wt
}

// shortestRun returns the time that a request takes on idle engines. The length of the answer is a guess,
// so that it counts for at most half of the request's time.
func (mc *Machine) shortestRun(wt *waiting) time.Duration {
	parts := max(1, mc.partsFor(wt))
	answer := time.Duration(wt.answer) * mc.config.BaseStepTime
	return mc.prefillTime(float64(wt.PromptTokens)/float64(parts)) + min(answer, wt.Deadline.Sub(wt.since)/2)
}

func (mc *Machine) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / mc.config.PrefillTokensPerSecond * float64(time.Second))
}

func (mc *Machine) withdraw(rq id.Request) {
	if wt, ok := mc.waiting[rq]; ok {
		mc.drop(wt)
	}
}

// drop removes a waiting request; its place in the queue is skipped later.
func (mc *Machine) drop(wt *waiting) {
	delete(mc.waiting, wt.ID)
	wt.gone = true
	if wt.RunAlone {
		mc.alone = slices.DeleteFunc(mc.alone, func(other *waiting) bool { return other == wt })
		return
	}
	wt.lane.leave(wt)
	mc.undrain(wt)
}

// expire refuses requests whose latest start has passed.
func (mc *Machine) expire(now time.Time) {
	for mc.latest.Len() > 0 {
		wt := mc.latest.Peek()
		if !wt.gone && !now.After(wt.latestStart) {
			return
		}
		mc.latest.Pop()
		if wt.gone {
			continue
		}
		mc.drop(wt)
		mc.refuse(wt.Request, outcome.Refuse(outcome.Overloaded, "the request can no longer start in time").WithRetryAfter(mc.retryAfter(now, wt)))
	}
}

func (mc *Machine) hold(now time.Time, ev RenewGrant) {
	gr, known := mc.grants[ev.Grant.Attempt]
	if !known {
		mc.adopt(now, ev)
		return
	}
	gr.renewed = now
	if ev.Started && !gr.started {
		gr.started = true
		mc.settle(now, gr)
	}
}

// adopt takes over a grant that another dispatcher or an entry host itself made.
func (mc *Machine) adopt(now time.Time, ev RenewGrant) {
	rq := id.RequestOf(ev.Grant.Attempt)
	if wt, ok := mc.waiting[rq]; ok {
		mc.drop(wt)
	}
	gr := &grant{
		Grant:   ev.Grant,
		request: Request{ID: rq, Organisation: ev.Organisation},
		renewed: now,
		started: ev.Started,
	}
	for _, part := range ev.Grant.Parts {
		gr.request.PromptTokens += part.PromptTokens
	}
	mc.grants[gr.Attempt] = gr
	mc.granted[rq] = gr
	mc.shortHeld += gr.short()
	for ix := range gr.Parts {
		mc.charge(now, gr, ix)
	}
}

func (mc *Machine) finish(now time.Time, att id.Attempt) {
	gr, ok := mc.grants[att]
	if !ok {
		return
	}
	mc.release(now, gr)
}

func (mc *Machine) release(now time.Time, gr *grant) {
	delete(mc.grants, gr.Attempt)
	mc.shortHeld -= gr.short()
	if mc.granted[gr.request.ID] == gr {
		delete(mc.granted, gr.request.ID)
	}
	if !gr.started {
		mc.settle(now, gr)
	}
	for ix, part := range gr.Parts {
		en, ok := mc.byName[part.Engine]
		if !ok {
			continue
		}
		en.held -= part.PromptTokens + gr.answerOn(ix)
		en.streams--
		if gr.alone {
			en.alone = ""
		}
	}
}

// short returns the memory of a grant for a short prompt, or 0.
func (gr *grant) short() id.Tokens {
	if gr.request.PromptTokens > MaxShortPrompt {
		return 0
	}
	return gr.request.PromptTokens + gr.AnswerTokens
}

func (gr *grant) answerOn(part int) id.Tokens {
	if part == 0 {
		return gr.AnswerTokens
	}
	return 0
}

// sweep ends grants that were not renewed.
func (mc *Machine) sweep(now time.Time) {
	const sweepEvery = 500 * time.Millisecond
	if now.Sub(mc.swept) < sweepEvery {
		return
	}
	mc.swept = now
	var lapsed []*grant
	for _, gr := range mc.grants {
		if now.Sub(gr.renewed) > mc.config.GrantTTL {
			lapsed = append(lapsed, gr)
		}
	}
	slices.SortFunc(lapsed, func(left, right *grant) int { return compareAttempts(left.Attempt, right.Attempt) })
	for _, gr := range lapsed {
		mc.release(now, gr)
		mc.cancel(gr)
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

func (mc *Machine) cancel(gr *grant) {
	for _, part := range gr.Parts {
		mc.emit(Effect{Kind: CancelAttempt, Request: gr.request.ID, Attempt: gr.Attempt, Engine: part.Engine, Address: part.Address})
	}
}
