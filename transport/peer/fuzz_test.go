package peer

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/gossip"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/statesync"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// twoEngineFleet is a fleet whose services all have the same two engines.
type twoEngineFleet struct{}

func (twoEngineFleet) EnginesKnown() bool { return true }
func (twoEngineFleet) EngineProfile(id.Service) (route.EngineProfile, bool) {
	return route.EngineProfile{Slots: 4, Capacity: 300_000, StepTime: time.Millisecond, PrefillTokensPerSecond: 177_000, PrefillPerMillionPairs: 184 * time.Microsecond, PrefillChunk: 2048, StepsPerDecodePass: 51}, true
}

func (twoEngineFleet) Engines(id.Service) []batch.EngineSpec {
	return []batch.EngineSpec{{Engine: "a", Address: "a:1"}, {Engine: "b", Address: "b:1"}}
}
func (twoEngineFleet) RequestLimits(id.Service) []serverlimit.Statement    { return nil }
func (twoEngineFleet) LearnRequestLimits(id.Host, []serverlimit.Statement) {}
func (twoEngineFleet) ListAge() time.Duration                              { return 0 }

// unreachablePeers is a cluster in which no other host can be reached and no request is quarantined.
type unreachablePeers struct{}

func (unreachablePeers) Judge(quarantine.Content) quarantine.Verdict {
	return quarantine.Verdict{Decision: quarantine.Run}
}
func (unreachablePeers) PartsCompleted(id.Service, []id.PromptPart) bool { return false }
func (unreachablePeers) LearnReportedEvidence(quarantine.Evidence)       {}
func (unreachablePeers) Dispatchers(id.Service) []id.Host                { return nil }
func (unreachablePeers) LeadsService(id.Service) bool                    { return true }
func (unreachablePeers) StartedLate() bool                               { return false }
func (unreachablePeers) RequestGrant(context.Context, id.Host, broker.GrantRequest) (broker.GrantResponse, error) {
	return broker.GrantResponse{}, errNotRunning
}

func (unreachablePeers) DeliverResponse(context.Context, id.Host, id.Request, broker.GrantResponse) (bool, error) {
	return false, errNotRunning
}

func (unreachablePeers) AskHeldGrants(context.Context, id.Host, id.Service) ([]broker.HeldGrant, error) {
	return nil, errNotRunning
}

func (unreachablePeers) SendReport(context.Context, id.Host, broker.Report) error {
	return errNotRunning
}
func (unreachablePeers) Peers() []statesync.Peer { return nil }
func (unreachablePeers) Isolated() bool          { return false }
func (unreachablePeers) LiveHosts() []id.Host    { return nil }
func (unreachablePeers) SendUpdate(context.Context, id.Host, statesync.Update) error {
	return errNotRunning
}

func (unreachablePeers) RequestSync(context.Context, id.Host, route.Version, id.Offset) (statesync.SyncResponse, error) {
	return statesync.SyncResponse{}, errNotRunning
}

func (unreachablePeers) RequestSyncAt(context.Context, string) (statesync.SyncResponse, error) {
	return statesync.SyncResponse{}, errNotRunning
}

func (unreachablePeers) Exchange(context.Context, string, membership.Message) (membership.Message, bool, error) {
	return membership.Message{}, false, errNotRunning
}

// unavailableStore is a store that can't be read and whose entries can't be decoded.
type unavailableStore struct{ statesync.Store }

func (unavailableStore) DecodeTable([]byte) (*route.Table, error) { return nil, errNotRunning }
func (unavailableStore) DecodeServer(id.BackendServer, []byte) (*serverlist.Server, error) {
	return nil, errNotRunning
}

func (unavailableStore) NewestTable(context.Context) (statesync.TableRead, error) {
	return statesync.TableRead{}, errNotRunning
}

func (unavailableStore) ReadServerList(context.Context) (statesync.ServersRead, error) {
	return statesync.ServersRead{}, errNotRunning
}

func (unavailableStore) ReadServerChanges(context.Context, id.Offset) (statesync.ServersRead, error) {
	return statesync.ServersRead{}, errNotRunning
}

// newFuzzServer returns the server of a host with two engines and no reachable peers.
func newFuzzServer() *Server {
	clock := timer.NewSystem()
	logger := slog.New(slog.DiscardHandler)
	return NewServer(LocalComponents{
		BrokerServer:   broker.NewServer(batch.DefaultConfig(), clock, twoEngineFleet{}, unreachablePeers{}, unreachablePeers{}, tally.NoopScope, logger, 1),
		BrokerClient:   broker.NewClient(batch.DefaultConfig(), "local", clock, unreachablePeers{}, twoEngineFleet{}, tally.NoopScope, logger, 1),
		UpdateFollower: statesync.New(statesync.DefaultConfig(), "local", "zone", clock, unavailableStore{}, unreachablePeers{}, unreachablePeers{}, tally.NoopScope, logger, 1, func() {}),
		GossipRunner: gossip.New(gossip.DefaultConfig(), membership.Member{Host: "local", PeerAddress: "127.0.0.1:1"}, clock, unreachablePeers{}, gossip.Handlers{
			MemberChanged: func(membership.Member) {}, FactLearned: func(membership.Fact) {}, NewerRevision: func(id.Host) {},
		}, tally.NoopScope, 1),
	}, clock)
}

