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

// TestReplayRecordedDay replays a recorded day: a short prompt on an idle engine, a long one that several engines read, one whose
// lines are not complete, and a request of a plain service, on three engines of which one comes later.
func TestReplayRecordedDay(t *testing.T) {
	file, err := os.Open("testdata/day.log")
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	lines, skipped, err := telemetry.ReadLogLines(file)
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	all := experiment.ReplayDay(read(t, "waves.ini"), batch.DefaultConfig(), experiment.NewRecordedDay(read(t, "waves.ini"), lines))
	short, long := all[0], all[2]
	assert.DeepEqual(t, short.Recorded, []time.Duration{42 * time.Millisecond})
	assert.DeepEqual(t, long.Recorded, []time.Duration{1600 * time.Millisecond})
	assert.Equal(t, len(all[1].Recorded), 0)
	// 4,303 tokens take 26 ms on one engine.
	assert.Assert(t, short.Replayed[0] >= 26*time.Millisecond && short.Replayed[0] < 50*time.Millisecond, "%v", short.Replayed[0])
	// 154,000 tokens take 3,050 ms on one engine, and 1,525 ms on the two that are there.
	assert.Assert(t, long.Replayed[0] > 1500*time.Millisecond && long.Replayed[0] < 1800*time.Millisecond, "%v", long.Replayed[0])
}

// TestReplayLogWithoutPrompts takes a log without prompts.
func TestReplayLogWithoutPrompts(t *testing.T) {
	pt := read(t, "waves.ini")
	for _, df := range experiment.ReplayDay(pt, batch.DefaultConfig(), experiment.NewRecordedDay(pt, nil)) {
		assert.Equal(t, len(df.Recorded), 0)
	}
}
