package broker

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Quarantine decides about requests whose contents or parts of prompts may crash engines.
type Quarantine interface {
	// Judge returns whether a request with this content may run now, perhaps only alone or isolated.
	Judge(content quarantine.Content) quarantine.Verdict
	// PartsCompleted records that an engine of a service answered a prompt with the given parts without crashing. It
	// reports whether that cleared evidence.
	PartsCompleted(service id.Service, parts []id.PromptPart) bool
	// LearnReportedEvidence records evidence that an entry host has reported to the dispatcher on this host and not to
	// other hosts.
	LearnReportedEvidence(evidence quarantine.Evidence)
}

// Server runs the dispatchers of the services for which hosts, the local one included, request grants from this host.
// It is safe for concurrent use.
type Server struct {
	config            batch.Config
	clock             timer.Clock
	fleet             Fleet
	peers             Peers
	quarantine        Quarantine
	metrics           tally.Scope
	logger            *slog.Logger
	seed              uint64
	pendingDeliveries tasks.Group
	// evidenceChanged makes the next tick review the waiting requests.
	evidenceChanged atomic.Bool

	// startedAt is when this host started.
	startedAt time.Time

	// wake makes Run start the next tick immediately.
	wake chan struct{}
	// mutex guards the fields below and the dispatchers.
	mutex       sync.Mutex
	dispatchers map[id.Service]*serviceDispatcher
	// leaving is set by Leave and never reset.
	leaving bool
}

// serviceDispatcher is the state machine of one service, with the entry hosts whose requests are queued in it.
// The server's mutex guards it.
type serviceDispatcher struct {
	service id.Service
	machine *batch.Machine
	waiting map[id.Request]waitingRequest
	// lastUsed is when a host last sent a request or a report.
	lastUsed  time.Time
	knowledge knowledge
}

// waitingRequest is a request that waits for a grant.
type waitingRequest struct {
	host    id.Host
	content quarantine.Content
	// askedToRunAlone says that the entry host asked for the request to run alone. isolation is how it is to run now.
	askedToRunAlone bool
	isolation       batch.ReviewedRequest
}

// NewServer returns a server without dispatchers. A dispatcher is started when it is first needed. The seed initializes
// the random choices of all dispatchers.
func NewServer(config batch.Config, clock timer.Clock, fleet Fleet, peers Peers, qr Quarantine, metrics tally.Scope, logger *slog.Logger, seed uint64) *Server {
	return &Server{
		config:      config,
		clock:       clock,
		fleet:       fleet,
		peers:       peers,
		quarantine:  qr,
		metrics:     metrics,
		logger:      logger,
		seed:        seed,
		startedAt:   clock.Now(),
		wake:        make(chan struct{}, 1),
		dispatchers: map[id.Service]*serviceDispatcher{},
	}
}

const (
	// waitingTickPeriod is the time between ticks while requests wait.
	waitingTickPeriod = 10 * time.Millisecond
	// runningTickPeriod is the time between ticks while there are dispatchers but no waiting requests.
	runningTickPeriod = 200 * time.Millisecond
	// idleTickPeriod is the time between ticks while there are no dispatchers.
	idleTickPeriod = time.Second
	// dispatcherIdleTimeout is how long a dispatcher without waiting requests and grants is retained after its last
	// use.
	dispatcherIdleTimeout = 10 * time.Second
)

// Run advances the dispatchers periodically until the context ends, then waits for deliveries in flight.
func (sv *Server) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		tickDue, sub := timer.Wait(sv.clock, sv.tick())
		select {
		case <-tickDue:
		case <-sv.wake:
		case <-ctx.Done():
		}
		sub.Stop()
	}
	sv.pendingDeliveries.Wait()
	return nil
}

// tick advances every dispatcher to the current time, removes idle ones and returns the time until the next tick.
func (sv *Server) tick() time.Duration {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	if sv.evidenceChanged.Swap(false) {
		sv.reviewWaiting(now)
	}
	next := idleTickPeriod
	for service, dp := range sv.dispatchers {
		if now.Sub(dp.lastUsed) > dispatcherIdleTimeout && dp.machine.Waiting() == 0 && dp.machine.Granted() == 0 {
			delete(sv.dispatchers, service)
			sv.logger.Info("dispatcher stopped", "service", string(service))
			continue
		}
		sv.checkContact(now, dp)
		sv.applyEffects(dp, dp.machine.Step(now, batch.Tick{}))
		next = min(next, runningTickPeriod)
		if dp.machine.Waiting() > 0 {
			next = waitingTickPeriod
		}
	}
	return next
}

