// Package peer connects entry hosts with each other through connect.
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
	"github.com/hibiscuslever/hibiscuslever/coordination/news"
	"github.com/hibiscuslever/hibiscuslever/coordination/quota"
	"github.com/hibiscuslever/hibiscuslever/coordination/relay"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// LocalComponents holds the parts of the own host that answer other hosts.
type LocalComponents struct {
	ShardServer        *shard.Server
	ShardClient        *shard.Client
	GossipRunner        *gossip.Runner
	ConfigurationFollower *configuration.Follower
	ClaimRelay         *relay.Relay
	QuotaServer         *quota.Server
	FleetView         *fleet.View
	// BrokerServer, Places and News are set on hosts that serve on the users' platform.
	BrokerServer *broker.Server
	BrokerClient *broker.Client
	UpdateFollower   *news.Follower
}

// Server answers other hosts.
type Server struct {
	local LocalComponents
	clock timer.Service
}

// NewServer returns a server for the parts of the own host.
func NewServer(local LocalComponents, clock timer.Service) *Server {
	return &Server{local: local, clock: clock}
}

// Handler returns the HTTP interface for other hosts.
func (sv *Server) Handler(opts ...connect.HandlerOption) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerconnect.NewPeerHandler(sv, append(opts, connect.WithReadMaxBytes(maxMessageBytes))...))
	return mux
}

// Acquire asks the own dispatcher for a grant.
func (sv *Server) Acquire(ctx context.Context, rq *connect.Request[peer.AcquireRequest]) (*connect.Response[peer.AcquireResponse], error) {
	answer := sv.local.ShardServer.RequestGrant(ctx, decodeAsk(rq.Msg, sv.clock.Now()))
	return connect.NewResponse(encodeAnswer(answer)), nil
}

// Report takes what an entry host holds.
func (sv *Server) Report(ctx context.Context, rq *connect.Request[peer.ReportRequest]) (*connect.Response[peer.ReportResponse], error) {
	loads := sv.local.ShardServer.HandleReport(context.WithoutCancel(ctx), decodeReport(rq.Msg))
	return connect.NewResponse(encodeLoads(loads)), nil
}

// Exchange takes a membership message and answers it.
func (sv *Server) Exchange(ctx context.Context, rq *connect.Request[peer.ExchangeMessage]) (*connect.Response[peer.ExchangeMessage], error) {
	answer, reached := sv.local.GossipRunner.Receive(ctx, decodeMessage(rq.Msg))
	ms := EncodeMembershipMessage(answer)
	ms.Reached = reached
	return connect.NewResponse(ms), nil
}

// Records returns what the own host has read of the configuration stream.
func (sv *Server) Records(_ context.Context, rq *connect.Request[peer.RecordsRequest]) (*connect.Response[peer.RecordsResponse], error) {
	records, err := sv.local.ConfigurationFollower.BatchFrom(id.Offset(rq.Msg.GetFrom()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	ms := &peer.RecordsResponse{Start: int64(records.FirstOffset), Next: int64(records.Next)}
	for _, rec := range records.Records {
		ms.Records = append(ms.Records, &peer.Record{Offset: int64(rec.Offset), Body: rec.Body})
	}
	if records.Checkpoint != nil {
		body, err := json.Marshal(records.Checkpoint)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		ms.Checkpoint = body
	}
	return connect.NewResponse(ms), nil
}

// Claim passes an entry to the own claims relay.
func (sv *Server) Claim(ctx context.Context, rq *connect.Request[peer.ClaimRequest]) (*connect.Response[peer.ClaimResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rq.Msg.GetRemainingMillis())*time.Millisecond)
	defer cancel()
	answer := sv.local.ClaimRelay.Append(ctx, claim.Entry{
		Kind:     claim.EntryKind(rq.Msg.GetKind()),
		Key:      claim.Key(rq.Msg.GetKey()),
		Claimant: claim.Claimant(rq.Msg.GetClaimant()),
		Result:   rq.Msg.GetResult(),
	})
	return connect.NewResponse(&peer.ClaimResponse{Kind: encodeVerdict(answer.Verdict), Result: answer.Result}), nil
}

func encodeVerdict(vd claim.Verdict) peer.ClaimResponse_Kind {
	switch vd {
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

// Spend asks the own home of limits for permission.
func (sv *Server) Spend(_ context.Context, rq *connect.Request[peer.SpendRequest]) (*connect.Response[peer.SpendResponse], error) {
	oc := sv.local.QuotaServer.Spend(quota.SpendRequest{
		Organisation: id.Organisation(rq.Msg.GetOrganisation()),
		Request:      id.Request(rq.Msg.GetRequest()),
		PromptTokens: id.Tokens(rq.Msg.GetTokens()),
		Host:         id.Host(rq.Msg.GetHost()),
	})
	return connect.NewResponse(&peer.SpendResponse{
		Allowed:          oc.OK(),
		Reason:           string(oc.Reason),
		Detail:           oc.Detail,
		RetryAfterMillis: oc.RetryAfter.Milliseconds(),
	}), nil
}

// Renew takes what runs on another host.
func (sv *Server) Renew(_ context.Context, rq *connect.Request[peer.RenewRequest]) (*connect.Response[peer.RenewResponse], error) {
	sv.local.QuotaServer.Renew(quota.Renewal{
		Host:    id.Host(rq.Msg.GetHost()),
		Running: decodeUsages(rq.Msg.GetHeld()),
		Ended:   decodeUsages(rq.Msg.GetEnded()),
	})
	return connect.NewResponse(&peer.RenewResponse{}), nil
}

// Listing returns the host list as the own host last read it.
func (sv *Server) Listing(context.Context, *connect.Request[peer.ListingRequest]) (*connect.Response[peer.ListingResponse], error) {
	listing, known := sv.local.FleetView.Listing()
	if !known {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the host list has not been read yet"))
	}
	return connect.NewResponse(encodeListing(listing)), nil
}

// Holds tells whether the own host holds the grant of an attempt.
func (sv *Server) Holds(_ context.Context, rq *connect.Request[peer.HoldsRequest]) (*connect.Response[peer.HoldsResponse], error) {
	return connect.NewResponse(&peer.HoldsResponse{Held: sv.local.ShardClient.HoldsGrant(id.Attempt(rq.Msg.GetAttempt()))}), nil
}
