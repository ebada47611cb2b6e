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
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// crashing breaks off every answer of some servers, and says how servers are reached then.
type crashing struct {
	servers
	health map[string]forward.Health
	// hangs has attempts end only with their time.
	hangs bool
	// stale has attempts fail on connections that were open before.
	stale bool
}

func (sv *crashing) Send(ctx context.Context, at forward.Attempt) (forward.Response, error) {
	sv.sent = append(sv.sent, at.Address)
	if sv.hangs {
		<-ctx.Done()
		return forward.Response{}, ctx.Err()
	}
	if sv.stale {
		return forward.Response{}, errors.Join(forward.ErrStaleConnection, io.ErrUnexpectedEOF)
	}
	return forward.Response{}, io.ErrUnexpectedEOF
}

func (sv *crashing) Probe(_ context.Context, address string) forward.Health {
	if health, ok := sv.health[address]; ok {
		return health
	}
	return forward.Reachable
}

// table is a quarantine of one host.
type table struct{ *quarantine.Table }

func newTable() table {
	return table{quarantine.New(quarantine.Config{CrashLimit: 3, TTL: time.Hour, ReportTTL: 5 * time.Second})}
}

func (tb table) Decide(fp id.Fingerprint) (quarantine.Decision, time.Duration) {
	return tb.Table.Decide(time.Now(), fp), time.Second
}
func (tb table) CrashLearnedAt(crash quarantine.CrashID) (time.Time, bool) { return tb.FirstConfirmedAt(crash) }
func (tb table) ReportEvidence(_ id.Service, ev quarantine.Evidence)       { tb.Learn(time.Now(), ev) }
func (tb table) Finished(_ id.Service, fp id.Fingerprint)         { tb.Table.RequestCompleted(time.Now(), fp) }

// order is a plain request that may not be repeated.
func order() *forward.Request {
	now := time.Now()
	return &forward.Request{
		ID: "request", Target: "/order", Service: "service", ArrivedAt: now, Deadline: now.Add(time.Second),
		Route: route.Route{Kind: route.NonIdempotent, MaxAttempts: 1},
	}
}

// contentOf is the fingerprint of order.
var contentOf = id.NewFingerprint("", []byte("/order"), nil)

// bornAt returns a server that started some time ago.
func bornAt(name string, ago time.Duration) roster.Server {
	return roster.Server{ID: id.BackendServer(name), Service: "service", Address: name, StartedAtMillis: time.Now().Add(-ago).UnixMilli()}
}

// TestCrashDetection counts the crash of a server that broke off when its address refuses connections, or when the list shows
// that it is gone or has started anew; a silent server is reported if others answer; no other end of an answer counts.
func TestCrashDetection(t *testing.T) {
	for _, cs := range []struct {
		name   string
		health forward.Health
		other  forward.Health
		hangs  bool
		// leaving says that the server is known to leave.
		leaving bool
		// listed is what the list says of the server 2 s later: nothing, the same or another start.
		listed string
		// atOnce and after are what is known of the crash before and after that list.
		atOnce, after quarantine.CrashStatus
	}{
		{name: "refuses", health: forward.ConnectionRefused, listed: "same", atOnce: quarantine.Confirmed, after: quarantine.Confirmed},
		{name: "refuses, leaving", health: forward.ConnectionRefused, leaving: true, listed: "gone"},
		{name: "answers", health: forward.Reachable, listed: "same"},
		{name: "answers, was started anew", health: forward.Reachable, listed: "anew", after: quarantine.Confirmed},
		{name: "silent", health: forward.Unresponsive, other: forward.Reachable, listed: "same", atOnce: quarantine.Reported, after: quarantine.Reported},
		{name: "silent, gone", health: forward.Unresponsive, other: forward.Reachable, listed: "gone", atOnce: quarantine.Reported, after: quarantine.Confirmed},
		{name: "all are silent", health: forward.Unresponsive, other: forward.Unresponsive, listed: "same"},
		{name: "all are silent, gone", health: forward.Unresponsive, other: forward.Unresponsive, listed: "gone", after: quarantine.Confirmed},
		{name: "no answer in its time, refuses", hangs: true, health: forward.ConnectionRefused, listed: "same", atOnce: quarantine.Confirmed, after: quarantine.Confirmed},
		{name: "no answer in its time, answers", hangs: true, health: forward.Reachable, listed: "same"},
	} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one, other := bornAt("one", time.Hour), bornAt("other", time.Hour)
				balancer := balance.New("", 1)
				balancer.EndRequest(time.Now(), other, balance.ErrorResponse, nil, time.Millisecond)
				sv := &crashing{hangs: cs.hangs, health: map[string]forward.Health{"one": cs.health, "other": cs.other}}
				fl := &fleet{listed: []roster.Server{one, other}, left: map[id.BackendServer]bool{}, leaving: map[id.BackendServer]bool{}}
				tb := newTable()
				rn := newRunner(forward.Dependencies{Servers: sv, Fleet: fl, Quarantine: tb, Balancer: balancer})
				if cs.leaving {
					fl.leaving["one"] = true
				}
				rs := rn.Run(t.Context(), order(), &sink{})
				synctest.Wait()
				assert.Assert(t, rs.Outcome.Kind == outcome.Failed, "%+v", rs)
				assert.Equal(t, standing(tb), cs.atOnce)
				time.Sleep(2 * time.Second)
				switch cs.listed {
				case "gone":
					rn.UpdateServers([]roster.Server{other})
				case "anew":
					rn.UpdateServers([]roster.Server{bornAt("one", time.Second), other})
				default:
					rn.UpdateServers([]roster.Server{one, other})
				}
				assert.Equal(t, standing(tb), cs.after)
			})
		})
	}
}

