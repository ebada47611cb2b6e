package telemetry_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// sampleLog holds the lines of several hosts, unsorted. The first line has a prefix of a log collector.
const sampleLog = `  16.1 host-b {"time":"2026-03-15T05:11:53.5Z","level":"INFO","msg":"request ended","host":"host-b","request":"r1","outcome":"broken off"}
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

// TestRequestLines checks that a request's lines come sorted by time with those of its attempt and with what happened
// to its engine during the request. Events of another engine, and of its engine more than 5 s earlier, are left out.
func TestRequestLines(t *testing.T) {
	lines, skipped, err := telemetry.ReadLogLines(strings.NewReader(sampleLog))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	var gotLines []string
	for _, line := range telemetry.RequestLines(lines, "r1") {
		gotLines = append(gotLines, line.String())
	}
	assert.DeepEqual(t, gotLines, []string{
		"05:11:53.100 host-b               request placed attempt=host-b.1.1/1 engine=i-1 request=r1",
		"05:11:53.200 host-b               memory not set aside attempt=host-b.1.1/1 tokens=5",
		"05:11:53.300 host-a               backend server gone server=i-1",
		"05:11:53.500 host-b               request ended outcome=broken off request=r1",
	})
	assert.Equal(t, len(telemetry.RequestLines(lines, "r3")), 0)
}

// TestRequestLinesOfRefusedGrant checks that the dispatcher's reason for a refusal is found in another host's log by
// the ID of the grant, and that the hint names the log to get if that line is missing.
func TestRequestLinesOfRefusedGrant(t *testing.T) {
	lines, _, err := telemetry.ReadLogLines(strings.NewReader(sampleLog))
	assert.NilError(t, err)
	gotLines := telemetry.RequestLines(lines, "r4")
	assert.Equal(t, len(gotLines), 2)
	assert.Equal(t, gotLines[0].Message, "place refused")
	assert.Equal(t, telemetry.MissingLinesHint(gotLines), "")
	assert.Assert(t, strings.Contains(telemetry.MissingLinesHint(telemetry.RequestLines(lines, "r5")), "dispatcher"))
	assert.Assert(t, strings.Contains(telemetry.MissingLinesHint(telemetry.RequestLines(lines, "r1")), "dispatcher"))
	assert.Assert(t, strings.Contains(telemetry.MissingLinesHint(nil), "entry host"))
}

// TestRequestLinesOfPlainService checks that the result has both lines of a request to a plain service and no lines of
// other requests at the same server. No dispatcher is involved, so no line is missing.
func TestRequestLinesOfPlainService(t *testing.T) {
	lines, _, err := telemetry.ReadLogLines(strings.NewReader(sampleLog))
	assert.NilError(t, err)
	gotLines := telemetry.RequestLines(lines, "r6")
	assert.Equal(t, len(gotLines), 2)
	assert.Equal(t, telemetry.MissingLinesHint(gotLines), "")
}

// TestContentLines checks that the lines with one fingerprint are found on all hosts, sorted by time.
func TestContentLines(t *testing.T) {
	lines, _, err := telemetry.ReadLogLines(strings.NewReader(`
{"time":"2026-03-15T05:11:54.3Z","msg":"attempt ended","host":"host-c","request":"r9","fingerprint":"beef","server":"app-2"}
{"time":"2026-03-15T05:11:54.1Z","msg":"attempt ended","host":"host-b","request":"r8","fingerprint":"beef","server":"app-1","result":"read answer\nEOF"}
{"time":"2026-03-15T05:11:54.2Z","msg":"attempt ended","host":"host-b","request":"r7","fingerprint":"cafe","server":"app-1"}
`))
	assert.NilError(t, err)
	var requestIDs []string
	for _, line := range telemetry.ContentLines(lines, "beef") {
		requestIDs = append(requestIDs, line.Text("request"))
	}
	assert.DeepEqual(t, requestIDs, []string{"r8", "r9"})
	assert.Equal(t, telemetry.ContentLines(lines, "beef")[0].String(),
		"05:11:54.100 host-b               attempt ended fingerprint=beef request=r8 result=read answer; EOF server=app-1")
}

// TestRequestLinesOfRelayedAttempt checks that the lines of a request include those of the host that sent an attempt on
// behalf of its entry host.
func TestRequestLinesOfRelayedAttempt(t *testing.T) {
	lines, _, err := telemetry.ReadLogLines(strings.NewReader(`
{"time":"2026-03-15T05:11:54.4Z","msg":"request ended","host":"host-b","request":"r8","server":"app-1","outcome":"answered"}
{"time":"2026-03-15T05:11:54.1Z","msg":"attempt sent for a peer","host":"host-c","request":"r8","server":"app-1","peer":"host-b","result":"answered"}
{"time":"2026-03-15T05:11:54.2Z","msg":"attempt relayed","host":"host-b","request":"r8","server":"app-1","peer":"host-c","way":"through_peer"}
{"time":"2026-03-15T05:11:54.1Z","msg":"attempt sent for a peer","host":"host-c","request":"r9","server":"app-1","peer":"host-b","result":"answered"}
`))
	assert.NilError(t, err)
	var messages []string
	for _, line := range telemetry.RequestLines(lines, "r8") {
		messages = append(messages, line.Host+": "+line.Message)
	}
	assert.DeepEqual(t, messages, []string{"host-c: attempt sent for a peer", "host-b: attempt relayed", "host-b: request ended"})
}
