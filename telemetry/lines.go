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
	bounds LogLimits
	// drops writes the line that says how many were dropped.
	drops *slog.Logger

	mutex   sync.Mutex
	pending []byte
	spare   []byte
	dropped int64
	// second and written bound the bytes of a second.
	second    time.Time
	written   int
	reporting bool
	wake      chan struct{}
	closed    bool
	done      chan struct{}
}

// NewLogWriter returns a writer of lines. Each call of Write is one line. The line that says how many were dropped has the
// given format and attributes.
func NewLogWriter(out io.Writer, bounds LogLimits, format string, attributes ...any) *LogWriter {
	ln := &LogWriter{out: out, bounds: bounds, wake: make(chan struct{}, 1), done: make(chan struct{})}
	ln.drops = NewLogger(pendingWriter{ln}, format, slog.LevelInfo.String()).With(attributes...)
	go ln.run()
	return ln
}

// Write queues a line, or drops and counts it. It never blocks and never fails.
func (ln *LogWriter) Write(line []byte) (int, error) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	now := time.Now()
	if now.Sub(ln.second) >= time.Second {
		ln.second, ln.written = now, 0
	}
	if ln.closed || len(ln.pending)+len(line) > ln.bounds.PendingBytes || ln.written+len(line) > ln.bounds.BytesPerSecond {
		ln.dropped++
		ln.reportLater()
		return len(line), nil
	}
	ln.written += len(line)
	ln.pending = append(ln.pending, line...)
	ln.wakeUp()
	return len(line), nil
}

func (ln *LogWriter) wakeUp() {
	select {
	case ln.wake <- struct{}{}:
	default:
	}
}

// reportLater has the number of dropped lines written in a while.
func (ln *LogWriter) reportLater() {
	if ln.reporting || ln.closed {
		return
	}
	ln.reporting = true
	time.AfterFunc(dropReportPeriod, func() {
		ln.mutex.Lock()
		defer ln.mutex.Unlock()
		ln.reporting = false
		if ln.closed || len(ln.pending) > ln.bounds.PendingBytes {
			return
		}
		ln.report()
		ln.wakeUp()
	})
}

// report says how many lines were dropped.
func (ln *LogWriter) report() {
	if ln.dropped > 0 {
		ln.drops.Warn("log lines dropped", "count", ln.dropped)
		ln.dropped = 0
	}
}

// pendingWriter adds to the lines that wait, beyond the bounds. The lock is held.
type pendingWriter struct{ lines *LogWriter }

// Write adds a line.
func (pw pendingWriter) Write(line []byte) (int, error) {
	pw.lines.pending = append(pw.lines.pending, line...)
	return len(line), nil
}

func (ln *LogWriter) run() {
	defer close(ln.done)
	for range ln.wake {
		ln.mutex.Lock()
		batch := ln.pending
		ln.pending = ln.spare[:0]
		closed := ln.closed
		ln.mutex.Unlock()
		// A log that can't be written leaves nobody to tell.
		_, _ = ln.out.Write(batch)
		ln.mutex.Lock()
		ln.spare = batch
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
	ln.report()
	ln.closed = true
	ln.mutex.Unlock()
	ln.wakeUp()
	select {
	case <-ln.done:
	case <-time.After(closeTimeout):
	}
}
