package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// pump hands out what can start now, short prompts first.
func (mc *Machine) pump(now time.Time) {
	if len(mc.waiting) == 0 {
		return
	}
	mc.order(now, mc.short)
	mc.pumpQueue(now, mc.short, mc.placeShort)
	mc.order(now, mc.long)
	mc.pumpQueue(now, mc.long, mc.placeLong)
}

// order sorts a queue: interrupted work first, then what can still be on time by its latest start, then the rest in
// order of arrival.
func (mc *Machine) order(now time.Time, queue []*waiting) {
	parts := time.Duration(max(1, min(len(mc.engines), mc.config.MaxParts)))
	latest := func(wt *waiting) time.Time { return wt.Arrived.Add(wt.Target - wt.read/parts - mc.config.Delay) }
	slices.SortStableFunc(queue, func(left, right *waiting) int {
		if (left.Number > 1) != (right.Number > 1) {
			return cmp.Compare(right.Number, left.Number)
		}
		leftStart, rightStart := latest(left), latest(right)
		leftLate, rightLate := leftStart.Before(now), rightStart.Before(now)
		switch {
		case leftLate && !rightLate:
			return 1
		case rightLate && !leftLate:
			return -1
		case left.Rank != right.Rank:
			return cmp.Compare(left.Rank, right.Rank)
		default:
			return leftStart.Compare(rightStart)
		}
	})
}

// plan is a place that a request may be given.
type plan struct {
	grant *grant
	// start is the predicted time until the engines are free, finish until the prompt has been read.
	start  time.Duration
	finish time.Duration
}

// pumpQueue places requests in order. While a request waits for engines to become free, those behind it may use what
// is free until then, if they are done by then.
func (mc *Machine) pumpQueue(now time.Time, queue []*waiting, place func(time.Time, *waiting) (plan, bool)) {
	const looks = 12
	reserved := time.Duration(math.MaxInt64)
	for ix, wt := range slices.Clone(queue) {
		if ix >= looks {
			return
		}
		pl, ok := place(now, wt)
		if !ok {
			continue
		}
		if pl.start > mc.config.Ahead || pl.finish > reserved {
			reserved = min(reserved, max(pl.start, mc.config.Ahead))
			continue
		}
		mc.drop(wt)
		gr := pl.grant
		gr.Attempt = id.NewAttempt(wt.ID, wt.Number)
		gr.request = wt.Request
		gr.renewed = now
		gr.short = mc.isShort(wt) || mc.isStrict(wt.Request)
		gr.Urgency = urgencyOf(wt)
		gr.Start = gr.ready.Sub(now)
		mc.charge(now, gr)
		mc.effects = append(mc.effects, Effect{Kind: Granted, Request: wt.ID, Grant: gr.Grant})
	}
}

// isStrict reports whether a request allows only pauses about as short as the shortest that any request allows.
func (mc *Machine) isStrict(rq Request) bool {
	const near = 1.25
	return rq.MaxPause > 0 && float64(rq.MaxPause) <= near*float64(mc.strictest)
}

