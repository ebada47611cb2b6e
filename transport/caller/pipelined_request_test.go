package caller_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
	"github.com/hibiscuslever/hibiscuslever/transport/bodymemory"
)

// TestPipelinedRequestCountsAsStalled sends two requests at once, so that the server has read the second one before it has
// answered the first. While it runs, its connection must not be closed as that of a caller that has stalled. It may be when the
// request has ended.
func TestPipelinedRequestCountsAsStalled(t *testing.T) {
	memory := bodymemory.New(0, 0, bodymemory.WithInterruption(timer.NewSystem(), time.Nanosecond))
	running, release := make(chan struct{}), make(chan struct{})
	conn, _ := serveWithMemory(t, memory, func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/second" {
			close(running)
			<-release
		}
	}, func(*http.Server) {})
	_, err := fmt.Fprint(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	_, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	<-running
	// The server watches by then whether the caller leaves.
	time.Sleep(20 * time.Millisecond)
	memory.InterruptMostStalled()
	close(release)
	_, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err, "the connection of a request that runs was closed")
	for memory.Counts().Interrupted == 0 {
		memory.InterruptMostStalled()
		time.Sleep(time.Millisecond)
	}
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil)
}
