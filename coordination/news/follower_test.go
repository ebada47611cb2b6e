package news_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/news"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/roster"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

var errUnavailable = errors.New("the store is away")

// fakeStore is the log of the list of servers, shared by all hosts; a host may be turned away.
type fakeStore struct {
	mutex         sync.Mutex
	records       []roster.Record
	listReads     int
	rejectedHosts map[id.Host]bool
	// tableChanges counts the desired states after the first one.
	tableChanges int
	// unresponsiveTo hosts get no answer. What a host waits for when lost grows is not answered any more.
	unresponsiveTo map[id.Host]bool
	lostReads      map[id.Host]int
}

// newStore returns a store that answers all hosts.
func newStore() *fakeStore {
	return &fakeStore{rejectedHosts: map[id.Host]bool{}, unresponsiveTo: map[id.Host]bool{}, lostReads: map[id.Host]int{}}
}

// hostStore is one host's way to the store.
type hostStore struct {
	*fakeStore
	host id.Host
}

func (vw hostStore) rejected() bool {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.rejectedHosts[vw.host]
}

func (vw hostStore) NewestTable(context.Context) (news.TableRead, error) {
	if vw.rejected() {
		return news.TableRead{}, errUnavailable
	}
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.newestTable(), nil
}

// newestTable returns the newest desired state. The caller holds the lock.
func (vw hostStore) newestTable() news.TableRead {
	return news.TableRead{Body: []byte{byte(1 + vw.tableChanges)}, Next: id.Offset(1 + vw.tableChanges)}
}

func (vw hostStore) AwaitTable(ctx context.Context, from id.Offset, wait time.Duration) (news.TableRead, error) {
	const pollPeriod = 10 * time.Millisecond
	vw.mutex.Lock()
	lostBefore := vw.lostReads[vw.host]
	vw.mutex.Unlock()
	for deadline := time.Now().Add(wait); ; {
		vw.mutex.Lock()
		answered := !vw.unresponsiveTo[vw.host] && vw.lostReads[vw.host] == lostBefore
		read := vw.newestTable()
		vw.mutex.Unlock()
		if answered && read.Next > from {
			return read, nil
		}
		if answered && !time.Now().Before(deadline) {
			return news.TableRead{Next: from}, nil
		}
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			return news.TableRead{}, ctx.Err()
		}
	}
}

func (vw hostStore) ReadServerList(ctx context.Context) (news.ServersRead, error) {
	read, err := vw.ReadServerChanges(ctx, 0)
	read.FullList = true
	return read, err
}

func (vw hostStore) ReadServerChanges(ctx context.Context, from id.Offset) (news.ServersRead, error) {
	if vw.rejected() {
		return news.ServersRead{}, errUnavailable
	}
	vw.mutex.Lock()
	unresponsive := vw.unresponsiveTo[vw.host]
	vw.mutex.Unlock()
	if unresponsive {
		<-ctx.Done()
		return news.ServersRead{}, ctx.Err()
	}
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	vw.listReads++
	return news.ServersRead{Records: vw.records[from:], Next: id.Offset(len(vw.records))}, nil
}

func (vw hostStore) DecodeTable(body []byte) (*route.Table, error) {
	return route.New(route.Contents{Version: route.Version(body[0])}), nil
}

func (vw hostStore) DecodeServer(name id.BackendServer, body []byte) *roster.Server {
	return &roster.Server{ID: name, Draining: len(body) > 0 && body[0] == 'd'}
}

// appendEntry appends the newest word on a server.
func (st *fakeStore) appendEntry(name, body string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	rc := roster.Record{ID: id.BackendServer(name), Offset: id.Offset(len(st.records)), Body: []byte(body)}
	rc.Server = hostStore{fakeStore: st}.DecodeServer(rc.ID, rc.Body)
	st.records = append(st.records, rc)
}

// dropEntry removes the entry of a server.
func (st *fakeStore) dropEntry(name string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.records = append(st.records, roster.Record{ID: id.BackendServer(name), Offset: id.Offset(len(st.records)), Dropped: true})
}

// setRejected has the store turn hosts away, or serve them again.
func (st *fakeStore) setRejected(reject bool, hosts ...id.Host) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	for _, host := range hosts {
		st.rejectedHosts[host] = reject
	}
}

