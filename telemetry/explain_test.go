package telemetry_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

const logLines = `  16.1 host-b {"time":"2026-03-15T05:11:53.5Z","level":"INFO","msg":"request ended","host":"host-b","request":"r1","outcome":"broken off"}
not a log line
{"time":"2026-03-15T05:11:53.1Z","msg":"request placed","host":"host-b","request":"r1","attempt":"host-b.1.1/1","engine":"i-1"}
{"time":"2026-03-15T05:11:53.3Z","msg":"backend server gone","host":"host-a","server":"i-1"}
{"time":"2026-03-15T05:11:53.3Z","msg":"backend server gone","host":"host-a","server":"i-2"}
{"time":"2026-03-15T05:11:20.3Z","msg":"backend server listed","host":"host-a","server":"i-1"}
{"time":"2026-03-15T05:11:53.2Z","msg":"memory not set aside","host":"host-b","attempt":"host-b.1.1/1","tokens":5}
{"time":"2026-03-15T05:11:53.2Z","msg":"request ended","host":"host-b","request":"r2"}
{"time":"2026-03-15T05:11:54.3Z","msg":"attempt ended","host":"host-b","request":"r6","server":"app-1","number":1,"result":"answered"}
{"time":"2026-03-15T05:11:54.3Z","msg":"request ended","host":"host-b","request":"r6","server":"app-1","attempts":1,"outcome":"answered","place":""}
{"time":"2026-03-15T05:11:54.4Z","msg":"attempt ended","host":"host-c","request":"r7","server":"app-1","number":1,"result":"answered"}
{"time":"2026-03-15T05:11:54.1Z","msg":"place refused","host":"host-c","place":"host-b.1.4","reason":"overloaded"}
{"time":"2026-03-15T05:11:54.2Z","msg":"request ended","host":"host-b","request":"r4","place":"host-b.1.4","outcome":"not_run"}
{"time":"2026-03-15T05:11:54.2Z","msg":"request ended","host":"host-b","request":"r5","place":"host-b.1.5","outcome":"not_run"}
`

// TestRequestLines finds a request's way in the order of time, with what happened to its engine meanwhile.
func TestRequestLines(t *testing.T) {
	lines, skipped, err := telemetry.ReadLogLines(strings.NewReader(logLines))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	var way []string
	for _, line := range telemetry.RequestLines(lines, "r1") {
		way = append(way, line.String())
	}
	assert.DeepEqual(t, way, []string{
		"05:11:53.100 host-b               request placed attempt=host-b.1.1/1 engine=i-1 request=r1",
		"05:11:53.200 host-b               memory not set aside attempt=host-b.1.1/1 tokens=5",
		"05:11:53.300 host-a               backend server gone server=i-1",
		"05:11:53.500 host-b               request ended outcome=broken off request=r1",
	})
	assert.Equal(t, len(telemetry.RequestLines(lines, "r3")), 0)
}

// TestRequestLinesOfRefusedGrant finds the dispatcher's reason on another host by the place, and says when its line is missing.
func TestRequestLinesOfRefusedGrant(t *testing.T) {
	lines, _, err := telemetry.ReadLogLines(strings.NewReader(logLines))
	assert.NilError(t, err)
	way := telemetry.RequestLines(lines, "r4")
	assert.Equal(t, len(way), 2)
	assert.Equal(t, way[0].Message, "place refused")
	assert.Equal(t, telemetry.MissingLinesHint(way), "")
	assert.Assert(t, strings.Contains(telemetry.MissingLinesHint(telemetry.RequestLines(lines, "r5")), "dispatcher"))
	assert.Assert(t, strings.Contains(telemetry.MissingLinesHint(telemetry.RequestLines(lines, "r1")), "dispatcher"))
	assert.Assert(t, strings.Contains(telemetry.MissingLinesHint(nil), "entry host"))
}

// TestRequestLinesOfPlainService finds the two lines of a plain service's request, not those of others at the same server.
func TestRequestLinesOfPlainService(t *testing.T) {
	lines, _, err := telemetry.ReadLogLines(strings.NewReader(logLines))
	assert.NilError(t, err)
	way := telemetry.RequestLines(lines, "r6")
	assert.Equal(t, len(way), 2)
	assert.Equal(t, telemetry.MissingLinesHint(way), "")
}

// TestContentLines finds what became of all requests with one content, on all hosts.
func TestContentLines(t *testing.T) {
	lines, _, err := telemetry.ReadLogLines(strings.NewReader(`
{"time":"2026-03-15T05:11:54.3Z","msg":"attempt ended","host":"host-c","request":"r9","fingerprint":"beef","server":"app-2"}
{"time":"2026-03-15T05:11:54.1Z","msg":"attempt ended","host":"host-b","request":"r8","fingerprint":"beef","server":"app-1","result":"read answer\nEOF"}
{"time":"2026-03-15T05:11:54.2Z","msg":"attempt ended","host":"host-b","request":"r7","fingerprint":"cafe","server":"app-1"}
`))
	assert.NilError(t, err)
	var way []string
	for _, line := range telemetry.ContentLines(lines, "beef") {
		way = append(way, line.Text("request"))
	}
	assert.DeepEqual(t, way, []string{"r8", "r9"})
	assert.Equal(t, telemetry.ContentLines(lines, "beef")[0].String(),
		"05:11:54.100 host-b               attempt ended fingerprint=beef request=r8 result=read answer; EOF server=app-1")
}
