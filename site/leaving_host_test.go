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
)

// TestBodyThatArrivesAfterAcceptTime stops a host while the body of an order is still arriving. If the body is complete
// within the time in which the host accepts requests, the order runs. If it is complete later, the order is refused as not
// run, because it may not be repeated and the host may have to cut it.
func TestBodyThatArrivesAfterAcceptTime(t *testing.T) {
	const grace = 2 * time.Second
	for _, tc := range []struct {
		name       string
		arrives    time.Duration
		wantStatus int
		wantRuns   int
	}{
		{"in time", 200 * time.Millisecond, http.StatusOK, 1},
		{"late", 900 * time.Millisecond, http.StatusServiceUnavailable, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.shutdownTimeout = grace
			server := env.addServer("b1", "books")
			env.publishTable()
			host := env.startHost("host-1", true)
			conn, err := net.Dial("tcp", host.settings.Host.CallerAddress)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: a1\r\nApi-Key: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: 8\r\n\r\nfour", hostName, apiKey)
			assert.NilError(t, err)
			// The head has to arrive before the signal.
			time.Sleep(100 * time.Millisecond)
			host.stop()
			time.Sleep(tc.arrives)
			_, err = io.WriteString(conn, "four")
			assert.NilError(t, err)
			httpResponse, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, httpResponse.StatusCode, tc.wantStatus)
			assert.Equal(t, httpResponse.Header.Get("Retry-After") != "", tc.wantStatus == http.StatusServiceUnavailable)
			assert.Equal(t, len(server.ExecutedRequests()), tc.wantRuns)
		})
	}
}

// TestShortGraceAnswersWhatItAborts stops hosts that have little or no time while a server works on an order. The client
// gets an answer that promises nothing, not a closed connection.
func TestShortGraceAnswersWhatItAborts(t *testing.T) {
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.shutdownTimeout = grace
			server := env.addServer("b1", "books")
			server.WorkDuration = waitLimit
			env.publishTable()
			host := env.startHost("host-1", true)
			received := make(chan response, 1)
			go func() { received <- host.get("/order/1", "a1") }()
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
	const grace = 2 * time.Second
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
