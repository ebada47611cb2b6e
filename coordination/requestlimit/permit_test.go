package requestlimit_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const service = id.Service("books")

var (
	limitedServer = serverlist.Server{ID: "limited", Service: service, StartedAtMillis: 1}
	otherServer   = serverlist.Server{ID: "other", Service: service, StartedAtMillis: 1}
)

// fleetOf lists servers.
type fleetOf []serverlist.Server

func (fl fleetOf) Servers(id.Service) []serverlist.Server { return fl }

// network connects the permit issuers and clients of several hosts.
type network struct {
	issuers map[id.Host]*requestlimit.Issuer
	clients map[id.Host]*requestlimit.Client

	mutex sync.Mutex
	// live holds the hosts in the order in which each host knows them. All hosts agree unless a test separates them.
	live map[id.Host][]id.Host
	// unreachable holds the hosts to which calls fail.
	unreachable map[id.Host]bool
}

// hostPeers is the network as one host sees it.
type hostPeers struct {
	*network
	host id.Host
}

func (hp hostPeers) Dispatchers(id.Service) []id.Host {
	hp.mutex.Lock()
	defer hp.mutex.Unlock()
	return hp.live[hp.host]
}

func (hp hostPeers) LeadsService(service id.Service) bool {
	hosts := hp.Dispatchers(service)
	return len(hosts) > 0 && hosts[0] == hp.host
}

var errUnreachable = errors.New("unreachable")

func (hp hostPeers) RequestPermit(_ context.Context, host id.Host, request requestlimit.PermitRequest) (requestlimit.Permit, error) {
	hp.mutex.Lock()
	unreachable := hp.unreachable[host] && host != hp.host
	hp.mutex.Unlock()
	if unreachable {
		return requestlimit.Permit{}, errUnreachable
	}
	return hp.issuers[host].Issue(request)
}

// setLive sets the order of hosts that the given hosts know; all hosts if none is given.
func (nw *network) setLive(order []id.Host, knownTo ...id.Host) {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	for host := range nw.live {
		if len(knownTo) == 0 || slices.Contains(knownTo, host) {
			nw.live[host] = order
		}
	}
}

// newNetwork returns a network of hosts that all know each other, and their names in order.
func newNetwork(hostCount int) (*network, []id.Host) {
	nw := &network{issuers: map[id.Host]*requestlimit.Issuer{}, clients: map[id.Host]*requestlimit.Client{}, live: map[id.Host][]id.Host{}, unreachable: map[id.Host]bool{}}
	var hosts []id.Host
	for number := range hostCount {
		host := id.Host(fmt.Sprintf("host-%03d", number))
		hosts = append(hosts, host)
		peers := hostPeers{nw, host}
		clock := timer.NewSystem()
		tracker := requestlimit.NewTracker(clock, tally.NoopScope, slog.New(slog.DiscardHandler), func(membership.Fact) {}, func() {})
		nw.clients[host] = requestlimit.NewClient(tracker, host, peers)
		nw.issuers[host] = requestlimit.NewIssuer(clock, peers, fleetOf{limitedServer, otherServer}, tracker)
		nw.live[host] = nil
	}
	nw.setLive(hosts)
	return nw, hosts
}

// nameLimit has a host receive a response in which the limited server names a rate; zero ends the limit.
func (nw *network) nameLimit(host id.Host, perSecond float64) {
	nw.clients[host].RecordResponse(limitedServer, time.Now(), requestlimit.Named{Rate: serverlimit.Rate(perSecond)}, true)
}

// TestHostsTogetherKeepServerLimit has all hosts ask for permits all the time, while the first issuer falls silent, leaves,
// and returns. The server must get no more than the users allow, and its rate while hosts agree on an issuer.
func TestHostsTogetherKeepServerLimit(t *testing.T) {
	for _, hostCount := range []int{3, 12, 300} {
		for _, perSecond := range []float64{0.1, 1, 1.9, 10, 100} {
			t.Run(fmt.Sprintf("hosts=%d,limit=%g", hostCount, perSecond), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					nw, hosts := newNetwork(hostCount)
					for _, host := range hosts {
						nw.nameLimit(host, perSecond)
					}
					var mutex sync.Mutex
					var sent []time.Time
					stop := make(chan struct{})
					var demand sync.WaitGroup
					for index, host := range hosts {
						demand.Go(func() {
							time.Sleep(time.Duration(index) * time.Millisecond)
							for {
								select {
								case <-stop:
									return
								case <-time.After(20 * time.Millisecond):
								}
								if nw.clients[host].Acquire(t.Context(), service, []serverlist.Server{limitedServer}, 0).Granted() {
									mutex.Lock()
									sent = append(sent, time.Now())
									mutex.Unlock()
								}
							}
						})
					}
					const calm = 20 * time.Second
					time.Sleep(calm)
					mutex.Lock()
					calmCount := len(sent)
					mutex.Unlock()
					nw.mutex.Lock()
					nw.unreachable[hosts[0]] = true
					nw.mutex.Unlock()
					time.Sleep(2 * time.Second)
					nw.setLive(hosts[1:], hosts[1:len(hosts)-1]...)
					time.Sleep(time.Second)
					nw.setLive(hosts[1:])
					nw.mutex.Lock()
					nw.unreachable[hosts[0]] = false
					nw.mutex.Unlock()
					time.Sleep(5 * time.Second)
					nw.setLive(hosts)
					time.Sleep(5 * time.Second)
					close(stop)
					demand.Wait()
					most, allowed := testutil.MaxInWindow(sent, testutil.LimitWindow), testutil.MaxAllowedByLimit(perSecond)
					assert.Check(t, most <= allowed, "%d requests in 4 s, allowed %d", most, allowed)
					// Hosts remember a denial for up to half a second.
					const usableShare = 0.8
					assert.Check(t, float64(calmCount) >= usableShare*perSecond*calm.Seconds()-1, "%d requests in %s", calmCount, calm)
				})
			})
		}
	}
}

