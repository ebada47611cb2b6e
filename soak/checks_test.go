package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// serverRun is one run of a request, with the server that ran it.
type serverRun struct {
	standin.ExecutedRequest
	server *server
}

// checkExchanges checks all requests of a run against the rules of the users' platform: what servers ran, what clients
// received, and how many retries the hosts sent. It is called after all clients and hosts have ended.
func (tb *testbed) checkExchanges() {
	tb.mutex.Lock()
	exchanges, servers := tb.exchanges, tb.servers
	tb.mutex.Unlock()
	tb.eventually("STOP", "servers have noticed the end of all hosts", func() bool {
		return !slices.ContainsFunc(servers, func(sv *server) bool {
			return slices.ContainsFunc(sv.ExecutedRequests(), func(run standin.ExecutedRequest) bool { return run.EndedAt.IsZero() })
		})
	})
	exchangesByID := map[string]*exchange{}
	for _, ex := range exchanges {
		exchangesByID[ex.id] = ex
	}
	runsByID := map[string][]serverRun{}
	for _, sv := range servers {
		for _, run := range sv.ExecutedRequests() {
			runsByID[run.Attempt] = append(runsByID[run.Attempt], serverRun{run, sv})
			tb.checkRun(exchangesByID[run.Attempt], run, sv)
		}
	}
	tb.checkCrashingRequests(runsByID)
	tb.checkCutOffHosts()
	tb.checkLosses(runsByID)
	if tb.mix.plannedOnly {
		tb.checkStopTimes()
	}
	tb.checkEvacuations()
	for _, sv := range servers {
		if sv.ratePerSecond > 0 {
			tb.checkRequestLimit(sv, exchangesByID)
		}
		for _, cold := range sv.coldTimes {
			tb.checkColdServer(sv, cold)
		}
	}
	excessRequests, runsPerService := 0, map[string]int{}
	requestsPerService := map[string]int{}
	for _, ex := range exchanges {
		tb.checkAnswer(ex, runsByID[ex.id])
		requestsPerService[ex.kind.service]++
		runsPerService[ex.kind.service] += len(runsByID[ex.id])
		if tb.countRunsAtUncrashedServers(runsByID[ex.id]) > maxAttempts {
			excessRequests++
		}
	}
	if count := tb.servedRequestCount(); count < minServedRequests {
		tb.reportViolation("SERVED", "%d requests served, want at least %d", count, minServedRequests)
	}
	if excessRequests > toleratedExcessRequests {
		tb.reportViolation("BUDGET", "%d requests ran on more than %d servers", excessRequests, maxAttempts)
	}
	for service, count := range runsPerService {
		// The retry slack is granted anew in each window.
		const window = 10 * time.Second
		windows := 1 + int(tb.trafficDuration()/window)
		if limit := (1+retryShare)*float64(requestsPerService[service]) + float64(retrySlack*windows); float64(count) > limit {
			tb.reportViolation("BUDGET", "%s: servers ran %d attempts for %d requests", service, count, requestsPerService[service])
		}
	}
}

// checkCrashingRequests checks that hosts stop sending requests that crash servers, and that they refuse no other
// requests for this reason. Crashing requests with the same path also have the same body. After quarantineThreshold
// runs of such a path, hosts have convergenceTime to stop sending it. Runs after that are late, unless they precede
// convergedAt, because hosts may not have agreed yet while they recover from the faults. A few late retries,
// toleratedLateRuns for each path, are accepted.
func (tb *testbed) checkCrashingRequests(runsByID map[string][]serverRun) {
	const quarantineThreshold, toleratedLateRuns = 3, 3
	startTimesByPath := map[string][]time.Time{}
	for _, ex := range tb.exchanges {
		switch {
		case ex.kind.crashesServers:
			for _, rn := range runsByID[ex.id] {
				startTimesByPath[ex.path] = append(startTimesByPath[ex.path], rn.StartedAt)
			}
		case strings.Contains(ex.answer, "has crashed servers"):
			tb.reportViolation("DENIED", "a request that crashes no server was refused as crashing servers: %s", ex)
		}
	}
	for path, startTimes := range startTimesByPath {
		slices.SortFunc(startTimes, time.Time.Compare)
		lateRuns := 0
		for number, startedAt := range startTimes {
			if number >= quarantineThreshold && startedAt.Sub(startTimes[quarantineThreshold-1]) > convergenceTime && startedAt.After(tb.convergedAt) {
				lateRuns++
			}
		}
		if lateRuns > toleratedLateRuns {
			tb.reportViolation("BUDGET", "%s, which crashes servers, was sent %d times, %d of them after it should have been quarantined", path, len(startTimes), lateRuns)
		}
	}
}

