package forward_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// silentServers are streaming servers of which "one" responds to no probe over HTTP.
type silentServers struct {
	streamingServers
	// unreachable holds the addresses that accept no connections and respond to no probe.
	unreachable map[string]bool
}

func (ss *silentServers) ProbeConnection(_ context.Context, address string) forward.ProbeResult {
	if ss.unreachable[address] {
		return forward.Unresponsive
	}
	return forward.Reachable
}

func (ss *silentServers) ProbeHTTP(_ context.Context, address string) forward.ProbeResult {
	if strings.HasPrefix(address, "one") || ss.unreachable[address] {
		return forward.Unresponsive
	}
	return forward.Reachable
}

// TestSilentEngineDoesNotEndStream guards against requests that are lost because a sound engine falls silent for a
// moment: the stream stays at its engine unless it can go on at another one.
func TestSilentEngineDoesNotEndStream(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	const silence = 1300 * time.Millisecond
	rt := route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond}
	singleAttempt, notResumable := rt, rt
	singleAttempt.MaxAttempts = 1
	notResumable.Resumable = false
	other := []batch.Grant{grantOn("2", "two")}
	for _, tc := range []struct {
		name   string
		route  route.Route
		budget float64
		// hostStops makes the host reject requests that wait for grants from the start. A stream that has begun still goes on at
		// another engine then.
		hostStops bool
		grants    []batch.Grant
		// unreachable holds the addresses that accept no connections.
		unreachable map[string]bool
		wantSends   int
	}{
		{"another engine has room", rt, 100, false, other, nil, 2},
		{"no grant on another engine", rt, 100, false, nil, nil, 1},
		{"no retry budget", rt, 0, false, other, nil, 1},
		{"host is stopping", rt, 100, true, other, nil, 1},
		{"single attempt", singleAttempt, 100, false, other, nil, 1},
		{"not resumable", notResumable, 100, false, other, nil, 1},
		{"the other engine can't be reached", rt, 100, false, other, map[string]bool{"two:80": true}, 1},
	} {
		for name, chunks := range map[string][]chunk{
			"within the stream":      {{0, event1}, {silence, event2}, {silence, event3}},
			"before the first event": {{silence, event1}, {0, event2}, {0, event3}},
		} {
			t.Run(tc.name+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					dispatcher := &fakeDispatcher{grants: append([]batch.Grant{grantOn("1", "one")}, tc.grants...)}
					resumed := slowBody{chunks: []chunk{{0, event2}, {0, event3}}}
					if len(chunks) > 1 && chunks[0].delay > 0 {
						resumed = slowBody{chunks: []chunk{{0, event1}, {0, event2}, {0, event3}}}
					}
					backends := &silentServers{streamingServers: streamingServers{bodyByAddress: map[string]slowBody{"one:80": {chunks: chunks}, "two:80": resumed}}, unreachable: tc.unreachable}
					rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: tc.budget}, 1)})
					if tc.hostStops {
						time.AfterFunc(silence/4, rn.RejectWaiting)
					}
					client := &fakeClient{}
					now := time.Now()
					result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: tc.route}, client)
					assert.Assert(t, result.Complete, "%+v", result)
					assert.Equal(t, client.body.String(), event1+event2+event3)
					wantSends := tc.wantSends
					if tc.hostStops && name == "within the stream" {
						wantSends = 2
					}
					assert.Equal(t, len(backends.sentTo), wantSends)
				})
			})
		}
	}
}

// TestSilentEngineIsReportedOnce checks that the dispatcher learns of an engine that responds to nothing while the
// stream stays there, and that the end of the attempt does not count as a second fault.
func TestSilentEngineIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}}
		backends := &silentServers{streamingServers: streamingServers{bodyByAddress: map[string]slowBody{"one:80": {repeated: chunk{time.Hour, "x"}}}}}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}})
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{
			ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(4 * time.Second),
			Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond},
		}, &fakeClient{})
		assert.Assert(t, !result.HeadSent, "%+v", result)
		faults := 0
		for _, ended := range dispatcher.ended {
			if ended.Fault != batch.NoFault {
				assert.Equal(t, ended.Fault, batch.Unresponsive)
				assert.Equal(t, string(ended.FailedEngine), "one")
				faults++
			}
		}
		assert.Equal(t, faults, 1)
		assert.Assert(t, now.Add(2*time.Second).After(dispatcher.faultAt), "%s", dispatcher.faultAt.Sub(now))
	})
}

// TestSilenceThatEndedIsNoCrash guards against contents that are quarantined because of engines that fell silent for a
// moment, went on with the stream, and left some time later. An engine that never went on still counts as crashed.
func TestSilenceThatEndedIsNoCrash(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, tc := range []struct {
		name        string
		silence     time.Duration
		wantCrashes int
	}{{"goes on", 1300 * time.Millisecond, 0}, {"never goes on", time.Hour, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newServer("one", time.Hour)
				dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}}
				backends := &silentServers{streamingServers: streamingServers{bodyByAddress: map[string]slowBody{"one:80": {chunks: []chunk{{0, event1}, {tc.silence, event2}}}}}}
				table := newLocalQuarantine()
				rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{listed: []serverlist.Server{server}}, Quarantine: table})
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: server.Service, PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(4 * time.Second),
					Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond},
				}, &fakeClient{})
				synctest.Wait()
				assert.Equal(t, result.Complete, tc.wantCrashes == 0, "%+v", result)
				time.Sleep(time.Second)
				rn.UpdateServers(nil)
				assert.Equal(t, table.ConfirmedCrashes(result.Fingerprint), tc.wantCrashes)
			})
		})
	}
}
