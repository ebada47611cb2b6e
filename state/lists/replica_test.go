package lists_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// replica is the part of lists.Replica that testLog uses. faultyReplica implements it too.
type replica interface {
	SetLogStart(offset id.Offset)
	ApplyRecord(offset id.Offset, body []byte)
	Lists() *lists.Lists
	IsComplete() bool
	NextOffset() id.Offset
}

// testLog is a log that is read by several replicas, called readers. They lag, restart, and miss records that retention
// has removed.
type testLog struct {
	newReader func() replica
	// records holds all encoded records that were ever appended.
	records [][]byte
	// logStart is the offset of the oldest record that the log retains.
	logStart id.Offset
	readers  []replica
	// servedRevisions holds the latest revision that each reader has returned while it was complete.
	servedRevisions []id.Offset
	// reference has read every record from the first one on.
	reference *lists.Replica
	// revisionsAfter holds the revision of reference after each record, zonesAfter the evacuated zones.
	revisionsAfter []id.Offset
	zonesAfter     [][]id.AvailabilityZone
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
	tl.zonesAfter = append(tl.zonesAfter, tl.reference.Lists().EvacuatedZones)
	return nil
}

// readRecords makes a reader read up to maxRecords of the records that the log retains. If the reader is then complete,
// its revision must equal that of the reference at the same offset, and must not be older than one that it returned
// before.
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
	if nextOffset := rp.NextOffset(); nextOffset > 0 && tl.revisionsAfter[nextOffset-1] != revision {
		return fmt.Errorf("reader %d has revision %d after record %d, but a reader of all records has %d", readerIndex, revision, nextOffset-1, tl.revisionsAfter[nextOffset-1])
	} else if zones := rp.Lists().EvacuatedZones; nextOffset > 0 && !slices.Equal(zones, tl.zonesAfter[nextOffset-1]) {
		return fmt.Errorf("reader %d has the evacuated zones %v after record %d, but a reader of all records has %v", readerIndex, zones, nextOffset-1, tl.zonesAfter[nextOffset-1])
	}
	return nil
}

// planEdit returns an edit that sets the plan "crew" with the given longest prompt.
func planEdit(base id.Offset, token string, longestPrompt int) lists.Edit {
	return lists.Edit{
		List: lists.Plans, Base: base, Token: token,
		Put: []lists.Section{{Name: "crew", Keys: []lists.Key{{Name: "LongestPrompt", Value: fmt.Sprint(longestPrompt)}}}},
	}
}

// runRandomSteps draws random steps: evacuations and their ends, edits, some from a stale revision and some appended twice, checkpoints, some of
// them appended late, retention, restarts of readers, and reading.
func (tl *testLog) runRandomSteps(rt *rapid.T) error {
	var checkpoints []lists.Checkpoint
	editCount := 0
	for range rapid.IntRange(10, 80).Draw(rt, "steps") {
		readerIndex := rapid.IntRange(0, len(tl.readers)-1).Draw(rt, "reader")
		var err error
		switch rapid.IntRange(0, 8).Draw(rt, "action") {
		case 8:
			editCount++
			evacuation := lists.Evacuation{
				Zone: id.AvailabilityZone(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "zone")), Ended: rapid.Bool().Draw(rt, "ended"), Token: fmt.Sprint("evacuation-", editCount),
			}
			err = tl.append(lists.Record{Evacuation: &evacuation})
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
			tl.logStart = max(tl.logStart, id.Offset(rapid.IntRange(0, len(tl.records)).Draw(rt, "log start")))
		case 5:
			tl.readers[readerIndex] = tl.newReader()
			tl.servedRevisions[readerIndex] = id.NoOffset
		default:
			err = tl.readRecords(readerIndex, rapid.IntRange(1, 20).Draw(rt, "max records"))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// TestReplicasAgree guards against replicas that differ although they have read the same records, for example because a
// late checkpoint or a gap left by retention made one of them skip an edit.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := newTestLog(func() replica { return lists.NewReplica() }).runRandomSteps(rt); err != nil {
			rt.Fatal(err)
		}
	})
}

// faultyReplica is a replica that ignores missing records and always claims to be complete.
type faultyReplica struct{ *lists.Replica }

