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
	at     time.Duration
	kind   int
	prompt id.Tokens
	events int
}

// arrivals draws the requests of a pattern; the same seed draws the same ones.
func (pt Pattern) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed+1))
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
			if at > pt.Length {
				break
			}
			if random.Float64()*most > pt.rateAt(kind, at) {
				continue
			}
			all = append(all, arrival{
				at:     at,
				kind:   ix,
				prompt: id.Tokens(logNormal(random, kind.Prompt, kind.PromptSpread, kind.MaxPrompt)),
				events: int(max(1, math.Round(logNormal(random, kind.Events, kind.EventsSpread, kind.Events*2.5)))),
			})
		}
	}
	slices.SortStableFunc(all, func(left, right arrival) int { return cmp.Compare(left.at, right.at) })
	return all
}

func (pt Pattern) rateAt(kind Kind, at time.Duration) float64 {
	rate := kind.Rate
	for _, burst := range pt.Bursts {
		if burst.Kind == kind.Name && at >= burst.At && at < burst.At+burst.For {
			rate *= burst.Factor
		}
	}
	return rate
}

// logNormal draws a value with a mean, the sigma of its logarithm, and a bound.
func logNormal(random *rand.Rand, mean, sigma, most float64) float64 {
	return min(most, mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}
