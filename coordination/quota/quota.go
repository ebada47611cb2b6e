// Package quota applies the limits of plans over all hosts: each organisation has a home host that counts for all.
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
	// spendTimeout bounds the question to the home; after it the own share of the limits applies.
	spendTimeout = 250 * time.Millisecond
	// renewPeriod is the time between statements of which requests run.
	renewPeriod  = time.Second
	renewTimeout = time.Second
	// leaseTTL is how long a request holds concurrency without renewal.
	leaseTTL = 5 * time.Second
)

// SpendRequest asks for permission to run one request.
type SpendRequest struct {
	Organisation id.Organisation
	Request      id.Request
	PromptTokens       id.Tokens
	Host         id.Host
}

// ConcurrencyUse is one request that holds concurrency of an organisation.
type ConcurrencyUse struct {
	Organisation id.Organisation
	Request      id.Request
}

// Renewal states which requests of a host run and which have ended.
type Renewal struct {
	Host  id.Host
	Running  []ConcurrencyUse
	Ended []ConcurrencyUse
}

// Peers reaches the homes on all hosts, the own one included.
type Peers interface {
	// LiveHosts returns the hosts that may be homes.
	LiveHosts() []id.Host
	// Spend asks a host for permission.
	Spend(ctx context.Context, host id.Host, sp SpendRequest) (outcome.Outcome, error)
	// Renew tells a host what runs.
	Renew(ctx context.Context, host id.Host, rn Renewal) error
}

// Plans knows the plan of each organisation.
type Plans interface {
	// PlanOf returns the plan that an organisation holds.
	PlanOf(org id.Organisation) (lists.Plan, bool)
}

// Server is the home of the limits of some organisations.
type Server struct {
	clock timer.Service
	plans Plans

	mutex sync.Mutex
	home  *limit.Limiter
}

// NewServer returns a home without accounts.
func NewServer(clock timer.Service, plans Plans) *Server {
	return &Server{clock: clock, plans: plans, home: limit.NewLimiter()}
}

// Spend decides whether a request may run.
func (sv *Server) Spend(sp SpendRequest) outcome.Outcome {
	plan, ok := sv.plans.PlanOf(sp.Organisation)
	if !ok {
		return outcome.Refuse(outcome.Forbidden, "the organisation holds no plan")
	}
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return sv.home.Spend(sv.clock.Now(), sp.Organisation, plan, 1, sp.Request, sp.Host, sp.PromptTokens)
}

// Renew takes a host's statement of what runs.
func (sv *Server) Renew(rn Renewal) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	now := sv.clock.Now()
	for _, us := range rn.Ended {
		sv.home.Release(us.Organisation, us.Request)
	}
	for _, us := range rn.Running {
		if plan, ok := sv.plans.PlanOf(us.Organisation); ok {
			sv.home.Renew(now, us.Organisation, plan, us.Request, rn.Host)
		}
	}
	sv.home.ExpireUnused(now, leaseTTL)
}

// Client asks homes for permission and tells them what runs.
type Client struct {
	host    id.Host
	clock   timer.Service
	peers   Peers
	plans   Plans
	metrics tally.Scope
	// sending keeps statements in order, so that an ended request is not stated to run by an older one.
	sending sync.Mutex

	mutex sync.Mutex
	local *limit.Limiter
	held  map[id.Request]ConcurrencyUse
	ended []ConcurrencyUse
}

// NewClient returns a client that holds nothing.
func NewClient(host id.Host, clock timer.Service, peers Peers, plans Plans, metrics tally.Scope) *Client {
	return &Client{
		host:    host,
		clock:   clock,
		peers:   peers,
		plans:   plans,
		metrics: metrics,
		local:   limit.NewLimiter(),
		held:    map[id.Request]ConcurrencyUse{},
	}
}

// Run renews what the host holds until the context ends.
func (cl *Client) Run(ctx context.Context) error {
	sub := timer.Every(cl.clock, renewPeriod, func() { cl.renew(ctx, true) })
	<-ctx.Done()
	sub.Stop()
	return nil
}

// Spend asks for permission to run a request. While the home can't be reached, the own host's part of the limits applies.
func (cl *Client) Spend(ctx context.Context, sp SpendRequest) outcome.Outcome {
	sp.Host = cl.host
	hosts := cl.peers.LiveHosts()
	oc, err := cl.ask(ctx, id.RendezvousOwner(homeKey(sp.Organisation), hosts), sp)
	if err != nil {
		cl.metrics.Counter("limits_home_unreachable").Inc(1)
		oc = cl.spendLocally(sp, max(1, len(hosts)))
	}
	if oc.OK() {
		cl.mutex.Lock()
		cl.held[sp.Request] = ConcurrencyUse{Organisation: sp.Organisation, Request: sp.Request}
		cl.mutex.Unlock()
	}
	return oc
}

func homeKey(org id.Organisation) string {
	return "Limits/" + string(org)
}

func (cl *Client) ask(ctx context.Context, home id.Host, sp SpendRequest) (outcome.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	return cl.peers.Spend(ctx, home, sp)
}

func (cl *Client) spendLocally(sp SpendRequest, hosts int) outcome.Outcome {
	plan, ok := cl.plans.PlanOf(sp.Organisation)
	if !ok {
		return outcome.Refuse(outcome.Forbidden, "the organisation holds no plan")
	}
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	return cl.local.Spend(cl.clock.Now(), sp.Organisation, plan, 1/float64(hosts), sp.Request, cl.host, sp.PromptTokens)
}

// Release gives the concurrency of a request back.
func (cl *Client) Release(rq id.Request) {
	cl.mutex.Lock()
	us, ok := cl.held[rq]
	if !ok {
		cl.mutex.Unlock()
		return
	}
	delete(cl.held, rq)
	cl.local.Release(us.Organisation, rq)
	plan, _ := cl.plans.PlanOf(us.Organisation)
	cl.ended = append(cl.ended, us)
	cl.mutex.Unlock()
	if plan.Concurrency > 0 {
		go cl.renew(context.Background(), false)
	}
}

// renew tells each home what has ended and, if asked to, what runs.
func (cl *Client) renew(ctx context.Context, held bool) {
	cl.sending.Lock()
	defer cl.sending.Unlock()
	hosts := cl.peers.LiveHosts()
	renewals := cl.renewals(hosts, held)
	for home, rn := range renewals {
		call, cancel := context.WithTimeout(ctx, renewTimeout)
		err := cl.peers.Renew(call, home, *rn)
		cancel()
		if err != nil {
			cl.metrics.Counter("limits_renew_failures").Inc(1)
		}
	}
}

func (cl *Client) renewals(hosts []id.Host, held bool) map[id.Host]*Renewal {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	renewals := map[id.Host]*Renewal{}
	of := func(org id.Organisation) *Renewal {
		home := id.RendezvousOwner(homeKey(org), hosts)
		if renewals[home] == nil {
			renewals[home] = &Renewal{Host: cl.host}
		}
		return renewals[home]
	}
	if held {
		for _, us := range cl.held {
			rn := of(us.Organisation)
			rn.Running = append(rn.Running, us)
		}
	}
	for _, us := range cl.ended {
		rn := of(us.Organisation)
		rn.Ended = append(rn.Ended, us)
	}
	cl.ended = nil
	return renewals
}
