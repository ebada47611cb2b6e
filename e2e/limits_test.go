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

	"github.com/hibiscuslever/hibiscuslever/checks"
)

// TestRateLimitSharedByAllHosts sends more than an organisation may send, spread over all hosts.
func TestRateLimitSharedByAllHosts(t *testing.T) {
	plan := strings.Replace(defaultPlan, "Deadline", "RequestsPerSecond = 5\nDeadline", 1)
	fl := startFleet(t, fleetConfig{hosts: 3, servers: 1, plan: plan})
	const requests = 60
	answers := make([]answer, requests)
	started := time.Now()
	var group sync.WaitGroup
	for ix := range answers {
		group.Go(func() {
			answers[ix] = fl.send(http.MethodGet, fl.hosts[ix%3].address, "/v1/services/"+booking+"/x", "acme", nil, nil)
		})
	}
	group.Wait()
	elapsed := time.Since(started).Seconds()
	served := 0
	for _, rs := range answers {
		assert.NilError(t, rs.err)
		if rs.status == http.StatusOK {
			served++
			continue
		}
		assert.Equal(t, rs.status, http.StatusTooManyRequests, rs.body)
		assert.Assert(t, rs.header.Get("Retry-After") != "")
		assert.Equal(t, rs.header.Get("Request-Outcome"), "not_run")
	}
	// The burst is one second's worth; what was allowed beyond it came in at the rate.
	assert.Assert(t, float64(served) <= 5+5*elapsed+1, "%d requests served in %.2f s at 5 a second", served, elapsed)
	assert.Assert(t, served >= 5)
	assert.Assert(t, cmp.Len(fl.ran(), served))
}

// TestNothingConfidentialIsLogged looks for keys, prompts and answers in logs, metrics and spans.
func TestNothingConfidentialIsLogged(t *testing.T) {
	fl := startFleet(t, fleetConfig{hosts: 1, engines: 1, engineFlags: []string{"--speed", "20"}})
	traces := filepath.Join(fl.dir, "spans.json")
	host := fl.startTracing("traced-1", traces)
	fl.waitReady(host)
	assert.NilError(t, askStream(host.address, "acme", "SECRET-PROMPT", 500))
	bad := fl.send(http.MethodPost, host.address, "/v1/chat/completions", "SECRET-ORG", chatBody("SECRET-PROMPT", 10, false), nil)
	assert.Equal(t, bad.status, http.StatusUnauthorized)
	answer, err := http.Get("http://" + host.operator + "/metrics")
	assert.NilError(t, err)
	var metrics strings.Builder
	scanner := bufio.NewScanner(answer.Body)
	for scanner.Scan() {
		metrics.WriteString(scanner.Text())
	}
	assert.NilError(t, answer.Body.Close())
	fl.signal(host, syscall.SIGTERM)
	<-host.exited
	spans, err := os.ReadFile(traces)
	assert.NilError(t, err)
	for _, name := range []string{"caller.request", "dispatch.acquire", "engine.attempt"} {
		assert.Assert(t, strings.Contains(string(spans), name), "no span %q", name)
	}
	for where, text := range map[string]string{"logs": host.log.String(), "metrics": metrics.String(), "spans": string(spans)} {
		for _, secret := range []string{"SECRET", "key-acme", "pour the slab"} {
			assert.Assert(t, !strings.Contains(text, secret), "%s contain %q", where, secret)
		}
	}
}

// startTracing starts a host that writes its spans to a file.
func (fl *fleet) startTracing(name, path string) *process {
	fl.t.Helper()
	seeds := fl.seeds
	fl.seeds = append(fl.seeds[:len(fl.seeds):len(fl.seeds)], fmt.Sprintf("%s\n[Traces]\nExport = File\nFile = %s", fl.seeds[0], path))
	host := fl.startHost(name, "")
	fl.seeds = seeds
	return host
}

// TestInvalidSettingsAndArguments starts the daemon with settings that are wrong.
func TestInvalidSettingsAndArguments(t *testing.T) {
	fl := &fleet{t: t, dir: t.TempDir()}
	path := filepath.Join(fl.dir, "host.ini")
	for _, tc := range []struct{ name, text, want string }{
		{"unknown key", "[Host]\nNmae = a\n", `section Host: key "Nmae" does not exist`},
		{"missing key", "[Host]\nName = a\n", "key AvailabilityZone is missing"},
	} {
		assert.NilError(t, os.WriteFile(path, []byte(tc.text), 0o600))
		for _, flags := range [][]string{{"--settings", path}, {"--settings", path, "--check"}} {
			pr := fl.start(tc.name, "hibiscusleverd", flags...)
			<-pr.exited
			assert.Equal(t, pr.cmd.ProcessState.ExitCode(), 2)
			assert.Assert(t, cmp.Contains(pr.log.String(), tc.want))
			assert.Equal(t, strings.Count(pr.log.String(), "\n"), 1, pr.log.String())
		}
	}
	taken := fl.start("platform", "standin", "platform", "--address", checks.FreeAddress(t))
	fl.waitHTTP(taken.address + "/hosts")
	text := fmt.Sprintf("[Host]\nName = a\nAvailabilityZone = b\nCallerAddress = %s\nPeerAddress = 127.0.0.1:0\nOperatorAddress = 127.0.0.1:0\n[Platform]\nURL = http://127.0.0.1:1\n", taken.address)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	pr := fl.start("port in use", "hibiscusleverd", "--settings", path)
	<-pr.exited
	assert.Equal(t, pr.cmd.ProcessState.ExitCode(), 2)
	assert.Assert(t, cmp.Contains(pr.log.String(), "key CallerAddress"))
	for _, args := range [][]string{{"nonsense"}, {"--nonsense"}, {"show"}, {"show", "Other"}} {
		pr := fl.start("bad usage", "hibiscuslever", args...)
		<-pr.exited
		assert.Equal(t, pr.cmd.ProcessState.ExitCode(), 2, strings.Join(args, " "))
	}
}
