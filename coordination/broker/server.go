package broker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Convictions counts crashes by the content of requests.
type Convictions interface {
	// Convicted reports whether a request has crashed too many engines to be run again, and whether it is suspected.
	Convicted(fp id.Fingerprint) (convicted, suspected bool)
	// Crashed counts a crash of an engine that ran the request.
	Crashed(fp id.Fingerprint)
}

// Server runs the dispatchers of the services that this host is asked for.
type Server struct {
	config      batch.Config
	clock       timer.Service
	fleet       Fleet
	convictions Convictions
	metrics     tally.Scope
	logger      *slog.Logger
	seed        uint64

	wake     chan struct{}
	mutex    sync.Mutex
	services map[id.Service]*dispatcher
}

// dispatcher is one service's machine with the askers that wait for it.
type dispatcher struct {
	machine *batch.Machine
	waiters map[id.Request]chan Answer
	asks    map[id.Request]Ask
	used    time.Time
	started time.Time
}

// NewServer returns a server without dispatchers.
func NewServer(config batch.Config, clock timer.Service, fleet Fleet, convictions Convictions, metrics tally.Scope, logger *slog.Logger, seed uint64) *Server {
	return &Server{
		config:      config,
		clock:       clock,
		fleet:       fleet,
		convictions: convictions,
		metrics:     metrics,
		logger:      logger,
		seed:        seed,
		wake:        make(chan struct{}, 1),
		services:    map[id.Service]*dispatcher{},
	}
}

// Periods between ticks: while requests wait, while there are dispatchers, and while there are none.
const (
	waitingTick = 5 * time.Millisecond
	runningTick = 200 * time.Millisecond
	idleTick    = time.Second
	// idleAfter is how long a dispatcher that nobody asks is kept.
	idleAfter = 10 * time.Second
)

// Run keeps the dispatchers up to date until the context ends.
func (sv *Server) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait, sub := timer.Wait(sv.clock, sv.tick())
		select {
		case <-wait:
		case <-sv.wake:
		case <-ctx.Done():
		}
		sub.Stop()
	}
	return nil
}

// tick lets time pass in every dispatcher and returns when the next tick is due.
func (sv *Server) tick() time.Duration {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	next := idleTick
	for name, dp := range sv.services {
		if now.Sub(dp.used) > idleAfter && dp.machine.Waiting() == 0 && dp.machine.Granted() == 0 {
			delete(sv.services, name)
			sv.logger.Info("dispatcher stopped", "service", string(name))
			continue
		}
		sv.apply(dp, dp.machine.Step(now, batch.Tick{}))
		next = min(next, runningTick)
		if dp.machine.Waiting() > 0 {
			next = waitingTick
		}
	}
	return next
}

func (sv *Server) dispatcherOf(now time.Time, name id.Service) *dispatcher {
	dp, ok := sv.services[name]
	if !ok {
		dp = &dispatcher{
			machine: batch.New(sv.config, sv.seed),
			waiters: map[id.Request]chan Answer{},
			asks:    map[id.Request]Ask{},
			started: now,
		}
		sv.services[name] = dp
		sv.refresh(now, name, dp)
		sv.metrics.Counter("dispatchers_started").Inc(1)
		sv.logger.Info("dispatcher started", "service", string(name))
	}
	dp.used = now
	return dp
}

// refresh passes the description of the service and its engines to the machine.
func (sv *Server) refresh(now time.Time, name id.Service, dp *dispatcher) {
	engine, ok := sv.fleet.Engine(name)
	if ok {
		sv.apply(dp, dp.machine.Step(now, batch.Configured{Engine: engine}))
	}
	sv.apply(dp, dp.machine.Step(now, batch.Listed{Engines: sv.fleet.Engines(name)}))
}

// Refresh takes changes of the desired state and of the list of engines.
func (sv *Server) Refresh() {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	for name, dp := range sv.services {
		sv.refresh(now, name, dp)
	}
}

