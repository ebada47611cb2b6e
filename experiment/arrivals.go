package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// arrival is a request that comes at a time.
type arrival struct {
	at           time.Duration
	kind         int
	prompt       id.Tokens
	events       int
	organisation int
	zone         int
	// returns is how often the client comes back when refused; it waits as it is told unless it is impatient.
	returns   int
	impatient bool
	// leaves is when the client leaves, counted from its arrival; zero if it stays.
	leaves time.Duration
}

// arrivals draws the requests of a pattern; the same seed draws the same ones.
func (pt Pattern) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed+1))
	// What clients do is drawn apart, so that patterns that differ in that alone have the same prompts.
	behaviour := rand.New(rand.NewPCG(seed+2, seed+3))
	var all []arrival
	for ix, kind := range pt.Kinds {
		most := kind.Rate
		for _, burst := range pt.Bursts {
			if burst.Kind == kind.Name {
				most = max(most, kind.Rate*burst.Factor)
			}
		}
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / most * float64(time.Second))
			if at > pt.ArrivalPeriod {
				break
			}
			chance := random.Float64() * most
			rate, flood := pt.rateAt(kind, at)
			if chance > rate {
				continue
			}
			ar := pt.Clients.draw(behaviour, flood && chance > kind.Rate)
			ar.at, ar.kind = at, ix
			ar.prompt = id.Tokens(logNormal(random, kind.Prompt, kind.PromptSpread, kind.MaxPrompt))
			ar.events = int(max(1, math.Round(logNormal(random, kind.Events, kind.EventsSpread, kind.Events*2.5))))
			all = append(all, ar)
		}
	}
	slices.SortStableFunc(all, func(left, right arrival) int { return cmp.Compare(left.at, right.at) })
	return all
}

// draw draws the client of a request. Those of a flood are of the first organisation.
func (cl Clients) draw(random *rand.Rand, flood bool) arrival {
	ar := arrival{returns: 1, zone: random.IntN(cl.Zones), organisation: random.IntN(cl.Organisations)}
	if random.Float64() < cl.HotShare || flood {
		ar.organisation = 0
	}
	if random.Float64() < cl.Impatient {
		ar.impatient, ar.returns = true, cl.Returns
	}
	if random.Float64() < cl.Leaving {
		ar.leaves = time.Duration(random.Float64() * float64(cl.LeaveWithin))
	}
	return ar
}

// rateAt returns the rate of a kind at a time, and whether what is beyond its usual rate is a flood.
func (pt Pattern) rateAt(kind Kind, at time.Duration) (rate float64, flood bool) {
	rate = kind.Rate
	for _, burst := range pt.Bursts {
		if burst.Kind == kind.Name && at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Factor
			flood = flood || burst.Flood
		}
	}
	return rate, flood
}

// logNormal draws a value with a mean, the sigma of its logarithm, and a bound.
func logNormal(random *rand.Rand, mean, sigma, most float64) float64 {
	return min(most, mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}
