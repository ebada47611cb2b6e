package bodymemory

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// The parts of a process's memory that requests may take. The rest is for responses and for what is kept besides.
const (
	longBodyShare   = 0.3
	shortBodyShare  = 0.15
	headShare       = 0.1
	connectionShare = 0.32
	// totalShare is what all of them may take together, ownFrontTotalShare the same at the product's own front, where a
	// request in progress takes more that is not counted.
	totalShare         = 0.42
	ownFrontTotalShare = 0.36
	// softLimitShare is the part that the Go runtime tries to stay within, because the process is ended when it reaches the
	// limit.
	softLimitShare = 0.58
)

// Front is the kind of server that clients connect to.
type Front int

// Values of Front.
const (
	// PlatformFront is the server for the clients of the users' platform.
	PlatformFront Front = iota
	// OwnFront is the product's own server for callers.
	OwnFront
)

// bytesPerConnection returns what an open connection takes with an ordinary request on it.
func (fr Front) bytesPerConnection() int64 {
	if fr == OwnFront {
		return 48 << 10
	}
	return 20 << 10
}

// totalShare returns the part of the memory that all accounts may take together.
func (fr Front) totalShare() float64 {
	if fr == OwnFront {
		return ownFrontTotalShare
	}
	return totalShare
}

// ForProcess returns a memory for a process that may use a number of megabytes, or nil if that is 0. Clients that stall for
// stallTime are interrupted when others need their memory.
func ForProcess(front Front, megabytes float64, clock timer.Clock, stallTime time.Duration) *Memory {
	if megabytes <= 0 {
		return nil
	}
	mm := New(share(megabytes, longBodyShare), share(megabytes, shortBodyShare), WithHeadLimit(share(megabytes, headShare)),
		WithTotalLimit(share(megabytes, front.totalShare())), WithInterruption(clock, stallTime))
	mm.connectionBytes = front.bytesPerConnection()
	return mm
}

// ConnectionLimit returns how many clients' connections a process may have open, or 0 for any number: as many as are
// configured, or if that is 0, as many as fit in a number of megabytes.
func ConnectionLimit(front Front, configured int, megabytes float64) int64 {
	if configured > 0 || megabytes <= 0 {
		return int64(configured)
	}
	return max(1, share(megabytes, connectionShare)/front.bytesPerConnection())
}

// SoftLimit returns the memory in bytes that the Go runtime should try to stay within.
func SoftLimit(megabytes float64) int64 { return share(megabytes, softLimitShare) }

func share(megabytes, part float64) int64 { return int64(part * megabytes * (1 << 20)) }
