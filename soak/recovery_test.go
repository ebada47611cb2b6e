package soak

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// allHostsReady reports whether each host says that it accepts requests.
func (tb *testbed) allHostsReady() bool {
	for _, hs := range tb.hosts {
		if !hs.isReady() {
			return false
		}
	}
	return true
}

// checkAfterFaults checks that the hosts recover once the faults are over, and how they handle each change of a healthy
// system: a new route, servers that leave, a client that disconnects, and the planned stop of a host.
func (tb *testbed) checkAfterFaults() {
	probe := newClient(tb, "probe", 1)
	defer probe.transport.CloseIdleConnections()
	elapsed := tb.eventually("RECOVER", "each host serves each kind of request", func() bool { return tb.allHostsServe(probe) })
	tb.checkTimeLimit("RECOVER", "recovery after the faults", elapsed, recoveryLimit)
	time.Sleep(convergenceTime)
	tb.convergedAt = time.Now()
	if tb.stopCrashingRequests != nil {
		// Crashing servers would abort the requests of the checks below.
		time.Sleep(convergenceTime)
		tb.stopCrashingRequests()
	}
	tb.checkNewRoute(probe)
	if tb.mix.evacuatesZones {
		tb.checkEvacuation()
	}
	tb.checkListedDrain()
	tb.checkAnnouncedDrain(probe)
	tb.checkClientDisconnect(probe)
	tb.checkPlannedStop()
	// Clients still send requests, so this waits for a moment at which no reservation is open.
	elapsed = tb.eventually("LEAK", "all reserved memory is released", func() bool { return tb.reservationCount() == 0 })
	tb.checkTimeLimit("LEAK", "the release of reserved memory", elapsed, releaseLimit)
}

// checkTimeLimit reports a violation if an event took longer than its limit, provided that -soak.timed is set.
func (tb *testbed) checkTimeLimit(rule, event string, elapsed, limit time.Duration) {
	if *checkTimeLimits && elapsed > limit {
		tb.reportViolation(rule, "%s took %s, want at most %s", event, elapsed, limit)
	}
}

// allHostsServe reports whether each host is ready and serves each kind of request.
func (tb *testbed) allHostsServe(probe *client) bool {
	if !tb.allHostsReady() {
		return false
	}
	for _, hs := range tb.hosts {
		for _, kind := range []requestKind{readRequests, orderRequests, chatRequests} {
			if ex := probe.send(kind, hs, 0); ex.status != http.StatusOK || ex.err != nil {
				return false
			}
		}
	}
	return true
}

