package forward_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// TestAttemptTimeDoesNotCutBegunAnswer guards against answers that are lost because the time after which another server
// is tried ends while their bodies are forwarded.
func TestAttemptTimeDoesNotCutBegunAnswer(t *testing.T) {
	const requestTimeout = 800 * time.Millisecond
	// bufferBytes is more than the part of a body that is read before any of it is forwarded.
	bufferBytes := int(forward.DefaultConfig().ResponseBufferBytes) + 1
	large := strings.Repeat("x", bufferBytes)
	one, two := serverlist.Server{ID: "one", Address: "one"}, serverlist.Server{ID: "two", Address: "two"}
	for _, tc := range []struct {
		name   string
		route  route.Route
		chunks []chunk
		want   string
	}{
		{"body larger than the buffer", route.Route{Kind: route.Idempotent, MaxAttempts: 2}, []chunk{{10 * time.Millisecond, large}, {600 * time.Millisecond, "end"}}, large + "end"},
		{"stream of a plain service", route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2}, []chunk{{10 * time.Millisecond, "id: 1\n\n"}, {600 * time.Millisecond, "id: 2\n\n"}}, "id: 1\n\nid: 2\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := slowBody{chunks: tc.chunks}
				backends := &streamingServers{bodyByAddress: map[string]slowBody{"one": body, "two": body}}
				rn := newRunner(forward.Dependencies{Sender: &wholeReads{backends}, Fleet: fakeFleet{listed: []serverlist.Server{one, two}}})
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(requestTimeout), Route: tc.route}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Assert(t, client.body.String() == tc.want, "%d bytes", client.body.Len())
				assert.Equal(t, len(backends.sentTo), 1)
			})
		})
	}
}

// wholeReads makes each chunk of a body arrive in reads of any size.
type wholeReads struct{ *streamingServers }

func (wr *wholeReads) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	response, err := wr.streamingServers.Send(ctx, attempt)
	response.Body = &splittingBody{slowBody: response.Body.(*slowBody)}
	return response, err
}

// splittingBody returns the chunks of a slowBody in parts that fit into the caller's buffer.
type splittingBody struct {
	*slowBody
	rest string
}

func (sb *splittingBody) Read(buffer []byte) (int, error) {
	if sb.rest == "" {
		chunkBuffer := make([]byte, 1<<20)
		count, err := sb.slowBody.Read(chunkBuffer)
		if err != nil {
			return 0, err
		}
		sb.rest = string(chunkBuffer[:count])
	}
	count := copy(buffer, sb.rest)
	sb.rest = sb.rest[count:]
	return count, nil
}
