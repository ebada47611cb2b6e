package forward

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// passEventLines passes a stream through an eventLineFilter in reads of the given size.
func passEventLines(stream []byte, size int) ([]byte, error) {
	var filter eventLineFilter
	var passed []byte
	for len(stream) > 0 {
		length := min(max(1, size), len(stream))
		content, err := filter.next(stream[:length:length])
		passed = append(passed, content...)
		if err != nil {
			return passed, err
		}
		stream = stream[length:]
	}
	return append(passed, filter.undecided...), nil
}

// FuzzEventLines checks that the stream of a plain service passes unchanged up to the first line that can't be part of an
// event, however the bytes are split into reads.
func FuzzEventLines(f *testing.F) {
	f.Add([]byte("\ufeff: comment\n\nretry: 10\r\n\r\nx-weight-versions:4\nid: 2\ndata\n\n"), 3)
	f.Add([]byte("id: 1\ndata: a\n\nHTTP/1.1 500 Internal Server Error\r\n\r\n"), 1)
	f.Add([]byte("id: 1\n\nInternal"), 7)
	f.Add([]byte(strings.Repeat("x", maxFieldNameBytes+1)+": a\n"), 1)
	f.Fuzz(func(t *testing.T, raw []byte, size int) {
		inPieces, piecesErr := passEventLines(raw, size)
		whole, wholeErr := passEventLines(raw, len(raw))
		assert.Equal(t, string(inPieces), string(whole))
		assert.Equal(t, piecesErr, wholeErr)
		assert.Assert(t, bytes.HasPrefix(raw, whole))
		if wholeErr == nil {
			assert.Equal(t, string(whole), string(raw))
		}
	})
}
