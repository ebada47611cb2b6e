package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// TestErrorInsidePlainStream checks that a stream of a plain service ends as broken off before a line that is no event,
// however the bytes arrive, and that valid streams and other bodies pass unchanged.
func TestErrorInsidePlainStream(t *testing.T) {
	const otherEvents = "\ufeff: comment\n\nretry: 10\r\n\r\nx-weight-versions:4\nid: 2\ndata: HTTP/1.1 500 x\ndata\n\n"
	for _, tc := range []struct {
		name, contentType, body string
		want                    string
		complete                bool
	}{
		{"valid", eventStreamType, otherEvents + event1, otherEvents + event1, true},
		{"charset", eventStreamType + "; charset=utf-8", event1 + event2, event1 + event2, true},
		{"head of an error", eventStreamType, event1 + errorHead, event1, false},
		{"text of an error", eventStreamType, event1 + "Internal Server Error\n\n", event1, false},
		{"object", eventStreamType, event1 + "{\"error\": 1}\n\n", event1, false},
		{"other body", "text/plain", errorHead, errorHead, true},
		{"cut off in a name", eventStreamType, event1 + "da", event1 + "da", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fleet := fakeFleet{listed: []serverlist.Server{{ID: "one", Service: "service", Address: "one:80"}}}
			rn := newRunner(forward.Dependencies{Sender: &bytewiseServers{contentType: tc.contentType, body: tc.body}, Fleet: fleet})
			client := &fakeClient{}
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{
				ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: route.Route{Kind: route.Streaming, MaxAttempts: 1},
			}, client)
			assert.Equal(t, client.body.String(), tc.want)
			assert.Equal(t, result.Complete, tc.complete, "%+v", result)
		})
	}
}

// bytewiseServers answer with a body that arrives in single bytes.
type bytewiseServers struct {
	fakeServers
	contentType, body string
}

func (sv *bytewiseServers) Send(context.Context, forward.Attempt) (forward.Response, error) {
	return forward.Response{
		Status: http.StatusOK, Length: -1, Header: http.Header{"Content-Type": {sv.contentType}}, Body: io.NopCloser(iotest.OneByteReader(strings.NewReader(sv.body))),
	}, nil
}
