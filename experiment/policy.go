package experiment

import (
	"math"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
)

// Policy is a named way to place requests.
type Policy struct {
	Name   string
	Config batch.Config
}

// Policies returns the ways that are compared, the one that hosts use last.
func Policies() []Policy {
	vary := func(name string, change func(*batch.Config)) Policy {
		config := batch.DefaultConfig()
		change(&config)
		return Policy{Name: name, Config: config}
	}
	return []Policy{
		vary("one-engine", func(cf *batch.Config) { cf.MaxParts = 1 }),
		vary("few-parts", func(cf *batch.Config) { cf.MaxParts = 4 }),
		vary("no-packing", func(cf *batch.Config) { cf.PackingWaitShare = 0 }),
		vary("no-pauses", func(cf *batch.Config) { cf.PauseMargin, cf.MinPauseMargin = -time.Hour, -time.Hour }),
		vary("writers-read", func(cf *batch.Config) { cf.AnsweringPenalty = 0 }),
		vary("any-part", func(cf *batch.Config) { cf.MaxMinPartsShare = 0 }),
		vary("most-wait", func(cf *batch.Config) { cf.MaxMinPartsShare = 0.8 }),
		vary("all-plan", func(cf *batch.Config) { cf.PlannedEngineShare = 1 }),
		vary("full-reads", func(cf *batch.Config) { cf.FreeSlotFactor = math.MaxInt32 }),
		vary("first-come", func(cf *batch.Config) { cf.FirstComeFirstServed = true }),
		vary("no-shares", func(cf *batch.Config) { cf.BacklogWeight = 0 }),
		vary("default", func(*batch.Config) {}),
	}
}

// Summary is the mean of several runs.
type Summary struct {
	// EarnedShare is the part of the benefit owed that was earned; Worst, Zone and Organisation are those of the worst two
	// seconds, the worst availability zone and the worst organisation that does not flood.
	EarnedShare        float64
	WorstWindowShare        float64
	WorstZoneShare         float64
	WorstOrganisationShare float64
	// Slowdown is the 95th percentile of the time to the first event of the first kind over that of the same requests
	// without all others.
	Slowdown float64
	Kinds    []KindSummary
	// FirstResult is the result of the first seed.
	FirstResult Result
}

// KindSummary is the mean of several runs for one kind of request.
type KindSummary struct {
	EarnedShare float64
	// LargestTenthShare is the worth of the largest tenth of the prompts, Served the part of the requests that were answered.
	LargestTenthShare float64
	ServedShare  float64
	// FirstEventP95 is the 95th percentile of the time to the first event.
	FirstEventP95 time.Duration
}

// RunSeeds replays a pattern with seeds from 0 on. It calls done, if there is one, after each of them.
func RunSeeds(pt Pattern, config batch.Config, seeds int, done func()) Summary {
	sm := Summary{Kinds: make([]KindSummary, len(pt.Kinds))}
	const p95 = 0.95
	part := 1 / float64(seeds)
	for seed := range seeds {
		rs := Run(pt, config, uint64(seed))
		if seed == 0 {
			sm.FirstResult = rs
		}
		sm.EarnedShare += rs.EarnedShare * part
		sm.WorstWindowShare += rs.WorstWindowShare * part
		sm.WorstZoneShare += rs.WorstZoneShare * part
		sm.WorstOrganisationShare += rs.WorstOrganisationShare * part
		alone := play(pt, config, uint64(seed), pt.only(uint64(seed), 0), pt.presences())
		sm.Slowdown += float64(percentile(rs.Kinds[0].FirstEventTimes, p95)) / float64(max(1, percentile(alone.Kinds[0].FirstEventTimes, p95))) * part
		for ix, oc := range rs.Kinds {
			ks := &sm.Kinds[ix]
			ks.EarnedShare += oc.EarnedShare * part
			ks.LargestTenthShare += oc.LargestTenthShare * part
			ks.ServedShare += float64(oc.OnTime+oc.Late) / float64(max(1, oc.Requests)) * part
			ks.FirstEventP95 += time.Duration(float64(percentile(oc.FirstEventTimes, p95)) * part)
		}
		if done != nil {
			done()
		}
	}
	return sm
}

// only returns the arrivals of one kind.
func (pt Pattern) only(seed uint64, kind int) []arrival {
	var all []arrival
	for _, ar := range pt.arrivals(seed) {
		if ar.kind == kind {
			all = append(all, ar)
		}
	}
	return all
}

// percentile returns a percentile of times in order, zero if there are none.
func percentile(times []time.Duration, part float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(part*float64(len(times))))]
}
