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

	"github.com/hibiscuslever/hibiscuslever/checks"
	engineprotocol "github.com/hibiscuslever/hibiscuslever/protocol/engine"
	"github.com/hibiscuslever/hibiscuslever/protocol/openai"
	operatorprotocol "github.com/hibiscuslever/hibiscuslever/protocol/operator"
	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/standin/fault"
	"github.com/hibiscuslever/hibiscuslever/standin/service"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

const (
	model   = "lever-8b"
	booking = "bookings-app"
	// waitLimit ends a test that hangs; no check depends on it.
	waitLimit = 60 * time.Second
)

// binaries is the folder that TestMain builds the programs into.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(checks.WithBuiltPrograms(func(dir string) int {
		binaries = dir
		return m.Run()
	}, "../cmd/hibiscusleverd", "../cmd/hibiscuslever", "../cmd/standin"))
}

// process is one program that a test has started.
type process struct {
	name    string
	address string
	// operator is the operators' address of an entry host.
	operator string
	cmd      *exec.Cmd
	exited   chan struct{}
	log      *bytes.Buffer
}

// fleet is a set of programs that a test has started.
type fleet struct {
	t        testing.TB
	dir      string
	platform *process
	engines  []*process
	servers  []*process
	hosts    []*process
	seeds    []string
}

type fleetConfig struct {
	hosts, engines, servers int
	platformFlags           []string
	engineFlags             []string
	plan                    string
	keepAddresses           string
}

const defaultPlan = "Models = " + model + "\nServices = " + booking + "\nLongestPrompt = 2000000\nDeadline = 30s\n"

// startFleet starts the programs and publishes lists with the organisations acme and zenith.
func startFleet(t testing.TB, config fleetConfig) *fleet {
	t.Helper()
	fl := &fleet{t: t, dir: t.TempDir()}
	fl.platform = fl.start("platform", "standin", append([]string{"platform", "--address", checks.FreeAddress(t)}, config.platformFlags...)...)
	fl.waitHTTP(fl.platform.address + protocol.HostsPath)
	for ix := range config.engines {
		fl.startEngine(fmt.Sprintf("engine-%d", ix+1), config.engineFlags...)
	}
	for ix := range config.servers {
		name := fmt.Sprintf("server-%d", ix+1)
		sv := fl.start(name, "standin", "service", "--name", name, "--address", checks.FreeAddress(t), "--platform", fl.url(fl.platform), "--service", booking)
		fl.waitHTTP(sv.address + "/standin/ledger")
		fl.servers = append(fl.servers, sv)
	}
	for ix := range config.hosts {
		fl.startHost(fmt.Sprintf("accra-%c-1", 'a'+ix%3)+strings.Repeat("x", ix/3), config.keepAddresses)
	}
	plan := config.plan
	if plan == "" {
		plan = defaultPlan
	}
	fl.publish(lists.Plans, "[Plan crew]\n"+plan)
	fl.publish(lists.Organisations, organisations("acme", "zenith"))
	for _, host := range fl.hosts {
		fl.waitReady(host)
	}
	return fl
}

func organisations(names ...string) string {
	var sb strings.Builder
	for _, name := range names {
		sum := sha256.Sum256([]byte("key-" + name))
		fmt.Fprintf(&sb, "[Organisation %s]\nPlan = crew\nKeySHA256 = %s\n", name, hex.EncodeToString(sum[:]))
	}
	return sb.String()
}

func (fl *fleet) url(pr *process) string {
	return "http://" + pr.address
}

// start runs a program and ends it with the test.
func (fl *fleet) start(name, program string, args ...string) *process {
	fl.t.Helper()
	pr := &process{name: name, cmd: exec.Command(filepath.Join(binaries, program), args...), exited: make(chan struct{}), log: &bytes.Buffer{}}
	for ix, arg := range args {
		if arg == "--address" {
			pr.address = args[ix+1]
		}
	}
	pr.cmd.Stderr = pr.log
	assert.NilError(fl.t, pr.cmd.Start())
	go func() {
		_ = pr.cmd.Wait()
		close(pr.exited)
	}()
	fl.t.Cleanup(func() {
		metrics := pr.metrics(fl.t.Failed())
		_ = pr.cmd.Process.Kill()
		<-pr.exited
		if fl.t.Failed() {
			fl.t.Logf("%s:\n%s%s", name, pr.log, metrics)
		}
	})
	return pr
}

// metrics returns the counters of an entry host, for the log of a test that has failed.
func (pr *process) metrics(failed bool) string {
	if !failed || pr.operator == "" {
		return ""
	}
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + pr.operator + operatorprotocol.MetricsPath)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return err.Error()
	}
	var counters strings.Builder
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "hibiscuslever_") && !strings.Contains(line, "_bucket") {
			counters.WriteString(line)
		}
	}
	return counters.String()
}

func (fl *fleet) startEngine(name string, flags ...string) *process {
	fl.t.Helper()
	args := []string{"engine", "--name", name, "--address", checks.FreeAddress(fl.t), "--platform", fl.url(fl.platform), "--models", model, "--load-lag", "100ms"}
	en := fl.start(name, "standin", append(args, flags...)...)
	fl.waitHTTP(en.address + "/standin/held")
	fl.engines = append(fl.engines, en)
	return en
}