// checkRequestLimit checks that a server with a limit ran no more requests in any window than the users allow, counted
// from half a second after the host that sent them had passed on an answer that names the limit. A fault of a host or
// of its links excuses the host until it has passed on another such answer.
func (tb *testbed) checkRequestLimit(sv *server, exchangesByID map[string]*exchange) {
	const namingAllowance = 500 * time.Millisecond
	hostKnowsLimit := func(hostName string, at time.Time) bool {
		return slices.ContainsFunc(tb.exchanges, func(ex *exchange) bool {
			return ex.hostName == hostName && ex.serverID == sv.ID && ex.namesLimit && ex.endedAt.Add(namingAllowance).Before(at) &&
				!slices.ContainsFunc(tb.disruptions, func(ds disruption) bool {
					return strings.HasPrefix(ds.name, hostName) && ds.at.After(ex.sentAt) && ds.at.Before(at)
				})
		})
	}
	var counted []time.Time
	for _, run := range sv.ExecutedRequests() {
		if ex := exchangesByID[run.Attempt]; ex != nil && hostKnowsLimit(ex.hostName, run.StartedAt) {
			counted = append(counted, run.StartedAt)
		}
	}
	if most, allowed := testutil.MaxInWindow(counted, testutil.LimitWindow), testutil.MaxAllowedByLimit(sv.ratePerSecond); most > allowed {
		tb.reportViolation("LIMIT", "%s with a limit of %g/s ran %d requests in %s, allowed %d", sv.ID, sv.ratePerSecond, most, testutil.LimitWindow, allowed)
	}
}

// checkColdServer checks that a server that said that it is cold got no more requests in any second than the users allow,
// summed over all hosts, once they had time to learn of it from the list or from its answers.
func (tb *testbed) checkColdServer(sv *server, cold coldTime) {
	const (
		listAllowance  = time.Second
		overage, slack = 1.5, 5
	)
	counted := slices.DeleteFunc(sv.Arrivals(), func(at time.Time) bool {
		return at.Before(cold.listedAt.Add(listAllowance)) || !at.Before(cold.until)
	})
	if most, allowed := testutil.MaxInWindow(counted, time.Second), tb.mix.coldPerSecond*overage+slack; float64(most) > allowed {
		tb.reportViolation("FAILBACK", "%s, cold from %s to %s, got %d requests in a second, allowed %g", sv.ID, cold.listedAt.Format(time.StampMilli), cold.until.Format(time.StampMilli), most, allowed)
	}
}

// minServedRequests is the number of requests that a run must have served for its checks to be meaningful.
const minServedRequests = 50

// servedRequestCount returns the number of requests that got a complete response with status 200.
func (tb *testbed) servedRequestCount() int {
	count := 0
	for _, ex := range tb.exchanges {
		if ex.err == nil && ex.status == http.StatusOK {
			count++
		}
	}
	return count
}

// summary returns how many requests ended in which way, for the log of the test.
func (tb *testbed) summary() string {
	refused, interrupted := 0, 0
	for _, ex := range tb.exchanges {
		switch {
		case ex.err != nil:
			interrupted++
		case slices.Contains(notRunStatuses, ex.status):
			refused++
		}
	}
	served := tb.servedRequestCount()
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d interrupted or abandoned", len(tb.exchanges), served, refused,
		len(tb.exchanges)-served-refused-interrupted, interrupted)
}

// trafficDuration returns the time from the start of the first recorded exchange to the end of the last one.
func (tb *testbed) trafficDuration() time.Duration {
	if len(tb.exchanges) == 0 {
		return 0
	}
	return tb.exchanges[len(tb.exchanges)-1].endedAt.Sub(tb.exchanges[0].sentAt)
}

