package forward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
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
	// breakAfter is how long an attempt waits until its connection is lost.
	breakAfter time.Duration
	// staleConnections makes attempts fail as on a reused connection that the server had closed before.
	staleConnections bool
}

func (sv *crashingServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	sv.sentTo = append(sv.sentTo, attempt.Address)
	if sv.hang {
		<-ctx.Done()
		return forward.Response{}, ctx.Err()
	}
	time.Sleep(sv.breakAfter)
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

// listFleet is a fleet whose servers are those of a list.
type listFleet struct {
	fakeFleet
	// mutex guards list.
	mutex sync.Mutex
	list  *serverlist.List
}

func (lf *listFleet) Servers(id.Service) []serverlist.Server {
	lf.mutex.Lock()
	defer lf.mutex.Unlock()
	return lf.list.Servers(time.Now())
}

func (lf *listFleet) ListedAsLeaving(server id.BackendServer) bool {
	lf.mutex.Lock()
	defer lf.mutex.Unlock()
	return lf.list.Leaving(time.Now(), server)
}

func (lf *listFleet) ShownAsDraining(server serverlist.Server) bool {
	lf.mutex.Lock()
	defer lf.mutex.Unlock()
	return lf.list.ShownAsDraining(time.Now(), server)
}

// apply applies a record and returns the servers that are listed then.
func (lf *listFleet) apply(record serverlist.Record) []serverlist.Server {
	lf.mutex.Lock()
	defer lf.mutex.Unlock()
	lf.list.Apply(time.Now(), record.Offset, record.Offset+1, []serverlist.Record{record}, false)
	return lf.list.Servers(time.Now())
}

// listUpdate is a record that a host reads some time after the start of the attempt, about the server that the attempt is
// on: a state of the same start, of a later one, or a removal.
type listUpdate struct {
	after                        time.Duration
	offset                       id.Offset
	draining, restarted, dropped bool
}

// playListUpdates runs an order on a server named "one" while the list changes, and returns the status of its crash.
func playListUpdates(t *testing.T, probeResult forward.ProbeResult, answerTime time.Duration, updates []listUpdate) quarantine.CrashStatus {
	one, other := newServer("one", time.Hour), newServer("other", time.Hour)
	fleet := &listFleet{list: serverlist.New()}
	fleet.list.ApplyFullList(time.Now(), 2, []serverlist.Record{{ID: "one", Offset: 0, Server: &one}, {ID: "other", Offset: 1, Server: &other}}, false)
	balancer := balance.New("", 1)
	balancer.EndRequest(time.Now(), other, balance.ErrorResponse, nil, time.Millisecond)
	backends := &crashingServers{breakAfter: answerTime, probeResults: map[string]forward.ProbeResult{"one": probeResult, "other": forward.Reachable}}
	table := newLocalQuarantine()
	rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fleet, Quarantine: table, Balancer: balancer})
	for _, update := range updates {
		time.AfterFunc(update.after, func() {
			record := serverlist.Record{ID: "one", Offset: update.offset, Dropped: update.dropped}
			if !update.dropped {
				server := one
				server.Draining = update.draining
				if update.restarted {
					server.StartedAtMillis = time.Now().UnixMilli()
				}
				record.Server = &server
			}
			rn.UpdateServers(fleet.apply(record))
		})
	}
	request := newOrder()
	request.Deadline = request.ArrivedAt.Add(8 * time.Second)
	result := rn.Run(t.Context(), request, &fakeClient{})
	assert.Equal(t, result.Outcome.Kind, outcome.Failed, "%+v", result)
	assert.DeepEqual(t, backends.sentTo, []string{"one"})
	time.Sleep(20 * time.Second)
	synctest.Wait()
	return crashStatus(table)
}

// TestSilentCrashCountsAsLeaving guards against crashes that are not counted because the list drops a silent server
// before the attempt on it ends.
func TestSilentCrashCountsAsLeaving(t *testing.T) {
	for name, updates := range map[string][]listUpdate{
		"dropped while the attempt waits":               {{after: 3 * time.Second, offset: 2, dropped: true}},
		"dropped after the attempt":                     {{after: 6 * time.Second, offset: 2, dropped: true}},
		"dropped and started anew":                      {{after: 3 * time.Second, offset: 2, dropped: true}, {after: 4 * time.Second, offset: 3, restarted: true}},
		"dropped, its next start is draining":           {{after: 3 * time.Second, offset: 2, dropped: true}, {after: 4 * time.Second, offset: 3, restarted: true, draining: true}},
		"the next start drains and is dropped as well":  {{after: 3 * time.Second, offset: 2, restarted: true, draining: true}, {after: 4 * time.Second, offset: 3, dropped: true}},
		"dropped after the attempt, next start drains":  {{after: 6 * time.Second, offset: 2, restarted: true, draining: true}, {after: 7 * time.Second, offset: 3, dropped: true}},
		"was ready again and dropped before the answer": {{after: time.Second, offset: 2}, {after: 4 * time.Second, offset: 3, dropped: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.Equal(t, playListUpdates(t, forward.Unresponsive, 5*time.Second, updates), quarantine.Confirmed)
			})
		})
	}
}

// TestLeavingCountsAsCrash guards against the opposite: a server that drains, leaves and is dropped counts for no crash,
// whether a host reads that before or after the attempt on it is lost, and in any order. One that is dropped without
// draining, serves on and then exits counts for none either.
func TestLeavingCountsAsCrash(t *testing.T) {
	drainsAt := func(after time.Duration, offset id.Offset) listUpdate {
		return listUpdate{after: after, offset: offset, draining: true}
	}
	dropsAt := func(after time.Duration, offset id.Offset) listUpdate {
		return listUpdate{after: after, offset: offset, dropped: true}
	}
	for _, tc := range []struct {
		name    string
		probe   forward.ProbeResult
		updates []listUpdate
	}{
		{"drains and is dropped, then silent", forward.Unresponsive, []listUpdate{drainsAt(time.Second, 2), dropsAt(4*time.Second, 3)}},
		{"drains and is dropped, then gone", forward.ConnectionRefused, []listUpdate{drainsAt(time.Second, 2), dropsAt(4*time.Second, 3)}},
		{"the drop is read first", forward.Unresponsive, []listUpdate{dropsAt(time.Second, 3), drainsAt(2*time.Second, 2)}},
		{"drains, dropped after the attempt", forward.Reachable, []listUpdate{drainsAt(time.Second, 2), dropsAt(6*time.Second, 3)}},
		{"drains and is dropped after the attempt", forward.Reachable, []listUpdate{drainsAt(6*time.Second, 2), dropsAt(9*time.Second, 3)}},
		{"dropped without draining, then exits", forward.ConnectionRefused, []listUpdate{dropsAt(time.Second, 2)}},
		{"dropped without draining, serves on", forward.Reachable, []listUpdate{dropsAt(time.Second, 2)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				assert.Equal(t, playListUpdates(t, tc.probe, 5*time.Second, tc.updates), quarantine.CrashStatus(0))
			})
		})
	}
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
