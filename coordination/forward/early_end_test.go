package forward_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// hangingServers answer no request. They accept connections except while they are down.
type hangingServers struct {
	fakeServers
	down       atomic.Bool
	probeCount atomic.Int64
}

func (sv *hangingServers) Send(ctx context.Context, _ forward.Attempt) (forward.Response, error) {
	<-ctx.Done()
	return forward.Response{}, ctx.Err()
}

func (sv *hangingServers) ProbeConnection(context.Context, string) forward.ProbeResult {
	sv.probeCount.Add(1)
	if sv.down.Load() {
		return forward.ConnectionRefused
	}
	return forward.Reachable
}

// requestThatLeaves runs a request whose client leaves after 40 ms.
func requestThatLeaves(t *testing.T, rn *forward.Runner, request *forward.Request) {
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(40*time.Millisecond, leave)
	rn.Run(ctx, request, &fakeClient{})
	leave()
}

// TestCrashAfterClientLeft has a client leave before its server answers, and the server crash after that. The crash counts
// against the request, whether the server is still down when it is looked at or the list shows that it restarted.
func TestCrashAfterClientLeft(t *testing.T) {
	for _, tc := range []struct {
		name    string
		engine  bool
		back    time.Duration // after the crash
		counted bool
	}{
		{"plain server, down for long", false, time.Hour, true},
		{"plain server, back at once", false, 100 * time.Millisecond, true},
		{"plain server, no crash", false, 0, false},
		{"engine, down for long", true, time.Hour, true},
		{"engine, back at once", true, 100 * time.Millisecond, true},
		{"engine, no crash", true, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one := newServer("one", time.Hour)
				backends := &hangingServers{}
				table := newLocalQuarantine()
				dependencies := forward.Dependencies{
					Sender: backends, Quarantine: table, Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}},
					Fleet: fakeFleet{listed: []serverlist.Server{one}},
				}
				rn := newRunner(dependencies)
				request := newOrder()
				if tc.engine {
					request.Route = route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond}
					request.PromptTokens = 1000
				}
				requestThatLeaves(t, rn, request)
				time.Sleep(40 * time.Millisecond)
				if tc.back > 0 {
					backends.down.Store(true)
					time.AfterFunc(tc.back, func() { backends.down.Store(false) })
					restarted := newServer("one", -tc.back)
					time.Sleep(3 * time.Second)
					if tc.back < 3*time.Second {
						rn.UpdateServers([]serverlist.Server{restarted})
					}
				}
				time.Sleep(3 * time.Second)
				want := quarantine.CrashStatus(0)
				if tc.counted {
					want = quarantine.Confirmed
				}
				rn.Wait()
				assert.Equal(t, crashStatus(table), want)
			})
		})
	}
}

// TestClientsThatLeaveSoundServer has many clients leave a sound server, which restarts later. No crash counts against their
// requests, and the server is probed once a second while they leave, and soon not any more.
func TestClientsThatLeaveSoundServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			clientCount = 200
			leaveFor    = 2 * time.Second
			maxProbes   = 4
		)
		one := newServer("one", time.Hour)
		backends := &hangingServers{}
		table := newLocalQuarantine()
		rn := newRunner(forward.Dependencies{Sender: backends, Quarantine: table, Fleet: fakeFleet{listed: []serverlist.Server{one}}})
		for number := range clientCount {
			request := newOrder()
			request.Target = fmt.Sprint("/order/", number)
			go requestThatLeaves(t, rn, request)
			time.Sleep(leaveFor / clientCount)
		}
		time.Sleep(4 * time.Second)
		backends.down.Store(true)
		time.Sleep(time.Second)
		backends.down.Store(false)
		rn.UpdateServers([]serverlist.Server{newServer("one", 0)})
		time.Sleep(10 * time.Second)
		rn.Wait()
		for number := range clientCount {
			fingerprint := id.NewFingerprint("", []byte(fmt.Sprint("/order/", number)), nil)
			assert.Equal(t, len(table.EvidenceFor(fingerprint)), 0, "client %d", number)
		}
		assert.Assert(t, backends.probeCount.Load() <= maxProbes, "%d probes", backends.probeCount.Load())
	})
}

// TestClientsThatLeaveLeavingServer checks that a server that is leaving and ends is no crash of the requests whose clients
// have left it, whether it drains or the list only drops it.
func TestClientsThatLeaveLeavingServer(t *testing.T) {
	for _, drains := range []bool{true, false} {
		t.Run(fmt.Sprint("drains ", drains), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one := newServer("one", time.Hour)
				fleet := &listFleet{list: serverlist.New()}
				fleet.list.ApplyFullList(time.Now(), 1, []serverlist.Record{{ID: "one", Server: &one}}, false)
				backends := &hangingServers{}
				table := newLocalQuarantine()
				rn := newRunner(forward.Dependencies{Sender: backends, Quarantine: table, Fleet: fleet})
				requestThatLeaves(t, rn, newOrder())
				if drains {
					draining := one
					draining.Draining = true
					rn.UpdateServers(fleet.apply(serverlist.Record{ID: "one", Offset: 1, Server: &draining}))
				} else {
					rn.UpdateServers(fleet.apply(serverlist.Record{ID: "one", Offset: 1, Dropped: true}))
				}
				backends.down.Store(true)
				time.Sleep(2 * time.Second)
				rn.UpdateServers(fleet.apply(serverlist.Record{ID: "one", Offset: 2, Dropped: true}))
				time.Sleep(10 * time.Second)
				rn.Wait()
				assert.Equal(t, crashStatus(table), quarantine.CrashStatus(0))
			})
		})
	}
}
