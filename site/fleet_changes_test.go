package site_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// TestOlderDesiredStateIsIgnored checks that a newer version of the desired state comes into force, and that an older
// or invalid one does not.
func TestOlderDesiredStateIsIgnored(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("book-1", "books")
	env.publishTable()
	host := env.startHost("host-1", true)
	assert.Equal(t, host.get("/new/x", "a1").status, http.StatusNotFound)
	env.routes = append(env.routes, env.newRoute("new", "/new/", "idempotent", "books", 2, 2000))
	env.publishTable()
	env.eventually(func() bool { return host.get("/new/x", "a2").status == http.StatusOK })
	env.routes = env.routes[:3]
	env.tableVersion = 0
	env.publishTable()
	time.Sleep(time.Second)
	assert.Equal(t, host.get("/new/x", "a3").status, http.StatusOK, "version 1 replaced version 2")
	env.store.Put("keyed.op", "config", []byte("{"))
	env.tableVersion, env.apiKeys = 2, nil
	env.publishTable()
	env.eventually(func() bool { return host.get("/read/x", "a4").status == http.StatusUnauthorized })
}

// TestLeavingServerGetsNoRequests checks that a server gets no requests once the list shows it as draining or no longer
// contains it, and that an invalid entry in the list does no harm.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	env := newTestEnv(t)
	draining, removed := env.addServer("book-1", "books"), env.addServer("book-2", "books")
	env.publishTable()
	host := env.startHost("host-1", true)
	env.store.Put("keyed.servers", "book-1", draining.ListEntry("draining"))
	time.Sleep(time.Second)
	runsBefore := len(draining.ExecutedRequests())
	for range 10 {
		assert.Equal(t, host.get("/read/x", "a").status, http.StatusOK)
	}
	assert.Equal(t, len(draining.ExecutedRequests()), runsBefore)
	added := env.addServer("book-3", "books")
	env.store.Put("keyed.servers", "book-2", nil)
	env.store.Put("keyed.servers", "book-4", []byte(`{"Service":5}`))
	time.Sleep(time.Second)
	runsBefore = len(removed.ExecutedRequests())
	for range 10 {
		assert.Equal(t, host.get("/read/x", "b").status, http.StatusOK)
	}
	assert.Equal(t, len(removed.ExecutedRequests()), runsBefore)
	assert.Equal(t, len(added.ExecutedRequests()), 10)
}

// TestStoreUnavailable checks that a host serves with what it knows while the store is unavailable, and that a host
// which starts then gets the desired state and the list from another host.
func TestStoreUnavailable(t *testing.T) {
	for _, fault := range []standin.StoreFault{standin.RejectsCalls, standin.IgnoresCalls} {
		env := newTestEnv(t)
		env.addServer("book-1", "books")
		env.publishTable()
		first := env.startHost("host-1", true)
		env.store.SetFault(fault)
		second := env.startHost("host-2", true, first.settings.Host.PeerAddress)
		for _, host := range []*testHost{first, second} {
			assert.Equal(t, host.get("/read/x", "a1").status, http.StatusOK)
		}
	}
}

// TestExpiredOffsetIsReadAnew checks that a host reads the newest records when the store no longer retains those from
// the offset on that it requested.
func TestExpiredOffsetIsReadAnew(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("book-1", "books")
	env.publishTable()
	host := env.startHost("host-1", true)
	env.store.SetFault(standin.OffsetsExpired)
	env.routes = append(env.routes, env.newRoute("new", "/new/", "idempotent", "books", 2, 2000))
	env.publishTable()
	env.eventually(func() bool { return host.get("/new/x", "a2").status == http.StatusOK })
}

