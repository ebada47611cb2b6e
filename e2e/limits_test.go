package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// TestRateLimitSharedByAllHosts sends more requests than an organisation's plan allows, spread over all hosts. The
// hosts together must not serve more than the limit, and must refuse the rest as not run.
func TestRateLimitSharedByAllHosts(t *testing.T) {
	plan := strings.Replace(defaultPlan, "Deadline", "RequestsPerSecond = 5\nDeadline", 1)
	fl := startFleet(t, fleetConfig{hosts: 3, servers: 1, plan: plan})
	const requestCount = 60
	results := make([]callResult, requestCount)
	startedAt := time.Now()
	var group sync.WaitGroup
	for ix := range results {
		group.Go(func() {
			results[ix] = fl.send(http.MethodGet, fl.hosts[ix%3].address, "/v1/services/"+bookingService+"/x", "acme", nil, nil)
		})
	}
	group.Wait()
	elapsed := time.Since(startedAt).Seconds()
	served := 0
	for _, rs := range results {
		assert.NilError(t, rs.err)
		if rs.status == http.StatusOK {
			served++
			continue
		}
		assert.Equal(t, rs.status, http.StatusTooManyRequests, rs.body)
		assert.Assert(t, rs.header.Get("Retry-After") != "")
		assert.Equal(t, rs.header.Get("Request-Outcome"), "not_run")
	}
	// A burst of the requests of one second is allowed. Beyond it, requests are served at the rate of the plan.
	assert.Assert(t, float64(served) <= 5+5*elapsed+1, "%d requests served in %.2f s at 5 a second", served, elapsed)
	assert.Assert(t, served >= 5)
	assert.Assert(t, cmp.Len(fl.requestsRunByServers(), served))
}

// TestNothingConfidentialIsLogged checks that logs, metrics and spans of a host contain no API keys and no text of
// prompts.
func TestNothingConfidentialIsLogged(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 1, engines: 1, engineFlags: []string{"--speed", "20"}})
	spansPath := filepath.Join(fl.settingsDir, "spans.json")
	host := fl.startTracingHost("traced-1", spansPath)
	fl.waitUntilReady(host)
	assert.NilError(t, streamAndVerify(host.address, "acme", "SECRET-PROMPT", 500))
	rejected := fl.send(http.MethodPost, host.address, "/v1/chat/completions", "SECRET-ORG", chatRequestBody("SECRET-PROMPT", 10, false), nil)
	assert.Equal(t, rejected.status, http.StatusUnauthorized)
	response, err := http.Get("http://" + host.operatorAddress + "/metrics")
	assert.NilError(t, err)
	var metrics strings.Builder
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		metrics.WriteString(scanner.Text())
	}
	assert.NilError(t, response.Body.Close())
	fl.signal(host, syscall.SIGTERM)
	<-host.exited
	spans, err := os.ReadFile(spansPath)
	assert.NilError(t, err)
	for _, name := range []string{"caller.request", "dispatch.acquire", "engine.attempt"} {
		assert.Assert(t, strings.Contains(string(spans), name), "no span %q", name)
	}
	for source, output := range map[string]string{"logs": host.stderr.String(), "metrics": metrics.String(), "spans": string(spans)} {
		for _, secret := range []string{"SECRET", "key-acme", "pour the slab"} {
			assert.Assert(t, !strings.Contains(output, secret), "%s contain %q", source, secret)
		}
	}
}

// startTracingHost starts a host that writes its spans to a file. It puts the Traces section into the settings by way
// of a seed that contains it, because startHost has no parameter for further settings.
func (fl *fleet) startTracingHost(name, spansPath string) *process {
	fl.t.Helper()
	savedSeeds := fl.peerSeeds
	fl.peerSeeds = append(fl.peerSeeds[:len(fl.peerSeeds):len(fl.peerSeeds)], fmt.Sprintf("%s\n[Traces]\nExport = File\nFile = %s", fl.peerSeeds[0], spansPath))
	host := fl.startHost(name, "")
	fl.peerSeeds = savedSeeds
	return host
}

// TestInvalidSettingsAndArguments starts the daemon with invalid settings and with an address that is in use, and the
// operators' command with invalid arguments. All must exit with status 2, and the daemon must name the key that is
// wrong, for invalid settings in a single line.
func TestInvalidSettingsAndArguments(t *testing.T) {
	fl := &fleet{t: t, settingsDir: t.TempDir()}
	path := filepath.Join(fl.settingsDir, "host.ini")
	for _, tc := range []struct{ name, text, want string }{
		{"unknown key", "[Host]\nNmae = a\n", `section Host: key "Nmae" does not exist`},
		{"missing key", "[Host]\nName = a\n", "key AvailabilityZone is missing"},
	} {
		assert.NilError(t, os.WriteFile(path, []byte(tc.text), 0o600))
		for _, flags := range [][]string{{"--settings", path}, {"--settings", path, "--check"}} {
			pr := fl.startProgram(tc.name, "hibiscusleverd", flags...)
			<-pr.exited
			assert.Equal(t, pr.cmd.ProcessState.ExitCode(), 2)
			assert.Assert(t, cmp.Contains(pr.stderr.String(), tc.want))
			assert.Equal(t, strings.Count(pr.stderr.String(), "\n"), 1, pr.stderr.String())
		}
	}
	portOwner := fl.startProgram("platform", "standin", "platform", "--address", testutil.FreeAddress(t))
	fl.waitForHTTP(portOwner.address + "/hosts")
	settings := fmt.Sprintf("[Host]\nName = a\nAvailabilityZone = b\nCallerAddress = %s\nPeerAddress = 127.0.0.1:0\nOperatorAddress = 127.0.0.1:0\n[Platform]\nURL = http://127.0.0.1:1\n", portOwner.address)
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	pr := fl.startProgram("port in use", "hibiscusleverd", "--settings", path)
	<-pr.exited
	assert.Equal(t, pr.cmd.ProcessState.ExitCode(), 2)
	assert.Assert(t, cmp.Contains(pr.stderr.String(), "key CallerAddress"))
	for _, args := range [][]string{{"nonsense"}, {"--nonsense"}, {"show"}, {"show", "Other"}} {
		pr := fl.startProgram("invalid arguments", "hibiscuslever", args...)
		<-pr.exited
		assert.Equal(t, pr.cmd.ProcessState.ExitCode(), 2, strings.Join(args, " "))
	}
}
