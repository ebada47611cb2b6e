package site_test

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/site"
	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

// evacuate has the operator evacuate an availability zone, or take that back.
func (env *testEnv) evacuate(zone string, evacuated bool) {
	var value []byte
	if evacuated {
		value = []byte(`{}`)
	}
	env.store.Put("keyed.op", "evacuate/"+zone, value)
}

// addServersInZones starts an engine and two servers of a plain service in each of three zones.
func (env *testEnv) addServersInZones() {
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		env.addServerInZone("engine-"+zone, "models", zone)
		env.addServerInZone("book-1-"+zone, "books", zone)
		env.addServerInZone("book-2-"+zone, "books", zone)
	}
}

// startHostsInZones starts a host in each of three zones.
func (env *testEnv) startHostsInZones() []*testHost {
	var hosts []*testHost
	var seeds []string
	for _, zone := range []id.AvailabilityZone{"zone-a", "zone-b", "zone-c"} {
		env.hostZone = zone
		hosts = append(hosts, env.startHost("host-"+string(zone), true, seeds...))
		seeds = []string{hosts[0].settings.Host.PeerAddress}
	}
	time.Sleep(knownWithin)
	return hosts
}

// load is a constant load of requests of all kinds at all hosts.
type load struct {
	stopped  chan struct{}
	requests sync.WaitGroup

	mutex sync.Mutex
	// failures describes the responses other than success.
	failures []string
	sent     int
}

// startLoad sends requests of all kinds to hosts until it is stopped.
func startLoad(hosts []*testHost, idPrefix string) *load {
	const period = 20 * time.Millisecond
	ld := &load{stopped: make(chan struct{})}
	send := map[string]func(host *testHost, attemptID string) response{
		"chat":  func(host *testHost, attemptID string) response { return host.sendPrompt(attemptID, 3000) },
		"read":  func(host *testHost, attemptID string) response { return host.get("/read/x", attemptID) },
		"order": func(host *testHost, attemptID string) response { return host.get("/order/x", attemptID) },
	}
	for number, host := range hosts {
		for kind, sendOne := range send {
			ld.requests.Go(func() {
				for count := 0; ; count++ {
					select {
					case <-ld.stopped:
						return
					case <-time.After(period):
					}
					attemptID := fmt.Sprint(idPrefix, kind, number, "-", count)
					got := sendOne(host, attemptID)
					ld.mutex.Lock()
					ld.sent++
					if got.err != nil || got.status != http.StatusOK {
						ld.failures = append(ld.failures, fmt.Sprint(attemptID, ": ", got.status, " ", got.err, " ", got.body))
					}
					ld.mutex.Unlock()
				}
			})
		}
	}
	return ld
}

// stop ends the load, waits for the responses and returns the failures.
func (ld *load) stop() []string {
	close(ld.stopped)
	ld.requests.Wait()
	return ld.failures
}

// runsSince returns the number of requests that the servers of a zone started to run since a time.
func (env *testEnv) runsSince(since time.Time, zone string) int {
	count := 0
	for _, server := range env.servers {
		for _, run := range server.ExecutedRequests() {
			if server.Zone == zone && run.StartedAt.After(since) {
				count++
			}
		}
	}
	return count
}

// TestEvacuatedZoneUnderLoad evacuates zones under load: one, then another one while the first is taken back, and one that
// nobody knows. Soon after each request nothing new reaches the engines and servers of an evacuated zone, from the entry
// hosts there either, which go on serving; no request fails; and a zone is used again when it is taken back. The desired
// state stays as it is.
func TestEvacuatedZoneUnderLoad(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.addServersInZones()
	env.publishTable()
	hosts := env.startHostsInZones()
	ld := startLoad(hosts, "a")
	time.Sleep(time.Second)
	assert.Assert(t, env.runsSince(time.Time{}, "zone-b") > 0)
	env.evacuate("zone-b", true)
	env.evacuate("nowhere", true)
	time.Sleep(knownWithin)
	since := time.Now()
	time.Sleep(time.Second)
	assert.Equal(t, env.runsSince(since, "zone-b"), 0)
	assert.Assert(t, env.runsSince(since, "zone-a") > 0 && env.runsSince(since, "zone-c") > 0)
	env.evacuate("zone-c", true)
	env.evacuate("zone-b", false)
	time.Sleep(knownWithin)
	since = time.Now()
	time.Sleep(time.Second)
	assert.Equal(t, env.runsSince(since, "zone-c"), 0)
	assert.Assert(t, env.runsSince(since, "zone-a") > 0 && env.runsSince(since, "zone-b") > 0)
	assert.DeepEqual(t, ld.stop(), []string(nil))
	assert.Assert(t, ld.sent > 100)
}

