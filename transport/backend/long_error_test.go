package backend

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestErrorQuotesLittleOfResponse sends requests to servers that send long lines that are no response. The errors, which
// get into logs and details, must not quote all of them.
func TestErrorQuotesLittleOfResponse(t *testing.T) {
	const maxBytes = 400
	line := strings.Repeat("x", 30<<10)
	for name, sent := range map[string]string{
		"a status line":  line + "\r\n\r\n",
		"a header field": "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n",
		"a status code":  "HTTP/1.1 " + line + " OK\r\n\r\n",
		"a length":       "HTTP/1.1 200 OK\r\nContent-Length: " + line + "\r\n\r\n",
		"an encoding":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + line + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool(DefaultConfig(), timer.NewSystem())
			defer pool.Close()
			_, err := pool.Do(t.Context(), Request{Address: startStallingServer(t, sent), Method: http.MethodGet, Target: "/x", Host: "h"})
			assert.Assert(t, err != nil)
			assert.Assert(t, len(err.Error()) <= maxBytes, "%d bytes", len(err.Error()))
		})
	}
}
