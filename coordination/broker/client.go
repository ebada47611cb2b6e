package broker

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// grantRequestTimeout bounds one call to a dispatcher, which responds without waiting for a free engine.
	grantRequestTimeout = 150 * time.Millisecond
	// grantRequestPeriod is the time after which a queued request is sent again, in order to detect that the dispatcher
	// has been lost.
	grantRequestPeriod = 400 * time.Millisecond
	// initialDispatcherBackoff is how long a dispatcher is skipped after a failed call. It doubles with each
	// consecutive failure, up to maxDispatcherBackoff.
	initialDispatcherBackoff = time.Second
	maxDispatcherBackoff     = 8 * time.Second
	// dispatcherWaitShare is the fraction of a request's first-event target after which the local host chooses the engines
	// itself, if calls to dispatchers have failed for that time and none has answered.
	dispatcherWaitShare = 0.7
	// refusalLead is how long before a client stops waiting its request is refused if no dispatcher has responded, so that the
	// client receives the refusal.
	refusalLead = 50 * time.Millisecond
	// reportDelay is how long started attempts, ended grants and evidence are batched before they are reported.
	reportDelay = 5 * time.Millisecond
	// heldReportPeriod is the time between reports of all held grants.
	heldReportPeriod = time.Second
	// reportTimeout bounds the call that sends one report.
	reportTimeout = 500 * time.Millisecond
	// maxUnreportedEnds bounds the memory of the queue of ended grants; the oldest ones are dropped.
	maxUnreportedEnds = 10_000
)

// Client requests grants from dispatchers on behalf of an entry host and reports the grants that the host holds.
// It is safe for concurrent use.
type Client struct {
	host    id.Host
	clock   timer.Clock
	peers   Peers
	metrics tally.Scope
	logger  *slog.Logger
	fleet   Fleet

	// mutex guards the fields below up to ownMachines.
	mutex      sync.Mutex
	heldGrants map[id.Attempt]*HeldGrant
	// waiters holds the requests that wait for a grant.
	waiters          map[id.Request]*waiter
	unreportedStarts []StartedAttempt
	unreportedEnds   []EndedGrant
	// evidenceBuffers holds the local host's evidence about crashes.
	evidenceBuffers map[id.Service]*evidenceBuffer
	// reportScheduled is set while a timer for flushReport is pending.
	reportScheduled    bool
	dispatcherBackoffs map[id.Host]*dispatcherBackoff
	// handOvers holds the report of held grants to the dispatcher last selected for each service.
	handOvers map[id.Service]*handOver
	// ownMachines holds the state machines with which this host chooses engines itself while no dispatcher can be reached.
	ownMachines  map[id.Service]*batch.Machine
	config       batch.Config
	seed         uint64
	pendingSends tasks.Group
	// hostsKnown is closed by SetHostsKnown. Acquire waits for it, because a host that knows no other host would select
	// itself as dispatcher.
	hostsKnown     chan struct{}
	hostsKnownOnce sync.Once
}

// waiter is a request that waits for a grant.
type waiter struct {
	service id.Service
	// attempt is the attempt that the request waits to make.
	attempt   id.Attempt
	responses chan GrantResponse
	// queuedAt is the dispatcher at which the request is queued; empty if it is at none. moved gets an element when another
	// dispatcher is selected meanwhile.
	queuedAt id.Host
	moved    chan struct{}
}

// dispatcherBackoff says how long to skip a dispatcher to which a call failed. A call also fails if the host answers
// that it is leaving or doesn't know the engines.
type dispatcherBackoff struct {
	// failures counts consecutive failures. Failures during the backoff aren't counted.
	failures int
	until    time.Time
}

// NewClient returns a client that holds no grants. Acquire blocks until SetHostsKnown is called. The seed initializes
// the random choices that are made without a dispatcher.
func NewClient(config batch.Config, host id.Host, clock timer.Clock, peers Peers, fleet Fleet, metrics tally.Scope, logger *slog.Logger, seed uint64) *Client {
	return &Client{
		config:             config,
		host:               host,
		clock:              clock,
		peers:              peers,
		fleet:              fleet,
		metrics:            metrics,
		logger:             logger,
		seed:               seed,
		heldGrants:         map[id.Attempt]*HeldGrant{},
		evidenceBuffers:    map[id.Service]*evidenceBuffer{},
		waiters:            map[id.Request]*waiter{},
		dispatcherBackoffs: map[id.Host]*dispatcherBackoff{},
		handOvers:          map[id.Service]*handOver{},
		ownMachines:        map[id.Service]*batch.Machine{},
		hostsKnown:         make(chan struct{}),
	}
}

