package telemetry

import (
	"io"
	"log/slog"
	"sync"
	"time"
)

// dropReportPeriod is the time between lines that say how many were dropped.
const dropReportPeriod = time.Second

// LogLimits limits the volume of log lines.
type LogLimits struct {
	// BytesPerSecond bounds the bytes of a second, Pending the bytes that wait to be written.
	BytesPerSecond int
	PendingBytes   int
}

// LogWriter writes log lines from a goroutine of its own, so that a reader that stops reading holds nobody up. Lines
// beyond the bounds are dropped and counted.
type LogWriter struct {
	out    io.Writer
	limits LogLimits
	// dropLogger writes the line that says how many were dropped.
	dropLogger *slog.Logger

	mutex        sync.Mutex
	pendingLines []byte
	spareBuffer  []byte
	droppedLines int64
	// secondStart and written bound the bytes of a second.
	secondStart         time.Time
	bytesThisSecond     int
	dropReportScheduled bool
	wake                chan struct{}
	closed              bool
	writerDone          chan struct{}
}

// NewLogWriter returns a writer of lines. Each call of Write is one line. The line that says how many were dropped has the
// given format and attributes.
func NewLogWriter(out io.Writer, limits LogLimits, format string, attributes ...any) *LogWriter {
	writer := &LogWriter{out: out, limits: limits, wake: make(chan struct{}, 1), writerDone: make(chan struct{})}
	writer.dropLogger = NewLogger(unlimitedWriter{writer}, format, slog.LevelInfo.String()).With(attributes...)
	go writer.writePendingLines()
	return writer
}

// Write queues a line, or drops and counts it. It never blocks and never fails.
func (ln *LogWriter) Write(line []byte) (int, error) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	now := time.Now()
	if now.Sub(ln.secondStart) >= time.Second {
		ln.secondStart, ln.bytesThisSecond = now, 0
	}
	if ln.closed || len(ln.pendingLines)+len(line) > ln.limits.PendingBytes || ln.bytesThisSecond+len(line) > ln.limits.BytesPerSecond {
		ln.droppedLines++
		ln.scheduleDropReport()
		return len(line), nil
	}
	ln.bytesThisSecond += len(line)
	ln.pendingLines = append(ln.pendingLines, line...)
	ln.wakeWriter()
	return len(line), nil
}

func (ln *LogWriter) wakeWriter() {
	select {
	case ln.wake <- struct{}{}:
	default:
	}
}

// scheduleDropReport has the number of dropped lines written in a while.
func (ln *LogWriter) scheduleDropReport() {
	if ln.dropReportScheduled || ln.closed {
		return
	}
	ln.dropReportScheduled = true
	time.AfterFunc(dropReportPeriod, func() {
		ln.mutex.Lock()
		defer ln.mutex.Unlock()
		ln.dropReportScheduled = false
		if ln.closed || len(ln.pendingLines) > ln.limits.PendingBytes {
			return
		}
		ln.reportDrops()
		ln.wakeWriter()
	})
}

// reportDrops says how many lines were dropped.
func (ln *LogWriter) reportDrops() {
	if ln.droppedLines > 0 {
		ln.dropLogger.Warn("log lines dropped", "count", ln.droppedLines)
		ln.droppedLines = 0
	}
}

// unlimitedWriter adds to the lines that wait, beyond the bounds. The lock is held.
type unlimitedWriter struct{ writer *LogWriter }

// Write adds a line.
func (pw unlimitedWriter) Write(line []byte) (int, error) {
	pw.writer.pendingLines = append(pw.writer.pendingLines, line...)
	return len(line), nil
}

func (ln *LogWriter) writePendingLines() {
	defer close(ln.writerDone)
	for range ln.wake {
		ln.mutex.Lock()
		lines := ln.pendingLines
		ln.pendingLines = ln.spareBuffer[:0]
		closed := ln.closed
		ln.mutex.Unlock()
		// A log that can't be written leaves nobody to tell.
		_, _ = ln.out.Write(lines)
		ln.mutex.Lock()
		ln.spareBuffer = lines
		ln.mutex.Unlock()
		if closed {
			return
		}
	}
}

// Close writes what is pending, for at most a moment.
func (ln *LogWriter) Close() {
	const closeTimeout = 200 * time.Millisecond
	ln.mutex.Lock()
	ln.reportDrops()
	ln.closed = true
	ln.mutex.Unlock()
	ln.wakeWriter()
	select {
	case <-ln.writerDone:
	case <-time.After(closeTimeout):
	}
}
