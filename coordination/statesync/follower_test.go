package statesync_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/statesync"
	"github.com/hibiscuslever/hibiscuslever/state/evacuation"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// errUnavailable is the error of calls that the store or a host rejects.
var errUnavailable = errors.New("unavailable")

// fakeStore is an in-memory store that all hosts of a network share. It can reject single hosts or leave them without
// an answer.
type fakeStore struct {
	mutex sync.Mutex
	// era counts the restores. The offsets of all records are of this era.
	era     id.Era
	records []serverlist.Record
	// pageSize limits the number of records of the list in a response, and pageTime is how long a response then takes; 0 for
	// no limit and no time.
	pageSize      int
	pageTime      time.Duration
	listReads     int
	rejectedHosts map[id.Host]bool
	// tableChanges is the number of desired states after the first one.
	tableChanges int
	// evacuations holds the records of evacuated zones, which share the offsets of the desired states.
	evacuations []evacuation.Record
	// unresponsiveTo holds the hosts that get no answer. A waiting read is never answered once the readEpoch of its host
	// has changed.
	unresponsiveTo map[id.Host]bool
	readEpoch      map[id.Host]int
}

// newStore returns a store that answers all hosts.
func newStore() *fakeStore {
	return &fakeStore{rejectedHosts: map[id.Host]bool{}, unresponsiveTo: map[id.Host]bool{}, readEpoch: map[id.Host]int{}}
}

// hostStore is the store as one host sees it.
type hostStore struct {
	*fakeStore
	host id.Host
}

func (hs hostStore) rejected() bool {
	hs.mutex.Lock()
	defer hs.mutex.Unlock()
	return hs.rejectedHosts[hs.host]
}

func (hs hostStore) NewestTable(context.Context) (statesync.TableRead, error) {
	if hs.rejected() {
		return statesync.TableRead{}, errUnavailable
	}
	hs.mutex.Lock()
	defer hs.mutex.Unlock()
	return hs.newestTable(), nil
}

// newestTable returns the newest desired state, and the newest record of each evacuated zone. The caller holds the lock.
func (hs hostStore) newestTable() statesync.TableRead {
	newest := map[id.AvailabilityZone]evacuation.Record{}
	for _, rc := range hs.evacuations {
		newest[rc.Zone] = rc
	}
	read := statesync.TableRead{Body: []byte{byte(1 + hs.tableChanges)}, Next: hs.tableEnd()}
	for _, rc := range newest {
		if !rc.Ended {
			read.Evacuations = append(read.Evacuations, rc)
		}
	}
	return read
}

// tableEnd returns the offset after the last record of the desired states and of the evacuated zones. The caller holds the
// lock.
func (st *fakeStore) tableEnd() id.Offset {
	return id.NewOffset(st.era, int64(1+st.tableChanges+len(st.evacuations)))
}

// evacuate appends a record that evacuates a zone, or ends that.
func (st *fakeStore) evacuate(zone id.AvailabilityZone, ended bool) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.evacuations = append(st.evacuations, evacuation.Record{Zone: zone, Offset: st.tableEnd(), Ended: ended})
}

func (hs hostStore) AwaitTable(ctx context.Context, from id.Offset, wait time.Duration) (statesync.TableRead, error) {
	const pollPeriod = 10 * time.Millisecond
	hs.mutex.Lock()
	epochAtStart := hs.readEpoch[hs.host]
	hs.mutex.Unlock()
	for deadline := time.Now().Add(wait); ; {
		hs.mutex.Lock()
		answered := !hs.unresponsiveTo[hs.host] && hs.readEpoch[hs.host] == epochAtStart
		read := hs.newestTable()
		hs.mutex.Unlock()
		// A read that waits at the end of an earlier era is answered once there are records at its position.
		if answered && read.Next.Position() > from.Position() {
			hs.mutex.Lock()
			defer hs.mutex.Unlock()
			read.Evacuations = slices.DeleteFunc(slices.Clone(hs.evacuations), func(rc evacuation.Record) bool { return rc.Offset < from || rc.Offset >= read.Next })
			read.Expired = read.Next.Era() > from.Era()
			return read, nil
		}
		if answered && !time.Now().Before(deadline) {
			// The adapter of the store reports the offset of an earlier era as expired.
			return statesync.TableRead{Next: from, Expired: hs.currentEra() > from.Era()}, nil
		}
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			return statesync.TableRead{}, ctx.Err()
		}
	}
}

