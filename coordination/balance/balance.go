// Package balance chooses servers of plain services by what their answers tell of them.
// It is pure: it reads no clock and does no I/O.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
)

// Load is what a server says of its load in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Result says how an attempt at a server ended.
type Result int

// Results.
const (
	// Answered means that the server gave a proper answer.
	Answered Result = iota + 1
	// ErrorResponse means that the server answered with an error of its own.
	ErrorResponse
	// Rejected means that the server did not run the request because it is full.
	Rejected
	// Lost means that the server was not reached, or broke off or did not answer.
	Lost
	// Gone means that another server has the address, or that the server said that it is leaving.
	Gone
	// Abandoned means that the caller has gone or the time has passed; it says nothing of the server.
	Abandoned
)

const (
	// loadAge is how long a server's word on its load counts.
	loadAge = 500 * time.Millisecond
	// lossPause is how long a server that was lost gets nothing while others are there; it doubles up to maxPause.
	lossPause = 500 * time.Millisecond
	maxPause  = 8 * time.Second
	// shedPause is the same for a server that is full.
	shedPause = 100 * time.Millisecond
	// newestWeight is the weight of the newest result in a server's rate of errors and in its time.
	newestWeight = 0.4
	// lossWeight is the same for a request that was lost: the server may be back soon.
	lossWeight = 0.06
	// otherZone is the cost of a server in another availability zone, in requests.
	otherZone = 0.5
	// errorCost is the cost of a server that fails every request, in requests.
	errorCost = 24
	// slowCost is the cost of a server for each time that it takes the fastest one's time beyond the second; it is
	// bounded by slowMost.
	slowCost = 2
	slowMost = 16
	// halfLife is the time in which old results lose half of their weight, so that a server is tried again.
	halfLife = 3 * time.Second
)

type state struct {
	born        int64
	open        int
	load        Load
	loadAt      time.Time
	losses      int
	pausedUntil time.Time
	errors      float64
	erredAt     time.Time
	// took is the mean time of answers, the newest at tookAt.
	took   time.Duration
	tookAt time.Time
	gone   bool
}

// answered adds the newest time to the mean time of answers. Older ones count less the longer ago they are.
func (st *state) answered(now time.Time, took time.Duration) {
	weight := 1 - (1-newestWeight)*faded(now.Sub(st.tookAt))
	st.took += time.Duration(weight * float64(took-st.took))
	st.tookAt = now
}

// slowness returns how many times the fastest time a server takes, without the first two; old times fade.
func (st *state) slowness(now time.Time, fastest time.Duration) float64 {
	const usual = 2
	if fastest <= 0 {
		return 0
	}
	return max(0, float64(st.took)/float64(fastest)-usual) * faded(now.Sub(st.tookAt))
}

// faded returns the weight of a result after a time.
func faded(age time.Duration) float64 { return math.Exp2(-age.Seconds() / halfLife.Seconds()) }

// failed adds the newest result to the rate of errors.
func (st *state) failed(now time.Time, weight float64) {
	rate := st.errorRate(now)
	st.errors = rate + weight*(1-rate)
	st.erredAt = now
}

// errorRate returns the rate of errors, with old ones fading.
func (st *state) errorRate(now time.Time) float64 {
	return st.errors * faded(now.Sub(st.erredAt))
}

// Balancer chooses among the servers of all plain services. It is not safe for concurrent use.
type Balancer struct {
	zone    id.AvailabilityZone
	random  *rand.Rand
	servers map[id.BackendServer]*state
}

// New returns a balancer of a host in an availability zone. The seed determines its random choices.
func New(zone id.AvailabilityZone, seed uint64) *Balancer {
	return &Balancer{zone: zone, random: rand.New(rand.NewPCG(seed, seed)), servers: map[id.BackendServer]*state{}}
}

func (bl *Balancer) stateOf(sv roster.Server) *state {
	st, ok := bl.servers[sv.ID]
	if !ok || st.born != sv.StartedAtMillis {
		st = &state{born: sv.StartedAtMillis}
		bl.servers[sv.ID] = st
	}
	return st
}