// dispatcherFor returns the dispatcher of a service and starts it if there is none. The caller holds the mutex.
func (sv *Server) dispatcherFor(now time.Time, service id.Service) *serviceDispatcher {
	dp, ok := sv.dispatchers[service]
	if !ok {
		dp = &serviceDispatcher{service: service, machine: batch.New(sv.config, sv.seed), waiting: map[id.Request]waitingRequest{}}
		sv.dispatchers[service] = dp
		sv.refreshDispatcher(now, service, dp)
		sv.metrics.Counter("dispatchers_started").Inc(1)
		sv.logger.Info("dispatcher started", "service", string(service))
	}
	dp.lastUsed = now
	return dp
}

// refreshDispatcher passes the current engine profile and engines of the service to its dispatcher. The caller holds
// the mutex.
func (sv *Server) refreshDispatcher(now time.Time, service id.Service, dp *serviceDispatcher) {
	profile, ok := sv.fleet.EngineProfile(service)
	if ok {
		sv.applyEffects(dp, dp.machine.Step(now, batch.SetEngineProfile{Profile: profile}))
	}
	engines := sv.fleet.Engines(service)
	leads := sv.peers.LeadsService(service)
	for ix := range engines {
		engines[ix].CountedElsewhere = !leads
	}
	sv.applyEffects(dp, dp.machine.Step(now, batch.SetEngines{Engines: engines}))
}

// Refresh passes the current engine profiles and lists of engines to all dispatchers. It is called when either changes,
// when a request limit of an engine changes, and when the first dispatcher of a service may have changed.
func (sv *Server) Refresh() {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	for service, dp := range sv.dispatchers {
		sv.refreshDispatcher(now, service, dp)
	}
}

// errEnginesUnknown makes the requesting host fail over to the next dispatcher.
var errEnginesUnknown = errors.New("the host does not know the engines yet")

// errLeaving makes the requesting host fail over to the next dispatcher.
var errLeaving = errors.New("the host is leaving")

// Leave stops issuing grants: from now on entry hosts report their held grants to the next dispatcher and no longer to
// this one. Hosts whose requests wait here are notified to send them to the next dispatcher immediately.
func (sv *Server) Leave() {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.leaving = true
	now := sv.clock.Now()
	for _, dp := range sv.dispatchers {
		sv.logger.Info("dispatcher stops issuing grants because its host is leaving", "service", string(dp.service), "waiting", dp.machine.Waiting(), "granted", dp.machine.Granted())
		for requestID, waiting := range dp.waiting {
			// The step may grant other requests that wait. Those grants are not delivered, because this host no longer issues
			// grants.
			dp.machine.Step(now, batch.Withdraw{Request: requestID})
			sv.pendingDeliveries.Go(func() { sv.deliverResponse(dp.service, waiting.host, requestID, GrantResponse{}) })
		}
		clear(dp.waiting)
	}
}

