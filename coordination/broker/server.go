package broker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Quarantine knows the contents that crash engines.
type Quarantine interface {
	// Decide says how a content may run now, and how long that holds if it may not.
	Decide(fp id.Fingerprint) (quarantine.Decision, time.Duration)
	// LearnEvidence takes evidence that a host tells the dispatcher only.
	LearnEvidence(ev quarantine.Evidence)
}

// Server runs the dispatchers of the services that this host is asked for.
type Server struct {
	config     batch.Config
	clock      timer.Service
	fleet      Fleet
	peers      Peers
	quarantine Quarantine
	metrics    tally.Scope
	logger     *slog.Logger
	seed       uint64
	group      tasks.Group

	wake     chan struct{}
	mutex    sync.Mutex
	services map[id.Service]*dispatcher
	leaving  bool
}

// dispatcher is one service's machine with the hosts that wait for it.
type dispatcher struct {
	service id.Service
	machine *batch.Machine
	waiters map[id.Request]id.Host
	used    time.Time
}

// NewServer returns a server without dispatchers.
func NewServer(config batch.Config, clock timer.Service, fleet Fleet, peers Peers, qr Quarantine, metrics tally.Scope, logger *slog.Logger, seed uint64) *Server {
	return &Server{
		config:     config,
		clock:      clock,
		fleet:      fleet,
		peers:      peers,
		quarantine: qr,
		metrics:    metrics,
		logger:     logger,
		seed:       seed,
		wake:       make(chan struct{}, 1),
		services:   map[id.Service]*dispatcher{},
	}
}

