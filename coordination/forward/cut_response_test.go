package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/balance"
	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/platform"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/route"
	"github.com/hibiscuslever/hibiscuslever/state/serverlist"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
)

// cutServer is a server that writes the response to a request up to one of its bytes and ends the connection there. The
// same request gets a whole response when it is sent again, which resumes a stream. Requests to /warm and probes get a whole
// response that keeps the connection, and do not count. Requests of earlier cases get no response.
type cutServer struct {
	listener net.Listener
	// response is the response that is cut off. resumed holds the whole responses by the event after which they resume.
	response string
	resumed  map[string]string

	mutex sync.Mutex
	// cutCase is the case in progress, requests counts how often its request was received.
	cutCase  cutCase
	requests int
	// probed is closed when a probe has been answered since the case began.
	probed chan struct{}
}

// cutCase says how a cutServer responds to a request for the first time.
type cutCase struct {
	// target is the target of the request.
	target string
	// cut is the byte before which the response ends, with a reset if reset is set.
	cut   int
	reset bool
	// afterProbe delays the response until a probe has been answered.
	afterProbe bool
}

func newCutServer(t *testing.T, response string, resumed map[string]string) *cutServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cs := &cutServer{listener: listener, response: response, resumed: resumed}
	var connections sync.WaitGroup
	connections.Go(func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Go(func() { cs.serve(connection.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		connections.Wait()
	})
	return cs
}

const (
	warmResponse  = "HTTP/1.1 200 OK\r\nX-Attempt-Id: warm\r\nContent-Length: 2\r\n\r\nok"
	probeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
)

// begin starts a case.
func (cs *cutServer) begin(cc cutCase) {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	cs.cutCase, cs.requests, cs.probed = cc, 0, make(chan struct{})
}

// received returns how often the request of the case in progress was received.
func (cs *cutServer) received() int {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	return cs.requests
}

func (cs *cutServer) serve(connection *net.TCPConn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch request.URL.Path {
		case "/warm":
			if _, err := io.WriteString(connection, warmResponse); err != nil {
				return
			}
			continue
		case "/-/report":
			if _, err := io.WriteString(connection, probeResponse); err != nil {
				return
			}
			cs.recordProbe()
			continue
		}
		response, reset, ok := cs.respond(request)
		if !ok {
			return
		}
		_, _ = io.WriteString(connection, response)
		if reset {
			_ = connection.SetLinger(0)
		}
		return
	}
}

// isProbed reports whether a probe has been answered since the case began.
func (cs *cutServer) isProbed() bool {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	select {
	case <-cs.probed:
		return true
	default:
		return false
	}
}

// recordProbe records that a probe has been answered.
func (cs *cutServer) recordProbe() {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	select {
	case <-cs.probed:
	default:
		close(cs.probed)
	}
}

// respond counts a request, and returns what is sent in response and whether a reset follows. It returns false for a request
// that is not that of the case in progress, and for one whose probe does not come.
func (cs *cutServer) respond(request *http.Request) (response string, reset, ok bool) {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	cc, probed := cs.cutCase, cs.probed
	if request.URL.Path != cc.target {
		return "", false, false
	}
	cs.requests++
	if cs.requests > 1 {
		return cs.resumed[request.Header.Get("Last-Event-Id")], false, true
	}
	if cc.afterProbe {
		cs.mutex.Unlock()
		defer cs.mutex.Lock()
		select {
		case <-probed:
		case <-time.After(requestTime):
			return "", false, false
		}
	}
	return cs.response[:cc.cut], cc.reset, true
}

// steadyProbes sends to servers and takes all of them for reachable, or for crashed once their
// connection has ended.
type steadyProbes struct {
	*platform.BackendClient
	result forward.ProbeResult
}

func (sp steadyProbes) ProbeConnection(context.Context, string) forward.ProbeResult { return sp.result }

// framedResponses returns responses with a body, framed in the ways that show their end.
func framedResponses(contentType, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: request\r\nX-Response-Seal: 3e1b\r\nContent-Type: " + contentType + "\r\n"
	half := len(body) / 2
	return map[string]string{
		"length":  fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":  fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x;x=y\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, half, body[:half], len(body)-half, body[half:]),
		"trailer": fmt.Sprintf("%sTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n", head, len(body), body),
		"interim": fmt.Sprintf("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
	}
}

// cutKind is a kind of request whose response is cut off.
type cutKind struct {
	name              string
	route             route.Route
	contentType, body string
}

const (
	cutPiece1, cutPiece2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	// requestTime is the time that a request has. Connections are opened within the same time, because a loaded machine can
	// take longer than the timeout that hosts use.
	requestTime = 10 * time.Second
)

func cutStreamKinds() []cutKind {
	return []cutKind{
		{"stream", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1}, eventStreamType, cutPiece1 + cutPiece2},
		{"resumable stream", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 3, Resumable: true}, eventStreamType, cutPiece1 + cutPiece2},
	}
}

// responses returns the responses to a request of this kind, by their framing.
func (ck cutKind) responses() map[string]string {
	responses := framedResponses(ck.contentType, ck.body)
	if ck.body == "" {
		responses = map[string]string{"length": responses["length"], "status": "HTTP/1.1 204 No Content\r\nX-Attempt-Id: request\r\n\r\n"}
	}
	responses["connection"] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: request\r\nContent-Type: " + ck.contentType + "\r\n\r\n" + ck.body
	responses["old version"] = strings.Replace(responses["connection"], "1.1", "1.0", 1)
	return responses
}

// newServer starts a server that responds to requests of this kind.
func (ck cutKind) newServer(t *testing.T, response string) *cutServer {
	resumed := map[string]string{}
	for after, rest := range map[string]string{"": ck.body, "1": cutPiece2, "2": ""} {
		resumed[after] = framedResponses(ck.contentType, rest)["length"]
	}
	return newCutServer(t, response, resumed)
}

