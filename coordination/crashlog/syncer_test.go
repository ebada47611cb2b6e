package crashlog_test

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/crashlog"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/testutil"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

func TestMain(m *testing.M) { testutil.Main(m) }

// pagedLog is a log in memory that returns at most two records for each read, but all of them for an offset of an
// earlier era.
type pagedLog struct {
	encoded        [][]byte
	era            id.Era
	unavailable    bool
	appendCalls    int
	droppedRecords int
}

var errLogUnavailable = errors.New("the log is unavailable")

func (lg *pagedLog) Append(_ context.Context, records []crashlog.Record) error {
	if lg.unavailable {
		return errLogUnavailable
	}
	lg.appendCalls++
	for _, rec := range records {
		encoded, err := crashlog.Encode(rec)
		if err != nil {
			return err
		}
		lg.encoded = append(lg.encoded, encoded)
	}
	return nil
}

func (lg *pagedLog) Read(_ context.Context, from id.Offset, _ time.Duration) ([][]byte, id.Offset, error) {
	if lg.unavailable {
		return nil, from, errLogUnavailable
	}
	if from != id.NoOffset && from.Era() < lg.era {
		return lg.encoded, id.NewOffset(lg.era, int64(len(lg.encoded))), nil
	}
	first := int(from.Position())
	end := min(len(lg.encoded), first+2)
	return lg.encoded[first:end], id.NewOffset(lg.era, int64(end)), nil
}

func (lg *pagedLog) Drop(_ context.Context, records []crashlog.Record) error {
	lg.droppedRecords += len(records)
	return nil
}

func newSyncer(lg *pagedLog, learn func(...quarantine.Evidence)) *crashlog.Syncer {
	return newSyncerOfReader(lg, true, learn)
}

// newSyncerOfReader returns a syncer of a host that reads the log for all others, or does not.
func newSyncerOfReader(lg *pagedLog, isReader bool, learn func(...quarantine.Evidence)) *crashlog.Syncer {
	return crashlog.New(crashlog.DefaultConfig(time.Hour), timer.NewSystem(), lg, tally.NoopScope, slog.New(slog.DiscardHandler), func() bool { return isReader }, learn)
}

func confirmedEvidence(fp id.Fingerprint) quarantine.Evidence {
	return quarantine.Evidence{Fingerprint: fp, Crash: 9, Status: quarantine.Confirmed}
}

// TestReadConsumesAllPages reads a log that is longer than one page, and skips a record that can't be decoded. A second
// read must not return records again.
func TestReadConsumesAllPages(t *testing.T) {
	lg := &pagedLog{}
	for fp := range id.Fingerprint(5) {
		assert.NilError(t, lg.Append(context.Background(), []crashlog.Record{{Evidence: confirmedEvidence(fp), At: time.Now()}}))
	}
	lg.encoded = append(lg.encoded, []byte("{"))
	var learned []quarantine.Evidence
	syncer := newSyncer(lg, func(evidence ...quarantine.Evidence) { learned = append(learned, evidence...) })
	assert.NilError(t, syncer.Read(context.Background(), 0))
	assert.Equal(t, len(learned), 5)
	assert.Equal(t, learned[4], confirmedEvidence(4))
	assert.NilError(t, syncer.Read(context.Background(), 0))
	assert.Equal(t, len(learned), 5, "records must not be learned twice")
}

// TestExpiredEvidenceIsDropped checks that expired records are not learned, and are deleted from the log.
func TestExpiredEvidenceIsDropped(t *testing.T) {
	lg := &pagedLog{}
	assert.NilError(t, lg.Append(context.Background(), []crashlog.Record{{Evidence: confirmedEvidence(1), At: time.Now().Add(-2 * time.Hour)}, {Evidence: confirmedEvidence(2), At: time.Now()}}))
	var learned []quarantine.Evidence
	syncer := newSyncer(lg, func(evidence ...quarantine.Evidence) { learned = append(learned, evidence...) })
	assert.NilError(t, syncer.Read(context.Background(), 0))
	assert.DeepEqual(t, learned, []quarantine.Evidence{confirmedEvidence(2)})
	assert.Equal(t, lg.droppedRecords, 1)
}

// TestAppendAndReadResumeAfterOutage adds evidence while the log is unavailable. The evidence must be appended and read
// once the log is available again.
func TestAppendAndReadResumeAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lg := &pagedLog{unavailable: true}
		learned := 0
		syncer := newSyncer(lg, func(evidence ...quarantine.Evidence) { learned += len(evidence) })
		ctx, cancel := context.WithCancel(t.Context())
		runResult := make(chan error)
		go func() { runResult <- syncer.Run(ctx) }()
		syncer.QueueEvidence(confirmedEvidence(1), confirmedEvidence(2))
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(lg.encoded), 0)
		lg.unavailable = false
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(lg.encoded), 2)
		time.Sleep(time.Minute)
		assert.Equal(t, learned, 2)
		cancel()
		assert.NilError(t, <-runResult)
	})
}

