package bodymemory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestAwaitConnectionInterruptsStalledClient checks that a client is interrupted once it has stalled, also if it has not when
// the wait begins, and that the wait ends when its connection is closed.
func TestAwaitConnectionInterruptsStalledClient(t *testing.T) {
	clock := timer.NewSystem()
	memory := New(0, 0, WithInterruption(clock, stallTimeOfTests))
	changed := make(chan struct{}, 1)
	memory.NewHead(func() { changed <- struct{}{} })
	assert.Assert(t, memory.AwaitConnection(clock, changed, nil))
	assert.Equal(t, memory.Counts(), Counts{Interrupted: 1})
}

// TestAwaitConnectionEndsWithListener checks that a wait ends when the listener is closed, also without a limit of the memory.
func TestAwaitConnectionEndsWithListener(t *testing.T) {
	closed := make(chan struct{})
	ended := make(chan bool, 1)
	go func() { ended <- (*Memory)(nil).AwaitConnection(timer.NewSystem(), nil, closed) }()
	select {
	case <-ended:
		t.Fatal("the wait ended while the listener was open")
	case <-time.After(50 * time.Millisecond):
	}
	close(closed)
	assert.Assert(t, !<-ended)
}
