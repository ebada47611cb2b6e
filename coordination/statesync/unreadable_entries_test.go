package statesync_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// appendUnreadable appends entries under keys of their own that name no server.
func (st *fakeStore) appendUnreadable(count int) {
	for number := range count {
		st.appendEntry(fmt.Sprint("unreadable-", number), unreadableEntry)
	}
}

// TestDrainBehindUnreadableEntries appends ten pages of entries that name no server, and then one by which a server drains.
// Every host must know of the drain within a second: the time to read the pages and one period between two reads.
func TestDrainBehindUnreadableEntries(t *testing.T) {
	for _, hosts := range [][]id.Host{{"a"}, {"a", "b", "c"}} {
		t.Run(fmt.Sprint(len(hosts), " hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				st.appendEntry("server-1", "ready")
				nw := newNetwork(st, hosts...)
				defer nw.runFollowers(t)()
				time.Sleep(2 * time.Second)
				st.setPages(4, 20*time.Millisecond)
				st.appendUnreadable(40)
				st.appendEntry("server-1", "draining")
				time.Sleep(time.Second)
				assert.Equal(t, nw.hostsSeeingDrain("server-1"), len(nw.hosts))
			})
		})
	}
}

// TestListAgeWhileEntriesAreUnread appends pages of entries that the store takes seconds to return. The list of every host
// must age until the last page has been read, and be up to date afterwards.
func TestListAgeWhileEntriesAreUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.appendEntry("server-1", "ready")
		nw := newNetwork(st, "a", "b", "c")
		defer nw.runFollowers(t)()
		time.Sleep(2 * time.Second)
		st.setPages(4, 500*time.Millisecond)
		st.appendUnreadable(40)
		st.appendEntry("server-1", "draining")
		time.Sleep(4 * time.Second)
		for host, fl := range nw.followers {
			assert.Assert(t, fl.ListAge() >= 3*time.Second, "%s: %s", host, fl.ListAge())
			assert.Assert(t, !fl.StoreUnavailable(), host)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, nw.hostsSeeingDrain("server-1"), len(nw.hosts))
		for host, fl := range nw.followers {
			assert.Assert(t, fl.ListAge() <= 1500*time.Millisecond, "%s: %s", host, fl.ListAge())
		}
	})
}
