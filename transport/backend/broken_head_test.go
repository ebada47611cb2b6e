package backend_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
)

// TestBrokenHeadIsNoResponse has a server send heads whose status is none of HTTP or that have a field whose name is not a
// token. Neither they nor what follows them may be taken for a response.
func TestBrokenHeadIsNoResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := map[string]string{
		"status 000":             "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n",
		"status 000 with a body": "HTTP/1.1 000 None\r\nContent-Length: 40\r\n\r\n",
		"status 000 without end": "HTTP/1.1 000 None\r\n\r\n",
		"status 099":             "HTTP/1.1 099 None\r\n\r\n",
		"status with a sign":     "HTTP/1.1 +20 None\r\n\r\n",
		"status of minus zero":   "HTTP/1.1 -00 None\r\n\r\n",
		"status 600":             "HTTP/1.1 600 Own\r\nContent-Length: 0\r\n\r\n",
		"null in a value":        "HTTP/1.1 200 OK\r\nA: b\x00\r\nContent-Length: 0\r\n\r\n",
		"protocol not asked for": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n",
		"blank in an interim":    "HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\n",
	}
	names := map[string]string{
		"blank before the colon": "Content-Length ", "blank within": "A B", "tab before the colon": "A\t", "null": "A\x00B", "escape": "\x1bA", "delete": "A\x7f",
		"carriage return": "A\rB", "no name": "", "not ASCII": "A\xe4", "parentheses": "A(B)", "chunks with a blank": "Transfer-Encoding ",
	}
	for name, field := range names {
		cases["field name: "+name] = "HTTP/1.1 200 OK\r\nFirst: 1\r\n" + field + ": chunked\r\nContent-Length: 0\r\n\r\n"
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			for _, following := range []string{"", sound, strings.Repeat("x", 100)} {
				cs := testutil.StartCutServer(t)
				cs.Prepare("", sent+following, len(sent+following), false)
				pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
				response, err := pool.Do(t.Context(), backend.Request{Address: cs.Address(), Method: http.MethodGet, Target: "/", Host: "h"})
				if err == nil {
					body, _ := io.ReadAll(response.Body)
					_ = response.Body.Close()
					t.Errorf("%q is taken for a response with status %d, the header %q and the body %q", sent+following, response.Status, response.Header, body)
				}
				pool.Close()
			}
		})
	}
}

// TestUnusualHeadIsResponse checks that heads which are unusual but valid are still responses.
func TestUnusualHeadIsResponse(t *testing.T) {
	for name, sent := range map[string]string{
		"all characters of a token": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0aZ: c\r\nContent-Length: 2\r\n\r\nok",
		"interim responses":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"blanks around a value":     "HTTP/1.1 200 OK\r\nA: \t b c \t\r\nContent-Length: \t2 \r\n\r\nok",
		"no reason":                 "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
		"line feeds only":           "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"bytes above ASCII":         "HTTP/1.1 200 OK\r\nA: \xe4\r\nContent-Length: 2\r\n\r\nok",
		"unknown failure":           "HTTP/1.1 599 Own\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			cs := testutil.StartCutServer(t)
			cs.Prepare("", sent, len(sent), false)
			pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
			defer pool.Close()
			response, err := pool.Do(t.Context(), backend.Request{Address: cs.Address(), Method: http.MethodGet, Target: "/", Host: "h"})
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "ok")
			assert.NilError(t, response.Body.Close())
		})
	}
}
