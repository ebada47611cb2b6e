// Package claim decides which host may run a request that must not run twice. Hosts append claims of the request's key
// to a stream of the platform's log; the first claim of a key in the log wins, so that all hosts that read the log come
// to the same decision. The package is pure: it reads no clock and does no I/O.
package claim

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/container"
	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Key identifies a request that must not run twice: its organisation, service and idempotency key.
type Key string

// Claimant identifies one attempt of one host to run a request.
type Claimant string

// EntryKind says what an entry states about its key.
type EntryKind string

// Kinds of entries.
const (
	// Claimed claims the key. The first claim of an unclaimed key wins; its claimant may run the request.
	Claimed EntryKind = "Claim"
	// Completed records the result of the request. It counts only if its claimant won the key.
	Completed EntryKind = "Result"
	// Abandoned releases the key, so that it can be claimed again. The claimant has not run the request and never will.
	Abandoned EntryKind = "Abandon"
)

// Entry is one statement about a key.
type Entry struct {
	Kind     EntryKind
	Key      Key
	Claimant Claimant
	Result   []byte `json:",omitempty"`
}

// Record is a batch of entries that is appended to the log as one record.
type Record struct {
	Entries []Entry
}

// EncodeRecord returns the JSON form in which the log stores a record.
func EncodeRecord(record Record) ([]byte, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode claims record")
	}
	return body, nil
}

// WinningClaim is the claim that won a key.
type WinningClaim struct {
	Claimant Claimant
	Offset   id.Offset
	// Result is the recorded result of the request; nil until there is one.
	Result []byte
}

// claimID identifies one claim.
type claimID struct {
	key      Key
	claimant Claimant
}

// Index determines the winning claims from the records of the log. Indexes that have read the same records agree. It is
// not safe for concurrent use.
type Index struct {
	// next is the offset of the next record to read.
	next    id.Offset
	winners map[Key]WinningClaim
	// abandonments holds the offset of the abandonment of each abandoned claim. A claim's append may take effect after
	// its abandonment; the claim must not win then.
	abandonments map[claimID]id.Offset
	// oldestFirst lists winning claims and abandonments in the order of their offsets, so that DropBefore finds the
	// oldest ones.
	oldestFirst container.Ring[indexedClaim]
}

// indexedClaim is a claim that won or was abandoned at an offset.
type indexedClaim struct {
	claimID
	offset id.Offset
}

// NewIndex returns an index that has read no record.
func NewIndex() *Index {
	return &Index{winners: map[Key]WinningClaim{}, abandonments: map[claimID]id.Offset{}}
}

// NextOffset returns the offset of the next record to read.
func (ix *Index) NextOffset() id.Offset {
	return ix.next
}

// Len returns the number of claimed keys.
func (ix *Index) Len() int {
	return len(ix.winners)
}

// Winner returns the claim that won a key, or false if the key is unclaimed.
func (ix *Index) Winner(key Key) (WinningClaim, bool) {
	winner, ok := ix.winners[key]
	return winner, ok
}

// ApplyRecord applies the record at an offset. It ignores a record that it has already read, and the content of one that can't
// be decoded. Records must be added in the order of their offsets.
func (ix *Index) ApplyRecord(offset id.Offset, body []byte) {
	if offset < ix.next {
		return
	}
	ix.next = offset + 1
	var record Record
	if json.Unmarshal(body, &record) != nil {
		return
	}
	for _, entry := range record.Entries {
		ix.applyEntry(offset, entry)
	}
}

// applyEntry applies an entry of the record at an offset. Applying an entry again changes nothing; a result that was
// recorded is not replaced, and its key is not released any more.
func (ix *Index) applyEntry(offset id.Offset, entry Entry) {
	winner, hasWinner := ix.winners[entry.Key]
	isWinner := hasWinner && winner.Claimant == entry.Claimant
	switch entry.Kind {
	case Claimed:
		if _, abandoned := ix.abandonments[claimID{entry.Key, entry.Claimant}]; !hasWinner && !abandoned {
			ix.winners[entry.Key] = WinningClaim{Claimant: entry.Claimant, Offset: offset}
			ix.trackClaim(offset, entry)
		}
	case Completed:
		if isWinner && winner.Result == nil {
			winner.Result = entry.Result
			ix.winners[entry.Key] = winner
		}
	case Abandoned:
		ix.abandonments[claimID{entry.Key, entry.Claimant}] = offset
		ix.trackClaim(offset, entry)
		if isWinner && winner.Result == nil {
			delete(ix.winners, entry.Key)
		}
	}
}

// trackClaim lists the claim of an entry for DropBefore.
func (ix *Index) trackClaim(offset id.Offset, entry Entry) {
	ix.oldestFirst.Push(indexedClaim{claimID: claimID{entry.Key, entry.Claimant}, offset: offset})
}

// DropBefore drops the claims and abandonments in records before logStart, which the log no longer retains.
func (ix *Index) DropBefore(logStart id.Offset) {
	for ix.oldestFirst.Len() > 0 && ix.oldestFirst.Peek().offset < logStart {
		oldest := ix.oldestFirst.Pop()
		if winner, hasWinner := ix.winners[oldest.key]; hasWinner && winner.Offset == oldest.offset {
			delete(ix.winners, oldest.key)
		}
		if offset, abandoned := ix.abandonments[oldest.claimID]; abandoned && offset == oldest.offset {
			delete(ix.abandonments, oldest.claimID)
		}
	}
}
