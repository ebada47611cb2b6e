package batch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// engine is the machine's view of one engine.
type engine struct {
	EngineSpec
	// tasks are the parts of grants that the engine runs.
	tasks []task
	// busyUntil is when everything handed to the engine is predicted to have been read.
	busyUntil time.Time
	// pausedUntil is when an engine that failed may get work again.
	pausedUntil time.Time
	faults      int
	// refusals counts the requests in a row that the engine turned away and asked to be left alone.
	refusals int
}

// task is an engine's part of a grant.
type task struct {
	*grant
	// kept is the memory that the grant takes on the engine.
	kept id.Tokens
	// answers says that the engine answers the request; it only helps otherwise.
	answers bool
}

// usable reports whether an engine may get new work.
func (en *engine) usable(now time.Time) bool {
	return !en.Leaving && !now.Before(en.pausedUntil)
}

// reserved reports whether an engine runs a request that is to run alone.
func (en *engine) reserved() bool {
	return slices.ContainsFunc(en.tasks, func(tk task) bool { return tk.request.RunAlone })
}

// load sums up what an engine runs.
type load struct {
	running int
	writers int
	// short counts requests with short prompts, running or being read.
	short int
	// context is the memory of the requests that write, held all memory of requests that the engine answers.
	context id.Tokens
	held    id.Tokens
	// pause is the strictest pause that requests on the engine allow, those included that wait there for their first
	// event: parts of other prompts are read ahead of theirs. Zero if none has one.
	pause time.Duration
	// overdue is how far reads of the engine alone are behind their prediction. What several engines read together
	// says nothing of one of them.
	overdue time.Duration
}

func (mc *Machine) loadOf(now time.Time, en *engine) load {
	var ld load
	for _, tk := range en.tasks {
		ld.held += tk.kept
		if late := now.Sub(tk.ready); !tk.started && len(tk.Parts) == 1 && late < forgetLate {
			ld.overdue = max(ld.overdue, late)
		}
		if !tk.answers {
			if tk.started {
				ld.context += tk.kept
			}
			continue
		}
		ld.running++
		if tk.short {
			ld.short++
		}
		if pause := tk.request.MaxPause; pause > 0 && (ld.pause == 0 || pause < ld.pause) {
			ld.pause = pause
		}
		if !tk.started {
			continue
		}
		ld.writers++
		ld.context += tk.kept / id.Tokens(len(tk.Parts))
	}
	return ld
}

// run adds an engine's part of a grant, if the grant has one.
func (en *engine) run(gr *grant) {
	for ix, part := range gr.Parts {
		if part.Engine == en.Engine && part.Address == en.Address {
			en.tasks = append(en.tasks, task{grant: gr, kept: part.MemoryTokens, answers: ix == 0})
		}
	}
}

// pass returns the time of an engine's pass without reading.
func (mc *Machine) pass(ld load) time.Duration {
	if ld.writers == 0 {
		return 0
	}
	spec := mc.engine
	step := spec.StepTime + time.Duration(ld.writers)*spec.StepPerSequence + time.Duration(float64(spec.StepPerThousandContextTokens)*float64(ld.context)/1000)
	return step * time.Duration(spec.StepsPerDecodePass)
}

// wait returns the predicted time until an engine has read what was handed to it. A first event comes up to two
// passes after its prompt was read; an engine that takes longer is behind its predictions.
func (mc *Machine) wait(now time.Time, en *engine, ld load) time.Duration {
	wait := max(0, en.busyUntil.Sub(now))
	if late := ld.overdue - 2*mc.pass(ld) - lateAllowance; late > 0 {
		wait = max(wait, min(late, maxLate))
	}
	return wait
}

const (
	// lateAllowance is how far a first event may lag behind two passes: a part that others read, and the report.
	lateAllowance = 150 * time.Millisecond
	// maxLate bounds the wait that is predicted for an engine behind its predictions.
	maxLate = 300 * time.Millisecond
	// forgetLate is the delay after which a read no longer tells of the engine: it was lost on the way.
	forgetLate = 1500 * time.Millisecond
)

// listed takes the engines of the service. An engine that was started anew holds nothing of before.
func (mc *Machine) listed(specs []EngineSpec) {
	present := map[id.Engine]bool{}
	for _, spec := range specs {
		present[spec.Engine] = true
		en, known := mc.byName[spec.Engine]
		if known && en.StartedUnixMilli == spec.StartedUnixMilli && en.Address == spec.Address {
			en.Leaving = spec.Leaving
			continue
		}
		if known {
			mc.removeEngine(en)
		}
		en = &engine{EngineSpec: spec}
		mc.byName[spec.Engine] = en
		mc.engines = append(mc.engines, en)
		if known {
			continue
		}
		for _, att := range slices.Sorted(maps.Keys(mc.grants)) {
			en.run(mc.grants[att])
		}
	}
	for _, en := range slices.Clone(mc.engines) {
		if !present[en.Engine] {
			mc.removeEngine(en)
		}
	}
	slices.SortFunc(mc.engines, func(left, right *engine) int { return strings.Compare(string(left.Engine), string(right.Engine)) })
}

func (mc *Machine) removeEngine(en *engine) {
	delete(mc.byName, en.Engine)
	mc.engines = slices.DeleteFunc(mc.engines, func(other *engine) bool { return other == en })
}

// failed takes the word that an engine failed an attempt.
func (mc *Machine) failed(now time.Time, ev FinishAttempt) {
	en, ok := mc.byName[ev.FailedEngine]
	if !ok {
		return
	}
	pause := mc.config.FaultBackoff
	switch ev.Fault {
	case NoFault:
		return
	case Gone:
		en.Leaving = true
		return
	case Full:
		pause = mc.config.FaultBackoff / 4
		if ev.RetryAfter > 0 {
			// One host's word holds for that host; when more of them hear it, the engine is full for all.
			pause = min(pause<<min(en.refusals, 5), ev.RetryAfter)
			en.refusals++
		}
	case ErrorResponse:
		en.faults++
		pause = mc.config.FaultBackoff / 4 * time.Duration(en.faults)
	case Unreachable, Unresponsive:
		en.faults++
		pause <<= min(en.faults-1, 5)
	}
	pause = min(pause, mc.config.MaxFaultBackoff)
	if until := now.Add(pause); until.After(en.pausedUntil) {
		en.pausedUntil = until
	}
}
