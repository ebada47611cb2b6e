package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/engine"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func newClient(t *testing.T) *engine.Client {
	client := engine.NewClient(timer.NewSystem(), func(next http.RoundTripper) http.RoundTripper { return next })
	t.Cleanup(client.Close)
	return client
}

// TestExitingEngineIsUnreachable probes an engine that accepts one more connection while its process exits. The probe
// must be repeated and find that the engine is unreachable.
func TestExitingEngineIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err == nil {
			_ = listener.Close()
			_ = conn.Close()
		}
	}()
	health := newClient(t).ProbeHealth(context.Background(), listener.Addr().String())
	<-ended
	assert.Equal(t, health, modelcall.Unreachable)
}

func TestStalledEngineIsUnresponsive(t *testing.T) {
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	defer server.Close()
	defer close(stop)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.Equal(t, newClient(t).ProbeHealth(ctx, strings.TrimPrefix(server.URL, "http://")), modelcall.Unresponsive)
}

// TestFailureCauseOfErrorResponses checks that an engine's refusal means that the attempt did not run, and that after
// any other error response it may have run.
func TestFailureCauseOfErrorResponses(t *testing.T) {
	for _, tc := range []struct {
		status   int
		body     string
		cause    retry.Cause
		draining bool
	}{
		{http.StatusServiceUnavailable, `{"Reason":"Draining"}`, retry.BackendRefused, true},
		{http.StatusServiceUnavailable, `{"Reason":"OutOfMemory"}`, retry.BackendRefused, false},
		{http.StatusServiceUnavailable, `overloaded`, retry.Interrupted, false},
		{http.StatusInternalServerError, `{"Reason":"Draining"}`, retry.Interrupted, false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(tc.status)
			_, _ = writer.Write([]byte(tc.body))
		}))
		result := newClient(t).Open(context.Background(), modelcall.StreamRequest{Address: strings.TrimPrefix(server.URL, "http://"), Attempt: "a/1"})
		server.Close()
		assert.Equal(t, result.FailureCause, tc.cause, tc.body)
		assert.Equal(t, result.Draining, tc.draining, tc.body)
	}
}

// TestRepeatedRefusalIsNotTheAnswer has an engine send a refusal once more on a kept connection when the next attempt
// comes, which it runs. That attempt must not count as refused.
func TestRepeatedRefusalIsNotTheAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 22\r\n\r\n{\"Reason\":\"Draining\"}\n"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var refused, ran atomic.Int64
	var connections sync.WaitGroup
	serve := func(connection net.Conn) {
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		for number := 0; ; number++ {
			httpRequest, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, httpRequest.Body)
			if number > 0 {
				ran.Add(1)
			} else {
				refused.Add(1)
			}
			_, _ = io.WriteString(connection, refusal)
		}
	}
	connections.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { serve(connection) })
		}
	})
	client := newClient(t)
	for range 5 {
		result := client.Open(context.Background(), modelcall.StreamRequest{Address: listener.Addr().String(), Attempt: "a/1", Body: []byte("body")})
		assert.Equal(t, result.FailureCause, retry.BackendRefused)
	}
	assert.Equal(t, ran.Load(), int64(0))
	assert.Equal(t, refused.Load(), int64(5))
	client.Close()
	assert.NilError(t, listener.Close())
	connections.Wait()
}
