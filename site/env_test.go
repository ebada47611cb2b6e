package site_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/settings"
	"github.com/hibiscuslever/hibiscuslever/site"
	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

const (
	hostName = "shop.example"
	apiKey   = "key-of-acme"
	// waitLimit is how long tests wait for something that should happen soon.
	waitLimit = 20 * time.Second
	// afterTakeover is how long after its first request a dispatcher surely packs requests onto the first engine in the order
	// of names. Before that it spreads them.
	afterTakeover = 1500 * time.Millisecond
	// anyPort is an address at which a host chooses a free port.
	anyPort = "127.0.0.1:0"
)

// testEnv is a stand-in for the platform's store, with the backend servers and hosts that use it.
type testEnv struct {
	t            *testing.T
	store        *standin.Store
	servers      map[string]*standin.Server
	tableVersion int
	routes       []map[string]any
	apiKeys      []string
	// engineCapacity is the memory of an engine in tokens.
	engineCapacity int
	// shutdownTimeout is the time that hosts have to shut down.
	shutdownTimeout time.Duration
	// unreachablePeers makes hosts announce an address at which other hosts can't reach them.
	unreachablePeers bool
	// coldSeconds and coldPerSecond describe the cold servers of all services; zero for none.
	coldSeconds, coldPerSecond float64
	// hostZone is the availability zone of the hosts that are started next.
	hostZone id.AvailabilityZone
	// linkedHosts makes hosts reach servers through links that a test can cut.
	linkedHosts bool
	// limits are the limits in the desired state.
	limits map[string]any
	// callers are the settings of hosts for their clients.
	callers settings.Callers
	// hostsFail says that a part of the hosts fails, so that Run returns an error.
	hostsFail bool
	// hostOptions are the options of hosts in addition to their settings.
	hostOptions []site.Option
}

// newTestEnv returns an environment with a store and the routes chat, read and order, but without servers and hosts.
// The desired state is not in the store before publishTable is called.
func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{t: t, store: standin.NewStore(), servers: map[string]*standin.Server{}, apiKeys: []string{apiKey}, engineCapacity: 300_000, hostZone: "zone-a", shutdownTimeout: 500 * time.Millisecond}
	t.Cleanup(env.store.Close)
	env.limits = map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	env.callers = settings.Default().Callers
	env.callers.KeepAddresses = time.Second
	env.routes = []map[string]any{
		env.newRoute("chat", "/chat/", "streaming", "models", 2, 3000),
		env.newRoute("read", "/read/", "idempotent", "books", 2, 2000),
		env.newRoute("order", "/order/", "non_idempotent", "books", 1, 1500),
	}
	env.routes[0]["Sticky"] = true
	env.routes[0]["Resumable"] = true
	return env
}

// newRoute returns a route of the desired state, in the platform's format.
func (env *testEnv) newRoute(name, prefix, kind, service string, maxAttempts, timeoutMillis int) map[string]any {
	return map[string]any{
		"Name": name, "Host": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeoutMillis, "TargetLatencyMs": 300,
		"Priority": 1, "Service": service, "MaxAttempts": maxAttempts, "Public": false, "Sticky": false, "Resumable": false, "TargetGapMs": 250,
	}
}

// addServer starts a server of a service in zone-a and adds it to the list of servers.
func (env *testEnv) addServer(name, service string) *standin.Server {
	return env.addServerInZone(name, service, "zone-a")
}

// addServerInZone starts a server of a service in an availability zone and adds it to the list of servers.
func (env *testEnv) addServerInZone(name, service, zone string) *standin.Server {
	server := standin.NewServer(name, service, zone)
	env.servers[name] = server
	env.t.Cleanup(server.Close)
	env.store.ListServer(server)
	return server
}

// publishTable writes a desired state with the current routes and the next version to the store.
func (env *testEnv) publishTable() {
	env.tableVersion++
	services := []map[string]any{
		{"Name": "books", "HealthPath": "/healthz", "MaxConnections": 50},
		{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 50, "Engine": map[string]any{
			"Slots": 8, "KvCapacityTokens": env.engineCapacity, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.003,
			"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
		}},
	}
	for _, service := range services {
		if env.coldPerSecond > 0 {
			service["ColdS"], service["ColdPerS"] = env.coldSeconds, env.coldPerSecond
		}
	}
	body, err := json.Marshal(map[string]any{
		"Version":  env.tableVersion,
		"Routes":   env.routes,
		"Services": services,
		"Limits":   env.limits,
		"Tenants":  []map[string]any{{"Name": "acme", "ApiKeys": env.apiKeys}},
	})
	assert.NilError(env.t, err)
	env.store.Put("keyed.op", "config", body)
}

