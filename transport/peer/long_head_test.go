package peer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestLongHeadOfPeer has a peer respond with long heads. A head of 24 KB must be accepted and one of 1 MB rejected, over
// both versions of HTTP.
func TestLongHeadOfPeer(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/2.0"} {
		for _, tc := range []struct {
			fieldBytes int
			accepted   bool
		}{{24 << 10, true}, {1 << 20, false}} {
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Field", strings.Repeat("x", tc.fieldBytes))
			}))
			server.Config.Protocols = new(http.Protocols)
			server.Config.Protocols.SetHTTP1(true)
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			transport := newTransport()
			transport.Protocols.SetHTTP1(version == "HTTP/1.1")
			transport.Protocols.SetUnencryptedHTTP2(version == "HTTP/2.0")
			response, err := (&http.Client{Transport: transport}).Get(server.URL)
			assert.Equal(t, err == nil, tc.accepted, "%s, %d bytes: %v", version, tc.fieldBytes, err)
			if err == nil {
				assert.Equal(t, response.Proto, version)
				assert.NilError(t, response.Body.Close())
			}
			transport.CloseIdleConnections()
			server.Close()
		}
	}
}
