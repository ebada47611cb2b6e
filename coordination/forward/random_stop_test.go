package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// slowDispatcher grants after a wait, or refuses shortly before the client leaves.
type slowDispatcher struct {
	heldDispatcher
	waits []time.Duration
	calls atomic.Int64
}

func (sd *slowDispatcher) Acquire(ctx context.Context, grantRequest broker.GrantRequest) (batch.Grant, outcome.Outcome) {
	call := int(sd.calls.Add(1)) - 1
	timer := time.NewTimer(sd.waits[call%len(sd.waits)])
	defer timer.Stop()
	select {
	case <-timer.C:
		return sd.heldDispatcher.Acquire(ctx, grantRequest)
	case <-time.After(time.Until(grantRequest.ArrivedAt.Add(grantRequest.WaitLimit - 50*time.Millisecond))):
	case <-ctx.Done():
	}
	return batch.Grant{}, outcome.Refuse(outcome.DeadlineExceeded, "the request found no engine in its time").WithRetryAfter(time.Second)
}

// slowLimits limits all servers and grants permits after a wait.
type slowLimits struct {
	unlimited
	limited bool
	call    time.Duration
	wait    time.Duration
}

func (sl slowLimits) Rate(serverlist.Server) serverlimit.Rate {
	if sl.limited {
		return 1
	}
	return 0
}

func (sl slowLimits) Acquire(ctx context.Context, _ id.Service, servers []serverlist.Server, maxWait time.Duration) requestlimit.Permit {
	select {
	case <-time.After(sl.call):
	case <-ctx.Done():
	}
	if sl.wait > maxWait {
		return requestlimit.Permit{Wait: sl.wait}
	}
	return requestlimit.Permit{Server: servers[0].ID, Wait: sl.wait}
}

// randomServers run requests with random delays and faults.
type randomServers struct {
	failoverServers
	delays    []time.Duration
	faults    []string
	calls     atomic.Int64
	running   atomic.Int64
	ran       atomic.Int64
	overlap   atomic.Int64
	lastBegan atomic.Int64
}

func (rs *randomServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	call := int(rs.calls.Add(1)) - 1
	delay, fault := rs.delays[call%len(rs.delays)], rs.faults[call%len(rs.faults)]
	if attempt.MayBegin != nil && !attempt.MayBegin() {
		return forward.Response{}, forward.ErrNotSent
	}
	rs.lastBegan.Store(time.Now().UnixNano())
	rs.overlap.Store(max(rs.overlap.Load(), rs.running.Add(1)))
	defer rs.running.Add(-1)
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		rs.ran.Add(1)
		return forward.Response{}, ctx.Err()
	}
	switch fault {
	case "refuses":
		return forward.Response{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
	case "can't be sent to":
		return forward.Response{}, forward.ErrNotSent
	}
	rs.ran.Add(1)
	switch fault {
	case "closes the connection":
		return forward.Response{}, io.ErrUnexpectedEOF
	case "has an error":
		return forward.Response{Status: http.StatusInternalServerError, Body: io.NopCloser(strings.NewReader("error"))}, nil
	}
	body := &slowBody{ctx: ctx, truncated: fault == "breaks off"}
	for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"} {
		if attempt.ResumeAfter == "" || event[4:5] > attempt.ResumeAfter {
			body.chunks = append(body.chunks, chunk{delay, event})
		}
	}
	return streamResponse(body), nil
}

