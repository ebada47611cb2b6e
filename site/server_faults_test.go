package site_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// TestLeavingIsAnnouncedToAllHosts has a server announce in a response to one host that it is leaving, while the list
// still shows it as ready. No host may send it requests any more, including the one that runs the dispatcher. Once the
// server is listed with a new start time, it gets requests again.
func TestLeavingIsAnnouncedToAllHosts(t *testing.T) {
	env := newTestEnv(t)
	for _, name := range []string{"book-1", "book-2"} {
		env.addServer(name, "books")
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		env.addServer(name, "models")
	}
	env.publishTable()
	first := env.startHost("host-1", true)
	second := env.startHost("host-2", true, first.settings.Host.PeerAddress)
	for _, testCase := range []struct {
		server string
		send   func(host *testHost, attemptID string) response
	}{
		{"book-1", func(host *testHost, attemptID string) response { return host.get("/read/x", attemptID) }},
		{"engine-1", func(host *testHost, attemptID string) response { return host.sendPrompt(attemptID, 1000) }},
	} {
		leaving := env.servers[testCase.server]
		leaving.SetFault(standin.AnnouncesLeaving)
		number := 0
		nextAttempt := func() string { number++; return fmt.Sprint(testCase.server, "-", number) }
		env.eventually(func() bool { return testCase.send(first, nextAttempt()).header.Get("Server-Leaving") == "1" })
		runsBefore := len(leaving.ExecutedRequests())
		for range 20 {
			assert.Equal(t, testCase.send(first, nextAttempt()).status, http.StatusOK)
		}
		assert.Equal(t, len(leaving.ExecutedRequests()), runsBefore)
		time.Sleep(500 * time.Millisecond)
		runsBefore = len(leaving.ExecutedRequests())
		for range 20 {
			assert.Equal(t, testCase.send(second, nextAttempt()).status, http.StatusOK)
		}
		assert.Equal(t, len(leaving.ExecutedRequests()), runsBefore)
		leaving.SetFault(standin.NoServerFault)
		leaving.SimulateRestart()
		env.store.ListServer(leaving)
		env.eventually(func() bool { testCase.send(second, nextAttempt()); return len(leaving.ExecutedRequests()) > runsBefore })
	}
}

// TestAllServersAskForBackoff has all servers reject requests and ask for backoff of a second. Until the backoff is
// over, the host may send each server at most two more requests, apart from those in the first half second. It must
// refuse the other requests with a time to retry after, and serve again soon after the servers have recovered.
func TestAllServersAskForBackoff(t *testing.T) {
	env := newTestEnv(t)
	var servers []*standin.Server
	for _, name := range []string{"book-1", "book-2"} {
		servers = append(servers, env.addServer(name, "books"))
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		servers = append(servers, env.addServer(name, "models"))
	}
	env.publishTable()
	host := env.startHost("host-1", true)
	for _, server := range servers {
		server.SetFault(standin.AsksForBackoff)
	}
	for number := range 60 {
		startedAt := time.Now()
		for _, got := range []response{host.get("/read/x", fmt.Sprint("r", number)), host.sendRequest(t.Context(), http.MethodPost, "/order/x", fmt.Sprint("o", number), "order")} {
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.header.Get("Retry-After") != "")
		}
		assert.Assert(t, time.Since(startedAt) < waitLimit)
		time.Sleep(5 * time.Millisecond)
	}
	for _, server := range servers {
		server.SetFault(standin.NoServerFault)
		backoffStart := time.Time{}
		duringBackoff := 0
		for _, rejectedAt := range server.BackoffResponses() {
			if backoffStart.IsZero() || rejectedAt.Sub(backoffStart) > time.Second {
				backoffStart, duringBackoff = rejectedAt, 0
			}
			if rejectedAt.Sub(backoffStart) > 500*time.Millisecond {
				duringBackoff++
			}
			assert.Assert(t, duringBackoff <= 2, "%s got requests during the backoff that it asked for: %v", server.ID, server.BackoffResponses())
		}
	}
	env.eventually(func() bool {
		return host.get("/read/x", fmt.Sprint("again", time.Now().UnixNano())).status == http.StatusOK &&
			host.sendPrompt(fmt.Sprint("chat", time.Now().UnixNano()), 1000).status == http.StatusOK
	})
}

