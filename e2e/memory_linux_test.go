package e2e

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// peakMegabytes returns the most resident memory that a program has had.
func peakMegabytes(t *testing.T, pr *process) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.cmd.Process.Pid))
	assert.NilError(t, err)
	_, peak, found := strings.Cut(string(status), "VmHWM:")
	assert.Assert(t, found)
	var kilobytes float64
	_, err = fmt.Sscan(peak, &kilobytes)
	assert.NilError(t, err)
	return kilobytes / 1024
}

// TestManyShortBodiesExceedMemory has many clients send orders with bodies that are just too short to count as long ones,
// to a server that takes its time. The daemon must stay within its memory, and each order must be answered or refused.
func TestManyShortBodiesExceedMemory(t *testing.T) {
	const memoryMegabytes, clients, bodyBytes = 206, 2000, 60_000
	ph := startPlatformHost(t, 8*time.Second, fmt.Sprintf("[Limits]\nMemoryMegabytes = %d\n", memoryMegabytes), nil)
	ph.server.WorkDuration = 5 * time.Second
	body := strings.Repeat("b", bodyBytes)
	answers := make(chan error, clients)
	for number := range clients {
		conn, err := net.Dial("tcp", ph.address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Attempt-Id: a%d\r\nContent-Length: %d\r\n\r\n%s", virtualHost, platformKey, number, bodyBytes, body)
			first := make([]byte, 1)
			_, err := io.ReadFull(conn, first)
			answers <- err
		}()
	}
	for range clients {
		assert.NilError(t, <-answers)
	}
	peak := peakMegabytes(t, ph.process)
	t.Logf("peak %.0f MB", peak)
	assert.Assert(t, peak < memoryMegabytes, "%.0f MB", peak)
}