// TestEachRequestHasAnAnswerOrARefusal stops the host at random while requests wait for a grant or a permit, run, or are run
// a second time, and servers fail at random. Each request must end by its deadline with a response or an outcome, and before it if no server has
// seen it. An abort ends those whose response has not begun, a cut-off all. A refusal
// must not stand for a request that ran, one that must not be repeated must not run twice, and nothing may stay held.
func TestEachRequestHasAnAnswerOrARefusal(t *testing.T) {
	// arrivalTime is the time in which a refusal reaches its client.
	const deadlineAfter, arrivalTime = 5 * time.Second, 40 * time.Millisecond
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(name string, choices ...int) time.Duration {
			return time.Duration(rapid.SampledFrom(choices).Draw(rt, name)) * time.Millisecond
		}
		several := func(name string) (delays []time.Duration) {
			for range 4 {
				delays = append(delays, millis(name, 0, 0, 10, 300, 700, 1500, 2600, 6000))
			}
			return delays
		}
		hasPrompt, limited := rapid.Bool().Draw(rt, "prompt"), rapid.Bool().Draw(rt, "limited")
		rot := route.Route{
			Kind: rapid.SampledFrom([]route.Kind{route.Idempotent, route.NonIdempotent, route.Streaming}).Draw(rt, "kind"), HasPrompt: hasPrompt, Resumable: rapid.Bool().Draw(rt, "resumable"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(rt, "attempts"), TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond,
		}
		if hasPrompt {
			rot.Kind = route.Streaming
		}
		waits, delays := several("wait"), several("delay")
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{"", "", "", "refuses", "can't be sent to", "closes the connection", "has an error", "breaks off"}), 4, 4).Draw(rt, "faults")
		limits := slowLimits{limited: limited, call: millis("permit call", 0, 150), wait: millis("permit wait", 0, 200, 2000, 4000)}
		rejectAfter, abortAfter := millis("reject", 0, 1, 300, 700, 1500, 60_000), millis("abort", 1, 700, 1500, 2600, 60_000)
		cutOffAfter := millis("cut off", 0, 100, 500)
		evacuateAfter, quarantineAfter := millis("evacuate", 1, 700, 60_000, 60_000), millis("quarantine", 1, 700, 60_000, 60_000)
		budget := float64(rapid.IntRange(0, 3).Draw(rt, "budget"))
		unresponsive := rapid.Bool().Draw(rt, "unresponsive")
		var violation error
		synctest.Test(t, func(t *testing.T) {
			dispatcher := &slowDispatcher{waits: waits}
			var listed []serverlist.Server
			for _, name := range []string{"one", "two", "three", "four"} {
				dispatcher.grants = append(dispatcher.grants, reservedGrantOn(name, name))
				listed = append(listed, serverlist.Server{ID: id.BackendServer(name), Service: "service", Address: name + ":80"})
			}
			backends := &randomServers{delays: delays, faults: faults}
			backends.unresponsive = unresponsive
			fence := &closedQuarantine{}
			var evacuated atomic.Bool
			fleet := fakeFleet{listed: listed, announcedLeaving: map[id.BackendServer]bool{}, evacuated: func(server id.BackendServer) bool { return evacuated.Load() && server != "four" }}
			rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fleet, Limits: limits, Quarantine: fence, Retries: retry.New(retry.Config{MaxAttempts: 5, InitialBudget: budget}, 1)})
			defer time.AfterFunc(rejectAfter, rn.RejectWaiting).Stop()
			abortAt := rejectAfter + abortAfter
			defer time.AfterFunc(abortAt, rn.Abort).Stop()
			defer time.AfterFunc(abortAt+cutOffAfter, rn.CutOff).Stop()
			defer time.AfterFunc(evacuateAfter, func() { evacuated.Store(true) }).Stop()
			defer time.AfterFunc(quarantineAfter, func() { fence.closed.Store(true) }).Stop()
			client := &fakeClient{}
			now := time.Now()
			request := &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(deadlineAfter), Route: rot}
			if hasPrompt {
				request.PromptTokens = 1000
			}
			result := rn.Run(t.Context(), request, client)
			took := time.Since(now)
			ran := backends.ran.Load()
			limit := min(deadlineAfter, abortAt)
			if result.HeadSent {
				limit = min(deadlineAfter, abortAt+cutOffAfter)
			}
			time.Sleep(10 * time.Second)
			held := findHeld(&dispatcher.heldDispatcher, &backends.failoverServers)
			switch {
			case took > limit+10*time.Millisecond:
				violation = errors.Errorf("ended after %s: %+v", took, result)
			case result.TimeToFirstByte > abortAt+10*time.Millisecond:
				violation = errors.Errorf("began after the abort: %+v", result)
			case result.PassedOn == 0 && took > deadlineAfter-arrivalTime:
				violation = errors.Errorf("refused after %s, too late to arrive: %+v", took, result)
			case !result.HeadSent && result.Outcome.Reason == "":
				violation = errors.Errorf("neither a response nor an outcome: %+v", result)
			case result.HeadSent != (result.Status != 0):
				violation = errors.Errorf("no status: %+v", result)
			case !result.HeadSent && client.body.Len() > 0:
				violation = errors.Errorf("an outcome after %q", client.body.String())
			case !result.HeadSent && result.Outcome.Kind == outcome.Refused && ran > 0:
				violation = errors.Errorf("refused, and ran %d times: %+v", ran, result)
			case !result.HeadSent && result.Outcome.Kind == outcome.Refused && result.Outcome.RetryAfter <= 0 && result.Outcome.Reason != outcome.Quarantined:
				violation = errors.Errorf("refused without a time to return: %+v", result)
			case !rot.Repeatable() && ran > 1, ran > int64(rot.MaxAttempts):
				violation = errors.Errorf("ran %d times", ran)
			case backends.overlap.Load() > 2, !rot.Repeatable() && backends.overlap.Load() > 1:
				violation = errors.Errorf("ran %d times at once", backends.overlap.Load())
			case !strings.HasPrefix("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", client.body.String()) && client.body.String() != "error":
				violation = errors.Errorf("delivered %q", client.body.String())
			case held != nil:
				violation = held
			case backends.running.Load() > 0:
				violation = errors.New("an attempt runs on")
			}
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}
