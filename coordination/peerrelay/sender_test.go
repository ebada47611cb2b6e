package peerrelay_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestHostWithoutLinksIsServedThroughPeers cuts a host from all servers, silently or so that connections are refused.
// Each request must be served: the first ones after a failed dial in the same call, later ones through a peer at once.
// Once the links are back, requests must be sent directly again.
func TestHostWithoutLinksIsServedThroughPeers(t *testing.T) {
	for name, state := range map[string]linkState{"silent": silent, "refused": refusing} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork("a1", "a2", "b1", "b2")
				cutHost := nw.hosts["a1"]
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- cutHost.sender.Run(ctx) }()
				cutHost.cut(state)
				for number := range 8 {
					server := listed[number%len(listed)]
					startedAt := time.Now()
					body, err := cutHost.send(t.Context(), newAttempt(fmt.Sprint(number), string(server.ID)))
					assert.NilError(t, err)
					assert.Equal(t, body, "answer of "+string(server.ID))
					if number >= 2 {
						assert.Assert(t, time.Since(startedAt) < 50*time.Millisecond, "request %d took %v", number, time.Since(startedAt))
					}
				}
				assert.Assert(t, cutHost.links.CutOff())
				assert.DeepEqual(t, cutHost.cutOff, []bool{true})
				time.Sleep(5 * time.Second)
				assert.Assert(t, cutHost.links.CutOff())
				cutHost.cut(up)
				time.Sleep(5 * time.Second)
				assert.Equal(t, cutHost.links.MarkedServers(), 0)
				assert.DeepEqual(t, cutHost.cutOff, []bool{true, false})
				relayed := len(nw.relayed)
				for number := range 8 {
					_, err := cutHost.send(t.Context(), newAttempt(fmt.Sprint("later", number), string(listed[number%len(listed)].ID)))
					assert.NilError(t, err)
				}
				assert.Equal(t, len(nw.relayed), relayed)
				for request, runs := range nw.runs {
					assert.Equal(t, runs, 1, "request %s", request)
				}
				cancel()
				assert.NilError(t, <-ended)
			})
		})
	}
}

// TestRelayedAttemptIsUnchanged checks that the server gets the attempt as the entry host made it, with a deadline that
// accounts for the time of the failed dial.
func TestRelayedAttemptIsUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		nw.hosts["a1"].cut(silent)
		attempt := newAttempt("r1", "s2")
		_, err := nw.hosts["a1"].send(t.Context(), attempt)
		assert.NilError(t, err)
		want := attempt
		want.Remaining -= dialTimeout
		// An idle connection of the peer may have ended with the server.
		want.NewConnection = true
		assert.DeepEqual(t, nw.lastAttempt, want)
	})
}

// TestKeptConnectionsAreUsedWhileNewOnesAreRefused checks that a host whose new connections are refused sends on its
// kept connections once it has seen that they live, and through a peer once there are none.
func TestKeptConnectionsAreUsedWhileNewOnesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		cutHost := nw.hosts["a1"]
		cutHost.kept["s3:80"] = 1
		stream, err := cutHost.sender.Send(t.Context(), newAttempt("stream", "s4"))
		assert.NilError(t, err)
		cutHost.cut(refusing)
		for _, server := range []string{"s1", "s2", "s3"} {
			_, err := cutHost.send(t.Context(), newAttempt(server, server))
			assert.NilError(t, err)
		}
		assert.Equal(t, cutHost.links.Way("s3:80"), reachability.KeptConnections)
		assert.Equal(t, len(nw.relayed), 3)
		time.Sleep(100 * time.Millisecond)
		_, err = stream.Body.Read(make([]byte, 4))
		assert.NilError(t, err)
		for number := range 3 {
			_, err := cutHost.send(t.Context(), newAttempt(fmt.Sprint(number), "s3"))
			assert.NilError(t, err)
		}
		assert.Equal(t, len(nw.relayed), 3)
		assert.Equal(t, cutHost.links.Way("s3:80"), reachability.KeptConnections)
		cutHost.DropIdle("s3:80")
		dials := cutHost.dials
		_, err = cutHost.send(t.Context(), newAttempt("last", "s3"))
		assert.NilError(t, err)
		assert.Equal(t, len(nw.relayed), 4)
		assert.Equal(t, cutHost.dials, dials)
		assert.NilError(t, stream.Body.Close())
	})
}

