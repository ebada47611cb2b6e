package serve_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/serve"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { checks.Main(m) }

// script is what one opened stream does, word by word:
// tN token N, endN end after N tokens, ready, other (a frame of another attempt), wait=DURATION,
// cut, freeze, refuse, draining, dial; health=STATE sets the engine's health from then on.
type script []string

// backends are scripted engines and the dispatcher that grants them.
type backends struct {
	ctx     context.Context
	scripts []script
	parts   int

	mutex     sync.Mutex
	opened    int
	health    serve.Health
	holding   map[string]bool
	ended     map[id.Attempt]string
	acquired  int
	lapsed    chan struct{}
	hangsFrom int
}

func newBackends(ctx context.Context, scripts []script, parts int) *backends {
	return &backends{
		ctx: ctx, scripts: scripts, parts: parts, health: serve.Healthy,
		holding: map[string]bool{}, ended: map[id.Attempt]string{}, lapsed: make(chan struct{}),
	}
}

func (be *backends) Acquire(ctx context.Context, ask shard.GrantRequest) (dispatch.Grant, outcome.Outcome) {
	be.mutex.Lock()
	be.acquired++
	hang := be.hangsFrom > 0 && be.acquired >= be.hangsFrom
	be.mutex.Unlock()
	if hang {
		<-ctx.Done()
		return dispatch.Grant{}, outcome.Refuse(outcome.DeadlineExceeded, "no engine")
	}
	grant := dispatch.Grant{Attempt: id.NewAttempt(ask.ID, ask.AttemptNumber)}
	for part := range be.parts {
		name := fmt.Sprintf("e%d.%d", ask.AttemptNumber, part)
		grant.Parts = append(grant.Parts, dispatch.Part{Engine: id.Engine(name), Address: name, PromptTokens: 1})
	}
	return grant, outcome.Done()
}

func (be *backends) ReportStarted(id.Attempt) {}

func (be *backends) Revoked(id.Attempt) <-chan struct{} { return be.lapsed }

func (be *backends) ReportEnded(_ context.Context, en shard.EndedGrant) {
	be.mutex.Lock()
	defer be.mutex.Unlock()
	state := "ended"
	switch {
	case en.CrashedEngine != "":
		state = "crashed"
	case en.Completed:
		state = "finished"
	}
	be.ended[en.Attempt] = state
}

func (be *backends) RecordEvidence(string, fleet.Evidence) {}

func (be *backends) Open(ctx context.Context, st serve.StreamRequest) serve.OpenResult {
	return be.open(ctx, st, true)
}

func (be *backends) Resume(ctx context.Context, st serve.StreamRequest) serve.OpenResult {
	return be.open(ctx, st, false)
}

func (be *backends) open(ctx context.Context, st serve.StreamRequest, start bool) serve.OpenResult {
	if ctx.Err() != nil {
		return serve.OpenResult{FailureCause: retry.Interrupted}
	}
	be.mutex.Lock()
	defer be.mutex.Unlock()
	words := script{"freeze"}
	switch {
	case st.Follower:
		words = script{"wait=300ms", "ready", "freeze"}
	case be.opened < len(be.scripts):
		words = be.scripts[be.opened]
	}
	if !st.Follower {
		be.opened++
	}
	switch words[0] {
	case "dial":
		return serve.OpenResult{FailureCause: retry.NotSent}
	case "refuse":
		return serve.OpenResult{FailureCause: retry.BackendRefused}
	case "draining":
		return serve.OpenResult{FailureCause: retry.BackendRefused, Draining: true}
	}
	if start {
		be.holding[st.Address+" "+string(st.Attempt)] = true
	}
	return serve.OpenResult{Stream: &stream{backends: be, ctx: ctx, attempt: st.Attempt, words: words}}
}

func (be *backends) ProbeHealth(ctx context.Context, _ string) serve.Health {
	be.mutex.Lock()
	health := be.health
	be.mutex.Unlock()
	if health == serve.Unresponsive {
		<-ctx.Done()
	}
	return health
}

