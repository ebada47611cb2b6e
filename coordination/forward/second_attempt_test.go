package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// secondServers responds slowly at the server "one", and at all others as a test says.
type secondServers struct {
	fakeServers
	delay  time.Duration
	second func(context.Context) (forward.Response, error)

	mutex         sync.Mutex
	open, maxOpen int
}

func (ss *secondServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	ss.mutex.Lock()
	ss.sentTo = append(ss.sentTo, attempt.Address)
	ss.open++
	ss.maxOpen = max(ss.maxOpen, ss.open)
	ss.mutex.Unlock()
	defer func() {
		ss.mutex.Lock()
		defer ss.mutex.Unlock()
		ss.open--
	}()
	if attempt.Address != "one" {
		return ss.second(ctx)
	}
	select {
	case <-time.After(ss.delay):
		return forward.Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(strings.NewReader("from one"))}, nil
	case <-ctx.Done():
		return forward.Response{}, ctx.Err()
	}
}

// TestFailedSecondServerKeepsSlowAnswer guards against answers that are lost because a sound server, which is only slow, is
// given up for one that then fails.
func TestFailedSecondServerKeepsSlowAnswer(t *testing.T) {
	const requestTimeout = 800 * time.Millisecond
	respond := func(status int, body string) func(context.Context) (forward.Response, error) {
		return func(context.Context) (forward.Response, error) {
			return forward.Response{Status: status, Length: -1, Body: io.NopCloser(strings.NewReader(body))}, nil
		}
	}
	for _, tc := range []struct {
		name      string
		second    func(context.Context) (forward.Response, error)
		kind      route.Kind
		want      string
		wantSends int
	}{
		{name: "answers", second: respond(http.StatusOK, "from two"), want: "from two", wantSends: 2},
		{name: "refuses", second: func(context.Context) (forward.Response, error) {
			return forward.Response{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
		}},
		{name: "is another server", second: func(context.Context) (forward.Response, error) {
			return forward.Response{Status: http.StatusMisdirectedRequest, NotRun: true, Misdirected: true, Body: http.NoBody}, nil
		}},
		{name: "has an error", second: respond(http.StatusInternalServerError, "failed")},
		{name: "has a long error", second: respond(http.StatusInternalServerError, strings.Repeat("x", 100_000))},
		{name: "can't be sent to", second: func(context.Context) (forward.Response, error) { return forward.Response{}, forward.ErrNotSent }},
		{name: "closes the connection", second: func(context.Context) (forward.Response, error) { return forward.Response{}, io.ErrUnexpectedEOF }},
		{name: "breaks off", second: func(ctx context.Context) (forward.Response, error) {
			return forward.Response{Status: http.StatusOK, Length: -1, Body: &slowBody{ctx: ctx, chunks: []chunk{{0, "fr"}}, truncated: true}}, nil
		}},
		{name: "is slower", second: func(ctx context.Context) (forward.Response, error) {
			<-ctx.Done()
			return forward.Response{}, ctx.Err()
		}},
		{name: "answers in part before the first", second: func(ctx context.Context) (forward.Response, error) {
			return forward.Response{Status: http.StatusOK, Length: -1, Body: &slowBody{ctx: ctx, chunks: []chunk{{0, "fr"}, {time.Hour, "om two"}}}}, nil
		}},
		{name: "may not be tried", second: respond(http.StatusOK, "from two"), kind: route.NonIdempotent, wantSends: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one, two := serverlist.Server{ID: "one", Address: "one"}, serverlist.Server{ID: "two", Address: "two"}
				backends := &secondServers{delay: 600 * time.Millisecond, second: tc.second}
				balancer := balance.New("", 1)
				balancer.EndRequest(time.Now(), two, balance.ErrorResponse, nil, time.Millisecond)
				rn := newRunner(forward.Dependencies{
					Sender: backends, Fleet: fakeFleet{listed: []serverlist.Server{one, two}, announcedLeaving: map[id.BackendServer]bool{}}, Balancer: balancer,
					Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 10}, 1),
				})
				kind := route.Idempotent
				if tc.kind != 0 {
					kind = tc.kind
				}
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(requestTimeout), Route: route.Route{Kind: kind, MaxAttempts: 2}}, client)
				if tc.want == "" {
					tc.want = "from one"
				}
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, result.Status, http.StatusOK)
				assert.Equal(t, client.body.String(), tc.want)
				if tc.wantSends > 0 {
					assert.Equal(t, len(backends.sentTo), tc.wantSends)
				}
				assert.Assert(t, backends.maxOpen <= 2)
				synctest.Wait()
				assert.Equal(t, backends.open, 0)
			})
		})
	}
}

