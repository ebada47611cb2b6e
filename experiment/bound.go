package experiment

import (
	"math"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
)

const (
	// boundStep is the time for which the engines' time has one price.
	boundStep = 50 * time.Millisecond
	// boundRounds is the number of rounds in which the prices are adapted.
	boundRounds = 2000
	// boundRate is the change of a price in the first round, as a part of the mean benefit for a second of an engine.
	boundRate = 0.05
)

// load is what one request asks of the engines.
type load struct {
	// read and write are engine seconds.
	read, write float64
	// from, target and last are the first and last slots in which the prompt can be read in time, and at all; end is
	// the last slot of the answer.
	from, target, last, end int
	onTime, late            float64
}

// UpperBound returns a part of the benefit owed that no way to place the requests can exceed. It knows all requests in
// advance, lets engines share any work without loss, and needs only as many engine seconds as there are: the dual of
// that relaxation, with a price for each slot of the engines' time.
func UpperBound(pt Pattern, seed uint64) float64 {
	var loads []load
	var owed, work float64
	slots := 0
	for _, ar := range pt.arrivals(seed) {
		if ar.leaves > 0 {
			continue
		}
		ld := pt.load(ar)
		owed += ld.onTime
		work += ld.read + ld.write
		slots = max(slots, ld.end+1)
		loads = append(loads, ld)
	}
	if owed == 0 {
		return 1
	}
	room := pt.room(slots)
	prices := make([]float64, slots)
	best := math.Inf(1)
	used := make([]float64, slots)
	for round := range boundRounds {
		value := dual(loads, room, prices, used)
		best = min(best, value)
		rate := boundRate * owed / work / math.Sqrt(float64(round+1))
		for ix := range prices {
			prices[ix] = max(0, prices[ix]+rate*(used[ix]/room[ix]-1))
		}
	}
	return min(1, best/owed)
}

// load returns what a request asks of the engines at least.
func (pt Pattern) load(ar arrival) load {
	kind, en := pt.Kinds[ar.kind], pt.EngineProfile
	prompt, answer := float64(ar.prompt), float64(ar.events*en.StepsPerDecodePass)
	read := en.PrefillTime(ar.prompt).Seconds()
	// A step is shared by the writers that have slots.
	write := answer * (en.StepTime.Seconds()/float64(en.Slots) + en.StepPerSequence.Seconds() + prompt/1000*en.StepPerThousandContextTokens.Seconds())
	slot := func(after time.Duration) int { return int((ar.at + after) / boundStep) }
	ld := load{
		read:   read,
		write:  write,
		from:   slot(0),
		target: slot(kind.Target - 2*clientHop),
		last:   slot(patience(kind) - 2*clientHop),
		end:    slot(kind.Timeout),
		onTime: pt.owed(ar),
	}
	ld.late = ld.onTime * kind.Late / kind.Worth
	parts := float64(min(pt.EngineCount, batch.DefaultConfig().MaxParts))
	if read/parts > kind.Target.Seconds() {
		ld.target = ld.from - 1
	}
	if read/parts > patience(kind).Seconds() {
		ld.last = ld.from - 1
	}
	return ld
}

// room returns the engine seconds of each slot.
func (pt Pattern) room(slots int) []float64 {
	room := make([]float64, slots)
	for ix := range room {
		engines := pt.EngineCount
		for _, loss := range pt.Losses {
			if time.Duration(ix)*boundStep > loss.At {
				engines -= loss.Count
			}
		}
		room[ix] = float64(engines) * boundStep.Seconds()
	}
	return room
}

// dual returns the benefit of the relaxation at given prices and notes what is used of each slot.
func dual(loads []load, room, prices, used []float64) float64 {
	clear(used)
	var value float64
	for ix, price := range prices {
		value += price * room[ix]
	}
	least := newCheapest(prices)
	for _, ld := range loads {
		written := least.in(ld.from, ld.end)
		gain, read := 0.0, -1
		if ld.target >= ld.from {
			at := least.in(ld.from, ld.target)
			gain, read = ld.onTime-ld.read*prices[at], at
		}
		if ld.last >= ld.from {
			at := least.in(ld.from, ld.last)
			if late := ld.late - ld.read*prices[at]; late > gain {
				gain, read = late, at
			}
		}
		gain -= ld.write * prices[written]
		if read >= 0 && gain > 0 {
			value += gain
			used[read] += ld.read
			used[written] += ld.write
		}
	}
	return value
}

// cheapest finds the slot with the lowest price in any span: for each power of two, the lowest of so many slots.
type cheapest struct {
	prices []float64
	spans  [][]int
}

func newCheapest(prices []float64) cheapest {
	ch := cheapest{prices: prices}
	slots := make([]int, len(prices))
	for ix := range slots {
		slots[ix] = ix
	}
	ch.spans = append(ch.spans, slots)
	for width := 1; 2*width <= len(prices); width *= 2 {
		lower := ch.spans[len(ch.spans)-1]
		wider := make([]int, len(prices)-2*width+1)
		for ix := range wider {
			wider[ix] = ch.lower(lower[ix], lower[ix+width])
		}
		ch.spans = append(ch.spans, wider)
	}
	return ch
}

func (ch cheapest) lower(left, right int) int {
	if ch.prices[right] < ch.prices[left] {
		return right
	}
	return left
}

// in returns the slot with the lowest price from one slot to another, both included.
func (ch cheapest) in(from, to int) int {
	power := int(math.Log2(float64(to - from + 1)))
	return ch.lower(ch.spans[power][from], ch.spans[power][to-(1<<power)+1])
}
