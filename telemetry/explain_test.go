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
`

// TestExplain finds a request's way in the order of time, with what happened to its engine meanwhile.
func TestExplain(t *testing.T) {
	lines, skipped, err := telemetry.ReadLines(strings.NewReader(logLines))
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	var way []string
	for _, line := range telemetry.Explain(lines, "r1") {
		way = append(way, line.String())
	}
	assert.DeepEqual(t, way, []string{
		"05:11:53.100 host-b               request placed attempt=host-b.1.1/1 engine=i-1 request=r1",
		"05:11:53.200 host-b               memory not set aside attempt=host-b.1.1/1 tokens=5",
		"05:11:53.300 host-a               backend server gone server=i-1",
		"05:11:53.500 host-b               request ended outcome=broken off request=r1",
	})
	assert.Equal(t, len(telemetry.Explain(lines, "r3")), 0)
}
