// Package bodymemory limits the memory that the bodies of all requests to a host take at the same time.
package bodymemory

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
)

const (
	// UncountedBytes is the length up to which a body of a request does not count as part of the body memory, so that
	// few long bodies don't keep short ones out. Such bodies have a limit of their own.
	UncountedBytes = 64 << 10
	// smallBytes is the length up to which a body has no limit at all.
	smallBytes = 4 << 10
	// stepBytes is the step in which memory is reserved for a body without an announced length.
	stepBytes = 256 << 10
	// maxInitialBufferBytes is the largest buffer that is allocated for a body before any of it has arrived.
	maxInitialBufferBytes = 8 << 20
)

// ErrExhausted means that the bodies of other requests take all memory that is meant for bodies.
var ErrExhausted = errors.New("the bodies of other requests take all memory that is meant for them")

// Memory is what the bodies of all requests may take together. It is safe for concurrent use. A nil Memory has no limit.
type Memory struct {
	limit    int64
	reserved atomic.Int64
	// shortLimit limits the bodies up to UncountedBytes; 0 for no limit.
	shortLimit    int64
	shortReserved atomic.Int64
}

// New returns a memory with limits in bytes for bodies above UncountedBytes and for shorter ones, 0 for no limit of these.
func New(limit, shortLimit int64) *Memory { return &Memory{limit: limit, shortLimit: shortLimit} }

// Reserved returns the bytes that are reserved for bodies.
func (mm *Memory) Reserved() int64 { return mm.reserved.Load() }

// limitedBody is the body of a request that takes part of a Memory.
type limitedBody struct {
	io.ReadCloser
	memory *Memory
	// announced is the length of the body, or -1 if the client has not announced it.
	announced int64
	// read and reserved are the bytes that were read and that are reserved.
	read     int64
	reserved int64
	// shortReserved are the bytes that are reserved for it as a short body.
	shortReserved int64
	// rejected says that ErrExhausted was returned. The bytes read from then on are not kept.
	rejected bool
}

// Limit makes the body of a request part of the memory until the returned function is called. Reading the body fails with
// ErrExhausted if there is no memory for it.
func (mm *Memory) Limit(request *http.Request) func() {
	if mm == nil || request.Body == nil || request.Body == http.NoBody {
		return func() {}
	}
	body := &limitedBody{ReadCloser: request.Body, memory: mm, announced: request.ContentLength}
	request.Body = body
	return body.release
}

// Read reads from the body. It returns ErrExhausted, once and before it reads, if there is no memory for the
// whole body or, if its length is unknown, for the next bytes.
func (lb *limitedBody) Read(buffer []byte) (int, error) {
	if !lb.rejected && !lb.reserve() {
		lb.rejected = true
		return 0, ErrExhausted
	}
	if lb.announced < 0 && !lb.rejected {
		// The one byte more tells the end of the body from bytes that need further memory.
		buffer = buffer[:min(int64(len(buffer)), max(UncountedBytes, lb.reserved)+1-lb.read)]
	}
	count, err := lb.ReadCloser.Read(buffer)
	lb.read += int64(count)
	return count, err
}

// reserve reserves memory for the body and reports whether there was enough.
func (lb *limitedBody) reserve() bool {
	needed := lb.announced
	if needed < 0 {
		needed = lb.reserved
		if lb.read > max(UncountedBytes, lb.reserved) {
			needed = lb.read + stepBytes
		}
	}
	if needed <= max(UncountedBytes, lb.reserved) {
		if lb.reserved > 0 || lb.reserveShort(max(needed, lb.read)) {
			return true
		}
		if lb.announced >= 0 {
			return false
		}
		// A body of unknown length may be a long one.
		needed = lb.read + stepBytes
	}
	added := needed - lb.reserved
	// A body that takes all of the memory or more is accepted while it is the only one. It could never be served otherwise.
	if total := lb.memory.reserved.Add(added); total > lb.memory.limit && total > needed {
		lb.memory.reserved.Add(-added)
		return false
	}
	lb.reserved = needed
	lb.releaseShort()
	return true
}

// reserveShort reserves memory for a short body and reports whether there was enough.
func (lb *limitedBody) reserveShort(needed int64) bool {
	if lb.memory.shortLimit == 0 || needed <= max(smallBytes, lb.shortReserved) {
		return true
	}
	added := needed - lb.shortReserved
	if lb.memory.shortReserved.Add(added) > lb.memory.shortLimit {
		lb.memory.shortReserved.Add(-added)
		return false
	}
	lb.shortReserved = needed
	return true
}

// release returns the reserved memory.
func (lb *limitedBody) release() {
	lb.memory.reserved.Add(-lb.reserved)
	lb.reserved = 0
	lb.releaseShort()
}

func (lb *limitedBody) releaseShort() {
	lb.memory.shortReserved.Add(-lb.shortReserved)
	lb.shortReserved = 0
}

// Read reads a body to its end into a buffer of the announced length, which is -1 if it is unknown. The buffer is
// allocated when the first bytes have arrived, so that a body that finds no memory takes none.
func Read(body io.Reader, announced int64) ([]byte, error) {
	first := make([]byte, bytes.MinRead)
	count, err := body.Read(first)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	// ReadFrom enlarges the buffer unless bytes.MinRead bytes are free at the end of the body.
	size := max(count, int(min(announced, maxInitialBufferBytes))) + bytes.MinRead
	buffer := bytes.NewBuffer(append(make([]byte, 0, size), first[:count]...))
	if err == nil {
		_, err = buffer.ReadFrom(body)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return buffer.Bytes(), err
}
