package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// shortTimeoutClient queries the hosts' own endpoints for readiness and addresses, over a new connection each time.
var shortTimeoutClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// requestKind describes the requests of one route.
type requestKind struct {
	// path is the path prefix of the route.
	path    string
	service string
	// atMostOnce says that no request may run more than once.
	atMostOnce bool
	// streaming says that the response is an event stream of an engine.
	streaming bool
	// timeout is the timeout of the route.
	timeout time.Duration
	// routeIsNew says that hosts may not know the route yet, so that a 404 is no violation.
	routeIsNew bool
	// crashesServers says that the requests crash each server that runs them, and that all have the same path and body.
	crashesServers bool
	// promptDoublings determines the prompt lengths of streaming requests: 512 tokens plus fewer than 512<<n, with n
	// drawn from 0 to promptDoublings.
	promptDoublings int
}

var (
	readRequests  = requestKind{path: "/read/", service: "books", timeout: 2 * time.Second}
	orderRequests = requestKind{path: "/order/", service: "books", atMostOnce: true, timeout: 1500 * time.Millisecond}
	chatRequests  = requestKind{path: "/chat/", service: "models", streaming: true, timeout: 3 * time.Second, promptDoublings: 2}
	// longChatRequests includes prompts that exceed the memory of an engine.
	longChatRequests = requestKind{path: "/chat/", service: "models", streaming: true, timeout: 3 * time.Second, promptDoublings: 10}
	// patientChatRequests are streams that may last longer than the grace of a host.
	patientChatRequests = requestKind{path: "/chat/", service: "models", streaming: true, timeout: 9 * time.Second, promptDoublings: 2}

	// allKinds and plannedKinds are the kinds that clients draw from, the latter in the mix of planned work.
	allKinds     = []requestKind{readRequests, readRequests, orderRequests, chatRequests, longChatRequests}
	plannedKinds = []requestKind{readRequests, orderRequests, patientChatRequests, patientChatRequests}
)

// exchange is one request of a client and what the client received of the response.
type exchange struct {
	kind requestKind
	// id is the attempt ID that the request carries and that servers record.
	id string
	// path includes the query.
	path            string
	requestBody     string
	hostName        string
	sentAt, endedAt time.Time
	// abandonedAt is when the client gave up before the end of the response; zero if it did not.
	abandonedAt time.Time
	// connection is the client's address of the last connection that the request was sent on; empty if there was none.
	connection string
	// status is the status of the response; zero if none came.
	status int
	// fromServer says that the response has the seal of a server, so that the host did not make it up itself. serverID
	// is the server that the seal names.
	serverID   string
	fromServer bool
	// namesLimit says that the response names a limit of the server's requests.
	namesLimit bool
	// answer is the response body as far as it came, err the error of sending the request or of reading the response.
	answer string
	err    error
}

// String describes the exchange for the report of a violation.
func (ex *exchange) String() string {
	return fmt.Sprintf("%s %s via %s at %s: status %d, server %q, %d bytes, after %s, error %v", ex.id, ex.path, ex.hostName,
		ex.sentAt.Format("05.000"), ex.status, ex.serverID, len(ex.answer), ex.endedAt.Sub(ex.sentAt), ex.err)
}

// client sends one request at a time. It stays with a host, over persistent connections, until a request gets no
// complete response for another reason than the client's own timeout, and then asks for the address of a host again. It
// is not safe for concurrent use.
type client struct {
	testbed      *testbed
	name         string
	random       *rand.Rand
	transport    *http.Transport
	sentRequests int
	currentHost  *host
	// onlyHost is the host that the client stays with whatever happens; nil if it chooses hosts itself.
	onlyHost *host
}

// newClient returns a client whose requests are drawn from a random sequence for its name and the seed. Request IDs
// contain the name, so it must be unique among the clients of a run.
func newClient(tb *testbed, name string, seed uint64) *client {
	return &client{testbed: tb, name: name, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name))), transport: &http.Transport{}}
}

// run sends random kinds of requests until the context ends. It abandons one in 25 after 1 to 120 ms.
func (cl *client) run(ctx context.Context) {
	defer cl.transport.CloseIdleConnections()
	kinds := allKinds
	if cl.testbed.mix.plannedOnly {
		kinds = plannedKinds
	}
	for ctx.Err() == nil {
		if cl.onlyHost != nil {
			cl.currentHost = cl.onlyHost
		}
		if cl.currentHost == nil {
			cl.currentHost = cl.discoverHost()
		}
		if cl.currentHost == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		kind := kinds[cl.random.IntN(len(kinds))]
		var abandonAfter time.Duration
		if cl.random.IntN(25) == 0 {
			abandonAfter = time.Duration(1+cl.random.IntN(120)) * time.Millisecond
		}
		ex := cl.send(kind, cl.currentHost, abandonAfter)
		if ex.err != nil && ex.abandonedAt.IsZero() {
			cl.currentHost = nil
		}
		time.Sleep(time.Duration(5+cl.random.IntN(40)) * time.Millisecond)
	}
}

