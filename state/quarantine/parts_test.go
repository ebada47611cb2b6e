package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
)

// partsConfig has the limits of the users' platform.
var partsConfig = quarantine.Config{CrashLimit: 3, TTL: time.Hour, ReportTTL: 5 * time.Second, Parts: quarantine.PartConfig{
	IsolatedCrashLimit: 2, CrashLimit: 4, SoundTTL: 10 * time.Minute, SoundCrashLimit: 3, FirstRetrial: 2 * time.Minute,
}}

// partsScript drives a table by the commands of a script.
type partsScript struct {
	table *quarantine.Table
	now   time.Time
}

// content returns the content that the arguments of a command describe. Contents are named by content=, parts by
// parts=(a,b).
func (ps *partsScript) content(t *testing.T, td *datadriven.TestData) quarantine.Content {
	var content quarantine.Content
	if td.HasArg("content") {
		var name string
		td.ScanArgs(t, "content", &name)
		content.Fingerprint = id.NewFingerprint("", []byte(name))
	}
	if arg, ok := td.Arg("parts"); ok {
		for _, name := range arg.Vals {
			content.PromptParts = append(content.PromptParts, id.NewPromptPart(name))
		}
	}
	return content
}

// runCommand runs one command and returns what it prints. Every command takes after=DURATION.
func (ps *partsScript) runCommand(t *testing.T, td *datadriven.TestData) string {
	if td.HasArg("after") {
		var text string
		td.ScanArgs(t, "after", &text)
		wait, err := time.ParseDuration(text)
		assert.NilError(t, err)
		ps.now = ps.now.Add(wait)
	}
	content := ps.content(t, td)
	switch td.Cmd {
	case "crash":
		var number uint64
		td.ScanArgs(t, "number", &number)
		status := quarantine.Confirmed
		if td.HasArg("isolated") {
			status = quarantine.ConfirmedIsolated
		}
		if content.Fingerprint != 0 {
			ps.table.Learn(ps.now, quarantine.Evidence{Fingerprint: content.Fingerprint, Crash: quarantine.CrashID(number), Status: quarantine.Confirmed})
		}
		for _, part := range content.PromptParts {
			ps.table.Learn(ps.now, quarantine.Evidence{Fingerprint: part.Fingerprint(), Crash: quarantine.CrashID(number), Status: status})
		}
		return ""
	case "complete":
		return fmt.Sprintf("cleared %d\n", len(ps.table.PartsCompleted(ps.now, content.PromptParts)))
	case "judge":
		return describeVerdict(td, content, ps.table.Judge(ps.now, content))
	default:
		t.Fatalf("unknown command %s", td.Cmd)
		return ""
	}
}

// describeVerdict names the suspect parts by the names in the command.
func describeVerdict(td *datadriven.TestData, content quarantine.Content, verdict quarantine.Verdict) string {
	if verdict.Decision == quarantine.Refuse {
		return fmt.Sprintf("refuse for %s\n", verdict.ExpiresIn)
	}
	text := "run"
	if verdict.Decision == quarantine.RunAlone {
		text = "run alone"
	}
	arg, _ := td.Arg("parts")
	var suspects []string
	for _, suspect := range verdict.SuspectParts {
		for ix, part := range content.PromptParts {
			if part == suspect {
				suspects = append(suspects, arg.Vals[ix])
			}
		}
	}
	if len(suspects) > 0 {
		text += " isolated because of " + strings.Join(suspects, " ")
		if verdict.Exclusive {
			text += ", exclusive"
		}
	}
	return text + "\n"
}

// TestPromptPartScripts runs the scripts of crashes, completed answers and verdicts. The command new starts a new table.
func TestPromptPartScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		script := &partsScript{}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "new" {
				script = &partsScript{table: quarantine.New(partsConfig), now: start}
				return ""
			}
			return script.runCommand(t, td)
		})
	})
}

// simulatedRequest is a request of TestPartsAreFoundByElimination.
type simulatedRequest struct {
	quarantine.Content
	crashes bool
	// endsAtStep is when the answer is complete.
	endsAtStep int
}

