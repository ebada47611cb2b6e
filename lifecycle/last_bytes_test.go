package lifecycle_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// slowClient is a client with a small receive buffer.
type slowClient struct {
	conn *net.TCPConn
}

const (
	// receiveBuffer is the size of the receive buffer of a slowClient.
	receiveBuffer = 4 << 10
	// segmentSize is the usual size of segments. Those of the loopback interface are larger than receiveBuffer.
	segmentSize = 1460
)

// dialSlowly opens a connection with a small receive buffer and sends text.
func dialSlowly(t *testing.T, address, text string) slowClient {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var errs [2]error
		err := raw.Control(func(fd uintptr) {
			errs[0] = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			errs[1] = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentSize)
		})
		return errors.Join(err, errs[0], errs[1])
	}}
	conn, err := dialer.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	sc := slowClient{conn.(*net.TCPConn)}
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	return sc
}

// read reads a response slowly and returns its body.
func (sc slowClient) read() ([]byte, error) {
	const pause = time.Millisecond
	httpResponse, err := http.ReadResponse(bufio.NewReaderSize(sc.conn, receiveBuffer), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	var body bytes.Buffer
	for {
		_, err := io.CopyN(&body, httpResponse.Body, receiveBuffer)
		if err == io.EOF {
			return body.Bytes(), nil
		}
		if err != nil {
			return body.Bytes(), err
		}
		time.Sleep(pause)
	}
}

// startStoppable starts a process whose handler runs only once the returned function has stopped the process.
func startStoppable(t *testing.T, handler http.HandlerFunc) (rp *runningProcess, stop func()) {
	t.Helper()
	return startStoppableWithClock(t, handler, timer.NewSystem())
}

// startStoppableWithClock is startStoppable with a clock.
func startStoppableWithClock(t *testing.T, handler http.HandlerFunc, clock timer.Clock) (rp *runningProcess, stop func()) {
	t.Helper()
	stopped := make(chan struct{})
	rp = startProcessWithClock(t, func(writer http.ResponseWriter, httpRequest *http.Request) {
		<-stopped
		handler(writer, httpRequest)
	}, 0, longTimeout, clock)
	return rp, func() {
		rp.awaitRequest()
		rp.stop()
		close(stopped)
	}
}

// request is the text of a request, and longBody is a response that does not fit into the receive buffer of a slowClient
// but into the send buffer of a process.
const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

var longBody = strings.Repeat("x", 64<<10)

// TestStopCutsLastBytes stops a process whose last response is still in its send queue, because the client reads slowly.
// The client receives all of it, also if it has sent more that the process does not read.
func TestStopCutsLastBytes(t *testing.T) {
	for _, tc := range []struct {
		name, sentLater string
		keepsConnection bool
	}{
		{"one request", "", false},
		{"a second request follows", request, false},
		{"a second request follows in part", "GET / HT", false},
		{"a kept connection", "", true},
		{"a kept connection on which a second request follows in part", "GET / HT", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			rp, stop := startStoppable(t, func(writer http.ResponseWriter, _ *http.Request) {
				if !tc.keepsConnection {
					writer.Header().Set("Connection", "close")
				}
				_, _ = io.WriteString(writer, longBody)
			})
			client := dialSlowly(t, rp.address, request)
			rp.awaitRequest()
			_, err := io.WriteString(client.conn, tc.sentLater)
			assert.NilError(t, err)
			stop()
			body, err := client.read()
			assert.NilError(t, err, "after %d bytes", len(body))
			assert.Equal(t, len(body), len(longBody))
			rp.awaitEnd(t)
		})
	}
}

// TestStopWaitsForSendQueue checks that a process does not end before its client's system has the response: the machine
// may end with the process.
func TestStopWaitsForSendQueue(t *testing.T) {
	for _, connectionHeader := range []string{"close", "keep-alive"} {
		t.Run(connectionHeader, func(t *testing.T) {
			t.Parallel()
			rp, stop := startStoppable(t, func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Connection", connectionHeader)
				_, _ = io.WriteString(writer, longBody[:queuedBytes])
			})
			client := dialSlowly(t, rp.address, request)
			stop()
			select {
			case <-rp.ended:
				t.Fatal("the process has ended before its client had the response")
			case <-time.After(shortDelay):
			}
			body, err := client.read()
			assert.NilError(t, err, "after %d bytes", len(body))
			assert.Equal(t, len(body), queuedBytes)
			rp.awaitEnd(t)
		})
	}
}

// queuedBytes is the size of a response that fits into the send buffer of a process together with the receive buffer of a
// slowClient, but not into the latter.
const queuedBytes = 24 << 10

// TestClientsThatDoNotEndDelayStop stops a process with a response in its send queue for a client that reads nothing, and
// one with a client that goes on sending. Neither keeps the process for as long as it may take.
func TestClientsThatDoNotEndDelayStop(t *testing.T) {
	respond := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Connection", "close")
		_, _ = io.WriteString(writer, longBody[:queuedBytes])
	}
	t.Run("reads nothing", func(t *testing.T) {
		t.Parallel()
		rp, stop := startStoppable(t, respond)
		dialSlowly(t, rp.address, request)
		stop()
		rp.awaitEnd(t)
	})
	t.Run("goes on sending", func(t *testing.T) {
		t.Parallel()
		rp, stop := startStoppable(t, respond)
		client := dialSlowly(t, rp.address, request)
		stop()
		go func() {
			for {
				if _, err := io.WriteString(client.conn, longBody[:100]); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		body, err := client.read()
		assert.NilError(t, err, "after %d bytes", len(body))
		rp.awaitEnd(t)
	})
}

// stoppedClock is a clock on which no time passes, although waits end.
type stoppedClock struct {
	timer.Clock
	now time.Time
}

func (sc stoppedClock) Now() time.Time { return sc.now }

// TestResetByClientDelaysStop stops a process with a response in its send queue for a client that resets the connection,
// during the stop and before the response is sent. No time passes for the process, so that it can't give the client up.
func TestResetByClientDelaysStop(t *testing.T) {
	for _, resetsFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("first ", resetsFirst), func(t *testing.T) {
			t.Parallel()
			written, reset := make(chan struct{}), make(chan struct{})
			rp, stop := startStoppableWithClock(t, func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Connection", "close")
				_, _ = io.WriteString(writer, longBody[:queuedBytes])
				_ = http.NewResponseController(writer).Flush()
				close(written)
				if resetsFirst {
					<-reset
				}
			}, stoppedClock{timer.NewSystem(), time.Now()})
			client := dialSlowly(t, rp.address, request)
			stop()
			<-written
			if !resetsFirst {
				time.Sleep(shortDelay)
			}
			assert.NilError(t, client.conn.SetLinger(0))
			assert.NilError(t, client.conn.Close())
			close(reset)
			rp.awaitEnd(t)
		})
	}
}

// TestResetIsNotTurnedIntoEnd resets a connection of a stopping process. An ordinary end would be the end of a response
// that has neither a length nor chunks.
func TestResetIsNotTurnedIntoEnd(t *testing.T) {
	rp, stop := startStoppable(t, func(writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\n"+longBody[:queuedBytes])
		if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = lingering.SetLinger(0)
		}
		_ = conn.Close()
	})
	client := dialSlowly(t, rp.address, "GET / HTTP/1.0\r\n\r\n")
	stop()
	_, err := client.read()
	assert.ErrorContains(t, err, "reset")
	rp.awaitEnd(t)
}
