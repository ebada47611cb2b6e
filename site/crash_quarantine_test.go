package site

import (
	"log/slog"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/hibiscuslever/hibiscuslever/coordination/crashlog"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// recordedQuarantine is a quarantine with what it sent to other hosts and to the store.
type recordedQuarantine struct {
	*crashQuarantine
	spread []quarantine.Evidence
	stored []quarantine.Evidence
}

// newRecordedQuarantine returns the quarantine of a host that is the dispatcher of all services.
func newRecordedQuarantine() *recordedQuarantine {
	rq := &recordedQuarantine{}
	rq.crashQuarantine = newCrashQuarantine(timer.NewSystem(), tally.NoopScope, slog.New(slog.DiscardHandler), func(fact membership.Fact) {
		rq.spread = append(rq.spread, crashlog.FromFact(fact))
	})
	rq.reportToDispatcher = func(_ id.Service, evidence quarantine.Evidence) { rq.LearnReportedEvidence(evidence) }
	rq.storeEvidence = func(evidence ...quarantine.Evidence) { rq.stored = append(rq.stored, evidence...) }
	rq.storeFirstCrash = func(evidence quarantine.Evidence) { rq.stored = append(rq.stored, evidence) }
	rq.evidenceChanged = func() {}
	return rq
}

// evidenceOf returns evidence about the content that the tests use.
func evidenceOf(crash quarantine.CrashID, status quarantine.CrashStatus) quarantine.Evidence {
	return quarantine.Evidence{Fingerprint: 7, Crash: crash, Status: status}
}

// TestFirstCrashIsKeptByOneProcess checks that the dispatcher stores the first crash of a content once, and that it is
// cleared, whoever found it, and tells no other host.
func TestFirstCrashIsKeptByOneProcess(t *testing.T) {
	confirmed, cleared := evidenceOf(1, quarantine.Confirmed), evidenceOf(1, quarantine.Cleared)
	t.Run("found by this host", func(t *testing.T) {
		rq := newRecordedQuarantine()
		rq.LearnLocalEvidence("books", evidenceOf(1, quarantine.Reported), confirmed, confirmed)
		assert.DeepEqual(t, rq.stored, []quarantine.Evidence{confirmed})
		rq.RequestCompleted("books", quarantine.Content{Fingerprint: 7})
		assert.DeepEqual(t, rq.stored, []quarantine.Evidence{confirmed, cleared})
		assert.Equal(t, len(rq.spread), 0)
	})
	t.Run("reported by another host", func(t *testing.T) {
		rq := newRecordedQuarantine()
		for _, ev := range []quarantine.Evidence{evidenceOf(1, quarantine.Reported), confirmed, confirmed, cleared, cleared} {
			rq.LearnReportedEvidence(ev)
		}
		assert.DeepEqual(t, rq.stored, []quarantine.Evidence{confirmed, cleared})
		assert.Equal(t, len(rq.spread), 0)
	})
}

// TestCrashesOfOneContentNeverMeet checks that the reader of the store tells all hosts of two crashes of a content that
// different dispatchers stored, and of none before.
func TestCrashesOfOneContentNeverMeet(t *testing.T) {
	first, second, other := evidenceOf(1, quarantine.Confirmed), evidenceOf(2, quarantine.Confirmed), evidenceOf(3, quarantine.Cleared)
	rq := newRecordedQuarantine()
	rq.LearnStoredEvidence(other, first)
	assert.Equal(t, len(rq.spread), 0)
	rq.LearnStoredEvidence(second)
	assert.DeepEqual(t, rq.spread, []quarantine.Evidence{first, second, other})
	assert.Equal(t, len(rq.stored), 0)
}

// TestContentClearedBehindPartitionStaysRefused checks that the reader of the store tells all hosts that crashes are cleared
// which they know of. The host that found that may not reach them.
func TestContentClearedBehindPartitionStaysRefused(t *testing.T) {
	rq := newRecordedQuarantine()
	rq.LearnStoredEvidence(evidenceOf(1, quarantine.Confirmed), evidenceOf(2, quarantine.Confirmed))
	rq.spread = nil
	cleared := []quarantine.Evidence{evidenceOf(1, quarantine.Cleared), evidenceOf(2, quarantine.Cleared)}
	rq.LearnStoredEvidence(cleared...)
	assert.DeepEqual(t, rq.spread, cleared)
}
