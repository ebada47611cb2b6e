package batch

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// usedShare is the part of an engine's memory that prompts larger than one engine are spread over; engines keep
// memory in blocks, and short prompts come meanwhile.
const usedShare = 0.95

// isOversize reports whether no engine can hold a request alone.
func (mc *Machine) isOversize(wt *waiting) bool {
	return wt.PromptTokens+wt.MaxAnswerTokens > mc.engine.Capacity
}

// largest returns the size of the largest request that a number of engines can hold together.
func (mc *Machine) largest(engines int) id.Tokens {
	if engines <= 1 {
		return mc.engine.Capacity
	}
	return id.Tokens(usedShare * float64(mc.engine.Capacity) * float64(engines))
}

// keptAt returns the memory that the engine that answers needs at least: all of it, or for a prompt larger than one
// engine the answer and an even part of the prompt.
func (mc *Machine) keptAt(wt *waiting) id.Tokens {
	if !mc.isOversize(wt) {
		return wt.PromptTokens + wt.MaxAnswerTokens
	}
	return wt.MaxAnswerTokens + wt.PromptTokens/id.Tokens(mc.config.MaxParts)
}

// keep returns the parts of a grant with the memory that each engine keeps. A prompt larger than one engine is kept
// by as few others as hold it, under tickets; nil if they have no room.
func (mc *Machine) keep(chosen []int, wt *waiting) []Part {
	parts := make([]Part, len(chosen))
	for ix, at := range chosen {
		en := mc.view[at].engine
		parts[ix] = Part{Engine: en.Engine, Address: en.Address}
	}
	need := wt.PromptTokens + wt.MaxAnswerTokens
	if !mc.isOversize(wt) {
		parts[0].MemoryTokens = need
		return parts
	}
	free := func(ix int) id.Tokens {
		return max(0, id.Tokens(usedShare*float64(mc.engine.Capacity))-mc.view[chosen[ix]].load.held)
	}
	parts[0].MemoryTokens = min(need, free(0))
	left := need - parts[0].MemoryTokens
	order := make([]int, 0, len(chosen))
	for ix := 1; ix < len(chosen); ix++ {
		order = append(order, ix)
	}
	slices.SortStableFunc(order, func(one, other int) int { return cmp.Compare(free(other), free(one)) })
	name := strings.ReplaceAll(string(id.NewAttempt(wt.ID, wt.AttemptNumber)), "/", "-")
	for _, ix := range order {
		if left <= 0 {
			break
		}
		parts[ix].MemoryTokens = min(left, free(ix))
		if parts[ix].MemoryTokens == 0 {
			break
		}
		parts[ix].Ticket = name + "-" + strconv.Itoa(ix)
		left -= parts[ix].MemoryTokens
	}
	if left > 0 {
		return nil
	}
	return parts
}