// Periods between ticks: while requests wait, while there are dispatchers, and while there are none.
const (
	waitingTick = 10 * time.Millisecond
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
	sv.group.Wait()
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
		dp = &dispatcher{service: name, machine: batch.New(sv.config, sv.seed), waiters: map[id.Request]id.Host{}}
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
	engine, ok := sv.fleet.EngineProfile(name)
	if ok {
		sv.apply(dp, dp.machine.Step(now, batch.SetEngineProfile{Profile: engine}))
	}
	sv.apply(dp, dp.machine.Step(now, batch.SetEngines{Engines: sv.fleet.Engines(name)}))
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

// errUninformed has an asking host turn to the next dispatcher.
var errUninformed = errors.New("the host does not know the engines yet")

// errLeaving has an asking host turn to the next dispatcher.
var errLeaving = errors.New("the host is leaving")

// Leave gives out no further place: hosts tell the next dispatcher of what they hold, and this one no more. Those whose
// requests wait here ask that one at once.
func (sv *Server) Leave() {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.leaving = true
	now := sv.clock.Now()
	for _, dp := range sv.services {
		sv.logger.Info("dispatcher leaves", "service", string(dp.service), "waiting", dp.machine.Waiting(), "granted", dp.machine.Granted())
		for rq, host := range dp.waiters {
			// Nothing is placed by what becomes free meanwhile: no effect is applied.
			dp.machine.Step(now, batch.Withdraw{Request: rq})
			sv.group.Go(func() { sv.give(dp.service, host, rq, GrantResponse{}) })
		}
		clear(dp.waiters)
	}
}

// RequestGrant answers an Ask at once; the answer to a request that has to wait is given to its host later. It returns an error
// while the host has just started and knows no engines: what it does not know it must not refuse.
func (sv *Server) RequestGrant(ask GrantRequest) (GrantResponse, error) {
	if !sv.fleet.EnginesKnown() {
		return GrantResponse{}, errUninformed
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if sv.leaving {
		return GrantResponse{}, errLeaving
	}
	now := sv.clock.Now()
	decision, wait := sv.quarantine.Decide(ask.ContentFingerprint)
	if oc, barred := quarantine.RefusalOutcome(decision, wait); barred {
		sv.metrics.Counter("quarantine_refused").Inc(1)
		return GrantResponse{Refusal: &oc}, nil
	}
	ask.RunAlone = ask.RunAlone || decision == quarantine.RunAlone
	dp := sv.dispatcherOf(now, ask.Service)
	delete(dp.waiters, ask.ID)
	var answer GrantResponse
	var others []batch.Effect
	for _, ef := range dp.machine.Step(now, batch.Submit{Request: ask.Request}) {
		if ef.Request == ask.ID {
			answer = sv.answerOf(dp, ef)
			continue
		}
		others = append(others, ef)
	}
	sv.apply(dp, others)
	if answer.Grant == nil && answer.Refusal == nil {
		dp.waiters[ask.ID] = ask.Host
		sv.wakeUp()
	}
	return answer, nil
}

// wakeUp has the next tick come at once.
func (sv *Server) wakeUp() {
	select {
	case sv.wake <- struct{}{}:
	default:
	}
}

// answerOf turns an effect into an answer and logs the decision with what is waiting and running beside it.
func (sv *Server) answerOf(dp *dispatcher, ef batch.Effect) GrantResponse {
	switch ef.Kind {
	case batch.Granted:
		sv.metrics.Counter("grants").Inc(1)
		grant := ef.Grant
		sv.logger.Info("place given", "place", string(ef.Request), "service", string(dp.service), "attempt", string(grant.Attempt),
			"engines", len(grant.Parts), "predicted_ms", grant.PredictedFirstEvent.Milliseconds(), "waiting", dp.machine.Waiting(),
			"granted", dp.machine.Granted(), "list_age_ms", sv.fleet.ListAge().Milliseconds())
		return GrantResponse{Grant: &grant}
	case batch.Refused:
		oc := ef.Outcome
		sv.logger.Info("place refused", "place", string(ef.Request), "service", string(dp.service), "reason", string(oc.Reason),
			"detail", oc.Detail, "retry_after_ms", oc.RetryAfter.Milliseconds(), "waiting", dp.machine.Waiting(),
			"granted", dp.machine.Granted(), "list_age_ms", sv.fleet.ListAge().Milliseconds())
		sv.metrics.Tagged(map[string]string{"reason": string(oc.Reason)}).Counter("dispatch_refused").Inc(1)
		return GrantResponse{Refusal: &oc}
	default:
		return GrantResponse{}
	}
}

// apply gives the answers of a step to the hosts that wait for them.
func (sv *Server) apply(dp *dispatcher, effects []batch.Effect) {
	for _, ef := range effects {
		answer := sv.answerOf(dp, ef)
		host, waits := dp.waiters[ef.Request]
		if !waits {
			continue
		}
		delete(dp.waiters, ef.Request)
		sv.group.Go(func() { sv.give(dp.service, host, ef.Request, answer) })
	}
}

// giveTimeout bounds the call that gives an answer; a host that does not take it asks again.
const giveTimeout = 500 * time.Millisecond

// give passes an answer to the host that waits for it; an empty one has it ask again. A grant that nobody takes is ended.
func (sv *Server) give(service id.Service, host id.Host, rq id.Request, answer GrantResponse) {
	ctx, cancel := context.WithTimeout(context.Background(), giveTimeout)
	defer cancel()
	accepted, err := sv.peers.DeliverResponse(ctx, host, rq, answer)
	if err != nil {
		sv.metrics.Counter("answers_not_given").Inc(1)
		sv.logger.Warn("answer not given", "host", string(host), "place", string(rq), "error", err.Error())
	}
	if answer.Grant != nil && (err != nil || !accepted) {
		sv.HandleReport(Report{EndedGrants: []EndedGrant{{Service: service, Request: rq, Attempt: answer.Grant.Attempt}}})
	}
}

// HandleReport takes an entry host's report.
func (sv *Server) HandleReport(rp Report) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	for _, hd := range rp.HeldGrants {
		dp := sv.dispatcherOf(now, hd.GrantRequest.Service)
		sv.apply(dp, dp.machine.Step(now, batch.RenewGrant{Request: hd.GrantRequest.Request, Grant: hd.Grant, Started: hd.Started}))
	}
	for _, st := range rp.StartedAttempts {
		dp := sv.dispatcherOf(now, st.Service)
		sv.apply(dp, dp.machine.Step(now, batch.AttemptStarted{Attempt: st.Attempt}))
	}
	for _, en := range rp.EndedGrants {
		sv.ended(now, en)
	}
	for _, ev := range rp.Evidence {
		sv.quarantine.LearnEvidence(ev)
	}
}

func (sv *Server) ended(now time.Time, en EndedGrant) {
	dp := sv.dispatcherOf(now, en.Service)
	if en.Withdrawn {
		delete(dp.waiters, en.Request)
		sv.apply(dp, dp.machine.Step(now, batch.Withdraw{Request: en.Request}))
		return
	}
	sv.apply(dp, dp.machine.Step(now, batch.FinishAttempt{Attempt: en.Attempt, FailedEngine: en.FailedEngine, Fault: en.Fault, RetryAfter: en.RetryAfter}))
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
