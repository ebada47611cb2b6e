package forward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// attemptEnd is how one attempt at delayedServers ends.
type attemptEnd struct {
	err    error
	notRun bool
}

// delayedServers take a time for each answer and for each reservation of memory.
type delayedServers struct {
	fakeServers
	answerTime, reserveTime time.Duration
	// ends holds how the first attempts end; those after them are answered.
	ends []attemptEnd
	// sendTimes holds when each attempt that reached a server was sent.
	sendTimes []time.Time
	released  atomic.Int64
}

func (sv *delayedServers) Send(ctx context.Context, _ forward.Attempt) (forward.Response, error) {
	var end attemptEnd
	if len(sv.ends) > 0 {
		end, sv.ends = sv.ends[0], sv.ends[1:]
	}
	if !errors.Is(end.err, forward.ErrNotSent) {
		sv.sendTimes = append(sv.sendTimes, time.Now())
	}
	select {
	case <-time.After(sv.answerTime):
	case <-ctx.Done():
		return forward.Response{}, context.Cause(ctx)
	}
	switch {
	case end.err != nil:
		return forward.Response{}, end.err
	case end.notRun:
		return forward.Response{Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader("busy"))}, nil
	default:
		return forward.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}, nil
	}
}

func (sv *delayedServers) Reserve(ctx context.Context, _ batch.Part, _ time.Duration) (bool, error) {
	select {
	case <-time.After(sv.reserveTime):
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (sv *delayedServers) Release(context.Context, batch.Part) error {
	sv.released.Add(1)
	return nil
}

// stopsAcceptingAfter is when the hosts of these tests stop accepting requests, after the start of the request.
const stopsAcceptingAfter = 100 * time.Millisecond

// leavingRun is the run of one request at a host that stops accepting requests.
type leavingRun struct {
	result  forward.Result
	took    time.Duration
	backend *delayedServers
	// acceptEnd is when the host stopped accepting.
	acceptEnd time.Time
}

// runWhileLeaving runs a request that arrives a time before or, if negative, after the host stops accepting requests.
func runWhileLeaving(t *testing.T, backends *delayedServers, limits forward.RequestLimits, rt route.Route, startsAfter time.Duration) leavingRun {
	listed := []serverlist.Server{{ID: "one", Service: "service", Address: "one:80"}, {ID: "two", Service: "service", Address: "two:80"}}
	first, second := grantOn("1", "one"), grantOn("2", "two")
	first.Parts[0].Ticket, second.Parts[0].Ticket = "ticket-1", "ticket-2"
	dispatcher := &fakeDispatcher{grants: []batch.Grant{first, second}}
	rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{listed: listed, announcedLeaving: map[id.BackendServer]bool{}}, Limits: limits})
	lr := leavingRun{backend: backends, acceptEnd: time.Now().Add(stopsAcceptingAfter)}
	time.AfterFunc(stopsAcceptingAfter, rn.RejectWaiting)
	time.Sleep(startsAfter)
	now := time.Now()
	lr.result = rn.Run(t.Context(), &forward.Request{
		ID: "request", Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: rt,
	}, &fakeClient{})
	lr.took = time.Since(now)
	synctest.Wait()
	return lr
}

// TestNothingIsSentFirstAfterAcceptTime guards against requests that a leaving host sends for the first time when it no
// longer accepts any, so that it cuts them at the end of the grace. They are refused as not run, as soon as the host
// stops accepting.
func TestNothingIsSentFirstAfterAcceptTime(t *testing.T) {
	const step = 50 * time.Millisecond
	order := route.Route{Kind: route.NonIdempotent, MaxAttempts: 2}
	read := route.Route{Kind: route.Idempotent, MaxAttempts: 2}
	chat := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2, TargetLatency: time.Second}
	bothLimited := &scriptedLimits{limited: []id.BackendServer{"one", "two"}, wait: time.Second}
	for name, tc := range map[string]struct {
		backends    *delayedServers
		limits      forward.RequestLimits
		route       route.Route
		startsAfter time.Duration
		wantSends   int
		wantTook    time.Duration
	}{
		"the body of an order arrives late":    {backends: &delayedServers{}, route: order, startsAfter: 2 * stopsAcceptingAfter},
		"the body of a read arrives late":      {backends: &delayedServers{}, route: read, startsAfter: 2 * stopsAcceptingAfter},
		"an order waits for a permit":          {backends: &delayedServers{}, limits: bothLimited, route: order, wantTook: stopsAcceptingAfter},
		"a stream waits for memory":            {backends: &delayedServers{reserveTime: 400 * time.Millisecond}, route: chat, wantTook: stopsAcceptingAfter},
		"the first server can't be reached":    {backends: &delayedServers{answerTime: 3 * step, ends: []attemptEnd{{err: forward.ErrNotSent}}}, route: order, wantTook: 3 * step},
		"the first server does not run it":     {backends: &delayedServers{answerTime: 3 * step, ends: []attemptEnd{{notRun: true}}}, route: order, wantSends: 1, wantTook: 3 * step},
		"the first engine does not run it":     {backends: &delayedServers{answerTime: 3 * step, ends: []attemptEnd{{notRun: true}}}, route: chat, wantSends: 1, wantTook: 3 * step},
		"the first engine can't be reached":    {backends: &delayedServers{answerTime: 3 * step, ends: []attemptEnd{{err: forward.ErrNotSent}}}, route: chat, wantTook: 3 * step},
		"a prompt whose body has arrived late": {backends: &delayedServers{}, route: chat, startsAfter: 2 * stopsAcceptingAfter},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lr := runWhileLeaving(t, tc.backends, tc.limits, tc.route, tc.startsAfter)
				assert.Equal(t, len(lr.backend.sendTimes), tc.wantSends)
				assert.Equal(t, lr.took, tc.wantTook)
				if lr.result.HeadSent {
					assert.Equal(t, lr.result.Status, http.StatusServiceUnavailable, "%+v", lr.result)
					return
				}
				assert.Equal(t, lr.result.Outcome.Kind, outcome.Refused, "%+v", lr.result)
				assert.Equal(t, lr.result.Outcome.Reason, outcome.ShuttingDown)
				assert.Assert(t, lr.result.Outcome.RetryAfter > 0)
				assert.Assert(t, tc.backends.reserveTime == 0 || tc.backends.released.Load() > 0, "the memory is not released")
			})
		})
	}
}

// TestLeavingHostFinishesWhatItSent checks the opposite: what was sent in time is finished, also by another attempt if the
// first one may have run.
func TestLeavingHostFinishesWhatItSent(t *testing.T) {
	for name, tc := range map[string]struct {
		backends  *delayedServers
		route     route.Route
		wantSends int
	}{
		"an order in progress":          {&delayedServers{answerTime: time.Second}, route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, 1},
		"a read whose server broke off": {&delayedServers{answerTime: time.Second, ends: []attemptEnd{{err: io.ErrUnexpectedEOF}}}, route.Route{Kind: route.Idempotent, MaxAttempts: 2}, 2},
		"a stream in progress":          {&delayedServers{answerTime: time.Second}, route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1, TargetLatency: 2 * time.Second}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lr := runWhileLeaving(t, tc.backends, nil, tc.route, 0)
				assert.Assert(t, lr.result.Complete, "%+v", lr.result)
				assert.Equal(t, len(lr.backend.sendTimes), tc.wantSends)
				assert.Assert(t, time.Now().After(lr.acceptEnd))
			})
		})
	}
}