// TestEndlessServer checks that all requests are answered although one server of each service sends bytes without end,
// and that a stream resumes on another engine when its engine stalls.
func TestEndlessServer(t *testing.T) {
	env := newTestEnv(t)
	faulty, healthy := env.addServer("book-1", "books"), env.addServer("book-2", "books")
	engine := env.addServer("engine-1", "models")
	env.addServer("engine-2", "models")
	env.publishTable()
	host := env.startHost("host-1", true)
	faulty.SetFault(standin.SendsEndlessGarbage)
	for number, fault := range []standin.ServerFault{standin.SendsEndlessGarbage, standin.StallsStreams, standin.SendsEndlessGarbage, standin.StallsStreams} {
		engine.SetFault(fault)
		got := host.get("/read/x", fmt.Sprint("r", number))
		assert.Equal(t, got.body, "answer of "+healthy.ID+" to "+fmt.Sprint("r", number))
		streamed := host.sendPrompt(fmt.Sprint("c", number), 1000)
		assert.NilError(t, streamed.err)
		assert.Equal(t, streamed.status, http.StatusOK)
	}
}

// TestRepeatedRefusal has a server send the refusal of an earlier request once more on a kept connection before it
// answers a request that it runs. The client must get the answer, and the server must run the request once.
func TestRepeatedRefusal(t *testing.T) {
	for _, fault := range []standin.ServerFault{standin.RepeatsRefusal, standin.RepeatsRefusalWithoutID} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			env := newTestEnv(t)
			server := env.addServer("book-1", "books")
			env.publishTable()
			host := env.startHost("host-1", true)
			server.SetFault(fault)
			send := func(attemptID string) response {
				return host.sendRequest(t.Context(), http.MethodPost, "/order/x", attemptID, "order")
			}
			refused := send("refused")
			assert.Equal(t, refused.status, http.StatusServiceUnavailable, "%+v", refused)
			for number := range 3 {
				attemptID := fmt.Sprint("o", number)
				got := send(attemptID)
				assert.Equal(t, got.status, http.StatusOK, "%+v", got)
				assert.Equal(t, got.body, "answer of book-1 to "+attemptID)
			}
			assert.Equal(t, len(server.ExecutedRequests()), 3)
		})
	}
}

// TestRepeatedRefusalOfSameRequest has the only engine refuse a request and send that refusal once more on the kept
// connection when the request comes again, which it then runs. A client that is told that its request was not run must
// be told the truth.
func TestRepeatedRefusalOfSameRequest(t *testing.T) {
	env := newTestEnv(t)
	engine := env.addServer("engine-1", "models")
	env.publishTable()
	host := env.startHost("host-1", true)
	engine.SetFault(standin.RepeatsRefusal)
	for number := range 3 {
		runsBefore := len(engine.ExecutedRequests())
		got := host.sendPrompt(fmt.Sprint("c", number), 1000)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, len(engine.ExecutedRequests()), runsBefore)
	}
}

// TestErrorInsideStream has engines write errors into streams that have begun, or answer the resumption of a stream with a
// text. Clients must get nothing but events in order, and streams must not end as complete before their last event.
func TestErrorInsideStream(t *testing.T) {
	for _, faults := range [][]standin.ServerFault{
		{standin.WritesErrorIntoStream, standin.NoServerFault},
		{standin.WritesErrorIntoStream, standin.WritesErrorIntoStream},
		{standin.WritesErrorIntoStream, standin.AnswersTextOnResume},
		{standin.CutsResponses, standin.AnswersTextOnResume},
	} {
		t.Run(fmt.Sprint(faults), func(t *testing.T) {
			env := newTestEnv(t)
			for index, fault := range faults {
				env.addServer(fmt.Sprint("engine-", index), "models").SetFault(fault)
			}
			env.publishTable()
			host := env.startHost("host-1", true)
			for number := range 4 {
				got := host.sendPrompt(fmt.Sprint("c", number), 1000)
				assert.Equal(t, got.status, http.StatusOK)
				assert.Assert(t, strings.HasPrefix(eventStream(5), got.body), "%q", got.body)
				assert.Assert(t, got.err != nil || got.body == eventStream(5), "complete with %q", got.body)
				assert.Assert(t, got.err == nil || !slices.Contains(faults, standin.NoServerFault), "broken off after %q", got.body)
			}
		})
	}
}
