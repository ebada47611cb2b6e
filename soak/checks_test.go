package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// serverRun is one run of a request at a server.
type serverRun struct {
	standin.Run
	server *server
}

// checkExchanges compares what clients and servers saw with the promises of the users' rules.
func (wd *testbed) checkExchanges() {
	wd.mutex.Lock()
	sent, servers := wd.exchanges, wd.servers
	wd.mutex.Unlock()
	known := map[string]*exchange{}
	for _, ex := range sent {
		known[ex.id] = ex
	}
	runs := map[string][]serverRun{}
	for _, sv := range servers {
		for _, run := range sv.Runs() {
			runs[run.Attempt] = append(runs[run.Attempt], serverRun{run, sv})
			wd.checkRun(known[run.Attempt], run, sv)
		}
	}
	wd.checkCrashingRequests(runs)
	excess, arrivals := 0, map[string]int{}
	requests := map[string]int{}
	for _, ex := range sent {
		wd.checkAnswer(ex, runs[ex.id])
		requests[ex.kind.service]++
		arrivals[ex.kind.service] += len(runs[ex.id])
		if wd.runsWithoutCrash(runs[ex.id]) > maxAttempts {
			excess++
		}
	}
	if count := wd.servedRequests(); count < minServedRequests {
		wd.reportViolation("SERVED", "%d requests, want %d at least", count, minServedRequests)
	}
	if excess > toleratedExcessRequests {
		wd.reportViolation("BUDGET", "%d requests ran on more than %d servers", excess, maxAttempts)
	}
	for service, count := range arrivals {
		const window = 10 * time.Second
		windows := 1 + int(wd.trafficDuration()/window)
		if most := (1+retryShare)*float64(requests[service]) + float64(retrySlack*windows); float64(count) > most {
			wd.reportViolation("BUDGET", "%s: %d arrivals of %d requests", service, count, requests[service])
		}
	}
}

// checkCrashingRequests checks that hosts stop sending what crashes servers, and that they refuse nothing else for that reason.
func (wd *testbed) checkCrashingRequests(runs map[string][]serverRun) {
	const convicting, lateRetries = 3, 3
	byPath := map[string][]time.Time{}
	for _, ex := range wd.exchanges {
		switch {
		case ex.kind.crashesServers:
			for _, rn := range runs[ex.id] {
				byPath[ex.path] = append(byPath[ex.path], rn.Began)
			}
		case strings.Contains(ex.answer, "has crashed servers"):
			wd.reportViolation("DENIED", "a request that crashes nothing: %s", ex)
		}
	}
	for path, times := range byPath {
		slices.SortFunc(times, time.Time.Compare)
		late := 0
		for number, at := range times {
			if number >= convicting && at.Sub(times[convicting-1]) > convergenceTime && at.After(wd.convergedAt) {
				late++
			}
		}
		if late > lateRetries {
			wd.reportViolation("BUDGET", "%s, which crashes servers, was sent %d times, %d of them late", path, len(times), late)
		}
	}
}

// minServedRequests is the number of requests that a soak must have served for its checks to mean something.
const minServedRequests = 50

// servedRequests counts the requests that got a whole answer of a server.
func (wd *testbed) servedRequests() int {
	count := 0
	for _, ex := range wd.exchanges {
		if ex.err == nil && ex.status == http.StatusOK {
			count++
		}
	}
	return count
}

// summary counts what became of the requests.
func (wd *testbed) summary() string {
	refused, cut := 0, 0
	for _, ex := range wd.exchanges {
		switch {
		case ex.err != nil:
			cut++
		case slices.Contains(notRunStatuses, ex.status):
			refused++
		}
	}
	served := wd.servedRequests()
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d broken off or left", len(wd.exchanges), served, refused,
		len(wd.exchanges)-served-refused-cut, cut)
}

