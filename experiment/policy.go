package experiment

import (
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
		vary("no-packing", func(cf *batch.Config) { cf.ShortWait = 0 }),
		vary("no-pauses", func(cf *batch.Config) { cf.PauseMargin, cf.LeastMargin = -time.Hour, -time.Hour }),
		vary("writers-read", func(cf *batch.Config) { cf.WriterCost = 0 }),
		vary("any-part", func(cf *batch.Config) { cf.LeastShare = 0 }),
		vary("default", func(*batch.Config) {}),
	}
}

// Summary is the mean of several runs.
type Summary struct {
	// Worth is the part of the benefit owed that was earned, Worst that of the worst two seconds.
	Worth float64
	Worst float64
	// Kinds and Served hold the same, and the part of the requests that were answered, by kind.
	Kinds  []float64
	Served []float64
	// First holds the 95th percentile of the time to the first event by kind.
	First []time.Duration
}

// Compare replays a pattern with seeds from 0 on.
func Compare(pt Pattern, config batch.Config, seeds int) Summary {
	sm := Summary{Kinds: make([]float64, len(pt.Kinds)), Served: make([]float64, len(pt.Kinds)), First: make([]time.Duration, len(pt.Kinds))}
	part := 1 / float64(seeds)
	for seed := range seeds {
		rs := Run(pt, config, uint64(seed))
		sm.Worth += rs.Worth * part
		sm.Worst += rs.Worst * part
		for ix, oc := range rs.Kinds {
			sm.Kinds[ix] += oc.Worth * part
			sm.Served[ix] += float64(oc.OnTime+oc.Late) / float64(max(1, oc.Asked)) * part
			if len(oc.First) > 0 {
				sm.First[ix] += time.Duration(float64(oc.First[len(oc.First)*95/100]) * part)
			}
		}
	}
	return sm
}
