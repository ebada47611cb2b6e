package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/standin/agenda"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
)

// ServerFault is what ails one server of a plain service.
type ServerFault int

// Troubles.
const (
	// Healthy servers work.
	Healthy ServerFault = iota
	// Failing servers answer half of their requests with an error.
	Failing
	// Hanging servers never answer half of their requests.
	Hanging
	// Slow servers take eight times as long.
	Slow
)

// PlainService describes a plain service, its servers and the hosts before it.
type PlainService struct {
	Hosts   int
	Servers int
	// Slots is the number of requests that a server works on, Queue the number that wait there; more are turned away.
	Slots int
	QueueLimit int
	MeanWorkTime  time.Duration
	// Rate is the number of requests a second, Length the time in which they come.
	Rate   float64
	ArrivalPeriod time.Duration
	Target time.Duration
	// Timeout is when a client gives up.
	Timeout time.Duration
	Fault ServerFault
	// QueueOnHosts has hosts keep requests back while they take all servers to be full, instead of sending them on.
	QueueOnHosts bool
}

// PlainServiceResult is what became of the requests.
type PlainServiceResult struct {
	Requests  int
	OnTime int
	Failed int
	// FaultyServerShare is the part of the requests that went to the server in trouble after the first second.
	FaultyServerShare float64
}

type plainServer struct {
	running int
	waiting []func(time.Time)
}

// plainWorld runs servers and balancers on virtual time.
type plainWorld struct {
	PlainService
	random    *rand.Rand
	start     time.Time
	agenda    *agenda.Scheduler
	servers   []roster.Server
	state     []*plainServer
	balancers []*balance.Balancer
	result    PlainServiceResult
	counted   int
	troubled  int
}

// RunPlainService replays requests for a plain service, one server of which is in trouble, with a seed.
func RunPlainService(sc PlainService, seed uint64) PlainServiceResult {
	start := time.Unix(0, 0)
	wd := &plainWorld{PlainService: sc, random: rand.New(rand.NewPCG(seed, seed)), start: start, agenda: agenda.New(start)}
	for ix := range sc.Servers {
		wd.servers = append(wd.servers, roster.Server{ID: id.BackendServer(fmt.Sprintf("server-%d", ix)), Slots: sc.Slots})
		wd.state = append(wd.state, &plainServer{})
	}
	for ix := range sc.Hosts {
		wd.balancers = append(wd.balancers, balance.New("", seed+uint64(ix)))
	}
	for at := time.Duration(0); at < sc.ArrivalPeriod; at += time.Duration(wd.random.ExpFloat64() / sc.Rate * float64(time.Second)) {
		came := wd.start.Add(at)
		host := wd.random.IntN(sc.Hosts)
		wd.result.Requests++
		wd.agenda.ScheduleAt(came, func(now time.Time) { wd.send(now, came, host) })
	}
	const rest = time.Minute
	wd.agenda.RunUntil(start.Add(sc.ArrivalPeriod + rest))
	wd.result.FaultyServerShare = float64(wd.troubled) / float64(max(1, wd.counted))
	return wd.result
}

// send sends a request to the server that its host chooses, or keeps it back.
func (wd *plainWorld) send(now, came time.Time, host int) {
	if now.Sub(came) > wd.Timeout {
		wd.result.Failed++
		return
	}
	bl := wd.balancers[host]
	sv, ok := bl.Choose(now, wd.servers, nil)
	if !ok || wd.QueueOnHosts && bl.IsFull(now, sv) {
		const look = 5 * time.Millisecond
		wd.agenda.ScheduleAt(now.Add(look), func(now time.Time) { wd.send(now, came, host) })
		return
	}
	at := slices.IndexFunc(wd.servers, func(other roster.Server) bool { return other.ID == sv.ID })
	if now.Sub(wd.start) > time.Second {
		wd.counted++
		if at == 0 {
			wd.troubled++
		}
	}
	bl.BeginRequest(sv)
	wd.agenda.ScheduleAt(now.Add(engineHop), func(now time.Time) { wd.arrive(now, came, host, at) })
}

// arrive has a server work on a request, queue it, or turn it away.
func (wd *plainWorld) arrive(now, came time.Time, host, at int) {
	st := wd.state[at]
	sent := now
	run := func(now time.Time) { wd.work(now, came, sent, host, at) }
	switch {
	case st.running < wd.Slots:
		st.running++
		run(now)
	case len(st.waiting) < wd.QueueLimit:
		st.waiting = append(st.waiting, run)
	default:
		wd.answered(now, host, at, balance.Rejected, 0)
		wd.result.Failed++
	}
}

func (wd *plainWorld) work(now, came, sent time.Time, host, at int) {
	length := time.Duration(wd.random.ExpFloat64() * float64(wd.MeanWorkTime))
	result := balance.Answered
	if at == 0 {
		const half, slower = 0.5, 8
		ails := wd.random.Float64() < half
		switch {
		case wd.Fault == Slow:
			length *= slower
		case wd.Fault == Failing && ails:
			result = balance.ErrorResponse
		case wd.Fault == Hanging && ails:
			result = balance.Lost
			length = max(0, wd.Timeout-now.Sub(came))
		}
	}
	wd.agenda.ScheduleAt(now.Add(length), func(now time.Time) {
		wd.answered(now, host, at, result, now.Sub(sent))
		switch {
		case result != balance.Answered:
			wd.result.Failed++
		case now.Add(engineHop).Sub(came) <= wd.Target:
			wd.result.OnTime++
		}
		wd.next(now, at)
	})
}

// next has a server work on what waits there.
func (wd *plainWorld) next(now time.Time, at int) {
	st := wd.state[at]
	if len(st.waiting) == 0 {
		st.running--
		return
	}
	run := st.waiting[0]
	st.waiting = st.waiting[1:]
	run(now)
}

// answered tells a host how its request ended, with the server's load.
func (wd *plainWorld) answered(now time.Time, host, at int, result balance.Result, took time.Duration) {
	st := wd.state[at]
	load := &balance.Load{Running: st.running, Waiting: len(st.waiting), Slots: wd.Slots}
	if result == balance.Lost {
		load = nil
	}
	wd.agenda.ScheduleAt(now.Add(engineHop), func(now time.Time) { wd.balancers[host].EndRequest(now, wd.servers[at], result, load, took) })
}
