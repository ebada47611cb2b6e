package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Bounds of the requests of a queue that are looked at in one step.
const (
	shortLooks = 12
	longLooks  = 6
)

// pump hands out what can start now, short prompts first.
func (mc *Machine) pump(now time.Time) {
	const idle = 200 * time.Millisecond
	if len(mc.waiting) == 0 {
		return
	}
	mc.look(now)
	next := min(idle, mc.pumpQueue(now, &mc.short, shortLooks, mc.placeShort))
	next = min(next, mc.pumpQueue(now, &mc.long, longLooks, mc.placeLong))
	mc.lookAt = now.Add(max(next-mc.config.DispatchLead, mc.config.DispatchLead/2))
}

// plan is a place that a request may be given.
type plan struct {
	grant *grant
	// start is the predicted time until the engines are free, finish until the prompt has been read.
	start  time.Duration
	finish time.Duration
}

// pumpQueue places requests in order and returns the time until the first of those that wait may be placed. While a
// request waits for engines to become free, those behind it may use what is free until then, if they are done by then.
func (mc *Machine) pumpQueue(now time.Time, qu *queue, looks int, place func(time.Time, *waiting) (plan, bool)) time.Duration {
	reserved := time.Duration(math.MaxInt64)
	mc.heads = qu.heads(now, looks, mc.heads[:0])
	for _, wt := range mc.heads {
		pl, ok := place(now, wt)
		if !ok {
			continue
		}
		if pl.start > mc.config.DispatchLead || pl.finish > reserved {
			reserved = min(reserved, max(pl.start, mc.config.DispatchLead))
			continue
		}
		mc.grant(now, wt, pl.grant)
		mc.look(now)
	}
	return reserved
}

func (mc *Machine) grant(now time.Time, wt *waiting, gr *grant) {
	mc.drop(wt)
	gr.Attempt = id.NewAttempt(wt.ID, wt.AttemptNumber)
	gr.request = wt.Request
	gr.renewed = now
	gr.short = mc.isShort(wt) || mc.isStrict(wt.Request)
	gr.Urgency = urgencyOf(wt)
	gr.PredictedFirstEvent = gr.ready.Sub(now)
	mc.charge(gr)
	mc.effects = append(mc.effects, Effect{Kind: Granted, Request: wt.ID, Grant: gr.Grant})
}

// isStrict reports whether a request allows only pauses about as short as the shortest that any request allows.
func (mc *Machine) isStrict(rq Request) bool {
	const near = 1.25
	return rq.MaxPause > 0 && float64(rq.MaxPause) <= near*float64(mc.strictest)
}

// urgencyOf orders requests inside an engine by the time within which they are to start.
func urgencyOf(wt *waiting) int {
	const most = 9
	return min(most, int(wt.FirstEventTarget/time.Second))
}

// candidate is an engine that may take a request or a part of it.
type candidate struct {
	engine *engine
	load   load
	wait   time.Duration
	pass   time.Duration
	// room is the reading time that the engine can take in one pass without a pause that is too long.
	room time.Duration
}

// look takes a view of the engines that may get new work.
func (mc *Machine) look(now time.Time) {
	mc.viewed = now
	mc.view = mc.view[:0]
	mc.fewest = math.MaxInt
	for _, en := range mc.engines {
		if !en.usable(now) || en.reserved() {
			continue
		}
		mc.fewest = min(mc.fewest, len(en.tasks))
		ld := mc.loadOf(now, en)
		cd := candidate{engine: en, load: ld, wait: mc.wait(now, en, ld), pass: mc.pass(ld), room: math.MaxInt64}
		if ld.pause > 0 {
			cd.room = mc.spare(ld, ld.pause-mc.config.PauseMargin-cd.pass) - cd.wait
		}
		mc.view = append(mc.view, cd)
	}
}

// spare returns the part of a pass that may be used for reading. Engines whose slots are nearly full read less, so that
// their answers end and the slots get free.
func (mc *Machine) spare(ld load, room time.Duration) time.Duration {
	free := 1 - float64(ld.running)/float64(max(1, mc.engine.Slots))
	return time.Duration(min(1, mc.config.FreeSlotFactor*free) * float64(room))
}

