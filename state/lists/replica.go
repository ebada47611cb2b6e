package lists

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Record is one record of the configuration stream. Exactly one of its fields is set; hosts of earlier builds ignore an
// evacuation.
type Record struct {
	Edit       *Edit       `json:",omitempty"`
	Checkpoint *Checkpoint `json:",omitempty"`
	Evacuation *Evacuation `json:",omitempty"`
}

// Checkpoint is the content of both lists after all records up to an offset. A replica can start from it if the log no
// longer retains earlier records.
type Checkpoint struct {
	// UpTo is the offset of the last record that the content includes.
	UpTo id.Offset
	// Revision is the offset of the last accepted edit.
	Revision id.Offset
	// Revisions holds the offset of the last accepted edit of each list.
	Revisions map[Name]id.Offset
	// Plans and Organisations hold the entries of the lists.
	Plans         []Section
	Organisations []Section
	// EvacuatedZones are the evacuated availability zones.
	EvacuatedZones []id.AvailabilityZone `json:",omitempty"`
	// History holds the latest verdicts on edits, oldest first.
	History []Verdict
}

// Verdict says whether an edit was accepted, and if not, why.
type Verdict struct {
	// Offset is the offset of the edit.
	Offset id.Offset
	// Token, List and Operator are those of the edit.
	Token    string
	List     Name
	Operator string
	Accepted bool
	// Reason says why the edit was not accepted. It is empty if the edit was accepted.
	Reason string
	// Winner is set if the edit was not made from the current revision of its list. It is that revision: the offset of
	// the edit that was accepted instead. Otherwise it is NoOffset.
	Winner id.Offset
}

// EncodeRecord returns the JSON form in which the log stores a record.
func EncodeRecord(rec Record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration record")
	}
	return body, nil
}

const (
	// maxHistory bounds the verdicts that a replica and its checkpoints hold.
	maxHistory = 200
	// maxPendingRecords bounds the records that a replica buffers while it waits for a checkpoint. If there are more,
	// the replica drops the buffered ones and needs a later checkpoint.
	maxPendingRecords = 100_000
)

// Replica is a copy of the lists that is built from the records of the configuration stream. Replicas that have applied
// the same records have the same lists. A Replica is not safe for concurrent use; the Lists that it returns are.
type Replica struct {
	lists *Lists
	// nextOffset is the offset of the next record to apply.
	nextOffset id.Offset
	// complete says that the lists include every edit before nextOffset.
	complete bool
	// history holds the latest verdicts, oldest first.
	history []Verdict
	// pendingRecords buffers the records that were read while the replica was incomplete. They are applied once a
	// checkpoint covers the records before them.
	pendingRecords []pendingRecord
}

// pendingRecord is a record that has not been applied.
type pendingRecord struct {
	offset id.Offset
	record Record
}

// NewReplica returns a replica that has applied no record.
func NewReplica() *Replica {
	return &Replica{lists: Empty()}
}

// Lists returns the lists after the last record read. Later records do not change the returned value.
func (rp *Replica) Lists() *Lists {
	return rp.lists
}

// NextOffset returns the offset of the next record to read.
func (rp *Replica) NextOffset() id.Offset {
	return rp.nextOffset
}

// IsComplete reports whether the lists include every edit up to the last record read. It is false if retention has
// removed records before the replica read them and no checkpoint read since then covers the missing records.
func (rp *Replica) IsComplete() bool {
	return rp.complete
}

// History returns the verdicts on the latest edits, at most maxHistory, oldest first.
func (rp *Replica) History() []Verdict {
	return rp.history
}

// Verdict returns the latest verdict on the edit with the given token, and false if the history holds none.
func (rp *Replica) Verdict(token string) (Verdict, bool) {
	for index := len(rp.history) - 1; index >= 0; index-- {
		if rp.history[index].Token == token {
			return rp.history[index], true
		}
	}
	return Verdict{}, false
}

