package soak

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

const (
	virtualHost = "shop.example"
	apiKey      = "key-of-acme"
	hostCount    = 3
	clientCount  = 6

	// Settings of the hosts: the time to stop, and what may be sent again over all of them.
	shutdownTimeout  = 3 * time.Second
	retryShare = 0.2
	retrySlack = 50

	// The bounds of the users' platform, as its deploy page lists them.
	convergenceTime     = 3 * time.Second
	drainLimit       = 2 * time.Second
	configLimit      = 2 * time.Second
	recoveryLimit    = 12 * time.Second
	releaseLimit        = 4 * time.Second
	cancelLimit       = 500 * time.Millisecond
	maxAttempts     = 2
	toleratedExcessRequests = 3

	// clientTimeout is longer than each route's timeout, so that late answers are seen.
	clientTimeout = 6 * time.Second
	// waitLimit ends a soak that hangs; no check depends on it.
	waitLimit = time.Minute
)

// testbed is the store, the servers, the hosts and the links between them, and what clients and servers saw.
type testbed struct {
	t     *testing.T
	store *standin.Store
	hosts []*host

	mutex     sync.Mutex
	servers   []*server
	links     []*link
	tableVersion   int
	addedRoutes     int
	startedServers    int
	exchanges []*exchange
	violations  []string
	hostLogs      map[string][]byte
	crashedServers   map[string]bool
	// convergedAt is when hosts had the time to agree after the faults.
	convergedAt time.Time
	// stopCrashingRequests ends the requests that crash servers; nil if there are none.
	stopCrashingRequests func()
}

// server is a server with the link that leads to it.
type server struct {
	*standin.Server
	link *link
	retired bool
}

func newTestbed(t *testing.T) *testbed {
	wd := &testbed{t: t, store: standin.NewStore(), hostLogs: map[string][]byte{}, crashedServers: map[string]bool{}}
	for range 3 {
		wd.addServer("books", nil)
		wd.addServer("models", nil)
	}
	wd.publishDesiredState(0)
	dir := t.TempDir()
	var seeds []string
	listen := make([]string, hostCount)
	for ix := range hostCount {
		hs := &host{testbed: wd, name: fmt.Sprint("host-", ix+1), callerAddress: checks.FreeAddress(t), readyAddress: checks.FreeAddress(t), directoryAddress: checks.FreeAddress(t)}
		listen[ix] = checks.FreeAddress(t)
		hs.peerLink, hs.clientLink, hs.storeLink = wd.addLink(hs.name+" peers", listen[ix]), wd.addLink(hs.name+" clients", hs.callerAddress), wd.addLink(hs.name+" store", wd.store.Address())
		seeds = append(seeds, hs.peerLink.address())
		wd.hosts = append(wd.hosts, hs)
	}
	for ix, hs := range wd.hosts {
		assert.NilError(t, hs.writeSettings(dir, fmt.Sprintf("zone-%c", 'a'+ix), listen[ix], checks.FreeAddress(t), seeds))
		hs.start()
	}
	return wd
}

func (wd *testbed) addLink(name, target string) *link {
	ln, err := newLink(name, target)
	assert.NilError(wd.t, err)
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.links = append(wd.links, ln)
	return ln
}

// addServer starts a server and lists it. It takes over the link, and so the address, of one that has gone, if one is
// given.
func (wd *testbed) addServer(service string, taken *link) {
	wd.mutex.Lock()
	wd.startedServers++
	name := fmt.Sprintf("%s-%d", service, wd.startedServers)
	zone := fmt.Sprintf("zone-%c", 'a'+wd.startedServers%hostCount)
	wd.mutex.Unlock()
	sv := &server{Server: standin.NewServer(name, service, zone), link: taken}
	sv.Work, sv.EventGap = 30*time.Millisecond, 30*time.Millisecond
	if taken == nil {
		sv.link = wd.addLink(name, sv.Address())
	} else {
		taken.redirect(sv.Address())
	}
	sv.Listed = sv.link.address()
	sv.CrashOn(standin.Crash{Mark: crashMark, Down: time.Second, Started: func(*standin.Server) { wd.listAfterRestart(sv) }})
	wd.mutex.Lock()
	wd.servers = append(wd.servers, sv)
	wd.mutex.Unlock()
	wd.store.List(sv.Server)
}

// crashAndRestart has a server crash and start anew.
func (wd *testbed) crashAndRestart(sv *server, crash standin.Crash) {
	wd.mutex.Lock()
	wd.crashedServers[sv.ID] = true
	wd.mutex.Unlock()
	crash.Started = func(*standin.Server) { wd.listAfterRestart(sv) }
	sv.Crash(crash)
}

// listAfterRestart lists a server that has started anew, unless it is to go.
func (wd *testbed) listAfterRestart(sv *server) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.crashedServers[sv.ID] = true
	if !sv.retired {
		wd.store.List(sv.Server)
	}
}

// activeServers returns the servers that have not gone.
func (wd *testbed) activeServers() []*server {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	var serving []*server
	for _, sv := range wd.servers {
		if !sv.retired {
			serving = append(serving, sv)
		}
	}
	return serving
}

// markRetired marks a server as gone; it reports false if it was already.
func (wd *testbed) markRetired(sv *server) bool {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	was := sv.retired
	sv.retired = true
	return !was
}

// publishDesiredState puts a new desired state in force, with a number of routes more than before.
func (wd *testbed) publishDesiredState(more int) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.tableVersion++
	wd.addedRoutes += more
	table := standin.ExampleTable(virtualHost, apiKey)
	table["Version"] = wd.tableVersion
	routes := table["Routes"].([]any)
	for ix, kd := range []requestKind{chatRequests, readRequests, orderRequests} {
		routes[ix].(map[string]any)["TimeoutMs"] = kd.timeout.Milliseconds()
		routes[ix].(map[string]any)["MaxAttempts"] = maxAttempts
	}
	for number := range wd.addedRoutes {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprint("more-", number), "Host": virtualHost, "PathPrefix": addedRoutePath(number), "Kind": "idempotent", "TimeoutMs": 2000,
			"TargetLatencyMs": 300, "Priority": 1, "Service": "books", "MaxAttempts": maxAttempts,
		})
	}
	table["Routes"] = routes
	assert.NilError(wd.t, wd.store.Publish(table))
}

func addedRoutePath(number int) string { return fmt.Sprintf("/more-%d/", number) }

// recordExchange keeps what a client saw.
func (wd *testbed) recordExchange(ex *exchange) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.exchanges = append(wd.exchanges, ex)
}

// reportViolation notes a broken promise.
func (wd *testbed) reportViolation(rule, format string, args ...any) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	if finding := rule + ": " + fmt.Sprintf(format, args...); !slices.Contains(wd.violations, finding) {
		wd.violations = append(wd.violations, finding)
	}
}

// recordLog keeps what a process of a host wrote.
func (wd *testbed) recordLog(name string, text []byte) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.hostLogs[name] = append(wd.hostLogs[name], text...)
}

// eventually waits until a condition holds and returns how long that took.
func (wd *testbed) eventually(rule, what string, holds func() bool) time.Duration {
	began := time.Now()
	for !holds() {
		if time.Since(began) > waitLimit {
			wd.reportViolation(rule, "%s: not in %s", what, waitLimit)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// close ends everything that was started.
func (wd *testbed) close() {
	for _, hs := range wd.hosts {
		hs.stopForGood(syscall.SIGKILL)
	}
	for _, ln := range wd.links {
		ln.close()
	}
	for _, sv := range wd.activeServers() {
		sv.Close()
	}
	wd.store.Close()
}
