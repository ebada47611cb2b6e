package telemetry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// TestWriteNeverBlocks checks that Write and Close return although nobody reads the lines.
func TestWriteNeverBlocks(t *testing.T) {
	pipeReader, pipeWriter := io.Pipe()
	logWriter := telemetry.NewLogWriter(pipeWriter, telemetry.LogLimits{MaxBytesPerSecond: 1 << 20, MaxPendingBytes: 256 << 10}, "JSON")
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 5000 {
		count, err := logWriter.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, count, len(line))
	}
	logWriter.Close()
	_ = pipeReader.Close()
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mutex   sync.Mutex
	content bytes.Buffer
}

func (bf *lockedBuffer) Write(part []byte) (int, error) {
	bf.mutex.Lock()
	defer bf.mutex.Unlock()
	return bf.content.Write(part)
}

// TestLinesAreWrittenInOrder checks that Close writes all pending lines, in the order of the calls of Write.
func TestLinesAreWrittenInOrder(t *testing.T) {
	out := &lockedBuffer{}
	logWriter := telemetry.NewLogWriter(out, telemetry.LogLimits{MaxBytesPerSecond: 1 << 20, MaxPendingBytes: 256 << 10}, "JSON")
	for _, text := range []string{"a\n", "b\n", "c\n"} {
		_, err := logWriter.Write([]byte(text))
		assert.NilError(t, err)
	}
	logWriter.Close()
	out.mutex.Lock()
	defer out.mutex.Unlock()
	assert.Equal(t, out.content.String(), "a\nb\nc\n")
}

// TestDropsAreReported checks that the number of dropped lines is reported even if no line is written afterwards, in a
// line that ReadLogLines can read.
func TestDropsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lockedBuffer{}
		const lineBytes, bytesPerSecond, writtenLines = 100, 5000, 120
		logWriter := telemetry.NewLogWriter(out, telemetry.LogLimits{MaxBytesPerSecond: bytesPerSecond, MaxPendingBytes: bytesPerSecond}, "JSON", "host", "host-a")
		line := []byte(strings.Repeat("x", lineBytes-1) + "\n")
		for range writtenLines {
			_, err := logWriter.Write(line)
			assert.NilError(t, err)
		}
		time.Sleep(2 * time.Second)
		out.mutex.Lock()
		defer out.mutex.Unlock()
		reports, otherLines, err := telemetry.ReadLogLines(&out.content)
		assert.NilError(t, err)
		assert.Equal(t, otherLines, bytesPerSecond/lineBytes)
		assert.Equal(t, len(reports), 1)
		assert.Equal(t, reports[0].Message, "log lines dropped")
		assert.Equal(t, reports[0].Host, "host-a")
		assert.Equal(t, int(reports[0].Number("count")), writtenLines-bytesPerSecond/lineBytes)
		go logWriter.Close()
	})
}

// TestPendingBytesAreBounded checks that no more than the limit waits while nobody reads, and that the number of
// dropped lines is reported once reading resumes.
func TestPendingBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pipeReader, pipeWriter := io.Pipe()
		const lineBytes, pendingBytes, writtenLines = 100, 5000, 120
		logWriter := telemetry.NewLogWriter(pipeWriter, telemetry.LogLimits{MaxBytesPerSecond: 1 << 20, MaxPendingBytes: pendingBytes}, "JSON")
		line := []byte(strings.Repeat("x", lineBytes-1) + "\n")
		for range writtenLines {
			_, err := logWriter.Write(line)
			assert.NilError(t, err)
			// The writing goroutine has taken the first line and blocks on the pipe; all others wait.
			synctest.Wait()
		}
		out := &lockedBuffer{}
		go func() { _, _ = io.Copy(out, pipeReader) }()
		time.Sleep(2 * time.Second)
		logWriter.Close()
		_ = pipeWriter.Close()
		synctest.Wait()
		out.mutex.Lock()
		defer out.mutex.Unlock()
		reports, otherLines, err := telemetry.ReadLogLines(&out.content)
		assert.NilError(t, err)
		assert.Equal(t, otherLines, 1+pendingBytes/lineBytes)
		assert.Equal(t, len(reports), 1)
		assert.Equal(t, int(reports[0].Number("count")), writtenLines-1-pendingBytes/lineBytes)
	})
}

