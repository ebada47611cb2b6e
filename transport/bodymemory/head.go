package bodymemory

import "context"

const (
	// bytesPerHeadByte and bytesPerHeadLine are what a byte and a line of a head take in memory, bytesOfOrdinaryHead what is
	// not counted.
	bytesPerHeadByte    = 2
	bytesPerHeadLine    = 128
	bytesOfOrdinaryHead = 8 << 10
)

// Head is the memory of the heads of the requests on one connection, from their first byte to the end of the request. A nil
// Head has no limit. It is safe for concurrent use.
type Head struct {
	reader

	// The mutex of the memory guards the fields below.

	// bytes and lines are what has been received of the current head.
	bytes, lines int64
	// lineBytes is the length of the current line without carriage returns. hasLine says that a line is not empty, complete that
	// the head has ended; empty lines may precede it.
	lineBytes         int64
	hasLine, complete bool
	closed            bool
}

// headKey is the key of a Head in the context of a request.
type headKey struct{}

// NewHead returns the head of a new connection, from which a request is awaited. The function closeConnection closes the
// connection; it is not called once the whole head of a request has been received, until the next one is awaited.
func (mm *Memory) NewHead(closeConnection func()) *Head {
	if mm == nil {
		return nil
	}
	hd := &Head{reader: reader{memory: mm, interrupt: closeConnection}}
	mm.mutex.Lock()
	defer mm.mutex.Unlock()
	hd.set(connections, mm.connectionBytes)
	hd.await()
	return hd
}

// WithHead returns a context whose requests are on the connection of a head.
func WithHead(ctx context.Context, head *Head) context.Context {
	if head == nil {
		return ctx
	}
	return context.WithValue(ctx, headKey{}, head)
}

// Await records that the next request is awaited. Until it has begun, the connection may be closed if its client stalls.
func (hd *Head) Await() {
	if hd == nil {
		return
	}
	hd.memory.mutex.Lock()
	defer hd.memory.mutex.Unlock()
	hd.await()
}

func (hd *Head) await() {
	if !hd.closed && !hd.interrupted {
		hd.begin()
	}
}

// Received counts bytes that were received of the head, and reports whether there is memory for it and the connection was not
// closed for having stalled. Otherwise the connection must be closed, and no request may begin on it.
func (hd *Head) Received(part []byte) bool {
	if hd == nil {
		return true
	}
	mm := hd.memory
	mm.mutex.Lock()
	defer mm.mutex.Unlock()
	if hd.bytes == 0 {
		hd.await()
	}
	hd.count(part)
	if hd.complete {
		delete(mm.readers, &hd.reader)
	}
	added := max(0, hd.bytes*bytesPerHeadByte+hd.lines*bytesPerHeadLine-bytesOfOrdinaryHead) - hd.amounts[heads]
	if hd.closed || hd.interrupted {
		return false
	}
	isOnly := mm.reserved[heads] == hd.amounts[heads]
	if missing, from := hd.missing(heads, added); mm.limits[heads] > 0 && added > 0 && missing > 0 && !isOnly {
		mm.interruptStalled(from, missing)
		mm.counts.RefusedHeads++
		return false
	}
	hd.set(heads, hd.amounts[heads]+added)
	return true
}

// count counts the bytes and lines of a part of the head. The caller holds the mutex.
func (hd *Head) count(part []byte) {
	for _, char := range part {
		if hd.complete {
			return
		}
		hd.bytes++
		switch char {
		case '\n':
			hd.complete = hd.lineBytes == 0 && hd.hasLine
			hd.lines++
			hd.lineBytes = 0
		case '\r':
		default:
			hd.lineBytes++
			hd.hasLine = true
		}
	}
}

// RequestBegan records that the head has arrived. Its memory stays reserved.
func (hd *Head) RequestBegan() {
	if hd != nil {
		hd.end()
	}
}

// Interrupted reports whether the connection was closed for having stalled. It may be closed until the request has begun, if the
// server had read the beginning of the head together with an earlier request.
func (hd *Head) Interrupted() bool {
	if hd == nil {
		return false
	}
	hd.memory.mutex.Lock()
	defer hd.memory.mutex.Unlock()
	return hd.interrupted
}

// RequestEnded releases the memory of the head.
func (hd *Head) RequestEnded() {
	if hd == nil {
		return
	}
	hd.memory.mutex.Lock()
	defer hd.memory.mutex.Unlock()
	hd.reset()
}

// Closed releases the memory of the head, because the connection is closed.
func (hd *Head) Closed() {
	if hd == nil {
		return
	}
	hd.memory.mutex.Lock()
	defer hd.memory.mutex.Unlock()
	hd.closed = true
	hd.reset()
	hd.set(connections, 0)
}

func (hd *Head) reset() {
	delete(hd.memory.readers, &hd.reader)
	hd.set(heads, 0)
	hd.bytes, hd.lines, hd.lineBytes, hd.hasLine, hd.complete = 0, 0, 0, false, false
}
