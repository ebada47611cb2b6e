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

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// failoverServers responds to the engine "one" with a stream that falls silent, and to all others as a test says. It counts
// the streams that are open and the memory that is reserved.
type failoverServers struct {
	fakeServers
	first slowBody
	// second responds on all other engines.
	second func(context.Context, forward.Attempt) (forward.Response, error)
	// reserve grants memory; nil if all engines grant it.
	reserve func(address string) (bool, error)
	// unresponsive makes the engine "one" respond to no probe while it is silent, from silentFrom on.
	unresponsive bool
	silentFrom   time.Time
	// scripted makes second respond on the engine "one" too.
	scripted bool

	mutex sync.Mutex
	// reserved holds when the memory of a ticket expires.
	reserved map[string]time.Time
	open     int
	maxOpen  int
}

func (fs *failoverServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	fs.mutex.Lock()
	fs.sentTo = append(fs.sentTo, attempt.Address)
	fs.mutex.Unlock()
	response := forward.Response{}
	if attempt.Address == "one:80" && !fs.scripted {
		body := fs.first
		body.ctx = ctx
		response = streamResponse(&body)
	} else {
		var err error
		if response, err = fs.second(ctx, attempt); err != nil {
			return forward.Response{}, err
		}
	}
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	fs.open++
	fs.maxOpen = max(fs.maxOpen, fs.open)
	response.Body = &countedBody{ReadCloser: response.Body, servers: fs}
	return response, nil
}

func (fs *failoverServers) ProbeHTTP(_ context.Context, address string) forward.ProbeResult {
	if fs.unresponsive && address == "one:80" && !time.Now().Before(fs.silentFrom) {
		return forward.Unresponsive
	}
	return forward.Reachable
}

func (fs *failoverServers) Reserve(_ context.Context, part batch.Part, ttl time.Duration) (bool, error) {
	if fs.reserve != nil {
		if ok, err := fs.reserve(part.Address); !ok || err != nil {
			return ok, err
		}
	}
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	if fs.reserved == nil {
		fs.reserved = map[string]time.Time{}
	}
	fs.reserved[part.Ticket] = time.Now().Add(ttl)
	return true, nil
}

func (fs *failoverServers) Release(_ context.Context, part batch.Part) error {
	fs.mutex.Lock()
	defer fs.mutex.Unlock()
	delete(fs.reserved, part.Ticket)
	return nil
}

// countedBody is a body that counts as open until it is closed.
type countedBody struct {
	io.ReadCloser
	servers *failoverServers
	once    sync.Once
}

func (cb *countedBody) Close() error {
	cb.once.Do(func() {
		cb.servers.mutex.Lock()
		defer cb.servers.mutex.Unlock()
		cb.servers.open--
	})
	return cb.ReadCloser.Close()
}

// streamResponse returns a response with a stream of events.
func streamResponse(body io.ReadCloser) forward.Response {
	return forward.Response{Status: http.StatusOK, Length: -1, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: body}
}

// streamOf returns a function that responds with a stream.
func streamOf(body slowBody) func(context.Context, forward.Attempt) (forward.Response, error) {
	return func(ctx context.Context, _ forward.Attempt) (forward.Response, error) {
		body := body
		body.ctx = ctx
		return streamResponse(&body), nil
	}
}

// heldDispatcher is a fakeDispatcher that knows the grants that are held.
type heldDispatcher struct {
	mutex sync.Mutex
	fakeDispatcher
	held map[id.Attempt]bool
	// onGrant is called with the number of grants so far.
	onGrant func(count int)
}

func (hd *heldDispatcher) Acquire(ctx context.Context, grantRequest broker.GrantRequest) (batch.Grant, outcome.Outcome) {
	hd.mutex.Lock()
	defer hd.mutex.Unlock()
	grant, oc := hd.fakeDispatcher.Acquire(ctx, grantRequest)
	if oc.OK() {
		if hd.held == nil {
			hd.held = map[id.Attempt]bool{}
		}
		hd.held[grant.Attempt] = true
		if hd.onGrant != nil {
			hd.onGrant(len(hd.held))
		}
	}
	return grant, oc
}

func (hd *heldDispatcher) ReportEnded(ended broker.EndedGrant) {
	hd.mutex.Lock()
	defer hd.mutex.Unlock()
	hd.held[ended.Attempt] = false
	hd.fakeDispatcher.ReportEnded(ended)
}

