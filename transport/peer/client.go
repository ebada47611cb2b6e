package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/configuration"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// dialTimeout bounds the connection to another host.
const dialTimeout = 400 * time.Millisecond

// maxMessageBytes bounds a message of another host: copies of the desired state and of the list of backend servers are the
// largest.
const maxMessageBytes = 8 << 20

// Members knows the hosts.
type Members interface {
	// Member returns what is known of a host.
	Member(host id.Host) (membership.Member, bool)
	// Live returns the hosts that take new work.
	Live() []membership.Member
	// LiveHosts returns their names.
	LiveHosts() []id.Host
	// RemoteMembers returns the other hosts in order.
	RemoteMembers() []membership.Member
	// OtherHosts returns the other hosts that are not dead.
	OtherHosts() []id.Host
	// Isolated reports whether no other host has been heard for some time.
	Isolated() bool
	// ConnectionRefused records that a connection to a host was refused.
	ConnectionRefused(ctx context.Context, host id.Host)
}

// Client reaches all hosts. Calls to the own host stay in the process.
type Client struct {
	self    membership.Member
	clock   timer.Service
	http    *http.Client
	options []connect.ClientOption
	local   LocalComponents
	members Members

	mutex   sync.Mutex
	clients map[string]peerconnect.PeerClient
	// orders keeps the order of dispatchers of each service as long as the live hosts are the same.
	orders map[id.Service]dispatcherOrder
}

// dispatcherOrder is the order of dispatchers among live hosts.
type dispatcherOrder struct {
	live  []membership.Member
	hosts []id.Host
}

// NewClient returns a client of the own host that speaks HTTP/2. Bind must be called before calls to hosts by name.
func NewClient(self membership.Member, clock timer.Service, opts ...connect.ClientOption) *Client {
	transport := newTransport()
	transport.Protocols.SetUnencryptedHTTP2(true)
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: 5 * time.Second, PingTimeout: 2 * time.Second}
	return newClient(self, clock, transport, opts...)
}

// NewHTTP1Client returns a client that speaks HTTP/1.1 without compression: a connection that goes silent costs
// the one call that waits on it, and small messages cost little processor time.
func NewHTTP1Client(self membership.Member, clock timer.Service, opts ...connect.ClientOption) *Client {
	transport := newTransport()
	transport.Protocols.SetHTTP1(true)
	opts = append(opts, connect.WithAcceptCompression("gzip", nil, nil))
	return newClient(self, clock, transport, opts...)
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
		Protocols:           new(http.Protocols),
	}
}

func newClient(self membership.Member, clock timer.Service, transport *http.Transport, opts ...connect.ClientOption) *Client {
	return &Client{
		self:    self,
		clock:   clock,
		http:    &http.Client{Transport: transport},
		options: append(opts, connect.WithReadMaxBytes(maxMessageBytes)),
		clients: map[string]peerconnect.PeerClient{},
		orders:  map[id.Service]dispatcherOrder{},
	}
}

// Bind sets the parts of the own host and the view of the members.
func (cl *Client) Bind(local LocalComponents, members Members) {
	cl.local = local
	cl.members = members
}

// Close releases idle connections.
func (cl *Client) Close() {
	cl.http.CloseIdleConnections()
}

func (cl *Client) at(address string) peerconnect.PeerClient {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	client, ok := cl.clients[address]
	if !ok {
		client = peerconnect.NewPeerClient(cl.http, "http://"+address, cl.options...)
		cl.clients[address] = client
	}
	return client
}

func (cl *Client) of(host id.Host) (peerconnect.PeerClient, error) {
	member, known := cl.members.Member(host)
	if !known {
		return nil, fmt.Errorf("host %q is not a member", host)
	}
	return cl.at(member.PeerAddress), nil
}

// call runs a call to a host and records refused connections.
func call[Q, S any](ctx context.Context, cl *Client, host id.Host, rq *Q, method func(peerconnect.PeerClient) func(context.Context, *connect.Request[Q]) (*connect.Response[S], error)) (*S, error) {
	client, err := cl.of(host)
	if err != nil {
		return nil, err
	}
	answer, err := method(client)(ctx, connect.NewRequest(rq))
	if err != nil {
		if refusedConnection(err) {
			cl.members.ConnectionRefused(context.WithoutCancel(ctx), host)
		}
		return nil, errors.Wrapf(err, "call host %s", host)
	}
	return answer.Msg, nil
}

