package shard

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// ServerConfig sets the periods of a host's dispatchers.
type ServerConfig struct {
	Dispatch dispatch.Config
	// PollPeriod is the time between load reports of an engine.
	PollPeriod time.Duration
	// ListPeriod is the time between comparisons of engines' attempts with grants, and reads of cache events.
	ListPeriod time.Duration
	// CallTimeout bounds a call to an engine.
	CallTimeout time.Duration
	// MaxResponseDelay is the longest time that an Ask is held before it is answered Queued.
	MaxResponseDelay time.Duration
	// DispatcherIdleTimeout is how long a dispatcher that nobody asks is kept.
	DispatcherIdleTimeout time.Duration
	// MaxPollFailures is the number of unanswered polls after which an engine counts as lost.
	MaxPollFailures int
	// QuarantineTTL is how long fingerprints of requests that crash engines are kept.
	QuarantineTTL time.Duration
}

// DefaultServerConfig returns the periods that hosts use.
func DefaultServerConfig() ServerConfig {
	return ServerConfig{
		Dispatch:      dispatch.DefaultConfig(),
		PollPeriod:    time.Second,
		ListPeriod:    2 * time.Second,
		CallTimeout:   time.Second,
		MaxResponseDelay:  500 * time.Millisecond,
		DispatcherIdleTimeout:     10 * time.Second,
		MaxPollFailures:     3,
		QuarantineTTL: time.Hour,
	}
}

// Server runs the dispatchers of the shards that this host is asked for.
type Server struct {
	config  ServerConfig
	clock   timer.Service
	engines EngineClient
	fleet   Fleet
	metrics tally.Scope
	seed    uint64
	// onEvidence is called with evidence that is new, and what else is known of the content.
	onEvidence func(ev quarantine.Evidence, all []quarantine.Evidence)

	wake       chan struct{}
	mutex      sync.Mutex
	shards     map[id.Shard]*dispatcher
	quarantine *quarantine.Table
	canceller  *canceller
}

// NewServer returns a server without dispatchers.
func NewServer(config ServerConfig, clock timer.Service, engines EngineClient, holders GrantHolders, fl Fleet, metrics tally.Scope, seed uint64, onEvidence func(quarantine.Evidence, []quarantine.Evidence)) *Server {
	return &Server{
		config:     config,
		clock:      clock,
		engines:    engines,
		fleet:      fl,
		metrics:    metrics,
		seed:       seed,
		onEvidence: onEvidence,
		wake:       make(chan struct{}, 1),
		shards:     map[id.Shard]*dispatcher{},
		quarantine: quarantine.New(quarantine.Config{CrashLimit: crashLimit, TTL: config.QuarantineTTL}),
		canceller:  newCanceller(engines, holders, clock, metrics),
	}
}

// crashLimit is the number of crashes after which a request is refused: a suspect runs alone, so that the second crash is its.
const crashLimit = 2

// Periods between ticks: while requests wait, while there are dispatchers, and while there are none.
const (
	waitingTick = 10 * time.Millisecond
	runningTick = 50 * time.Millisecond
	idleTick    = 500 * time.Millisecond
)

// Run keeps the dispatchers up to date until the context ends.
func (sv *Server) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait, sub := timer.Wait(sv.clock, sv.tick(ctx))
		select {
		case <-wait:
		case <-sv.wake:
		case <-ctx.Done():
		}
		sub.Stop()
	}
	sv.canceller.wait()
	return nil
}

// tick lets time pass in every dispatcher, starts polls that are due and returns when the next tick is due.
func (sv *Server) tick(ctx context.Context) time.Duration {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	next := idleTick
	for name, dp := range sv.shards {
		if now.Sub(dp.used) > sv.config.DispatcherIdleTimeout && dp.machine.Waiting() == 0 && dp.machine.Granted() == 0 {
			delete(sv.shards, name)
			continue
		}
		sv.apply(ctx, dp, dp.machine.Step(now, dispatch.Tick{}))
		sv.pollDue(ctx, now, dp)
		next = min(next, runningTick)
		if dp.machine.Waiting() > 0 {
			next = waitingTick
		}
	}
	return next
}

