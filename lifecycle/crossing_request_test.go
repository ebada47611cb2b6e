package lifecycle_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// recordingListener counts the connections on which a whole request was read and nothing was written before the close.
type recordingListener struct {
	net.Listener
	dropped *atomic.Int64
}

func (rl recordingListener) Accept() (net.Conn, error) {
	conn, err := rl.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // the server compares it
	}
	return &recordingConn{TCPConn: conn.(*net.TCPConn), dropped: rl.dropped}, nil
}

type recordingConn struct {
	*net.TCPConn
	dropped *atomic.Int64

	// mutex guards the fields below.
	mutex    sync.Mutex
	received []byte
	written  bool
	closed   bool
}

func (rc *recordingConn) Read(buffer []byte) (int, error) {
	count, err := rc.TCPConn.Read(buffer)
	rc.mutex.Lock()
	defer rc.mutex.Unlock()
	rc.received = append(rc.received, buffer[:count]...)
	return count, err //nolint:wrapcheck // the server compares it
}

func (rc *recordingConn) Write(content []byte) (int, error) {
	rc.mutex.Lock()
	rc.written = true
	rc.mutex.Unlock()
	return rc.TCPConn.Write(content)
}

func (rc *recordingConn) Close() error {
	rc.mutex.Lock()
	if !rc.closed && !rc.written && bytes.HasSuffix(rc.received, []byte("\r\n\r\n")) {
		rc.dropped.Add(1)
	}
	rc.closed = true
	rc.mutex.Unlock()
	return rc.TCPConn.Close()
}

// TestStopDropsRequestsThatWereRead stops processes while clients open connections and send a request on each.
func TestStopDropsRequestsThatWereRead(t *testing.T) {
	const (
		stops, callers  = 100, 4
		timeBeforeStop  = 3 * time.Millisecond
		responseTimeout = longTimeout
	)
	var dropped, answered atomic.Int64
	for range stops {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		process := lifecycle.Process{
			Clock:     timer.NewSystem(),
			Logger:    slog.New(slog.DiscardHandler),
			Servers:   []*http.Server{{Handler: http.HandlerFunc(refuse)}},
			Listeners: []net.Listener{recordingListener{listener, &dropped}},
			ShutDown:  func(context.Context, error) time.Duration { return responseTimeout },
		}
		ended := make(chan error, 1)
		go func() { ended <- process.Run(ctx) }()
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for {
					conn, err := net.Dial("tcp", listener.Addr().String())
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
					if response, _ := io.ReadAll(conn); len(response) > 0 {
						answered.Add(1)
					}
					_ = conn.Close()
				}
			})
		}
		time.Sleep(timeBeforeStop)
		stop()
		assert.NilError(t, <-ended)
		group.Wait()
	}
	assert.Equal(t, dropped.Load(), int64(0), "%d answered", answered.Load())
	assert.Assert(t, answered.Load() > 0)
}
