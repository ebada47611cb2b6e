package claim

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Verdict is the decision on a claim.
type Verdict int

// Verdicts on claims.
const (
	// Won means that the claimant may run the request.
	Won Verdict = iota + 1
	// Lost means that another claimant has won and may have run the request; its result is not recorded.
	Lost
	// Done means that another claimant has run the request and that its result is recorded.
	Done
	// Unavailable means that the log did not decide in time. The claimant must not run the request and should abandon
	// the claim, because it may still win later.
	Unavailable
)

// Answer is the answer to an AppendRequest.
type Answer struct {
	Verdict Verdict
	// Result is the recorded result of the request if the verdict on a claim is Done.
	Result []byte
}

// Event is an input of the relay: AppendRequest, AppendEnded, ReadEnded or Tick.
type Event interface{ event() }

// AppendRequest asks for an entry to be appended. A claim is answered with the verdict on it; another entry is answered
// with Done when it has been read back. The answer is Unavailable if there is no other one by the deadline.
type AppendRequest struct {
	// RequestNumber identifies the request in its Reply. The caller chooses it and must not use it again.
	RequestNumber uint64
	Entry         Entry
	Deadline      time.Time
}

// AppendEnded reports the result of the append that the last Append effect started.
type AppendEnded struct{ Result AppendResult }

// AppendResult says whether an append was stored.
type AppendResult int

// Results of appends.
const (
	// Stored means that the record is in the log.
	Stored AppendResult = iota + 1
	// NotStored means that the log refused the record and will not store it.
	NotStored
	// MaybeStored means that the log's response was lost; the record may be stored, also later.
	MaybeStored
)

// ReadEnded reports the result of the read that the last Read effect started.
type ReadEnded struct {
	// Failed reports that the log could not be read; the other fields are then empty.
	Failed bool
	// LogStart is the offset of the oldest record that the log retains, LogEnd the offset after its newest one.
	LogStart id.Offset
	LogEnd   id.Offset
	// Records are records in the order of their offsets. They need not reach LogEnd.
	Records []LogRecord
}

// LogRecord is one record of the stream of claims with its offset.
type LogRecord struct {
	Offset id.Offset
	Body   []byte
}

// Tick reports that time has passed. Ticks make the relay expire requests and retry appends and reads; they are needed
// while a request has no answer.
type Tick struct{}

func (AppendRequest) event() {}
func (AppendEnded) event()   {}
func (ReadEnded) event()     {}
func (Tick) event()          {}

// Effect is an action that the caller of Step must perform. Exactly one of its fields is set.
type Effect struct {
	// Append is a record to append to the log. The result must be reported as AppendEnded.
	Append *Record
	// Read asks for records of the log. The result must be reported as ReadEnded.
	Read *Read
	// Reply answers an AppendRequest.
	Reply *Reply
}

// Read asks for the records of the stream of claims from an offset on.
type Read struct{ From id.Offset }

// Reply answers the AppendRequest with the same number.
type Reply struct {
	RequestNumber uint64
	Answer        Answer
}

// pendingRequest is a request that is not yet answered.
type pendingRequest struct{ AppendRequest }

// RelayMachine batches the entries of many hosts into few appends and answers claims by reading the log back. It runs at most
// one append and one read at a time. It is a state machine without I/O and not safe for concurrent use.
type RelayMachine struct {
	index *Index
	// queued are the requests that wait to be appended.
	queued []*pendingRequest
	// inFlight are the requests in the running append.
	inFlight []*pendingRequest
	// awaitingRead are the requests whose entries are or may be stored, but have not been read back.
	awaitingRead []*pendingRequest
	appending    bool
	reading      bool
	// readAgain reports that another read was asked for while one runs, which may have missed the newest records.
	readAgain bool
	// retryAt is the earliest time for an append, and for repeating a read, after one that failed or may have failed.
	retryAt time.Time
	// minAppendInterval is the minimum time between the starts of appends, nextAppendAt when the next may start.
	minAppendInterval time.Duration
	nextAppendAt      time.Time
	// effects collects the effects of the current step.
	effects []Effect
}

const (
	// retryDelay is the delay before the next attempt after an append or a read that failed or may have failed.
	retryDelay = 100 * time.Millisecond
	// maxBatchEntries is the largest number of entries in one record.
	maxBatchEntries = 256
)

// NewRelayMachine returns a relay that has read no record.
func NewRelayMachine() *RelayMachine {
	return &RelayMachine{index: NewIndex()}
}

// Index returns the index of the records read so far.
func (rl *RelayMachine) Index() *Index {
	return rl.index
}

// SetMinAppendInterval sets the minimum time between the starts of appends, so that all relays together stay within the
// log's rate limit.
func (rl *RelayMachine) SetMinAppendInterval(interval time.Duration) {
	rl.minAppendInterval = interval
}

// Step handles one event and returns the effects to perform. The slice is valid until the next step.
func (rl *RelayMachine) Step(now time.Time, event Event) []Effect {
	rl.effects = nil
	switch event := event.(type) {
	case AppendRequest:
		rl.queued = append(rl.queued, &pendingRequest{AppendRequest: event})
	case AppendEnded:
		rl.handleAppendEnded(now, event.Result)
	case ReadEnded:
		rl.handleReadEnded(now, event)
	}
	rl.expireRequests(now)
	rl.startAppend(now)
	return rl.effects
}