// SetHostsKnown allows Acquire to proceed. It is called once this host knows the other hosts, or that there are none.
func (cl *Client) SetHostsKnown() { cl.hostsKnownOnce.Do(func() { close(cl.hostsKnown) }) }

// Run reports the held grants periodically until the context ends. Before it returns, it reports what has started and
// ended so far and waits for reports in flight.
func (cl *Client) Run(ctx context.Context) error {
	sub := timer.Every(cl.clock, heldReportPeriod, func() { cl.reportHeldGrants(ctx) })
	<-ctx.Done()
	sub.Stop()
	cl.flushReport()
	cl.pendingSends.Wait()
	return nil
}

// Acquire requests a grant and waits for it until the context ends or, as long as the client has received nothing, until
// shortly before the client stops waiting. It fails over to the next dispatcher in order when a call to a dispatcher
// fails, and chooses the engines itself if no dispatcher can be reached in time.
func (cl *Client) Acquire(ctx context.Context, request GrantRequest) (batch.Grant, outcome.Outcome) {
	request.Host = cl.host
	if request.AttemptNumber <= 1 || request.Unanswered {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.ArrivedAt.Add(request.WaitLimit-refusalLead).Sub(cl.clock.Now()))
		defer cancel()
	}
	wt := cl.addWaiter(request)
	defer cl.removeWaiter(request.ID)
	select {
	case <-cl.hostsKnown:
	case <-ctx.Done():
	}
	// failingSince is when the first of the calls began that have failed since a dispatcher last answered; zero if none has.
	var failingSince time.Time
	var lastDispatcher id.Host
	for ctx.Err() == nil {
		dispatcher, ok := cl.selectDispatcher(request.Service)
		if lastDispatcher != "" && lastDispatcher != dispatcher {
			cl.withdrawFrom(lastDispatcher, request)
		}
		lastDispatcher = dispatcher
		began := cl.clock.Now()
		if !ok || !failingSince.IsZero() && began.Sub(failingSince) > time.Duration(dispatcherWaitShare*float64(request.FirstEventTarget)) {
			return cl.chooseWithoutDispatcherWithRetry(ctx, request)
		}
		response, err := cl.requestGrant(ctx, dispatcher, request)
		if err != nil {
			if ctx.Err() == nil {
				if failingSince.IsZero() {
					failingSince = began
				}
				cl.backOff(dispatcher, err)
			}
			continue
		}
		failingSince = time.Time{}
		cl.clearBackoff(dispatcher)
		if response.Grant == nil && response.Refusal == nil {
			response = cl.awaitResponse(ctx, wt, dispatcher)
		}
		switch {
		case response.Refusal != nil:
			return batch.Grant{}, *response.Refusal
		case response.Grant != nil:
			cl.addHeldGrant(request, *response.Grant)
			return *response.Grant, outcome.Done()
		}
	}
	cl.queueEnded(EndedGrant{Service: request.Service, Request: request.ID, Withdrawn: true})
	return batch.Grant{}, outcome.Refuse(outcome.DeadlineExceeded, "the request found no engine in its time").WithRetryAfter(time.Second)
}

// requestGrant sends a request to a dispatcher, after the report of the grants that this host holds. Otherwise a new
// dispatcher could grant the request capacity that is in use.
func (cl *Client) requestGrant(ctx context.Context, dispatcher id.Host, request GrantRequest) (GrantResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, grantRequestTimeout)
	defer cancel()
	cl.mutex.Lock()
	ho := cl.handOvers[request.Service]
	cl.mutex.Unlock()
	if ho != nil && ho.dispatcher == dispatcher {
		select {
		case <-ho.ended:
		case <-ctx.Done():
			return GrantResponse{}, errors.Wrap(ctx.Err(), "report held grants")
		}
		if ho.err != nil {
			return GrantResponse{}, ho.err
		}
	}
	request.RequestLimits = cl.fleet.RequestLimits(request.Service)
	return cl.peers.RequestGrant(ctx, dispatcher, request)
}

// withdrawFrom withdraws a request from its previous dispatcher in the background. That dispatcher no longer receives
// reports of held grants, so it could grant the request capacity that is already in use.
func (cl *Client) withdrawFrom(dispatcher id.Host, request GrantRequest) {
	cl.pendingSends.Go(func() {
		_ = cl.sendReport(request.Service, dispatcher, Report{Host: cl.host, EndedGrants: []EndedGrant{{Service: request.Service, Request: request.ID, Withdrawn: true}}}, nil)
	})
}

