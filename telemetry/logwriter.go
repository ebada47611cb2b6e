package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/tasks"
)

const (
	// dropReportPeriod is the minimum time between two lines that report dropped lines.
	dropReportPeriod = time.Second
	// failurePause is the time without writes after a write has failed, because the reader has usually gone for longer.
	failurePause = time.Second
	// fullPause is the time after which a write to a full pipe that does not block is repeated.
	fullPause = 20 * time.Millisecond
	// maxWriteBytes bounds the lines of one write. A pipe takes up to PIPE_BUF bytes as a whole, so that lines are not torn
	// if another writer uses it, if the process ends while it is full, or if a reader keeps only the first bytes of a write.
	maxWriteBytes = 4096
)

// LogLimits bounds the volume of log lines.
type LogLimits struct {
	// MaxBytesPerSecond bounds the bytes accepted in a second.
	MaxBytesPerSecond int
	// MaxPendingBytes bounds the bytes that wait to be written.
	MaxPendingBytes int
}

// DropCounter counts dropped lines, for example in a metric.
type DropCounter interface{ Inc(delta int64) }

// LogWriter writes log lines from a separate goroutine, so that a reader that stops reading does not block the
// callers of Write. Lines beyond the limits, and those whose write fails, are dropped and counted. It is safe for
// concurrent use.
type LogWriter struct {
	out    io.Writer
	limits LogLimits
	// dropLogger writes the line that reports dropped lines to dropReport. Only the writing goroutine uses both.
	dropLogger *slog.Logger
	dropReport bytes.Buffer

	// mutex guards the fields below, except for the channels.
	mutex sync.Mutex
	// pendingLines holds the lines that wait to be written.
	pendingLines []byte
	// spareBuffer is the buffer of the lines written last. It becomes the next pendingLines, which saves allocations.
	spareBuffer []byte
	// droppedLines counts the lines dropped since the last report that was written.
	droppedLines int64
	// dropCounter is nil until CountDrops is called; uncountedDrops are the lines dropped before.
	dropCounter    DropCounter
	uncountedDrops int64
	// secondStart is when the current second began, and bytesThisSecond the bytes accepted since then.
	secondStart     time.Time
	bytesThisSecond int
	// dropReportScheduled says that a report becomes due after dropReportPeriod, dropReportDue that it has.
	dropReportScheduled bool
	dropReportDue       bool
	// wake has one element while the writing goroutine has something to do.
	wake   chan struct{}
	closed bool
	// closing is closed by Close, which ends pauses of the writing goroutine.
	closing chan struct{}
	// writerDone is closed when the writing goroutine has ended.
	writerDone chan struct{}
}

// NewLogWriter returns a writer of log lines to out and starts its goroutine, which Close ends. Lines that report
// dropped lines have the given format, Text or JSON, and attributes.
func NewLogWriter(out io.Writer, limits LogLimits, format string, attributes ...any) *LogWriter {
	writer := &LogWriter{out: out, limits: limits, wake: make(chan struct{}, 1), closing: make(chan struct{}), writerDone: make(chan struct{})}
	writer.dropLogger = NewLogger(&writer.dropReport, format, slog.LevelInfo.String()).With(attributes...)
	tasks.Go(writer.writePending)
	return writer
}

// CountDrops adds the lines dropped so far to a counter, and each one dropped later.
func (lw *LogWriter) CountDrops(counter DropCounter) {
	lw.mutex.Lock()
	defer lw.mutex.Unlock()
	lw.dropCounter = counter
	counter.Inc(lw.uncountedDrops)
	lw.uncountedDrops = 0
}

// Write queues a line, or drops and counts it if it is beyond the limits. Each call must pass one complete line. It
// never blocks on out and never fails.
func (lw *LogWriter) Write(line []byte) (int, error) { return lw.write(line, lw.limits) }

// requestLineShare is the part of the limits that lines about single requests may take. The rest is for the lines that say
// what the host itself does.
const requestLineShare = 0.75

// RequestLines returns a writer for lines about single requests, which may take only a part of the limits.
func (lw *LogWriter) RequestLines() io.Writer {
	return requestLineWriter{logWriter: lw, limits: LogLimits{
		MaxBytesPerSecond: int(requestLineShare * float64(lw.limits.MaxBytesPerSecond)),
		MaxPendingBytes:   int(requestLineShare * float64(lw.limits.MaxPendingBytes)),
	}}
}

// requestLineWriter writes to a LogWriter within narrower limits.
type requestLineWriter struct {
	logWriter *LogWriter
	limits    LogLimits
}

// Write queues a line as LogWriter.Write does.
func (rw requestLineWriter) Write(line []byte) (int, error) {
	return rw.logWriter.write(line, rw.limits)
}

