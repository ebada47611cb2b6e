package batch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
)

// engine is the state of one engine as the machine knows it.
type engine struct {
	EngineSpec
	// tasks are the engine's parts of all grants that include it.
	tasks []task
	// busyUntil is when the engine is predicted to have read all prompts granted to it: the latest firstEventAt of its
	// grants, or earlier if prompts were read faster than predicted.
	busyUntil time.Time
	// backoffUntil is when an engine that failed or rejected a request may get work again.
	backoffUntil      time.Time
	consecutiveFaults int
	// consecutiveRejections counts the requests that the engine rejected with a request for backoff since it last started
	// an answer.
	consecutiveRejections int
	// requests counts the parts of grants against the engine's RequestLimit and ColdLimit.
	requests serverlimit.Account
	// mayBeColdUntil is until when ColdAfterFault applies.
	mayBeColdUntil time.Time
}

// task is an engine's part of a grant.
type task struct {
	*activeGrant
	// memoryTokens is the memory that the grant takes on this engine.
	memoryTokens id.Tokens
	// answers says that the engine answers the request. Otherwise it only helps to read the prompt.
	answers bool
}

// isUsable reports whether the engine may get new work, regardless of its request limit.
func (en *engine) isUsable(now time.Time) bool {
	return en.remains() && !now.Before(en.backoffUntil)
}

// remains reports whether the engine is neither leaving nor evacuated.
func (en *engine) remains() bool { return !en.Leaving && !en.Evacuated }

// isEvacuated reports whether the engine gets nothing new only because it is evacuated.
func (en *engine) isEvacuated() bool { return en.Evacuated && !en.Leaving }

// isWithheld reports whether the engine gets nothing because another host counts its requests.
func (en *engine) isWithheld() bool { return en.CountedElsewhere && en.knownLimit() > 0 }

// isCandidate reports whether the engine may get new work now.
func (en *engine) isCandidate(now time.Time) bool {
	return en.isUsable(now) && !en.isWithheld() && en.requests.Wait(now) == 0 && !en.runsAloneRequest()
}

// knownLimit returns the rate of requests that the engine is known to accept; zero for no limit. An engine that only may
// be cold has none.
func (en *engine) knownLimit() serverlimit.Rate {
	if en.ColdLimit.Assumed {
		return en.RequestLimit
	}
	return en.ColdLimit.InForce(en.RequestLimit)
}

// updateLimits puts the limits that are in force into the account.
func (en *engine) updateLimits(now time.Time) {
	en.requests.SetRate(now, en.RequestLimit)
	cold := en.ColdLimit
	if cold.Rate == 0 && now.Before(en.mayBeColdUntil) {
		cold = en.ColdAfterFault
	}
	en.requests.SetColdLimit(now, cold)
}

// readingShare returns the share of its time that the engine can spend on prompts that take readTime to read. It is
// below 1 only for an engine with a request limit.
func (en *engine) readingShare(readTime time.Duration) float64 {
	limit := en.knownLimit()
	if limit == 0 {
		return 1
	}
	return min(1, float64(limit)*readTime.Seconds())
}

// runsAloneRequest reports whether the engine runs a request that is to run alone, or answers one that is exclusive until
// its answer begins.
func (en *engine) runsAloneRequest() bool {
	return slices.ContainsFunc(en.tasks, func(tk task) bool {
		return tk.request.RunAlone || tk.answers && tk.request.Exclusive && tk.isIsolated()
	})
}

// answersIsolated reports whether the engine answers a request with suspect parts whose answer has not begun.
func (en *engine) answersIsolated() bool {
	return slices.ContainsFunc(en.tasks, func(tk task) bool { return tk.answers && tk.isIsolated() })
}

