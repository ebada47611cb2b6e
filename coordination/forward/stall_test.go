package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// part is a piece of a body and the time after which it comes.
type part struct {
	after time.Duration
	text  string
}

// slowBody brings parts in their time; after the last one it brings the rest again and again, or ends.
type slowBody struct {
	ctx   context.Context
	parts []part
	rest  part
	// broken says that the end is no proper one.
	broken bool
}

func (sb *slowBody) Read(buffer []byte) (int, error) {
	next := sb.rest
	if len(sb.parts) > 0 {
		next, sb.parts = sb.parts[0], sb.parts[1:]
	}
	if next.text == "" && sb.broken {
		return 0, io.ErrUnexpectedEOF
	}
	if next.text == "" {
		return 0, io.EOF
	}
	select {
	case <-time.After(next.after):
		return copy(buffer, next.text), nil
	case <-sb.ctx.Done():
		return 0, sb.ctx.Err()
	}
}
func (sb *slowBody) Close() error { return nil }

// bodies answer each address with a stream of its own, and notes from which event on.
type bodies struct {
	servers
	of      map[string]slowBody
	resumed []string
	// breaks is the address whose stream is broken off at its end.
	breaks string
}

func (bd *bodies) Send(ctx context.Context, at forward.Attempt) (forward.Response, error) {
	bd.sent = append(bd.sent, at.Address)
	bd.resumed = append(bd.resumed, at.ResumeAfter)
	body := bd.of[at.Address]
	body.ctx = ctx
	body.broken = at.Address == bd.breaks
	return forward.Response{Status: http.StatusOK, Length: -1, Body: &body}, nil
}

// TestStalledStreamFailsOver leaves streams alone that are slow but get on, and has those go on elsewhere that stand still while
// their engine says that it is alive: silent, with a byte now and then, or with comments. They do so before the client
// leaves. A stream that can't go on elsewhere is left to its engine.
func TestStalledStreamFailsOver(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	// The client leaves after a gap of 2.4 s.
	rt := route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond}
	once := rt
	once.MaxAttempts = 1
	rest := slowBody{parts: []part{{10 * time.Millisecond, event2}, {10 * time.Millisecond, event3}}}
	for _, cs := range []struct {
		name  string
		route route.Route
		first slowBody
		sent  int
	}{
		{"slow but sound", rt, slowBody{parts: []part{{time.Second, event1}, {time.Second, event2}, {time.Second, event3}}}, 1},
		{"slow within an event", rt, slowBody{parts: []part{{0, event1}, {500 * time.Millisecond, "id: 2\n"}, {500 * time.Millisecond, "data: b\n\n" + event3}}}, 1},
		{"silent", rt, slowBody{parts: []part{{0, event1}}, rest: part{time.Hour, "x"}}, 2},
		{"a byte now and then", rt, slowBody{parts: []part{{0, event1}}, rest: part{100 * time.Millisecond, "x"}}, 2},
		{"comments now and then", rt, slowBody{parts: []part{{0, event1}}, rest: part{100 * time.Millisecond, ": still here\n\n"}}, 2},
		{"bytes that are no events, without end", rt, slowBody{parts: []part{{0, event1}}, rest: part{0, strings.Repeat("x", 1024)}}, 2},
		{"can't go on elsewhere", once, slowBody{parts: []part{{0, event1}, {2 * time.Second, event2}, {0, event3}}}, 1},
	} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pl := &places{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}}
				sv := &bodies{of: map[string]slowBody{"one:80": cs.first, "two:80": rest}}
				rn := newRunner(forward.Dependencies{Servers: sv, Dispatcher: pl, Fleet: fleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, BudgetRatio: 1, InitialBudget: 100}, 1)})
				out := &sink{}
				now := time.Now()
				rs := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: cs.route}, out)
				assert.Assert(t, rs.Complete, "%+v", rs)
				body := strings.ReplaceAll(out.body.String(), ": still here\n\n", "")
				assert.Equal(t, body, event1+event2+event3)
				assert.Equal(t, len(sv.sent), cs.sent)
				assert.Assert(t, rs.LongestPause < route.WaitLimit(rt.TargetLatency, rt.MaxPause), "%s", rs.LongestPause)
				if cs.sent > 1 {
					assert.Equal(t, sv.resumed[1], "1")
					assert.Assert(t, rs.LongestPause < 2*time.Second, "%s", rs.LongestPause)
				}
			})
		})
	}
}