// standing returns what is known of the one crash under order; zero for nothing.
func standing(tb table) quarantine.CrashStatus {
	for _, ev := range tb.EvidenceFor(contentOf) {
		return ev.Status
	}
	return 0
}

// TestRepeatedCrashesOfOneServer counts each crash of a server once that starts anew under its name, also when the list tells late.
func TestRepeatedCrashesOfOneServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one := bornAt("one", time.Hour)
		sv := &crashing{health: map[string]forward.Health{"one": forward.ConnectionRefused}}
		tb := newTable()
		rn := newRunner(forward.Dependencies{Servers: sv, Fleet: fleet{listed: []roster.Server{one}}, Quarantine: tb})
		for crashes := 1; crashes <= 3; crashes++ {
			rn.Run(t.Context(), order(), &sink{})
			assert.Equal(t, tb.ConfirmedCrashes(contentOf), crashes)
			time.Sleep(100 * time.Millisecond)
		}
		rs := rn.Run(t.Context(), order(), &sink{})
		assert.Equal(t, rs.Outcome.Kind, outcome.Refused)
		assert.Equal(t, rs.Outcome.Reason, outcome.Quarantined)
		assert.Equal(t, len(sv.sent), 3)
	})
}

// TestStaleConnectionToCrashedServer counts nothing against a request that went to a server which had crashed before, on a connection
// that was still open.
func TestStaleConnectionToCrashedServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sv := &crashing{health: map[string]forward.Health{"one": forward.ConnectionRefused}}
		tb := newTable()
		rn := newRunner(forward.Dependencies{Servers: sv, Fleet: fleet{listed: []roster.Server{bornAt("one", time.Hour)}}, Quarantine: tb})
		rn.Run(t.Context(), order(), &sink{})
		time.Sleep(100 * time.Millisecond)
		sv.stale = true
		rn.Run(t.Context(), order(), &sink{})
		assert.Equal(t, tb.ConfirmedCrashes(contentOf), 1)
	})
}

// TestQuarantinedBetweenAttempts does not send a request again whose content is barred after its first attempt, and does not say that it
// has not run.
func TestQuarantinedBetweenAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sv := &crashing{health: map[string]forward.Health{"one": forward.ConnectionRefused, "two": forward.ConnectionRefused}}
		tb := newTable()
		for crash := range quarantine.CrashID(2) {
			tb.ReportEvidence("service", quarantine.Evidence{Fingerprint: contentOf, Crash: crash, Status: quarantine.Confirmed})
		}
		rn := newRunner(forward.Dependencies{Servers: sv, Fleet: fleet{listed: []roster.Server{bornAt("one", time.Hour), bornAt("two", time.Hour)}}, Quarantine: tb})
		rq := order()
		rq.Route = route.Route{Kind: route.Idempotent, MaxAttempts: 2}
		rs := rn.Run(t.Context(), rq, &sink{})
		assert.Equal(t, len(sv.sent), 1)
		assert.Equal(t, rs.Outcome.Kind, outcome.Failed)
	})
}

// TestFinishedClearsCrashes lets a content run alone no more once it was answered.
func TestFinishedClearsCrashes(t *testing.T) {
	tb := newTable()
	for crash := range quarantine.CrashID(2) {
		tb.ReportEvidence("service", quarantine.Evidence{Fingerprint: contentOf, Crash: crash, Status: quarantine.Confirmed})
	}
	rn := newRunner(forward.Dependencies{Servers: &servers{}, Fleet: fleet{listed: []roster.Server{bornAt("one", time.Hour)}}, Quarantine: tb})
	rs := rn.Run(t.Context(), order(), &sink{})
	assert.Equal(t, rs.Status, http.StatusOK)
	assert.Equal(t, tb.ConfirmedCrashes(contentOf), 0)
}
