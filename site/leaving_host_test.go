package site_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

// TestBodyThatArrivesAfterAcceptTime stops a host while the body of an order is still arriving. If the body is complete
// within the time in which the host accepts requests, the order runs. If it is complete later, the order is refused as not
// run, because it may not be repeated and the host may have to cut it.
func TestBodyThatArrivesAfterAcceptTime(t *testing.T) {
	for _, tc := range []struct {
		name       string
		grace      time.Duration
		late       bool
		wantStatus int
		wantRuns   int
	}{
		{"in time", time.Minute, false, http.StatusOK, 1},
		{"late", 8 * time.Second, true, http.StatusServiceUnavailable, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.shutdownTimeout = tc.grace
			env.routes = append(env.routes, env.newRoute("slow", "/slow/", "non_idempotent", "books", 1, int(waitLimit.Milliseconds())))
			server := env.addServer("b1", "books")
			env.publishTable()
			host := env.startHost("host-1", true)
			conn, err := net.Dial("tcp", host.settings.Host.CallerAddress)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /slow/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: a1\r\nApi-Key: %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: 8\r\n\r\nfour", hostName, apiKey)
			assert.NilError(t, err)
			env.eventually(func() bool { return env.inFlight(host) == 1 })
			host.stop()
			if tc.late {
				env.eventually(func() bool { return host.get("/read/1", "a2").status == http.StatusServiceUnavailable })
			}
			_, err = io.WriteString(conn, "four")
			assert.NilError(t, err)
			httpResponse, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, httpResponse.StatusCode, tc.wantStatus)
			assert.Equal(t, httpResponse.Header.Get("Retry-After") != "", tc.wantStatus == http.StatusServiceUnavailable)
			runs := 0
			for _, run := range server.ExecutedRequests() {
				if run.Attempt == "a1" {
					runs++
				}
			}
			assert.Equal(t, runs, tc.wantRuns)
		})
	}
}

// inFlight returns the number of requests in progress that a host reports.
func (env *testEnv) inFlight(host *testHost) int64 {
	status, err := operator.NewClient("http://" + host.settings.Host.OperatorAddress).Status(env.t.Context())
	assert.NilError(env.t, err)
	return status.InFlight
}

// TestShortGraceAnswersWhatItAborts stops hosts that have little or no time while a server works on an order. The client
// gets an answer that promises nothing, not a closed connection.
func TestShortGraceAnswersWhatItAborts(t *testing.T) {
	for _, grace := range []time.Duration{0, 2 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.shutdownTimeout = grace
			env.routes = append(env.routes, env.newRoute("slow", "/slow/", "non_idempotent", "books", 1, int(waitLimit.Milliseconds())))
			server := env.addServer("b1", "books")
			server.WorkDuration = waitLimit
			env.publishTable()
			host := env.startHost("host-1", true)
			received := make(chan response, 1)
			go func() { received <- host.get("/slow/1", "a1") }()
			env.eventually(func() bool { return len(server.ExecutedRequests()) == 1 })
			host.stop()
			got := <-received
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusBadGateway)
		})
	}
}

// TestIdleHostStopsAfterAcceptTime checks that a host without requests ends when it no longer accepts any, although a
// client keeps an idle connection.
func TestIdleHostStopsAfterAcceptTime(t *testing.T) {
	// grace is so long that a host that used all of it would not end within waitLimit.
	const grace = 10 * time.Minute
	env := newTestEnv(t)
	env.shutdownTimeout = grace
	env.addServer("b1", "books")
	env.publishTable()
	host := env.startHost("host-1", true)
	assert.Equal(t, host.get("/read/1", "a1").status, http.StatusOK)
	host.stop()
	select {
	case err := <-host.runEnded:
		assert.NilError(t, err)
		host.runEnded <- nil
	case <-time.After(waitLimit):
		t.Fatal("the host has not stopped")
	}
}

// TestChangesDuringStopDoNotChangeIt reloads settings with a longer time to stop and changes the desired state while a host
// stops. An order whose route is dropped meanwhile is answered, and one that takes too long is aborted when it would have
// been without the changes.
func TestChangesDuringStopDoNotChangeIt(t *testing.T) {
	const grace = 4 * time.Second
	for _, tc := range []struct {
		name       string
		work       time.Duration
		wantStatus int
	}{
		{"an order that ends in time", time.Second, http.StatusOK},
		{"an order that takes too long", waitLimit, http.StatusBadGateway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.shutdownTimeout = grace
			env.routes = append(env.routes, env.newRoute("slow", "/slow/", "non_idempotent", "books", 1, int(waitLimit.Milliseconds())))
			server := env.addServer("b1", "books")
			server.WorkDuration = tc.work
			env.publishTable()
			host := env.startHost("host-1", true)
			received := make(chan response, 1)
			go func() { received <- host.get("/slow/1", "a1") }()
			env.eventually(func() bool { return len(server.ExecutedRequests()) == 1 })
			host.stop()
			longer := host.settings
			longer.Operators.ShutdownTimeout = time.Hour
			host.host.Reload(longer)
			env.routes = env.routes[:len(env.routes)-1]
			env.publishTable()
			got := <-received
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, tc.wantStatus)
			select {
			case err := <-host.runEnded:
				assert.NilError(t, err)
				host.runEnded <- nil
			case <-time.After(waitLimit):
				t.Fatal("the host has not stopped")
			}
		})
	}
}