// TestDeadKeptConnectionsAreNotUsed cuts a host so that new connections are refused and kept ones break when something is
// sent on them. Once a dial to one server has failed, no request may be lost on a kept connection to any server.
func TestDeadKeptConnectionsAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		cutHost := nw.hosts["a1"]
		for _, server := range listed[1:] {
			cutHost.kept[server.Address] = 2
		}
		cutHost.cut(breaking)
		assert.Equal(t, cutHost.sender.ProbeConnection(t.Context(), "s1:80"), forward.ReachableThroughPeer)
		for number := range 12 {
			body, err := cutHost.send(t.Context(), newAttempt(fmt.Sprint(number), string(listed[number%len(listed)].ID)))
			assert.NilError(t, err)
			assert.Equal(t, body, "answer of "+string(listed[number%len(listed)].ID))
		}
	})
}

// TestSilentKeptConnectionsAreNoticed checks that a host notices a silent cut although all of its requests are sent on
// kept connections, so that no dial fails, and that it then sends none on such a connection.
func TestSilentKeptConnectionsAreNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		cutHost := nw.hosts["a1"]
		for _, server := range listed {
			cutHost.kept[server.Address] = 4
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- cutHost.sender.Run(ctx) }()
		cutHost.cut(silent)
		hung := make(chan error, 2)
		for _, server := range []string{"s1", "s2"} {
			go func() {
				_, err := cutHost.send(ctx, newAttempt("hangs at "+server, server))
				hung <- err
			}()
		}
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(t, cutHost.links.CutOff())
		for _, server := range listed {
			assert.Equal(t, cutHost.kept[server.Address], 0)
			_, err := cutHost.send(t.Context(), newAttempt(string(server.ID), string(server.ID)))
			assert.NilError(t, err)
		}
		cancel()
		assert.ErrorIs(t, <-hung, context.Canceled)
		assert.ErrorIs(t, <-hung, context.Canceled)
		assert.NilError(t, <-ended)
	})
}

// failure returns the failure of a call that a peer did not take.
func failure(reason peerrelay.Reason) *peerrelay.Failure {
	return &peerrelay.Failure{Reason: reason, NotSent: true, Detail: "test"}
}

// TestPeersThatDoNotTakeCallsAreSkipped checks that a request goes to the next peer if a peer is busy, leaving, cut off
// or unreachable, that at most three peers are asked, and that none of them is asked again soon.
func TestPeersThatDoNotTakeCallsAreSkipped(t *testing.T) {
	for _, reason := range []peerrelay.Reason{peerrelay.Busy, peerrelay.PeerLeaving, peerrelay.PeerCutOff, peerrelay.PeerUnreachable, peerrelay.Unsupported} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork("a1", "b1", "b2", "b3", "c1")
				nw.hosts["a1"].cut(refusing)
				nw.beforeRelay = func(id.Host, peerrelay.Call) error {
					if len(nw.relayed) <= 3 {
						return failure(reason)
					}
					return nil
				}
				_, err := nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s2"))
				assert.ErrorIs(t, err, forward.ErrNotSent)
				assert.ErrorIs(t, err, forward.ErrUndetermined)
				assert.Equal(t, len(nw.relayed), 3)
				assert.Equal(t, nw.runCount("r1"), 0)
				_, err = nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s2"))
				assert.NilError(t, err)
				slices.Sort(nw.relayed)
				assert.Equal(t, len(slices.Compact(slices.Clone(nw.relayed))), len(nw.relayed), "a peer was asked twice: %v", nw.relayed)
				assert.Equal(t, nw.runCount("r1"), 1)
			})
		})
	}
}

