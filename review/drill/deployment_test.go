//go:build review

package drill

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// Bounds of the users' pages for small deployments.
const (
	contactTime   = 3 * time.Second
	heartbeat     = 1200 * time.Millisecond
	shutdownGrace = 8 * time.Second
)

const (
	hostName = "shop.example"
	apiKey   = "key-of-acme"
)

// deployment is a fleet of daemons with a store, engines and a record of what happened.
type deployment struct {
	dir     string
	began   time.Time
	store   *standin.Store
	daemons []*daemon
	engines []*engine

	// mutex guards the fields below.
	mutex  sync.Mutex
	record io.Writer
	runs   []*executed
}

func newDeployment(dir string, record io.Writer) *deployment {
	return &deployment{dir: dir, began: time.Now(), record: record, store: standin.NewStore()}
}

// note writes a line with the time since the start to the record.
func (dp *deployment) note(format string, args ...any) {
	dp.mutex.Lock()
	defer dp.mutex.Unlock()
	_, _ = fmt.Fprintf(dp.record, "%9.3f  %s\n", time.Since(dp.began).Seconds(), fmt.Sprintf(format, args...))
}

// stop ends all processes that were started.
func (dp *deployment) stop() {
	for _, dm := range dp.daemons {
		dm.end()
	}
	for _, en := range dp.engines {
		en.close()
	}
	dp.store.Close()
}

// daemon runs one target/hibiscusleverd at a time.
type daemon struct {
	deployment *deployment
	name       string
	zone       string
	// front, ready, control and directory are the addresses at which it listens. The other hosts are told announced.
	front, ready, control, directory, announced string
	settingsPath                                string

	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	log     *os.File
	// ending says that the process was told to end.
	ending bool

	// kept carries the requests of requesters that keep their channels.
	kept http.Transport
}

var (
	addressMutex sync.Mutex
	addressTaken = map[int]bool{}
)

