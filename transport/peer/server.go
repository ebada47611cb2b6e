// Package peer implements the RPCs between entry hosts with Connect. Client calls other hosts and Server answers them.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/claim"
	"github.com/hibiscuslever/hibiscuslever/coordination/configuration"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/gossip"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/relay"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/coordination/statesync"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
)

// LocalComponents holds the components of the local host that answer calls from other hosts and from itself.
type LocalComponents struct {
	ShardServer           *shard.Server
	ShardClient           *shard.Client
	GossipRunner          *gossip.Runner
	ConfigurationFollower *configuration.Follower
	ClaimRelay            *relay.Relay
	QuotaServer           *quota.Server
	FleetView             *fleet.View
	// BrokerServer, BrokerClient and UpdateFollower are set only on hosts that serve on the users' platform.
	BrokerServer   *broker.Server
	BrokerClient   *broker.Client
	UpdateFollower *statesync.Follower
	// PermitIssuer is also set only on hosts that serve on the users' platform.
	PermitIssuer *requestlimit.Issuer
	// RelayServer makes calls to backend servers on behalf of other hosts. It is nil on hosts that make none.
	RelayServer RelayServer
	// BodyMemory limits the memory for the bodies of these calls; nil for no limit.
	BodyMemory *bodymemory.Memory
}

// Server implements the RPCs that other hosts call.
type Server struct {
	local LocalComponents
	clock timer.Clock
}

// NewServer returns a server that passes calls to the components of the local host.
func NewServer(local LocalComponents, clock timer.Clock) *Server {
	return &Server{local: local, clock: clock}
}

// Handler returns the HTTP handler of the RPCs.
func (sv *Server) Handler(options ...connect.HandlerOption) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerconnect.NewPeerHandler(sv, append(options, connect.WithReadMaxBytes(maxMessageBytes))...))
	if sv.local.RelayServer != nil {
		mux.Handle("POST "+relayPath, &relayHandler{server: sv.local.RelayServer, clock: sv.clock, bodyMemory: sv.local.BodyMemory})
	}
	return mux
}

// Acquire requests a grant from a local shard dispatcher on behalf of another host.
func (sv *Server) Acquire(ctx context.Context, request *connect.Request[peer.AcquireRequest]) (*connect.Response[peer.AcquireResponse], error) {
	response := sv.local.ShardServer.RequestGrant(ctx, decodeShardGrantRequest(request.Msg, sv.clock.Now()))
	return connect.NewResponse(encodeShardGrantResponse(response)), nil
}

// Report passes the report of an entry host to the local shard dispatchers. The report is handled completely even if
// the caller cancels the call.
func (sv *Server) Report(ctx context.Context, request *connect.Request[peer.ReportRequest]) (*connect.Response[peer.ReportResponse], error) {
	response := sv.local.ShardServer.HandleReport(context.WithoutCancel(ctx), decodeShardReport(request.Msg))
	return connect.NewResponse(encodeShardReportResponse(response)), nil
}

// Exchange handles a membership message and returns the reply.
func (sv *Server) Exchange(ctx context.Context, request *connect.Request[peer.ExchangeMessage]) (*connect.Response[peer.ExchangeMessage], error) {
	reply, reached := sv.local.GossipRunner.Receive(ctx, decodeMembershipMessage(request.Msg))
	response := EncodeMembershipMessage(reply)
	response.Reached = reached
	return connect.NewResponse(response), nil
}

