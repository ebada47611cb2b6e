package site_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// warmUpRequests is the number of requests of each kind that each host has served before links are cut.
	warmUpRequests = 10
	// pauseBetweenCuts is the time between two cuts of the same hosts.
	pauseBetweenCuts = time.Second
	// partitionDuration is how long links are cut, unless a test says otherwise.
	partitionDuration = 4 * time.Second
	// detectionTime is how long after a cut the cut-off hosts must serve again. The platform allows 3 s.
	detectionTime = 1500 * time.Millisecond
	// returnTime is how long after the end of a cut hosts must send requests to servers directly again.
	returnTime = 3 * time.Second
	// directWindow is how long it is checked then that they do.
	directWindow = time.Second
	// servedPercent is the share of requests that must be served, in percent.
	servedPercent = 95
)

// linkCuts are the forms of a cut.
var linkCuts = []standin.LinkMode{standin.LinkSilent, standin.LinkReset, standin.LinkRefused, standin.LinkLiving}

// partitionKinds are the kinds of requests that clients send to each host while links are cut. All requests of a kind
// have the same contents.
var partitionKinds = []struct {
	name string
	send func(host *testHost, attemptID string) response
}{
	{"stream", func(host *testHost, attemptID string) response {
		return host.sendRequest(context.Background(), http.MethodPost, "/chat/x", attemptID, "the prompt", "X-Model", "m", "X-Token-Count", "4000,255", "X-Prompt-Prefix", "first:400,second:800")
	}},
	{"idempotent", func(host *testHost, attemptID string) response { return host.get("/read/x", attemptID) }},
	{"non-idempotent", func(host *testHost, attemptID string) response {
		return host.sendRequest(context.Background(), http.MethodPost, "/order/x", attemptID, "order")
	}},
}

// partitionExchange is a request that a client sent once, and the response.
type partitionExchange struct {
	host      int
	kind      string
	attemptID string
	sentAt    time.Time
	endedAt   time.Time
	got       response
}

// served reports whether the response is complete and successful.
func (ex *partitionExchange) served() bool {
	if ex.got.err != nil || ex.got.status != http.StatusOK {
		return false
	}
	return ex.kind != "stream" || ex.got.body == eventStream(5)
}

// outcome describes the response in a way that is the same for requests that end alike.
func (ex *partitionExchange) outcome() string {
	switch {
	case ex.got.status == 0:
		return fmt.Sprint("no response: ", ex.got.err)
	case ex.got.status == http.StatusOK:
		return fmt.Sprintf("200, served %t", ex.served())
	default:
		return fmt.Sprint(ex.got.status, " ", strings.TrimSpace(ex.got.body))
	}
}

// partitionEnv has hosts with links that can be cut, four servers of each service in two zones, and clients that send
// requests of all kinds to each host.
type partitionEnv struct {
	*testEnv
	hosts []*testHost
	// stopClients ends the clients, and requests waits for them and their requests.
	stopClients context.CancelFunc
	requests    sync.WaitGroup

	mutex     sync.Mutex
	exchanges []*partitionExchange
}

// newPartitionEnv starts the servers and three hosts in zone-a.
func newPartitionEnv(t *testing.T) *partitionEnv {
	return newPartitionEnvInZones(t, "zone-a", "zone-a", "zone-a")
}

// partitionSlots limits the environments that exist at a time, because each sends some hundred requests a second and the
// tests measure how soon hosts find another way.
var partitionSlots = make(chan struct{}, 4)

// newPartitionEnvInZones starts the servers, and a host in each of the given zones. It waits for one of partitionSlots.
func newPartitionEnvInZones(t *testing.T, zones ...id.AvailabilityZone) *partitionEnv {
	partitionSlots <- struct{}{}
	t.Cleanup(func() { <-partitionSlots })
	env := &partitionEnv{testEnv: newTestEnv(t)}
	env.linkedHosts = true
	for number := range 4 {
		zone := fmt.Sprintf("zone-%c", 'a'+number%2)
		env.addServerInZone(fmt.Sprint("book-", number), "books", zone)
		env.addServerInZone(fmt.Sprint("engine-", number), "models", zone)
	}
	env.shutdownTimeout = 2 * time.Second
	env.publishTable()
	var seeds []string
	for index, zone := range zones {
		env.hostZone = zone
		env.hosts = append(env.hosts, env.startHost(fmt.Sprint("host-", index+1), true, seeds...))
		seeds = []string{env.hosts[0].settings.Host.PeerAddress}
	}
	t.Cleanup(func() {
		// The hosts shut down at the same time.
		for _, host := range env.hosts {
			host.stop()
		}
	})
	return env
}