// TestAllZonesEvacuated checks that requests of all kinds are refused at once, as not run and with a time to return, while
// all zones are evacuated, and are served again soon after one is taken back.
func TestAllZonesEvacuated(t *testing.T) {
	t.Parallel()
	const atOnce = 500 * time.Millisecond
	env := newTestEnv(t)
	env.addServersInZones()
	env.publishTable()
	hosts := env.startHostsInZones()
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		env.evacuate(zone, true)
	}
	time.Sleep(knownWithin)
	since := time.Now()
	for number, host := range hosts {
		for kind, send := range map[string]func(attemptID string) response{
			"chat":  func(attemptID string) response { return host.sendPrompt(attemptID, 3000) },
			"read":  func(attemptID string) response { return host.get("/read/x", attemptID) },
			"order": func(attemptID string) response { return host.get("/order/x", attemptID) },
		} {
			start := time.Now()
			got := send(fmt.Sprint(kind, number))
			assert.Equal(t, got.status, http.StatusServiceUnavailable, kind)
			assert.Assert(t, got.header.Get("Retry-After") != "", kind)
			assert.Assert(t, time.Since(start) < atOnce, "%s after %s", kind, time.Since(start))
		}
	}
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		assert.Equal(t, env.runsSince(since, zone), 0)
	}
	env.evacuate("zone-b", false)
	time.Sleep(knownWithin)
	for number, host := range hosts {
		assert.Equal(t, host.sendPrompt(fmt.Sprint("again", number), 3000).status, http.StatusOK)
		assert.Equal(t, host.get("/read/x", fmt.Sprint("read-again", number)).status, http.StatusOK)
	}
}

// TestRunningAnswersOutliveEvacuation checks that a stream goes on in an evacuated zone and ends by itself.
func TestRunningAnswersOutliveEvacuation(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	engine := env.addServerInZone("engine-1", "models", "zone-b")
	engine.SetEventInterval(600 * time.Millisecond)
	env.routes[0]["TargetGapMs"], env.routes[0]["TimeoutMs"] = 2000, 10_000
	env.publishTable()
	host := env.startHost("host-1", true)
	answered := make(chan response, 1)
	go func() { answered <- host.sendPrompt("a1", 3000) }()
	env.eventually(func() bool { return len(engine.ExecutedRequests()) == 1 })
	env.evacuate("zone-b", true)
	env.eventually(func() bool { return len(host.evacuatedZones(t)) == 1 })
	assert.Equal(t, host.sendPrompt("a2", 3000).status, http.StatusServiceUnavailable)
	assert.Assert(t, !engine.ExecutedRequests()[0].Completed)
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventStream(5))
	assert.Equal(t, len(engine.ExecutedRequests()), 1)
	assert.Assert(t, engine.ExecutedRequests()[0].Completed)
}

