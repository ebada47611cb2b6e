// Package crashlog stores the evidence of which requests crashed servers in the platform's log, so that these requests
// stay quarantined when every host that observed the crashes is gone.
package crashlog

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config sets the periods of a syncer.
type Config struct {
	// TTL is the age at which evidence in the log is ignored and deleted.
	TTL time.Duration
	// ReadWait is how long the log may delay its response to a read until there is a record (long polling); zero if it
	// can't.
	ReadWait time.Duration
	// ReadInterval is the time between two reads. It may be long, because other hosts send new evidence directly.
	ReadInterval time.Duration
	// BatchDelay is how long evidence is collected before it is appended in one call.
	BatchDelay time.Duration
	// AppendRetryInterval is the time between attempts to append records that the log has not accepted, and between
	// attempts of a host that is not to read the log to read it once.
	AppendRetryInterval time.Duration
	// CallTimeout bounds a call to the log; ReadWait comes on top of it.
	CallTimeout time.Duration
	// MinShared is the number of crashes of a fingerprint from which on a host that reads the log only once learns them.
	// Single crashes are left to the reader, because a host that does not go on reading does not learn that they are cleared.
	MinShared int
	// FirstCrashes is the number of records that QueueFirstCrash accepts in FirstCrashPeriod. It bounds what a host adds to
	// the log when many servers crash at once.
	FirstCrashes     int
	FirstCrashPeriod time.Duration
}

// DefaultConfig returns the periods for a log that every host reads without long polling.
func DefaultConfig(ttl time.Duration) Config {
	return Config{
		TTL:                 ttl,
		ReadInterval:        30 * time.Second,
		BatchDelay:          100 * time.Millisecond,
		AppendRetryInterval: 2 * time.Second,
		CallTimeout:         2 * time.Second,
	}
}

// maxPendingRecords bounds the records that wait to be appended. Beyond it the oldest ones are dropped.
const maxPendingRecords = 10_000

// Record is one piece of evidence as a record of the log.
type Record struct {
	quarantine.Evidence
	// At is when the evidence was queued, on the clock of the host that appended it.
	At time.Time
}

// wireRecord is the JSON form of a record. Its field names are stored keys; Standing holds the status.
type wireRecord struct {
	Fingerprint uint64
	Crash       uint64
	Standing    int64
	At          time.Time
}

// Encode returns the JSON form of a record.
func Encode(record Record) ([]byte, error) {
	return json.Marshal(wireRecord{Fingerprint: uint64(record.Fingerprint), Crash: uint64(record.Crash), Standing: int64(record.Status), At: record.At})
}

// Decode parses the JSON form of a record.
func Decode(encoded []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return Record{}, errors.Wrap(err, "decode crash evidence")
	}
	return Record{
		Evidence: quarantine.Evidence{
			Fingerprint: id.Fingerprint(wire.Fingerprint), Crash: quarantine.CrashID(wire.Crash), Status: quarantine.CrashStatus(wire.Standing),
		},
		At: wire.At,
	}, nil
}

// Log is the stream of the platform's log that holds the evidence.
type Log interface {
	// Append adds records. After an error, some of them may have been added.
	Append(ctx context.Context, records []Record) error
	// Read returns encoded records from an offset on, or all retained records for id.NoOffset, and the offset to
	// continue at. It may block for up to wait until there is a record.
	Read(ctx context.Context, from id.Offset, wait time.Duration) (bodies [][]byte, next id.Offset, err error)
	// Drop deletes records that have expired. A log that deletes old records by itself may do nothing.
	Drop(ctx context.Context, records []Record) error
}

