package peer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/peerrelay"
	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/backend"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
	"github.com/hibiscuslever/hibiscuslever/transport/clientconn"
)

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

// TestInterruptionAtEndOfBodyEndsRelayedCall interrupts entry hosts when the body of a relayed call has been read to its end,
// before its reader has noticed the end. The call must be made, and the next one on the connection too.
func TestInterruptionAtEndOfBodyEndsRelayedCall(t *testing.T) {
	relay := relayFunc(func(ctx context.Context, _ peerrelay.Call) (peerrelay.Answer, error) {
		return peerrelay.Answer{Response: forward.Response{Status: http.StatusOK, Body: http.NoBody}}, ctx.Err()
	})
	memory := bodymemory.New(1_000_000, 0, bodymemory.WithInterruption(timer.NewSystem(), time.Nanosecond))
	handler := NewServer(LocalComponents{RelayServer: relay, BodyMemory: memory}, timer.NewSystem()).Handler()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		request.Body = bodyEndBody{request.Body, func() {
			memory.InterruptMostStalled()
			// The background read of net/http has failed by then if it is interrupted.
			time.Sleep(50 * time.Millisecond)
		}}
		handler.ServeHTTP(writer, request)
	}))
	server.Listener = clientconn.Listener{Listener: server.Listener}
	clientconn.TrackRequests(server.Config)
	server.Start()
	defer server.Close()
	pool := backend.NewPool(backend.DefaultConfig(), timer.NewSystem())
	defer pool.Close()
	client := NewRelayClient(pool, func(context.Context, membership.Member) {})
	for range 2 {
		answer, err := client.Relay(t.Context(), membership.Member{Host: "peer", PeerAddress: server.Listener.Addr().String()}, fullCall())
		assert.NilError(t, err)
		assert.NilError(t, answer.Response.Body.Close())
	}
}

// TestStalledRelayedCallIsNotInterrupted has an entry host stop before the end of a relayed call. It must learn that the call
// was not sent once it is interrupted.
func TestStalledRelayedCallIsNotInterrupted(t *testing.T) {
	memory := bodymemory.New(1_000_000, 0, bodymemory.WithInterruption(timer.NewSystem(), time.Nanosecond))
	server := httptest.NewUnstartedServer(NewServer(LocalComponents{RelayServer: relayFunc(nil), BodyMemory: memory}, timer.NewSystem()).Handler())
	server.Listener = clientconn.Listener{Listener: server.Listener}
	clientconn.TrackRequests(server.Config)
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n\x00\x00", relayPath, 2*bodymemory.UncountedBytes)
	assert.NilError(t, err)
	for memory.Reserved() == 0 {
		time.Sleep(time.Millisecond)
	}
	memory.InterruptMostStalled()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(content), bodymemory.ErrStalled.Error()), "%q", content)
}
