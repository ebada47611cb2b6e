package forward_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/broker"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// obedientDispatcher grants the first listed engine that a request neither avoids nor backs off from.
type obedientDispatcher struct {
	heldDispatcher
	listed []serverlist.Server
}

func (od *obedientDispatcher) Acquire(ctx context.Context, grantRequest broker.GrantRequest) (batch.Grant, outcome.Outcome) {
	for _, server := range od.listed {
		engine := id.Engine(server.ID)
		avoided := false
		for _, other := range grantRequest.AvoidedEngines {
			avoided = avoided || other == engine
		}
		if avoided || time.Now().Before(grantRequest.BackoffUntil[engine]) {
			continue
		}
		od.mutex.Lock()
		od.grants = []batch.Grant{reservedGrantOn(string(grantRequest.ID)+string(engine)+time.Now().String(), string(engine))}
		od.mutex.Unlock()
		return od.heldDispatcher.Acquire(ctx, grantRequest)
	}
	return batch.Grant{}, outcome.Refuse(outcome.NoCapacity, "no engine is left")
}

// TestRandomFailoversRunOnAllowedEngines runs streams at engines that pause and fail at random and may get a request again. It
// must not run on more engines than the route allows, and the client must get the events once and in order.
func TestRandomFailoversRunOnAllowedEngines(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"}
	rapid.Check(t, func(rt *rapid.T) {
		scripts := map[string][]engineScript{}
		var listed []serverlist.Server
		for _, engine := range []string{"one", "two", "three", "four"} {
			listed = append(listed, serverlist.Server{ID: id.BackendServer(engine), Service: "service", Address: engine + ":80"})
			for range 3 {
				scripts[engine+":80"] = append(scripts[engine+":80"], drawScript(rt, engine, len(events)))
			}
		}
		streamRoute := failoverRoute
		streamRoute.MaxAttempts = rapid.IntRange(1, 3).Draw(rt, "attempts")
		unresponsive := rapid.Bool().Draw(rt, "unresponsive")
		var violation error
		synctest.Test(t, func(t *testing.T) {
			dispatcher := &obedientDispatcher{listed: listed}
			var mutex sync.Mutex
			runs := map[string]int{}
			sent := map[string]int{}
			backends := &failoverServers{unresponsive: unresponsive, scripted: true, second: func(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
				first := 0
				if attempt.ResumeAfter != "" {
					first = int(attempt.ResumeAfter[0] - '0')
				}
				mutex.Lock()
				defer mutex.Unlock()
				script := scripts[attempt.Address][sent[attempt.Address]%3]
				sent[attempt.Address]++
				response, err := script.respond(ctx, events, first)
				if !response.NotRun && !errors.Is(err, forward.ErrNotSent) {
					runs[attempt.Address]++
				}
				return response, err
			}}
			rn := newRunner(forward.Dependencies{
				Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{listed: listed, announcedLeaving: map[id.BackendServer]bool{}},
				Retries: retry.New(retry.Config{MaxAttempts: 5, InitialBudget: 100}, 1),
			})
			client := &fakeClient{}
			now := time.Now()
			result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(20 * time.Second), Route: streamRoute}, client)
			body := strings.ReplaceAll(client.body.String(), ": here\n\n", "")
			whole := strings.Join(events, "")
			time.Sleep(10 * time.Second)
			held := findHeld(&dispatcher.heldDispatcher, backends)
			mutex.Lock()
			defer mutex.Unlock()
			total := 0
			for _, count := range runs {
				total += count
			}
			switch {
			case !strings.HasPrefix(whole, body):
				violation = errors.Errorf("delivered %q, which is not a prefix of the answer", body)
			case result.Complete && body != "" && body != whole:
				violation = errors.Errorf("finished with the incomplete answer %q", body)
			case len(runs) > streamRoute.MaxAttempts || total > 4 || backends.maxOpen > 2:
				violation = errors.Errorf("ran on %v, %d at a time", runs, backends.maxOpen)
			case held != nil:
				violation = held
			}
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}
