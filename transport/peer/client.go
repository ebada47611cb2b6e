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
	"github.com/hibiscuslever/hibiscuslever/transport/fetch"
	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

// dialTimeout limits the time to open a connection to another host.
const dialTimeout = 400 * time.Millisecond

// maxMessageBytes limits the size of a message from another host. The largest messages are copies of the desired state
// and of the list of backend servers.
const maxMessageBytes = 8 << 20

// Members provides the local view of the cluster membership.
type Members interface {
	// Member returns the state of a host, and false if the host is not a member.
	Member(host id.Host) (membership.Member, bool)
	// Live returns the members that accept new work. The slice stays the same until the membership changes.
	Live() []membership.Member
	// LiveHosts returns the names of the members that accept new work.
	LiveHosts() []id.Host
	// RemoteMembers returns the members other than the local host, in order.
	RemoteMembers() []membership.Member
	// OtherHosts returns the names of the remote members that are not dead.
	OtherHosts() []id.Host
	// Isolated reports whether no other host has been in contact for some time.
	Isolated() bool
	// ConnectionRefused records that a host refused a connection.
	ConnectionRefused(ctx context.Context, host id.Host)
}

// Client calls the other hosts. Calls to the local host are function calls that don't use the network. It is safe for
// concurrent use after Bind.
type Client struct {
	// self is the local host.
	self       membership.Member
	clock      timer.Clock
	httpClient *http.Client
	options    []connect.ClientOption
	local      LocalComponents
	members    Members

	mutex            sync.Mutex
	clientsByAddress map[string]peerconnect.PeerClient
	// dispatcherOrders caches the order of dispatchers of each service until the live members change.
	dispatcherOrders map[id.Service]dispatcherOrder
}

// dispatcherOrder is the order of dispatchers of a service, computed from the live members.
type dispatcherOrder struct {
	liveMembers []membership.Member
	dispatchers []id.Host
}

// NewClient returns a client for the local host, self, that uses HTTP/2. Bind must be called before any method that
// calls a host by its name.
func NewClient(self membership.Member, clock timer.Clock, options ...connect.ClientOption) *Client {
	transport := newTransport()
	transport.Protocols.SetUnencryptedHTTP2(true)
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: 5 * time.Second, PingTimeout: 2 * time.Second}
	return newClient(self, clock, transport, options...)
}

// NewHTTP1Client returns a client that uses HTTP/1.1 without compression. An unresponsive connection then delays only
// the one call that uses it, and small messages need little processor time.
func NewHTTP1Client(self membership.Member, clock timer.Clock, options ...connect.ClientOption) *Client {
	transport := newTransport()
	transport.Protocols.SetHTTP1(true)
	options = append(options, connect.WithAcceptCompression("gzip", nil, nil))
	return newClient(self, clock, transport, options...)
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: fetch.MaxHeadBytes,
		Protocols:              new(http.Protocols),
	}
}

func newClient(self membership.Member, clock timer.Clock, transport *http.Transport, options ...connect.ClientOption) *Client {
	return &Client{
		self:             self,
		clock:            clock,
		httpClient:       &http.Client{Transport: httpresponse.NewTransport(transport)},
		options:          append(options, connect.WithReadMaxBytes(maxMessageBytes)),
		clientsByAddress: map[string]peerconnect.PeerClient{},
		dispatcherOrders: map[id.Service]dispatcherOrder{},
	}
}

// Bind sets the components of the local host and the view of the membership. It must be called before concurrent use.
func (cl *Client) Bind(local LocalComponents, members Members) {
	cl.local = local
	cl.members = members
}

// Close closes idle connections.
func (cl *Client) Close() {
	cl.httpClient.CloseIdleConnections()
}

// clientAt returns the RPC client for an address and creates it if needed.
func (cl *Client) clientAt(address string) peerconnect.PeerClient {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	client, ok := cl.clientsByAddress[address]
	if !ok {
		client = peerconnect.NewPeerClient(cl.httpClient, "http://"+address, cl.options...)
		cl.clientsByAddress[address] = client
	}
	return client
}

// clientFor returns the RPC client for a host. A host that is not a member is an error.
func (cl *Client) clientFor(host id.Host) (peerconnect.PeerClient, error) {
	member, isMember := cl.members.Member(host)
	if !isMember {
		return nil, fmt.Errorf("host %q is not a member", host)
	}
	return cl.clientAt(member.PeerAddress), nil
}

// call calls an RPC method of a host and records a refused connection with the membership.
func call[Q, S any](ctx context.Context, cl *Client, host id.Host, request *Q, method func(peerconnect.PeerClient) func(context.Context, *connect.Request[Q]) (*connect.Response[S], error)) (*S, error) {
	client, err := cl.clientFor(host)
	if err != nil {
		return nil, err
	}
	response, err := method(client)(ctx, connect.NewRequest(request))
	if err != nil {
		if isConnectionRefused(err) {
			cl.members.ConnectionRefused(context.WithoutCancel(ctx), host)
		}
		return nil, errors.Wrapf(err, "call host %s", host)
	}
	return response.Msg, nil
}

