package gossip_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/gossip"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// fakeExchanger stands for two seeds: the one at the address "unresponsive" never answers, the one at any other address
// refuses connections until lateSeedStart.
type fakeExchanger struct{ lateSeedStart time.Time }

func (fe fakeExchanger) Exchange(ctx context.Context, address string, _ membership.Message) (membership.Message, bool, error) {
	switch {
	case address == "unresponsive":
		<-ctx.Done()
		return membership.Message{}, false, ctx.Err()
	case time.Now().Before(fe.lateSeedStart):
		return membership.Message{}, false, errors.New("refused")
	default:
		return membership.Message{From: "late", FullState: true, Updates: []membership.Member{{Host: "late", Incarnation: 1, Status: membership.Alive, PeerAddress: address}}}, false, nil
	}
}

// TestFreshnessIsAddedWithoutLock answers messages while the handlers for copy state ask the runner for the live hosts.
// The components behind the handlers do so while they hold their own locks, so that the runner would deadlock if it
// called the handlers with its mutex held.
func TestFreshnessIsAddedWithoutLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rn *gossip.Runner
		rn = gossip.New(gossip.DefaultConfig(), membership.Member{Host: "local", Incarnation: 1, PeerAddress: "local"}, timer.NewSystem(), fakeExchanger{}, gossip.Handlers{
			MemberChanged: func(membership.Member) {}, FactLearned: func(membership.Fact) {}, NewerRevision: func(id.Host) {},
			LocalFreshness: func() (id.Offset, membership.ListFreshness) {
				return id.Offset(len(rn.LiveHosts())), membership.ListFreshness{}
			},
			RemoteFreshness: func(id.Host, id.Offset, membership.ListFreshness) { rn.LiveHosts() },
		}, tally.NoopScope, 1)
		for _, joining := range []bool{false, true} {
			answer, _ := rn.Receive(t.Context(), membership.Message{From: "other", Joining: joining})
			assert.Equal(t, answer.Revision, id.Offset(1))
		}
	})
}

// TestJoinsLateSeedDespiteUnresponsiveSeed has a host start up to a quarter of a second before one of its seeds, while
// another seed is unresponsive. The host must join within joinWait, the time after which a host without other hosts
// becomes ready: otherwise, hosts that start together would all dispatch.
func TestJoinsLateSeedDespiteUnresponsiveSeed(t *testing.T) {
	const joinWait = 400 * time.Millisecond
	for _, startDelay := range []time.Duration{0, 100 * time.Millisecond, 250 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			config := gossip.DefaultConfig()
			config.Seeds = []string{"unresponsive", "late"}
			rn := gossip.New(config, membership.Member{Host: "local", Incarnation: 1, PeerAddress: "local"}, timer.NewSystem(), fakeExchanger{time.Now().Add(startDelay)},
				gossip.Handlers{MemberChanged: func(membership.Member) {}, FactLearned: func(membership.Fact) {}, NewerRevision: func(id.Host) {}}, tally.NoopScope, 1)
			ctx, cancel := context.WithCancel(t.Context())
			runEnded := make(chan struct{})
			go func() {
				defer close(runEnded)
				_ = rn.Run(ctx)
			}()
			time.Sleep(joinWait)
			assert.DeepEqual(t, rn.OtherHosts(), []id.Host{"late"})
			cancel()
			<-runEnded
		})
	}
}
