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

// ServerConfig holds the periods and limits of a host's dispatchers.
type ServerConfig struct {
	Dispatch dispatch.Config
	// PollPeriod is the time between two polls of an engine's load.
	PollPeriod time.Duration
	// FullPollPeriod is the time between two full polls, which also compare an engine's attempts with the grants and read
	// its cache events.
	FullPollPeriod time.Duration
	// PollTimeout bounds all calls of one poll of an engine.
	PollTimeout time.Duration
	// MaxResponseDelay is the longest time that RequestGrant waits for a decision before it responds Queued.
	MaxResponseDelay time.Duration
	// DispatcherIdleTimeout is how long a dispatcher without waiting requests and grants is retained after its last
	// use.
	DispatcherIdleTimeout time.Duration
	// MaxPollFailures is the number of consecutive failed polls after which an engine is treated as lost.
	MaxPollFailures int
	// QuarantineTTL is how long fingerprints of requests that crashed engines are retained.
	QuarantineTTL time.Duration
}

// DefaultServerConfig returns the configuration that hosts use.
func DefaultServerConfig() ServerConfig {
	return ServerConfig{
		Dispatch:              dispatch.DefaultConfig(),
		PollPeriod:            time.Second,
		FullPollPeriod:        2 * time.Second,
		PollTimeout:           time.Second,
		MaxResponseDelay:      500 * time.Millisecond,
		DispatcherIdleTimeout: 10 * time.Second,
		MaxPollFailures:       3,
		QuarantineTTL:         time.Hour,
	}
}

// Server runs the dispatchers of the shards for which hosts, the local one included, request grants from this host.
// It is safe for concurrent use.
type Server struct {
	config  ServerConfig
	clock   timer.Clock
	engines EngineClient
	fleet   Fleet
	metrics tally.Scope
	seed    uint64
	// onCrashEvidence is called with new evidence and all evidence known of the same content, while the mutex is held.
	onCrashEvidence func(evidence quarantine.Evidence, known []quarantine.Evidence)

	// wake makes Run start the next tick immediately.
	wake chan struct{}
	// mutex guards dispatchers, with everything in them, and quarantine.
	mutex       sync.Mutex
	dispatchers map[id.Shard]*shardDispatcher
	quarantine  *quarantine.Table
	canceller   *canceller
}

// NewServer returns a server without dispatchers. A dispatcher is started when it is first needed. The seed initializes
// the random choices of all dispatchers.
func NewServer(config ServerConfig, clock timer.Clock, engines EngineClient, holders GrantHolders, fl Fleet, metrics tally.Scope, seed uint64, onCrashEvidence func(quarantine.Evidence, []quarantine.Evidence)) *Server {
	return &Server{
		config:          config,
		clock:           clock,
		engines:         engines,
		fleet:           fl,
		metrics:         metrics,
		seed:            seed,
		onCrashEvidence: onCrashEvidence,
		wake:            make(chan struct{}, 1),
		dispatchers:     map[id.Shard]*shardDispatcher{},
		quarantine:      quarantine.New(quarantine.Config{CrashLimit: crashLimit, TTL: config.QuarantineTTL}),
		canceller:       newCanceller(engines, holders, clock, metrics),
	}
}

// crashLimit is the number of crashes after which a content is refused. The first crash may have been caused by another
// request on the same engine. After it the content runs alone, so a second crash must have been caused by the content.
const crashLimit = 2

const (
	// waitingTickPeriod is the time between ticks while requests wait.
	waitingTickPeriod = 10 * time.Millisecond
	// runningTickPeriod is the time between ticks while there are dispatchers but no waiting requests.
	runningTickPeriod = 50 * time.Millisecond
	// idleTickPeriod is the time between ticks while there are no dispatchers.
	idleTickPeriod = 500 * time.Millisecond
)

// Run advances the dispatchers periodically until the context ends, then waits for cancellations in progress.
func (sv *Server) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		tickDue, sub := timer.Wait(sv.clock, sv.tick(ctx))
		select {
		case <-tickDue:
		case <-sv.wake:
		case <-ctx.Done():
		}
		sub.Stop()
	}
	sv.canceller.wait()
	return nil
}

// tick advances every dispatcher to the current time, removes idle ones, starts polls that are due and returns the time
// until the next tick.
func (sv *Server) tick(ctx context.Context) time.Duration {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	next := idleTickPeriod
	for shard, dp := range sv.dispatchers {
		if now.Sub(dp.lastUsed) > sv.config.DispatcherIdleTimeout && dp.machine.Waiting() == 0 && dp.machine.Granted() == 0 {
			delete(sv.dispatchers, shard)
			continue
		}
		sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.Tick{}))
		sv.startDuePolls(ctx, now, dp)
		next = min(next, runningTickPeriod)
		if dp.machine.Waiting() > 0 {
			next = waitingTickPeriod
		}
	}
	return next
}