// ForgetUnlisted forgets the servers that are no longer listed.
func (bl *Balancer) ForgetUnlisted(listed []roster.Server) {
	for name := range bl.servers {
		if !slices.ContainsFunc(listed, func(sv roster.Server) bool { return sv.ID == name }) {
			delete(bl.servers, name)
		}
	}
}

// Choose returns the server that a request is to go to, of those that do not drain and are not to be avoided.
// Servers that were lost lately come last.
func (bl *Balancer) Choose(now time.Time, servers []roster.Server, avoid []id.BackendServer) (roster.Server, bool) {
	fastest := bl.fastest(servers)
	var best roster.Server
	var bestCost float64
	found := false
	for _, sv := range servers {
		if !bl.takes(sv, avoid) {
			continue
		}
		cost := bl.cost(now, sv, bl.stateOf(sv), fastest)
		if !found || cost < bestCost {
			best, bestCost, found = sv, cost, true
		}
	}
	return best, found
}

// HasEligible reports whether there is a server that Choose could return.
func (bl *Balancer) HasEligible(servers []roster.Server, avoid []id.BackendServer) bool {
	return slices.ContainsFunc(servers, func(sv roster.Server) bool { return bl.takes(sv, avoid) })
}

// takes reports whether a server may get a request.
func (bl *Balancer) takes(sv roster.Server, avoid []id.BackendServer) bool {
	return !sv.Draining && !bl.stateOf(sv).gone && !slices.Contains(avoid, sv.ID)
}

// fastest returns the least mean time of the servers that have answered.
func (bl *Balancer) fastest(servers []roster.Server) time.Duration {
	var least time.Duration
	for _, sv := range servers {
		if took := bl.stateOf(sv).took; took > 0 && (least == 0 || took < least) {
			least = took
		}
	}
	return least
}

// cost compares servers: the requests that are ahead, with a part for errors, distance and chance.
func (bl *Balancer) cost(now time.Time, sv roster.Server, st *state, fastest time.Duration) float64 {
	slots := float64(max(1, sv.Slots))
	ahead := float64(st.open)
	if now.Sub(st.loadAt) < loadAge {
		ahead = max(ahead, float64(st.load.Running+st.load.Waiting))
	}
	cost := ahead + bl.random.Float64()
	if ahead >= slots {
		cost += 2 * (ahead - slots + 1)
	}
	if sv.AvailabilityZone != bl.zone {
		cost += otherZone
	}
	cost += errorCost*st.errorRate(now) + min(slowMost, slowCost*st.slowness(now, fastest))
	if now.Before(st.pausedUntil) {
		const last = 1000
		cost += last
	}
	return cost
}

// BeginRequest notes that a request goes to a server.
func (bl *Balancer) BeginRequest(sv roster.Server) {
	bl.stateOf(sv).open++
}

// EndRequest takes the result of an attempt and the time that it took.
func (bl *Balancer) EndRequest(now time.Time, sv roster.Server, result Result, load *Load, took time.Duration) {
	st := bl.stateOf(sv)
	st.open = max(0, st.open-1)
	if load != nil {
		st.load, st.loadAt = *load, now
	}
	switch result {
	case Answered:
		st.losses = 0
		st.errors *= 1 - newestWeight
		st.answered(now, took)
	case ErrorResponse:
		st.failed(now, newestWeight)
	case Rejected:
		st.pausedUntil = now.Add(shedPause)
	case Lost:
		st.failed(now, lossWeight)
		pause := min(lossPause<<min(st.losses, 6), maxPause)
		st.losses++
		st.pausedUntil = now.Add(pause)
	case Gone:
		st.gone = true
	case Abandoned:
	}
}

// IsFull reports whether a server has no free slot, by the requests of this host and by the server's own word. Hosts send
// on all the same; docs/design/plain-services.md compares that with waiting.
func (bl *Balancer) IsFull(now time.Time, sv roster.Server) bool {
	st := bl.stateOf(sv)
	ahead := st.open
	if now.Sub(st.loadAt) < loadAge {
		ahead = max(ahead, st.load.Running+st.load.Waiting)
	}
	return ahead >= max(1, sv.Slots)
}