// freeAddress returns a loopback address on which nothing listens, and which it has not returned before. Its port is below
// those that the system gives to outgoing channels, and in a range that other runs of this program hardly use.
func freeAddress() string {
	const firstPort, rangePorts, ranges = 12_000, 400, 45
	addressMutex.Lock()
	defer addressMutex.Unlock()
	for {
		port := firstPort + os.Getpid()%ranges*rangePorts + rand.IntN(rangePorts)
		if addressTaken[port] {
			continue
		}
		addressTaken[port] = true
		address := fmt.Sprint("127.0.0.1:", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// addDaemon adds a host in a zone. It is started by startDaemons.
func (dp *deployment) addDaemon(zone string) *daemon {
	dm := &daemon{
		deployment: dp, name: fmt.Sprintf("front-%s-%d", zone, len(dp.daemons)+1), zone: zone,
		front: freeAddress(), ready: freeAddress(), control: freeAddress(), directory: freeAddress(),
	}
	dm.announced = dm.control
	dm.kept.DisableCompression, dm.kept.MaxIdleConnsPerHost = true, 64
	dp.daemons = append(dp.daemons, dm)
	return dm
}

// startDaemons writes the settings of all hosts as deploy/host.ini makes them, starts the hosts, and waits until all are ready.
func (dp *deployment) startDaemons() bool {
	var seeds []string
	for _, dm := range dp.daemons[:min(3, len(dp.daemons))] {
		seeds = append(seeds, dm.announced)
	}
	for _, dm := range dp.daemons {
		announced := ""
		if dm.announced != dm.control {
			announced = "AnnouncedPeerAddress = " + dm.announced + "\n"
		}
		text := fmt.Sprintf(`[Host]
Name = %s
AvailabilityZone = %s
CallerAddress = %s
PeerAddress = %s
%sOperatorAddress = %s
ReadyAddress = %s
DirectoryAddress = %s

[Platform]
Kind = Store
URL = http://%s

[Peers]
Seeds = %s

[Callers]
KeepAddresses = 2s
IdleTimeout = 60s
ReadHeaderTimeout = 5s

[Operators]
ShutdownTimeout = 8s

[Retries]
Share = 0.2
Slack = 200

[Engines]
ColdOverage = 1.5
ColdSlack = 5

[Memory]
FreeWithin = 4000ms
UnusedWithin = 9000ms

[Limits]
MemoryMegabytes = 206
ProcessorShare = 0.272

[Logs]
Format = JSON
Level = Info
`, dm.name, dm.zone, dm.front, dm.control, announced, freeAddress(), dm.ready, dm.directory, dp.store.Address(), strings.Join(seeds, ","))
		dm.settingsPath = filepath.Join(dp.dir, dm.name+".ini")
		if err := os.WriteFile(dm.settingsPath, []byte(text), 0o600); err != nil {
			dp.note("settings of %s: %v", dm.name, err)
			return false
		}
		if !dm.start() {
			return false
		}
	}
	return dp.await("all hosts ready", startTime, dp.allReady)
}

// allReady reports whether all hosts are ready.
func (dp *deployment) allReady() bool {
	return !slices.ContainsFunc(dp.daemons, func(dm *daemon) bool { return !dm.isReady() })
}

// await waits until a condition holds and reports whether it does.
func (dp *deployment) await(what string, limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			dp.note("%s", what)
			return true
		}
	}
	dp.note("not reached in %s: %s", limit, what)
	return false
}

// start starts a process of the daemon.
func (dm *daemon) start() bool {
	dm.mutex.Lock()
	defer dm.mutex.Unlock()
	process := exec.Command("target/hibiscusleverd")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HIBISCUSLEVER_NODE_FILE=" + dm.settingsPath}
	if dm.log == nil {
		dm.log, _ = os.Create(filepath.Join(dm.deployment.logDir(), dm.name+".log"))
	}
	process.Stdout, process.Stderr = dm.log, dm.log
	if err := process.Start(); err != nil {
		dm.deployment.note("%s does not start: %v", dm.name, err)
		return false
	}
	dm.process, dm.exited, dm.ending = process, make(chan struct{}), false
	exited := dm.exited
	go func() {
		err := process.Wait()
		dm.mutex.Lock()
		ending := dm.ending
		dm.mutex.Unlock()
		if !ending {
			dm.deployment.note("%s ended by itself: %v", dm.name, err)
		}
		close(exited)
	}()
	return true
}

// logDir is the folder of the daemons' logs: that of LOGS, or else the temporary one.
func (dp *deployment) logDir() string {
	if dir := os.Getenv("LOGS"); dir != "" {
		return dir
	}
	return dp.dir
}

// signal sends a signal to the process and, if it ends by that, waits for its end.
func (dm *daemon) signal(sig syscall.Signal) {
	dm.mutex.Lock()
	process, exited := dm.process, dm.exited
	ends := sig == syscall.SIGTERM || sig == syscall.SIGKILL
	dm.ending = dm.ending || ends
	dm.mutex.Unlock()
	dm.deployment.note("%s gets %s", dm.name, sig)
	_ = process.Process.Signal(sig)
	if ends {
		<-exited
		dm.deployment.note("%s has ended", dm.name)
	}
}

// end kills the process if it runs.
func (dm *daemon) end() {
	dm.mutex.Lock()
	process, exited := dm.process, dm.exited
	dm.ending = true
	dm.mutex.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
	_ = dm.log.Close()
}

// isReady asks as the platform does.
func (dm *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + dm.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// answer is what a requester saw.
type answer struct {
	status int
	seal   string
	body   string
	err    error
	took   time.Duration
}

func (an answer) String() string {
	if an.err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", an.took.Milliseconds(), an.err)
	}
	return fmt.Sprintf("%d, seal %q, after %d ms: %s", an.status, an.seal, an.took.Milliseconds(), strings.TrimSpace(an.body[:min(len(an.body), 60)]))
}

// request is a requester's attempt.
type request struct {
	method, path, id, body string
	deadline               time.Duration
	header                 map[string]string
	// keeps says that the requester keeps its channel, and uses one that it kept before.
	keeps bool
}

// send sends a request to a host, on a new channel unless the requester keeps channels.
func (dm *daemon) send(rq request) answer {
	began := time.Now()
	transport := &dm.kept
	if !rq.keeps {
		transport = &http.Transport{DisableCompression: true}
		defer transport.CloseIdleConnections()
	}
	client := http.Client{Transport: transport, Timeout: rq.deadline}
	httpRequest, err := http.NewRequest(rq.method, "http://"+dm.front+rq.path, bytes.NewReader([]byte(rq.body)))
	if err != nil {
		return answer{err: err}
	}
	httpRequest.Host = hostName
	httpRequest.Header.Set("X-Attempt-Id", rq.id)
	httpRequest.Header.Set("Api-Key", apiKey)
	httpRequest.Header.Set("X-Deadline-Ms", fmt.Sprint(rq.deadline.Milliseconds()))
	for name, value := range rq.header {
		httpRequest.Header.Set(name, value)
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, seal: response.Header.Get("X-Response-Seal"), body: string(body), err: err, took: time.Since(began)}
}
