package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// engine is the machine's view of one engine. Pending prefill is predicted from the grants made
// and corrected by load reports, which are old when they arrive.
type engine struct {
	EngineSpec
	held    id.Tokens
	foreign id.Tokens
	streams int
	// backlog counts pending prompt tokens by class, unstarted the grants that wait for their first token.
	backlog   [classes]float64
	unstarted [classes]int
	advanced  time.Time
	// alone is the attempt that has the engine for itself.
	alone id.Attempt
	// drainFor is the request that the engine is being emptied for.
	drainFor *waiting
	// recent holds the prompt tokens granted lately, to correct old reports.
	recent  []granted
	cache   map[uint64]struct{}
	unknown map[id.Attempt]time.Time
}

type granted struct {
	at     time.Time
	tokens float64
}

func (mc *Machine) engineSeen(now time.Time, spec EngineSpec) {
	if en, ok := mc.byName[spec.Engine]; ok {
		mc.capacity += spec.CapacityTokens - en.CapacityTokens
		en.EngineSpec = spec
		return
	}
	en := &engine{
		EngineSpec: spec,
		advanced:   now,
		cache:      map[uint64]struct{}{},
		unknown:    map[id.Attempt]time.Time{},
	}
	mc.byName[spec.Engine] = en
	mc.capacity += spec.CapacityTokens
	at, _ := slices.BinarySearchFunc(mc.engines, spec.Engine, func(en *engine, name id.Engine) int {
		return strings.Compare(string(en.Engine), string(name))
	})
	mc.engines = slices.Insert(mc.engines, at, en)
	for _, gr := range mc.grants {
		for ix, part := range gr.Parts {
			if part.Engine == spec.Engine {
				en.held += part.PromptTokens + gr.answerOn(ix)
				en.streams++
				if !gr.started {
					en.unstarted[classOf(part.PromptTokens)]++
				}
			}
		}
	}
}

func (mc *Machine) engineLost(name id.Engine) {
	if en, ok := mc.byName[name]; ok {
		mc.capacity -= en.CapacityTokens
	}
	delete(mc.byName, name)
	mc.engines = slices.DeleteFunc(mc.engines, func(en *engine) bool { return en.Engine == name })
}

// takes reports whether an engine takes new work for a model.
func (en *engine) takes(model id.Model) bool {
	return !en.Leaving && slices.Contains(en.Models, model)
}

// rate returns the prompt tokens per second that an engine processes beside its decoding streams.
func (mc *Machine) rate(en *engine) float64 {
	step := mc.config.BaseStepTime + time.Duration(en.streams)*mc.config.StepTimePerStream
	return min(mc.config.PrefillTokensPerSecond, mc.config.PrefillTokensPerStep/step.Seconds())
}

// advance lets the predicted prefill progress up to now, highest class first.
func (mc *Machine) advance(now time.Time, en *engine) {
	passed := now.Sub(en.advanced).Seconds()
	if passed <= 0 {
		return
	}
	en.advanced = now
	budget := passed * mc.rate(en)
	for class := range en.backlog {
		done := min(budget, en.backlog[class])
		en.backlog[class] -= done
		budget -= done
	}
}

// pending returns the predicted prompt tokens that are not processed.
func (en *engine) pending() float64 {
	var sum float64
	for _, tokens := range en.backlog {
		sum += tokens
	}
	return sum
}

// ahead returns the pending prompt tokens that are processed before a new prompt of a class.
func (en *engine) ahead(class int, priority bool) float64 {
	if !priority {
		return en.pending()
	}
	var sum float64
	for ix := range class + 1 {
		sum += en.backlog[ix]
	}
	return sum
}