// TestNotReady checks that a host which has not received the desired state and the list of servers is not ready,
// refuses requests with a time to retry after, and returns no addresses.
func TestNotReady(t *testing.T) {
	env := newTestEnv(t)
	env.store.SetFault(standin.RejectsCalls)
	host := env.startHost("host-1", false)
	env.eventually(func() bool {
		return env.getStatus("http://"+host.settings.Host.ReadyAddress+"/-/ready") == http.StatusServiceUnavailable
	})
	got := host.get("/read/x", "a1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, env.getStatus("http://"+host.settings.Host.DirectoryAddress+"/-/resolve?Name=x"), http.StatusServiceUnavailable)
}

// TestHostsDiscoverEachOther checks that clients get the addresses of both hosts, and only one when the other host is
// leaving. A stream that runs on the leaving host must be completed.
func TestHostsDiscoverEachOther(t *testing.T) {
	env := newTestEnv(t)
	engine := env.addServer("engine-1", "models")
	engine.EventInterval = 200 * time.Millisecond
	env.shutdownTimeout = 6 * time.Second
	env.publishTable()
	first := env.startHost("host-1", true)
	second := env.startHost("host-2", true, first.settings.Host.PeerAddress)
	addressCount := func() int {
		httpResponse, err := http.Get("http://" + first.settings.Host.DirectoryAddress + "/-/resolve?Name=x")
		assert.NilError(t, err)
		defer func() { _ = httpResponse.Body.Close() }()
		return countAddresses(t, httpResponse)
	}
	env.eventually(func() bool { return addressCount() == 2 })
	responses := make(chan response, 1)
	go func() { responses <- second.sendPrompt("a1", 4000) }()
	env.eventually(func() bool { return len(engine.ExecutedRequests()) == 1 })
	second.stop()
	env.eventually(func() bool { return addressCount() == 1 })
	streamed := <-responses
	assert.NilError(t, streamed.err)
	assert.Equal(t, streamed.body, eventStream(5))
}

// TestDispatcherLost checks that prompts are still served after the host that runs the dispatcher has stopped.
func TestDispatcherLost(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("engine-1", "models")
	env.addServer("engine-2", "models")
	env.publishTable()
	first := env.startHost("host-1", true)
	others := []*testHost{env.startHost("host-2", true, first.settings.Host.PeerAddress), env.startHost("host-3", true, first.settings.Host.PeerAddress)}
	for _, host := range others {
		assert.Equal(t, host.sendPrompt("a1", 4000).body, eventStream(5))
	}
	for _, lost := range others {
		lost.stop()
		assert.Equal(t, first.sendPrompt("a2", 4000).body, eventStream(5))
	}
}

// TestHostsWithoutSeeds checks that hosts without seeds in their settings discover each other through the store.
func TestHostsWithoutSeeds(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("book-1", "books")
	env.publishTable()
	first := env.startHost("host-1", true)
	env.startHost("host-2", true)
	env.eventually(func() bool {
		httpResponse, err := http.Get("http://" + first.settings.Host.DirectoryAddress + "/-/resolve?Name=x")
		assert.NilError(t, err)
		defer func() { _ = httpResponse.Body.Close() }()
		return countAddresses(t, httpResponse) == 2
	})
}

// TestStreamWithoutEngines checks that the events of a service without engines are forwarded as they arrive.
func TestStreamWithoutEngines(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("book-1", "books").EventInterval = 200 * time.Millisecond
	env.routes = append(env.routes, env.newRoute("news", "/news/", "streaming", "books", 1, 5000))
	env.publishTable()
	host := env.startHost("host-1", true)
	httpRequest, err := http.NewRequest(http.MethodGet, "http://"+host.settings.Host.CallerAddress+"/news/x", nil)
	assert.NilError(t, err)
	httpRequest.Host = hostName
	httpRequest.Header.Set("X-Attempt-Id", "a1")
	httpRequest.Header.Set("Api-Key", apiKey)
	httpRequest.Header.Set("X-Token-Count", "1,1")
	httpResponse, err := http.DefaultTransport.RoundTrip(httpRequest)
	assert.NilError(t, err)
	defer func() { _ = httpResponse.Body.Close() }()
	firstPart := make([]byte, 64)
	count, err := httpResponse.Body.Read(firstPart)
	assert.NilError(t, err)
	assert.Equal(t, string(firstPart[:count]), eventStream(1))
	remaining, err := io.ReadAll(httpResponse.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(firstPart[:count])+string(remaining), eventStream(5))
}

// TestShutdownAnswersAllRequests checks that every request that a host has accepted is answered before a graceful
// shutdown ends: a request that still waits for a grant has not run, one that got no response from its engine may have
// run.
func TestShutdownAnswersAllRequests(t *testing.T) {
	env := newTestEnv(t)
	env.shutdownTimeout = 2 * time.Second
	env.engineCapacity = 6_000
	env.addServer("engine-1", "models").SetFault(standin.NeverResponds)
	env.routes[0]["TargetLatencyMs"], env.routes[0]["TimeoutMs"] = 5000, 20_000
	env.publishTable()
	host := env.startHost("host-1", true)
	running, waiting := make(chan response, 1), make(chan response, 1)
	go func() { running <- host.sendPrompt("a1", 5000) }()
	env.eventually(func() bool { return len(env.servers["engine-1"].ExecutedRequests()) == 1 })
	go func() { waiting <- host.sendPrompt("a2", 5000) }()
	time.Sleep(200 * time.Millisecond)
	host.stop()
	result := <-waiting
	assert.NilError(t, result.err)
	assert.Equal(t, result.status, http.StatusServiceUnavailable)
	result = <-running
	assert.NilError(t, result.err)
	assert.Equal(t, result.status, http.StatusBadGateway)
	assert.Equal(t, len(env.servers["engine-1"].ExecutedRequests()), 1)
}
