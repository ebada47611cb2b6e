package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/standin/eventqueue"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
)

// ServerFault is the fault of one backend server of a plain service.
type ServerFault int

// Faults of servers.
const (
	// Healthy servers have no fault.
	Healthy ServerFault = iota
	// Failing servers answer half of their requests with an error.
	Failing
	// Hanging servers never answer half of their requests; the slot stays occupied until the client's timeout.
	Hanging
	// Slow servers take eight times as long as healthy ones.
	Slow
)

// PlainService describes a plain service: its backend servers, the hosts that balance requests among them, and the
// load.
type PlainService struct {
	Hosts   int
	Servers int
	// Slots is the number of requests that a server processes at a time, QueueLimit the number that may wait there for
	// a slot. The server rejects further ones.
	Slots      int
	QueueLimit int
	// MeanWorkTime is the mean of the exponentially distributed time that a healthy server works on a request.
	MeanWorkTime time.Duration
	// Rate is the mean number of requests per second, ArrivalPeriod the time during which they arrive.
	Rate          float64
	ArrivalPeriod time.Duration
	// Target is the longest time from arrival to the answer with which a request is on time.
	Target time.Duration
	// Timeout is the time from arrival after which a client gives up.
	Timeout time.Duration
	Fault   ServerFault
	// QueueOnHosts makes a host hold a request while the server that it would choose seems full to it, instead of
	// letting the request queue on that server.
	QueueOnHosts bool
}

// PlainServiceResult counts the requests of a simulation by their result.
type PlainServiceResult struct {
	Requests int
	OnTime   int
	Failed   int
	// FaultyServerShare is the share of requests that went to the faulty server, not counting the first second as
	// warm-up.
	FaultyServerShare float64
}

// serverLoad holds the requests at one server.
type serverLoad struct {
	running int
	// waiting holds the functions that start the waiting requests, in the order of arrival.
	waiting []func(time.Time)
}

// serviceSimulation runs models of servers and the balancers of hosts on virtual time. Server 0 has the fault. It is
// not safe for concurrent use.
type serviceSimulation struct {
	PlainService
	random          *rand.Rand
	start           time.Time
	scheduler       *eventqueue.Scheduler
	servers         []serverlist.Server
	loadByServer    []*serverLoad
	balancers       []*balance.Balancer
	result          PlainServiceResult
	sentAfterWarmUp int
	sentToFaulty    int
}

// RunPlainService simulates a plain service, one server of which may be faulty. The seed determines all random choices.
func RunPlainService(ps PlainService, seed uint64) PlainServiceResult {
	start := time.Unix(0, 0)
	sm := &serviceSimulation{PlainService: ps, random: rand.New(rand.NewPCG(seed, seed)), start: start, scheduler: eventqueue.New(start)}
	for index := range ps.Servers {
		sm.servers = append(sm.servers, serverlist.Server{ID: id.BackendServer(fmt.Sprintf("server-%d", index)), Slots: ps.Slots})
		sm.loadByServer = append(sm.loadByServer, &serverLoad{})
	}
	for index := range ps.Hosts {
		sm.balancers = append(sm.balancers, balance.New("", seed+uint64(index)))
	}
	for sinceStart := time.Duration(0); sinceStart < ps.ArrivalPeriod; sinceStart += time.Duration(sm.random.ExpFloat64() / ps.Rate * float64(time.Second)) {
		arrivedAt := sm.start.Add(sinceStart)
		hostIndex := sm.random.IntN(ps.Hosts)
		sm.result.Requests++
		sm.scheduler.ScheduleAt(arrivedAt, func(now time.Time) { sm.sendToServer(now, arrivedAt, hostIndex) })
	}
	const drainTime = time.Minute
	sm.scheduler.RunUntil(start.Add(ps.ArrivalPeriod + drainTime))
	sm.result.FaultyServerShare = float64(sm.sentToFaulty) / float64(max(1, sm.sentAfterWarmUp))
	return sm.result
}