// RequestGrant responds to a request immediately. If the request has to wait, the response is empty and the final one
// is delivered to the entry host later. RequestGrant returns an error if this host is leaving, or has just started and
// doesn't know the engines yet: it must not refuse a request for lack of information.
func (sv *Server) RequestGrant(request GrantRequest) (GrantResponse, error) {
	if !sv.fleet.EnginesKnown() {
		return GrantResponse{}, errEnginesUnknown
	}
	// Learning a limit refreshes the dispatchers, which locks the mutex.
	sv.fleet.LearnRequestLimits(request.Host, request.RequestLimits)
	for _, evidence := range request.Evidence {
		sv.quarantine.LearnReportedEvidence(evidence)
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	switch {
	case sv.leaving:
		return GrantResponse{}, errLeaving
	case sv.hasJustReturned(now, request.Service):
		return GrantResponse{}, errReturned
	}
	if len(request.Evidence) > 0 {
		sv.reviewWaiting(now)
	}
	waiting := waitingRequest{
		host: request.Host, askedToRunAlone: request.RunAlone,
		content: quarantine.Content{Fingerprint: request.ContentFingerprint, PromptParts: request.PromptParts},
	}
	refusal, barred := waiting.judge(sv.quarantine, request.ID)
	if barred {
		sv.metrics.Counter("quarantine_refused").Inc(1)
		return GrantResponse{Refusal: &refusal}, nil
	}
	request.RunAlone, request.SuspectParts, request.Exclusive = waiting.isolation.RunAlone, waiting.isolation.SuspectParts, waiting.isolation.Exclusive
	dp := sv.dispatcherFor(now, request.Service)
	sv.noteContact(now, dp, request.Host)
	sv.prepare(now, dp)
	delete(dp.waiting, request.ID)
	var response GrantResponse
	var otherEffects []batch.Effect
	for _, effect := range dp.machine.Step(now, batch.Submit{Request: request.Request}) {
		if effect.Request == request.ID {
			response = sv.responseFor(dp, effect)
			continue
		}
		otherEffects = append(otherEffects, effect)
	}
	sv.applyEffects(dp, otherEffects)
	if response.Grant == nil && response.Refusal == nil {
		dp.waiting[request.ID] = waiting
		sv.triggerTick()
	}
	return response, nil
}

// triggerTick makes Run start the next tick immediately.
func (sv *Server) triggerTick() {
	select {
	case sv.wake <- struct{}{}:
	default:
	}
}

// responseFor converts an effect into a response, and logs the decision with the numbers of waiting requests and
// grants.
func (sv *Server) responseFor(dp *serviceDispatcher, effect batch.Effect) GrantResponse {
	switch effect.Kind {
	case batch.Granted:
		sv.metrics.Counter("grants").Inc(1)
		grant := effect.Grant
		sv.logger.Info("place given", "place", string(effect.Request), "service", string(dp.service), "attempt", string(grant.Attempt),
			"engines", len(grant.Parts), "predicted_ms", grant.PredictedFirstEvent.Milliseconds(), "waiting", dp.machine.Waiting(),
			"granted", dp.machine.Granted(), "list_age_ms", sv.fleet.ListAge().Milliseconds())
		return GrantResponse{Grant: &grant}
	case batch.Refused:
		oc := effect.Outcome
		sv.logger.Info("place refused", "place", string(effect.Request), "service", string(dp.service), "reason", string(oc.Reason),
			"detail", oc.Detail, "retry_after_ms", oc.RetryAfter.Milliseconds(), "waiting", dp.machine.Waiting(),
			"granted", dp.machine.Granted(), "list_age_ms", sv.fleet.ListAge().Milliseconds())
		sv.metrics.Tagged(map[string]string{"reason": string(oc.Reason)}).Counter("dispatch_refused").Inc(1)
		return GrantResponse{Refusal: &oc}
	default:
		return GrantResponse{}
	}
}

// applyEffects delivers the responses that result from a step to the entry hosts that wait for them, in the background.
// The caller holds the mutex.
func (sv *Server) applyEffects(dp *serviceDispatcher, effects []batch.Effect) {
	for _, effect := range effects {
		response := sv.responseFor(dp, effect)
		waiting, isWaiting := dp.waiting[effect.Request]
		if !isWaiting {
			continue
		}
		delete(dp.waiting, effect.Request)
		sv.pendingDeliveries.Go(func() { sv.deliverResponse(dp.service, waiting.host, effect.Request, response) })
	}
}

// deliveryTimeout bounds the call that delivers a response. A host that doesn't receive it sends its request again.
const deliveryTimeout = 500 * time.Millisecond

// deliverResponse passes a response to the entry host that waits for it; an empty response makes the host send its
// request again. A grant that the host doesn't accept is ended, so that its capacity becomes free.
func (sv *Server) deliverResponse(service id.Service, host id.Host, requestID id.Request, response GrantResponse) {
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancel()
	accepted, err := sv.peers.DeliverResponse(ctx, host, requestID, response)
	if err != nil {
		sv.metrics.Counter("answers_not_given").Inc(1)
		sv.logger.Warn("answer not given", "host", string(host), "place", string(requestID), "error", err.Error())
	}
	if response.Grant != nil && (err != nil || !accepted) {
		sv.applyReport(Report{EndedGrants: []EndedGrant{{Service: service, Request: requestID, Attempt: response.Grant.Attempt}}})
	}
}

// HandleReport updates the dispatchers from an entry host's report. It returns an error if the report has to go to another
// host.
func (sv *Server) HandleReport(report Report) error {
	if sv.isForOther(report) {
		return errReturned
	}
	sv.applyReport(report)
	return nil
}

// applyReport updates the dispatchers from a report. What it says of crashes and of prompts that were answered comes before
// the ends of grants, so that an engine that becomes free gets the right request next.
func (sv *Server) applyReport(report Report) {
	for _, evidence := range report.Evidence {
		sv.quarantine.LearnReportedEvidence(evidence)
	}
	cleared := false
	for _, prompt := range sv.applyHeldAndStarted(report) {
		cleared = sv.quarantine.PartsCompleted(prompt.service, prompt.parts) || cleared
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	if cleared {
		sv.reviewWaiting(now)
	}
	for _, ended := range report.EndedGrants {
		sv.handleEnded(now, ended)
	}
}

// answeredPrompt is the prompt of an attempt that ends after its answer has begun, without a fault of its engine.
type answeredPrompt struct {
	service id.Service
	parts   []id.PromptPart
}

// applyHeldAndStarted passes the held grants and started attempts of a report on to the dispatchers, after a review of
// the waiting requests if the report has evidence. It returns the prompts of the attempts that end with this report and
// were answered.
func (sv *Server) applyHeldAndStarted(report Report) []answeredPrompt {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	if len(report.Evidence) > 0 {
		sv.reviewWaiting(now)
	}
	for _, held := range report.HeldGrants {
		dp := sv.dispatcherFor(now, held.GrantRequest.Service)
		sv.noteContact(now, dp, report.Host)
		sv.applyEffects(dp, dp.machine.Step(now, batch.RenewGrant{Request: held.GrantRequest.Request, Grant: held.Grant, Started: held.Started}))
	}
	for _, started := range report.StartedAttempts {
		dp := sv.dispatcherFor(now, started.Service)
		sv.noteContact(now, dp, report.Host)
		sv.applyEffects(dp, dp.machine.Step(now, batch.AttemptStarted{Attempt: started.Attempt}))
	}
	var answered []answeredPrompt
	for _, ended := range report.EndedGrants {
		if parts := sv.answeredParts(ended); len(parts) > 0 {
			answered = append(answered, answeredPrompt{ended.Service, parts})
		}
	}
	return answered
}

// answeredParts returns the parts of the prompt of an attempt that ends, if its answer had begun and its engine did not
// fail. The caller holds the mutex.
func (sv *Server) answeredParts(ended EndedGrant) []id.PromptPart {
	dp, ok := sv.dispatchers[ended.Service]
	if !ok || ended.Withdrawn || ended.FailedEngine != "" {
		return nil
	}
	request, started, ok := dp.machine.ActiveGrant(ended.Attempt)
	if !ok || !started {
		return nil
	}
	return request.PromptParts
}

// handleEnded ends a grant or withdraws a request. The caller holds the mutex.
func (sv *Server) handleEnded(now time.Time, ended EndedGrant) {
	dp := sv.dispatcherFor(now, ended.Service)
	if ended.Withdrawn {
		delete(dp.waiting, ended.Request)
		sv.applyEffects(dp, dp.machine.Step(now, batch.Withdraw{Request: ended.Request}))
		return
	}
	sv.applyEffects(dp, dp.machine.Step(now, batch.FinishAttempt{Attempt: ended.Attempt, FailedEngine: ended.FailedEngine, Fault: ended.Fault, RetryAfter: ended.RetryAfter}))
}

// Status is the state of one dispatcher.
type Status struct {
	Service id.Service
	// Waiting is the number of requests that wait for a grant.
	Waiting int
	// Granted is the number of grants that have not ended.
	Granted int
	// SingleFirstEventRatio and SharedFirstEventRatio are the running means of measured over predicted time to the first
	// event, of prompts that one engine reads and of those that several read.
	SingleFirstEventRatio float64
	SharedFirstEventRatio float64
}

// Status returns the state of every dispatcher on this host.
func (sv *Server) Status() []Status {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	var statuses []Status
	for service, dp := range sv.dispatchers {
		single, shared := dp.machine.FirstEventRatios()
		statuses = append(statuses, Status{Service: service, Waiting: dp.machine.Waiting(), Granted: dp.machine.Granted(), SingleFirstEventRatio: single, SharedFirstEventRatio: shared})
	}
	return statuses
}
