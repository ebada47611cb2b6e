package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// signalRow is a row of the table of signals in docs/OPERATIONS.md.
type signalRow struct {
	signal syscall.Signal
	// whileServing and whileStopping are the signal's effects.
	whileServing, whileStopping signalEffect
	// onDemo is the effect on a demo that serves, if it differs from whileServing.
	onDemo signalEffect
}

// signalEffect is what a signal does to a program that serves.
type signalEffect int

const (
	// noEffect means that the program goes on with what it does.
	noEffect signalEffect = iota
	// stops means that the program finishes its requests and exits with 0.
	stops
	// endsAtOnce means that the program exits with 2 and prints the stacks of its goroutines.
	endsAtOnce
)

var signalTable = []signalRow{
	{signal: syscall.SIGTERM, whileServing: stops},
	{signal: syscall.SIGINT, whileServing: stops},
	{signal: syscall.SIGHUP, onDemo: stops},
	{signal: syscall.SIGPIPE},
	{signal: syscall.SIGUSR1},
	{signal: syscall.SIGUSR2},
	{signal: syscall.SIGALRM},
	{signal: syscall.SIGVTALRM},
	{signal: syscall.SIGPROF},
	{signal: syscall.SIGXCPU},
	{signal: syscall.SIGXFSZ},
	{signal: syscall.SIGIO},
	{signal: syscall.SIGPWR},
	{signal: syscall.SIGCHLD},
	{signal: syscall.SIGURG},
	{signal: syscall.SIGWINCH},
	// A suspended process goes on with SIGCONT.
	{signal: syscall.SIGTSTP},
	{signal: syscall.SIGTTIN},
	{signal: syscall.SIGTTOU},
	{signal: syscall.SIGCONT},
	{signal: syscall.SIGQUIT, whileServing: endsAtOnce, whileStopping: endsAtOnce},
	{signal: syscall.SIGABRT, whileServing: endsAtOnce, whileStopping: endsAtOnce},
}

// effectOn returns the effect of the signal on a program that serves and is not stopping.
func (sr signalRow) effectOn(program string) signalEffect {
	if program == "demo" && sr.onDemo != noEffect {
		return sr.onDemo
	}
	return sr.whileServing
}

// send sends the signal, and then SIGCONT, because the signal may have suspended the program.
func (sr signalRow) send(t *testing.T, sp *servingProgram) {
	t.Helper()
	const suspendedTime = 10 * time.Millisecond
	assert.NilError(t, sp.cmd.Process.Signal(sr.signal))
	time.Sleep(suspendedTime)
	_ = sp.cmd.Process.Signal(syscall.SIGCONT)
}

// TestSignalsWithoutEffectCutRequests sends each signal that has no effect to a program with requests in flight, and all
// signals that have none during a stop while it stops.
func TestSignalsWithoutEffectCutRequests(t *testing.T) {
	for _, program := range servingPrograms {
		t.Run(program.name, func(t *testing.T) {
			t.Parallel()
			sp := program.start(t, nil)
			for _, row := range signalTable {
				if row.effectOn(program.name) == noEffect {
					assertWhole := sp.startRequests(300 * time.Millisecond)
					row.send(t, sp)
					assertWhole()
				}
			}
			assertWhole := sp.startRequests(3 * time.Second)
			assert.NilError(t, sp.cmd.Process.Signal(syscall.SIGTERM))
			for _, row := range signalTable {
				if row.whileStopping == noEffect {
					row.send(t, sp)
				}
			}
			assertWhole()
			sp.assertExitCode(t, 0)
		})
	}
}

// TestSignalsThatStopOrEnd sends each signal that stops or ends a program to one with requests in flight.
func TestSignalsThatStopOrEnd(t *testing.T) {
	for _, program := range servingPrograms {
		for _, row := range signalTable {
			effect := row.effectOn(program.name)
			if effect == noEffect {
				continue
			}
			t.Run(fmt.Sprintf("%s/%s", program.name, unix.SignalName(row.signal)), func(t *testing.T) {
				t.Parallel()
				output := &lockedBuffer{}
				sp := program.start(t, func(cmd *exec.Cmd) { cmd.Stdout, cmd.Stderr = output, output })
				assertWhole := sp.startRequests(time.Second)
				row.send(t, sp)
				if effect == stops {
					assertWhole()
					sp.assertExitCode(t, 0)
					assert.Assert(t, program.name == "demo" || strings.Contains(output.String(), "cause="+unix.SignalName(row.signal)), "%s", output)
					return
				}
				sp.assertExitCode(t, 2)
				assert.Assert(t, strings.Contains(output.String(), "goroutine 1 "), "%s", output)
			})
		}
	}
}

