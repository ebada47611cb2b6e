package conviction_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/checks"
	"github.com/hibiscuslever/hibiscuslever/coordination/conviction"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { checks.Main(m) }

// pagedLog gives at most two records at a time.
type pagedLog struct {
	bodies  [][]byte
	down    bool
	dropped int
}

var errDown = errors.New("the log is down")

func (lg *pagedLog) Append(_ context.Context, records []conviction.Record) error {
	if lg.down {
		return errDown
	}
	for _, rec := range records {
		body, err := conviction.Encode(rec)
		if err != nil {
			return err
		}
		lg.bodies = append(lg.bodies, body)
	}
	return nil
}

func (lg *pagedLog) Read(_ context.Context, from id.Offset, _ time.Duration) ([][]byte, id.Offset, error) {
	if lg.down {
		return nil, from, errDown
	}
	first := max(0, int(from))
	end := min(len(lg.bodies), first+2)
	return lg.bodies[first:end], id.Offset(end), nil
}

func (lg *pagedLog) Drop(_ context.Context, records []conviction.Record) error {
	lg.dropped += len(records)
	return nil
}

func newKeeper(lg *pagedLog, learn func(quarantine.Evidence)) *conviction.Syncer {
	return conviction.New(conviction.DefaultConfig(time.Hour), timer.NewSystem(), lg, tally.NoopScope, slog.New(slog.DiscardHandler), func() bool { return true }, learn)
}

func evidence(fp id.Fingerprint) quarantine.Evidence {
	return quarantine.Evidence{Fingerprint: fp, Crash: 9, Status: quarantine.Confirmed}
}

// TestReadConsumesAllPages reads a stream that is longer than one answer of the log, and passes over what can't be read.
func TestReadConsumesAllPages(t *testing.T) {
	lg := &pagedLog{}
	for fp := range id.Fingerprint(5) {
		assert.NilError(t, lg.Append(context.Background(), []conviction.Record{{Evidence: evidence(fp), At: time.Now()}}))
	}
	lg.bodies = append(lg.bodies, []byte("{"))
	var learnt []quarantine.Evidence
	keeper := newKeeper(lg, func(ev quarantine.Evidence) { learnt = append(learnt, ev) })
	assert.NilError(t, keeper.Read(context.Background(), 0))
	assert.Equal(t, len(learnt), 5)
	assert.Equal(t, learnt[4], evidence(4))
	assert.NilError(t, keeper.Read(context.Background(), 0))
	assert.Equal(t, len(learnt), 5, "what was read is not read again")
}

// TestExpiredEvidenceIsDropped learns nothing from records that are too old, and has the log forget them.
func TestExpiredEvidenceIsDropped(t *testing.T) {
	lg := &pagedLog{}
	assert.NilError(t, lg.Append(context.Background(), []conviction.Record{{Evidence: evidence(1), At: time.Now().Add(-2 * time.Hour)}, {Evidence: evidence(2), At: time.Now()}}))
	var learnt []quarantine.Evidence
	keeper := newKeeper(lg, func(ev quarantine.Evidence) { learnt = append(learnt, ev) })
	assert.NilError(t, keeper.Read(context.Background(), 0))
	assert.DeepEqual(t, learnt, []quarantine.Evidence{evidence(2)})
	assert.Equal(t, lg.dropped, 1)
}

// TestAppendAndReadResumeAfterOutage appends what the log did not take once it does, and reads after an outage.
func TestAppendAndReadResumeAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lg := &pagedLog{down: true}
		learnt := 0
		keeper := newKeeper(lg, func(quarantine.Evidence) { learnt++ })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- keeper.Run(ctx) }()
		keeper.Add(evidence(1), evidence(2))
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(lg.bodies), 0)
		lg.down = false
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(lg.bodies), 2)
		time.Sleep(time.Minute)
		assert.Equal(t, learnt, 2)
		cancel()
		assert.NilError(t, <-ended)
	})
}
