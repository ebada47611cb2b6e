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
	// Erred means that the server answered with an error of its own.
	Erred
	// Shed means that the server did not run the request because it is full.
	Shed
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
	// errorWeight is the weight of the newest result in a server's rate of errors.
	errorWeight = 0.2
	// otherZone is the cost of a server in another availability zone, in requests.
	otherZone = 0.5
	// errorCost is the cost of a server that fails every request, in requests.
	errorCost = 12
	// errorHalfLife is the time in which old errors lose half of their weight, so that a server is tried again.
	errorHalfLife = 500 * time.Millisecond
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
	gone        bool
}

// failed adds the newest result to the rate of errors.
func (st *state) failed(now time.Time) {
	st.errors += errorWeight * (1 - st.errors)
	st.erredAt = now
}

// errorRate returns the rate of errors, with old ones fading.
func (st *state) errorRate(now time.Time) float64 {
	return st.errors * math.Exp2(-now.Sub(st.erredAt).Seconds()/errorHalfLife.Seconds())
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
	if !ok || st.born != sv.Born {
		st = &state{born: sv.Born}
		bl.servers[sv.ID] = st
	}
	return st
}

// Keep forgets the servers that are no longer listed.
func (bl *Balancer) Keep(listed []roster.Server) {
	for name := range bl.servers {
		if !slices.ContainsFunc(listed, func(sv roster.Server) bool { return sv.ID == name }) {
			delete(bl.servers, name)
		}
	}
}

// Choose returns the server that a request is to go to, of those that do not drain and are not to be avoided.
// Servers that were lost lately come last.
func (bl *Balancer) Choose(now time.Time, servers []roster.Server, avoid []id.BackendServer) (roster.Server, bool) {
	var best roster.Server
	var bestCost float64
	found := false
	for _, sv := range servers {
		st := bl.stateOf(sv)
		if sv.Draining || st.gone || slices.Contains(avoid, sv.ID) {
			continue
		}
		cost := bl.cost(now, sv, st)
		if !found || cost < bestCost {
			best, bestCost, found = sv, cost, true
		}
	}
	return best, found
}

// cost compares servers: the requests that are ahead, with a part for errors, distance and chance.
func (bl *Balancer) cost(now time.Time, sv roster.Server, st *state) float64 {
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
	cost += errorCost * st.errorRate(now)
	if now.Before(st.pausedUntil) {
		const last = 1000
		cost += last
	}
	return cost
}

// Begin notes that a request goes to a server.
func (bl *Balancer) Begin(sv roster.Server) {
	bl.stateOf(sv).open++
}

// End takes the result of an attempt.
func (bl *Balancer) End(now time.Time, sv roster.Server, result Result, load *Load) {
	st := bl.stateOf(sv)
	st.open = max(0, st.open-1)
	if load != nil {
		st.load, st.loadAt = *load, now
	}
	switch result {
	case Answered:
		st.losses = 0
		st.errors *= 1 - errorWeight
	case Erred:
		st.failed(now)
	case Shed:
		st.pausedUntil = now.Add(shedPause)
	case Lost:
		st.failed(now)
		pause := min(lossPause<<min(st.losses, 6), maxPause)
		st.losses++
		st.pausedUntil = now.Add(pause)
	case Gone:
		st.gone = true
	case Abandoned:
	}
}
