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

// TestRequestsAreForwarded serves each kind of request and refuses what the desired state does not allow.
func TestRequestsAreForwarded(t *testing.T) {
	wd := newWorld(t)
	book := wd.server("book-1", "books")
	engine := wd.server("engine-1", "models")
	wd.publish()
	hs := wd.host("host-1", true)

	rs, err := http.Get("http://" + hs.settings.Host.DirectoryAddress + "/-/resolve?Name=" + hostName + "&Zone=zone-a")
	assert.NilError(t, err)
	var known struct {
		Addresses []string
		TTLS      float64 `json:"TtlS"`
	}
	assert.NilError(t, json.NewDecoder(rs.Body).Decode(&known))
	_ = rs.Body.Close()
	assert.DeepEqual(t, known.Addresses, []string{hs.settings.Host.CallerAddress})
	assert.Equal(t, known.TTLS, 1.0)

	got := hs.get("/read/a%2Fb?x=1&x=2", "a1")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, "answer of book-1 to a1")
	assert.Equal(t, got.header.Get("X-Response-Seal"), "seal-of-book-1")
	run := book.ExecutedRequests()[0]
	assert.Equal(t, run.Target, "/read/a%2Fb?x=1&x=2")
	assert.Equal(t, run.Tenant, "acme")
	assert.Equal(t, run.APIKey, "")
	assert.Assert(t, run.DeadlineMillis > 0 && run.DeadlineMillis <= 2000, "the route's timeout bounds the deadline: %d", run.DeadlineMillis)

	got = hs.chat("a2", 4000)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(5))
	assert.Equal(t, got.header.Get("X-Response-Seal"), "seal-of-engine-1")
	assert.Equal(t, engine.ExecutedRequests()[0].Body, "the prompt")

	assert.Equal(t, hs.get("/nowhere/x", "a3").status, http.StatusNotFound)
	assert.Equal(t, hs.call(context.Background(), http.MethodGet, "/read/x", "a4", "", "Api-Key", "unknown").status, http.StatusUnauthorized)
	assert.Equal(t, hs.get("/read/x", "").status, http.StatusBadRequest)
	assert.Equal(t, hs.call(context.Background(), http.MethodPost, "/order/x", "a5", strings.Repeat("x", 200_000)).status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, len(book.ExecutedRequests()), 1)
}

// TestNonIdempotentRunsOnce runs requests that may not be repeated at most once, and says "not run" only where that is so.
func TestNonIdempotentRunsOnce(t *testing.T) {
	cases := []struct {
		name   string
		fault  standin.ServerFault
		status int
		runs   int
	}{
		{"the server breaks off", standin.CutsResponses, http.StatusBadGateway, 1},
		{"the server is full", standin.RejectsAsNotRun, http.StatusServiceUnavailable, 0},
		{"the server does not answer", standin.NeverResponds, http.StatusGatewayTimeout, 1},
		{"the server fails", standin.ReturnsServerError, http.StatusInternalServerError, 1},
	}
	wd := newWorld(t)
	one, two := wd.server("book-1", "books"), wd.server("book-2", "books")
	wd.publish()
	hs := wd.host("host-1", true)
	for _, cs := range cases {
		t.Run(cs.name, func(t *testing.T) {
			before := len(one.ExecutedRequests()) + len(two.ExecutedRequests())
			one.SetFault(cs.fault)
			two.SetFault(cs.fault)
			got := hs.call(context.Background(), http.MethodPost, "/order/x", "a-"+cs.name, "order")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, cs.status)
			assert.Equal(t, len(one.ExecutedRequests())+len(two.ExecutedRequests())-before, cs.runs)
		})
	}
}

// TestIdempotentIsRetriedOnOtherServer answers requests that may be repeated although one of two servers fails.
func TestIdempotentIsRetriedOnOtherServer(t *testing.T) {
	for _, fault := range []standin.ServerFault{standin.CutsResponses, standin.RejectsAsNotRun, standin.ReturnsServerError, standin.NeverResponds, standin.WrongInstance} {
		wd := newWorld(t)
		bad, good := wd.server("book-1", "books"), wd.server("book-2", "books")
		wd.publish()
		hs := wd.host("host-1", true)
		bad.SetFault(fault)
		for _, attempt := range []string{"a1", "a2", "a3", "a4"} {
			got := hs.get("/read/x", attempt)
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, "answer of book-2 to "+attempt, "fault %d", fault)
		}
		assert.Equal(t, len(good.ExecutedRequests()), 4)
	}
}