// writeResult is what a write returns: the number of bytes taken and an error.
type writeResult struct {
	bytes int
	err   error
}

// scriptedWriter returns results in order, and then takes all bytes.
type scriptedWriter struct {
	lockedBuffer
	results []writeResult
	// writes counts the calls.
	writes int
}

func (sw *scriptedWriter) Write(part []byte) (int, error) {
	sw.writes++
	if len(sw.results) == 0 {
		return sw.lockedBuffer.Write(part)
	}
	result := sw.results[0]
	sw.results = sw.results[1:]
	count, _ := sw.lockedBuffer.Write(part[:min(result.bytes, len(part))])
	return count, result.err
}

// truncatingReader is a pipe's slow reader that keeps only the first bytes of each write.
type truncatingReader struct {
	lockedBuffer
	keptBytes int
}

func (tr *truncatingReader) Write(part []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	_, err := tr.lockedBuffer.Write(part[:min(tr.keptBytes, len(part))])
	return len(part), err
}

// queueLines passes lines of some 200 bytes, of which each names its number, and one of longLineBytes.
func queueLines(t *testing.T, logWriter *telemetry.LogWriter, name string, count, longLineBytes int) []string {
	t.Helper()
	var lines []string
	for number := range count {
		padding := 150 + number%100
		if number == count/2 {
			padding = longLineBytes
		}
		lines = append(lines, fmt.Sprintf("%s %d %s.", name, number, strings.Repeat("x", padding)))
		_, err := logWriter.Write([]byte(lines[number] + "\n"))
		assert.NilError(t, err)
	}
	return lines
}

// TestBurstOfLinesIsTorn guards against lines that are cut because many were written in one write, of which the reader
// kept the first 8 KiB.
func TestBurstOfLinesIsTorn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &truncatingReader{keptBytes: 8 << 10}
		logWriter := telemetry.NewLogWriter(out, telemetry.LogLimits{MaxBytesPerSecond: 1 << 20, MaxPendingBytes: 256 << 10}, "JSON")
		lines := queueLines(t, logWriter, "line", 300, 6000)
		time.Sleep(5 * time.Second)
		logWriter.Close()
		read := strings.Split(strings.TrimSuffix(out.content.String(), "\n"), "\n")
		for ix, line := range read {
			assert.Assert(t, ix < len(lines) && line == lines[ix], "torn line %q", line)
		}
		assert.Equal(t, len(read), len(lines))
	})
}

// TestLinesOfTwoWritersAreTorn guards against lines that are torn because two writers, such as those of standard output
// and standard error, use one pipe whose reader is slow.
func TestLinesOfTwoWritersAreTorn(t *testing.T) {
	pipeReader, pipeWriter, err := os.Pipe()
	assert.NilError(t, err)
	defer func() { _ = pipeReader.Close() }()
	limits := telemetry.LogLimits{MaxBytesPerSecond: 8 << 20, MaxPendingBytes: 8 << 20}
	want := map[string]bool{}
	var logWriters []*telemetry.LogWriter
	for _, name := range []string{"first", "second"} {
		// Writes to one os.File would exclude each other.
		descriptor, err := syscall.Dup(int(pipeWriter.Fd()))
		assert.NilError(t, err)
		out := os.NewFile(uintptr(descriptor), name)
		defer func() { _ = out.Close() }()
		logWriter := telemetry.NewLogWriter(out, limits, "JSON")
		for _, line := range queueLines(t, logWriter, name, 4000, 3000) {
			want[line] = true
		}
		logWriters = append(logWriters, logWriter)
	}
	scanner := bufio.NewScanner(iotest.OneByteReader(pipeReader))
	for range len(want) {
		assert.Assert(t, scanner.Scan(), scanner.Err())
		assert.Assert(t, want[scanner.Text()], "torn line %q", scanner.Text())
	}
	for _, logWriter := range logWriters {
		logWriter.Close()
	}
	_ = pipeWriter.Close()
}

