package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// chunk is a part of a body that arrives after a delay.
type chunk struct {
	delay time.Duration
	text  string
}

// slowBody returns its chunks with their delays. After the last one it repeats a chunk forever, or ends.
type slowBody struct {
	ctx      context.Context
	chunks   []chunk
	repeated chunk
	// truncated makes the body end with io.ErrUnexpectedEOF.
	truncated bool
}

func (sb *slowBody) Read(buffer []byte) (int, error) {
	next := sb.repeated
	if len(sb.chunks) > 0 {
		next, sb.chunks = sb.chunks[0], sb.chunks[1:]
	}
	if next.text == "" && sb.truncated {
		return 0, io.ErrUnexpectedEOF
	}
	if next.text == "" {
		return 0, io.EOF
	}
	select {
	case <-time.After(next.delay):
		return copy(buffer, next.text), nil
	case <-sb.ctx.Done():
		return 0, sb.ctx.Err()
	}
}
func (sb *slowBody) Close() error { return nil }

// streamingServers responds with a stream for each address and records after which event each attempt resumes.
type streamingServers struct {
	fakeServers
	// mutex guards sentTo and resumedAfter.
	mutex         sync.Mutex
	bodyByAddress map[string]slowBody
	resumedAfter  []string
	// truncatedAddress is the address whose stream ends with io.ErrUnexpectedEOF.
	truncatedAddress string
}

func (sv *streamingServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	sv.mutex.Lock()
	sv.sentTo = append(sv.sentTo, attempt.Address)
	sv.resumedAfter = append(sv.resumedAfter, attempt.ResumeAfter)
	sv.mutex.Unlock()
	body := sv.bodyByAddress[attempt.Address]
	body.ctx = ctx
	body.truncated = attempt.Address == sv.truncatedAddress
	return forward.Response{Status: http.StatusOK, Length: -1, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: &body}, nil
}

// TestStalledStreamFailsOver checks that a stream that makes no progress is resumed on another engine before the client
// gives up, although the engine still passes its probes: it sends nothing, single bytes, or only comments. Streams that
// are slow but make progress stay at their engine, and so do those that cannot be resumed.
func TestStalledStreamFailsOver(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	// The client gives up after 2.4 s without an event.
	rt := route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond}
	singleAttempt := rt
	singleAttempt.MaxAttempts = 1
	resumedBody := slowBody{chunks: []chunk{{10 * time.Millisecond, event2}, {10 * time.Millisecond, event3}}}
	for _, tc := range []struct {
		name      string
		route     route.Route
		firstBody slowBody
		wantSends int
	}{
		{"slow but making progress", rt, slowBody{chunks: []chunk{{time.Second, event1}, {time.Second, event2}, {time.Second, event3}}}, 1},
		{"slow within an event", rt, slowBody{chunks: []chunk{{0, event1}, {500 * time.Millisecond, "id: 2\n"}, {500 * time.Millisecond, "data: b\n\n" + event3}}}, 1},
		{"idle", rt, slowBody{chunks: []chunk{{0, event1}}, repeated: chunk{time.Hour, "x"}}, 2},
		{"incomplete event, one byte at a time", rt, slowBody{chunks: []chunk{{0, event1}}, repeated: chunk{100 * time.Millisecond, "x"}}, 2},
		{"comments only", rt, slowBody{chunks: []chunk{{0, event1}}, repeated: chunk{100 * time.Millisecond, ": still here\n\n"}}, 2},
		{"endless bytes without an event", rt, slowBody{chunks: []chunk{{0, event1}}, repeated: chunk{0, strings.Repeat("x", 1024)}}, 2},
		{"cannot be resumed", singleAttempt, slowBody{chunks: []chunk{{0, event1}, {2 * time.Second, event2}, {0, event3}}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}}
				backends := &streamingServers{bodyByAddress: map[string]slowBody{"one:80": tc.firstBody, "two:80": resumedBody}}
				rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, BudgetRatio: 1, InitialBudget: 100}, 1)})
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: tc.route}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				body := strings.ReplaceAll(client.body.String(), ": still here\n\n", "")
				assert.Equal(t, body, event1+event2+event3)
				assert.Equal(t, len(backends.sentTo), tc.wantSends)
				assert.Assert(t, result.LongestPause < route.WaitLimit(rt.TargetLatency, rt.MaxPause), "%s", result.LongestPause)
				if tc.wantSends > 1 {
					assert.Equal(t, backends.resumedAfter[1], "1")
					assert.Assert(t, result.LongestPause < 2*time.Second, "%s", result.LongestPause)
				}
			})
		})
	}
}

