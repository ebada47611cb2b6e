package site_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// TestOlderDesiredStateIsIgnored puts each newer version in force and ignores older ones.
func TestOlderDesiredStateIsIgnored(t *testing.T) {
	wd := newWorld(t)
	wd.server("book-1", "books")
	wd.publish()
	hs := wd.host("host-1", true)
	assert.Equal(t, hs.get("/new/x", "a1").status, http.StatusNotFound)
	wd.routes = append(wd.routes, wd.route("new", "/new/", "idempotent", "books", 2, 2000))
	wd.publish()
	wd.eventually(func() bool { return hs.get("/new/x", "a2").status == http.StatusOK })
	wd.routes = wd.routes[:3]
	wd.version = 0
	wd.publish()
	time.Sleep(time.Second)
	assert.Equal(t, hs.get("/new/x", "a3").status, http.StatusOK, "version 1 came after version 2")
	wd.store.Put("keyed.op", "config", []byte("{"))
	wd.version, wd.keys = 2, nil
	wd.publish()
	wd.eventually(func() bool { return hs.get("/read/x", "a4").status == http.StatusUnauthorized })
}

// TestLeavingServerGetsNoRequests sends nothing to a server that drains, is gone, or has another one at its address.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	wd := newWorld(t)
	one, two := wd.server("book-1", "books"), wd.server("book-2", "books")
	wd.publish()
	hs := wd.host("host-1", true)
	wd.store.Put("keyed.servers", "book-1", one.ListEntry("draining"))
	time.Sleep(time.Second)
	before := len(one.ExecutedRequests())
	for range 10 {
		assert.Equal(t, hs.get("/read/x", "a").status, http.StatusOK)
	}
	assert.Equal(t, len(one.ExecutedRequests()), before)
	three := wd.server("book-3", "books")
	wd.store.Put("keyed.servers", "book-2", nil)
	wd.store.Put("keyed.servers", "book-4", []byte(`{"Service":5}`))
	time.Sleep(time.Second)
	before = len(two.ExecutedRequests())
	for range 10 {
		assert.Equal(t, hs.get("/read/x", "b").status, http.StatusOK)
	}
	assert.Equal(t, len(two.ExecutedRequests()), before)
	assert.Equal(t, len(three.ExecutedRequests()), 10)
}

// TestStoreUnavailable serves on what is known while the store is away, and a host that starts takes it from another one.
func TestStoreUnavailable(t *testing.T) {
	for _, fault := range []standin.StoreFault{standin.RejectsCalls, standin.IgnoresCalls} {
		wd := newWorld(t)
		wd.server("book-1", "books")
		wd.publish()
		first := wd.host("host-1", true)
		wd.store.SetFault(fault)
		second := wd.host("host-2", true, first.settings.Host.PeerAddress)
		for _, hs := range []*host{first, second} {
			assert.Equal(t, hs.get("/read/x", "a1").status, http.StatusOK)
		}
	}
}

// TestExpiredOffsetIsReadAnew reads the newest records again when those asked for are no longer kept.
func TestExpiredOffsetIsReadAnew(t *testing.T) {
	wd := newWorld(t)
	wd.server("book-1", "books")
	wd.publish()
	hs := wd.host("host-1", true)
	wd.store.SetFault(standin.OffsetsExpired)
	wd.routes = append(wd.routes, wd.route("new", "/new/", "idempotent", "books", 2, 2000))
	wd.publish()
	wd.eventually(func() bool { return hs.get("/new/x", "a2").status == http.StatusOK })
}

