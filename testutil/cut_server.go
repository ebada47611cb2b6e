package testutil

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// CutServer is an HTTP server on loopback that writes given bytes in response to one request and then ends the connection.
type CutServer struct {
	listener net.Listener

	mutex   sync.Mutex
	next    []cutResponse
	crashes bool
}

// cutResponse is what the server writes in response to one request. After it, the connection is kept, closed or reset.
type cutResponse struct {
	text  string
	keep  bool
	reset bool
}

// StartCutServer starts a server that ends with the test.
func StartCutServer(t *testing.T) *CutServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	cs := &CutServer{listener: listener}
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

// Address returns the address of the server.
func (cs *CutServer) Address() string { return cs.listener.Addr().String() }

// Prepare makes the next request get the response up to a byte, after which the connection is closed or reset. If first is
// not empty, the next request gets first, which keeps the connection, and the one after it the response. All later requests
// get nothing.
func (cs *CutServer) Prepare(first, response string, cut int, reset bool) {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	cs.next = nil
	if first != "" {
		cs.next = append(cs.next, cutResponse{text: first, keep: true})
	}
	cs.next = append(cs.next, cutResponse{text: response[:cut], reset: reset})
}

// CrashAfterResponse says whether the server stops to listen before it ends the connection of a response.
func (cs *CutServer) CrashAfterResponse(crashes bool) {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	cs.crashes = crashes
}

// take returns what the server writes in response to the next request.
func (cs *CutServer) take() cutResponse {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	if len(cs.next) == 0 {
		return cutResponse{}
	}
	next := cs.next[0]
	cs.next = cs.next[1:]
	return next
}

func (cs *CutServer) serve(connection *net.TCPConn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		response := cs.take()
		_, _ = io.WriteString(connection, response.text)
		if response.reset {
			_ = connection.SetLinger(0)
		}
		if !response.keep {
			cs.endListening()
			return
		}
	}
}

// endListening closes the listener if the server crashes.
func (cs *CutServer) endListening() {
	cs.mutex.Lock()
	defer cs.mutex.Unlock()
	if cs.crashes {
		_ = cs.listener.Close()
	}
}

// ForEachCut calls check for each byte of a response before which it is cut off, on a new and on a reused connection, closed
// and reset. If first is given, check has to send a request that gets it before the one that gets the response.
func (cs *CutServer) ForEachCut(first, response string, check func(cut int, reused, reset bool)) {
	for cut := range len(response) {
		for _, reused := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				before := ""
				if reused {
					before = first
				}
				cs.Prepare(before, response, cut, reset)
				check(cut, reused, reset)
			}
		}
	}
}
