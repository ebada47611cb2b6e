package e2e

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// warnings returns the lines of a log at the levels WARN and ERROR.
func warnings(log string) []string {
	var lines []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, "WARN") || strings.Contains(line, "ERROR") {
			lines = append(lines, line)
		}
	}
	return lines
}

// awaitExit waits until a program has ended. The test fails after waitLimit.
func (pr *process) awaitExit(t *testing.T) {
	t.Helper()
	select {
	case <-pr.exited:
	case <-time.After(waitLimit):
		t.Fatal(pr.name + " has not ended")
	}
}

// assertExitCode waits until a program has ended and checks how.
func (pr *process) assertExitCode(t *testing.T, want int) {
	t.Helper()
	pr.awaitExit(t)
	assert.Equal(t, pr.cmd.ProcessState.ExitCode(), want, pr.cmd.ProcessState)
}

// TestCalmStopWritesWarnings stops daemons of both platforms that finish all of their requests. Warnings about a store or
// a peer that is lost would mislead operators.
func TestCalmStopWritesWarnings(t *testing.T) {
	t.Run("users' platform", func(t *testing.T) {
		ph := startPlatformHost(t, 8*time.Second, "", nil)
		requests := ph.startRequests(time.Second)
		assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGTERM))
		requests.assertWhole()
		ph.awaitExit(t)
		assert.Assert(t, strings.Contains(ph.stdout.String(), "host stopped"), ph.stdout.String())
		assert.DeepEqual(t, warnings(ph.stdout.String()), []string(nil))
	})
	t.Run("log service", func(t *testing.T) {
		fl := startFleet(t, fleetConfig{hosts: 2, engines: 1, servers: 1})
		host := fl.hosts[len(fl.hosts)-1]
		fl.signal(host, syscall.SIGTERM)
		host.awaitExit(t)
		assert.DeepEqual(t, warnings(host.stderr.String()), []string(nil))
	})
}