// Syncer copies evidence between the local host and the log: it appends the evidence that the local host found, and
// reads the evidence that other hosts appended. It is safe for concurrent use.
type Syncer struct {
	config  Config
	clock   timer.Clock
	log     Log
	metrics tally.Scope
	logger  *slog.Logger
	// shouldRead reports whether the local host is to read the log now. Otherwise it reads the log only once.
	shouldRead func() bool
	// learn is called with the evidence that was read and has not expired.
	learn func(...quarantine.Evidence)
	// storedEvidence returns the evidence that should be in the log; nil if the log never loses records.
	storedEvidence func() []quarantine.Evidence

	// mutex guards the following fields.
	mutex sync.Mutex
	// nextOffset is the offset to read next, id.NoOffset before the first read.
	nextOffset id.Offset
	// fullReadAt is when the local host, as the reader, last began to read the log from its beginning; zero if it has not.
	fullReadAt time.Time
	// firstCrashesSince is when the current FirstCrashPeriod began, and firstCrashes is the number of records in it.
	firstCrashesSince time.Time
	firstCrashes      int
	// storedFirstCrashes holds when QueueFirstCrash accepted the crashes that are not cleared, for TTL.
	storedFirstCrashes map[crashKey]time.Time
	// pendingRecords are the records to be appended, oldest first, without those of an append in progress.
	pendingRecords []Record
	// flushScheduled says that flush is going to run when BatchDelay has passed.
	flushScheduled   bool
	appendInProgress bool
	lastReadFailed   bool
}

// Option changes a syncer.
type Option func(*Syncer)

// WithStoredEvidence makes a syncer append evidence again that a log lacks after it was restored from an older copy. The
// function returns the evidence that should be in the log.
func WithStoredEvidence(storedEvidence func() []quarantine.Evidence) Option {
	return func(sy *Syncer) { sy.storedEvidence = storedEvidence }
}

// New returns a syncer that has read nothing yet.
func New(config Config, clock timer.Clock, log Log, metrics tally.Scope, logger *slog.Logger, shouldRead func() bool, learn func(...quarantine.Evidence), options ...Option) *Syncer {
	sy := &Syncer{config: config, clock: clock, log: log, metrics: metrics, logger: logger, shouldRead: shouldRead, learn: learn, nextOffset: id.NoOffset, storedFirstCrashes: map[crashKey]time.Time{}}
	for _, option := range options {
		option(sy)
	}
	return sy
}

// Run reads and appends evidence until the context ends, and then tries to append what is still pending. It always
// returns nil.
func (sy *Syncer) Run(ctx context.Context) error {
	const (
		// pollInterval is the time between checks whether the local host is to read.
		pollInterval = 250 * time.Millisecond
		retryDelay   = 500 * time.Millisecond
	)
	retryTimer := timer.Every(sy.clock, sy.config.AppendRetryInterval, func() { sy.flush(ctx) })
	defer retryTimer.Stop()
	for ctx.Err() == nil {
		delay := pollInterval
		if sy.shouldRead() {
			delay = sy.config.ReadInterval
			if err := sy.Read(ctx, sy.config.ReadWait); err != nil {
				delay = retryDelay
			}
		} else if sy.hasReadNothing() {
			// The hosts that this host meets first may have started with it and know nothing either.
			if err := sy.Read(ctx, 0); err != nil {
				delay = sy.config.AppendRetryInterval
			}
		}
		timer.Sleep(ctx, sy.clock, delay)
	}
	sy.flush(context.Background())
	return nil
}

// hasReadNothing reports whether no read has succeeded yet.
func (sy *Syncer) hasReadNothing() bool {
	sy.mutex.Lock()
	defer sy.mutex.Unlock()
	return sy.nextOffset == id.NoOffset
}

// QueueEvidence queues evidence to be appended after BatchDelay. Run retries what the log does not accept.
func (sy *Syncer) QueueEvidence(evidence ...quarantine.Evidence) {
	sy.addPending(evidence)
	sy.mutex.Lock()
	defer sy.mutex.Unlock()
	if !sy.flushScheduled {
		sy.flushScheduled = true
		sy.clock.After(sy.config.BatchDelay, func() {
			sy.mutex.Lock()
			sy.flushScheduled = false
			sy.mutex.Unlock()
			sy.flush(context.Background())
		})
	}
}

// addPending adds evidence to the pending records, and drops the oldest ones beyond maxPendingRecords.
func (sy *Syncer) addPending(evidence []quarantine.Evidence) {
	now := sy.clock.Now()
	sy.mutex.Lock()
	defer sy.mutex.Unlock()
	for _, ev := range evidence {
		sy.pendingRecords = append(sy.pendingRecords, Record{Evidence: ev, At: now})
	}
	if excess := len(sy.pendingRecords) - maxPendingRecords; excess > 0 {
		sy.pendingRecords = sy.pendingRecords[excess:]
		sy.metrics.Counter("evidence_dropped").Inc(int64(excess))
	}
}

