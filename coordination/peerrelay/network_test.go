package peerrelay_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// linkState is the state of the links of a host to a backend server.
type linkState int

const (
	up linkState = iota
	// silent links lose all packets; refusing links refuse new connections and keep old ones; breaking links refuse new
	// connections and break old ones when something is sent.
	silent
	refusing
	breaking
)

// dialTimeout is the time after which opening a connection on a silent link fails.
const dialTimeout = 400 * time.Millisecond

// network is a number of hosts and backend servers.
type network struct {
	mutex sync.Mutex
	hosts map[id.Host]*host
	// runs counts the runs of each request, lastAttempt is the attempt of the newest run.
	runs        map[string]int
	lastAttempt forward.Attempt
	// answerTime is how long a server takes to answer.
	answerTime time.Duration
	// beforeRelay is called before a call reaches a peer, afterRelay before its answer reaches the caller. Either may fail
	// the call.
	beforeRelay, afterRelay func(peer id.Host, call peerrelay.Call) error
	// relayed holds the hosts that calls were passed to, in order.
	relayed []id.Host
}

// host is one entry host.
type host struct {
	network *network
	name    id.Host
	members []membership.Member
	links   *peerrelay.Links
	sender  *peerrelay.Sender
	server  *peerrelay.Server
	// linkStates holds the state of the links that are not up, kept the number of idle connections by address.
	linkStates map[string]linkState
	kept       map[string]int
	dials      int
	// cutOff holds the arguments of the calls of the callback.
	cutOff  []bool
	leaving map[id.BackendServer]bool
	// evacuated holds the servers that the host knows to be evacuated.
	evacuated map[id.BackendServer]bool
	refuses   bool
	listAge   time.Duration
}

// listed are the backend servers of the network: two of a service in each of two zones.
var listed = []serverlist.Server{
	{ID: "s1", Address: "s1:80", Service: "llm", AvailabilityZone: "a"},
	{ID: "s2", Address: "s2:80", Service: "llm", AvailabilityZone: "b"},
	{ID: "s3", Address: "s3:80", Service: "app", AvailabilityZone: "a"},
	{ID: "s4", Address: "s4:80", Service: "app", AvailabilityZone: "b"},
}

// newNetwork returns a network of hosts that are named by their zone and a number, such as a1.
func newNetwork(names ...id.Host) *network {
	nw := &network{hosts: map[id.Host]*host{}, runs: map[string]int{}, answerTime: 10 * time.Millisecond}
	for _, name := range names {
		ht := &host{network: nw, name: name, linkStates: map[string]linkState{}, kept: map[string]int{}, leaving: map[id.BackendServer]bool{}, evacuated: map[id.BackendServer]bool{}}
		for _, other := range names {
			if other != name {
				ht.members = append(ht.members, membership.Member{Host: other, Status: membership.Alive, PeerAddress: string(other) + ":1", AvailabilityZone: id.AvailabilityZone(other[:1])})
			}
		}
		clock, logger := timer.NewSystem(), slog.New(slog.DiscardHandler)
		ht.links = peerrelay.NewLinks(reachability.DefaultConfig(), clock, ht, tally.NoopScope, logger, func(_ time.Time, cutOff bool) { ht.cutOff = append(ht.cutOff, cutOff) })
		ht.links.UpdateServers(listed)
		ht.sender = peerrelay.NewSender(peerrelay.Dependencies{
			Host: name, AvailabilityZone: id.AvailabilityZone(name[:1]), Clock: clock, Direct: ht, Links: ht.links, Members: ht, Transport: nw, Metrics: tally.NoopScope, Logger: logger,
			Tracer: noop.NewTracerProvider().Tracer(""), Seed: 1,
		})
		ht.server = peerrelay.NewServer(peerrelay.ServerDependencies{
			Clock: clock, Direct: ht, Links: ht.links, Fleet: ht, Accepts: func() bool { return !ht.refuses }, OwnRequests: func() int64 { return 0 }, ProcessorShare: 0.01, Metrics: tally.NoopScope, Logger: logger,
		})
		nw.hosts[name] = ht
	}
	return nw
}

// Relay passes a call to the server of a peer.
func (nw *network) Relay(ctx context.Context, peer membership.Member, call peerrelay.Call) (peerrelay.Answer, error) {
	nw.mutex.Lock()
	nw.relayed = append(nw.relayed, peer.Host)
	nw.mutex.Unlock()
	if nw.beforeRelay != nil {
		if err := nw.beforeRelay(peer.Host, call); err != nil {
			return peerrelay.Answer{}, err
		}
	}
	answer, err := nw.hosts[peer.Host].server.Handle(ctx, call, time.Now())
	if nw.afterRelay != nil && err == nil {
		if err := nw.afterRelay(peer.Host, call); err != nil {
			return peerrelay.Answer{}, err
		}
	}
	return answer, err
}

