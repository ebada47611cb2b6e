package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the log lines that wait to be written.
	maxPendingBytes = 256 << 10
	// maxBytesPerSecond bounds the log lines of a second.
	maxBytesPerSecond = 512 << 10
	// dropReportPeriod is the time between lines that say how many were dropped.
	dropReportPeriod = time.Second
)

// Lines writes log lines from a goroutine of its own, so that a reader that stops reading holds nobody up. Lines
// beyond a bound are dropped and counted.
type Lines struct {
	out io.Writer

	mutex   sync.Mutex
	pending []byte
	spare   []byte
	dropped int64
	// second and written bound the bytes of a second.
	second   time.Time
	written  int
	reported time.Time
	wake     chan struct{}
	closed   bool
	done     chan struct{}
}

// NewLines returns a writer of lines. Each call of Write is one line.
func NewLines(out io.Writer) *Lines {
	ln := &Lines{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go ln.run()
	return ln
}

// Write queues a line, or drops and counts it. It never blocks and never fails.
func (ln *Lines) Write(line []byte) (int, error) {
	ln.mutex.Lock()
	defer ln.mutex.Unlock()
	now := time.Now()
	if now.Sub(ln.second) >= time.Second {
		ln.second, ln.written = now, 0
	}
	if ln.closed || len(ln.pending)+len(line) > maxPendingBytes || ln.written+len(line) > maxBytesPerSecond {
		ln.dropped++
		return len(line), nil
	}
	ln.report(now)
	ln.written += len(line)
	ln.pending = append(ln.pending, line...)
	select {
	case ln.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// report says how many lines were dropped.
func (ln *Lines) report(now time.Time) {
	if ln.dropped == 0 || now.Sub(ln.reported) < dropReportPeriod {
		return
	}
	ln.reported = now
	ln.pending = fmt.Appendf(ln.pending, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", ln.dropped)
	ln.dropped = 0
}

func (ln *Lines) run() {
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
func (ln *Lines) Close() {
	const closeTimeout = 200 * time.Millisecond
	ln.mutex.Lock()
	ln.closed = true
	ln.mutex.Unlock()
	select {
	case ln.wake <- struct{}{}:
	default:
	}
	select {
	case <-ln.done:
	case <-time.After(closeTimeout):
	}
}
