package broker

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// askTimeout bounds one Ask; a dispatcher answers at once.
	askTimeout = 150 * time.Millisecond
	// askPeriod is the time between two Asks for a request that waits: it finds out whether the dispatcher is lost.
	askPeriod = 400 * time.Millisecond
	// suspectFor is how long a dispatcher that did not answer is passed over; it doubles with each failure in a row
	// up to maxSuspect.
	suspectFor = time.Second
	maxSuspect = 8 * time.Second
	// aloneAfter is the part of a request's target after which it is placed by what the own host knows.
	aloneAfter = 0.7
	// reportDelay is how long starts and ends are gathered before they are reported.
	reportDelay = 5 * time.Millisecond
	// renewPeriod is the time between reports of what the host holds.
	renewPeriod = time.Second
	// reportTimeout bounds one report.
	reportTimeout = 500 * time.Millisecond
	// maxUnsent bounds the ends of grants that wait to be reported.
	maxUnsent = 10_000
)

// Client asks dispatchers for places and reports what its host holds.
type Client struct {
	host    id.Host
	clock   timer.Service
	peers   Peers
	metrics tally.Scope
	logger  *slog.Logger
	fleet   Fleet

	mutex   sync.Mutex
	held    map[id.Attempt]*HeldGrant
	waiting map[id.Request]chan GrantResponse
	started []StartedAttempt
	ended   []EndedGrant
	// evidence is what the own host found out of crashes, by service.
	evidence map[id.Service]*evidence
	pending  bool
	suspects map[id.Host]*suspicion
	// reported is the dispatcher that knows what the host holds, by service.
	reported map[id.Service]id.Host
	// alone holds the machines that place requests while no dispatcher can be reached.
	alone  map[id.Service]*batch.Machine
	config batch.Config
	seed   uint64
	group  tasks.Group
	// open is closed when the host knows the others, so that it does not dispatch alone before.
	open     chan struct{}
	openOnce sync.Once
}

// suspicion is what is known of a dispatcher that did not answer.
type suspicion struct {
	failures int
	until    time.Time
}

// NewClient returns a client that holds nothing.
func NewClient(config batch.Config, host id.Host, clock timer.Service, peers Peers, fleet Fleet, metrics tally.Scope, logger *slog.Logger, seed uint64) *Client {
	return &Client{
		config:   config,
		host:     host,
		clock:    clock,
		peers:    peers,
		fleet:    fleet,
		metrics:  metrics,
		logger:   logger,
		seed:     seed,
		held:     map[id.Attempt]*HeldGrant{},
		evidence: map[id.Service]*evidence{},
		waiting:  map[id.Request]chan GrantResponse{},
		suspects: map[id.Host]*suspicion{},
		reported: map[id.Service]id.Host{},
		alone:    map[id.Service]*batch.Machine{},
		open:     make(chan struct{}),
	}
}

// EnablePlacement lets requests be placed: the host knows the other hosts, or that there are none.
func (cl *Client) EnablePlacement() { cl.openOnce.Do(func() { close(cl.open) }) }

// Run reports what the host holds until the context ends.
func (cl *Client) Run(ctx context.Context) error {
	sub := timer.Every(cl.clock, renewPeriod, func() { cl.renew(ctx) })
	<-ctx.Done()
	sub.Stop()
	cl.flush()
	cl.group.Wait()
	return nil
}

