package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/hibiscuslever/hibiscuslever/testutil"
)

const (
	// crowdMemoryMegabytes is the memory of the machine of a host that a crowd of clients uses, and the bound of its peak.
	crowdMemoryMegabytes = 64
	// crowdBodyBytes is the longest body that clients may send.
	crowdBodyBytes = 4 << 20
	// crowdHeadBytes is the longest head that clients may send.
	crowdHeadBytes = 16 << 10
	// ordinaryBodyBytes is the length of an ordinary body that is neither empty nor long.
	ordinaryBodyBytes = 20_000
	// crowdSlackDescriptors is how many descriptors beside those of clients' connections the host may use.
	crowdSlackDescriptors = 100
	// crowdWriteTime ends the writes of clients whose bytes the host does not read.
	crowdWriteTime = 8 * time.Second
	// crowdPieceBytes is the length of the pieces that clients send.
	crowdPieceBytes = 64 << 10
)

// crowdFront is a host at one of the two fronts, with little memory.
type crowdFront struct {
	*process
	t *testing.T
	// head returns the request line and the fields of a request, without those that describe its body.
	head func(attempt string) string
	// ran returns the attempt IDs of the requests that servers have begun to run. Where the front has no such ids, they are
	// empty.
	ran func() []string
	// conns are the connections of the crowd.
	conns []net.Conn
}

// crowdFronts start the hosts at the two fronts.
var crowdFronts = []struct {
	name  string
	start func(t *testing.T) *crowdFront
}{
	{"users' platform", startPlatformCrowdFront},
	{"own front", startOwnCrowdFront},
}

// forEachFront runs a test at both fronts.
func forEachFront(t *testing.T, test func(cf *crowdFront)) {
	for _, front := range crowdFronts {
		t.Run(front.name, func(t *testing.T) { test(front.start(t)) })
	}
}

func crowdSettings() string {
	return fmt.Sprintf("MaxBodyBytes = %d\nMaxHeaderBytes = %d\n[Limits]\nMemoryMegabytes = %d\n", crowdBodyBytes, crowdHeadBytes, crowdMemoryMegabytes)
}

func startPlatformCrowdFront(t *testing.T) *crowdFront {
	t.Helper()
	ph := newPlatformHost(t, 8*time.Second, "[Callers]\n"+crowdSettings())
	ph.server.WorkDuration = 300 * time.Millisecond
	ph.start(nil)
	ph.eventually("the host is ready", ph.isReady)
	return &crowdFront{
		process: ph.process, t: t,
		head: func(attempt string) string {
			return fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 600000\r\n", virtualHost, platformKey, attempt)
		},
		ran: func() []string {
			var attempts []string
			for _, executed := range ph.server.ExecutedRequests() {
				attempts = append(attempts, executed.Attempt)
			}
			return attempts
		},
	}
}

func startOwnCrowdFront(t *testing.T) *crowdFront {
	t.Helper()
	fl := startFrontPlatform(t)
	sv := fl.startProgram("server-1", "standin", "service", "--name", "server-1", "--address", testutil.FreeAddress(t), "--platform", fl.url(fl.platform), "--service", bookingService)
	fl.waitForHTTP(sv.address + "/standin/ledger")
	fl.servers = append(fl.servers, sv)
	host := fl.startPreparedHost(nil, crowdSettings())
	fl.publishDefaultLists()
	fl.waitUntilReady(host)
	return &crowdFront{
		process: host, t: t,
		head: func(string) string {
			return fmt.Sprintf("POST /v1/services/%s/x HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer key-acme\r\n", bookingService, host.address)
		},
		ran: func() []string { return make([]string, len(fl.requestsRunByServers())) },
	}
}

// crowdAnswers are the statuses that the clients of a crowd received by their attempt IDs.
type crowdAnswers struct {
	mutex    sync.Mutex
	statuses map[string]int
}

// start opens a number of connections and has a client send on each at the same time. It returns when all have sent what
// they send, or can't. The connections stay open until the end of the test.
func (cf *crowdFront) start(count int, send func(wr io.Writer, attempt string)) *crowdAnswers {
	cf.t.Helper()
	answers := &crowdAnswers{statuses: map[string]int{}}
	var group sync.WaitGroup
	for range count {
		conn, err := net.Dial("tcp", cf.address)
		assert.NilError(cf.t, err)
		cf.t.Cleanup(func() { _ = conn.Close() })
		attempt := fmt.Sprintf("crowd-%d", len(cf.conns))
		cf.conns = append(cf.conns, conn)
		assert.NilError(cf.t, conn.SetWriteDeadline(time.Now().Add(crowdWriteTime)))
		go answers.receive(conn, attempt)
		group.Go(func() { send(conn, attempt) })
	}
	group.Wait()
	return answers
}

