package forward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// crashingServers loses the connection of every attempt. The result of a probe is set for each address; others are
// reachable.
type crashingServers struct {
	fakeServers
	probeResults map[string]forward.ProbeResult
	// hang makes attempts block until their context ends.
	hang bool
	// staleConnections makes attempts fail as on a reused connection that the server had closed before.
	staleConnections bool
}

func (sv *crashingServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	sv.sentTo = append(sv.sentTo, attempt.Address)
	if sv.hang {
		<-ctx.Done()
		return forward.Response{}, ctx.Err()
	}
	if sv.staleConnections {
		return forward.Response{}, errors.Join(forward.ErrStaleConnection, io.ErrUnexpectedEOF)
	}
	return forward.Response{}, io.ErrUnexpectedEOF
}

func (sv *crashingServers) ProbeConnection(_ context.Context, address string) forward.ProbeResult {
	if probeResult, ok := sv.probeResults[address]; ok {
		return probeResult
	}
	return forward.Reachable
}

// localQuarantine adapts a quarantine table to the interface of the runner, without sharing evidence with other hosts.
type localQuarantine struct{ *quarantine.Table }

func newLocalQuarantine() localQuarantine {
	return localQuarantine{quarantine.New(quarantine.Config{CrashLimit: 3, TTL: time.Hour, ReportTTL: 5 * time.Second, Parts: quarantine.PartConfig{
		IsolatedCrashLimit: 2, CrashLimit: 4, SoundTTL: time.Hour, SoundCrashLimit: 3, FirstRetrial: time.Minute,
	}})}
}

func (lq localQuarantine) Judge(content quarantine.Content) quarantine.Verdict {
	return lq.Table.Judge(time.Now(), content)
}

func (lq localQuarantine) EvidenceAbout(parts []id.PromptPart) []quarantine.Evidence {
	var evidence []quarantine.Evidence
	for _, part := range parts {
		evidence = append(evidence, lq.EvidenceFor(part.Fingerprint())...)
	}
	return evidence
}

func (lq localQuarantine) CrashConfirmedAt(crash quarantine.CrashID) (time.Time, bool) {
	return lq.FirstConfirmedAt(crash)
}

func (lq localQuarantine) LearnLocalEvidence(_ id.Service, evidence ...quarantine.Evidence) {
	for _, ev := range evidence {
		lq.Learn(time.Now(), ev)
	}
}

func (lq localQuarantine) RequestCompleted(_ id.Service, content quarantine.Content) {
	lq.Table.RequestCompleted(time.Now(), content.Fingerprint)
	lq.Table.PartsCompleted(time.Now(), content.PromptParts)
}

// newOrder returns a request to a plain service that must not be sent twice.
func newOrder() *forward.Request {
	now := time.Now()
	return &forward.Request{
		ID: "request", Target: "/order", Service: "service", ArrivedAt: now, Deadline: now.Add(time.Second),
		Route: route.Route{Kind: route.NonIdempotent, MaxAttempts: 1},
	}
}

// orderFingerprint is the fingerprint of the requests that newOrder returns.
var orderFingerprint = id.NewFingerprint("", []byte("/order"), nil)

// newServer returns a server that started the given time ago.
func newServer(name string, age time.Duration) serverlist.Server {
	return serverlist.Server{ID: id.BackendServer(name), Service: "service", Address: name, StartedAtMillis: time.Now().Add(-age).UnixMilli()}
}

