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
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// engineProfile returns the profile of the engines in all tests of this package.
func engineProfile() route.EngineProfile {
	return route.EngineProfile{
		Slots:                        4,
		Capacity:                     300_000,
		StepTime:                     850 * time.Microsecond,
		StepPerSequence:              4 * time.Microsecond,
		StepPerThousandContextTokens: 3 * time.Microsecond,
		PrefillTokensPerSecond:       177_000,
		PrefillPerMillionPairs:       184 * time.Microsecond,
		PrefillChunk:                 2048,
		StepsPerDecodePass:           51,
	}
}

// scriptRunner drives one machine by the commands of a script in testdata.
type scriptRunner struct {
	machine *batch.Machine
	now     time.Time
}

func newScriptRunner() *scriptRunner {
	sc := &scriptRunner{machine: batch.New(batch.DefaultConfig(), 1), now: time.Unix(1000, 0)}
	sc.machine.Step(sc.now, batch.SetEngineProfile{Profile: engineProfile()})
	return sc
}

// runCommand runs one command of a script and returns a description of its effects. Every command takes the argument
// after=DURATION, by which the time advances before it. The argument fault of finish is the number of a
// batch.Fault: 1 is Unreachable, 4 is Full.
func (sc *scriptRunner) runCommand(t *testing.T, td *datadriven.TestData) string {
	if td.HasArg("after") {
		var afterText string
		td.ScanArgs(t, "after", &afterText)
		wait, err := time.ParseDuration(afterText)
		assert.NilError(t, err)
		sc.now = sc.now.Add(wait)
	}
	var effects []batch.Effect
	switch td.Cmd {
	case "engines":
		effects = sc.machine.Step(sc.now, sc.parseEngines(td))
	case "submit":
		effects = sc.machine.Step(sc.now, batch.Submit{Request: sc.parseRequest(t, td)})
	case "started":
		effects = sc.machine.Step(sc.now, batch.AttemptStarted{Attempt: parseAttempt(t, td)})
	case "finish":
		finish := batch.FinishAttempt{Attempt: parseAttempt(t, td)}
		td.MaybeScanArgs(t, "failed", (*string)(&finish.FailedEngine))
		fault := 0
		td.MaybeScanArgs(t, "fault", &fault)
		finish.Fault = batch.Fault(fault)
		var retryAfterMillis int
		td.MaybeScanArgs(t, "retryafter", &retryAfterMillis)
		finish.RetryAfter = time.Duration(retryAfterMillis) * time.Millisecond
		effects = sc.machine.Step(sc.now, finish)
	case "withdraw":
		var name string
		td.ScanArgs(t, "id", &name)
		effects = sc.machine.Step(sc.now, batch.Withdraw{Request: id.Request(name)})
	case "review":
		effects = sc.machine.Step(sc.now, parseReview(t, td))
	case "tick":
		effects = sc.machine.Step(sc.now, batch.Tick{})
	case "takeover":
		effects = sc.machine.Step(sc.now, batch.TakeOver{HoldUntil: sc.now.Add(parseMillis(t, td, "hold")), CautiousUntil: sc.now.Add(parseMillis(t, td, "cautious"))})
	case "informed":
		effects = sc.machine.Step(sc.now, batch.Informed{NoOtherGrants: td.HasArg("alone")})
	case "renew":
		effects = sc.machine.Step(sc.now, sc.parseRenewal(t, td))
	default:
		t.Fatalf("unknown command %q", td.Cmd)
	}
	return formatEffects(effects) + fmt.Sprintf("waiting %d granted %d\n", sc.machine.Waiting(), sc.machine.Granted())
}

// coldBounds are those of the users' deployments with cold engines.
var coldBounds = serverlimit.ColdBounds{Overage: 1.5, Slack: 5}

// coldDuration is how long the engines of scripts are cold after their start.
const coldDuration = 3 * time.Second

