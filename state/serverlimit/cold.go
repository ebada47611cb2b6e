package serverlimit

import "math"

// ColdBounds says how far the requests to a cold server may exceed its rate in any one second, counted over all hosts:
// they may reach the rate times Overage plus Slack.
type ColdBounds struct {
	Overage float64
	Slack   float64
}

// ColdLimit bounds the requests that one host that counts for all lets a cold server get. The zero value is no limit.
type ColdLimit struct {
	// Rate is the rate that the server takes while it is cold; zero for no limit.
	Rate Rate
	// MaxPerSecond is the largest number of requests in any one second.
	MaxPerSecond int
	// Assumed says that the server is not known to be cold, nor known not to be.
	Assumed bool
}

// hostsCountingAtOnce is the number of hosts that may count the requests to one server at the same time without knowing
// of each other.
const hostsCountingAtOnce = 2

// Limit returns the limit of a cold server that takes a number of requests a second; no limit if that is zero.
func (cb ColdBounds) Limit(perSecond float64) ColdLimit {
	if !(perSecond > 0) {
		return ColdLimit{}
	}
	allowed := min(perSecond*cb.Overage+cb.Slack, float64(maxRate))
	return ColdLimit{Rate: ClampRate(perSecond), MaxPerSecond: max(1, int(math.Floor(allowed/hostsCountingAtOnce)))}
}

// InForce returns the lower of a rate that a server named and its rate while it is cold. Zero stands for no limit.
func (cl ColdLimit) InForce(named Rate) Rate {
	if cl.Rate.tighterThan(named) {
		return cl.Rate
	}
	return named
}
