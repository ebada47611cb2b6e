package site_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// TestRequestsAreForwarded checks that each kind of request is served, and that requests which the desired state does
// not allow are refused.
func TestRequestsAreForwarded(t *testing.T) {
	env := newTestEnv(t)
	book := env.addServer("book-1", "books")
	engine := env.addServer("engine-1", "models")
	env.publishTable()
	host := env.startHost("host-1", true)

	httpResponse, err := http.Get("http://" + host.settings.Host.DirectoryAddress + "/-/resolve?Name=" + hostName + "&Zone=zone-a")
	assert.NilError(t, err)
	var directory struct {
		Addresses []string
		TTLS      float64 `json:"TtlS"`
	}
	assert.NilError(t, json.NewDecoder(httpResponse.Body).Decode(&directory))
	_ = httpResponse.Body.Close()
	assert.DeepEqual(t, directory.Addresses, []string{host.settings.Host.CallerAddress})
	assert.Equal(t, directory.TTLS, 1.0)

	got := host.get("/read/a%2Fb?x=1&x=2", "a1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "answer of book-1 to a1")
	assert.Equal(t, got.header.Get("X-Response-Seal"), "seal-of-book-1")
	run := book.ExecutedRequests()[0]
	assert.Equal(t, run.Target, "/read/a%2Fb?x=1&x=2")
	assert.Equal(t, run.Tenant, "acme")
	assert.Equal(t, run.APIKey, "")
	assert.Assert(t, run.DeadlineMillis > 0 && run.DeadlineMillis <= 2000, "the deadline exceeds the route's timeout: %d ms", run.DeadlineMillis)

	got = host.sendPrompt("a2", 4000)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventStream(5))
	assert.Equal(t, got.header.Get("X-Response-Seal"), "seal-of-engine-1")
	assert.Equal(t, engine.ExecutedRequests()[0].Body, "the prompt")

	assert.Equal(t, host.get("/nowhere/x", "a3").status, http.StatusNotFound)
	assert.Equal(t, host.sendRequest(context.Background(), http.MethodGet, "/read/x", "a4", "", "Api-Key", "unknown").status, http.StatusUnauthorized)
	assert.Equal(t, host.get("/read/x", "").status, http.StatusBadRequest)
	assert.Equal(t, host.sendRequest(context.Background(), http.MethodPost, "/order/x", "a5", strings.Repeat("x", 200_000)).status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, len(book.ExecutedRequests()), 1)
}

// TestNonIdempotentRunsOnce checks that non-idempotent requests are run at most once, and that clients are told that a
// request was not run only if that is certain.
func TestNonIdempotentRunsOnce(t *testing.T) {
	testCases := []struct {
		name   string
		fault  standin.ServerFault
		status int
		runs   int
	}{
		{"connection to the server is lost", standin.CutsResponses, http.StatusBadGateway, 1},
		{"server is overloaded", standin.RejectsAsNotRun, http.StatusServiceUnavailable, 0},
		{"server does not respond", standin.NeverResponds, http.StatusGatewayTimeout, 1},
		{"server responds with an error", standin.ReturnsServerError, http.StatusInternalServerError, 1},
	}
	env := newTestEnv(t)
	first, second := env.addServer("book-1", "books"), env.addServer("book-2", "books")
	env.publishTable()
	host := env.startHost("host-1", true)
	for _, testCase := range testCases {
		t.Run(testCase.name, func(t *testing.T) {
			runsBefore := len(first.ExecutedRequests()) + len(second.ExecutedRequests())
			first.SetFault(testCase.fault)
			second.SetFault(testCase.fault)
			got := host.sendRequest(context.Background(), http.MethodPost, "/order/x", "a-"+testCase.name, "order")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, testCase.status)
			assert.Equal(t, len(first.ExecutedRequests())+len(second.ExecutedRequests())-runsBefore, testCase.runs)
		})
	}
}

// TestIdempotentIsRetriedOnOtherServer checks that idempotent requests are answered although one of two servers fails.
func TestIdempotentIsRetriedOnOtherServer(t *testing.T) {
	for _, fault := range []standin.ServerFault{standin.CutsResponses, standin.RejectsAsNotRun, standin.ReturnsServerError, standin.NeverResponds, standin.WrongInstance} {
		env := newTestEnv(t)
		faulty, healthy := env.addServer("book-1", "books"), env.addServer("book-2", "books")
		env.publishTable()
		host := env.startHost("host-1", true)
		faulty.SetFault(fault)
		for _, attemptID := range []string{"a1", "a2", "a3", "a4"} {
			got := host.get("/read/x", attemptID)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, "answer of book-2 to "+attemptID, "fault %d", fault)
		}
		assert.Equal(t, len(healthy.ExecutedRequests()), 4)
	}
}

