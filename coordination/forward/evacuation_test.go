package forward_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

var chatRoute = route.Route{Name: "chat", Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2, TargetLatency: time.Second}

// TestGrantOnEvacuatedEngine checks that nothing is sent under a grant with an evacuated engine, also if that engine is only
// a helper and however old the list is. The engine has no fault, and from then on the dispatcher is told to leave out all
// evacuated engines for the request.
func TestGrantOnEvacuatedEngine(t *testing.T) {
	dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "out"), grantOn("2", "here", "out"), grantOn("3", "here")}}
	backends := &scriptedServers{}
	fleet := fakeFleet{
		listed:    []serverlist.Server{{ID: "out", Address: "out:80"}, {ID: "here", Address: "here:80"}, {ID: "out-2", Address: "out-2:80"}},
		evacuated: func(server id.BackendServer) bool { return server == "out" || server == "out-2" }, age: time.Hour,
	}
	rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fleet})
	result := runRequest(t, rn, 1, chatRoute)
	assert.Assert(t, result.Complete, "%+v", result)
	assert.Equal(t, backends.count("out:80"), 0)
	assert.Equal(t, backends.count("here:80"), 1)
	for _, ended := range dispatcher.ended[:2] {
		assert.Equal(t, ended.FailedEngine, id.Engine("out"))
		assert.Equal(t, ended.Fault, batch.NoFault)
	}
	assert.Equal(t, len(dispatcher.backoffs[0]), 0)
	for _, backoffs := range dispatcher.backoffs[1:] {
		assert.Equal(t, len(backoffs), 2)
		assert.Assert(t, backoffs["out"].After(time.Now()) && backoffs["out-2"].After(time.Now()))
	}
}

// TestEvacuationWhileMemoryIsReserved checks that a request is not sent whose engine is evacuated while this host waits for
// the memory, that the memory is released, and that a running answer goes on.
func TestEvacuationWhileMemoryIsReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := grantOn("1", "one"), grantOn("2", "two")
		first.Parts[0].Ticket, second.Parts[0].Ticket = "ticket-1", "ticket-2"
		dispatcher := &fakeDispatcher{grants: []batch.Grant{first, second}}
		backends := &delayedServers{reserveTime: 100 * time.Millisecond, answerTime: 700 * time.Millisecond}
		var evacuated atomic.Value
		evacuated.Store(id.BackendServer(""))
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{evacuated: func(server id.BackendServer) bool { return server == evacuated.Load() }}})
		time.AfterFunc(50*time.Millisecond, func() { evacuated.Store(id.BackendServer("one")) })
		time.AfterFunc(500*time.Millisecond, func() { evacuated.Store(id.BackendServer("two")) })
		result := runRequest(t, rn, 1, chatRoute)
		assert.Assert(t, result.Complete, "%+v", result)
		assert.Equal(t, len(backends.sendTimes), 1)
		assert.Equal(t, result.Server, id.BackendServer("two"))
		time.Sleep(time.Second)
		assert.Equal(t, backends.released.Load(), int64(2))
	})
}

// beginningSender sends a request only if it may still begin after a time.
type beginningSender struct {
	fakeServers
	wait time.Duration
	runs int
}

func (bs *beginningSender) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	time.Sleep(bs.wait)
	if !attempt.MayBegin() {
		return forward.Response{}, forward.ErrNotSent
	}
	bs.runs++
	return bs.fakeServers.Send(ctx, attempt)
}

// TestSendingDoesNotBeginAfterEvacuation checks that a sender that has waited, for instance for another host, learns that the
// request must not be sent any more, for streams and for plain services.
func TestSendingDoesNotBeginAfterEvacuation(t *testing.T) {
	for _, rt := range append([]route.Route{chatRoute}, testRoutes...) {
		t.Run(string(rt.Name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				sender := &beginningSender{wait: 200 * time.Millisecond}
				fleet := fakeFleet{
					listed:    []serverlist.Server{{ID: "one", Address: "one:80"}},
					evacuated: func(id.BackendServer) bool { return time.Since(start) > 100*time.Millisecond },
				}
				rn := newRunner(forward.Dependencies{Sender: sender, Dispatcher: &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one")}}, Fleet: fleet})
				result := runRequest(t, rn, 1, rt)
				assert.Equal(t, sender.runs, 0)
				assert.Equal(t, result.Outcome.Kind, outcome.Refused, "%+v", result)
				// The outcome of the stream is that of the stand-in of the dispatcher.
				assert.Assert(t, result.Outcome.RetryAfter > 0 || rt.HasPrompt)
			})
		})
	}
}