func (hs hostStore) ReadServerPage(ctx context.Context, position statesync.ListPosition) (statesync.ServersRead, error) {
	start, _ := strconv.ParseInt(position.LastKey, 10, 64)
	read, err := hs.ReadServerChanges(ctx, id.NewOffset(hs.currentEra(), start))
	if err != nil {
		return statesync.ServersRead{}, err
	}
	if start == 0 {
		position.Next = hs.end()
	}
	if read.Next.Era() != position.Next.Era() {
		return statesync.ServersRead{}, statesync.ErrReadRestarts
	}
	position.LastKey = strconv.FormatInt(read.Next.Position(), 10)
	read.FullList, read.Next, read.Position = true, position.Next, position
	return read, nil
}

func (hs hostStore) currentEra() id.Era {
	hs.mutex.Lock()
	defer hs.mutex.Unlock()
	return hs.era
}

// end returns the offset after the last record.
func (hs hostStore) end() id.Offset {
	hs.mutex.Lock()
	defer hs.mutex.Unlock()
	return id.NewOffset(hs.era, int64(len(hs.records)))
}

func (hs hostStore) ReadServerChanges(ctx context.Context, from id.Offset) (statesync.ServersRead, error) {
	if hs.rejected() {
		return statesync.ServersRead{}, errUnavailable
	}
	hs.mutex.Lock()
	unresponsive := hs.unresponsiveTo[hs.host]
	hs.mutex.Unlock()
	if unresponsive {
		<-ctx.Done()
		return statesync.ServersRead{}, ctx.Err()
	}
	if err := hs.waitForPage(ctx); err != nil {
		return statesync.ServersRead{}, err
	}
	hs.mutex.Lock()
	defer hs.mutex.Unlock()
	hs.listReads++
	if from != 0 && from.Era() < hs.era {
		return statesync.ServersRead{Expired: true}, nil
	}
	end := int64(len(hs.records))
	next := end
	if hs.pageSize > 0 {
		next = min(end, from.Position()+int64(hs.pageSize))
	}
	return statesync.ServersRead{Records: hs.records[from.Position():next], Next: id.NewOffset(hs.era, next), More: next < end}, nil
}

// waitForPage waits for as long as a response with records of the list takes. It fails if the context ends before.
func (hs hostStore) waitForPage(ctx context.Context) error {
	hs.mutex.Lock()
	pageTime := hs.pageTime
	hs.mutex.Unlock()
	if pageTime == 0 {
		return nil
	}
	select {
	case <-time.After(pageTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (hs hostStore) DecodeTable(body []byte) (*route.Table, error) {
	return route.New(route.Contents{Version: route.Version(body[0]), Routes: []route.Route{{Name: "route", Timeout: timeoutOf(route.Version(body[0]))}}}), nil
}

func (hs hostStore) DecodeServer(name id.BackendServer, body []byte) (*serverlist.Server, error) {
	if string(body) == unreadableEntry {
		return nil, errUnreadable
	}
	return &serverlist.Server{ID: name, Draining: len(body) > 0 && body[0] == 'd'}, nil
}

// unreadableEntry is the body of an entry that names no server.
const unreadableEntry = "unreadable"

// errUnreadable is the error of an entry that names no server.
var errUnreadable = errors.New("unreadable entry")

// setPages sets the number of records of the list in a response and the time that one takes.
func (st *fakeStore) setPages(pageSize int, pageTime time.Duration) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.pageSize, st.pageTime = pageSize, pageTime
}

// appendEntry appends a new record with the entry of a server.
func (st *fakeStore) appendEntry(server, body string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	rc := serverlist.Record{ID: id.BackendServer(server), Offset: id.NewOffset(st.era, int64(len(st.records))), Body: []byte(body)}
	rc.Decode(hostStore{fakeStore: st}.DecodeServer)
	st.records = append(st.records, rc)
}

// dropEntry appends a record that removes the entry of a server.
func (st *fakeStore) dropEntry(server string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.records = append(st.records, serverlist.Record{ID: id.BackendServer(server), Offset: id.NewOffset(st.era, int64(len(st.records))), Dropped: true})
}

// restore brings the store back to a copy with the first records and desired states.
func (st *fakeStore) restore(records, tableChanges int) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.era++
	st.tableChanges = tableChanges
	st.records = slices.Clone(st.records[:records])
	for ix := range st.records {
		st.records[ix].Offset = id.NewOffset(st.era, int64(ix))
	}
}

// setRejected makes the store reject hosts, or serve them again.
func (st *fakeStore) setRejected(reject bool, hosts ...id.Host) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	for _, host := range hosts {
		st.rejectedHosts[host] = reject
	}
}

