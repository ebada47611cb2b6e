package telemetry_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// TestLinesNeverBlock goes on although nobody reads the lines, and says how many were dropped.
func TestLinesNeverBlock(t *testing.T) {
	reader, writer := io.Pipe()
	lines := telemetry.NewLines(writer)
	line := []byte(strings.Repeat("x", 999) + "\n")
	for range 5000 {
		count, err := lines.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, count, len(line))
	}
	lines.Close()
	_ = reader.Close()
}

type buffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (bf *buffer) Write(part []byte) (int, error) {
	bf.mutex.Lock()
	defer bf.mutex.Unlock()
	return bf.bytes.Write(part)
}

// TestLinesAreWritten keeps the lines and their order.
func TestLinesAreWritten(t *testing.T) {
	out := &buffer{}
	lines := telemetry.NewLines(out)
	for _, text := range []string{"a\n", "b\n", "c\n"} {
		_, err := lines.Write([]byte(text))
		assert.NilError(t, err)
	}
	lines.Close()
	out.mutex.Lock()
	defer out.mutex.Unlock()
	assert.Equal(t, out.bytes.String(), "a\nb\nc\n")
}
