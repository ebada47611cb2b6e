package e2e

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// keptClient is a client that sends one order after the other on a connection until the connection ends. Then it goes on
// with a new connection until the daemon accepts none.
type keptClient struct {
	address, name string
	pause         time.Duration
	// ignoresClose makes the client send its next order although the daemon asked it to close the connection.
	ignoresClose bool
	// sent counts the orders, and unanswered holds those without a whole answer, with the time from their end to the end of
	// the connection.
	sent       int
	unanswered map[string]time.Duration
}

func (kc *keptClient) run() {
	for {
		conn, err := net.Dial("tcp", kc.address)
		if err != nil {
			return
		}
		kc.runOn(conn)
		_ = conn.Close()
	}
}

func (kc *keptClient) runOn(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		attempt := fmt.Sprintf("%s-%d", kc.name, kc.sent)
		kc.sent++
		if _, err := fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 1\r\n\r\nx", virtualHost, platformKey, attempt); err != nil {
			kc.unanswered[attempt] = 0
			return
		}
		sentAt := time.Now()
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			kc.unanswered[attempt] = time.Since(sentAt)
			return
		}
		time.Sleep(kc.pause)
		if response.Close && !kc.ignoresClose {
			return
		}
	}
}

// TestStopCutsKeptConnections stops a daemon while clients send orders on kept connections at all moments of the stop. No
// order that the server runs is left without an answer.
func TestStopCutsKeptConnections(t *testing.T) {
	const clientCount = 24
	ph := startPlatformHost(t, 2*time.Second, "", nil)
	var group sync.WaitGroup
	var clients []*keptClient
	for index := range clientCount {
		kc := &keptClient{address: ph.address, name: fmt.Sprint("client-", index), pause: time.Duration(index/2) * time.Millisecond, ignoresClose: index%2 == 0, unanswered: map[string]time.Duration{}}
		clients = append(clients, kc)
		group.Go(kc.run)
	}
	ph.eventually("the server runs orders", func() bool { return len(ph.server.ExecutedRequests()) > clientCount })
	assert.NilError(t, ph.cmd.Process.Signal(syscall.SIGTERM))
	ph.awaitExit(t)
	group.Wait()
	assert.Assert(t, strings.Contains(ph.stdout.String(), "host stopped"))
	unanswered := map[string]time.Duration{}
	sent := 0
	for _, kc := range clients {
		sent += kc.sent
		maps.Copy(unanswered, kc.unanswered)
	}
	t.Logf("%d orders, %d of them unanswered, at most %s after they were sent", sent, len(unanswered), slices.Max(append(slices.Collect(maps.Values(unanswered)), 0)))
	for _, run := range ph.server.ExecutedRequests() {
		elapsed, lost := unanswered[run.Attempt]
		assert.Assert(t, !lost, "order %s ran, and its connection ended after %s without an answer", run.Attempt, elapsed)
	}
}
