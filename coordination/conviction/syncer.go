// Package conviction keeps what is known of requests that crash servers in the platform's log, so that they stay refused
// when every host that saw the crashes is gone.
package conviction

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Config sets the periods of a keeper.
type Config struct {
	// TTL is the age from which evidence is no longer learnt.
	TTL time.Duration
	// ReadWait is how long the log may hold a read until there is a record; zero if it can't.
	ReadWait time.Duration
	// ReadInterval is the time between two reads; other hosts tell of evidence sooner.
	ReadInterval time.Duration
	// BatchDelay is how long evidence is gathered before it is appended.
	BatchDelay time.Duration
	// AppendRetryInterval is the time between tries to append what the log has not taken.
	AppendRetryInterval time.Duration
	// CallTimeout bounds a call to the log beside the time that it may wait.
	CallTimeout time.Duration
}

// DefaultConfig returns the periods for a log that every host reads.
func DefaultConfig(ttl time.Duration) Config {
	return Config{
		TTL:                 ttl,
		ReadInterval:        30 * time.Second,
		BatchDelay:          100 * time.Millisecond,
		AppendRetryInterval: 2 * time.Second,
		CallTimeout:         2 * time.Second,
	}
}

// maxPendingRecords bounds the records that wait to be appended; the oldest are dropped.
const maxPendingRecords = 10_000

// Record is one record of the stream of evidence.
type Record struct {
	quarantine.Evidence
	// At is the time on the clock of the host that appended it.
	At time.Time
}

// wireRecord is a record as the log holds it.
type wireRecord struct {
	Fingerprint uint64
	Crash       uint64
	Standing    int64
	At          time.Time
}

// Encode returns a record as the log holds it.
func Encode(record Record) ([]byte, error) {
	return json.Marshal(wireRecord{Fingerprint: uint64(record.Fingerprint), Crash: uint64(record.Crash), Standing: int64(record.Status), At: record.At})
}

// Decode reads a record as the log holds it.
func Decode(encoded []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(encoded, &wire); err != nil {
		return Record{}, errors.Wrap(err, "decode evidence")
	}
	return Record{
		Evidence: quarantine.Evidence{
			Fingerprint: id.Fingerprint(wire.Fingerprint), Crash: quarantine.CrashID(wire.Crash), Status: quarantine.CrashStatus(wire.Standing),
		},
		At: wire.At,
	}, nil
}

// Log is the stream of evidence of the platform's log.
type Log interface {
	// Append adds records. After an error some may have been added.
	Append(ctx context.Context, records []Record) error
	// Read returns encoded records from an offset on, all that are kept for id.NoOffset, and the next offset. It may wait for
	// the first record.
	Read(ctx context.Context, from id.Offset, wait time.Duration) (bodies [][]byte, next id.Offset, err error)
	// Drop has the log forget records that are too old to be learnt.
	Drop(ctx context.Context, records []Record) error
}

// Syncer reads and appends evidence.
type Syncer struct {
	config  Config
	clock   timer.Service
	log     Log
	metrics tally.Scope
	logger  *slog.Logger
	// shouldRead says whether the own host is to read the log now.
	shouldRead func() bool
	// learn is called with evidence that was read.
	learn func(quarantine.Evidence)

	mutex            sync.Mutex
	nextOffset       id.Offset
	pendingRecords   []Record
	flushScheduled   bool
	appendInProgress bool
	// lastReadFailed says that the last read failed.
	lastReadFailed bool
}

// New returns a keeper that has read nothing.
func New(config Config, clock timer.Service, log Log, metrics tally.Scope, logger *slog.Logger, shouldRead func() bool, learn func(quarantine.Evidence)) *Syncer {
	return &Syncer{config: config, clock: clock, log: log, metrics: metrics, logger: logger, shouldRead: shouldRead, learn: learn, nextOffset: id.NoOffset}
}

// Run reads and appends until the context ends.
func (kp *Syncer) Run(ctx context.Context) error {
	const (
		pollInterval = 250 * time.Millisecond
		retryDelay   = 500 * time.Millisecond
	)
	retryTimer := timer.Every(kp.clock, kp.config.AppendRetryInterval, func() { kp.flush(ctx) })
	defer retryTimer.Stop()
	for ctx.Err() == nil {
		delay := pollInterval
		if kp.shouldRead() {
			delay = kp.config.ReadInterval
			if err := kp.Read(ctx, kp.config.ReadWait); err != nil {
				delay = retryDelay
			}
		}
		timer.Sleep(ctx, kp.clock, delay)
	}
	kp.flush(context.Background())
	return nil
}

