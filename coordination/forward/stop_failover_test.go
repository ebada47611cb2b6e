package forward_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
)

// TestStoppingHostCutsStreamOfSilentEngine guards against streams that a stopping host cuts at the end of its grace because
// their sound engine is silent, although another engine could have finished them.
func TestStoppingHostCutsStreamOfSilentEngine(t *testing.T) {
	// The times of a host with a grace of 5 s, after SIGTERM.
	const acceptTime, abortTime, cutOffTime = 1500 * time.Millisecond, 4550 * time.Millisecond, 4800 * time.Millisecond
	const eventPeriod = 500 * time.Millisecond
	for name, tc := range map[string]struct {
		// eventCount is the number of events before the engine falls silent; one more is missing then.
		eventCount int
		stalled    bool
	}{
		"silent as the host stops accepting": {eventCount: 2},
		"silent after it":                    {eventCount: 4},
		"silent late":                        {eventCount: 7},
		"stalled":                            {eventCount: 4, stalled: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				silentFrom := time.Duration(tc.eventCount) * eventPeriod
				var chunks []chunk
				want := ""
				for number := range tc.eventCount {
					event := fmt.Sprintf("id: %d\ndata: a\n\n", number+1)
					chunks = append(chunks, chunk{eventPeriod, event})
					want += event
				}
				last := fmt.Sprintf("id: %d\ndata: a\n\n", tc.eventCount+1)
				dispatcher := &heldDispatcher{}
				dispatcher.grants = []batch.Grant{reservedGrantOn("1", "one"), reservedGrantOn("2", "two")}
				backends := &failoverServers{
					first:  slowBody{chunks: append(chunks, chunk{cutOffTime, last})},
					second: streamOf(slowBody{chunks: []chunk{{100 * time.Millisecond, last}}}), unresponsive: !tc.stalled, silentFrom: now.Add(silentFrom),
				}
				rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
				time.AfterFunc(acceptTime, rn.RejectWaiting)
				time.AfterFunc(abortTime, rn.Abort)
				time.AfterFunc(cutOffTime, rn.CutOff)
				client := &fakeClient{}
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, client.body.String(), want+last)
				time.Sleep(10 * time.Second)
				assert.NilError(t, findHeld(dispatcher, backends))
			})
		})
	}
}

// TestStoppingHostEndsStreamWhoseEngineBrokeOff guards against streams that a stopping host ends when their engine breaks off,
// although another engine could have gone on with them.
func TestStoppingHostEndsStreamWhoseEngineBrokeOff(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	const acceptTime, abortTime, cutOffTime = 1500 * time.Millisecond, 4550 * time.Millisecond, 4800 * time.Millisecond
	for name, tc := range map[string]struct {
		first, second []chunk
	}{
		"within the stream":      {[]chunk{{0, event1}, {acceptTime, event2}}, []chunk{{time.Second, event3}}},
		"before the first event": {[]chunk{{acceptTime + time.Millisecond, "id: 1"}}, []chunk{{0, event1}, {0, event2}, {time.Second, event3}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := &slowDispatcher{waits: []time.Duration{10 * time.Millisecond}}
				dispatcher.grants = []batch.Grant{reservedGrantOn("1", "one"), reservedGrantOn("2", "two")}
				backends := &failoverServers{first: slowBody{chunks: tc.first, truncated: true}, second: streamOf(slowBody{chunks: tc.second})}
				rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
				time.AfterFunc(acceptTime, rn.RejectWaiting)
				time.AfterFunc(abortTime, rn.Abort)
				time.AfterFunc(cutOffTime, rn.CutOff)
				client := &fakeClient{}
				now := time.Now()
				result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
				assert.Assert(t, result.Complete, "%+v", result)
				assert.Equal(t, client.body.String(), event1+event2+event3)
				time.Sleep(10 * time.Second)
				assert.NilError(t, findHeld(&dispatcher.heldDispatcher, backends))
			})
		})
	}
}