// findHeld returns an error if a grant, memory or a stream is left.
func findHeld(dispatcher *heldDispatcher, backends *failoverServers) error {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for attempt, held := range dispatcher.held {
		if held {
			return errors.Errorf("the grant %s is held", attempt)
		}
	}
	backends.mutex.Lock()
	defer backends.mutex.Unlock()
	for ticket, expiresAt := range backends.reserved {
		if time.Now().Before(expiresAt) {
			return errors.Errorf("memory is reserved under %q", ticket)
		}
	}
	if backends.open > 0 {
		return errors.Errorf("%d streams are open", backends.open)
	}
	return nil
}

// closedQuarantine bars every content once it is closed.
type closedQuarantine struct {
	emptyQuarantine
	closed atomic.Bool
}

func (cq *closedQuarantine) Judge(quarantine.Content) quarantine.Verdict {
	if cq.closed.Load() {
		return quarantine.Verdict{Decision: quarantine.Refuse}
	}
	return quarantine.Verdict{Decision: quarantine.Run}
}

// reservedGrantOn returns a grant on one engine with memory to reserve.
func reservedGrantOn(attempt, engine string) batch.Grant {
	grant := grantOn(attempt, engine)
	grant.Parts[0].Ticket, grant.Parts[0].MemoryTokens = "ticket "+attempt, 1000
	return grant
}

// failoverRoute is a route whose clients wait for 2.4 s.
var failoverRoute = route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond}

// TestFailedFailoverKeepsStreamOfSoundEngine guards against answers that are cut because a stream at a sound engine, which
// is only silent for a time, is given up for an engine that then fails.
func TestFailedFailoverKeepsStreamOfSoundEngine(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	const silence = 2300 * time.Millisecond
	respond := func(response forward.Response) func(context.Context, forward.Attempt) (forward.Response, error) {
		return func(context.Context, forward.Attempt) (forward.Response, error) {
			response := response
			if response.Body == nil {
				response.Body = http.NoBody
			}
			return response, nil
		}
	}
	fail := func(err error) func(context.Context, forward.Attempt) (forward.Response, error) {
		return func(context.Context, forward.Attempt) (forward.Response, error) { return forward.Response{}, err }
	}
	resumes := streamOf(slowBody{chunks: []chunk{{0, event2}, {0, event3}}})
	for _, tc := range []struct {
		name    string
		second  func(context.Context, forward.Attempt) (forward.Response, error)
		reserve func(address string) (bool, error)
		// leaving, evacuated and quarantined say what becomes of the second engine or the content as it is granted.
		leaving, evacuated, quarantined bool
	}{
		{name: "refuses", second: respond(forward.Response{Status: http.StatusServiceUnavailable, NotRun: true})},
		{name: "is another server", second: respond(forward.Response{Status: http.StatusMisdirectedRequest, NotRun: true, Misdirected: true})},
		{name: "has an error", second: respond(forward.Response{Status: http.StatusInternalServerError})},
		{name: "rejects the request", second: respond(forward.Response{Status: http.StatusBadRequest})},
		{name: "sends no stream", second: respond(forward.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/html"}}, Body: io.NopCloser(strings.NewReader("<html>"))})},
		{name: "sends an empty stream", second: streamOf(slowBody{})},
		{name: "sends only a comment", second: streamOf(slowBody{chunks: []chunk{{0, ": here\n\n"}}})},
		{name: "starts from the beginning", second: streamOf(slowBody{chunks: []chunk{{0, "id: 0\ndata: z\n\n"}, {0, event1}, {0, event2}, {0, event3}}})},
		{name: "breaks off before an event", second: streamOf(slowBody{truncated: true})},
		{name: "breaks off inside an event", second: streamOf(slowBody{chunks: []chunk{{0, "id: 2\ndata"}}, truncated: true})},
		{name: "falls silent", second: streamOf(slowBody{repeated: chunk{time.Hour, "x"}})},
		{name: "can't be sent to", second: fail(forward.ErrNotSent)},
		{name: "refuses the connection", second: fail(errors.Wrap(errors.Join(forward.ErrNotSent, forward.ErrConnectionRefused), "send"))},
		{name: "can't be reached by any host", second: fail(errors.Join(forward.ErrNotSent, forward.ErrUndetermined))},
		{name: "closes the connection", second: fail(io.ErrUnexpectedEOF)},
		{name: "has no memory", second: resumes, reserve: func(address string) (bool, error) { return address == "one:80", nil }},
		{name: "can't be asked for memory", second: resumes, reserve: func(address string) (bool, error) {
			if address == "one:80" {
				return true, nil
			}
			return false, errors.Join(forward.ErrNotSent, forward.ErrUndetermined)
		}},
		{name: "is leaving", second: resumes, leaving: true},
		{name: "is evacuated", second: resumes, evacuated: true},
		{name: "content is quarantined", second: resumes, quarantined: true},
	} {
		for _, unresponsive := range []bool{false, true} {
			for _, begun := range []bool{true, false} {
				name := tc.name + map[bool]string{true: "/unresponsive", false: "/stalled"}[unresponsive] + map[bool]string{true: "/within the stream", false: "/before the first event"}[begun]
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var granted atomic.Bool
						fence := &closedQuarantine{}
						dispatcher := &heldDispatcher{onGrant: func(count int) {
							granted.Store(count > 1)
							fence.closed.Store(count > 1 && tc.quarantined)
						}}
						dispatcher.grants = []batch.Grant{reservedGrantOn("1", "one"), reservedGrantOn("2", "two")}
						first := slowBody{chunks: []chunk{{0, event1}, {silence, event2}, {0, event3}}}
						if !begun {
							first = slowBody{chunks: []chunk{{silence, event1}, {0, event2}, {0, event3}}}
						}
						backends := &failoverServers{first: first, second: tc.second, reserve: tc.reserve, unresponsive: unresponsive}
						fleet := fakeFleet{
							listedAsLeaving: map[id.BackendServer]bool{"two": tc.leaving}, announcedLeaving: map[id.BackendServer]bool{},
							evacuated: func(server id.BackendServer) bool { return tc.evacuated && granted.Load() && server == "two" },
						}
						rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fleet, Quarantine: fence, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
						client := &fakeClient{}
						now := time.Now()
						result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
						if !begun && tc.name == "starts from the beginning" {
							// The second engine is right to start from the beginning, and nothing fails.
							assert.Assert(t, result.Complete, "%+v", result)
							return
						}
						assert.Assert(t, result.Complete, "%+v", result)
						assert.Equal(t, client.body.String(), event1+event2+event3)
						time.Sleep(10 * time.Second)
						assert.NilError(t, findHeld(dispatcher, backends))
					})
				})
			}
		}
	}
}