func (fl *fleet) startHost(name, keepAddresses string) *process {
	fl.t.Helper()
	if keepAddresses == "" {
		keepAddresses = "1s"
	}
	callers, peers, operators := checks.FreeAddress(fl.t), checks.FreeAddress(fl.t), checks.FreeAddress(fl.t)
	zone, _, _ := strings.Cut(name, "-1")
	text := fmt.Sprintf("[Host]\nName = %s\nAvailabilityZone = %s\nCallerAddress = %s\nPeerAddress = %s\nOperatorAddress = %s\n"+
		"[Platform]\nURL = %s\n[Peers]\nSeeds = %s\n[Callers]\nKeepAddresses = %s\n",
		name, zone, callers, peers, operators, fl.url(fl.platform), strings.Join(fl.seeds, ","), keepAddresses)
	path := filepath.Join(fl.dir, name+".ini")
	assert.NilError(fl.t, os.WriteFile(path, []byte(text), 0o600))
	host := fl.start(name, "hibiscusleverd", "--settings", path)
	host.address = callers
	host.operator = operators
	fl.hosts = append(fl.hosts, host)
	fl.seeds = append(fl.seeds, peers)
	fl.waitHTTP(operators + operatorprotocol.HealthPath)
	return host
}

// eventually polls a condition until it holds; the limit only ends a test that hangs.
func (fl *fleet) eventually(what string, done func() bool) {
	fl.t.Helper()
	poll.WaitOn(fl.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(waitLimit), poll.WithDelay(20*time.Millisecond))
}

func (fl *fleet) waitHTTP(target string) {
	fl.t.Helper()
	fl.eventually(target+" answers", func() bool {
		answer, err := http.Get("http://" + target)
		if err != nil {
			return false
		}
		return answer.Body.Close() == nil
	})
}

// waitReady waits until a host serves callers, knows every other host and has both lists.
func (fl *fleet) waitReady(host *process) {
	fl.t.Helper()
	fl.eventually(host.name+" is ready", func() bool {
		status, err := operator.NewClient("http://" + host.operator).Status(context.Background())
		return err == nil && status.NotReady == "" && len(status.Hosts) >= len(fl.hosts) && status.Revisions[1].Revision > 0
	})
}

func (fl *fleet) publish(list lists.Name, text string) operatorprotocol.PublishResponse {
	fl.t.Helper()
	var answer operatorprotocol.PublishResponse
	client := operator.NewClient("http://" + fl.hosts[0].operator)
	fl.eventually("publish list "+string(list), func() bool {
		shown, err := client.Show(context.Background(), list)
		if err != nil {
			return false
		}
		answer, err = client.Publish(context.Background(), list, operatorprotocol.PublishRequest{Base: shown.Revision, Text: text, Operator: "test"})
		return err == nil
	})
	assert.Equal(fl.t, answer.Problem, "")
	return answer
}

// kill ends a program without warning.
func (fl *fleet) kill(pr *process) {
	_ = pr.cmd.Process.Kill()
	<-pr.exited
}

// signal sends a signal to a program.
func (fl *fleet) signal(pr *process, sig syscall.Signal) {
	fl.t.Helper()
	assert.NilError(fl.t, pr.cmd.Process.Signal(sig))
}

func (fl *fleet) fault(pr *process, ft fault.Fault) {
	fl.t.Helper()
	body, err := json.Marshal(ft)
	assert.NilError(fl.t, err)
	fl.put(pr, fault.Path, body)
}

func (fl *fleet) put(pr *process, path string, body []byte) {
	fl.t.Helper()
	rq, err := http.NewRequest(http.MethodPut, fl.url(pr)+path, bytes.NewReader(body))
	assert.NilError(fl.t, err)
	answer, err := http.DefaultClient.Do(rq)
	assert.NilError(fl.t, err)
	assert.NilError(fl.t, answer.Body.Close())
	assert.Assert(fl.t, answer.StatusCode < http.StatusMultipleChoices)
}

func (fl *fleet) getJSON(pr *process, path string, target any) {
	fl.t.Helper()
	answer, err := http.Get(fl.url(pr) + path)
	assert.NilError(fl.t, err)
	defer func() { _ = answer.Body.Close() }()
	assert.NilError(fl.t, json.NewDecoder(answer.Body).Decode(target))
}

// ran returns what all backend servers ran.
func (fl *fleet) ran() []service.LedgerEntry {
	fl.t.Helper()
	var all []service.LedgerEntry
	for _, sv := range fl.servers {
		var ledger []service.LedgerEntry
		fl.getJSON(sv, "/standin/ledger", &ledger)
		all = append(all, ledger...)
	}
	return all
}

// addresses asks a host which addresses callers may use.
func (fl *fleet) addresses(host *process) []string {
	fl.t.Helper()
	var answer openai.Addresses
	fl.getJSON(host, "/v1/addresses", &answer)
	return answer.Addresses
}

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	elapsed time.Duration
}

func (fl *fleet) send(method, address, path, org string, body []byte, header map[string]string) answer {
	rq, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	rq.Header.Set("Authorization", "Bearer key-"+org)
	rq.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		rq.Header.Set(name, value)
	}
	started := time.Now()
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	return answer{status: rs.StatusCode, header: rs.Header, body: string(text), err: err, elapsed: time.Since(started)}
}

func chatBody(text string, tokens int, stream bool) []byte {
	const bytesPerToken = 4
	content := text + strings.Repeat(" pour the slab and cure it", max(0, tokens*bytesPerToken-len(text)-100)/26)
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

func readFull(reader io.ReadCloser, body []byte) (int, error) {
	defer func() { _ = reader.Close() }()
	return io.ReadFull(reader, body)
}

// held returns what holds memory of an engine; an engine that is down holds nothing.
func (fl *fleet) held(en *process) []engineprotocol.MemoryHolder {
	answer, err := http.Get(fl.url(en) + "/standin/held")
	if err != nil {
		return nil
	}
	defer func() { _ = answer.Body.Close() }()
	var held engineprotocol.AttemptList
	assert.NilError(fl.t, json.NewDecoder(answer.Body).Decode(&held))
	return held.Attempts
}
