// Package configuration keeps a host's copy of the two lists up to date and publishes edits.
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

// Batch are records of the configuration stream.
type Batch struct {
	// OldestOffset is the oldest offset kept, Next the offset of the next append.
	OldestOffset id.Offset
	Next         id.Offset
	// Records are in order and without gaps.
	Records []Record
	// Checkpoint stands for all records before Next, when a peer no longer has them.
	Checkpoint *lists.Checkpoint
}

// Record is one record with its offset.
type Record struct {
	Offset id.Offset
	Body   []byte
}

// Log is the configuration stream of the platform's log.
type Log interface {
	// Append adds a record; only reading the log tells whether it was stored.
	Append(ctx context.Context, body []byte)
	// Read returns records from an offset on.
	Read(ctx context.Context, from id.Offset) (Batch, error)
}

// Peers reaches the other hosts.
type Peers interface {
	// OtherHosts returns the other hosts that are not dead.
	OtherHosts() []id.Host
	// FetchBatch returns what a host has read of the stream from an offset on.
	FetchBatch(ctx context.Context, host id.Host, from id.Offset) (Batch, error)
}

// Config sets the periods of a follower.
type Config struct {
	// FleetPollPeriod is the time between polls of the log by all hosts together.
	FleetPollPeriod time.Duration
	// MaxPollPeriod bounds the time between polls by one host.
	MaxPollPeriod time.Duration
	// CallTimeout bounds one call.
	CallTimeout time.Duration
	// CheckpointRecords is the number of records after which a checkpoint is appended.
	CheckpointRecords int
	// CheckpointPeriod is the longest time between checkpoints while the log is kept for a limited time.
	CheckpointPeriod time.Duration
}

// DefaultConfig returns the periods that hosts use.
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
	// maxRecentRecords bounds the records kept for peers.
	maxRecentRecords = 1000
	// minPollPeriod bounds the polls of one host in a small fleet.
	minPollPeriod = 500 * time.Millisecond
)

// Follower follows the configuration stream.
type Follower struct {
	config  Config
	clock   timer.Service
	log     Log
	peers   Peers
	metrics tally.Scope
	// onChange is called with the new revision.
	onChange func(id.Offset)

	mutex sync.Mutex
	fold  *lists.Fold
	// synced says that the fold has reached the log's end, or the highest revision of its peers, once.
	synced         bool
	notReadyReason string
	recentRecords  []Record
	// recordsSinceCheckpoint counts the records read after the last checkpoint.
	recordsSinceCheckpoint int
	lastCheckpointAt       time.Time
	changeSignal           chan struct{}
	readMutex              sync.Mutex
}

// New returns a follower that has read nothing.
func New(config Config, clock timer.Service, log Log, peers Peers, metrics tally.Scope, onChange func(id.Offset)) *Follower {
	return &Follower{
		config:         config,
		clock:          clock,
		log:            log,
		peers:          peers,
		metrics:        metrics,
		onChange:       onChange,
		fold:           lists.NewFold(),
		notReadyReason: "the configuration has not been read yet",
		changeSignal:   make(chan struct{}),
	}
}

// Lists returns the lists in force, and false while the host can't know the newest revision.
func (fw *Follower) Lists() (*lists.Lists, bool) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.fold.Lists(), fw.synced
}

// NotReadyReason returns why the lists are not to be used, or "".
func (fw *Follower) NotReadyReason() string {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if fw.synced {
		return ""
	}
	return fw.notReadyReason
}

// History returns the latest verdicts on edits.
func (fw *Follower) History() []lists.Verdict {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return append([]lists.Verdict(nil), fw.fold.History()...)
}

// Run polls the log until the context ends. The more hosts there are, the less often each one polls.
func (fw *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		fw.Poll(ctx)
		timer.Sleep(ctx, fw.clock, fw.pollPeriod())
	}
	return nil
}

func (fw *Follower) pollPeriod() time.Duration {
	hosts := len(fw.peers.OtherHosts()) + 1
	period := time.Duration(hosts) * fw.config.FleetPollPeriod
	if fw.NotReadyReason() != "" {
		period = minPollPeriod
	}
	period = min(max(period, minPollPeriod), fw.config.MaxPollPeriod)
	return period/2 + randomBelow(period)
}

// randomBelow returns a random duration below span.
func randomBelow(limit time.Duration) time.Duration {
	value, err := rand.Int(rand.Reader, big.NewInt(int64(limit)))
	if err != nil {
		return limit / 2
	}
	return time.Duration(value.Int64())
}

