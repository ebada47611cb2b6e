package e2e

import (
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTraceExportDelaysStop exports spans to where they can't be written. Requests must be served and a stop must end
// the process within its time.
func TestTraceExportDelaysStop(t *testing.T) {
	// The collector accepts connections and never answers.
	collector, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = collector.Close() })
	pipe := filepath.Join(t.TempDir(), "pipe")
	assert.NilError(t, syscall.Mkfifo(pipe, 0o600))
	// The pipe has a reader that reads nothing.
	reader, err := syscall.Open(pipe, syscall.O_RDWR, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = syscall.Close(reader) })
	for _, tc := range []struct{ name, settings string }{
		{"silent collector", fmt.Sprintf("[Traces]\nExport = OTLP\nEndpoint = http://%s\n", collector.Addr())},
		{"full device", "[Traces]\nExport = File\nFile = /dev/full\n"},
		{"pipe that nobody reads", "[Traces]\nExport = File\nFile = " + pipe + "\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const grace = 16 * time.Second
			ph := startPlatformHost(t, grace, tc.settings, nil)
			// The spans of these requests fill a pipe.
			for range 50 {
				ph.startRequests(time.Millisecond).assertWhole()
			}
			requests := ph.startRequests(time.Second)
			signalledAt := time.Now()
			assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGTERM))
			requests.assertWhole()
			ph.assertExitCode(t, 0)
			assert.Assert(t, time.Since(signalledAt) < grace, time.Since(signalledAt))
			t.Log(time.Since(signalledAt))
		})
	}
}
