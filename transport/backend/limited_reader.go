package backend

import (
	"io"
	"math"

	"github.com/go-faster/errors"
)

// unlimited is the limit of a reader that may be read without limit.
const unlimited = math.MaxInt64

var (
	// errHeadTooLong is returned when the head of a response exceeds maxHeadBytes.
	errHeadTooLong = errors.New("the head of the answer is too long")
	// errTooManyFields is returned when the head of a response has more than maxHeadFields fields.
	errTooManyFields = errors.New("the head of the answer has too many fields")
)

// limitedReader reads from a connection up to a limit that can be changed, and limits the lines of the heads in what it
// reads.
type limitedReader struct {
	io.Reader
	// remaining is the number of bytes that may still be read, or unlimited.
	remaining int64
	// head counts the lines of the head that is being read.
	head headLineCounter
}

// setLimit sets how many bytes may still be read.
func (lr *limitedReader) setLimit(remaining int64) { lr.remaining = remaining }

// startHead begins a head whose first bytes may have been read before. It returns errTooManyFields if these have too
// many lines; otherwise Read returns it.
func (lr *limitedReader) startHead(alreadyRead []byte) error {
	lr.head = headLineCounter{inHead: true}
	return lr.head.advance(alreadyRead)
}

// Read reads from the connection. It returns errHeadTooLong once the limit is reached.
func (lr *limitedReader) Read(buffer []byte) (int, error) {
	if lr.remaining <= 0 {
		return 0, errHeadTooLong
	}
	count, err := lr.Reader.Read(buffer[:min(int64(len(buffer)), lr.remaining)])
	if lr.remaining != unlimited {
		lr.remaining -= int64(count)
	}
	if headErr := lr.head.advance(buffer[:count]); headErr != nil {
		return 0, headErr
	}
	return count, err
}
