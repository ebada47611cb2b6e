package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/plain"
	"github.com/hibiscuslever/hibiscuslever/transport/service"
)

func TestMain(m *testing.M) { checks.Main(m) }

func unwrapped(next http.RoundTripper) http.RoundTripper { return next }

// TestAtMostOnceOverBrokenConnection breaks a reused connection after the request took effect.
// net/http would send a request with an Idempotency-Key header again.
func TestAtMostOnceOverBrokenConnection(t *testing.T) {
	for _, once := range []bool{true, false} {
		var ran atomic.Int64
		var breaks atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			ran.Add(1)
			if breaks.CompareAndSwap(true, false) {
				panic(http.ErrAbortHandler)
			}
		}))
		client := service.NewClient(unwrapped)
		address := strings.TrimPrefix(server.URL, "http://")
		request := func() plain.Request {
			return plain.Request{Method: http.MethodPost, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}, AtMostOnce: once}
		}
		_, result := client.Send(context.Background(), address, request())
		assert.Equal(t, result, plain.Answered)
		breaks.Store(true)
		_, result = client.Send(context.Background(), address, request())
		if once {
			assert.Equal(t, ran.Load(), int64(2))
			assert.Equal(t, result, plain.MayHaveRun)
		} else {
			assert.Equal(t, ran.Load(), int64(3), "this check is only worth something while net/http repeats such requests")
		}
		client.Close()
		server.Close()
	}
}

func TestConnectionRefusedIsNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	client := service.NewClient(unwrapped)
	defer client.Close()
	_, result := client.Send(context.Background(), address, plain.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, AtMostOnce: true})
	assert.Equal(t, result, plain.NotSent)
}
