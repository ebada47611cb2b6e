package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/service"
)

func TestMain(m *testing.M) { testutil.Main(m) }

func noTracing(next http.RoundTripper) http.RoundTripper { return next }

// TestAtMostOnceOverBrokenConnection closes a reused connection after the server has run a request. net/http would
// resend a request with an Idempotency-Key header, but a request that must be sent at most once must not be resent.
func TestAtMostOnceOverBrokenConnection(t *testing.T) {
	for _, atMostOnce := range []bool{true, false} {
		var runs atomic.Int64
		var breakNext atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			if breakNext.CompareAndSwap(true, false) {
				panic(http.ErrAbortHandler)
			}
		}))
		client := service.NewClient(timer.NewSystem(), noTracing)
		address := strings.TrimPrefix(server.URL, "http://")
		newRequest := func() servicecall.Request {
			return servicecall.Request{Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}, AtMostOnce: atMostOnce}
		}
		_, result := client.Send(context.Background(), address, newRequest())
		assert.Equal(t, result, servicecall.Answered)
		breakNext.Store(true)
		_, result = client.Send(context.Background(), address, newRequest())
		if atMostOnce {
			assert.Equal(t, runs.Load(), int64(2))
			assert.Equal(t, result, servicecall.MayHaveRun)
		} else {
			assert.Equal(t, runs.Load(), int64(3), "the check above proves something only as long as net/http resends such requests")
		}
		client.Close()
		server.Close()
	}
}

func TestConnectionRefusedIsNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	client := service.NewClient(timer.NewSystem(), noTracing)
	defer client.Close()
	_, result := client.Send(context.Background(), address, servicecall.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, AtMostOnce: true})
	assert.Equal(t, result, servicecall.NotSent)
}