// stopAnswering has the store answer nothing that hosts ask or wait for, until the returned function is called.
func (st *fakeStore) stopAnswering(hosts ...id.Host) func() {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	for _, host := range hosts {
		st.unresponsiveTo[host] = true
		st.lostReads[host]++
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

// changeTable puts a new desired state in force and returns its version.
func (st *fakeStore) changeTable() route.Version {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.tableChanges++
	return route.Version(1 + st.tableChanges)
}

// network joins followers in one process.
type network struct {
	followers map[id.Host]*news.Follower
	hosts     []id.Host

	// zoneCount is the number of availability zones over which the hosts are spread in turn.
	zoneCount int
	// downHostsHang says that hosts that are down take calls and do not answer; dead ones refuse them.
	downHostsHang bool

	mutex sync.Mutex
	down  map[id.Host]bool
	// updatesReceived, copies and whole count updates, copies, and those of them that were whole, by the host that got or gave them.
	updatesReceived map[id.Host]int
	syncsServed     map[id.Host]int
	fullListsServed map[id.Host]int
	// announcedServers holds the servers that each host listed when it last said that something had changed.
	announcedServers map[id.Host][]roster.Server
}

type endpoint struct {
	*network
	self id.Host
}

func (en endpoint) Peers() []news.Peer {
	var peers []news.Peer
	for ix, host := range en.hosts {
		if host != en.self {
			peers = append(peers, news.Peer{Host: host, AvailabilityZone: en.zoneOf(ix)})
		}
	}
	return peers
}
func (en endpoint) Isolated() bool       { return false }
func (en endpoint) LiveHosts() []id.Host { return en.hosts }

func (en endpoint) SendUpdate(ctx context.Context, host id.Host, up news.Update) error {
	if err := en.connect(ctx, host); err != nil {
		return err
	}
	en.increment(&en.updatesReceived, host)
	en.followers[host].HandleUpdate(up)
	return nil
}

func (en endpoint) RequestSync(ctx context.Context, host id.Host, version route.Version, next id.Offset) (news.SyncResponse, error) {
	if err := en.connect(ctx, host); err != nil {
		return news.SyncResponse{}, err
	}
	response := en.followers[host].SyncResponse(version, next)
	en.increment(&en.syncsServed, host)
	if response.FullList {
		en.increment(&en.fullListsServed, host)
	}
	return response, nil
}

// connect fails for hosts that are frozen, after the caller's time, and for those that are dead, at once.
func (en endpoint) connect(ctx context.Context, host id.Host) error {
	if en.isDown(en.self) {
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

func (en endpoint) RequestSyncAt(context.Context, string) (news.SyncResponse, error) {
	return news.SyncResponse{}, errUnavailable
}

func newNetwork(st *fakeStore, names ...id.Host) *network {
	return newZonedNetwork(st, 1, names...)
}

// newZonedNetwork returns a network of hosts in a number of availability zones.
func newZonedNetwork(st *fakeStore, zoneCount int, names ...id.Host) *network {
	nw := &network{
		followers: map[id.Host]*news.Follower{}, hosts: names, zoneCount: zoneCount, announcedServers: map[id.Host][]roster.Server{}, down: map[id.Host]bool{},
		updatesReceived: map[id.Host]int{}, syncsServed: map[id.Host]int{}, fullListsServed: map[id.Host]int{},
	}
	for ix, name := range names {
		nw.followers[name] = news.New(news.DefaultConfig(), name, nw.zoneOf(ix), timer.NewSystem(), hostStore{st, name}, endpoint{nw, name}, endpoint{nw, name},
			tally.NoopScope, slog.New(slog.DiscardHandler), 1, func() { nw.serversChanged(name) })
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

// runFollowers runs all followers until the returned function is called.
func (nw *network) runFollowers(t *testing.T) func() {
	ctx, cancel := context.WithCancel(t.Context())
	for _, fl := range nw.followers {
		go func() { _ = fl.Run(ctx) }()
	}
	return func() {
		cancel()
		// Long reads of the store end.
		time.Sleep(time.Minute)
	}
}

func (nw *network) serversChanged(name id.Host) {
	servers, _ := nw.followers[name].Servers()
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	nw.announcedServers[name] = servers
}

func (nw *network) hostsSeeingDrain(name id.BackendServer) int {
	count := 0
	for _, fl := range nw.followers {
		servers, _ := fl.Servers()
		for _, sv := range servers {
			if sv.ID == name && sv.Draining {
				count++
			}
		}
	}
	return count
}

// hostsAnnouncing counts the hosts that have told their other parts that a server is listed.
func (nw *network) hostsAnnouncing(name id.BackendServer) int {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	count := 0
	for _, servers := range nw.announcedServers {
		if slices.ContainsFunc(servers, func(sv roster.Server) bool { return sv.ID == name }) {
			count++
		}
	}
	return count
}

// TestDropWhileStoreRejectsSomeHosts drops the entry of a server while the store turns some hosts away and serves the others: the
// entry did not lapse with an outage, so that no host sends the server anything more.
func TestDropWhileStoreRejectsSomeHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.appendEntry("server-1", "ready")
		nw := newNetwork(st, "a", "b", "c", "d", "e")
		defer nw.runFollowers(t)()
		time.Sleep(2 * time.Second)
		st.setRejected(true, id.Rendezvous("ServerList", nw.hosts)[:2]...)
		time.Sleep(3 * time.Second)
		assert.Equal(t, nw.hostsAnnouncing("server-1"), len(nw.hosts))
		st.dropEntry("server-1")
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, nw.hostsAnnouncing("server-1"), 0)
	})
}

// TestDropInOutageKeepsServerForGrace drops the entry of a server while the store turns all hosts away: it may have lapsed, so that the
// server stays in use until it has had the time to be listed again.
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
			assert.Equal(t, nw.hostsAnnouncing("server-1"), len(nw.hosts), "after an outage of %v", outage)
			st.appendEntry("server-2", "ready")
			time.Sleep(3 * time.Second)
			assert.Equal(t, nw.hostsAnnouncing("server-1"), 0)
			assert.Equal(t, nw.hostsAnnouncing("server-2"), len(nw.hosts))
		})
	}
}