// TestRelayRefuses checks which calls a host does not make for others, that it reports them as not sent, and that they
// don't reach the server.
func TestRelayRefuses(t *testing.T) {
	for _, tc := range []struct {
		name    string
		prepare func(peer *host)
		reason  peerrelay.Reason
	}{
		{"leaving", func(peer *host) { peer.refuses = true }, peerrelay.PeerLeaving},
		{"server leaving", func(peer *host) { peer.leaving["s1"] = true }, peerrelay.ServerLeaving},
		{"server leaving by an old list", func(peer *host) { peer.leaving["s1"], peer.listAge = true, 5*time.Second }, ""},
		{"server evacuated", func(peer *host) { peer.evacuated["s1"] = true }, peerrelay.ServerEvacuated},
		{"server evacuated by an old list", func(peer *host) { peer.evacuated["s1"], peer.listAge = true, 5*time.Second }, peerrelay.ServerEvacuated},
		{"another server evacuated", func(peer *host) { peer.evacuated["s2"] = true }, ""},
		{"busy", func(peer *host) {
			peer.cut(silent, "blocked:80")
			for range 64 {
				go func() {
					_, _ = peer.server.Handle(peerContext, peerrelay.Call{Kind: peerrelay.ProbeConnection, Address: "blocked:80"}, time.Now())
				}()
			}
			synctest.Wait()
		}, peerrelay.Busy},
		{"cut off from the server", func(peer *host) {
			peer.cut(refusing, "s1:80")
			_, _ = peer.send(peerContext, newAttempt("own", "s1"))
			time.Sleep(100 * time.Millisecond)
		}, peerrelay.NoDirectWay},
		{"cut off from all servers", func(peer *host) {
			peer.cut(refusing)
			for _, server := range []string{"s2", "s3"} {
				_, _ = peer.send(peerContext, newAttempt("own", server))
			}
		}, peerrelay.PeerCutOff},
		{"sound", func(*host) {}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork("a1", "b1", "b2")
				peer := nw.hosts["b1"]
				tc.prepare(peer)
				_, err := peer.server.Handle(t.Context(), peerrelay.Call{Kind: peerrelay.Send, From: "a1", Address: "s1:80", Attempt: newAttempt("r1", "s1")}, time.Now())
				if tc.reason == "" {
					assert.NilError(t, err)
					assert.Equal(t, nw.runCount("r1"), 1)
					return
				}
				var refusal *peerrelay.Failure
				assert.Assert(t, errors.As(err, &refusal), "%d in flight", peer.server.InFlight())
				assert.Equal(t, refusal.Reason, tc.reason)
				assert.ErrorIs(t, err, forward.ErrNotSent)
				assert.Equal(t, nw.runCount("r1"), 0)
				time.Sleep(time.Second)
			})
		})
	}
}

// peerContext is the context of calls in preparations of tests.
var peerContext = context.Background()

// TestFailureThatPeerConfirms checks that a request whose server a peer does not reach either goes to no further peer,
// and that the error says whether the server refuses connections.
func TestFailureThatPeerConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1", "b2")
		for _, ht := range nw.hosts {
			_, err := ht.send(t.Context(), newAttempt("warm up "+string(ht.name), "s4"))
			assert.NilError(t, err)
			ht.cut(refusing, "s1:80", "s2:80")
		}
		_, err := nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s1"))
		assert.ErrorIs(t, err, forward.ErrNotSent)
		assert.ErrorIs(t, err, forward.ErrConnectionRefused)
		assert.Assert(t, !errors.Is(err, forward.ErrUndetermined))
		assert.Equal(t, len(nw.relayed), 1)
		assert.Equal(t, nw.hosts["a1"].links.Way("s1:80"), reachability.Direct)
	})
}

// TestRequestRunsOnce fails calls to peers at random, before and after the peer has sent the request. A request must run
// once at most, and not at all if the error says that nothing was sent.
func TestRequestRunsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		modes := rapid.SliceOfN(rapid.SampledFrom([]string{"served", "refused", "broken before", "broken after"}), 8, 8).Draw(rt, "modes")
		states := rapid.SliceOfN(rapid.SampledFrom([]linkState{up, refusing, silent}), 4, 4).Draw(rt, "links")
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork("a1", "a2", "b1", "b2")
			for ix, name := range []id.Host{"a1", "a2", "b1", "b2"} {
				nw.hosts[name].cut(states[ix], "s1:80", "s2:80")
			}
			calls := 0
			nw.beforeRelay = func(id.Host, peerrelay.Call) error {
				calls++
				switch modes[(calls-1)%len(modes)] {
				case "refused":
					return failure(peerrelay.Busy)
				case "broken before":
					return &peerrelay.Failure{Reason: peerrelay.PeerUnreachable, Detail: "test"}
				}
				return nil
			}
			nw.afterRelay = func(id.Host, peerrelay.Call) error {
				if modes[(calls-1)%len(modes)] == "broken after" {
					return &peerrelay.Failure{Reason: peerrelay.PeerUnreachable, Detail: "test"}
				}
				return nil
			}
			for number := range 6 {
				request := fmt.Sprint(number)
				_, err := nw.hosts["a1"].send(t.Context(), newAttempt(request, string(listed[number%2].ID)))
				runs := nw.runCount(request)
				if runs > 1 || errors.Is(err, forward.ErrNotSent) && runs > 0 || err == nil && runs != 1 {
					rt.Fatalf("request %s ran %d times, error %v", request, runs, err)
				}
			}
			time.Sleep(time.Second)
		})
	})
}

