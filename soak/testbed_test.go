package soak

import (
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

const (
	// virtualHost and apiKey are what clients' requests carry as Host and API key.
	virtualHost = "shop.example"
	apiKey      = "key-of-acme"
	// zoneCount is the number of availability zones, which is also the least number of servers of each service.
	zoneCount   = 3
	clientCount = 6

	// Settings of the hosts. shutdownTimeout is how long a host may take to finish its requests after SIGTERM, unless the
	// mix has a grace of its own. All
	// hosts together may add retries of retryShare of a service's requests, and retrySlack more in each window of 10 s.
	shutdownTimeout = 3 * time.Second
	retryShare      = 0.2
	retrySlack      = 50

	// The limits below are those of the users' platform, as its deployment page lists them. drainLimit to cancelLimit are
	// checked only with -soak.timed.

	// convergenceTime is how long hosts may take to agree with one another: after they serve all kinds of requests again,
	// and on the quarantine of a request that has crashed enough servers.
	convergenceTime = 3 * time.Second
	// drainLimit is how long after a server was listed as draining requests may still reach it. A server that announces
	// in a response that it is leaving may get requests for half as long.
	drainLimit = 2 * time.Second
	// configLimit is how long after the publication of a new route it may take until all hosts serve it.
	configLimit = 2 * time.Second
	// recoveryLimit is how long it may take after the faults until each host serves each kind of request.
	recoveryLimit = 12 * time.Second
	// releaseLimit is how long it may take, after the checks that follow the faults, until no active server has memory
	// reserved. Clients still send requests, so one such moment is enough.
	releaseLimit = 4 * time.Second
	// cancelLimit is how long after a client has disconnected the engine may still work on its request.
	cancelLimit = 500 * time.Millisecond
	// maxAttempts is the MaxAttempts setting of the routes: the number of servers that a request may run on.
	maxAttempts = 2
	// toleratedExcessRequests is the number of requests of a run that may run on more than maxAttempts servers.
	toleratedExcessRequests = 3

	// clientTimeout is longer than each route's timeout, so that clients receive late responses too.
	clientTimeout = 6 * time.Second
	// clientPatience is how much longer than the route's timeout a client waits at least.
	clientPatience = 2 * time.Second
	// waitLimit bounds each wait for a condition, so that a run that hangs ends with a violation. The time limits above
	// are checked separately.
	waitLimit = time.Minute
)

// testbed consists of the store, the servers, the hosts and the links between them, together with a record of what
// happened.
type testbed struct {
	t     *testing.T
	mix   faultMix
	store *standin.Store
	hosts []*host

	// startedDaemons is the number of daemons started so far by all hosts.
	startedDaemons atomic.Int64

	// mutex guards the fields from here to crashedServers, and the fields retired and draining of servers.
	mutex sync.Mutex
	// servers contains all servers, also those that have ended.
	servers []*server
	links   []*link
	// desiredStateVersion is the version of the latest desired state, addedRoutes the number of its routes beyond those
	// of the example.
	desiredStateVersion int
	addedRoutes         int
	// stateChange changes each desired state before it is published; nil for no change.
	stateChange func(desiredState map[string]any)
	// startedServers is the number of servers started so far, from which the name and zone of the next are made.
	startedServers int
	exchanges      []*exchange
	// violations describes each distinct violation of a rule.
	violations []string
	// hostLogs contains the output of all processes of a host, by the host's name.
	hostLogs map[string][]byte
	// crashedServers contains the IDs of servers that have crashed at least once.
	crashedServers map[string]bool
	// disruptions are the times at which faults of hosts and of links began and ended.
	disruptions []disruption
	// unplannedFaults are the times of the faults that are no planned work.
	unplannedFaults []*timeSpan
	// evacuations are the evacuations of zones so far, and evacuationCounts says how often each zone is evacuated now.
	evacuations      []*zoneEvacuation
	evacuationCounts map[string]int
	// linkChanges are the changes of the links between hosts and servers, in order.
	linkChanges []linkChange
	// convergedAt is when convergenceTime had passed since all hosts served each kind of request again after the faults.
	convergedAt time.Time
	// stopCrashingRequests ends the client that sends requests that crash servers, and waits for it; nil if there is
	// none.
	stopCrashingRequests func()
}

// nextDaemon returns the file of the daemon that the next start runs. With -soak.other the two builds take turns, so that
// they run side by side and replace each other in both directions.
func (tb *testbed) nextDaemon() string {
	if start := tb.startedDaemons.Add(1); *otherDaemonPath != "" && start%2 == 0 {
		return *otherDaemonPath
	}
	if *daemonPath != "" {
		return *daemonPath
	}
	return filepath.Join(binariesDir, "hibiscusleverd")
}

// disruption is the beginning or the end of a fault of a host or a link.
type disruption struct {
	// name is that of the link, or of the host.
	name string
	at   time.Time
}

// recordDisruption records that a fault of a host or a link begins or ends now.
func (tb *testbed) recordDisruption(name string) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.disruptions = append(tb.disruptions, disruption{name, time.Now()})
}

