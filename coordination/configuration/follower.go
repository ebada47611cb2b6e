// Package configuration keeps a host's copy of the two operator-edited lists, organisations and plans, up to date, and
// publishes edits to them. Edits are records of the configuration stream of the platform's log. All hosts apply the
// same records in the same order.
package configuration

import (
	"context"
	"crypto/rand"
	"math/big"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/state/lists"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Batch holds records of the configuration stream, as the log or another host returns them.
type Batch struct {
	// FirstOffset is the offset before which records may be missing: the oldest offset that the log retains or, in a batch
	// from another host, the requested offset. Next is the offset of the next record to be appended.
	FirstOffset id.Offset
	Next        id.Offset
	// Records are consecutive, in the order of offsets.
	Records []Record
	// Checkpoint is set instead of Records if another host no longer has the requested records. It replaces all records
	// before Next.
	Checkpoint *lists.Checkpoint
}

// Record is an encoded record and its offset.
type Record struct {
	Offset id.Offset
	Body   []byte
}

// Log accesses the configuration stream of the platform's log.
type Log interface {
	// Append appends a record. It does not report whether that succeeded; only reading the log shows it.
	Append(ctx context.Context, body []byte)
	// Read returns the records at the offset from and later. It may return only some of them; Batch.Next shows whether
	// there are more.
	Read(ctx context.Context, from id.Offset) (Batch, error)
}

// Peers calls the other hosts of the fleet.
type Peers interface {
	// OtherHosts returns the other hosts except dead ones.
	OtherHosts() []id.Host
	// FetchBatch returns the records at the offset from and later that a host has read.
	FetchBatch(ctx context.Context, host id.Host, from id.Offset) (Batch, error)
}

// Config sets the timing of a follower.
type Config struct {
	// FleetPollPeriod is the average time between two polls of the log by any host of the fleet.
	FleetPollPeriod time.Duration
	// MaxPollPeriod limits the average time between two polls by one host.
	MaxPollPeriod time.Duration
	// CallTimeout limits each call to the log or to another host.
	CallTimeout time.Duration
	// CheckpointRecords is the number of records after which a checkpoint is appended.
	CheckpointRecords int
	// CheckpointPeriod is the longest time between two checkpoints. It must be shorter than the retention of the log, so
	// that a new host always finds a checkpoint.
	CheckpointPeriod time.Duration
}

// DefaultConfig returns the timing that hosts use unless the settings say otherwise.
func DefaultConfig() Config {
	return Config{
		FleetPollPeriod:   100 * time.Millisecond,
		MaxPollPeriod:     30 * time.Second,
		CallTimeout:       2 * time.Second,
		CheckpointRecords: 1000,
		CheckpointPeriod:  6 * time.Hour,
	}
}

const (
	// maxRecentRecords limits the records that are retained for other hosts.
	maxRecentRecords = 1000
	// minPollPeriod is the shortest average time between two polls by one host. It applies in a small fleet and while the
	// host is not ready.
	minPollPeriod = 500 * time.Millisecond
)

// Follower keeps the local copy of the lists up to date with the records of the configuration stream, which it reads
// from the log or from other hosts. It also appends edits and checkpoints. Its methods may be called concurrently.
type Follower struct {
	config  Config
	clock   timer.Clock
	log     Log
	peers   Peers
	metrics tally.Scope
	// onChange is called with the lists after each change. The lock is held during the call.
	onChange func(*lists.Lists)

	// mutex guards the fields below except readMutex.
	mutex   sync.Mutex
	replica *lists.Replica
	// synced is set once replica has reached the end of the log, or the highest revision of all other hosts. Then
	// notReadyReason no longer counts.
	synced         bool
	notReadyReason string
	// recentRecords are the last records read, without gaps, for other hosts that request them.
	recentRecords []Record
	// recordsSinceCheckpoint counts the records read after the last checkpoint. lastCheckpointAt is when that one was read
	// or appended, or when the follower first checked whether one is due.
	recordsSinceCheckpoint int
	lastCheckpointAt       time.Time
	// changeSignal is closed and replaced whenever records were read from the log or another host. Nothing in this package
	// waits for it.
	changeSignal chan struct{}
	// readMutex is held while the log is read to its end, so that one goroutine reads at a time. It is locked before
	// mutex.
	readMutex sync.Mutex
}

// New returns a follower that has read no records yet.
func New(config Config, clock timer.Clock, log Log, peers Peers, metrics tally.Scope, onChange func(*lists.Lists)) *Follower {
	return &Follower{
		config:         config,
		clock:          clock,
		log:            log,
		peers:          peers,
		metrics:        metrics,
		onChange:       onChange,
		replica:        lists.NewReplica(),
		notReadyReason: "the configuration has not been read yet",
		changeSignal:   make(chan struct{}),
	}
}

// Lists returns the current lists. It returns false if newer revisions may exist because the follower has not caught up
// yet.
func (fw *Follower) Lists() (*lists.Lists, bool) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.replica.Lists(), fw.synced
}