// stopAnswering makes the store leave calls of hosts unanswered until the returned function is called. Reads of these
// hosts that wait already are never answered.
func (st *fakeStore) stopAnswering(hosts ...id.Host) func() {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	for _, host := range hosts {
		st.unresponsiveTo[host] = true
		st.readEpoch[host]++
	}
	return func() {
		st.mutex.Lock()
		defer st.mutex.Unlock()
		clear(st.unresponsiveTo)
	}
}

func (st *fakeStore) listReadCount() int {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.listReads
}

// changeTable replaces the desired state and returns the new version.
func (st *fakeStore) changeTable() route.Version {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.tableChanges++
	return route.Version(1 + st.tableChanges)
}

// network connects the followers of several hosts within the test process.
type network struct {
	followers map[id.Host]*statesync.Follower
	hosts     []id.Host

	// zoneCount is the number of availability zones, to which the hosts are assigned in turn.
	zoneCount int
	// downHostsHang is set if calls to hosts that are down time out. Otherwise they fail immediately.
	downHostsHang bool

	mutex sync.Mutex
	down  map[id.Host]bool
	// updatesReceived, syncsServed and fullListsServed count, by host, the updates that it received, the syncs that it
	// answered, and those that it answered with the full list.
	updatesReceived map[id.Host]int
	syncsServed     map[id.Host]int
	fullListsServed map[id.Host]int
	// reportedServers holds the listed servers of each host at the last call of its onChange function.
	reportedServers map[id.Host][]serverlist.Server
}

// endpoint is the network as one host sees it.
type endpoint struct {
	*network
	localHost id.Host
}

func (en endpoint) Peers() []statesync.Peer {
	var peers []statesync.Peer
	for ix, host := range en.hosts {
		if host != en.localHost {
			peers = append(peers, statesync.Peer{Host: host, AvailabilityZone: en.zoneOf(ix)})
		}
	}
	return peers
}
func (en endpoint) Isolated() bool       { return false }
func (en endpoint) LiveHosts() []id.Host { return en.hosts }

func (en endpoint) SendUpdate(ctx context.Context, host id.Host, update statesync.Update) error {
	if err := en.connect(ctx, host); err != nil {
		return err
	}
	en.increment(&en.updatesReceived, host)
	en.followers[host].HandleUpdate(update)
	return nil
}

func (en endpoint) RequestSync(ctx context.Context, host id.Host, version route.Version, next id.Offset) (statesync.SyncResponse, error) {
	if err := en.connect(ctx, host); err != nil {
		return statesync.SyncResponse{}, err
	}
	response := en.followers[host].BuildSyncResponse(version, next)
	en.increment(&en.syncsServed, host)
	if response.FullList {
		en.increment(&en.fullListsServed, host)
	}
	return response, nil
}

