// Package lease decides, through the platform's log, which host may give orders to engines.
//
// A record names the record that it follows; the first record that follows the current one wins. A holder trusts its
// lease from the time when it sent its record; any other host waits for the lease's duration from the time when it
// first saw that record, which is later. Clocks need not agree, only run at nearly the same rate.
//
// A host that lacks records because of the log's retention does not know which record is current until it reads one
// that follows another one it has read. If none comes, it appends a reset, from which all hosts start over.
package lease

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Record is one record of the stream of leases.
type Record struct {
	Holder      id.Host
	Incarnation id.Incarnation
	// Follows is the offset of the record that was current when this one was made.
	Follows id.Offset
	// Token distinguishes the record from every other one.
	Token string
	// Reset ends any lease; the record names no holder.
	Reset bool `json:",omitempty"`
}

// EncodeRecord returns the bytes of a record as the log keeps them.
func EncodeRecord(rec Record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encode lease record")
	}
	return body, nil
}

// Config sets the durations of leases.
type Config struct {
	// Duration is how long a lease lasts without renewal.
	Duration time.Duration
	// ClockRateMargin covers differences between the rates of clocks; the holder stops that much earlier, others wait that much longer.
	ClockRateMargin time.Duration
	// RenewAfter is when the holder renews.
	RenewAfter time.Duration
}

// DefaultConfig returns the durations that hosts use.
func DefaultConfig() Config {
	return Config{Duration: 10 * time.Second, ClockRateMargin: time.Second, RenewAfter: 3 * time.Second}
}

// Lease is one host's view of the lease.
type Lease struct {
	config      Config
	host        id.Host
	incarnation id.Incarnation

	next id.Offset
	// certain says that the record in force is known; read holds the records read while it is not.
	certain bool
	read    map[id.Offset]bool
	// current is the record in force and at its offset; tenure is the offset of its holder's first record in a row.
	current Record
	at      id.Offset
	tenure  id.Offset
	// seen is when the record in force was first read.
	seen time.Time
	// sent holds when the own records were sent, by token, until they are read back.
	sent map[string]time.Time
	// trusted is when the own record in force was sent.
	trusted time.Time
	// claimed is when the last own record was made.
	claimed time.Time
}

// New returns a view that has read nothing.
func New(config Config, host id.Host, inc id.Incarnation, now time.Time) *Lease {
	return &Lease{
		config:      config,
		host:        host,
		incarnation: inc,
		at:          id.NoOffset,
		tenure:      id.NoOffset,
		certain:     true,
		seen:        now,
		sent:        map[string]time.Time{},
	}
}

// Next returns the offset of the next record to read.
func (ls *Lease) Next() id.Offset {
	return ls.next
}

// SetLogStart tells that the log keeps records from the given offset on.
func (ls *Lease) SetLogStart(now time.Time, offset id.Offset) {
	if offset <= ls.next {
		return
	}
	ls.next = offset
	ls.seen = now
	ls.certain = false
	ls.read = map[id.Offset]bool{}
}

// Add reads the record at an offset at the given time.
func (ls *Lease) Add(now time.Time, offset id.Offset, body []byte) {
	if offset < ls.next {
		return
	}
	ls.SetLogStart(now, offset)
	ls.next = offset + 1
	var rec Record
	if json.Unmarshal(body, &rec) != nil || rec.Holder == "" {
		return
	}
	if !ls.follows(now, offset, rec) {
		delete(ls.sent, rec.Token)
		return
	}
	ls.certain = true
	ls.read = nil
	if rec.Reset {
		ls.current = Record{}
		ls.tenure = id.NoOffset
	} else {
		ls.take(offset, rec)
	}
	ls.at = offset
	ls.seen = now
	delete(ls.sent, rec.Token)
}

// follows reports whether a record comes into force.
func (ls *Lease) follows(now time.Time, offset id.Offset, rec Record) bool {
	if rec.Reset {
		return true
	}
	if ls.certain {
		return rec.Follows == ls.at
	}
	linked := ls.read[rec.Follows]
	ls.read[offset] = true
	ls.seen = now
	return linked
}

func (ls *Lease) take(offset id.Offset, rec Record) {
	if rec.Holder != ls.current.Holder || rec.Incarnation != ls.current.Incarnation {
		ls.tenure = offset
	}
	ls.current = rec
	if sent, own := ls.sent[rec.Token]; own {
		ls.trusted = sent
	}
}

func (ls *Lease) mine() bool {
	return ls.certain && ls.at >= 0 && ls.current.Holder == ls.host && ls.current.Incarnation == ls.incarnation
}

// ShouldClaim reports whether the host is to append a record now: to renew its lease, or to take one that has run out.
func (ls *Lease) ShouldClaim(now time.Time) bool {
	if ls.mine() {
		return now.Sub(ls.trusted) >= ls.config.RenewAfter && now.Sub(ls.claimed) >= ls.config.RenewAfter
	}
	wait := ls.config.Duration + ls.config.ClockRateMargin
	return now.Sub(ls.seen) >= wait && now.Sub(ls.claimed) >= ls.config.RenewAfter
}

// Claim returns the record to append, which is sent at the given time. The token must be new.
func (ls *Lease) Claim(now time.Time, token string) Record {
	ls.sent[token] = now
	ls.claimed = now
	return Record{Holder: ls.host, Incarnation: ls.incarnation, Follows: ls.at, Token: token, Reset: !ls.certain}
}

// FencingToken returns the fencing token of the own lease, or false if the host holds none at the given time.
// It must be asked just before each order.
func (ls *Lease) FencingToken(now time.Time) (id.Offset, bool) {
	if !ls.mine() || ls.trusted.IsZero() || now.Sub(ls.trusted) >= ls.config.Duration-ls.config.ClockRateMargin {
		return id.NoOffset, false
	}
	return ls.tenure, true
}

// Holder returns the host of the record in force.
func (ls *Lease) Holder() id.Host {
	return ls.current.Holder
}