// engineScript says how an engine runs a stream: the delays before its events, and what it does instead of the event with
// the index failsAt.
type engineScript struct {
	delays  []time.Duration
	failsAt int
	fault   string
}

// scriptedFaults are the faults of an engineScript. Those in front of "breaks off" happen before the stream begins.
var scriptedFaults = []string{"refuses", "has an error", "can't be sent to", "closes the connection", "breaks off", "ends", "falls silent", "repeats an event", "sends a comment"}

func drawScript(rt *rapid.T, name string, events int) engineScript {
	pauses := []time.Duration{0, 0, 100 * time.Millisecond, 700 * time.Millisecond, 1430 * time.Millisecond, 1440 * time.Millisecond, 1450 * time.Millisecond, 2300 * time.Millisecond}
	script := engineScript{failsAt: rapid.IntRange(0, 2*events).Draw(rt, name+" fails at"), fault: rapid.SampledFrom(scriptedFaults).Draw(rt, name+" fault")}
	for range events {
		script.delays = append(script.delays, rapid.SampledFrom(pauses).Draw(rt, name+" delay"))
	}
	return script
}

// respond runs the script for the events from the index first on.
func (es engineScript) respond(ctx context.Context, events []string, first int) (forward.Response, error) {
	body := &slowBody{ctx: ctx}
	for ix := first; ix < len(events); ix++ {
		if ix < es.failsAt {
			body.chunks = append(body.chunks, chunk{es.delays[ix], events[ix]})
			continue
		}
		switch es.fault {
		case "refuses":
			return forward.Response{Status: http.StatusServiceUnavailable, NotRun: true, Body: http.NoBody}, nil
		case "has an error":
			return forward.Response{Status: http.StatusInternalServerError, Body: http.NoBody}, nil
		case "can't be sent to":
			return forward.Response{}, forward.ErrNotSent
		case "closes the connection":
			return forward.Response{}, io.ErrUnexpectedEOF
		case "breaks off":
			body.truncated = true
		case "ends":
			body.truncated = ix > first
		case "falls silent":
			body.repeated = chunk{time.Hour, "x"}
		case "repeats an event":
			if ix == first && ix > 0 {
				body.chunks = append(body.chunks, chunk{0, events[ix-1]})
			}
			body.truncated = true
		case "sends a comment":
			body.chunks = append(body.chunks, chunk{es.delays[ix], ": here\n\n"}, chunk{es.delays[ix], events[ix]})
			continue
		}
		break
	}
	return streamResponse(body), nil
}

