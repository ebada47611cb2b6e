package telemetry

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hibiscuslever/hibiscuslever/tasks"
)

// dropReportPeriod is the minimum time between two lines that report dropped lines.
const dropReportPeriod = time.Second

// LogLimits bounds the volume of log lines.
type LogLimits struct {
	// MaxBytesPerSecond bounds the bytes accepted in a second.
	MaxBytesPerSecond int
	// MaxPendingBytes bounds the bytes that wait to be written.
	MaxPendingBytes int
}

// LogWriter writes log lines from a separate goroutine, so that a reader that stops reading does not block the
// callers of Write. Lines beyond the limits are dropped and counted. It is safe for concurrent use.
type LogWriter struct {
	out    io.Writer
	limits LogLimits
	// dropLogger writes the lines that report dropped lines.
	dropLogger *slog.Logger

	// mutex guards the fields below, except for the channels.
	mutex sync.Mutex
	// pendingLines holds the lines that wait to be written.
	pendingLines []byte
	// spareBuffer is the buffer of the lines written last. It becomes the next pendingLines, which saves allocations.
	spareBuffer []byte
	// droppedLines counts the lines dropped since the last report.
	droppedLines int64
	// secondStart is when the current second began, and bytesThisSecond the bytes accepted since then.
	secondStart         time.Time
	bytesThisSecond     int
	dropReportScheduled bool
	// wake has one element while the writing goroutine has something to do.
	wake   chan struct{}
	closed bool
	// writerDone is closed when the writing goroutine has ended.
	writerDone chan struct{}
}

// NewLogWriter returns a writer of log lines to out and starts its goroutine, which Close ends. Lines that report
// dropped lines have the given format, Text or JSON, and attributes.
func NewLogWriter(out io.Writer, limits LogLimits, format string, attributes ...any) *LogWriter {
	writer := &LogWriter{out: out, limits: limits, wake: make(chan struct{}, 1), writerDone: make(chan struct{})}
	writer.dropLogger = NewLogger(unlimitedWriter{writer}, format, slog.LevelInfo.String()).With(attributes...)
	tasks.Go(writer.writePending)
	return writer
}

// Write queues a line, or drops and counts it if it is beyond the limits. Each call must pass one complete line. It
// never blocks on out and never fails.
func (lw *LogWriter) Write(line []byte) (int, error) {
	lw.mutex.Lock()
	defer lw.mutex.Unlock()
	now := time.Now()
	if now.Sub(lw.secondStart) >= time.Second {
		lw.secondStart, lw.bytesThisSecond = now, 0
	}
	if lw.closed || len(lw.pendingLines)+len(line) > lw.limits.MaxPendingBytes || lw.bytesThisSecond+len(line) > lw.limits.MaxBytesPerSecond {
		lw.droppedLines++
		lw.scheduleDropReport()
		return len(line), nil
	}
	lw.bytesThisSecond += len(line)
	lw.pendingLines = append(lw.pendingLines, line...)
	lw.wakeWriter()
	return len(line), nil
}

func (lw *LogWriter) wakeWriter() {
	select {
	case lw.wake <- struct{}{}:
	default:
	}
}

// scheduleDropReport queues a report of dropped lines after dropReportPeriod, unless one is already scheduled. If the
// pending lines exceed the limit by then, the report is left to a later one. The caller holds the mutex.
func (lw *LogWriter) scheduleDropReport() {
	if lw.dropReportScheduled || lw.closed {
		return
	}
	lw.dropReportScheduled = true
	time.AfterFunc(dropReportPeriod, tasks.Guarded(func() {
		lw.mutex.Lock()
		defer lw.mutex.Unlock()
		lw.dropReportScheduled = false
		if lw.closed || len(lw.pendingLines) > lw.limits.MaxPendingBytes {
			return
		}
		lw.reportDrops()
		lw.wakeWriter()
	}))
}

// reportDrops queues a line that reports how many lines were dropped since the last report. The caller holds the mutex.
func (lw *LogWriter) reportDrops() {
	if lw.droppedLines > 0 {
		lw.dropLogger.Warn("log lines dropped", "count", lw.droppedLines)
		lw.droppedLines = 0
	}
}

// unlimitedWriter queues lines at a LogWriter regardless of the limits, so that the report of dropped lines is never
// dropped itself.
type unlimitedWriter struct{ logWriter *LogWriter }

// Write queues a line. The caller holds the LogWriter's mutex.
func (uw unlimitedWriter) Write(line []byte) (int, error) {
	uw.logWriter.pendingLines = append(uw.logWriter.pendingLines, line...)
	return len(line), nil
}

// writePending writes pending lines until the writer is closed. It does not hold the mutex while it writes, because
// that may block.
func (lw *LogWriter) writePending() {
	defer close(lw.writerDone)
	for range lw.wake {
		lw.mutex.Lock()
		batch := lw.pendingLines
		lw.pendingLines = lw.spareBuffer[:0]
		closed := lw.closed
		lw.mutex.Unlock()
		// There is nowhere to report that the log can't be written.
		_, _ = lw.out.Write(batch)
		lw.mutex.Lock()
		lw.spareBuffer = batch
		lw.mutex.Unlock()
		if closed {
			return
		}
	}
}

// Close stops accepting lines and waits until the pending lines are written, for at most closeTimeout, because the
// reader may have stopped reading.
func (lw *LogWriter) Close() {
	const closeTimeout = 200 * time.Millisecond
	lw.mutex.Lock()
	lw.reportDrops()
	lw.closed = true
	lw.mutex.Unlock()
	lw.wakeWriter()
	select {
	case <-lw.writerDone:
	case <-time.After(closeTimeout):
	}
}