// TestStalledStreamWithoutFailover leaves a stream that stands still to its engine while no other place is to be had: the engine may
// yet go on, and its answer is not cut.
func TestStalledStreamWithoutFailover(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	rt := route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond}
	for _, cs := range []struct {
		name   string
		budget float64
		// stops says that the host takes no places any more.
		stops  bool
		grants []batch.Grant
	}{
		{"no place", 100, false, nil},
		{"no retries", 0, false, []batch.Grant{grantOn("2", "two")}},
		{"the host is stopping", 100, true, []batch.Grant{grantOn("2", "two")}},
	} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pl := &places{grants: append([]batch.Grant{grantOn("1", "one")}, cs.grants...)}
				sv := &bodies{of: map[string]slowBody{"one:80": {parts: []part{{0, event1}, {2200 * time.Millisecond, event2}, {0, event3}}}}}
				rn := newRunner(forward.Dependencies{Servers: sv, Dispatcher: pl, Fleet: fleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: cs.budget}, 1)})
				if cs.stops {
					time.AfterFunc(time.Second, rn.RejectWaiting)
				}
				out := &sink{}
				now := time.Now()
				rs := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: rt}, out)
				assert.Assert(t, rs.Complete, "%+v", rs)
				assert.Equal(t, out.body.String(), event1+event2+event3)
				assert.Equal(t, len(sv.sent), 1)
			})
		})
	}
}

// pausing sets memory aside, and is paused the first time.
type pausing struct {
	servers
	paused   bool
	released []string
}

func (ps *pausing) Reserve(_ context.Context, _, _ string, _ id.Tokens, _ time.Duration) (bool, error) {
	if !ps.paused {
		ps.paused = true
		time.Sleep(6 * time.Second)
	}
	return true, nil
}

func (ps *pausing) Release(_ context.Context, _, ticket string) error {
	ps.released = append(ps.released, ticket)
	return nil
}

// TestExpiredGrant does not use a place that was given before the process was paused: the dispatcher has given it to
// others since. The memory that was set aside is given back, and another place is asked for.
func TestExpiredGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, fresh := grantOn("old", "one"), grantOn("fresh", "two")
		old.Parts[0].Ticket = "ticket"
		pl := &places{grants: []batch.Grant{old, fresh}}
		sv := &pausing{}
		rn := newRunner(forward.Dependencies{Servers: sv, Dispatcher: pl, Fleet: fleet{}})
		rs := rn.Run(t.Context(), &forward.Request{
			ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: time.Now(), Deadline: time.Now().Add(15 * time.Second),
			Route: route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1, TargetLatency: 4 * time.Second},
		}, &sink{})
		assert.Assert(t, rs.Complete, "%+v", rs)
		assert.DeepEqual(t, sv.sent, []string{"two:80"})
		synctest.Wait()
		assert.DeepEqual(t, sv.released, []string{"ticket"})
		assert.DeepEqual(t, pl.ended[0], broker.EndedGrant{Request: pl.ended[0].Request, Attempt: "old"})
	})
}

// TestWaitLimitAfterLateLoss asks for another place for a stream that breaks long after its request came, as long as its client waits: that
// leaves some time after the last event, and before its deadline.
func TestWaitLimitAfterLateLoss(t *testing.T) {
	const patience, limit = 2400 * time.Millisecond, 6 * time.Second
	for _, events := range []int{0, 1, 8, 11} {
		synctest.Test(t, func(t *testing.T) {
			var first slowBody
			for number := range events {
				first.parts = append(first.parts, part{500 * time.Millisecond, fmt.Sprintf("id: %d\ndata: a\n\n", number+1)})
			}
			first.parts = append(first.parts, part{10 * time.Millisecond, "id: cut"})
			pl := &places{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}}
			sv := &bodies{of: map[string]slowBody{"one:80": first, "two:80": {parts: []part{{0, "id: 99\ndata: z\n\n"}}}}, breaks: "one:80"}
			rn := newRunner(forward.Dependencies{Servers: sv, Dispatcher: pl, Fleet: fleet{}})
			now := time.Now()
			rs := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(limit), Route: route.Route{
				Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond,
			}}, &sink{})
			assert.Assert(t, rs.Complete, "%+v", rs)
			last := now.Add(time.Duration(events) * 500 * time.Millisecond)
			assert.Equal(t, pl.until[1].Sub(now), min(limit, last.Add(patience).Sub(now)))
		})
	}
}
