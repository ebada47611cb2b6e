// Package e2e tests entry hosts as separate processes, together with stand-ins of the platform, the engines and the
// backend servers, under crashes, freezes, lost responses and planned stops.
package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	engineprotocol "github.com/hibiscuslever/hibiscuslever/protocol/engine"
	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	operatorprotocol "github.com/hibiscuslever/hibiscuslever/protocol/operator"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/standin/fault"
	"github.com/hibiscuslever/hibiscuslever/standin/service"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

const (
	model          = "lever-8b"
	bookingService = "bookings-app"
	// waitLimit ends a test that hangs. No check depends on it.
	waitLimit = 60 * time.Second
)

// binariesDir is the folder that TestMain builds the programs into.
var binariesDir string

func TestMain(m *testing.M) {
	os.Exit(testutil.WithBuiltPrograms(func(dir string) int {
		binariesDir = dir
		return m.Run()
	}, "../cmd/hibiscusleverd", "../cmd/hibiscuslever", "../cmd/standin"))
}

// process is a program that a test has started.
type process struct {
	name string
	// address is the IP:port on which the program listens; for an entry host, that for callers.
	address string
	// operatorAddress is the IP:port for operators of an entry host; empty for other programs.
	operatorAddress string
	cmd             *exec.Cmd
	// exited is closed when the program has ended.
	exited chan struct{}
	stderr *bytes.Buffer
}

// fleet is the set of programs that a test has started: the platform, engines, backend servers and entry hosts.
type fleet struct {
	t           testing.TB
	settingsDir string
	platform    *process
	engines     []*process
	servers     []*process
	hosts       []*process
	// peerSeeds contains the peer addresses of the hosts, which the next host gets as seeds.
	peerSeeds []string
}

// fleetConfig describes the programs that startFleet starts.
type fleetConfig struct {
	// hosts, engines and servers are the numbers of entry hosts, engines and backend servers.
	hosts, engines, servers int
	platformFlags           []string
	engineFlags             []string
	// plan is the body of the plan of all organisations; empty for defaultPlan.
	plan string
	// keepAddresses is the KeepAddresses setting of the hosts; empty for 1s.
	keepAddresses string
}

const defaultPlan = "Models = " + model + "\nServices = " + bookingService + "\nLongestPrompt = 2000000\nDeadline = 30s\n"

// startFleet starts the programs, publishes lists with the organisations acme and zenith, and waits until all hosts are
// ready.
func startFleet(t testing.TB, config fleetConfig) *fleet {
	t.Helper()
	fl := &fleet{t: t, settingsDir: t.TempDir()}
	fl.platform = fl.startProgram("platform", "standin", append([]string{"platform", "--address", testutil.FreeAddress(t)}, config.platformFlags...)...)
	fl.waitForHTTP(fl.platform.address + protocol.HostsPath)
	for ix := range config.engines {
		fl.startEngine(fmt.Sprintf("engine-%d", ix+1), config.engineFlags...)
	}
	for ix := range config.servers {
		name := fmt.Sprintf("server-%d", ix+1)
		sv := fl.startProgram(name, "standin", "service", "--name", name, "--address", testutil.FreeAddress(t), "--platform", fl.url(fl.platform), "--service", bookingService)
		fl.waitForHTTP(sv.address + "/standin/ledger")
		fl.servers = append(fl.servers, sv)
	}
	// The hosts are spread over three availability zones; appended letters keep the names within a zone distinct.
	for ix := range config.hosts {
		fl.startHost(fmt.Sprintf("accra-%c-1", 'a'+ix%3)+strings.Repeat("x", ix/3), config.keepAddresses)
	}
	plan := config.plan
	if plan == "" {
		plan = defaultPlan
	}
	fl.publish(lists.Plans, "[Plan crew]\n"+plan)
	fl.publish(lists.Organisations, organisationList("acme", "zenith"))
	for _, host := range fl.hosts {
		fl.waitUntilReady(host)
	}
	return fl
}

// organisationList returns the text of the list of organisations. The API key of an organisation is "key-" and its
// name.
func organisationList(names ...string) string {
	var sb strings.Builder
	for _, name := range names {
		sum := sha256.Sum256([]byte("key-" + name))
		fmt.Fprintf(&sb, "[Organisation %s]\nPlan = crew\nKeySHA256 = %s\n", name, hex.EncodeToString(sum[:]))
	}
	return sb.String()
}

// url returns the base URL of a program.
func (fl *fleet) url(pr *process) string {
	return "http://" + pr.address
}

