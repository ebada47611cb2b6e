package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// unreadLists are lists that were not received yet, if loading is set, or lists without organisations.
type unreadLists struct{ loading bool }

func (ul unreadLists) Lists() (*lists.Lists, bool) { return &lists.Lists{}, !ul.loading }
func (unreadLists) NotReadyReason() string         { return "the lists were not read yet" }

// TestEarlyRefusalIsLostToReset sends whole requests over a slow link and reads the refusal only then. The host refuses
// them before the body has arrived and must not reset the connection while it still does.
func TestEarlyRefusalIsLostToReset(t *testing.T) {
	const (
		bodyBytes = 4_000_000
		partBytes = 64 << 10
		pause     = 10 * time.Millisecond
	)
	for _, tc := range []struct {
		name, path string
		loading    bool
		status     int
	}{
		{name: "lists not read", path: "/v1/chat/completions", loading: true, status: http.StatusServiceUnavailable},
		{name: "no key", path: "/v1/chat/completions", status: http.StatusUnauthorized},
		{name: "no key at a service", path: "/v1/services/search/a", status: http.StatusUnauthorized},
		{name: "unknown path", path: "/v1/unknown", status: http.StatusNotFound},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			server := NewServer(Config{MaxBodyBytes: bodyBytes}, Dependencies{Lists: unreadLists{tc.loading}}, timer.NewSystem(), tally.NoopScope)
			httpServer := httptest.NewServer(server.Handler())
			t.Cleanup(httpServer.Close)
			conn, err := net.Dial("tcp", httpServer.Listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			assert.NilError(t, conn.(*net.TCPConn).SetWriteBuffer(partBytes))
			assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: host\r\nContent-Length: %d\r\n\r\n", tc.path, bodyBytes)
			assert.NilError(t, err)
			for sent := 0; sent < bodyBytes; sent += partBytes {
				_, err := conn.Write(bytes.Repeat([]byte("x"), min(partBytes, bodyBytes-sent)))
				assert.NilError(t, err, "the request could not be sent whole")
				time.Sleep(pause)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, tc.status)
		})
	}
}
