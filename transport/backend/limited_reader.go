package backend

import (
	"io"
	"math"

	"github.com/go-faster/errors"
)

// unlimited is the limit of a reader that may be read without limit.
const unlimited = math.MaxInt64

// errHeadTooLong is returned when the head of a response exceeds maxHeadBytes.
var errHeadTooLong = errors.New("the head of the answer is too long")

// limitedReader reads from a connection up to a limit that can be changed.
type limitedReader struct {
	io.Reader
	// remaining is the number of bytes that may still be read, or unlimited.
	remaining int64
}

// setLimit sets how many bytes may still be read.
func (lr *limitedReader) setLimit(remaining int64) { lr.remaining = remaining }

// Read reads from the connection. It returns errHeadTooLong once the limit is reached.
func (lr *limitedReader) Read(buffer []byte) (int, error) {
	if lr.remaining <= 0 {
		return 0, errHeadTooLong
	}
	count, err := lr.Reader.Read(buffer[:min(int64(len(buffer)), lr.remaining)])
	if lr.remaining != unlimited {
		lr.remaining -= int64(count)
	}
	return count, err
}
