package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// AskHeldGrants returns the grants of a service that an entry host holds. A host of an earlier build returns an error.
func (cl *Client) AskHeldGrants(ctx context.Context, host id.Host, service id.Service) ([]broker.HeldGrant, error) {
	if host == cl.self.Host {
		return cl.local.BrokerClient.HeldGrants(service), nil
	}
	response, err := call(ctx, cl, host, &peer.HeldRequest{Service: string(service)}, rpcMethod(peerconnect.PeerClient.Held))
	if err != nil {
		return nil, err
	}
	return decodeHeldGrants(response.GetHeld(), cl.clock.Now())
}

// Held returns the grants of a service that the local host holds.
func (sv *Server) Held(_ context.Context, request *connect.Request[peer.HeldRequest]) (*connect.Response[peer.HeldResponse], error) {
	if sv.local.BrokerClient == nil {
		return nil, errNotRunning
	}
	held := sv.local.BrokerClient.HeldGrants(id.Service(request.Msg.GetService()))
	return connect.NewResponse(&peer.HeldResponse{Held: encodeHeldGrants(held, sv.clock.Now())}), nil
}

func encodeHeldGrants(heldGrants []broker.HeldGrant, now time.Time) []*peer.HeldPlace {
	var messages []*peer.HeldPlace
	for _, held := range heldGrants {
		messages = append(messages, &peer.HeldPlace{Request: encodeBrokerGrantRequest(held.GrantRequest, now), Place: encodeBrokerGrant(held.Grant), Started: held.Started})
	}
	return messages
}

// decodeHeldGrants is the reverse of encodeHeldGrants. It is an error if one of the grants is incomplete.
func decodeHeldGrants(messages []*peer.HeldPlace, now time.Time) ([]broker.HeldGrant, error) {
	var heldGrants []broker.HeldGrant
	for _, message := range messages {
		grant, err := decodeBrokerGrant(message.GetPlace())
		if err != nil {
			return nil, err
		}
		heldGrants = append(heldGrants, broker.HeldGrant{GrantRequest: decodeBrokerGrantRequest(message.GetRequest(), now), Grant: grant, Started: message.GetStarted()})
	}
	return heldGrants, nil
}
