package site_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/site"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
	"github.com/hibiscuslever/hibiscuslever/transport/operator"
)

// TestOperatorStatus shows operators the desired state's version, hosts, dispatchers and servers, and whether the host is ready.
func TestOperatorStatus(t *testing.T) {
	wd := newWorld(t)
	wd.server("book-1", "books")
	wd.server("engine-1", "models")
	wd.publish()
	hs := wd.host("host-1", true)
	assert.Equal(t, hs.chat("a1", 4000).status, http.StatusOK)
	base := "http://" + hs.settings.Host.OperatorAddress
	status, err := operator.NewClient(base).Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(status.Host), "host-1")
	assert.Equal(t, status.NotReady, "")
	assert.Equal(t, status.StoreAway, false)
	assert.Equal(t, int(status.Revisions[0].Revision), wd.version)
	assert.Equal(t, len(status.Hosts), 1)
	assert.Equal(t, string(status.Shards[0].Name), "models")
	assert.Equal(t, string(status.Shards[0].Dispatcher), "host-1")
	assert.Assert(t, status.Shards[0].Local)
	assert.Equal(t, len(status.Engines), 2)
	assert.Equal(t, int(status.Engines[1].Capacity), wd.capacity)
	assert.Equal(t, wd.status(base+"/readyz"), http.StatusOK)
}

// TestMetricsPage shows the gauges and counters of the operators' page in the usual text format.
func TestMetricsPage(t *testing.T) {
	wd := newWorld(t)
	wd.server("book-1", "books")
	wd.server("engine-1", "models")
	wd.publish()
	hs := wd.host("host-1", true)
	assert.Equal(t, hs.chat("a1", 4000).status, http.StatusOK)
	assert.Equal(t, hs.get("/read/x", "a2").status, http.StatusOK)
	wd.eventually(func() bool {
		text := wd.text("http://" + hs.settings.Host.OperatorAddress + "/metrics")
		for _, want := range []string{
			"hibiscuslever_desired_state_version 1", "hibiscuslever_list_age_seconds", "hibiscuslever_dispatch_waiting{service=\"models\"} 0",
			"hibiscuslever_retry_budget{service=\"books\"}", "hibiscuslever_store_calls{what=\"servers\"}", "hibiscuslever_grants 1",
			"hibiscuslever_first_byte_seconds_count{kind=\"streaming\",prompt=\"up_to_10k\"} 1",
		} {
			if !strings.Contains(text, want) {
				return false
			}
		}
		return true
	})
}

// TestBlockedLogDoesNotDelayRequests serves on while nobody reads the host's log.
func TestBlockedLogDoesNotDelayRequests(t *testing.T) {
	reader, writer := io.Pipe()
	lines := telemetry.NewLogWriter(writer, telemetry.LogLimits{BytesPerSecond: 1 << 20, PendingBytes: 64 << 10}, "JSON")
	t.Cleanup(func() {
		_ = reader.Close()
		lines.Close()
	})
	wd := newWorld(t)
	wd.options = []site.Option{site.WithLogger(telemetry.NewLogger(lines, "JSON", "Info"))}
	wd.server("book-1", "books")
	wd.publish()
	hs := wd.host("host-1", true)
	// 1,500 requests write more than what may wait to be written.
	const requests = 1500
	for number := range requests {
		assert.Equal(t, hs.get("/read/x", fmt.Sprintf("a%d", number)).status, http.StatusOK)
	}
}