// startClients starts clients that send a request of each kind to each host in regular intervals, and waits until each host
// has served warmUpRequests of each kind.
func (env *partitionEnv) startClients() {
	const interval = 40 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	env.stopClients = cancel
	for hostIndex, host := range env.hosts {
		for _, kind := range partitionKinds {
			env.requests.Go(func() {
				for number := 0; ctx.Err() == nil; number++ {
					ex := &partitionExchange{host: hostIndex, kind: kind.name, attemptID: fmt.Sprintf("%s-%d-%d", kind.name, hostIndex, number), sentAt: time.Now()}
					env.requests.Go(func() {
						ex.got = kind.send(host, ex.attemptID)
						ex.endedAt = time.Now()
						env.mutex.Lock()
						defer env.mutex.Unlock()
						env.exchanges = append(env.exchanges, ex)
					})
					time.Sleep(interval)
				}
			})
		}
	}
	env.t.Cleanup(func() {
		cancel()
		env.requests.Wait()
	})
	env.eventually(func() bool {
		env.mutex.Lock()
		defer env.mutex.Unlock()
		served := map[string]int{}
		for _, ex := range env.exchanges {
			if ex.served() {
				served[fmt.Sprint(ex.kind, ex.host)]++
			}
		}
		for _, count := range served {
			if count < warmUpRequests {
				return false
			}
		}
		return len(served) == len(env.hosts)*len(partitionKinds)
	})
}

// finish ends the clients, waits for their requests and checks that no response promises what is not true.
func (env *partitionEnv) finish() {
	env.stopClients()
	env.requests.Wait()
	runs := map[string]int{}
	for _, server := range env.servers {
		for _, run := range server.ExecutedRequests() {
			runs[run.Attempt]++
		}
	}
	notRun := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	quarantined := 0
	for _, ex := range env.exchanges {
		if strings.Contains(ex.got.body, "has crashed") {
			quarantined++
		}
		if ex.kind == "non-idempotent" {
			assert.Check(env.t, runs[ex.attemptID] <= 1, "%s ran %d times", ex.attemptID, runs[ex.attemptID])
			assert.Check(env.t, runs[ex.attemptID] == 0 || !slices.Contains(notRun, ex.got.status), "%s ran and was refused with status %d", ex.attemptID, ex.got.status)
		}
		if ex.kind == "stream" && ex.got.status == http.StatusOK {
			assert.Check(env.t, strings.HasPrefix(eventStream(5), ex.got.body) && (ex.got.err != nil || ex.served()), "%s: %q", ex.attemptID, ex.got.body)
		}
	}
	assert.Check(env.t, quarantined == 0, "%d of %d requests were refused as crashing servers", quarantined, len(env.exchanges))
}

// selectServers returns the servers that match.
func (env *partitionEnv) selectServers(matches func(*standin.Server) bool) []*standin.Server {
	var selected []*standin.Server
	for _, server := range env.servers {
		if matches(server) {
			selected = append(selected, server)
		}
	}
	return selected
}

// anyServer matches all servers.
func anyServer(*standin.Server) bool { return true }

// setLinks sets the mode of the links from some hosts, by index, to the servers that match.
func (env *partitionEnv) setLinks(mode standin.LinkMode, matches func(*standin.Server) bool, hosts ...int) time.Time {
	for _, index := range hosts {
		env.hosts[index].links.SetMode(mode, env.selectServers(matches)...)
	}
	return time.Now()
}

// between returns the requests of a kind that were sent to a host within a time. It may be called after finish only.
func (env *partitionEnv) between(host int, kind string, from, to time.Time) []*partitionExchange {
	var selected []*partitionExchange
	for _, ex := range env.exchanges {
		if ex.host == host && ex.kind == kind && !ex.sentAt.Before(from) && ex.sentAt.Before(to) {
			selected = append(selected, ex)
		}
	}
	return selected
}

