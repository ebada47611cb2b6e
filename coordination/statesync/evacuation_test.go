package statesync_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// hostsEvacuating returns the number of hosts that are not down and know exactly the given evacuated zones.
func (nw *network) hostsEvacuating(zones ...id.AvailabilityZone) int {
	count := 0
	for _, host := range nw.hosts {
		if !nw.isDown(host) && slices.Equal(nw.followers[host].EvacuatedZones(), zones) {
			count++
		}
	}
	return count
}

// TestEvacuationReachesLargeFleet evacuates a zone, and takes that back while another one is evacuated, in a large fleet
// whose desired state does not change and of which a tenth, or all relays, are down. All other hosts must learn of both
// within propagationLimit, or twice that time if the relays hang.
func TestEvacuationReachesLargeFleet(t *testing.T) {
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
				nw.setDown(true, tc.downHosts(nw)...)
				upHosts := len(nw.hosts) - len(tc.downHosts(nw))
				st.evacuate("zone-1", false)
				time.Sleep(tc.bound)
				assert.Equal(t, nw.hostsEvacuating("zone-1"), upHosts)
				st.evacuate("zone-2", false)
				st.evacuate("zone-1", true)
				time.Sleep(tc.bound)
				assert.Equal(t, nw.hostsEvacuating("zone-2"), upHosts)
			})
		})
	}
}

// setDown sets whether hosts are down.
func (nw *network) setDown(down bool, hosts ...id.Host) {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	for _, host := range hosts {
		nw.down[host] = down
	}
}

// TestEvacuationReachesHostsWithoutStore checks that hosts learn of an evacuation and of its end that the store turns
// away, or whose waiting reads it never answers, whatever their place in the order of readers.
func TestEvacuationReachesHostsWithoutStore(t *testing.T) {
	const hostCount = 6
	for firstServed := range hostCount {
		t.Run(fmt.Sprint("host ", firstServed, " and the next reach the store"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				st.appendEntry("server-1", "ready")
				var hosts, away []id.Host
				for number := range hostCount {
					hosts = append(hosts, id.Host(fmt.Sprint("host-", number)))
					if number != firstServed && number != (firstServed+1)%hostCount {
						away = append(away, hosts[number])
					}
				}
				nw := newNetwork(st, hosts...)
				defer nw.runFollowers(t)()
				time.Sleep(5 * time.Second)
				st.setRejected(true, away[:2]...)
				st.stopAnswering(away[2:]...)
				st.evacuate("zone-1", false)
				time.Sleep(2 * time.Second)
				assert.Equal(t, nw.hostsEvacuating("zone-1"), hostCount)
				st.evacuate("zone-1", true)
				time.Sleep(2 * time.Second)
				assert.Equal(t, nw.hostsEvacuating(), hostCount)
			})
		})
	}
}

// TestHostsThatWereAwayLearnOfEvacuation checks that hosts of a large fleet that could reach neither the store nor other hosts while
// a zone was evacuated, and another one taken back, learn of both when they are back. The desired state stays the same.
func TestHostsThatWereAwayLearnOfEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, nw := newFleet()
		defer nw.runFleet(t, st)()
		st.evacuate("zone-1", false)
		time.Sleep(10 * time.Second)
		away := nw.hosts[:fleetHostCount/10]
		nw.setDown(true, away...)
		st.setRejected(true, away...)
		restart := st.stopAnswering(away...)
		st.evacuate("zone-1", true)
		st.evacuate("zone-2", false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, nw.hostsEvacuating("zone-2"), len(nw.hosts)-len(away))
		nw.setDown(false, away...)
		time.Sleep(2 * propagationLimit)
		assert.Equal(t, nw.hostsEvacuating("zone-2"), len(nw.hosts))
		restart()
	})
}

// TestStartingHostLearnsOfEvacuation checks that a host that starts in the middle of an evacuation knows it as soon as it has
// a desired state, from the store or from a seed.
func TestStartingHostLearnsOfEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.appendEntry("server-1", "ready")
		nw := newNetwork(st, "host-1", "host-2", "late")
		ctx, cancel := context.WithCancel(t.Context())
		for _, host := range []id.Host{"host-1", "host-2"} {
			go func() { _ = nw.followers[host].Run(ctx) }()
		}
		time.Sleep(3 * time.Second)
		st.evacuate("zone-1", false)
		time.Sleep(time.Second)
		go func() { _ = nw.followers["late"].Run(ctx) }()
		for nw.followers["late"].Table() == nil {
			time.Sleep(time.Millisecond)
		}
		assert.DeepEqual(t, nw.followers["late"].EvacuatedZones(), []id.AvailabilityZone{"zone-1"})
		response := nw.followers["host-1"].BuildSyncResponse(-1, id.NoOffset)
		assert.Equal(t, len(response.Evacuations.Zones), 1)
		cancel()
		time.Sleep(time.Minute)
	})
}

// TestEvacuationOutlivesRestore checks that a zone stays evacuated for some time when the store comes back from a copy that lacks
// its record, stays so if the record is written again, and else is used again.
func TestEvacuationOutlivesRestore(t *testing.T) {
	for _, writtenAgain := range []bool{true, false} {
		t.Run(fmt.Sprint("written again: ", writtenAgain), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				st.appendEntry("server-1", "ready")
				nw := newNetwork(st, "host-1", "host-2", "host-3")
				defer nw.runFollowers(t)()
				time.Sleep(3 * time.Second)
				st.evacuate("zone-1", false)
				time.Sleep(time.Second)
				st.restore(1, 0)
				st.mutex.Lock()
				st.evacuations = nil
				st.mutex.Unlock()
				time.Sleep(3 * time.Second)
				assert.Equal(t, nw.hostsEvacuating("zone-1"), 3)
				if writtenAgain {
					st.evacuate("zone-1", false)
				}
				time.Sleep(7 * time.Second)
				if writtenAgain {
					assert.Equal(t, nw.hostsEvacuating("zone-1"), 3)
				} else {
					assert.Equal(t, nw.hostsEvacuating(), 3)
				}
			})
		})
	}
}
