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

var errAway = errors.New("the store is away")

// store is the log of the list of servers, shared by all hosts; a host may be turned away.
type store struct {
	mutex  sync.Mutex
	log    []roster.Record
	reads  int
	refuse map[id.Host]bool
	// changes counts the desired states after the first one.
	changes int
	// silent hosts get no answer. What a host waits for when lost grows is not answered any more.
	silent map[id.Host]bool
	lost   map[id.Host]int
}

// newStore returns a store that answers all hosts.
func newStore() *store {
	return &store{refuse: map[id.Host]bool{}, silent: map[id.Host]bool{}, lost: map[id.Host]int{}}
}

// view is one host's way to the store.
type view struct {
	*store
	host id.Host
}

func (vw view) refused() bool {
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.refuse[vw.host]
}

func (vw view) NewestTable(context.Context) (news.TableRead, error) {
	if vw.refused() {
		return news.TableRead{}, errAway
	}
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	return vw.table(), nil
}

// table returns the newest desired state. The caller holds the lock.
func (vw view) table() news.TableRead {
	return news.TableRead{Body: []byte{byte(1 + vw.changes)}, Next: id.Offset(1 + vw.changes)}
}

func (vw view) AwaitTable(ctx context.Context, from id.Offset, wait time.Duration) (news.TableRead, error) {
	const lookPeriod = 10 * time.Millisecond
	vw.mutex.Lock()
	lost := vw.lost[vw.host]
	vw.mutex.Unlock()
	for end := time.Now().Add(wait); ; {
		vw.mutex.Lock()
		answered := !vw.silent[vw.host] && vw.lost[vw.host] == lost
		read := vw.table()
		vw.mutex.Unlock()
		if answered && read.Next > from {
			return read, nil
		}
		if answered && !time.Now().Before(end) {
			return news.TableRead{Next: from}, nil
		}
		select {
		case <-time.After(lookPeriod):
		case <-ctx.Done():
			return news.TableRead{}, ctx.Err()
		}
	}
}

func (vw view) ReadServerList(ctx context.Context) (news.ServersRead, error) {
	read, err := vw.ReadServerChanges(ctx, 0)
	read.FullList = true
	return read, err
}

func (vw view) ReadServerChanges(ctx context.Context, from id.Offset) (news.ServersRead, error) {
	if vw.refused() {
		return news.ServersRead{}, errAway
	}
	vw.mutex.Lock()
	silent := vw.silent[vw.host]
	vw.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return news.ServersRead{}, ctx.Err()
	}
	vw.mutex.Lock()
	defer vw.mutex.Unlock()
	vw.reads++
	return news.ServersRead{Records: vw.log[from:], Next: id.Offset(len(vw.log))}, nil
}

func (vw view) DecodeTable(body []byte) (*route.Table, error) {
	return route.New(route.Contents{Version: route.Version(body[0])}), nil
}

func (vw view) DecodeServer(name id.BackendServer, body []byte) *roster.Server {
	return &roster.Server{ID: name, Draining: len(body) > 0 && body[0] == 'd'}
}

// list appends the newest word on a server.
func (st *store) list(name, body string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	rc := roster.Record{ID: id.BackendServer(name), Offset: id.Offset(len(st.log)), Body: []byte(body)}
	rc.Server = view{store: st}.DecodeServer(rc.ID, rc.Body)
	st.log = append(st.log, rc)
}

// drop removes the entry of a server.
func (st *store) drop(name string) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.log = append(st.log, roster.Record{ID: id.BackendServer(name), Offset: id.Offset(len(st.log)), Dropped: true})
}

// turnAway has the store turn hosts away, or serve them again.
func (st *store) turnAway(away bool, hosts ...id.Host) {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	for _, host := range hosts {
		st.refuse[host] = away
	}
}

