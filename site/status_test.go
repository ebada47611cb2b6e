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

// TestOperatorStatus checks what operators see of a host: the version of the desired state, the hosts, dispatchers and
// servers, and whether the host is ready.
func TestOperatorStatus(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("book-1", "books")
	env.addServer("engine-1", "models")
	env.publishTable()
	host := env.startHost("host-1", true)
	assert.Equal(t, host.sendPrompt("a1", 4000).status, http.StatusOK)
	operatorURL := "http://" + host.settings.Host.OperatorAddress
	status, err := operator.NewClient(operatorURL).Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(status.Host), "host-1")
	assert.Equal(t, status.NotReady, "")
	assert.Equal(t, status.StoreAway, false)
	assert.Equal(t, int(status.Revisions[0].Revision), env.tableVersion)
	assert.Equal(t, len(status.Hosts), 1)
	assert.Equal(t, string(status.Shards[0].Name), "models")
	assert.Equal(t, string(status.Shards[0].Dispatcher), "host-1")
	assert.Assert(t, status.Shards[0].Local)
	assert.Equal(t, len(status.Engines), 2)
	assert.Equal(t, int(status.Engines[1].Capacity), env.engineCapacity)
	assert.Equal(t, env.getStatus(operatorURL+"/readyz"), http.StatusOK)
}

// TestMetricsPage checks that gauges and counters appear on the operators' page in the Prometheus text format.
func TestMetricsPage(t *testing.T) {
	env := newTestEnv(t)
	env.addServer("book-1", "books")
	env.addServer("engine-1", "models")
	env.publishTable()
	host := env.startHost("host-1", true)
	assert.Equal(t, host.sendPrompt("a1", 4000).status, http.StatusOK)
	assert.Equal(t, host.get("/read/x", "a2").status, http.StatusOK)
	env.eventually(func() bool {
		text := env.getText("http://" + host.settings.Host.OperatorAddress + "/metrics")
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

// TestBlockedLogDoesNotDelayRequests checks that requests are served while nobody reads the host's log.
func TestBlockedLogDoesNotDelayRequests(t *testing.T) {
	reader, writer := io.Pipe()
	lines := telemetry.NewLogWriter(writer, telemetry.LogLimits{MaxBytesPerSecond: 1 << 20, MaxPendingBytes: 64 << 10}, "JSON")
	t.Cleanup(func() {
		_ = reader.Close()
		lines.Close()
	})
	env := newTestEnv(t)
	env.hostOptions = []site.Option{site.WithLogger(telemetry.NewLogger(lines, "JSON", "Info"))}
	env.addServer("book-1", "books")
	env.publishTable()
	host := env.startHost("host-1", true)
	// The log lines of 1,500 requests exceed what the logger keeps until it can be written.
	const requests = 1500
	for number := range requests {
		assert.Equal(t, host.get("/read/x", fmt.Sprintf("a%d", number)).status, http.StatusOK)
	}
}