// Acquire waits for a place. The context ends the wait.
func (cl *Client) Acquire(ctx context.Context, ask GrantRequest) (batch.Grant, outcome.Outcome) {
	ask.Host = cl.host
	given := cl.await(ask.ID)
	defer cl.stopWaiting(ask.ID)
	select {
	case <-cl.open:
	case <-ctx.Done():
	}
	failed := false
	var asked id.Host
	for ctx.Err() == nil {
		host, ok := cl.dispatcher(ask.Service)
		if asked != "" && asked != host {
			cl.withdrawFrom(asked, ask)
		}
		asked = host
		if !ok || failed && cl.clock.Now().Sub(ask.ArrivedAt) > time.Duration(aloneAfter*float64(ask.FirstEventTarget)) {
			return cl.chooseSoon(ctx, ask)
		}
		call, cancel := context.WithTimeout(ctx, askTimeout)
		answer, err := cl.peers.RequestGrant(call, host, ask)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				failed = true
				cl.suspect(host, err)
			}
			continue
		}
		cl.trust(host)
		if answer.Grant == nil && answer.Refusal == nil {
			answer = cl.waitFor(ctx, given)
		}
		switch {
		case answer.Refusal != nil:
			return batch.Grant{}, *answer.Refusal
		case answer.Grant != nil:
			cl.keep(ask, *answer.Grant)
			return *answer.Grant, outcome.Done()
		}
	}
	cl.end(EndedGrant{Service: ask.Service, Request: ask.ID, Withdrawn: true})
	return batch.Grant{}, outcome.Refuse(outcome.DeadlineExceeded, "the request found no engine in its time").WithRetryAfter(time.Second)
}

// withdrawFrom tells a dispatcher that another one is asked now: it is told no more of what hosts hold, and would give
// places that are taken.
func (cl *Client) withdrawFrom(host id.Host, ask GrantRequest) {
	cl.group.Go(func() {
		cl.send(ask.Service, host, Report{Host: cl.host, EndedGrants: []EndedGrant{{Service: ask.Service, Request: ask.ID, Withdrawn: true}}}, 0)
	})
}

// await has answers to a request passed on.
func (cl *Client) await(rq id.Request) <-chan GrantResponse {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	given := make(chan GrantResponse, 1)
	cl.waiting[rq] = given
	return given
}

func (cl *Client) stopWaiting(rq id.Request) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	delete(cl.waiting, rq)
}

// waitFor returns the answer that is given within the period, or an empty one.
func (cl *Client) waitFor(ctx context.Context, given <-chan GrantResponse) GrantResponse {
	passed, sub := timer.Wait(cl.clock, askPeriod)
	defer sub.Stop()
	select {
	case answer := <-given:
		return answer
	case <-passed:
	case <-ctx.Done():
	}
	return GrantResponse{}
}

// DeliverResponse takes the answer to a request that waited and reports whether it still waits.
func (cl *Client) DeliverResponse(rq id.Request, answer GrantResponse) bool {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	given, waits := cl.waiting[rq]
	if !waits {
		return false
	}
	select {
	case given <- answer:
	default:
		// An answer is there already; a dispatcher repeats the same one.
	}
	return true
}

// dispatcher returns the first host in order that is not suspected. A dispatcher that is asked for the first time is
// told what the host holds.
func (cl *Client) dispatcher(service id.Service) (id.Host, bool) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	now := cl.clock.Now()
	for _, host := range cl.peers.Dispatchers(service) {
		if sp, suspected := cl.suspects[host]; suspected && now.Before(sp.until) {
			continue
		}
		if cl.reported[service] != host {
			cl.reported[service] = host
			cl.clock.After(0, func() { cl.renew(context.Background()) })
		}
		return host, true
	}
	return "", false
}

// HostsChanged finds out which dispatchers stand first now, so that new ones are told what the host holds.
func (cl *Client) HostsChanged() {
	cl.mutex.Lock()
	services := map[id.Service]bool{}
	for _, hd := range cl.held {
		services[hd.GrantRequest.Service] = true
	}
	cl.mutex.Unlock()
	for service := range services {
		cl.dispatcher(service)
	}
}

// trust notes that a dispatcher has answered.
func (cl *Client) trust(host id.Host) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	delete(cl.suspects, host)
}

