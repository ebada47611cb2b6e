// Package quota enforces the limits of plans across all hosts. Each organisation has a home host, which counts its
// requests on behalf of all hosts.
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
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// spendTimeout bounds the call to the home host. If it fails, the local host's share of the limits applies.
	spendTimeout = 250 * time.Millisecond
	// renewalPeriod is the time between renewals of the running requests.
	renewalPeriod = time.Second
	// renewalTimeout bounds the call that sends one renewal.
	renewalTimeout = time.Second
	// leaseTTL is how long a request counts towards the concurrency limit without being renewed.
	leaseTTL = 5 * time.Second
)

// SpendRequest asks to spend an organisation's limits on one request.
type SpendRequest struct {
	Organisation id.Organisation
	Request      id.Request
	PromptTokens id.Tokens
	// Host is the entry host that runs the request.
	Host id.Host
}

// ConcurrencyUse is a request that counts towards the concurrency limit of an organisation.
type ConcurrencyUse struct {
	Organisation id.Organisation
	Request      id.Request
}

// Renewal informs a home host which requests of an entry host are running and which have ended.
type Renewal struct {
	// Host is the entry host that sends the renewal.
	Host    id.Host
	Running []ConcurrencyUse
	Ended   []ConcurrencyUse
}

// Peers calls the quota servers on all hosts, including the local host.
type Peers interface {
	// LiveHosts returns the hosts among which home hosts are chosen.
	LiveHosts() []id.Host
	// Spend asks a home host whether a request may run.
	Spend(ctx context.Context, home id.Host, request SpendRequest) (outcome.Outcome, error)
	// Renew sends a renewal to a home host.
	Renew(ctx context.Context, home id.Host, renewal Renewal) error
}

// Plans looks up plans.
type Plans interface {
	// PlanOf returns the plan of an organisation, or false if it has none.
	PlanOf(org id.Organisation) (lists.Plan, bool)
}

// Server enforces the limits of the organisations whose home is this host. It is safe for concurrent use.
type Server struct {
	clock timer.Service
	plans Plans

	// mutex guards home.
	mutex sync.Mutex
	home  *limit.Limiter
}

// NewServer returns a server that has counted no requests yet.
func NewServer(clock timer.Service, plans Plans) *Server {
	return &Server{clock: clock, plans: plans, home: limit.NewLimiter()}
}

// Spend decides whether a request may run and, if so, counts it.
func (sv *Server) Spend(request SpendRequest) outcome.Outcome {
	plan, ok := sv.plans.PlanOf(request.Organisation)
	if !ok {
		return outcome.Refuse(outcome.Forbidden, "the organisation holds no plan")
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return sv.home.Admit(sv.clock.Now(), request.Organisation, plan, 1, request.Request, request.Host, request.PromptTokens)
}

// Renew releases the ended requests of a renewal, extends the leases of the running ones, and releases all requests
// whose leases have expired.
func (sv *Server) Renew(renewal Renewal) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	for _, usage := range renewal.Ended {
		sv.home.Release(usage.Organisation, usage.Request)
	}
	for _, usage := range renewal.Running {
		if plan, ok := sv.plans.PlanOf(usage.Organisation); ok {
			sv.home.Renew(now, usage.Organisation, plan, usage.Request, renewal.Host)
		}
	}
	sv.home.ExpireUnused(now, leaseTTL)
}

// Client asks home hosts on behalf of an entry host whether requests may run, and renews the running ones.
// It is safe for concurrent use.
type Client struct {
	host    id.Host
	clock   timer.Service
	peers   Peers
	plans   Plans
	metrics tally.Scope
	// renewMutex keeps renewals in order. Otherwise an older renewal that arrives late could mark a request as running
	// after it has ended. It is locked before mutex.
	renewMutex sync.Mutex

	// mutex guards the fields below.
	mutex sync.Mutex
	// localLimits holds the local host's share of the limits, which applies while a home host is unreachable.
	localLimits    *limit.Limiter
	running        map[id.Request]ConcurrencyUse
	unreportedEnds []ConcurrencyUse
}

