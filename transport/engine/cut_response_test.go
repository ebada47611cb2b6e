package engine_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/placement"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/engine"
)

// framings are the heads and bodies of responses with a document, framed in all ways.
func framings(contentType, document string) map[string]string {
	head := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
	return map[string]string{
		"length":     fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(document), document),
		"chunks":     fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(document), document),
		"connection": head + "\r\n" + document,
	}
}

// TestCutStreamHasNoEnd checks that the stream of an attempt that is cut off before any of its bytes, on any framing, closed
// or reset, brings the end of the answer only if the whole frame that says so has arrived.
func TestCutStreamHasNoEnd(t *testing.T) {
	const last = `data: {"Attempt":"a","Kind":"End","Index":1,"Count":1,"FinishReason":"stop"}`
	const frames = `data: {"Attempt":"a","Kind":"Token","Index":0,"Text":"x"}` + "\n\n" + last
	for name, response := range framings("text/event-stream", frames+"\n\n") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endsAt := len(response) - len("\n\n")
			if name == "chunks" {
				endsAt -= len("\r\n0\r\n\r\n")
			}
			cs := testutil.StartCutServer(t)
			ends := 0
			client := newClient(t)
			for cut := range len(response) + 1 {
				for _, reset := range []bool{false, true} {
					cs.Prepare("", response, cut, reset)
					result := client.Open(t.Context(), modelcall.StreamRequest{Address: cs.Address(), Attempt: "a"})
					for result.Stream != nil {
						frame, err := result.Stream.Next()
						if err != nil {
							result.Stream.Close()
							break
						}
						if frame.Kind == modelcall.AnswerEnd {
							assert.Assert(t, cut >= endsAt, "cut at %d of %q", cut, response)
							assert.Equal(t, frame.FinishReason, "stop")
							ends++
						}
					}
				}
			}
			assert.Assert(t, ends > 0)
		})
	}
}

// TestCutReportIsAnError checks that reports and the responses to orders that are cut off before any of their bytes, on a new
// or a reused connection, closed or reset, are errors.
func TestCutReportIsAnError(t *testing.T) {
	const report = `{"Incarnation":3,"Capacity":1000,"Pending":10,"Models":["m"]}`
	for name, response := range framings("application/json", report) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cs := testutil.StartCutServer(t)
			cs.ForEachCut(framings("application/json", report)["length"], response, func(cut int, reused, reset bool) {
				client := engine.NewClient(timer.NewSystem(), func(next http.RoundTripper) http.RoundTripper { return next })
				defer client.Close()
				if reused {
					_, err := client.FetchLoad(t.Context(), cs.Address())
					assert.NilError(t, err)
				}
				_, err := client.FetchLoad(t.Context(), cs.Address())
				assert.Assert(t, err != nil, "cut at %d of %q, reused %v, reset %v", cut, response, reused, reset)
			})
		})
	}
	t.Run("order", func(t *testing.T) {
		const done = "HTTP/1.1 204 No Content\r\nX-Text: x\r\n\r\n"
		cs := testutil.StartCutServer(t)
		cs.ForEachCut(done, done, func(cut int, reused, reset bool) {
			client := newClient(t)
			order := placement.Order{Address: cs.Address(), Kind: placement.LoadModel, Model: "m"}
			if reused {
				applied, err := client.SendOrder(t.Context(), order, 1)
				assert.NilError(t, err)
				assert.Assert(t, applied)
			}
			_, err := client.SendOrder(t.Context(), order, 1)
			assert.Assert(t, err != nil, "cut at %d of %q, reused %v, reset %v", cut, done, reused, reset)
			assert.Assert(t, client.CancelAttempt(t.Context(), cs.Address(), "a") != nil)
		})
	})
}