// countRunsAtUncrashedServers counts the runs at servers that never crashed. The check of maxAttempts leaves out all
// runs at a server that crashed at any time, before, during or after the run.
func (tb *testbed) countRunsAtUncrashedServers(runs []serverRun) int {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	count := 0
	for _, rn := range runs {
		if !tb.crashedServers[rn.server.ID] {
			count++
		}
	}
	return count
}

// checkRun checks that a server ran a request exactly as its client sent it; ex is nil if no client sent it.
func (tb *testbed) checkRun(ex *exchange, run standin.ExecutedRequest, sv *server) {
	switch {
	case ex == nil:
		tb.reportViolation("UNASKED", "%s ran %q, which no client sent", sv.ID, run.Attempt)
	case run.Target != ex.path || run.Body != ex.requestBody:
		tb.reportViolation("UNASKED", "%s ran a path or body other than sent: %s, %d of %d bytes, %s", sv.ID, run.Target, len(run.Body), len(ex.requestBody), ex)
	case run.Tenant != "acme" || run.APIKey != "":
		tb.reportViolation("UNASKED", "%s ran a request of %q with key %q: %s", sv.ID, run.Tenant, run.APIKey, ex)
	case sv.Service != ex.kind.service && !(tb.mix.movesServices && ex.kind.path == readRequests.path && sv.Service == movableService):
		tb.reportViolation("ROUTE", "%s ran a request for another service: %s", sv.ID, ex)
	case run.DeadlineMillis < 1 || run.DeadlineMillis > 10_000:
		tb.reportViolation("BUDGET", "%s was given a deadline of %d ms: %s", sv.ID, run.DeadlineMillis, ex)
	}
}

// checkAnswer checks the response that a client received against the servers' runs of its request.
func (tb *testbed) checkAnswer(ex *exchange, runs []serverRun) {
	if ex.kind.atMostOnce && len(runs) > 1 {
		tb.reportViolation("TWICE", "%d runs: %s", len(runs), ex)
	}
	switch {
	case ex.status == 0:
	case ex.status == http.StatusOK:
		tb.checkSuccess(ex, runs)
	case ex.fromServer && (ex.status != http.StatusInternalServerError || ex.err == nil && ex.answer != "failed"):
		tb.reportViolation("MIXED", "a failure that no server sent: %s", ex)
	case ex.kind.routeIsNew && ex.status == http.StatusNotFound:
	case ex.status == http.StatusUnauthorized || ex.status == http.StatusForbidden || ex.status == http.StatusNotFound:
		tb.reportViolation("DENIED", "%s", ex)
	case ex.kind.atMostOnce && len(runs) > 0 && slices.Contains(notRunStatuses, ex.status):
		tb.reportViolation("REFUSED", "it was reported as not run, but ran on %s: %s", runs[0].server.ID, ex)
	}
}

// notRunStatuses are the response statuses by which a host promises that the request has not run.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// checkSuccess checks that a successful response came from a server that ran the request and is complete, or, if the
// client noticed an error, is the beginning of the complete response.
func (tb *testbed) checkSuccess(ex *exchange, runs []serverRun) {
	if !slices.ContainsFunc(runs, func(rn serverRun) bool { return rn.server.ID == ex.serverID }) {
		tb.reportViolation("MIXED", "a success from a server that did not run it: %s", ex)
		return
	}
	want := fmt.Sprintf("answer of %s to %s", ex.serverID, ex.id)
	if ex.kind.streaming {
		want = wholeStream()
	}
	// Hosts forward the comments that engines send while a stream is stalled. They are not events.
	got := strings.ReplaceAll(ex.answer, standin.StalledStreamComment, "")
	if ex.err == nil && got != want || !strings.HasPrefix(want, got) {
		tb.reportViolation("ORDER", "got %q, want %q: %s", ex.answer, want, ex)
	}
}

// wholeStream returns the body of a complete event stream, with the default number of events of a stand-in server.
func wholeStream() string {
	var sb strings.Builder
	const eventCount = 5
	for number := range eventCount {
		fmt.Fprintf(&sb, "id: %d\ndata: event %d\n\n", number+1, number+1)
	}
	return sb.String()
}
