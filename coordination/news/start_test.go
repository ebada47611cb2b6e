package news_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// TestFleetStartsFromSeeds has a fleet start at once, whose hosts know each other as members only after a second: they take
// their first copies from the seeds, which read the store. Where the seeds are silent, dead or only some of them live, hosts are informed within two seconds all the same.
func TestFleetStartsFromSeeds(t *testing.T) {
	const (
		// mostReads bounds the first reads of the store: those of the seeds and of the few that read for all.
		mostReads = 20
		informed  = 2 * time.Second
	)
	for _, cs := range []struct {
		name   string
		down   []id.Host
		frozen bool
		// most is the number of first reads of the store.
		most int
	}{
		{name: "all seeds live", most: mostReads},
		{name: "one seed lives", down: []id.Host{"host-000", "host-001"}, most: mostReads},
		{name: "seeds are dead", down: []id.Host{"host-000", "host-001", "host-002"}, most: fleetHosts + mostReads},
		{name: "seeds are silent", down: []id.Host{"host-000", "host-001", "host-002"}, frozen: true, most: fleetHosts + mostReads},
	} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st, nw := newFleet("host-000", "host-001", "host-002")
				nw.frozen = cs.frozen
				nw.meet = time.Now().Add(time.Second)
				for _, host := range cs.down {
					nw.down[host] = true
				}
				defer nw.start(t, st)()
				time.Sleep(informed)
				for host, fl := range nw.followers {
					assert.Assert(t, fl.Informed() || nw.down[host], "%s is not informed", host)
				}
				st.mutex.Lock()
				newest, reads := st.newest, st.reads
				st.mutex.Unlock()
				assert.Assert(t, newest <= cs.most, "%d first reads of the desired state", newest)
				assert.Assert(t, reads <= cs.most, "%d reads of the list", reads)
			})
		})
	}
}