// TestNoMemoryIsReservedOnEvacuatedEngine checks that no memory is reserved under a grant with an evacuated engine.
func TestNoMemoryIsReservedOnEvacuatedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := grantOn("1", "here", "out")
		first.Parts[0].Ticket, first.Parts[1].Ticket = "ticket-1", "ticket-2"
		backends := &delayedServers{}
		fleet := fakeFleet{evacuated: func(server id.BackendServer) bool { return server == "out" }}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: &fakeDispatcher{grants: []batch.Grant{first, grantOn("2", "here")}}, Fleet: fleet})
		assert.Assert(t, runRequest(t, rn, 1, chatRoute).Complete)
		synctest.Wait()
		assert.Equal(t, backends.released.Load(), int64(0))
	})
}

// TestEvacuatedServerOfPlainService checks that evacuated servers of a plain service get no requests and no retries, also
// while a request waits for its turn at a server with a limit; that they are used at once when the evacuation ends; and
// that requests are refused at once, as not run, with a time to return, while all are evacuated.
func TestEvacuatedServerOfPlainService(t *testing.T) {
	for _, rt := range testRoutes {
		t.Run(string(rt.Name), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backends := &scriptedServers{responses: map[string]forward.Response{"two": {Status: http.StatusServiceUnavailable, NotRun: true}}}
				evacuated := map[id.BackendServer]bool{"one": true}
				fleet := fakeFleet{
					listed:    []serverlist.Server{{ID: "one", Address: "one", Slots: 4}, {ID: "two", Address: "two", Slots: 4}},
					evacuated: func(server id.BackendServer) bool { return evacuated[server] },
				}
				rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fleet, Retries: retry.New(retry.Config{MaxAttempts: 3, BudgetRatio: 1, InitialBudget: 100}, 1)})
				for number := range 20 {
					runRequest(t, rn, number, rt)
				}
				assert.Equal(t, backends.count("one"), 0)
				sentBefore := backends.count("two")
				assert.Assert(t, sentBefore > 0)
				evacuated["two"] = true
				start := time.Now()
				result := runRequest(t, rn, 100, rt)
				assert.Equal(t, time.Since(start), time.Duration(0))
				assert.Equal(t, result.Outcome.Kind, outcome.Refused)
				assert.Equal(t, result.Outcome.Reason, outcome.NoCapacity)
				assert.Assert(t, result.Outcome.RetryAfter > 0)
				assert.Equal(t, backends.count("one")+backends.count("two"), sentBefore)
				delete(evacuated, "one")
				assert.Assert(t, runRequest(t, rn, 101, rt).Complete)
				assert.Equal(t, backends.count("one"), 1)
			})
		})
	}
}

// TestEvacuationDuringWaitForPermit checks that a request that waits for its turn at a server with a limit is not sent there
// once the server is evacuated.
func TestEvacuationDuringWaitForPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		backends := &scriptedServers{}
		fleet := fakeFleet{
			listed:    []serverlist.Server{{ID: "one", Address: "one", Slots: 4}},
			evacuated: func(id.BackendServer) bool { return time.Since(start) > 500*time.Millisecond },
		}
		rn := newRunner(forward.Dependencies{Sender: backends, Fleet: fleet, Limits: &scriptedLimits{limited: []id.BackendServer{"one"}, wait: time.Second}})
		result := runRequest(t, rn, 1, testRoutes[0])
		assert.Equal(t, backends.count("one"), 0)
		assert.Equal(t, result.Outcome.Kind, outcome.Refused, "%+v", result)
		assert.Assert(t, result.Outcome.RetryAfter > 0)
	})
}