// parseEngines reads one engine from each line of a command's input: its name, then "leaving", "evacuated", "started=N",
// "limit=N", "cold=N", "maybecold=N", "coldafterfault=N" and "elsewhere" if they apply. The last one says that another host
// counts the requests of the engine.
func (sc *scriptRunner) parseEngines(td *datadriven.TestData) batch.SetEngines {
	var engineList batch.SetEngines
	for line := range strings.Lines(td.Input) {
		fields := strings.Fields(line)
		spec := batch.EngineSpec{Engine: id.Engine(fields[0]), Address: fields[0] + ":1"}
		for _, field := range fields[1:] {
			spec.Leaving = spec.Leaving || field == "leaving"
			spec.Evacuated = spec.Evacuated || field == "evacuated"
			spec.CountedElsewhere = spec.CountedElsewhere || field == "elsewhere"
			_, _ = fmt.Sscanf(field, "started=%d", &spec.StartedAtMillis)
			_, _ = fmt.Sscanf(field, "limit=%g", (*float64)(&spec.RequestLimit))
			parseCold(field, &spec)
		}
		engineList.Engines = append(engineList.Engines, spec)
	}
	return engineList
}

// parseCold reads what a field of an engine's line says of the time for which the engine is cold.
func parseCold(field string, spec *batch.EngineSpec) {
	var perSecond float64
	if _, err := fmt.Sscanf(field, "cold=%g", &perSecond); err == nil {
		spec.ColdLimit = coldBounds.Limit(perSecond)
	}
	if _, err := fmt.Sscanf(field, "maybecold=%g", &perSecond); err == nil {
		spec.ColdLimit = coldBounds.Limit(perSecond)
		spec.ColdLimit.Assumed = true
	}
	if _, err := fmt.Sscanf(field, "coldafterfault=%g", &perSecond); err == nil {
		spec.ColdAfterFault, spec.ColdDuration = coldBounds.Limit(perSecond), coldDuration
		spec.ColdAfterFault.Assumed = true
	}
}

// parseRequest reads the request of a submit command. Prompt and answer are in tokens, target and pause in
// milliseconds. The argument backoff lists engines that asked for backoff as ENGINE:MILLISECONDS, separated by slashes.
func (sc *scriptRunner) parseRequest(t *testing.T, td *datadriven.TestData) batch.Request {
	var name, avoidedEngine, organisation string
	var prompt, answer, maxPauseMillis, targetMillis, attemptNumber int
	targetMillis, maxPauseMillis, attemptNumber, answer = 300, 250, 1, 500
	td.ScanArgs(t, "id", &name)
	td.ScanArgs(t, "prompt", &prompt)
	td.MaybeScanArgs(t, "answer", &answer)
	td.MaybeScanArgs(t, "target", &targetMillis)
	td.MaybeScanArgs(t, "pause", &maxPauseMillis)
	td.MaybeScanArgs(t, "number", &attemptNumber)
	td.MaybeScanArgs(t, "avoid", &avoidedEngine)
	td.MaybeScanArgs(t, "organisation", &organisation)
	fingerprint := 0
	td.MaybeScanArgs(t, "content", &fingerprint)
	rq := batch.Request{
		ID:                 id.Request(name),
		Organisation:       id.Organisation(organisation),
		PromptTokens:       id.Tokens(prompt),
		MaxAnswerTokens:    id.Tokens(answer),
		FirstEventTarget:   time.Duration(targetMillis) * time.Millisecond,
		MaxPause:           time.Duration(maxPauseMillis) * time.Millisecond,
		ArrivedAt:          sc.now,
		AttemptNumber:      attemptNumber,
		ContentFingerprint: id.Fingerprint(fingerprint),
		RunAlone:           td.HasArg("alone"),
		SuspectParts:       parseSuspects(td),
		Exclusive:          td.HasArg("exclusive"),
	}
	rq.WaitLimit = max(2*time.Second, 4*rq.FirstEventTarget)
	var backoffList string
	td.MaybeScanArgs(t, "backoff", &backoffList)
	for entry := range strings.SplitSeq(backoffList, "/") {
		name, backoffText, _ := strings.Cut(entry, ":")
		backoffMillis, err := strconv.Atoi(backoffText)
		if name == "" {
			continue
		}
		assert.NilError(t, err)
		if rq.BackoffUntil == nil {
			rq.BackoffUntil = map[id.Engine]time.Time{}
		}
		rq.BackoffUntil[id.Engine(name)] = sc.now.Add(time.Duration(backoffMillis) * time.Millisecond)
	}
	if avoidedEngine != "" {
		rq.AvoidedEngines = []id.Engine{id.Engine(avoidedEngine)}
	}
	return rq
}

// parseMillis reads an argument in milliseconds; zero if it is missing.
func parseMillis(t *testing.T, td *datadriven.TestData, name string) time.Duration {
	millis := 0
	td.MaybeScanArgs(t, name, &millis)
	return time.Duration(millis) * time.Millisecond
}

