package requestlimit_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// rampCase has hosts whose clients send requests all the time, and a server that becomes cold.
type rampCase struct {
	// learnDelay is how much later each host learns that the server is cold than the one before.
	learnDelay time.Duration
	// permitDelay is the time of a call to the issuer by the first host. Those of the others are longer by timeStep each.
	permitDelay time.Duration
	// firstAnswer is the time of the first answer that a host gets from the cold server, and answer that of all others.
	firstAnswer, answer time.Duration
}

// timeStep keeps the events of hosts apart, so that their order does not depend on the scheduler.
const timeStep = 137 * time.Microsecond

// rampRun is one run of a rampCase.
type rampRun struct {
	rampCase
	servers []serverlist.Server

	// mutex guards the following fields.
	mutex sync.Mutex
	// arrivals are the times of the requests to the server that becomes cold.
	arrivals []time.Time
	// refused counts the requests for which there was no server.
	refused int
}

// rampHost is one host of a run.
type rampHost struct {
	*rampRun
	client *requestlimit.Client

	// mutex guards the following fields.
	mutex    sync.Mutex
	balancer *balance.Balancer
	// answered says that the server that becomes cold has answered.
	answered bool
}

// choose returns the server of a request, as package forward chooses it; the zero value for none.
func (rh *rampHost) choose() serverlist.Server {
	var excluded []id.BackendServer
	for {
		rh.mutex.Lock()
		if !rh.answered {
			// The first request of each host goes to the server that becomes cold.
			excluded = append(excluded, otherServer.ID)
		}
		server, found := rh.balancer.Choose(time.Now(), rh.servers, excluded)
		rh.mutex.Unlock()
		if !found {
			return serverlist.Server{}
		}
		if rh.client.Rate(server) == 0 || rh.client.Acquire(context.Background(), service, []serverlist.Server{server}, 0).Granted() {
			return server
		}
		excluded = append(excluded, server.ID)
	}
}

// send sends one request.
func (rh *rampHost) send() {
	server := rh.choose()
	if server.ID == "" {
		rh.rampRun.mutex.Lock()
		defer rh.rampRun.mutex.Unlock()
		rh.refused++
		return
	}
	answerTime := rh.answer
	rh.mutex.Lock()
	rh.balancer.BeginRequest(server)
	if server.ID == limitedServer.ID {
		if !rh.answered {
			rh.answered, answerTime = true, rh.firstAnswer
		}
		rh.rampRun.mutex.Lock()
		rh.arrivals = append(rh.arrivals, time.Now())
		rh.rampRun.mutex.Unlock()
	}
	rh.mutex.Unlock()
	time.Sleep(answerTime)
	rh.mutex.Lock()
	defer rh.mutex.Unlock()
	rh.balancer.EndRequest(time.Now(), server, balance.Answered, nil, answerTime)
}

// slowPeers delays the calls to the issuer.
type slowPeers struct {
	hostPeers
	delay time.Duration
}

func (sp slowPeers) RequestPermit(ctx context.Context, host id.Host, request requestlimit.PermitRequest) (requestlimit.Permit, error) {
	time.Sleep(sp.delay)
	return sp.hostPeers.RequestPermit(ctx, host, request)
}

// arrivalsIn returns the number of arrivals in a time, and the largest number in a second of it.
func (rr *rampRun) arrivalsIn(from, to time.Time) (count, most int) {
	rr.mutex.Lock()
	defer rr.mutex.Unlock()
	arrivals := slices.DeleteFunc(slices.Clone(rr.arrivals), func(at time.Time) bool { return at.Before(from) || !at.Before(to) })
	return len(arrivals), testutil.MaxInWindow(arrivals, time.Second)
}

// TestSlowFirstAnswerCostsColdServerItsRamp guards against a server that gets no requests for many seconds because the first
// answer on a new connection took some ms longer than others. The server gets 0.8 of its rate while it is cold, no more
// than all hosts may send it, and an equal share when it is warm.
func TestSlowFirstAnswerCostsColdServerItsRamp(t *testing.T) {
	const (
		hostCount     = 5
		interval      = 50 * time.Millisecond
		warmBefore    = time.Second
		coldFor       = 5 * time.Second
		listAllowance = time.Second
		usedShare     = 0.8
	)
	for _, tc := range []rampCase{
		{answer: 300 * time.Microsecond, firstAnswer: 300 * time.Microsecond},
		{answer: 300 * time.Microsecond, firstAnswer: 14 * time.Millisecond},
		{answer: 100 * time.Microsecond, firstAnswer: 30 * time.Millisecond, learnDelay: 200 * time.Millisecond, permitDelay: 5 * time.Millisecond},
		{answer: 20 * time.Millisecond, firstAnswer: 34 * time.Millisecond, learnDelay: 200 * time.Millisecond, permitDelay: 20 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("answers=%s,first=%s,learned=%s,permits=%s", tc.answer, tc.firstAnswer, tc.learnDelay, tc.permitDelay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				run := &rampRun{rampCase: tc, servers: []serverlist.Server{limitedServer, otherServer}}
				for index := range run.servers {
					run.servers[index].Slots = 8
				}
				nw, hosts := newNetwork(hostCount)
				end := make(chan struct{})
				var demand sync.WaitGroup
				var cold []*coldHost
				for index, host := range hosts {
					cold = append(cold, newColdHost())
					cold[index].UpdateServers(run.servers)
					nw.clients[host].SetColdStarts(cold[index].ColdStarts)
					sender := &rampHost{
						rampRun: run, balancer: balance.New("", uint64(index)),
						client: requestlimit.NewClient(nw.clients[host].Tracker, host, slowPeers{hostPeers{nw, host}, tc.permitDelay + time.Duration(index)*timeStep}),
					}
					demand.Go(func() {
						time.Sleep(time.Duration(index) * (interval/hostCount + timeStep))
						for {
							select {
							case <-end:
								return
							case <-time.After(interval):
								demand.Go(sender.send)
							}
						}
					})
				}
				time.Sleep(warmBefore)
				coldAt := time.Now()
				warmAt := coldAt.Add(coldFor)
				for _, host := range cold {
					host.RecordAnswer(limitedServer, time.Until(warmAt))
					time.Sleep(tc.learnDelay)
				}
				time.Sleep(time.Until(warmAt.Add(3 * time.Second)))
				close(end)
				demand.Wait()
				count, most := run.arrivalsIn(coldAt.Add(listAllowance), warmAt)
				assert.Check(t, run.refused == 0, "%d requests found no server", run.refused)
				assert.Check(t, float64(most) <= coldAllowed, "%d requests in a second, allowed %g", most, coldAllowed)
				wanted := usedShare * coldRate * (coldFor - listAllowance).Seconds()
				assert.Check(t, float64(count) >= wanted, "%d requests while the server is cold, at least %g wanted", count, wanted)
				warmCount, _ := run.arrivalsIn(warmAt.Add(2*time.Second), warmAt.Add(3*time.Second))
				assert.Check(t, float64(warmCount) > coldAllowed, "%d requests in a second when the server is warm", warmCount)
			})
		})
	}
}