func (sv *Server) dispatcherOf(now time.Time, name id.Shard) *dispatcher {
	dp, ok := sv.shards[name]
	if !ok {
		dp = newDispatcher(name, dispatch.New(sv.config.Dispatch, sv.seed))
		sv.shards[name] = dp
		sv.wakeUp()
		sv.metrics.Counter("dispatcher_started").Inc(1)
	}
	dp.used = now
	return dp
}

// RequestGrant answers an Ask within the configured time.
func (sv *Server) RequestGrant(ctx context.Context, ask GrantRequest) GrantResponse {
	wait, sub := timer.Wait(sv.clock, sv.config.MaxResponseDelay)
	defer sub.Stop()
	// What a step sets off must not end with the request that caused the step.
	lasting := context.WithoutCancel(ctx)
	select {
	case <-sv.ready(lasting, ask.Shard):
	case <-wait:
		return GrantResponse{Queued: true}
	case <-ctx.Done():
		return GrantResponse{Queued: true}
	}
	answered, answer := sv.submit(lasting, ask)
	if answered == nil {
		return answer
	}
	select {
	case answer := <-answered:
		return answer
	case <-wait:
	case <-ctx.Done():
	}
	return sv.stopWaiting(ask, answered)
}

// ready returns a channel that is closed once the shard's engines have been asked for their load.
func (sv *Server) ready(ctx context.Context, name id.Shard) <-chan struct{} {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	dp := sv.dispatcherOf(now, name)
	if !dp.isReady {
		sv.pollDue(ctx, now, dp)
	}
	return dp.ready
}

// wakeUp has the next tick come at once.
func (sv *Server) wakeUp() {
	select {
	case sv.wake <- struct{}{}:
	default:
	}
}

// submit passes an Ask to its dispatcher and returns either a channel for the answer or the answer.
func (sv *Server) submit(ctx context.Context, ask GrantRequest) (chan GrantResponse, GrantResponse) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	dp := sv.dispatcherOf(now, ask.Shard)
	if !dp.machine.ServesModel(ask.Model) {
		oc := outcome.Refuse(outcome.NoCapacity, "no engine serves the model now").WithRetryAfter(sv.config.ListPeriod)
		return nil, GrantResponse{Refusal: &oc}
	}
	if !dp.asked[ask.ID] {
		switch decision := sv.quarantine.Decide(now, ask.Fingerprint); decision {
		case quarantine.Refuse, quarantine.Hold:
			sv.metrics.Counter("quarantine_refused").Inc(1)
			oc, _ := quarantine.RefusalOutcome(decision, sv.quarantine.DecisionExpiresIn(now, ask.Fingerprint))
			return nil, GrantResponse{Refusal: &oc}
		case quarantine.Wait:
			return nil, GrantResponse{Queued: true}
		case quarantine.RunAlone:
			ask.RunAlone = true
		case quarantine.Run:
		}
	}
	answered := make(chan GrantResponse, 1)
	dp.expect(ask, answered)
	sv.apply(ctx, dp, dp.machine.Step(now, dispatch.Submit{Request: ask.Request}))
	if dp.machine.Waiting() > 0 {
		sv.wakeUp()
	}
	return answered, GrantResponse{}
}

// stopWaiting returns an answer that arrived meanwhile, or Queued.
func (sv *Server) stopWaiting(ask GrantRequest, answered chan GrantResponse) GrantResponse {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if dp, ok := sv.shards[ask.Shard]; ok && dp.waiters[ask.ID] == answered {
		delete(dp.waiters, ask.ID)
	}
	select {
	case answer := <-answered:
		return answer
	default:
		return GrantResponse{Queued: true}
	}
}

// HandleReport takes an entry host's report of what it holds.
func (sv *Server) HandleReport(ctx context.Context, rp Report) ReportResponse {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	var loads ReportResponse
	touched := map[id.Shard]*dispatcher{}
	for _, hd := range rp.HeldGrants {
		dp := sv.dispatcherOf(now, hd.Shard)
		touched[hd.Shard] = dp
		if dp.preempted[hd.Grant.Attempt] {
			loads.RevokedAttempts = append(loads.RevokedAttempts, hd.Grant.Attempt)
			continue
		}
		if dp.running(hd.Grant.Attempt, hd.Fingerprint) {
			sv.quarantine.AttemptStarted(now, hd.Fingerprint)
		}
		sv.apply(ctx, dp, dp.machine.Step(now, dispatch.RenewGrant{Grant: hd.Grant, Organisation: hd.Organisation, Started: hd.Started}))
	}
	for _, en := range rp.EndedGrants {
		sv.ended(ctx, now, en)
	}
	for _, dp := range touched {
		loads.EngineLoads = append(loads.EngineLoads, dp.loads()...)
	}
	return loads
}