// TestCrashDetection checks which lost attempts count as a crash of their server. A crash is confirmed if the server's
// address refuses connections, or if the list shows that the server is gone or has restarted. It is only reported if
// the server is unresponsive while another server is reachable. Servers that are leaving, and attempts that merely time
// out, do not count.
func TestCrashDetection(t *testing.T) {
	for _, tc := range []struct {
		name             string
		probeResult      forward.ProbeResult
		otherProbeResult forward.ProbeResult
		hang             bool
		// leaving says that the list shows the server as leaving.
		leaving bool
		// listed is how the list of 2 s later shows the server: "gone", "restarted" or "same".
		listed string
		// statusBeforeList and statusAfterList are the statuses of the crash before and after that list; zero for none.
		statusBeforeList, statusAfterList quarantine.CrashStatus
	}{
		{name: "connection refused", probeResult: forward.ConnectionRefused, listed: "same", statusBeforeList: quarantine.Confirmed, statusAfterList: quarantine.Confirmed},
		{name: "connection refused, leaving", probeResult: forward.ConnectionRefused, leaving: true, listed: "gone"},
		{name: "reachable", probeResult: forward.Reachable, listed: "same"},
		{name: "reachable, restarted", probeResult: forward.Reachable, listed: "restarted", statusAfterList: quarantine.Confirmed},
		{name: "unresponsive", probeResult: forward.Unresponsive, otherProbeResult: forward.Reachable, listed: "same", statusBeforeList: quarantine.Reported, statusAfterList: quarantine.Reported},
		{name: "unresponsive, other reachable through a peer", probeResult: forward.Unresponsive, otherProbeResult: forward.ReachableThroughPeer, listed: "same", statusBeforeList: quarantine.Reported, statusAfterList: quarantine.Reported},
		{name: "unresponsive, other undetermined", probeResult: forward.Unresponsive, otherProbeResult: forward.Undetermined, listed: "same"},
		{name: "unresponsive, gone", probeResult: forward.Unresponsive, otherProbeResult: forward.Reachable, listed: "gone", statusBeforeList: quarantine.Reported, statusAfterList: quarantine.Confirmed},
		{name: "all unresponsive", probeResult: forward.Unresponsive, otherProbeResult: forward.Unresponsive, listed: "same"},
		{name: "all unresponsive, gone", probeResult: forward.Unresponsive, otherProbeResult: forward.Unresponsive, listed: "gone", statusAfterList: quarantine.Confirmed},
		{name: "reachable through a peer", probeResult: forward.ReachableThroughPeer, otherProbeResult: forward.Reachable, listed: "same"},
		{name: "reachable through a peer, gone", probeResult: forward.ReachableThroughPeer, otherProbeResult: forward.Reachable, listed: "gone", statusAfterList: quarantine.Confirmed},
		{name: "undetermined", probeResult: forward.Undetermined, otherProbeResult: forward.Reachable, listed: "same"},
		{name: "undetermined, restarted", probeResult: forward.Undetermined, otherProbeResult: forward.Reachable, listed: "restarted", statusAfterList: quarantine.Confirmed},
		{name: "timeout, connection refused", hang: true, probeResult: forward.ConnectionRefused, listed: "same", statusBeforeList: quarantine.Confirmed, statusAfterList: quarantine.Confirmed},
		{name: "timeout, reachable", hang: true, probeResult: forward.Reachable, listed: "same"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one, other := newServer("one", time.Hour), newServer("other", time.Hour)
				balancer := balance.New("", 1)
				balancer.EndRequest(time.Now(), other, balance.ErrorResponse, nil, time.Millisecond)
				backends := &crashingServers{hang: tc.hang, probeResults: map[string]forward.ProbeResult{"one": tc.probeResult, "other": tc.otherProbeResult}}
				serverList := &fakeFleet{listed: []serverlist.Server{one, other}, announcedLeaving: map[id.BackendServer]bool{}, listedAsLeaving: map[id.BackendServer]bool{}}
				table := newLocalQuarantine()
				rn := newRunner(forward.Dependencies{Sender: backends, Fleet: serverList, Quarantine: table, Balancer: balancer})
				if tc.leaving {
					serverList.listedAsLeaving["one"] = true
				}
				result := rn.Run(t.Context(), newOrder(), &fakeClient{})
				synctest.Wait()
				assert.Assert(t, result.Outcome.Kind == outcome.Failed, "%+v", result)
				assert.Equal(t, crashStatus(table), tc.statusBeforeList)
				time.Sleep(2 * time.Second)
				switch tc.listed {
				case "gone":
					rn.UpdateServers([]serverlist.Server{other})
				case "restarted":
					rn.UpdateServers([]serverlist.Server{newServer("one", time.Second), other})
				default:
					rn.UpdateServers([]serverlist.Server{one, other})
				}
				assert.Equal(t, crashStatus(table), tc.statusAfterList)
			})
		})
	}
}

// crashStatus returns the status of the one crash that is known for the content of newOrder; zero for none.
func crashStatus(table localQuarantine) quarantine.CrashStatus {
	for _, evidence := range table.EvidenceFor(orderFingerprint) {
		return evidence.Status
	}
	return 0
}

// TestRepeatedCrashesOfOneServer checks that each crash of a server that restarts under the same id counts exactly
// once, although the list shows none of the restarts. After three crashes the request is rejected.
func TestRepeatedCrashesOfOneServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := newServer("one", time.Hour)
		backends := &crashingServers{probeResults: map[string]forward.ProbeResult{"one": forward.ConnectionRefused}}
		table := newLocalQuarantine()
		rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: []serverlist.Server{one}}, Quarantine: table})
		for crashes := 1; crashes <= 3; crashes++ {
			rn.Run(t.Context(), newOrder(), &fakeClient{})
			assert.Equal(t, table.ConfirmedCrashes(orderFingerprint), crashes)
			time.Sleep(100 * time.Millisecond)
		}
		result := rn.Run(t.Context(), newOrder(), &fakeClient{})
		assert.Equal(t, result.Outcome.Kind, outcome.Refused)
		assert.Equal(t, result.Outcome.Reason, outcome.Quarantined)
		assert.Equal(t, len(backends.sentTo), 3)
	})
}