// addWaiter registers a request, so that DeliverResponse passes on the response to it.
func (cl *Client) addWaiter(request GrantRequest) *waiter {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	wt := &waiter{service: request.Service, attempt: id.NewAttempt(request.ID, request.AttemptNumber), responses: make(chan GrantResponse, 1), moved: make(chan struct{}, 1)}
	cl.waiters[request.ID] = wt
	return wt
}

func (cl *Client) removeWaiter(requestID id.Request) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	delete(cl.waiters, requestID)
}

// awaitResponse returns the response that is delivered within grantRequestPeriod, or an empty one, also if another
// dispatcher is selected meanwhile.
func (cl *Client) awaitResponse(ctx context.Context, wt *waiter, dispatcher id.Host) GrantResponse {
	if !cl.setQueuedAt(wt, dispatcher) {
		return GrantResponse{}
	}
	defer cl.setQueuedAt(wt, "")
	timeout, sub := timer.Wait(cl.clock, grantRequestPeriod)
	defer sub.Stop()
	select {
	case response := <-wt.responses:
		return response
	case <-wt.moved:
	case <-timeout:
	case <-ctx.Done():
	}
	return GrantResponse{}
}

// DeliverResponse passes a dispatcher's response to the queued request and reports whether the request still waits. A request
// does not wait for the grant of an earlier attempt.
func (cl *Client) DeliverResponse(requestID id.Request, response GrantResponse) bool {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	wt, isWaiting := cl.waiters[requestID]
	if !isWaiting || response.Grant != nil && response.Grant.Attempt != wt.attempt {
		return false
	}
	select {
	case wt.responses <- response:
	default:
		// A response is already buffered; a dispatcher that responds again sends the same one.
	}
	return true
}

// selectDispatcher returns the first dispatcher of a service that is not backed off, or false if there is none. When
// the choice changes, it starts to report the held grants to the new dispatcher.
func (cl *Client) selectDispatcher(service id.Service) (id.Host, bool) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	now := cl.clock.Now()
	for _, dispatcher := range cl.peers.Dispatchers(service) {
		if backoff, backingOff := cl.dispatcherBackoffs[dispatcher]; backingOff && now.Before(backoff.until) {
			continue
		}
		if ho := cl.handOvers[service]; ho == nil || ho.dispatcher != dispatcher || ho.hasFailed() {
			cl.startHandOver(service, dispatcher)
			cl.moveQueued(service, dispatcher)
		}
		return dispatcher, true
	}
	return "", false
}

// HostsChanged is called when the live hosts change. It selects the dispatcher of every service with held grants again,
// so that a new dispatcher learns them even if this host requests nothing from it.
func (cl *Client) HostsChanged() {
	cl.mutex.Lock()
	services := map[id.Service]bool{}
	for _, held := range cl.heldGrants {
		services[held.GrantRequest.Service] = true
	}
	cl.mutex.Unlock()
	for service := range services {
		cl.selectDispatcher(service)
	}
}

// clearBackoff ends the backoff from a dispatcher that has answered.
func (cl *Client) clearBackoff(dispatcher id.Host) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	delete(cl.dispatcherBackoffs, dispatcher)
}

// backOff makes selectDispatcher skip a dispatcher whose call failed. Further failures during the backoff don't extend
// it: calls to the dispatcher may have been in flight when it began.
func (cl *Client) backOff(dispatcher id.Host, err error) {
	cl.metrics.Counter("dispatcher_unreachable").Inc(1)
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	now := cl.clock.Now()
	backoff, exists := cl.dispatcherBackoffs[dispatcher]
	if !exists {
		backoff = &dispatcherBackoff{}
		cl.dispatcherBackoffs[dispatcher] = backoff
	}
	if now.Before(backoff.until) {
		return
	}
	// The bound on the shift prevents overflow.
	backoff.until = now.Add(min(initialDispatcherBackoff<<min(backoff.failures, 4), maxDispatcherBackoff))
	backoff.failures++
	cl.logger.Warn("dispatcher unreachable", "dispatcher", string(dispatcher), "failures", backoff.failures, "error", err.Error())
}

// chooseWithoutDispatcherWithRetry calls chooseWithoutDispatcher every retryPeriod while the engines are overloaded,
// until the request's wait limit or the context ends.
func (cl *Client) chooseWithoutDispatcherWithRetry(ctx context.Context, request GrantRequest) (batch.Grant, outcome.Outcome) {
	const retryPeriod = 25 * time.Millisecond
	for {
		grant, oc := cl.chooseWithoutDispatcher(request)
		if oc.OK() || oc.Reason != outcome.Overloaded || cl.clock.Now().Sub(request.ArrivedAt)+retryPeriod > request.WaitLimit {
			return grant, oc
		}
		if !timer.Sleep(ctx, cl.clock, retryPeriod) {
			return grant, oc
		}
	}
}

