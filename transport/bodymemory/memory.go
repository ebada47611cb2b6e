// Package bodymemory limits the memory that the bodies of all requests to a host take at the same time.
package bodymemory

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// UncountedBytes is the length up to which a body of a request does not count as part of the body memory, so that
	// few long bodies don't keep short ones out. Such bodies have a limit of their own.
	UncountedBytes = 64 << 10
	// smallBytes is the length up to which a body has no limit at all.
	smallBytes = 4 << 10
	// stepBytes is the step in which memory is reserved for a body without an announced length.
	stepBytes = 256 << 10
)

// ErrExhausted means that the requests of other clients take all memory that is meant for them.
var ErrExhausted = errors.New("the bodies of other requests take all memory that is meant for them")

// ErrStalled means that the client has stopped sending its body while the memory was needed for other requests.
var ErrStalled = errors.New("the body stopped arriving while other requests needed its memory")

// Memory is what the requests of all clients may take together. It is safe for concurrent use. A nil Memory has no limit.
type Memory struct {
	// clock is the time for which clients stall; nil if none is interrupted.
	clock timer.Clock
	// stallTime is how long a client may make no progress while others need its memory.
	stallTime time.Duration
	limits    [accountCount]int64
	// connectionBytes is what an open connection takes.
	connectionBytes int64

	// mutex guards the fields below.
	mutex    sync.Mutex
	reserved [accountCount]int64
	// readers are the clients whose head or body is awaited and whose reading can be interrupted.
	readers map[*reader]struct{}
	// released is closed, and replaced, when memory is released.
	released chan struct{}
	counts   Counts

	// joining lets one body at a time be copied into one piece.
	joining sync.Mutex
}

// account is a part of a Memory with a limit of its own.
type account int

// Values of account.
const (
	// longBodies holds the bodies above UncountedBytes.
	longBodies account = iota
	// shortBodies holds the other bodies above smallBytes.
	shortBodies
	// heads holds the heads of requests that need more than an ordinary one.
	heads
	// connections holds the open connections with an ordinary request on each.
	connections
	// all stands for all accounts together, which have a limit too.
	all
	accountCount
)

// Counts are numbers of events since the start.
type Counts struct {
	// Refused counts bodies that found no memory, RefusedHeads connections that were closed because a head found none.
	Refused, RefusedHeads int64
	// Interrupted counts clients that were interrupted because they had stalled while others needed the memory.
	Interrupted int64
}

// Option changes a Memory.
type Option func(*Memory)

// WithInterruption interrupts clients that have made no progress for stallTime when others need their memory.
func WithInterruption(clock timer.Clock, stallTime time.Duration) Option {
	return func(mm *Memory) { mm.clock, mm.stallTime = clock, stallTime }
}

// WithTotalLimit limits the bytes that bodies, heads and connections take together. A long body is accepted beyond it while it
// is the only one.
func WithTotalLimit(limit int64) Option { return func(mm *Memory) { mm.limits[all] = limit } }

// WithHeadLimit limits the bytes that heads of requests take beyond those of ordinary ones.
func WithHeadLimit(limit int64) Option { return func(mm *Memory) { mm.limits[heads] = limit } }

// New returns a memory with limits in bytes for bodies above UncountedBytes and for shorter ones, 0 for no limit of these.
func New(limit, shortLimit int64, options ...Option) *Memory {
	mm := &Memory{readers: map[*reader]struct{}{}, released: make(chan struct{})}
	mm.limits[longBodies], mm.limits[shortBodies] = limit, shortLimit
	for _, option := range options {
		option(mm)
	}
	return mm
}

// Reserved returns the bytes that are reserved for long bodies.
func (mm *Memory) Reserved() int64 {
	mm.mutex.Lock()
	defer mm.mutex.Unlock()
	return mm.reserved[longBodies]
}

// Counts returns the numbers of events since the start.
func (mm *Memory) Counts() Counts {
	if mm == nil {
		return Counts{}
	}
	mm.mutex.Lock()
	defer mm.mutex.Unlock()
	return mm.counts
}

// limitedBody is the body of a request that takes part of a Memory.
type limitedBody struct {
	io.ReadCloser
	reader
	// announced is the length of the body, or -1 if the client has not announced it.
	announced int64
	// read are the bytes that were read.
	read int64
	// rejected says that ErrExhausted was returned or the memory released. The bytes read from then on are not kept.
	rejected bool
}