func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !op.Timeout()
}

// ShardDispatchers returns the live hosts in the order in which they take a shard.
func (cl *Client) ShardDispatchers(name id.Shard) []id.Host {
	return id.RendezvousOrder("Shard/"+string(name), cl.members.LiveHosts())
}

// LiveHosts returns the hosts that take new work.
func (cl *Client) LiveHosts() []id.Host {
	return cl.members.LiveHosts()
}

// OtherHosts returns the other hosts that are not dead.
func (cl *Client) OtherHosts() []id.Host {
	return cl.members.OtherHosts()
}

// RequestShardGrant asks a host's dispatcher for a grant.
func (cl *Client) RequestShardGrant(ctx context.Context, host id.Host, ask shard.GrantRequest) (shard.GrantResponse, error) {
	if host == cl.self.Host {
		return cl.local.ShardServer.RequestGrant(ctx, ask), nil
	}
	ms, err := call(ctx, cl, host, encodeAsk(ask, cl.clock.Now()), method(peerconnect.PeerClient.Acquire))
	if err != nil {
		return shard.GrantResponse{}, err
	}
	return decodeAnswer(ms), nil
}

// method turns a method expression into the form that call takes.
func method[Q, S any](expr func(peerconnect.PeerClient, context.Context, *connect.Request[Q]) (*connect.Response[S], error)) func(peerconnect.PeerClient) func(context.Context, *connect.Request[Q]) (*connect.Response[S], error) {
	return func(client peerconnect.PeerClient) func(context.Context, *connect.Request[Q]) (*connect.Response[S], error) {
		return func(ctx context.Context, rq *connect.Request[Q]) (*connect.Response[S], error) {
			return expr(client, ctx, rq)
		}
	}
}

// SendShardReport tells a host's dispatchers what is held.
func (cl *Client) SendShardReport(ctx context.Context, host id.Host, rp shard.Report) (shard.ReportResponse, error) {
	if host == cl.self.Host {
		return cl.local.ShardServer.HandleReport(context.WithoutCancel(ctx), rp), nil
	}
	ms, err := call(ctx, cl, host, encodeReport(rp), method(peerconnect.PeerClient.Report))
	if err != nil {
		return shard.ReportResponse{}, err
	}
	return decodeLoads(ms), nil
}

// Orphaned reports whether an attempt's entry host is known to be gone, or says that it does not hold the attempt.
func (cl *Client) Orphaned(ctx context.Context, att id.Attempt) bool {
	host, inc, ok := id.RequestOrigin(id.RequestOf(att))
	if !ok {
		return true
	}
	member, known := cl.members.Member(host)
	if !known {
		// A host that has joined the others knows every host of the last hours; one that has not knows nothing.
		return len(cl.members.OtherHosts()) > 0
	}
	if member.Status == membership.Dead || member.Incarnation > inc {
		return true
	}
	if host == cl.self.Host {
		return !cl.local.ShardClient.HoldsGrant(att)
	}
	ms, err := call(ctx, cl, host, &peer.HoldsRequest{Attempt: string(att)}, method(peerconnect.PeerClient.Holds))
	return err == nil && !ms.GetHeld()
}

// Exchange sends a membership message to the host at an address.
func (cl *Client) Exchange(ctx context.Context, address string, msg membership.Message) (membership.Message, bool, error) {
	answer, err := cl.at(address).Exchange(ctx, connect.NewRequest(EncodeMembershipMessage(msg)))
	if err != nil {
		return membership.Message{}, false, errors.Wrapf(err, "exchange with %s", address)
	}
	return decodeMessage(answer.Msg), answer.Msg.GetReached(), nil
}