// charge adds a part of a grant to its engine.
func (mc *Machine) charge(now time.Time, gr *grant, ix int) {
	part := gr.Parts[ix]
	en, ok := mc.byName[part.Engine]
	if !ok {
		return
	}
	mc.advance(now, en)
	en.held += part.PromptTokens + gr.answerOn(ix)
	en.streams++
	delete(en.unknown, gr.Attempt)
	if gr.started {
		return
	}
	en.unstarted[classOf(part.PromptTokens)]++
	tokens := float64(part.PromptTokens - mc.cachedPrefix(en, gr.request.PrefixHashes, part.PromptTokens))
	en.backlog[classOf(part.PromptTokens)] += tokens
	en.recent = append(en.recent, granted{at: now, tokens: tokens})
}

// settle removes what is left of the predicted prefill of a grant whose first token has arrived or that has ended,
// when no other grant of its class waits for its first token on the engine.
func (mc *Machine) settle(now time.Time, gr *grant) {
	for _, part := range gr.Parts {
		en, ok := mc.byName[part.Engine]
		if !ok {
			continue
		}
		mc.advance(now, en)
		class := classOf(part.PromptTokens)
		en.unstarted[class]--
		if en.unstarted[class] == 0 {
			en.backlog[class] = 0
		}
	}
}

// reported corrects the predicted prefill: what was pending then, plus what was granted since,
// less what the engine has processed since.
func (mc *Machine) reported(now time.Time, ev ReportLoad) {
	en, ok := mc.byName[ev.Engine]
	if !ok {
		return
	}
	mc.advance(now, en)
	kept := en.recent[:0]
	var since float64
	for _, gt := range en.recent {
		if gt.at.After(ev.MeasuredAt) {
			since += gt.tokens
			kept = append(kept, gt)
		}
	}
	en.recent = kept
	estimate := max(0, float64(ev.PendingTokens)+since-now.Sub(ev.MeasuredAt).Seconds()*mc.rate(en))
	mc.rescale(en, estimate)
}

// rescale moves the predicted prefill to an estimate, the lowest class first.
func (mc *Machine) rescale(en *engine, estimate float64) {
	excess := en.pending() - estimate
	for class := classes - 1; class >= 0 && excess > 0; class-- {
		removed := min(excess, en.backlog[class])
		en.backlog[class] -= removed
		excess -= removed
	}
	if excess < 0 {
		en.backlog[classes-1] -= excess
	}
}

// listed compares the attempts on an engine with the grants. Attempts that stay unknown are cancelled.
func (mc *Machine) listed(now time.Time, ev ListAttempts) {
	en, ok := mc.byName[ev.Engine]
	if !ok {
		return
	}
	var foreign id.Tokens
	unknown := map[id.Attempt]time.Time{}
	for _, hd := range ev.Attempts {
		if _, granted := mc.grants[hd.Attempt]; granted {
			continue
		}
		foreign += hd.Tokens
		first, seen := en.unknown[hd.Attempt]
		if !seen {
			first = now
		}
		unknown[hd.Attempt] = first
		if now.Sub(first) >= mc.config.OrphanTimeout {
			mc.emit(Effect{Kind: CancelAttempt, Attempt: hd.Attempt, Request: id.RequestOf(hd.Attempt), Engine: en.Engine, Address: en.Address})
		}
	}
	en.unknown = unknown
	en.foreign = foreign
}

func (mc *Machine) cacheChanged(ev UpdateCache) {
	en, ok := mc.byName[ev.Engine]
	if !ok {
		return
	}
	if ev.Evicted {
		delete(en.cache, ev.Block)
		return
	}
	const maxBlocks = 4096
	if len(en.cache) >= maxBlocks {
		clear(en.cache)
	}
	en.cache[ev.Block] = struct{}{}
}

// blockTokens is the number of prompt tokens in a prefix block.
const blockTokens = 256

func (mc *Machine) cachedPrefix(en *engine, prefix []uint64, prompt id.Tokens) id.Tokens {
	if !mc.config.Policy.PrefixAffinity {
		return 0
	}
	var cached id.Tokens
	for _, block := range prefix {
		if _, ok := en.cache[block]; !ok {
			break
		}
		cached += blockTokens
	}
	return max(0, min(cached, prompt-1))
}
