package forward_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// changedTimeout is the longest timeout that a route has had, which a change lengthens.
type changedTimeout struct {
	mutex   sync.Mutex
	longest time.Duration
}

func (ct *changedTimeout) set(timeout time.Duration) {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	ct.longest = timeout
}

func (ct *changedTimeout) get() time.Duration {
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	return ct.longest
}

// deadlineServers records the time that each attempt hands to its server, and breaks a stream off when that time is over.
type deadlineServers struct {
	*streamingServers
	handed []time.Duration
}

func (ds *deadlineServers) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	ds.mutex.Lock()
	ds.handed = append(ds.handed, attempt.Remaining)
	ds.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, attempt.Remaining)
	response, err := ds.streamingServers.Send(ctx, attempt)
	context.AfterFunc(ctx, cancel)
	return response, err
}

// TestResponseThatHasBegunKeepsLongerTimeout guards against responses that are cut at the timeout of their arrival although
// a longer one has been put in force since. Requests without a response end at that of their arrival.
func TestResponseThatHasBegunKeepsLongerTimeout(t *testing.T) {
	const (
		event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
		timeout        = time.Second
		changeAt       = 600 * time.Millisecond
		clientTime     = 10 * time.Second
	)
	prompt := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1, TargetLatency: time.Second, Timeout: timeout}
	plainStream := route.Route{Kind: route.Streaming, MaxAttempts: 1, Timeout: timeout}
	order := route.Route{Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: timeout}
	large := strings.Repeat("x", int(forward.DefaultConfig().ResponseBufferBytes)+1)
	for name, tc := range map[string]struct {
		route      route.Route
		chunks     []chunk
		changedTo  time.Duration
		clientTime time.Duration
		// wantBody is what the client gets, wantComplete says that this is all, wantTook is when the request ends.
		wantBody     string
		wantComplete bool
		wantTook     time.Duration
		wantHanded   time.Duration
	}{
		"stream":                                 {prompt, []chunk{{0, event1}, {2 * time.Second, event2}}, 3 * time.Second, clientTime, event1 + event2, true, 2 * time.Second, clientTime},
		"plain stream":                           {plainStream, []chunk{{0, event1}, {2 * time.Second, event2}}, 3 * time.Second, clientTime, event1 + event2, true, 2 * time.Second, clientTime},
		"no limit any more":                      {prompt, []chunk{{0, event1}, {5 * time.Second, event2}}, 0, clientTime, event1 + event2, true, 5 * time.Second, clientTime},
		"stream that outlasts the longest":       {prompt, []chunk{{0, event1}, {4 * time.Second, event2}}, 3 * time.Second, clientTime, event1, false, 3 * time.Second, clientTime},
		"stream that outlasts its client":        {prompt, []chunk{{0, event1}, {4 * time.Second, event2}}, 3 * time.Second, 2 * time.Second, event1, false, 2 * time.Second, 2 * time.Second},
		"no change":                              {prompt, []chunk{{0, event1}, {2 * time.Second, event2}}, timeout, clientTime, event1, false, timeout, clientTime},
		"stream without an event":                {prompt, []chunk{{2 * time.Second, event1}}, 3 * time.Second, clientTime, "", false, timeout, clientTime},
		"order without an answer":                {order, []chunk{{2 * time.Second, event1}}, 3 * time.Second, clientTime, "", false, timeout, timeout},
		"order whose answer fits into no buffer": {order, []chunk{{0, large}, {300 * time.Millisecond, "end"}}, 3 * time.Second, clientTime, large + "end", true, 300 * time.Millisecond, timeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := newServer("one", time.Hour)
				body := slowBody{chunks: tc.chunks}
				servers := &deadlineServers{streamingServers: &streamingServers{bodyByAddress: map[string]slowBody{"one:80": body, server.Address: body}}}
				var sender forward.Sender = servers
				if tc.route.Kind != route.Streaming {
					sender = &splitReads{servers}
				}
				rn := newRunner(forward.Dependencies{
					Sender: sender, Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}},
					Fleet: fakeFleet{listed: []serverlist.Server{server}},
				})
				longest := &changedTimeout{longest: timeout}
				time.AfterFunc(changeAt, func() { longest.set(tc.changedTo) })
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{
					ID: "request", Service: server.Service, PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(tc.clientTime), Route: tc.route, LongestTimeout: longest.get,
				}, client)
				assert.Equal(t, result.Complete, tc.wantComplete, "%+v", result)
				assert.Assert(t, client.body.String() == tc.wantBody, "%d bytes", client.body.Len())
				assert.Equal(t, time.Since(now), tc.wantTook)
				assert.DeepEqual(t, servers.handed, []time.Duration{tc.wantHanded})
				if tc.wantBody == "" {
					assert.Equal(t, result.Outcome.Reason, outcome.DeadlineExceeded)
				}
			})
		})
	}
}

// TestStreamFailsOverInLongerTimeout guards against streams that are cut although another engine can take them, because the
// timeout of their arrival has passed while a longer one is in force.
func TestStreamFailsOverInLongerTimeout(t *testing.T) {
	const event1, event2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	const timeout, longer, clientTime = time.Second, 5 * time.Second, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		one, two := newServer("one", time.Hour), newServer("two", time.Hour)
		servers := &deadlineServers{streamingServers: &streamingServers{
			truncatedAddress: "one:80",
			bodyByAddress:    map[string]slowBody{"one:80": {chunks: []chunk{{0, event1}, {1500 * time.Millisecond, ": still here\n\n"}}}, "two:80": {chunks: []chunk{{0, event2}}}},
		}}
		rn := newRunner(forward.Dependencies{
			Sender: servers, Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}},
			Fleet: fakeFleet{listed: []serverlist.Server{one, two}},
		})
		client := &fakeClient{}
		now := time.Now()
		result := rn.Run(t.Context(), &forward.Request{
			ID: "request", Service: one.Service, PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(clientTime), LongestTimeout: func() time.Duration { return longer },
			Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: 2, TargetLatency: time.Second, Timeout: timeout},
		}, client)
		assert.Assert(t, result.Complete, "%+v", result)
		assert.Assert(t, strings.HasSuffix(client.body.String(), event2), "%q", client.body.String())
		assert.Equal(t, len(servers.handed), 2)
		assert.Equal(t, servers.handed[1], clientTime-time.Since(now))
	})
}

// splitReads makes each chunk of a body arrive in reads of any size.
type splitReads struct{ *deadlineServers }

func (sr *splitReads) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	response, err := sr.deadlineServers.Send(ctx, attempt)
	response.Header.Set("Content-Type", "text/plain")
	response.Body = &splittingBody{slowBody: response.Body.(*slowBody)}
	return response, err
}
