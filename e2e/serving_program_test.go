package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	protocol "github.com/hibiscuslever/hibiscuslever/protocol/platform"
	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// servingProgram is a program that serves and can be given requests.
type servingProgram struct {
	*process
	// startRequests sends requests that take about a duration and returns when servers run them. The function that it
	// returns waits for the requests and checks that each got its whole answer.
	startRequests func(duration time.Duration) (assertWhole func())
}

// servingPrograms are the programs that serve. Each function starts one, after prepare has changed its command, and
// returns when it is ready.
var servingPrograms = []struct {
	name  string
	start func(t *testing.T, prepare func(*exec.Cmd)) *servingProgram
}{
	{"users' platform", startOnUsersPlatform},
	{"own front", startOwnFront},
	{"demo", startDemo},
}

func startOnUsersPlatform(t *testing.T, prepare func(*exec.Cmd)) *servingProgram {
	t.Helper()
	ph := startPlatformHost(t, 8*time.Second, "", prepare)
	return &servingProgram{process: ph.process, startRequests: func(duration time.Duration) func() {
		return ph.startRequests(duration).assertWhole
	}}
}

// startOwnFront starts a daemon at the product's own front, with its platform and a slow engine.
func startOwnFront(t *testing.T, prepare func(*exec.Cmd)) *servingProgram {
	t.Helper()
	fl := startFrontPlatform(t)
	host := fl.startPreparedHost(prepare, "")
	fl.publishDefaultLists()
	fl.waitUntilReady(host)
	return &servingProgram{process: host, startRequests: func(time.Duration) func() {
		return startStream(t, host.address, "key-acme", 1000)
	}}
}

// startFrontPlatform starts the platform of the product's own front and an engine that takes some seconds for an answer.
func startFrontPlatform(t *testing.T) *fleet {
	t.Helper()
	fl := &fleet{t: t, settingsDir: t.TempDir()}
	fl.platform = fl.startProgram("platform", "standin", "platform", "--address", testutil.FreeAddress(t))
	fl.waitForHTTP(fl.platform.address + protocol.HostsPath)
	fl.startEngine("engine-1", "--speed", "0.5")
	return fl
}

// startPreparedHost starts a daemon at the product's own front after prepare has changed its command. moreSettings are
// appended to its settings file.
func (fl *fleet) startPreparedHost(prepare func(*exec.Cmd), moreSettings string) *process {
	fl.t.Helper()
	host := &process{name: "host-1", address: testutil.FreeAddress(fl.t), operatorAddress: testutil.FreeAddress(fl.t)}
	path := filepath.Join(fl.settingsDir, "host-1.ini")
	assert.NilError(fl.t, os.WriteFile(path, fmt.Appendf(nil, "[Host]\nName = host-1\nAvailabilityZone = zone-a\nCallerAddress = %s\nPeerAddress = %s\nOperatorAddress = %s\n"+
		"[Platform]\nURL = %s\n[Callers]\nKeepAddresses = 1s\n%s", host.address, testutil.FreeAddress(fl.t), host.operatorAddress, fl.url(fl.platform), moreSettings), 0o600))
	startServing(fl.t, host, prepare, "hibiscusleverd", "--settings", path)
	fl.hosts = append(fl.hosts, host)
	return host
}

// publishDefaultLists publishes lists with the organisations acme and zenith.
func (fl *fleet) publishDefaultLists() {
	fl.t.Helper()
	fl.publish("Plans", "[Plan crew]\n"+defaultPlan)
	fl.publish("Organisations", organisationList("acme", "zenith"))
}

// startServing starts a program whose standard error, unless prepare changes it, goes to pr.stderr, and kills it at the
// end of the test. If the test has failed, it logs the program's standard error.
func startServing(t testing.TB, pr *process, prepare func(*exec.Cmd), program string, args ...string) {
	t.Helper()
	pr.cmd, pr.exited = exec.Command(filepath.Join(binariesDir, program), args...), make(chan struct{})
	output := &lockedBuffer{}
	pr.cmd.Stderr = output
	if prepare != nil {
		prepare(pr.cmd)
	}
	assert.NilError(t, pr.cmd.Start())
	go func() {
		_ = pr.cmd.Wait()
		close(pr.exited)
	}()
	t.Cleanup(func() {
		_ = pr.cmd.Process.Kill()
		<-pr.exited
		if t.Failed() {
			t.Logf("%s: %s\n%s", pr.name, pr.cmd.ProcessState, output)
		}
	})
}

// startDemo starts the demo, which prints how it is reached as the first line of its standard output.
func startDemo(t *testing.T, prepare func(*exec.Cmd)) *servingProgram {
	t.Helper()
	pr := &process{name: "demo"}
	output, input, err := os.Pipe()
	assert.NilError(t, err)
	startServing(t, pr, func(cmd *exec.Cmd) {
		if prepare != nil {
			prepare(cmd)
		}
		cmd.Stdout = input
	}, "hibiscuslever", "demo", "--serve")
	assert.NilError(t, input.Close())
	t.Cleanup(func() { _ = output.Close() })
	line, err := bufio.NewReader(output).ReadBytes('\n')
	assert.NilError(t, err)
	var info struct{ BaseURL, Key string }
	assert.NilError(t, json.Unmarshal(line, &info))
	pr.address = strings.TrimSuffix(strings.TrimPrefix(info.BaseURL, "http://"), "/v1")
	return &servingProgram{process: pr, startRequests: func(duration time.Duration) func() {
		// The demo's plan limits the tokens a minute.
		promptTokens := 10_000
		if duration >= time.Second {
			promptTokens = 900_000
		}
		return startStream(t, pr.address, info.Key, promptTokens)
	}}
}

// startStream sends a streaming chat request and returns when its first event has arrived.
func startStream(t *testing.T, address, key string, promptTokens int) (assertWhole func()) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(chatRequestBody("question", promptTokens, true)))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	reader := bufio.NewReader(response.Body)
	first, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK, first)
	return func() {
		t.Helper()
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err, "received %q", rest)
		assert.Assert(t, bytes.HasSuffix(bytes.TrimSpace(rest), []byte("data: [DONE]")), "%s", rest)
	}
}