// Add appends evidence soon, or when the log takes it.
func (kp *Syncer) Add(evidence ...quarantine.Evidence) {
	now := kp.clock.Now()
	kp.mutex.Lock()
	defer kp.mutex.Unlock()
	for _, ev := range evidence {
		kp.pendingRecords = append(kp.pendingRecords, Record{Evidence: ev, At: now})
	}
	if excess := len(kp.pendingRecords) - maxPendingRecords; excess > 0 {
		kp.pendingRecords = kp.pendingRecords[excess:]
		kp.metrics.Counter("evidence_dropped").Inc(int64(excess))
	}
	if !kp.flushScheduled {
		kp.flushScheduled = true
		kp.clock.After(kp.config.BatchDelay, func() {
			kp.mutex.Lock()
			kp.flushScheduled = false
			kp.mutex.Unlock()
			kp.flush(context.Background())
		})
	}
}

// flush appends what is pending, one call at a time.
func (kp *Syncer) flush(ctx context.Context) {
	kp.mutex.Lock()
	pending := kp.pendingRecords
	if len(pending) == 0 || kp.appendInProgress {
		kp.mutex.Unlock()
		return
	}
	kp.pendingRecords, kp.appendInProgress = nil, true
	kp.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, kp.config.CallTimeout)
	err := kp.log.Append(callCtx, pending)
	cancel()
	kp.metrics.Counter("evidence_appends").Inc(1)
	if err != nil {
		kp.metrics.Counter("evidence_appends_failed").Inc(1)
		kp.logger.Warn("evidence not appended", "records", len(pending), "error", err.Error())
	}
	kp.mutex.Lock()
	kp.appendInProgress = false
	if err != nil {
		kp.pendingRecords = append(pending, kp.pendingRecords...)
	}
	moreArrived := err == nil && len(kp.pendingRecords) > 0
	kp.mutex.Unlock()
	if moreArrived {
		kp.flush(ctx)
	}
}

// Read reads the stream to its end. It may wait for the first record.
func (kp *Syncer) Read(ctx context.Context, wait time.Duration) error {
	for {
		kp.mutex.Lock()
		from := kp.nextOffset
		kp.mutex.Unlock()
		if from == id.NoOffset {
			wait = 0
		}
		callCtx, cancel := context.WithTimeout(ctx, kp.config.CallTimeout+wait)
		encoded, next, err := kp.log.Read(callCtx, from, wait)
		cancel()
		kp.recordReadResult(err)
		if err != nil {
			return err
		}
		kp.learnRecords(ctx, encoded)
		kp.mutex.Lock()
		// A log that answers from an old copy names an end that was passed already.
		kp.nextOffset = max(next, from)
		kp.mutex.Unlock()
		if len(encoded) == 0 || next <= from {
			return nil
		}
		wait = 0
	}
}

// recordReadResult logs that the log can't be read, or can be again.
func (kp *Syncer) recordReadResult(err error) {
	kp.metrics.Counter("evidence_reads").Inc(1)
	kp.mutex.Lock()
	stateChanged := kp.lastReadFailed != (err != nil)
	kp.lastReadFailed = err != nil
	kp.mutex.Unlock()
	switch {
	case !stateChanged:
	case err != nil:
		kp.logger.Warn("evidence of crashes not read", "error", err.Error())
	default:
		kp.logger.Info("evidence of crashes read again")
	}
}

// learnRecords learns records, and has the log forget those that are too old.
func (kp *Syncer) learnRecords(ctx context.Context, encodedRecords [][]byte) {
	var expired []Record
	now := kp.clock.Now()
	for _, body := range encodedRecords {
		rec, err := Decode(body)
		if err != nil {
			kp.logger.Warn("evidence of a crash ignored", "bytes", len(body), "error", err.Error())
			continue
		}
		if now.Sub(rec.At) >= kp.config.TTL {
			expired = append(expired, rec)
			continue
		}
		kp.learn(rec.Evidence)
	}
	if len(expired) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, kp.config.CallTimeout)
	defer cancel()
	if err := kp.log.Drop(callCtx, expired); err != nil {
		kp.logger.Warn("old evidence not dropped", "records", len(expired), "error", err.Error())
	}
}