// Poll reads the log to its end, or asks the peers while the log is down and the host has no configuration.
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
	return fw.fold.Next()
}

// applyLogBatch folds records of the log and reports whether its end is reached.
func (fw *Follower) applyLogBatch(batch Batch) bool {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	previousRevision := fw.fold.Lists().Revision
	fw.fold.Start(batch.OldestOffset)
	fw.addRecords(batch.Records)
	atEnd := fw.fold.Next() >= batch.Next || len(batch.Records) == 0
	if atEnd {
		fw.synced = fw.synced || fw.fold.Known()
		if !fw.fold.Known() {
			fw.notReadyReason = "the log no longer has all edits and no checkpoint covers them"
		}
	}
	fw.notifyChange(previousRevision)
	return atEnd
}

func (fw *Follower) addRecords(records []Record) {
	for _, rec := range records {
		if rec.Offset < fw.fold.Next() {
			continue
		}
		if rec.Offset != fw.fold.Next() {
			fw.recentRecords = nil
		}
		fw.fold.Add(rec.Offset, rec.Body)
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

// notifyChange tells others of a new revision.
func (fw *Follower) notifyChange(previousRevision id.Offset) {
	close(fw.changeSignal)
	fw.changeSignal = make(chan struct{})
	if revision := fw.fold.Lists().Revision; revision != previousRevision {
		fw.metrics.Counter("configuration_changes").Inc(1)
		fw.onChange(revision)
	}
}

// syncFromPeers takes the highest revision that any reachable peer has.
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
	if answered > 0 && answered == len(others) && fw.fold.Known() {
		fw.synced = true
		return
	}
	fw.notReadyReason = "the platform's log can't be read (" + logError.Error() + ") and not every other host has told its revision"
}

// SyncFrom takes what a peer has read beyond the own position.
func (fw *Follower) SyncFrom(ctx context.Context, host id.Host) error {
	ctx, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
	defer cancel()
	batch, err := fw.peers.FetchBatch(ctx, host, fw.nextOffset())
	if err != nil {
		return err
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	previousRevision := fw.fold.Lists().Revision
	if batch.Checkpoint != nil {
		if err := fw.fold.Restore(*batch.Checkpoint); err != nil {
			return err
		}
		fw.recentRecords = nil
	} else {
		fw.fold.Start(batch.OldestOffset)
	}
	fw.addRecords(batch.Records)
	fw.notifyChange(previousRevision)
	return nil
}

// BatchFrom returns what this host has read from an offset on, for a peer.
func (fw *Follower) BatchFrom(from id.Offset) (Batch, error) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if !fw.synced {
		return Batch{}, errors.New("the host has no configuration yet")
	}
	answer := Batch{OldestOffset: from, Next: fw.fold.Next()}
	if from >= answer.Next {
		return answer, nil
	}
	if len(fw.recentRecords) > 0 && fw.recentRecords[0].Offset <= from {
		for _, rec := range fw.recentRecords[from-fw.recentRecords[0].Offset:] {
			answer.Records = append(answer.Records, withoutCheckpoint(rec))
		}
		return answer, nil
	}
	cp := fw.fold.Checkpoint()
	answer.Checkpoint = &cp
	return answer, nil
}

// withoutCheckpoint returns a record without the content of a checkpoint, which a reader of all records does not need.
func withoutCheckpoint(rec Record) Record {
	if lists.IsCheckpoint(rec.Body) {
		rec.Body = []byte("{}")
	}
	return rec
}

// appendCheckpoint appends a checkpoint when enough records or time have passed since the last one.
// Hosts may do so at the same time; a late or repeated checkpoint changes nothing.
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

func (fw *Follower) takeDueCheckpoint() ([]byte, bool) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	now := fw.clock.Now()
	if fw.lastCheckpointAt.IsZero() {
		fw.lastCheckpointAt = now
	}
	checkpointTooOld := fw.fold.Lists().Revision != id.NoOffset && now.Sub(fw.lastCheckpointAt) >= fw.config.CheckpointPeriod
	if !fw.fold.Known() || fw.recordsSinceCheckpoint < fw.config.CheckpointRecords && !checkpointTooOld {
		return nil, false
	}
	fw.recordsSinceCheckpoint = 0
	fw.lastCheckpointAt = now
	cp := fw.fold.Checkpoint()
	body, err := lists.EncodeRecord(lists.Record{Checkpoint: &cp})
	return body, err == nil
}
