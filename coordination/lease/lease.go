// Package lease decides through the platform's log which host may give orders to engines. It is pure: it reads no clock
// and does no I/O.
//
// Hosts append records to a stream of the log. Each record states the offset of the record that it follows. The first
// record that follows the current record becomes the current record, and its host holds the lease. The holder counts
// the lease's duration from the time when it sent its record; other hosts count it from the time when they first read
// that record, which is later. So the hosts' clocks need not show the same time, but must run at nearly the same rate.
//
// A host that lacks records because the log no longer retains them does not know which record is current until it reads
// a record that follows another record that it has read. If it reads no record for Duration plus ClockRateMargin, it
// appends a reset, which ends any lease, so that all hosts agree on the current record again.
package lease

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Record is a record of the stream of leases. It takes or renews the lease for its holder.
type Record struct {
	Holder      id.Host
	Incarnation id.Incarnation
	// Follows is the offset of the record that was current when this one was made; NoOffset if there was none.
	Follows id.Offset
	// Token distinguishes the record from all others, so that its host recognizes it when it is read back.
	Token string
	// Reset ends any lease and takes none. Holder then names only the host that appended the record.
	Reset bool `json:",omitempty"`
}

// EncodeRecord returns the JSON form in which the log stores a record.
func EncodeRecord(record Record) ([]byte, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode lease record")
	}
	return body, nil
}

// Config sets the durations of a lease. All hosts must use the same.
type Config struct {
	// Duration is how long a lease lasts unless it is renewed.
	Duration time.Duration
	// ClockRateMargin allows for clocks that run at different rates. The holder stops using the lease that much before
	// its end, and other hosts wait that much longer.
	ClockRateMargin time.Duration
	// RenewAfter is the age at which the holder renews its lease. It is also the minimum time between two records that
	// a host appends.
	RenewAfter time.Duration
}

// DefaultConfig returns the configuration that hosts use.
func DefaultConfig() Config {
	return Config{Duration: 10 * time.Second, ClockRateMargin: time.Second, RenewAfter: 3 * time.Second}
}

// Lease is one host's view of the lease, derived from the records that the host has read. It is not safe for concurrent
// use.
type Lease struct {
	config      Config
	host        id.Host
	incarnation id.Incarnation

	// nextOffset is the offset of the next record to read.
	nextOffset id.Offset
	// currentKnown says whether the current record is known. It is unknown after a gap in the records that were read.
	currentKnown bool
	// offsetsSinceGap holds the offsets of the records read since the gap, while the current record is not known.
	offsetsSinceGap map[id.Offset]bool
	// currentRecord is the current record and currentOffset its offset.
	currentRecord Record
	currentOffset id.Offset
	// tenureStart is the offset of the first record in the unbroken series of records by which the holder has held the
	// lease. It is the fencing token.
	tenureStart id.Offset
	// expiryWaitStart is the time from which this host waits for the lease of another host to expire: when it first read
	// the current record or, while that is not known, when it read the last record or found the gap.
	expiryWaitStart time.Time
	// sentAt holds the times at which the local host's records were sent, by token, until they are read back.
	sentAt map[string]time.Time
	// validFrom is when the local host sent its latest record that has become current. The lease of the local host
	// lasts for Duration from then.
	validFrom time.Time
	// lastClaimAt is when the local host made its last record.
	lastClaimAt time.Time
}

// New returns the view of a host that has read no record. Such a host waits before its first claim, because there may
// be a lease that it does not know of.
func New(config Config, host id.Host, incarnation id.Incarnation, now time.Time) *Lease {
	return &Lease{
		config:          config,
		host:            host,
		incarnation:     incarnation,
		currentOffset:   id.NoOffset,
		tenureStart:     id.NoOffset,
		currentKnown:    true,
		expiryWaitStart: now,
		sentAt:          map[string]time.Time{},
	}
}

// NextOffset returns the offset of the next record to read.
func (ls *Lease) NextOffset() id.Offset {
	return ls.nextOffset
}

// SetLogStart sets the offset of the oldest record that the log retains. If that leaves a gap after the records that
// were read, the current record becomes unknown.
func (ls *Lease) SetLogStart(now time.Time, logStart id.Offset) {
	if logStart <= ls.nextOffset {
		return
	}
	ls.nextOffset = logStart
	ls.expiryWaitStart = now
	ls.currentKnown = false
	ls.offsetsSinceGap = map[id.Offset]bool{}
}

