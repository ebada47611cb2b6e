package forward

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// TestEventReader checks that only complete events are returned, however the bytes are split into reads, that comments
// after the last event are returned too, and that an event above the size limit is an error.
func TestEventReader(t *testing.T) {
	text := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n: end\n"
	reader := newEventReader(iotest.OneByteReader(strings.NewReader(text)))
	var ids []string
	joined := ""
	for {
		ev, err := reader.next()
		ids = append(ids, ev.id)
		joined += string(ev.data)
		if err != nil {
			assert.Equal(t, err, io.EOF)
			break
		}
	}
	assert.DeepEqual(t, ids, []string{"1", "2", "3", ""})
	assert.Equal(t, joined, text)
	readErr := errors.New("broken")
	reader = newEventReader(io.MultiReader(strings.NewReader("id: 1\n\nid: 2\nda"), iotest.ErrReader(readErr)))
	ev, err := reader.next()
	assert.NilError(t, err)
	assert.Equal(t, string(ev.data), "id: 1\n\n")
	ev, err = reader.next()
	assert.Equal(t, err, readErr)
	assert.Equal(t, len(ev.data), 0)
	_, err = newEventReader(strings.NewReader(strings.Repeat("x", 2*maxEventBytes))).next()
	assert.Equal(t, err, errEventTooLong)
}

// TestStreamEndsInsideEvent checks that a stream which ends inside an event counts as broken off, wherever that is, and
// that nothing of the incomplete event is returned.
func TestStreamEndsInsideEvent(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n"
	for length := range len(second) {
		text := first + second[:length]
		reader := newEventReader(strings.NewReader(text))
		ev, err := reader.next()
		assert.NilError(t, err)
		assert.Equal(t, string(ev.data), first)
		ev, err = reader.next()
		want := io.ErrUnexpectedEOF
		if length == 0 {
			want = io.EOF
		}
		assert.Equal(t, err, want, "%q", text)
		assert.Equal(t, len(ev.data), 0)
		boundary := eventBoundary{}
		for _, char := range []byte(text) {
			boundary.advance([]byte{char})
		}
		assert.Equal(t, boundary.insideEvent, length > 0, "%q", text)
	}
}

// errorTexts are error answers that a server writes into a stream that has begun.
var errorTexts = []string{
	"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed\n\n",
	"HTTP/1.0 503 Service Unavailable\n\n",
	"Internal Server Error\n\n",
	"failed\n\n",
	"{\"error\": \"failed\"}\n\n",
	"<html><body>failed</body></html>\r\n\r\n",
	"error: the engine failed\n\n",
	"Content-Type: text/plain\r\n\r\n",
	"id: 2\nHTTP/1.1 500 Internal Server Error\n\n",
}

// TestErrorInsideStreamIsNotAnEvent checks that no error answer in a stream is returned as an event.
func TestErrorInsideStreamIsNotAnEvent(t *testing.T) {
	for _, text := range errorTexts {
		reader := newEventReader(strings.NewReader("id: 1\ndata: a\n\n" + text))
		ev, err := reader.next()
		assert.NilError(t, err)
		assert.Equal(t, string(ev.data), "id: 1\ndata: a\n\n")
		ev, err = reader.next()
		assert.ErrorIs(t, err, errNotAnEvent, "%q", text)
		assert.Equal(t, len(ev.data), 0)
	}
}

// TestValidEventsPassUnchanged checks that all forms of events and of what may stand between them are returned unchanged.
func TestValidEventsPassUnchanged(t *testing.T) {
	for _, text := range []string{
		": comment\n\n", ":\n\n", "\n", "\r\n\r\n", ": comment\nid: 1\ndata: a\n\n", "data: no id\n\n", "data\n\n", "data:\n\n", "retry: 100\n\n",
		"event: done\ndata: {\"a\": 1}\n\n", "data: a\ndata: b\ndata: HTTP/1.1 500 Internal Server Error\nid:7\n\n", "\ufeffid: 1\ndata: a\n\n", "\ufeff: comment\n\n",
		"x-weight-versions:4\nid: 2\ndata: a\n\n", "x-weight-versions: 4\r\nid: 2\r\ndata: a\r\n\r\n", "id: 1\ndata: a\rid: 2\n\n",
		"data: " + strings.Repeat("y", 5000) + "\nid: 5\n\n", "data: a: b\n\n", "id\n\n",
	} {
		reader := newEventReader(strings.NewReader(text))
		joined := ""
		for {
			ev, err := reader.next()
			joined += string(ev.data)
			if err != nil {
				assert.Equal(t, err, io.EOF, "%q", text)
				break
			}
		}
		assert.Equal(t, joined, text)
	}
}

// TestLineLongerThanReadBuffer checks that an event with a long line is returned as one event with its own id, wherever
// the read buffer ends in the line.
func TestLineLongerThanReadBuffer(t *testing.T) {
	for length := readBufferBytes - 16; length < readBufferBytes+16; length++ {
		text := "data: " + strings.Repeat("x", length) + "id: 9\ndata: end\nid: 3\n\n"
		ev, err := newEventReader(strings.NewReader(text)).next()
		assert.NilError(t, err)
		assert.Equal(t, string(ev.data), text)
		assert.Equal(t, ev.id, "3")
		text = "id: 3\ndata: " + strings.Repeat("x", length) + "id: 9\n\n"
		ev, err = newEventReader(strings.NewReader(text)).next()
		assert.NilError(t, err)
		assert.Equal(t, string(ev.data), text)
		assert.Equal(t, ev.id, "3")
	}
}

// FuzzEventReader checks that no byte of the stream is lost or added, that no event exceeds the size limit, that a
// stream ends inside an event for the reader exactly if it does for eventBoundary, and that only streams with lines that
// are no fields of events are rejected.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\n"))
	f.Add([]byte("\n\n\n"))
	f.Add([]byte("\ufeffid: 1\ndata: a\n\nx-weight-versions:4\nid: 2\ndata: b\n\n"))
	for _, text := range errorTexts {
		f.Add([]byte("id: 1\ndata: a\n\n" + text))
	}
	f.Add(bytes.Repeat([]byte("x"), 70_000))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reader := newEventReader(bytes.NewReader(raw))
		var joined []byte
		for {
			ev, err := reader.next()
			joined = append(joined, ev.data...)
			boundary := eventBoundary{}
			boundary.advance(raw)
			if errors.Is(err, io.ErrUnexpectedEOF) {
				assert.Assert(t, bytes.HasPrefix(raw, joined))
				assert.Assert(t, boundary.insideEvent)
				return
			}
			if errors.Is(err, io.EOF) {
				assert.Assert(t, bytes.Equal(joined, raw))
				assert.Assert(t, !boundary.insideEvent)
				return
			}
			if errors.Is(err, errNotAnEvent) {
				assert.Assert(t, bytes.HasPrefix(raw, joined))
				assert.Assert(t, slices.ContainsFunc(bytes.Split(raw[len(joined):], []byte("\n")), func(line []byte) bool {
					kind := classifyLine(bytes.TrimPrefix(line, byteOrderMark), false)
					return kind == invalidLine || kind == unknownField
				}))
				return
			}
			if err != nil {
				assert.ErrorIs(t, err, errEventTooLong)
				assert.Assert(t, bytes.HasPrefix(raw, joined))
				return
			}
			assert.Assert(t, len(ev.data) <= maxEventBytes, "%d bytes", len(ev.data))
		}
	})
}
