package gossip_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/gossip"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { checks.Main(m) }

// seeds are hosts to join by: the dark one never answers, the late one refuses connections until it has started.
type seeds struct{ started time.Time }

func (sd seeds) Exchange(ctx context.Context, address string, _ membership.Message) (membership.Message, bool, error) {
	switch {
	case address == "dark":
		<-ctx.Done()
		return membership.Message{}, false, ctx.Err()
	case time.Now().Before(sd.started):
		return membership.Message{}, false, errors.New("refused")
	default:
		return membership.Message{From: "late", FullState: true, Updates: []membership.Member{{Host: "late", Incarnation: 1, Status: membership.Alive, PeerAddress: address}}}, false, nil
	}
}

// TestCopyStateIsAddedWithoutLock answers a message while what the message is to say of the own copies asks for the live hosts,
// as the parts that keep the copies do with their own locks held.
func TestCopyStateIsAddedWithoutLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rn *gossip.Runner
		rn = gossip.New(gossip.DefaultConfig(), membership.Member{Host: "own", Incarnation: 1, PeerAddress: "own"}, timer.NewSystem(), seeds{}, gossip.Handlers{
			MemberChanged: func(membership.Member) {}, FactLearned: func(membership.Fact) {}, NewerRevision: func(id.Host) {},
			LocalCopyState: func() (id.Offset, membership.ListFreshness) { return id.Offset(len(rn.LiveHosts())), membership.ListFreshness{} },
			RemoteCopyState:   func(id.Host, id.Offset, membership.ListFreshness) { rn.LiveHosts() },
		}, tally.NoopScope, 1)
		for _, joining := range []bool{false, true} {
			answer, _ := rn.Receive(t.Context(), membership.Message{From: "other", Joining: joining})
			assert.Equal(t, answer.Revision, id.Offset(1))
		}
	})
}

// TestJoinsLateSeedDespiteUnresponsiveSeed has a host meet a seed that started up to a quarter of a second after it, though another seed is
// dark, before it would take itself for alone: hosts that start together must not all dispatch.
func TestJoinsLateSeedDespiteUnresponsiveSeed(t *testing.T) {
	const alone = 400 * time.Millisecond
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			config := gossip.DefaultConfig()
			config.Seeds = []string{"dark", "late"}
			rn := gossip.New(config, membership.Member{Host: "own", Incarnation: 1, PeerAddress: "own"}, timer.NewSystem(), seeds{time.Now().Add(late)},
				gossip.Handlers{MemberChanged: func(membership.Member) {}, FactLearned: func(membership.Fact) {}, NewerRevision: func(id.Host) {}}, tally.NoopScope, 1)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = rn.Run(ctx)
			}()
			time.Sleep(alone)
			assert.DeepEqual(t, rn.OtherHosts(), []id.Host{"late"})
			cancel()
			<-ended
		})
	}
}
