package lifecycle_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestEndOfStopMakesCutResponseLookWhole ends a process while it writes a response to a client of HTTP/1.0 that does not
// read. The client must not take the part that it has received for the whole response, which ends with its connection.
func TestEndOfStopMakesCutResponseLookWhole(t *testing.T) {
	const bodyBytes = 32 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	writing := make(chan struct{})
	process := lifecycle.Process{
		Clock:  timer.NewSystem(),
		Logger: slog.New(slog.DiscardHandler),
		Servers: []*http.Server{{Handler: http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
			close(writing)
			_, _ = writer.Write(make([]byte, bodyBytes))
		})}},
		Listeners: []net.Listener{listener},
		ShutDown:  func(context.Context, error) time.Duration { return shortDelay },
	}
	ended := make(chan error, 1)
	go func() { ended <- process.Run(ctx) }()
	client := dialSlowly(t, listener.Addr().String(), "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
	<-writing
	stop()
	assert.NilError(t, <-ended)
	received, err := io.ReadAll(client.conn)
	assert.Assert(t, err != nil || len(received) > bodyBytes, "%d of %d bytes and an ordinary end", len(received), bodyBytes)
}