// TestNotReady refuses requests truthfully until the desired state and the servers are known.
func TestNotReady(t *testing.T) {
	wd := newWorld(t)
	wd.store.SetFault(standin.RejectsCalls)
	hs := wd.host("host-1", false)
	wd.eventually(func() bool {
		return wd.status("http://"+hs.settings.Host.ReadyAddress+"/-/ready") == http.StatusServiceUnavailable
	})
	got := hs.get("/read/x", "a1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, wd.status("http://"+hs.settings.Host.DirectoryAddress+"/-/resolve?Name=x"), http.StatusServiceUnavailable)
}

// TestHostsDiscoverEachOther names both hosts to clients, and only one when the other is leaving; what runs there ends whole.
func TestHostsDiscoverEachOther(t *testing.T) {
	wd := newWorld(t)
	engine := wd.server("engine-1", "models")
	engine.EventInterval = 200 * time.Millisecond
	wd.shutdown = 6 * time.Second
	wd.publish()
	first := wd.host("host-1", true)
	second := wd.host("host-2", true, first.settings.Host.PeerAddress)
	addresses := func() int {
		rs, err := http.Get("http://" + first.settings.Host.DirectoryAddress + "/-/resolve?Name=x")
		assert.NilError(t, err)
		defer func() { _ = rs.Body.Close() }()
		return countAddresses(t, rs)
	}
	wd.eventually(func() bool { return addresses() == 2 })
	got := make(chan answer, 1)
	go func() { got <- second.chat("a1", 4000) }()
	wd.eventually(func() bool { return len(engine.ExecutedRequests()) == 1 })
	second.stop()
	wd.eventually(func() bool { return addresses() == 1 })
	whole := <-got
	assert.NilError(t, whole.err)
	assert.Equal(t, whole.body, events(5))
}

// TestDispatcherLost serves short and long prompts on when the host that dispatches has gone.
func TestDispatcherLost(t *testing.T) {
	wd := newWorld(t)
	wd.server("engine-1", "models")
	wd.server("engine-2", "models")
	wd.publish()
	first := wd.host("host-1", true)
	others := []*host{wd.host("host-2", true, first.settings.Host.PeerAddress), wd.host("host-3", true, first.settings.Host.PeerAddress)}
	for _, hs := range others {
		assert.Equal(t, hs.chat("a1", 4000).body, events(5))
	}
	for _, lost := range others {
		lost.stop()
		assert.Equal(t, first.chat("a2", 4000).body, events(5))
	}
}

// TestHostsWithoutSeeds find each other through the store.
func TestHostsWithoutSeeds(t *testing.T) {
	wd := newWorld(t)
	wd.server("book-1", "books")
	wd.publish()
	first := wd.host("host-1", true)
	wd.host("host-2", true)
	wd.eventually(func() bool {
		rs, err := http.Get("http://" + first.settings.Host.DirectoryAddress + "/-/resolve?Name=x")
		assert.NilError(t, err)
		defer func() { _ = rs.Body.Close() }()
		return countAddresses(t, rs) == 2
	})
}

// TestStreamWithoutEngines passes the events of a service without engines on as they come.
func TestStreamWithoutEngines(t *testing.T) {
	wd := newWorld(t)
	wd.server("book-1", "books").EventInterval = 200 * time.Millisecond
	wd.routes = append(wd.routes, wd.route("news", "/news/", "streaming", "books", 1, 5000))
	wd.publish()
	hs := wd.host("host-1", true)
	rq, err := http.NewRequest(http.MethodGet, "http://"+hs.settings.Host.CallerAddress+"/news/x", nil)
	assert.NilError(t, err)
	rq.Host = hostName
	rq.Header.Set("X-Attempt-Id", "a1")
	rq.Header.Set("Api-Key", key)
	rq.Header.Set("X-Token-Count", "1,1")
	rs, err := http.DefaultTransport.RoundTrip(rq)
	assert.NilError(t, err)
	defer func() { _ = rs.Body.Close() }()
	first := make([]byte, 64)
	count, err := rs.Body.Read(first)
	assert.NilError(t, err)
	assert.Equal(t, string(first[:count]), events(1))
	rest, err := io.ReadAll(rs.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(first[:count])+string(rest), events(5))
}

// TestShutdownAnswersAllRequests answers every request that was read before a planned stop ends: what waits has not run, what has
// no answer by then may have.
func TestShutdownAnswersAllRequests(t *testing.T) {
	wd := newWorld(t)
	wd.shutdown = 2 * time.Second
	wd.capacity = 6_000
	wd.server("engine-1", "models").SetFault(standin.NeverResponds)
	wd.routes[0]["TargetLatencyMs"], wd.routes[0]["TimeoutMs"] = 5000, 20_000
	wd.publish()
	hs := wd.host("host-1", true)
	running, waiting := make(chan answer, 1), make(chan answer, 1)
	go func() { running <- hs.chat("a1", 5000) }()
	wd.eventually(func() bool { return len(wd.servers["engine-1"].ExecutedRequests()) == 1 })
	go func() { waiting <- hs.chat("a2", 5000) }()
	time.Sleep(200 * time.Millisecond)
	hs.stop()
	got := <-waiting
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	got = <-running
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, len(wd.servers["engine-1"].ExecutedRequests()), 1)
}