// check forwards a request in one case and checks how its response counts. It reports whether the response is whole.
func (ck cutKind) check(t *testing.T, cs *cutServer, framing string, cc cutCase, reused bool) bool {
	config := backend.DefaultConfig()
	config.DialTimeout = requestTime
	pool := backend.NewPool(config, timer.NewSystem())
	defer pool.Close()
	endsWithConnection := framing == "connection" || framing == "old version"
	probeResult := forward.Reachable
	if endsWithConnection {
		probeResult = forward.ConnectionRefused
	}
	cs.begin(cc)
	address := cs.listener.Addr().String()
	if reused {
		warmUp(t, pool, address)
	}
	result, body := forwardOnce(t, steadyProbes{platform.NewBackendClient(pool), probeResult}, address, cc.target, ck.route)
	isWhole := cc.cut == len(cs.response) && !endsWithConnection || ck.route.Repeatable()
	if ck.route.Resumable && !endsWithConnection && cc.cut < len(cs.response) && body == ck.body && !result.Complete {
		// All events arrived, but not the end. Engines that resume the stream have no event left, which does not count as
		// its end.
		isWhole = false
	}
	received := cs.received()
	assert.Equal(t, result.Complete, isWhole, "%+v of %d, reused %v, received %d times: %q in %+v", cc, len(cs.response), reused, received, body, result)
	if isWhole {
		assert.Equal(t, body, ck.body)
	} else {
		assert.Assert(t, result.HeadSent || result.Outcome.Kind != 0 && !result.Outcome.OK())
	}
	if ck.route.Repeatable() {
		assert.Assert(t, received >= 1 && received <= ck.route.MaxAttempts, "%+v, reused %v: received %d times", cc, reused, received)
	} else {
		assert.Equal(t, received, 1, "%+v, reused %v", cc, reused)
	}
	return isWhole
}

// TestCutResponseIsNotComplete checks that a response that is cut off before any of its bytes, on a new or a reused
// connection, closed or reset, is never forwarded as complete, and that a request that can be repeated or resumed gets the
// whole response from another attempt; any other request is sent once. A response without length and chunks is complete by
// itself from the end of its head on; it is not forwarded as complete either if the server has crashed.
func TestCutResponseIsNotComplete(t *testing.T) {
	for _, kind := range append(cutStreamKinds(),
		cutKind{"plain", route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainType, "the whole answer"},
		cutKind{"empty", route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainType, ""},
		cutKind{"repeatable", route.Route{Kind: route.Idempotent, MaxAttempts: 3}, plainType, "the whole answer"},
		cutKind{"stream of a plain service", route.Route{Kind: route.Streaming, MaxAttempts: 1}, eventStreamType, cutPiece1 + cutPiece2},
	) {
		for framing, response := range kind.responses() {
			t.Run(kind.name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				cs := kind.newServer(t, response)
				whole := 0
				for cut := range len(response) + 1 {
					for variant := range 4 {
						reset, reused := variant&1 != 0, variant&2 != 0
						if cut == len(response) && reset {
							// The reset may overtake the end of a whole response.
							continue
						}
						target := fmt.Sprintf("/x/%d/%d", cut, variant)
						if kind.check(t, cs, framing, cutCase{target: target, cut: cut, reset: reset}, reused) {
							whole++
						}
					}
				}
				assert.Assert(t, whole > 0 || framing == "connection" || framing == "old version")
			})
		}
	}
}

// TestCutResponseAfterProbeIsNotComplete checks the same for streams whose engine is probed before it responds. The probe is
// neither the request nor another attempt at it.
func TestCutResponseAfterProbeIsNotComplete(t *testing.T) {
	for _, kind := range cutStreamKinds() {
		for framing, response := range kind.responses() {
			for _, cut := range []int{len(response) / 2, len(response) - 1, len(response)} {
				t.Run(fmt.Sprintf("%s/%s/%d", kind.name, framing, cut), func(t *testing.T) {
					t.Parallel()
					cs := kind.newServer(t, response)
					kind.check(t, cs, framing, cutCase{target: "/x", cut: cut, afterProbe: true}, true)
					assert.Assert(t, cs.isProbed())
				})
			}
		}
	}
}

// warmUp leaves an idle connection to the server in the pool.
func warmUp(t *testing.T, pool *backend.Pool, address string) {
	response, err := pool.Do(t.Context(), backend.Request{Address: address, Method: http.MethodGet, Target: "/warm", Host: "h", NewConnection: true})
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
}

// forwardOnce runs a request for a target at the server at an address.
func forwardOnce(t *testing.T, sender forward.Sender, address, target string, rt route.Route) (forward.Result, string) {
	grant := batch.Grant{Attempt: "1", Parts: []batch.Part{{Engine: "one", Address: address}}}
	var listed []serverlist.Server
	for _, name := range []id.BackendServer{"one", "two", "three", "four"} {
		listed = append(listed, serverlist.Server{ID: name, Service: "service", Address: address})
	}
	rn := newRunner(forward.Dependencies{
		Sender: sender, Fleet: fakeFleet{listed: listed, announcedLeaving: map[id.BackendServer]bool{}}, Balancer: balance.New("", 1),
		Dispatcher: &fakeDispatcher{grants: []batch.Grant{grant, grant, grant}},
	})
	client := &fakeClient{}
	now := time.Now()
	result := rn.Run(t.Context(), &forward.Request{
		ID: "request", Method: http.MethodPost, Target: target, HostName: "h", Body: []byte("question"), Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50,
		ArrivedAt: now, Deadline: now.Add(requestTime), Route: rt,
	}, client)
	return result, client.body.String()
}
