package backend

import (
	"io"
	"math"

	"github.com/go-faster/errors"
)

// unlimited lets a source be read without a bound.
const unlimited = math.MaxInt64

// errHeadTooLong ends the reading of a head that has no end.
var errHeadTooLong = errors.New("the head of the answer is too long")

// source reads from a connection up to a bound.
type source struct {
	io.Reader
	left int64
}

// limit sets how many bytes may still be read.
func (sr *source) limit(left int64) { sr.left = left }

// Read reads from the connection; beyond the bound it fails.
func (sr *source) Read(buffer []byte) (int, error) {
	if sr.left <= 0 {
		return 0, errHeadTooLong
	}
	count, err := sr.Reader.Read(buffer[:min(int64(len(buffer)), sr.left)])
	if sr.left != unlimited {
		sr.left -= int64(count)
	}
	return count, err
}
