package engine_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/serve"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/engine"
)

func TestMain(m *testing.M) { checks.Main(m) }

func newClient(t *testing.T) *engine.Client {
	client := engine.NewClient(timer.NewSystem(), func(next http.RoundTripper) http.RoundTripper { return next })
	t.Cleanup(client.Close)
	return client
}

// TestExitingEngineIsUnreachable asks an engine that still takes a connection while its process ends.
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
	assert.Equal(t, health, serve.Unreachable)
}

func TestStalledEngineIsUnresponsive(t *testing.T) {
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-stop }))
	defer server.Close()
	defer close(stop)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	assert.Equal(t, newClient(t).ProbeHealth(ctx, strings.TrimPrefix(server.URL, "http://")), serve.Unresponsive)
}

// TestFailureCauseOfErrorResponses checks that an engine's refusal counts as not run, and any other failure as possibly run.
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
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(tc.status)
			_, _ = rw.Write([]byte(tc.body))
		}))
		opened := newClient(t).Open(context.Background(), serve.StreamRequest{Address: strings.TrimPrefix(server.URL, "http://"), Attempt: "a/1"})
		server.Close()
		assert.Equal(t, opened.FailureCause, tc.cause, tc.body)
		assert.Equal(t, opened.Draining, tc.draining, tc.body)
	}
}
