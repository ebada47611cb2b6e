package modelcall_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
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

	"github.com/hibiscuslever/hibiscuslever/coordination/dispatch"
	"github.com/hibiscuslever/hibiscuslever/coordination/fleet"
	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/coordination/retry"
	"github.com/hibiscuslever/hibiscuslever/coordination/shard"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// streamScript is what an engine does with one opened stream, step by step. As the only step, it may be
//
//	not-sent       the connection fails
//	refuse         the engine refuses to start
//	draining       the engine refuses because it is leaving
//
// The other steps are
//
//	tN             sends token N
//	endN           sends an end frame that counts N tokens
//	ready          sends that the follower is ready
//	other-attempt  sends a frame of another attempt
//	wait=DURATION  pauses
//	health=STATE   sets the health of the engines of its attempt from then on
//	freeze         sends nothing more but keeps the stream open
//	cut            ends the stream
type streamScript []string

// fakeEngines fakes the engines, whose leaders follow scripts, and the dispatcher that grants them.
type fakeEngines struct {
	ctx context.Context
	// leaderScripts are the scripts of the leaders' streams in the order in which they are opened. Later streams freeze.
	leaderScripts []streamScript
	// partsPerGrant is the number of engines of each grant.
	partsPerGrant int

	// mutex guards the fields below.
	mutex         sync.Mutex
	openedLeaders int
	// healths holds the health of the engines of each attempt, by the first part of their addresses; healthy if not set.
	healths map[string]modelcall.Health
	// memoryHolders holds "ADDRESS ATTEMPT" for each engine that holds memory for an attempt.
	memoryHolders map[string]bool
	endedAttempts map[id.Attempt]string
	acquires      int
	revoked       chan struct{}
	acquireFaults
}

// acquireFaults are what the dispatcher does wrong from an acquire on. The number of the first acquire is 1; 0 stands for
// none.
type acquireFaults struct {
	// hangFromAcquire is the number of the first acquire that gets no reply, and refuseFromAcquire that of the first one
	// for which there is no capacity.
	hangFromAcquire   int
	refuseFromAcquire int
	// lateFromAcquire is the number of the first acquire that is granted only after lateGrant, even if nobody waits for it
	// any more.
	lateFromAcquire int
	// silentFromAcquire is the number of the first acquire that grants engines that don't respond.
	silentFromAcquire int
}

// lateGrant is how long a late grant takes.
const lateGrant = 2 * time.Second

func newFakeEngines(ctx context.Context, scripts []streamScript, partsPerGrant int) *fakeEngines {
	return &fakeEngines{
		ctx: ctx, leaderScripts: scripts, partsPerGrant: partsPerGrant, healths: map[string]modelcall.Health{},
		memoryHolders: map[string]bool{}, endedAttempts: map[id.Attempt]string{}, revoked: make(chan struct{}),
	}
}

func (fe *fakeEngines) Acquire(ctx context.Context, request shard.GrantRequest) (dispatch.Grant, outcome.Outcome) {
	fe.mutex.Lock()
	fe.acquires++
	has := func(firstAcquire int) bool { return firstAcquire > 0 && fe.acquires >= firstAcquire }
	hangs, refuses, late := has(fe.hangFromAcquire), has(fe.refuseFromAcquire), has(fe.lateFromAcquire)
	if has(fe.silentFromAcquire) {
		fe.healths[fmt.Sprintf("e%d", request.AttemptNumber)] = modelcall.Unresponsive
	}
	fe.mutex.Unlock()
	switch {
	case hangs:
		<-ctx.Done()
		return dispatch.Grant{}, outcome.Refuse(outcome.DeadlineExceeded, "no engine")
	case refuses:
		return dispatch.Grant{}, outcome.Refuse(outcome.NoCapacity, "no engine")
	case late:
		time.Sleep(lateGrant)
	}
	grant := dispatch.Grant{Attempt: id.NewAttempt(request.ID, request.AttemptNumber)}
	for part := range fe.partsPerGrant {
		name := fmt.Sprintf("e%d.%d", request.AttemptNumber, part)
		grant.Parts = append(grant.Parts, dispatch.Part{Engine: id.Engine(name), Address: name, PromptTokens: 1})
	}
	return grant, outcome.Done()
}

func (fe *fakeEngines) ReportStarted(id.Attempt) {}

