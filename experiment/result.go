package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// RequestResult describes how one request ended, including its retries.
type RequestResult struct {
	// SinceStart is the time of arrival, counted from the start of the simulation.
	SinceStart   time.Duration
	KindIndex    int
	PromptTokens id.Tokens
	// TimeToFirstEvent is the time from sending the request to the first event, both at the client; zero without an
	// event.
	TimeToFirstEvent time.Duration
	// PossibleBenefit is the benefit of the request if it is on time, EarnedBenefit the benefit that it earned.
	PossibleBenefit float64
	EarnedBenefit   float64

	zoneIndex         int
	organisationIndex int
}

// KindResult sums up the requests of one kind, without those that their clients abandoned.
type KindResult struct {
	Requests int
	OnTime   int
	Late     int
	// EarnedShare is the share of the possible benefit that was earned, LargestTenthShare the same for the requests
	// with the largest tenth of the prompts.
	EarnedShare       float64
	LargestTenthShare float64
	// FirstEventTimes holds the times to the first event in ascending order.
	FirstEventTimes []time.Duration
}

// Result holds the results of one simulation.
type Result struct {
	// Kinds has the order of the pattern's kinds.
	Kinds []KindResult
	// EarnedShare is the share of the possible benefit that was earned. WorstWindowShare is that of the worst window of
	// two seconds with enough requests, WorstZoneShare that of the worst availability zone, and WorstOrganisationShare
	// that of the worst organisation that does not flood.
	EarnedShare            float64
	WorstWindowShare       float64
	WorstZoneShare         float64
	WorstOrganisationShare float64
	// ZoneShares holds the share of each availability zone.
	ZoneShares []float64
	// Requests holds the requests that their clients did not abandon, in the order of arrival.
	Requests []RequestResult
}

// benefitSum adds up the earned and the possible benefit of a group of requests.
type benefitSum struct{ earned, possible float64 }

func (bs *benefitSum) add(result RequestResult) {
	bs.earned += result.EarnedBenefit
	bs.possible += result.PossibleBenefit
}

// earnedShare returns the share of the possible benefit that was earned; 1 if none was possible.
func (bs *benefitSum) earnedShare() float64 {
	if bs.possible == 0 {
		return 1
	}
	return bs.earned / bs.possible
}

// newResult computes the result of a simulation from the final states of its requests.
func newResult(pt Pattern, requests []*request) Result {
	rs := Result{Kinds: make([]KindResult, len(pt.Kinds))}
	for _, rq := range requests {
		if result, counted := rs.Kinds[rq.arrival.kindIndex].addRequest(pt, rq); counted {
			rs.Requests = append(rs.Requests, result)
		}
	}
	var total benefitSum
	byWindow, byZone, byOrganisation := map[int]*benefitSum{}, map[int]*benefitSum{}, map[int]*benefitSum{}
	byKind := make([]benefitSum, len(pt.Kinds))
	const windowLength = 2 * time.Second
	for _, result := range rs.Requests {
		total.add(result)
		byKind[result.KindIndex].add(result)
		addToGroup(byWindow, int(result.SinceStart/windowLength), result)
		addToGroup(byZone, result.zoneIndex, result)
		if result.organisationIndex > 0 || !pt.hasFlood() {
			addToGroup(byOrganisation, result.organisationIndex, result)
		}
	}
	rs.EarnedShare = total.earnedShare()
	// Windows with less than half of the mean possible benefit are left out, because the share of a few requests is not
	// significant.
	const minWindowLoad = 0.5
	rs.WorstWindowShare = lowestShare(byWindow, minWindowLoad*total.possible/float64(max(1, len(byWindow))))
	rs.WorstZoneShare = lowestShare(byZone, 0)
	for zone := range pt.Clients.Zones {
		sum := cmp.Or(byZone[zone], &benefitSum{})
		rs.ZoneShares = append(rs.ZoneShares, sum.earnedShare())
	}
	rs.WorstOrganisationShare = lowestShare(byOrganisation, 0)
	for kindIndex := range rs.Kinds {
		kr := &rs.Kinds[kindIndex]
		kr.EarnedShare = byKind[kindIndex].earnedShare()
		kr.LargestTenthShare = earnedShareOfLargest(rs.Requests, kindIndex)
		slices.Sort(kr.FirstEventTimes)
	}
	return rs
}