// QueueFirstCrash queues evidence about a fingerprint with a single crash, or drops it if there has been too much of it.
// Run appends what is cleared within AppendRetryInterval, because requests that ran on a crashed server end one by one.
func (sy *Syncer) QueueFirstCrash(evidence quarantine.Evidence) {
	if !sy.acceptsFirstCrash(evidence) {
		sy.metrics.Counter("first_crashes_dropped").Inc(1)
		return
	}
	if evidence.Status == quarantine.Cleared {
		sy.addPending([]quarantine.Evidence{evidence})
		return
	}
	sy.QueueEvidence(evidence)
}

// acceptsFirstCrash counts a record of QueueFirstCrash, and returns false if FirstCrashes are exceeded. What clears an
// accepted crash is accepted and not counted: otherwise the crash would count for as long as the log keeps it.
func (sy *Syncer) acceptsFirstCrash(evidence quarantine.Evidence) bool {
	now := sy.clock.Now()
	key := crashKey{evidence.Fingerprint, evidence.Crash}
	sy.mutex.Lock()
	defer sy.mutex.Unlock()
	if _, stored := sy.storedFirstCrashes[key]; stored && evidence.Status == quarantine.Cleared {
		delete(sy.storedFirstCrashes, key)
		return true
	}
	if now.Sub(sy.firstCrashesSince) >= sy.config.FirstCrashPeriod {
		sy.firstCrashesSince, sy.firstCrashes = now, 0
		maps.DeleteFunc(sy.storedFirstCrashes, func(_ crashKey, at time.Time) bool { return now.Sub(at) > sy.config.TTL })
	}
	if sy.firstCrashes >= sy.config.FirstCrashes {
		return false
	}
	sy.firstCrashes++
	if evidence.Status != quarantine.Cleared {
		sy.storedFirstCrashes[key] = now
	}
	return true
}

// crashKey identifies a crash of a fingerprint.
type crashKey struct {
	fingerprint id.Fingerprint
	crash       quarantine.CrashID
}

// newestOfEach returns the last record of each pair of a fingerprint and a crash, which replaces the others in the log.
func newestOfEach(records []Record) []Record {
	last := map[crashKey]int{}
	for ix, rec := range records {
		last[crashKey{rec.Fingerprint, rec.Crash}] = ix
	}
	var newest []Record
	for ix, rec := range records {
		if last[crashKey{rec.Fingerprint, rec.Crash}] == ix {
			newest = append(newest, rec)
		}
	}
	return newest
}

// flush appends the pending records. It does nothing while another flush is in progress, because that one continues
// with the records added meanwhile unless it fails. Records that the log did not accept become pending again.
func (sy *Syncer) flush(ctx context.Context) {
	sy.mutex.Lock()
	pending := newestOfEach(sy.pendingRecords)
	if len(pending) == 0 || sy.appendInProgress {
		sy.mutex.Unlock()
		return
	}
	sy.pendingRecords, sy.appendInProgress = nil, true
	sy.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, sy.config.CallTimeout)
	err := sy.log.Append(callCtx, pending)
	cancel()
	sy.metrics.Counter("evidence_appends").Inc(1)
	if err != nil {
		sy.metrics.Counter("evidence_appends_failed").Inc(1)
		sy.logger.Warn("failed to append crash evidence to the platform's log", "records", len(pending), "error", err.Error())
	}
	sy.mutex.Lock()
	sy.appendInProgress = false
	if err != nil {
		sy.pendingRecords = append(pending, sy.pendingRecords...)
	}
	moreArrived := err == nil && len(sy.pendingRecords) > 0
	sy.mutex.Unlock()
	if moreArrived {
		sy.flush(ctx)
	}
}