func (fr faultyReplica) SetLogStart(id.Offset) {}

func (fr faultyReplica) IsComplete() bool { return true }

func (fr faultyReplica) ApplyRecord(offset id.Offset, body []byte) {
	fr.Replica.SetLogStart(0)
	fr.Replica.ApplyRecord(offset, body)
}

// TestCheckerDetectsMissingRecords checks testLog itself: it must detect a reader that claims to be complete although
// it has missed records.
func TestCheckerDetectsMissingRecords(t *testing.T) {
	tl := newTestLog(func() replica { return lists.NewReplica() })
	for ix := range 3 {
		edit := planEdit(tl.reference.Lists().Revisions[lists.Plans], fmt.Sprint(ix), ix+1)
		assert.NilError(t, tl.append(lists.Record{Edit: &edit}))
	}
	faulty := faultyReplica{lists.NewReplica()}
	faulty.ApplyRecord(2, tl.records[2])
	tl.readers[0] = faulty
	assert.ErrorContains(t, tl.readRecords(0, 1), "but a reader of all records has")
}

// TestFirstEditOfRevisionIsAccepted checks that of two edits of the same revision the first one is accepted, and that
// the verdict on the second one names it.
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

// TestRestoreIgnoresOlderCheckpoint checks that an older checkpoint from another host does not replace newer lists.
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

// TestEvacuationsOfZones checks that the last record of a zone decides, that a record which the log has twice counts once,
// that a record which changes nothing makes no new revision, that invalid ones are refused, and that a checkpoint holds the
// evacuated zones.
func TestEvacuationsOfZones(t *testing.T) {
	rp := lists.NewReplica()
	rp.SetLogStart(0)
	apply := func(ev lists.Evacuation) lists.Verdict {
		body, err := lists.EncodeRecord(lists.Record{Evacuation: &ev})
		assert.NilError(t, err)
		rp.ApplyRecord(rp.NextOffset(), body)
		verdict, _ := rp.Verdict(ev.Token)
		return verdict
	}
	assert.Assert(t, apply(lists.Evacuation{Zone: "b", Token: "1"}).Accepted)
	assert.Assert(t, apply(lists.Evacuation{Zone: "a", Token: "2"}).Accepted)
	assert.DeepEqual(t, rp.Lists().EvacuatedZones, []id.AvailabilityZone{"a", "b"})
	assert.Equal(t, rp.Lists().Revision, id.Offset(1))
	assert.Assert(t, apply(lists.Evacuation{Zone: "a", Token: "3"}).Accepted)
	assert.Assert(t, apply(lists.Evacuation{Zone: "nowhere", Ended: true, Token: "4"}).Accepted)
	assert.Equal(t, rp.Lists().Revision, id.Offset(1))
	assert.Assert(t, apply(lists.Evacuation{Zone: "b", Ended: true, Token: "5"}).Accepted)
	assert.DeepEqual(t, rp.Lists().EvacuatedZones, []id.AvailabilityZone{"a"})
	apply(lists.Evacuation{Zone: "b", Token: "1"})
	assert.Equal(t, len(rp.Lists().EvacuatedZones), 1, "a late copy of the first record evacuates the zone again")
	for _, zone := range []string{"", strings.Repeat("z", 129)} {
		verdict := apply(lists.Evacuation{Zone: id.AvailabilityZone(zone), Token: "bad" + zone})
		assert.Assert(t, !verdict.Accepted && verdict.Reason != "")
	}
	restored := lists.NewReplica()
	assert.NilError(t, restored.Restore(rp.Checkpoint()))
	assert.DeepEqual(t, restored.Lists().EvacuatedZones, []id.AvailabilityZone{"a"})
	edit := planEdit(id.NoOffset, "plan", 10)
	body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
	assert.NilError(t, err)
	rp.ApplyRecord(rp.NextOffset(), body)
	assert.DeepEqual(t, rp.Lists().EvacuatedZones, []id.AvailabilityZone{"a"})
	for number := range 300 {
		apply(lists.Evacuation{Zone: id.AvailabilityZone(fmt.Sprint("zone-", number)), Token: fmt.Sprint("many-", number)})
	}
	assert.Equal(t, len(rp.Lists().EvacuatedZones), 256)
}