func (cl *Client) suspect(host id.Host, err error) {
	cl.metrics.Counter("dispatcher_unreachable").Inc(1)
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	now := cl.clock.Now()
	sp, known := cl.suspects[host]
	if !known {
		sp = &suspicion{}
		cl.suspects[host] = sp
	}
	if now.Before(sp.until) {
		return
	}
	sp.until = now.Add(min(suspectFor<<min(sp.failures, 4), maxSuspect))
	sp.failures++
	cl.logger.Warn("dispatcher unreachable", "dispatcher", string(host), "failures", sp.failures, "error", err.Error())
}

// chooseSoon places a request by what the own host knows, as soon as an engine has room.
func (cl *Client) chooseSoon(ctx context.Context, ask GrantRequest) (batch.Grant, outcome.Outcome) {
	const pause = 25 * time.Millisecond
	for {
		grant, oc := cl.choose(ask)
		if oc.OK() || oc.Reason != outcome.Overloaded || cl.clock.Now().Sub(ask.ArrivedAt)+pause > ask.WaitLimit {
			return grant, oc
		}
		if !timer.Sleep(ctx, cl.clock, pause) {
			return grant, oc
		}
	}
}

// choose places a request by what the own host knows, while no dispatcher can be reached.
func (cl *Client) choose(ask GrantRequest) (batch.Grant, outcome.Outcome) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	now := cl.clock.Now()
	mc, ok := cl.alone[ask.Service]
	if !ok {
		mc = batch.New(cl.config, cl.seed)
		cl.alone[ask.Service] = mc
	}
	if engine, known := cl.fleet.EngineProfile(ask.Service); known {
		mc.Step(now, batch.SetEngineProfile{Profile: engine})
	}
	mc.Step(now, batch.SetEngines{Engines: cl.fleet.Engines(ask.Service)})
	for _, hd := range cl.held {
		if hd.GrantRequest.Service == ask.Service {
			mc.Step(now, batch.RenewGrant{Request: hd.GrantRequest.Request, Grant: hd.Grant, Started: hd.Started})
		}
	}
	cl.metrics.Counter("local_choices").Inc(1)
	for _, ef := range mc.Step(now, batch.Submit{Request: ask.Request}) {
		if ef.Request != ask.ID {
			continue
		}
		if ef.Kind == batch.Refused {
			return batch.Grant{}, ef.Outcome
		}
		cl.keepLocked(ask, ef.Grant)
		return ef.Grant, outcome.Done()
	}
	mc.Step(now, batch.Withdraw{Request: ask.ID})
	return batch.Grant{}, outcome.Refuse(outcome.Overloaded, "no engine known to this host has room").WithRetryAfter(time.Second)
}

func (cl *Client) keep(ask GrantRequest, grant batch.Grant) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.keepLocked(ask, grant)
}

func (cl *Client) keepLocked(ask GrantRequest, grant batch.Grant) {
	cl.held[grant.Attempt] = &HeldGrant{GrantRequest: ask, Grant: grant}
}

// ReportStarted notes that the first event of an attempt has arrived.
func (cl *Client) ReportStarted(att id.Attempt) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	hd, ok := cl.held[att]
	if !ok || hd.Started {
		return
	}
	hd.Started = true
	cl.started = append(cl.started, StartedAttempt{Service: hd.GrantRequest.Service, Attempt: att})
	cl.reportSoon()
}

// ReportEnded reports that an attempt has ended.
func (cl *Client) ReportEnded(en EndedGrant) {
	cl.mutex.Lock()
	if hd, ok := cl.held[en.Attempt]; ok {
		en.Service = hd.GrantRequest.Service
		delete(cl.held, en.Attempt)
	}
	for _, mc := range cl.alone {
		mc.Step(cl.clock.Now(), batch.FinishAttempt{Attempt: en.Attempt, FailedEngine: en.FailedEngine, Fault: en.Fault, RetryAfter: en.RetryAfter})
	}
	cl.mutex.Unlock()
	cl.end(en)
}