// Records returns the records of the configuration stream that the local host has read, starting at an offset.
func (sv *Server) Records(_ context.Context, request *connect.Request[peer.RecordsRequest]) (*connect.Response[peer.RecordsResponse], error) {
	batch, err := sv.local.ConfigurationFollower.BatchFrom(id.Offset(request.Msg.GetFrom()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &peer.RecordsResponse{Start: int64(batch.FirstOffset), Next: int64(batch.Next)}
	for _, record := range batch.Records {
		response.Records = append(response.Records, &peer.Record{Offset: int64(record.Offset), Body: record.Body})
	}
	if batch.Checkpoint != nil {
		body, err := json.Marshal(batch.Checkpoint)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		response.Checkpoint = body
	}
	return connect.NewResponse(response), nil
}

// Claim passes a claim entry to the local relay and waits for the verdict, at most for the remaining time of the
// caller.
func (sv *Server) Claim(ctx context.Context, request *connect.Request[peer.ClaimRequest]) (*connect.Response[peer.ClaimResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.Msg.GetRemainingMillis())*time.Millisecond)
	defer cancel()
	response := sv.local.ClaimRelay.Append(ctx, claim.Entry{
		Kind:     claim.EntryKind(request.Msg.GetKind()),
		Key:      claim.Key(request.Msg.GetKey()),
		Claimant: claim.Claimant(request.Msg.GetClaimant()),
		Result:   request.Msg.GetResult(),
	})
	return connect.NewResponse(&peer.ClaimResponse{Kind: encodeVerdict(response.Verdict), Result: response.Result}), nil
}

func encodeVerdict(verdict claim.Verdict) peer.ClaimResponse_Kind {
	switch verdict {
	case claim.Won:
		return peer.ClaimResponse_KIND_WON
	case claim.Lost:
		return peer.ClaimResponse_KIND_LOST
	case claim.Done:
		return peer.ClaimResponse_KIND_DONE
	default:
		return peer.ClaimResponse_KIND_UNAVAILABLE
	}
}

func decodeVerdict(kind peer.ClaimResponse_Kind) claim.Verdict {
	switch kind {
	case peer.ClaimResponse_KIND_WON:
		return claim.Won
	case peer.ClaimResponse_KIND_LOST:
		return claim.Lost
	case peer.ClaimResponse_KIND_DONE:
		return claim.Done
	default:
		return claim.Unavailable
	}
}

// Spend asks the local quota server for permission to run a request.
func (sv *Server) Spend(_ context.Context, request *connect.Request[peer.SpendRequest]) (*connect.Response[peer.SpendResponse], error) {
	oc := sv.local.QuotaServer.Spend(quota.SpendRequest{
		Organisation: id.Organisation(request.Msg.GetOrganisation()),
		Request:      id.Request(request.Msg.GetRequest()),
		PromptTokens: id.Tokens(request.Msg.GetTokens()),
		Host:         id.Host(request.Msg.GetHost()),
	})
	return connect.NewResponse(&peer.SpendResponse{
		Allowed:          oc.OK(),
		Reason:           string(oc.Reason),
		Detail:           oc.Detail,
		RetryAfterMillis: oc.RetryAfter.Milliseconds(),
	}), nil
}

// Renew informs the local quota server which requests of another host run and which have ended.
func (sv *Server) Renew(_ context.Context, request *connect.Request[peer.RenewRequest]) (*connect.Response[peer.RenewResponse], error) {
	sv.local.QuotaServer.Renew(quota.Renewal{
		Host:    id.Host(request.Msg.GetHost()),
		Running: decodeConcurrencyUses(request.Msg.GetHeld()),
		Ended:   decodeConcurrencyUses(request.Msg.GetEnded()),
	})
	return connect.NewResponse(&peer.RenewResponse{}), nil
}

// Listing returns the platform's list of engines and backend servers as the local host last read it. It is an error if
// the list was never read.
func (sv *Server) Listing(context.Context, *connect.Request[peer.ListingRequest]) (*connect.Response[peer.ListingResponse], error) {
	listing, available := sv.local.FleetView.Listing()
	if !available {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the host list has not been read yet"))
	}
	return connect.NewResponse(encodeListing(listing)), nil
}

// Holds reports whether the local host holds the grant of an attempt.
func (sv *Server) Holds(_ context.Context, request *connect.Request[peer.HoldsRequest]) (*connect.Response[peer.HoldsResponse], error) {
	return connect.NewResponse(&peer.HoldsResponse{Held: sv.local.ShardClient.HoldsGrant(id.Attempt(request.Msg.GetAttempt()))}), nil
}