// isConnectionRefused reports whether the connection could not be opened, for a reason other than a timeout.
func isConnectionRefused(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial" && !opError.Timeout()
}

// ShardDispatchers returns the live hosts in order of preference as dispatcher of a shard.
func (cl *Client) ShardDispatchers(name id.Shard) []id.Host {
	return id.RendezvousOrder("Shard/"+string(name), cl.members.LiveHosts())
}

// LiveHosts returns the hosts that accept new work.
func (cl *Client) LiveHosts() []id.Host {
	return cl.members.LiveHosts()
}

// OtherHosts returns the remote hosts that are not dead.
func (cl *Client) OtherHosts() []id.Host {
	return cl.members.OtherHosts()
}

// RequestShardGrant requests a grant from the shard dispatcher on a host.
func (cl *Client) RequestShardGrant(ctx context.Context, host id.Host, request shard.GrantRequest) (shard.GrantResponse, error) {
	if host == cl.self.Host {
		return cl.local.ShardServer.RequestGrant(ctx, request), nil
	}
	response, err := call(ctx, cl, host, encodeShardGrantRequest(request, cl.clock.Now()), rpcMethod(peerconnect.PeerClient.Acquire))
	if err != nil {
		return shard.GrantResponse{}, err
	}
	return decodeShardGrantResponse(response), nil
}

// rpcMethod converts a method expression such as peerconnect.PeerClient.Acquire into a function that returns the method
// of a given client, which is the form that call takes.
func rpcMethod[Q, S any](methodExpr func(peerconnect.PeerClient, context.Context, *connect.Request[Q]) (*connect.Response[S], error)) func(peerconnect.PeerClient) func(context.Context, *connect.Request[Q]) (*connect.Response[S], error) {
	return func(client peerconnect.PeerClient) func(context.Context, *connect.Request[Q]) (*connect.Response[S], error) {
		return func(ctx context.Context, request *connect.Request[Q]) (*connect.Response[S], error) {
			return methodExpr(client, ctx, request)
		}
	}
}

// SendShardReport reports the grants that the local host holds and has ended to the shard dispatchers on a host.
func (cl *Client) SendShardReport(ctx context.Context, host id.Host, report shard.Report) (shard.ReportResponse, error) {
	if host == cl.self.Host {
		return cl.local.ShardServer.HandleReport(context.WithoutCancel(ctx), report), nil
	}
	response, err := call(ctx, cl, host, encodeShardReport(report), rpcMethod(peerconnect.PeerClient.Report))
	if err != nil {
		return shard.ReportResponse{}, err
	}
	return decodeShardReportResponse(response), nil
}

// Orphaned reports whether no entry host holds an attempt: its ID was not made by an entry host, or its entry host is
// known to be gone or to have restarted, or has confirmed that it does not hold the attempt. It returns false if the
// entry host does not answer.
func (cl *Client) Orphaned(ctx context.Context, attempt id.Attempt) bool {
	host, incarnation, ok := id.RequestOrigin(id.RequestOf(attempt))
	if !ok {
		return true
	}
	member, isMember := cl.members.Member(host)
	if !isMember {
		// A host that has joined the cluster knows every host of the last hours, so an unknown host is gone. A host
		// that has not joined knows no host, so nothing follows from an unknown one.
		return len(cl.members.OtherHosts()) > 0
	}
	if member.Status == membership.Dead || member.Incarnation > incarnation {
		return true
	}
	if host == cl.self.Host {
		return !cl.local.ShardClient.HoldsGrant(attempt)
	}
	response, err := call(ctx, cl, host, &peer.HoldsRequest{Attempt: string(attempt)}, rpcMethod(peerconnect.PeerClient.Holds))
	return err == nil && !response.GetHeld()
}

// Exchange sends a membership message to the host at an address. It returns the reply, and whether the host could reach
// the target of a probe that the message asked for.
func (cl *Client) Exchange(ctx context.Context, address string, message membership.Message) (membership.Message, bool, error) {
	response, err := cl.clientAt(address).Exchange(ctx, connect.NewRequest(EncodeMembershipMessage(message)))
	if err != nil {
		return membership.Message{}, false, errors.Wrapf(err, "exchange membership messages with %s", address)
	}
	return decodeMembershipMessage(response.Msg), response.Msg.GetReached(), nil
}

