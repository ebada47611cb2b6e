package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	standin "github.com/hibiscuslever/hibiscuslever/standin/site"
)

// shortTimeoutClient asks hosts small questions.
var shortTimeoutClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// requestKind is a kind of request.
type requestKind struct {
	path    string
	service string
	// atMostOnce says that the request may run once at most.
	atMostOnce    bool
	streaming  bool
	timeout time.Duration
	// routeIsNew says that hosts may not know the route yet.
	routeIsNew bool
	// crashesServers says that the requests crash each server that runs them, and are all the same.
	crashesServers bool
	// promptDoublings says how often the shortest prompt may be doubled.
	promptDoublings int
}

var (
	readRequests  = requestKind{path: "/read/", service: "books", timeout: 2 * time.Second}
	orderRequests = requestKind{path: "/order/", service: "books", atMostOnce: true, timeout: 1500 * time.Millisecond}
	chatRequests  = requestKind{path: "/chat/", service: "models", streaming: true, timeout: 3 * time.Second, promptDoublings: 2}
	// longChatRequests takes prompts over the memory of an engine as well.
	longChatRequests = requestKind{path: "/chat/", service: "models", streaming: true, timeout: 3 * time.Second, promptDoublings: 10}
)

// exchange is one request of a client and what it saw of the answer.
type exchange struct {
	kind      requestKind
	id        string
	path      string
	requestBody      string
	hostName      string
	sentAt, endedAt time.Time
	abandonedAt      time.Time
	status    int
	serverID    string
	fromServer    bool
	answer    string
	err       error
}

func (ex *exchange) String() string {
	return fmt.Sprintf("%s %s via %s at %s: status %d, server %q, %d bytes, after %s, error %v", ex.id, ex.path, ex.hostName,
		ex.sentAt.Format("05.000"), ex.status, ex.serverID, len(ex.answer), ex.endedAt.Sub(ex.sentAt), ex.err)
}

// client sends requests to one host at a time, over connections that it keeps, until that host fails it.
type client struct {
	testbed  *testbed
	name   string
	random *rand.Rand
	transport   *http.Transport
	sentRequests int
	currentHost   *host
}

// newClient returns a client whose requests depend on its name and the seed.
func newClient(wd *testbed, name string, seed uint64) *client {
	return &client{testbed: wd, name: name, random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name))), transport: &http.Transport{}}
}

// run sends requests until the context ends.
func (cl *client) run(ctx context.Context) {
	defer cl.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		if cl.currentHost == nil {
			cl.currentHost = cl.discoverHost()
		}
		if cl.currentHost == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		kd := []requestKind{readRequests, readRequests, orderRequests, chatRequests, longChatRequests}[cl.random.IntN(5)]
		var leave time.Duration
		if cl.random.IntN(25) == 0 {
			leave = time.Duration(1+cl.random.IntN(120)) * time.Millisecond
		}
		ex := cl.send(kd, cl.currentHost, leave)
		if ex.err != nil && ex.abandonedAt.IsZero() {
			cl.currentHost = nil
		}
		time.Sleep(time.Duration(5+cl.random.IntN(40)) * time.Millisecond)
	}
}

// crashMark is held by requests that crash each server that runs them.
const crashMark = "marked to crash"

// runCrashing sends the same few requests that crash servers to any host until the context ends.
func (cl *client) runCrashing(ctx context.Context) {
	defer cl.transport.CloseIdleConnections()
	for ctx.Err() == nil {
		kd := []requestKind{readRequests, orderRequests, chatRequests}[cl.random.IntN(3)]
		kd.crashesServers = true
		cl.send(kd, cl.testbed.hosts[cl.random.IntN(len(cl.testbed.hosts))], 0)
		time.Sleep(time.Duration(20+cl.random.IntN(200)) * time.Millisecond)
	}
}

// discoverHost asks a host for the addresses to use and takes one of them.
func (cl *client) discoverHost() *host {
	asked := cl.testbed.hosts[cl.random.IntN(len(cl.testbed.hosts))]
	rs, err := shortTimeoutClient.Get(standin.DirectoryURL(asked.directoryAddress, virtualHost))
	if err != nil {
		return nil
	}
	defer func() { _ = rs.Body.Close() }()
	var known struct{ Addresses []string }
	if json.NewDecoder(rs.Body).Decode(&known) != nil || len(known.Addresses) == 0 {
		return nil
	}
	address := known.Addresses[cl.random.IntN(len(known.Addresses))]
	for _, hs := range cl.testbed.hosts {
		if hs.callerAddress == address {
			return hs
		}
	}
	cl.testbed.reportViolation("ADDRESS", "%s named %s, which is no host", asked.name, address)
	return nil
}

// send sends one request to a host and reads the answer. A leave above zero has the client go away after that time.
func (cl *client) send(kd requestKind, hs *host, leave time.Duration) *exchange {
	cl.sentRequests++
	ex := &exchange{kind: kd, id: fmt.Sprintf("%s-%d", cl.name, cl.sentRequests), hostName: hs.name}
	ex.path = fmt.Sprintf("%s%d?q=%d", kd.path, cl.sentRequests, cl.random.IntN(100))
	ex.requestBody = strings.Repeat(ex.id+" ", 1+cl.random.IntN(200))
	if kd.crashesServers {
		ex.path, ex.requestBody = kd.path+"marked", crashMark
	}
	tokens := ""
	if kd.streaming {
		const shortest = 512
		tokens = fmt.Sprintf("%d,%d", shortest+cl.random.IntN(shortest<<cl.random.IntN(1+kd.promptDoublings)), 1+cl.random.IntN(255))
	}
	limit := clientTimeout
	if leave > 0 {
		limit = leave
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ex.sentAt = time.Now()
	cl.roundTrip(ctx, ex, hs, tokens)
	ex.endedAt = time.Now()
	if ctx.Err() != nil && ex.err != nil {
		ex.abandonedAt = ex.endedAt
	}
	cl.testbed.recordExchange(ex)
	return ex
}

func (cl *client) roundTrip(ctx context.Context, ex *exchange, hs *host, tokens string) {
	// A body without GetBody keeps net/http from sending a request twice by itself.
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hs.clientLink.address()+ex.path, io.NopCloser(strings.NewReader(ex.requestBody)))
	if err != nil {
		ex.err = err
		return
	}
	rq.Host = virtualHost
	rq.ContentLength = int64(len(ex.requestBody))
	standin.Sign(rq.Header, ex.id, apiKey, tokens)
	rs, err := cl.transport.RoundTrip(rq)
	if err != nil {
		ex.err = err
		return
	}
	defer func() { _ = rs.Body.Close() }()
	ex.status = rs.StatusCode
	if seal := rs.Header.Get("X-Response-Seal"); seal != "" {
		ex.fromServer, ex.serverID = true, standin.ServerOf(rs.Header)
	}
	answer, err := io.ReadAll(rs.Body)
	ex.answer, ex.err = string(answer), err
}
