package bodymemory

import (
	"bytes"
	"io"
	"math/bits"

	"github.com/go-faster/errors"
)

const (
	// firstPieceBytes is the length of the first buffer of a body.
	firstPieceBytes = bytes.MinRead
	// pieceBytes is the length of the buffers of a body of unknown length beyond the first ones.
	pieceBytes = 64 << 10
	// maxInitialBufferBytes is the largest buffer that is allocated for a body before so many bytes of it have arrived.
	maxInitialBufferBytes = 8 << 20
)

// bufferLength returns the length of the buffers that ReadAll has after it has read a number of bytes of a short body of
// unknown length.
func bufferLength(read int64) int64 { return 1 << bits.Len64(uint64(read)) }

// Read reads a body to its end without a Memory. The announced length is -1 if it is unknown.
func Read(body io.Reader, announced int64) ([]byte, error) {
	return (&Memory{}).ReadAll(body, announced)
}

// ReadAll reads a body to its end. The announced length is -1 if it is unknown. Buffers are allocated when the first bytes
// have arrived, so that a body that finds no memory takes none.
func (mm *Memory) ReadAll(body io.Reader, announced int64) ([]byte, error) {
	first := make([]byte, firstPieceBytes)
	count, err := body.Read(first)
	first = first[:count]
	switch {
	case errors.Is(err, io.EOF):
		return first, nil
	case err != nil:
		return nil, err
	case announced >= 0:
		return readAnnounced(body, first, announced)
	default:
		return mm.readPieces(body, first)
	}
}

// readAnnounced reads the rest of a body of an announced length. The byte more shows the end of the body.
func readAnnounced(body io.Reader, first []byte, announced int64) ([]byte, error) {
	content := append(make([]byte, 0, max(int64(len(first)), min(announced, maxInitialBufferBytes))+1), first...)
	for {
		if len(content) == cap(content) {
			content = append(make([]byte, 0, max(announced+1, int64(2*len(content)))), content...)
		}
		count, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return content, err
		}
	}
}

// readPieces reads the rest of a body of unknown length into pieces and joins them.
func (mm *Memory) readPieces(body io.Reader, first []byte) ([]byte, error) {
	pieces := [][]byte{first}
	total := len(first)
	for {
		last := &pieces[len(pieces)-1]
		if len(*last) == cap(*last) {
			pieces = append(pieces, make([]byte, 0, min(total, pieceBytes)))
			last = &pieces[len(pieces)-1]
		}
		count, err := body.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+count]
		total += count
		if errors.Is(err, io.EOF) {
			return mm.join(pieces), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// join returns the content of pieces. It copies one body at a time, because the body takes its memory twice meanwhile.
func (mm *Memory) join(pieces [][]byte) []byte {
	if mm == nil {
		return bytes.Join(pieces, nil)
	}
	mm.joining.Lock()
	defer mm.joining.Unlock()
	return bytes.Join(pieces, nil)
}
