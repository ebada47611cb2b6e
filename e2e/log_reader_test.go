package e2e

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/testutil"
)

// redirectLog lets both outputs of a program go to a file.
func redirectLog(out *os.File) func(*exec.Cmd) {
	return func(cmd *exec.Cmd) { cmd.Stdout, cmd.Stderr = out, out }
}

// TestLogReaderEndCutsRequests closes the other end of a program's outputs while requests are in flight. The program
// must not end with SIGPIPE, and a stop must still be orderly.
func TestLogReaderEndCutsRequests(t *testing.T) {
	for _, program := range servingPrograms {
		t.Run(program.name, func(t *testing.T) {
			reader, writer, err := os.Pipe()
			assert.NilError(t, err)
			sp := program.start(t, redirectLog(writer))
			assert.NilError(t, writer.Close())
			assertWhole := sp.startRequests(2 * time.Second)
			assert.NilError(t, reader.Close())
			assertWhole()
			assertWhole = sp.startRequests(2 * time.Second)
			assert.NilError(t, sp.cmd.Process.Signal(syscall.SIGTERM))
			assertWhole()
			sp.assertExitCode(t, 0)
		})
	}
}

// TestStalledLogReaderHoldsUpRequests fills the pipe that takes a program's outputs and reads nothing from it.
func TestStalledLogReaderHoldsUpRequests(t *testing.T) {
	for _, program := range servingPrograms {
		t.Run(program.name, func(t *testing.T) {
			reader, writer, err := os.Pipe()
			assert.NilError(t, err)
			t.Cleanup(func() { _ = reader.Close() })
			fillPipe(t, writer)
			sp := program.start(t, redirectLog(writer))
			assert.NilError(t, writer.Close())
			assertWhole := sp.startRequests(2 * time.Second)
			assertWhole()
			assertWhole = sp.startRequests(2 * time.Second)
			assert.NilError(t, sp.cmd.Process.Signal(syscall.SIGTERM))
			assertWhole()
			sp.assertExitCode(t, 0)
		})
	}
}

// TestLogReaderReturns closes the reading end of the named pipe that takes a daemon's lines, and opens it again after
// many requests. Meanwhile the lines must be counted as dropped and nothing may grow; afterwards the daemon must say how
// many were dropped and go on writing lines.
func TestLogReaderReturns(t *testing.T) {
	for _, program := range servingPrograms[:2] {
		t.Run(program.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "log")
			assert.NilError(t, syscall.Mkfifo(path, 0o600))
			// Without a reader, opening a named pipe for writing would block.
			reader, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
			assert.NilError(t, err)
			writer, err := os.OpenFile(path, os.O_WRONLY, 0)
			assert.NilError(t, err)
			sp := program.start(t, redirectLog(writer))
			assert.NilError(t, writer.Close())
			assert.NilError(t, reader.Close())
			eventually := (&fleet{t: t}).eventually
			// The lines at the end of a request that a server has run are written a second after the reader's end at most.
			sp.startRequests(time.Millisecond)()
			eventually("lines are counted as dropped", func() bool { return sp.droppedLogLines(t) > 0 })
			before := sp.resources(t)
			const requests, maxGrowthKB, maxNewThreads = 300, 64 << 10, 32
			for range requests {
				response, err := http.Get("http://" + sp.address + "/nowhere")
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
			}
			after := sp.resources(t)
			assert.Assert(t, after.memoryKB-before.memoryKB < maxGrowthKB, "%v, then %v", before, after)
			assert.Assert(t, after.threads-before.threads < maxNewThreads, "%v, then %v", before, after)
			reader, err = os.Open(path)
			assert.NilError(t, err)
			t.Cleanup(func() { _ = reader.Close() })
			lines := bufio.NewScanner(reader)
			scanTo(t, lines, "log lines dropped")
			t.Log(lines.Text(), before, after)
			sp.startRequests(time.Millisecond)()
			assert.NilError(t, sp.cmd.Process.Signal(syscall.SIGTERM))
			scanTo(t, lines, "host is leaving")
			sp.assertExitCode(t, 0)
		})
	}
}

