// Package membership tracks which entry hosts are alive by random probes with piggybacked changes.
// The machine is pure: it reads no clock, starts no goroutine and does no I/O.
package membership

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Status says what is known of a host.
type Status uint32

// Statuses, in the order in which they override each other at the same sequence number.
const (
	Alive Status = iota + 1
	// Leaving hosts finish what they run and take nothing new.
	Leaving
	// Suspect hosts did not answer a probe.
	Suspect
	// Dead hosts have left or did not refute the suspicion.
	Dead
)

// String returns the status in lower-case letters.
func (st Status) String() string {
	switch st {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Member is what one host says or what others say of it.
type Member struct {
	Host        id.Host
	Incarnation id.Incarnation
	Status      Status
	// Sequence is raised by the host itself when it refutes a suspicion or starts to leave.
	Sequence         uint32
	PeerAddress      string
	CallerAddress    string
	AvailabilityZone id.AvailabilityZone
	// ProcessorShare is the part of a core that the host may use, in thousandths; 0 if it does not say.
	ProcessorShare uint32
}

// overrides reports whether a statement replaces an older one about the same host.
func (mb Member) overrides(old Member) bool {
	if mb.Incarnation != old.Incarnation {
		return mb.Incarnation > old.Incarnation
	}
	if mb.Sequence != old.Sequence {
		return mb.Sequence > old.Sequence
	}
	return mb.Status > old.Status
}

// Fact is a number that all hosts learn. The highest value for a kind, key and detail wins.
type Fact struct {
	Kind FactKind
	Key  uint64
	// Detail is the second part of the key; zero where there is none.
	Detail uint64
	Value  int64
}

// FactKind names a table of facts.
type FactKind uint32

// Kinds of facts.
const (
	// CrashFact holds by a request's fingerprint and, in detail, a server's crash what is known of the crash.
	CrashFact FactKind = iota + 1
	// DepartureFact holds by a backend server's hashed id when the process started that said it is leaving, in Unix
	// milliseconds.
	DepartureFact
)

type factID struct {
	kind   FactKind
	key    uint64
	detail uint64
}

// with returns the fact with a value.
func (fi factID) with(value int64) Fact {
	return Fact{Kind: fi.kind, Key: fi.key, Detail: fi.detail, Value: value}
}

// Message is what two members exchange.
type Message struct {
	From    id.Host
	Updates []Member
	// Revision is the sender's revision of the configuration.
	Revision id.Offset
	Facts    []Fact
	// ProbeTarget names a member that the receiver is to probe for the sender.
	ProbeTarget id.Host
	// Joining asks for everything that the receiver knows.
	Joining bool
	// ListFreshness says how new the sender's copies of the list of backend servers are.
	ListFreshness ListFreshness
	// FullState says that the message holds everything that its sender knows; it is not passed on.
	FullState bool
}

// ListFreshness says how new a host's copy of the list of backend servers is.
type ListFreshness struct {
	// UnchangedFrom and Next bound the newest offsets of the list that brought no change; id.NoOffset if none is known.
	UnchangedFrom id.Offset
	NextOffset  id.Offset
	// Age is the time since the copy was known to be up to date.
	Age time.Duration
}

// Event is an input of the machine.
type Event interface{ event() }

// Tick lets time pass; it is to come at least every probe period.
type Tick struct{}

// Received carries a message of another member. Its answer is made by Answer.
type Received struct{ Message Message }

// ProbeEnded reports the result of a probe.
type ProbeEnded struct {
	// Target is the member probed and Via the member that was asked to probe it, if any.
	Target id.Host
	Via    id.Host
	// Reached says that the target answered.
	Reached bool
	// Answer is the message that came back.
	Answer Message
}

// PushFacts has facts passed on to some random members.
type PushFacts struct{}

// ConnectionRefused reports that a connection to a host was refused.
type ConnectionRefused struct{ Host id.Host }

// Leave makes the own host leave.
type Leave struct{}

func (Tick) event()       {}
func (Received) event()   {}
func (PushFacts) event()      {}
func (ProbeEnded) event() {}
func (ConnectionRefused) event()   {}
func (Leave) event()      {}

// EffectKind distinguishes effects.
type EffectKind int

// Kinds of effects.
const (
	// SendProbe sends a message to a member, directly or through another one.
	SendProbe EffectKind = iota + 1
	// MemberChanged says that a member's status or description changed.
	MemberChanged
	// FactLearned says that a fact is new.
	FactLearned
	// NewerRevision says that another member has a higher revision of the configuration.
	NewerRevision
	// PushFactsSoon says that facts are to be passed on now, by Hurry, rather than with the next probes.
	PushFactsSoon
)

// Effect is an output of the machine.
type Effect struct {
	Kind EffectKind
	// Target is the member to probe, and Via the member to ask for it, if any.
	Target  Member
	Via     Member
	Message Message
	// Member is set for Changed, Fact for Learned.
	Member Member
	Fact   Fact
	// Host is set for Behind.
	Host id.Host
}

// Config sets the periods of the machine.
type Config struct {
	// ProbePeriod is the time between probes of one host.
	ProbePeriod time.Duration
	// RemoteZoneProbeEvery is the number of probes of which one goes to a member of another availability zone.
	RemoteZoneProbeEvery int
	// SuspectTimeout is how long a suspicion may be refuted.
	SuspectTimeout time.Duration
	// IndirectProbes is the number of members asked to probe a host that did not answer.
	IndirectProbes int
	// PushFanout is the number of members that a host passes urgent facts on to at once.
	PushFanout int
	// FactTTL is how long a fact is remembered.
	FactTTL time.Duration
	// MaxUpdates bounds the changes of members in one message, MaxFacts the facts: a crash brings one for each request that
	// ran on the server.
	MaxUpdates int
	MaxFacts   int
	// RetransmitMultiplier scales the number of times that a change is passed on.
	RetransmitMultiplier int
	// DeadProbePeriod is the time between probes of dead members.
	DeadProbePeriod time.Duration
	// DeadMemberTTL is how long dead members are remembered; it is longer than regions lose each other.
	DeadMemberTTL time.Duration
}

// DefaultConfig returns the periods that hosts use.
func DefaultConfig() Config {
	return Config{
		ProbePeriod:    500 * time.Millisecond,
		RemoteZoneProbeEvery:       4,
		SuspectTimeout: 2 * time.Second,
		IndirectProbes:       3,
		PushFanout:         2,
		FactTTL:        time.Hour,
		MaxUpdates:     8,
		MaxFacts:       64,
		RetransmitMultiplier:         3,
		DeadProbePeriod:   5 * time.Second,
		DeadMemberTTL:    3 * time.Hour,
	}
}
