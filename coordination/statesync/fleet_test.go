package statesync_test

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
	// fleetHostCount and fleetZoneCount describe a fleet too large for one host to send every update to all others
	// directly.
	fleetHostCount = 120
	fleetZoneCount = 5
	// statusPeriod is the average time between two status exchanges that a host starts.
	statusPeriod = 500 * time.Millisecond
	// propagationLimit is the time within which all hosts of a large fleet must learn of a leaving server and of a new
	// desired state: a quarter of the bound of 4 s for large fleets.
	propagationLimit = time.Second
)

// newFleet returns a large network and its store with two listed servers.
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

// exchangeStatuses makes random pairs of hosts exchange their status until the context ends. At least three of four
// pairs are in one availability zone.
func (nw *network) exchangeStatuses(ctx context.Context) {
	random := rand.New(rand.NewPCG(1, 1))
	for ctx.Err() == nil {
		for range len(nw.hosts) / 10 {
			firstIndex := random.IntN(len(nw.hosts))
			secondIndex := random.IntN(len(nw.hosts))
			if random.IntN(4) > 0 {
				secondIndex = (firstIndex + nw.zoneCount*random.IntN(len(nw.hosts)/nw.zoneCount)) % len(nw.hosts)
			}
			first, second := nw.hosts[firstIndex], nw.hosts[secondIndex]
			if first == second || nw.isDown(first) || nw.isDown(second) {
				continue
			}
			nw.followers[first].HandleStatus(second, nw.followers[second].Status())
			nw.followers[second].HandleStatus(first, nw.followers[first].Status())
		}
		time.Sleep(statusPeriod / 10)
	}
}

// sendHeartbeats keeps appending records that change nothing until the context ends, as the heartbeats of servers do.
func (st *fakeStore) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		st.appendEntry("server-2", "ready")
		time.Sleep(20 * time.Millisecond)
	}
}

// runFleet starts the followers, the status exchanges and the heartbeats. The returned function stops them.
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

// totalCounts returns the counts of updates received, syncs answered, and syncs answered with the full list, over all
// hosts.
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

// TestIdleFleetTraffic checks that a fleet of any size causes little traffic while nothing changes: few hosts receive
// updates or read from the store, and no host requests a sync, because no list is outdated. Every host must also know
// that its list is up to date.
func TestIdleFleetTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, nw := newFleet()
		defer nw.runFleet(t, st)()
		time.Sleep(10 * time.Second)
		readsBefore := st.listReadCount()
		updatesBefore, syncsBefore, _ := nw.totalCounts()
		const watchSeconds = 20
		time.Sleep(watchSeconds * time.Second)
		assert.Assert(t, st.listReadCount()-readsBefore <= 3*watchSeconds, "%d reads in %d s", st.listReadCount()-readsBefore, watchSeconds)
		updatesAfter, syncsAfter, _ := nw.totalCounts()
		assert.Assert(t, updatesAfter-updatesBefore <= 20*watchSeconds, "%d updates in %d s", updatesAfter-updatesBefore, watchSeconds)
		assert.Equal(t, syncsAfter, syncsBefore)
		for _, host := range nw.hosts {
			age := nw.followers[host].ListAge()
			assert.Assert(t, age < 3*time.Second, "host %s: %s", host, age)
		}
	})
}

// TestChangesReachLargeFleet drains a server and changes the desired state in a large fleet in which a tenth of the
// hosts, or all relays, are down. All other hosts must learn of both changes within propagationLimit, or twice that
// time if the relays hang. No host may need the full list.
func TestChangesReachLargeFleet(t *testing.T) {
	for _, tc := range []struct {
		name          string
		downHostsHang bool
		downHosts     func(nw *network) []id.Host
		bound         time.Duration
	}{
		{"all hosts up", false, func(*network) []id.Host { return nil }, propagationLimit},
		{"a tenth dead", false, func(nw *network) []id.Host { return nw.hosts[:fleetHostCount/10] }, propagationLimit},
		{"a tenth hangs", true, func(nw *network) []id.Host { return nw.hosts[:fleetHostCount/10] }, propagationLimit},
		{"all relays dead", false, (*network).zoneRelays, propagationLimit},
		{"all relays hang", true, (*network).zoneRelays, 2 * propagationLimit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st, nw := newFleet()
				nw.downHostsHang = tc.downHostsHang
				defer nw.runFleet(t, st)()
				time.Sleep(10 * time.Second)
				_, _, fullListsBefore := nw.totalCounts()
				nw.mutex.Lock()
				for _, host := range tc.downHosts(nw) {
					nw.down[host] = true
				}
				nw.mutex.Unlock()
				st.appendEntry("server-1", "draining")
				version := st.changeTable()
				time.Sleep(tc.bound)
				outdatedHosts := 0
				for _, host := range nw.hosts {
					servers, _ := nw.followers[host].Servers()
					if !nw.isDown(host) && (!servers[0].Draining || nw.followers[host].Table().Version() != version) {
						outdatedHosts++
					}
				}
				assert.Equal(t, outdatedHosts, 0)
				_, _, fullListsAfter := nw.totalCounts()
				assert.Equal(t, fullListsAfter, fullListsBefore)
			})
		})
	}
}

// zoneRelays returns the hosts that are asked first to relay updates in each availability zone. All hosts have the same
// share of a processor, so the rendezvous order decides.
func (nw *network) zoneRelays() []id.Host {
	var relays []id.Host
	for zoneIndex := range nw.zoneCount {
		var members []id.Host
		for ix := zoneIndex; ix < len(nw.hosts); ix += nw.zoneCount {
			members = append(members, nw.hosts[ix])
		}
		relays = append(relays, id.RendezvousOrder("Relay", members)[:2]...)
	}
	return relays
}
