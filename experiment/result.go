package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// RequestResult is what became of one request.
type RequestResult struct {
	SinceStart     time.Duration
	KindIndex   int
	PromptTokens id.Tokens
	// TimeToFirstEvent is the time to the first event, zero if there was none.
	TimeToFirstEvent time.Duration
	// PossibleBenefit is the benefit of the request, Earned what it earned.
	PossibleBenefit   float64
	EarnedBenefit float64

	zone         int
	organisation int
}

// KindResult is what became of the requests of one kind.
type KindResult struct {
	Requests  int
	OnTime int
	Late   int
	// EarnedShare is the part of the benefit owed that was earned, Largest the same of the largest tenth of the prompts.
	EarnedShare   float64
	LargestTenthShare float64
	// FirstEventTimes holds the times to the first event, in order.
	FirstEventTimes []time.Duration
}

// Result is what became of a run.
type Result struct {
	Kinds []KindResult
	// EarnedShare is the part of the benefit owed that was earned; Worst is that of the worst two seconds in which many came,
	// Zone that of the worst availability zone, Organisation that of the worst organisation that does not flood.
	EarnedShare        float64
	WorstWindowShare        float64
	WorstZoneShare         float64
	WorstOrganisationShare float64
	// Requests holds the requests that were owed, in the order of arrival.
	Requests []RequestResult
}

// worth adds up benefit.
type worth struct{ earned, owed float64 }

func (wt *worth) add(pt RequestResult) {
	wt.earned += pt.EarnedBenefit
	wt.owed += pt.PossibleBenefit
}

func (wt *worth) share() float64 {
	if wt.owed == 0 {
		return 1
	}
	return wt.earned / wt.owed
}

func newResult(pt Pattern, requests []*request) Result {
	rs := Result{Kinds: make([]KindResult, len(pt.Kinds))}
	for _, rq := range requests {
		if point, owed := rs.Kinds[rq.arrival.kind].count(pt, rq); owed {
			rs.Requests = append(rs.Requests, point)
		}
	}
	var all worth
	windows, zones, organisations := map[int]*worth{}, map[int]*worth{}, map[int]*worth{}
	kinds := make([]worth, len(pt.Kinds))
	const window = 2 * time.Second
	for _, point := range rs.Requests {
		all.add(point)
		kinds[point.KindIndex].add(point)
		addTo(windows, int(point.SinceStart/window), point)
		addTo(zones, point.zone, point)
		if point.organisation > 0 || !pt.floods() {
			addTo(organisations, point.organisation, point)
		}
	}
	rs.EarnedShare = all.share()
	const many = 0.5
	rs.WorstWindowShare = least(windows, many*all.owed/float64(max(1, len(windows))))
	rs.WorstZoneShare = least(zones, 0)
	rs.WorstOrganisationShare = least(organisations, 0)
	for ix := range rs.Kinds {
		oc := &rs.Kinds[ix]
		oc.EarnedShare = kinds[ix].share()
		oc.LargestTenthShare = largestTenth(rs.Requests, ix)
		slices.Sort(oc.FirstEventTimes)
	}
	return rs
}

func (pt Pattern) floods() bool {
	return slices.ContainsFunc(pt.Bursts, func(burst Burst) bool { return burst.Flood })
}

func addTo(groups map[int]*worth, group int, point RequestResult) {
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
func largestTenth(points []RequestResult, kind int) float64 {
	var of []RequestResult
	for _, point := range points {
		if point.KindIndex == kind {
			of = append(of, point)
		}
	}
	slices.SortStableFunc(of, func(left, right RequestResult) int { return cmp.Compare(right.PromptTokens, left.PromptTokens) })
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
	kind, stride := pt.Kinds[ar.kind], float64(pt.EngineProfile.StepsPerDecodePass)
	size := (float64(ar.prompt) + perAnswer*float64(ar.events)*stride) / (kind.Prompt + perAnswer*kind.Events*stride)
	return (fixed + sized*size) * kind.Worth
}

// count notes what became of a request. One that its client left is not owed.
func (oc *KindResult) count(pt Pattern, rq *request) (RequestResult, bool) {
	point := RequestResult{SinceStart: rq.arrival.at, KindIndex: rq.arrival.kind, PromptTokens: rq.prompt, zone: rq.zone, organisation: rq.organisation, PossibleBenefit: pt.owed(rq.arrival)}
	if rq.left {
		return point, false
	}
	oc.Requests++
	if rq.first > 0 {
		point.TimeToFirstEvent = rq.first + 2*clientHop
		oc.FirstEventTimes = append(oc.FirstEventTimes, point.TimeToFirstEvent)
	}
	switch {
	case rq.refused || rq.first == 0 || !rq.done || point.TimeToFirstEvent > patience(rq.kind):
	case point.TimeToFirstEvent <= rq.kind.Target && rq.pause <= rq.kind.MaxPause:
		oc.OnTime++
		point.EarnedBenefit = point.PossibleBenefit
	default:
		oc.Late++
		point.EarnedBenefit = point.PossibleBenefit * rq.kind.Late / rq.kind.Worth
	}
	return point, true
}
