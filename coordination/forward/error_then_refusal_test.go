package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// errorThenRefusal has an error at the first attempt and refuses all others.
type errorThenRefusal struct {
	fakeServers
	afterError func()
}

func (er *errorThenRefusal) Send(_ context.Context, attempt forward.Attempt) (forward.Response, error) {
	er.sentTo = append(er.sentTo, attempt.Address)
	if len(er.sentTo) > 1 {
		return forward.Response{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader("not run"))}, nil
	}
	er.afterError()
	return forward.Response{Status: http.StatusInternalServerError, Body: io.NopCloser(strings.NewReader("error"))}, nil
}

// TestRequestThatFailedIsNotCalledNotRun guards against refusals, which say that a request was not run, of requests that a
// server has run with an error.
func TestRequestThatFailedIsNotCalledNotRun(t *testing.T) {
	listed := []serverlist.Server{{ID: "one", Address: "one"}, {ID: "two", Address: "two"}}
	for _, quarantined := range []bool{false, true} {
		fence := &closedQuarantine{}
		backends := &errorThenRefusal{afterError: func() { fence.closed.Store(quarantined) }}
		rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: listed}, Quarantine: fence})
		client := &fakeClient{}
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(time.Second), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2}}, client)
		if quarantined {
			assert.Equal(t, result.Outcome.Kind, outcome.Failed, "%+v", result)
			continue
		}
		assert.Equal(t, result.Status, http.StatusInternalServerError, "%+v", result)
		assert.Equal(t, client.body.String(), "error")
	}
}
