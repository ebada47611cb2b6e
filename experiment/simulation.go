package experiment

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/standin/enginesim"
	"github.com/hibiscuslever/hibiscuslever/standin/eventqueue"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// clientHop is the network delay between a client and its entry host, in either direction.
	clientHop = 3 * time.Millisecond
	// dispatchHop is the network delay from an entry host to the dispatcher, back, and to an engine.
	dispatchHop = 3 * time.Millisecond
	// serverHop is the network delay from an engine to an entry host, and between a host and a backend server of a
	// plain service in either direction.
	serverHop = time.Millisecond
	// tickInterval is the interval of the dispatcher's timer.
	tickInterval = 10 * time.Millisecond
	// retryWaitDivisor bounds the delay before a retry: a client retries only if the delay is at most its remaining
	// time divided by this.
	retryWaitDivisor = 3
)

// request is the state of a client's request, including its retries.
type request struct {
	arrival
	kind Kind
	// id is the request's ID at the dispatcher. It changes with each retry of the client.
	id id.Request
	// attemptNumber counts attempts from 1. Failures of engines increase it.
	attemptNumber int
	// avoidedEngines are the engines that failed earlier attempts.
	avoidedEngines []id.Engine
	// grant is the grant of the current attempt, the zero value without one. job is the work of this attempt on the
	// engines, nil while it has not started.
	grant batch.Grant
	job   *enginesim.Job
	// timeToFirstEvent is the time from arrival to the first event at the entry host; zero before it. longestPause is
	// the longest time between two events.
	timeToFirstEvent time.Duration
	longestPause     time.Duration
	lastEventAt      time.Time
	// ended says that the request is answered, refused without a further retry, or abandoned by its client.
	ended     bool
	refused   bool
	abandoned bool
}

// simulation runs a dispatcher, models of engines and clients on virtual time. It is not safe for concurrent use.
type simulation struct {
	pattern     Pattern
	start       time.Time
	scheduler   *eventqueue.Scheduler
	dispatcher  *batch.Machine
	engineNames []id.Engine
	engines     map[id.Engine]*enginesim.Engine
	// failedEngines do not work any more. unlistedEngines are not in the list that the dispatcher receives: they have
	// failed, have drained, or have not started yet.
	failedEngines     map[id.Engine]bool
	unlistedEngines   map[id.Engine]bool
	requestsByID      map[id.Request]*request
	requestsByArrival []*request
}

// Run simulates a pattern with the given configuration of the dispatcher. The seed determines all random choices.
func Run(pt Pattern, config batch.Config, seed uint64) Result {
	return simulate(pt, config, seed, pt.drawArrivals(seed), pt.enginesFromStart())
}

// simulate runs the arrivals and the losses of the pattern on the given engines. The results have the order of
// arrivals.
func simulate(pt Pattern, config batch.Config, seed uint64, arrivals []arrival, engines []availability) Result {
	sm := &simulation{
		pattern:         pt,
		start:           time.Unix(0, 0),
		scheduler:       eventqueue.New(time.Unix(0, 0)),
		dispatcher:      batch.New(config, seed),
		engines:         map[id.Engine]*enginesim.Engine{},
		failedEngines:   map[id.Engine]bool{},
		unlistedEngines: map[id.Engine]bool{},
		requestsByID:    map[id.Request]*request{},
	}
	for _, av := range engines {
		sm.engineNames = append(sm.engineNames, av.engine)
		sm.engines[av.engine] = enginesim.New(pt.EngineProfile, sm.scheduler.ScheduleAt)
		sm.scheduleAvailability(av)
	}
	sm.stepDispatcher(batch.SetEngineProfile{Profile: pt.EngineProfile})
	sm.updateEngineList()
	end := pt.ArrivalPeriod
	for index, ar := range arrivals {
		rq := &request{arrival: ar, kind: pt.Kinds[ar.kindIndex], id: id.Request("r" + strconv.Itoa(index)), attemptNumber: 1}
		sm.requestsByArrival = append(sm.requestsByArrival, rq)
		sm.schedule(ar.sinceStart, func(time.Time) { sm.submit(rq) })
		if ar.leavesAfter > 0 {
			sm.schedule(ar.sinceStart+ar.leavesAfter, func(time.Time) { sm.abandon(rq) })
		}
		end = max(end, ar.sinceStart)
	}
	sm.schedule(0, sm.tick)
	for _, loss := range pt.Losses {
		sm.schedule(loss.At, func(time.Time) { sm.applyLoss(loss) })
	}
	for _, cut := range pt.Cuts {
		sm.schedule(cut.At, func(time.Time) { sm.cutOff(cut) })
	}
	// drainTime leaves the last arrivals time to be answered.
	const drainTime = 20 * time.Second
	sm.scheduler.RunUntil(sm.start.Add(end + drainTime))
	return newResult(pt, sm.requestsByArrival)
}

