package e2e

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLongestRequestInCalm sends single requests that reach the limits: the longest body, announced and in chunks of several
// lengths, and nearly the longest head. Each must be answered.
func TestLongestRequestInCalm(t *testing.T) {
	const besideBytes = 1 << 10
	forEachFront(t, func(cf *crowdFront) {
		fields := manyFields(crowdHeadBytes - besideBytes)
		for name, send := range map[string]func(wr io.Writer, head string){
			"announced":     func(wr io.Writer, head string) { sendAnnounced(wr, head, crowdBodyBytes, crowdBodyBytes) },
			"large chunks":  func(wr io.Writer, head string) { sendChunked(wr, head, 256<<10, crowdBodyBytes); endChunked(wr) },
			"chunks of 8 B": func(wr io.Writer, head string) { sendChunked(wr, head, 8, crowdBodyBytes); endChunked(wr) },
			"long head":     func(wr io.Writer, head string) { sendAnnounced(wr, head+fields, 1, 1) },
			"both":          func(wr io.Writer, head string) { sendAnnounced(wr, head+fields, crowdBodyBytes, crowdBodyBytes) },
			"one long field": func(wr io.Writer, head string) {
				sendAnnounced(wr, head+"X-Long: "+strings.Repeat("x", crowdHeadBytes-besideBytes)+"\r\n", 1, 1)
			},
		} {
			conn, err := net.Dial("tcp", cf.address)
			assert.NilError(t, err)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
			send(conn, cf.head(strings.ReplaceAll(name, " ", "-")))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err, name)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err, name)
			assert.Equal(t, response.StatusCode, http.StatusOK, "%s: %.200s", name, body)
			assert.NilError(t, conn.Close())
		}
		peak := peakMegabytes(t, cf.process)
		t.Logf("peak %.0f MB", peak)
		assert.Check(t, peak < crowdMemoryMegabytes, "%.0f MB", peak)
	})
}

// endChunked sends the end of a chunked body.
func endChunked(wr io.Writer) { _, _ = io.WriteString(wr, "0\r\n\r\n") }