// checkServed checks for each kind of request that servedPercent of those that were sent to a host within a time were
// served.
func (env *partitionEnv) checkServed(what string, host int, from, to time.Time) {
	env.t.Helper()
	for _, kind := range partitionKinds {
		sent, served := env.between(host, kind.name, from, to), 0
		outcomes := map[string]int{}
		for _, ex := range sent {
			if ex.served() {
				served++
				continue
			}
			outcomes[ex.outcome()]++
		}
		assert.Check(env.t, len(sent) > 0 && served*100 >= servedPercent*len(sent), "%s, host %d, %s: %d of %d served; others: %v", what, host, kind.name, served, len(sent), outcomes)
	}
}

// checkDirect checks that a host writes servedPercent of its requests to servers itself. It waits for directWindow.
func (env *partitionEnv) checkDirect(host int) func() {
	from, writtenBefore := time.Now(), env.hosts[host].links.WrittenRequests()
	time.Sleep(directWindow)
	to, written := time.Now(), env.hosts[host].links.WrittenRequests()-writtenBefore
	return func() {
		env.t.Helper()
		sent := 0
		for _, kind := range partitionKinds {
			sent += len(env.between(host, kind.name, from, to))
		}
		assert.Check(env.t, written*100 >= servedPercent*sent, "host %d wrote %d of %d requests to servers itself after the cut", host, written, sent)
	}
}

// runPartition cuts some hosts off from the servers that match, and checks that all hosts serve as before, the cut-off
// ones from detectionTime on, and that these send requests to servers directly again after the cut.
func runPartition(t *testing.T, mode standin.LinkMode, matches func(*standin.Server) bool, cutHosts ...int) {
	newPartitionEnv(t).runPartition(mode, matches, cutHosts...)
}

// runPartition does what the function of this name does, in an environment without clients so far.
func (env *partitionEnv) runPartition(mode standin.LinkMode, matches func(*standin.Server) bool, cutHosts ...int) {
	env.startClients()
	cutAt := env.setLinks(mode, matches, cutHosts...)
	time.Sleep(partitionDuration)
	healedAt := env.setLinks(standin.LinkOpen, matches, cutHosts...)
	time.Sleep(returnTime)
	returnedAt := time.Now()
	checkDirect := env.checkDirect(cutHosts[0])
	env.finish()
	checkDirect()
	for host := range env.hosts {
		if slices.Contains(cutHosts, host) {
			env.checkServed("cut off", host, cutAt.Add(detectionTime), healedAt)
		} else {
			env.checkServed("beside the cut", host, cutAt, healedAt)
		}
		env.checkServed("after the cut", host, returnedAt, returnedAt.Add(directWindow))
	}
}

// forEachCut runs a test for each form of a cut.
func forEachCut(t *testing.T, run func(t *testing.T, mode standin.LinkMode)) {
	t.Parallel()
	for _, mode := range linkCuts {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			run(t, mode)
		})
	}
}

// TestHostWithoutServersFailsRequests has one of three hosts lose the links to all servers.
func TestHostWithoutServersFailsRequests(t *testing.T) {
	forEachCut(t, func(t *testing.T, mode standin.LinkMode) { runPartition(t, mode, anyServer, 0) })
}

// TestMostHostsWithoutServersFailRequests has two of three hosts lose the links to all servers.
func TestMostHostsWithoutServersFailRequests(t *testing.T) {
	forEachCut(t, func(t *testing.T, mode standin.LinkMode) { runPartition(t, mode, anyServer, 0, 2) })
}

// TestZoneWithoutServersFailsRequests has all hosts of a zone lose the links to all servers, so that only hosts of another
// zone reach them.
func TestZoneWithoutServersFailsRequests(t *testing.T) {
	forEachCut(t, func(t *testing.T, mode standin.LinkMode) {
		newPartitionEnvInZones(t, "zone-a", "zone-a", "zone-a", "zone-b", "zone-b").runPartition(mode, anyServer, 0, 1, 2)
	})
}

// TestHostWithoutOneServiceFailsRequests has a host lose the links to all servers of one service.
func TestHostWithoutOneServiceFailsRequests(t *testing.T) {
	for _, service := range []string{"books", "models"} {
		t.Run(service, func(t *testing.T) {
			forEachCut(t, func(t *testing.T, mode standin.LinkMode) {
				runPartition(t, mode, func(server *standin.Server) bool { return server.Service == service }, 1)
			})
		})
	}
}