// enginesFromStart returns the engines of a pattern, all available for the whole simulation.
func (pt Pattern) enginesFromStart() []availability {
	var engines []availability
	for index := range pt.EngineCount {
		engines = append(engines, availability{engine: engineName(index)})
	}
	return engines
}

func engineName(index int) id.Engine { return id.Engine(fmt.Sprintf("engine-%03d", index)) }

// schedule calls a function at a time counted from the start of the simulation.
func (sm *simulation) schedule(sinceStart time.Duration, call func(time.Time)) {
	sm.scheduler.ScheduleAt(sm.start.Add(sinceStart), call)
}

// updateEngineList sends the dispatcher the list of engines without the unlisted ones.
func (sm *simulation) updateEngineList() {
	var specs []batch.EngineSpec
	for _, name := range sm.engineNames {
		if !sm.unlistedEngines[name] {
			specs = append(specs, batch.EngineSpec{Engine: name, Address: string(name)})
		}
	}
	sm.stepDispatcher(batch.SetEngines{Engines: specs})
}

// tick sends the dispatcher a timer event and schedules the next one.
func (sm *simulation) tick(now time.Time) {
	sm.stepDispatcher(batch.Tick{})
	sm.scheduler.ScheduleAt(now.Add(tickInterval), sm.tick)
}

// dispatchTime returns the network delay from a request's entry host to the dispatcher, back, and to an engine. It is
// longer for entry hosts outside the dispatcher's availability zone.
func (sm *simulation) dispatchTime(rq *request) time.Duration {
	if rq.zoneIndex == 0 {
		return dispatchHop
	}
	return dispatchHop + sm.pattern.Clients.ZoneHop
}

// scheduleAvailability adds and removes an engine at the times at which that happened on a recorded day. An engine that
// does not finish its work fails when it is removed.
func (sm *simulation) scheduleAvailability(av availability) {
	if av.from > 0 {
		sm.unlistedEngines[av.engine] = true
		sm.schedule(av.from, func(time.Time) {
			sm.unlistedEngines[av.engine] = false
			sm.updateEngineList()
		})
	}
	if av.until > 0 {
		sm.schedule(av.until, func(time.Time) {
			if !av.finishesWork {
				sm.failEngines(av.engine)
			}
			sm.unlistEngines(av.engine)
		})
	}
}

// applyLoss makes the first loss.Count engines that have not failed yet fail, and removes them from the dispatcher's
// list of engines after the delay loss.Listed.
func (sm *simulation) applyLoss(loss Loss) {
	var failing []id.Engine
	for _, name := range sm.engineNames {
		if !sm.failedEngines[name] && len(failing) < loss.Count {
			failing = append(failing, name)
		}
	}
	sm.failEngines(failing...)
	sm.scheduler.ScheduleAt(sm.scheduler.Now().Add(loss.Listed), func(time.Time) { sm.unlistEngines(failing...) })
}

// unlistEngines removes engines from the list that the dispatcher receives.
func (sm *simulation) unlistEngines(names ...id.Engine) {
	for _, name := range names {
		sm.unlistedEngines[name] = true
	}
	sm.updateEngineList()
}

// failEngines stops engines and aborts the attempts that run on them.
func (sm *simulation) failEngines(names ...id.Engine) {
	for _, name := range names {
		sm.failedEngines[name] = true
		sm.engines[name].Stop()
	}
	for _, rq := range sm.requestsByArrival {
		if !rq.ended && rq.job != nil {
			sm.abortIfEngineFailed(rq, rq.grant)
		}
	}
}

// abortIfEngineFailed reports whether an attempt depends on a failed engine. In that case it schedules the end of the
// attempt and a new submission that avoids the engine. If the engine that answers has failed, the entry host notices
// after one dispatch time. The failure of an engine that helps to read the prompt shows only as a stall, so that
// StallTime passes in addition.
func (sm *simulation) abortIfEngineFailed(rq *request, grant batch.Grant) bool {
	failedPart := slices.IndexFunc(grant.Parts, func(part batch.Part) bool { return sm.failedEngines[part.Engine] })
	if failedPart < 0 {
		return false
	}
	delay := sm.dispatchTime(rq)
	if failedPart > 0 {
		delay += sm.pattern.StallTime
	}
	sm.failAttempt(rq, grant, grant.Parts[failedPart].Engine, batch.Unreachable, delay)
	return true
}

