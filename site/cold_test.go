package site_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

const (
	// coldRate is the number of requests a second that a cold server of these tests takes, and coldAllowed what all hosts
	// may send it in any second.
	coldRate    = 6.0
	coldAllowed = coldRate*1.5 + 5
	// coldTime is how long a server is cold.
	coldTime = 5 * time.Second
	// listAllowance is how long hosts may take to learn that a server has become cold.
	listAllowance = time.Second
)

// coldEnv has hosts with endless demand and two servers of a service, the first of which becomes cold.
type coldEnv struct {
	*testEnv
	server *standin.Server
	hosts  []*testHost
	end    chan struct{}
	demand sync.WaitGroup
}

// newColdEnv starts the servers and the hosts. The clients of each host send requests until stop is called.
func newColdEnv(t *testing.T, service string) *coldEnv {
	const hostCount = 5
	env := &coldEnv{testEnv: newTestEnv(t), end: make(chan struct{})}
	env.coldSeconds, env.coldPerSecond = coldTime.Seconds(), coldRate
	env.server = env.addServer(service+"-1", service)
	env.addServer(service+"-2", service)
	env.publishTable()
	// Servers that start shortly before the hosts count as cold.
	time.Sleep(coldTime)
	for number := range hostCount {
		var seeds []string
		if number > 0 {
			seeds = append(seeds, env.hosts[0].settings.Host.PeerAddress)
		}
		env.hosts = append(env.hosts, env.startHost(fmt.Sprint("host-", number), true, seeds...))
	}
	for index, host := range env.hosts {
		env.demand.Go(func() { env.sendUntilEnd(host, index, service) })
	}
	return env
}

// sendUntilEnd sends about twenty requests a second.
func (env *coldEnv) sendUntilEnd(host *testHost, index int, service string) {
	for number := 0; ; number++ {
		select {
		case <-env.end:
			return
		case <-time.After(50 * time.Millisecond):
		}
		env.demand.Go(func() {
			attemptID := fmt.Sprintf("%s-%d-%d", service, index, number)
			got := response{}
			if service == "models" {
				got = host.sendPrompt(attemptID, 1000)
			} else {
				got = host.get("/read/x", attemptID)
			}
			assert.Check(env.t, got.status == http.StatusOK, "status %d, body %q, error %v", got.status, got.body, got.err)
		})
	}
}

// stop ends the demand.
func (env *coldEnv) stop() {
	close(env.end)
	env.demand.Wait()
}

// arrivalsIn returns the arrivals at the first server in a time.
func (env *coldEnv) arrivalsIn(from, to time.Time) []time.Time {
	return slices.DeleteFunc(env.server.Arrivals(), func(at time.Time) bool { return at.Before(from) || !at.Before(to) })
}

// TestColdServerGetsItsRampFromAllHosts guards against hosts that send a cold server more than it takes, or much less, and
// against limits that outlast the cold time. Hosts learn of it from the list, or from answers alone.
func TestColdServerGetsItsRampFromAllHosts(t *testing.T) {
	for _, service := range []string{"models", "books"} {
		for _, learnedFrom := range []string{"list", "answers", "restart"} {
			t.Run(service+"/"+learnedFrom, func(t *testing.T) {
				t.Parallel()
				env := newColdEnv(t, service)
				time.Sleep(time.Second)
				coldAt := time.Now()
				switch learnedFrom {
				case "list":
					env.server.SetCold(coldTime, false)
					env.store.ListServer(env.server)
				case "answers":
					env.server.SetCold(coldTime, true)
				case "restart":
					env.server.SimulateRestart()
					env.store.ListServer(env.server)
				}
				warmAt := coldAt.Add(coldTime)
				time.Sleep(time.Until(warmAt.Add(3 * time.Second)))
				env.stop()
				from := coldAt.Add(listAllowance)
				arrivals := env.arrivalsIn(from, warmAt)
				most := testutil.MaxInWindow(arrivals, time.Second)
				assert.Check(t, float64(most) <= coldAllowed, "%d requests in a second, allowed %g", most, coldAllowed)
				const usedShare = 0.8
				assert.Check(t, float64(len(arrivals)) >= usedShare*coldRate*warmAt.Sub(from).Seconds(), "%d requests in %s", len(arrivals), warmAt.Sub(from))
				warmSecond := env.arrivalsIn(warmAt.Add(2*time.Second), warmAt.Add(3*time.Second))
				assert.Check(t, float64(len(warmSecond)) > coldAllowed, "%d requests in a second after the cold time", len(warmSecond))
			})
		}
	}
}
