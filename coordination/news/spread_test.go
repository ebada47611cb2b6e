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
	// fleetHosts and fleetZones make a fleet that one host does not tell alone.
	fleetHosts = 120
	fleetZones = 5
	// probePeriod is the time between two messages of a host by which hosts say how new their copies are.
	probePeriod = 500 * time.Millisecond
	// quarter is a quarter of the bound on leaving servers and on the desired state in large fleets.
	quarter = time.Second
)

// newFleet returns a fleet with two listed servers.
func newFleet() (*store, *network) {
	st := newStore()
	st.list("server-1", "ready")
	st.list("server-2", "ready")
	var names []id.Host
	for number := range fleetHosts {
		names = append(names, id.Host(fmt.Sprintf("host-%03d", number)))
	}
	return st, newZones(st, fleetZones, names...)
}

// probe has hosts exchange how new their copies are, mostly with others of their availability zone.
func (nw *network) probe(ctx context.Context) {
	random := rand.New(rand.NewPCG(1, 1))
	for ctx.Err() == nil {
		for range len(nw.hosts) / 10 {
			from := random.IntN(len(nw.hosts))
			to := random.IntN(len(nw.hosts))
			if random.IntN(4) > 0 {
				to = (from + nw.zones*random.IntN(len(nw.hosts)/nw.zones)) % len(nw.hosts)
			}
			one, other := nw.hosts[from], nw.hosts[to]
			if one == other || nw.isDown(one) || nw.isDown(other) {
				continue
			}
			nw.followers[one].HandleStatus(other, nw.followers[other].Status())
			nw.followers[other].HandleStatus(one, nw.followers[one].Status())
		}
		time.Sleep(probePeriod / 10)
	}
}

// beats has all servers check in, which changes nothing, as they do all the time.
func (st *store) beats(ctx context.Context) {
	for ctx.Err() == nil {
		st.list("server-2", "ready")
		time.Sleep(20 * time.Millisecond)
	}
}

// start runs the fleet until the returned function is called.
func (nw *network) start(t *testing.T, st *store) func() {
	ctx, cancel := context.WithCancel(t.Context())
	end := nw.run(t)
	go nw.probe(ctx)
	go st.beats(ctx)
	return func() {
		cancel()
		end()
	}
}

// totals returns the sums of what was counted.
func (nw *network) totals() (tells, copies, whole int) {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	for _, host := range nw.hosts {
		tells += nw.tells[host]
		copies += nw.copies[host]
		whole += nw.whole[host]
	}
	return tells, copies, whole
}

// TestIdleFleetTraffic sends little while nothing changes: nobody pulls, few are told, few read, whatever the number of hosts;
// and no host takes a list for old that is not.
func TestIdleFleetTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, nw := newFleet()
		defer nw.start(t, st)()
		time.Sleep(10 * time.Second)
		reads := st.readCount()
		tells, copies, _ := nw.totals()
		const watched = 20
		time.Sleep(watched * time.Second)
		assert.Assert(t, st.readCount()-reads <= 3*watched, "%d reads in %d s", st.readCount()-reads, watched)
		moreTells, moreCopies, _ := nw.totals()
		assert.Assert(t, moreTells-tells <= 20*watched, "%d updates in %d s", moreTells-tells, watched)
		assert.Equal(t, moreCopies, copies)
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
		name   string
		frozen bool
		down   func(nw *network) []id.Host
		bound  time.Duration
	}{
		{"all are there", false, func(*network) []id.Host { return nil }, quarter},
		{"a tenth is dead", false, func(nw *network) []id.Host { return nw.hosts[:fleetHosts/10] }, quarter},
		{"a tenth is frozen", true, func(nw *network) []id.Host { return nw.hosts[:fleetHosts/10] }, quarter},
		{"all relays are dead", false, (*network).relays, quarter},
		{"all relays are frozen", true, (*network).relays, 2 * quarter},
	} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st, nw := newFleet()
				nw.frozen = cs.frozen
				defer nw.start(t, st)()
				time.Sleep(10 * time.Second)
				_, _, whole := nw.totals()
				nw.mutex.Lock()
				for _, host := range cs.down(nw) {
					nw.down[host] = true
				}
				nw.mutex.Unlock()
				st.list("server-1", "draining")
				version := st.change()
				time.Sleep(cs.bound)
				late := 0
				for _, host := range nw.hosts {
					servers, _ := nw.followers[host].Servers()
					if !nw.isDown(host) && (!servers[0].Draining || nw.followers[host].Table().Version() != version) {
						late++
					}
				}
				assert.Equal(t, late, 0)
				_, _, moreWhole := nw.totals()
				assert.Equal(t, moreWhole, whole)
			})
		})
	}
}

// relays returns the hosts that are told first in each availability zone. All have the same share of a processor.
func (nw *network) relays() []id.Host {
	var relays []id.Host
	for zone := range nw.zones {
		var members []id.Host
		for ix := zone; ix < len(nw.hosts); ix += nw.zones {
			members = append(members, nw.hosts[ix])
		}
		relays = append(relays, id.RendezvousOrder("Relay", members)[:2]...)
	}
	return relays
}