func (fe *fakeEngines) RevocationSignal(id.Attempt) <-chan struct{} { return fe.revoked }

func (fe *fakeEngines) ReportEnded(_ context.Context, ended shard.EndedGrant) {
	fe.mutex.Lock()
	defer fe.mutex.Unlock()
	reportedAs := "ended"
	switch {
	case ended.CrashedEngine != "":
		reportedAs = "crashed"
	case ended.Completed:
		reportedAs = "finished"
	}
	fe.endedAttempts[ended.Attempt] = reportedAs
}

func (fe *fakeEngines) RecordObservation(string, fleet.Observation) {}

func (fe *fakeEngines) Open(ctx context.Context, request modelcall.StreamRequest) modelcall.OpenResult {
	return fe.openStream(ctx, request, true)
}

func (fe *fakeEngines) Resume(ctx context.Context, request modelcall.StreamRequest) modelcall.OpenResult {
	return fe.openStream(ctx, request, false)
}

func (fe *fakeEngines) openStream(ctx context.Context, request modelcall.StreamRequest, reservesMemory bool) modelcall.OpenResult {
	if ctx.Err() != nil {
		return modelcall.OpenResult{FailureCause: retry.Interrupted}
	}
	fe.mutex.Lock()
	defer fe.mutex.Unlock()
	steps := streamScript{"freeze"}
	switch {
	case request.Follower:
		steps = streamScript{"wait=300ms", "ready", "freeze"}
	case fe.openedLeaders < len(fe.leaderScripts):
		steps = fe.leaderScripts[fe.openedLeaders]
	}
	if !request.Follower {
		fe.openedLeaders++
	}
	switch steps[0] {
	case "not-sent":
		return modelcall.OpenResult{FailureCause: retry.NotSent}
	case "refuse":
		return modelcall.OpenResult{FailureCause: retry.BackendRefused}
	case "draining":
		return modelcall.OpenResult{FailureCause: retry.BackendRefused, Draining: true}
	}
	if reservesMemory {
		fe.memoryHolders[request.Address+" "+string(request.Attempt)] = true
	}
	return modelcall.OpenResult{Stream: &scriptedStream{engines: fe, ctx: ctx, attempt: request.Attempt, address: request.Address, steps: steps}}
}

func (fe *fakeEngines) ProbeHealth(ctx context.Context, address string) modelcall.Health {
	attempt, _, _ := strings.Cut(address, ".")
	fe.mutex.Lock()
	health, found := fe.healths[attempt]
	fe.mutex.Unlock()
	switch {
	case !found:
		return modelcall.Healthy
	case health == modelcall.Unresponsive:
		<-ctx.Done()
	}
	return health
}

func (fe *fakeEngines) CancelAttempt(_ context.Context, address string, attempt id.Attempt) error {
	fe.mutex.Lock()
	defer fe.mutex.Unlock()
	delete(fe.memoryHolders, address+" "+string(attempt))
	return nil
}

// releaseLeader releases the memory of an attempt's leader, as an engine does after the end of the answer.
func (fe *fakeEngines) releaseLeader(attempt id.Attempt) {
	fe.mutex.Lock()
	defer fe.mutex.Unlock()
	for key := range fe.memoryHolders {
		if address, name, _ := strings.Cut(key, " "); name == string(attempt) && strings.HasSuffix(address, ".0") {
			delete(fe.memoryHolders, key)
		}
	}
}

// scriptedStream is a stream that performs the steps of a script.
type scriptedStream struct {
	engines *fakeEngines
	ctx     context.Context
	attempt id.Attempt
	address string
	steps   streamScript
}

func (ss *scriptedStream) Close() {}

func (ss *scriptedStream) Next() (modelcall.Frame, error) {
	for {
		if len(ss.steps) == 0 {
			return modelcall.Frame{}, io.ErrUnexpectedEOF
		}
		step := ss.steps[0]
		ss.steps = ss.steps[1:]
		frame, sendsFrame, err := ss.runStep(step)
		if sendsFrame || err != nil {
			return frame, err
		}
	}
}

