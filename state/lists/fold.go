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
	historyLength = 200
	maxBuffered   = 100_000
)

// Replica follows the configuration stream. Folds that read the same records reach the same lists.
type Replica struct {
	lists   *Lists
	next    id.Offset
	known   bool
	history []Verdict
	// pending holds records read before a checkpoint that covers their predecessors was found.
	pending []pendingRecord
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
func (fd *Replica) Lists() *Lists {
	return fd.lists
}

// NextOffset returns the offset of the next record to read.
func (fd *Replica) NextOffset() id.Offset {
	return fd.next
}

// IsComplete reports whether the lists include every edit up to the last record read.
// It is false while retention has removed records that no checkpoint read so far covers.
func (fd *Replica) IsComplete() bool {
	return fd.known
}

// History returns the latest verdicts, oldest first.
func (fd *Replica) History() []Verdict {
	return fd.history
}

// Verdict returns what became of the edit with the given token.
func (fd *Replica) Verdict(token string) (Verdict, bool) {
	for ix := len(fd.history) - 1; ix >= 0; ix-- {
		if fd.history[ix].Token == token {
			return fd.history[ix], true
		}
	}
	return Verdict{}, false
}

// SetLogStart tells the fold that the log keeps records from the given offset on.
func (fd *Replica) SetLogStart(offset id.Offset) {
	if offset <= fd.next {
		if fd.next == 0 && offset == 0 {
			fd.known = true
		}
		return
	}
	fd.next = offset
	fd.known = false
	fd.pending = nil
}

// ApplyRecord reads the record at an offset. Records already read change nothing.
func (fd *Replica) ApplyRecord(offset id.Offset, body []byte) {
	if offset < fd.next {
		return
	}
	if offset > fd.next {
		fd.SetLogStart(offset)
	}
	fd.next = offset + 1
	var rec Record
	if json.Unmarshal(body, &rec) != nil {
		return
	}
	switch {
	case rec.Checkpoint != nil:
		fd.checkpoint(*rec.Checkpoint)
	case rec.Edit != nil && fd.known:
		fd.edit(offset, *rec.Edit)
	}
	if fd.known {
		return
	}
	if len(fd.pending) == maxBuffered {
		fd.pending = nil
	}
	fd.pending = append(fd.pending, pendingRecord{offset: offset, record: rec})
}

// checkpoint restores the lists if the fold lacks records that the checkpoint covers.
func (fd *Replica) checkpoint(cp Checkpoint) {
	if fd.known {
		return
	}
	first := fd.next - 1
	if len(fd.pending) > 0 {
		first = fd.pending[0].offset
	}
	if cp.UpTo < first-1 || cp.Revision < fd.lists.Revision {
		return
	}
	restored, err := restore(cp)
	if err != nil {
		return
	}
	fd.lists = restored
	fd.history = cp.History
	fd.known = true
	pending := fd.pending
	fd.pending = nil
	for _, rec := range pending {
		if rec.offset > cp.UpTo && rec.record.Edit != nil {
			fd.edit(rec.offset, *rec.record.Edit)
		}
	}
}

func restore(cp Checkpoint) (*Lists, error) {
	withPlans, err := Empty().apply(Edit{List: Plans, Put: cp.Plans})
	if err != nil {
		return nil, err
	}
	restored, err := withPlans.apply(Edit{List: Organisations, Put: cp.Organisations})
	if err != nil {
		return nil, err
	}
	restored.Revision = cp.Revision
	for list, revision := range cp.Revisions {
		restored.Revisions[list] = revision
	}
	return restored, nil
}

func (fd *Replica) edit(offset id.Offset, edit Edit) {
	vd := Verdict{Offset: offset, Token: edit.Token, List: edit.List, Operator: edit.Operator, Winner: id.NoOffset}
	if earlier, seen := fd.Verdict(edit.Token); seen && edit.Token != "" && earlier.Accepted {
		return
	}
	switch current := fd.lists.Revisions[edit.List]; {
	case edit.Base != current:
		vd.Winner = current
		vd.Reason = fmt.Sprintf("list %s is at revision %d, the edit was made from revision %d", edit.List, current, edit.Base)
	default:
		fd.accept(offset, edit, &vd)
	}
	fd.history = append(fd.history, vd)
	if len(fd.history) > historyLength {
		fd.history = fd.history[len(fd.history)-historyLength:]
	}
}

func (fd *Replica) accept(offset id.Offset, edit Edit, vd *Verdict) {
	next, err := fd.lists.apply(edit)
	if err != nil {
		vd.Reason = err.Error()
		return
	}
	next.Revision = offset
	next.Revisions[edit.List] = offset
	fd.lists = next
	vd.Accepted = true
}

// Checkpoint returns a checkpoint of all records read. It is only valid while Known.
func (fd *Replica) Checkpoint() Checkpoint {
	return Checkpoint{
		UpTo:          fd.next - 1,
		Revision:      fd.lists.Revision,
		Revisions:     fd.lists.Revisions,
		Plans:         fd.lists.Sections(Plans),
		Organisations: fd.lists.Sections(Organisations),
		History:       fd.history,
	}
}

// Restore takes a checkpoint from another host. It changes nothing if the fold has read as much.
func (fd *Replica) Restore(cp Checkpoint) error {
	if cp.UpTo < fd.next || cp.Revision < fd.lists.Revision {
		return nil
	}
	restored, err := restore(cp)
	if err != nil {
		return err
	}
	fd.lists = restored
	fd.history = cp.History
	fd.next = cp.UpTo + 1
	fd.known = true
	fd.pending = nil
	return nil
}

// IsCheckpoint reports whether a record's bytes hold a checkpoint.
func IsCheckpoint(body []byte) bool {
	var rec Record
	return json.Unmarshal(body, &rec) == nil && rec.Checkpoint != nil
}
