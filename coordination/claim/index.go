// Package claim decides, through the platform's log, which host may run a request that may not be repeated.
package claim

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Key identifies a request that may not be repeated: organisation, service and the caller's idempotency key.
type Key string

// Claimant identifies one try of one host to run a request.
type Claimant string

// EntryKind says what an entry of a record does.
type EntryKind string

// Kinds of entries.
const (
	// Claimed asks to run the request. The first claim of a free key wins.
	Claimed EntryKind = "Claim"
	// Completed records the result of a claim that won.
	Completed EntryKind = "Result"
	// Abandoned gives a key back; its claimant has not run the request and never will.
	Abandoned EntryKind = "Abandon"
)

// Entry is one statement about a key.
type Entry struct {
	Kind     EntryKind
	Key      Key
	Claimant Claimant
	Result   []byte `json:",omitempty"`
}

// Record is one record of the stream of claims.
type Record struct {
	Entries []Entry
}

// EncodeRecord returns the bytes of a record as the log keeps them.
func EncodeRecord(rec Record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encode claims record")
	}
	return body, nil
}

// WinningClaim is the claim that won a key.
type WinningClaim struct {
	Claimant Claimant
	Offset   id.Offset
	// Result is nil until the outcome is recorded.
	Result []byte
}

type abandoned struct {
	key      Key
	claimant Claimant
}

// Index folds the stream of claims. Indexes that read the same records agree.
type Index struct {
	next id.Offset
	keys map[Key]WinningClaim
	// abandonedBy holds claims given back, because a claim's append may take effect after its abandonment.
	abandonedBy map[abandoned]id.Offset
	// order holds what was added, oldest first, to be forgotten in that order.
	order container.Ring[remembered]
}

type remembered struct {
	abandoned
	offset id.Offset
}

// NewIndex returns an index that has read nothing.
func NewIndex() *Index {
	return &Index{keys: map[Key]WinningClaim{}, abandonedBy: map[abandoned]id.Offset{}}
}

// Next returns the offset of the next record to read.
func (ix *Index) Next() id.Offset {
	return ix.next
}

// Len returns the number of keys held.
func (ix *Index) Len() int {
	return len(ix.keys)
}

// Winner returns the claim that won a key.
func (ix *Index) Winner(key Key) (WinningClaim, bool) {
	holder, ok := ix.keys[key]
	return holder, ok
}

// Add reads the record at an offset. Records already read change nothing.
func (ix *Index) Add(offset id.Offset, body []byte) {
	if offset < ix.next {
		return
	}
	ix.next = offset + 1
	var rec Record
	if json.Unmarshal(body, &rec) != nil {
		return
	}
	for _, en := range rec.Entries {
		ix.apply(offset, en)
	}
}

func (ix *Index) apply(offset id.Offset, en Entry) {
	holder, held := ix.keys[en.Key]
	mine := held && holder.Claimant == en.Claimant
	switch en.Kind {
	case Claimed:
		if _, gone := ix.abandonedBy[abandoned{en.Key, en.Claimant}]; !held && !gone {
			ix.keys[en.Key] = WinningClaim{Claimant: en.Claimant, Offset: offset}
			ix.remember(offset, en)
		}
	case Completed:
		if mine && holder.Result == nil {
			holder.Result = en.Result
			ix.keys[en.Key] = holder
		}
	case Abandoned:
		ix.abandonedBy[abandoned{en.Key, en.Claimant}] = offset
		ix.remember(offset, en)
		if mine && holder.Result == nil {
			delete(ix.keys, en.Key)
		}
	}
}

func (ix *Index) remember(offset id.Offset, en Entry) {
	ix.order.Push(remembered{abandoned: abandoned{en.Key, en.Claimant}, offset: offset})
}

// DropBefore drops what was claimed in records before start, which the log no longer keeps.
func (ix *Index) DropBefore(start id.Offset) {
	for ix.order.Len() > 0 && ix.order.Peek().offset < start {
		old := ix.order.Pop()
		if holder, held := ix.keys[old.key]; held && holder.Offset == old.offset {
			delete(ix.keys, old.key)
		}
		if offset, gone := ix.abandonedBy[old.abandoned]; gone && offset == old.offset {
			delete(ix.abandonedBy, old.abandoned)
		}
	}
}