// runStep performs a step. It returns a frame and true if the step sends one.
func (ss *scriptedStream) runStep(step string) (modelcall.Frame, bool, error) {
	verb, value, _ := strings.Cut(step, "=")
	switch verb {
	case "cut":
		return modelcall.Frame{}, false, io.ErrUnexpectedEOF
	case "freeze":
		<-ss.ctx.Done()
		return modelcall.Frame{}, false, ss.ctx.Err()
	case "wait":
		wait, err := time.ParseDuration(value)
		if err != nil {
			return modelcall.Frame{}, false, err
		}
		time.Sleep(wait)
		return modelcall.Frame{}, false, nil
	case "health":
		ss.engines.mutex.Lock()
		defer ss.engines.mutex.Unlock()
		attempt, _, _ := strings.Cut(ss.address, ".")
		ss.engines.healths[attempt] = map[string]modelcall.Health{"healthy": modelcall.Healthy, "unresponsive": modelcall.Unresponsive, "unreachable": modelcall.Unreachable}[value]
		return modelcall.Frame{}, false, nil
	case "ready":
		return modelcall.Frame{Attempt: ss.attempt, Kind: modelcall.FollowerReady}, true, nil
	case "other-attempt":
		return modelcall.Frame{Attempt: "other/1", Kind: modelcall.Token, Text: "WRONG"}, true, nil
	}
	if count, ok := strings.CutPrefix(step, "end"); ok {
		ss.engines.releaseLeader(ss.attempt)
		number, err := strconv.Atoi(count)
		return modelcall.Frame{Attempt: ss.attempt, Kind: modelcall.AnswerEnd, TokenCount: number, FinishReason: "stop"}, true, err
	}
	number, err := strconv.Atoi(strings.TrimPrefix(step, "t"))
	return modelcall.Frame{Attempt: ss.attempt, Kind: modelcall.Token, TokenIndex: number, Text: step + " "}, true, err
}

// tokenCollector is a sink that collects the tokens of an answer.
type tokenCollector struct {
	text strings.Builder
	// callerLeavesAt is the index of the token at which the caller has gone; negative if it stays.
	callerLeavesAt int
}

func (tc *tokenCollector) Begin([]id.Engine) {}

func (tc *tokenCollector) Token(index int, text string) error {
	if index == tc.callerLeavesAt {
		return io.ErrClosedPipe
	}
	tc.text.WriteString(text)
	return nil
}

// runResult describes one scripted run: what the caller received, the elapsed time until then, and the state of the
// engines and the dispatcher after the cleanup.
type runResult struct {
	text    string
	outcome outcome.Outcome
	elapsed time.Duration
	// memoryHolderCount counts the memory reservations that remain, one for each engine and attempt.
	memoryHolderCount int
	// endedAttempts says how each attempt was reported to the dispatcher: finished, crashed or ended.
	endedAttempts map[id.Attempt]string
	openedLeaders int
}

// runScripts runs one call with the given time until its deadline and waits for the cleanup after it.
func runScripts(engines *fakeEngines, timeout time.Duration, callerLeavesAt int, retries retry.Config) runResult {
	runner := modelcall.NewRunner(modelcall.DefaultConfig(), timer.NewSystem(), engines, engines, engines,
		retry.New(retries, 1), tally.NoopScope, slog.New(slog.DiscardHandler), noop.NewTracerProvider().Tracer(""))
	collector := &tokenCollector{callerLeavesAt: callerLeavesAt}
	startedAt := time.Now()
	_, callOutcome := runner.Run(engines.ctx, modelcall.Call{
		RequestID: "host.1.1", Service: "models", Shards: []id.Shard{"shard"}, PromptTokens: 100, Deadline: startedAt.Add(timeout),
	}, collector)
	elapsed := time.Since(startedAt)
	runner.Wait()
	// A goroutine that still runs after this is leaked; synctest then fails the test.
	time.Sleep(time.Minute)
	return runResult{text: strings.TrimSpace(collector.text.String()), outcome: callOutcome, elapsed: elapsed, memoryHolderCount: len(engines.memoryHolders), endedAttempts: engines.endedAttempts, openedLeaders: engines.openedLeaders}
}

