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
		TTL:         ttl,
		ReadInterval:   30 * time.Second,
		BatchDelay:      100 * time.Millisecond,
		AppendRetryInterval: 2 * time.Second,
		CallTimeout: 2 * time.Second,
	}
}

// maxPending bounds the records that wait to be appended; the oldest are dropped.
const maxPending = 10_000

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
func Encode(rec Record) ([]byte, error) {
	return json.Marshal(wireRecord{Fingerprint: uint64(rec.Fingerprint), Crash: uint64(rec.Crash), Standing: int64(rec.Status), At: rec.At})
}

// Decode reads a record as the log holds it.
func Decode(body []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(body, &wire); err != nil {
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
	// reads says whether the own host is to read the log now.
	reads func() bool
	// learn is called with evidence that was read.
	learn func(quarantine.Evidence)

	mutex     sync.Mutex
	next      id.Offset
	pending   []Record
	gathering bool
	appending bool
	// away says that the last read failed.
	away bool
}

// New returns a keeper that has read nothing.
func New(config Config, clock timer.Service, log Log, metrics tally.Scope, logger *slog.Logger, reads func() bool, learn func(quarantine.Evidence)) *Syncer {
	return &Syncer{config: config, clock: clock, log: log, metrics: metrics, logger: logger, reads: reads, learn: learn, next: id.NoOffset}
}

// Run reads and appends until the context ends.
func (kp *Syncer) Run(ctx context.Context) error {
	const (
		lookPause  = 250 * time.Millisecond
		retryPause = 500 * time.Millisecond
	)
	appends := timer.Every(kp.clock, kp.config.AppendRetryInterval, func() { kp.flush(ctx) })
	defer appends.Stop()
	for ctx.Err() == nil {
		pause := lookPause
		if kp.reads() {
			pause = kp.config.ReadInterval
			if err := kp.Read(ctx, kp.config.ReadWait); err != nil {
				pause = retryPause
			}
		}
		timer.Sleep(ctx, kp.clock, pause)
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
		kp.pending = append(kp.pending, Record{Evidence: ev, At: now})
	}
	if over := len(kp.pending) - maxPending; over > 0 {
		kp.pending = kp.pending[over:]
		kp.metrics.Counter("evidence_dropped").Inc(int64(over))
	}
	if !kp.gathering {
		kp.gathering = true
		kp.clock.After(kp.config.BatchDelay, func() {
			kp.mutex.Lock()
			kp.gathering = false
			kp.mutex.Unlock()
			kp.flush(context.Background())
		})
	}
}

// flush appends what is pending, one call at a time.
func (kp *Syncer) flush(ctx context.Context) {
	kp.mutex.Lock()
	pending := kp.pending
	if len(pending) == 0 || kp.appending {
		kp.mutex.Unlock()
		return
	}
	kp.pending, kp.appending = nil, true
	kp.mutex.Unlock()
	call, cancel := context.WithTimeout(ctx, kp.config.CallTimeout)
	err := kp.log.Append(call, pending)
	cancel()
	kp.metrics.Counter("evidence_appends").Inc(1)
	if err != nil {
		kp.metrics.Counter("evidence_appends_failed").Inc(1)
		kp.logger.Warn("evidence not appended", "records", len(pending), "error", err.Error())
	}
	kp.mutex.Lock()
	kp.appending = false
	if err != nil {
		kp.pending = append(pending, kp.pending...)
	}
	more := err == nil && len(kp.pending) > 0
	kp.mutex.Unlock()
	if more {
		kp.flush(ctx)
	}
}

// Read reads the stream to its end. It may wait for the first record.
func (kp *Syncer) Read(ctx context.Context, wait time.Duration) error {
	for {
		kp.mutex.Lock()
		from := kp.next
		kp.mutex.Unlock()
		if from == id.NoOffset {
			wait = 0
		}
		call, cancel := context.WithTimeout(ctx, kp.config.CallTimeout+wait)
		bodies, next, err := kp.log.Read(call, from, wait)
		cancel()
		kp.noteRead(err)
		if err != nil {
			return err
		}
		kp.take(ctx, bodies)
		kp.mutex.Lock()
		// A log that answers from an old copy names an end that was passed already.
		kp.next = max(next, from)
		kp.mutex.Unlock()
		if len(bodies) == 0 || next <= from {
			return nil
		}
		wait = 0
	}
}

// noteRead logs that the log can't be read, or can be again.
func (kp *Syncer) noteRead(err error) {
	kp.metrics.Counter("evidence_reads").Inc(1)
	kp.mutex.Lock()
	changed := kp.away != (err != nil)
	kp.away = err != nil
	kp.mutex.Unlock()
	switch {
	case !changed:
	case err != nil:
		kp.logger.Warn("evidence of crashes not read", "error", err.Error())
	default:
		kp.logger.Info("evidence of crashes read again")
	}
}

// take learns records, and has the log forget those that are too old.
func (kp *Syncer) take(ctx context.Context, bodies [][]byte) {
	var old []Record
	now := kp.clock.Now()
	for _, body := range bodies {
		rec, err := Decode(body)
		if err != nil {
			kp.logger.Warn("evidence of a crash ignored", "bytes", len(body), "error", err.Error())
			continue
		}
		if now.Sub(rec.At) >= kp.config.TTL {
			old = append(old, rec)
			continue
		}
		kp.learn(rec.Evidence)
	}
	if len(old) == 0 {
		return
	}
	call, cancel := context.WithTimeout(ctx, kp.config.CallTimeout)
	defer cancel()
	if err := kp.log.Drop(call, old); err != nil {
		kp.logger.Warn("old evidence not dropped", "records", len(old), "error", err.Error())
	}
}
