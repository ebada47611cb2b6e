package forward_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// restartedServers are failoverServers of which the server "one" accepts no connection while it is silent.
type restartedServers struct {
	failoverServers
	result atomic.Int32
}

func (rs *restartedServers) ProbeConnection(_ context.Context, address string) forward.ProbeResult {
	if address == "one:80" {
		return forward.ProbeResult(rs.result.Load())
	}
	return forward.Reachable
}

func (rs *restartedServers) ProbeHTTP(ctx context.Context, address string) forward.ProbeResult {
	return rs.ProbeConnection(ctx, address)
}

// TestRestartAfterSilenceIsNoCrash guards against contents that are held back because a server, which was silent while it ran
// one and went on after the stream had moved away, is started again for another reason. One that was not found alive in between
// has crashed.
func TestRestartAfterSilenceIsNoCrash(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, tc := range []struct {
		name string
		// after is the result of probes of the server from when the stream has ended.
		after   forward.ProbeResult
		crashes int
	}{
		{"goes on", forward.Reachable, 0},
		{"stays silent", forward.Unresponsive, 1},
		{"refuses connections", forward.ConnectionRefused, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &lockedQuarantine{localQuarantine: newLocalQuarantine()}
				dispatcher := &heldDispatcher{}
				dispatcher.grants = []batch.Grant{reservedGrantOn("1", "one"), reservedGrantOn("2", "two")}
				backends := &restartedServers{failoverServers: failoverServers{
					first:  slowBody{chunks: []chunk{{0, event1}}, repeated: chunk{time.Hour, "x"}},
					second: streamOf(slowBody{chunks: []chunk{{100 * time.Millisecond, event2}}, repeated: chunk{time.Hour, "x"}}),
				}}
				backends.result.Store(int32(forward.Unresponsive))
				bornBefore := time.Now().UnixMilli() - 1000
				listed := []serverlist.Server{{ID: "one", Service: "service", Address: "one:80", StartedAtMillis: bornBefore}, {ID: "two", Service: "service", Address: "two:80", StartedAtMillis: bornBefore}}
				rn := newRunner(forward.Dependencies{
					Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{listed: listed, announcedLeaving: map[id.BackendServer]bool{}}, Quarantine: table,
					Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1),
				})
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(4 * time.Second), Route: failoverRoute}, &fakeClient{})
				assert.Equal(t, result.Server, id.BackendServer("two"), "%+v", result)
				backends.result.Store(int32(tc.after))
				time.Sleep(3 * time.Second)
				restarted := []serverlist.Server{listed[0], listed[1]}
				restarted[0].StartedAtMillis = time.Now().UnixMilli()
				rn.UpdateServers(restarted)
				time.Sleep(15 * time.Second)
				table.mutex.Lock()
				defer table.mutex.Unlock()
				assert.Equal(t, table.ConfirmedCrashes(result.Fingerprint), tc.crashes)
			})
		})
	}
}
