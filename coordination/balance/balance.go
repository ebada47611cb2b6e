// Package balance chooses the backend server for a request to a plain service, that is, a service without engines. It
// judges servers by the results of earlier requests and by the load that they report in their answers. It reads no
// clock and does no I/O.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// Load is the load that a server reports in an answer.
type Load struct {
	// Running is the number of requests that the server works on, Waiting the number that it has queued.
	Running int
	Waiting int
	// Slots is the number of requests that the server works on concurrently. The balancer uses the listed number
	// instead.
	Slots int
}

// Result says how an attempt at a server ended.
type Result int

// Results.
const (
	// Answered means that the server answered with a status below 500.
	Answered Result = iota + 1
	// ErrorResponse means that the server ran the request and answered with a status of 500 or higher.
	ErrorResponse
	// Rejected means that the server said that it did not run the request, usually because it is full.
	Rejected
	// Lost means that the server could not be reached, lost the connection or did not answer.
	Lost
	// Gone means that another server has the address, or that the server said that it is leaving.
	Gone
	// Abandoned means that the caller left or that the request's time ran out. It says nothing about the server.
	Abandoned
)

const (
	// maxLoadAge is how long the load that a server reported is used.
	maxLoadAge = 500 * time.Millisecond
	// lossBackoff is how long a server gets no requests after a Lost result while other servers are available. It doubles
	// with each consecutive loss, up to maxLossBackoff.
	lossBackoff    = 500 * time.Millisecond
	maxLossBackoff = 8 * time.Second
	// rejectionBackoff is the same for a Rejected result. It does not double.
	rejectionBackoff = 100 * time.Millisecond
	// newResultWeight is the weight of the newest result in a server's error rate and in its mean answer time.
	newResultWeight = 0.4
	// lossErrorWeight is the weight of a Lost result in the error rate. It is low because the server may be back soon.
	lossErrorWeight = 0.06
	// otherZoneCost is the cost of a server in another availability zone. Costs are in requests: a server with a cost that
	// is higher by 1 is as good as one with one more request ahead.
	otherZoneCost = 0.5
	// errorCost is the cost of a server that fails every request. Lower error rates cost proportionally less.
	errorCost = 24
	// slownessCost is added for each multiple of the fastest answer time by which a server exceeds twice that time, up to
	// maxSlownessCost in all.
	slownessCost    = 2
	maxSlownessCost = 16
	// negligibleAnswerTime is the answer time below which all servers count as equally fast. A new connection or a process
	// that waits for a core costs some ms, many times the answer time of a server with little work.
	negligibleAnswerTime = 20 * time.Millisecond
	// resultHalfLife is the time in which old results lose half of their weight. They decay so that a server that failed
	// or was slow is tried again.
	resultHalfLife = 3 * time.Second
)

// serverState is what the balancer knows about one server.
type serverState struct {
	// startedAtMillis is when the server started. A server that restarts gets a new state.
	startedAtMillis int64
	// openRequests counts the requests of this host that the server has not ended.
	openRequests      int
	reportedLoad      Load
	loadReportedAt    time.Time
	consecutiveLosses int
	backoffUntil      time.Time
	// lastErrorRate is the error rate, from 0 to 1, before its decay since lastFailureAt.
	lastErrorRate float64
	lastFailureAt time.Time
	// meanAnswerTime is the weighted mean time of answers, the last of which ended at lastAnswerAt. Zero if there was
	// none.
	meanAnswerTime time.Duration
	lastAnswerAt   time.Time
	// gone says that the server gets no more requests.
	gone bool
}

// addAnswerTime adds the time of an answer to the mean. Older times count less the longer ago they are. The first
// answer gets the full weight, because decay is 0 for the zero lastAnswerAt.
func (st *serverState) addAnswerTime(now time.Time, answerTime time.Duration) {
	weight := 1 - (1-newResultWeight)*decay(now.Sub(st.lastAnswerAt))
	st.meanAnswerTime += time.Duration(weight * float64(answerTime-st.meanAnswerTime))
	st.lastAnswerAt = now
}

// slowness returns by how many multiples of the fastest server's answer time, at least negligibleAnswerTime, the server
// exceeds twice that time. Twice is within the usual spread of answer times. The result decays with the age of the last
// answer.
func (st *serverState) slowness(now time.Time, fastestTime time.Duration) float64 {
	const usualFactor = 2
	if fastestTime <= 0 {
		return 0
	}
	return max(0, float64(st.meanAnswerTime)/float64(max(fastestTime, negligibleAnswerTime))-usualFactor) * decay(now.Sub(st.lastAnswerAt))
}

// decay returns the weight that a result still has at an age, from 1 for a new one to 0.
func decay(age time.Duration) float64 { return math.Exp2(-age.Seconds() / resultHalfLife.Seconds()) }

// addFailure adds a failure with the given weight to the error rate.
func (st *serverState) addFailure(now time.Time, weight float64) {
	rate := st.errorRate(now)
	st.lastErrorRate = rate + weight*(1-rate)
	st.lastFailureAt = now
}

// errorRate returns the error rate, decayed by the age of the last failure.
func (st *serverState) errorRate(now time.Time) float64 {
	return st.lastErrorRate * decay(now.Sub(st.lastFailureAt))
}

// Balancer chooses among the servers of plain services. It is not safe for concurrent use.
type Balancer struct {
	zone   id.AvailabilityZone
	random *rand.Rand
	states map[id.BackendServer]*serverState
}

// New returns a balancer for a host in an availability zone. The seed determines its random choices.
func New(zone id.AvailabilityZone, seed uint64) *Balancer {
	return &Balancer{zone: zone, random: rand.New(rand.NewPCG(seed, seed)), states: map[id.BackendServer]*serverState{}}
}