// load sums up the tasks of an engine.
type load struct {
	// slotsUsed counts the requests that the engine answers, whether their prompts are being read or their answers are
	// being written.
	slotsUsed int
	// unstarted counts the tasks whose answers have not begun, without those that are late by overdueCutoff. promptsToRead
	// counts those of them whose first events are not due yet.
	unstarted     int
	promptsToRead int
	// startedAnswers counts the requests whose answers the engine is writing.
	startedAnswers int
	// shortPassRequests counts those of slotsUsed that need short passes.
	shortPassRequests int
	// contextTokens is the memory on this engine of requests whose answers are being written, by this engine or another.
	// A request that the engine answers itself counts with its memory divided by the number of parts of its grant.
	contextTokens id.Tokens
	// usedTokens is the memory of all tasks.
	usedTokens id.Tokens
	// pauseLimit is the shortest MaxPause of the requests that the engine answers; zero if none has one. It includes
	// requests that still wait for their first event, because parts of other prompts are read ahead of theirs.
	pauseLimit time.Duration
	// readOverdue is how far the engine is behind the predicted end of prompts that it reads without helpers. Prompts read
	// by several engines don't count, because they don't show which of the engines is late.
	readOverdue time.Duration
}

// loadOf returns the load of an engine.
func (mc *Machine) loadOf(now time.Time, en *engine) load {
	var ld load
	for _, tk := range en.tasks {
		ld.usedTokens += tk.memoryTokens
		late := now.Sub(tk.firstEventAt)
		if !tk.started && late < overdueCutoff {
			ld.unstarted++
		}
		if !tk.started && late < 0 {
			ld.promptsToRead++
		}
		if !tk.started && len(tk.Parts) == 1 && late < overdueCutoff {
			ld.readOverdue = max(ld.readOverdue, late)
		}
		if !tk.answers {
			if tk.started {
				ld.contextTokens += tk.memoryTokens
			}
			continue
		}
		ld.slotsUsed++
		if tk.needsShortPasses {
			ld.shortPassRequests++
		}
		if pause := tk.request.MaxPause; pause > 0 && (ld.pauseLimit == 0 || pause < ld.pauseLimit) {
			ld.pauseLimit = pause
		}
		if !tk.started {
			continue
		}
		ld.startedAnswers++
		ld.contextTokens += tk.memoryTokens / id.Tokens(len(tk.Parts))
	}
	return ld
}

// addTask adds the engine's part of a grant to its tasks, if the grant has a part at the engine's address.
func (en *engine) addTask(gr *activeGrant) {
	for ix, part := range gr.Parts {
		if part.Engine == en.Engine && part.Address == en.Address {
			en.tasks = append(en.tasks, task{activeGrant: gr, memoryTokens: part.MemoryTokens, answers: ix == 0})
		}
	}
}

// passTime returns the duration of a pass in which an engine only writes answers; zero if it writes none. A pass
// consists of StepsPerDecodePass steps, and each step adds one token to every answer.
func (mc *Machine) passTime(ld load) time.Duration {
	if ld.startedAnswers == 0 {
		return 0
	}
	profile := mc.profile
	stepTime := profile.StepTime + time.Duration(ld.startedAnswers)*profile.StepPerSequence + time.Duration(float64(profile.StepPerThousandContextTokens)*float64(ld.contextTokens)/1000)
	return stepTime * time.Duration(profile.StepsPerDecodePass)
}

// predictedWait returns the predicted time until an engine has read all prompts granted to it. A first event arrives up
// to two passes after its prompt was read. If one is later than that, the engine is slower than predicted, and the wait
// is at least that delay, up to maxOverdueWait.
func (mc *Machine) predictedWait(now time.Time, en *engine, ld load) time.Duration {
	wait := max(0, en.busyUntil.Sub(now))
	if late := ld.readOverdue - 2*mc.passTime(ld) - firstEventAllowance; late > 0 {
		wait = max(wait, min(late, maxOverdueWait))
	}
	return wait
}