// ApplyRecord applies the record at an offset, which was read at the given time. It ignores a record that it has
// already read. Records must be applied in the order of their offsets; a gap before the offset makes the current record
// unknown.
func (ls *Lease) ApplyRecord(now time.Time, offset id.Offset, body []byte) {
	if offset < ls.nextOffset {
		return
	}
	ls.SetLogStart(now, offset)
	ls.nextOffset = offset + 1
	var record Record
	if json.Unmarshal(body, &record) != nil || record.Holder == "" {
		return
	}
	if !ls.becomesCurrent(now, offset, record) {
		delete(ls.sentAt, record.Token)
		return
	}
	ls.currentKnown = true
	ls.offsetsSinceGap = nil
	if record.Reset {
		ls.currentRecord = Record{}
		ls.tenureStart = id.NoOffset
	} else {
		ls.makeCurrent(offset, record)
	}
	ls.currentOffset = offset
	ls.expiryWaitStart = now
	delete(ls.sentAt, record.Token)
}

// becomesCurrent reports whether a record becomes the current one: a reset always does, another record if it follows
// the current one. While the current record is unknown, a record does if it follows any record read since the gap; each
// record that is read then restarts the wait for the expiry of an unknown lease.
func (ls *Lease) becomesCurrent(now time.Time, offset id.Offset, record Record) bool {
	if record.Reset {
		return true
	}
	if ls.currentKnown {
		return record.Follows == ls.currentOffset
	}
	followsReadRecord := ls.offsetsSinceGap[record.Follows]
	ls.offsetsSinceGap[offset] = true
	ls.expiryWaitStart = now
	return followsReadRecord
}

// makeCurrent makes a record that is not a reset the current one. A new tenure starts if the holder or its incarnation
// differs from that of the previous current record.
func (ls *Lease) makeCurrent(offset id.Offset, record Record) {
	if record.Holder != ls.currentRecord.Holder || record.Incarnation != ls.currentRecord.Incarnation {
		ls.tenureStart = offset
	}
	ls.currentRecord = record
	if sentAt, sentByLocalHost := ls.sentAt[record.Token]; sentByLocalHost {
		ls.validFrom = sentAt
	}
}

// holdsCurrent reports whether the current record is known and belongs to the local host's incarnation. The lease may
// have expired nevertheless.
func (ls *Lease) holdsCurrent() bool {
	return ls.currentKnown && ls.currentOffset >= 0 && ls.currentRecord.Holder == ls.host && ls.currentRecord.Incarnation == ls.incarnation
}

// ShouldClaim reports whether the host should append a record now, either to renew its lease or to take one that has
// expired.
func (ls *Lease) ShouldClaim(now time.Time) bool {
	if ls.holdsCurrent() {
		return now.Sub(ls.validFrom) >= ls.config.RenewAfter && now.Sub(ls.lastClaimAt) >= ls.config.RenewAfter
	}
	expiryWait := ls.config.Duration + ls.config.ClockRateMargin
	return now.Sub(ls.expiryWaitStart) >= expiryWait && now.Sub(ls.lastClaimAt) >= ls.config.RenewAfter
}

// Claim returns the record to append. It must be sent at or after the given time. The token must be unique. The record
// is a reset if the current record is unknown.
func (ls *Lease) Claim(now time.Time, token string) Record {
	ls.sentAt[token] = now
	ls.lastClaimAt = now
	return Record{Holder: ls.host, Incarnation: ls.incarnation, Follows: ls.currentOffset, Token: token, Reset: !ls.currentKnown}
}

// FencingToken returns the fencing token of the local host's lease, or false if the host does not hold the lease at the
// given time. It must be called just before each order, because the lease may expire at any time. Later holders have
// higher tokens, so that engines can reject the orders of earlier ones.
func (ls *Lease) FencingToken(now time.Time) (id.Offset, bool) {
	if !ls.holdsCurrent() || ls.validFrom.IsZero() || now.Sub(ls.validFrom) >= ls.config.Duration-ls.config.ClockRateMargin {
		return id.NoOffset, false
	}
	return ls.tenureStart, true
}

// Holder returns the host of the current record, whose lease may have expired. It is empty after a reset and before the
// first record.
func (ls *Lease) Holder() id.Host {
	return ls.currentRecord.Holder
}
