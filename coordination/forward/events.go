package forward

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// event is one whole event of a stream as the engine sent it.
type event struct {
	id   string
	data []byte
}

// maxEventBytes bounds one event, so that hundreds of streams without line ends fit into a small host's memory.
const maxEventBytes = 64 << 10

var errEventTooLong = errors.New("an event of the stream is too long")

// eventReader splits a stream into whole events, so that a part of an event is never passed on.
type eventReader struct {
	lines *bufio.Reader
	// part holds the lines of the event that is not whole yet.
	part bytes.Buffer
}

func newEventReader(body io.Reader) *eventReader {
	const bufferBytes = 2048
	return &eventReader{lines: bufio.NewReaderSize(body, bufferBytes)}
}

// next returns the next whole event. At the end of a whole stream it returns what is left with io.EOF.
func (er *eventReader) next() (event, error) {
	var ev event
	er.part.Reset()
	for {
		line, err := er.lines.ReadSlice('\n')
		er.part.Write(line)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
			if er.part.Len() > maxEventBytes {
				return event{}, errEventTooLong
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				ev.data = er.part.Bytes()
				return ev, io.EOF
			}
			return event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			ev.data = er.part.Bytes()
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			ev.id = string(bytes.TrimPrefix(value, []byte(" ")))
		}
		if er.part.Len() > maxEventBytes {
			return event{}, errEventTooLong
		}
	}
}