// TestNoPermitWithoutIssuer checks that a host that can't reach the issuer, or asks a host that is not the issuer, gets
// no permit and a time after which to ask again.
func TestNoPermitWithoutIssuer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, hosts := newNetwork(3)
		nw.nameLimit(hosts[2], 100)
		time.Sleep(time.Second)
		nw.setLive([]id.Host{hosts[1], hosts[0], hosts[2]}, hosts[2])
		permit := nw.clients[hosts[2]].Acquire(t.Context(), service, []serverlist.Server{limitedServer}, time.Second)
		assert.Assert(t, !permit.Granted() && permit.Wait > 0, "%+v", permit)
		time.Sleep(time.Second)
		nw.setLive(hosts)
		nw.unreachable[hosts[0]] = true
		permit = nw.clients[hosts[2]].Acquire(t.Context(), service, []serverlist.Server{limitedServer}, time.Second)
		assert.Assert(t, !permit.Granted() && permit.Wait > 0, "%+v", permit)
		nw.setLive(nil)
		permit = nw.clients[hosts[2]].Acquire(t.Context(), service, []serverlist.Server{limitedServer}, time.Second)
		assert.Assert(t, !permit.Granted() && permit.Wait > 0, "%+v", permit)
	})
}

// TestPermitWaitsForTurn checks that requests that can wait get their turns in order, from the server whose turn comes
// first, and that the others are denied with the time until the next turn.
func TestPermitWaitsForTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, hosts := newNetwork(2)
		client := nw.clients[hosts[1]]
		nw.nameLimit(hosts[1], 1)
		client.RecordResponse(otherServer, time.Now(), requestlimit.Named{Rate: 2}, true)
		servers := []serverlist.Server{limitedServer, otherServer}
		var waits []time.Duration
		for range 5 {
			permit := client.Acquire(t.Context(), service, servers, time.Second)
			if !permit.Granted() {
				assert.Equal(t, permit.Wait.Round(time.Millisecond), 1500*time.Millisecond)
				break
			}
			waits = append(waits, permit.Wait.Round(time.Millisecond))
		}
		assert.DeepEqual(t, waits, []time.Duration{500 * time.Millisecond, time.Second, time.Second})
	})
}

// TestNoPermitForEvacuatedServer checks that the issuer permits no request to an evacuated server, also if the host that
// asks does not know of the evacuation.
func TestNoPermitForEvacuatedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, hosts := newNetwork(1)
		evacuated := limitedServer
		evacuated.Evacuated = true
		clock := timer.NewSystem()
		tracker := requestlimit.NewTracker(clock, tally.NoopScope, slog.New(slog.DiscardHandler), func(membership.Fact) {}, func() {})
		issuer := requestlimit.NewIssuer(clock, hostPeers{nw, hosts[0]}, fleetOf{evacuated, otherServer}, tracker)
		permit, err := issuer.Issue(requestlimit.PermitRequest{Host: hosts[0], Service: service, Servers: []id.BackendServer{"limited"}, MaxWait: time.Second})
		assert.NilError(t, err)
		assert.Assert(t, !permit.Granted() && permit.Wait > 0)
		permit, err = issuer.Issue(requestlimit.PermitRequest{Host: hosts[0], Service: service, Servers: []id.BackendServer{"limited", "other"}, MaxWait: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, permit.Server, id.BackendServer("other"))
	})
}

// TestFactsOrderStatements checks that facts keep statements, and that a higher value stands for the statement that
// applies.
func TestFactsOrderStatements(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string) serverlimit.Statement {
			statement := serverlimit.Statement{Server: id.HashServer("limited"), StartedAtMillis: 1, Version: rapid.Uint32Range(1, 3).Draw(rt, name)}
			if rapid.Bool().Draw(rt, name+" limits") {
				statement.Rate = serverlimit.ClampRate(float64(rapid.IntRange(100, 4000).Draw(rt, name+" rate")) / 1000)
			}
			return statement
		}
		left, right := draw("left"), draw("right")
		decoded, ok := requestlimit.FromFact(requestlimit.ToFact(left))
		assert.Assert(rt, ok)
		assert.Equal(rt, decoded, left)
		table := serverlimit.NewTable()
		table.Learn(time.Now(), left)
		assert.Equal(rt, table.Learn(time.Now(), right), requestlimit.ToFact(right).Value > requestlimit.ToFact(left).Value)
	})
	for _, fact := range []membership.Fact{{Kind: membership.DepartureFact, Value: 1}, {Kind: membership.RequestLimitFact, Value: -1}} {
		_, ok := requestlimit.FromFact(fact)
		assert.Assert(t, !ok)
	}
}

// TestInvalidLimitChangesNothing checks that a response with an invalid limit neither sets nor ends one.
func TestInvalidLimitChangesNothing(t *testing.T) {
	nw, hosts := newNetwork(1)
	nw.nameLimit(hosts[0], 3)
	nw.clients[hosts[0]].RecordResponse(limitedServer, time.Now(), requestlimit.Named{Invalid: `"lots"`}, true)
	assert.Equal(t, nw.clients[hosts[0]].Rate(limitedServer), serverlimit.Rate(3))
}
