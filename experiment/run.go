package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/standin/passes"
	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// hop is the time from a client to its entry host, and from there to the dispatcher or an engine and back.
	hop = 3 * time.Millisecond
	// tick is the time between ticks of the dispatcher.
	tick = 10 * time.Millisecond
	// retryBound is the largest part of its time that a client waits before it comes back.
	retryBound = 3
)

// Outcome is what became of the requests of one kind.
type Outcome struct {
	Asked   int
	OnTime  int
	Late    int
	Refused int
	Left    int
	// Broken counts streams that were late for a pause alone.
	Broken int
	// Worth is the part of the benefit owed that was earned.
	Worth float64
	// First holds the times to the first event.
	First []time.Duration
	// Whole holds the times to the whole answer.
	Whole []time.Duration

	earned float64
	owed   float64
}

// Result is what became of a run, by kind.
type Result struct {
	Kinds []Outcome
	// Worth is the part of the benefit of all kinds, Worst that of the worst two seconds in which many came.
	Worth float64
	Worst float64
}

// request is a client's request on its way.
type request struct {
	arrival
	kind     Kind
	id       id.Request
	number   int
	grant    batch.Grant
	first    time.Duration
	whole    time.Duration
	last     time.Time
	pause    time.Duration
	done     bool
	returned bool
}

type event struct {
	at   time.Time
	tie  int
	call func(now time.Time)
}

type world struct {
	pattern  Pattern
	start    time.Time
	now      time.Time
	events   *container.Heap[event]
	ties     int
	machine  *batch.Machine
	engines  map[id.Engine]*passes.Engine
	awake    map[id.Engine]time.Time
	lost     map[id.Engine]bool
	requests map[id.Request]*request
	all      []*request
	result   Result
	windows  map[int]*Outcome
}

// Run replays a pattern with a seed.
func Run(pt Pattern, config batch.Config, seed uint64) Result {
	wd := &world{
		pattern: pt,
		start:   time.Unix(0, 0),
		events: container.NewHeap(func(left, right event) bool {
			if !left.at.Equal(right.at) {
				return left.at.Before(right.at)
			}
			return left.tie < right.tie
		}),
		machine:  batch.New(config, seed),
		engines:  map[id.Engine]*passes.Engine{},
		awake:    map[id.Engine]time.Time{},
		lost:     map[id.Engine]bool{},
		requests: map[id.Request]*request{},
		result:   Result{Kinds: make([]Outcome, len(pt.Kinds))},
		windows:  map[int]*Outcome{},
	}
	wd.now = wd.start
	for ix := range pt.Engines {
		wd.engines[engineName(ix)] = passes.New(pt.Engine)
	}
	wd.step(batch.Configured{Engine: pt.Engine})
	wd.list()
	for ix, ar := range pt.arrivals(seed) {
		rq := &request{arrival: ar, kind: pt.Kinds[ar.kind], id: id.Request("r" + strconv.Itoa(ix)), number: 1}
		wd.requests[rq.id] = rq
		wd.all = append(wd.all, rq)
		wd.at(ar.at, func(time.Time) { wd.submit(rq) })
	}
	wd.at(0, wd.tick)
	if pt.Lost > 0 {
		wd.at(pt.LostAt, func(time.Time) { wd.lose() })
	}
	wd.drain()
	return wd.finish()
}

func engineName(ix int) id.Engine { return id.Engine(fmt.Sprintf("engine-%03d", ix)) }

func (wd *world) at(after time.Duration, call func(time.Time)) { wd.when(wd.start.Add(after), call) }

func (wd *world) when(at time.Time, call func(time.Time)) {
	wd.ties++
	wd.events.Push(event{at: at, tie: wd.ties, call: call})
}

func (wd *world) drain() {
	const rest = 20 * time.Second
	end := wd.start.Add(wd.pattern.Length + rest)
	for wd.events.Len() > 0 {
		ev := wd.events.Pop()
		if ev.at.After(end) {
			return
		}
		wd.now = ev.at
		ev.call(ev.at)
	}
}

func (wd *world) list() {
	var specs []batch.EngineSpec
	for ix := range wd.pattern.Engines {
		if name := engineName(ix); !wd.lost[name] {
			specs = append(specs, batch.EngineSpec{Engine: name, Address: string(name)})
		}
	}
	wd.step(batch.Listed{Engines: specs})
}

func (wd *world) tick(now time.Time) {
	wd.step(batch.Tick{})
	wd.when(now.Add(tick), wd.tick)
}

// lose takes engines away; what they ran is placed again.
func (wd *world) lose() {
	for ix := range wd.pattern.Lost {
		wd.lost[engineName(ix)] = true
	}
	wd.list()
	for _, rq := range wd.all {
		if rq.done || len(rq.grant.Parts) == 0 || !slices.ContainsFunc(rq.grant.Parts, func(part batch.Part) bool { return wd.lost[part.Engine] }) {
			continue
		}
		att := rq.grant.Attempt
		rq.grant = batch.Grant{}
		rq.number++
		wd.step(batch.Finish{Attempt: att})
		wd.submit(rq)
	}
}

func (wd *world) patience(rq *request) time.Duration {
	return min(rq.kind.Timeout, max(2*time.Second, 4*rq.kind.Target, 8*rq.kind.MaxPause))
}