func (be *backends) CancelAttempt(_ context.Context, address string, att id.Attempt) error {
	be.mutex.Lock()
	defer be.mutex.Unlock()
	delete(be.holding, address+" "+string(att))
	return nil
}

// free drops the leader's memory when its stream ends by itself.
func (be *backends) free(att id.Attempt) {
	be.mutex.Lock()
	defer be.mutex.Unlock()
	for key := range be.holding {
		if address, name, _ := strings.Cut(key, " "); name == string(att) && strings.HasSuffix(address, ".0") {
			delete(be.holding, key)
		}
	}
}

type stream struct {
	backends *backends
	ctx      context.Context
	attempt  id.Attempt
	words    script
}

func (st *stream) Close() {}

func (st *stream) Next() (serve.Frame, error) {
	for {
		if len(st.words) == 0 {
			return serve.Frame{}, io.ErrUnexpectedEOF
		}
		word := st.words[0]
		st.words = st.words[1:]
		frame, deliver, err := st.play(word)
		if deliver || err != nil {
			return frame, err
		}
	}
}

func (st *stream) play(word string) (serve.Frame, bool, error) {
	kind, value, _ := strings.Cut(word, "=")
	switch kind {
	case "cut":
		return serve.Frame{}, false, io.ErrUnexpectedEOF
	case "freeze":
		<-st.ctx.Done()
		return serve.Frame{}, false, st.ctx.Err()
	case "wait":
		wait, err := time.ParseDuration(value)
		if err != nil {
			return serve.Frame{}, false, err
		}
		time.Sleep(wait)
		return serve.Frame{}, false, nil
	case "health":
		st.backends.mutex.Lock()
		defer st.backends.mutex.Unlock()
		st.backends.health = map[string]serve.Health{"healthy": serve.Healthy, "unresponsive": serve.Unresponsive, "gone": serve.Unreachable}[value]
		return serve.Frame{}, false, nil
	case "ready":
		return serve.Frame{Attempt: st.attempt, Kind: serve.FollowerReady}, true, nil
	case "other":
		return serve.Frame{Attempt: "other/1", Kind: serve.Token, Text: "WRONG"}, true, nil
	}
	if count, ok := strings.CutPrefix(word, "end"); ok {
		st.backends.free(st.attempt)
		number, err := strconv.Atoi(count)
		return serve.Frame{Attempt: st.attempt, Kind: serve.AnswerEnd, TokenCount: number, FinishReason: "stop"}, true, err
	}
	number, err := strconv.Atoi(strings.TrimPrefix(word, "t"))
	return serve.Frame{Attempt: st.attempt, Kind: serve.Token, TokenIndex: number, Text: word + " "}, true, err
}

// collector keeps the tokens of an answer.
type collector struct {
	text strings.Builder
	// leavesAt is the index at which the caller has gone; negative for never.
	leavesAt int
}

func (cl *collector) Begin([]id.Engine) {}

func (cl *collector) Token(index int, text string) error {
	if index == cl.leavesAt {
		return io.ErrClosedPipe
	}
	cl.text.WriteString(text)
	return nil
}

// served is what became of one scripted run.
type served struct {
	text    string
	outcome outcome.Outcome
	elapsed time.Duration
	holding int
	ended   map[id.Attempt]string
	calls   int
}

func serveScripts(be *backends, deadline time.Duration, leavesAt int) served {
	runner := serve.NewRunner(serve.DefaultConfig(), timer.NewSystem(), be, be, be,
		retry.New(retry.DefaultConfig(), 1), tally.NoopScope, noop.NewTracerProvider().Tracer(""))
	sink := &collector{leavesAt: leavesAt}
	started := time.Now()
	_, oc := runner.Run(be.ctx, serve.Call{
		RequestID: "host.1.1", Service: "models", Shards: []id.Shard{"shard"}, PromptTokens: 100, Deadline: started.Add(deadline),
	}, sink)
	elapsed := time.Since(started)
	runner.Wait()
	// A goroutine that is left over after this blocks the end of the bubble and fails the test.
	time.Sleep(time.Minute)
	return served{text: strings.TrimSpace(sink.text.String()), outcome: oc, elapsed: elapsed, holding: len(be.holding), ended: be.ended, calls: be.opened}
}