// TestRandomFailovers runs streams at engines that pause and fail at random. The client must get the events once and in
// order, and all of them if the first engine is sound and no other one had an event that it could go on with. No more engines than
// the route allows may run the request, and nothing may stay held.
func TestRandomFailovers(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"}
	rapid.Check(t, func(rt *rapid.T) {
		engines := []string{"one", "two", "three", "four"}
		scripts := map[string]engineScript{}
		for _, engine := range engines {
			scripts[engine+":80"] = drawScript(rt, engine, len(events))
		}
		granted := rapid.IntRange(1, len(engines)).Draw(rt, "grants")
		streamRoute := failoverRoute
		streamRoute.MaxAttempts = rapid.IntRange(1, 3).Draw(rt, "attempts")
		streamRoute.Resumable = rapid.Bool().Draw(rt, "resumable")
		unresponsive := rapid.Bool().Draw(rt, "unresponsive")
		refusesMemory := rapid.SampledFrom([]string{"", "two:80", "three:80"}).Draw(rt, "refuses memory")
		var violation error
		synctest.Test(t, func(t *testing.T) {
			dispatcher := &heldDispatcher{}
			for _, engine := range engines[:granted] {
				dispatcher.grants = append(dispatcher.grants, reservedGrantOn(engine, engine))
			}
			var ran atomic.Int64
			var otherWentOn atomic.Bool
			respond := func(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
				first := 0
				if attempt.ResumeAfter != "" {
					first = int(attempt.ResumeAfter[0] - '0')
				}
				script := scripts[attempt.Address]
				if attempt.Address != "one:80" && (script.failsAt > first || script.fault == "sends a comment") {
					otherWentOn.Store(true)
				}
				response, err := script.respond(ctx, events, first)
				if !response.NotRun && !errors.Is(err, forward.ErrNotSent) {
					ran.Add(1)
				}
				return response, err
			}
			backends := &failoverServers{second: respond, unresponsive: unresponsive, scripted: true, reserve: func(address string) (bool, error) { return address != refusesMemory, nil }}
			rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 5, InitialBudget: 100}, 1)})
			client := &fakeClient{}
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(20 * time.Second), Route: streamRoute}, client)
			body := strings.ReplaceAll(client.body.String(), ": here\n\n", "")
			whole := strings.Join(events, "")
			sound := scripts["one:80"].failsAt >= len(events)
			took := time.Since(now)
			time.Sleep(10 * time.Second)
			switch held := findHeld(dispatcher, backends); {
			case !strings.HasPrefix(whole, body):
				violation = errors.Errorf("delivered %q, which is not a prefix of the answer", body)
			case result.Complete && result.Status == http.StatusOK && body != "" && body != whole:
				violation = errors.Errorf("finished with the incomplete answer %q", body)
			case sound && !otherWentOn.Load() && body != whole:
				violation = errors.Errorf("cut the answer of a sound engine after %q: %+v", body, result)
			case ran.Load() > int64(streamRoute.MaxAttempts) || backends.maxOpen > 2:
				violation = errors.Errorf("ran on %d engines, %d at a time", ran.Load(), backends.maxOpen)
			case !streamRoute.Resumable && backends.maxOpen > 1:
				violation = errors.Errorf("ran twice")
			case took > 21*time.Second:
				violation = errors.Errorf("took %s", took)
			case held != nil:
				violation = held
			}
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// TestStreamThatCantBeResumedStaysAtItsEngine guards against answers that are cut because a stream is given up for another
// engine although no request can ask that one to go on after the last event, which has no id.
func TestStreamThatCantBeResumedStaysAtItsEngine(t *testing.T) {
	const event1, unnumbered, event2 = "id: 1\ndata: a\n\n", "data: x\n\n", "id: 2\ndata: b\n\n"
	for _, unresponsive := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			dispatcher := &heldDispatcher{}
			dispatcher.grants = []batch.Grant{reservedGrantOn("1", "one"), reservedGrantOn("2", "two")}
			backends := &failoverServers{
				first:  slowBody{chunks: []chunk{{0, event1}, {0, unnumbered}, {2300 * time.Millisecond, event2}}},
				second: streamOf(slowBody{chunks: []chunk{{0, event2}}}), unresponsive: unresponsive,
			}
			rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
			client := &fakeClient{}
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
			assert.Assert(t, result.Complete, "%+v", result)
			assert.Equal(t, client.body.String(), event1+unnumbered+event2)
			assert.Equal(t, len(backends.sentTo), 1)
			time.Sleep(10 * time.Second)
			assert.NilError(t, findHeld(dispatcher, backends))
		})
	}
}
