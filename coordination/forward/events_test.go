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

// TestEventReader passes whole events on only, whatever parts they come in.
func TestEventReader(t *testing.T) {
	text := "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c\n"
	reader := newEventReader(iotest.OneByteReader(strings.NewReader(text)))
	var ids []string
	whole := ""
	for {
		ev, err := reader.next()
		ids = append(ids, ev.id)
		whole += string(ev.data)
		if err != nil {
			assert.Equal(t, err, io.EOF)
			break
		}
	}
	assert.DeepEqual(t, ids, []string{"1", "2", "3"})
	assert.Equal(t, whole, text)
	broken := errors.New("broken")
	reader = newEventReader(io.MultiReader(strings.NewReader("id: 1\n\nid: 2\nda"), iotest.ErrReader(broken)))
	ev, err := reader.next()
	assert.NilError(t, err)
	assert.Equal(t, string(ev.data), "id: 1\n\n")
	ev, err = reader.next()
	assert.Equal(t, err, broken)
	assert.Equal(t, len(ev.data), 0)
	_, err = newEventReader(strings.NewReader(strings.Repeat("x", 2*maxEventBytes))).next()
	assert.Equal(t, err, errEventTooLong)
}

// FuzzEventReader splits any bytes into events: nothing is lost or added, and no event is longer than allowed.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\n"))
	f.Add([]byte("\n\n\n"))
	f.Add(bytes.Repeat([]byte("x"), 70_000))
	f.Fuzz(func(t *testing.T, raw []byte) {
		er := newEventReader(bytes.NewReader(raw))
		var all []byte
		for {
			ev, err := er.next()
			all = append(all, ev.data...)
			if errors.Is(err, io.EOF) {
				assert.Assert(t, bytes.Equal(all, raw))
				return
			}
			if err != nil {
				assert.ErrorIs(t, err, errEventTooLong)
				assert.Assert(t, bytes.HasPrefix(raw, all))
				return
			}
			assert.Assert(t, len(ev.data) <= maxEventBytes, "%d bytes", len(ev.data))
		}
	})
}