// addMessageSeeds adds valid messages, and messages with missing or extreme values, to the fuzzing corpus.
func addMessageSeeds(f *testing.F) {
	grantRequest := &peer.PlacedRequest{Request: "h.1.1", Service: "s", PromptTokens: 1000, AnswerTokens: 10, TargetMicros: 300_000, PatienceMicros: 2_000_000, Number: 1}
	grant := &peer.Place{Attempt: "h.1.1/1", Parts: []*peer.PlacePart{{Engine: "a", Address: "a:1", Tokens: 1010}}}
	for _, message := range []proto.Message{
		&peer.PlaceRequest{Request: grantRequest, Host: "h"},
		&peer.PlaceRequest{},
		&peer.PlaceRequest{Request: &peer.PlacedRequest{Request: "x", Service: "s", PromptTokens: -1 << 62, AnswerTokens: 1<<63 - 1, AgeMicros: -1 << 63, Number: -1, Rank: -1 << 31}},
		&peer.GiveRequest{Request: "h.1.1", Answer: &peer.PlaceResponse{Place: grant}},
		&peer.GiveRequest{Request: "h.1.1", Answer: &peer.PlaceResponse{Place: &peer.Place{}}},
		&peer.ProgressRequest{Held: []*peer.HeldPlace{{Request: grantRequest, Place: grant, Started: true}}},
		&peer.ProgressRequest{Held: []*peer.HeldPlace{{}}, Started: []*peer.StartedPlace{{}}, Ended: []*peer.EndedPlace{{Fault: -9, RetryAfterMicros: -1 << 63}}},
		&peer.TellRequest{From: -1, Next: 1 << 62, Records: []*peer.ServerRecord{{Id: "a", Offset: -4}, nil}},
		&peer.TellRequest{From: -1, Next: -1, Evacuations: &peer.Evacuations{Quiet: 1 << 62, Next: -9, Zones: []*peer.Evacuation{{Zone: "z", Offset: -1}, nil}}},
		&peer.TellRequest{From: -1, Next: -1, Evacuations: &peer.Evacuations{Quiet: -1 << 63, Next: 1<<63 - 1, Zones: []*peer.Evacuation{{}, {Zone: "z"}, {Zone: "z", Offset: 1<<63 - 1}}}},
		&peer.ExchangeMessage{Host: "x", Updates: []*peer.MemberUpdate{{Host: "local", Status: 99, Sequence: 1<<32 - 1}, {Host: "y", Status: 4}}, Facts: []*peer.Fact{{Kind: 77, Value: -1}}},
	} {
		body, err := proto.Marshal(message)
		assert.NilError(f, err)
		f.Add(body)
	}
}

// callWithBody calls an RPC method with the message that the bytes encode. It does nothing if they are not a valid
// message of that type.
func callWithBody[Q, S any, P interface {
	*Q
	proto.Message
}](body []byte, method func(context.Context, *connect.Request[Q]) (*connect.Response[S], error)) {
	message := P(new(Q))
	if proto.Unmarshal(body, message) == nil {
		_, _ = method(context.Background(), connect.NewRequest((*Q)(message)))
	}
}

// FuzzMessages passes arbitrary bytes to a host as messages from other hosts. None of them may crash the process, and a
// valid request afterwards must get a grant.
func FuzzMessages(f *testing.F) {
	addMessageSeeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		server := newFuzzServer()
		callWithBody[peer.PlaceRequest](body, server.Place)
		callWithBody[peer.GiveRequest](body, server.Give)
		callWithBody[peer.ProgressRequest](body, server.Progress)
		callWithBody[peer.TellRequest](body, server.Tell)
		callWithBody[peer.CopyRequest](body, server.Copy)
		callWithBody[peer.ExchangeMessage](body, server.Exchange)
		response, err := server.Place(t.Context(), connect.NewRequest(&peer.PlaceRequest{Host: "h", Request: &peer.PlacedRequest{
			Request: "local.1.1", Service: "another", PromptTokens: 1000, TargetMicros: 300_000, PatienceMicros: 2_000_000, Number: 1,
		}}))
		assert.NilError(t, err)
		assert.Assert(t, response.Msg.GetPlace() != nil, "%v", response.Msg)
	})
}