// server is a stand-in server together with the link through which hosts reach it.
type server struct {
	*standin.Server
	link *link
	// ratePerSecond is the limit that the server names; zero if it names none.
	ratePerSecond float64
	// coldTimes are the times in which the server said that it is cold.
	coldTimes []coldTime
	// mayBeSilentAt is when silenceServers may choose the server again.
	mayBeSilentAt time.Time
	// retired says that the server is draining or has ended for good, so that no more faults use it.
	retired bool
	// draining says that the list shows the server as draining.
	draining bool
}

// coldTime is a time in which a server said in the list that it is cold.
type coldTime struct{ listedAt, until time.Time }

// newTestbed starts the servers and the hosts, with three servers of each service or as many as there are hosts. Hosts reach one another, the store and the servers
// through links, and clients reach hosts through links. It does not wait until the hosts are ready.
func newTestbed(t *testing.T, mx faultMix) *testbed {
	tb := &testbed{t: t, mix: mx, store: standin.NewStore(), hostLogs: map[string][]byte{}, crashedServers: map[string]bool{}, evacuationCounts: map[string]int{}}
	for range max(zoneCount, *hostCount) {
		tb.addServer("books", nil)
		tb.addServer("models", nil)
		if mx.movesServices {
			tb.addServer(movableService, nil)
		}
	}
	tb.publishDesiredState(0)
	dir := t.TempDir()
	var peerSeeds []string
	peerListenAddresses := make([]string, *hostCount)
	for ix := range *hostCount {
		hs := &host{testbed: tb, cuttable: mx.cutsHosts, name: fmt.Sprint("host-", ix+1), callerAddress: testutil.FreeAddress(t), readyAddress: testutil.FreeAddress(t), directoryAddress: testutil.FreeAddress(t)}
		peerListenAddresses[ix] = testutil.FreeAddress(t)
		hs.peerLink, hs.clientLink, hs.storeLink = tb.addLink(hs.name+" peers", peerListenAddresses[ix]), tb.addLink(hs.name+" clients", hs.callerAddress), tb.addLink(hs.name+" store", tb.store.Address())
		peerSeeds = append(peerSeeds, hs.peerLink.address())
		tb.hosts = append(tb.hosts, hs)
	}
	for ix, hs := range tb.hosts {
		assert.NilError(t, hs.writeSettings(dir, fmt.Sprintf("zone-%c", 'a'+ix%zoneCount), peerListenAddresses[ix], testutil.FreeAddress(t), peerSeeds))
		hs.start()
	}
	return tb
}

// addLink starts a link to an IP:port, which disruptLink may disrupt from then on.
func (tb *testbed) addLink(name, target string) *link {
	ln, err := newLink(name, target)
	assert.NilError(tb.t, err)
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.links = append(tb.links, ln)
	return ln
}

// addServer starts a server and lists it. If reusedLink, the link of a server that has ended, is not nil, the new
// server takes it over, and with it the address under which the ended server was listed.
func (tb *testbed) addServer(service string, reusedLink *link) {
	tb.mutex.Lock()
	tb.startedServers++
	name := fmt.Sprintf("%s-%d", service, tb.startedServers)
	zone := fmt.Sprintf("zone-%c", 'a'+tb.startedServers%zoneCount)
	tb.mutex.Unlock()
	sv := &server{Server: standin.NewServer(name, service, zone), link: reusedLink}
	sv.WorkDuration, sv.EventInterval = 30*time.Millisecond, 30*time.Millisecond
	if longest, ok := tb.mix.longestAnswers[service]; ok {
		sv.AnswerDuration = func(attempt string) time.Duration { return drawAnswerDuration(attempt, longest) }
	}
	if reusedLink == nil {
		sv.link = tb.addLink(name, sv.Address())
	} else {
		reusedLink.redirect(sv.Address())
	}
	sv.ListedAddress = sv.link.address()
	sv.CrashOnMarkedRequests(standin.Crash{Marker: crashMark, Downtime: time.Second, OnRestarted: func(*standin.Server) { tb.listAfterRestart(sv) }})
	tb.mutex.Lock()
	tb.servers = append(tb.servers, sv)
	tb.mutex.Unlock()
	tb.store.ListServer(sv.Server)
}

// crashAndRestart has a server crash and later restart, and lists it again after the restart.
func (tb *testbed) crashAndRestart(sv *server, crash standin.Crash) {
	tb.mutex.Lock()
	tb.crashedServers[sv.ID] = true
	tb.mutex.Unlock()
	crash.OnRestarted = func(*standin.Server) { tb.listAfterRestart(sv) }
	sv.Crash(crash)
}

// listAfterRestart records that a server has crashed and lists its new incarnation, unless the server is retired.
func (tb *testbed) listAfterRestart(sv *server) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.crashedServers[sv.ID] = true
	if !sv.retired {
		tb.store.ListServer(sv.Server)
	}
}