func (wd *world) submit(rq *request) {
	arrived := wd.start.Add(rq.arrival.at)
	wd.step(batch.Submit{Request: batch.Request{
		ID:       rq.id,
		Prompt:   rq.prompt,
		Answer:   id.Tokens(rq.events * wd.pattern.Engine.Stride),
		Target:   rq.kind.Target,
		MaxPause: rq.kind.MaxPause,
		Patience: wd.patience(rq),
		Arrived:  arrived,
		Number:   rq.number,
	}})
}

// step passes an event to the machine and carries its effects out.
func (wd *world) step(ev batch.Event) {
	effects := slices.Clone(wd.machine.Step(wd.now, ev))
	for _, ef := range effects {
		rq := wd.requests[ef.Request]
		if rq == nil || rq.done {
			continue
		}
		if ef.Kind == batch.Refused {
			wd.refused(rq, ef.Outcome.RetryAfter)
			continue
		}
		rq.grant = ef.Grant
		wd.when(wd.now.Add(hop), func(now time.Time) { wd.run(now, rq, ef.Grant) })
	}
}

// refused has a client come back once, as long as it has time.
func (wd *world) refused(rq *request, after time.Duration) {
	left := rq.kind.Timeout - wd.now.Sub(wd.start.Add(rq.arrival.at))
	if rq.returned || after <= 0 || after > left/retryBound {
		rq.done = true
		wd.result.Kinds[rq.arrival.kind].Refused++
		return
	}
	rq.returned = true
	rq.id += "b"
	wd.requests[rq.id] = rq
	wd.when(wd.now.Add(after), func(time.Time) { wd.submit(rq) })
}

func (wd *world) run(now time.Time, rq *request, grant batch.Grant) {
	if rq.done || rq.grant.Attempt != grant.Attempt {
		return
	}
	job := &passes.Job{ID: string(grant.Attempt), Prompt: rq.prompt, Answer: id.Tokens(rq.events * wd.pattern.Engine.Stride), Kept: grant.Parts[0].Tokens, Urgency: grant.Urgency}
	job.Event = func(at time.Time, last bool) {
		wd.when(at.Add(hop), func(heard time.Time) { wd.heard(heard, rq, grant, last) })
	}
	var helpers []*passes.Engine
	for _, part := range grant.Parts[1:] {
		helpers = append(helpers, wd.engines[part.Engine])
	}
	passes.Submit(now, job, wd.engines[grant.Parts[0].Engine], helpers...)
	for _, part := range grant.Parts {
		wd.follow(part.Engine)
	}
}

// follow ends an engine's passes as long as it has work.
func (wd *world) follow(name id.Engine) {
	en := wd.engines[name]
	ends, busy := en.Ends()
	if !busy || wd.awake[name].Equal(ends) {
		return
	}
	wd.awake[name] = ends
	wd.when(ends, func(time.Time) {
		if wd.lost[name] {
			return
		}
		en.End()
		wd.follow(name)
	})
}

// heard takes an event of a stream.
func (wd *world) heard(now time.Time, rq *request, grant batch.Grant, last bool) {
	if rq.done || rq.grant.Attempt != grant.Attempt {
		return
	}
	since := now.Add(hop).Sub(wd.start.Add(rq.arrival.at))
	if rq.first == 0 {
		rq.first = since
		wd.step(batch.Started{Attempt: grant.Attempt})
	} else {
		rq.pause = max(rq.pause, now.Sub(rq.last))
	}
	rq.last = now
	if last {
		rq.done = true
		rq.whole = since
		wd.step(batch.Finish{Attempt: grant.Attempt})
	}
}

// finish adds up what became of all requests.
func (wd *world) finish() Result {
	for _, rq := range wd.all {
		wd.count(rq)
	}
	var earned, owed float64
	for ix := range wd.result.Kinds {
		oc := &wd.result.Kinds[ix]
		oc.Worth = oc.earned / max(oc.owed, 1)
		earned += oc.earned
		owed += oc.owed
		slices.Sort(oc.First)
	}
	wd.result.Worth = earned / max(owed, 1)
	wd.result.Worst = 1
	for _, oc := range wd.windows {
		const many = 0.5
		if oc.owed >= many*owed/float64(len(wd.windows)) {
			wd.result.Worst = min(wd.result.Worst, oc.earned/oc.owed)
		}
	}
	return wd.result
}

func (wd *world) count(rq *request) {
	const window = 2 * time.Second
	oc := &wd.result.Kinds[rq.arrival.kind]
	wn, ok := wd.windows[int(rq.arrival.at/window)]
	if !ok {
		wn = &Outcome{}
		wd.windows[int(rq.arrival.at/window)] = wn
	}
	// The worth of a request grows with its size, as its callers see it.
	size := 0.3 + 0.7*(float64(rq.prompt)+10*float64(rq.events*wd.pattern.Engine.Stride))/
		(rq.kind.Prompt+10*rq.kind.Events*float64(wd.pattern.Engine.Stride))
	oc.Asked++
	oc.owed += size * rq.kind.Worth
	wn.owed += size * rq.kind.Worth
	var earned float64
	switch {
	case rq.first == 0 || !rq.done:
		oc.Left++
	case rq.first <= rq.kind.Target && rq.pause <= rq.kind.MaxPause:
		oc.OnTime++
		earned = size * rq.kind.Worth
	default:
		if rq.first <= rq.kind.Target {
			oc.Broken++
		}
		oc.Late++
		earned = size * rq.kind.Late
	}
	if rq.first > 0 {
		oc.First = append(oc.First, rq.first)
	}
	if rq.whole > 0 {
		oc.Whole = append(oc.Whole, rq.whole)
	}
	oc.earned += earned
	wn.earned += earned
}