// scanTo reads lines up to one that contains a text.
func scanTo(t *testing.T, lines *bufio.Scanner, text string) {
	t.Helper()
	for !strings.Contains(lines.Text(), text) {
		assert.Assert(t, lines.Scan(), "no line with %q: %v", text, lines.Err())
	}
}

// droppedLogLines returns the value of the metric log_lines_dropped of a daemon.
func (pr *process) droppedLogLines(t *testing.T) int {
	t.Helper()
	for line := range strings.Lines(pr.metricsIfFailed(true)) {
		if value, found := strings.CutPrefix(line, "hibiscuslever_log_lines_dropped "); found {
			count, err := strconv.Atoi(strings.TrimSpace(value))
			assert.NilError(t, err)
			return count
		}
	}
	return 0
}

// processResources are the resident memory and the number of threads of a process.
type processResources struct{ memoryKB, threads int }

func (pr *process) resources(t *testing.T) processResources {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.cmd.Process.Pid))
	assert.NilError(t, err)
	var rs processResources
	for line := range strings.Lines(string(status)) {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &rs.memoryKB)
		_, _ = fmt.Sscanf(line, "Threads: %d", &rs.threads)
	}
	return rs
}

// TestPrintingCommandOutlivesReader runs commands that only print, with an output whose reader has gone. They must end as
// users expect of a command in a pipeline.
func TestPrintingCommandOutlivesReader(t *testing.T) {
	for _, args := range [][]string{{"completion", "bash"}, {"version"}, {"demo"}} {
		t.Run(strings.Join(args, " "), func(t *testing.T) {
			reader, writer, err := os.Pipe()
			assert.NilError(t, err)
			assert.NilError(t, reader.Close())
			pr := &process{name: "hibiscuslever"}
			startServing(t, pr, func(cmd *exec.Cmd) { cmd.Stdout = writer }, "hibiscuslever", args...)
			assert.NilError(t, writer.Close())
			<-pr.exited
			status, ok := pr.cmd.ProcessState.Sys().(syscall.WaitStatus)
			assert.Assert(t, ok && status.Signaled() && status.Signal() == syscall.SIGPIPE, pr.cmd.ProcessState)
		})
	}
}

// TestStalledLogReaderKeepsFailedProcess starts programs that fail, with outputs that nobody reads. They must end, since a
// manager can start them again only then.
func TestStalledLogReaderKeepsFailedProcess(t *testing.T) {
	for _, tc := range []struct {
		name         string
		args         []string
		wantExitCode int
	}{
		{"hibiscusleverd", []string{"--settings", "/nonexistent"}, 2},
		{"hibiscuslever", []string{"status", "--host", "http://" + testutil.FreeAddress(t)}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			reader, writer, err := os.Pipe()
			assert.NilError(t, err)
			t.Cleanup(func() { _ = reader.Close() })
			fillPipe(t, writer)
			pr := &process{name: tc.name}
			startServing(t, pr, redirectLog(writer), tc.name, tc.args...)
			assert.NilError(t, writer.Close())
			select {
			case <-pr.exited:
			case <-time.After(waitLimit):
				t.Fatal("the process does not end")
			}
			assert.Equal(t, pr.cmd.ProcessState.ExitCode(), tc.wantExitCode, pr.cmd.ProcessState)
		})
	}
}

// fillPipe writes to a pipe until it takes nothing more.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	descriptor := int(writer.Fd())
	assert.NilError(t, syscall.SetNonblock(descriptor, true))
	for _, size := range []int{4096, 1} {
		for {
			if _, err := syscall.Write(descriptor, make([]byte, size)); err != nil {
				assert.ErrorIs(t, err, syscall.EAGAIN)
				break
			}
		}
	}
	assert.NilError(t, syscall.SetNonblock(descriptor, false))
}
