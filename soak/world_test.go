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
	hostName = "shop.example"
	key      = "key-of-acme"
	hosts    = 3
	clients  = 6

	// Settings of the hosts: the time to stop, and what may be sent again over all of them.
	graceTime  = 3 * time.Second
	retryShare = 0.2
	retrySlack = 50

	// The bounds of the users' platform, as its deploy page lists them.
	contactTime     = 3 * time.Second
	drainTime       = 2 * time.Second
	configTime      = 2 * time.Second
	recoveryTime    = 12 * time.Second
	freeTime        = 4 * time.Second
	leaveTime       = 500 * time.Millisecond
	maxAttempts     = 2
	toleratedExcess = 3

	// clientPatience is longer than each route's timeout, so that late answers are seen.
	clientPatience = 6 * time.Second
	// waitLimit ends a soak that hangs; no check depends on it.
	waitLimit = time.Minute
)

// world is the store, the servers, the hosts and the links between them, and what clients and servers saw.
type world struct {
	t     *testing.T
	store *standin.Store
	hosts []*host

	mutex     sync.Mutex
	servers   []*server
	links     []*link
	version   int
	added     int
	number    int
	exchanges []*exchange
	findings  []string
	logs      map[string][]byte
	crashed   map[string]bool
	// calmAt is when hosts had the time to agree after the faults.
	calmAt time.Time
	// endMarked ends the requests that crash servers; nil if there are none.
	endMarked func()
}

// server is a server with the link that leads to it.
type server struct {
	*standin.Server
	link *link
	gone bool
}

func newWorld(t *testing.T) *world {
	wd := &world{t: t, store: standin.NewStore(), logs: map[string][]byte{}, crashed: map[string]bool{}}
	for range 3 {
		wd.addServer("books", nil)
		wd.addServer("models", nil)
	}
	wd.publish(0)
	dir := t.TempDir()
	var seeds []string
	listen := make([]string, hosts)
	for ix := range hosts {
		hs := &host{world: wd, name: fmt.Sprint("host-", ix+1), caller: checks.FreeAddress(t), ready: checks.FreeAddress(t), directory: checks.FreeAddress(t)}
		listen[ix] = checks.FreeAddress(t)
		hs.peers, hs.clients, hs.store = wd.link(hs.name+" peers", listen[ix]), wd.link(hs.name+" clients", hs.caller), wd.link(hs.name+" store", wd.store.Address())
		seeds = append(seeds, hs.peers.address())
		wd.hosts = append(wd.hosts, hs)
	}
	for ix, hs := range wd.hosts {
		assert.NilError(t, hs.writeSettings(dir, fmt.Sprintf("zone-%c", 'a'+ix), listen[ix], checks.FreeAddress(t), seeds))
		hs.start()
	}
	return wd
}

func (wd *world) link(name, target string) *link {
	ln, err := newLink(name, target)
	assert.NilError(wd.t, err)
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.links = append(wd.links, ln)
	return ln
}

// addServer starts a server and lists it. It takes over the link, and so the address, of one that has gone, if one is
// given.
func (wd *world) addServer(service string, taken *link) {
	wd.mutex.Lock()
	wd.number++
	name := fmt.Sprintf("%s-%d", service, wd.number)
	zone := fmt.Sprintf("zone-%c", 'a'+wd.number%hosts)
	wd.mutex.Unlock()
	sv := &server{Server: standin.NewServer(name, service, zone), link: taken}
	sv.WorkDuration, sv.EventInterval = 30*time.Millisecond, 30*time.Millisecond
	if taken == nil {
		sv.link = wd.link(name, sv.Address())
	} else {
		taken.lead(sv.Address())
	}
	sv.ListedAddress = sv.link.address()
	sv.CrashOnMarkedRequests(standin.Crash{Marker: mark, Downtime: time.Second, OnRestarted: func(*standin.Server) { wd.relist(sv) }})
	wd.mutex.Lock()
	wd.servers = append(wd.servers, sv)
	wd.mutex.Unlock()
	wd.store.ListServer(sv.Server)
}

// crash has a server crash and start anew.
func (wd *world) crash(sv *server, crash standin.Crash) {
	wd.mutex.Lock()
	wd.crashed[sv.ID] = true
	wd.mutex.Unlock()
	crash.OnRestarted = func(*standin.Server) { wd.relist(sv) }
	sv.Crash(crash)
}

// relist lists a server that has started anew, unless it is to go.
func (wd *world) relist(sv *server) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.crashed[sv.ID] = true
	if !sv.gone {
		wd.store.ListServer(sv.Server)
	}
}

// serving returns the servers that have not gone.
func (wd *world) serving() []*server {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	var serving []*server
	for _, sv := range wd.servers {
		if !sv.gone {
			serving = append(serving, sv)
		}
	}
	return serving
}

// take marks a server as gone; it reports false if it was already.
func (wd *world) take(sv *server) bool {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	was := sv.gone
	sv.gone = true
	return !was
}

// publish puts a new desired state in force, with a number of routes more than before.
func (wd *world) publish(more int) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.version++
	wd.added += more
	table := standin.ExampleDesiredState(hostName, key)
	table["Version"] = wd.version
	routes := table["Routes"].([]any)
	for ix, kd := range []kind{chat, read, order} {
		routes[ix].(map[string]any)["TimeoutMs"] = kd.timeout.Milliseconds()
		routes[ix].(map[string]any)["MaxAttempts"] = maxAttempts
	}
	for number := range wd.added {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprint("more-", number), "Host": hostName, "PathPrefix": morePath(number), "Kind": "idempotent", "TimeoutMs": 2000,
			"TargetLatencyMs": 300, "Priority": 1, "Service": "books", "MaxAttempts": maxAttempts,
		})
	}
	table["Routes"] = routes
	assert.NilError(wd.t, wd.store.PublishDesiredState(table))
}

func morePath(number int) string { return fmt.Sprintf("/more-%d/", number) }

// record keeps what a client saw.
func (wd *world) record(ex *exchange) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.exchanges = append(wd.exchanges, ex)
}

// broken notes a broken promise.
func (wd *world) broken(rule, format string, args ...any) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	if finding := rule + ": " + fmt.Sprintf(format, args...); !slices.Contains(wd.findings, finding) {
		wd.findings = append(wd.findings, finding)
	}
}

// keepLog keeps what a process of a host wrote.
func (wd *world) keepLog(name string, text []byte) {
	wd.mutex.Lock()
	defer wd.mutex.Unlock()
	wd.logs[name] = append(wd.logs[name], text...)
}

// eventually waits until a condition holds and returns how long that took.
func (wd *world) eventually(rule, what string, holds func() bool) time.Duration {
	began := time.Now()
	for !holds() {
		if time.Since(began) > waitLimit {
			wd.broken(rule, "%s: not in %s", what, waitLimit)
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// close ends everything that was started.
func (wd *world) close() {
	for _, hs := range wd.hosts {
		hs.finish(syscall.SIGKILL)
	}
	for _, ln := range wd.links {
		ln.close()
	}
	for _, sv := range wd.serving() {
		sv.Close()
	}
	wd.store.Close()
}
