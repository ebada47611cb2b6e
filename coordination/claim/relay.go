package claim

import (
	"slices"
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Verdict answers a claim.
type Verdict int

// Verdicts.
const (
	// Won lets the claimant run the request.
	Won Verdict = iota + 1
	// Lost says that another claimant may have run it; its result is not known.
	Lost
	// Done says that the request ran; its result is recorded.
	Done
	// Unavailable says that the log could not be asked in time; the request did not run.
	Unavailable
)

// Answer is the answer to one claim.
type Answer struct {
	Verdict Verdict
	Result  []byte
}

// Event is an input of the relay.
type Event interface{ event() }

// AppendRequest asks for an entry to be appended. Claims are answered; other entries are answered Done when they are read back.
type AppendRequest struct {
	RequestNumber   uint64
	Entry    Entry
	Deadline time.Time
}

// AppendEnded tells what became of the append that runs.
type AppendEnded struct{ Result AppendResult }

// AppendResult says what became of an append.
type AppendResult int

// Results of appends.
const (
	// Stored means that the record is in the log.
	Stored AppendResult = iota + 1
	// NotStored means that the log refused the record.
	NotStored
	// MaybeStored means that the answer was lost.
	MaybeStored
)

// ReadEnded carries records read from the log.
type ReadEnded struct {
	// Failed says that the log could not be read.
	Failed  bool
	LogStart   id.Offset
	LogEnd    id.Offset
	Records []LogRecord
}

// LogRecord is one record of the stream of claims with its offset.
type LogRecord struct {
	Offset id.Offset
	Body   []byte
}

// Tick lets time pass.
type Tick struct{}

func (AppendRequest) event()         {}
func (AppendEnded) event() {}
func (ReadEnded) event()   {}
func (Tick) event()        {}

// Effect is an output of the relay. Exactly one of its fields is set.
type Effect struct {
	// Append is a record to append; AppendEnded reports the result.
	Append *Record
	// Read asks for records from an offset on; ReadEnded reports them.
	Read *Read
	// Reply answers an Ask.
	Reply *Reply
}

// Read asks for records of the stream of claims.
type Read struct{ From id.Offset }

// Reply answers the Ask with the same ticket.
type Reply struct {
	RequestNumber uint64
	Answer Answer
}

type pending struct{ AppendRequest }

// Relay batches entries of many hosts into few appends and answers claims by reading the log back.
type Relay struct {
	index     *Index
	queue     []*pending
	inFlight  []*pending
	unread    []*pending
	appending bool
	reading   bool
	readAgain bool
	retryAt   time.Time
	// interval is the least time between appends, nextAt when the next one may start.
	interval time.Duration
	nextAt   time.Time
	effects  []Effect
}

const (
	// appendRetry is the wait after the log has refused an append.
	appendRetry = 100 * time.Millisecond
	// maxBatchEntries bounds the entries of one record.
	maxBatchEntries = 256
)

// NewRelay returns a relay that has read nothing.
func NewRelay() *Relay {
	return &Relay{index: NewIndex()}
}

// Index returns the claims read so far.
func (rl *Relay) Index() *Index {
	return rl.index
}

// SetMinAppendInterval sets the least time between appends, so that all relays together stay within the log's rate.
func (rl *Relay) SetMinAppendInterval(interval time.Duration) {
	rl.interval = interval
}

// Step takes one event and returns what is to be done. The effects are valid until the next step.
func (rl *Relay) Step(now time.Time, ev Event) []Effect {
	rl.effects = nil
	switch ev := ev.(type) {
	case AppendRequest:
		rl.queue = append(rl.queue, &pending{AppendRequest: ev})
	case AppendEnded:
		rl.appendEnded(now, ev.Result)
	case ReadEnded:
		rl.readEnded(now, ev)
	}
	rl.expire(now)
	rl.startAppend(now)
	return rl.effects
}

func (rl *Relay) startAppend(now time.Time) {
	if rl.appending || len(rl.queue) == 0 || now.Before(rl.retryAt) || now.Before(rl.nextAt) {
		return
	}
	rl.nextAt = now.Add(rl.interval)
	count := min(len(rl.queue), maxBatchEntries)
	rl.inFlight = slices.Clone(rl.queue[:count])
	rl.queue = slices.Delete(rl.queue, 0, count)
	rec := &Record{}
	for _, pd := range rl.inFlight {
		rec.Entries = append(rec.Entries, pd.Entry)
	}
	rl.appending = true
	rl.effects = append(rl.effects, Effect{Append: rec})
}

func (rl *Relay) appendEnded(now time.Time, result AppendResult) {
	rl.appending = false
	ended := rl.inFlight
	rl.inFlight = nil
	if result == NotStored {
		rl.retryAt = now.Add(appendRetry)
		rl.queue = append(ended, rl.queue...)
		return
	}
	rl.unread = append(rl.unread, ended...)
	if result == MaybeStored {
		rl.retryAt = now.Add(appendRetry)
	}
	rl.read()
}

func (rl *Relay) read() {
	if rl.reading {
		rl.readAgain = true
		return
	}
	rl.reading = true
	rl.effects = append(rl.effects, Effect{Read: &Read{From: rl.index.Next()}})
}

func (rl *Relay) readEnded(now time.Time, ev ReadEnded) {
	rl.reading = false
	if ev.Failed {
		rl.retryAt = now.Add(appendRetry)
		return
	}
	rl.index.DropBefore(ev.LogStart)
	for _, rec := range ev.Records {
		rl.index.Add(rec.Offset, rec.Body)
	}
	if rl.index.Next() < ev.LogEnd || rl.readAgain {
		rl.readAgain = false
		rl.read()
		return
	}
	rl.settle()
}

// settle answers the entries whose append the index shows. The others were not stored and are appended again;
// entries are idempotent, so an append that takes effect late does no harm.
func (rl *Relay) settle() {
	unread := rl.unread
	rl.unread = nil
	for _, pd := range unread {
		answer, known := rl.answer(pd.Entry)
		if !known {
			rl.queue = append(rl.queue, pd)
			continue
		}
		rl.reply(pd, answer)
	}
}

func (rl *Relay) answer(en Entry) (Answer, bool) {
	holder, held := rl.index.Winner(en.Key)
	if en.Kind != Claimed {
		_, gone := rl.index.abandonedBy[abandoned{en.Key, en.Claimant}]
		stored := en.Kind == Abandoned && gone || en.Kind == Completed && (!held || holder.Claimant != en.Claimant || holder.Result != nil)
		return Answer{Verdict: Done}, stored
	}
	switch {
	case !held:
		return Answer{}, false
	case holder.Claimant == en.Claimant:
		return Answer{Verdict: Won}, true
	case holder.Result != nil:
		return Answer{Verdict: Done, Result: holder.Result}, true
	default:
		return Answer{Verdict: Lost}, true
	}
}

func (rl *Relay) reply(pd *pending, answer Answer) {
	rl.effects = append(rl.effects, Effect{Reply: &Reply{RequestNumber: pd.RequestNumber, Answer: answer}})
}

// expire answers what the log has not settled in time.
func (rl *Relay) expire(now time.Time) {
	rl.queue = rl.expireFrom(now, rl.queue)
	rl.inFlight = rl.expireFrom(now, rl.inFlight)
	rl.unread = rl.expireFrom(now, rl.unread)
	if len(rl.unread) > 0 && !rl.reading && !now.Before(rl.retryAt) {
		rl.read()
	}
}

func (rl *Relay) expireFrom(now time.Time, waiting []*pending) []*pending {
	return slices.DeleteFunc(waiting, func(pd *pending) bool {
		if now.Before(pd.Deadline) {
			return false
		}
		rl.reply(pd, Answer{Verdict: Unavailable})
		return true
	})
}