// TestScriptedStreams runs the scripts in testdata with virtual time. Each line of a script is a streamScript.
// Arguments of run are the deadline, the number of parts of each grant, the token at which the caller leaves, the
// acquireFaults, and whether there is no retry budget.
func TestScriptedStreams(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			deadline, partsPerGrant, callerLeavesAt := "10s", 1, -1
			var faults acquireFaults
			td.MaybeScanArgs(t, "deadline", &deadline)
			td.MaybeScanArgs(t, "parts", &partsPerGrant)
			td.MaybeScanArgs(t, "caller-leaves-at", &callerLeavesAt)
			td.MaybeScanArgs(t, "hang-from-acquire", &faults.hangFromAcquire)
			td.MaybeScanArgs(t, "refuse-from-acquire", &faults.refuseFromAcquire)
			td.MaybeScanArgs(t, "late-from-acquire", &faults.lateFromAcquire)
			td.MaybeScanArgs(t, "silent-from-acquire", &faults.silentFromAcquire)
			retries := retry.DefaultConfig()
			if td.HasArg("no-budget") {
				retries.InitialBudget, retries.BudgetRatio = 0, 0
			}
			timeout, err := time.ParseDuration(deadline)
			assert.NilError(t, err)
			var scripts []streamScript
			for line := range strings.Lines(td.Input) {
				scripts = append(scripts, strings.Fields(line))
			}
			var result runResult
			synctest.Test(t, func(t *testing.T) {
				engines := newFakeEngines(t.Context(), scripts, partsPerGrant)
				engines.acquireFaults = faults
				result = runScripts(engines, timeout, callerLeavesAt, retries)
			})
			assert.Assert(t, result.elapsed <= timeout+100*time.Millisecond, "answered after %s", result.elapsed)
			return fmt.Sprintf("%q %s %s within deadline, attempts %v, held attempts %d\n",
				result.text, result.outcome.Kind, result.outcome.Reason, result.endedAttempts, result.memoryHolderCount)
		})
	})
}

// TestRandomStreamFaults checks that streams that are cut, freeze, repeat or lose frames, or deliver frames of another
// attempt never lead to a corrupt answer, to a finished outcome for a partial answer, to a refusal after tokens were
// delivered, or to memory that stays reserved.
func TestRandomStreamFaults(t *testing.T) {
	const tokens = 6
	want := "t0 t1 t2 t3 t4 t5"
	rapid.Check(t, func(rt *rapid.T) {
		var scripts []streamScript
		for range rapid.IntRange(1, 6).Draw(rt, "streams") {
			scripts = append(scripts, randomStreamScript(rt, tokens))
		}
		partsPerGrant := rapid.IntRange(1, 3).Draw(rt, "parts")
		var result runResult
		synctest.Test(t, func(t *testing.T) {
			result = runScripts(newFakeEngines(t.Context(), scripts, partsPerGrant), 10*time.Second, -1, retry.DefaultConfig())
		})
		if result.elapsed > 10*time.Second+100*time.Millisecond {
			rt.Fatalf("answered after %s", result.elapsed)
		}
		if result.outcome.OK() && result.text != want {
			rt.Fatalf("finished with the incomplete answer %q", result.text)
		}
		if !strings.HasPrefix(want, result.text) {
			rt.Fatalf("delivered %q, which is not a prefix of the answer", result.text)
		}
		if result.memoryHolderCount > 0 {
			rt.Fatalf("%d reservations of engine memory were not released", result.memoryHolderCount)
		}
		if result.outcome.Kind == outcome.Refused && result.text != "" {
			rt.Fatalf("refused as not run after delivering %q", result.text)
		}
	})
}

// randomStreamScript returns a script that starts at a random token and contains random faults.
func randomStreamScript(rt *rapid.T, tokens int) streamScript {
	var steps streamScript
	for index := rapid.IntRange(0, tokens-1).Draw(rt, "first token"); index < tokens; index++ {
		switch rapid.IntRange(0, 24).Draw(rt, "fault") {
		case 0:
			return append(steps, "cut")
		case 1:
			return append(steps, "health="+rapid.SampledFrom([]string{"unreachable", "unresponsive", "healthy"}).Draw(rt, "health"), "freeze")
		case 2:
			steps = append(steps, "other-attempt")
		case 3:
			steps = append(steps, "t"+strconv.Itoa(index))
		case 4:
			continue
		case 5:
			steps = append(steps, "wait=1500ms")
		}
		steps = append(steps, "t"+strconv.Itoa(index))
	}
	if rapid.IntRange(0, 4).Draw(rt, "early end") == 0 {
		steps = steps[:rapid.IntRange(0, len(steps)).Draw(rt, "steps before end")]
	}
	return append(steps, "end"+strconv.Itoa(tokens))
}