// startAppend appends queued entries as one record, unless an append runs or must wait.
func (rl *RelayMachine) startAppend(now time.Time) {
	if rl.appending || len(rl.queued) == 0 || now.Before(rl.retryAt) || now.Before(rl.nextAppendAt) {
		return
	}
	rl.nextAppendAt = now.Add(rl.minAppendInterval)
	count := min(len(rl.queued), maxBatchEntries)
	rl.inFlight = slices.Clone(rl.queued[:count])
	rl.queued = slices.Delete(rl.queued, 0, count)
	record := &Record{}
	for _, request := range rl.inFlight {
		record.Entries = append(record.Entries, request.Entry)
	}
	rl.appending = true
	rl.effects = append(rl.effects, Effect{Append: record})
}

// handleAppendEnded queues the requests of a refused append again, ahead of the others. Otherwise it starts a read to
// learn whether and in which order the entries were stored.
func (rl *RelayMachine) handleAppendEnded(now time.Time, result AppendResult) {
	rl.appending = false
	requests := rl.inFlight
	rl.inFlight = nil
	if result == NotStored {
		rl.retryAt = now.Add(retryDelay)
		rl.queued = append(requests, rl.queued...)
		return
	}
	rl.awaitingRead = append(rl.awaitingRead, requests...)
	if result == MaybeStored {
		rl.retryAt = now.Add(retryDelay)
	}
	rl.startRead()
}

// startRead reads the records that the index lacks. If a read runs, another one follows it.
func (rl *RelayMachine) startRead() {
	if rl.reading {
		rl.readAgain = true
		return
	}
	rl.reading = true
	rl.effects = append(rl.effects, Effect{Read: &Read{From: rl.index.NextOffset()}})
}

// handleReadEnded adds the records to the index and reads on until the index has reached the log's end. Then it answers
// the requests that wait for that.
func (rl *RelayMachine) handleReadEnded(now time.Time, read ReadEnded) {
	rl.reading = false
	if read.Failed {
		rl.retryAt = now.Add(retryDelay)
		return
	}
	rl.index.DropBefore(read.LogStart)
	for _, record := range read.Records {
		rl.index.ApplyRecord(record.Offset, record.Body)
	}
	if rl.index.NextOffset() < read.LogEnd || rl.readAgain {
		rl.readAgain = false
		rl.startRead()
		return
	}
	rl.answerFromIndex()
}

// answerFromIndex answers the requests whose entries the index contains. The others were not stored and are queued
// again. Entries are idempotent, so an append that takes effect late does no harm.
func (rl *RelayMachine) answerFromIndex() {
	requests := rl.awaitingRead
	rl.awaitingRead = nil
	for _, request := range requests {
		answer, decided := rl.answerTo(request.Entry)
		if !decided {
			rl.queued = append(rl.queued, request)
			continue
		}
		rl.reply(request, answer)
	}
}

// answerTo returns the answer to an entry according to the index, or false if the entry was not stored. A result whose
// claimant is not the winner counts as stored, because it has no effect.
func (rl *RelayMachine) answerTo(entry Entry) (Answer, bool) {
	winner, hasWinner := rl.index.Winner(entry.Key)
	if entry.Kind != Claimed {
		_, abandoned := rl.index.abandonments[claimID{entry.Key, entry.Claimant}]
		stored := entry.Kind == Abandoned && abandoned || entry.Kind == Completed && (!hasWinner || winner.Claimant != entry.Claimant || winner.Result != nil)
		return Answer{Verdict: Done}, stored
	}
	switch {
	case !hasWinner:
		return Answer{}, false
	case winner.Claimant == entry.Claimant:
		return Answer{Verdict: Won}, true
	case winner.Result != nil:
		return Answer{Verdict: Done, Result: winner.Result}, true
	default:
		return Answer{Verdict: Lost}, true
	}
}

func (rl *RelayMachine) reply(request *pendingRequest, answer Answer) {
	rl.effects = append(rl.effects, Effect{Reply: &Reply{RequestNumber: request.RequestNumber, Answer: answer}})
}

// expireRequests answers Unavailable to all requests whose deadline has passed. It also reads again after a failed read
// if requests wait for it.
func (rl *RelayMachine) expireRequests(now time.Time) {
	rl.queued = rl.replyToExpired(now, rl.queued)
	rl.inFlight = rl.replyToExpired(now, rl.inFlight)
	rl.awaitingRead = rl.replyToExpired(now, rl.awaitingRead)
	if len(rl.awaitingRead) > 0 && !rl.reading && !now.Before(rl.retryAt) {
		rl.startRead()
	}
}

// replyToExpired answers Unavailable to the requests whose deadline has passed and returns the others.
func (rl *RelayMachine) replyToExpired(now time.Time, requests []*pendingRequest) []*pendingRequest {
	return slices.DeleteFunc(requests, func(request *pendingRequest) bool {
		if now.Before(request.Deadline) {
			return false
		}
		rl.reply(request, Answer{Verdict: Unavailable})
		return true
	})
}