// TestStartedHostReadsLogOnce checks that a host which is not to read the log reads it once after its start, as soon as
// the log is available. The hosts that it meets may have started at the same time and know nothing.
func TestStartedHostReadsLogOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lg := &pagedLog{}
		assert.NilError(t, lg.Append(t.Context(), []crashlog.Record{{Evidence: confirmedEvidence(1), At: time.Now()}}))
		lg.unavailable = true
		learned := 0
		syncer := newSyncerOfReader(lg, false, func(evidence ...quarantine.Evidence) { learned += len(evidence) })
		ctx, cancel := context.WithCancel(t.Context())
		runResult := make(chan error)
		go func() { runResult <- syncer.Run(ctx) }()
		time.Sleep(9 * time.Second)
		lg.unavailable = false
		time.Sleep(3 * time.Second)
		assert.Equal(t, learned, 1)
		assert.NilError(t, lg.Append(ctx, []crashlog.Record{{Evidence: confirmedEvidence(2), At: time.Now()}}))
		time.Sleep(time.Minute)
		assert.Equal(t, learned, 1)
		cancel()
		assert.NilError(t, <-runResult)
	})
}

// TestEvidenceIsAppendedAgainAfterRestore restores the log from a copy that lacks evidence. The syncer must append what is
// missing, once, and not what the copy has.
func TestEvidenceIsAppendedAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lg := &pagedLog{}
		stored := func() []quarantine.Evidence {
			return []quarantine.Evidence{confirmedEvidence(1), confirmedEvidence(2), confirmedEvidence(3)}
		}
		syncer := crashlog.New(crashlog.DefaultConfig(time.Hour), timer.NewSystem(), lg, tally.NoopScope, slog.New(slog.DiscardHandler),
			func() bool { return true }, func(...quarantine.Evidence) {}, crashlog.WithStoredEvidence(stored))
		ctx, cancel := context.WithCancel(t.Context())
		runResult := make(chan error)
		go func() { runResult <- syncer.Run(ctx) }()
		syncer.QueueEvidence(stored()...)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(lg.encoded), 3)
		lg.encoded, lg.era = lg.encoded[:1], 2
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(lg.encoded), 3)
		cancel()
		assert.NilError(t, <-runResult)
	})
}

// newSyncerWithBounds returns a syncer of a host that leaves single crashes to the reader, and adds at most three in a minute.
func newSyncerWithBounds(lg *pagedLog, shouldRead func() bool, learn func(...quarantine.Evidence)) *crashlog.Syncer {
	config := crashlog.DefaultConfig(time.Hour)
	config.MinShared, config.FirstCrashes, config.FirstCrashPeriod = 2, 3, time.Minute
	return crashlog.New(config, timer.NewSystem(), lg, tally.NoopScope, slog.New(slog.DiscardHandler), shouldRead, learn)
}

// TestHostThatReadsOnceKeepsStaleSingleCrash checks that only the reader learns single crashes, because a host that does not
// go on reading would not learn that they are cleared. A host that becomes the reader must learn those from before.
func TestHostThatReadsOnceKeepsStaleSingleCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		single := confirmedEvidence(1)
		repeated := []quarantine.Evidence{{Fingerprint: 2, Crash: 1, Status: quarantine.Confirmed}, {Fingerprint: 2, Crash: 2, Status: quarantine.Confirmed}}
		cleared := []quarantine.Evidence{{Fingerprint: 3, Crash: 1, Status: quarantine.Cleared}, {Fingerprint: 3, Crash: 2, Status: quarantine.Confirmed}}
		lg := &pagedLog{}
		for _, ev := range append(append(repeated, cleared...), single) {
			assert.NilError(t, lg.Append(t.Context(), []crashlog.Record{{Evidence: ev, At: time.Now()}}))
		}
		isReader := false
		var learned []quarantine.Evidence
		syncer := newSyncerWithBounds(lg, func() bool { return isReader }, func(evidence ...quarantine.Evidence) { learned = append(learned, evidence...) })
		assert.NilError(t, syncer.Read(t.Context(), 0))
		assert.DeepEqual(t, learned, repeated)
		isReader, learned = true, nil
		assert.NilError(t, syncer.Read(t.Context(), 0))
		assert.DeepEqual(t, learned, append(append(repeated, cleared...), single))
		learned = nil
		assert.NilError(t, syncer.Read(t.Context(), 0))
		assert.Equal(t, len(learned), 0)
	})
}