// receive records the status of the response on a connection.
func (ca *crowdAnswers) receive(conn net.Conn, attempt string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	ca.mutex.Lock()
	defer ca.mutex.Unlock()
	ca.statuses[attempt] = response.StatusCode
}

// assertHolds checks that the host lives, that its memory and its descriptors stayed within their bounds, that no request
// that was refused or is incomplete has run, and that ordinary clients are served while the crowd's connections are open.
// whole says that the crowd has sent whole requests.
func (cf *crowdFront) assertHolds(answers *crowdAnswers, whole bool) {
	cf.t.Helper()
	if !whole {
		assert.Assert(cf.t, cmp.Len(cf.ran(), 0), "incomplete requests ran")
	}
	short := cf.sendOrdinary("ordinary-short", 1)
	for _, bodyBytes := range []int{ordinaryBodyBytes, crowdBodyBytes} {
		cf.assertServedAfterRefusals(bodyBytes)
	}
	cf.assertLives()
	descriptors, peak := openDescriptors(cf.t, cf.process), peakMegabytes(cf.t, cf.process)
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	counts := map[int]int{}
	for _, status := range answers.statuses {
		counts[status]++
	}
	ran := cf.ran()
	for _, attempt := range ran {
		assert.Check(cf.t, !isRefusal(answers.statuses[attempt]), "%s ran and was answered %d", attempt, answers.statuses[attempt])
	}
	cf.t.Logf("peak %.0f MB, %d descriptors, statuses %v of %d, ran %d", peak, descriptors, counts, len(cf.conns), len(ran))
	assert.Check(cf.t, short == http.StatusOK, "an ordinary client: status %d", short)
	assert.Check(cf.t, peak < crowdMemoryMegabytes, "%.0f MB", peak)
	assert.Check(cf.t, descriptors <= len(cf.conns)+crowdSlackDescriptors, "%d descriptors", descriptors)
}

// assertServedAfterRefusals has an ordinary client send a request with a body of some length, and again after each refusal,
// until it is served.
func (cf *crowdFront) assertServedAfterRefusals(bodyBytes int) {
	cf.t.Helper()
	const maxRefusals, pause = 10, 500 * time.Millisecond
	for refusals := 0; ; refusals++ {
		status := cf.sendOrdinary(fmt.Sprintf("ordinary-%d-%d", bodyBytes, refusals), bodyBytes)
		if status == http.StatusOK {
			return
		}
		cf.assertLives()
		assert.Assert(cf.t, refusals < maxRefusals && isRefusal(status), "a body of %d bytes of an ordinary client: status %d", bodyBytes, status)
		time.Sleep(pause)
	}
}

// isRefusal reports whether a status promises that the request has not run.
func isRefusal(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// assertLives checks that the host has not ended.
func (cf *crowdFront) assertLives() {
	cf.t.Helper()
	select {
	case <-cf.exited:
		cf.t.Fatalf("the host has ended: %s", cf.cmd.ProcessState)
	default:
	}
}

// sendOrdinary sends a request with a body of some length on a connection of its own and returns the status of its
// answer, or 0 if there is none.
func (cf *crowdFront) sendOrdinary(attempt string, length int) int {
	cf.t.Helper()
	conn, err := net.Dial("tcp", cf.address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	assert.NilError(cf.t, conn.SetDeadline(time.Now().Add(waitLimit)))
	sendAnnounced(conn, cf.head(attempt), length, length)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		cf.t.Logf("%s: %v", attempt, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// sendAnnounced sends a request whose body has an announced length, and the first bytes of the body in pieces.
func sendAnnounced(wr io.Writer, head string, announced, sent int) {
	if _, err := fmt.Fprintf(wr, "%sContent-Length: %d\r\n\r\n", head, announced); err != nil {
		return
	}
	piece := bytes.Repeat([]byte("b"), crowdPieceBytes)
	for sent > 0 {
		count, err := wr.Write(piece[:min(sent, len(piece))])
		if err != nil {
			return
		}
		sent -= count
	}
}

// sendChunked sends a request and the first bytes of its body in chunks. The end of the body is not sent.
func sendChunked(wr io.Writer, head string, chunkBytes, sent int) {
	if _, err := fmt.Fprintf(wr, "%sTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, strings.Repeat("b", chunkBytes))
	chunks := sent / chunkBytes
	perWrite := max(1, crowdPieceBytes/chunkBytes)
	for chunks > 0 {
		count := min(perWrite, chunks)
		if _, err := wr.Write(bytes.Repeat(chunk, count)); err != nil {
			return
		}
		chunks -= count
	}
}
