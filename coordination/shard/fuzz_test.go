package shard_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// wildEngines are engines that report any figures.
type wildEngines struct {
	capacity, pending, attemptTokens int64
	age                              time.Duration
}

func (we wildEngines) FetchLoad(context.Context, string) (shard.EngineReport, error) {
	return shard.EngineReport{ReportedAt: time.Now().Add(-we.age), Incarnation: 1, CapacityTokens: id.Tokens(we.capacity), PendingTokens: id.Tokens(we.pending), Models: []id.Model{"m"}}, nil
}

func (we wildEngines) ListAttempts(context.Context, string) ([]dispatch.AttemptMemory, error) {
	return []dispatch.AttemptMemory{{Attempt: "h.1.1/1", Tokens: id.Tokens(we.attemptTokens)}, {}}, nil
}

func (wildEngines) CacheEvents(context.Context, string, int64) ([]shard.CacheEvent, int64, error) {
	return []shard.CacheEvent{{Block: 1}, {Block: 1, Evicted: true}, {Block: 2, Evicted: true}}, -1, nil
}
func (wildEngines) CancelAttempt(context.Context, string, id.Attempt) error { return nil }
func (wildEngines) Orphaned(context.Context, id.Attempt) bool               { return true }
func (wildEngines) Shards() []id.Shard                                      { return []id.Shard{"one"} }

func (wildEngines) Engines(id.Shard) []fleet.Engine {
	return []fleet.Engine{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}, {Name: "c", Address: "c:1"}}
}
func (wildEngines) RecordObservation(string, fleet.Observation) {}

// FuzzWildEngineReports checks that no figures that engines report make a dispatcher panic.
func FuzzWildEngineReports(f *testing.F) {
	f.Add(int64(300_000), int64(1000), int64(100), int64(time.Second), int64(1000), int64(10))
	f.Add(int64(-1<<63), int64(-1<<63), int64(-1<<63), int64(-1<<62), int64(100_000), int64(10))
	f.Add(int64(1<<63-1), int64(1<<63-1), int64(1<<63-1), int64(1<<62), int64(1<<32), int64(1<<32))
	f.Add(int64(1), int64(0), int64(0), int64(0), int64(3), int64(0))
	f.Add(int64(4097), int64(0), int64(0), int64(0), int64(9000), int64(0))
	f.Fuzz(func(t *testing.T, capacity, pending, attemptTokens, age, prompt, answer int64) {
		synctest.Test(t, func(t *testing.T) {
			we := wildEngines{capacity: capacity, pending: pending, attemptTokens: attemptTokens, age: time.Duration(age)}
			sv := shard.NewServer(shard.DefaultServerConfig(), timer.NewSystem(), we, we, we, tally.NoopScope, 1, func(quarantine.Evidence, []quarantine.Evidence) {})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			go func() { _ = sv.Run(ctx) }()
			for number := range 4 {
				callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
				request := newGrantRequest(id.Request(fmt.Sprintf("h.1.%d", number)), min(max(id.Tokens(prompt), 0), id.MaxTokens))
				request.Shard, request.Model, request.MaxAnswerTokens, request.Deadline = "one", "m", min(max(id.Tokens(answer), 0), id.MaxTokens), time.Now().Add(5*time.Second)
				_ = sv.RequestGrant(callCtx, request)
				cancelCall()
			}
			<-ctx.Done()
			synctest.Wait()
		})
	})
}