// TestProbeResults checks the result of a probe by what this host and a peer find.
func TestProbeResults(t *testing.T) {
	for _, tc := range []struct {
		name         string
		own, peer    linkState
		peerCutOff   bool
		withoutPeers bool
		want         forward.ProbeResult
	}{
		{name: "reachable", own: up, peer: silent, want: forward.Reachable},
		{name: "refused here", own: refusing, want: forward.ReachableThroughPeer},
		{name: "silent here", own: silent, want: forward.ReachableThroughPeer},
		{name: "refused everywhere", own: refusing, peer: refusing, want: forward.ConnectionRefused},
		{name: "silent everywhere", own: silent, peer: silent, want: forward.Unresponsive},
		{name: "refused here, peer reaches nothing", own: refusing, peerCutOff: true, want: forward.Undetermined},
		{name: "silent here, peer reaches nothing", own: silent, peerCutOff: true, want: forward.Undetermined},
		{name: "refused, no peers", own: refusing, withoutPeers: true, want: forward.ConnectionRefused},
		{name: "silent, no peers", own: silent, withoutPeers: true, want: forward.Unresponsive},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork("a1", "b1")
				if tc.withoutPeers {
					nw.hosts["a1"].members = nil
				}
				nw.hosts["a1"].cut(tc.own, "s1:80")
				nw.hosts["b1"].cut(tc.peer, "s1:80")
				if tc.peerCutOff {
					nw.hosts["b1"].cut(refusing)
				}
				for _, probe := range []func(context.Context, string) forward.ProbeResult{nw.hosts["a1"].sender.ProbeConnection, nw.hosts["a1"].sender.ProbeHTTP} {
					ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
					startedAt := time.Now()
					assert.Equal(t, probe(ctx, "s1:80"), tc.want)
					assert.Assert(t, time.Since(startedAt) <= dialTimeout)
					cancel()
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestOrdersGoThroughPeers checks that memory is reserved and released through a peer where this host has no link.
func TestOrdersGoThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		cutHost := nw.hosts["a1"]
		cutHost.cut(refusing)
		for range 2 {
			granted, err := cutHost.sender.Reserve(t.Context(), batch.Part{Engine: "s1", Address: "s1:80", Ticket: "t1", MemoryTokens: 100}, time.Second)
			assert.NilError(t, err)
			assert.Assert(t, granted)
			assert.NilError(t, cutHost.sender.Release(t.Context(), batch.Part{Engine: "s1", Address: "s1:80", Ticket: "t1"}))
		}
		assert.Equal(t, cutHost.dials, 1)
	})
}

// TestPeersOfOwnZoneArePreferred checks that calls go to peers of the host's own zone, then to those of the server's zone,
// then to others, and are spread over several peers.
func TestPeersOfOwnZoneArePreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "a2", "a3", "b1", "b2", "c1")
		cutHost := nw.hosts["a1"]
		cutHost.cut(refusing)
		for _, server := range []string{"s1", "s2"} {
			_, err := cutHost.send(t.Context(), newAttempt("first at "+server, server))
			assert.NilError(t, err)
		}
		assert.Assert(t, cutHost.links.CutOff())
		time.Sleep(time.Second)
		chosen := func(without ...id.Host) map[id.Host]int {
			for ix := range cutHost.members {
				cutHost.members[ix].Status = membership.Alive
				if slices.Contains(without, cutHost.members[ix].Host) {
					cutHost.members[ix].Status = membership.Suspect
				}
			}
			nw.relayed = nil
			for number := range 40 {
				_, err := cutHost.send(t.Context(), newAttempt(fmt.Sprint(len(without), number), "s2"))
				assert.NilError(t, err)
			}
			counts := map[id.Host]int{}
			for _, peer := range nw.relayed {
				counts[peer]++
			}
			return counts
		}
		counts := chosen()
		assert.Assert(t, counts["a2"] > 5 && counts["a3"] > 5 && counts["a2"]+counts["a3"] == 40, "%v", counts)
		counts = chosen("a2", "a3")
		assert.Assert(t, counts["b1"] > 5 && counts["b2"] > 5 && counts["b1"]+counts["b2"] == 40, "%v", counts)
		counts = chosen("a2", "a3", "b1", "b2")
		assert.Equal(t, counts["c1"], 40)
	})
}