// Read reads the log to its end. It blocks for up to wait until there is a record, except on a read from the beginning.
// The reader reads from the beginning once in TTL, because the log returns records that have expired only then.
func (sy *Syncer) Read(ctx context.Context, wait time.Duration) error {
	isReader := sy.shouldRead()
	startsOver := isReader && sy.beginFullRead()
	sy.mutex.Lock()
	reached := sy.nextOffset
	sy.mutex.Unlock()
	from := reached
	if startsOver {
		from = id.NoOffset
	}
	for {
		if from == id.NoOffset {
			wait = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, sy.config.CallTimeout+wait)
		encoded, next, err := sy.log.Read(callCtx, from, wait)
		cancel()
		if err != nil && ctx.Err() != nil {
			// A read that ended because the host stops is no failure of the log.
			return err
		}
		sy.recordReadResult(err)
		if err != nil {
			if startsOver {
				sy.mutex.Lock()
				sy.fullReadAt = time.Time{}
				sy.mutex.Unlock()
			}
			return err
		}
		sy.learnRecords(ctx, encoded, isReader)
		if reached != id.NoOffset && next.Era() > reached.Era() {
			sy.queueLostEvidence(encoded)
		}
		// A log that reads from a stale copy may return an offset before the one already reached.
		reached = max(next, reached)
		sy.mutex.Lock()
		sy.nextOffset = reached
		sy.mutex.Unlock()
		if len(encoded) == 0 || next <= from {
			return nil
		}
		from, wait = next, 0
	}
}

// beginFullRead reports whether the reader has to read the log from its beginning: it has not done so within TTL.
func (sy *Syncer) beginFullRead() bool {
	now := sy.clock.Now()
	sy.mutex.Lock()
	defer sy.mutex.Unlock()
	if !sy.fullReadAt.IsZero() && now.Sub(sy.fullReadAt) < sy.config.TTL {
		return false
	}
	sy.fullReadAt = now
	return true
}

// queueLostEvidence queues the evidence that should be in the log but is not among all of its records.
func (sy *Syncer) queueLostEvidence(encodedRecords [][]byte) {
	if sy.storedEvidence == nil {
		return
	}
	present := map[quarantine.Evidence]bool{}
	for _, encoded := range encodedRecords {
		if rec, err := Decode(encoded); err == nil {
			present[rec.Evidence] = true
		}
	}
	lost := slices.DeleteFunc(sy.storedEvidence(), func(ev quarantine.Evidence) bool { return present[ev] })
	sy.logger.Info("platform's log of crash evidence was restored from an older copy", "lost", len(lost), "present", len(present))
	if len(lost) > 0 {
		sy.QueueEvidence(lost...)
	}
}

// recordReadResult counts a read, and writes a log line when reads begin to fail or succeed again.
func (sy *Syncer) recordReadResult(err error) {
	sy.metrics.Counter("evidence_reads").Inc(1)
	sy.mutex.Lock()
	stateChanged := sy.lastReadFailed != (err != nil)
	sy.lastReadFailed = err != nil
	sy.mutex.Unlock()
	switch {
	case !stateChanged:
	case err != nil:
		sy.logger.Warn("failed to read crash evidence from the platform's log", "error", err.Error())
	default:
		sy.logger.Info("reading crash evidence from the platform's log succeeds again")
	}
}

// learnRecords passes on the evidence of records that were read, without single crashes if the local host is not the reader.
// The reader has the log delete those that have expired; if all hosts that start did, each would add as many records.
func (sy *Syncer) learnRecords(ctx context.Context, encodedRecords [][]byte, isReader bool) {
	var expired []Record
	var current []quarantine.Evidence
	now := sy.clock.Now()
	for _, encoded := range encodedRecords {
		rec, err := Decode(encoded)
		if err != nil {
			sy.logger.Warn("ignored a crash evidence record that could not be decoded", "bytes", len(encoded), "error", err.Error())
			continue
		}
		if now.Sub(rec.At) >= sy.config.TTL {
			expired = append(expired, rec)
			continue
		}
		current = append(current, rec.Evidence)
	}
	if !isReader {
		current = withoutSingleCrashes(current, sy.config.MinShared)
	}
	if len(current) > 0 {
		sy.learn(current...)
	}
	if len(expired) == 0 || !isReader {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, sy.config.CallTimeout)
	defer cancel()
	if err := sy.log.Drop(callCtx, expired); err != nil {
		sy.logger.Warn("failed to delete expired crash evidence from the platform's log", "records", len(expired), "error", err.Error())
	}
}

// withoutSingleCrashes returns the evidence about fingerprints with at least minShared crashes that are not cleared.
func withoutSingleCrashes(evidence []quarantine.Evidence, minShared int) []quarantine.Evidence {
	counting := map[id.Fingerprint]int{}
	for _, ev := range evidence {
		if ev.Status != quarantine.Cleared {
			counting[ev.Fingerprint]++
		}
	}
	return slices.DeleteFunc(evidence, func(ev quarantine.Evidence) bool { return counting[ev.Fingerprint] < minShared })
}