// NewClient returns a client without running requests.
func NewClient(host id.Host, clock timer.Service, peers Peers, plans Plans, metrics tally.Scope) *Client {
	return &Client{
		host:        host,
		clock:       clock,
		peers:       peers,
		plans:       plans,
		metrics:     metrics,
		localLimits: limit.NewLimiter(),
		running:     map[id.Request]ConcurrencyUse{},
	}
}

// Run renews the running requests periodically until the context ends.
func (cl *Client) Run(ctx context.Context) error {
	sub := timer.Every(cl.clock, renewalPeriod, func() { cl.renew(ctx, true) })
	<-ctx.Done()
	sub.Stop()
	return nil
}

// Spend asks the home host of the request's organisation whether the request may run. While the home host is
// unreachable, the limits are divided equally among the live hosts and the local host's share applies.
func (cl *Client) Spend(ctx context.Context, request SpendRequest) outcome.Outcome {
	request.Host = cl.host
	hosts := cl.peers.LiveHosts()
	oc, err := cl.spendAtHome(ctx, id.RendezvousOwner(ownerKey(request.Organisation), hosts), request)
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

// ownerKey returns the key that determines the home host of an organisation.
func ownerKey(org id.Organisation) string {
	return "Limits/" + string(org)
}

func (cl *Client) spendAtHome(ctx context.Context, home id.Host, request SpendRequest) (outcome.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	return cl.peers.Spend(ctx, home, request)
}

func (cl *Client) spendLocally(request SpendRequest, hostCount int) outcome.Outcome {
	plan, ok := cl.plans.PlanOf(request.Organisation)
	if !ok {
		return outcome.Refuse(outcome.Forbidden, "the organisation holds no plan")
	}
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.localLimits.Admit(cl.clock.Now(), request.Organisation, plan, 1/float64(hostCount), request.Request, cl.host, request.PromptTokens)
}

// Release marks a request as ended. If the plan limits concurrency, it reports the end to the home host at once, in the
// background; otherwise the next periodic renewal reports it.
func (cl *Client) Release(requestID id.Request) {
	cl.mutex.Lock()
	usage, ok := cl.running[requestID]
	if !ok {
		cl.mutex.Unlock()
		return
	}
	delete(cl.running, requestID)
	cl.localLimits.Release(usage.Organisation, requestID)
	plan, _ := cl.plans.PlanOf(usage.Organisation)
	cl.unreportedEnds = append(cl.unreportedEnds, usage)
	cl.mutex.Unlock()
	if plan.Concurrency > 0 {
		go cl.renew(context.Background(), false)
	}
}

// renew reports the ended requests and, if includeRunning is set, the running ones to their home hosts. Ended requests
// of a failed report are not repeated: their leases expire at the home host.
func (cl *Client) renew(ctx context.Context, includeRunning bool) {
	cl.renewMutex.Lock()
	defer cl.renewMutex.Unlock()
	hosts := cl.peers.LiveHosts()
	renewals := cl.takeRenewals(hosts, includeRunning)
	for home, renewal := range renewals {
		callCtx, cancel := context.WithTimeout(ctx, renewalTimeout)
		err := cl.peers.Renew(callCtx, home, *renewal)
		cancel()
		if err != nil {
			cl.metrics.Counter("limits_renew_failures").Inc(1)
		}
	}
}

// takeRenewals returns the renewals by home host and empties the queue of ended requests.
func (cl *Client) takeRenewals(hosts []id.Host, includeRunning bool) map[id.Host]*Renewal {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	renewals := map[id.Host]*Renewal{}
	renewalFor := func(org id.Organisation) *Renewal {
		home := id.RendezvousOwner(ownerKey(org), hosts)
		if renewals[home] == nil {
			renewals[home] = &Renewal{Host: cl.host}
		}
		return renewals[home]
	}
	if includeRunning {
		for _, usage := range cl.running {
			renewal := renewalFor(usage.Organisation)
			renewal.Running = append(renewal.Running, usage)
		}
	}
	for _, usage := range cl.unreportedEnds {
		renewal := renewalFor(usage.Organisation)
		renewal.Ended = append(renewal.Ended, usage)
	}
	cl.unreportedEnds = nil
	return renewals
}
