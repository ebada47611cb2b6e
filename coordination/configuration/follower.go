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
	Next  id.Offset
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
		FleetPollPeriod:  100 * time.Millisecond,
		MaxPollPeriod:    30 * time.Second,
		CallTimeout:      2 * time.Second,
		CheckpointRecords:  1000,
		CheckpointPeriod: 6 * time.Hour,
	}
}

const (
	// maxRecent bounds the records kept for peers.
	maxRecent = 1000
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
	fold  *lists.Replica
	// synced says that the fold has reached the log's end, or the highest revision of its peers, once.
	synced bool
	reason string
	recent []Record
	// sinceCheckpoint counts the records read after the last checkpoint.
	sinceCheckpoint int
	checkpointAt    time.Time
	changed         chan struct{}
	reading         sync.Mutex
}

// New returns a follower that has read nothing.
func New(config Config, clock timer.Service, log Log, peers Peers, metrics tally.Scope, onChange func(id.Offset)) *Follower {
	return &Follower{
		config:   config,
		clock:    clock,
		log:      log,
		peers:    peers,
		metrics:  metrics,
		onChange: onChange,
		fold:     lists.NewReplica(),
		reason:   "the configuration has not been read yet",
		changed:  make(chan struct{}),
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
	return fw.reason
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
	return period/2 + jitter(period)
}

// jitter returns a random duration below span.
func jitter(span time.Duration) time.Duration {
	value, err := rand.Int(rand.Reader, big.NewInt(int64(span)))
	if err != nil {
		return span / 2
	}
	return time.Duration(value.Int64())
}

// Poll reads the log to its end, or asks the peers while the log is down and the host has no configuration.
func (fw *Follower) Poll(ctx context.Context) {
	fw.reading.Lock()
	defer fw.reading.Unlock()
	if err := fw.readLog(ctx); err != nil {
		fw.metrics.Counter("configuration_log_failures").Inc(1)
		if fw.NotReadyReason() != "" {
			fw.askPeers(ctx, err)
		}
		return
	}
	fw.checkpoint(ctx)
}

func (fw *Follower) readLog(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
		records, err := fw.log.Read(call, fw.next())
		cancel()
		if err != nil {
			return err
		}
		if fw.take(records) {
			return nil
		}
	}
}

func (fw *Follower) next() id.Offset {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	return fw.fold.NextOffset()
}

// take folds records of the log and reports whether its end is reached.
func (fw *Follower) take(records Batch) bool {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	before := fw.fold.Lists().Revision
	fw.fold.SetLogStart(records.OldestOffset)
	fw.add(records.Records)
	atEnd := fw.fold.NextOffset() >= records.Next || len(records.Records) == 0
	if atEnd {
		fw.synced = fw.synced || fw.fold.IsComplete()
		if !fw.fold.IsComplete() {
			fw.reason = "the log no longer has all edits and no checkpoint covers them"
		}
	}
	fw.announce(before)
	return atEnd
}

func (fw *Follower) add(records []Record) {
	for _, rec := range records {
		if rec.Offset < fw.fold.NextOffset() {
			continue
		}
		if rec.Offset != fw.fold.NextOffset() {
			fw.recent = nil
		}
		fw.fold.ApplyRecord(rec.Offset, rec.Body)
		fw.recent = append(fw.recent, rec)
		fw.sinceCheckpoint++
		if lists.IsCheckpoint(rec.Body) {
			fw.sinceCheckpoint = 0
			fw.checkpointAt = fw.clock.Now()
		}
	}
	if len(fw.recent) > maxRecent {
		fw.recent = append([]Record(nil), fw.recent[len(fw.recent)-maxRecent:]...)
	}
}

// announce tells others of a new revision.
func (fw *Follower) announce(before id.Offset) {
	close(fw.changed)
	fw.changed = make(chan struct{})
	if revision := fw.fold.Lists().Revision; revision != before {
		fw.metrics.Counter("configuration_changes").Inc(1)
		fw.onChange(revision)
	}
}

// askPeers takes the highest revision that any reachable peer has.
func (fw *Follower) askPeers(ctx context.Context, logError error) {
	others := fw.peers.OtherHosts()
	reached := 0
	for _, host := range others {
		if fw.SyncFrom(ctx, host) == nil {
			reached++
		}
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if reached > 0 && reached == len(others) && fw.fold.IsComplete() {
		fw.synced = true
		return
	}
	fw.reason = "the platform's log can't be read (" + logError.Error() + ") and not every other host has told its revision"
}

// SyncFrom takes what a peer has read beyond the own position.
func (fw *Follower) SyncFrom(ctx context.Context, host id.Host) error {
	ctx, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
	defer cancel()
	records, err := fw.peers.FetchBatch(ctx, host, fw.next())
	if err != nil {
		return err
	}
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	before := fw.fold.Lists().Revision
	if records.Checkpoint != nil {
		if err := fw.fold.Restore(*records.Checkpoint); err != nil {
			return err
		}
		fw.recent = nil
	} else {
		fw.fold.SetLogStart(records.OldestOffset)
	}
	fw.add(records.Records)
	fw.announce(before)
	return nil
}

// BatchFrom returns what this host has read from an offset on, for a peer.
func (fw *Follower) BatchFrom(from id.Offset) (Batch, error) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	if !fw.synced {
		return Batch{}, errors.New("the host has no configuration yet")
	}
	answer := Batch{OldestOffset: from, Next: fw.fold.NextOffset()}
	if from >= answer.Next {
		return answer, nil
	}
	if len(fw.recent) > 0 && fw.recent[0].Offset <= from {
		for _, rec := range fw.recent[from-fw.recent[0].Offset:] {
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

// checkpoint appends a checkpoint when enough records or time have passed since the last one.
// Hosts may do so at the same time; a late or repeated checkpoint changes nothing.
func (fw *Follower) checkpoint(ctx context.Context) {
	body, due := fw.checkpointDue()
	if !due {
		return
	}
	call, cancel := context.WithTimeout(ctx, fw.config.CallTimeout)
	defer cancel()
	fw.metrics.Counter("configuration_checkpoints").Inc(1)
	fw.log.Append(call, body)
}

func (fw *Follower) checkpointDue() ([]byte, bool) {
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	now := fw.clock.Now()
	if fw.checkpointAt.IsZero() {
		fw.checkpointAt = now
	}
	old := fw.fold.Lists().Revision != id.NoOffset && now.Sub(fw.checkpointAt) >= fw.config.CheckpointPeriod
	if !fw.fold.IsComplete() || fw.sinceCheckpoint < fw.config.CheckpointRecords && !old {
		return nil, false
	}
	fw.sinceCheckpoint = 0
	fw.checkpointAt = now
	cp := fw.fold.Checkpoint()
	body, err := lists.EncodeRecord(lists.Record{Checkpoint: &cp})
	return body, err == nil
}
