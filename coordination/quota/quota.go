// Package quota enforces the limits of plans across all hosts. For each organisation, one host is the limit owner,
// which counts its requests on behalf of all hosts.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/limit"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// spendTimeout bounds the call to the limit owner. If the call fails, the local host's share of the limits applies.
	spendTimeout = 250 * time.Millisecond
	// renewalPeriod is the time between renewals of the running requests.
	renewalPeriod = time.Second
	// renewalTimeout bounds the call that sends one renewal.
	renewalTimeout = time.Second
	// renewalTTL is how long a request counts towards the concurrency limit without being renewed.
	renewalTTL = 5 * time.Second
)

// SpendRequest asks whether a request may run within its organisation's limits and, if so, to count it against them.
type SpendRequest struct {
	Organisation id.Organisation
	Request      id.Request
	PromptTokens id.Tokens
	// Host is the entry host that runs the request.
	Host id.Host
}

// ConcurrencyUse is a request that counts, or has counted, towards the concurrency limit of its organisation.
type ConcurrencyUse struct {
	Organisation id.Organisation
	Request      id.Request
}

// Renewal informs a limit owner which requests of an entry host are running and which have ended.
type Renewal struct {
	// Host is the entry host that sends the renewal.
	Host    id.Host
	Running []ConcurrencyUse
	Ended   []ConcurrencyUse
}

// Peers calls the quota servers on all hosts, including the local host.
type Peers interface {
	// LiveHosts returns the hosts among which limit owners are chosen.
	LiveHosts() []id.Host
	// Spend asks a limit owner whether a request may run.
	Spend(ctx context.Context, owner id.Host, request SpendRequest) (outcome.Outcome, error)
	// Renew sends a renewal to a limit owner.
	Renew(ctx context.Context, owner id.Host, renewal Renewal) error
}

// Plans looks up plans.
type Plans interface {
	// PlanOf returns the plan of an organisation, or false if it has none.
	PlanOf(org id.Organisation) (lists.Plan, bool)
}

// Server enforces the limits of the organisations whose limit owner is the local host. It is safe for concurrent use.
type Server struct {
	clock timer.Clock
	plans Plans

	// mutex guards limiter.
	mutex   sync.Mutex
	limiter *limit.Limiter
}

// NewServer returns a server that has counted no requests yet.
func NewServer(clock timer.Clock, plans Plans) *Server {
	return &Server{clock: clock, plans: plans, limiter: limit.NewLimiter()}
}

// Spend decides whether a request may run and, if so, counts it.
func (sv *Server) Spend(request SpendRequest) outcome.Outcome {
	plan, ok := sv.plans.PlanOf(request.Organisation)
	if !ok {
		return outcome.Refuse(outcome.Forbidden, "the organisation holds no plan")
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return sv.limiter.Admit(sv.clock.Now(), request.Organisation, plan, 1, request.Request, request.Host, request.PromptTokens)
}

// Renew releases the ended requests of a renewal, marks the running ones as renewed, and releases all requests that
// have not been renewed for renewalTTL.
func (sv *Server) Renew(renewal Renewal) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	for _, counted := range renewal.Ended {
		sv.limiter.Release(counted.Organisation, counted.Request)
	}
	for _, counted := range renewal.Running {
		if plan, ok := sv.plans.PlanOf(counted.Organisation); ok {
			sv.limiter.Renew(now, counted.Organisation, plan, counted.Request, renewal.Host)
		}
	}
	sv.limiter.ExpireUnused(now, renewalTTL)
}

// Client asks limit owners on behalf of an entry host whether requests may run, and renews the running ones. It is safe
// for concurrent use.
type Client struct {
	host    id.Host
	clock   timer.Clock
	peers   Peers
	plans   Plans
	metrics tally.Scope
	// renewMutex keeps renewals in order. Otherwise an older renewal that arrives late could mark a request as running
	// after it has ended. It is locked before mutex.
	renewMutex sync.Mutex

	// mutex guards the fields below.
	mutex sync.Mutex
	// localLimiter enforces the local host's share of the limits while a limit owner is unreachable.
	localLimiter   *limit.Limiter
	running        map[id.Request]ConcurrencyUse
	unreportedEnds []ConcurrencyUse
}

// NewClient returns a client without running requests.
func NewClient(host id.Host, clock timer.Clock, peers Peers, plans Plans, metrics tally.Scope) *Client {
	return &Client{
		host:         host,
		clock:        clock,
		peers:        peers,
		plans:        plans,
		metrics:      metrics,
		localLimiter: limit.NewLimiter(),
		running:      map[id.Request]ConcurrencyUse{},
	}
}

