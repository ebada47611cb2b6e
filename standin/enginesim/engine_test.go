package enginesim_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hibiscuslever/hibiscuslever/standin/enginesim"
	"github.com/hibiscuslever/hibiscuslever/standin/eventqueue"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
)

// engineProfile describes an engine whose times are easy to compute: a step takes 1 ms, 100 prompt tokens are read per
// millisecond, and a pass with a decoding job has 50 steps.
var engineProfile = route.EngineProfile{
	Slots:                  2,
	Capacity:               50_000,
	StepTime:               time.Millisecond,
	PrefillTokensPerSecond: 100_000,
	PrefillChunk:           1000,
	StepsPerDecodePass:     50,
}

// simulation runs engines on virtual time and records the events of their jobs.
type simulation struct {
	start     time.Time
	scheduler *eventqueue.Scheduler
	engines   map[string]*enginesim.Engine
	jobs      map[string]*enginesim.Job
	eventLog  strings.Builder
}

func newSimulation() *simulation {
	return &simulation{
		start:     time.Unix(0, 0),
		scheduler: eventqueue.New(time.Unix(0, 0)),
		engines:   map[string]*enginesim.Engine{},
		jobs:      map[string]*enginesim.Job{},
	}
}

// engine returns the engine of that name, which it creates on first use.
func (sim *simulation) engine(name string) *enginesim.Engine {
	if sim.engines[name] == nil {
		sim.engines[name] = enginesim.New(engineProfile, sim.scheduler.ScheduleAt)
	}
	return sim.engines[name]
}

// scheduleCommand schedules the command of a script line at MS milliseconds. The lines are
// "MS submit JOB PROMPT EVENTS ENGINE...", where the first engine answers and the others help to read the prompt,
// "MS cancel JOB ENGINE..." and "MS stop ENGINE".
func (sim *simulation) scheduleCommand(fields []string) {
	millis, _ := strconv.Atoi(fields[0])
	sim.scheduler.ScheduleAt(sim.start.Add(time.Duration(millis)*time.Millisecond), func(now time.Time) {
		switch fields[1] {
		case "submit":
			sim.submit(now, fields[2:])
		case "cancel":
			var engines []*enginesim.Engine
			for _, name := range fields[3:] {
				engines = append(engines, sim.engine(name))
			}
			enginesim.Cancel(sim.jobs[fields[2]], engines...)
		case "stop":
			sim.engine(fields[2]).Stop()
		}
	})
}

// submit submits a job whose events are recorded. The fields are JOB PROMPT EVENTS ENGINE...
func (sim *simulation) submit(now time.Time, fields []string) {
	promptTokens, _ := strconv.Atoi(fields[1])
	eventCount, _ := strconv.Atoi(fields[2])
	job := &enginesim.Job{ID: fields[0], PromptTokens: id.Tokens(promptTokens), AnswerTokens: id.Tokens(eventCount * engineProfile.StepsPerDecodePass)}
	job.OnEvent = func(at time.Time, last bool) {
		fmt.Fprintf(&sim.eventLog, "%v %s event", at.Sub(sim.start), job.ID)
		if last {
			sim.eventLog.WriteString(" last")
		}
		sim.eventLog.WriteString("\n")
	}
	sim.jobs[job.ID] = job
	var engines []*enginesim.Engine
	for _, name := range fields[3:] {
		engines = append(engines, sim.engine(name))
	}
	enginesim.Submit(now, job, engines[0], engines[1:]...)
}

// TestEventTimes runs the scripts of testdata/scripts. Each case lists commands and the expected times of all events.
func TestEventTimes(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, script *datadriven.TestData) string {
			sim := newSimulation()
			for line := range strings.Lines(script.Input) {
				sim.scheduleCommand(strings.Fields(line))
			}
			sim.scheduler.RunUntil(sim.start.Add(time.Minute))
			return sim.eventLog.String()
		})
	})
}