// dispatcherFor returns the dispatcher of a shard and starts it if there is none. The caller holds the mutex.
func (sv *Server) dispatcherFor(now time.Time, shard id.Shard) *shardDispatcher {
	dp, ok := sv.dispatchers[shard]
	if !ok {
		dp = newShardDispatcher(shard, dispatch.New(sv.config.Dispatch, sv.seed))
		sv.dispatchers[shard] = dp
		sv.triggerTick()
		sv.metrics.Counter("dispatcher_started").Inc(1)
	}
	dp.lastUsed = now
	return dp
}

// RequestGrant responds to a request within MaxResponseDelay. If there is no decision by then, or the context ends, it
// responds Queued and the request stays queued if it was submitted.
func (sv *Server) RequestGrant(ctx context.Context, request GrantRequest) GrantResponse {
	timeout, sub := timer.Wait(sv.clock, sv.config.MaxResponseDelay)
	defer sub.Stop()
	// Polls and cancellations that a step starts must not be cancelled together with the call that caused the step.
	detachedCtx := context.WithoutCancel(ctx)
	select {
	case <-sv.dispatcherReady(detachedCtx, request.Shard):
	case <-timeout:
		return GrantResponse{Queued: true}
	case <-ctx.Done():
		return GrantResponse{Queued: true}
	}
	responses, response := sv.submit(detachedCtx, request)
	if responses == nil {
		return response
	}
	select {
	case response := <-responses:
		return response
	case <-timeout:
	case <-ctx.Done():
	}
	return sv.finishWaiting(request, responses)
}

// dispatcherReady returns a channel that is closed once the shard's engines have been polled. It starts the polls if
// necessary.
func (sv *Server) dispatcherReady(ctx context.Context, shard id.Shard) <-chan struct{} {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	dp := sv.dispatcherFor(now, shard)
	if !dp.isReady {
		sv.startDuePolls(ctx, now, dp)
	}
	return dp.readySignal
}

// triggerTick makes Run start the next tick immediately.
func (sv *Server) triggerTick() {
	select {
	case sv.wake <- struct{}{}:
	default:
	}
}

// submit passes a request to its dispatcher and returns a channel for the response. If the response is known without a
// step of the dispatcher, submit returns a nil channel and the response. A request that has passed the quarantine is
// not checked again while it is queued, or if it has a grant already, whose response did not reach the entry host.
func (sv *Server) submit(ctx context.Context, request GrantRequest) (chan GrantResponse, GrantResponse) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	dp := sv.dispatcherFor(now, request.Shard)
	if !dp.machine.ServesModel(request.Model) {
		oc := outcome.Refuse(outcome.NoCapacity, "no engine serves the model now").WithRetryAfter(sv.config.FullPollPeriod)
		return nil, GrantResponse{Refusal: &oc}
	}
	if !dp.submitted[request.ID] && !dp.hasGrant(request) {
		switch decision := sv.quarantine.Decide(now, request.ContentFingerprint); decision {
		case quarantine.Refuse, quarantine.Hold:
			// Hold is a refusal too: it lasts until reported crashes are confirmed or their reports expire.
			sv.metrics.Counter("quarantine_refused").Inc(1)
			oc, _ := quarantine.RefusalOutcome(decision, sv.quarantine.DecisionExpiresIn(now, request.ContentFingerprint))
			return nil, GrantResponse{Refusal: &oc}
		case quarantine.Wait:
			// The request is not queued here; the entry host sends it again, and the quarantine decides again.
			return nil, GrantResponse{Queued: true}
		case quarantine.RunAlone:
			request.RunAlone = true
		case quarantine.Run:
		}
	}
	responses := make(chan GrantResponse, 1)
	dp.addWaiter(request, responses)
	sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.Submit{Request: request.Request}))
	if dp.machine.Waiting() > 0 {
		sv.triggerTick()
	}
	return responses, GrantResponse{}
}

// finishWaiting unregisters the channel of a request and returns the response that arrived in the meantime, or Queued
// if there is none.
func (sv *Server) finishWaiting(request GrantRequest, responses chan GrantResponse) GrantResponse {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if dp, ok := sv.dispatchers[request.Shard]; ok && dp.waiters[request.ID] == responses {
		delete(dp.waiters, request.ID)
	}
	select {
	case response := <-responses:
		return response
	default:
		return GrantResponse{Queued: true}
	}
}

// HandleReport updates the dispatchers from an entry host's report. It responds with the reported attempts whose grants
// were revoked and the engine loads of the shards with reported held grants.
func (sv *Server) HandleReport(ctx context.Context, report Report) ReportResponse {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	var response ReportResponse
	reportedDispatchers := map[id.Shard]*shardDispatcher{}
	for _, held := range report.HeldGrants {
		dp := sv.dispatcherFor(now, held.Shard)
		reportedDispatchers[held.Shard] = dp
		if dp.revokedAttempts[held.Grant.Attempt] {
			response.RevokedAttempts = append(response.RevokedAttempts, held.Grant.Attempt)
			continue
		}
		if dp.recordAttempt(held.Grant.Attempt, held.ContentFingerprint) {
			sv.quarantine.AttemptStarted(now, held.ContentFingerprint)
		}
		sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.RenewGrant{Grant: held.Grant, Organisation: held.Organisation, Started: held.Started}))
	}
	for _, ended := range report.EndedGrants {
		sv.handleEnded(ctx, now, ended)
	}
	for _, dp := range reportedDispatchers {
		response.EngineLoads = append(response.EngineLoads, dp.engineLoads()...)
	}
	return response
}