// write queues a line, or drops and counts it if all lines together would be beyond the limits.
func (lw *LogWriter) write(line []byte, limits LogLimits) (int, error) {
	lw.mutex.Lock()
	defer lw.mutex.Unlock()
	now := time.Now()
	if now.Sub(lw.secondStart) >= time.Second {
		lw.secondStart, lw.bytesThisSecond = now, 0
	}
	if lw.closed || len(lw.pendingLines)+len(line) > limits.MaxPendingBytes || lw.bytesThisSecond+len(line) > limits.MaxBytesPerSecond {
		lw.drop(1)
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

// drop counts dropped lines and schedules their report. The caller holds the mutex.
func (lw *LogWriter) drop(lines int64) {
	lw.droppedLines += lines
	if lw.dropCounter != nil {
		lw.dropCounter.Inc(lines)
	} else {
		lw.uncountedDrops += lines
	}
	if lw.dropReportScheduled || lw.closed {
		return
	}
	lw.dropReportScheduled = true
	time.AfterFunc(dropReportPeriod, tasks.Guarded(func() {
		lw.mutex.Lock()
		defer lw.mutex.Unlock()
		lw.dropReportScheduled, lw.dropReportDue = false, true
		lw.wakeWriter()
	}))
}

// writePending writes pending lines until the writer is closed. It does not hold the mutex while it writes, because
// that may block.
func (lw *LogWriter) writePending() {
	defer close(lw.writerDone)
	endsInLine := false
	for range lw.wake {
		batch, reportedDrops, closed := lw.nextBatch()
		written := 0
		var err error
		if endsInLine && len(batch) > 0 {
			// Ends the line of which only the beginning was written.
			_, err = lw.writeAll([]byte("\n"))
		}
		if err == nil {
			written, err = lw.writeAll(batch)
			endsInLine = written > 0 && batch[written-1] != '\n'
		}
		lw.finishBatch(batch, written, reportedDrops)
		if closed {
			return
		}
		if err != nil {
			lw.pause(failurePause)
		}
	}
}

// nextBatch takes the pending lines, and appends a report of dropped lines if one is due. The report is exempt from the
// limits, so that it is never dropped because of them. It returns the number of dropped lines that the report tells.
func (lw *LogWriter) nextBatch() (batch []byte, reportedDrops int64, closed bool) {
	lw.mutex.Lock()
	defer lw.mutex.Unlock()
	batch = lw.pendingLines
	lw.pendingLines = lw.spareBuffer[:0]
	if lw.droppedLines > 0 && (lw.dropReportDue || lw.closed) {
		lw.dropReport.Reset()
		lw.dropLogger.Warn("log lines dropped", "count", lw.droppedLines)
		batch = append(batch, lw.dropReport.Bytes()...)
		reportedDrops, lw.droppedLines = lw.droppedLines, 0
	}
	lw.dropReportDue = false
	return batch, reportedDrops, lw.closed
}

// finishBatch counts the lines of a batch of which only some bytes were written. If the batch has a report and that was
// not written, the drops that it tells are reported again.
func (lw *LogWriter) finishBatch(batch []byte, written int, reportedDrops int64) {
	lw.mutex.Lock()
	defer lw.mutex.Unlock()
	lw.spareBuffer = batch
	if written == len(batch) {
		return
	}
	lostLines := int64(bytes.Count(batch[written:], []byte("\n")))
	if reportedDrops > 0 {
		lostLines--
		lw.droppedLines += reportedDrops
	}
	lw.drop(lostLines)
}

// writeAll writes a batch, some whole lines at a time, and returns the number of bytes written. While a pipe that doesn't
// block is full, it repeats the write until the LogWriter is closed.
func (lw *LogWriter) writeAll(batch []byte) (int, error) {
	written := 0
	for written < len(batch) {
		count, err := lw.out.Write(firstLines(batch[written:]))
		written += count
		if err != nil && (!errors.Is(err, syscall.EAGAIN) || !lw.pause(fullPause)) {
			return written, err
		}
	}
	return written, nil
}

// firstLines returns the first lines of a batch, of at most maxWriteBytes. A longer line is returned alone.
func firstLines(batch []byte) []byte {
	if len(batch) <= maxWriteBytes {
		return batch
	}
	end := bytes.LastIndexByte(batch[:maxWriteBytes], '\n')
	if end < 0 {
		end = bytes.IndexByte(batch, '\n')
	}
	if end < 0 {
		return batch
	}
	return batch[:end+1]
}

// pause waits and reports whether the LogWriter is still open.
func (lw *LogWriter) pause(duration time.Duration) bool {
	select {
	case <-lw.closing:
		return false
	case <-time.After(duration):
		return true
	}
}

// Close stops accepting lines and waits until the pending lines are written, for at most closeTimeout, because the
// reader may have stopped reading. A second call does nothing.
func (lw *LogWriter) Close() {
	const closeTimeout = 200 * time.Millisecond
	lw.mutex.Lock()
	if lw.closed {
		lw.mutex.Unlock()
		return
	}
	lw.closed = true
	close(lw.closing)
	lw.wakeWriter()
	lw.mutex.Unlock()
	select {
	case <-lw.writerDone:
	case <-time.After(closeTimeout):
	}
}
