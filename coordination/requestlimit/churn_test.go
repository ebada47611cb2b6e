package requestlimit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/requestlimit"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlimit"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// limitPhase is a time during which a server names one limit; zero stands for none.
type limitPhase struct {
	duration time.Duration
	rate     float64
}

// sentRequest is a request that reached the server.
type sentRequest struct {
	host id.Host
	at   time.Time
}

// simulatedServer answers the requests of all hosts and names its current limit in each answer.
type simulatedServer struct {
	mutex sync.Mutex
	rate  float64
	sent  []sentRequest
	// passedOnAt is when each host passed on the first answer with a limit in the current phase.
	passedOnAt map[id.Host]time.Time
}

// handle records a request and returns the limit that its answer names.
func (sv *simulatedServer) handle(host id.Host) float64 {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.sent = append(sv.sent, sentRequest{host, time.Now()})
	return sv.rate
}

// passOn records that a host has passed on an answer that names a limit.
func (sv *simulatedServer) passOn(host id.Host, rate float64) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	if _, passedOn := sv.passedOnAt[host]; !passedOn && rate > 0 && rate == sv.rate {
		sv.passedOnAt[host] = time.Now()
	}
}

// setRate begins a phase.
func (sv *simulatedServer) setRate(rate float64) {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	sv.rate, sv.sent, sv.passedOnAt = rate, nil, map[id.Host]time.Time{}
}

// counted returns the times of the phase's requests of hosts that had passed on the limit half a second before.
func (sv *simulatedServer) counted() []time.Time {
	sv.mutex.Lock()
	defer sv.mutex.Unlock()
	var times []time.Time
	for _, request := range sv.sent {
		if passedOnAt, passedOn := sv.passedOnAt[request.host]; passedOn && request.at.Sub(passedOnAt) >= 500*time.Millisecond {
			times = append(times, request.at)
		}
	}
	return times
}

// TestLimitChangesWhileHostsComeAndGo has a server name, change, end and name again a limit, while hosts that issue
// permits are lost, return and are slow to be noticed. In each phase the server must get no more than the users allow,
// and at least two fifths of its rate.
func TestLimitChangesWhileHostsComeAndGo(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, seed))
				hostCount := []int{3, 12, 60}[seed%3]
				nw, hosts := newNetwork(hostCount)
				server := &simulatedServer{}
				server.setRate(0)
				stop := make(chan struct{})
				var running sync.WaitGroup
				for index, host := range hosts {
					demand := rand.New(rand.NewPCG(seed, uint64(index)))
					running.Go(func() { sendRequests(t, nw, host, hosts, server, demand, stop) })
				}
				running.Go(func() { disturbIssuers(nw, hosts, random, stop) })
				phases := []limitPhase{{2 * time.Second, 0}, {10 * time.Second, 0}, {10 * time.Second, 0}, {4 * time.Second, 0}, {10 * time.Second, 0}}
				for index := range phases {
					if index == 1 || index == 2 || index == 4 {
						phases[index].rate = []float64{0.5, 1, 1.9, 5, 20}[(seed+uint64(index))%5]
					}
				}
				for index, phase := range phases {
					server.setRate(phase.rate)
					time.Sleep(phase.duration)
					if phase.rate == 0 {
						continue
					}
					most, allowed := testutil.MaxInWindow(server.counted(), testutil.LimitWindow), testutil.MaxAllowedByLimit(phase.rate)
					assert.Check(t, most <= allowed, "phase %d, %d hosts, %g/s: %d requests in 4 s, allowed %d", index, hostCount, phase.rate, most, allowed)
					server.mutex.Lock()
					got := len(server.sent)
					server.mutex.Unlock()
					// An issuer that is lost, and one that takes over, allow nothing for some seconds of the ten.
					const usableShare = 0.4
					assert.Check(t, float64(got) >= usableShare*phase.rate*phase.duration.Seconds()-1, "phase %d, %d hosts, %g/s: %d requests in %s", index, hostCount, phase.rate, got, phase.duration)
				}
				close(stop)
				running.Wait()
			})
		})
	}
}

// sendRequests has a host send requests to the server, with a permit where it knows of a limit, until stop is closed.
// What it learns from answers reaches the other hosts a tenth of a second later.
func sendRequests(t *testing.T, nw *network, host id.Host, hosts []id.Host, server *simulatedServer, random *rand.Rand, stop <-chan struct{}) {
	client := nw.clients[host]
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+random.IntN(100)) * time.Millisecond):
		}
		if client.Rate(limitedServer) > 0 && !client.Acquire(t.Context(), service, []serverlist.Server{limitedServer}, 0).Granted() {
			continue
		}
		sentAt := time.Now()
		rate := server.handle(host)
		time.Sleep(time.Duration(5+random.IntN(100)) * time.Millisecond)
		client.RecordResponse(limitedServer, sentAt, requestlimit.Named{Rate: serverlimit.Rate(rate)}, true)
		server.passOn(host, rate)
		statements := client.Statements([]serverlist.Server{limitedServer})
		time.AfterFunc(100*time.Millisecond, func() {
			for _, other := range hosts {
				nw.clients[other].Learn(string(host), statements...)
			}
		})
	}
}

// disturbIssuers makes the first host unreachable from time to time, until stop is closed. The other hosts notice its
// loss, and its return, at different times within a second.
func disturbIssuers(nw *network, hosts []id.Host, random *rand.Rand, stop <-chan struct{}) {
	order := slices.Clone(hosts)
	noticeAll := func(live []id.Host) {
		for _, host := range hosts {
			time.AfterFunc(time.Duration(random.IntN(1000))*time.Millisecond, func() { nw.setLive(live, host) })
		}
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(3000+random.IntN(4000)) * time.Millisecond):
		}
		lost := order[0]
		nw.mutex.Lock()
		nw.unreachable[lost] = true
		nw.mutex.Unlock()
		noticeAll(slices.Clone(order[1:]))
		time.Sleep(2 * time.Second)
		nw.mutex.Lock()
		delete(nw.unreachable, lost)
		nw.mutex.Unlock()
		if random.IntN(2) == 0 {
			order = append(slices.Clone(order[1:]), lost)
		}
		noticeAll(slices.Clone(order))
	}
}