// TestIgnoredSignalsLeaveNoLine repeats signals that have no effect. The log must name each, in a few lines.
func TestIgnoredSignalsLeaveNoLine(t *testing.T) {
	for _, program := range servingPrograms[:2] {
		t.Run(program.name, func(t *testing.T) {
			output := &lockedBuffer{}
			sp := program.start(t, func(cmd *exec.Cmd) { cmd.Stdout, cmd.Stderr = output, output })
			assertWhole := sp.startRequests(time.Second)
			repeated := []syscall.Signal{syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGTERM, syscall.SIGINT}
			assert.NilError(t, sp.cmd.Process.Signal(syscall.SIGTERM))
			const repeats = 20
			for range repeats {
				for _, sig := range repeated {
					assert.NilError(t, sp.cmd.Process.Signal(sig))
					time.Sleep(time.Millisecond)
				}
			}
			assertWhole()
			sp.assertExitCode(t, 0)
			for _, sig := range repeated {
				lines := strings.Count(output.String(), `msg="signal ignored" host=host-1 signal=`+unix.SignalName(sig)+" ")
				assert.Assert(t, lines > 0 && lines < repeats, "%s: %d\n%s", sig, lines, output)
			}
		})
	}
}

// TestTerminationWhileReadingSettings sends SIGTERM to daemons that read their settings from a pipe that nobody writes to.
func TestTerminationWhileReadingSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	daemon := &process{name: "daemon"}
	startServing(t, daemon, nil, "hibiscusleverd", "--settings", path)
	// Opening the pipe for writing blocks until the daemon opens it to read its settings.
	settingsPipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = settingsPipe.Close() })
	assert.NilError(t, daemon.cmd.Process.Signal(syscall.SIGTERM))
	daemon.assertExitCode(t, 0)
}

// TestTerminationBeforeReady sends SIGTERM to daemons whose platform does not answer.
func TestTerminationBeforeReady(t *testing.T) {
	for _, tc := range []struct {
		name  string
		start func(t *testing.T) *process
	}{
		{"users' platform", func(t *testing.T) *process {
			ph := newPlatformHost(t, 8*time.Second, "")
			ph.store.Close()
			ph.start(nil)
			return ph.process
		}},
		{"own front", func(t *testing.T) *process {
			fl := startFrontPlatform(t)
			fl.kill(fl.platform)
			return fl.startPreparedHost(nil, "")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pr := tc.start(t)
			(&fleet{t: t}).waitForHTTP(pr.operatorAddress + "/healthz")
			signalledAt := time.Now()
			assert.NilError(t, pr.cmd.Process.Signal(syscall.SIGTERM))
			pr.assertExitCode(t, 0)
			t.Log(time.Since(signalledAt))
		})
	}
}

// TestTerminationAtTheEndChangesExitCode sends SIGTERM until the process has ended.
func TestTerminationAtTheEndChangesExitCode(t *testing.T) {
	for _, program := range servingPrograms {
		t.Run(program.name, func(t *testing.T) {
			sp := program.start(t, nil)
			assertWhole := sp.startRequests(time.Second)
			assert.NilError(t, sp.cmd.Process.Signal(syscall.SIGTERM))
			assertWhole()
			for ended := false; !ended; {
				_ = sp.cmd.Process.Signal(syscall.SIGTERM)
				select {
				case <-sp.exited:
					ended = true
				case <-time.After(100 * time.Microsecond):
				}
			}
			sp.assertExitCode(t, 0)
		})
	}
}

// TestHangupDuringStopDisturbsIt reloads settings with another shutdown timeout during a stop.
func TestHangupDuringStopDisturbsIt(t *testing.T) {
	for _, tc := range []struct {
		name    string
		timeout string
	}{{"longer", "1h"}, {"none", "0s"}, {"not a duration", "soon"}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ph := startPlatformHost(t, 8*time.Second, "", nil)
			requests := ph.startRequests(3 * time.Second)
			assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGTERM))
			ph.eventually("the host is leaving", func() bool { return strings.Contains(ph.stdout.String(), "host is leaving") })
			content, err := os.ReadFile(ph.settingsPath)
			assert.NilError(t, err)
			content = []byte(strings.Replace(string(content), "ShutdownTimeout = 8s", "ShutdownTimeout = "+tc.timeout, 1))
			assert.NilError(t, os.WriteFile(ph.settingsPath, content, 0o600))
			assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGHUP))
			ph.eventually("the settings are read", func() bool {
				return strings.Contains(ph.stdout.String(), "settings reloaded") || strings.Contains(ph.stdout.String(), "settings not reloaded")
			})
			requests.assertWhole()
			ph.assertExitCode(t, 0)
		})
	}
}
