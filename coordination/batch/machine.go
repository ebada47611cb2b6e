package batch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// Machine is the state of one service's dispatcher.
type Machine struct {
	config  Config
	engine  route.Engine
	random  *rand.Rand
	engines []*engine
	byName  map[id.Engine]*engine
	grants  map[id.Attempt]*grant
	granted map[id.Request]*grant
	waiting map[id.Request]*waiting
	// short and long hold the waiting requests by the time that their prompts take to read.
	short queue
	long  queue
	// strictest is the shortest pause that any request has allowed.
	strictest time.Duration
	// leaving holds the requests that wait by the time at which they are given up.
	leaving *container.Heap[*waiting]
	// lookAt is when waiting requests are looked at again, if nothing happens before.
	lookAt time.Time
	// view holds the engines that may get new work, as they are during one look at the queues.
	view []candidate
	// viewed is when that look was taken, fewest the least number of tasks of an engine in it.
	viewed time.Time
	fewest int
	// order and chosen are the places of engines in the view, kept to be used again.
	order   []int
	chosen  []int
	best    []int
	heads   []*waiting
	swept   time.Time
	effects []Effect
}

type grant struct {
	Grant
	request Request
	renewed time.Time
	started bool
	short   bool
	// read is the time that each part takes to read, ready when it is predicted to be read.
	read  time.Duration
	ready time.Time
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
		short:   queue{of: map[id.Organisation]time.Duration{}},
		long:    queue{of: map[id.Organisation]time.Duration{}},
		leaving: container.NewHeap(func(left, right *waiting) bool { return left.last.Before(right.last) }),
	}
}

// Step takes one event and returns what is to be done. The effects are valid until the next step.
func (mc *Machine) Step(now time.Time, ev Event) []Effect {
	mc.effects = mc.effects[:0]
	switch ev := ev.(type) {
	case SetEngineProfile:
		mc.engine = ev.Profile
	case SetEngines:
		mc.listed(ev.Engines)
	case Submit:
		mc.submit(now, ev.Request)
	case Withdraw:
		mc.withdraw(now, ev.Request)
	case RenewGrant:
		mc.hold(now, ev)
	case AttemptStarted:
		mc.start(now, ev.Attempt)
	case FinishAttempt:
		mc.failed(now, ev)
		mc.finish(now, ev.Attempt)
	case Tick:
		mc.sweep(now)
	}
	mc.expire(now)
	if _, tick := ev.(Tick); !tick || !now.Before(mc.lookAt) {
		mc.pump(now)
	}
	return mc.effects
}

// Waiting returns the number of requests that wait.
func (mc *Machine) Waiting() int { return len(mc.waiting) }

// Granted returns the number of grants that are held.
func (mc *Machine) Granted() int { return len(mc.grants) }

func (mc *Machine) submit(now time.Time, rq Request) {
	if wt, queued := mc.waiting[rq.ID]; queued {
		if wt.AttemptNumber >= rq.AttemptNumber {
			wt.BackoffUntil = rq.BackoffUntil
			return
		}
		mc.drop(wt)
	}
	if gr, held := mc.granted[rq.ID]; held {
		if gr.Attempt == id.NewAttempt(rq.ID, rq.AttemptNumber) {
			mc.effects = append(mc.effects, Effect{Kind: Granted, Request: rq.ID, Grant: gr.Grant})
			return
		}
		mc.release(now, gr)
	}
	if rq.MaxPause > 0 && (mc.strictest == 0 || rq.MaxPause < mc.strictest) {
		mc.strictest = rq.MaxPause
	}
	wt := mc.newWaiting(rq)
	wt.since = now
	if oc, admitted := mc.admit(now, wt); !admitted {
		mc.refuse(wt, oc)
		return
	}
	mc.waiting[rq.ID] = wt
	mc.queueOf(wt).push(wt)
	mc.leaving.Push(wt)
}

func (mc *Machine) isShort(wt *waiting) bool { return wt.read <= mc.config.ShortPromptReadTime }

func (mc *Machine) refuse(wt *waiting, oc outcome.Outcome) {
	mc.effects = append(mc.effects, Effect{Kind: Refused, Request: wt.ID, Outcome: oc})
}

func (mc *Machine) hold(now time.Time, ev RenewGrant) {
	gr, known := mc.grants[ev.Grant.Attempt]
	if !known {
		gr = mc.adopt(now, ev)
	}
	gr.renewed = now
	if ev.Started {
		mc.start(now, gr.Attempt)
	}
}

// adopt takes over a grant that another dispatcher or an entry host itself made.
func (mc *Machine) adopt(now time.Time, ev RenewGrant) *grant {
	if wt, ok := mc.waiting[ev.Request.ID]; ok {
		mc.drop(wt)
	}
	whole := mc.engine.PrefillTime(ev.Request.PromptTokens)
	read := whole / time.Duration(max(1, len(ev.Grant.Parts)))
	gr := &grant{
		Grant:   ev.Grant,
		request: ev.Request,
		read:    read,
		ready:   now.Add(read),
		short:   whole <= mc.config.ShortPromptReadTime || mc.isStrict(ev.Request),
	}
	mc.charge(gr)
	return gr
}

// charge adds a grant to its engines.
func (mc *Machine) charge(gr *grant) {
	mc.grants[gr.Attempt] = gr
	mc.granted[gr.request.ID] = gr
	for _, part := range gr.Parts {
		en, ok := mc.byName[part.Engine]
		if !ok {
			continue
		}
		en.run(gr)
		if !gr.started && gr.ready.After(en.busyUntil) {
			en.busyUntil = gr.ready
		}
	}
}

// start notes that the first event of an attempt has arrived: its prompt has been read.
func (mc *Machine) start(now time.Time, att id.Attempt) {
	gr, ok := mc.grants[att]
	if !ok || gr.started {
		return
	}
	gr.started = true
	mc.settle(now, gr)
	if en, ok := mc.byName[gr.Parts[0].Engine]; ok {
		en.faults, en.refusals = 0, 0
	}
}

// settle moves what its engines are predicted to read earlier when a prompt was read before its time.
func (mc *Machine) settle(now time.Time, gr *grant) {
	early := gr.ready.Sub(now)
	if early <= 0 {
		return
	}
	for _, part := range gr.Parts {
		if en, ok := mc.byName[part.Engine]; ok {
			en.busyUntil = en.busyUntil.Add(-min(early, gr.read))
		}
	}
}

func (mc *Machine) finish(now time.Time, att id.Attempt) {
	if gr, ok := mc.grants[att]; ok {
		mc.release(now, gr)
	}
}

func (mc *Machine) release(now time.Time, gr *grant) {
	delete(mc.grants, gr.Attempt)
	if mc.granted[gr.request.ID] == gr {
		delete(mc.granted, gr.request.ID)
	}
	if !gr.started {
		mc.settle(now, gr)
	}
	for _, part := range gr.Parts {
		if en, ok := mc.byName[part.Engine]; ok {
			en.tasks = slices.DeleteFunc(en.tasks, func(tk task) bool { return tk.grant == gr })
		}
	}
}

// sweep ends grants that were not renewed.
func (mc *Machine) sweep(now time.Time) {
	const sweepEvery = 500 * time.Millisecond
	if now.Sub(mc.swept) < sweepEvery {
		return
	}
	mc.swept = now
	for _, att := range slices.Sorted(maps.Keys(mc.grants)) {
		if gr := mc.grants[att]; now.Sub(gr.renewed) > mc.config.GrantTTL {
			mc.release(now, gr)
		}
	}
}
