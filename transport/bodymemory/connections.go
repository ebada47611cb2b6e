package bodymemory

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// ErrNoHeadMemory is what the Read of a connection returns when Head.Received reports that there is no memory for a head.
// As an error of reading it makes net/http close the connection; net/http answers 400 to other errors.
var ErrNoHeadMemory error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the heads of other requests take all memory that is meant for them")}

// AwaitConnection waits until a value is received from changed, which says that a connection can be accepted, or until
// closed is closed, and reports whether it was the former. Meanwhile it interrupts clients that have stalled.
func (mm *Memory) AwaitConnection(clock timer.Clock, changed, closed <-chan struct{}) bool {
	const retryInterval = 100 * time.Millisecond
	for {
		mm.InterruptMostStalled()
		passed, subscription := timer.Wait(clock, retryInterval)
		select {
		case <-changed:
			subscription.Stop()
			return true
		case <-closed:
			subscription.Stop()
			return false
		case <-passed:
		}
	}
}
