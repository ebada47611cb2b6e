package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
)

// span is a time after the start of a test.
type span struct{ from, to time.Duration }

// sometimesSilentServers are streaming servers that accept connections at all times, but send nothing and respond to no probe
// during their silences.
type sometimesSilentServers struct {
	streamingServers
	startedAt time.Time
	silences  map[string][]span
}

func (ss *sometimesSilentServers) ProbeHTTP(ctx context.Context, address string) forward.ProbeResult {
	now := time.Since(ss.startedAt)
	for _, silence := range ss.silences[address] {
		if now >= silence.from && now < silence.to {
			select {
			case <-time.After(silence.to - now):
				return forward.Reachable
			case <-ctx.Done():
				return forward.Unresponsive
			}
		}
	}
	return forward.Reachable
}

// TestAttemptIsSpentOnSilentEngine guards against streams that are cut at a planned stop because the last attempt went to an
// engine that accepted a connection and was as silent as the first one, so that none was left when the first one fell silent
// again.
func TestAttemptIsSpentOnSilentEngine(t *testing.T) {
	const event1, event2, event3 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	// The times of a host with a grace of 5 s, after SIGTERM.
	const acceptTime, abortTime, cutOffTime = 1500 * time.Millisecond, 4550 * time.Millisecond, 4800 * time.Millisecond
	first, again := span{100 * time.Millisecond, 1500 * time.Millisecond}, span{1600 * time.Millisecond, 10 * time.Second}
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		dispatcher := &heldDispatcher{}
		dispatcher.grants = []batch.Grant{grantOn("1", "one"), grantOn("2", "two"), grantOn("3", "two")}
		backends := &sometimesSilentServers{
			startedAt: now, silences: map[string][]span{"one:80": {first, again}, "two:80": {{0, first.to}}},
			streamingServers: streamingServers{bodyByAddress: map[string]slowBody{
				"one:80": {chunks: []chunk{{0, event1}, {first.to, event2}, {cutOffTime, event3}}},
				"two:80": {chunks: []chunk{{700 * time.Millisecond, event3}}},
			}},
		}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
		time.AfterFunc(acceptTime, rn.RejectWaiting)
		time.AfterFunc(abortTime, rn.Abort)
		time.AfterFunc(cutOffTime, rn.CutOff)
		client := &fakeClient{}
		result := rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: failoverRoute}, client)
		assert.Assert(t, result.Complete, "%+v", result)
		assert.Equal(t, client.body.String(), event1+event2+event3)
		assert.DeepEqual(t, backends.resumedAfter, []string{"", "2"})
		time.Sleep(10 * time.Second)
		for attempt, held := range dispatcher.held {
			assert.Assert(t, !held, "the grant %s is held", attempt)
		}
	})
}

// TestSilentSecondEngineIsReported checks that the dispatcher learns of an engine that is as silent as the first one.
func TestSilentSecondEngineIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		dispatcher := &fakeDispatcher{grants: []batch.Grant{grantOn("1", "one"), grantOn("2", "two")}}
		always := []span{{0, time.Hour}}
		backends := &sometimesSilentServers{
			startedAt: now, silences: map[string][]span{"one:80": always, "two:80": always},
			streamingServers: streamingServers{bodyByAddress: map[string]slowBody{"one:80": {repeated: chunk{time.Hour, "x"}}}},
		}
		rn := newRunner(forward.Dependencies{Sender: backends, Dispatcher: dispatcher, Fleet: fakeFleet{}, Retries: retry.New(retry.Config{MaxAttempts: 3, InitialBudget: 100}, 1)})
		rn.Run(t.Context(), &forward.Request{ID: "request", Service: "service", PromptTokens: 1000, ArrivedAt: now, Deadline: now.Add(4 * time.Second), Route: failoverRoute}, &fakeClient{})
		time.Sleep(time.Second)
		assert.Equal(t, len(backends.sentTo), 1)
		faults := map[string]batch.Fault{}
		for _, ended := range dispatcher.ended {
			if ended.Fault != batch.NoFault {
				faults[string(ended.FailedEngine)] = ended.Fault
			}
		}
		assert.DeepEqual(t, faults, map[string]batch.Fault{"one": batch.Unresponsive, "two": batch.Unresponsive})
		// The host looks after both engines for some time.
		time.Sleep(10 * time.Second)
	})
}
