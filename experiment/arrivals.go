package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// arrival describes a simulated request and the behaviour of its client, as drawn before the simulation starts.
type arrival struct {
	// sinceStart is the time of arrival at the entry host, counted from the start of the simulation.
	sinceStart   time.Duration
	kindIndex    int
	promptTokens id.Tokens
	// answerEvents is the number of events in the stream of the answer. Each event carries the tokens of one decode
	// pass.
	answerEvents      int
	organisationIndex int
	zoneIndex         int
	// retriesLeft is how often the client still retries after a refusal. The client waits for the delay that the
	// refusal asks for, unless it is impatient.
	retriesLeft int
	impatient   bool
	// leavesAfter is the time from arrival after which the client abandons the request; zero if it does not.
	leavesAfter time.Duration
}

// drawArrivals draws the requests of a pattern in the order of arrival. The same seed gives the same requests. The
// arrivals of each kind are a Poisson process with a rate that changes with bursts: arrivals are drawn at the highest
// rate and thinned out to the current one.
func (pt Pattern) drawArrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed+1))
	// Client behaviour has a random source of its own, so that patterns that differ only in it have the same prompts.
	clientRandom := rand.New(rand.NewPCG(seed+2, seed+3))
	var arrivals []arrival
	for kindIndex, kind := range pt.Kinds {
		maxRate := kind.Rate
		for _, burst := range pt.Bursts {
			if burst.Kind == kind.Name {
				maxRate = max(maxRate, kind.Rate*burst.Factor)
			}
		}
		for sinceStart := time.Duration(0); ; {
			sinceStart += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
			if sinceStart > pt.ArrivalPeriod {
				break
			}
			drawnRate := random.Float64() * maxRate
			rate, flooding := pt.rateAt(kind, sinceStart)
			if drawnRate > rate {
				continue
			}
			ar := pt.Clients.drawClient(clientRandom, flooding && drawnRate > kind.Rate)
			ar.sinceStart, ar.kindIndex = sinceStart, kindIndex
			ar.promptTokens = id.Tokens(logNormal(random, kind.Prompt, kind.PromptSpread, kind.MaxPrompt))
			ar.answerEvents = int(max(1, math.Round(logNormal(random, kind.Events, kind.EventsSpread, kind.Events*2.5))))
			arrivals = append(arrivals, ar)
		}
	}
	slices.SortStableFunc(arrivals, func(left, right arrival) int { return cmp.Compare(left.sinceStart, right.sinceStart) })
	return arrivals
}

// drawClient returns an arrival of which only the fields that describe the client are set, at random. The clients of a
// flood belong to the first organisation.
func (cl Clients) drawClient(random *rand.Rand, flooding bool) arrival {
	ar := arrival{retriesLeft: 1, zoneIndex: random.IntN(cl.Zones), organisationIndex: random.IntN(cl.Organisations)}
	if random.Float64() < cl.HotShare || flooding {
		ar.organisationIndex = 0
	}
	if random.Float64() < cl.Impatient {
		ar.impatient, ar.retriesLeft = true, cl.Returns
	}
	if random.Float64() < cl.Leaving {
		ar.leavesAfter = time.Duration(random.Float64() * float64(cl.LeaveWithin))
	}
	return ar
}

// rateAt returns the rate of a kind at a time in requests per second, and whether the excess over its usual rate is a
// flood of the first organisation.
func (pt Pattern) rateAt(kind Kind, sinceStart time.Duration) (rate float64, flooding bool) {
	rate = kind.Rate
	for _, burst := range pt.Bursts {
		if burst.Kind == kind.Name && sinceStart >= burst.At && sinceStart < burst.At+burst.For {
			rate *= burst.Factor
			flooding = flooding || burst.Flood
		}
	}
	return rate, flooding
}

// logNormal draws from a log-normal distribution with the given mean and sigma of the logarithm, capped at a maximum.
func logNormal(random *rand.Rand, mean, sigma, maximum float64) float64 {
	return min(maximum, mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}
