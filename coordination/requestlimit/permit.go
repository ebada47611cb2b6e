package requestlimit

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// PermitRequest asks for permission to send one request to a server with a request limit.
type PermitRequest struct {
	// Host is the entry host that asks.
	Host    id.Host
	Service id.Service
	// Servers are the servers among which the host chooses.
	Servers []id.BackendServer
	// MaxWait is how long the request can wait for its turn.
	MaxWait time.Duration
	// Limits is what the entry host knows of the limits of these servers.
	Limits []serverlimit.Statement
}

// Permit is the answer to a PermitRequest.
type Permit struct {
	// Server is the server that the request may be sent to; empty if it must not be sent to any.
	Server id.BackendServer
	// Wait is the time until the request may be sent. Without a server it is the time after which to ask again.
	Wait time.Duration
	// NoIssuer says that no permit was granted because the issuer could not be asked. It is not sent to other hosts.
	NoIssuer bool
}

// Granted reports whether the request may be sent.
func (pm Permit) Granted() bool { return pm.Server != "" }

// Peers calls the permit issuers on all hosts, including the local host.
type Peers interface {
	// Dispatchers returns the live hosts in an order on which they agree for a service. The first one issues the permits.
	Dispatchers(service id.Service) []id.Host
	// LeadsService reports whether the local host is the first of Dispatchers.
	LeadsService(service id.Service) bool
	// RequestPermit asks the issuer on a host for a permit.
	RequestPermit(ctx context.Context, host id.Host, request PermitRequest) (Permit, error)
}

// Fleet gives access to this host's copy of the list of backend servers.
type Fleet interface {
	// Servers returns the listed servers of a service.
	Servers(service id.Service) []serverlist.Server
}

// Issuer counts the requests that all hosts send to the servers of plain services that have a request limit. It issues
// permits for the services whose first dispatcher is the local host. It is safe for concurrent use.
type Issuer struct {
	clock   timer.Clock
	peers   Peers
	fleet   Fleet
	tracker *Tracker

	// mutex guards accounts and nextSweep.
	mutex     sync.Mutex
	accounts  map[id.BackendServer]*serverAccount
	nextSweep time.Time
}

// serverAccount is the account of one process of a server.
type serverAccount struct {
	serverlimit.Account
	startedAtMillis int64
	lastUsed        time.Time
}

// accountTTL is how long the account of a server is kept after its last use.
const accountTTL = time.Minute

// NewIssuer returns an issuer that has counted no requests.
func NewIssuer(clock timer.Clock, peers Peers, fleet Fleet, tracker *Tracker) *Issuer {
	return &Issuer{clock: clock, peers: peers, fleet: fleet, tracker: tracker, accounts: map[id.BackendServer]*serverAccount{}}
}

// errNotIssuer is returned if another host issues the permits of a service.
var errNotIssuer = errors.New("another host issues the permits of the service")

// Issue permits one request to the server that can get it first, if that is within the request's MaxWait. A server that
// is not listed, or is evacuated, gets none.
func (is *Issuer) Issue(request PermitRequest) (Permit, error) {
	is.tracker.Learn(string(request.Host), request.Limits...)
	leads := is.peers.LeadsService(request.Service)
	servers := is.fleet.Servers(request.Service)
	is.mutex.Lock()
	defer is.mutex.Unlock()
	now := is.clock.Now()
	is.dropUnused(now)
	if !leads {
		// The hosts ask another issuer now. Accounts kept from before would allow a burst beside its permits.
		for _, server := range request.Servers {
			delete(is.accounts, server)
		}
		return Permit{}, errNotIssuer
	}
	var best *serverAccount
	denied := Permit{Wait: unlistedWait}
	var bestServer id.BackendServer
	for _, server := range request.Servers {
		account, ok := is.accountFor(now, server, servers)
		if !ok {
			continue
		}
		if wait := account.Wait(now); best == nil || wait < denied.Wait {
			best, bestServer, denied.Wait = account, server, wait
		}
	}
	if best == nil {
		return denied, nil
	}
	wait, ok := best.Reserve(now, request.MaxWait)
	if !ok {
		return denied, nil
	}
	return Permit{Server: bestServer, Wait: wait}, nil
}

// unlistedWait is the time after which a host asks again whose servers the issuer's list does not show.
const unlistedWait = 500 * time.Millisecond

