package forward

import (
	"bytes"
	"errors"
	"io"
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

// FuzzEventReader checks that no byte of the stream is lost or added, that no event exceeds the size limit, and that a
// stream ends inside an event for the reader exactly if it does for eventBoundary.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\n"))
	f.Add([]byte("\n\n\n"))
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
			if err != nil {
				assert.ErrorIs(t, err, errEventTooLong)
				assert.Assert(t, bytes.HasPrefix(raw, joined))
				return
			}
			assert.Assert(t, len(ev.data) <= maxEventBytes, "%d bytes", len(ev.data))
		}
	})
}
