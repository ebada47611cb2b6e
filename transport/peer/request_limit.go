package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer/peerconnect"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// RequestPermit asks the host that counts the requests to servers with a request limit for permission to send one.
func (cl *Client) RequestPermit(ctx context.Context, host id.Host, request requestlimit.PermitRequest) (requestlimit.Permit, error) {
	if host == cl.self.Host {
		return cl.local.PermitIssuer.Issue(request)
	}
	message := &peer.PermitRequest{
		Service: string(request.Service), MaxWaitMicros: request.MaxWait.Microseconds(), Limits: encodeFacts(request.Limits, requestlimit.ToFact), Host: string(cl.self.Host),
	}
	for _, server := range request.Servers {
		message.Servers = append(message.Servers, string(server))
	}
	response, err := call(ctx, cl, host, message, rpcMethod(peerconnect.PeerClient.Permit))
	if err != nil {
		return requestlimit.Permit{}, err
	}
	return requestlimit.Permit{Server: id.BackendServer(response.GetServer()), Wait: durationFromMicros(response.GetWaitMicros())}, nil
}

// Permit issues a permit of the local host to another host.
func (sv *Server) Permit(_ context.Context, message *connect.Request[peer.PermitRequest]) (*connect.Response[peer.PermitResponse], error) {
	if sv.local.PermitIssuer == nil {
		return nil, errNotRunning
	}
	request := requestlimit.PermitRequest{
		Host: id.Host(message.Msg.GetHost()), Service: id.Service(message.Msg.GetService()),
		MaxWait: durationFromMicros(message.Msg.GetMaxWaitMicros()), Limits: decodeStatements(message.Msg.GetLimits()),
	}
	for _, server := range message.Msg.GetServers() {
		request.Servers = append(request.Servers, id.BackendServer(server))
	}
	permit, err := sv.local.PermitIssuer.Issue(request)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&peer.PermitResponse{Server: string(permit.Server), WaitMicros: permit.Wait.Microseconds()}), nil
}

// decodeStatements decodes statements on request limits. It skips facts of other kinds.
func decodeStatements(facts []*peer.Fact) []serverlimit.Statement {
	var statements []serverlimit.Statement
	for _, fact := range facts {
		if statement, ok := requestlimit.FromFact(decodeFact(fact)); ok {
			statements = append(statements, statement)
		}
	}
	return statements
}
