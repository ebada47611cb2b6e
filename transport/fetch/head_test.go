package fetch_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/engine"
	"github.com/hibiscuslever/hibiscuslever/transport/platform"
	"github.com/hibiscuslever/hibiscuslever/transport/service"
)

func noTracing(next http.RoundTripper) http.RoundTripper { return next }

// startServer starts a server whose responses have a header field of the given length and a body.
func startServer(t *testing.T, fieldBytes int, body string) *httptest.Server {
	field := strings.Repeat("x", fieldBytes)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Field", field)
		_, _ = writer.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return server
}

// TestLongHeads sends requests with the clients of a host to servers whose responses have long heads. Heads of 24 KB must be
// accepted and heads of 1 MB rejected.
func TestLongHeads(t *testing.T) {
	clients := []struct {
		name     string
		accepted func(server *httptest.Server) bool
	}{
		{"engine", func(server *httptest.Server) bool {
			client := engine.NewClient(timer.NewSystem(), noTracing)
			defer client.Close()
			_, err := client.FetchLoad(t.Context(), server.Listener.Addr().String())
			return err == nil
		}},
		{"stream of an engine", func(server *httptest.Server) bool {
			client := engine.NewClient(timer.NewSystem(), noTracing)
			defer client.Close()
			opened := client.Open(t.Context(), modelcall.StreamRequest{Address: server.Listener.Addr().String(), Attempt: "a"})
			if opened.Stream != nil {
				opened.Stream.Close()
			}
			return opened.Stream != nil
		}},
		{"service", func(server *httptest.Server) bool {
			client := service.NewClient(timer.NewSystem(), noTracing)
			defer client.Close()
			_, result := client.Send(t.Context(), server.Listener.Addr().String(), servicecall.Request{Method: http.MethodGet, Path: "/", Header: http.Header{}})
			return result == servicecall.Answered
		}},
		{"service, at most once", func(server *httptest.Server) bool {
			client := service.NewClient(timer.NewSystem(), noTracing)
			defer client.Close()
			_, result := client.Send(t.Context(), server.Listener.Addr().String(), servicecall.Request{Method: http.MethodGet, Path: "/", Header: http.Header{}, AtMostOnce: true})
			return result == servicecall.Answered
		}},
		{"platform", func(server *httptest.Server) bool {
			client := platform.NewClient(server.URL, noTracing)
			defer client.Close()
			_, err := client.Hosts(t.Context())
			return err == nil
		}},
	}
	for _, tc := range clients {
		t.Run(tc.name, func(t *testing.T) {
			assert.Assert(t, tc.accepted(startServer(t, 24<<10, "{}")))
			assert.Assert(t, !tc.accepted(startServer(t, 1<<20, "{}")))
		})
	}
}
