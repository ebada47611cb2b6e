package telemetry_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// TestWriteNeverBlocks goes on although nobody reads the lines, and says how many were dropped.
func TestWriteNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	lines := telemetry.NewLogWriter(writer, telemetry.LogLimits{BytesPerSecond: 1 << 20, PendingBytes: 256 << 10}, "JSON")
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 5000 {
		count, err := lines.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, count, len(line))
	}
	lines.Close()
	_ = reader.Close()
}

type buffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (bf *buffer) Write(part []byte) (int, error) {
	bf.mutex.Lock()
	defer bf.mutex.Unlock()
	return bf.bytes.Write(part)
}

// TestLinesAreWrittenInOrder keeps the lines and their order.
func TestLinesAreWrittenInOrder(t *testing.T) {
	out := &buffer{}
	lines := telemetry.NewLogWriter(out, telemetry.LogLimits{BytesPerSecond: 1 << 20, PendingBytes: 256 << 10}, "JSON")
	for _, text := range []string{"a\n", "b\n", "c\n"} {
		_, err := lines.Write([]byte(text))
		assert.NilError(t, err)
	}
	lines.Close()
	out.mutex.Lock()
	defer out.mutex.Unlock()
	assert.Equal(t, out.bytes.String(), "a\nb\nc\n")
}

// TestDropsAreReported says how many lines were dropped, in a line that readers of logs find, though nothing else is
// written afterwards.
func TestDropsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		const lineBytes, perSecond, written = 100, 5000, 120
		lines := telemetry.NewLogWriter(out, telemetry.LogLimits{BytesPerSecond: perSecond, PendingBytes: perSecond}, "JSON", "host", "host-a")
		line := []byte(strings.Repeat("x", lineBytes-1) + "\n")
		for range written {
			_, err := lines.Write(line)
			assert.NilError(t, err)
		}
		time.Sleep(2 * time.Second)
		out.mutex.Lock()
		defer out.mutex.Unlock()
		found, others, err := telemetry.ReadLogLines(&out.bytes)
		assert.NilError(t, err)
		assert.Equal(t, others, perSecond/lineBytes)
		assert.Equal(t, len(found), 1)
		assert.Equal(t, found[0].Message, "log lines dropped")
		assert.Equal(t, found[0].Host, "host-a")
		assert.Equal(t, int(found[0].Number("count")), written-perSecond/lineBytes)
		go lines.Close()
	})
}

// TestPendingBytesAreBounded keeps no more than the bound while nobody reads, and says afterwards what was dropped.
func TestPendingBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		const lineBytes, pending, written = 100, 5000, 120
		lines := telemetry.NewLogWriter(writer, telemetry.LogLimits{BytesPerSecond: 1 << 20, PendingBytes: pending}, "JSON")
		line := []byte(strings.Repeat("x", lineBytes-1) + "\n")
		for range written {
			_, err := lines.Write(line)
			assert.NilError(t, err)
			// The first line is on its way to the reader, all others wait.
			synctest.Wait()
		}
		out := &buffer{}
		go func() { _, _ = io.Copy(out, reader) }()
		time.Sleep(2 * time.Second)
		lines.Close()
		_ = writer.Close()
		synctest.Wait()
		out.mutex.Lock()
		defer out.mutex.Unlock()
		found, others, err := telemetry.ReadLogLines(&out.bytes)
		assert.NilError(t, err)
		assert.Equal(t, others, 1+pending/lineBytes)
		assert.Equal(t, len(found), 1)
		assert.Equal(t, int(found[0].Number("count")), written-1-pending/lineBytes)
	})
}

// BenchmarkLogStreamedRequest measures the lines of one streamed request: placed, attempt ended, request ended.
func BenchmarkLogStreamedRequest(b *testing.B) {
	lines := telemetry.NewLogWriter(io.Discard, telemetry.LogLimits{BytesPerSecond: 1 << 30, PendingBytes: 1 << 30}, "JSON")
	defer lines.Close()
	logger := telemetry.NewLogger(lines, "JSON", "Info").With("host", "accra-a-1")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("request placed", "request", "9c41d07be2a35f68", "attempt", "accra-a-1.dfucwyd1vx5j.1/1", "engine", "i-0dd96b838e",
			"address", "10.1.64.42:8602", "helpers", 0, "prompt", 4303, "urgency", 0, "predicted_ms", 36, "waited_ms", 7, "list_age_ms", 374)
		logger.Info("attempt ended", "request", "9c41d07be2a35f68", "attempt", "accra-a-1.dfucwyd1vx5j.1/1", "engine", "i-0dd96b838e",
			"address", "10.1.64.42:8602", "helpers", 0, "prompt", 4303, "result", "answered", "predicted_ms", 36, "queued_ms", 7,
			"first_ms", 52, "pause_ms", 155, "last_event", "57", "remaining_ms", 5810)
		logger.Info("request ended", "request", "9c41d07be2a35f68", "route", "r-kcye7fj", "organisation", "zida125", "outcome", "answered",
			"prompt", 4303, "status", 200, "reason", "", "detail", "", "cause", "answered", "attempts", 1, "server", "i-0dd96b838e",
			"queued_ms", 7, "first_ms", 52, "total_ms", 3676)
	}
}