// FetchBatch returns what a host has read of the configuration stream.
func (cl *Client) FetchBatch(ctx context.Context, host id.Host, from id.Offset) (configuration.Batch, error) {
	ms, err := call(ctx, cl, host, &peer.RecordsRequest{From: int64(from)}, method(peerconnect.PeerClient.Records))
	if err != nil {
		return configuration.Batch{}, err
	}
	records := configuration.Batch{FirstOffset: id.Offset(ms.GetStart()), Next: id.Offset(ms.GetNext())}
	for _, rec := range ms.GetRecords() {
		records.Records = append(records.Records, configuration.Record{Offset: id.Offset(rec.GetOffset()), Body: rec.GetBody()})
	}
	if len(ms.GetCheckpoint()) > 0 {
		records.Checkpoint = &lists.Checkpoint{}
		if err := json.Unmarshal(ms.GetCheckpoint(), records.Checkpoint); err != nil {
			return configuration.Batch{}, errors.Wrap(err, "decode checkpoint")
		}
	}
	return records, nil
}

// FetchListing returns the host list as a host last read it.
func (cl *Client) FetchListing(ctx context.Context, host id.Host) (fleet.Listing, error) {
	ms, err := call(ctx, cl, host, &peer.ListingRequest{}, method(peerconnect.PeerClient.Listing))
	if err != nil {
		return fleet.Listing{}, err
	}
	return decodeListing(ms), nil
}

// Spend asks a host's home of limits for permission.
func (cl *Client) Spend(ctx context.Context, host id.Host, sp quota.SpendRequest) (outcome.Outcome, error) {
	if host == cl.self.Host {
		return cl.local.QuotaServer.Spend(sp), nil
	}
	ms, err := call(ctx, cl, host, &peer.SpendRequest{
		Organisation: string(sp.Organisation),
		Request:      string(sp.Request),
		Tokens:       int64(sp.PromptTokens),
		Host:         string(sp.Host),
	}, method(peerconnect.PeerClient.Spend))
	if err != nil {
		return outcome.Outcome{}, err
	}
	if ms.GetAllowed() {
		return outcome.Done(), nil
	}
	return decodeRefusal(ms.GetReason(), ms.GetDetail(), ms.GetRetryAfterMillis()), nil
}

// Renew tells a host's home of limits what runs.
func (cl *Client) Renew(ctx context.Context, host id.Host, rn quota.Renewal) error {
	if host == cl.self.Host {
		cl.local.QuotaServer.Renew(rn)
		return nil
	}
	_, err := call(ctx, cl, host, &peer.RenewRequest{
		Host:  string(rn.Host),
		Held:  encodeUsages(rn.Running),
		Ended: encodeUsages(rn.Ended),
	}, method(peerconnect.PeerClient.Renew))
	return err
}

// Append passes an entry to the relay of the own availability zone. If the relay's host can't be reached,
// the own relay asks the log; entries are idempotent, so the log may see one twice.
func (cl *Client) Append(ctx context.Context, en claim.Entry) claim.Answer {
	owner := id.RendezvousOwner("Claims/"+string(cl.self.AvailabilityZone), cl.zoneHosts())
	if owner == "" || owner == cl.self.Host {
		return cl.local.ClaimRelay.Append(ctx, en)
	}
	rq := &peer.ClaimRequest{Kind: string(en.Kind), Key: string(en.Key), Claimant: string(en.Claimant), Result: en.Result}
	first, cancel := context.WithTimeout(ctx, halfOf(ctx, cl.clock.Now()))
	defer cancel()
	rq.RemainingMillis = halfOf(ctx, cl.clock.Now()).Milliseconds()
	ms, err := call(first, cl, owner, rq, method(peerconnect.PeerClient.Claim))
	if err != nil || ms.GetKind() == peer.ClaimResponse_KIND_UNAVAILABLE {
		return cl.local.ClaimRelay.Append(ctx, en)
	}
	return claim.Answer{Verdict: decodeVerdict(ms.GetKind()), Result: ms.GetResult()}
}

// halfOf returns half of the time that a context has left.
func halfOf(ctx context.Context, now time.Time) time.Duration {
	const most = 2 * time.Second
	deadline, ok := ctx.Deadline()
	if !ok {
		return most
	}
	return min(most, deadline.Sub(now)/2)
}

func (cl *Client) zoneHosts() []id.Host {
	var hosts []id.Host
	for _, mb := range cl.members.Live() {
		if mb.AvailabilityZone == cl.self.AvailabilityZone {
			hosts = append(hosts, mb.Host)
		}
	}
	return hosts
}