// TestHostWithoutOneZoneFailsRequests has a host lose the links to all servers of one zone.
func TestHostWithoutOneZoneFailsRequests(t *testing.T) {
	forEachCut(t, func(t *testing.T, mode standin.LinkMode) {
		runPartition(t, mode, func(server *standin.Server) bool { return server.Zone == "zone-a" }, 0)
	})
}

// TestHostWithoutOneServerFailsRequests has a host lose the links to one server of each service.
func TestHostWithoutOneServerFailsRequests(t *testing.T) {
	forEachCut(t, func(t *testing.T, mode standin.LinkMode) {
		runPartition(t, mode, func(server *standin.Server) bool { return strings.HasSuffix(server.ID, "-1") }, 0)
	})
}

// TestLongerStreamsExhaustLivingConnections has a host lose the links to all engines, except for open connections, as
// streams begin to take longer, so that the host needs more connections than it has.
func TestLongerStreamsExhaustLivingConnections(t *testing.T) {
	t.Parallel()
	const longerInterval = 50 * time.Millisecond
	env := newPartitionEnv(t)
	env.startClients()
	cutAt := env.setLinks(standin.LinkLiving, anyServer, 0)
	for _, server := range env.servers {
		server.SetEventInterval(longerInterval)
	}
	time.Sleep(partitionDuration)
	env.finish()
	for host := range env.hosts {
		env.checkServed("during the cut", host, cutAt, cutAt.Add(partitionDuration))
	}
}

// TestAllHostsWithoutServersKeepClientsWaiting has all hosts lose the links to all servers. They must refuse requests
// at once, as not run and with a time to retry after, and serve soon after the cut.
func TestAllHostsWithoutServersKeepClientsWaiting(t *testing.T) {
	const refusalTime = 500 * time.Millisecond
	forEachCut(t, func(t *testing.T, mode standin.LinkMode) {
		env := newPartitionEnv(t)
		env.startClients()
		cutAt := env.setLinks(mode, anyServer, 0, 1, 2)
		time.Sleep(partitionDuration)
		healedAt := env.setLinks(standin.LinkOpen, anyServer, 0, 1, 2)
		time.Sleep(returnTime)
		returnedAt := time.Now()
		checkDirect := env.checkDirect(0)
		env.finish()
		checkDirect()
		for host := range env.hosts {
			for _, kind := range partitionKinds {
				sent, asDue := env.between(host, kind.name, cutAt.Add(detectionTime), healedAt.Add(-refusalTime)), 0
				outcomes := map[string]int{}
				for _, ex := range sent {
					refused := ex.got.err == nil && ex.got.status == http.StatusServiceUnavailable && ex.got.header.Get("Retry-After") != "" && ex.endedAt.Sub(ex.sentAt) <= refusalTime
					if refused || mode == standin.LinkLiving && ex.served() {
						asDue++
						continue
					}
					outcomes[fmt.Sprintf("%s after %.1f s", ex.outcome(), ex.endedAt.Sub(ex.sentAt).Seconds())]++
				}
				assert.Check(t, len(sent) > 0 && asDue*100 >= servedPercent*len(sent), "host %d, %s: %d of %d refused at once; others: %v", host, kind.name, asDue, len(sent), outcomes)
			}
			env.checkServed("after the cut", host, returnedAt, returnedAt.Add(directWindow))
		}
	})
}

// TestRefusedLinksQuarantineSoundContents has two of three hosts lose the links to all servers, twice, while clients
// repeat requests with the same contents and prompt parts. No host may refuse them as crashing servers.
func TestRefusedLinksQuarantineSoundContents(t *testing.T) {
	t.Parallel()
	for _, mode := range []standin.LinkMode{standin.LinkReset, standin.LinkRefused, standin.LinkLiving} {
		t.Run(mode.String(), func(t *testing.T) {
			t.Parallel()
			env := newPartitionEnv(t)
			for _, server := range env.servers {
				server.WorkDuration = 50 * time.Millisecond
				server.SetEventInterval(50 * time.Millisecond)
			}
			env.startClients()
			for range 2 {
				time.Sleep(pauseBetweenCuts)
				env.setLinks(mode, anyServer, 1, 2)
				time.Sleep(partitionDuration / 2)
				env.setLinks(standin.LinkOpen, anyServer, 1, 2)
			}
			time.Sleep(returnTime)
			returnedAt := time.Now()
			time.Sleep(directWindow)
			env.finish()
			for host := range env.hosts {
				env.checkServed("after the cuts", host, returnedAt, returnedAt.Add(directWindow))
			}
		})
	}
}