// TestScriptedStreams runs the scripts in testdata on virtual time.
func TestScriptedStreams(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			deadline, parts, leavesAt, hangsFrom := "10s", 1, -1, 0
			td.MaybeScanArgs(t, "deadline", &deadline)
			td.MaybeScanArgs(t, "parts", &parts)
			td.MaybeScanArgs(t, "leaves", &leavesAt)
			td.MaybeScanArgs(t, "hangs", &hangsFrom)
			limit, err := time.ParseDuration(deadline)
			assert.NilError(t, err)
			var scripts []script
			for line := range strings.Lines(td.Input) {
				scripts = append(scripts, strings.Fields(line))
			}
			var result served
			synctest.Test(t, func(t *testing.T) {
				be := newBackends(t.Context(), scripts, parts)
				be.hangsFrom = hangsFrom
				result = serveScripts(be, limit, leavesAt)
			})
			assert.Assert(t, result.elapsed <= limit+100*time.Millisecond, "answered after %s", result.elapsed)
			return fmt.Sprintf("%q %s %s within deadline, attempts %v, holding %d\n",
				result.text, result.outcome.Kind, result.outcome.Reason, result.ended, result.holding)
		})
	})
}

// TestRandomStreamFaults lets streams cut, freeze, repeat, lose and cross frames at random.
func TestRandomStreamFaults(t *testing.T) {
	const length = 6
	want := "t0 t1 t2 t3 t4 t5"
	rapid.Check(t, func(rt *rapid.T) {
		var scripts []script
		for range rapid.IntRange(1, 6).Draw(rt, "streams") {
			scripts = append(scripts, randomScript(rt, length))
		}
		parts := rapid.IntRange(1, 3).Draw(rt, "parts")
		var result served
		synctest.Test(t, func(t *testing.T) {
			result = serveScripts(newBackends(t.Context(), scripts, parts), 10*time.Second, -1)
		})
		if result.elapsed > 10*time.Second+100*time.Millisecond {
			rt.Fatalf("answered after %s", result.elapsed)
		}
		if result.outcome.OK() && result.text != want {
			rt.Fatalf("a finished answer is %q", result.text)
		}
		if !strings.HasPrefix(want, result.text) {
			rt.Fatalf("delivered %q", result.text)
		}
		if result.holding > 0 {
			rt.Fatalf("%d engines still hold memory", result.holding)
		}
		if result.outcome.Kind == outcome.Refused && result.text != "" {
			rt.Fatalf("told not run after %q", result.text)
		}
	})
}

// randomScript returns a stream that starts at a random index and may go wrong anywhere.
func randomScript(rt *rapid.T, length int) script {
	var words script
	for index := rapid.IntRange(0, length-1).Draw(rt, "from"); index < length; index++ {
		switch rapid.IntRange(0, 24).Draw(rt, "fault") {
		case 0:
			return append(words, "cut")
		case 1:
			return append(words, "health="+rapid.SampledFrom([]string{"gone", "unresponsive", "healthy"}).Draw(rt, "health"), "freeze")
		case 2:
			words = append(words, "other")
		case 3:
			words = append(words, "t"+strconv.Itoa(index))
		case 4:
			continue
		case 5:
			words = append(words, "wait=1500ms")
		}
		words = append(words, "t"+strconv.Itoa(index))
	}
	if rapid.IntRange(0, 4).Draw(rt, "early end") == 0 {
		words = words[:rapid.IntRange(0, len(words)).Draw(rt, "kept")]
	}
	return append(words, "end"+strconv.Itoa(length))
}