// hasFlood reports whether the first organisation floods in some burst.
func (pt Pattern) hasFlood() bool {
	return slices.ContainsFunc(pt.Bursts, func(burst Burst) bool { return burst.Flood })
}

func addToGroup(groups map[int]*benefitSum, group int, result RequestResult) {
	if groups[group] == nil {
		groups[group] = &benefitSum{}
	}
	groups[group].add(result)
}

// lowestShare returns the lowest earned share of the groups whose possible benefit is at least minPossible, or 1 if
// there are none.
func lowestShare(groups map[int]*benefitSum, minPossible float64) float64 {
	lowest := 1.0
	for _, bs := range groups {
		if bs.possible >= minPossible {
			lowest = min(lowest, bs.earnedShare())
		}
	}
	return lowest
}

// earnedShareOfLargest returns the earned share of the largest tenth of a kind's prompts, rounded up to whole prompts.
func earnedShareOfLargest(requests []RequestResult, kindIndex int) float64 {
	var resultsOfKind []RequestResult
	for _, result := range requests {
		if result.KindIndex == kindIndex {
			resultsOfKind = append(resultsOfKind, result)
		}
	}
	slices.SortStableFunc(resultsOfKind, func(left, right RequestResult) int { return cmp.Compare(right.PromptTokens, left.PromptTokens) })
	const divisor = 10
	var largest benefitSum
	for _, result := range resultsOfKind[:(len(resultsOfKind)+divisor-1)/divisor] {
		largest.add(result)
	}
	return largest.earnedShare()
}

// possibleBenefit returns the benefit of a request to its client if it is on time. A share of it is fixed, the rest is
// proportional to the size of the request relative to the mean of its kind. A token of the answer counts as much as ten
// tokens of the prompt.
func (pt Pattern) possibleBenefit(ar arrival) float64 {
	const fixedShare, sizedShare, answerTokenWeight = 0.3, 0.7, 10
	kind, stepsPerPass := pt.Kinds[ar.kindIndex], float64(pt.EngineProfile.StepsPerDecodePass)
	relativeSize := (float64(ar.promptTokens) + answerTokenWeight*float64(ar.answerEvents)*stepsPerPass) / (kind.Prompt + answerTokenWeight*kind.Events*stepsPerPass)
	return (fixedShare + sizedShare*relativeSize) * kind.Worth
}

// addRequest adds a request to the result of its kind and returns the result of the request. It returns false and
// counts nothing if the client abandoned the request. A request earns nothing if it was refused, had no first event
// within the client's wait limit, or had not ended when the simulation did.
func (kr *KindResult) addRequest(pt Pattern, rq *request) (RequestResult, bool) {
	result := RequestResult{SinceStart: rq.arrival.sinceStart, KindIndex: rq.arrival.kindIndex, PromptTokens: rq.promptTokens, zoneIndex: rq.zoneIndex, organisationIndex: rq.organisationIndex, PossibleBenefit: pt.possibleBenefit(rq.arrival)}
	if rq.abandoned {
		return result, false
	}
	kr.Requests++
	if rq.timeToFirstEvent > 0 {
		result.TimeToFirstEvent = rq.timeToFirstEvent + 2*clientHop
		kr.FirstEventTimes = append(kr.FirstEventTimes, result.TimeToFirstEvent)
	}
	switch {
	case rq.refused || rq.timeToFirstEvent == 0 || !rq.ended || result.TimeToFirstEvent > firstEventWaitLimit(rq.kind):
	case result.TimeToFirstEvent <= rq.kind.Target && rq.longestPause <= rq.kind.MaxPause:
		kr.OnTime++
		result.EarnedBenefit = result.PossibleBenefit
	default:
		kr.Late++
		result.EarnedBenefit = result.PossibleBenefit * rq.kind.Late / rq.kind.Worth
	}
	return result, true
}
