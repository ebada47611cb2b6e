package bodymemory

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// stallTimeOfTests is so short that clients that wait count as stalled at once.
const stallTimeOfTests = time.Millisecond

// stalledBody is a body of which a part has arrived. Its next read fails when it is interrupted.
type stalledBody struct {
	arrived     io.Reader
	waiting     chan struct{}
	interrupted chan struct{}
	once        sync.Once
}

func newStalledBody(arrived int) *stalledBody {
	return &stalledBody{arrived: strings.NewReader(strings.Repeat("x", arrived)), waiting: make(chan struct{}, 1), interrupted: make(chan struct{})}
}

func (sb *stalledBody) interrupt() { sb.once.Do(func() { close(sb.interrupted) }) }

// Read returns what has arrived, and then waits.
func (sb *stalledBody) Read(buffer []byte) (int, error) {
	if count, _ := sb.arrived.Read(buffer); count > 0 {
		return count, nil
	}
	sb.waiting <- struct{}{}
	<-sb.interrupted
	return 0, io.ErrNoProgress
}

// Close does nothing.
func (sb *stalledBody) Close() error { return nil }

// startStalled has a client send all but one byte of a body and wait. It returns the end of its reading.
func startStalled(memory *Memory, length int, announced bool) (ended chan error) {
	stalled := newStalledBody(length - 1)
	request := &http.Request{Body: stalled, ContentLength: -1}
	if announced {
		request.ContentLength = int64(length)
	}
	ended = make(chan error, 1)
	release := memory.LimitInterruptible(request, stalled.interrupt)
	go func() {
		_, err := memory.ReadAll(request.Body, request.ContentLength)
		release()
		ended <- err
	}()
	<-stalled.waiting
	return ended
}

// readWhole reads a whole body of an ordinary client.
func readWhole(memory *Memory, length int) error {
	request := &http.Request{Body: io.NopCloser(strings.NewReader(strings.Repeat("x", length))), ContentLength: int64(length)}
	defer memory.Limit(request)()
	_, err := memory.ReadAll(request.Body, request.ContentLength)
	return err
}

// TestStalledBodyGivesWay has clients that stop one byte before the end of their bodies take all memory. An ordinary body must
// be read, as many stalled ones as needed must end with ErrStalled, and the others must stay.
func TestStalledBodyGivesWay(t *testing.T) {
	for name, limits := range map[string]struct{ bodyBytes, ordinaryBytes int }{
		"long":  {400_000, 800_000},
		"short": {60_000, 50_000},
	} {
		for _, announced := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				memory := New(1_500_000, 150_000, WithInterruption(timer.NewSystem(), stallTimeOfTests))
				first := startStalled(memory, limits.bodyBytes, announced)
				time.Sleep(2 * stallTimeOfTests)
				second := startStalled(memory, limits.bodyBytes, announced)
				time.Sleep(2 * stallTimeOfTests)
				assert.NilError(t, readWhole(memory, limits.ordinaryBytes))
				assert.ErrorIs(t, <-first, ErrStalled)
				select {
				case err := <-second:
					t.Fatalf("the second body ended: %v", err)
				default:
				}
				assert.Equal(t, memory.Counts(), Counts{Interrupted: 1})
			})
		}
	}
}

// TestArrivingBodyIsNotInterrupted checks that a body that has just made progress is not interrupted for another one, which
// is refused.
func TestArrivingBodyIsNotInterrupted(t *testing.T) {
	memory := New(1_000_000, 150_000, WithInterruption(timer.NewSystem(), time.Hour))
	ended := startStalled(memory, 900_000, true)
	assert.ErrorIs(t, readWhole(memory, 500_000), ErrExhausted)
	assert.NilError(t, readWhole(memory, 50_000))
	assert.Equal(t, len(ended), 0)
	assert.Equal(t, memory.Counts(), Counts{Refused: 1})
}

// TestBodyThatEndedIsNotInterrupted checks that a whole body, whose request runs, is never interrupted.
func TestBodyThatEndedIsNotInterrupted(t *testing.T) {
	memory := New(1_000_000, 150_000, WithInterruption(timer.NewSystem(), stallTimeOfTests))
	request := &http.Request{Body: io.NopCloser(strings.NewReader(strings.Repeat("x", 900_000))), ContentLength: 900_000}
	defer memory.LimitInterruptible(request, func() { t.Error("interrupted") })()
	_, err := memory.ReadAll(request.Body, request.ContentLength)
	assert.NilError(t, err)
	time.Sleep(2 * stallTimeOfTests)
	assert.ErrorIs(t, readWhole(memory, 500_000), ErrExhausted)
	memory.InterruptMostStalled()
	assert.Equal(t, memory.Counts(), Counts{Refused: 1})
}

// TestLongHeadsFindNoMemory has connections receive long heads until their memory is used up. Ordinary heads must always be
// accepted, stalled connections must be closed, and no memory must stay reserved.
func TestLongHeadsFindNoMemory(t *testing.T) {
	const headLimit, headCount = 1 << 20, 40
	long, ordinary := []byte("GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 1000)), []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"+strings.Repeat("\n", 4000))
	memory := New(1<<20, 1<<20, WithHeadLimit(headLimit), WithInterruption(timer.NewSystem(), stallTimeOfTests))
	accepted, closed := 0, 0
	var connected []*Head
	for range headCount {
		head := memory.NewHead(func() { closed++ })
		connected = append(connected, head)
		if head.Received(long) {
			accepted++
		}
	}
	assert.Assert(t, accepted > 0 && accepted < headCount, "%d", accepted)
	for range headCount {
		head := memory.NewHead(func() {})
		connected = append(connected, head)
		assert.Assert(t, head.Received(ordinary))
		head.RequestBegan()
	}
	time.Sleep(2 * stallTimeOfTests)
	last := memory.NewHead(func() {})
	assert.Assert(t, !last.Received(long))
	assert.Assert(t, closed > 0)
	for _, head := range append(connected, last) {
		head.Closed()
	}
	assert.Assert(t, memory.NewHead(func() {}).Received(long))
	assert.Assert(t, memory.reserved[all] == memory.reserved[heads], "%v", memory.reserved)
}

// TestTotalLimit checks that bodies are refused if they find no memory beside connections, but for the only long one.
func TestTotalLimit(t *testing.T) {
	memory := New(1_000_000, 1_000_000, WithTotalLimit(100_000))
	memory.connectionBytes = 30_000
	for range 2 {
		memory.NewHead(func() {})
	}
	assert.NilError(t, readWhole(memory, 30_000))
	assert.ErrorIs(t, readWhole(memory, 50_000), ErrExhausted)
	assert.NilError(t, readWhole(memory, 500_000))
	assert.Equal(t, memory.reserved[all], int64(60_000))
}