// testHost is a running host.
type testHost struct {
	host     *site.Host
	settings settings.Settings
	stop     context.CancelFunc
	runEnded chan error
	// links are the links to servers, or nil if the host reaches them directly.
	links *standin.Links
}

// startHost starts a host and, if awaitReady is set, waits until it is ready.
func (env *testEnv) startHost(name string, awaitReady bool, seeds ...string) *testHost {
	hostSettings := settings.Default()
	hostSettings.Host = settings.Host{
		Name: id.Host(name), AvailabilityZone: env.hostZone, CallerAddress: anyPort, PeerAddress: anyPort,
		OperatorAddress: anyPort, ReadyAddress: anyPort, DirectoryAddress: anyPort,
	}
	hostSettings.Platform = settings.Platform{URL: "http://" + env.store.Address(), Kind: settings.KindStore}
	hostSettings.Peers.Seeds = seeds
	hostSettings.Callers = env.callers
	if env.unreachablePeers {
		hostSettings.Host.AnnouncedPeerAddress = "127.0.0.1:1"
	}
	hostSettings.Operators.ShutdownTimeout = env.shutdownTimeout
	hostSettings.Retries = settings.Retries{Share: 1, Slack: 100}
	hostOptions := append([]site.Option{site.WithSettings(hostSettings), site.WithSeed(1)}, env.hostOptions...)
	var links *standin.Links
	if env.linkedHosts {
		links = standin.NewLinks()
		hostOptions = append(hostOptions, site.WithDialer(links.Dial))
	}
	siteHost, err := site.New(hostOptions...)
	assert.NilError(env.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	started := &testHost{host: siteHost, settings: siteHost.Settings(), stop: cancel, runEnded: make(chan error, 1), links: links}
	go func() { started.runEnded <- siteHost.Run(ctx) }()
	env.t.Cleanup(func() {
		cancel()
		err := <-started.runEnded
		if !env.hostsFail {
			assert.Check(env.t, err)
		}
	})
	if awaitReady {
		env.eventually(func() bool {
			return env.getStatus("http://"+started.settings.Host.ReadyAddress+"/-/ready") == http.StatusOK
		})
	}
	return started
}

// getStatus returns the status of the response to a GET request, or 0 if there is none.
func (env *testEnv) getStatus(url string) int {
	httpResponse, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = httpResponse.Body.Close()
	return httpResponse.StatusCode
}

// getText returns the body of the response to a GET request, or an empty string if there is none.
func (env *testEnv) getText(url string) string {
	httpResponse, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(httpResponse.Body)
	assert.NilError(env.t, err)
	return string(body)
}

// eventually waits until a condition holds, and fails the test if it does not within waitLimit.
func (env *testEnv) eventually(condition func() bool) {
	env.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	env.t.Fatal("the condition did not become true in time")
}

// response is what a client received. If err is set, it may be incomplete.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// sendRequest sends a client's request and reads the response. The header fields are given as names followed by their
// values.
func (hs *testHost) sendRequest(ctx context.Context, method, path, attemptID, body string, headerFields ...string) response {
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+hs.settings.Host.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	httpRequest.Host = hostName
	httpRequest.Header.Set("X-Attempt-Id", attemptID)
	httpRequest.Header.Set("Api-Key", apiKey)
	httpRequest.Header.Set("X-Deadline-Ms", "15000")
	for ix := 0; ix < len(headerFields); ix += 2 {
		httpRequest.Header.Set(headerFields[ix], headerFields[ix+1])
	}
	httpResponse, err := http.DefaultTransport.RoundTrip(httpRequest)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	content, err := io.ReadAll(httpResponse.Body)
	return response{status: httpResponse.StatusCode, header: httpResponse.Header, body: string(content), err: err}
}

// get sends a GET request.
func (hs *testHost) get(path, attemptID string) response {
	return hs.sendRequest(context.Background(), http.MethodGet, path, attemptID, "")
}

// sendPrompt sends a request to the route chat with a prompt of the given length.
func (hs *testHost) sendPrompt(attemptID string, promptTokens int) response {
	return hs.sendRequest(context.Background(), http.MethodPost, "/chat/x", attemptID, "the prompt", "X-Model", "m", "X-Token-Count", fmt.Sprintf("%d,255", promptTokens))
}

// eventStream returns the text of a complete stream with a number of events.
func eventStream(count int) string {
	var builder strings.Builder
	for index := range count {
		fmt.Fprintf(&builder, "id: %d\ndata: event %d\n\n", index+1, index+1)
	}
	return builder.String()
}

// countAddresses returns the number of addresses in a response of the directory.
func countAddresses(t *testing.T, httpResponse *http.Response) int {
	var directory struct{ Addresses []string }
	assert.NilError(t, json.NewDecoder(httpResponse.Body).Decode(&directory))
	return len(directory.Addresses)
}
