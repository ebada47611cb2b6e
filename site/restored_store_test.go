package site_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// knownWithin is the users' limit for the time until hosts know what the store has acknowledged.
const knownWithin = 2 * time.Second

// startThreeHosts starts hosts that know each other.
func (env *testEnv) startThreeHosts() []*testHost {
	hosts := []*testHost{env.startHost("host-1", true)}
	for number := 2; number <= 3; number++ {
		hosts = append(hosts, env.startHost(fmt.Sprint("host-", number), true, hosts[0].settings.Host.PeerAddress))
	}
	time.Sleep(knownWithin)
	return hosts
}

// loseRecords adds records to the list of servers that the store loses when it is restored to the returned time.
func (env *testEnv) loseRecords() time.Time {
	copyTime := time.Now()
	for number := range 30 {
		env.store.Put("keyed.servers", fmt.Sprint("lost-", number), []byte("{}"))
	}
	time.Sleep(knownWithin)
	return copyTime
}

// runsDuring returns the number of requests that a server starts to run while requests are sent to all hosts.
func runsDuring(server *standin.Server, hosts []*testHost, idPrefix string) int {
	before := len(server.ExecutedRequests())
	for number := range 30 {
		hosts[number%len(hosts)].get("/read/x", fmt.Sprint(idPrefix, number))
	}
	return len(server.ExecutedRequests()) - before
}

// TestServerDrainedAfterRestoreGetsNoRequests checks that hosts notice what is written to a store that was restored,
// although its offsets have been given out before: a server that drains, one that is added and a route.
func TestServerDrainedAfterRestoreGetsNoRequests(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	draining := env.addServer("book-1", "books")
	env.addServer("book-2", "books")
	env.publishTable()
	hosts := env.startThreeHosts()
	env.store.Restore(env.loseRecords())
	time.Sleep(knownWithin)
	env.store.Put("keyed.servers", "book-1", draining.ListEntry("draining"))
	added := env.addServer("book-3", "books")
	env.routes = append(env.routes, env.newRoute("new", "/new/", "idempotent", "books", 2, 2000))
	env.publishTable()
	time.Sleep(knownWithin)
	assert.Equal(t, runsDuring(draining, hosts, "a"), 0)
	assert.Assert(t, runsDuring(added, hosts, "b") > 0)
	for number, host := range hosts {
		assert.Equal(t, host.get("/new/x", fmt.Sprint("c", number)).status, http.StatusOK)
	}
}

// TestRestoredCopyBringsNothingBack checks that a server which was known to leave before the store was restored to a
// copy that lists it as ready gets no requests, that one which is missing in the copy stays in use until it lists
// itself again, and that the desired state does not go back, also on a host that starts after the restore.
func TestRestoredCopyBringsNothingBack(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	draining, removed := env.addServer("book-1", "books"), env.addServer("book-2", "books")
	env.publishTable()
	hosts := env.startThreeHosts()
	copyTime := env.loseRecords()
	added := env.addServer("book-3", "books")
	env.store.Put("keyed.servers", "book-1", draining.ListEntry("draining"))
	env.store.Put("keyed.servers", "book-2", nil)
	env.routes = append(env.routes, env.newRoute("new", "/new/", "idempotent", "books", 2, 2000))
	env.publishTable()
	time.Sleep(knownWithin)
	env.store.Restore(copyTime)
	time.Sleep(knownWithin / 2)
	env.store.ListServer(added)
	hosts = append(hosts, env.startHost("host-4", true, hosts[0].settings.Host.PeerAddress))
	for round := range 3 {
		assert.Equal(t, runsDuring(draining, hosts[:3], fmt.Sprint("a", round, "-")), 0)
		assert.Equal(t, runsDuring(removed, hosts[:3], fmt.Sprint("b", round, "-")), 0)
		assert.Assert(t, runsDuring(added, hosts[:3], fmt.Sprint("c", round, "-")) > 0)
		for number, host := range hosts {
			assert.Equal(t, host.get("/new/x", fmt.Sprint("d", round, "-", number)).status, http.StatusOK, "host %d", number)
		}
		time.Sleep(knownWithin / 4)
	}
}

// TestHostsWriteAgainWhatRestoredStoreLost checks that the addresses of hosts and the evidence of crashes are in the
// store again after it was restored to a copy that lacks them.
func TestHostsWriteAgainWhatRestoredStoreLost(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	env.store.Put("keyed.hosts", "another", []byte("127.0.0.1:1"))
	copyTime := time.Now()
	hosts := env.startWithCrashingServers(standin.Crash{Downtime: 100 * time.Millisecond}, 2)
	send := crashingRequests[0].send
	sendRepeatedly(hosts, "a", agreementTime, func() bool { return env.timeSinceCrashLimit() < agreementTime }, send)
	env.eventually(func() bool {
		return len(env.store.Keys("keyed.hosts")) == 3 && len(env.store.Keys("keyed.crashes")) > 0
	})
	evidence := env.store.Keys("keyed.crashes")
	env.store.Restore(copyTime)
	for _, server := range env.servers {
		env.store.ListServer(server)
	}
	env.publishTable()
	env.eventually(func() bool { return len(env.store.Keys("keyed.hosts")) == 3 })
	env.eventually(func() bool { return len(env.store.Keys("keyed.crashes")) >= len(evidence) })
	for _, host := range hosts {
		host.stop()
		host.runEnded <- <-host.runEnded
	}
	crashes := len(env.crashTimes())
	sendRepeatedly([]*testHost{env.startHost("fresh", true)}, "b", time.Second, never, send)
	assert.Equal(t, len(env.crashTimes()), crashes)
}
