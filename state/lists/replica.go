package lists

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Record is one record of the configuration stream.
// Exactly one of its fields is set.
type Record struct {
	Edit       *Edit       `json:",omitempty"`
	Checkpoint *Checkpoint `json:",omitempty"`
}

// Checkpoint is the content of both lists after every record up to an offset.
type Checkpoint struct {
	// UpTo is the offset of the last record that the content includes.
	UpTo id.Offset
	// Revision is the offset of the last accepted edit.
	Revision id.Offset
	// Revisions holds the offset of the last accepted edit of each list.
	Revisions map[Name]id.Offset
	// Plans and Organisations hold the entries.
	Plans         []Section
	Organisations []Section
	// History holds the latest verdicts on edits.
	History []Verdict
}

// Verdict says what became of an edit.
type Verdict struct {
	Offset   id.Offset
	Token    string
	List     Name
	Operator string
	Accepted bool
	// Reason says why the edit was not accepted.
	Reason string
	// Winner is the offset of the edit that was accepted on the same revision before, or NoOffset.
	Winner id.Offset
}

// EncodeRecord returns the bytes of a record as the log keeps them.
func EncodeRecord(rec Record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration record")
	}
	return body, nil
}

const (
	maxHistory        = 200
	maxPendingRecords = 100_000
)

// Replica follows the configuration stream. Folds that read the same records reach the same lists.
type Replica struct {
	lists      *Lists
	nextOffset id.Offset
	complete   bool
	history    []Verdict
	// pendingRecords holds records read before a checkpoint that covers their predecessors was found.
	pendingRecords []pendingRecord
}

type pendingRecord struct {
	offset id.Offset
	record Record
}

// NewReplica returns a fold that has read nothing.
func NewReplica() *Replica {
	return &Replica{lists: Empty()}
}

// Lists returns the lists as of the last record read.
func (rp *Replica) Lists() *Lists {
	return rp.lists
}

// NextOffset returns the offset of the next record to read.
func (rp *Replica) NextOffset() id.Offset {
	return rp.nextOffset
}

// IsComplete reports whether the lists include every edit up to the last record read.
// It is false while retention has removed records that no checkpoint read so far covers.
func (rp *Replica) IsComplete() bool {
	return rp.complete
}

// History returns the latest verdicts, oldest first.
func (rp *Replica) History() []Verdict {
	return rp.history
}

// Verdict returns what became of the edit with the given token.
func (rp *Replica) Verdict(token string) (Verdict, bool) {
	for index := len(rp.history) - 1; index >= 0; index-- {
		if rp.history[index].Token == token {
			return rp.history[index], true
		}
	}
	return Verdict{}, false
}

// SetLogStart tells the fold that the log keeps records from the given offset on.
func (rp *Replica) SetLogStart(first id.Offset) {
	if first <= rp.nextOffset {
		if rp.nextOffset == 0 && first == 0 {
			rp.complete = true
		}
		return
	}
	rp.nextOffset = first
	rp.complete = false
	rp.pendingRecords = nil
}

// ApplyRecord reads the record at an offset. Records already read change nothing.
func (rp *Replica) ApplyRecord(offset id.Offset, body []byte) {
	if offset < rp.nextOffset {
		return
	}
	if offset > rp.nextOffset {
		rp.SetLogStart(offset)
	}
	rp.nextOffset = offset + 1
	var rec Record
	if json.Unmarshal(body, &rec) != nil {
		return
	}
	switch {
	case rec.Checkpoint != nil:
		rp.applyCheckpoint(*rec.Checkpoint)
	case rec.Edit != nil && rp.complete:
		rp.applyEdit(offset, *rec.Edit)
	}
	if rp.complete {
		return
	}
	if len(rp.pendingRecords) == maxPendingRecords {
		rp.pendingRecords = nil
	}
	rp.pendingRecords = append(rp.pendingRecords, pendingRecord{offset: offset, record: rec})
}

