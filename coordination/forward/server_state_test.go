package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// scriptedServers gives the set responses and records when each address was sent a request.
type scriptedServers struct {
	fakeServers
	// responses holds the response of each address; other addresses respond with status 200.
	responses map[string]forward.Response
	mutex     sync.Mutex
	sentAt    map[string][]time.Time
}

func (sv *scriptedServers) Send(_ context.Context, attempt forward.Attempt) (forward.Response, error) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if sv.sentAt == nil {
		sv.sentAt = map[string][]time.Time{}
	}
	sv.sentAt[attempt.Address] = append(sv.sentAt[attempt.Address], time.Now())
	response := sv.responses[attempt.Address]
	if response.Status == 0 {
		response.Status = http.StatusOK
	}
	response.Body = io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))
	response.Length = -1
	return response, nil
}

func (sv *scriptedServers) count(address string) int {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	return len(sv.sentAt[address])
}

// runRequest runs one request on a route.
func runRequest(t *testing.T, rn *forward.Runner, number int, rt route.Route) forward.Result {
	now := time.Now()
	return rn.Run(t.Context(), &forward.Request{
		ID: fmt.Sprintf("request-%d", number), Service: "service", ArrivedAt: now, Deadline: now.Add(3 * time.Second), Route: rt,
	}, &fakeClient{})
}

var testRoutes = []route.Route{
	{Name: "read", Kind: route.Idempotent, MaxAttempts: 2},
	{Name: "order", Kind: route.NonIdempotent, MaxAttempts: 1},
	{Name: "chat", Kind: route.Streaming, MaxAttempts: 2},
}

// TestLeavingServer checks that a server gets no further requests after a response said that it is leaving, whether
// that was a success, an error or a rejection, and although the list still shows the server as ready.
func TestLeavingServer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		for _, rt := range testRoutes {
			t.Run(fmt.Sprintf("%s %d", rt.Name, status), func(t *testing.T) {
				backends := &scriptedServers{responses: map[string]forward.Response{"one": {Status: status, Leaving: true, NotRun: status == http.StatusServiceUnavailable}}}
				serverList := fakeFleet{listed: []serverlist.Server{{ID: "one", Address: "one", Slots: 4}, {ID: "two", Address: "two", Slots: 4}}, announcedLeaving: map[id.BackendServer]bool{}}
				rn := newRunner(forward.Dependencies{Sender: backends, Fleet: serverList, Retries: retry.New(retry.Config{MaxAttempts: 3, BudgetRatio: 1, InitialBudget: 100}, 1)})
				for number := range 40 {
					runRequest(t, rn, number, rt)
				}
				assert.Equal(t, backends.count("one"), 1)
				assert.Assert(t, backends.count("two") >= 39)
			})
		}
	}
}

// TestGrantOnEngineThatAnnouncedLeaving checks that a grant with an engine that announced that it is leaving is given
// up, also if that engine is only a helper, and that the engine is reported to the dispatcher as gone.
func TestGrantOnEngineThatAnnouncedLeaving(t *testing.T) {
	dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "one"), grantOn("3", "two", "one"), grantOn("4", "two")}}
	backends := &scriptedServers{responses: map[string]forward.Response{"one:80": {Leaving: true}}}
	rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{announcedLeaving: map[id.BackendServer]bool{}, age: time.Hour}})
	streamRoute := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2}
	assert.Assert(t, runRequest(t, rn, 1, streamRoute).Complete)
	assert.Assert(t, runRequest(t, rn, 2, streamRoute).Complete)
	assert.Equal(t, backends.count("one:80"), 1)
	assert.Equal(t, backends.count("two:80"), 1)
	for _, ended := range dispatcher.ended[1:3] {
		assert.Equal(t, ended.FailedEngine, id.Engine("one"))
		assert.Equal(t, ended.Fault, batch.Gone)
	}
}

// TestServerBackoff checks that a server that asked for backoff gets no requests until the time is over, while other
// servers get them. If all servers ask for it, requests are rejected immediately with a retry delay that covers the
// backoff.
func TestServerBackoff(t *testing.T) {
	const backoffTime = 2 * time.Second
	rejection := forward.Response{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: backoffTime}
	for _, tc := range []struct {
		name      string
		allReject bool
		route     route.Route
	}{{"one server", false, testRoutes[0]}, {"all servers", true, testRoutes[0]}, {"one server, non-repeatable", false, testRoutes[1]}, {"all servers, non-repeatable", true, testRoutes[1]}} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backends := &scriptedServers{responses: map[string]forward.Response{"one": rejection}}
				if tc.allReject {
					backends.responses["two"] = rejection
				}
				serverList := fakeFleet{listed: []serverlist.Server{{ID: "one", Address: "one", Slots: 4}, {ID: "two", Address: "two", Slots: 4}}}
				rn := newRunner(forward.Dependencies{Sender: backends, Fleet: serverList, Retries: retry.New(retry.Config{MaxAttempts: 3, BudgetRatio: 1, InitialBudget: 100}, 1)})
				start := time.Now()
				for number := 0; time.Since(start) < backoffTime; number++ {
					sendsBefore := backends.count("one") + backends.count("two")
					startedAt := time.Now()
					result := runRequest(t, rn, number, tc.route)
					if tc.allReject && sendsBefore == 2 {
						assert.Assert(t, result.Outcome.Kind.String() == "not_run", "%+v", result)
						assert.Assert(t, time.Now().Add(result.Outcome.RetryAfter).Sub(start) >= backoffTime, "%s", result.Outcome.RetryAfter)
						assert.Equal(t, time.Since(startedAt), time.Duration(0))
					}
					time.Sleep(20 * time.Millisecond)
				}
				assert.Equal(t, backends.count("one"), 1)
				if tc.allReject {
					assert.Equal(t, backends.count("two"), 1)
				} else {
					assert.Assert(t, backends.count("two") > 90)
				}
				// After the backoff all servers may get requests again, one at a time at first.
				time.Sleep(backoffTime)
				clear(backends.responses)
				sendsBeforeRecovery := backends.count("one")
				for number := range 50 {
					runRequest(t, rn, 1000+number, tc.route)
				}
				assert.Assert(t, backends.count("one") > sendsBeforeRecovery)
			})
		})
	}
}

// TestEngineBackoff checks that the dispatcher learns which engines asked this host for backoff, and that a grant on
// such an engine is given up.
func TestEngineBackoff(t *testing.T) {
	dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two"), grantOn("3", "two", "one"), grantOn("4", "two")}}
	backends := &scriptedServers{responses: map[string]forward.Response{"one:80": {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 3 * time.Second}}}
	rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{listed: []serverlist.Server{{ID: "one", Service: "service"}}}})
	streamRoute := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2}
	assert.Assert(t, runRequest(t, rn, 1, streamRoute).Complete)
	assert.Assert(t, runRequest(t, rn, 2, streamRoute).Complete)
	assert.Equal(t, backends.count("one:80"), 1)
	assert.Equal(t, backends.count("two:80"), 2)
	assert.Equal(t, dispatcher.ended[0].RetryAfter, 3*time.Second)
	assert.Equal(t, dispatcher.ended[2].FailedEngine, id.Engine("one"))
	assert.Assert(t, dispatcher.ended[2].RetryAfter > 2*time.Second)
	assert.Equal(t, len(dispatcher.backoffs[0]), 0)
	assert.Assert(t, time.Until(dispatcher.backoffs[1]["one"]) > 2*time.Second)
}