// trafficDuration returns the time from the first request to the end of the last one.
func (wd *testbed) trafficDuration() time.Duration {
	if len(wd.exchanges) == 0 {
		return 0
	}
	return wd.exchanges[len(wd.exchanges)-1].endedAt.Sub(wd.exchanges[0].sentAt)
}

// runsWithoutCrash counts the runs at servers that did not crash.
func (wd *testbed) runsWithoutCrash(runs []serverRun) int {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	count := 0
	for _, rn := range runs {
		if !wd.crashedServers[rn.server.ID] {
			count++
		}
	}
	return count
}

// checkRun checks that a server ran a request as its client sent it.
func (wd *testbed) checkRun(ex *exchange, run standin.Run, sv *server) {
	switch {
	case ex == nil:
		wd.reportViolation("UNASKED", "%s ran %q, which nobody sent", sv.ID, run.Attempt)
	case run.Target != ex.path || run.Body != ex.requestBody:
		wd.reportViolation("UNASKED", "%s ran another path or body than sent: %s, %d of %d bytes, %s", sv.ID, run.Target, len(run.Body), len(ex.requestBody), ex)
	case run.Tenant != "acme" || run.Key != "":
		wd.reportViolation("UNASKED", "%s ran a request of %q with key %q: %s", sv.ID, run.Tenant, run.Key, ex)
	case sv.Service != ex.kind.service:
		wd.reportViolation("ROUTE", "%s ran %s", sv.ID, ex)
	case run.Deadline < 1 || run.Deadline > 10_000:
		wd.reportViolation("BUDGET", "%s was given %d ms: %s", sv.ID, run.Deadline, ex)
	}
}

// checkAnswer checks what a client got against what the servers did.
func (wd *testbed) checkAnswer(ex *exchange, runs []serverRun) {
	if ex.kind.atMostOnce && len(runs) > 1 {
		wd.reportViolation("TWICE", "%d runs: %s", len(runs), ex)
	}
	switch {
	case ex.status == 0:
	case ex.status == http.StatusOK:
		wd.checkSuccess(ex, runs)
	case ex.fromServer && (ex.status != http.StatusInternalServerError || ex.err == nil && ex.answer != "failed"):
		wd.reportViolation("MIXED", "a failure that no server gave: %s", ex)
	case ex.kind.routeIsNew && ex.status == http.StatusNotFound:
	case ex.status == http.StatusUnauthorized || ex.status == http.StatusForbidden || ex.status == http.StatusNotFound:
		wd.reportViolation("DENIED", "%s", ex)
	case ex.kind.atMostOnce && len(runs) > 0 && slices.Contains(notRunStatuses, ex.status):
		wd.reportViolation("REFUSED", "it ran at %s: %s", runs[0].server.ID, ex)
	}
}

// notRunStatuses are the statuses that promise that a request has not run.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// checkSuccess checks that a success is a server's whole answer, or the beginning of one that looks broken off.
func (wd *testbed) checkSuccess(ex *exchange, runs []serverRun) {
	if !slices.ContainsFunc(runs, func(rn serverRun) bool { return rn.server.ID == ex.serverID }) {
		wd.reportViolation("MIXED", "a success of a server that did not run it: %s", ex)
		return
	}
	want := fmt.Sprintf("answer of %s to %s", ex.serverID, ex.id)
	if ex.kind.streaming {
		want = wholeStream()
	}
	// Comments of engines whose streams stand still are passed on; they are no events.
	got := strings.ReplaceAll(ex.answer, standin.Comment, "")
	if ex.err == nil && got != want || !strings.HasPrefix(want, got) {
		wd.reportViolation("ORDER", "got %q, want %q: %s", ex.answer, want, ex)
	}
}

// wholeStream returns the text of a whole stream.
func wholeStream() string {
	var sb strings.Builder
	const count = 5
	for number := range count {
		fmt.Fprintf(&sb, "id: %d\ndata: event %d\n\n", number+1, number+1)
	}
	return sb.String()
}