// crashMark is the body of requests that crash each server that runs them.
const crashMark = "marked to crash"

// runCrashing sends requests that crash servers to random hosts until the context ends. All requests of one kind have
// the same path and body.
func (cl *client) runCrashing(ctx context.Context) {
	defer cl.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		kind := []requestKind{readRequests, orderRequests, chatRequests}[cl.random.IntN(3)]
		kind.crashesServers = true
		cl.send(kind, cl.testbed.hosts[cl.random.IntN(len(cl.testbed.hosts))], 0)
		time.Sleep(time.Duration(20+cl.random.IntN(200)) * time.Millisecond)
	}
}

// discoverHost asks a random host for the addresses that clients may use and chooses one of them. It returns nil if the
// host does not answer, or names no host of the testbed, which is a violation.
func (cl *client) discoverHost() *host {
	directoryHost := cl.testbed.hosts[cl.random.IntN(len(cl.testbed.hosts))]
	rs, err := shortTimeoutClient.Get(standin.DirectoryURL(directoryHost.directoryAddress, virtualHost))
	if err != nil {
		return nil
	}
	defer func() { _ = rs.Body.Close() }()
	var resolved struct{ Addresses []string }
	if json.NewDecoder(rs.Body).Decode(&resolved) != nil || len(resolved.Addresses) == 0 {
		return nil
	}
	address := resolved.Addresses[cl.random.IntN(len(resolved.Addresses))]
	for _, hs := range cl.testbed.hosts {
		if hs.callerAddress == address {
			return hs
		}
	}
	cl.testbed.reportViolation("ADDRESS", "%s named %s, which is not the address of a host", directoryHost.name, address)
	return nil
}

// send sends one request to a host, reads the response and records the exchange. The client disconnects after
// abandonAfter, or after clientTimeout if abandonAfter is zero.
func (cl *client) send(kind requestKind, hs *host, abandonAfter time.Duration) *exchange {
	cl.sentRequests++
	ex := &exchange{kind: kind, id: fmt.Sprintf("%s-%d", cl.name, cl.sentRequests), hostName: hs.name}
	ex.path = fmt.Sprintf("%s%d?q=%d", kind.path, cl.sentRequests, cl.random.IntN(100))
	ex.requestBody = strings.Repeat(ex.id+" ", 1+cl.random.IntN(200))
	if kind.crashesServers {
		ex.path, ex.requestBody = kind.path+"marked", crashMark
	}
	// tokenCounts is "PROMPT,ANSWER" in tokens, empty for plain services.
	tokenCounts := ""
	if kind.streaming {
		const shortestPrompt = 512
		tokenCounts = fmt.Sprintf("%d,%d", shortestPrompt+cl.random.IntN(shortestPrompt<<cl.random.IntN(1+kind.promptDoublings)), 1+cl.random.IntN(255))
	}
	timeout := max(clientTimeout, kind.timeout+clientPatience)
	if abandonAfter > 0 {
		timeout = abandonAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ex.sentAt = time.Now()
	cl.roundTrip(ctx, ex, hs, tokenCounts)
	ex.endedAt = time.Now()
	if ctx.Err() != nil && ex.err != nil {
		ex.abandonedAt = ex.endedAt
	}
	cl.testbed.recordExchange(ex)
	return ex
}

// roundTrip sends the request of an exchange and fills in what the client receives.
func (cl *client) roundTrip(ctx context.Context, ex *exchange, hs *host, tokenCounts string) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		ex.connection = info.Conn.LocalAddr().String()
	}})
	// Without GetBody, net/http cannot send the request a second time on its own after a connection was lost.
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hs.clientLink.address()+ex.path, io.NopCloser(strings.NewReader(ex.requestBody)))
	if err != nil {
		ex.err = err
		return
	}
	rq.Host = virtualHost
	rq.ContentLength = int64(len(ex.requestBody))
	standin.SetRequestHeaders(rq.Header, ex.id, apiKey, tokenCounts)
	rs, err := cl.transport.RoundTrip(rq)
	if err != nil {
		ex.err = err
		return
	}
	defer func() { _ = rs.Body.Close() }()
	ex.status = rs.StatusCode
	if seal := rs.Header.Get("X-Response-Seal"); seal != "" {
		ex.fromServer, ex.serverID = true, standin.RespondingServer(rs.Header)
	}
	ex.namesLimit = rs.Header.Get("Server-Limit") != ""
	answer, err := io.ReadAll(rs.Body)
	ex.answer, ex.err = string(answer), err
}
