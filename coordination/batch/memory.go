package batch

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// spreadMemoryShare is the share of an engine's memory that may be filled by a request that is larger than one engine.
// The rest is left because engines allocate memory in blocks and because short prompts arrive meanwhile.
const spreadMemoryShare = 0.95

// isOversize reports whether a request needs more memory than one engine has.
func (mc *Machine) isOversize(wt *waitingRequest) bool {
	return wt.PromptTokens+wt.MaxAnswerTokens > mc.profile.Capacity
}

// maxRequestTokens returns the memory of the largest request that a number of engines can hold together.
func (mc *Machine) maxRequestTokens(engines int) id.Tokens {
	if engines <= 1 {
		return mc.profile.Capacity
	}
	return id.Tokens(spreadMemoryShare * float64(mc.profile.Capacity) * float64(engines))
}

// minAnsweringTokens returns the memory that the answering engine needs at least: that of the whole request, or, if the
// request is larger than one engine, that of the answer and of an even share of the prompt.
func (mc *Machine) minAnsweringTokens(wt *waitingRequest) id.Tokens {
	if !mc.isOversize(wt) {
		return wt.PromptTokens + wt.MaxAnswerTokens
	}
	return wt.MaxAnswerTokens + wt.PromptTokens/id.Tokens(mc.config.MaxParts)
}

// allocateParts returns the parts of a grant on the candidates with the given indexes, the answering engine first, with
// the memory that the request takes on each engine. What does not fit on the answering engine goes to as few helpers as
// possible, those with the most free memory first, and is to be reserved there under tickets. Each engine keeps the memory
// that its unused slots need for short prompts, unless the candidates have too little memory then. It returns nil if the
// candidates have too little free memory.
func (mc *Machine) allocateParts(indexes []int, wt *waitingRequest) []Part {
	if !mc.isOversize(wt) {
		parts := mc.emptyParts(indexes)
		parts[0].MemoryTokens = wt.PromptTokens + wt.MaxAnswerTokens
		return parts
	}
	if parts := mc.allocateOversize(indexes, wt, mc.room.meanMemory); parts != nil || mc.room.meanMemory == 0 {
		return parts
	}
	return mc.allocateOversize(indexes, wt, 0)
}

// emptyParts returns parts without memory on the candidates with the given indexes.
func (mc *Machine) emptyParts(indexes []int) []Part {
	parts := make([]Part, len(indexes))
	for partIndex, candidateIndex := range indexes {
		en := mc.candidates[candidateIndex].engine
		parts[partIndex] = Part{Engine: en.Engine, Address: en.Address}
	}
	return parts
}

// allocateOversize is allocateParts for a request that is larger than one engine. It leaves slotTokens of memory for each
// unused slot of an engine.
func (mc *Machine) allocateOversize(indexes []int, wt *waitingRequest, slotTokens id.Tokens) []Part {
	parts := mc.emptyParts(indexes)
	freeTokens := func(partIndex int) id.Tokens {
		ld := &mc.candidates[indexes[partIndex]].load
		kept := id.Tokens(max(0, mc.profile.Slots-ld.slotsUsed)) * slotTokens
		return max(0, id.Tokens(spreadMemoryShare*float64(mc.profile.Capacity))-ld.usedTokens-kept)
	}
	neededTokens := wt.PromptTokens + wt.MaxAnswerTokens
	parts[0].MemoryTokens = min(neededTokens, freeTokens(0))
	if parts[0].MemoryTokens < min(neededTokens, mc.minAnsweringTokens(wt)) && slotTokens > 0 {
		return nil
	}
	remainingTokens := neededTokens - parts[0].MemoryTokens
	helperIndexes := make([]int, 0, len(indexes))
	for partIndex := 1; partIndex < len(indexes); partIndex++ {
		helperIndexes = append(helperIndexes, partIndex)
	}
	slices.SortStableFunc(helperIndexes, func(left, right int) int { return cmp.Compare(freeTokens(right), freeTokens(left)) })
	ticketPrefix := strings.ReplaceAll(string(id.NewAttempt(wt.ID, wt.AttemptNumber)), "/", "-")
	for _, partIndex := range helperIndexes {
		if remainingTokens <= 0 {
			break
		}
		parts[partIndex].MemoryTokens = min(remainingTokens, freeTokens(partIndex))
		if parts[partIndex].MemoryTokens == 0 {
			break
		}
		parts[partIndex].Ticket = ticketPrefix + "-" + strconv.Itoa(partIndex)
		remainingTokens -= parts[partIndex].MemoryTokens
	}
	if remainingTokens > 0 {
		return nil
	}
	return parts
}