// startProgram starts a program and kills it at the end of the test. If the test has failed, it logs the program's
// stderr, and the metrics of an entry host.
func (fl *fleet) startProgram(name, program string, args ...string) *process {
	fl.t.Helper()
	pr := &process{name: name, cmd: exec.Command(filepath.Join(binariesDir, program), args...), exited: make(chan struct{}), stderr: &bytes.Buffer{}}
	for ix, arg := range args {
		if arg == "--address" {
			pr.address = args[ix+1]
		}
	}
	pr.cmd.Stderr = pr.stderr
	assert.NilError(fl.t, pr.cmd.Start())
	go func() {
		_ = pr.cmd.Wait()
		close(pr.exited)
	}()
	fl.t.Cleanup(func() {
		metrics := pr.metricsIfFailed(fl.t.Failed())
		_ = pr.cmd.Process.Kill()
		<-pr.exited
		if fl.t.Failed() {
			fl.t.Logf("%s:\n%s%s", name, pr.stderr, metrics)
		}
	})
	return pr
}

// metricsIfFailed returns the metrics of an entry host, without the buckets of histograms, for the log of a failed
// test. It returns nothing for other programs, and if the test has not failed.
func (pr *process) metricsIfFailed(failed bool) string {
	if !failed || pr.operatorAddress == "" {
		return ""
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + pr.operatorAddress + operatorprotocol.MetricsPath)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	var metrics strings.Builder
	for line := range strings.Lines(string(body)) {
		if strings.HasPrefix(line, "hibiscuslever_") && !strings.Contains(line, "_bucket") {
			metrics.WriteString(line)
		}
	}
	return metrics.String()
}

// startEngine starts a stand-in engine, waits until it answers, and adds it to the fleet.
func (fl *fleet) startEngine(name string, flags ...string) *process {
	fl.t.Helper()
	args := []string{"engine", "--name", name, "--address", testutil.FreeAddress(fl.t), "--platform", fl.url(fl.platform), "--models", model, "--load-lag", "100ms"}
	en := fl.startProgram(name, "standin", append(args, flags...)...)
	fl.waitForHTTP(en.address + "/standin/held")
	fl.engines = append(fl.engines, en)
	return en
}

// startHost starts an entry host, waits until it answers operators, and adds it to the fleet and to the seeds. Its
// availability zone is the part of the name before "-1", or the whole name if it does not contain that.
func (fl *fleet) startHost(name, keepAddresses string) *process {
	fl.t.Helper()
	if keepAddresses == "" {
		keepAddresses = "1s"
	}
	callerAddress, peerAddress, operatorAddress := testutil.FreeAddress(fl.t), testutil.FreeAddress(fl.t), testutil.FreeAddress(fl.t)
	zone, _, _ := strings.Cut(name, "-1")
	settings := fmt.Sprintf("[Host]\nName = %s\nAvailabilityZone = %s\nCallerAddress = %s\nPeerAddress = %s\nOperatorAddress = %s\n"+
		"[Platform]\nURL = %s\n[Peers]\nSeeds = %s\n[Callers]\nKeepAddresses = %s\n",
		name, zone, callerAddress, peerAddress, operatorAddress, fl.url(fl.platform), strings.Join(fl.peerSeeds, ","), keepAddresses)
	path := filepath.Join(fl.settingsDir, name+".ini")
	assert.NilError(fl.t, os.WriteFile(path, []byte(settings), 0o600))
	host := fl.startProgram(name, "hibiscusleverd", "--settings", path)
	host.address = callerAddress
	host.operatorAddress = operatorAddress
	fl.hosts = append(fl.hosts, host)
	fl.peerSeeds = append(fl.peerSeeds, peerAddress)
	fl.waitForHTTP(operatorAddress + operatorprotocol.HealthPath)
	return host
}

// eventually polls a condition until it holds. The test fails after waitLimit.
func (fl *fleet) eventually(condition string, holds func() bool) {
	fl.t.Helper()
	poll.WaitOn(fl.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(20*time.Millisecond))
}

// waitForHTTP waits until an HTTP server answers at target, an IP:port and path, with any status.
func (fl *fleet) waitForHTTP(target string) {
	fl.t.Helper()
	fl.eventually(target+" answers", func() bool {
		response, err := http.Get("http://" + target)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	})
}

// waitUntilReady waits until a host serves callers, knows every other host and has a published list of organisations,
// and thereby also the list of plans, which is published first.
func (fl *fleet) waitUntilReady(host *process) {
	fl.t.Helper()
	fl.eventually(host.name+" is ready", func() bool {
		status, err := operator.NewClient("http://" + host.operatorAddress).Status(context.Background())
		return err == nil && status.NotReady == "" && len(status.Hosts) >= len(fl.hosts) && status.Revisions[1].Revision > 0
	})
}