// sendToServer sends a request to the server that its host's balancer chooses. While the host holds the request,
// because the balancer chooses none or the chosen one seems full, sendToServer tries again periodically, until the
// client's timeout has passed.
func (sm *serviceSimulation) sendToServer(now, arrivedAt time.Time, hostIndex int) {
	if now.Sub(arrivedAt) > sm.Timeout {
		sm.result.Failed++
		return
	}
	bl := sm.balancers[hostIndex]
	chosen, ok := bl.Choose(now, sm.servers, nil)
	if !ok || sm.QueueOnHosts && bl.IsFull(now, chosen) {
		const pollInterval = 5 * time.Millisecond
		sm.scheduler.ScheduleAt(now.Add(pollInterval), func(now time.Time) { sm.sendToServer(now, arrivedAt, hostIndex) })
		return
	}
	serverIndex := slices.IndexFunc(sm.servers, func(other serverlist.Server) bool { return other.ID == chosen.ID })
	if now.Sub(sm.start) > time.Second {
		sm.sentAfterWarmUp++
		if serverIndex == 0 {
			sm.sentToFaulty++
		}
	}
	bl.BeginRequest(chosen)
	sm.scheduler.ScheduleAt(now.Add(serverHop), func(now time.Time) { sm.receiveAtServer(now, arrivedAt, hostIndex, serverIndex) })
}

// receiveAtServer starts to process a request if the server has a free slot, queues it otherwise, and rejects it if the
// queue is full.
func (sm *serviceSimulation) receiveAtServer(now, arrivedAt time.Time, hostIndex, serverIndex int) {
	load := sm.loadByServer[serverIndex]
	receivedAt := now
	startWork := func(now time.Time) { sm.process(now, arrivedAt, receivedAt, hostIndex, serverIndex) }
	switch {
	case load.running < sm.Slots:
		load.running++
		startWork(now)
	case len(load.waiting) < sm.QueueLimit:
		load.waiting = append(load.waiting, startWork)
	default:
		sm.reportResult(now, hostIndex, serverIndex, balance.Rejected, 0)
		sm.result.Failed++
	}
}

// process draws how long a server works on a request and whether its fault affects it, and schedules the result.
func (sm *serviceSimulation) process(now, arrivedAt, receivedAt time.Time, hostIndex, serverIndex int) {
	workTime := time.Duration(sm.random.ExpFloat64() * float64(sm.MeanWorkTime))
	result := balance.Answered
	if serverIndex == 0 {
		const faultProbability, slowFactor = 0.5, 8
		affected := sm.random.Float64() < faultProbability
		switch {
		case sm.Fault == Slow:
			workTime *= slowFactor
		case sm.Fault == Failing && affected:
			result = balance.ErrorResponse
		case sm.Fault == Hanging && affected:
			result = balance.Lost
			workTime = max(0, sm.Timeout-now.Sub(arrivedAt))
		}
	}
	sm.scheduler.ScheduleAt(now.Add(workTime), func(now time.Time) {
		sm.reportResult(now, hostIndex, serverIndex, result, now.Sub(receivedAt))
		switch {
		case result != balance.Answered:
			sm.result.Failed++
		case now.Add(serverHop).Sub(arrivedAt) <= sm.Target:
			sm.result.OnTime++
		}
		sm.startNext(now, serverIndex)
	})
}

// startNext gives a slot that has become free to the request that has waited longest, if any.
func (sm *serviceSimulation) startNext(now time.Time, serverIndex int) {
	load := sm.loadByServer[serverIndex]
	if len(load.waiting) == 0 {
		load.running--
		return
	}
	startWork := load.waiting[0]
	load.waiting = load.waiting[1:]
	startWork(now)
}

// reportResult reports to a host's balancer how a request ended, with the server's current load. Lost requests carry no
// load, because nothing came back from the server.
func (sm *serviceSimulation) reportResult(now time.Time, hostIndex, serverIndex int, result balance.Result, answerTime time.Duration) {
	currentLoad := sm.loadByServer[serverIndex]
	reportedLoad := &balance.Load{Running: currentLoad.running, Waiting: len(currentLoad.waiting), Slots: sm.Slots}
	if result == balance.Lost {
		reportedLoad = nil
	}
	sm.scheduler.ScheduleAt(now.Add(serverHop), func(now time.Time) {
		sm.balancers[hostIndex].EndRequest(now, sm.servers[serverIndex], result, reportedLoad, answerTime)
	})
}