// Limit makes the body of a request part of the memory until the returned function is called. Reading the body fails with
// ErrExhausted if there is no memory for it. What is read after the call of the function is not to be kept.
func (mm *Memory) Limit(request *http.Request) func() { return mm.LimitInterruptible(request, nil) }

// LimitInterruptible is Limit with a function that ends a Read that waits for the client, so that it fails with ErrStalled.
// The function is not called after the body has ended.
func (mm *Memory) LimitInterruptible(request *http.Request, interrupt func()) func() {
	if mm == nil || request.Body == nil || request.Body == http.NoBody {
		return func() {}
	}
	body := &limitedBody{ReadCloser: request.Body, announced: request.ContentLength}
	body.reader = reader{memory: mm, interrupt: interrupt}
	if head, ok := request.Context().Value(headKey{}).(*Head); ok {
		body.head = head
	}
	mm.mutex.Lock()
	body.begin()
	mm.mutex.Unlock()
	request.Body = body
	return body.release
}

// Read reads from the body. It returns ErrExhausted, once and before it reads, if there is no memory for the
// whole body or, if its length is unknown, for the next bytes.
func (lb *limitedBody) Read(buffer []byte) (int, error) {
	if !lb.rejected && !lb.reserveOrWait() {
		lb.rejected = true
		lb.end()
		return 0, ErrExhausted
	}
	if lb.announced < 0 && !lb.rejected {
		// The one byte more tells the end of the body from bytes that need further memory.
		buffer = buffer[:min(int64(len(buffer)), max(UncountedBytes, lb.amounts[longBodies])+1-lb.read)]
	}
	count, err := lb.ReadCloser.Read(buffer)
	lb.read += int64(count)
	lb.progress(lb.read)
	if err != nil {
		if interrupted := lb.end(); interrupted && !errors.Is(err, io.EOF) {
			err = ErrStalled
		}
	}
	return count, err
}

// reserveOrWait reserves memory for the body and reports whether there was enough. It waits for a short time for that of
// clients that it interrupts.
func (lb *limitedBody) reserveOrWait() bool {
	mm := lb.memory
	for try := 0; ; try++ {
		mm.mutex.Lock()
		missing, from := lb.reserve()
		if missing == 0 || try == maxWaits || !mm.interruptStalled(from, missing) {
			if missing > 0 {
				mm.counts.Refused++
			}
			mm.mutex.Unlock()
			return missing == 0
		}
		released := mm.released
		mm.mutex.Unlock()
		passed, subscription := timer.Wait(mm.clock, waitTime)
		select {
		case <-released:
		case <-passed:
		}
		subscription.Stop()
	}
}

// reserve reserves memory for the body. If there is not enough, it returns how much is missing in which account.
func (lb *limitedBody) reserve() (int64, account) {
	long := lb.amounts[longBodies]
	needed := lb.announced
	if needed < 0 {
		needed = long
		if lb.read > max(UncountedBytes, long) {
			needed = lb.read + stepBytes
		}
	}
	if needed <= max(UncountedBytes, long) {
		if long > 0 {
			return 0, longBodies
		}
		if lb.announced < 0 {
			needed = lb.read
			if lb.read > smallBytes {
				needed = bufferLength(lb.read)
			}
		}
		missing, from := lb.reserveShort(needed)
		if missing == 0 || lb.announced >= 0 {
			return missing, from
		}
		// A body of unknown length may be a long one.
		needed = lb.read + stepBytes
	}
	// A body that takes all of the memory or more is accepted while it is the only one. It could never be served otherwise.
	isOnly := lb.memory.reserved[longBodies] == long
	if missing, from := lb.missing(longBodies, needed-long); missing > 0 && !isOnly {
		return missing, from
	}
	lb.set(longBodies, needed)
	lb.set(shortBodies, 0)
	return 0, longBodies
}

// reserveShort reserves memory for a short body. If there is not enough, it returns how much is missing in which account.
func (lb *limitedBody) reserveShort(needed int64) (int64, account) {
	added := needed - lb.amounts[shortBodies]
	if lb.memory.limits[shortBodies] == 0 || needed <= smallBytes || added <= 0 {
		return 0, shortBodies
	}
	if missing, from := lb.missing(shortBodies, added); missing > 0 {
		return missing, from
	}
	lb.set(shortBodies, needed)
	return 0, shortBodies
}

// release returns the reserved memory.
func (lb *limitedBody) release() {
	lb.end()
	lb.rejected = true
	lb.clear()
}