// SetLogStart sets the offset of the oldest record that the log retains. If this is beyond the next record to read, the
// replica skips the missing records and is incomplete from then on.
func (rp *Replica) SetLogStart(logStart id.Offset) {
	if logStart <= rp.nextOffset {
		if rp.nextOffset == 0 && logStart == 0 {
			rp.complete = true
		}
		return
	}
	rp.nextOffset = logStart
	rp.complete = false
	rp.pendingRecords = nil
}

// ApplyRecord applies the record at an offset. It ignores records that have already been read, and skips records that
// can't be decoded. A gap before the offset makes the replica incomplete.
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
	case rp.complete:
		rp.applyDecision(offset, rec)
	}
	if rp.complete {
		return
	}
	if len(rp.pendingRecords) == maxPendingRecords {
		rp.pendingRecords = nil
	}
	rp.pendingRecords = append(rp.pendingRecords, pendingRecord{offset: offset, record: rec})
}

// applyCheckpoint makes an incomplete replica complete if the checkpoint covers all records before the first buffered
// one or, if none is buffered, before the record of the checkpoint itself. It then applies the buffered edits that the
// checkpoint does not include. A complete replica needs no checkpoint. A checkpoint with an older revision than that of
// the lists is ignored, so that the lists never return to an earlier revision.
func (rp *Replica) applyCheckpoint(cp Checkpoint) {
	if rp.complete {
		return
	}
	firstUnappliedOffset := rp.nextOffset - 1
	if len(rp.pendingRecords) > 0 {
		firstUnappliedOffset = rp.pendingRecords[0].offset
	}
	if cp.UpTo < firstUnappliedOffset-1 || cp.Revision < rp.lists.Revision {
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
		if pending.offset > cp.UpTo {
			rp.applyDecision(pending.offset, pending.record)
		}
	}
}

// applyDecision applies a record that is an edit or an evacuation; it ignores others.
func (rp *Replica) applyDecision(offset id.Offset, rec Record) {
	switch {
	case rec.Edit != nil:
		rp.applyEdit(offset, *rec.Edit)
	case rec.Evacuation != nil:
		rp.applyEvacuation(offset, *rec.Evacuation)
	}
}

// listsFromCheckpoint returns the lists that a checkpoint contains, or an error if its entries are not valid.
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
	checkpointLists.EvacuatedZones = slices.Clone(cp.EvacuatedZones)
	for list, revision := range cp.Revisions {
		checkpointLists.Revisions[list] = revision
	}
	return checkpointLists, nil
}

// applyEdit decides on an edit and records the verdict. An edit is accepted only if it was made from the current
// revision of its list, so of several edits that were made from one revision, the first valid one is accepted. An edit
// whose token belongs to an accepted edit is ignored, because it is a repetition.
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
	rp.addVerdict(vd)
}

// addVerdict adds a verdict to the history, which stays within maxHistory.
func (rp *Replica) addVerdict(vd Verdict) {
	rp.history = append(rp.history, vd)
	if len(rp.history) > maxHistory {
		rp.history = rp.history[len(rp.history)-maxHistory:]
	}
}

// acceptEdit changes the lists and marks the verdict as accepted, or stores in it why the edit is not valid.
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

// Checkpoint returns a checkpoint of all records read. The result is valid only if IsComplete is true.
func (rp *Replica) Checkpoint() Checkpoint {
	return Checkpoint{
		UpTo:          rp.nextOffset - 1,
		Revision:      rp.lists.Revision,
		Revisions:     rp.lists.Revisions,
		Plans:         rp.lists.Sections(Plans),
		Organisations: rp.lists.Sections(Organisations),
		History:       rp.history,

		EvacuatedZones: rp.lists.EvacuatedZones,
	}
}

// Restore replaces the lists by those of a checkpoint from another host. It changes nothing if the replica has already
// read all records that the checkpoint covers, even if the replica is incomplete, or if its revision is later. It
// returns an error if the entries of the checkpoint are not valid.
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

// IsCheckpoint reports whether an encoded record contains a checkpoint.
func IsCheckpoint(body []byte) bool {
	var rec Record
	return json.Unmarshal(body, &rec) == nil && rec.Checkpoint != nil
}