// Run renews the running requests periodically until the context ends.
func (cl *Client) Run(ctx context.Context) error {
	subscription := timer.Every(cl.clock, renewalPeriod, func() { cl.renew(ctx, true) })
	<-ctx.Done()
	subscription.Stop()
	return nil
}

// Spend asks the limit owner of the request's organisation whether the request may run. While the owner is unreachable,
// the limits are divided equally among the live hosts and the local host's share applies.
func (cl *Client) Spend(ctx context.Context, request SpendRequest) outcome.Outcome {
	request.Host = cl.host
	hosts := cl.peers.LiveHosts()
	oc, err := cl.spendAtOwner(ctx, id.RendezvousOwner(limitOwnerKey(request.Organisation), hosts), request)
	if err != nil {
		cl.metrics.Counter("limits_home_unreachable").Inc(1)
		oc = cl.spendLocally(request, max(1, len(hosts)))
	}
	if oc.OK() {
		cl.mutex.Lock()
		cl.running[request.Request] = ConcurrencyUse{Organisation: request.Organisation, Request: request.Request}
		cl.mutex.Unlock()
	}
	return oc
}

// limitOwnerKey returns the key of the rendezvous hashing that determines the limit owner of an organisation.
func limitOwnerKey(org id.Organisation) string {
	return "Limits/" + string(org)
}

func (cl *Client) spendAtOwner(ctx context.Context, owner id.Host, request SpendRequest) (outcome.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	return cl.peers.Spend(ctx, owner, request)
}

func (cl *Client) spendLocally(request SpendRequest, hostCount int) outcome.Outcome {
	plan, ok := cl.plans.PlanOf(request.Organisation)
	if !ok {
		return outcome.Refuse(outcome.Forbidden, "the organisation holds no plan")
	}
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.localLimiter.Admit(cl.clock.Now(), request.Organisation, plan, 1/float64(hostCount), request.Request, cl.host, request.PromptTokens)
}

// Release marks a request as ended. If the plan limits concurrency, it reports the end to the limit owner immediately,
// in the background; otherwise the next periodic renewal reports it.
func (cl *Client) Release(requestID id.Request) {
	cl.mutex.Lock()
	ended, ok := cl.running[requestID]
	if !ok {
		cl.mutex.Unlock()
		return
	}
	delete(cl.running, requestID)
	cl.localLimiter.Release(ended.Organisation, requestID)
	plan, _ := cl.plans.PlanOf(ended.Organisation)
	cl.unreportedEnds = append(cl.unreportedEnds, ended)
	cl.mutex.Unlock()
	if plan.Concurrency > 0 {
		tasks.Go(func() { cl.renew(context.Background(), false) })
	}
}

// renew reports the ended requests and, if includeRunning is set, the running ones to their limit owners. Ended
// requests of a failed report are not reported again: the limit owner releases them after renewalTTL.
func (cl *Client) renew(ctx context.Context, includeRunning bool) {
	cl.renewMutex.Lock()
	defer cl.renewMutex.Unlock()
	hosts := cl.peers.LiveHosts()
	renewals := cl.takeRenewals(hosts, includeRunning)
	for owner, renewal := range renewals {
		callCtx, cancel := context.WithTimeout(ctx, renewalTimeout)
		err := cl.peers.Renew(callCtx, owner, *renewal)
		cancel()
		if err != nil {
			cl.metrics.Counter("limits_renew_failures").Inc(1)
		}
	}
}

// takeRenewals returns the renewals by limit owner and empties the queue of ended requests.
func (cl *Client) takeRenewals(hosts []id.Host, includeRunning bool) map[id.Host]*Renewal {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	renewals := map[id.Host]*Renewal{}
	renewalFor := func(org id.Organisation) *Renewal {
		owner := id.RendezvousOwner(limitOwnerKey(org), hosts)
		if renewals[owner] == nil {
			renewals[owner] = &Renewal{Host: cl.host}
		}
		return renewals[owner]
	}
	if includeRunning {
		for _, request := range cl.running {
			renewal := renewalFor(request.Organisation)
			renewal.Running = append(renewal.Running, request)
		}
	}
	for _, request := range cl.unreportedEnds {
		renewal := renewalFor(request.Organisation)
		renewal.Ended = append(renewal.Ended, request)
	}
	cl.unreportedEnds = nil
	return renewals
}