const (
	// firstEventAllowance is how far a first event may lag behind two passes, because a part of another prompt may be read
	// before it and because its report takes time.
	firstEventAllowance = 150 * time.Millisecond
	// maxOverdueWait bounds the wait that is predicted because an engine is slower than predicted.
	maxOverdueWait = 300 * time.Millisecond
	// overdueCutoff is the delay from which on a prompt no longer counts as overdue, because the request was probably
	// lost in transit and says nothing about the engine.
	overdueCutoff = 1500 * time.Millisecond
)

// updateEngines replaces the list of engines. An engine that has restarted begins without tasks. An engine that is
// listed for the first time gets the tasks of grants that already name it.
func (mc *Machine) updateEngines(now time.Time, specs []EngineSpec) {
	listed := map[id.Engine]bool{}
	for _, spec := range specs {
		listed[spec.Engine] = true
		en, alreadyListed := mc.enginesByName[spec.Engine]
		if alreadyListed && en.StartedAtMillis == spec.StartedAtMillis && en.Address == spec.Address {
			wasWithheld := en.isWithheld()
			en.EngineSpec = spec
			en.updateLimits(now)
			if wasWithheld {
				en.requests.Restart(now)
			}
			continue
		}
		if alreadyListed {
			mc.removeEngine(en)
		}
		en = &engine{EngineSpec: spec}
		en.updateLimits(now)
		mc.enginesByName[spec.Engine] = en
		mc.engines = append(mc.engines, en)
		if alreadyListed {
			continue
		}
		for _, att := range slices.Sorted(maps.Keys(mc.grantsByAttempt)) {
			en.addTask(mc.grantsByAttempt[att])
		}
	}
	for _, en := range slices.Clone(mc.engines) {
		if !listed[en.Engine] {
			mc.removeEngine(en)
		}
	}
	slices.SortFunc(mc.engines, func(left, right *engine) int { return strings.Compare(string(left.Engine), string(right.Engine)) })
}

func (mc *Machine) removeEngine(en *engine) {
	delete(mc.enginesByName, en.Engine)
	mc.engines = slices.DeleteFunc(mc.engines, func(other *engine) bool { return other == en })
}

// countFault counts a fault of an engine that may still run requests. Each request that it ran brings a report of its own;
// those that arrive while the engine gets nothing anyway are about the same fault.
func (en *engine) countFault(now time.Time) {
	if en.consecutiveFaults == 0 || !now.Before(en.backoffUntil) {
		en.consecutiveFaults++
	}
}

// recordFault stops new work for an engine that failed an attempt, for a time that depends on the kind of fault.
func (mc *Machine) recordFault(now time.Time, ev FinishAttempt) {
	en, ok := mc.enginesByName[ev.FailedEngine]
	if !ok {
		return
	}
	backoff := mc.config.FaultBackoff
	// The bounds on the shifts prevent overflow; MaxFaultBackoff bounds the backoff.
	switch ev.Fault {
	case NoFault:
		return
	case Gone:
		en.Leaving = true
		return
	case Full:
		backoff = mc.config.FaultBackoff / 4
		if ev.RetryAfter > 0 {
			// The engine asked one host for backoff, which says little about the other hosts. The more requests it rejects,
			// the likelier it is full for all hosts, so the backoff doubles with each rejection up to the time asked for.
			backoff = min(backoff<<min(en.consecutiveRejections, 5), ev.RetryAfter)
			en.consecutiveRejections++
		}
	case ErrorResponse:
		en.countFault(now)
		backoff = mc.config.FaultBackoff / 4 * time.Duration(en.consecutiveFaults)
	case Unresponsive:
		en.countFault(now)
		backoff <<= min(en.consecutiveFaults-1, 5)
	case Unreachable:
		en.consecutiveFaults++
		backoff <<= min(en.consecutiveFaults-1, 5)
	}
	backoff = min(backoff, mc.config.MaxFaultBackoff)
	if until := now.Add(backoff); until.After(en.backoffUntil) {
		en.backoffUntil = until
	}
	if ev.Fault == Unreachable || ev.Fault == Unresponsive {
		en.mayBeColdUntil = en.backoffUntil.Add(en.ColdDuration)
		en.updateLimits(now)
	}
}
