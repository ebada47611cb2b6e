package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/standin/agenda"
	"github.com/hibiscuslever/hibiscuslever/standin/passes"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// clientHop is the time from a client to its entry host.
	clientHop = 3 * time.Millisecond
	// placeHop is the time from an entry host to the dispatcher, back, and to an engine.
	placeHop = 3 * time.Millisecond
	// engineHop is the time from an engine to an entry host.
	engineHop = time.Millisecond
	// tick is the time between ticks of the dispatcher.
	tick = 10 * time.Millisecond
	// retryBound is the part of its time that a client waits before it comes back, as a divisor.
	retryBound = 3
)

// request is a client's request on its way.
type request struct {
	arrival
	kind   Kind
	id     id.Request
	number int
	avoid  []id.Engine
	grant  batch.Grant
	job    *passes.Job
	// first is the time from arrival to the first event, pause the longest time between two.
	first time.Duration
	pause time.Duration
	last  time.Time
	// done requests are answered, refused for good, or left by their clients.
	done    bool
	refused bool
	left    bool
}

// world runs a dispatcher, engines and clients on virtual time.
type world struct {
	pattern  Pattern
	start    time.Time
	agenda   *agenda.Scheduler
	machine  *batch.Machine
	names    []id.Engine
	engines  map[id.Engine]*passes.Engine
	lost     map[id.Engine]bool
	unlisted map[id.Engine]bool
	requests map[id.Request]*request
	all      []*request
}

// Run replays a pattern with a seed.
func Run(pt Pattern, config batch.Config, seed uint64) Result {
	return play(pt, config, seed, pt.arrivals(seed), pt.presences())
}

func play(pt Pattern, config batch.Config, seed uint64, arrivals []arrival, engines []presence) Result {
	wd := &world{
		pattern:  pt,
		start:    time.Unix(0, 0),
		agenda:   agenda.New(time.Unix(0, 0)),
		machine:  batch.New(config, seed),
		engines:  map[id.Engine]*passes.Engine{},
		lost:     map[id.Engine]bool{},
		unlisted: map[id.Engine]bool{},
		requests: map[id.Request]*request{},
	}
	for _, pr := range engines {
		wd.names = append(wd.names, pr.name)
		wd.engines[pr.name] = passes.New(pt.EngineProfile, wd.agenda.ScheduleAt)
		wd.follows(pr)
	}
	wd.step(batch.SetEngineProfile{Profile: pt.EngineProfile})
	wd.list()
	end := pt.ArrivalPeriod
	for ix, ar := range arrivals {
		rq := &request{arrival: ar, kind: pt.Kinds[ar.kind], id: id.Request("r" + strconv.Itoa(ix)), number: 1}
		wd.all = append(wd.all, rq)
		wd.at(ar.at, func(time.Time) { wd.submit(rq) })
		if ar.leaves > 0 {
			wd.at(ar.at+ar.leaves, func(time.Time) { wd.leave(rq) })
		}
		end = max(end, ar.at)
	}
	wd.at(0, wd.tick)
	for _, loss := range pt.Losses {
		wd.at(loss.At, func(time.Time) { wd.lose(loss) })
	}
	// What came by the end has time to be answered.
	const rest = 20 * time.Second
	wd.agenda.RunUntil(wd.start.Add(end + rest))
	return newResult(pt, wd.all)
}

// presences returns the engines of a pattern, which are there from the start.
func (pt Pattern) presences() []presence {
	var all []presence
	for ix := range pt.EngineCount {
		all = append(all, presence{name: engineName(ix)})
	}
	return all
}

func engineName(ix int) id.Engine { return id.Engine(fmt.Sprintf("engine-%03d", ix)) }

func (wd *world) at(after time.Duration, call func(time.Time)) {
	wd.agenda.ScheduleAt(wd.start.Add(after), call)
}

func (wd *world) list() {
	var specs []batch.EngineSpec
	for _, name := range wd.names {
		if !wd.unlisted[name] {
			specs = append(specs, batch.EngineSpec{Engine: name, Address: string(name)})
		}
	}
	wd.step(batch.SetEngines{Engines: specs})
}

func (wd *world) tick(now time.Time) {
	wd.step(batch.Tick{})
	wd.agenda.ScheduleAt(now.Add(tick), wd.tick)
}

// hop returns the time from a request's entry host to the dispatcher, back, and to an engine.
func (wd *world) hop(rq *request) time.Duration {
	if rq.zone == 0 {
		return placeHop
	}
	return placeHop + wd.pattern.Clients.ZoneHop
}