// silence has the store answer nothing that hosts ask or wait for, until the returned function is called.
func (st *store) silence(hosts ...id.Host) func() {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	for _, host := range hosts {
		st.silent[host] = true
		st.lost[host]++
	}
	return func() {
		st.mutex.Lock()
		defer st.mutex.Unlock()
		clear(st.silent)
	}
}

func (st *store) readCount() int {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	return st.reads
}

// change puts a new desired state in force and returns its version.
func (st *store) change() route.Version {
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.changes++
	return route.Version(1 + st.changes)
}

// network joins followers in one process.
type network struct {
	followers map[id.Host]*news.Follower
	hosts     []id.Host

	// zones is the number of availability zones over which the hosts are spread in turn.
	zones int
	// frozen says that hosts that are down take calls and do not answer; dead ones refuse them.
	frozen bool

	mutex sync.Mutex
	down  map[id.Host]bool
	// tells, copies and whole count updates, copies, and those of them that were whole, by the host that got or gave them.
	tells  map[id.Host]int
	copies map[id.Host]int
	whole  map[id.Host]int
	// known holds the servers that each host listed when it last said that something had changed.
	known map[id.Host][]roster.Server
}

type end struct {
	*network
	self id.Host
}

func (en end) Peers() []news.Peer {
	var peers []news.Peer
	for ix, host := range en.hosts {
		if host != en.self {
			peers = append(peers, news.Peer{Host: host, AvailabilityZone: en.zoneOf(ix)})
		}
	}
	return peers
}
func (en end) Isolated() bool          { return false }
func (en end) LiveHosts() []id.Host { return en.hosts }

func (en end) SendUpdate(ctx context.Context, host id.Host, up news.Update) error {
	if err := en.reach(ctx, host); err != nil {
		return err
	}
	en.count(&en.tells, host)
	en.followers[host].HandleUpdate(up)
	return nil
}

func (en end) RequestSync(ctx context.Context, host id.Host, version route.Version, next id.Offset) (news.SyncResponse, error) {
	if err := en.reach(ctx, host); err != nil {
		return news.SyncResponse{}, err
	}
	cp := en.followers[host].SyncResponse(version, next)
	en.count(&en.copies, host)
	if cp.FullList {
		en.count(&en.whole, host)
	}
	return cp, nil
}

// reach fails for hosts that are frozen, after the caller's time, and for those that are dead, at once.
func (en end) reach(ctx context.Context, host id.Host) error {
	if en.isDown(en.self) {
		return errAway
	}
	if !en.isDown(host) {
		return nil
	}
	if en.frozen {
		<-ctx.Done()
	}
	return errAway
}
func (en end) RequestSyncAt(context.Context, string) (news.SyncResponse, error) { return news.SyncResponse{}, errAway }

func newNetwork(st *store, names ...id.Host) *network {
	return newZones(st, 1, names...)
}

// newZones returns a network of hosts in a number of availability zones.
func newZones(st *store, zones int, names ...id.Host) *network {
	nw := &network{
		followers: map[id.Host]*news.Follower{}, hosts: names, zones: zones, known: map[id.Host][]roster.Server{}, down: map[id.Host]bool{},
		tells: map[id.Host]int{}, copies: map[id.Host]int{}, whole: map[id.Host]int{},
	}
	for ix, name := range names {
		nw.followers[name] = news.New(news.DefaultConfig(), name, nw.zoneOf(ix), timer.NewSystem(), view{st, name}, end{nw, name}, end{nw, name},
			tally.NoopScope, slog.New(slog.DiscardHandler), 1, func() { nw.changed(name) })
	}
	return nw
}

func (nw *network) zoneOf(number int) id.AvailabilityZone {
	return id.AvailabilityZone(fmt.Sprint("zone-", number%nw.zones))
}

func (nw *network) isDown(host id.Host) bool {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	return nw.down[host]
}

func (nw *network) count(counts *map[id.Host]int, host id.Host) {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	(*counts)[host]++
}

