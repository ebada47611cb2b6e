package batch_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// engineModel describes the engines of all tests.
func engineModel() route.Engine {
	return route.Engine{
		Slots:           4,
		Capacity:        300_000,
		StepTime:            850 * time.Microsecond,
		StepPerSequence:       4 * time.Microsecond,
		StepPerThousandContextTokens:     3 * time.Microsecond,
		PrefillTokensPerSecond:   177_000,
		PrefillPerMillionPairs: 184 * time.Microsecond,
		PrefillChunk:           2048,
		StepsPerDecodePass:          51,
	}
}

// script drives one machine by the commands of a data file.
type script struct {
	machine *batch.Machine
	now     time.Time
}

func newScript() *script {
	sc := &script{machine: batch.New(batch.DefaultConfig(), 1), now: time.Unix(1000, 0)}
	sc.machine.Step(sc.now, batch.SetEngineProfile{Profile: engineModel()})
	return sc
}

// run carries out one command and describes its effects.
func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	if td.HasArg("after") {
		var text string
		td.ScanArgs(t, "after", &text)
		wait, err := time.ParseDuration(text)
		assert.NilError(t, err)
		sc.now = sc.now.Add(wait)
	}
	var effects []batch.Effect
	switch td.Cmd {
	case "engines":
		effects = sc.machine.Step(sc.now, sc.engines(td))
	case "submit":
		effects = sc.machine.Step(sc.now, batch.Submit{Request: sc.request(t, td)})
	case "started":
		effects = sc.machine.Step(sc.now, batch.AttemptStarted{Attempt: attemptOf(t, td)})
	case "finish":
		finish := batch.FinishAttempt{Attempt: attemptOf(t, td)}
		td.MaybeScanArgs(t, "failed", (*string)(&finish.FailedEngine))
		fault := 0
		td.MaybeScanArgs(t, "fault", &fault)
		finish.Fault = batch.Fault(fault)
		var retryAfter int
		td.MaybeScanArgs(t, "retryafter", &retryAfter)
		finish.RetryAfter = time.Duration(retryAfter) * time.Millisecond
		effects = sc.machine.Step(sc.now, finish)
	case "withdraw":
		var name string
		td.ScanArgs(t, "id", &name)
		effects = sc.machine.Step(sc.now, batch.Withdraw{Request: id.Request(name)})
	case "tick":
		effects = sc.machine.Step(sc.now, batch.Tick{})
	default:
		t.Fatalf("unknown command %q", td.Cmd)
	}
	return describe(effects) + fmt.Sprintf("waiting %d granted %d\n", sc.machine.Waiting(), sc.machine.Granted())
}

// engines reads one engine a line: its name, and "leaving" or "born=N".
func (sc *script) engines(td *datadriven.TestData) batch.SetEngines {
	var listed batch.SetEngines
	for line := range strings.Lines(td.Input) {
		fields := strings.Fields(line)
		spec := batch.EngineSpec{Engine: id.Engine(fields[0]), Address: fields[0] + ":1"}
		for _, field := range fields[1:] {
			spec.Leaving = spec.Leaving || field == "leaving"
			_, _ = fmt.Sscanf(field, "born=%d", &spec.StartedUnixMilli)
		}
		listed.Engines = append(listed.Engines, spec)
	}
	return listed
}

func (sc *script) request(t *testing.T, td *datadriven.TestData) batch.Request {
	var name, avoid, organisation string
	var prompt, answer, pause, target, number int
	target, pause, number, answer = 300, 250, 1, 500
	td.ScanArgs(t, "id", &name)
	td.ScanArgs(t, "prompt", &prompt)
	td.MaybeScanArgs(t, "answer", &answer)
	td.MaybeScanArgs(t, "target", &target)
	td.MaybeScanArgs(t, "pause", &pause)
	td.MaybeScanArgs(t, "number", &number)
	td.MaybeScanArgs(t, "avoid", &avoid)
	td.MaybeScanArgs(t, "organisation", &organisation)
	content := 0
	td.MaybeScanArgs(t, "content", &content)
	rq := batch.Request{
		ID:           id.Request(name),
		Organisation: id.Organisation(organisation),
		PromptTokens:       id.Tokens(prompt),
		MaxAnswerTokens:       id.Tokens(answer),
		FirstEventTarget:       time.Duration(target) * time.Millisecond,
		MaxPause:     time.Duration(pause) * time.Millisecond,
		ArrivedAt:      sc.now,
		AttemptNumber:       number,
		ContentFingerprint:      id.Fingerprint(content),
		RunAlone:        td.HasArg("alone"),
	}
	rq.WaitLimit = max(2*time.Second, 4*rq.FirstEventTarget)
	var banned string
	td.MaybeScanArgs(t, "banned", &banned)
	for ban := range strings.SplitSeq(banned, "/") {
		name, wait, _ := strings.Cut(ban, ":")
		millis, err := strconv.Atoi(wait)
		if name == "" {
			continue
		}
		assert.NilError(t, err)
		if rq.BackoffUntil == nil {
			rq.BackoffUntil = map[id.Engine]time.Time{}
		}
		rq.BackoffUntil[id.Engine(name)] = sc.now.Add(time.Duration(millis) * time.Millisecond)
	}
	if avoid != "" {
		rq.AvoidedEngines = []id.Engine{id.Engine(avoid)}
	}
	return rq
}

func attemptOf(t *testing.T, td *datadriven.TestData) id.Attempt {
	var name string
	number := 1
	td.ScanArgs(t, "id", &name)
	td.MaybeScanArgs(t, "number", &number)
	return id.NewAttempt(id.Request(name), number)
}

