package backend_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
)

// TestResponseThatEndsWithConnection checks which responses end with their connection. Those without a body don't, whatever
// their head announces.
func TestResponseThatEndsWithConnection(t *testing.T) {
	for _, tc := range []struct {
		name, method, response string
		want                   bool
	}{
		{"neither length nor chunks", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nbody", true},
		{"old version", http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nbody", true},
		{"chunks of an old version", http.MethodGet, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", true},
		{"length", http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		{"chunks", http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", false},
		{"no content", http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", false},
		{"head without length", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", false},
		{"head with length", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cs := testutil.StartCutServer(t)
			cs.Prepare("", tc.response, len(tc.response), false)
			pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
			defer pool.Close()
			response, err := pool.Do(t.Context(), backend.Request{Address: cs.Address(), Method: tc.method, Target: "/", Host: "h"})
			assert.NilError(t, err)
			assert.Equal(t, response.EndsWithConnection, tc.want)
			_, err = io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
		})
	}
}