// grace returns how long the hosts may take to finish their requests after SIGTERM.
func (tb *testbed) grace() time.Duration {
	if tb.mix.grace > 0 {
		return tb.mix.grace
	}
	return shutdownTimeout
}

// list sets the state of a server in the list, or removes the server for an empty state.
func (tb *testbed) list(sv *server, state string) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	sv.draining = state == "draining"
	if state == "" {
		tb.store.Put("keyed.servers", sv.ID, nil)
		return
	}
	tb.store.Put("keyed.servers", sv.ID, sv.ListEntry(state))
}

// listCold lists a server that has become cold for a time, unless it is retired.
func (tb *testbed) listCold(sv *server, duration time.Duration) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	if !sv.retired {
		sv.coldTimes = append(sv.coldTimes, coldTime{time.Now(), time.Now().Add(duration)})
		tb.store.ListServer(sv.Server)
	}
}

// activeServers returns the servers that are not retired.
func (tb *testbed) activeServers() []*server {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	var active []*server
	for _, sv := range tb.servers {
		if !sv.retired {
			active = append(active, sv)
		}
	}
	return active
}

// markRetired marks a server as retired. It returns false if it already was, so that no server is ended twice.
func (tb *testbed) markRetired(sv *server) bool {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	wasRetired := sv.retired
	sv.retired = true
	return !wasRetired
}

// publishDesiredState publishes the next version of the desired state, with newRoutes more routes than the last one.
func (tb *testbed) publishDesiredState(newRoutes int) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.desiredStateVersion++
	tb.addedRoutes += newRoutes
	desiredState := standin.ExampleDesiredState(virtualHost, apiKey)
	desiredState["Version"] = tb.desiredStateVersion
	if tb.mix.coldPerSecond > 0 {
		for _, service := range desiredState["Services"].([]any) {
			service.(map[string]any)["ColdS"], service.(map[string]any)["ColdPerS"] = coldSeconds, tb.mix.coldPerSecond
		}
	}
	routes := desiredState["Routes"].([]any)
	// This is the order of the routes in the example.
	kinds := []requestKind{chatRequests, readRequests, orderRequests}
	if tb.mix.plannedOnly {
		kinds[0] = patientChatRequests
	}
	for ix, kind := range kinds {
		routes[ix].(map[string]any)["TimeoutMs"] = kind.timeout.Milliseconds()
		routes[ix].(map[string]any)["MaxAttempts"] = maxAttempts
	}
	for number := range tb.addedRoutes {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprint("more-", number), "Host": virtualHost, "PathPrefix": addedRoutePath(number), "Kind": "idempotent", "TimeoutMs": 2000,
			"TargetLatencyMs": 300, "Priority": 1, "Service": "books", "MaxAttempts": maxAttempts,
		})
	}
	desiredState["Routes"] = routes
	if tb.mix.movesServices {
		desiredState["Services"] = append(desiredState["Services"].([]any), map[string]any{"Name": movableService, "HealthPath": "/healthz", "MaxConnections": 50})
	}
	if tb.stateChange != nil {
		tb.stateChange(desiredState)
	}
	assert.NilError(tb.t, tb.store.PublishDesiredState(desiredState))
}

// addedRoutePath returns the path prefix of the route with this number, counted from zero, among the added ones.
func addedRoutePath(number int) string { return fmt.Sprintf("/more-%d/", number) }

// recordExchange adds a finished exchange to those that checkExchanges checks.
func (tb *testbed) recordExchange(ex *exchange) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.exchanges = append(tb.exchanges, ex)
}

// reportViolation adds a violation of a rule to the report of the run. Identical violations are reported once.
func (tb *testbed) reportViolation(rule, format string, args ...any) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	if violation := rule + ": " + fmt.Sprintf(format, args...); !slices.Contains(tb.violations, violation) {
		tb.violations = append(tb.violations, violation)
	}
}

// recordLog appends the output of a process to the log of its host.
func (tb *testbed) recordLog(hostName string, output []byte) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.hostLogs[hostName] = append(tb.hostLogs[hostName], output...)
}

// eventually waits until a condition holds and returns how long that took. After waitLimit it gives up and reports a
// violation of the rule.
func (tb *testbed) eventually(rule, condition string, holds func() bool) time.Duration {
	startedAt := time.Now()
	for !holds() {
		if time.Since(startedAt) > waitLimit {
			tb.reportViolation(rule, "%s: not within %s", condition, waitLimit)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// close ends the hosts, the links, the servers that are not retired, and the store.
func (tb *testbed) close() {
	for _, hs := range tb.hosts {
		hs.stopForGood(syscall.SIGKILL)
	}
	for _, ln := range tb.links {
		ln.close()
	}
	for _, sv := range tb.activeServers() {
		sv.Close()
	}
	tb.store.Close()
}