// urgencyOf orders requests inside an engine by the time within which they are to start.
func urgencyOf(wt *waiting) int {
	const most = 9
	return min(most, int(wt.Target/time.Second))
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

func (mc *Machine) candidates(now time.Time, wt *waiting) []candidate {
	found := make([]candidate, 0, len(mc.engines))
	avoided := 0
	for _, en := range mc.engines {
		if !en.usable(now) {
			continue
		}
		if slices.Contains(wt.Avoid, en.Engine) {
			avoided++
			continue
		}
		ld := mc.loadOf(now, en)
		if wt.Alone && len(en.grants) > 0 {
			continue
		}
		cd := candidate{engine: en, load: ld, wait: mc.wait(now, en, ld), pass: mc.pass(en, ld), room: math.MaxInt64}
		if ld.pause > 0 {
			cd.room = max(0, time.Duration(mc.config.PauseUse*float64(ld.pause))-cd.pass-cd.wait)
		}
		found = append(found, cd)
	}
	if len(found) == 0 && avoided > 0 {
		eager := *wt
		eager.Avoid = nil
		return mc.candidates(now, &eager)
	}
	return found
}

// holds reports whether an engine has memory and a slot for the answer to a request.
func (mc *Machine) holds(cd candidate, need id.Tokens) bool {
	return cd.load.running < mc.engine.Slots && cd.load.held+need <= mc.engine.Capacity
}

// placeShort packs short prompts onto the first engines in a fixed order that can start them soon enough, so that
// the others stay clear for long prompts. If none can, the engine with the earliest start takes the request.
func (mc *Machine) placeShort(now time.Time, wt *waiting) (plan, bool) {
	need := wt.Prompt + wt.Answer
	goal := time.Duration(mc.config.ShortWait * float64(wt.Target))
	packed := max(1, int(mc.config.ShortWriters*float64(mc.engine.Slots)))
	var best *candidate
	var bestStart time.Duration
	found := mc.candidates(now, wt)
	for ix := range found {
		cd := &found[ix]
		if !mc.holds(*cd, need) {
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
	if best == nil || bestStart > wt.Target && best.wait > mc.config.Ahead {
		return plan{}, false
	}
	return plan{grant: &grant{
		Grant:  Grant{Parts: []Part{{Engine: best.engine.Engine, Address: best.engine.Address}}},
		read:   wt.read,
		ready:  now.Add(best.wait + wt.read + mc.config.Delay),
		memory: need,
	}}, true
}

// placeLong has a long prompt read in even parts by as many engines as give the earliest end, without a pass that
// is too long for those that write there.
func (mc *Machine) placeLong(now time.Time, wt *waiting) (plan, bool) {
	found := mc.candidates(now, wt)
	mc.relax(now, wt, found)
	slices.SortStableFunc(found, func(left, right candidate) int {
		if clear := cmp.Compare(min(left.load.short, 1), min(right.load.short, 1)); clear != 0 {
			return clear
		}
		return cmp.Compare(left.wait, right.wait)
	})
	var best []candidate
	var bestFinish, bestStart time.Duration
	for count := 1; count <= min(len(found), mc.config.MaxParts); count++ {
		chosen, finish, start := mc.choose(found, wt, count)
		if chosen != nil && (best == nil || finish < bestFinish) {
			best, bestFinish, bestStart = chosen, finish, start
		}
	}
	if best == nil {
		return plan{}, false
	}
	part := wt.read / time.Duration(len(best))
	gr := &grant{
		read:   part,
		ready:  now.Add(bestStart + part + mc.config.Delay),
		memory: wt.Prompt + wt.Answer,
	}
	for _, cd := range best {
		gr.Parts = append(gr.Parts, Part{Engine: cd.engine.Engine, Address: cd.engine.Address})
	}
	return plan{grant: gr, start: bestStart, finish: bestStart + part}, true
}

// choose returns the given number of engines that can take a part each, the one that answers first.
func (mc *Machine) choose(found []candidate, wt *waiting, count int) ([]candidate, time.Duration, time.Duration) {
	part := wt.read / time.Duration(count)
	answering := mc.answering(found, wt, part)
	if answering < 0 {
		return nil, 0, 0
	}
	chosen := append(make([]candidate, 0, count), found[answering])
	for ix, cd := range found {
		if len(chosen) == count {
			break
		}
		if ix != answering && cd.room >= part {
			chosen = append(chosen, cd)
		}
	}
	if len(chosen) < count {
		return nil, 0, 0
	}
	var start, cost time.Duration
	for _, cd := range chosen {
		start = max(start, cd.wait)
		if cd.load.short > 0 {
			cost += mc.config.MixCost
		}
	}
	return chosen, start + part + cost, start
}

// answering returns the engine that is to answer a request, or -1: one on which the request's pause makes no
// stricter bound for others, then the one that is free first, then the one with the most memory.
func (mc *Machine) answering(found []candidate, wt *waiting, part time.Duration) int {
	need := wt.Prompt + wt.Answer
	strict := mc.isStrict(wt.Request)
	best := -1
	for ix, cd := range found {
		if cd.room < part || !mc.holds(cd, need) {
			continue
		}
		if best < 0 || mc.answersBetter(cd, found[best], strict) {
			best = ix
		}
	}
	return best
}

func (mc *Machine) answersBetter(left, right candidate, strict bool) bool {
	if mixes := cmp.Compare(mixing(left, strict), mixing(right, strict)); mixes != 0 {
		return mixes < 0
	}
	if wait := cmp.Compare(max(left.wait, mc.config.Ahead), max(right.wait, mc.config.Ahead)); wait != 0 {
		return wait < 0
	}
	return left.load.held < right.load.held
}

// mixing tells whether a request would be the first strict one on an engine, or a lenient one beside strict ones.
func mixing(cd candidate, strict bool) int {
	if strict == (cd.load.short > 0) {
		return 0
	}
	return 1
}

// relax widens the room on engines for a prompt that has waited for a part of its target: by then a pause that is
// too long for some costs less than the prompt.
func (mc *Machine) relax(now time.Time, wt *waiting, found []candidate) {
	const patient = 0.3
	used := float64(now.Sub(wt.Arrived)) / float64(max(wt.Target, time.Millisecond))
	if used < patient && wt.Number <= 1 {
		return
	}
	for ix := range found {
		if found[ix].load.pause > 0 {
			found[ix].room = max(found[ix].room, time.Duration(used*float64(found[ix].load.pause)))
		}
	}
}