// TestCrashOfManyServersFillsLog checks that a host adds no more single crashes to the log than its bound, and still adds
// other evidence.
func TestCrashOfManyServersFillsLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lg := &pagedLog{}
		syncer := newSyncerWithBounds(lg, func() bool { return false }, func(...quarantine.Evidence) {})
		queue := func(fp id.Fingerprint) {
			for range 100 {
				fp++
				syncer.QueueFirstCrash(confirmedEvidence(fp))
			}
			time.Sleep(time.Second)
		}
		queue(0)
		assert.Equal(t, len(lg.encoded), 3)
		syncer.QueueEvidence(confirmedEvidence(1000))
		time.Sleep(time.Second)
		assert.Equal(t, len(lg.encoded), 4)
		time.Sleep(time.Minute)
		queue(2000)
		assert.Equal(t, len(lg.encoded), 7)
	})
}

// TestClearedCrashCostsTwoRecords checks that a crash which is cleared before its record is appended leaves one record.
func TestClearedCrashCostsTwoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lg := &pagedLog{}
		syncer := newSyncerWithBounds(lg, func() bool { return false }, func(...quarantine.Evidence) {})
		cleared := quarantine.Evidence{Fingerprint: 1, Crash: 9, Status: quarantine.Cleared}
		syncer.QueueFirstCrash(confirmedEvidence(1))
		syncer.QueueFirstCrash(cleared)
		time.Sleep(time.Second)
		assert.Equal(t, len(lg.encoded), 1)
		rec, err := crashlog.Decode(lg.encoded[0])
		assert.NilError(t, err)
		assert.Equal(t, rec.Evidence, cleared)
	})
}

// TestExpiredEvidenceStaysInLogOfLongReader checks that a reader which goes on for hours has expired evidence deleted, and
// that hosts which read once leave that to it.
func TestExpiredEvidenceStaysInLogOfLongReader(t *testing.T) {
	for _, isReader := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			lg := &pagedLog{}
			assert.NilError(t, lg.Append(t.Context(), []crashlog.Record{{Evidence: confirmedEvidence(1), At: time.Now()}}))
			ctx, cancel := context.WithCancel(t.Context())
			runResult := make(chan error)
			syncer := newSyncerWithBounds(lg, func() bool { return isReader }, func(...quarantine.Evidence) {})
			go func() { runResult <- syncer.Run(ctx) }()
			time.Sleep(2*time.Hour + time.Minute)
			assert.Equal(t, lg.droppedRecords > 0, isReader)
			cancel()
			assert.NilError(t, <-runResult)
		})
	}
}

// TestEachClearedCrashCostsCall checks that single crashes which are cleared one by one are appended in few calls.
func TestEachClearedCrashCostsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lg := &pagedLog{}
		config := crashlog.DefaultConfig(time.Hour)
		config.FirstCrashes, config.FirstCrashPeriod = 1000, time.Minute
		syncer := crashlog.New(config, timer.NewSystem(), lg, tally.NoopScope, slog.New(slog.DiscardHandler), func() bool { return false }, func(...quarantine.Evidence) {})
		ctx, cancel := context.WithCancel(t.Context())
		runResult := make(chan error)
		go func() { runResult <- syncer.Run(ctx) }()
		const crashes = 20
		for fp := range id.Fingerprint(crashes) {
			syncer.QueueFirstCrash(quarantine.Evidence{Fingerprint: fp, Crash: 9, Status: quarantine.Cleared})
			time.Sleep(2 * config.BatchDelay)
		}
		time.Sleep(config.AppendRetryInterval)
		assert.Equal(t, len(lg.encoded), crashes)
		assert.Assert(t, lg.appendCalls <= int(crashes*2*config.BatchDelay/config.AppendRetryInterval)+1, "%d calls", lg.appendCalls)
		cancel()
		assert.NilError(t, <-runResult)
	})
}

// TestClearedCrashBeyondBoundIsStored guards against single crashes that count for as long as the log keeps them although they
// were cleared, because the bound dropped the record that says so.
func TestClearedCrashBeyondBoundIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lg := &pagedLog{}
		syncer := newSyncerWithBounds(lg, func() bool { return false }, func(...quarantine.Evidence) {})
		for fp := range id.Fingerprint(4) {
			syncer.QueueFirstCrash(confirmedEvidence(fp))
		}
		for fp := range id.Fingerprint(4) {
			syncer.QueueFirstCrash(quarantine.Evidence{Fingerprint: fp, Crash: 9, Status: quarantine.Cleared})
		}
		time.Sleep(time.Second)
		assert.Equal(t, len(lg.encoded), 3)
		for _, encoded := range lg.encoded {
			rec, err := crashlog.Decode(encoded)
			assert.NilError(t, err)
			assert.Equal(t, rec.Evidence.Status, quarantine.Cleared)
		}
	})
}