// TestStaleConnectionToCrashedServer checks that a request counts no crash if it was sent on a pooled connection to a
// server that had already crashed before.
func TestStaleConnectionToCrashedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := &crashingServers{probeResults: map[string]forward.ProbeResult{"one": forward.ConnectionRefused}}
		table := newLocalQuarantine()
		rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: []serverlist.Server{newServer("one", time.Hour)}}, Quarantine: table})
		rn.Run(t.Context(), newOrder(), &fakeClient{})
		time.Sleep(100 * time.Millisecond)
		backends.staleConnections = true
		rn.Run(t.Context(), newOrder(), &fakeClient{})
		assert.Equal(t, table.ConfirmedCrashes(orderFingerprint), 1)
	})
}

// TestQuarantinedBetweenAttempts checks that a request whose content is quarantined during its first attempt is not
// retried, and that its outcome still says that it may have run.
func TestQuarantinedBetweenAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := &crashingServers{probeResults: map[string]forward.ProbeResult{"one": forward.ConnectionRefused, "two": forward.ConnectionRefused}}
		table := newLocalQuarantine()
		for crash := range quarantine.CrashID(2) {
			table.LearnLocalEvidence("service", quarantine.Evidence{Fingerprint: orderFingerprint, Crash: crash, Status: quarantine.Confirmed})
		}
		rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: []serverlist.Server{newServer("one", time.Hour), newServer("two", time.Hour)}}, Quarantine: table})
		request := newOrder()
		request.Route = route.Route{Kind: route.Idempotent, MaxAttempts: 2}
		result := rn.Run(t.Context(), request, &fakeClient{})
		assert.Equal(t, len(backends.sentTo), 1)
		assert.Equal(t, result.Outcome.Kind, outcome.Failed)
	})
}

// TestRequestCompletedClearsCrashes checks that a complete response clears the crashes counted for its content.
func TestRequestCompletedClearsCrashes(t *testing.T) {
	table := newLocalQuarantine()
	for crash := range quarantine.CrashID(2) {
		table.LearnLocalEvidence("service", quarantine.Evidence{Fingerprint: orderFingerprint, Crash: crash, Status: quarantine.Confirmed})
	}
	rn := newRunner(forward.Dependencies{Sender: &fakeServers{}, Fleet: fakeFleet{listed: []serverlist.Server{newServer("one", time.Hour)}}, Quarantine: table})
	result := rn.Run(t.Context(), newOrder(), &fakeClient{})
	assert.Equal(t, result.Status, http.StatusOK)
	assert.Equal(t, table.ConfirmedCrashes(orderFingerprint), 0)
}

// TestCrashCountsAgainstPromptParts checks that a crash counts against the content and all shared parts of the prompt,
// but under an isolated attempt only against the content and the parts because of which it ran isolated. After its
// first event the attempt no longer counts as isolated.
func TestCrashCountsAgainstPromptParts(t *testing.T) {
	first, second := id.NewPromptPart("first"), id.NewPromptPart("second")
	for _, tc := range []struct {
		name     string
		isolated []id.PromptPart
		body     string
		want     map[id.PromptPart]quarantine.CrashStatus
	}{
		{"not isolated", nil, "", map[id.PromptPart]quarantine.CrashStatus{first: quarantine.Confirmed, second: quarantine.Confirmed}},
		{"isolated", []id.PromptPart{second}, "", map[id.PromptPart]quarantine.CrashStatus{second: quarantine.ConfirmedIsolated}},
		{"isolated, after the first event", []id.PromptPart{second}, "id: 1\n\nid", map[id.PromptPart]quarantine.CrashStatus{first: quarantine.Confirmed, second: quarantine.Confirmed}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			grant := grantOn("1", "one")
			grant.SuspectParts = tc.isolated
			table := newLocalQuarantine()
			server := serverlist.Server{ID: "one", Service: "service", Address: "one:80", StartedAtMillis: 1}
			rn := newRunner(forward.Dependencies{
				Sender: &cutOffServers{bodies: []string{tc.body}}, Fleet: fakeFleet{listed: []serverlist.Server{server}},
				Dispatcher: &fakeDispatcher{grants: []batch.Grant{grant}}, Quarantine: table,
			})
			now := time.Now()
			rn.Run(t.Context(), &forward.Request{
				ID: "request", Target: "/chat", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second),
				Route: route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1}, PromptParts: []id.PromptPart{first, second},
			}, &fakeClient{})
			assert.Equal(t, table.ConfirmedCrashes(id.NewFingerprint("", []byte("/chat"), nil)), 1)
			got := map[id.PromptPart]quarantine.CrashStatus{}
			for _, part := range []id.PromptPart{first, second} {
				for _, evidence := range table.EvidenceAbout([]id.PromptPart{part}) {
					got[part] = evidence.Status
				}
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