// parseRenewal reads a grant that an entry host holds: a request as in submit, the engines that run it, separated by
// slashes, and "started" if its first event has arrived.
func (sc *scriptRunner) parseRenewal(t *testing.T, td *datadriven.TestData) batch.RenewGrant {
	rq := sc.parseRequest(t, td)
	var engines string
	td.ScanArgs(t, "on", &engines)
	renewal := batch.RenewGrant{Request: rq, Grant: batch.Grant{Attempt: id.NewAttempt(rq.ID, rq.AttemptNumber)}, Started: td.HasArg("started")}
	for name := range strings.SplitSeq(engines, "/") {
		renewal.Grant.Parts = append(renewal.Grant.Parts, batch.Part{Engine: id.Engine(name), Address: name + ":1"})
	}
	renewal.Grant.Parts[0].MemoryTokens = rq.PromptTokens + rq.MaxAnswerTokens
	return renewal
}

// parseSuspects reads the argument suspects=(PART,PART).
func parseSuspects(td *datadriven.TestData) []id.PromptPart {
	var parts []id.PromptPart
	if arg, ok := td.Arg("suspects"); ok {
		for _, name := range arg.Vals {
			parts = append(parts, id.NewPromptPart(name))
		}
	}
	return parts
}

// parseReview reads a review of one request: id, then withdraw or how the request is to run as in submit.
func parseReview(t *testing.T, td *datadriven.TestData) batch.Review {
	var name string
	td.ScanArgs(t, "id", &name)
	if td.HasArg("withdraw") {
		return batch.Review{Withdrawn: []id.Request{id.Request(name)}}
	}
	return batch.Review{Changed: []batch.ReviewedRequest{{Request: id.Request(name), RunAlone: td.HasArg("alone"), SuspectParts: parseSuspects(td), Exclusive: td.HasArg("exclusive")}}}
}

func parseAttempt(t *testing.T, td *datadriven.TestData) id.Attempt {
	var name string
	attemptNumber := 1
	td.ScanArgs(t, "id", &name)
	td.MaybeScanArgs(t, "number", &attemptNumber)
	return id.NewAttempt(id.Request(name), attemptNumber)
}

func formatEffects(effects []batch.Effect) string {
	var sb strings.Builder
	for _, ef := range effects {
		if ef.Kind == batch.Refused {
			fmt.Fprintf(&sb, "%s refused: %s", ef.Request, ef.Outcome.Reason)
			if ef.Outcome.Reason == outcome.NoCapacity && ef.Outcome.RetryAfter <= 0 {
				sb.WriteString(" without a time to return")
			}
			if strings.Contains(ef.Outcome.Detail, "left alone") {
				fmt.Fprintf(&sb, ", retry after %s", ef.Outcome.RetryAfter.Truncate(time.Second))
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

// TestScheduling runs the scripts in testdata, each command against the state that the commands before it left.
func TestScheduling(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		sc := newScriptRunner()
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "new" {
				sc = newScriptRunner()
				return ""
			}
			return sc.runCommand(t, td)
		})
	})
}

// grantChecker tracks the grants that have been issued and not released.
type grantChecker struct {
	grantsByAttempt map[id.Attempt]batch.Grant
}

// checkEffects records the grants among the effects. It fails the test if a grant is malformed or goes to an engine
// that accepts no work, or if all grants together exceed the memory or the slots of an engine.
func (md *grantChecker) checkEffects(rt *rapid.T, effects []batch.Effect, acceptingEngines map[id.Engine]bool) {
	for _, ef := range effects {
		if ef.Kind == batch.Refused {
			continue
		}
		if ef.Grant.Attempt == "" || len(ef.Grant.Parts) == 0 || len(ef.Grant.Parts) > batch.DefaultConfig().MaxParts {
			rt.Fatalf("grant %v is malformed", ef.Grant)
		}
		usedEngines := map[id.Engine]bool{}
		for _, part := range ef.Grant.Parts {
			if usedEngines[part.Engine] {
				rt.Fatalf("engine %s got two parts of %s", part.Engine, ef.Grant.Attempt)
			}
			usedEngines[part.Engine] = true
			if !acceptingEngines[part.Engine] {
				rt.Fatalf("engine %s got %s but is leaving or not listed", part.Engine, ef.Grant.Attempt)
			}
		}
		md.grantsByAttempt[ef.Grant.Attempt] = ef.Grant
	}
	usedTokens := map[id.Engine]id.Tokens{}
	slotsUsed := map[id.Engine]int{}
	for _, gr := range md.grantsByAttempt {
		slotsUsed[gr.Parts[0].Engine]++
		for _, part := range gr.Parts {
			usedTokens[part.Engine] += part.MemoryTokens
		}
	}
	for name, tokens := range usedTokens {
		if tokens > engineProfile().Capacity {
			rt.Fatalf("engine %s was granted %d tokens, more than its memory holds", name, tokens)
		}
		if slotsUsed[name] > engineProfile().Slots {
			rt.Fatalf("engine %s was granted %d requests to answer, more than it has slots", name, slotsUsed[name])
		}
	}
}