// TestListReaderFailover has one host read the list for all. When the store turns it away another one takes over, and every
// host learns of a leaving server within the bound of two seconds, also those that the store turns away.
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
		for rejectedBefore, host := range id.Rendezvous("ServerList", nw.hosts)[:3] {
			st.mutex.Lock()
			st.rejectedHosts[host] = true
			st.mutex.Unlock()
			name := id.BackendServer("server-" + string(rune('2'+rejectedBefore)))
			st.appendEntry(string(name), "draining")
			time.Sleep(2 * time.Second)
			assert.Equal(t, nw.hostsSeeingDrain(name), len(nw.hosts), "%d hosts turned away", rejectedBefore+1)
		}
	})
}

// TestLostTableReads loses reads of the desired state that wait for a change, with a silent store or one by one. Every host
// has a later change in force within the bound of two seconds.
func TestLostTableReads(t *testing.T) {
	hosts := []id.Host{"a", "b", "c", "d", "e"}
	order := id.Rendezvous("ServerList", hosts)
	for _, cs := range []struct {
		name   string
		hosts  []id.Host
		outage time.Duration
	}{
		{"of all hosts, in an outage", hosts, 3 * time.Second},
		{"of all hosts, in a short outage", hosts, time.Second},
		{"of the host that reads the list, in an outage", order[:1], 3 * time.Second},
		{"of the host that reads the list, alone", order[:1], 0},
		{"of all others, alone", order[1:], 0},
		{"of two hosts, alone", order[:2], 0},
		{"of all hosts, alone", hosts, 0},
	} {
		t.Run(cs.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := newStore()
				st.appendEntry("server-1", "ready")
				nw := newNetwork(st, hosts...)
				defer nw.runFollowers(t)()
				time.Sleep(2 * time.Second)
				answerAgain := st.stopAnswering(cs.hosts...)
				time.Sleep(cs.outage)
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

// TestSingleHostStartup has a host that has started without others hear of a leaving server as soon as one that has run for
// long.
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
