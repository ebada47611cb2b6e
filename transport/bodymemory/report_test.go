package bodymemory

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// TestReport checks that each refusal is counted once and that there is a log line only if there were refusals.
func TestReport(t *testing.T) {
	const refusals = 3
	memory := New(1_000_000, 50_000)
	var output bytes.Buffer
	scope := tally.NewTestScope("", nil)
	reporter := NewReporter(memory, timer.NewSystem(), scope, slog.New(slog.NewTextHandler(&output, nil)))
	reporter.report()
	assert.Equal(t, output.String(), "")
	for range refusals {
		assert.ErrorIs(t, readWhole(memory, 60_000), ErrExhausted)
	}
	reporter.report()
	reporter.report()
	assert.Equal(t, scope.Snapshot().Counters()["bodies_without_memory+"].Value(), int64(refusals))
	assert.Equal(t, strings.Count(output.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(output.String(), "bodies_refused=3"), output.String())
}