// connect returns an error if either host is down. If the called host is down and downHostsHang is set, it first waits
// until the context of the call ends.
func (en endpoint) connect(ctx context.Context, host id.Host) error {
	if en.isDown(en.localHost) {
		return errUnavailable
	}
	if !en.isDown(host) {
		return nil
	}
	if en.downHostsHang {
		<-ctx.Done()
	}
	return errUnavailable
}

func (en endpoint) RequestSyncAt(context.Context, string) (statesync.SyncResponse, error) {
	return statesync.SyncResponse{}, errUnavailable
}

func newNetwork(st *fakeStore, hosts ...id.Host) *network {
	return newZonedNetwork(st, 1, hosts...)
}

// newZonedNetwork returns a network of hosts in a number of availability zones.
func newZonedNetwork(st *fakeStore, zoneCount int, hosts ...id.Host) *network {
	nw := &network{
		followers: map[id.Host]*statesync.Follower{}, hosts: hosts, zoneCount: zoneCount, reportedServers: map[id.Host][]serverlist.Server{}, down: map[id.Host]bool{},
		updatesReceived: map[id.Host]int{}, syncsServed: map[id.Host]int{}, fullListsServed: map[id.Host]int{},
	}
	for ix, host := range hosts {
		nw.followers[host] = statesync.New(statesync.DefaultConfig(), host, nw.zoneOf(ix), timer.NewSystem(), hostStore{st, host}, endpoint{nw, host}, endpoint{nw, host},
			tally.NoopScope, slog.New(slog.DiscardHandler), 1, func() { nw.serversChanged(host) })
	}
	return nw
}

func (nw *network) zoneOf(hostIndex int) id.AvailabilityZone {
	return id.AvailabilityZone(fmt.Sprint("zone-", hostIndex%nw.zoneCount))
}

func (nw *network) isDown(host id.Host) bool {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	return nw.down[host]
}

func (nw *network) increment(counts *map[id.Host]int, host id.Host) {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	(*counts)[host]++
}

// runFollowers starts all followers. The returned function stops them.
func (nw *network) runFollowers(t *testing.T) func() {
	ctx, cancel := context.WithCancel(t.Context())
	for _, fl := range nw.followers {
		go func() { _ = fl.Run(ctx) }()
	}
	return func() {
		cancel()
		// Lets reads that wait in the store end.
		time.Sleep(time.Minute)
	}
}

func (nw *network) serversChanged(host id.Host) {
	servers, _ := nw.followers[host].Servers()
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	nw.reportedServers[host] = servers
}

// hostsSeeingDrain returns the number of hosts that list a server as draining.
func (nw *network) hostsSeeingDrain(server id.BackendServer) int {
	count := 0
	for _, fl := range nw.followers {
		servers, _ := fl.Servers()
		for _, sv := range servers {
			if sv.ID == server && sv.Draining {
				count++
			}
		}
	}
	return count
}

// hostsReporting returns the number of hosts that listed a server at the last call of their onChange function.
func (nw *network) hostsReporting(server id.BackendServer) int {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	count := 0
	for _, servers := range nw.reportedServers {
		if slices.ContainsFunc(servers, func(sv serverlist.Server) bool { return sv.ID == server }) {
			count++
		}
	}
	return count
}

// TestDropWhileStoreRejectsSomeHosts drops the entry of a server while the store rejects some hosts and serves the
// others. Since that is no outage, no host may keep sending requests to the server for a grace period.
func TestDropWhileStoreRejectsSomeHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.appendEntry("server-1", "ready")
		nw := newNetwork(st, "a", "b", "c", "d", "e")
		defer nw.runFollowers(t)()
		time.Sleep(2 * time.Second)
		st.setRejected(true, id.RendezvousOrder("ServerList", nw.hosts)[:2]...)
		time.Sleep(3 * time.Second)
		assert.Equal(t, nw.hostsReporting("server-1"), len(nw.hosts))
		st.dropEntry("server-1")
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, nw.hostsReporting("server-1"), 0)
	})
}

