package experiment_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/experiment"
	"github.com/hibiscuslever/hibiscuslever/telemetry"
)

// TestReplayRecordedDay checks which requests of a log are replayed and that their times to the first event are those
// of the model. The log has a short prompt on an idle engine, a long one that several engines read, one with
// incomplete lines, a request of a plain service, and three engines, one of which is listed later.
func TestReplayRecordedDay(t *testing.T) {
	file, err := os.Open("testdata/day.log")
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	lines, skipped, err := telemetry.ReadLogLines(file)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	comparisons := experiment.ReplayDay(readPattern(t, "waves.ini"), batch.DefaultConfig(), experiment.NewRecordedDay(readPattern(t, "waves.ini"), lines))
	shortPrompts, longPrompts := comparisons[0], comparisons[2]
	assert.DeepEqual(t, shortPrompts.Recorded, []time.Duration{42 * time.Millisecond})
	assert.DeepEqual(t, longPrompts.Recorded, []time.Duration{1600 * time.Millisecond})
	assert.Equal(t, len(comparisons[1].Recorded), 0)
	// 4,303 tokens take 26 ms on one engine.
	assert.Assert(t, shortPrompts.Replayed[0] >= 26*time.Millisecond && shortPrompts.Replayed[0] < 50*time.Millisecond, "%v", shortPrompts.Replayed[0])
	// 154,000 tokens take 3,050 ms on one engine, and 1,525 ms on the two engines listed at that time.
	assert.Assert(t, longPrompts.Replayed[0] > 1500*time.Millisecond && longPrompts.Replayed[0] < 1800*time.Millisecond, "%v", longPrompts.Replayed[0])
}

// TestReplayLogWithoutPrompts checks that a log without prompts gives no times.
func TestReplayLogWithoutPrompts(t *testing.T) {
	pt := readPattern(t, "waves.ini")
	for _, comparison := range experiment.ReplayDay(pt, batch.DefaultConfig(), experiment.NewRecordedDay(pt, nil)) {
		assert.Equal(t, len(comparison.Recorded), 0)
	}
}
