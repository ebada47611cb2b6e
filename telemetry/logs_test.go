package telemetry_test

import (
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// TestRequestLinesCrowdOutOtherLines writes more lines about requests than the limits allow, and then one about the host.
func TestRequestLinesCrowdOutOtherLines(t *testing.T) {
	for _, format := range []string{"Text", "JSON"} {
		synctest.Test(t, func(t *testing.T) {
			out := &lockedBuffer{}
			const lines, limit = 1000, 20_000
			logWriter := telemetry.NewLogWriter(out, telemetry.LogLimits{MaxBytesPerSecond: limit, MaxPendingBytes: limit}, format)
			logger := telemetry.NewLogger(logWriter, format, "Info").With("host", "host-a")
			for number := range lines {
				logger.Info("request refused", "request", number)
				logger.Info("place refused", "service", "models", "place", number)
			}
			logger.Info("host stopped")
			logWriter.Close()
			out.mutex.Lock()
			defer out.mutex.Unlock()
			assert.Assert(t, strings.Contains(out.content.String(), "host stopped"), out.content.String())
			assert.Assert(t, out.content.Len() < 2*limit)
		})
	}
}
