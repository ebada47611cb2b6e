package lists_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
)

// folder is a fold or a faulty variant of one.
type folder interface {
	SetLogStart(offset id.Offset)
	ApplyRecord(offset id.Offset, body []byte)
	Lists() *lists.Lists
	IsComplete() bool
	NextOffset() id.Offset
}

// stream is a log with readers that lag, restart and lose the oldest records to retention.
type stream struct {
	newReader func() folder
	records   [][]byte
	start     id.Offset
	readers   []folder
	// shown is the highest revision that each reader has served.
	shown []id.Offset
	// truth has read every record from the first one on.
	truth *lists.Replica
	// accepted holds the revision after each record.
	accepted []id.Offset
}

func newStream(newReader func() folder) *stream {
	st := &stream{newReader: newReader, truth: lists.NewReplica()}
	st.truth.SetLogStart(0)
	for range 3 {
		st.readers = append(st.readers, newReader())
		st.shown = append(st.shown, id.NoOffset)
	}
	return st
}

func (st *stream) append(rec lists.Record) error {
	body, err := lists.EncodeRecord(rec)
	if err != nil {
		return err
	}
	st.truth.ApplyRecord(id.Offset(len(st.records)), body)
	st.records = append(st.records, body)
	st.accepted = append(st.accepted, st.truth.Lists().Revision)
	return nil
}

// read lets a reader take some of the records that are kept and compares it with the truth.
func (st *stream) read(reader, most int) error {
	fd := st.readers[reader]
	fd.SetLogStart(st.start)
	for range most {
		if int(fd.NextOffset()) >= len(st.records) {
			break
		}
		fd.ApplyRecord(fd.NextOffset(), st.records[fd.NextOffset()])
	}
	if !fd.IsComplete() {
		return nil
	}
	revision := fd.Lists().Revision
	if revision < st.shown[reader] {
		return fmt.Errorf("reader %d went back from revision %d to %d", reader, st.shown[reader], revision)
	}
	st.shown[reader] = revision
	if next := fd.NextOffset(); next > 0 && st.accepted[next-1] != revision {
		return fmt.Errorf("reader %d has revision %d after record %d, every reader of all records has %d", reader, revision, next-1, st.accepted[next-1])
	}
	return nil
}

func planEdit(base id.Offset, token string, longest int) lists.Edit {
	return lists.Edit{
		List: lists.Plans, Base: base, Token: token,
		Put: []lists.Section{{Name: "crew", Keys: []lists.Key{{Name: "LongestPrompt", Value: fmt.Sprint(longest)}}}},
	}
}

func (st *stream) run(rt *rapid.T) error {
	var late []lists.Checkpoint
	edits := 0
	for range rapid.IntRange(10, 80).Draw(rt, "steps") {
		reader := rapid.IntRange(0, len(st.readers)-1).Draw(rt, "reader")
		var err error
		switch rapid.IntRange(0, 7).Draw(rt, "action") {
		case 0, 1:
			edits++
			base := st.truth.Lists().Revisions[lists.Plans]
			if rapid.IntRange(0, 3).Draw(rt, "stale") == 0 {
				base = st.readers[reader].Lists().Revisions[lists.Plans]
			}
			edit := planEdit(base, fmt.Sprint("edit-", edits), edits+1)
			err = st.append(lists.Record{Edit: &edit})
			if rapid.IntRange(0, 3).Draw(rt, "twice") == 0 && err == nil {
				err = st.append(lists.Record{Edit: &edit})
			}
		case 2:
			if fd, ok := st.readers[reader].(*lists.Replica); ok && fd.IsComplete() && fd.NextOffset() > 0 {
				late = append(late, fd.Checkpoint())
			}
		case 3:
			if len(late) > 0 {
				cp := rapid.SampledFrom(late).Draw(rt, "checkpoint")
				err = st.append(lists.Record{Checkpoint: &cp})
			}
		case 4:
			st.start = max(st.start, id.Offset(rapid.IntRange(0, len(st.records)).Draw(rt, "start")))
		case 5:
			st.readers[reader] = st.newReader()
			st.shown[reader] = id.NoOffset
		default:
			err = st.read(reader, rapid.IntRange(1, 20).Draw(rt, "most"))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := newStream(func() folder { return lists.NewReplica() }).run(rt); err != nil {
			rt.Fatal(err)
		}
	})
}

// hastyFold takes the lists as known whatever retention has removed.
type hastyFold struct{ *lists.Replica }

func (hf hastyFold) SetLogStart(id.Offset) {}

func (hf hastyFold) IsComplete() bool { return true }

func (hf hastyFold) ApplyRecord(offset id.Offset, body []byte) {
	hf.Replica.SetLogStart(0)
	hf.Replica.ApplyRecord(offset, body)
}

// TestCheckerDetectsMissingRecords proves the checker: a reader that ignores retention has another revision.
func TestCheckerDetectsMissingRecords(t *testing.T) {
	st := newStream(func() folder { return lists.NewReplica() })
	for ix := range 3 {
		edit := planEdit(st.truth.Lists().Revisions[lists.Plans], fmt.Sprint(ix), ix+1)
		assert.NilError(t, st.append(lists.Record{Edit: &edit}))
	}
	hasty := hastyFold{lists.NewReplica()}
	hasty.ApplyRecord(2, st.records[2])
	st.readers[0] = hasty
	assert.ErrorContains(t, st.read(0, 1), "every reader of all records has")
}

func TestFirstEditOfRevisionIsAccepted(t *testing.T) {
	fd := lists.NewReplica()
	fd.SetLogStart(0)
	for ix, token := range []string{"first", "second"} {
		edit := planEdit(id.NoOffset, token, ix+1)
		body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
		assert.NilError(t, err)
		fd.ApplyRecord(id.Offset(ix), body)
	}
	first, _ := fd.Verdict("first")
	second, _ := fd.Verdict("second")
	assert.Assert(t, first.Accepted)
	assert.Assert(t, !second.Accepted)
	assert.Equal(t, second.Winner, first.Offset)
	assert.Equal(t, fd.Lists().Plans["crew"].LongestPrompt, id.Tokens(1))
}

// TestRestoreIgnoresOlderCheckpoint keeps newer lists when an older checkpoint comes from another host.
func TestRestoreIgnoresOlderCheckpoint(t *testing.T) {
	fd := lists.NewReplica()
	fd.SetLogStart(0)
	add := func(offset int, edit lists.Edit) {
		body, err := lists.EncodeRecord(lists.Record{Edit: &edit})
		assert.NilError(t, err)
		fd.ApplyRecord(id.Offset(offset), body)
	}
	add(0, planEdit(id.NoOffset, "first", 10))
	older := fd.Checkpoint()
	add(1, planEdit(0, "second", 20))
	newer := fd.Lists().Revision
	assert.NilError(t, fd.Restore(older))
	assert.Equal(t, fd.Lists().Revision, newer)
	assert.Equal(t, fd.NextOffset(), id.Offset(2))
}