// applyCheckpoint restores the lists if the fold lacks records that the checkpoint covers.
func (rp *Replica) applyCheckpoint(cp Checkpoint) {
	if rp.complete {
		return
	}
	firstOffset := rp.nextOffset - 1
	if len(rp.pendingRecords) > 0 {
		firstOffset = rp.pendingRecords[0].offset
	}
	if cp.UpTo < firstOffset-1 || cp.Revision < rp.lists.Revision {
		return
	}
	checkpointLists, err := listsFromCheckpoint(cp)
	if err != nil {
		return
	}
	rp.lists = checkpointLists
	rp.history = cp.History
	rp.complete = true
	pendingRecords := rp.pendingRecords
	rp.pendingRecords = nil
	for _, pending := range pendingRecords {
		if pending.offset > cp.UpTo && pending.record.Edit != nil {
			rp.applyEdit(pending.offset, *pending.record.Edit)
		}
	}
}

func listsFromCheckpoint(cp Checkpoint) (*Lists, error) {
	withPlans, err := Empty().apply(Edit{List: Plans, Put: cp.Plans})
	if err != nil {
		return nil, err
	}
	checkpointLists, err := withPlans.apply(Edit{List: Organisations, Put: cp.Organisations})
	if err != nil {
		return nil, err
	}
	checkpointLists.Revision = cp.Revision
	for list, revision := range cp.Revisions {
		checkpointLists.Revisions[list] = revision
	}
	return checkpointLists, nil
}

func (rp *Replica) applyEdit(offset id.Offset, edit Edit) {
	vd := Verdict{Offset: offset, Token: edit.Token, List: edit.List, Operator: edit.Operator, Winner: id.NoOffset}
	if earlierVerdict, found := rp.Verdict(edit.Token); found && edit.Token != "" && earlierVerdict.Accepted {
		return
	}
	switch currentRevision := rp.lists.Revisions[edit.List]; {
	case edit.Base != currentRevision:
		vd.Winner = currentRevision
		vd.Reason = fmt.Sprintf("list %s is at revision %d, the edit was made from revision %d", edit.List, currentRevision, edit.Base)
	default:
		rp.acceptEdit(offset, edit, &vd)
	}
	rp.history = append(rp.history, vd)
	if len(rp.history) > maxHistory {
		rp.history = rp.history[len(rp.history)-maxHistory:]
	}
}

func (rp *Replica) acceptEdit(offset id.Offset, edit Edit, vd *Verdict) {
	edited, err := rp.lists.apply(edit)
	if err != nil {
		vd.Reason = err.Error()
		return
	}
	edited.Revision = offset
	edited.Revisions[edit.List] = offset
	rp.lists = edited
	vd.Accepted = true
}

// Checkpoint returns a checkpoint of all records read. It is only valid while Known.
func (rp *Replica) Checkpoint() Checkpoint {
	return Checkpoint{
		UpTo:          rp.nextOffset - 1,
		Revision:      rp.lists.Revision,
		Revisions:     rp.lists.Revisions,
		Plans:         rp.lists.Sections(Plans),
		Organisations: rp.lists.Sections(Organisations),
		History:       rp.history,
	}
}

// Restore takes a checkpoint from another host. It changes nothing if the fold has read as much.
func (rp *Replica) Restore(cp Checkpoint) error {
	if cp.UpTo < rp.nextOffset || cp.Revision < rp.lists.Revision {
		return nil
	}
	checkpointLists, err := listsFromCheckpoint(cp)
	if err != nil {
		return err
	}
	rp.lists = checkpointLists
	rp.history = cp.History
	rp.nextOffset = cp.UpTo + 1
	rp.complete = true
	rp.pendingRecords = nil
	return nil
}

// IsCheckpoint reports whether a record's bytes hold a checkpoint.
func IsCheckpoint(body []byte) bool {
	var rec Record
	return json.Unmarshal(body, &rec) == nil && rec.Checkpoint != nil
}