// TestCutOffPeersAreNotAsked checks that hosts that spread the fact that they are cut off get no calls, that a later fact
// overrides an earlier one in any order, and that a fact about an earlier process of a host says nothing.
func TestCutOffPeersAreNotAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		cutHost := nw.hosts["a1"]
		cutHost.cut(refusing)
		now := time.Now()
		cutHost.members[0].Incarnation = id.Incarnation(now.Add(-time.Second).UnixNano())
		served := func() bool {
			_, err := cutHost.send(t.Context(), newAttempt("r", "s1"))
			return err == nil
		}
		assert.Assert(t, served())
		cutHost.sender.LearnCutOff(peerrelay.CutOffFact("b1", now, true))
		assert.Assert(t, !served())
		assert.DeepEqual(t, cutHost.sender.CutOffHosts(), []id.Host{"b1"})
		cutHost.sender.LearnCutOff(peerrelay.CutOffFact("b1", now.Add(time.Millisecond), false))
		cutHost.sender.LearnCutOff(peerrelay.CutOffFact("b1", now, true))
		cutHost.sender.LearnCutOff(peerrelay.CutOffFact("unknown", now, true))
		assert.Assert(t, served())
		cutHost.sender.LearnCutOff(peerrelay.CutOffFact("b1", now.Add(time.Second), true))
		assert.Assert(t, !served())
		cutHost.members[0].Incarnation = id.Incarnation(now.Add(2 * time.Second).UnixNano())
		assert.Assert(t, served())
	})
}

// TestCallEndsWithItsClient checks that a call through a peer ends, and is no longer in flight at the peer, when the
// client leaves, and that calls in flight are counted until their body is closed.
func TestCallEndsWithItsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		nw.answerTime = time.Second
		nw.hosts["a1"].cut(refusing)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := nw.hosts["a1"].send(ctx, newAttempt("r1", "s1"))
			ended <- err
		}()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, nw.hosts["b1"].server.InFlight(), int64(1))
		cancel()
		synctest.Wait()
		assert.Assert(t, !errors.Is(<-ended, forward.ErrNotSent))
		assert.Equal(t, nw.hosts["b1"].server.InFlight(), int64(0))
		response, err := nw.hosts["a1"].sender.Send(t.Context(), newAttempt("r2", "s1"))
		assert.NilError(t, err)
		assert.Equal(t, nw.hosts["b1"].server.InFlight(), int64(1))
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, nw.hosts["b1"].server.InFlight(), int64(0))
	})
}

// TestServerThatStartsAgainCountsAsRefusing checks that a server that refuses a connection and listens again when a peer
// probes it does not count as a lost link: a probe says that nothing listened, and the server is reached directly.
func TestServerThatStartsAgainCountsAsRefusing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		nw.hosts["a1"].cut(refusing, "s1:80")
		nw.beforeRelay = func(id.Host, peerrelay.Call) error {
			nw.hosts["a1"].cut(up, "s1:80")
			return nil
		}
		assert.Equal(t, nw.hosts["a1"].sender.ProbeConnection(t.Context(), "s1:80"), forward.ConnectionRefused)
		assert.Equal(t, nw.hosts["a1"].links.Way("s1:80"), reachability.Direct)
	})
}

// TestProbeIsAnsweredByWitness checks that a probe goes on to a second peer if the first one reaches no server, and that
// a peer that reached nothing for some time dials other servers to find out whether it reaches any.
func TestProbeIsAnsweredByWitness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "a2", "b1")
		nw.hosts["a1"].cut(refusing, "s1:80")
		nw.hosts["a2"].cut(refusing)
		nw.hosts["b1"].cut(refusing, "s1:80", "s2:80", "s3:80")
		for range 2 {
			assert.Equal(t, nw.hosts["a1"].sender.ProbeConnection(t.Context(), "s1:80"), forward.ConnectionRefused)
			time.Sleep(5 * time.Second)
		}
	})
}