// TestPartsAreFoundByElimination simulates a fleet of engines that run several requests each, of which some have one of
// two parts that crash engines, while other engines crash by themselves. At most three requests with one of the parts
// may reach engines later than 3 s after its fifth crash, and other requests, which share all other parts with them,
// must not be refused.
func TestPartsAreFoundByElimination(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const engines, steps, answerSteps, badParts, firstLimitedCrash, agreementSteps, maxLateCrashes = 16, 1500, 75, 2, 5, 150, 3
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		badShare := rapid.SampledFrom([]float64{0.001, 0.02, 0.1, 0.4}).Draw(rt, "share of bad requests")
		firstParts := rapid.IntRange(1, 60).Draw(rt, "first parts")
		spontaneous := rapid.SampledFrom([]float64{0, 0.002, 0.01}).Draw(rt, "spontaneous crashes per step")
		table := quarantine.New(partsConfig)
		running := make([][]simulatedRequest, engines)
		now, crashCount, refused := start, uint64(0), 0
		crashSteps := make([][]int, badParts)
		crashEngine := func(engine int, isolated []id.PromptPart) {
			crashCount++
			for _, request := range running[engine] {
				table.Learn(now, quarantine.Evidence{Fingerprint: request.Fingerprint, Crash: quarantine.CrashID(crashCount), Status: quarantine.Confirmed})
				for _, part := range request.PromptParts {
					table.Learn(now, quarantine.Evidence{Fingerprint: part.Fingerprint(), Crash: quarantine.CrashID(crashCount), Status: quarantine.Confirmed})
				}
			}
			for _, part := range isolated {
				table.Learn(now, quarantine.Evidence{Fingerprint: part.Fingerprint(), Crash: quarantine.CrashID(crashCount), Status: quarantine.ConfirmedIsolated})
			}
			running[engine] = nil
		}
		for step := range steps {
			now = now.Add(20 * time.Millisecond)
			if random.Float64() < spontaneous {
				crashEngine(random.IntN(engines), nil)
			}
			for engine := range running {
				for len(running[engine]) > 0 && running[engine][0].endsAtStep <= step {
					table.PartsCompleted(now, running[engine][0].PromptParts)
					running[engine] = running[engine][1:]
				}
			}
			request := simulatedRequest{crashes: random.Float64() < badShare, endsAtStep: step + answerSteps}
			request.Fingerprint = id.NewFingerprint("", []byte(fmt.Sprint(step)))
			request.PromptParts = []id.PromptPart{id.NewPromptPart(fmt.Sprint("first ", random.IntN(firstParts)))}
			badPart := random.IntN(badParts)
			if request.crashes {
				request.PromptParts = append(request.PromptParts, id.NewPromptPart(fmt.Sprint("bad ", badPart)))
			}
			verdict := table.Judge(now, request.Content)
			if verdict.Decision == quarantine.Refuse {
				if !request.crashes {
					refused++
				}
				continue
			}
			engine := random.IntN(engines / 2)
			if len(verdict.SuspectParts) > 0 {
				// The engine runs nothing else, and no engine is free if all run something.
				engine = slices.IndexFunc(running, func(requests []simulatedRequest) bool { return len(requests) == 0 })
				if engine < 0 {
					continue
				}
			}
			running[engine] = append(running[engine], request)
			if request.crashes {
				crashSteps[badPart] = append(crashSteps[badPart], step)
				crashEngine(engine, verdict.SuspectParts)
			}
		}
		for _, steps := range crashSteps {
			late := 0
			for _, step := range steps[min(firstLimitedCrash, len(steps)):] {
				if step > steps[firstLimitedCrash-1]+agreementSteps {
					late++
				}
			}
			assert.Assert(rt, late <= maxLateCrashes, "%d late crashes, at steps %v", late, steps)
		}
		// The users allow that half of them are not served.
		assert.Assert(rt, refused <= steps/20, "%d other requests refused", refused)
	})
}

// TestVerdictsConverge checks that tables which learn the same evidence in different orders, and more than once, reach
// the same verdicts.
func TestVerdictsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		parts := []id.PromptPart{id.NewPromptPart("a"), id.NewPromptPart("b"), id.NewPromptPart("c")}
		evidence := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) quarantine.Evidence {
			return quarantine.Evidence{
				Fingerprint: rapid.SampledFrom(parts).Draw(rt, "part").Fingerprint(), Crash: quarantine.CrashID(rapid.IntRange(1, 5).Draw(rt, "crash")),
				Status: quarantine.CrashStatus(rapid.IntRange(0, 5).Draw(rt, "status")),
			}
		}), 1, 30).Draw(rt, "evidence")
		shuffled := append(rapid.Permutation(evidence).Draw(rt, "order"), evidence[0])
		one, two := quarantine.New(partsConfig), quarantine.New(partsConfig)
		for _, ev := range evidence {
			one.Learn(start, ev)
		}
		for _, ev := range shuffled {
			two.Learn(start, ev)
		}
		for _, asked := range [][]id.PromptPart{parts[:1], parts[1:2], parts[2:], parts} {
			content := quarantine.Content{Fingerprint: crashingFP, PromptParts: asked}
			assert.DeepEqual(rt, one.Judge(start, content), two.Judge(start, content))
		}
	})
}
