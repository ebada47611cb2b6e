package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestHalfClosedConnectionGetsEmptySuccess has a caller close its side of the connection after the request, which ends
// the request's context, and read on. It must not receive a response that looks like a complete answer.
func TestHalfClosedConnectionGetsEmptySuccess(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		sv := NewServer(Config{}, Dependencies{}, timer.NewSystem(), tally.NoopScope)
		httpServer := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			rw := &responseWriter{server: sv, ec: sv.echo.NewContext(request, writer), request: openai.Request{Stream: streamed}}
			_ = rw.finish(modelcall.Summary{}, outcome.Fail(outcome.CallerGone, "the caller has gone"))
		}))
		t.Cleanup(httpServer.Close)
		conn, err := net.Dial("tcp", httpServer.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(conn, "GET /v1/a HTTP/1.1\r\nHost: host\r\n\r\n")
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
		assert.Equal(t, response.Header.Get("Request-Outcome"), outcome.Failed.String())
	}
}
