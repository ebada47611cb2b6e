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

// cutServer is a server that writes a response up to one of its bytes and ends the connection there. Further requests
// get a whole response, which resumes a stream. Requests to /warm get a whole response that keeps the connection.
type cutServer struct {
	listener net.Listener

	mutex sync.Mutex
	// response is the response that is cut off before the byte at cut, with a reset if reset is set. resumed holds the
	// responses to further requests by the event after which they resume.
	response string
	cut      int
	reset    bool
	resumed  map[string]string
	requests int
}

func newCutServer(t *testing.T) *cutServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cs := &cutServer{listener: listener}
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

const warmResponse = "HTTP/1.1 200 OK\r\nX-Attempt-Id: warm\r\nContent-Length: 2\r\n\r\nok"

func (cs *cutServer) serve(connection *net.TCPConn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/warm" {
			if _, err := io.WriteString(connection, warmResponse); err != nil {
				return
			}
			continue
		}
		cs.mutex.Lock()
		cs.requests++
		response, reset := cs.response[:cs.cut], cs.reset
		if cs.requests > 1 {
			response, reset = cs.resumed[request.Header.Get("Last-Event-Id")], false
		}
		cs.mutex.Unlock()
		_, _ = io.WriteString(connection, response)
		if reset {
			_ = connection.SetLinger(0)
		}
		return
	}
}

// steadyProbes sends to servers and takes all of them for reachable, or for crashed.
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

// TestCutResponseIsNotComplete checks that a response that is cut off before any of its bytes, on a new or a reused
// connection, closed or reset, is never forwarded as complete, and that a request that can be repeated or resumed gets the
// whole response from another attempt. A response without length and chunks is complete by itself from the end of its head
// on; it is not forwarded as complete either if the server has crashed.
func TestCutResponseIsNotComplete(t *testing.T) {
	const piece1, piece2 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, kind := range []struct {
		name              string
		route             route.Route
		contentType, body string
	}{
		{"plain", route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainType, "the whole answer"},
		{"empty", route.Route{Kind: route.NonIdempotent, MaxAttempts: 1}, plainType, ""},
		{"repeatable", route.Route{Kind: route.Idempotent, MaxAttempts: 3}, plainType, "the whole answer"},
		{"stream of a plain service", route.Route{Kind: route.Streaming, MaxAttempts: 1}, eventStreamType, piece1 + piece2},
		{"stream", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 1}, eventStreamType, piece1 + piece2},
		{"resumable stream", route.Route{Kind: route.Streaming, HasPrompt: true, MaxAttempts: 3, Resumable: true}, eventStreamType, piece1 + piece2},
	} {
		responses := framedResponses(kind.contentType, kind.body)
		if kind.body == "" {
			responses = map[string]string{"length": responses["length"], "status": "HTTP/1.1 204 No Content\r\nX-Attempt-Id: request\r\n\r\n"}
		}
		responses["connection"] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: request\r\nContent-Type: " + kind.contentType + "\r\n\r\n" + kind.body
		responses["old version"] = strings.Replace(responses["connection"], "1.1", "1.0", 1)
		for framing, response := range responses {
			t.Run(kind.name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				cs := newCutServer(t)
				cs.response = response
				cs.resumed = map[string]string{}
				for after, rest := range map[string]string{"": kind.body, "1": piece2, "2": ""} {
					cs.resumed[after] = framedResponses(kind.contentType, rest)["length"]
				}
				pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
				defer pool.Close()
				endsWithConnection := framing == "connection" || framing == "old version"
				probeResult := forward.Reachable
				if endsWithConnection {
					probeResult = forward.ConnectionRefused
				}
				sender := steadyProbes{platform.NewBackendClient(pool), probeResult}
				whole := 0
				for cut := range len(response) + 1 {
					for variant := range 4 {
						reset, reused := variant&1 != 0, variant&2 != 0
						if cut == len(response) && reset {
							// The reset may overtake the end of a whole response.
							continue
						}
						cs.mutex.Lock()
						cs.cut, cs.reset, cs.requests = cut, reset, 0
						cs.mutex.Unlock()
						if reused {
							warmUp(t, pool, cs.listener.Addr().String())
						}
						result, body := forwardOnce(t, sender, cs.listener.Addr().String(), kind.route)
						isWhole := cut == len(response) && !endsWithConnection || kind.route.Repeatable()
						if kind.route.Resumable && !endsWithConnection && cut < len(response) && body == kind.body && !result.Complete {
							// All events arrived, but not the end. Engines that resume the stream have no event left, which does
							// not count as its end.
							isWhole = false
						}
						assert.Equal(t, result.Complete, isWhole, "cut at %d of %d, reset %v, reused %v: %q in %+v", cut, len(response), reset, reused, body, result)
						if isWhole {
							assert.Equal(t, body, kind.body)
							whole++
						} else {
							assert.Assert(t, result.HeadSent || result.Outcome.Kind != 0 && !result.Outcome.OK())
						}
						pool.DropIdle(cs.listener.Addr().String())
					}
				}
				assert.Assert(t, whole > 0 || endsWithConnection)
			})
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

// forwardOnce runs a request at the server at an address.
func forwardOnce(t *testing.T, sender forward.Sender, address string, rt route.Route) (forward.Result, string) {
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
		ID: "request", Method: http.MethodPost, Target: "/x", HostName: "h", Body: []byte("question"), Service: "service", PromptTokens: 1000, MaxAnswerTokens: 50,
		ArrivedAt: now, Deadline: now.Add(10 * time.Second), Route: rt,
	}, client)
	return result, client.body.String()
}
