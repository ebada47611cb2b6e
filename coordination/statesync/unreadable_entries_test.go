package statesync_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/statesync"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
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

// TestStartBesideUnreadableEntries starts a host beside 60 pages of entries that name no server, which the store takes six
// seconds to return, with failures in between. The host must have the list soon after that, with a server that drains
// meanwhile, and must read no page again that it had got.
func TestStartBesideUnreadableEntries(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(st *fakeStore)
	}{
		{"no failure", func(*fakeStore) {}},
		{"calls are rejected", func(st *fakeStore) {
			st.setRejected(true, "a")
			time.Sleep(1500 * time.Millisecond)
			st.setRejected(false, "a")
		}},
		{"calls are not answered", func(st *fakeStore) {
			answerAgain := st.stopAnswering("a")
			time.Sleep(1500 * time.Millisecond)
			answerAgain()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const (
					pageSize  = 4
					pageCount = 60
					// furtherReads is the largest number of reads beside those of the pages: after the full list its changes, a read
					// in each 400 ms after that, and those that failed.
					furtherReads = 20
				)
				st := newStore()
				st.appendEntry("server-1", "ready")
				st.appendUnreadable(pageSize*pageCount - 1)
				st.setPages(pageSize, 100*time.Millisecond)
				nw := newNetwork(st, "a")
				defer nw.runFollowers(t)()
				time.Sleep(time.Second)
				tc.fail(st)
				time.Sleep(2 * time.Second)
				assert.Assert(t, !nw.followers["a"].Loaded())
				st.appendEntry("server-1", "draining")
				time.Sleep(7 * time.Second)
				assert.Assert(t, nw.followers["a"].Loaded())
				assert.Equal(t, nw.hostsSeeingDrain("server-1"), 1)
				assert.Assert(t, st.listReadCount() <= pageCount+furtherReads, "%d reads", st.listReadCount())
			})
		})
	}
}

// TestRestoreWhileFullListIsRead restores the store while a host reads the full list. The host must start the read again and
// then have the list of the restored store.
func TestRestoreWhileFullListIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.appendEntry("server-1", "ready")
		st.appendUnreadable(39)
		st.setPages(4, 200*time.Millisecond)
		nw := newNetwork(st, "a")
		defer nw.runFollowers(t)()
		time.Sleep(time.Second)
		st.restore(20, 0)
		st.appendEntry("server-2", "ready")
		time.Sleep(3 * time.Second)
		servers, loaded := nw.followers["a"].Servers()
		assert.Assert(t, loaded)
		assert.Equal(t, len(servers), 2)
	})
}

// TestBodiesOfUnreadableEntries checks that a host keeps no bodies of entries that name no server, neither of the store nor
// of other hosts, and passes none on.
func TestBodiesOfUnreadableEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.appendEntry("server-1", "ready")
		st.appendUnreadable(10)
		nw := newNetwork(st, "a")
		defer nw.runFollowers(t)()
		time.Sleep(time.Second)
		fl := nw.followers["a"]
		next := fl.Status().NextOffset
		record := serverlist.Record{ID: "server-1", Offset: next, Body: []byte(unreadableEntry)}
		fl.HandleUpdate(statesync.Update{Sender: "old", Version: fl.Table().Version(), From: next, Next: next + 1, Records: []serverlist.Record{record}})
		response := fl.BuildSyncResponse(-1, id.NoOffset)
		assert.Equal(t, len(response.Records), 11)
		for _, rc := range response.Records {
			assert.Equal(t, len(rc.Body), 0, "%s", rc.ID)
			assert.Assert(t, !rc.Dropped)
		}
		servers, _ := fl.Servers()
		assert.Equal(t, len(servers), 0)
	})
}