// TestResponseToOtherRequestIsSkipped checks that a response that belongs to another request is never forwarded.
func TestResponseToOtherRequestIsSkipped(t *testing.T) {
	for _, fault := range []standin.ServerFault{standin.ForeignResponseAfter, standin.ForeignResponseBefore, standin.ForeignResponseOnReuse} {
		env := newTestEnv(t)
		env.addServer("book-1", "books").SetFault(fault)
		env.publishTable()
		host := env.startHost("host-1", true)
		for _, attemptID := range []string{"a1", "a2", "a3"} {
			assert.Equal(t, host.get("/read/x", attemptID).body, "answer of book-1 to "+attemptID, "fault %d", fault)
		}
	}
}

// TestStreamResumesOnOtherEngine checks that each event is forwarded exactly once although the connection to the first
// engine is lost in the middle of an event.
func TestStreamResumesOnOtherEngine(t *testing.T) {
	env := newTestEnv(t)
	faulty, healthy := env.addServer("engine-1", "models"), env.addServer("engine-2", "models")
	env.publishTable()
	host := env.startHost("host-1", true)
	assert.Equal(t, host.sendPrompt("a0", 4000).status, http.StatusOK)
	time.Sleep(afterTakeover)
	executedBefore := len(healthy.ExecutedRequests())
	faulty.SetFault(standin.CutsResponses)
	got := host.sendPrompt("a1", 4000)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventStream(5))
	assert.Equal(t, got.header.Get("X-Response-Seal"), "seal-of-engine-1")
	assert.Equal(t, healthy.ExecutedRequests()[executedBefore].LastEventID, "2")
}

// TestInterruptedStreamIsAborted checks that a stream which can't be resumed ends in such a way that the client does
// not take it for complete.
func TestInterruptedStreamIsAborted(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("engine-1", "models").SetFault(standin.CutsResponses)
	env.routes[0]["MaxAttempts"] = 1
	env.publishTable()
	host := env.startHost("host-1", true)
	got := host.sendPrompt("a1", 4000)
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, eventStream(2))
}

// TestSeveralEnginesProcessLongPrompt checks that the engine that runs a long prompt receives the list of its helpers
// with their tickets, and that reserved memory is released.
func TestSeveralEnginesProcessLongPrompt(t *testing.T) {
	env := newTestEnv(t)
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		env.addServer(name, "models")
	}
	env.routes[0]["TargetLatencyMs"], env.routes[0]["TargetGapMs"] = 3000, 1000
	env.engineCapacity = 60_000
	env.publishTable()
	host := env.startHost("host-1", true)
	assert.Equal(t, host.sendPrompt("a1", 100_000).body, eventStream(5))
	countTickets := func() int {
		total := 0
		for _, server := range env.servers {
			total += server.OpenReservations()
		}
		return total
	}
	helpers := ""
	for _, server := range env.servers {
		for _, run := range server.ExecutedRequests() {
			helpers = run.Helpers
		}
	}
	assert.Equal(t, strings.Count(helpers, ","), 1, helpers)
	assert.Assert(t, strings.Contains(helpers, "/"), "the helpers have no ticket: %s", helpers)
	env.eventually(func() bool { return countTickets() == 0 })
	for _, server := range env.servers {
		assert.Equal(t, server.ExpiredReservations(), 0, "a reservation expired instead of being released")
	}
}

// TestClientDisconnects checks that the engine's work is stopped when the client disconnects.
func TestClientDisconnects(t *testing.T) {
	env := newTestEnv(t)
	engine := env.addServer("engine-1", "models")
	engine.EventInterval = 300 * time.Millisecond
	env.publishTable()
	host := env.startHost("host-1", true)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	got := host.sendRequest(ctx, http.MethodPost, "/chat/x", "a1", "the prompt", "X-Token-Count", "4000,255")
	assert.Assert(t, got.err != nil)
	time.Sleep(2 * time.Second)
	assert.Equal(t, len(engine.ExecutedRequests()), 1)
	assert.Assert(t, !engine.ExecutedRequests()[0].Completed)
}

// TestNotRunIsNotClaimedAfterPossibleRun checks that a client is not told that its request was not run, because one
// server rejected it, if another server may have run it.
func TestNotRunIsNotClaimedAfterPossibleRun(t *testing.T) {
	env := newTestEnv(t)
	overloaded, interrupting := env.addServer("book-1", "books"), env.addServer("book-2", "books")
	overloaded.SetFault(standin.RejectsAsNotRun)
	interrupting.SetFault(standin.CutsResponses)
	env.routes[2]["MaxAttempts"] = 2
	env.publishTable()
	host := env.startHost("host-1", true)
	for _, attemptID := range []string{"a1", "a2", "a3", "a4", "a5", "a6"} {
		runsBefore := len(interrupting.ExecutedRequests())
		got := host.sendRequest(context.Background(), http.MethodPost, "/order/x", attemptID, "order")
		assert.NilError(t, got.err)
		assert.Assert(t, got.status != http.StatusServiceUnavailable || len(interrupting.ExecutedRequests()) == runsBefore, "the client was told that %s was not run", attemptID)
	}
	assert.Assert(t, len(interrupting.ExecutedRequests()) > 0)
}
