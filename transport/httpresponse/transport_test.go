package httpresponse_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/transport/httpresponse"
)

// TestConnectionOfBrokenHeadIsClosed checks that a connection is not used again after a response that was rejected, since it
// is not certain where that ends.
func TestConnectionOfBrokenHeadIsClosed(t *testing.T) {
	const closeLimit = 20 * time.Second
	for name, response := range map[string]string{
		"status":           "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"name, no body":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\n",
		"name, whole body": "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 2\r\n\r\nok",
		"name, half body":  "HTTP/1.1 200 OK\r\nA B: c\r\nContent-Length: 4\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			address := testutil.StartEarlyServer(t, func(conn *net.TCPConn, rest io.Reader) {
				_, _ = io.WriteString(conn, response)
				_, _ = io.Copy(io.Discard, rest)
				close(closed)
			})
			transport := httpresponse.NewTransport(&http.Transport{DialContext: (&net.Dialer{}).DialContext})
			defer transport.CloseIdleConnections()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address, nil)
			assert.NilError(t, err)
			httpResponse, err := transport.RoundTrip(request)
			if err == nil {
				_ = httpResponse.Body.Close()
			}
			assert.Assert(t, err != nil)
			select {
			case <-closed:
			case <-time.After(closeLimit):
				t.Fatal("the connection was not closed")
			}
		})
	}
}
