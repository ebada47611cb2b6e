package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Point is what became of one request.
type Point struct {
	At     time.Duration
	Kind   int
	Prompt id.Tokens
	// First is the time to the first event, zero if there was none.
	First time.Duration
	// Owed is the benefit of the request, Earned what it earned.
	Owed   float64
	Earned float64

	zone         int
	organisation int
}

// Outcome is what became of the requests of one kind.
type Outcome struct {
	Asked  int
	OnTime int
	Late   int
	// Worth is the part of the benefit owed that was earned, Largest the same of the largest tenth of the prompts.
	Worth   float64
	Largest float64
	// First holds the times to the first event, in order.
	First []time.Duration
}

// Result is what became of a run.
type Result struct {
	Kinds []Outcome
	// Worth is the part of the benefit owed that was earned; Worst is that of the worst two seconds in which many came,
	// Zone that of the worst availability zone, Organisation that of the worst organisation that does not flood.
	Worth        float64
	Worst        float64
	Zone         float64
	Organisation float64
	// Points holds the requests that were owed, in the order of arrival.
	Points []Point
}

// worth adds up benefit.
type worth struct{ earned, owed float64 }

func (wt *worth) add(pt Point) {
	wt.earned += pt.Earned
	wt.owed += pt.Owed
}

func (wt *worth) share() float64 {
	if wt.owed == 0 {
		return 1
	}
	return wt.earned / wt.owed
}

func newResult(pt Pattern, requests []*request) Result {
	rs := Result{Kinds: make([]Outcome, len(pt.Kinds))}
	for _, rq := range requests {
		if point, owed := rs.Kinds[rq.arrival.kind].count(pt, rq); owed {
			rs.Points = append(rs.Points, point)
		}
	}
	var all worth
	windows, zones, organisations := map[int]*worth{}, map[int]*worth{}, map[int]*worth{}
	kinds := make([]worth, len(pt.Kinds))
	const window = 2 * time.Second
	for _, point := range rs.Points {
		all.add(point)
		kinds[point.Kind].add(point)
		addTo(windows, int(point.At/window), point)
		addTo(zones, point.zone, point)
		if point.organisation > 0 || !pt.floods() {
			addTo(organisations, point.organisation, point)
		}
	}
	rs.Worth = all.share()
	const many = 0.5
	rs.Worst = least(windows, many*all.owed/float64(max(1, len(windows))))
	rs.Zone = least(zones, 0)
	rs.Organisation = least(organisations, 0)
	for ix := range rs.Kinds {
		oc := &rs.Kinds[ix]
		oc.Worth = kinds[ix].share()
		oc.Largest = largestTenth(rs.Points, ix)
		slices.Sort(oc.First)
	}
	return rs
}

func (pt Pattern) floods() bool {
	return slices.ContainsFunc(pt.Bursts, func(burst Burst) bool { return burst.Flood })
}

func addTo(groups map[int]*worth, group int, point Point) {
	if groups[group] == nil {
		groups[group] = &worth{}
	}
	groups[group].add(point)
}

// least returns the least share of the groups to which at least so much was owed.
func least(groups map[int]*worth, owed float64) float64 {
	found := 1.0
	for _, wt := range groups {
		if wt.owed >= owed {
			found = min(found, wt.share())
		}
	}
	return found
}

// largestTenth returns the share of the benefit that the largest tenth of a kind's prompts earned.
func largestTenth(points []Point, kind int) float64 {
	var of []Point
	for _, point := range points {
		if point.Kind == kind {
			of = append(of, point)
		}
	}
	slices.SortStableFunc(of, func(left, right Point) int { return cmp.Compare(right.Prompt, left.Prompt) })
	const part = 10
	var largest worth
	for _, point := range of[:(len(of)+part-1)/part] {
		largest.add(point)
	}
	return largest.share()
}

// owed returns the benefit of a request on time, which grows with its size, as its callers see it.
func (pt Pattern) owed(ar arrival) float64 {
	const fixed, sized, perAnswer = 0.3, 0.7, 10
	kind, stride := pt.Kinds[ar.kind], float64(pt.Engine.StepsPerDecodePass)
	size := (float64(ar.prompt) + perAnswer*float64(ar.events)*stride) / (kind.Prompt + perAnswer*kind.Events*stride)
	return (fixed + sized*size) * kind.Worth
}

// count notes what became of a request. One that its client left is not owed.
func (oc *Outcome) count(pt Pattern, rq *request) (Point, bool) {
	point := Point{At: rq.arrival.at, Kind: rq.arrival.kind, Prompt: rq.prompt, zone: rq.zone, organisation: rq.organisation, Owed: pt.owed(rq.arrival)}
	if rq.left {
		return point, false
	}
	oc.Asked++
	if rq.first > 0 {
		point.First = rq.first + 2*clientHop
		oc.First = append(oc.First, point.First)
	}
	switch {
	case rq.refused || rq.first == 0 || !rq.done || point.First > patience(rq.kind):
	case point.First <= rq.kind.Target && rq.pause <= rq.kind.MaxPause:
		oc.OnTime++
		point.Earned = point.Owed
	default:
		oc.Late++
		point.Earned = point.Owed * rq.kind.Late / rq.kind.Worth
	}
	return point, true
}
