package e2e

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentCollectorDelaysStop stops a daemon that has spans for a collector which accepts connections and never answers.
// The daemon ends within its grace.
func TestSilentCollectorDelaysStop(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	const grace = 8 * time.Second
	ph := startPlatformHost(t, grace, fmt.Sprintf("[Traces]\nExport = OTLP\nEndpoint = http://%s", listener.Addr()), nil)
	requests := ph.startRequests(time.Second)
	assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGTERM))
	requests.assertWhole()
	select {
	case <-ph.exited:
	case <-time.After(grace):
		t.Fatal("the daemon has not ended within its grace")
	}
}