// TestHostStartsDuringEvacuation starts a host while a zone is evacuated, with a store that serves it and with one that is
// away, so that it learns all from another host. It must never send anything to the zone. When the store is back, it
// learns of the end.
func TestHostStartsDuringEvacuation(t *testing.T) {
	for _, storeAway := range []bool{false, true} {
		t.Run(fmt.Sprint("store away: ", storeAway), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.addServersInZones()
			env.publishTable()
			first := env.startHost("host-1", true)
			env.evacuate("zone-a", true)
			time.Sleep(knownWithin)
			if storeAway {
				env.store.SetFault(standin.RejectsCalls)
			}
			late := env.startHost("late", true, first.settings.Host.PeerAddress)
			ld := startLoad([]*testHost{late}, "a")
			time.Sleep(time.Second)
			assert.Equal(t, env.runsSince(time.Time{}, "zone-a"), 0)
			env.store.SetFault(standin.NoStoreFault)
			env.evacuate("zone-a", false)
			env.eventually(func() bool { return env.runsSince(time.Time{}, "zone-a") > 0 })
			assert.DeepEqual(t, ld.stop(), []string(nil))
		})
	}
}

// TestEvacuationOutlivesRestoredStore checks that a zone stays evacuated when the store comes back from a copy without the
// record and the operator writes it again, and when the store drops its history.
func TestEvacuationOutlivesRestoredStore(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.addServersInZones()
	env.publishTable()
	hosts := env.startHostsInZones()
	copyTime := time.Now()
	env.evacuate("zone-b", true)
	time.Sleep(knownWithin)
	since := time.Now()
	ld := startLoad(hosts, "a")
	env.store.Restore(copyTime)
	time.Sleep(knownWithin)
	env.evacuate("zone-b", true)
	env.store.SetFault(standin.OffsetsExpired)
	time.Sleep(knownWithin)
	env.store.SetFault(standin.NoStoreFault)
	time.Sleep(knownWithin)
	assert.Equal(t, env.runsSince(since, "zone-b"), 0)
	env.evacuate("zone-b", false)
	env.eventually(func() bool { return env.runsSince(since, "zone-b") > 0 })
	assert.DeepEqual(t, ld.stop(), []string(nil))
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (sb *syncBuffer) Write(text []byte) (int, error) {
	sb.mutex.Lock()
	defer sb.mutex.Unlock()
	return sb.buffer.Write(text)
}

func (sb *syncBuffer) String() string {
	sb.mutex.Lock()
	defer sb.mutex.Unlock()
	return sb.buffer.String()
}

// evacuatedZones returns the evacuated zones in the host's status.
func (hs *testHost) evacuatedZones(t *testing.T) []id.AvailabilityZone {
	status, err := operator.NewClient("http://" + hs.settings.Host.OperatorAddress).Status(t.Context())
	assert.NilError(t, err)
	return status.EvacuatedZones
}

// TestOperatorsSeeEvacuation checks that the status, the metrics and the log show an evacuation and its end.
func TestOperatorsSeeEvacuation(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	var log syncBuffer
	env.hostOptions = []site.Option{site.WithLogger(telemetry.NewLogger(&log, "JSON", "Info"))}
	env.addServer("book-1", "books")
	env.publishTable()
	host := env.startHost("host-1", true)
	operatorURL := "http://" + host.settings.Host.OperatorAddress
	assert.Equal(t, len(host.evacuatedZones(t)), 0)
	env.evacuate("zone-a", true)
	env.eventually(func() bool { return slices.Equal(host.evacuatedZones(t), []id.AvailabilityZone{"zone-a"}) })
	env.eventually(func() bool {
		return strings.Contains(env.getText(operatorURL+"/metrics"), "hibiscuslever_zones_evacuated 1")
	})
	env.evacuate("zone-a", false)
	env.eventually(func() bool { return len(host.evacuatedZones(t)) == 0 })
	env.eventually(func() bool {
		return strings.Contains(env.getText(operatorURL+"/metrics"), "hibiscuslever_zones_evacuated 0")
	})
	for _, want := range []string{`"availability zone evacuated","evacuated_zone":"zone-a","source":"store","offset":1,"era":1`, `"evacuation of an availability zone ended","evacuated_zone":"zone-a","source":"store","offset":2,"era":1`} {
		assert.Assert(t, strings.Contains(log.String(), want), want)
	}
}