func (cl *Client) end(en EndedGrant) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.ended = append(cl.ended, en)
	if len(cl.ended) > maxUnsent {
		cl.ended = cl.ended[len(cl.ended)-maxUnsent:]
	}
	cl.reportSoon()
}

// reportSoon starts a report of what has started and ended, unless one is about to be made.
func (cl *Client) reportSoon() {
	if cl.pending {
		return
	}
	cl.pending = true
	cl.clock.After(reportDelay, cl.flush)
}

// flush reports what has started and ended since the last report.
func (cl *Client) flush() {
	cl.mutex.Lock()
	started, ended := cl.started, cl.ended
	cl.started, cl.ended = nil, nil
	cl.pending = false
	cl.mutex.Unlock()
	cl.report(started, ended, nil)
}

// ReportEvidence reports evidence of the own host to the dispatcher of a service, and to the next one if that is lost.
func (cl *Client) ReportEvidence(service id.Service, ev quarantine.Evidence) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	ec, ok := cl.evidence[service]
	if !ok {
		ec = &evidence{}
		cl.evidence[service] = ec
	}
	ec.add(cl.clock.Now(), ev)
	cl.reportSoon()
}

// renew reports what is held, so that a dispatcher that has just taken over learns of it.
func (cl *Client) renew(context.Context) {
	cl.mutex.Lock()
	held := make([]HeldGrant, 0, len(cl.held))
	for _, hd := range cl.held {
		held = append(held, *hd)
	}
	cl.mutex.Unlock()
	cl.report(nil, nil, held)
}

// report sends each dispatcher its part of a report, with the evidence that it does not have.
func (cl *Client) report(started []StartedAttempt, ended []EndedGrant, held []HeldGrant) {
	reports := map[id.Service]*Report{}
	of := func(service id.Service) *Report {
		rp, ok := reports[service]
		if !ok {
			rp = &Report{Host: cl.host}
			reports[service] = rp
		}
		return rp
	}
	for _, st := range started {
		of(st.Service).StartedAttempts = append(of(st.Service).StartedAttempts, st)
	}
	for _, en := range ended {
		of(en.Service).EndedGrants = append(of(en.Service).EndedGrants, en)
	}
	for _, hd := range held {
		of(hd.GrantRequest.Service).HeldGrants = append(of(hd.GrantRequest.Service).HeldGrants, hd)
	}
	for _, service := range cl.servicesWithEvidence() {
		of(service)
	}
	for service, rp := range reports {
		if host, ok := cl.dispatcher(service); ok {
			found, end := cl.evidenceFor(service, host)
			rp.Evidence = found
			if !rp.empty() {
				cl.group.Go(func() { cl.send(service, host, *rp, end) })
			}
		}
	}
}

func (cl *Client) servicesWithEvidence() []id.Service {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return slices.Collect(maps.Keys(cl.evidence))
}

// evidenceFor returns the evidence that a dispatcher does not have, and the end of all.
func (cl *Client) evidenceFor(service id.Service, host id.Host) ([]quarantine.Evidence, int) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	ec, ok := cl.evidence[service]
	if !ok {
		return nil, 0
	}
	return ec.outstanding(cl.clock.Now(), host)
}

// send sends a report to a dispatcher. Evidence that does not arrive is told again with the next report.
func (cl *Client) send(service id.Service, host id.Host, rp Report, end int) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := cl.peers.SendReport(ctx, host, rp); err != nil {
		cl.metrics.Counter("report_failures").Inc(1)
		cl.logger.Warn("dispatcher not told", "dispatcher", string(host), "service", string(service), "ended", len(rp.EndedGrants),
			"evidence", len(rp.Evidence), "error", err.Error())
		return
	}
	if len(rp.Evidence) == 0 {
		return
	}
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if ec, ok := cl.evidence[service]; ok {
		ec.delivered(host, end)
	}
}