// accountFor returns the account of a server with its current limit, or false if the server is not listed or is evacuated.
// The caller holds the mutex.
func (is *Issuer) accountFor(now time.Time, name id.BackendServer, listed []serverlist.Server) (*serverAccount, bool) {
	for _, server := range listed {
		if server.ID != name || server.Evacuated {
			continue
		}
		account, ok := is.accounts[name]
		if !ok || account.startedAtMillis != server.StartedAtMillis {
			account = &serverAccount{startedAtMillis: server.StartedAtMillis}
			is.accounts[name] = account
		}
		account.lastUsed = now
		account.SetRate(now, is.tracker.Rate(server))
		account.SetColdLimit(now, is.tracker.ColdLimit(server))
		return account, true
	}
	return nil, false
}

// dropUnused drops the accounts that were not used for accountTTL. The caller holds the mutex.
func (is *Issuer) dropUnused(now time.Time) {
	if now.Before(is.nextSweep) {
		return
	}
	is.nextSweep = now.Add(accountTTL)
	for server, account := range is.accounts {
		if now.Sub(account.lastUsed) > accountTTL {
			delete(is.accounts, server)
		}
	}
}

const (
	// permitTimeout bounds one call to an issuer.
	permitTimeout = 150 * time.Millisecond
	// unreachableWait is how long servers with a limit get nothing from this host after a call to the issuer has failed.
	unreachableWait = 300 * time.Millisecond
	// maxDenialAge bounds how long a denial is remembered, because the limit may end or rise meanwhile.
	maxDenialAge = 500 * time.Millisecond
)

// Client asks for permits on behalf of an entry host. It is safe for concurrent use.
type Client struct {
	*Tracker
	host  id.Host
	peers Peers

	// mutex guards deniedUntil, the time until which no permit for a server is asked for.
	mutex       sync.Mutex
	deniedUntil map[id.BackendServer]time.Time
}

// NewClient returns a client that asks for permits for the servers whose limits the tracker knows.
func NewClient(tracker *Tracker, host id.Host, peers Peers) *Client {
	return &Client{Tracker: tracker, host: host, peers: peers, deniedUntil: map[id.BackendServer]time.Time{}}
}

// Rate returns the rate in force for a server, which is its rate while it is cold if that is the lower one; zero if it has
// no limit. A server that only may be cold, because the list is outdated, has none: no host may be left to issue permits.
func (cl *Client) Rate(server serverlist.Server) serverlimit.Rate {
	named, cold := cl.Tracker.Rate(server), cl.ColdLimit(server)
	if cold.Assumed {
		return named
	}
	return cold.InForce(named)
}

// Acquire asks for a permit to send a request to one of the given servers of a service, within maxWait. If the issuer
// can't be reached, no permit is granted: this host can't tell what the other hosts send.
func (cl *Client) Acquire(ctx context.Context, service id.Service, servers []serverlist.Server, maxWait time.Duration) Permit {
	request := PermitRequest{Host: cl.host, Service: service, MaxWait: maxWait}
	now := cl.clock.Now()
	var shortestWait time.Duration
	cl.mutex.Lock()
	for ix, server := range servers {
		wait := max(0, cl.deniedUntil[server.ID].Sub(now))
		if wait <= maxWait {
			request.Servers = append(request.Servers, server.ID)
		}
		if ix == 0 || wait < shortestWait {
			shortestWait = wait
		}
	}
	cl.mutex.Unlock()
	dispatchers := cl.peers.Dispatchers(service)
	switch {
	case len(dispatchers) == 0:
		return Permit{Wait: unreachableWait, NoIssuer: true}
	case len(request.Servers) == 0:
		return Permit{Wait: shortestWait}
	}
	request.Limits = cl.Statements(servers)
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	permit, err := cl.peers.RequestPermit(callCtx, dispatchers[0], request)
	cancel()
	if err != nil {
		cl.metrics.Counter("permit_failures").Inc(1)
		cl.logger.Warn("request for a permit failed", "service", string(service), "issuer", string(dispatchers[0]), "servers", len(request.Servers), "error", err.Error())
		permit = Permit{Wait: unreachableWait, NoIssuer: true}
	}
	if !permit.Granted() {
		cl.metrics.Counter("permits_denied").Inc(1)
		deniedUntil := cl.clock.Now().Add(min(permit.Wait, maxDenialAge))
		cl.mutex.Lock()
		for _, server := range request.Servers {
			cl.deniedUntil[server] = deniedUntil
		}
		cl.mutex.Unlock()
	}
	return permit
}

// UpdateServers takes a new version of the list of servers.
func (cl *Client) UpdateServers(listed []serverlist.Server) {
	cl.Tracker.UpdateServers(listed)
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	now := cl.clock.Now()
	for server, until := range cl.deniedUntil {
		if !now.Before(until) {
			delete(cl.deniedUntil, server)
		}
	}
}
