package conviction_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/conviction"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// pagedLog gives at most two records at a time.
type pagedLog struct{ bodies [][]byte }

func (lg *pagedLog) Append(_ context.Context, body []byte) bool {
	lg.bodies = append(lg.bodies, body)
	return true
}

func (lg *pagedLog) Read(_ context.Context, from id.Offset) ([][]byte, id.Offset, error) {
	end := min(len(lg.bodies), int(from)+2)
	return lg.bodies[from:end], id.Offset(end), nil
}

// TestReadReachesTheEnd reads a stream that is longer than one answer of the log.
func TestReadReachesTheEnd(t *testing.T) {
	lg := &pagedLog{}
	for fp := range id.Fingerprint(5) {
		body, err := json.Marshal(conviction.Record{Fingerprint: fp, Crashes: 2, At: time.Now()})
		assert.NilError(t, err)
		lg.Append(context.Background(), body)
	}
	learnt := 0
	keeper := conviction.New(timer.NewSystem(), lg, time.Hour, tally.NoopScope, func(id.Fingerprint, int) { learnt++ })
	keeper.Read(context.Background())
	assert.Equal(t, learnt, 5)
	keeper.Read(context.Background())
	assert.Equal(t, learnt, 5, "what was read is not read again")
}
