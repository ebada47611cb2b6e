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
	"github.com/hibiscuslever/hibiscuslever/coordination/news"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// twoEngines is a fleet of one service.
type twoEngines struct{}

func (twoEngines) EnginesKnown() bool { return true }
func (twoEngines) EngineProfile(id.Service) (route.EngineProfile, bool) {
	return route.EngineProfile{Slots: 4, Capacity: 300_000, StepTime: time.Millisecond, PrefillTokensPerSecond: 177_000, PrefillPerMillionPairs: 184 * time.Microsecond, PrefillChunk: 2048, StepsPerDecodePass: 51}, true
}

func (twoEngines) Engines(id.Service) []batch.EngineSpec {
	return []batch.EngineSpec{{Engine: "a", Address: "a:1"}, {Engine: "b", Address: "b:1"}}
}
func (twoEngines) ListAge() time.Duration { return 0 }

// nobody convicts no request and reaches no host.
type nobody struct{}

func (nobody) QuarantineDecision(id.Fingerprint) (quarantine.Decision, time.Duration) { return quarantine.Run, 0 }
func (nobody) AddCrashEvidence(quarantine.Evidence)                          {}
func (nobody) Dispatchers(id.Service) []id.Host                           { return nil }
func (nobody) RequestGrant(context.Context, id.Host, broker.GrantRequest) (broker.GrantResponse, error) {
	return broker.GrantResponse{}, errNoPart
}

func (nobody) DeliverResponse(context.Context, id.Host, id.Request, broker.GrantResponse) (bool, error) {
	return false, errNoPart
}
func (nobody) SendReport(context.Context, id.Host, broker.Report) error { return errNoPart }
func (nobody) Peers() []news.Peer                                       { return nil }
func (nobody) Isolated() bool                                           { return false }
func (nobody) LiveHosts() []id.Host                                     { return nil }
func (nobody) SendUpdate(context.Context, id.Host, news.Update) error   { return errNoPart }
func (nobody) RequestSync(context.Context, id.Host, route.Version, id.Offset) (news.SyncResponse, error) {
	return news.SyncResponse{}, errNoPart
}

func (nobody) RequestSyncAt(context.Context, string) (news.SyncResponse, error) {
	return news.SyncResponse{}, errNoPart
}

func (nobody) Exchange(context.Context, string, membership.Message) (membership.Message, bool, error) {
	return membership.Message{}, false, errNoPart
}

// noStore decodes nothing.
type noStore struct{ news.Store }

func (noStore) DecodeTable([]byte) (*route.Table, error)             { return nil, errNoPart }
func (noStore) DecodeServer(id.BackendServer, []byte) *roster.Server { return nil }
func (noStore) NewestTable(context.Context) (news.TableRead, error) {
	return news.TableRead{}, errNoPart
}

func (noStore) ReadServerList(context.Context) (news.ServersRead, error) {
	return news.ServersRead{}, errNoPart
}

func (noStore) ReadServerChanges(context.Context, id.Offset) (news.ServersRead, error) {
	return news.ServersRead{}, errNoPart
}

// newFuzzed returns a server of a host that knows two engines.
func newFuzzed() *Server {
	clock := timer.NewSystem()
	logger := slog.New(slog.DiscardHandler)
	return NewServer(LocalComponents{
		BrokerServer: broker.NewServer(batch.DefaultConfig(), clock, twoEngines{}, nobody{}, nobody{}, tally.NoopScope, logger, 1),
		BrokerClient: broker.NewClient(batch.DefaultConfig(), "own", clock, nobody{}, twoEngines{}, tally.NoopScope, logger, 1),
		UpdateFollower:   news.New(news.DefaultConfig(), "own", "zone", clock, noStore{}, nobody{}, nobody{}, tally.NoopScope, logger, 1, func() {}),
		GossipRunner: gossip.New(gossip.DefaultConfig(), membership.Member{Host: "own", PeerAddress: "127.0.0.1:1"}, clock, nobody{}, gossip.Handlers{
			MemberChanged: func(membership.Member) {}, FactLearned: func(membership.Fact) {}, NewerRevision: func(id.Host) {},
		}, tally.NoopScope, 1),
	}, clock)
}

// seedMessages are messages that hosts send, and some that none does.
func seedMessages(f *testing.F) {
	placed := &peer.PlacedRequest{Request: "h.1.1", Service: "s", PromptTokens: 1000, AnswerTokens: 10, TargetMicros: 300_000, PatienceMicros: 2_000_000, Number: 1}
	place := &peer.Place{Attempt: "h.1.1/1", Parts: []*peer.PlacePart{{Engine: "a", Address: "a:1", Tokens: 1010}}}
	for _, ms := range []proto.Message{
		&peer.PlaceRequest{Request: placed, Host: "h"},
		&peer.PlaceRequest{},
		&peer.PlaceRequest{Request: &peer.PlacedRequest{Request: "x", Service: "s", PromptTokens: -1 << 62, AnswerTokens: 1<<63 - 1, AgeMicros: -1 << 63, Number: -1, Rank: -1 << 31}},
		&peer.GiveRequest{Request: "h.1.1", Answer: &peer.PlaceResponse{Place: place}},
		&peer.GiveRequest{Request: "h.1.1", Answer: &peer.PlaceResponse{Place: &peer.Place{}}},
		&peer.ProgressRequest{Held: []*peer.HeldPlace{{Request: placed, Place: place, Started: true}}},
		&peer.ProgressRequest{Held: []*peer.HeldPlace{{}}, Started: []*peer.StartedPlace{{}}, Ended: []*peer.EndedPlace{{Fault: -9, RetryAfterMicros: -1 << 63}}},
		&peer.TellRequest{From: -1, Next: 1 << 62, Records: []*peer.ServerRecord{{Id: "a", Offset: -4}, nil}},
		&peer.ExchangeMessage{Host: "x", Updates: []*peer.MemberUpdate{{Host: "own", Status: 99, Sequence: 1<<32 - 1}, {Host: "y", Status: 4}}, Facts: []*peer.Fact{{Kind: 77, Value: -1}}},
	} {
		body, err := proto.Marshal(ms)
		assert.NilError(f, err)
		f.Add(body)
	}
}

// handle gives a message of one kind to the server, if the bytes are one.
func handle[Q, S any, P interface {
	*Q
	proto.Message
}](body []byte, method func(context.Context, *connect.Request[Q]) (*connect.Response[S], error)) {
	rq := P(new(Q))
	if proto.Unmarshal(body, rq) == nil {
		_, _ = method(context.Background(), connect.NewRequest((*Q)(rq)))
	}
}

// FuzzMessages gives any bytes to a host as messages of other hosts, and then an ordinary one: none may end the process,
// and the ordinary one is answered.
func FuzzMessages(f *testing.F) {
	seedMessages(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		sv := newFuzzed()
		handle[peer.PlaceRequest](body, sv.Place)
		handle[peer.GiveRequest](body, sv.Give)
		handle[peer.ProgressRequest](body, sv.Progress)
		handle[peer.TellRequest](body, sv.Tell)
		handle[peer.CopyRequest](body, sv.Copy)
		handle[peer.ExchangeMessage](body, sv.Exchange)
		rs, err := sv.Place(t.Context(), connect.NewRequest(&peer.PlaceRequest{Host: "h", Request: &peer.PlacedRequest{
			Request: "own.1.1", Service: "another", PromptTokens: 1000, TargetMicros: 300_000, PatienceMicros: 2_000_000, Number: 1,
		}}))
		assert.NilError(t, err)
		assert.Assert(t, rs.Msg.GetPlace() != nil, "%v", rs.Msg)
	})
}