// takes reports whether an engine of the view may get a request at all.
func (mc *Machine) takes(cd *candidate, wt *waiting, avoid bool) bool {
	if wt.RunAlone && !mc.takesAlone(cd, wt) || wt.BackoffUntil != nil && mc.viewed.Before(wt.BackoffUntil[cd.engine.Engine]) {
		return false
	}
	return !avoid || !slices.Contains(wt.AvoidedEngines, cd.engine.Engine)
}

// takesAlone reports whether an engine of the view may get a request that is to run alone.
func (mc *Machine) takesAlone(cd *candidate, wt *waiting) bool {
	for _, gr := range mc.grants {
		if gr.request.RunAlone && gr.request.ContentFingerprint == wt.ContentFingerprint && wt.ContentFingerprint != 0 {
			return false
		}
	}
	most := 0
	if mc.viewed.Sub(wt.since) >= mc.config.RunAloneWait {
		most = mc.fewest
	}
	return len(cd.engine.tasks) <= most
}

// canAvoid reports whether there are enough engines without those that a request is to avoid.
func (mc *Machine) canAvoid(wt *waiting) bool {
	return len(wt.AvoidedEngines) > 0 && slices.ContainsFunc(mc.view, func(cd candidate) bool {
		return !slices.Contains(wt.AvoidedEngines, cd.engine.Engine)
	})
}

// holds reports whether an engine has memory and a slot for the answer to a request.
func (mc *Machine) holds(cd *candidate, need id.Tokens) bool {
	return cd.load.running < mc.engine.Slots && cd.load.held+need <= mc.engine.Capacity
}

// placeShort packs short prompts onto the first engines in a fixed order that can start them soon enough, so that
// the others stay clear for long prompts. If none can, the engine with the earliest start takes the request.
func (mc *Machine) placeShort(now time.Time, wt *waiting) (plan, bool) {
	need := wt.PromptTokens + wt.MaxAnswerTokens
	goal := time.Duration(mc.config.PackingWaitShare * float64(wt.FirstEventTarget))
	packed := max(1, int(mc.config.PackingSlotShare*float64(mc.engine.Slots)))
	avoid := mc.canAvoid(wt)
	var best *candidate
	var bestStart time.Duration
	for ix := range mc.view {
		cd := &mc.view[ix]
		if !mc.takes(cd, wt, avoid) || !mc.holds(cd, need) {
			continue
		}
		start := cd.wait + wt.read + cd.pass/2
		if start <= goal && cd.load.running < packed {
			best, bestStart = cd, start
			break
		}
		if best == nil || start < bestStart {
			best, bestStart = cd, start
		}
	}
	if best == nil || bestStart > wt.FirstEventTarget && best.wait > mc.config.DispatchLead {
		return plan{}, false
	}
	return plan{grant: &grant{
		Grant: Grant{Parts: []Part{{Engine: best.engine.Engine, Address: best.engine.Address, MemoryTokens: need}}},
		read:  wt.read,
		ready: now.Add(best.wait + wt.read + mc.config.GrantDelay),
	}}, true
}

// placeLong has a long prompt read in even parts by as many engines as give the earliest end, without a pass that
// is too long for those that write there.
func (mc *Machine) placeLong(now time.Time, wt *waiting) (plan, bool) {
	mc.orderEngines(wt)
	var finish, start time.Duration
	found := false
	most := min(len(mc.order), mc.config.MaxParts)
	for count := mc.leastParts(wt, most); count <= most; count += stride(count) {
		ends, starts, ok := mc.choose(now, wt, count)
		if ok && (!found || ends < finish) {
			finish, start, found = ends, starts, true
			mc.best = append(mc.best[:0], mc.chosen...)
		}
	}
	if !found {
		return plan{}, false
	}
	part := wt.read / time.Duration(len(mc.best))
	return plan{
		grant: &grant{
			Grant: Grant{Parts: mc.keep(mc.best, wt)},
			read:  part,
			ready: now.Add(start + part + mc.longestPass(mc.best)/2 + mc.config.GrantDelay),
		},
		start:  start,
		finish: start + part,
	}, true
}

// stride returns how many more engines are tried next: beyond a few, one more makes little difference.
func stride(count int) int {
	const few = 4
	if count < few {
		return 1
	}
	return 2
}

// longestPass returns the longest pass of engines of the view without reading.
func (mc *Machine) longestPass(chosen []int) time.Duration {
	var longest time.Duration
	for _, ix := range chosen {
		longest = max(longest, mc.view[ix].pass)
	}
	return longest
}