// TestRandomSecondAttempts sends requests to servers that are slow and fail at random. The client must get one whole answer
// or none, and that of a sound server if it comes in time. No more servers than the route allows may run the request.
func TestRandomSecondAttempts(t *testing.T) {
	const requestTimeout = 800 * time.Millisecond
	faults := []string{"", "", "refuses", "has an error", "can't be sent to", "closes the connection", "breaks off", "falls silent"}
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"one", "two", "three", "four"}
		fault, delay, bodyDelay := map[string]string{}, map[string]time.Duration{}, map[string]time.Duration{}
		for _, name := range names {
			fault[name] = rapid.SampledFrom(faults).Draw(rt, name)
			delay[name] = time.Duration(rapid.SampledFrom([]int{0, 10, 350, 400, 450, 600, 750}).Draw(rt, name+" delay")) * time.Millisecond
			bodyDelay[name] = time.Duration(rapid.SampledFrom([]int{0, 0, 40}).Draw(rt, name+" body delay")) * time.Millisecond
		}
		length := rapid.SampledFrom([]int{3, 40_000}).Draw(rt, "length")
		rot := route.Route{Kind: rapid.SampledFrom([]route.Kind{route.Idempotent, route.NonIdempotent}).Draw(rt, "kind"), MaxAttempts: rapid.IntRange(1, 3).Draw(rt, "attempts")}
		var violation error
		synctest.Test(t, func(t *testing.T) {
			var ran, open, maxOpen atomic.Int64
			answers := map[string]string{}
			for _, name := range names {
				answers[name] = strings.Repeat(name[:1], length)
			}
			backends := &scriptedBackends{send: func(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
				name := attempt.Address
				maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
				defer open.Add(-1)
				select {
				case <-time.After(delay[name]):
				case <-ctx.Done():
					ran.Add(1)
					return forward.Response{}, ctx.Err()
				}
				switch fault[name] {
				case "refuses":
					return forward.Response{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
				case "can't be sent to":
					return forward.Response{}, forward.ErrNotSent
				}
				ran.Add(1)
				body := &slowBody{ctx: ctx}
				for rest := answers[name]; rest != ""; rest = rest[min(len(rest), 512):] {
					body.chunks = append(body.chunks, chunk{0, rest[:min(len(rest), 512)]})
				}
				body.chunks[len(body.chunks)-1].delay = bodyDelay[name]
				switch fault[name] {
				case "closes the connection":
					return forward.Response{}, io.ErrUnexpectedEOF
				case "has an error":
					return forward.Response{Status: http.StatusInternalServerError, Length: -1, Body: body}, nil
				case "breaks off":
					body.truncated = true
				case "falls silent":
					body.chunks = nil
					body.repeated = chunk{time.Hour, "x"}
				}
				return forward.Response{Status: http.StatusOK, Length: -1, Body: body}, nil
			}}
			var listed []serverlist.Server
			balancer := balance.New("", 1)
			for ix, name := range names {
				server := serverlist.Server{ID: id.BackendServer(name), Address: name}
				listed = append(listed, server)
				for range ix {
					balancer.EndRequest(time.Now(), server, balance.ErrorResponse, nil, time.Millisecond)
				}
			}
			rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fakeFleet{listed: listed, announcedLeaving: map[id.BackendServer]bool{}}, Balancer: balancer, Retries: retry.New(retry.Config{MaxAttempts: 5, InitialBudget: 10}, 1)})
			client := &fakeClient{}
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", ArrivedAt: now, Deadline: now.Add(requestTimeout), Route: rot}, client)
			took := time.Since(now)
			synctest.Wait()
			first := backends.first()
			firstIsSound := fault[first] == "" && delay[first]+bodyDelay[first] < requestTimeout
			body := client.body.String()
			whole, part := false, body == ""
			for _, answer := range answers {
				whole = whole || body == answer
				part = part || strings.HasPrefix(answer, body)
			}
			switch {
			case !part || result.Complete && result.Status == http.StatusOK && !whole:
				violation = errors.Errorf("delivered %d bytes: %+v", len(body), result)
			case firstIsSound && length < 1000 && !(whole && result.Status == http.StatusOK):
				violation = errors.Errorf("lost the answer of the sound server %s: %+v", first, result)
			case ran.Load() > int64(rot.MaxAttempts) || rot.Kind == route.NonIdempotent && (ran.Load() > 1 || maxOpen.Load() > 1):
				violation = errors.Errorf("ran %d times", ran.Load())
			case maxOpen.Load() > 2 || open.Load() > 0:
				violation = errors.Errorf("%d attempts at a time, %d left", maxOpen.Load(), open.Load())
			case took > requestTimeout+time.Millisecond:
				violation = errors.Errorf("took %s", took)
			}
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// scriptedBackends sends requests as a test says.
type scriptedBackends struct {
	fakeServers
	send func(context.Context, forward.Attempt) (forward.Response, error)

	mutex sync.Mutex
}

func (sb *scriptedBackends) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	sb.mutex.Lock()
	sb.sentTo = append(sb.sentTo, attempt.Address)
	sb.mutex.Unlock()
	return sb.send(ctx, attempt)
}

// first returns the address to which the first attempt was sent.
func (sb *scriptedBackends) first() string {
	sb.mutex.Lock()
	defer sb.mutex.Unlock()
	return sb.sentTo[0]
}