// cut sets the state of the links of a host to servers, all if none are given.
func (ht *host) cut(state linkState, addresses ...string) {
	ht.network.mutex.Lock()
	defer ht.network.mutex.Unlock()
	if len(addresses) == 0 {
		for _, server := range listed {
			addresses = append(addresses, server.Address)
		}
	}
	for _, address := range addresses {
		ht.linkStates[address] = state
	}
}

// dial opens a connection.
func (ht *host) dial(ctx context.Context, address string) error {
	ht.network.mutex.Lock()
	ht.dials++
	state := ht.linkStates[address]
	ht.network.mutex.Unlock()
	switch state {
	case refusing, breaking:
		return errors.Join(forward.ErrConnectionRefused, forward.ErrNotSent)
	case silent:
		if !timer.Sleep(ctx, timer.NewSystem(), dialTimeout) {
			return errors.Join(forward.ErrNotSent, ctx.Err())
		}
		return errors.Join(forward.ErrNotSent, errors.New("timeout"))
	}
	return nil
}

// connect takes a kept connection or opens one, and reports whether it is new. A kept connection on a silent link brings
// no answer.
func (ht *host) connect(ctx context.Context, address string, keptOnly, newConnection bool) (bool, error) {
	ht.network.mutex.Lock()
	kept := ht.kept[address] > 0 && !newConnection
	state := ht.linkStates[address]
	if kept {
		ht.kept[address]--
	}
	ht.network.mutex.Unlock()
	switch {
	case kept && state == silent:
		<-ctx.Done()
		return false, ctx.Err()
	case kept && state == breaking:
		return false, errors.Join(forward.ErrStaleConnection, errors.New("connection reset"))
	case kept:
		return false, nil
	case keptOnly:
		return false, errors.Join(forward.ErrNotSent, errors.New("there is no idle connection"))
	}
	return true, ht.dial(ctx, address)
}

// Send runs the request of an attempt, and keeps the connection.
func (ht *host) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	isNew, err := ht.connect(ctx, attempt.Address, attempt.KeptConnection, attempt.NewConnection)
	if err != nil {
		return forward.Response{}, err
	}
	ht.network.mutex.Lock()
	ht.network.runs[attempt.ID]++
	ht.network.lastAttempt = attempt
	ht.network.mutex.Unlock()
	if !timer.Sleep(ctx, timer.NewSystem(), ht.network.answerTime) {
		return forward.Response{}, ctx.Err()
	}
	ht.network.mutex.Lock()
	defer ht.network.mutex.Unlock()
	ht.kept[attempt.Address]++
	return forward.Response{Status: http.StatusOK, NewConnection: isNew, Body: io.NopCloser(strings.NewReader("answer of " + string(attempt.Server)))}, nil
}

func (ht *host) probe(ctx context.Context, address string) forward.ProbeResult {
	switch err := ht.dial(ctx, address); {
	case err == nil:
		return forward.Reachable
	case errors.Is(err, forward.ErrConnectionRefused):
		return forward.ConnectionRefused
	default:
		return forward.Unresponsive
	}
}

func (ht *host) ProbeHTTP(ctx context.Context, address string) forward.ProbeResult {
	return ht.probe(ctx, address)
}

func (ht *host) ProbeConnection(ctx context.Context, address string) forward.ProbeResult {
	return ht.probe(ctx, address)
}

func (ht *host) Reserve(ctx context.Context, part batch.Part, _ time.Duration) (bool, error) {
	_, err := ht.connect(ctx, part.Address, false, false)
	return err == nil && part.Ticket != "" && part.Engine != "", err
}

func (ht *host) Release(ctx context.Context, part batch.Part) error {
	_, err := ht.connect(ctx, part.Address, false, false)
	return err
}

func (ht *host) RemoteMembers() []membership.Member { return ht.members }
func (ht *host) ListedAsLeaving(server id.BackendServer) bool {
	return ht.leaving[server]
}
func (ht *host) AnnouncedLeaving(id.BackendServer) bool { return false }
func (ht *host) Evacuated(server id.BackendServer) bool { return ht.evacuated[server] }
func (ht *host) ListAge() time.Duration                 { return ht.listAge }
func (ht *host) DropIdle(address string) {
	ht.network.mutex.Lock()
	defer ht.network.mutex.Unlock()
	ht.kept[address] = 0
}

// newAttempt returns an attempt of a request at a server that has 5 s left.
func newAttempt(request, server string) forward.Attempt {
	return forward.Attempt{
		Request: &forward.Request{ID: request, Method: http.MethodPost, Target: "/x?y=1", HostName: "h", Header: http.Header{"A": {"b"}}, Body: []byte("body")},
		Server:  id.BackendServer(server), Address: server + ":80", Remaining: 5 * time.Second, ResumeAfter: "7", Urgency: 2,
	}
}

// send sends an attempt from a host and returns the body of the response.
func (ht *host) send(ctx context.Context, attempt forward.Attempt) (string, error) {
	response, err := ht.sender.Send(ctx, attempt)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("read body: %w", err)
	}
	return string(body), response.Body.Close()
}

// runCount returns how often a request ran.
func (nw *network) runCount(request string) int {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	return nw.runs[request]
}
