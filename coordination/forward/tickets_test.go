package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// reserving notes when memory was first set aside under each ticket, and when it was given back.
type reserving struct {
	bodies
	reserved, released map[string]time.Time
}

func (rv *reserving) Reserve(_ context.Context, _, ticket string, _ id.Tokens, _ time.Duration) (bool, error) {
	if _, held := rv.reserved[ticket]; !held {
		rv.reserved[ticket] = time.Now()
	}
	return true, nil
}

func (rv *reserving) Release(_ context.Context, _, ticket string) error {
	rv.released[ticket] = time.Now()
	return nil
}

// TestUnusedReservation gives memory back that was set aside for a prompt whose first event does not come, within the users' bound
// on memory that is not used, also when the engines say that they are alive and the client would wait for longer.
func TestUnusedReservation(t *testing.T) {
	const bound = 9 * time.Second
	for _, attempts := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			held := grantOn("1", "one", "two")
			held.Parts[1].Ticket, held.Parts[1].MemoryTokens = "ticket", 16_000
			held.PredictedFirstEvent = 4 * time.Second
			waits := slowBody{rest: part{100 * time.Millisecond, ": wait\n\n"}}
			rv := &reserving{
				bodies:   bodies{of: map[string]slowBody{"one:80": waits, "three:80": {parts: []part{{0, "id: 1\ndata: a\n\n"}}}}},
				reserved: map[string]time.Time{}, released: map[string]time.Time{},
			}
			pl := &places{grants: []batch.Grant{held, grantOn("2", "three")}}
			rn := newRunner(forward.Dependencies{Servers: rv, Dispatcher: pl, Fleet: fleet{}})
			now := time.Now()
			rs := rn.Run(t.Context(), &forward.Request{
				ID: "request", Service: "service", PromptTokens: 400_000, ArrivedAt: now, Deadline: now.Add(20 * time.Second),
				Route: route.Route{Kind: route.Streaming, HasPrompt: true, Resumable: true, MaxAttempts: attempts, TargetLatency: 4 * time.Second, MaxPause: 1200 * time.Millisecond},
			}, &sink{})
			synctest.Wait()
			assert.Equal(t, rs.Complete, attempts > 1, "%+v", rs)
			unused := rv.released["ticket"].Sub(rv.reserved["ticket"])
			assert.Assert(t, unused > 0 && unused < bound, "%s", unused)
		})
	}
}
