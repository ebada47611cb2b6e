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

	"gotest.tools/v3/assert"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// dialSlowReader opens a connection to an address whose client has hardly any room for what it does not read.
func dialSlowReader(t *testing.T, address string) net.Conn {
	t.Helper()
	const receiveBytes = 4 << 10
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		})
		if err != nil {
			return err
		}
		return controlErr
	}}
	conn, err := dialer.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// startSlowReaderHost starts a host with little memory whose servers take many requests and send long answers.
func startSlowReaderHost(t *testing.T, maxConnections, answerBytes, eventCount int) *platformHost {
	t.Helper()
	ph := newPlatformHost(t, 8*time.Second, "[Callers]\n"+crowdSettings())
	state := standin.ExampleDesiredState(virtualHost, platformKey)
	for _, service := range state["Services"].([]any) {
		service.(map[string]any)["MaxConnections"] = maxConnections
	}
	assert.NilError(t, ph.store.PublishDesiredState(state))
	ph.server.AnswerBytes, ph.engine.AnswerBytes, ph.engine.EventCount = answerBytes, answerBytes, eventCount
	ph.start(nil)
	ph.eventually("the host is ready", ph.isReady)
	return ph
}

// assertServedBeside checks that the host lives within its memory and answers one client that reads.
func (ph *platformHost) assertServedBeside(path string) {
	ph.t.Helper()
	conn, err := net.Dial("tcp", ph.address)
	assert.NilError(ph.t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(ph.t, conn.SetDeadline(time.Now().Add(waitLimit)))
	sendGet(conn, path, "ordinary")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(ph.t, err)
	length, err := io.Copy(io.Discard, response.Body)
	assert.NilError(ph.t, err)
	peak := peakMegabytes(ph.t, ph.process)
	ph.t.Logf("peak %.0f MB; status %d, %d bytes", peak, response.StatusCode, length)
	assert.Equal(ph.t, response.StatusCode, http.StatusOK)
	assert.Check(ph.t, peak < crowdMemoryMegabytes, "%.0f MB", peak)
}

// sendGet sends a request without a body. One whose path begins with /chat/ is for a stream.
func sendGet(wr io.Writer, path, attempt string) {
	tokenCounts := ""
	if strings.HasPrefix(path, "/chat/") {
		tokenCounts = "X-Model: m\r\nX-Token-Count: 1000,100\r\n"
	}
	_, _ = fmt.Fprintf(wr, "GET %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 60000\r\n%s\r\n", path, virtualHost, platformKey, attempt, tokenCounts)
}

// TestClientsThatReadNoAnswers has many clients send requests whose answers are long and read nothing.
func TestClientsThatReadNoAnswers(t *testing.T) {
	const clients, answerBytes = 300, 4 << 20
	ph := startSlowReaderHost(t, 2*clients, answerBytes, 1)
	for number := range clients {
		sendGet(dialSlowReader(t, ph.address), "/read/1", fmt.Sprint("slow-", number))
	}
	ph.eventually("the server runs the requests", func() bool { return len(ph.server.ExecutedRequests()) >= clients })
	ph.assertServedBeside("/read/2")
}

// TestClientsThatReadNoStreams has clients open streams of long events and read nothing.
func TestClientsThatReadNoStreams(t *testing.T) {
	const clients, eventBytes, eventCount = 6, 16 << 10, 160
	ph := startSlowReaderHost(t, 2*clients, eventBytes, eventCount)
	for number := range clients {
		sendGet(dialSlowReader(t, ph.address), "/chat/1", fmt.Sprint("slow-", number))
	}
	ph.eventually("the engine runs the requests", func() bool { return len(ph.engine.ExecutedRequests()) >= clients })
	ph.assertServedBeside("/chat/2")
}