// chooseWithoutDispatcher chooses the engines for a request itself, while no dispatcher can be reached. It takes only
// this host's grants into account, because the grants of other hosts aren't known here. For the same reason it chooses
// cautiously, and uses no engines with a request limit.
func (cl *Client) chooseWithoutDispatcher(request GrantRequest) (batch.Grant, outcome.Outcome) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	now := cl.clock.Now()
	machine, ok := cl.ownMachines[request.Service]
	if !ok {
		machine = batch.New(cl.config, cl.seed)
		cl.ownMachines[request.Service] = machine
	}
	if profile, hasEngines := cl.fleet.EngineProfile(request.Service); hasEngines {
		machine.Step(now, batch.SetEngineProfile{Profile: profile})
	}
	engines := cl.fleet.Engines(request.Service)
	for ix := range engines {
		engines[ix].CountedElsewhere = true
	}
	machine.Step(now, batch.SetEngines{Engines: engines})
	for _, held := range cl.heldGrants {
		if held.GrantRequest.Service == request.Service {
			machine.Step(now, batch.RenewGrant{Request: held.GrantRequest.Request, Grant: held.Grant, Started: held.Started})
		}
	}
	machine.Step(now, batch.TakeOver{CautiousUntil: now.Add(cautionPeriod)})
	cl.metrics.Counter("local_choices").Inc(1)
	for _, effect := range machine.Step(now, batch.Submit{Request: request.Request}) {
		if effect.Request != request.ID {
			continue
		}
		if effect.Kind == batch.Refused {
			return batch.Grant{}, effect.Outcome
		}
		cl.addHeldGrantLocked(request, effect.Grant)
		return effect.Grant, outcome.Done()
	}
	machine.Step(now, batch.Withdraw{Request: request.ID})
	return batch.Grant{}, outcome.Refuse(outcome.Overloaded, "no engine known to this host has room").WithRetryAfter(time.Second)
}

func (cl *Client) addHeldGrant(request GrantRequest, grant batch.Grant) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.addHeldGrantLocked(request, grant)
}

// addHeldGrantLocked is addHeldGrant for a caller that holds the mutex.
func (cl *Client) addHeldGrantLocked(request GrantRequest, grant batch.Grant) {
	cl.heldGrants[grant.Attempt] = &HeldGrant{GrantRequest: request, Grant: grant}
}

// ReportStarted queues a report that the first event of an attempt has arrived.
func (cl *Client) ReportStarted(attempt id.Attempt) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	held, ok := cl.heldGrants[attempt]
	if !ok || held.Started {
		return
	}
	held.Started = true
	cl.unreportedStarts = append(cl.unreportedStarts, StartedAttempt{Service: held.GrantRequest.Service, Attempt: attempt})
	cl.scheduleReport()
}

// ReportEnded drops the held grant of an attempt that has ended and queues a report of its end.
func (cl *Client) ReportEnded(ended EndedGrant) {
	cl.mutex.Lock()
	if held, ok := cl.heldGrants[ended.Attempt]; ok {
		ended.Service = held.GrantRequest.Service
		delete(cl.heldGrants, ended.Attempt)
	}
	for _, machine := range cl.ownMachines {
		machine.Step(cl.clock.Now(), batch.FinishAttempt{Attempt: ended.Attempt, FailedEngine: ended.FailedEngine, Fault: ended.Fault, RetryAfter: ended.RetryAfter})
	}
	cl.mutex.Unlock()
	cl.queueEnded(ended)
}

// queueEnded queues a report that a grant has ended or that a request was withdrawn.
func (cl *Client) queueEnded(ended EndedGrant) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.unreportedEnds = append(cl.unreportedEnds, ended)
	if len(cl.unreportedEnds) > maxUnreportedEnds {
		cl.unreportedEnds = cl.unreportedEnds[len(cl.unreportedEnds)-maxUnreportedEnds:]
	}
	cl.scheduleReport()
}

// scheduleReport schedules flushReport after reportDelay, unless it is already scheduled. The caller holds the mutex.
func (cl *Client) scheduleReport() {
	if cl.reportScheduled {
		return
	}
	cl.reportScheduled = true
	cl.clock.After(reportDelay, cl.flushReport)
}

