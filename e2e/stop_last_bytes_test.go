package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestStopResetsClientThatSendsMore stops a daemon while a server works on an order. The client has a small receive buffer
// and sends parts of its next request before it reads the answer. It receives the whole answer.
func TestStopResetsClientThatSendsMore(t *testing.T) {
	const (
		receiveBuffer = 4 << 10
		segmentSize   = 1460
		// attemptLength makes the answer, which holds the attempt's id, longer than the receive buffer.
		attemptLength = 12 << 10
	)
	ph := startPlatformHost(t, 8*time.Second, "", nil)
	ph.server.WorkDuration = 3 * time.Second
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentSize)
		})
	}}
	conn, err := dialer.Dial("tcp", ph.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	attempt := strings.Repeat("a", attemptLength)
	_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 1\r\n\r\nx", virtualHost, platformKey, attempt)
	assert.NilError(t, err)
	ph.eventually("the server runs the order", func() bool { return len(ph.server.ExecutedRequests()) == 1 })
	_, err = io.WriteString(conn, "GET /read/1 HTTP/1.1\r\nHost: ")
	assert.NilError(t, err)
	assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGTERM))
	// The answer is in the send queue when the client begins to read.
	time.Sleep(ph.server.WorkDuration + time.Second/2)
	_, err = io.WriteString(conn, virtualHost+"\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, receiveBuffer), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err, "after %d bytes", len(body))
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, strings.HasSuffix(string(body), attempt))
	ph.awaitExit(t)
}