// TestDropInOutageKeepsServerForGrace drops the entries of servers while the store rejects all hosts. The entries may
// have expired because of the outage, so the servers must stay in use until they have had time to be listed again.
func TestDropInOutageKeepsServerForGrace(t *testing.T) {
	for _, outage := range []time.Duration{1800 * time.Millisecond, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			st := newStore()
			st.appendEntry("server-1", "ready")
			st.appendEntry("server-2", "ready")
			nw := newNetwork(st, "a", "b", "c", "d", "e")
			defer nw.runFollowers(t)()
			time.Sleep(5 * time.Second)
			st.setRejected(true, nw.hosts...)
			time.Sleep(outage)
			st.dropEntry("server-1")
			st.dropEntry("server-2")
			st.setRejected(false, nw.hosts...)
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, nw.hostsReporting("server-1"), len(nw.hosts), "after an outage of %v", outage)
			st.appendEntry("server-2", "ready")
			time.Sleep(3 * time.Second)
			assert.Equal(t, nw.hostsReporting("server-1"), 0)
			assert.Equal(t, nw.hostsReporting("server-2"), len(nw.hosts))
		})
	}
}

// TestDropAfterOutageIsImmediate drops the entry of a server three seconds after the store has come back, from an outage
// or from an older copy. The users' limit for such a server is two seconds, so it must not get the grace period of
// servers that are dropped in an outage.
func TestDropAfterOutageIsImmediate(t *testing.T) {
	for name, interrupt := range map[string]func(*fakeStore, []id.Host){
		"outage": func(st *fakeStore, hosts []id.Host) {
			st.setRejected(true, hosts...)
			time.Sleep(4 * time.Second)
			st.setRejected(false, hosts...)
		},
		"restore": func(st *fakeStore, _ []id.Host) { st.restore(2, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				st.appendEntry("server-1", "ready")
				st.appendEntry("server-2", "ready")
				nw := newNetwork(st, "a", "b", "c", "d", "e")
				defer nw.runFollowers(t)()
				time.Sleep(5 * time.Second)
				interrupt(st, nw.hosts)
				time.Sleep(3 * time.Second)
				st.dropEntry("server-1")
				time.Sleep(1500 * time.Millisecond)
				assert.Equal(t, nw.hostsReporting("server-1"), 0)
				assert.Equal(t, nw.hostsReporting("server-2"), len(nw.hosts))
			})
		})
	}
}

// TestListReaderFailover checks that one host reads the list for all. When the store rejects that host, another one
// must take over, and every host, rejected or not, must learn of a leaving server within two seconds.
func TestListReaderFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.appendEntry("server-1", "ready")
		nw := newNetwork(st, "a", "b", "c", "d", "e")
		defer nw.runFollowers(t)()
		time.Sleep(2 * time.Second)
		readsBefore := st.listReadCount()
		const watchSeconds = 10
		time.Sleep(watchSeconds * time.Second)
		assert.Assert(t, st.listReadCount()-readsBefore <= watchSeconds*3, "%d reads in %d s by five hosts", st.listReadCount()-readsBefore, watchSeconds)
		for rejectedBefore, host := range id.RendezvousOrder("ServerList", nw.hosts)[:3] {
			st.mutex.Lock()
			st.rejectedHosts[host] = true
			st.mutex.Unlock()
			server := id.BackendServer("server-" + string(rune('2'+rejectedBefore)))
			st.appendEntry(string(server), "draining")
			time.Sleep(2 * time.Second)
			assert.Equal(t, nw.hostsSeeingDrain(server), len(nw.hosts), "%d hosts rejected", rejectedBefore+1)
		}
	})
}

