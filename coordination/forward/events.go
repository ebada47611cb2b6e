package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/go-faster/errors"
)

// event is one complete server-sent event, with data exactly as the engine sent it. A block of comments is an event
// without fields.
type event struct {
	id   string
	data []byte
	// hasField says that the event has a field, hasData that it has one with data.
	hasField bool
	hasData  bool
}

// maxEventBytes bounds the size of one event, so that hundreds of streams without line ends fit into the memory of a
// small host.
const maxEventBytes = 64 << 10

var (
	errEventTooLong = errors.New("an event of the stream is too long")
	errNotAnEvent   = errors.New("the stream contains something that is not an event")
	errNotResumed   = errors.New("the stream does not go on after the last event")
)

// idFollows reports whether an event with the id next may follow the one with the id last. Ids that are numbers have to
// rise; others have to differ.
func idFollows(last, next string) bool {
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	nextNumber, nextErr := strconv.ParseUint(next, 10, 64)
	if lastErr != nil || nextErr != nil {
		return last != next
	}
	return lastNumber < nextNumber
}

// eventReader splits a stream into complete events, so that an incomplete event is never forwarded.
type eventReader struct {
	input *bufio.Reader
	// pending holds the lines of the event that is being read.
	pending  bytes.Buffer
	boundary eventBoundary
	// started says that the first line of the stream has been read.
	started bool
}

// eventBoundary tracks whether the bytes of a stream so far end inside an event. Comments and blank lines between events
// belong to no event.
type eventBoundary struct {
	insideEvent bool
	// lineStarted says that the current line is not empty, inComment that it is a comment.
	lineStarted bool
	inComment   bool
}

// advance adds the next bytes of the stream.
func (eb *eventBoundary) advance(chunk []byte) {
	for _, char := range chunk {
		switch {
		case char == '\n':
			eb.insideEvent = eb.insideEvent && eb.lineStarted
			eb.lineStarted, eb.inComment = false, false
		case char == '\r':
		default:
			eb.inComment = eb.inComment || !eb.lineStarted && char == ':'
			eb.lineStarted = true
			eb.insideEvent = eb.insideEvent || !eb.inComment
		}
	}
}

// readBufferBytes is the size of the read buffer of a stream. Longer lines are read in pieces.
const readBufferBytes = 2048

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{input: bufio.NewReaderSize(body, readBufferBytes)}
}

// next returns the next complete event. Its data is valid until the next call. At the end of the stream it returns the
// remaining comments together with io.EOF, or io.ErrUnexpectedEOF if the stream ends inside an event. It returns
// errEventTooLong for an event that exceeds the limit, and errNotAnEvent for lines that can't be part of an event, such as
// the head of an HTTP response that a server wrote into a stream.
func (er *eventReader) next() (event, error) {
	var ev event
	er.pending.Reset()
	er.boundary = eventBoundary{}
	lineContinues := false
	hasUnknownField := false
	for {
		line, err := er.input.ReadSlice('\n')
		er.pending.Write(line)
		er.boundary.advance(line)
		isLineStart := !lineContinues
		lineContinues = errors.Is(err, bufio.ErrBufferFull)
		if isLineStart && (err == nil || lineContinues) {
			if !er.started {
				line = bytes.TrimPrefix(line, byteOrderMark)
				er.started = true
			}
			switch classifyLine(line, lineContinues) {
			case invalidLine:
				return event{}, errNotAnEvent
			case knownField:
				ev.hasField = true
				ev.hasData = ev.hasData || bytes.HasPrefix(line, []byte("data"))
			case unknownField:
				hasUnknownField = true
			case commentOrBlank:
			}
		}
		if lineContinues {
			if er.pending.Len() > maxEventBytes {
				return event{}, errEventTooLong
			}
			continue
		}
		if err != nil {
			switch {
			case !errors.Is(err, io.EOF):
				return event{}, err
			case er.boundary.insideEvent:
				return event{}, io.ErrUnexpectedEOF
			default:
				return event{data: er.pending.Bytes()}, io.EOF
			}
		}
		if isLineStart {
			trimmed := bytes.TrimRight(line, "\r\n")
			if len(trimmed) == 0 {
				if hasUnknownField && !ev.hasField {
					return event{}, errNotAnEvent
				}
				ev.data = er.pending.Bytes()
				return ev, nil
			}
			if value, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
				ev.id = string(bytes.TrimPrefix(value, []byte(" ")))
			}
		}
		if er.pending.Len() > maxEventBytes {
			return event{}, errEventTooLong
		}
	}
}
