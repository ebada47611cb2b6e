//go:build review

package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	hostName = "shop.example"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	tenant   = "hule930"

	plainService = "orders-app"
	modelService = "assistant-llm"

	heartbeat = 1200 * time.Millisecond
	contact   = 3 * time.Second
	drainTime = 2 * time.Second
	graceS    = 8
)

// fleet is a small deployment: the platform's store, engines, and daemons as processes.
type fleet struct {
	store   *store
	dir     string
	started time.Time
	trouble bool

	mutex   sync.Mutex
	engines []*engine
	hosts   []*host
	record  *os.File
	version int
	stop    chan struct{}
}

// newFleet returns a deployment without engines and hosts. Cases run in their folder, and TROUBLE=0 leaves out the
// disruption.
func newFleet(t *testing.T) *fleet {
	record, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		t.Log(err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		t.Log(err)
		os.Exit(exitNotRun)
	}
	fl := &fleet{store: newStore(), dir: dir, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: record, stop: make(chan struct{})}
	fl.note("case %s, disruption %t", t.Name(), fl.trouble)
	return fl
}

// note writes a line with the time since the start to the record.
func (fl *fleet) note(format string, args ...any) {
	fl.mutex.Lock()
	defer fl.mutex.Unlock()
	_, _ = fmt.Fprintf(fl.record, "%8.3f s  %s\n", time.Since(fl.started).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends all processes, removes the temporary folder and ends the program with a verdict.
func (fl *fleet) finish(code int, format string, args ...any) {
	fl.note(format, args...)
	fmt.Printf(format+"\n", args...)
	close(fl.stop)
	for _, hs := range fl.hosts {
		hs.kill()
	}
	_ = fl.record.Close()
	_ = os.RemoveAll(fl.dir)
	os.Exit(code)
}

// publish writes the next version of the desired state.
func (fl *fleet) publish(routes []any) {
	fl.version++
	_ = fl.store.PublishDesiredState(map[string]any{
		"Version": fl.version,
		"Routes":  routes,
		"Services": []any{
			map[string]any{"Name": plainService, "HealthPath": "/healthz", "MaxConnections": 96, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": modelService, "HealthPath": "/healthz", "MaxConnections": 388, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 16, "KvCapacityTokens": 315_000, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
				"read_per_s": 177_000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 11094, "answer": 1622}, "HopMs": 0.05,
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15_000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
}

// standardRoutes returns the routes of the deployment's kinds of request.
func standardRoutes() []any {
	stream := func(name, prefix string, aim, gap, timeout int) map[string]any {
		return map[string]any{
			"Name": name, "Host": hostName, "PathPrefix": prefix, "Kind": "streaming", "TimeoutMs": timeout, "TargetLatencyMs": aim, "Priority": 1,
			"Service": modelService, "MaxAttempts": 2, "Public": false, "Sticky": true, "Resumable": true, "TargetGapMs": gap,
		}
	}
	return []any{
		stream("quote-chat", "/quote/", 300, 250, 10_000),
		stream("dossier-read", "/dossier/", 3000, 1000, 15_000),
		map[string]any{
			"Name": "order-confirm", "Host": hostName, "PathPrefix": "/order/", "Kind": "non_idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 2,
			"Service": plainService, "MaxAttempts": 1, "Public": false, "Sticky": false, "Resumable": false,
		},
		map[string]any{
			"Name": "stock-lookup", "Host": hostName, "PathPrefix": "/stock/", "Kind": "idempotent", "TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 2,
			"Service": plainService, "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false,
		},
	}
}

// host is one daemon.
type host struct {
	fleet    *fleet
	name     string
	front    string
	ready    string
	settings string
	process  *exec.Cmd
	exited   chan struct{}
}

// freeAddress returns an address on loopback at which nothing listens, with a port below those of outgoing channels.
func freeAddress() string {
	const firstPort, ports, tries = 12_000, 18_000, 200
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	fmt.Println("no free port")
	os.Exit(exitNotRun)
	return ""
}

var (
	section     = regexp.MustCompile(`\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// render fills in a settings template of the deploy file. It knows values and sections of a single value.
func render(template string, values map[string]string) string {
	template = section.ReplaceAllStringFunc(template, func(match string) string {
		parts := section.FindStringSubmatch(match)
		value, found := values[parts[1]]
		if !found {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(template, func(match string) string {
		return values[strings.Trim(match, "{}")]
	})
}

// startHosts starts a daemon in each of count zones, with the command and the template of the deploy file, and waits
// until all are ready.
func (fl *fleet) startHosts(count int) {
	template, err := os.ReadFile("deploy/host.ini")
	if err != nil {
		fl.finish(exitNotRun, "read the template: %v", err)
	}
	var seeds []string
	type listen struct{ front, ready, control, directory, operator string }
	addresses := make([]listen, count)
	for ix := range addresses {
		addresses[ix] = listen{freeAddress(), freeAddress(), freeAddress(), freeAddress(), freeAddress()}
		seeds = append(seeds, addresses[ix].control)
	}
	for ix, at := range addresses {
		hs := &host{fleet: fl, name: fmt.Sprintf("front-norte-%c-1", 'a'+ix), front: at.front, ready: at.ready}
		operatorIP, operatorPort, _ := net.SplitHostPort(at.operator)
		text := render(string(template), map[string]string{
			"Node": hs.name, "Zone": fmt.Sprintf("norte-%c", 'a'+ix), "Listen.Front": at.front, "Listen.Control": at.control, "Listen.Ready": at.ready,
			"Listen.Directory": at.directory, "Ip": operatorIP, "InternalPorts.0": operatorPort, "Platform.Address": fl.store.Address(),
			"Seeds": strings.Join(seeds, ","), "Bounds.GraceS": fmt.Sprint(graceS), "Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryBudgetSlack": "200",
			"Bounds.FreeMs": "4000", "Bounds.IdleMaxMs": "9000", "Limits.MemoryMb": "206", "Limits.CpuShare": "0.272",
		})
		hs.settings = filepath.Join(fl.dir, hs.name+".ini")
		if err := os.WriteFile(hs.settings, []byte(text), 0o600); err != nil {
			fl.finish(exitNotRun, "write settings: %v", err)
		}
		fl.hosts = append(fl.hosts, hs)
		hs.start()
	}
	for _, hs := range fl.hosts {
		hs.awaitReady()
	}
	fl.note("%d hosts are ready", count)
}

// start starts the process of the host. Its log goes to the file NAME.log of the folder in LOGS, if that is set.
func (hs *host) start() {
	hs.process = exec.Command("target/hibiscusleverd")
	// The daemons end with this program, however it ends.
	hs.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	hs.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HIBISCUSLEVER_NODE_FILE=" + hs.settings}
	if folder := os.Getenv("LOGS"); folder != "" {
		output, err := os.OpenFile(filepath.Join(folder, hs.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err == nil {
			hs.process.Stdout, hs.process.Stderr = output, output
		}
	}
	if err := hs.process.Start(); err != nil {
		hs.fleet.finish(exitNotRun, "start %s: %v", hs.name, err)
	}
	process, exited := hs.process, make(chan struct{})
	hs.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
}

// kill ends the process.
func (hs *host) kill() {
	_ = hs.process.Process.Signal(syscall.SIGKILL)
	<-hs.exited
}

// awaitReady waits until the host says that it is ready.
func (hs *host) awaitReady() {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + hs.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	hs.fleet.finish(exitNotRun, "%s does not become ready", hs.name)
}

// run is a request that an engine began to run.
type run struct {
	attempt string
	path    string
	at      time.Time
}

// engine is a stand-in for an engine or a server of a plain service.
type engine struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	// handle runs a request whose body has been read.
	handle func(en *engine, writer http.ResponseWriter, request *http.Request, body []byte)

	mutex    sync.Mutex
	server   *http.Server
	down     bool
	state    string
	born     int64
	sequence int
	arrivals []run
	runs     []run
}

// addEngine starts an engine, which writes its entry to the store at each heartbeat.
func (fl *fleet) addEngine(name, service, zone string, handle func(*engine, http.ResponseWriter, *http.Request, []byte)) *engine {
	en := &engine{fleet: fl, id: name, service: service, zone: zone, address: freeAddress(), handle: handle}
	fl.engines = append(fl.engines, en)
	en.listen()
	go func() {
		for {
			en.beat()
			select {
			case <-time.After(heartbeat):
			case <-fl.stop:
				return
			}
		}
	}()
	return en
}

// listen starts a boot of the engine.
func (en *engine) listen() {
	listener, err := net.Listen("tcp", en.address)
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(20 * time.Millisecond)
		listener, err = net.Listen("tcp", en.address)
	}
	if err != nil {
		en.fleet.finish(exitNotRun, "engine %s: %v", en.id, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(en.serve), ReadHeaderTimeout: time.Minute}
	en.mutex.Lock()
	en.server, en.down, en.state, en.born, en.sequence = server, false, "ready", time.Now().UnixMilli(), 0
	en.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// beat writes the engine's entry, unless it is down.
func (en *engine) beat() {
	en.mutex.Lock()
	defer en.mutex.Unlock()
	if en.down {
		return
	}
	en.sequence++
	entry, _ := json.Marshal(map[string]any{
		"Service": en.service, "Address": en.address, "Zone": en.zone, "Version": "v1", "Slots": 16, "State": en.state, "ColdRemainingMs": 0,
		"Sequence": en.sequence, "born": en.born, "Stage": "prefill_decode", "Models": []any{map[string]any{"Name": "m", "Version": 1}},
	})
	en.fleet.store.Put("keyed.servers", en.id, entry)
}

// drain reports that the engine leaves. It serves for DrainMs and a little longer, and then exits.
func (en *engine) drain(longer time.Duration) (ack time.Time) {
	en.mutex.Lock()
	en.state = "draining"
	en.mutex.Unlock()
	en.beat()
	ack = time.Now()
	go func() {
		select {
		case <-time.After(drainTime + longer):
		case <-en.fleet.stop:
			return
		}
		en.mutex.Lock()
		en.down = true
		server := en.server
		en.mutex.Unlock()
		en.fleet.store.Put("keyed.servers", en.id, nil)
		en.fleet.note("%s exits", en.id)
		_ = server.Close()
	}()
	return ack
}

// crash ends all channels of the engine. It is back after a time, as a new boot under the same id.
func (en *engine) crash(downtime time.Duration) {
	en.mutex.Lock()
	if en.down {
		en.mutex.Unlock()
		return
	}
	en.down = true
	server := en.server
	en.mutex.Unlock()
	_ = server.Close()
	go func() {
		select {
		case <-time.After(downtime):
			en.listen()
			en.beat()
		case <-en.fleet.stop:
		}
	}()
}

func (en *engine) serve(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/-/report":
		_, _ = fmt.Fprintf(writer, `{"Stage":"prefill_decode","Queued":0,"Running":0,"KvUsed":0,"KvTotal":315000,"Handles":0,"pace":1}`)
		return
	case "/-/order":
		_, _ = fmt.Fprint(writer, `{"Available":315000}`)
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	body, err := readAll(request)
	if err != nil {
		return
	}
	writer.Header().Set("X-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != en.id {
		writer.Header().Set("X-Engine-Id", en.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	en.mutex.Lock()
	en.arrivals = append(en.arrivals, run{attempt, request.RequestURI, time.Now()})
	en.mutex.Unlock()
	en.handle(en, writer, request, body)
}

// began records that the engine began to run a request.
func (en *engine) began(request *http.Request) {
	attempt := request.Header.Get("X-Attempt-Id")
	en.mutex.Lock()
	en.runs = append(en.runs, run{attempt, request.RequestURI, time.Now()})
	en.mutex.Unlock()
	en.fleet.note("%s of %s runs %s %s", en.id, en.service, attempt, request.RequestURI)
}

// answerPlain runs a request to a plain service for 60 ms.
func answerPlain(en *engine, writer http.ResponseWriter, request *http.Request, _ []byte) {
	en.began(request)
	time.Sleep(60 * time.Millisecond)
	body := "answer of " + en.id + " to " + request.Header.Get("X-Attempt-Id")
	writer.Header().Set("X-Response-Seal", en.id+"."+request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = fmt.Fprint(writer, body)
}

// streamEvents answers with a stream of events, the first one after the time that the prompt takes.
func streamEvents(en *engine, writer http.ResponseWriter, request *http.Request, firstEvent time.Duration) {
	select {
	case <-time.After(firstEvent):
	case <-request.Context().Done():
		return
	}
	en.began(request)
	writer.Header().Set("X-Response-Seal", en.id+"."+request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	first := 1
	_, _ = fmt.Sscan(request.Header.Get("Last-Event-Id"), &first)
	if request.Header.Get("Last-Event-Id") != "" {
		first++
	}
	const events, pause = 8, 45 * time.Millisecond
	for number := first; number <= events; number++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: event %d\n\n", number, number); err != nil {
			return
		}
		_ = controller.Flush()
		select {
		case <-time.After(pause):
		case <-request.Context().Done():
			return
		}
	}
}

// answer is what a client got.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

var channels = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// send sends a request to a host and reads the answer. The client leaves when the context ends.
func (fl *fleet) send(ctx context.Context, hs *host, method, attempt, path, tokens string, deadline time.Duration, body []byte) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+hs.front+path, newBody(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = hostName
	request.ContentLength = int64(len(body))
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("Api-Key", apiKey)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if tokens != "" {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Count", tokens)
	}
	response, err := channels.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := readBody(response)
	return answer{response.StatusCode, response.Header.Get("X-Response-Seal"), content, err}
}