// TestPartitionBreaksStreams cuts all links of two hosts in the middle of streams. Clients must get each event once and
// in order, and the streams complete.
func TestPartitionBreaksStreams(t *testing.T) {
	forEachCut(t, func(t *testing.T, mode standin.LinkMode) {
		const streamsPerHost = 5
		env := newPartitionEnv(t)
		env.routes[0]["TimeoutMs"] = 8000
		for _, server := range env.servers {
			server.SetEventInterval(300 * time.Millisecond)
		}
		env.routes = append(env.routes, env.newRoute("new", "/new/", "idempotent", "books", 2, 2000))
		env.publishTable()
		for _, host := range env.hosts {
			env.eventually(func() bool { return host.get("/new/x", "new").status == http.StatusOK })
		}
		var streams sync.WaitGroup
		responses := make([]response, len(env.hosts)*streamsPerHost)
		for index := range responses {
			streams.Go(func() {
				responses[index] = partitionKinds[0].send(env.hosts[index%len(env.hosts)], fmt.Sprint("s", index))
			})
		}
		time.Sleep(750 * time.Millisecond)
		env.setLinks(mode, anyServer, 0, 2)
		streams.Wait()
		complete := 0
		for index, got := range responses {
			assert.Check(t, strings.HasPrefix(eventStream(5), got.body), "stream %d: %q", index, got.body)
			if got.err == nil && got.body == eventStream(5) {
				complete++
			}
		}
		assert.Equal(t, complete, len(responses), "complete streams")
	})
}

// TestStopDuringPartitionLosesRequests stops the host that is cut off, or another one.
// All requests that it has read must be answered, and the other hosts must serve on.
func TestStopDuringPartitionLosesRequests(t *testing.T) {
	t.Parallel()
	for stoppedHost, name := range []string{"the cut-off host", "another host"} {
		t.Run(name, func(t *testing.T) {
			forEachCut(t, func(t *testing.T, mode standin.LinkMode) {
				env := newPartitionEnv(t)
				env.startClients()
				cutAt := env.setLinks(mode, anyServer, 0)
				time.Sleep(detectionTime + time.Second)
				stoppedAt := time.Now()
				env.hosts[stoppedHost].stop()
				time.Sleep(env.shutdownTimeout)
				endedAt := time.Now()
				env.finish()
				for _, kind := range partitionKinds {
					sent, unanswered := env.between(stoppedHost, kind.name, cutAt.Add(detectionTime), stoppedAt), 0
					for _, ex := range sent {
						if ex.got.err != nil {
							unanswered++
						}
					}
					assert.Check(t, unanswered == 0, "%s: %d of %d requests before the stop got no complete answer", kind.name, unanswered, len(sent))
				}
				env.checkServed("until the stop", 0, cutAt.Add(detectionTime), stoppedAt)
				for host := range env.hosts {
					if host != stoppedHost {
						env.checkServed("during the stop", host, stoppedAt, endedAt)
					}
				}
			})
		})
	}
}

// TestSecondPartitionBreaksFirstOnesWay has a second host lose its links while the first is cut off, so that one host
// is left that reaches servers.
func TestSecondPartitionBreaksFirstOnesWay(t *testing.T) {
	forEachCut(t, func(t *testing.T, mode standin.LinkMode) {
		env := newPartitionEnv(t)
		env.startClients()
		firstCutAt := env.setLinks(mode, anyServer, 0)
		time.Sleep(detectionTime + time.Second)
		secondCutAt := env.setLinks(mode, anyServer, 1)
		time.Sleep(partitionDuration)
		healedAt := env.setLinks(standin.LinkOpen, anyServer, 0, 1)
		time.Sleep(returnTime)
		returnedAt := time.Now()
		checkDirect := env.checkDirect(1)
		env.finish()
		checkDirect()
		env.checkServed("first cut", 0, firstCutAt.Add(detectionTime), secondCutAt)
		for host := range 2 {
			env.checkServed("both cut off", host, secondCutAt.Add(detectionTime), healedAt)
			env.checkServed("after the cuts", host, returnedAt, returnedAt.Add(directWindow))
		}
		env.checkServed("beside the cuts", 2, firstCutAt, returnedAt)
	})
}
