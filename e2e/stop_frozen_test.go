package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFreezeDuringStopCutsRequests freezes a stopping daemon until after the time at which it has to end. The client of a
// request that the daemon can't finish still gets an answer, instead of a closed connection.
func TestFreezeDuringStopCutsRequests(t *testing.T) {
	const grace = 4 * time.Second
	ph := startPlatformHost(t, grace, "", nil)
	ph.server.WorkDuration = waitLimit
	received := make(chan callResult, 1)
	go func() { received <- ph.send("/order/1", "order-1") }()
	ph.eventually("the server runs the order", func() bool { return len(ph.server.ExecutedRequests()) == 1 })
	assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(grace / 2)
	assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(grace / 2)
	assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGCONT))
	got := <-received
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusBadGateway)
	ph.awaitExit(t)
}
