package e2e

import (
	"syscall"
	"testing"
	"time"
)

// TestRepeatedTerminationCutsRequests signals a daemon that is shutting down once more. A SIGTERM that a service manager
// repeats must not end it before its requests.
func TestRepeatedTerminationCutsRequests(t *testing.T) {
	ph := startPlatformHost(t, 8*time.Second, "", nil)
	requests := ph.startRequests(2 * time.Second)
	for range 3 {
		_ = ph.cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(400 * time.Millisecond)
	}
	requests.assertWhole()
}
