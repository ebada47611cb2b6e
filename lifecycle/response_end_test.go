package lifecycle_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// slowListener is a listener whose connections take writeDelay for each write, or until they are closed.
type slowListener struct {
	net.Listener
	writeDelay time.Duration
}

func (sl slowListener) Accept() (net.Conn, error) {
	conn, err := sl.Listener.Accept()
	if err != nil {
		return nil, errors.Wrap(err, "accept")
	}
	if sl.writeDelay == 0 {
		return conn, nil
	}
	return &slowConn{Conn: conn, writeDelay: sl.writeDelay, closed: make(chan struct{})}, nil
}

type slowConn struct {
	net.Conn
	writeDelay time.Duration
	closeOnce  sync.Once
	closed     chan struct{}
}

func (sc *slowConn) Write(content []byte) (int, error) {
	select {
	case <-time.After(sc.writeDelay):
	case <-sc.closed:
	}
	return sc.Conn.Write(content)
}

func (sc *slowConn) Close() error {
	sc.closeOnce.Do(func() { close(sc.closed) })
	return sc.Conn.Close()
}

// countingHandler counts the requests whose handler runs.
type countingHandler struct {
	handler  http.HandlerFunc
	started  atomic.Int64
	inFlight atomic.Int64
}

func (ch *countingHandler) ServeHTTP(writer http.ResponseWriter, httpRequest *http.Request) {
	ch.inFlight.Add(1)
	ch.started.Add(1)
	defer ch.inFlight.Add(-1)
	ch.handler(writer, httpRequest)
}

// runningProcess is a process with one server, whose ShutDown returns as soon as no handler runs.
type runningProcess struct {
	handler *countingHandler
	address string
	stop    context.CancelFunc
	ended   chan error
	// log holds the log lines; it is complete when the process has ended.
	log bytes.Buffer
}

// startProcess starts a process whose connections take writeDelay for each write, and that gives its servers
// responseTimeout to send what handlers have written.
func startProcess(t *testing.T, handler http.HandlerFunc, writeDelay, responseTimeout time.Duration) *runningProcess {
	t.Helper()
	return startProcessWithClock(t, handler, writeDelay, responseTimeout, timer.NewSystem())
}

// startProcessWithClock is startProcess with a clock.
func startProcessWithClock(t *testing.T, handler http.HandlerFunc, writeDelay, responseTimeout time.Duration, clock timer.Clock) *runningProcess {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	rp := &runningProcess{handler: &countingHandler{handler: handler}, address: listener.Addr().String(), stop: stop, ended: make(chan error, 1)}
	process := lifecycle.Process{
		Clock:     clock,
		Logger:    slog.New(slog.NewTextHandler(&rp.log, nil)),
		Servers:   []*http.Server{{Handler: rp.handler}},
		Listeners: []net.Listener{slowListener{listener, writeDelay}},
		ShutDown: func(context.Context, error) time.Duration {
			for rp.handler.inFlight.Load() > 0 {
				time.Sleep(time.Millisecond)
			}
			return responseTimeout
		},
	}
	go func() { rp.ended <- process.Run(ctx) }()
	return rp
}

const (
	// shortDelay is long enough for a process that does not wait for a write to end first.
	shortDelay = 150 * time.Millisecond
	// longTimeout is far longer than anything that the tests wait for, stopLimit the time that a stop may take on a machine
	// that is busy.
	longTimeout = time.Minute
	stopLimit   = 10 * time.Second
)

// refuse writes a refusal and does not flush it.
func refuse(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(writer, "the host is leaving\n")
}

// awaitEnd fails the test unless the process ends within stopLimit.
func (rp *runningProcess) awaitEnd(t *testing.T) {
	select {
	case err := <-rp.ended:
		assert.NilError(t, err)
	case <-time.After(stopLimit):
		t.Fatal("the process has not stopped")
	}
}

// awaitRequest waits until a handler has started.
func (rp *runningProcess) awaitRequest() {
	for rp.handler.started.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestStopDoesNotCutEndOfResponse stops a process between the return of a handler and the moment at which net/http has
// sent what the handler wrote: a refusal that was not flushed, and the end of a stream.
func TestStopDoesNotCutEndOfResponse(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"refusal": refuse,
		"stream": func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, "data: 1\n\n")
			_ = http.NewResponseController(writer).Flush()
		},
	} {
		t.Run(name, func(t *testing.T) {
			rp := startProcess(t, handler, shortDelay, longTimeout)
			received := make(chan error, 1)
			go func() {
				httpResponse, err := http.Get("http://" + rp.address)
				if err == nil {
					_, err = io.ReadAll(httpResponse.Body)
					_ = httpResponse.Body.Close()
				}
				received <- err
			}()
			rp.awaitRequest()
			rp.stop()
			assert.NilError(t, <-received)
			rp.awaitEnd(t)
		})
	}
}

// TestUnusedConnectionsDoNotDelayStop stops a process while a client keeps an idle connection, another one has sent
// nothing yet and a third one a part of a head.
func TestUnusedConnectionsDoNotDelayStop(t *testing.T) {
	rp := startProcess(t, func(http.ResponseWriter, *http.Request) {}, 0, longTimeout)
	for _, sent := range []string{"", "GET / HT", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		conn, err := net.Dial("tcp", rp.address)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, sent)
		assert.NilError(t, err)
		if sent != "" && sent[len(sent)-1] == '\n' {
			httpResponse, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, httpResponse.StatusCode, http.StatusOK)
		}
	}
	rp.stop()
	rp.awaitEnd(t)
}

// TestStalledClientDoesNotDelayStop stops a process that can't send a response, because the client does not read it.
func TestStalledClientDoesNotDelayStop(t *testing.T) {
	const responseTimeout = 300 * time.Millisecond
	rp := startProcess(t, refuse, longTimeout, responseTimeout)
	conn, err := net.Dial("tcp", rp.address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	rp.awaitRequest()
	rp.stop()
	rp.awaitEnd(t)
	assert.Assert(t, strings.Contains(rp.log.String(), "connections closed while responses were being sent"), rp.log.String())
}
