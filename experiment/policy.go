package experiment

import (
	"math"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
)

// Policy is a named configuration of the dispatcher.
type Policy struct {
	Name   string
	Config batch.Config
}

// Policies returns the policies to compare. The last one is the default, which hosts use. Each of the others changes
// one rule of it, to show what that rule contributes; the fields of batch.Config describe the rules.
func Policies() []Policy {
	variant := func(name string, configure func(*batch.Config)) Policy {
		config := batch.DefaultConfig()
		configure(&config)
		return Policy{Name: name, Config: config}
	}
	return []Policy{
		variant("one-engine", func(config *batch.Config) { config.MaxParts = 1 }),
		variant("few-parts", func(config *batch.Config) { config.MaxParts = 4 }),
		variant("no-packing", func(config *batch.Config) { config.PackingWaitShare = 0 }),
		variant("no-pauses", func(config *batch.Config) { config.PauseMargin, config.MinPauseMargin = -time.Hour, -time.Hour }),
		variant("writers-read", func(config *batch.Config) { config.AnsweringPenalty = 0 }),
		variant("any-part", func(config *batch.Config) { config.MaxMinPartsShare = 0 }),
		variant("most-wait", func(config *batch.Config) { config.MaxMinPartsShare = 0.8 }),
		variant("all-plan", func(config *batch.Config) { config.PlannedEngineShare = 1 }),
		variant("full-reads", func(config *batch.Config) { config.FreeSlotFactor = math.MaxInt32 }),
		variant("first-come", func(config *batch.Config) { config.FirstComeFirstServed = true }),
		variant("no-shares", func(config *batch.Config) { config.BacklogWeight = 0 }),
		variant("no-correction", func(config *batch.Config) {
			config.CorrectsPredictions, config.KeepsSlotsUsable = false, false
		}),
		variant("full-holders", func(config *batch.Config) { config.KeepsSlotsUsable = false }),
		variant("early-refusal", func(config *batch.Config) { config.RefusesHopeless = true }),
		variant("default", func(*batch.Config) {}),
	}
}

// Summary holds the means of a pattern's results over several seeds.
type Summary struct {
	// EarnedShare is the share of the possible benefit that was earned. The other shares are those of the worst window
	// of two seconds, availability zone and organisation, as in Result.
	EarnedShare            float64
	WorstWindowShare       float64
	WorstZoneShare         float64
	WorstOrganisationShare float64
	// Slowdown is the 95th percentile of the time to the first event of the first kind, divided by that of the same
	// requests without any other kinds.
	Slowdown float64
	Kinds    []KindSummary
	// FirstResult is the result of the first seed.
	FirstResult Result
}

// KindSummary holds the means over several seeds for one kind of request.
type KindSummary struct {
	EarnedShare float64
	// LargestTenthShare is the earned share of the requests with the largest tenth of the prompts. ServedShare is the
	// share of requests that were answered, on time or late.
	LargestTenthShare float64
	ServedShare       float64
	// FirstEventP95 is the 95th percentile of the time to the first event.
	FirstEventP95 time.Duration
}

// RunSeeds simulates a pattern with the given number of seeds, from 0 on, and returns the means. It calls afterSeed
// after each seed unless it is nil.
func RunSeeds(pt Pattern, config batch.Config, seeds int, afterSeed func()) Summary {
	summary := Summary{Kinds: make([]KindSummary, len(pt.Kinds))}
	const p95 = 0.95
	weight := 1 / float64(seeds)
	for seed := range seeds {
		rs := Run(pt, config, uint64(seed))
		if seed == 0 {
			summary.FirstResult = rs
		}
		summary.EarnedShare += rs.EarnedShare * weight
		summary.WorstWindowShare += rs.WorstWindowShare * weight
		summary.WorstZoneShare += rs.WorstZoneShare * weight
		summary.WorstOrganisationShare += rs.WorstOrganisationShare * weight
		firstKindAlone := simulate(pt, config, uint64(seed), pt.drawArrivalsOfKind(uint64(seed), 0), pt.enginesFromStart())
		summary.Slowdown += float64(percentile(rs.Kinds[0].FirstEventTimes, p95)) / float64(max(1, percentile(firstKindAlone.Kinds[0].FirstEventTimes, p95))) * weight
		for kindIndex, kr := range rs.Kinds {
			ks := &summary.Kinds[kindIndex]
			ks.EarnedShare += kr.EarnedShare * weight
			ks.LargestTenthShare += kr.LargestTenthShare * weight
			ks.ServedShare += float64(kr.OnTime+kr.Late) / float64(max(1, kr.Requests)) * weight
			ks.FirstEventP95 += time.Duration(float64(percentile(kr.FirstEventTimes, p95)) * weight)
		}
		if afterSeed != nil {
			afterSeed()
		}
	}
	return summary
}

// drawArrivalsOfKind returns the arrivals of one kind, the same ones as drawArrivals gives with this seed.
func (pt Pattern) drawArrivalsOfKind(seed uint64, kindIndex int) []arrival {
	var arrivalsOfKind []arrival
	for _, ar := range pt.drawArrivals(seed) {
		if ar.kindIndex == kindIndex {
			arrivalsOfKind = append(arrivalsOfKind, ar)
		}
	}
	return arrivalsOfKind
}

// percentile returns the value at a fraction between 0 and 1 of sortedTimes, which must be in ascending order. It
// returns zero if there are none.
func percentile(sortedTimes []time.Duration, fraction float64) time.Duration {
	if len(sortedTimes) == 0 {
		return 0
	}
	return sortedTimes[min(len(sortedTimes)-1, int(fraction*float64(len(sortedTimes))))]
}
