package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

const (
	// virtualHost and platformKey are what requests on the users' platform carry as Host and API key.
	virtualHost = "shop.example"
	platformKey = "key-of-acme"
)

// platformHost is a daemon on the users' platform. The store, one engine and one backend server are stand-ins in the
// test's own process, so that they survive the daemon.
type platformHost struct {
	*process
	t            *testing.T
	readyAddress string
	settingsPath string
	store        *standin.Store
	engine       *standin.Server
	server       *standin.Server
	// stdout is what the daemon wrote to its standard output, unless the test redirected it.
	stdout *lockedBuffer
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mutex   sync.Mutex
	content bytes.Buffer
}

// Write appends to the buffer.
func (lb *lockedBuffer) Write(part []byte) (int, error) {
	lb.mutex.Lock()
	defer lb.mutex.Unlock()
	return lb.content.Write(part)
}

// String returns what has been written so far.
func (lb *lockedBuffer) String() string {
	lb.mutex.Lock()
	defer lb.mutex.Unlock()
	return lb.content.String()
}

// startPlatformHost starts a daemon with a shutdown timeout and waits until it is ready. The function prepare, if it is
// not nil, may change the command before it starts. moreSettings are appended to the settings file.
func startPlatformHost(t *testing.T, grace time.Duration, moreSettings string, prepare func(*exec.Cmd)) *platformHost {
	t.Helper()
	ph := newPlatformHost(t, grace, moreSettings)
	ph.start(prepare)
	ph.eventually("the host is ready", ph.isReady)
	return ph
}

// newPlatformHost starts the stand-ins and writes the settings file. It does not start the daemon.
func newPlatformHost(t *testing.T, grace time.Duration, moreSettings string) *platformHost {
	t.Helper()
	ph := &platformHost{t: t, store: standin.NewStore(), engine: standin.NewServer("engine-1", "models", "zone-a"), server: standin.NewServer("server-1", "books", "zone-a")}
	t.Cleanup(ph.store.Close)
	for _, sv := range []*standin.Server{ph.engine, ph.server} {
		t.Cleanup(sv.Close)
		ph.store.ListServer(sv)
	}
	assert.NilError(t, ph.store.PublishDesiredState(standin.ExampleDesiredState(virtualHost, platformKey)))
	ph.process = &process{name: "host-1", address: testutil.FreeAddress(t), operatorAddress: testutil.FreeAddress(t), stderr: &bytes.Buffer{}, exited: make(chan struct{})}
	ph.readyAddress, ph.settingsPath, ph.stdout = testutil.FreeAddress(t), filepath.Join(t.TempDir(), "host.ini"), &lockedBuffer{}
	assert.NilError(t, os.WriteFile(ph.settingsPath, fmt.Appendf(nil, `[Host]
Name = host-1
AvailabilityZone = zone-a
CallerAddress = %s
PeerAddress = %s
OperatorAddress = %s
ReadyAddress = %s
DirectoryAddress = %s
[Platform]
Kind = Store
URL = http://%s
[Callers]
KeepAddresses = 1s
[Operators]
ShutdownTimeout = %s
%s
`, ph.address, testutil.FreeAddress(t), ph.operatorAddress, ph.readyAddress, testutil.FreeAddress(t), ph.store.Address(), grace, moreSettings), 0o600))
	return ph
}

// start starts the daemon and kills it at the end of the test. If the test has failed, it logs the daemon's output.
func (ph *platformHost) start(prepare func(*exec.Cmd)) {
	ph.t.Helper()
	ph.cmd = exec.Command(filepath.Join(binariesDir, "hibiscusleverd"), "--settings", ph.settingsPath)
	ph.cmd.Stdout, ph.cmd.Stderr = ph.stdout, ph.stderr
	if prepare != nil {
		prepare(ph.cmd)
	}
	assert.NilError(ph.t, ph.cmd.Start())
	go func() {
		_ = ph.cmd.Wait()
		close(ph.exited)
	}()
	ph.t.Cleanup(func() {
		_ = ph.cmd.Process.Kill()
		<-ph.exited
		if ph.t.Failed() {
			ph.t.Logf("%s\n%s\n%s", ph.cmd.ProcessState, ph.stdout, ph.stderr)
		}
	})
}

// eventually polls a condition until it holds. The test fails after waitLimit.
func (ph *platformHost) eventually(condition string, holds func() bool) {
	ph.t.Helper()
	(&fleet{t: ph.t}).eventually(condition, holds)
}

// isReady reports whether the daemon says that it accepts requests.
func (ph *platformHost) isReady() bool {
	response, err := http.Get("http://" + ph.readyAddress + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends a request and returns what the client received. The request is a stream of the engine if its path begins
// with /chat/, and one to the backend server otherwise.
func (ph *platformHost) send(path, attempt string) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+ph.address+path, strings.NewReader("x"))
	if err != nil {
		return callResult{err: err}
	}
	request.Host = virtualHost
	tokenCounts := ""
	if strings.HasPrefix(path, "/chat/") {
		tokenCounts = "1000,100"
	}
	standin.SetRequestHeaders(request.Header, attempt, platformKey, tokenCounts)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// requestsInFlight are a stream and an order that servers have begun to run.
type requestsInFlight struct {
	host    *platformHost
	results chan callResult
	// count is the number of requests.
	count int
}

// startRequests sends a stream and an order that take about a duration, and returns when servers run both.
func (ph *platformHost) startRequests(duration time.Duration) *requestsInFlight {
	ph.t.Helper()
	ph.engine.SetEventInterval(duration / time.Duration(ph.engine.EventCount))
	ph.server.WorkDuration = duration
	streamsBefore, ordersBefore := len(ph.engine.ExecutedRequests()), len(ph.server.ExecutedRequests())
	rf := &requestsInFlight{host: ph, results: make(chan callResult, 2), count: 2}
	go func() { rf.results <- ph.send("/chat/1", fmt.Sprint("stream-", streamsBefore)) }()
	go func() { rf.results <- ph.send("/order/1", fmt.Sprint("order-", ordersBefore)) }()
	ph.eventually("servers run the requests", func() bool {
		return len(ph.engine.ExecutedRequests()) > streamsBefore && len(ph.server.ExecutedRequests()) > ordersBefore
	})
	return rf
}

// assertWhole waits for the requests and checks that each got its whole answer.
func (rf *requestsInFlight) assertWhole() {
	rf.host.t.Helper()
	for range rf.count {
		rs := <-rf.results
		assert.NilError(rf.host.t, rs.err, "received %q", rs.body)
		assert.Equal(rf.host.t, rs.status, http.StatusOK, rs.body)
		assert.Assert(rf.host.t, strings.Contains(rs.body, "answer of server-1") || strings.HasSuffix(rs.body, "data: event 5\n\n"), rs.body)
	}
}
