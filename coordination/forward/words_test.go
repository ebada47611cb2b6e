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
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// talkers answer as they are told and note when each was sent something.
type talkers struct {
	servers
	// says holds what each address answers; the others answer well.
	says  map[string]forward.Response
	mutex sync.Mutex
	got   map[string][]time.Time
}

func (tk *talkers) Send(_ context.Context, at forward.Attempt) (forward.Response, error) {
	tk.mutex.Lock()
	defer tk.mutex.Unlock()
	if tk.got == nil {
		tk.got = map[string][]time.Time{}
	}
	tk.got[at.Address] = append(tk.got[at.Address], time.Now())
	answer := tk.says[at.Address]
	if answer.Status == 0 {
		answer.Status = http.StatusOK
	}
	answer.Body = io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))
	answer.Length = -1
	return answer, nil
}

func (tk *talkers) count(address string) int {
	tk.mutex.Lock()
	defer tk.mutex.Unlock()
	return len(tk.got[address])
}

// run sends one request of a kind through a runner.
func run(t *testing.T, rn *forward.Runner, number int, rt route.Route) forward.Result {
	now := time.Now()
	return rn.Run(t.Context(), &forward.Request{
		ID: fmt.Sprintf("request-%d", number), Service: "service", ArrivedAt: now, Deadline: now.Add(3 * time.Second), Route: rt,
	}, &sink{})
}

var kinds = []route.Route{
	{Name: "read", Kind: route.Idempotent, MaxAttempts: 2},
	{Name: "order", Kind: route.NonIdempotent, MaxAttempts: 1},
	{Name: "chat", Kind: route.Streaming, MaxAttempts: 2},
}

// TestLeavingServer sends nothing more to a server that said in an answer that it is leaving, whether the answer was a
// success, an error or a refusal, and though the list still names it as ready.
func TestLeavingServer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		for _, rt := range kinds {
			t.Run(fmt.Sprintf("%s %d", rt.Name, status), func(t *testing.T) {
				sv := &talkers{says: map[string]forward.Response{"one": {Status: status, Leaving: true, NotRun: status == http.StatusServiceUnavailable}}}
				known := fleet{listed: []roster.Server{{ID: "one", Address: "one", Slots: 4}, {ID: "two", Address: "two", Slots: 4}}, left: map[id.BackendServer]bool{}}
				rn := newRunner(forward.Dependencies{Servers: sv, Fleet: known, Retries: retry.New(retry.Config{MaxAttempts: 3, BudgetRatio: 1, InitialBudget: 100}, 1)})
				for number := range 40 {
					run(t, rn, number, rt)
				}
				assert.Equal(t, sv.count("one"), 1)
				assert.Assert(t, sv.count("two") >= 39)
			})
		}
	}
}

// TestLeavingEngine gives back a grant on an engine that said that it is leaving, also when it would only help, and
// tells the dispatcher that the engine is gone.
func TestLeavingEngine(t *testing.T) {
	pl := &places{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "one"), grantOn("3", "two", "one"), grantOn("4", "two")}}
	sv := &talkers{says: map[string]forward.Response{"one:80": {Leaving: true}}}
	rn := newRunner(forward.Dependencies{Servers: sv, Dispatcher: pl, Fleet: fleet{left: map[id.BackendServer]bool{}, age: time.Hour}})
	stream := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2}
	assert.Assert(t, run(t, rn, 1, stream).Complete)
	assert.Assert(t, run(t, rn, 2, stream).Complete)
	assert.Equal(t, sv.count("one:80"), 1)
	assert.Equal(t, sv.count("two:80"), 1)
	for _, ended := range pl.ended[1:3] {
		assert.Equal(t, ended.FailedEngine, id.Engine("one"))
		assert.Equal(t, ended.Fault, batch.Gone)
	}
}

// TestServerBackoff sends nothing to a server for as long as it asked, one request at a time after that, and other
// servers get what it does not. When all ask for it, requests are refused at once and told when to come back.
func TestServerBackoff(t *testing.T) {
	const wait = 2 * time.Second
	refusal := forward.Response{Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: wait}
	for _, cs := range []struct {
		name string
		all  bool
		kind route.Route
	}{{"one", false, kinds[0]}, {"all", true, kinds[0]}, {"one, once only", false, kinds[1]}, {"all, once only", true, kinds[1]}} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sv := &talkers{says: map[string]forward.Response{"one": refusal}}
				if cs.all {
					sv.says["two"] = refusal
				}
				known := fleet{listed: []roster.Server{{ID: "one", Address: "one", Slots: 4}, {ID: "two", Address: "two", Slots: 4}}}
				rn := newRunner(forward.Dependencies{Servers: sv, Fleet: known, Retries: retry.New(retry.Config{MaxAttempts: 3, BudgetRatio: 1, InitialBudget: 100}, 1)})
				begin := time.Now()
				for number := 0; time.Since(begin) < wait; number++ {
					sent := sv.count("one") + sv.count("two")
					started := time.Now()
					rs := run(t, rn, number, cs.kind)
					if cs.all && sent == 2 {
						assert.Assert(t, rs.Outcome.Kind.String() == "not_run", "%+v", rs)
						assert.Assert(t, time.Now().Add(rs.Outcome.RetryAfter).Sub(begin) >= wait, "%s", rs.Outcome.RetryAfter)
						assert.Equal(t, time.Since(started), time.Duration(0))
					}
					time.Sleep(20 * time.Millisecond)
				}
				assert.Equal(t, sv.count("one"), 1)
				if cs.all {
					assert.Equal(t, sv.count("two"), 1)
				} else {
					assert.Assert(t, sv.count("two") > 90)
				}
				// All may get requests again, one at a time at first.
				time.Sleep(wait)
				clear(sv.says)
				before := sv.count("one")
				for number := range 50 {
					run(t, rn, 1000+number, cs.kind)
				}
				assert.Assert(t, sv.count("one") > before)
			})
		})
	}
}

// TestEngineBackoff passes on to the dispatcher which engines asked this host to be left alone, and gives back a grant
// on one.
func TestEngineBackoff(t *testing.T) {
	pl := &places{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two"), grantOn("3", "two", "one"), grantOn("4", "two")}}
	sv := &talkers{says: map[string]forward.Response{"one:80": {Status: http.StatusServiceUnavailable, NotRun: true, RetryAfter: 3 * time.Second}}}
	rn := newRunner(forward.Dependencies{Servers: sv, Dispatcher: pl, Fleet: fleet{listed: []roster.Server{{ID: "one", Service: "service"}}}})
	stream := route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 2}
	assert.Assert(t, run(t, rn, 1, stream).Complete)
	assert.Assert(t, run(t, rn, 2, stream).Complete)
	assert.Equal(t, sv.count("one:80"), 1)
	assert.Equal(t, sv.count("two:80"), 2)
	assert.Equal(t, pl.ended[0].RetryAfter, 3*time.Second)
	assert.Equal(t, pl.ended[2].FailedEngine, id.Engine("one"))
	assert.Assert(t, pl.ended[2].RetryAfter > 2*time.Second)
	assert.Equal(t, len(pl.banned[0]), 0)
	assert.Assert(t, time.Until(pl.banned[1]["one"]) > 2*time.Second)
}