// handleEnded ends a grant or withdraws a request, and updates the quarantine if the attempt has run. The caller holds
// the mutex.
func (sv *Server) handleEnded(ctx context.Context, now time.Time, ended EndedGrant) {
	dp := sv.dispatcherFor(now, ended.Shard)
	delete(dp.revokedAttempts, ended.Attempt)
	if ended.Withdrawn {
		dp.removeRequest(ended.Request)
		sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.Withdraw{Request: ended.Request}))
	}
	if fingerprint, ok := dp.removeAttempt(ended.Attempt); ok {
		if ended.CrashedEngine != "" {
			// The attempt distinguishes this crash from others: the engine may crash again under the same name.
			sv.metrics.Counter("quarantine_suspicions").Inc(1)
			sv.addLocalCrashEvidence(now, quarantine.Evidence{Fingerprint: fingerprint, Crash: quarantine.NewCrashID(string(ended.CrashedEngine), string(ended.Attempt)), Status: quarantine.Confirmed})
		}
		sv.quarantine.AttemptEnded(now, fingerprint)
		if ended.Completed {
			for _, evidence := range sv.quarantine.RequestCompleted(now, fingerprint) {
				sv.onCrashEvidence(evidence, sv.quarantine.EvidenceFor(fingerprint))
			}
		}
	}
	if ended.CrashedEngine != "" {
		sv.holdCrashedEngine(ctx, now, dp, ended.CrashedEngine)
	}
	sv.applyEffects(ctx, dp, dp.machine.Step(now, dispatch.FinishAttempt{Attempt: ended.Attempt}))
}

// addLocalCrashEvidence records evidence that this host has found and passes it to onCrashEvidence if it is new. The
// caller holds the mutex.
func (sv *Server) addLocalCrashEvidence(now time.Time, evidence quarantine.Evidence) {
	if sv.quarantine.Learn(now, evidence) {
		sv.onCrashEvidence(evidence, sv.quarantine.EvidenceFor(evidence.Fingerprint))
	}
}

// QuarantineDecision returns whether a request with this content may run now, perhaps only alone, and otherwise after
// which time to retry.
func (sv *Server) QuarantineDecision(fingerprint id.Fingerprint) (quarantine.Decision, time.Duration) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	return sv.quarantine.Decide(now, fingerprint), sv.quarantine.DecisionExpiresIn(now, fingerprint)
}

// LearnReportedEvidence records evidence that another host has reported or stored.
func (sv *Server) LearnReportedEvidence(evidence quarantine.Evidence) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.quarantine.Learn(sv.clock.Now(), evidence)
}

// Status returns the state of every dispatcher on this host.
func (sv *Server) Status() []Status {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	var statuses []Status
	for shard, dp := range sv.dispatchers {
		statuses = append(statuses, Status{
			Shard:   shard,
			Waiting: dp.machine.Waiting(),
			Granted: dp.machine.Granted(),
			Engines: dp.machine.EngineStatuses(),
		})
	}
	return statuses
}

// Status is the state of one dispatcher.
type Status struct {
	Shard id.Shard
	// Waiting is the number of requests that wait for a grant.
	Waiting int
	// Granted is the number of grants that have not ended.
	Granted int
	Engines []dispatch.EngineStatus
}

// applyEffects carries out the effects of a dispatcher's step: it responds to requests, starts cancellations and
// records the attempts whose grants were revoked. The caller holds the mutex.
func (sv *Server) applyEffects(ctx context.Context, dp *shardDispatcher, effects []dispatch.Effect) {
	for _, effect := range effects {
		switch effect.Kind {
		case dispatch.Granted:
			grant := *effect.Grant
			if fingerprint, isNew := dp.recordGrantedAttempt(effect.Request, grant.Attempt); isNew {
				sv.quarantine.AttemptStarted(sv.clock.Now(), fingerprint)
			}
			sv.metrics.Counter("grants").Inc(1)
			dp.respond(effect.Request, GrantResponse{Grant: &grant})
		case dispatch.Refused:
			oc := effect.Outcome
			sv.metrics.Tagged(map[string]string{"reason": string(oc.Reason)}).Counter("dispatch_refused").Inc(1)
			dp.respond(effect.Request, GrantResponse{Refusal: &oc})
		case dispatch.CancelAttempt:
			sv.metrics.Counter("attempts_cancelled").Inc(1)
			if fingerprint, ok := dp.removeAttempt(effect.Attempt); ok {
				sv.quarantine.AttemptEnded(sv.clock.Now(), fingerprint)
			}
			sv.canceller.start(ctx, effect.Address, effect.Attempt)
		case dispatch.Preempted:
			sv.metrics.Counter("attempts_preempted").Inc(1)
			dp.revokedAttempts[effect.Attempt] = true
		}
	}
}