// TestNoEngineIsOvercommitted submits, starts and finishes requests, and lets engines leave and return and the machine take
// over at random. No engine may get more than its memory and its slots hold, no leaving or evacuated engine may get anything,
// and no request may wait longer than its wait limit.
func TestNoEngineIsOvercommitted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mc := batch.New(batch.DefaultConfig(), 7)
		now := time.Unix(1000, 0)
		mc.Step(now, batch.SetEngineProfile{Profile: engineProfile()})
		engineCount := rapid.IntRange(1, 8).Draw(rt, "engines")
		acceptingEngines := map[id.Engine]bool{}
		// Engines that accept nothing are evacuated or leaving.
		evacuate := rapid.Bool().Draw(rt, "evacuate")
		listEngines := func() batch.SetEngines {
			var listed batch.SetEngines
			for ix := range engineCount {
				name := id.Engine(fmt.Sprintf("e%d", ix))
				listed.Engines = append(listed.Engines, batch.EngineSpec{Engine: name, Address: string(name), Leaving: !acceptingEngines[name] && !evacuate, Evacuated: !acceptingEngines[name] && evacuate})
			}
			return listed
		}
		for ix := range engineCount {
			acceptingEngines[id.Engine(fmt.Sprintf("e%d", ix))] = true
		}
		checker := &grantChecker{grantsByAttempt: map[id.Attempt]batch.Grant{}}
		checker.checkEffects(rt, mc.Step(now, listEngines()), acceptingEngines)
		for step := range rapid.IntRange(5, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "wait")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0, 1, 2:
				rq := batch.Request{
					ID:               id.Request(fmt.Sprintf("r%d", step)),
					PromptTokens:     id.Tokens(rapid.SampledFrom([]int{10, 3000, 20_000, 150_000, 290_000, 500_000, 3_000_000}).Draw(rt, "prompt")),
					MaxAnswerTokens:  800,
					FirstEventTarget: 300 * time.Millisecond,
					MaxPause:         time.Duration(rapid.SampledFrom([]int{250, 600, 1000}).Draw(rt, "pause")) * time.Millisecond,
					WaitLimit:        2 * time.Second,
					ArrivedAt:        now,
					AttemptNumber:    1,
				}
				checker.checkEffects(rt, mc.Step(now, batch.Submit{Request: rq}), acceptingEngines)
			case 3:
				for att := range checker.grantsByAttempt {
					checker.checkEffects(rt, mc.Step(now, batch.AttemptStarted{Attempt: att}), acceptingEngines)
				}
			case 4:
				for att := range checker.grantsByAttempt {
					delete(checker.grantsByAttempt, att)
					checker.checkEffects(rt, mc.Step(now, batch.FinishAttempt{Attempt: att}), acceptingEngines)
				}
			case 5:
				name := id.Engine(fmt.Sprintf("e%d", rapid.IntRange(0, engineCount-1).Draw(rt, "leaving")))
				acceptingEngines[name] = !acceptingEngines[name]
				checker.checkEffects(rt, mc.Step(now, listEngines()), acceptingEngines)
			case 6:
				hold := time.Duration(rapid.IntRange(0, 100).Draw(rt, "hold")) * time.Millisecond
				checker.checkEffects(rt, mc.Step(now, batch.TakeOver{HoldUntil: now.Add(hold), CautiousUntil: now.Add(10 * hold)}), acceptingEngines)
			}
		}
		now = now.Add(5 * time.Second)
		checker.grantsByAttempt = map[id.Attempt]batch.Grant{}
		checker.checkEffects(rt, mc.Step(now, batch.Tick{}), acceptingEngines)
		if mc.Waiting() > 0 {
			rt.Fatalf("%d requests still wait after their wait limit", mc.Waiting())
		}
	})
}
