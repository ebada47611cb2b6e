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
	key      = "key-of-acme"
	// patience bounds waits for what is to happen soon.
	patience = 20 * time.Second
	// anyPort has a host choose a free port.
	anyPort = "127.0.0.1:0"
)

// world is a store, servers and hosts.
type world struct {
	t       *testing.T
	store   *standin.Store
	servers map[string]*standin.Server
	version int
	routes  []map[string]any
	keys    []string
	// capacity is the memory of an engine in tokens, shutdown the time that hosts have to stop.
	capacity int
	shutdown time.Duration
	// cutOff has hosts announce an address at which the others can't reach them.
	cutOff bool
	// options are those of hosts beside their settings.
	options []site.Option
}

func newWorld(t *testing.T) *world {
	wd := &world{t: t, store: standin.NewStore(), servers: map[string]*standin.Server{}, keys: []string{key}, capacity: 300_000, shutdown: 500 * time.Millisecond}
	t.Cleanup(wd.store.Close)
	wd.routes = []map[string]any{
		wd.route("chat", "/chat/", "streaming", "models", 2, 3000),
		wd.route("read", "/read/", "idempotent", "books", 2, 2000),
		wd.route("order", "/order/", "non_idempotent", "books", 1, 1500),
	}
	wd.routes[0]["Sticky"] = true
	wd.routes[0]["Resumable"] = true
	return wd
}

func (wd *world) route(name, prefix, kind, service string, attempts, timeout int) map[string]any {
	return map[string]any{
		"Name": name, "Host": hostName, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": 300,
		"Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false, "TargetGapMs": 250,
	}
}

// server starts a server and lists it.
func (wd *world) server(name, service string) *standin.Server {
	sv := standin.NewServer(name, service, "zone-a")
	wd.servers[name] = sv
	wd.t.Cleanup(sv.Close)
	wd.store.ListServer(sv)
	return sv
}

// publish puts a new desired state into the store.
func (wd *world) publish() {
	wd.version++
	body, err := json.Marshal(map[string]any{
		"Version": wd.version,
		"Routes":  wd.routes,
		"Services": []map[string]any{
			{"Name": "books", "HealthPath": "/healthz", "MaxConnections": 50},
			{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 50, "Engine": map[string]any{
				"Slots": 8, "KvCapacityTokens": wd.capacity, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.003,
				"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "acme", "ApiKeys": wd.keys}},
	})
	assert.NilError(wd.t, err)
	wd.store.Put("keyed.op", "config", body)
}

// host is a running host.
type host struct {
	settings settings.Settings
	stop     context.CancelFunc
	ended    chan error
}

// host starts a host and, if asked to, waits until it is ready.
func (wd *world) host(name string, ready bool, seeds ...string) *host {
	st := settings.Default()
	st.Host = settings.Host{
		Name: id.Host(name), AvailabilityZone: "zone-a", CallerAddress: anyPort, PeerAddress: anyPort,
		OperatorAddress: anyPort, ReadyAddress: anyPort, DirectoryAddress: anyPort,
	}
	st.Platform = settings.Platform{URL: "http://" + wd.store.Address(), Kind: settings.KindStore}
	st.Peers.Seeds = seeds
	st.Callers.KeepAddresses = time.Second
	if wd.cutOff {
		st.Host.AnnouncedPeerAddress = "127.0.0.1:1"
	}
	st.Operators.ShutdownTimeout = wd.shutdown
	st.Retries = settings.Retries{Share: 1, Slack: 100}
	ht, err := site.New(append([]site.Option{site.WithSettings(st), site.WithSeed(1)}, wd.options...)...)
	assert.NilError(wd.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	hs := &host{settings: ht.Settings(), stop: cancel, ended: make(chan error, 1)}
	go func() { hs.ended <- ht.Run(ctx) }()
	wd.t.Cleanup(func() {
		cancel()
		<-hs.ended
	})
	if ready {
		wd.eventually(func() bool { return wd.status("http://"+hs.settings.Host.ReadyAddress+"/-/ready") == http.StatusOK })
	}
	return hs
}

func (wd *world) status(url string) int {
	rs, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = rs.Body.Close()
	return rs.StatusCode
}

func (wd *world) text(url string) string {
	rs, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer func() { _ = rs.Body.Close() }()
	read, err := io.ReadAll(rs.Body)
	assert.NilError(wd.t, err)
	return string(read)
}

func (wd *world) eventually(holds func() bool) {
	wd.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	wd.t.Fatal("it did not come to hold")
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request of a client and reads the whole answer.
func (hs *host) call(ctx context.Context, method, path, attempt, body string, header ...string) answer {
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+hs.settings.Host.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	rq.Host = hostName
	rq.Header.Set("X-Attempt-Id", attempt)
	rq.Header.Set("Api-Key", key)
	rq.Header.Set("X-Deadline-Ms", "15000")
	for ix := 0; ix < len(header); ix += 2 {
		rq.Header.Set(header[ix], header[ix+1])
	}
	rs, err := http.DefaultTransport.RoundTrip(rq)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = rs.Body.Close() }()
	read, err := io.ReadAll(rs.Body)
	return answer{status: rs.StatusCode, header: rs.Header, body: string(read), err: err}
}

func (hs *host) get(path, attempt string) answer {
	return hs.call(context.Background(), http.MethodGet, path, attempt, "")
}

func (hs *host) chat(attempt string, prompt int) answer {
	return hs.call(context.Background(), http.MethodPost, "/chat/x", attempt, "the prompt", "X-Model", "m", "X-Token-Count", fmt.Sprintf("%d,255", prompt))
}

// events returns the text of a whole stream.
func events(count int) string {
	var sb strings.Builder
	for number := range count {
		fmt.Fprintf(&sb, "id: %d\ndata: event %d\n\n", number+1, number+1)
	}
	return sb.String()
}

func countAddresses(t *testing.T, rs *http.Response) int {
	var known struct{ Addresses []string }
	assert.NilError(t, json.NewDecoder(rs.Body).Decode(&known))
	return len(known.Addresses)
}
