// Package conviction keeps fingerprints of requests that crash engines in the platform's log,
// so that they stay refused when every host that saw the crashes is gone.
package conviction

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/quarantine"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// readPeriod is the time between reads of the stream; other hosts tell convictions sooner.
	readPeriod  = 30 * time.Second
	callTimeout = 2 * time.Second
	// appendPeriod is the time between tries to append what the log has not taken.
	appendPeriod = 2 * time.Second
)

// Record is one record of the stream of convictions.
type Record struct {
	Fingerprint id.Fingerprint
	Crashes     int
	// At is the time of the conviction on the clock of the host that appended it.
	At time.Time
}

// Log is the stream of convictions of the platform's log.
type Log interface {
	// Append adds a record and reports whether the log has it.
	Append(ctx context.Context, body []byte) bool
	// Read returns the bodies of records from an offset on, and the next offset.
	Read(ctx context.Context, from id.Offset) (bodies [][]byte, next id.Offset, err error)
}

// Keeper reads and appends convictions.
type Keeper struct {
	clock   timer.Service
	log     Log
	ttl     time.Duration
	metrics tally.Scope
	// learn is called with each conviction read.
	learn func(fp id.Fingerprint, crashes int)

	mutex   sync.Mutex
	next    id.Offset
	pending []Record
}

// New returns a keeper that has read nothing. Convictions older than ttl are not learnt.
func New(clock timer.Service, log Log, ttl time.Duration, metrics tally.Scope, learn func(id.Fingerprint, int)) *Keeper {
	return &Keeper{clock: clock, log: log, ttl: ttl, metrics: metrics, learn: learn}
}

// Run reads and appends until the context ends.
func (kp *Keeper) Run(ctx context.Context) error {
	kp.Read(ctx)
	read := timer.Every(kp.clock, readPeriod, func() { kp.Read(ctx) })
	appends := timer.Every(kp.clock, appendPeriod, func() { kp.flush(ctx) })
	<-ctx.Done()
	read.Stop()
	appends.Stop()
	return nil
}

// Add appends a conviction, now or when the log takes it.
func (kp *Keeper) Add(ctx context.Context, fp id.Fingerprint, crashes int) {
	if !quarantine.IsConvicted(crashes) {
		return
	}
	kp.mutex.Lock()
	kp.pending = append(kp.pending, Record{Fingerprint: fp, Crashes: crashes, At: kp.clock.Now()})
	kp.mutex.Unlock()
	kp.flush(ctx)
}

func (kp *Keeper) flush(ctx context.Context) {
	kp.mutex.Lock()
	pending := kp.pending
	kp.pending = nil
	kp.mutex.Unlock()
	for ix, rec := range pending {
		if kp.append(ctx, rec) {
			continue
		}
		kp.mutex.Lock()
		kp.pending = append(pending[ix:], kp.pending...)
		kp.mutex.Unlock()
		return
	}
}

func (kp *Keeper) append(ctx context.Context, rec Record) bool {
	body, err := json.Marshal(rec)
	if err != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kp.metrics.Counter("conviction_appends").Inc(1)
	return kp.log.Append(ctx, body)
}

// Read reads the stream to its end.
func (kp *Keeper) Read(ctx context.Context) {
	for kp.readSome(ctx) {
	}
}

// readSome takes one answer of the log and reports whether there may be more.
func (kp *Keeper) readSome(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kp.mutex.Lock()
	from := kp.next
	kp.mutex.Unlock()
	bodies, next, err := kp.log.Read(ctx, from)
	if err != nil {
		kp.metrics.Counter("conviction_log_failures").Inc(1)
		return false
	}
	for _, body := range bodies {
		var rec Record
		if json.Unmarshal(body, &rec) == nil && kp.clock.Now().Sub(rec.At) < kp.ttl {
			kp.learn(rec.Fingerprint, rec.Crashes)
		}
	}
	kp.mutex.Lock()
	defer kp.mutex.Unlock()
	kp.next = max(kp.next, next)
	return len(bodies) > 0
}
