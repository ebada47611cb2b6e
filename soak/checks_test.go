package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// seen is one run of a request at a server.
type seen struct {
	standin.ExecutedRequest
	server *server
}

// check compares what clients and servers saw with the promises of the users' rules.
func (wd *world) check() {
	wd.mutex.Lock()
	sent, servers := wd.exchanges, wd.servers
	wd.mutex.Unlock()
	known := map[string]*exchange{}
	for _, ex := range sent {
		known[ex.id] = ex
	}
	runs := map[string][]seen{}
	for _, sv := range servers {
		for _, run := range sv.ExecutedRequests() {
			runs[run.Attempt] = append(runs[run.Attempt], seen{run, sv})
			wd.checkRun(known[run.Attempt], run, sv)
		}
	}
	wd.checkMarked(runs)
	excess, arrivals := 0, map[string]int{}
	requests := map[string]int{}
	for _, ex := range sent {
		wd.checkAnswer(ex, runs[ex.id])
		requests[ex.kind.service]++
		arrivals[ex.kind.service] += len(runs[ex.id])
		if wd.sound(runs[ex.id]) > maxAttempts {
			excess++
		}
	}
	if count := wd.served(); count < leastServed {
		wd.broken("SERVED", "%d requests, want %d at least", count, leastServed)
	}
	if excess > toleratedExcess {
		wd.broken("BUDGET", "%d requests ran on more than %d servers", excess, maxAttempts)
	}
	for service, count := range arrivals {
		const window = 10 * time.Second
		windows := 1 + int(wd.span()/window)
		if most := (1+retryShare)*float64(requests[service]) + float64(retrySlack*windows); float64(count) > most {
			wd.broken("BUDGET", "%s: %d arrivals of %d requests", service, count, requests[service])
		}
	}
}

// checkMarked checks that hosts stop sending what crashes servers, and that they refuse nothing else for that reason.
func (wd *world) checkMarked(runs map[string][]seen) {
	const convicting, lateRetries = 3, 3
	byPath := map[string][]time.Time{}
	for _, ex := range wd.exchanges {
		switch {
		case ex.kind.marked:
			for _, rn := range runs[ex.id] {
				byPath[ex.path] = append(byPath[ex.path], rn.StartedAt)
			}
		case strings.Contains(ex.answer, "has crashed servers"):
			wd.broken("DENIED", "a request that crashes nothing: %s", ex)
		}
	}
	for path, times := range byPath {
		slices.SortFunc(times, time.Time.Compare)
		late := 0
		for number, at := range times {
			if number >= convicting && at.Sub(times[convicting-1]) > contactTime && at.After(wd.calmAt) {
				late++
			}
		}
		if late > lateRetries {
			wd.broken("BUDGET", "%s, which crashes servers, was sent %d times, %d of them late", path, len(times), late)
		}
	}
}

// leastServed is the number of requests that a soak must have served for its checks to mean something.
const leastServed = 50

// served counts the requests that got a whole answer of a server.
func (wd *world) served() int {
	count := 0
	for _, ex := range wd.exchanges {
		if ex.err == nil && ex.status == http.StatusOK {
			count++
		}
	}
	return count
}

// summary counts what became of the requests.
func (wd *world) summary() string {
	refused, cut := 0, 0
	for _, ex := range wd.exchanges {
		switch {
		case ex.err != nil:
			cut++
		case slices.Contains(refusals, ex.status):
			refused++
		}
	}
	served := wd.served()
	return fmt.Sprintf("%d requests: %d served, %d refused, %d failed, %d broken off or left", len(wd.exchanges), served, refused,
		len(wd.exchanges)-served-refused-cut, cut)
}

// span returns the time from the first request to the end of the last one.
func (wd *world) span() time.Duration {
	if len(wd.exchanges) == 0 {
		return 0
	}
	return wd.exchanges[len(wd.exchanges)-1].end.Sub(wd.exchanges[0].sent)
}

// sound counts the runs at servers that did not crash.
func (wd *world) sound(runs []seen) int {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	count := 0
	for _, rn := range runs {
		if !wd.crashed[rn.server.ID] {
			count++
		}
	}
	return count
}

// checkRun checks that a server ran a request as its client sent it.
func (wd *world) checkRun(ex *exchange, run standin.ExecutedRequest, sv *server) {
	switch {
	case ex == nil:
		wd.broken("UNASKED", "%s ran %q, which nobody sent", sv.ID, run.Attempt)
	case run.Target != ex.path || run.Body != ex.body:
		wd.broken("UNASKED", "%s ran another path or body than sent: %s, %d of %d bytes, %s", sv.ID, run.Target, len(run.Body), len(ex.body), ex)
	case run.Tenant != "acme" || run.APIKey != "":
		wd.broken("UNASKED", "%s ran a request of %q with key %q: %s", sv.ID, run.Tenant, run.APIKey, ex)
	case sv.Service != ex.kind.service:
		wd.broken("ROUTE", "%s ran %s", sv.ID, ex)
	case run.DeadlineMillis < 1 || run.DeadlineMillis > 10_000:
		wd.broken("BUDGET", "%s was given %d ms: %s", sv.ID, run.DeadlineMillis, ex)
	}
}

// checkAnswer checks what a client got against what the servers did.
func (wd *world) checkAnswer(ex *exchange, runs []seen) {
	if ex.kind.once && len(runs) > 1 {
		wd.broken("TWICE", "%d runs: %s", len(runs), ex)
	}
	switch {
	case ex.status == 0:
	case ex.status == http.StatusOK:
		wd.checkSuccess(ex, runs)
	case ex.sealed && (ex.status != http.StatusInternalServerError || ex.err == nil && ex.answer != "failed"):
		wd.broken("MIXED", "a failure that no server gave: %s", ex)
	case ex.kind.fresh && ex.status == http.StatusNotFound:
	case ex.status == http.StatusUnauthorized || ex.status == http.StatusForbidden || ex.status == http.StatusNotFound:
		wd.broken("DENIED", "%s", ex)
	case ex.kind.once && len(runs) > 0 && slices.Contains(refusals, ex.status):
		wd.broken("REFUSED", "it ran at %s: %s", runs[0].server.ID, ex)
	}
}

// refusals are the statuses that promise that a request has not run.
var refusals = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// checkSuccess checks that a success is a server's whole answer, or the beginning of one that looks broken off.
func (wd *world) checkSuccess(ex *exchange, runs []seen) {
	if !slices.ContainsFunc(runs, func(rn seen) bool { return rn.server.ID == ex.server }) {
		wd.broken("MIXED", "a success of a server that did not run it: %s", ex)
		return
	}
	want := fmt.Sprintf("answer of %s to %s", ex.server, ex.id)
	if ex.kind.stream {
		want = events()
	}
	// Comments of engines whose streams stand still are passed on; they are no events.
	got := strings.ReplaceAll(ex.answer, standin.StalledStreamComment, "")
	if ex.err == nil && got != want || !strings.HasPrefix(want, got) {
		wd.broken("ORDER", "got %q, want %q: %s", ex.answer, want, ex)
	}
}

// events returns the text of a whole stream.
func events() string {
	var sb strings.Builder
	const count = 5
	for number := range count {
		fmt.Fprintf(&sb, "id: %d\ndata: event %d\n\n", number+1, number+1)
	}
	return sb.String()
}
