package lifecycle_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFailureCutsLastBytes has a part of a process fail while its last response is being written to a client that reads
// slowly and has sent more that the process does not read. The client receives the whole response.
func TestFailureCutsLastBytes(t *testing.T) {
	for _, wf := range waysToFail {
		t.Run(wf.name, func(t *testing.T) {
			fp := newFailingProcess(t)
			fp.handler.handler = func(writer http.ResponseWriter, _ *http.Request) {
				<-fp.finish
				writer.Header().Set("Connection", "close")
				_, _ = io.WriteString(writer, longBody)
			}
			wf.prepare(fp)
			client := dialSlowly(t, fp.process.Listeners[0].Addr().String(), request)
			go func() { fp.ended <- fp.process.Run(t.Context()) }()
			for fp.handler.started.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			_, err := io.WriteString(client.conn, "GET / HT")
			assert.NilError(t, err)
			close(fp.fail)
			fp.awaitLeaving(t)
			close(fp.finish)
			body, err := client.read()
			assert.NilError(t, err, "after %d bytes", len(body))
			assert.Equal(t, len(body), len(longBody))
			fp.awaitFailure(t, wf.want)
		})
	}
}