// run runs all followers until the returned function is called.
func (nw *network) run(t *testing.T) func() {
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

func (nw *network) changed(name id.Host) {
	servers, _ := nw.followers[name].Servers()
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	nw.known[name] = servers
}

func (nw *network) draining(name id.BackendServer) int {
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

// listed counts the hosts that have told their other parts that a server is listed.
func (nw *network) listed(name id.BackendServer) int {
	nw.mutex.Lock()
	defer nw.mutex.Unlock()
	count := 0
	for _, servers := range nw.known {
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
		st.list("server-1", "ready")
		nw := newNetwork(st, "a", "b", "c", "d", "e")
		defer nw.run(t)()
		time.Sleep(2 * time.Second)
		st.turnAway(true, id.RendezvousOrder("ServerList", nw.hosts)[:2]...)
		time.Sleep(3 * time.Second)
		assert.Equal(t, nw.listed("server-1"), len(nw.hosts))
		st.drop("server-1")
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, nw.listed("server-1"), 0)
	})
}

// TestDropInOutageKeepsServerForGrace drops the entry of a server while the store turns all hosts away: it may have lapsed, so that the
// server stays in use until it has had the time to be listed again.
func TestDropInOutageKeepsServerForGrace(t *testing.T) {
	for _, outage := range []time.Duration{1800 * time.Millisecond, 6 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			st := newStore()
			st.list("server-1", "ready")
			st.list("server-2", "ready")
			nw := newNetwork(st, "a", "b", "c", "d", "e")
			defer nw.run(t)()
			time.Sleep(5 * time.Second)
			st.turnAway(true, nw.hosts...)
			time.Sleep(outage)
			st.drop("server-1")
			st.drop("server-2")
			st.turnAway(false, nw.hosts...)
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, nw.listed("server-1"), len(nw.hosts), "after an outage of %v", outage)
			st.list("server-2", "ready")
			time.Sleep(3 * time.Second)
			assert.Equal(t, nw.listed("server-1"), 0)
			assert.Equal(t, nw.listed("server-2"), len(nw.hosts))
		})
	}
}

// TestListReaderFailover has one host read the list for all. When the store turns it away another one takes over, and every
// host learns of a leaving server within the bound of two seconds, also those that the store turns away.
func TestListReaderFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.list("server-1", "ready")
		nw := newNetwork(st, "a", "b", "c", "d", "e")
		defer nw.run(t)()
		time.Sleep(2 * time.Second)
		before := st.readCount()
		const watched = 10
		time.Sleep(watched * time.Second)
		assert.Assert(t, st.readCount()-before <= watched*3, "%d reads in %d s by five hosts", st.readCount()-before, watched)
		for turned, host := range id.RendezvousOrder("ServerList", nw.hosts)[:3] {
			st.mutex.Lock()
			st.refuse[host] = true
			st.mutex.Unlock()
			name := id.BackendServer("server-" + string(rune('2'+turned)))
			st.list(string(name), "draining")
			time.Sleep(2 * time.Second)
			assert.Equal(t, nw.draining(name), len(nw.hosts), "%d hosts turned away", turned+1)
		}
	})
}

// TestLostTableReads loses reads of the desired state that wait for a change, with a silent store or one by one. Every host
// has a later change in force within the bound of two seconds.
func TestLostTableReads(t *testing.T) {
	hosts := []id.Host{"a", "b", "c", "d", "e"}
	order := id.RendezvousOrder("ServerList", hosts)
	for _, cs := range []struct {
		name  string
		hosts []id.Host
		last  time.Duration
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
				st.list("server-1", "ready")
				nw := newNetwork(st, hosts...)
				defer nw.run(t)()
				time.Sleep(2 * time.Second)
				end := st.silence(cs.hosts...)
				time.Sleep(cs.last)
				end()
				time.Sleep(time.Second)
				version := st.change()
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
		st.list("server-1", "ready")
		nw := newNetwork(st, "a")
		defer nw.run(t)()
		time.Sleep(450 * time.Millisecond)
		st.list("server-1", "draining")
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, nw.draining("server-1"), 1)
	})
}