// NotReadyReason returns why the lists must not be used yet, or "" if they may be used.
func (fw *Follower) NotReadyReason() string {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if fw.synced {
		return ""
	}
	return fw.notReadyReason
}

// History returns the latest verdicts on edits, oldest first.
func (fw *Follower) History() []lists.Verdict {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return append([]lists.Verdict(nil), fw.replica.History()...)
}

// Run polls the log until the context is canceled. It always returns nil.
func (fw *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		fw.Poll(ctx)
		timer.Sleep(ctx, fw.clock, fw.pollPeriod())
	}
	return nil
}

// pollPeriod returns a random time until the next poll. Its average grows with the number of hosts, so that the fleet
// as a whole polls at a constant rate.
func (fw *Follower) pollPeriod() time.Duration {
	hosts := len(fw.peers.OtherHosts()) + 1
	period := time.Duration(hosts) * fw.config.FleetPollPeriod
	if fw.NotReadyReason() != "" {
		period = minPollPeriod
	}
	period = min(max(period, minPollPeriod), fw.config.MaxPollPeriod)
	return period/2 + randomBelow(period)
}

// randomBelow returns a random duration below limit, or half of limit if the random source fails.
func randomBelow(limit time.Duration) time.Duration {
	value, err := rand.Int(rand.Reader, big.NewInt(int64(limit)))
	if err != nil {
		return limit / 2
	}
	return time.Duration(value.Int64())
}

// Poll reads the log to its end and appends a checkpoint if one is due. If the log is unavailable and the host has no
// configuration yet, it requests one from the other hosts.
func (fw *Follower) Poll(ctx context.Context) {
	fw.readMutex.Lock()
	defer fw.readMutex.Unlock()
	if err := fw.readLogToEnd(ctx); err != nil {
		fw.metrics.Counter("configuration_log_failures").Inc(1)
		if fw.NotReadyReason() != "" {
			fw.syncFromPeers(ctx, err)
		}
		return
	}
	fw.appendCheckpoint(ctx)
}

// readLogToEnd reads and applies the records of the log that the follower lacks. The caller holds readMutex.
func (fw *Follower) readLogToEnd(ctx context.Context) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
		batch, err := fw.log.Read(callCtx, fw.nextOffset())
		cancel()
		if err != nil {
			return err
		}
		if fw.applyLogBatch(batch) {
			return nil
		}
	}
}

func (fw *Follower) nextOffset() id.Offset {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.replica.NextOffset()
}

// applyLogBatch applies records of the log and reports whether its end is reached.
func (fw *Follower) applyLogBatch(batch Batch) bool {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	previousRevision := fw.replica.Lists().Revision
	fw.replica.SetLogStart(batch.FirstOffset)
	fw.addRecords(batch.Records)
	atEnd := fw.replica.NextOffset() >= batch.Next || len(batch.Records) == 0
	if atEnd {
		fw.synced = fw.synced || fw.replica.IsComplete()
		if !fw.replica.IsComplete() {
			fw.notReadyReason = "the log no longer has all edits and no checkpoint covers them"
		}
	}
	fw.notifyChange(previousRevision)
	return atEnd
}

// addRecords applies records and retains them for other hosts. It ignores records that were applied before. The caller
// holds the lock.
func (fw *Follower) addRecords(records []Record) {
	for _, rec := range records {
		if rec.Offset < fw.replica.NextOffset() {
			continue
		}
		if rec.Offset != fw.replica.NextOffset() {
			fw.recentRecords = nil
		}
		fw.replica.ApplyRecord(rec.Offset, rec.Body)
		fw.recentRecords = append(fw.recentRecords, rec)
		fw.recordsSinceCheckpoint++
		if lists.IsCheckpoint(rec.Body) {
			fw.recordsSinceCheckpoint = 0
			fw.lastCheckpointAt = fw.clock.Now()
		}
	}
	if len(fw.recentRecords) > maxRecentRecords {
		fw.recentRecords = append([]Record(nil), fw.recentRecords[len(fw.recentRecords)-maxRecentRecords:]...)
	}
}