// follows has an engine come and go as it did on a recorded day.
func (wd *world) follows(pr presence) {
	if pr.from > 0 {
		wd.unlisted[pr.name] = true
		wd.at(pr.from, func(time.Time) {
			wd.unlisted[pr.name] = false
			wd.list()
		})
	}
	if pr.until > 0 {
		wd.at(pr.until, func(time.Time) {
			if !pr.drains {
				wd.fail(pr.name)
			}
			wd.unlist(pr.name)
		})
	}
}

// lose takes engines away. What they answer breaks off at once, what they help with stalls first.
func (wd *world) lose(loss Loss) {
	var gone []id.Engine
	for _, name := range wd.names {
		if !wd.lost[name] && len(gone) < loss.Count {
			gone = append(gone, name)
		}
	}
	wd.fail(gone...)
	wd.agenda.ScheduleAt(wd.agenda.Now().Add(loss.Listed), func(time.Time) { wd.unlist(gone...) })
}

func (wd *world) unlist(names ...id.Engine) {
	for _, name := range names {
		wd.unlisted[name] = true
	}
	wd.list()
}

// fail ends engines with all that they run.
func (wd *world) fail(names ...id.Engine) {
	for _, name := range names {
		wd.lost[name] = true
		wd.engines[name].Stop()
	}
	for _, rq := range wd.all {
		if !rq.done && rq.job != nil {
			wd.check(rq, rq.grant)
		}
	}
}

// check breaks a request off that depends on an engine that is lost.
func (wd *world) check(rq *request, grant batch.Grant) bool {
	at := slices.IndexFunc(grant.Parts, func(part batch.Part) bool { return wd.lost[part.Engine] })
	if at < 0 {
		return false
	}
	wait := wd.hop(rq)
	if at > 0 {
		wait += wd.pattern.StallTime
	}
	wd.agenda.ScheduleAt(wd.agenda.Now().Add(wait), func(time.Time) {
		if rq.done || rq.grant.Attempt != grant.Attempt {
			return
		}
		wd.cancel(rq)
		rq.avoid = append(rq.avoid, grant.Parts[at].Engine)
		rq.grant = batch.Grant{}
		rq.number++
		wd.step(batch.FinishAttempt{Attempt: grant.Attempt, FailedEngine: grant.Parts[at].Engine, Fault: batch.Unreachable})
		wd.submit(rq)
	})
	return true
}

// cancel takes a request away from its engines.
func (wd *world) cancel(rq *request) {
	if rq.job == nil {
		return
	}
	for _, part := range rq.grant.Parts {
		passes.Cancel(rq.job, wd.engines[part.Engine])
	}
	rq.job = nil
}

// run gives a request to the engines of its grant.
func (wd *world) run(now time.Time, rq *request, grant batch.Grant) {
	if rq.done || rq.grant.Attempt != grant.Attempt || wd.check(rq, grant) {
		return
	}
	job := &passes.Job{ID: string(grant.Attempt), PromptTokens: rq.prompt, AnswerTokens: id.Tokens(rq.events * wd.pattern.EngineProfile.StepsPerDecodePass), ReservedTokens: grant.Parts[0].MemoryTokens, Urgency: grant.Urgency}
	job.OnEvent = func(at time.Time, last bool) {
		wd.agenda.ScheduleAt(at.Add(engineHop), func(heard time.Time) { wd.heard(heard, rq, grant, last) })
	}
	rq.job = job
	var helpers []*passes.Engine
	for _, part := range grant.Parts[1:] {
		helpers = append(helpers, wd.engines[part.Engine])
	}
	passes.Submit(now, job, wd.engines[grant.Parts[0].Engine], helpers...)
}

// heard takes an event of a stream.
func (wd *world) heard(now time.Time, rq *request, grant batch.Grant, last bool) {
	if rq.done || rq.grant.Attempt != grant.Attempt {
		return
	}
	since := now.Sub(wd.start.Add(rq.arrival.at))
	if rq.first == 0 {
		rq.first = since
		wd.step(batch.AttemptStarted{Attempt: grant.Attempt})
	} else {
		rq.pause = max(rq.pause, now.Sub(rq.last))
	}
	rq.last = now
	if last {
		rq.done = true
		wd.step(batch.FinishAttempt{Attempt: grant.Attempt})
	}
}