// flushReport reports the attempts that have started and the grants that have ended since the last call, and
// undelivered evidence.
func (cl *Client) flushReport() {
	cl.mutex.Lock()
	started, ended := cl.unreportedStarts, cl.unreportedEnds
	cl.unreportedStarts, cl.unreportedEnds = nil, nil
	cl.reportScheduled = false
	cl.mutex.Unlock()
	cl.sendReports(started, ended, nil)
}

// ReportEvidence queues the local host's evidence about a crash for the dispatcher of a service. If another host
// becomes the dispatcher within evidenceTTL, that one receives it as well.
func (cl *Client) ReportEvidence(service id.Service, evidence quarantine.Evidence) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	buffer, ok := cl.evidenceBuffers[service]
	if !ok {
		buffer = &evidenceBuffer{}
		cl.evidenceBuffers[service] = buffer
	}
	buffer.add(cl.clock.Now(), evidence)
	cl.scheduleReport()
}

// reportHeldGrants reports all held grants, so that a dispatcher that has just taken over learns them. The context is
// not used, because the reports are sent in the background, each with its own timeout.
func (cl *Client) reportHeldGrants(context.Context) {
	cl.mutex.Lock()
	heldGrants := make([]HeldGrant, 0, len(cl.heldGrants))
	for _, grant := range cl.heldGrants {
		heldGrants = append(heldGrants, *grant)
	}
	cl.mutex.Unlock()
	cl.sendReports(nil, nil, heldGrants)
}

// sendReports groups the given items by service and sends each service's dispatcher its report in the background, with
// the evidence that the dispatcher has not received.
func (cl *Client) sendReports(startedAttempts []StartedAttempt, endedGrants []EndedGrant, heldGrants []HeldGrant) {
	reports := map[id.Service]*Report{}
	reportFor := func(service id.Service) *Report {
		report, ok := reports[service]
		if !ok {
			report = &Report{Host: cl.host}
			reports[service] = report
		}
		return report
	}
	for _, started := range startedAttempts {
		reportFor(started.Service).StartedAttempts = append(reportFor(started.Service).StartedAttempts, started)
	}
	for _, ended := range endedGrants {
		reportFor(ended.Service).EndedGrants = append(reportFor(ended.Service).EndedGrants, ended)
	}
	for _, held := range heldGrants {
		reportFor(held.GrantRequest.Service).HeldGrants = append(reportFor(held.GrantRequest.Service).HeldGrants, held)
	}
	// A service with evidence gets a report even if nothing else is due.
	for _, service := range cl.servicesWithEvidence() {
		reportFor(service)
	}
	for service, report := range reports {
		if dispatcher, ok := cl.selectDispatcher(service); ok {
			cl.mutex.Lock()
			dl := cl.beginDelivery(service, dispatcher)
			cl.mutex.Unlock()
			if dl != nil || !report.isEmpty() {
				cl.pendingSends.Go(func() {
					if err := cl.sendReport(service, dispatcher, *report, dl); err != nil {
						cl.reportLost(service, dispatcher, *report, err)
					}
				})
			}
		}
	}
}

func (cl *Client) servicesWithEvidence() []id.Service {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return slices.Collect(maps.Keys(cl.evidenceBuffers))
}

// beginDelivery begins to deliver the evidence about a service that a dispatcher has not received. It returns nil if there
// is none to deliver now. The caller holds the mutex.
func (cl *Client) beginDelivery(service id.Service, dispatcher id.Host) *delivery {
	buffer, ok := cl.evidenceBuffers[service]
	if !ok {
		return nil
	}
	return buffer.beginDelivery(cl.clock.Now(), dispatcher)
}

// endDelivery ends a delivery of evidence about a service. What has been added meanwhile is reported next.
func (cl *Client) endDelivery(service id.Service, dl *delivery, received bool) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if cl.evidenceBuffers[service].endDelivery(dl, received) {
		cl.scheduleReport()
	}
}

// sendReport sends a report to a dispatcher, with the evidence of a delivery unless that is nil. Evidence that was not
// received is repeated in the next report.
func (cl *Client) sendReport(service id.Service, dispatcher id.Host, report Report, dl *delivery) error {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if dl != nil {
		report.Evidence = dl.evidence
	}
	err := cl.peers.SendReport(ctx, dispatcher, report)
	if dl != nil {
		cl.endDelivery(service, dl, err == nil)
	}
	if err != nil {
		cl.metrics.Counter("report_failures").Inc(1)
		cl.logger.Warn("report to dispatcher failed", "dispatcher", string(dispatcher), "service", string(service), "ended", len(report.EndedGrants),
			"evidence", len(report.Evidence), "error", err.Error())
		return errors.Wrap(err, "send report")
	}
	return nil
}