// TestStalledStreamWithoutFailover checks that a stalled stream stays at its engine while there is no grant on another
// one, or while the host stops and no event was forwarded. The engine may still continue, so its response must not be cut off.
func TestStalledStreamWithoutFailover(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	rt := route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond}
	for _, tc := range []struct {
		name   string
		budget float64
		// hostStops makes the host reject requests that wait for grants from the first second on.
		hostStops bool
		grants    []batch.Grant
	}{
		{"no grant", 100, false, nil},
		{"no retry budget", 0, false, []batch.Grant{grantOn("2", "two")}},
		{"host is stopping before the first event", 100, true, []batch.Grant{grantOn("2", "two")}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := &fakeDispatcher{grants: append([]batch.Grant{grantOn("1", "one")}, tc.grants...)}
				chunks := []chunk{{0, event1}, {2200 * time.Millisecond, event2}, {0, event3}}
				if tc.hostStops {
					chunks = []chunk{{2200 * time.Millisecond, event1}, {0, event2}, {0, event3}}
				}
				backends := &streamingServers{bodyByAddress: map[string]slowBody{"one:80": {chunks: chunks}}}
				rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: tc.budget}, 1)})
				if tc.hostStops {
					time.AfterFunc(time.Second, rn.RejectWaiting)
				}
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: rt}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, client.body.String(), event1+event2+event3)
				assert.Equal(t, len(backends.sentTo), 1)
			})
		})
	}
}

// pausedServers grants reservations, but delays the first one as if the process were paused.
type pausedServers struct {
	fakeServers
	pausedOnce bool
	released   []string
}

func (ps *pausedServers) Reserve(context.Context, batch.Part, time.Duration) (bool, error) {
	if !ps.pausedOnce {
		ps.pausedOnce = true
		time.Sleep(6 * time.Second)
	}
	return true, nil
}

func (ps *pausedServers) Release(_ context.Context, part batch.Part) error {
	ps.released = append(ps.released, part.Ticket)
	return nil
}

// TestExpiredGrant checks that a grant is not used after the process was paused for longer than the grant is valid,
// because the dispatcher has given it to others. The reserved memory is released, and another grant is requested.
func TestExpiredGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		expired, replacement := grantOn("old", "one"), grantOn("fresh", "two")
		expired.Parts[0].Ticket = "ticket"
		dispatcher := &fakeDispatcher{grants: []batch.Grant{expired, replacement}}
		backends := &pausedServers{}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}})
		result := rn.Run(t.Context(), &forward.Request{
			ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: time.Now(), Deadline: time.Now().Add(15 * time.Second),
			Route: route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1, TargetLatency: 4 * time.Second},
		}, &fakeClient{})
		assert.Assert(t, result.Complete, "%+v", result)
		assert.DeepEqual(t, backends.sentTo, []string{"two:80"})
		synctest.Wait()
		assert.DeepEqual(t, backends.released, []string{"ticket"})
		assert.DeepEqual(t, dispatcher.ended[0], broker.EndedGrant{Request: dispatcher.ended[0].Request, Attempt: "old"})
	})
}

// TestWaitLimitAfterLateLoss checks the wait limit of the request for another grant after a stream was lost late: the
// client gives up a fixed time after the last event, but not after its deadline.
func TestWaitLimitAfterLateLoss(t *testing.T) {
	const waitLimit, requestTimeout = 2400 * time.Millisecond, 6 * time.Second
	for _, eventCount := range []int{0, 1, 8, 11} {
		synctest.Test(t, func(t *testing.T) {
			var body slowBody
			for index := range eventCount {
				body.chunks = append(body.chunks, chunk{500 * time.Millisecond, fmt.Sprintf("id: %d\ndata: a\n\n", index+1)})
			}
			body.chunks = append(body.chunks, chunk{10 * time.Millisecond, "id: cut"})
			dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}}
			backends := &streamingServers{bodyByAddress: map[string]slowBody{"one:80": body, "two:80": {chunks: []chunk{{0, "id: 99\ndata: z\n\n"}}}}, truncatedAddress: "one:80"}
			rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}})
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(requestTimeout), Route: route.Route{
				Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond,
			}}, &fakeClient{})
			assert.Assert(t, result.Complete, "%+v", result)
			lastEventAt := now.Add(time.Duration(eventCount) * 500 * time.Millisecond)
			assert.Equal(t, dispatcher.waitLimitAt[1].Sub(now), min(requestTimeout, lastEventAt.Add(waitLimit).Sub(now)))
		})
	}
}