// checkNewRoute publishes a route and checks that each host serves it, with -soak.timed within configLimit.
func (tb *testbed) checkNewRoute(probe *client) {
	tb.publishDesiredState(1)
	kind := requestKind{path: addedRoutePath(tb.addedRoutes - 1), service: "books", timeout: readRequests.timeout, routeIsNew: true}
	elapsed := tb.eventually("CONFIG", "each host serves a new route", func() bool {
		for _, hs := range tb.hosts {
			if probe.send(kind, hs, 0).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	tb.checkTimeLimit("CONFIG", "applying a new route", elapsed, configLimit)
}

// checkListedDrain lists one server of each service as draining and, with -soak.timed, checks that no request reaches
// it after drainLimit.
func (tb *testbed) checkListedDrain() {
	drainStartedAt := time.Now()
	var draining []*server
	for _, service := range []string{"books", "models"} {
		for _, sv := range tb.activeServers() {
			if sv.Service == service && tb.markRetired(sv) {
				tb.addServer(service, nil)
				tb.list(sv, "draining")
				draining = append(draining, sv)
				break
			}
		}
	}
	time.Sleep(drainLimit + time.Second)
	for _, sv := range draining {
		for _, run := range sv.ExecutedRequests() {
			if *checkTimeLimits && run.StartedAt.Sub(drainStartedAt) > drainLimit {
				tb.reportViolation("DRAIN", "%s ran %s %s after it was listed as draining", sv.ID, run.Attempt, run.StartedAt.Sub(drainStartedAt))
			}
		}
		tb.list(sv, "")
		sv.Close()
	}
}

// checkAnnouncedDrain has one server of each service announce in its responses, but not in the list, that it is
// leaving. With -soak.timed, it checks that no request reaches the server later than half of drainLimit after the
// first such response.
func (tb *testbed) checkAnnouncedDrain(probe *client) {
	for _, kind := range []requestKind{readRequests, chatRequests} {
		// A few prompts in a row all go to the same engine, so the engine that answers now must be the one that
		// announces.
		var sv *server
		answeringServerID := probe.send(kind, tb.hosts[0], 0).serverID
		for _, candidate := range tb.activeServers() {
			if candidate.Service == kind.service && (sv == nil || candidate.ID == answeringServerID) {
				sv = candidate
			}
		}
		sv.SetFault(standin.AnnouncesLeaving)
		runsBefore := len(sv.ExecutedRequests())
		tb.eventually("DRAIN", "a server announces that it is leaving", func() bool {
			probe.send(kind, tb.hosts[0], 0)
			return len(sv.ExecutedRequests()) > runsBefore
		})
		announcedAt := time.Now()
		for time.Since(announcedAt) < drainLimit {
			probe.send(kind, tb.hosts[0], 0)
			probe.send(kind, tb.hosts[1], 0)
		}
		for _, run := range sv.ExecutedRequests() {
			if *checkTimeLimits && run.StartedAt.Sub(announcedAt) > drainLimit/2 {
				tb.reportViolation("DRAIN", "%s ran %s %s after it had announced that it is leaving", sv.ID, run.Attempt, run.StartedAt.Sub(announcedAt))
			}
		}
		sv.SetFault(standin.NoServerFault)
		sv.SimulateRestart()
		tb.store.ListServer(sv.Server)
	}
}

// checkClientDisconnect has a client disconnect in the middle of a stream and, with -soak.timed, checks that the engine
// stops working on the request within cancelLimit. It checks nothing if the stream ended before.
func (tb *testbed) checkClientDisconnect(probe *client) {
	ex := probe.send(chatRequests, tb.hosts[0], 100*time.Millisecond)
	if ex.err == nil {
		return
	}
	time.Sleep(cancelLimit)
	for _, sv := range tb.activeServers() {
		for _, run := range sv.ExecutedRequests() {
			if *checkTimeLimits && run.Attempt == ex.id && !run.Completed && (run.DisconnectedAt.IsZero() || run.DisconnectedAt.Sub(ex.abandonedAt) > cancelLimit) {
				tb.reportViolation("GONE", "%s kept working after the client had disconnected: %s", sv.ID, ex)
			}
		}
	}
}

// checkPlannedStop stops a host while it serves requests and checks that each request succeeds: streams that outlast
// the time in which the stopping host accepts new requests, and orders sent before and after the signal. Orders that
// reach the host after that time, because the machine is busy, are to be refused.
func (tb *testbed) checkPlannedStop() {
	hs := tb.hosts[len(tb.hosts)-1]
	const (
		clientsPerKind = 4
		// ordersPerClient is the number of orders that a client sends one after the other.
		ordersPerClient = 10
		// eventGap is the time between two events of the streams.
		eventGap = 400 * time.Millisecond
		// delayBeforeSignal is the time for the first requests to reach servers.
		delayBeforeSignal = 60 * time.Millisecond
	)
	for _, sv := range tb.activeServers() {
		sv.SetEventInterval(eventGap)
	}
	var group sync.WaitGroup
	exchanges := make(chan *exchange, clientsPerKind*(1+ordersPerClient))
	for ix := range clientsPerKind {
		for _, kind := range []requestKind{chatRequests, orderRequests} {
			cl := newClient(tb, fmt.Sprint("last-", kind.service, ix), 1)
			group.Go(func() {
				defer cl.transport.CloseIdleConnections()
				exchanges <- cl.send(kind, hs, 0)
				for range ordersPerClient - 1 {
					if kind.atMostOnce {
						exchanges <- cl.send(kind, hs, 0)
					}
				}
			})
		}
	}
	time.Sleep(delayBeforeSignal)
	acceptEnd := time.Now().Add(lifecycle.Grace(tb.grace()).AcceptTime())
	hs.signal(syscall.SIGTERM, 0)
	group.Wait()
	close(exchanges)
	for ex := range exchanges {
		if (ex.err != nil || ex.status != http.StatusOK) && !ex.orderRefusedAfter(acceptEnd) {
			tb.reportViolation("LOST", "at a planned stop: %s", ex)
		}
	}
	tb.eventually("START", "the stopped host has restarted", tb.allHostsReady)
}

// orderRefusedAfter reports whether the exchange is an order that a stopping host itself refused as not run, completely,
// and not before it stopped accepting requests.
func (ex *exchange) orderRefusedAfter(acceptEnd time.Time) bool {
	return ex.kind.atMostOnce && ex.err == nil && ex.status == http.StatusServiceUnavailable && !ex.fromServer &&
		ex.answer == "the host is leaving\n" && !ex.endedAt.Before(acceptEnd)
}

// TestOrderRefusedAfterAcceptTime checks which answers at a planned stop are no loss.
func TestOrderRefusedAfterAcceptTime(t *testing.T) {
	acceptEnd := time.Now()
	refused := exchange{kind: orderRequests, status: http.StatusServiceUnavailable, answer: "the host is leaving\n", endedAt: acceptEnd.Add(time.Millisecond)}
	for name, tc := range map[string]struct {
		change func(*exchange)
		want   bool
	}{
		"a refusal after the accept time": {func(*exchange) {}, true},
		"a refusal within it":             {func(ex *exchange) { ex.endedAt = acceptEnd.Add(-time.Millisecond) }, false},
		"a refusal that is cut":           {func(ex *exchange) { ex.err = io.ErrUnexpectedEOF }, false},
		"a closed connection":             {func(ex *exchange) { ex.err, ex.status, ex.answer = io.EOF, 0, "" }, false},
		"a stream":                        {func(ex *exchange) { ex.kind = chatRequests }, false},
		"an answer of a server":           {func(ex *exchange) { ex.fromServer = true }, false},
		"an order that may have run":      {func(ex *exchange) { ex.status = http.StatusBadGateway }, false},
		"a refusal for another reason":    {func(ex *exchange) { ex.answer = "no server of the service takes requests\n" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			ex := refused
			tc.change(&ex)
			assert.Equal(t, ex.orderRefusedAfter(acceptEnd), tc.want)
		})
	}
}

// reservationCount returns the number of memory reservations that active servers hold.
func (tb *testbed) reservationCount() int {
	reserved := 0
	for _, sv := range tb.activeServers() {
		reserved += sv.OpenReservations()
	}
	return reserved
}
