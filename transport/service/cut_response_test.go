package service_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/servicecall"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/service"
)

// TestCutResponseIsNotAnswered checks that a response that is cut off before any of its bytes, on a new or a reused
// connection, closed or reset, does not count as an answer.
func TestCutResponseIsNotAnswered(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	for name, response := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbooked",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nboo\r\n3;x=y\r\nked\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n6\r\nbooked\r\n0\r\nX-Sum: 1\r\n\r\n",
		"empty":   "HTTP/1.1 204 No Content\r\nX-Text: x\r\n\r\n",
		"failure": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cs := testutil.StartCutServer(t)
			cs.ForEachCut(first, response, func(cut int, reused, reset bool) {
				client := service.NewClient(timer.NewSystem(), noTracing)
				defer client.Close()
				request := servicecall.Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("book")}
				if reused {
					_, result := client.Send(t.Context(), cs.Address(), request)
					assert.Equal(t, result, servicecall.Answered)
				}
				_, result := client.Send(t.Context(), cs.Address(), request)
				assert.Equal(t, result, servicecall.MayHaveRun, "cut at %d of %q, reused %v, reset %v", cut, response, reused, reset)
			})
		})
	}
}

// TestCrashEndsResponseWithoutLength checks that a response without length and chunks counts as an answer only if its server
// still accepts connections after the end. Failures count in any case.
func TestCrashEndsResponseWithoutLength(t *testing.T) {
	for _, tc := range []struct {
		name, head string
		method     string
		crashes    bool
		want       servicecall.SendResult
	}{
		{"crash", "HTTP/1.1 200 OK\r\n\r\n", http.MethodPost, true, servicecall.MayHaveRun},
		{"crash, old version", "HTTP/1.0 200 OK\r\n\r\n", http.MethodPost, true, servicecall.MayHaveRun},
		{"sound", "HTTP/1.1 200 OK\r\n\r\n", http.MethodPost, false, servicecall.Answered},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", http.MethodPost, true, servicecall.Answered},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", http.MethodPost, true, servicecall.Answered},
		{"without body", "HTTP/1.1 200 OK\r\n\r\n", http.MethodHead, true, servicecall.Answered},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cs := testutil.StartCutServer(t)
			response := tc.head
			if tc.method != http.MethodHead {
				response += "boo"
			}
			cs.Prepare("", response, len(response), false)
			cs.CrashAfterResponse(tc.crashes)
			client := service.NewClient(timer.NewSystem(), noTracing)
			defer client.Close()
			_, result := client.Send(t.Context(), cs.Address(), servicecall.Request{Method: tc.method, Path: "/", Header: http.Header{}})
			assert.Equal(t, result, tc.want)
		})
	}
}
