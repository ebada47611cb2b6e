package news_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	// fleetHostCount and fleetZoneCount make a fleet that one host does not tell alone.
	fleetHostCount = 120
	fleetZoneCount = 5
	// statusPeriod is the time between two messages of a host by which hosts say how new their copies are.
	statusPeriod = 500 * time.Millisecond
	// quarterOfBound is a quarter of the bound on leaving servers and on the desired state in large fleets.
	quarterOfBound = time.Second
)

// newFleet returns a fleet with two listed servers.
func newFleet() (*fakeStore, *network) {
	st := newStore()
	st.appendEntry("server-1", "ready")
	st.appendEntry("server-2", "ready")
	var hosts []id.Host
	for hostIndex := range fleetHostCount {
		hosts = append(hosts, id.Host(fmt.Sprintf("host-%03d", hostIndex)))
	}
	return st, newZonedNetwork(st, fleetZoneCount, hosts...)
}

// exchangeStatuses has hosts exchange how new their copies are, mostly with others of their availability zone.
func (nw *network) exchangeStatuses(ctx context.Context) {
	random := rand.New(rand.NewPCG(1, 1))
	for ctx.Err() == nil {
		for range len(nw.hosts) / 10 {
			from := random.IntN(len(nw.hosts))
			to := random.IntN(len(nw.hosts))
			if random.IntN(4) > 0 {
				to = (from + nw.zoneCount*random.IntN(len(nw.hosts)/nw.zoneCount)) % len(nw.hosts)
			}
			first, second := nw.hosts[from], nw.hosts[to]
			if first == second || nw.isDown(first) || nw.isDown(second) {
				continue
			}
			nw.followers[first].HandleStatus(second, nw.followers[second].Status())
			nw.followers[second].HandleStatus(first, nw.followers[first].Status())
		}
		time.Sleep(statusPeriod / 10)
	}
}

// sendHeartbeats has all servers check in, which changes nothing, as they do all the time.
func (st *fakeStore) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		st.appendEntry("server-2", "ready")
		time.Sleep(20 * time.Millisecond)
	}
}

// runFleet runs the fleet until the returned function is called.
func (nw *network) runFleet(t *testing.T, st *fakeStore) func() {
	ctx, cancel := context.WithCancel(t.Context())
	stopFollowers := nw.runFollowers(t)
	go nw.exchangeStatuses(ctx)
	go st.sendHeartbeats(ctx)
	return func() {
		cancel()
		stopFollowers()
	}
}

// totalCounts returns the sums of what was counted.
func (nw *network) totalCounts() (updates, syncs, fullLists int) {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	for _, host := range nw.hosts {
		updates += nw.updatesReceived[host]
		syncs += nw.syncsServed[host]
		fullLists += nw.fullListsServed[host]
	}
	return updates, syncs, fullLists
}

// TestIdleFleetTraffic sends little while nothing changes: nobody pulls, few are told, few read, whatever the number of hosts;
// and no host takes a list for old that is not.
func TestIdleFleetTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, nw := newFleet()
		defer nw.runFleet(t, st)()
		time.Sleep(10 * time.Second)
		reads := st.listReadCount()
		updates, syncs, _ := nw.totalCounts()
		const watchSeconds = 20
		time.Sleep(watchSeconds * time.Second)
		assert.Assert(t, st.listReadCount()-reads <= 3*watchSeconds, "%d reads in %d s", st.listReadCount()-reads, watchSeconds)
		updatesAfter, syncsAfter, _ := nw.totalCounts()
		assert.Assert(t, updatesAfter-updates <= 20*watchSeconds, "%d updates in %d s", updatesAfter-updates, watchSeconds)
		assert.Equal(t, syncsAfter, syncs)
		for _, host := range nw.hosts {
			age := nw.followers[host].ListAge()
			assert.Assert(t, age < 3*time.Second, "host %s: %s", host, age)
		}
	})
}

// TestChangesReachLargeFleet has a server leave, and a new desired state, in a fleet of which a tenth is dead or frozen, or all
// relays and the readers of the list are. Both are in force on all other hosts within a quarter of their bounds, and no
// host pulls a whole copy.
func TestChangesReachLargeFleet(t *testing.T) {
	for _, cs := range []struct {
		name          string
		downHostsHang bool
		downHosts     func(nw *network) []id.Host
		bound         time.Duration
	}{
		{"all are there", false, func(*network) []id.Host { return nil }, quarterOfBound},
		{"a tenth is dead", false, func(nw *network) []id.Host { return nw.hosts[:fleetHostCount/10] }, quarterOfBound},
		{"a tenth is frozen", true, func(nw *network) []id.Host { return nw.hosts[:fleetHostCount/10] }, quarterOfBound},
		{"all relays are dead", false, (*network).zoneRelays, quarterOfBound},
		{"all relays are frozen", true, (*network).zoneRelays, 2 * quarterOfBound},
	} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st, nw := newFleet()
				nw.downHostsHang = cs.downHostsHang
				defer nw.runFleet(t, st)()
				time.Sleep(10 * time.Second)
				_, _, fullLists := nw.totalCounts()
				nw.mutex.Lock()
				for _, host := range cs.downHosts(nw) {
					nw.down[host] = true
				}
				nw.mutex.Unlock()
				st.appendEntry("server-1", "draining")
				version := st.changeTable()
				time.Sleep(cs.bound)
				outdatedHosts := 0
				for _, host := range nw.hosts {
					servers, _ := nw.followers[host].Servers()
					if !nw.isDown(host) && (!servers[0].Draining || nw.followers[host].Table().Version() != version) {
						outdatedHosts++
					}
				}
				assert.Equal(t, outdatedHosts, 0)
				_, _, fullListsAfter := nw.totalCounts()
				assert.Equal(t, fullListsAfter, fullLists)
			})
		})
	}
}

// zoneRelays returns the hosts that are told first in each availability zone. All have the same share of a processor.
func (nw *network) zoneRelays() []id.Host {
	var relays []id.Host
	for zoneIndex := range nw.zoneCount {
		var members []id.Host
		for ix := zoneIndex; ix < len(nw.hosts); ix += nw.zoneCount {
			members = append(members, nw.hosts[ix])
		}
		relays = append(relays, id.Rendezvous("Relay", members)[:2]...)
	}
	return relays
}