// dropCount is a counter of dropped lines.
type dropCount struct{ lines int64 }

func (dc *dropCount) Inc(delta int64) { dc.lines += delta }

// TestFailedWritesAreNotCounted lets writes fail. The lines that were not written whole must be reported and counted as
// dropped, also if the report itself can't be written at first, and what is written later must begin on a new line.
func TestFailedWritesAreNotCounted(t *testing.T) {
	broken, full := &os.PathError{Op: "write", Err: syscall.EPIPE}, &os.PathError{Op: "write", Err: syscall.EAGAIN}
	for _, tc := range []struct {
		name      string
		results   []writeResult
		wantLines string
		wantDrops int64
		// wantWrites bounds the number of writes in five seconds.
		wantWrites int
	}{
		{"reader gone once", []writeResult{{0, broken}}, "", 3, 3},
		{"reader gone during the report too", []writeResult{{0, broken}, {0, broken}}, "", 3, 4},
		{"part of a line written", []writeResult{{6, broken}}, "one\ntw\n", 2, 4},
		{"end of the part not written at first", []writeResult{{6, broken}, {0, broken}}, "one\ntw\n", 2, 5},
		{"pipe full for a moment", []writeResult{{2, full}, {0, full}, {4, full}}, "one\ntwo\nthree\n", 0, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &scriptedWriter{results: tc.results}
				logWriter := telemetry.NewLogWriter(out, telemetry.LogLimits{MaxBytesPerSecond: 1 << 20, MaxPendingBytes: 256 << 10}, "JSON")
				drops := &dropCount{}
				logWriter.CountDrops(drops)
				for _, line := range []string{"one\n", "two\n", "three\n"} {
					_, err := logWriter.Write([]byte(line))
					assert.NilError(t, err)
				}
				time.Sleep(5 * time.Second)
				logWriter.Close()
				lines, report, _ := strings.Cut(out.content.String(), "{")
				assert.Equal(t, lines, tc.wantLines)
				assert.Equal(t, drops.lines, tc.wantDrops)
				assert.Equal(t, strings.Contains(report, fmt.Sprintf(`"count":%d}`, tc.wantDrops)), tc.wantDrops > 0, report)
				assert.Assert(t, out.writes <= tc.wantWrites, out.writes)
			})
		})
	}
}

// TestGoneReaderKeepsWriterBusy lets all writes fail. They must be rare and what waits must stay bounded.
func TestGoneReaderKeepsWriterBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const seconds, linesPerSecond = 60, 1000
		results := make([]writeResult, 1000)
		for ix := range results {
			results[ix].err = syscall.EPIPE
		}
		out := &scriptedWriter{results: results}
		logWriter := telemetry.NewLogWriter(out, telemetry.LogLimits{MaxBytesPerSecond: 1 << 20, MaxPendingBytes: 4096}, "JSON")
		drops := &dropCount{}
		for range seconds * linesPerSecond {
			_, err := logWriter.Write([]byte(strings.Repeat("x", 99) + "\n"))
			assert.NilError(t, err)
			time.Sleep(time.Second / linesPerSecond)
		}
		logWriter.Close()
		logWriter.CountDrops(drops)
		assert.Equal(t, drops.lines, int64(seconds*linesPerSecond))
		assert.Assert(t, out.writes <= 2*seconds+2, out.writes)
	})
}

// BenchmarkLogStreamedRequest measures the logging of one streamed request, which writes three lines.
func BenchmarkLogStreamedRequest(b *testing.B) {
	logWriter := telemetry.NewLogWriter(io.Discard, telemetry.LogLimits{MaxBytesPerSecond: 1 << 30, MaxPendingBytes: 1 << 30}, "JSON")
	defer logWriter.Close()
	logger := telemetry.NewLogger(logWriter, "JSON", "Info").With("host", "accra-a-1")
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