// publish publishes a list at the first host, and retries until the host accepts the call. The test fails if the text
// is rejected.
func (fl *fleet) publish(list lists.Name, text string) operatorprotocol.PublishResponse {
	fl.t.Helper()
	var published operatorprotocol.PublishResponse
	client := operator.NewClient("http://" + fl.hosts[0].operatorAddress)
	fl.eventually("publish list "+string(list), func() bool {
		shown, err := client.Show(context.Background(), list)
		if err != nil {
			return false
		}
		published, err = client.Publish(context.Background(), list, operatorprotocol.PublishRequest{Base: shown.Revision, Text: text, Operator: "test"})
		return err == nil
	})
	assert.Equal(fl.t, published.Problem, "")
	return published
}

// kill ends a program with SIGKILL and waits for its end.
func (fl *fleet) kill(pr *process) {
	_ = pr.cmd.Process.Kill()
	<-pr.exited
}

func (fl *fleet) signal(pr *process, sig syscall.Signal) {
	fl.t.Helper()
	assert.NilError(fl.t, pr.cmd.Process.Signal(sig))
}

// setFault makes a stand-in fail in the given way.
func (fl *fleet) setFault(pr *process, ft fault.Fault) {
	fl.t.Helper()
	body, err := json.Marshal(ft)
	assert.NilError(fl.t, err)
	fl.put(pr, fault.Path, body)
}

// put sends a PUT request to a stand-in, which must succeed.
func (fl *fleet) put(pr *process, path string, body []byte) {
	fl.t.Helper()
	rq, err := http.NewRequest(http.MethodPut, fl.url(pr)+path, bytes.NewReader(body))
	assert.NilError(fl.t, err)
	response, err := http.DefaultClient.Do(rq)
	assert.NilError(fl.t, err)
	assert.NilError(fl.t, response.Body.Close())
	assert.Assert(fl.t, response.StatusCode < http.StatusMultipleChoices)
}

// getJSON gets a path of a program and decodes the response into target.
func (fl *fleet) getJSON(pr *process, path string, target any) {
	fl.t.Helper()
	response, err := http.Get(fl.url(pr) + path)
	assert.NilError(fl.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(fl.t, json.NewDecoder(response.Body).Decode(target))
}

// requestsRunByServers returns the requests that all backend servers have run, from their ledgers.
func (fl *fleet) requestsRunByServers() []service.LedgerEntry {
	fl.t.Helper()
	var ran []service.LedgerEntry
	for _, sv := range fl.servers {
		var ledger []service.LedgerEntry
		fl.getJSON(sv, "/standin/ledger", &ledger)
		ran = append(ran, ledger...)
	}
	return ran
}

// callerAddresses asks a host for the addresses that callers may use.
func (fl *fleet) callerAddresses(host *process) []string {
	fl.t.Helper()
	var response openai.Addresses
	fl.getJSON(host, "/v1/addresses", &response)
	return response.Addresses
}

// callResult is the response that a caller received, or the error of the call.
type callResult struct {
	status  int
	header  http.Header
	body    string
	err     error
	elapsed time.Duration
}

// send sends a request to a host with the API key of an organisation and reads the response.
func (fl *fleet) send(method, address, path, org string, body []byte, header map[string]string) callResult {
	rq, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	rq.Header.Set("Authorization", "Bearer key-"+org)
	rq.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		rq.Header.Set(name, value)
	}
	startedAt := time.Now()
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = rs.Body.Close() }()
	responseBody, err := io.ReadAll(rs.Body)
	return callResult{status: rs.StatusCode, header: rs.Header, body: string(responseBody), err: err, elapsed: time.Since(startedAt)}
}

// chatRequestBody returns the body of a chat request whose prompt starts with promptStart. It is filled up so that the
// whole body, with about 100 bytes of JSON, has about promptTokens tokens. The text that fills it up has 26 bytes.
func chatRequestBody(promptStart string, promptTokens int, stream bool) []byte {
	const bytesPerToken = 4
	content := promptStart + strings.Repeat(" pour the slab and cure it", max(0, promptTokens*bytesPerToken-len(promptStart)-100)/26)
	body, err := json.Marshal(struct {
		Model    id.Model         `json:"model"`
		Stream   bool             `json:"stream"`
		Messages []openai.Message `json:"messages"`
	}{model, stream, []openai.Message{{Role: "user", Content: content}}})
	if err != nil {
		panic(err)
	}
	return body
}

// readAndClose fills body from the reader and closes the reader.
func readAndClose(reader io.ReadCloser, body []byte) (int, error) {
	defer func() { _ = reader.Close() }()
	return io.ReadFull(reader, body)
}

// heldAttempts returns the attempts that hold memory of an engine, or none if the engine is down.
func (fl *fleet) heldAttempts(en *process) []engineprotocol.MemoryHolder {
	response, err := http.Get(fl.url(en) + "/standin/held")
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var held engineprotocol.AttemptList
	assert.NilError(fl.t, json.NewDecoder(response.Body).Decode(&held))
	return held.Attempts
}