func describe(effects []batch.Effect) string {
	var sb strings.Builder
	for _, ef := range effects {
		if ef.Kind == batch.Refused {
			fmt.Fprintf(&sb, "%s refused: %s", ef.Request, ef.Outcome.Reason)
			if strings.Contains(ef.Outcome.Detail, "left alone") {
				fmt.Fprintf(&sb, ", to come back after %s", ef.Outcome.RetryAfter.Truncate(time.Second))
			}
			sb.WriteByte('\n')
			continue
		}
		fmt.Fprintf(&sb, "%s granted on", ef.Grant.Attempt)
		for _, part := range ef.Grant.Parts {
			fmt.Fprintf(&sb, " %s", part.Engine)
			if part.Ticket != "" {
				fmt.Fprintf(&sb, "(ticket %s %d)", part.Ticket, part.MemoryTokens)
			}
		}
		sb.WriteByte('\n')
	}
	return sb.String()
}

// TestScheduling runs the scripts in testdata.
func TestScheduling(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		sc := newScript()
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "new" {
				sc = newScript()
				return ""
			}
			return sc.run(t, td)
		})
	})
}

// model is what a property test knows of the grants that are held.
type model struct {
	grants map[id.Attempt]batch.Grant
}

// check takes effects and fails when a grant breaks a promise.
func (md *model) check(rt *rapid.T, effects []batch.Effect, present map[id.Engine]bool) {
	for _, ef := range effects {
		if ef.Kind == batch.Refused {
			continue
		}
		if ef.Grant.Attempt == "" || len(ef.Grant.Parts) == 0 || len(ef.Grant.Parts) > batch.DefaultConfig().MaxParts {
			rt.Fatalf("grant %v is malformed", ef.Grant)
		}
		used := map[id.Engine]bool{}
		for _, part := range ef.Grant.Parts {
			if used[part.Engine] {
				rt.Fatalf("engine %s has two parts of %s", part.Engine, ef.Grant.Attempt)
			}
			used[part.Engine] = true
			if !present[part.Engine] {
				rt.Fatalf("engine %s gets %s and is leaving or gone", part.Engine, ef.Grant.Attempt)
			}
		}
		md.grants[ef.Grant.Attempt] = ef.Grant
	}
	held := map[id.Engine]id.Tokens{}
	answers := map[id.Engine]int{}
	for _, gr := range md.grants {
		answers[gr.Parts[0].Engine]++
		for _, part := range gr.Parts {
			held[part.Engine] += part.MemoryTokens
		}
	}
	for name, tokens := range held {
		if tokens > engineModel().Capacity {
			rt.Fatalf("engine %s is to hold %d tokens", name, tokens)
		}
		if answers[name] > engineModel().Slots {
			rt.Fatalf("engine %s is to answer %d requests", name, answers[name])
		}
	}
}

// TestNoEngineIsOvercommitted lets requests come, start and end and engines leave at random: no engine gets more than
// its memory and its slots hold, none that leaves gets anything, and every request is granted or refused in the end.
func TestNoEngineIsOvercommitted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mc := batch.New(batch.DefaultConfig(), 7)
		now := time.Unix(1000, 0)
		mc.Step(now, batch.SetEngineProfile{Profile: engineModel()})
		count := rapid.IntRange(1, 8).Draw(rt, "engines")
		present := map[id.Engine]bool{}
		list := func() batch.SetEngines {
			var listed batch.SetEngines
			for ix := range count {
				name := id.Engine(fmt.Sprintf("e%d", ix))
				listed.Engines = append(listed.Engines, batch.EngineSpec{Engine: name, Address: string(name), Leaving: !present[name]})
			}
			return listed
		}
		for ix := range count {
			present[id.Engine(fmt.Sprintf("e%d", ix))] = true
		}
		md := &model{grants: map[id.Attempt]batch.Grant{}}
		md.check(rt, mc.Step(now, list()), present)
		for step := range rapid.IntRange(5, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "wait")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1, 2:
				rq := batch.Request{
					ID:       id.Request(fmt.Sprintf("r%d", step)),
					PromptTokens:   id.Tokens(rapid.SampledFrom([]int{10, 3000, 20_000, 150_000, 290_000, 500_000, 3_000_000}).Draw(rt, "prompt")),
					MaxAnswerTokens:   800,
					FirstEventTarget:   300 * time.Millisecond,
					MaxPause: time.Duration(rapid.SampledFrom([]int{250, 600, 1000}).Draw(rt, "pause")) * time.Millisecond,
					WaitLimit: 2 * time.Second,
					ArrivedAt:  now,
					AttemptNumber:   1,
				}
				md.check(rt, mc.Step(now, batch.Submit{Request: rq}), present)
			case 3:
				for att := range md.grants {
					md.check(rt, mc.Step(now, batch.AttemptStarted{Attempt: att}), present)
				}
			case 4:
				for att := range md.grants {
					delete(md.grants, att)
					md.check(rt, mc.Step(now, batch.FinishAttempt{Attempt: att}), present)
				}
			case 5:
				name := id.Engine(fmt.Sprintf("e%d", rapid.IntRange(0, count-1).Draw(rt, "leaving")))
				present[name] = !present[name]
				md.check(rt, mc.Step(now, list()), present)
			}
		}
		now = now.Add(5 * time.Second)
		md.grants = map[id.Attempt]batch.Grant{}
		md.check(rt, mc.Step(now, batch.Tick{}), present)
		if mc.Waiting() > 0 {
			rt.Fatalf("%d requests wait beyond their patience", mc.Waiting())
		}
	})
}