// failAttempt ends an attempt after a delay, because of an engine that its host can't reach, reports the fault, and submits
// the request again so that it avoids the engine.
func (sm *simulation) failAttempt(rq *request, grant batch.Grant, engine id.Engine, fault batch.Fault, delay time.Duration) {
	sm.scheduler.ScheduleAt(sm.scheduler.Now().Add(delay), func(time.Time) {
		if rq.ended || rq.grant.Attempt != grant.Attempt {
			return
		}
		sm.cancelJob(rq)
		rq.avoidedEngines = append(rq.avoidedEngines, engine)
		rq.grant = batch.Grant{}
		rq.attemptNumber++
		sm.stepDispatcher(batch.FinishAttempt{Attempt: grant.Attempt, FailedEngine: engine, Fault: fault})
		sm.submit(rq)
	})
}

// cutOff aborts the attempts of entry hosts that lose the way to the engines. The hosts notice after one dispatch time.
// They report no fault of an engine that other hosts reach.
func (sm *simulation) cutOff(cut Cut) {
	for _, rq := range sm.requestsByArrival {
		if !rq.ended && rq.job != nil && rq.zoneIndex == cut.Zone {
			sm.failAttempt(rq, rq.grant, rq.grant.Parts[0].Engine, batch.NoFault, sm.dispatchTime(rq))
		}
	}
}

// currentCut returns the cut that separates a request's entry host from the engines at a time, if there is one.
func (sm *simulation) currentCut(now time.Time, rq *request) (Cut, bool) {
	sinceStart := now.Sub(sm.start)
	for _, cut := range sm.pattern.Cuts {
		if cut.Zone == rq.zoneIndex && sinceStart >= cut.At && sinceStart < cut.At+cut.For {
			return cut, true
		}
	}
	return Cut{}, false
}

// cancelJob removes a request's job from its engines, if it has one.
func (sm *simulation) cancelJob(rq *request) {
	if rq.job == nil {
		return
	}
	for _, part := range rq.grant.Parts {
		enginesim.Cancel(rq.job, sm.engines[part.Engine])
	}
	rq.job = nil
}

// startJob starts an attempt on the engines of its grant, unless the grant is outdated, one of the engines has failed or
// the entry host is cut off. The engine of the first part produces the answer; the others help to read the prompt.
func (sm *simulation) startJob(now time.Time, rq *request, grant batch.Grant) {
	if rq.ended || rq.grant.Attempt != grant.Attempt || sm.abortIfEngineFailed(rq, grant) {
		return
	}
	if cut, ok := sm.currentCut(now, rq); ok {
		sm.failAttempt(rq, grant, grant.Parts[0].Engine, batch.NoFault, cut.DialTimeout)
		return
	}
	job := &enginesim.Job{ID: string(grant.Attempt), PromptTokens: rq.promptTokens, AnswerTokens: id.Tokens(rq.answerEvents * sm.pattern.EngineProfile.StepsPerDecodePass), ReservedTokens: grant.Parts[0].MemoryTokens, Urgency: grant.Urgency}
	job.OnEvent = func(at time.Time, last bool) {
		sm.scheduler.ScheduleAt(at.Add(serverHop), func(receivedAt time.Time) { sm.handleEvent(receivedAt, rq, grant, last) })
	}
	rq.job = job
	var helpers []*enginesim.Engine
	for _, part := range grant.Parts[1:] {
		helpers = append(helpers, sm.engines[part.Engine])
	}
	enginesim.Submit(now, job, sm.engines[grant.Parts[0].Engine], helpers...)
}

// handleEvent records an event of the answer that arrives at the entry host. Events of earlier attempts are ignored.
func (sm *simulation) handleEvent(now time.Time, rq *request, grant batch.Grant, last bool) {
	if rq.ended || rq.grant.Attempt != grant.Attempt {
		return
	}
	sinceArrival := now.Sub(sm.start.Add(rq.arrival.sinceStart))
	if rq.timeToFirstEvent == 0 {
		rq.timeToFirstEvent = sinceArrival
		sm.stepDispatcher(batch.AttemptStarted{Attempt: grant.Attempt})
	} else {
		rq.longestPause = max(rq.longestPause, now.Sub(rq.lastEventAt))
	}
	rq.lastEventAt = now
	if last {
		rq.ended = true
		sm.stepDispatcher(batch.FinishAttempt{Attempt: grant.Attempt})
	}
}