// TestPeerThatHasJustLostItsLinksIsNoWitness guards against sound servers that count as crashed because hosts that lose
// their links at the same moment confirm each other's failures.
func TestPeerThatHasJustLostItsLinksIsNoWitness(t *testing.T) {
	for _, state := range []linkState{refusing, silent} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork("a1", "a2", "b1")
			for _, ht := range nw.hosts {
				for _, server := range listed {
					assert.Equal(t, ht.sender.ProbeConnection(t.Context(), server.Address), forward.Reachable)
				}
			}
			for _, ht := range nw.hosts {
				ht.cut(state)
			}
			_, err := nw.hosts["a1"].sender.Send(t.Context(), forward.Attempt{Request: &forward.Request{ID: "request"}, Server: "s1", Address: "s1:80", Remaining: time.Second})
			assert.ErrorIs(t, err, forward.ErrNotSent)
			assert.ErrorIs(t, err, forward.ErrUndetermined)
			assert.Equal(t, nw.hosts["a1"].sender.ProbeConnection(t.Context(), "s2:80"), forward.Undetermined)
		})
	}
}

// TestZoneWithoutLinks cuts all hosts of a zone off. Although they prefer peers of their own zone, which can't help, each
// request must be served by a host of another zone, and each host of the zone must find that it is cut off.
func TestZoneWithoutLinks(t *testing.T) {
	for name, state := range map[string]linkState{"silent": silent, "refused": refusing} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork("a1", "a2", "a3", "a4", "a5", "b1")
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 5)
				for _, zoneHost := range []id.Host{"a1", "a2", "a3", "a4", "a5"} {
					nw.hosts[zoneHost].cut(state)
					go func() { ended <- nw.hosts[zoneHost].sender.Run(ctx) }()
				}
				for number := range 6 {
					for _, zoneHost := range []id.Host{"a1", "a2", "a3", "a4", "a5"} {
						startedAt := time.Now()
						body, err := nw.hosts[zoneHost].send(t.Context(), newAttempt(fmt.Sprint(zoneHost, number), string(listed[number%4].ID)))
						assert.NilError(t, err)
						assert.Equal(t, body, "answer of "+string(listed[number%4].ID))
						assert.Assert(t, time.Since(startedAt) < 2*dialTimeout, "%s, request %d took %v", zoneHost, number, time.Since(startedAt))
					}
				}
				for _, zoneHost := range []id.Host{"a1", "a2", "a3", "a4", "a5"} {
					assert.Assert(t, nw.hosts[zoneHost].links.CutOff())
				}
				cancel()
				for range cap(ended) {
					assert.NilError(t, <-ended)
				}
			})
		})
	}
}

// TestHostsCutOffTogetherConfirmNothing cuts all hosts off at the same moment, just after each has opened a connection. No
// probe may count as confirmed by another host, and no server as failed.
func TestHostsCutOffTogetherConfirmNothing(t *testing.T) {
	for name, state := range map[string]linkState{"silent": silent, "refused": refusing} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork("a1", "b1", "b2")
				for _, ht := range nw.hosts {
					for _, server := range listed {
						assert.Equal(t, ht.sender.ProbeConnection(t.Context(), server.Address), forward.Reachable)
					}
					ht.cut(state)
				}
				for _, server := range listed {
					ctx, cancel := context.WithTimeout(t.Context(), dialTimeout)
					assert.Equal(t, nw.hosts["a1"].sender.ProbeConnection(ctx, server.Address), forward.Undetermined)
					cancel()
					_, err := nw.hosts["b1"].send(t.Context(), newAttempt("at "+string(server.ID), string(server.ID)))
					assert.ErrorIs(t, err, forward.ErrUndetermined)
				}
				assert.Assert(t, !nw.hosts["a1"].links.CutOff())
				time.Sleep(time.Second)
			})
		})
	}
}