// TestResponseToOtherRequestIsSkipped never passes on an answer that belongs to another request.
func TestResponseToOtherRequestIsSkipped(t *testing.T) {
	for _, fault := range []standin.ServerFault{standin.ForeignResponseAfter, standin.ForeignResponseBefore, standin.ForeignResponseOnReuse} {
		wd := newWorld(t)
		wd.server("book-1", "books").SetFault(fault)
		wd.publish()
		hs := wd.host("host-1", true)
		for _, attempt := range []string{"a1", "a2", "a3"} {
			assert.Equal(t, hs.get("/read/x", attempt).body, "answer of book-1 to "+attempt, "fault %d", fault)
		}
	}
}

// TestStreamResumesOnOtherEngine passes each event on once although the first engine breaks off in the middle of one.
func TestStreamResumesOnOtherEngine(t *testing.T) {
	wd := newWorld(t)
	bad, good := wd.server("engine-1", "models"), wd.server("engine-2", "models")
	wd.publish()
	hs := wd.host("host-1", true)
	bad.SetFault(standin.CutsResponses)
	got := hs.chat("a1", 4000)
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(5))
	assert.Equal(t, got.header.Get("X-Response-Seal"), "seal-of-engine-1")
	assert.Equal(t, good.ExecutedRequests()[0].LastEventID, "2")
}

// TestInterruptedStreamIsAborted ends a stream that can't go on so that it does not look complete.
func TestInterruptedStreamIsAborted(t *testing.T) {
	wd := newWorld(t)
	wd.server("engine-1", "models").SetFault(standin.CutsResponses)
	wd.routes[0]["MaxAttempts"] = 1
	wd.publish()
	hs := wd.host("host-1", true)
	got := hs.chat("a1", 4000)
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, events(2))
}

// TestSeveralEnginesProcessLongPrompt names helpers, and gives memory that was set aside back.
func TestSeveralEnginesProcessLongPrompt(t *testing.T) {
	wd := newWorld(t)
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		wd.server(name, "models")
	}
	wd.routes[0]["TargetLatencyMs"], wd.routes[0]["TargetGapMs"] = 3000, 1000
	wd.capacity = 60_000
	wd.publish()
	hs := wd.host("host-1", true)
	assert.Equal(t, hs.chat("a1", 100_000).body, events(5))
	tickets := func() int {
		held := 0
		for _, sv := range wd.servers {
			held += sv.OpenReservations()
		}
		return held
	}
	helped := ""
	for _, sv := range wd.servers {
		for _, run := range sv.ExecutedRequests() {
			helped = run.Helpers
		}
	}
	assert.Equal(t, strings.Count(helped, ","), 1, helped)
	assert.Assert(t, strings.Contains(helped, "/"), "a ticket is named: %s", helped)
	wd.eventually(func() bool { return tickets() == 0 })
	for _, sv := range wd.servers {
		assert.Equal(t, sv.ExpiredReservations(), 0, "memory was not given back")
	}
}

// TestClientDisconnects stops the engine's work when the client has gone.
func TestClientDisconnects(t *testing.T) {
	wd := newWorld(t)
	engine := wd.server("engine-1", "models")
	engine.EventInterval = 300 * time.Millisecond
	wd.publish()
	hs := wd.host("host-1", true)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	got := hs.call(ctx, http.MethodPost, "/chat/x", "a1", "the prompt", "X-Token-Count", "4000,255")
	assert.Assert(t, got.err != nil)
	time.Sleep(2 * time.Second)
	assert.Equal(t, len(engine.ExecutedRequests()), 1)
	assert.Assert(t, !engine.ExecutedRequests()[0].Completed)
}

// TestNotRunIsNotClaimedAfterPossibleRun does not pass on one server's word that it did not run a request when another one may
// have run it since.
func TestNotRunIsNotClaimedAfterPossibleRun(t *testing.T) {
	wd := newWorld(t)
	full, cut := wd.server("book-1", "books"), wd.server("book-2", "books")
	full.SetFault(standin.RejectsAsNotRun)
	cut.SetFault(standin.CutsResponses)
	wd.routes[2]["MaxAttempts"] = 2
	wd.publish()
	hs := wd.host("host-1", true)
	for _, attempt := range []string{"a1", "a2", "a3", "a4", "a5", "a6"} {
		before := len(cut.ExecutedRequests())
		got := hs.call(context.Background(), http.MethodPost, "/order/x", attempt, "order")
		assert.NilError(t, got.err)
		assert.Assert(t, got.status != http.StatusServiceUnavailable || len(cut.ExecutedRequests()) == before, "%s was said not to have run", attempt)
	}
	assert.Assert(t, len(cut.ExecutedRequests()) > 0)
}