// TestLostTableReads loses reads of the desired state that wait for a change, with or without an outage in which the
// store does not answer the affected hosts. Every host must have a later change in force within two seconds.
func TestLostTableReads(t *testing.T) {
	hosts := []id.Host{"a", "b", "c", "d", "e"}
	readerOrder := id.RendezvousOrder("ServerList", hosts)
	for _, tc := range []struct {
		name          string
		affectedHosts []id.Host
		outage        time.Duration
	}{
		{"all hosts, long outage", hosts, 3 * time.Second},
		{"all hosts, short outage", hosts, time.Second},
		{"list reader, long outage", readerOrder[:1], 3 * time.Second},
		{"list reader, no outage", readerOrder[:1], 0},
		{"all hosts except the list reader, no outage", readerOrder[1:], 0},
		{"first two list readers, no outage", readerOrder[:2], 0},
		{"all hosts, no outage", hosts, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				st.appendEntry("server-1", "ready")
				nw := newNetwork(st, hosts...)
				defer nw.runFollowers(t)()
				time.Sleep(2 * time.Second)
				answerAgain := st.stopAnswering(tc.affectedHosts...)
				time.Sleep(tc.outage)
				answerAgain()
				time.Sleep(time.Second)
				version := st.changeTable()
				time.Sleep(2 * time.Second)
				for _, host := range hosts {
					assert.Equal(t, nw.followers[host].Table().Version(), version, "host %s", host)
				}
			})
		})
	}
}

// timeoutOf returns the timeout of the only route in a version, which becomes shorter with each version.
func timeoutOf(version route.Version) time.Duration { return time.Hour / time.Duration(version+1) }

// TestLongestTimeoutOutlastsItsVersion guards against responses that are cut because the host forgets a longer timeout that
// was in force since their request arrived.
func TestLongestTimeoutOutlastsItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		nw := newNetwork(st, "a", "b")
		defer nw.runFollowers(t)()
		time.Sleep(2 * time.Second)
		arrivedAt := time.Now()
		first := nw.followers["a"].Table().Version()
		time.Sleep(time.Second)
		newer := st.changeTable()
		time.Sleep(2 * time.Second)
		for host, fl := range nw.followers {
			arrival := route.Route{Name: "route", Timeout: time.Second}
			assert.Equal(t, fl.Table().Version(), newer, "host %s", host)
			assert.Equal(t, fl.LongestTimeout(arrival, arrivedAt), timeoutOf(first), "host %s", host)
			assert.Equal(t, fl.LongestTimeout(arrival, time.Now()), timeoutOf(newer), "host %s", host)
		}
	})
}

// TestSingleHostStartup checks that a host that started without other hosts learns of a leaving server as early as a
// host that has run for long. It must not wait for peerDiscoveryTime.
func TestSingleHostStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.appendEntry("server-1", "ready")
		nw := newNetwork(st, "a")
		defer nw.runFollowers(t)()
		time.Sleep(450 * time.Millisecond)
		st.appendEntry("server-1", "draining")
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, nw.hostsSeeingDrain("server-1"), 1)
	})
}

// TestFleetFollowsRestoredStore restores the store twice to copies that lack records and desired states. Every host must
// learn within two seconds what is written then, although its offsets have been given out before, and keep the newest
// desired state that it had.
func TestFleetFollowsRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.appendEntry("server-1", "ready")
		nw := newNetwork(st, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		defer nw.runFollowers(t)()
		time.Sleep(2 * time.Second)
		for round := range 2 {
			for number := range 20 {
				st.appendEntry(fmt.Sprint("lost-", number), "ready")
			}
			newest := route.Version(0)
			for range 4 {
				newest = st.changeTable()
			}
			time.Sleep(2 * time.Second)
			st.restore(1, round)
			time.Sleep(2 * time.Second)
			server := fmt.Sprint("drained-", round)
			st.appendEntry(server, "draining")
			time.Sleep(2 * time.Second)
			assert.Equal(t, nw.hostsSeeingDrain(id.BackendServer(server)), len(nw.hosts), "round %d", round)
			for _, fl := range nw.followers {
				assert.Equal(t, fl.Table().Version(), newest, "round %d", round)
			}
			newer := st.changeTable()
			for newer <= newest {
				newer = st.changeTable()
			}
			time.Sleep(2 * time.Second)
			for host, fl := range nw.followers {
				assert.Equal(t, fl.Table().Version(), newer, "round %d, host %s", round, host)
			}
			time.Sleep(5 * time.Second)
			assert.Equal(t, nw.hostsReporting("lost-1"), 0)
		}
	})
}
