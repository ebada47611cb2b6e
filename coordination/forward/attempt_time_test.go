package forward_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
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

// wholeReads makes each chunk of a body arrive in reads of any size. Bodies of routes without streams are no events.
type wholeReads struct{ *streamingServers }

func (wr *wholeReads) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	response, err := wr.streamingServers.Send(ctx, attempt)
	if attempt.Route.Kind != route.Streaming {
		response.Header = http.Header{"Content-Type": {"text/plain"}}
	}
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

// spentBudgetServers answers after a delay and spends the service's retry budget meanwhile.
type spentBudgetServers struct {
	slowServers
	spend func()
	// unreachable holds the addresses that accept no connections.
	unreachable map[string]bool
}

func (sv *spentBudgetServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	if sv.spend != nil {
		sv.spend()
	}
	return sv.slowServers.Send(ctx, attempt)
}

func (sv *spentBudgetServers) ProbeConnection(_ context.Context, address string) forward.ProbeResult {
	if sv.unreachable[address] {
		return forward.Unresponsive
	}
	return forward.Reachable
}

// TestSlowServerKeepsRequestThatNoOtherCanTake guards against requests that are lost because a slow server is given up
// although by then no other server can take them.
func TestSlowServerKeepsRequestThatNoOtherCanTake(t *testing.T) {
	const requestTimeout = 800 * time.Millisecond
	one, two := serverlist.Server{ID: "one", Address: "one"}, serverlist.Server{ID: "two", Address: "two"}
	for _, tc := range []struct {
		name        string
		spendBudget bool
		unreachable map[string]bool
		wantBody    string
		wantSends   int
	}{
		{"another server can take it", false, nil, "from two", 2},
		{"the retry budget was used up meanwhile", true, nil, "from one", 1},
		{"the other server can't be reached", false, map[string]bool{"two": true}, "from one", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backends := &spentBudgetServers{slowServers: slowServers{delays: map[string]time.Duration{"one": 600 * time.Millisecond, "two": 50 * time.Millisecond}}, unreachable: tc.unreachable}
				balancer := balance.New("", 1)
				balancer.EndRequest(time.Now(), two, balance.ErrorResponse, nil, time.Millisecond)
				rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: []serverlist.Server{one, two}}, Balancer: balancer, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 10}, 1)})
				if tc.spendBudget {
					backends.spend = func() { rn.SetInitialRetryBudget(0) }
				}
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(requestTimeout), Route: route.Route{Kind: route.Idempotent, MaxAttempts: 2},
				}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, result.Status, http.StatusOK)
				assert.Equal(t, client.body.String(), tc.wantBody)
				assert.Equal(t, len(backends.sentTo), tc.wantSends)
			})
		})
	}
}