func (sv *Server) ended(ctx context.Context, now time.Time, en EndedGrant) {
	dp := sv.dispatcherOf(now, en.Shard)
	delete(dp.preempted, en.Attempt)
	if en.Withdrawn {
		dp.forget(en.Request)
		sv.apply(ctx, dp, dp.machine.Step(now, dispatch.Withdraw{Request: en.Request}))
	}
	if fp, ok := dp.fingerprints[en.Attempt]; ok {
		delete(dp.fingerprints, en.Attempt)
		if en.CrashedEngine != "" {
			// The attempt tells the crash from others: the engine may crash again under its name.
			sv.metrics.Counter("quarantine_suspicions").Inc(1)
			sv.found(now, quarantine.Evidence{Fingerprint: fp, Crash: quarantine.NewCrashID(string(en.CrashedEngine), string(en.Attempt)), Status: quarantine.Confirmed})
		}
		sv.quarantine.AttemptEnded(now, fp)
		if en.Completed {
			for _, ev := range sv.quarantine.RequestCompleted(now, fp) {
				sv.onEvidence(ev, sv.quarantine.EvidenceFor(fp))
			}
		}
	}
	sv.apply(ctx, dp, dp.machine.Step(now, dispatch.FinishAttempt{Attempt: en.Attempt}))
}

// found takes evidence of the own host and passes it on if it is new.
func (sv *Server) found(now time.Time, ev quarantine.Evidence) {
	if sv.quarantine.Learn(now, ev) {
		sv.onEvidence(ev, sv.quarantine.EvidenceFor(ev.Fingerprint))
	}
}

// Decide says how a content may run now, and how long that holds if it may not.
func (sv *Server) Decide(fp id.Fingerprint) (quarantine.Decision, time.Duration) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	return sv.quarantine.Decide(now, fp), sv.quarantine.DecisionExpiresIn(now, fp)
}

// LearnEvidence takes evidence that another host knows.
func (sv *Server) LearnEvidence(ev quarantine.Evidence) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.quarantine.Learn(sv.clock.Now(), ev)
}

// Status describes the dispatchers of this host.
func (sv *Server) Status() []Status {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	var statuses []Status
	for name, dp := range sv.shards {
		statuses = append(statuses, Status{
			Shard:   name,
			Waiting: dp.machine.Waiting(),
			Granted: dp.machine.Granted(),
			Engines: dp.machine.EngineStatuses(),
		})
	}
	return statuses
}

// Status is the state of one dispatcher.
type Status struct {
	Shard   id.Shard
	Waiting int
	Granted int
	Engines []dispatch.EngineStatus
}

// apply carries out the effects of a dispatcher's step.
func (sv *Server) apply(ctx context.Context, dp *dispatcher, effects []dispatch.Effect) {
	for _, ef := range effects {
		switch ef.Kind {
		case dispatch.Granted:
			grant := *ef.Grant
			if fp, first := dp.start(ef.Request, grant.Attempt); first {
				sv.quarantine.AttemptStarted(sv.clock.Now(), fp)
			}
			sv.metrics.Counter("grants").Inc(1)
			dp.answer(ef.Request, GrantResponse{Grant: &grant})
		case dispatch.Refused:
			oc := ef.Outcome
			sv.metrics.Tagged(map[string]string{"reason": string(oc.Reason)}).Counter("dispatch_refused").Inc(1)
			dp.answer(ef.Request, GrantResponse{Refusal: &oc})
		case dispatch.CancelAttempt:
			sv.metrics.Counter("attempts_cancelled").Inc(1)
			sv.canceller.cancel(ctx, ef.Address, ef.Attempt)
		case dispatch.Preempted:
			sv.metrics.Counter("attempts_preempted").Inc(1)
			dp.preempted[ef.Attempt] = true
		}
	}
}