// notifyChange closes and replaces changeSignal, and calls onChange if the revision differs from previousRevision. The
// caller holds the lock.
func (fw *Follower) notifyChange(previousRevision id.Offset) {
	close(fw.changeSignal)
	fw.changeSignal = make(chan struct{})
	if current := fw.replica.Lists(); current.Revision != previousRevision {
		fw.metrics.Counter("configuration_changes").Inc(1)
		fw.onChange(current)
	}
}

// syncFromPeers requests records from all other hosts. The lists become ready only if each of them answered: one that
// did not could have a higher revision.
func (fw *Follower) syncFromPeers(ctx context.Context, logError error) {
	others := fw.peers.OtherHosts()
	answered := 0
	for _, host := range others {
		if fw.SyncFrom(ctx, host) == nil {
			answered++
		}
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if answered > 0 && answered == len(others) && fw.replica.IsComplete() {
		fw.synced = true
		return
	}
	fw.notReadyReason = "the platform's log can't be read (" + logError.Error() + ") and not every other host has told its revision"
}

// SyncFrom requests from another host the records that the follower lacks, and applies them.
func (fw *Follower) SyncFrom(ctx context.Context, host id.Host) error {
	ctx, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
	defer cancel()
	batch, err := fw.peers.FetchBatch(ctx, host, fw.nextOffset())
	if err != nil {
		return err
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	previousRevision := fw.replica.Lists().Revision
	if batch.Checkpoint != nil {
		if err := fw.replica.Restore(*batch.Checkpoint); err != nil {
			return err
		}
		fw.recentRecords = nil
	} else {
		fw.replica.SetLogStart(batch.FirstOffset)
	}
	fw.addRecords(batch.Records)
	fw.notifyChange(previousRevision)
	return nil
}

// BatchFrom returns the records at the offset from and later, for another host, or a checkpoint if they are no longer
// retained. It returns an error if the local lists are not ready.
func (fw *Follower) BatchFrom(from id.Offset) (Batch, error) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if !fw.synced {
		return Batch{}, errors.New("the host has no configuration yet")
	}
	batch := Batch{FirstOffset: from, Next: fw.replica.NextOffset()}
	if from >= batch.Next {
		return batch, nil
	}
	if len(fw.recentRecords) > 0 && fw.recentRecords[0].Offset <= from {
		for _, rec := range fw.recentRecords[from-fw.recentRecords[0].Offset:] {
			batch.Records = append(batch.Records, withoutCheckpoint(rec))
		}
		return batch, nil
	}
	checkpoint := fw.replica.Checkpoint()
	batch.Checkpoint = &checkpoint
	return batch, nil
}

// withoutCheckpoint returns the record, emptied if it is a checkpoint. A receiver that gets all records has no use for
// the content of a checkpoint.
func withoutCheckpoint(rec Record) Record {
	if lists.IsCheckpoint(rec.Body) {
		rec.Body = []byte("{}")
	}
	return rec
}

// appendCheckpoint appends a checkpoint if enough records or time have passed since the last one. Several hosts may do
// so at the same time; a late or repeated checkpoint changes nothing.
func (fw *Follower) appendCheckpoint(ctx context.Context) {
	body, due := fw.takeDueCheckpoint()
	if !due {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
	defer cancel()
	fw.metrics.Counter("configuration_checkpoints").Inc(1)
	fw.log.Append(callCtx, body)
}

// takeDueCheckpoint returns an encoded checkpoint if one is due, and resets the count of records and the time since the
// last one.
func (fw *Follower) takeDueCheckpoint() ([]byte, bool) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	now := fw.clock.Now()
	if fw.lastCheckpointAt.IsZero() {
		fw.lastCheckpointAt = now
	}
	checkpointTooOld := fw.replica.Lists().Revision != id.NoOffset && now.Sub(fw.lastCheckpointAt) >= fw.config.CheckpointPeriod
	if !fw.replica.IsComplete() || fw.recordsSinceCheckpoint < fw.config.CheckpointRecords && !checkpointTooOld {
		return nil, false
	}
	fw.recordsSinceCheckpoint = 0
	fw.lastCheckpointAt = now
	checkpoint := fw.replica.Checkpoint()
	body, err := lists.EncodeRecord(lists.Record{Checkpoint: &checkpoint})
	return body, err == nil
}
