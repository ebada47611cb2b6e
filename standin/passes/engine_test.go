package passes_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hibiscuslever/hibiscuslever/standin/agenda"
	"github.com/hibiscuslever/hibiscuslever/standin/passes"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// spec is an engine whose times are easy to follow: a step of 1 ms, 100 tokens read a millisecond, passes of 50 steps.
var spec = route.Engine{
	Slots:                  2,
	Capacity:               50_000,
	StepTime:               time.Millisecond,
	PrefillTokensPerSecond: 100_000,
	PrefillChunk:           1000,
	StepsPerDecodePass:     50,
}

// bench runs engines on virtual time and writes down the events that they make.
type bench struct {
	start   time.Time
	agenda  *agenda.Scheduler
	engines map[string]*passes.Engine
	jobs    map[string]*passes.Job
	out     strings.Builder
}

func newBench() *bench {
	return &bench{
		start:   time.Unix(0, 0),
		agenda:  agenda.New(time.Unix(0, 0)),
		engines: map[string]*passes.Engine{},
		jobs:    map[string]*passes.Job{},
	}
}

func (bn *bench) engine(name string) *passes.Engine {
	if bn.engines[name] == nil {
		bn.engines[name] = passes.New(spec, bn.agenda.ScheduleAt)
	}
	return bn.engines[name]
}

// command carries a line "MS submit JOB PROMPT EVENTS ENGINE..." or "MS cancel JOB ENGINE..." or "MS stop ENGINE" out.
func (bn *bench) command(words []string) {
	ms, _ := strconv.Atoi(words[0])
	bn.agenda.ScheduleAt(bn.start.Add(time.Duration(ms)*time.Millisecond), func(now time.Time) {
		switch words[1] {
		case "submit":
			bn.submit(now, words[2:])
		case "cancel":
			var engines []*passes.Engine
			for _, name := range words[3:] {
				engines = append(engines, bn.engine(name))
			}
			passes.Cancel(bn.jobs[words[2]], engines...)
		case "stop":
			bn.engine(words[2]).Stop()
		}
	})
}

func (bn *bench) submit(now time.Time, words []string) {
	prompt, _ := strconv.Atoi(words[1])
	events, _ := strconv.Atoi(words[2])
	job := &passes.Job{ID: words[0], PromptTokens: id.Tokens(prompt), AnswerTokens: id.Tokens(events * spec.StepsPerDecodePass)}
	job.OnEvent = func(at time.Time, last bool) {
		fmt.Fprintf(&bn.out, "%v %s event", at.Sub(bn.start), job.ID)
		if last {
			bn.out.WriteString(" last")
		}
		bn.out.WriteString("\n")
	}
	bn.jobs[job.ID] = job
	var engines []*passes.Engine
	for _, name := range words[3:] {
		engines = append(engines, bn.engine(name))
	}
	passes.Submit(now, job, engines[0], engines[1:]...)
}

// TestEventTimes runs the cases of testdata/scripts: the times at which engines make events.
func TestEventTimes(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, data *datadriven.TestData) string {
			bn := newBench()
			for line := range strings.Lines(data.Input) {
				bn.command(strings.Fields(line))
			}
			bn.agenda.RunUntil(bn.start.Add(time.Minute))
			return bn.out.String()
		})
	})
}