// FetchBatch returns the records of the configuration stream that a host has read, starting at an offset. If the host
// no longer has the first of them, the batch has a checkpoint in their place.
func (cl *Client) FetchBatch(ctx context.Context, host id.Host, from id.Offset) (configuration.Batch, error) {
	response, err := call(ctx, cl, host, &peer.RecordsRequest{From: int64(from)}, rpcMethod(peerconnect.PeerClient.Records))
	if err != nil {
		return configuration.Batch{}, err
	}
	batch := configuration.Batch{FirstOffset: id.Offset(response.GetStart()), Next: id.Offset(response.GetNext())}
	for _, record := range response.GetRecords() {
		batch.Records = append(batch.Records, configuration.Record{Offset: id.Offset(record.GetOffset()), Body: record.GetBody()})
	}
	if len(response.GetCheckpoint()) > 0 {
		batch.Checkpoint = &lists.Checkpoint{}
		if err := json.Unmarshal(response.GetCheckpoint(), batch.Checkpoint); err != nil {
			return configuration.Batch{}, errors.Wrap(err, "decode checkpoint")
		}
	}
	return batch, nil
}

// FetchListing returns the platform's list of engines and backend servers as a host last read it.
func (cl *Client) FetchListing(ctx context.Context, host id.Host) (fleet.Listing, error) {
	response, err := call(ctx, cl, host, &peer.ListingRequest{}, rpcMethod(peerconnect.PeerClient.Listing))
	if err != nil {
		return fleet.Listing{}, err
	}
	return decodeListing(response), nil
}

// Spend asks the quota server on a host for permission to run a request. It returns a refusal if a limit is reached.
func (cl *Client) Spend(ctx context.Context, host id.Host, spend quota.SpendRequest) (outcome.Outcome, error) {
	if host == cl.self.Host {
		return cl.local.QuotaServer.Spend(spend), nil
	}
	response, err := call(ctx, cl, host, &peer.SpendRequest{
		Organisation: string(spend.Organisation),
		Request:      string(spend.Request),
		Tokens:       int64(spend.PromptTokens),
		Host:         string(spend.Host),
	}, rpcMethod(peerconnect.PeerClient.Spend))
	if err != nil {
		return outcome.Outcome{}, err
	}
	if response.GetAllowed() {
		return outcome.Done(), nil
	}
	return decodeRefusal(response.GetReason(), response.GetDetail(), response.GetRetryAfterMillis()), nil
}

// Renew informs the quota server on a host which requests of the local host run and which have ended.
func (cl *Client) Renew(ctx context.Context, host id.Host, renewal quota.Renewal) error {
	if host == cl.self.Host {
		cl.local.QuotaServer.Renew(renewal)
		return nil
	}
	_, err := call(ctx, cl, host, &peer.RenewRequest{
		Host:  string(renewal.Host),
		Held:  encodeConcurrencyUses(renewal.Running),
		Ended: encodeConcurrencyUses(renewal.Ended),
	}, rpcMethod(peerconnect.PeerClient.Renew))
	return err
}

// Append passes a claim entry to the host that relays claims for the local availability zone. If that host does not
// answer within half of the remaining time, at most 2 s, or could not reach the log, the local relay appends the entry
// itself. The log may then receive the entry twice, which is harmless because entries are idempotent.
func (cl *Client) Append(ctx context.Context, entry claim.Entry) claim.Answer {
	relayHost := id.RendezvousOwner("Claims/"+string(cl.self.AvailabilityZone), cl.localZoneHosts())
	if relayHost == "" || relayHost == cl.self.Host {
		return cl.local.ClaimRelay.Append(ctx, entry)
	}
	request := &peer.ClaimRequest{Kind: string(entry.Kind), Key: string(entry.Key), Claimant: string(entry.Claimant), Result: entry.Result}
	relayCtx, cancel := context.WithTimeout(ctx, halfOfRemaining(ctx, cl.clock.Now()))
	defer cancel()
	request.RemainingMillis = halfOfRemaining(ctx, cl.clock.Now()).Milliseconds()
	response, err := call(relayCtx, cl, relayHost, request, rpcMethod(peerconnect.PeerClient.Claim))
	if err != nil || response.GetKind() == peer.ClaimResponse_KIND_UNAVAILABLE {
		return cl.local.ClaimRelay.Append(ctx, entry)
	}
	return claim.Answer{Verdict: decodeVerdict(response.GetKind()), Result: response.GetResult()}
}

// halfOfRemaining returns half of the time until the deadline of a context, but at most 2 s. It returns 2 s if there is
// no deadline.
func halfOfRemaining(ctx context.Context, now time.Time) time.Duration {
	const maxWait = 2 * time.Second
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxWait
	}
	return min(maxWait, deadline.Sub(now)/2)
}

// localZoneHosts returns the live hosts in the local availability zone.
func (cl *Client) localZoneHosts() []id.Host {
	var hosts []id.Host
	for _, member := range cl.members.Live() {
		if member.AvailabilityZone == cl.self.AvailabilityZone {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}