// TestServerThatFailsAloneIsNotRelayed checks that a request whose server can't be reached, while another server of the
// service can, fails soon as not sent, so that it can go to that one, and that a peer is asked about the server. The failure
// is the server's only if the peer does not reach it either.
func TestServerThatFailsAloneIsNotRelayed(t *testing.T) {
	for _, state := range []linkState{silent, refusing} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork("a1", "b1")
			nw.answerTime = 300 * time.Millisecond
			nw.hosts["a1"].cut(state, "s1:80")
			nw.hosts["b1"].cut(state, "s1:80")
			go func() { _, _ = nw.hosts["a1"].send(peerContext, newAttempt("other", "s2")) }()
			_, err := nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s1"))
			assert.ErrorIs(t, err, forward.ErrNotSent)
			assert.Assert(t, !errors.Is(err, forward.ErrUndetermined))
			time.Sleep(time.Second)
		})
	}
	for name, state := range map[string]linkState{"silent": silent, "refused": refusing} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				nw := newNetwork("a1", "b1")
				nw.answerTime = 300 * time.Millisecond
				nw.hosts["a1"].cut(state, "s1:80")
				go func() { _, _ = nw.hosts["a1"].send(peerContext, newAttempt("other", "s2")) }()
				startedAt := time.Now()
				_, err := nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s1"))
				assert.ErrorIs(t, err, forward.ErrNotSent)
				assert.ErrorIs(t, err, forward.ErrUndetermined)
				assert.Assert(t, time.Since(startedAt) <= dialTimeout)
				assert.Equal(t, nw.runCount("r1"), 0)
				assert.Equal(t, len(nw.relayed), 1)
				assert.Assert(t, nw.hosts["a1"].links.Way("s1:80") != reachability.Direct)
				assert.Assert(t, !nw.hosts["a1"].links.CutOff())
				_, err = nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s1"))
				assert.NilError(t, err)
				assert.Equal(t, nw.runCount("r1"), 1)
			})
		})
	}
}

// TestOnlyPeerIsAskedAgain checks that a peer that did not take a call gets the next one if there is no other.
func TestOnlyPeerIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		nw.hosts["a1"].cut(refusing)
		nw.beforeRelay = func(id.Host, peerrelay.Call) error {
			if len(nw.relayed) == 1 {
				return failure(peerrelay.PeerUnreachable)
			}
			return nil
		}
		_, err := nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s1"))
		assert.ErrorIs(t, err, forward.ErrUndetermined)
		_, err = nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s1"))
		assert.NilError(t, err)
	})
}

// TestKeptConnectionsAfterSecondLoss guards against requests that are lost on a kept connection because the host had lost
// its link to some other server long before: what counts is the newest loss.
func TestKeptConnectionsAfterSecondLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		cutHost := nw.hosts["a1"]
		cutHost.cut(silent, "s1:80")
		_, err := cutHost.send(t.Context(), newAttempt("first loss", "s1"))
		assert.NilError(t, err)
		time.Sleep(6 * time.Second)
		_, err = cutHost.send(t.Context(), newAttempt("keeps a connection", "s3"))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		cutHost.cut(breaking, "s2:80", "s3:80", "s4:80")
		_, err = cutHost.send(t.Context(), newAttempt("second loss", "s2"))
		assert.NilError(t, err)
		_, err = cutHost.send(t.Context(), newAttempt("after it", "s3"))
		assert.NilError(t, err)
		assert.Equal(t, nw.runCount("after it"), 1)
	})
}

// TestLongSilenceCostsFewProbes guards against a host that opens new connections all the time because its only exchange in
// progress brings nothing for long, as one whose prompt is read does: the time between two rounds of probes doubles up to
// 800 ms until something arrives.
func TestLongSilenceCostsFewProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1")
		host := nw.hosts["a1"]
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- host.sender.Run(ctx) }()
		nw.answerTime = 3900 * time.Millisecond
		_, err := host.send(t.Context(), newAttempt("r1", "s2"))
		assert.NilError(t, err)
		// Rounds of two probes follow 0.2 s, 0.6 s, 1.4 s, 2.2 s, 3 s and 3.8 s after the exchange has begun.
		assert.Assert(t, host.dials <= 1+2*6, "%d connections", host.dials)
		cancel()
		assert.NilError(t, <-ended)
	})
}

// TestUnreachableServersDoNotHoldRequest guards against requests that are held until their clients leave because no host
// reaches any server: after some time, no further peer is asked.
func TestUnreachableServersDoNotHoldRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := newNetwork("a1", "b1", "b2", "c1")
		for _, host := range nw.hosts {
			host.cut(silent)
		}
		startedAt := time.Now()
		_, err := nw.hosts["a1"].send(t.Context(), newAttempt("r1", "s1"))
		assert.ErrorIs(t, err, forward.ErrUndetermined)
		// The host dials, and so do two peers, which then try other servers.
		const witnessTime = 150 * time.Millisecond
		assert.Assert(t, time.Since(startedAt) <= dialTimeout+2*(dialTimeout+witnessTime), "%s", time.Since(startedAt))
	})
}
