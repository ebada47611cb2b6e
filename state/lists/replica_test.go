package lists_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// replica is a fold or a faulty variant of one.
type replica interface {
	SetLogStart(offset id.Offset)
	ApplyRecord(offset id.Offset, body []byte)
	Lists() *lists.Lists
	IsComplete() bool
	NextOffset() id.Offset
}

// testLog is a log with readers that lag, restart and lose the oldest records to retention.
type testLog struct {
	newReader func() replica
	records   [][]byte
	logStart  id.Offset
	readers   []replica
	// servedRevisions is the highest revision that each reader has served.
	servedRevisions []id.Offset
	// reference has read every record from the first one on.
	reference *lists.Replica
	// revisionsAfter holds the revision after each record.
	revisionsAfter []id.Offset
}

func newTestLog(newReader func() replica) *testLog {
	tl := &testLog{newReader: newReader, reference: lists.NewReplica()}
	tl.reference.SetLogStart(0)
	for range 3 {
		tl.readers = append(tl.readers, newReader())
		tl.servedRevisions = append(tl.servedRevisions, id.NoOffset)
	}
	return tl
}

func (tl *testLog) append(rec lists.Record) error {
	body, err := lists.EncodeRecord(rec)
	if err != nil {
		return err
	}
	tl.reference.ApplyRecord(id.Offset(len(tl.records)), body)
	tl.records = append(tl.records, body)
	tl.revisionsAfter = append(tl.revisionsAfter, tl.reference.Lists().Revision)
	return nil
}

// readRecords lets a reader take some of the records that are kept and compares it with the truth.
func (tl *testLog) readRecords(readerIndex, maxRecords int) error {
	rp := tl.readers[readerIndex]
	rp.SetLogStart(tl.logStart)
	for range maxRecords {
		if int(rp.NextOffset()) >= len(tl.records) {
			break
		}
		rp.ApplyRecord(rp.NextOffset(), tl.records[rp.NextOffset()])
	}
	if !rp.IsComplete() {
		return nil
	}
	revision := rp.Lists().Revision
	if revision < tl.servedRevisions[readerIndex] {
		return fmt.Errorf("reader %d went back from revision %d to %d", readerIndex, tl.servedRevisions[readerIndex], revision)
	}
	tl.servedRevisions[readerIndex] = revision
	if next := rp.NextOffset(); next > 0 && tl.revisionsAfter[next-1] != revision {
		return fmt.Errorf("reader %d has revision %d after record %d, every reader of all records has %d", readerIndex, revision, next-1, tl.revisionsAfter[next-1])
	}
	return nil
}

func planEdit(base id.Offset, token string, longestPrompt int) lists.Edit {
	return lists.Edit{
		List: lists.Plans, Base: base, Token: token,
		Put: []lists.Section{{Name: "crew", Keys: []lists.Key{{Name: "LongestPrompt", Value: fmt.Sprint(longestPrompt)}}}},
	}
}

func (tl *testLog) runRandomSteps(rt *rapid.T) error {
	var checkpoints []lists.Checkpoint
	editCount := 0
	for range rapid.IntRange(10, 80).Draw(rt, "steps") {
		readerIndex := rapid.IntRange(0, len(tl.readers)-1).Draw(rt, "reader")
		var err error
		switch rapid.IntRange(0, 7).Draw(rt, "action") {
		case 0, 1:
			editCount++
			base := tl.reference.Lists().Revisions[lists.Plans]
			if rapid.IntRange(0, 3).Draw(rt, "stale") == 0 {
				base = tl.readers[readerIndex].Lists().Revisions[lists.Plans]
			}
			edit := planEdit(base, fmt.Sprint("edit-", editCount), editCount+1)
			err = tl.append(lists.Record{Edit: &edit})
			if rapid.IntRange(0, 3).Draw(rt, "twice") == 0 && err == nil {
				err = tl.append(lists.Record{Edit: &edit})
			}
		case 2:
			if rp, ok := tl.readers[readerIndex].(*lists.Replica); ok && rp.IsComplete() && rp.NextOffset() > 0 {
				checkpoints = append(checkpoints, rp.Checkpoint())
			}
		case 3:
			if len(checkpoints) > 0 {
				cp := rapid.SampledFrom(checkpoints).Draw(rt, "checkpoint")
				err = tl.append(lists.Record{Checkpoint: &cp})
			}
		case 4:
			tl.logStart = max(tl.logStart, id.Offset(rapid.IntRange(0, len(tl.records)).Draw(rt, "start")))
		case 5:
			tl.readers[readerIndex] = tl.newReader()
			tl.servedRevisions[readerIndex] = id.NoOffset
		default:
			err = tl.readRecords(readerIndex, rapid.IntRange(1, 20).Draw(rt, "most"))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := newTestLog(func() replica { return lists.NewReplica() }).runRandomSteps(rt); err != nil {
			rt.Fatal(err)
		}
	})
}

// faultyReplica takes the lists as known whatever retention has removed.
type faultyReplica struct{ *lists.Replica }

func (fr faultyReplica) SetLogStart(id.Offset) {}

func (fr faultyReplica) IsComplete() bool { return true }

func (fr faultyReplica) ApplyRecord(offset id.Offset, body []byte) {
	fr.Replica.SetLogStart(0)
	fr.Replica.ApplyRecord(offset, body)
}

// TestCheckerDetectsMissingRecords proves the checker: a reader that ignores retention has another revision.
func TestCheckerDetectsMissingRecords(t *testing.T) {
	tl := newTestLog(func() replica { return lists.NewReplica() })
	for ix := range 3 {
		edit := planEdit(tl.reference.Lists().Revisions[lists.Plans], fmt.Sprint(ix), ix+1)
		assert.NilError(t, tl.append(lists.Record{Edit: &edit}))
	}
	faulty := faultyReplica{lists.NewReplica()}
	faulty.ApplyRecord(2, tl.records[2])
	tl.readers[0] = faulty
	assert.ErrorContains(t, tl.readRecords(0, 1), "every reader of all records has")
}

func TestFirstEditOfRevisionIsAccepted(t *testing.T) {
	rp := lists.NewReplica()
	rp.SetLogStart(0)
	for ix, token := range []string{"first", "second"} {
		edit := planEdit(id.NoOffset, token, ix+1)
		body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
		assert.NilError(t, err)
		rp.ApplyRecord(id.Offset(ix), body)
	}
	first, _ := rp.Verdict("first")
	second, _ := rp.Verdict("second")
	assert.Assert(t, first.Accepted)
	assert.Assert(t, !second.Accepted)
	assert.Equal(t, second.Winner, first.Offset)
	assert.Equal(t, rp.Lists().Plans["crew"].LongestPrompt, id.Tokens(1))
}

// TestRestoreIgnoresOlderCheckpoint keeps newer lists when an older checkpoint comes from another host.
func TestRestoreIgnoresOlderCheckpoint(t *testing.T) {
	rp := lists.NewReplica()
	rp.SetLogStart(0)
	applyEdit := func(offset int, edit lists.Edit) {
		body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
		assert.NilError(t, err)
		rp.ApplyRecord(id.Offset(offset), body)
	}
	applyEdit(0, planEdit(id.NoOffset, "first", 10))
	olderCheckpoint := rp.Checkpoint()
	applyEdit(1, planEdit(0, "second", 20))
	newerRevision := rp.Lists().Revision
	assert.NilError(t, rp.Restore(olderCheckpoint))
	assert.Equal(t, rp.Lists().Revision, newerRevision)
	assert.Equal(t, rp.NextOffset(), id.Offset(2))
}