// stateOf returns the state of a server, a new one if the server is new or has restarted.
func (bl *Balancer) stateOf(sv serverlist.Server) *serverState {
	st, ok := bl.states[sv.ID]
	if !ok || st.startedAtMillis != sv.StartedAtMillis {
		st = &serverState{startedAtMillis: sv.StartedAtMillis}
		bl.states[sv.ID] = st
	}
	return st
}

// ForgetUnlisted drops the state of servers that are not in the list.
func (bl *Balancer) ForgetUnlisted(listed []serverlist.Server) {
	for name := range bl.states {
		if !slices.ContainsFunc(listed, func(sv serverlist.Server) bool { return sv.ID == name }) {
			delete(bl.states, name)
		}
	}
}

// Choose returns the eligible server with the least cost, or false if no server is eligible. Servers that are in a
// backoff are chosen only if all eligible servers are.
func (bl *Balancer) Choose(now time.Time, servers []serverlist.Server, avoided []id.BackendServer) (serverlist.Server, bool) {
	fastestTime := bl.fastestAnswerTime(servers)
	var best serverlist.Server
	var bestCost float64
	found := false
	for _, sv := range servers {
		if !bl.isEligible(sv, avoided) {
			continue
		}
		cost := bl.cost(now, sv, bl.stateOf(sv), fastestTime)
		if !found || cost < bestCost {
			best, bestCost, found = sv, cost, true
		}
	}
	return best, found
}

// HasEligible reports whether Choose would return a server.
func (bl *Balancer) HasEligible(servers []serverlist.Server, avoided []id.BackendServer) bool {
	return slices.ContainsFunc(servers, func(sv serverlist.Server) bool { return bl.isEligible(sv, avoided) })
}

// isEligible reports whether a server may get a request: it is not listed as draining, evacuated, gone or to be avoided.
func (bl *Balancer) isEligible(sv serverlist.Server, avoided []id.BackendServer) bool {
	return sv.TakesNewWork() && !bl.stateOf(sv).gone && !slices.Contains(avoided, sv.ID)
}

// fastestAnswerTime returns the least mean answer time of the servers, eligible or not; zero if none has answered.
func (bl *Balancer) fastestAnswerTime(servers []serverlist.Server) time.Duration {
	var fastestTime time.Duration
	for _, sv := range servers {
		if answerTime := bl.stateOf(sv).meanAnswerTime; answerTime > 0 && (fastestTime == 0 || answerTime < fastestTime) {
			fastestTime = answerTime
		}
	}
	return fastestTime
}

// cost returns how unsuitable a server is for the next request, in requests: the number of requests ahead of it, with
// additions for a full server, another availability zone, errors, slowness and a backoff, and a random part below 1
// that spreads requests over equal servers. Each request that would queue at a full server, this one included, costs 2
// more. backoffCost is far above the other additions, so that servers in a backoff come last.
func (bl *Balancer) cost(now time.Time, sv serverlist.Server, st *serverState, fastestTime time.Duration) float64 {
	slots := float64(max(1, sv.Slots))
	pending := float64(st.openRequests)
	if now.Sub(st.loadReportedAt) < maxLoadAge {
		pending = max(pending, float64(st.reportedLoad.Running+st.reportedLoad.Waiting))
	}
	cost := pending + bl.random.Float64()
	if pending >= slots {
		cost += 2 * (pending - slots + 1)
	}
	if sv.AvailabilityZone != bl.zone {
		cost += otherZoneCost
	}
	cost += errorCost*st.errorRate(now) + min(maxSlownessCost, slownessCost*st.slowness(now, fastestTime))
	if now.Before(st.backoffUntil) {
		const backoffCost = 1000
		cost += backoffCost
	}
	return cost
}

// BeginRequest records that a request is sent to a server. EndRequest must follow.
func (bl *Balancer) BeginRequest(sv serverlist.Server) {
	bl.stateOf(sv).openRequests++
}

// EndRequest records the result of a request, the load that the server reported, if any, and the time that the request
// took.
func (bl *Balancer) EndRequest(now time.Time, sv serverlist.Server, result Result, load *Load, elapsed time.Duration) {
	st := bl.stateOf(sv)
	st.openRequests = max(0, st.openRequests-1)
	if load != nil {
		st.reportedLoad, st.loadReportedAt = *load, now
	}
	switch result {
	case Answered:
		st.consecutiveLosses = 0
		st.lastErrorRate *= 1 - newResultWeight
		st.addAnswerTime(now, elapsed)
	case ErrorResponse:
		st.addFailure(now, newResultWeight)
	case Rejected:
		st.backoffUntil = now.Add(rejectionBackoff)
	case Lost:
		// The bound on the shift prevents overflow.
		st.addFailure(now, lossErrorWeight)
		backoff := min(lossBackoff<<min(st.consecutiveLosses, 6), maxLossBackoff)
		st.consecutiveLosses++
		st.backoffUntil = now.Add(backoff)
	case Gone:
		st.gone = true
	case Abandoned:
	}
}

// IsFull reports whether a server has no free slot, judged by the open requests of this host and by the load that the
// server reported. Hosts send requests to full servers nevertheless; docs/design/plain-services.md compares that with
// waiting.
func (bl *Balancer) IsFull(now time.Time, sv serverlist.Server) bool {
	st := bl.stateOf(sv)
	pending := st.openRequests
	if now.Sub(st.loadReportedAt) < maxLoadAge {
		pending = max(pending, st.reportedLoad.Running+st.reportedLoad.Waiting)
	}
	return pending >= max(1, sv.Slots)
}