// leastParts returns the number of engines below which a part of a prompt would take longer than a pass may.
func (mc *Machine) leastParts(wt *waiting, most int) int {
	if wt.MaxPause <= 0 {
		return 1
	}
	longest := max(time.Millisecond, wt.MaxPause-mc.config.PauseMargin)
	return max(1, min(int(mc.config.MinEngineShare*float64(most)), int((wt.read+longest-1)/longest)))
}

// orderEngines orders the engines for a long prompt: those without short prompts first, then those that answer
// nothing, then those that are free first.
func (mc *Machine) orderEngines(wt *waiting) {
	avoid := mc.canAvoid(wt)
	mc.order = mc.order[:0]
	for ix := range mc.view {
		if mc.takes(&mc.view[ix], wt, avoid) {
			mc.order = append(mc.order, ix)
		}
	}
	slices.SortStableFunc(mc.order, func(left, right int) int {
		one, other := &mc.view[left], &mc.view[right]
		if short := cmp.Compare(min(one.load.short, 1), min(other.load.short, 1)); short != 0 {
			return short
		}
		if idle := cmp.Compare(min(one.load.running, 1), min(other.load.running, 1)); idle != 0 {
			return idle
		}
		return cmp.Compare(one.wait, other.wait)
	})
}

// roomFor returns the reading time that an engine can take for a request. The margin that is left for what can't be
// predicted shrinks as the request waits, but a pause that others allow is never planned to be exceeded: there are
// more of them than of the one that waits.
func (mc *Machine) roomFor(now time.Time, cd *candidate, wt *waiting) time.Duration {
	if cd.load.pause == 0 {
		return cd.room
	}
	used := min(1, float64(now.Sub(wt.ArrivedAt))/float64(max(wt.FirstEventTarget, time.Millisecond)))
	return cd.room + time.Duration(used*float64(mc.config.PauseMargin-mc.config.MinPauseMargin))
}

// choose puts the given number of engines that can take a part each into chosen, the one that answers first, and
// returns when they end and start.
func (mc *Machine) choose(now time.Time, wt *waiting, count int) (finish, start time.Duration, ok bool) {
	part := wt.read / time.Duration(count)
	answering := mc.answering(now, wt, part)
	if answering < 0 {
		return 0, 0, false
	}
	mc.chosen = append(mc.chosen[:0], answering)
	for _, ix := range mc.order {
		if len(mc.chosen) == count {
			break
		}
		if ix != answering && mc.roomFor(now, &mc.view[ix], wt) >= part {
			mc.chosen = append(mc.chosen, ix)
		}
	}
	if len(mc.chosen) < count || mc.isOversize(wt) && mc.keep(mc.chosen, wt) == nil {
		return 0, 0, false
	}
	var cost time.Duration
	for _, ix := range mc.chosen {
		start = max(start, mc.view[ix].wait)
		if mc.view[ix].load.short > 0 {
			cost += mc.config.ShortPromptPenalty
		} else if mc.view[ix].load.running > 0 {
			cost += mc.config.WriterPenalty
		}
	}
	return start + part + cost, start, true
}

// answering returns the engine that is to answer a request, or -1: one on which the request's pause makes no
// stricter bound for others, then the one that is free first, then the fullest one, so that few engines write long
// answers and the others only read.
func (mc *Machine) answering(now time.Time, wt *waiting, part time.Duration) int {
	need := mc.keptAt(wt)
	strict := mc.isStrict(wt.Request)
	best := -1
	for _, ix := range mc.order {
		cd := &mc.view[ix]
		if !mc.holds(cd, need) || mc.roomFor(now, cd, wt) < part {
			continue
		}
		if best < 0 || mc.answersBetter(cd, &mc.view[best], strict) {
			best = ix
		}
	}
	return best
}

func (mc *Machine) answersBetter(left, right *candidate, strict bool) bool {
	if mixes := cmp.Compare(mixing(left, strict), mixing(right, strict)); mixes != 0 {
		return mixes < 0
	}
	if wait := cmp.Compare(max(left.wait, mc.config.DispatchLead), max(right.wait, mc.config.DispatchLead)); wait != 0 {
		return wait < 0
	}
	return left.load.held > right.load.held
}

// mixing tells whether a request would be the first strict one on an engine, or a lenient one beside strict ones.
func mixing(cd *candidate, strict bool) int {
	if strict == (cd.load.short > 0) {
		return 0
	}
	return 1
}
