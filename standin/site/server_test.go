package site

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestExecutedRequestEnds checks who is recorded as having ended a request: the server in its answer, the server before that,
// or the host.
func TestExecutedRequestEnds(t *testing.T) {
	const longEnough = 30 * time.Millisecond
	for name, tc := range map[string]struct {
		duration time.Duration
		end      func(sv *Server, disconnect func())
		want     ExecutedRequest
	}{
		"a complete answer": {longEnough, func(*Server, func()) {}, ExecutedRequest{Completed: true}},
		"the host leaves":   {time.Minute, func(_ *Server, disconnect func()) { disconnect() }, ExecutedRequest{}},
		"the server closes": {time.Minute, func(sv *Server, _ func()) { sv.Close() }, ExecutedRequest{BrokenOff: true}},
		"the server crashes": {time.Minute, func(sv *Server, _ func()) { sv.Crash(Crash{Downtime: time.Minute}) }, ExecutedRequest{
			BrokenOff: true,
		}},
	} {
		for kind, tokenCounts := range map[string]string{"plain": "", "stream": "512,1"} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				sv := NewServer("server-1", "books", "zone-a")
				defer sv.Close()
				sv.AnswerDuration = func(string) time.Duration { return tc.duration }
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+sv.Address()+"/read/1", strings.NewReader("x"))
				assert.NilError(t, err)
				SetRequestHeaders(rq.Header, "c1-1", "", tokenCounts)
				rq.Header.Set("X-Expect-Instance", sv.ID)
				sentAt := time.Now()
				go func() {
					if rs, err := http.DefaultTransport.RoundTrip(rq); err == nil {
						_, _ = io.Copy(io.Discard, rs.Body)
						_ = rs.Body.Close()
					}
				}()
				waitFor(t, "the server runs the request", func() bool { return len(sv.ExecutedRequests()) == 1 })
				tc.end(sv, disconnect)
				waitFor(t, "the request has ended", func() bool { return !sv.ExecutedRequests()[0].EndedAt.IsZero() })
				got := sv.ExecutedRequests()[0]
				assert.Equal(t, got.Completed, tc.want.Completed)
				assert.Equal(t, got.BrokenOff, tc.want.BrokenOff)
				if got.Completed {
					assert.Assert(t, got.EndedAt.Sub(sentAt) >= tc.duration && got.DisconnectedAt.IsZero())
				}
				if !got.Completed && !got.BrokenOff {
					assert.Equal(t, got.EndedAt, got.DisconnectedAt)
				}
			})
		}
	}
}

func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", condition)
	}, poll.WithDelay(time.Millisecond))
}
