package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/modelcall"
	"github.com/hibiscuslever/hibiscuslever/state/outcome"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
	"github.com/hibiscuslever/hibiscuslever/transport/caller"
)

// answeringHost is a fakeHost that answers unless the context of the request has ended.
type answeringHost struct{ fakeHost }

func (answeringHost) Run(ctx context.Context, _ modelcall.Call, _ modelcall.Sink) (modelcall.Summary, outcome.Outcome) {
	select {
	case <-ctx.Done():
		return modelcall.Summary{}, outcome.Fail(outcome.CallerGone, "the caller has gone")
	case <-time.After(100 * time.Millisecond):
		return modelcall.Summary{FinishReason: "stop"}, outcome.Done()
	}
}

// bodyEndBody interrupts clients between the end of a body as net/http sees it and as its reader does.
type bodyEndBody struct {
	io.ReadCloser
	atEnd func()
}

func (bb bodyEndBody) Read(buffer []byte) (int, error) {
	count, err := bb.ReadCloser.Read(buffer)
	if err != nil {
		bb.atEnd()
	}
	return count, err
}

// TestInterruptionAtEndOfBodyEndsRequest interrupts a caller whose body has been read to its end, before the reader of the
// body has noticed the end. The request must be answered, and the next one on the connection too.
func TestInterruptionAtEndOfBodyEndsRequest(t *testing.T) {
	memory := bodymemory.New(1_000_000, 0, bodymemory.WithInterruption(timer.NewSystem(), time.Nanosecond))
	host := answeringHost{fakeHost{lists: newOnePlan(t).lists}}
	sv := caller.NewServer(caller.Config{Host: "host", MaxBodyBytes: 1000, BodyMemory: memory}, caller.Dependencies{Lists: host, Models: host, Limits: host, Fleet: host}, timer.NewSystem(), tally.NoopScope)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		request.Body = bodyEndBody{request.Body, func() {
			memory.InterruptMostStalled()
			// The background read of net/http has failed by then if it is interrupted.
			time.Sleep(50 * time.Millisecond)
		}}
		sv.Handler().ServeHTTP(writer, request)
	})}
	caller.TrackRequests(server)
	go func() { _ = server.Serve(caller.NewListener(listener, 0, memory, timer.NewSystem())) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(conn)
	const body = `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	for range 2 {
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", apiKey, len(body), body)
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, "a caller that is still there was taken for one that has gone")
	}
}

// TestStalledCallerIsNotInterrupted has a caller stop before the end of its body. It must be refused once it is interrupted.
func TestStalledCallerIsNotInterrupted(t *testing.T) {
	const bodyBytes = 2 * bodymemory.UncountedBytes
	memory := bodymemory.New(1_000_000, 0, bodymemory.WithInterruption(timer.NewSystem(), time.Nanosecond))
	host := answeringHost{fakeHost{lists: newOnePlan(t).lists}}
	sv := caller.NewServer(caller.Config{Host: "host", MaxBodyBytes: bodyBytes, BodyMemory: memory}, caller.Dependencies{Lists: host, Models: host, Limits: host, Fleet: host}, timer.NewSystem(), tally.NoopScope)
	conn, _ := serveWithMemory(t, memory, sv.Handler().ServeHTTP, func(*http.Server) {})
	_, err := fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n{", apiKey, bodyBytes)
	assert.NilError(t, err)
	for memory.Reserved() == 0 {
		time.Sleep(time.Millisecond)
	}
	memory.InterruptMostStalled()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, response.Close)
}
