package peer

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/protocol/peer"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// workTime is how long the background work of the fuzzed host goes on after it has received messages.
const workTime = 70 * time.Second

// FuzzBackgroundAfterMessages passes arbitrary bytes to a host as messages from other hosts and then lets its timers run.
// A panic in one of them would stop the host.
func FuzzBackgroundAfterMessages(f *testing.F) {
	addMessageSeeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		synctest.Test(t, func(t *testing.T) {
			server := newFuzzServer()
			ctx, cancel := context.WithTimeout(t.Context(), workTime)
			defer cancel()
			for _, run := range []func(context.Context) error{server.local.BrokerServer.Run, server.local.BrokerClient.Run, server.local.GossipRunner.Run} {
				go func() { _ = run(ctx) }()
			}
			callWithBody[peer.PlaceRequest](body, server.Place)
			callWithBody[peer.ProgressRequest](body, server.Progress)
			callWithBody[peer.ExchangeMessage](body, server.Exchange)
			time.Sleep(time.Second)
			callWithBody[peer.ProgressRequest](body, server.Progress)
			callWithBody[peer.ExchangeMessage](body, server.Exchange)
			<-ctx.Done()
			synctest.Wait()
		})
	})
}

// oneShard is a fleet with a shard of two engines, which report no load.
type oneShard struct{}

func (oneShard) Shards() []id.Shard { return []id.Shard{"one"} }
func (oneShard) Engines(id.Shard) []fleet.Engine {
	return []fleet.Engine{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}}
}
func (oneShard) RecordObservation(string, fleet.Observation) {}

// idleEngines are engines with room for a model.
type idleEngines struct{}

func (idleEngines) FetchLoad(context.Context, string) (shard.EngineReport, error) {
	return shard.EngineReport{ReportedAt: time.Now(), Incarnation: 1, CapacityTokens: 300_000, Models: []id.Model{"m"}}, nil
}

func (idleEngines) ListAttempts(context.Context, string) ([]dispatch.AttemptMemory, error) {
	return nil, nil
}

func (idleEngines) CacheEvents(context.Context, string, int64) ([]shard.CacheEvent, int64, error) {
	return nil, 0, nil
}
func (idleEngines) CancelAttempt(context.Context, string, id.Attempt) error { return nil }
func (idleEngines) Orphaned(context.Context, id.Attempt) bool               { return false }

// addShardMessageSeeds adds messages to the dispatcher of a shard, valid ones and ones with missing or extreme values.
func addShardMessageSeeds(f *testing.F) {
	grant := &peer.Grant{Attempt: "h.1.1/1", Parts: []*peer.Part{{Engine: "a", Address: "a:1", Tokens: 1000}}, AnswerTokens: 10}
	for _, message := range []proto.Message{
		&peer.AcquireRequest{Request: "h.1.1", Shard: "one", Organisation: "acme", Weight: 1, Model: "m", PromptTokens: 1000, AnswerTokens: 10, RemainingMillis: 30_000, Host: "h", Number: 1},
		&peer.AcquireRequest{Request: "h.1.1", Shard: "one", Model: "m", PromptTokens: -1 << 62, RemainingMillis: 30_000},
		&peer.AcquireRequest{Request: "h.1.1", Shard: "one", Model: "m", PromptTokens: 1 << 62, AnswerTokens: 1 << 62, RemainingMillis: 30_000, Weight: -1},
		&peer.AcquireRequest{Request: "h.1.1", Shard: "one", Model: "m", PromptTokens: 400_000, AnswerTokens: -1 << 62, RemainingMillis: 1 << 50, Number: -1 << 31, Priority: 1 << 30},
		&peer.AcquireRequest{Request: "h.1.1", Shard: "one", Model: "m", PromptTokens: 1000, AnswerTokens: 10, RemainingMillis: -1 << 63, Weight: math.NaN()},
		&peer.AcquireRequest{Request: "h.1.1", Shard: "one", Weight: -1, PromptTokens: -1 << 62, AnswerTokens: 1<<63 - 1, RemainingMillis: 1<<63 - 1, Prefix: []uint64{1, 2}, Avoid: []string{"a"}},
		&peer.AcquireRequest{Request: "h.1.1", Shard: "one", PromptTokens: 1 << 62, RemainingMillis: -1 << 63, Alone: true},
		&peer.ReportRequest{Host: "h", Held: []*peer.Held{{Grant: grant, Shard: "one", Organisation: "acme", Started: true}}, Ended: []*peer.Ended{{Attempt: "h.1.1/1", Shard: "one", Crashed: "a", Request: "h.1.1"}}},
		&peer.ReportRequest{Host: "h", Held: []*peer.Held{{Shard: "one"}, {Grant: &peer.Grant{Attempt: "x", AnswerTokens: -1 << 63, Parts: []*peer.Part{{Engine: "a", Tokens: 1 << 62}, {}}}, Shard: "one"}}, Ended: []*peer.Ended{{}}},
	} {
		body, err := proto.Marshal(message)
		assert.NilError(f, err)
		f.Add(body)
	}
}

// FuzzBackgroundAfterShardMessages does the same with a host of the product's own front. A valid request afterwards must
// be answered.
func FuzzBackgroundAfterShardMessages(f *testing.F) {
	addShardMessageSeeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		synctest.Test(t, func(t *testing.T) {
			shardServer := shard.NewServer(shard.DefaultServerConfig(), timer.NewSystem(), idleEngines{}, idleEngines{}, oneShard{}, tally.NoopScope, 1, func(quarantine.Evidence, []quarantine.Evidence) {})
			server := NewServer(LocalComponents{ShardServer: shardServer}, timer.NewSystem())
			ctx, cancel := context.WithTimeout(t.Context(), workTime)
			defer cancel()
			go func() { _ = shardServer.Run(ctx) }()
			for range 2 {
				callCtx, cancelCall := context.WithTimeout(t.Context(), time.Second)
				message := new(peer.AcquireRequest)
				if proto.Unmarshal(body, message) == nil {
					_, _ = server.Acquire(callCtx, connect.NewRequest(message))
				}
				cancelCall()
				callWithBody[peer.ReportRequest](body, server.Report)
				time.Sleep(time.Second)
			}
			_, err := server.Acquire(ctx, connect.NewRequest(&peer.AcquireRequest{Request: "h.2.1", Shard: "one", Organisation: "acme", Weight: 1, Model: "m", PromptTokens: 1000, AnswerTokens: 10, RemainingMillis: 30_000, Host: "h", Number: 1}))
			assert.NilError(t, err)
			<-ctx.Done()
			synctest.Wait()
		})
	})
}