// Place answers an Ask, at the latest when it has been held for answerWithin.
func (sv *Server) Place(ctx context.Context, ask Ask) Answer {
	answered, answer := sv.submit(ask)
	if answered == nil {
		return answer
	}
	select {
	case answer := <-answered:
		return answer
	default:
	}
	wait, sub := timer.Wait(sv.clock, answerWithin)
	defer sub.Stop()
	select {
	case answer := <-answered:
		return answer
	case <-wait:
	case <-ctx.Done():
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if dp, ok := sv.services[ask.Service]; ok && dp.waiters[ask.ID] == answered {
		delete(dp.waiters, ask.ID)
	}
	select {
	case answer := <-answered:
		return answer
	default:
		return Answer{}
	}
}

// submit passes an Ask to its dispatcher and returns a channel for the answer, or the answer.
func (sv *Server) submit(ask Ask) (chan Answer, Answer) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	convicted, suspected := sv.convictions.Convicted(ask.Fingerprint)
	if convicted {
		sv.metrics.Counter("convicted_refused").Inc(1)
		oc := outcome.Refuse(outcome.Quarantined, "the request has crashed engines and is not run again")
		return nil, Answer{Refusal: &oc}
	}
	ask.Alone = suspected
	dp := sv.dispatcherOf(now, ask.Service)
	answered := make(chan Answer, 1)
	dp.waiters[ask.ID] = answered
	dp.asks[ask.ID] = ask
	sv.apply(dp, dp.machine.Step(now, batch.Submit{Request: ask.Request}))
	if dp.machine.Waiting() > 0 {
		sv.wakeUp()
	}
	return answered, Answer{}
}

// wakeUp has the next tick come at once.
func (sv *Server) wakeUp() {
	select {
	case sv.wake <- struct{}{}:
	default:
	}
}

// apply passes the effects of a step to those who wait for them.
func (sv *Server) apply(dp *dispatcher, effects []batch.Effect) {
	for _, ef := range effects {
		answer := Answer{}
		switch ef.Kind {
		case batch.Granted:
			grant := ef.Grant
			answer.Grant = &grant
			sv.metrics.Counter("grants").Inc(1)
		case batch.Refused:
			oc := ef.Outcome
			answer.Refusal = &oc
			sv.metrics.Tagged(map[string]string{"reason": string(oc.Reason)}).Counter("dispatch_refused").Inc(1)
		}
		delete(dp.asks, ef.Request)
		if waiter, ok := dp.waiters[ef.Request]; ok {
			delete(dp.waiters, ef.Request)
			waiter <- answer
		}
	}
}

// Progress takes an entry host's report.
func (sv *Server) Progress(rp Report) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	for _, hd := range rp.Held {
		dp := sv.dispatcherOf(now, hd.Ask.Service)
		sv.apply(dp, dp.machine.Step(now, batch.Hold{Request: hd.Ask.Request, Grant: hd.Grant, Started: hd.Started}))
	}
	for _, st := range rp.Started {
		dp := sv.dispatcherOf(now, st.Service)
		sv.apply(dp, dp.machine.Step(now, batch.Started{Attempt: st.Attempt}))
	}
	for _, en := range rp.Ended {
		sv.ended(now, en)
	}
}

func (sv *Server) ended(now time.Time, en Ended) {
	dp := sv.dispatcherOf(now, en.Service)
	if en.Withdrawn {
		delete(dp.waiters, en.Request)
		delete(dp.asks, en.Request)
		sv.apply(dp, dp.machine.Step(now, batch.Withdraw{Request: en.Request}))
		return
	}
	if en.Fingerprint != 0 {
		sv.convictions.Crashed(en.Fingerprint)
	}
	sv.apply(dp, dp.machine.Step(now, batch.Finish{Attempt: en.Attempt, Failed: en.Failed, Fault: en.Fault}))
}

// Status describes a dispatcher of this host.
type Status struct {
	Service id.Service
	Waiting int
	Granted int
}

// Status returns the dispatchers of this host.
func (sv *Server) Status() []Status {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	var statuses []Status
	for name, dp := range sv.services {
		statuses = append(statuses, Status{Service: name, Waiting: dp.machine.Waiting(), Granted: dp.machine.Granted()})
	}
	return statuses
}
