// Package membership tracks which entry hosts are alive. It implements a gossip protocol in the manner of SWIM: each
// host probes random other hosts, and the messages of these probes carry updates about members and facts.
//
// Machine is a pure state machine: it reads no clock, starts no goroutine and does no I/O.
package membership

import (
	"time"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Status is the state of a host as far as it is known. The numbers are sent to other hosts.
type Status uint32

// Values of Status. At the same sequence number, a later one overrides an earlier one.
const (
	Alive Status = iota + 1
	// Leaving hosts finish running requests and accept no new ones.
	Leaving
	// Suspect hosts did not answer a probe, or refused a connection. They count as live until they are declared dead.
	Suspect
	// Dead hosts have left, or did not refute a suspicion in time.
	Dead
)

// String returns the status in lower-case letters, as it appears in metrics.
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

// Member describes a host, as stated by the host itself or by another host.
type Member struct {
	Host        id.Host
	Incarnation id.Incarnation
	Status      Status
	// Sequence orders statements about one incarnation of the host. Only the host itself raises it, when it refutes a
	// suspicion or starts to leave.
	Sequence uint32
	// PeerAddress is the address at which other hosts reach the host, CallerAddress the one for clients. Both are IP:port.
	PeerAddress      string
	CallerAddress    string
	AvailabilityZone id.AvailabilityZone
	// ProcessorShare is the share of a processor core that the host may use, in thousandths; 0 if unspecified.
	ProcessorShare uint32
}

// overrides reports whether a statement replaces another one about the same host. The higher incarnation wins, then the
// higher sequence number, then the higher status.
func (mb Member) overrides(other Member) bool {
	if mb.Incarnation != other.Incarnation {
		return mb.Incarnation > other.Incarnation
	}
	if mb.Sequence != other.Sequence {
		return mb.Sequence > other.Sequence
	}
	return mb.Status > other.Status
}

// Fact is a number that spreads to all hosts. For the same kind, key and detail, the highest value wins.
type Fact struct {
	Kind FactKind
	Key  uint64
	// Detail is the second part of the key, zero if the kind has none.
	Detail uint64
	Value  int64
}

// FactKind says what the key and the value of a fact mean. The numbers are sent to other hosts.
type FactKind uint32

// Values of FactKind.
const (
	// CrashFact is evidence that a request crashed a server: the key is the request's fingerprint, the detail
	// identifies the crash, and the value is the status of the crash.
	CrashFact FactKind = iota + 1
	// DepartureFact says that a backend server is leaving: the key is the hash of the server's id, and the value is the
	// start time of the process that announced it, in Unix milliseconds.
	DepartureFact
	// RequestLimitFact says which request rate a backend server accepts from all hosts together: the key is the hash of
	// the server's id, the detail is the start time of the process in Unix milliseconds, and the value holds the version
	// of the statement and the rate.
	RequestLimitFact
	// CutOffFact says whether a host is cut off from the backend servers: the key is the hash of the host's name, and the
	// value is the time of the change in Unix milliseconds, doubled, plus one if the host is cut off.
	CutOffFact
	// ColdFact says that a backend server answered that it is cold: the key is the hash of the server's id, the detail is
	// the start time of the process in Unix milliseconds, and the value holds the time of the answer and the time for which the
	// server remains cold.
	ColdFact FactKind = 48
)

// factID identifies a fact without its value.
type factID struct {
	kind   FactKind
	key    uint64
	detail uint64
}

// withValue returns the fact with the given value.
func (fi factID) withValue(value int64) Fact {
	return Fact{Kind: fi.kind, Key: fi.key, Detail: fi.detail, Value: value}
}

// Message is sent by one member to another, as a probe or as the answer to one.
type Message struct {
	From    id.Host
	Updates []Member
	// Revision is the sender's revision of the configuration.
	Revision id.Offset
	Facts    []Fact
	// ProbeTarget names a member that the receiver is to probe on behalf of the sender; empty for a direct probe.
	ProbeTarget id.Host
	// Joining asks the receiver to answer with its full state.
	Joining bool
	// ListFreshness says how fresh the sender's copy of the list of backend servers is.
	ListFreshness ListFreshness
	// FullState says that the message holds all members and facts that the sender knows. The receiver does not spread
	// them further.
	FullState bool
}

// ListFreshness says how fresh a host's copy of the list of backend servers is.
type ListFreshness struct {
	// NextOffset is the offset before which the copy has all records. The records in [UnchangedSince, NextOffset) changed
	// nothing, so that a copy that is complete up to UnchangedSince or beyond holds the same servers. NextOffset is
	// id.NoOffset if unknown; UnchangedSince then has no meaning.
	UnchangedSince id.Offset
	NextOffset     id.Offset
	// Age is the time since the copy was last known to be up to date.
	Age time.Duration
	// EvacuationsUnchangedSince is an offset since which no record changed the evacuated availability zones, which are
	// replicated beside the list; 0 if no change is known.
	EvacuationsUnchangedSince id.Offset
}

// Event is an input of the machine.
type Event interface{ event() }

// Tick starts due probes and expires suspicions, dead members and facts. It must occur at least once in every probe
// period.
type Tick struct{}

// Received carries a message of another member. The caller answers it with NextMessage, or with FullState if the sender
// joins.
type Received struct{ Message Message }

// ProbeEnded reports the result of a probe.
type ProbeEnded struct {
	// Target is the probed member. Via is the member that was asked to probe it, empty for a direct probe.
	Target id.Host
	Via    id.Host
	// Reached says whether the target answered.
	Reached bool
	// Answer is the message received from the target, or from Via for an indirect probe; empty if there was none.
	Answer Message
}

// PushFacts sends queued facts to some random members immediately, in addition to the periodic probes.
type PushFacts struct{}

// ConnectionRefused reports that a host refused a connection. The host becomes suspect without a probe.
type ConnectionRefused struct{ Host id.Host }

// Leave announces that the local host is leaving.
type Leave struct{}

func (Tick) event()              {}
func (Received) event()          {}
func (PushFacts) event()         {}
func (ProbeEnded) event()        {}
func (ConnectionRefused) event() {}
func (Leave) event()             {}

// EffectKind says what the caller of Machine.Step has to do.
type EffectKind int

// Values of EffectKind.
const (
	// SendProbe sends Message to Target, or to Via, which is to probe Target. The result is reported as ProbeEnded.
	SendProbe EffectKind = iota + 1
	// MemberChanged says that the status or the description of a member changed.
	MemberChanged
	// FactLearned says that another member sent a fact that is new.
	FactLearned
	// NewerRevision says that another member has a higher revision of the configuration.
	NewerRevision
	// PushFactsSoon asks for the event PushFacts soon, so that new facts need not wait for the next probes.
	PushFactsSoon
)

// Effect is an output of the machine.
type Effect struct {
	Kind EffectKind
	// Target is the member to probe. Via is the member to ask for an indirect probe, empty for a direct one.
	Target  Member
	Via     Member
	Message Message
	// Member is set for MemberChanged, Fact for FactLearned.
	Member Member
	Fact   Fact
	// Host is the member with the higher revision, set for NewerRevision.
	Host id.Host
}

// Config sets the periods and limits of a machine.
type Config struct {
	// ProbePeriod is the time between two probes that the local host sends.
	ProbePeriod time.Duration
	// RemoteZoneProbeEvery sets the share of remote probes: every RemoteZoneProbeEvery-th periodic probe goes to a member
	// of another availability zone, if there is one.
	RemoteZoneProbeEvery int
	// SuspectTimeout is the time that a suspect member has to refute the suspicion before it is declared dead.
	SuspectTimeout time.Duration
	// IndirectProbes is the number of members that are asked to probe a member that did not answer.
	IndirectProbes int
	// PushFanout is the number of members that PushFacts sends facts to.
	PushFanout int
	// FactTTL is how long a fact is remembered.
	FactTTL time.Duration
	// MaxUpdates and MaxFacts bound the member updates and the facts in one message. MaxFacts is higher, because a
	// crash brings one fact for each request that ran on the server.
	MaxUpdates int
	MaxFacts   int
	// RetransmitMultiplier scales the number of messages that carry an update, which also grows with the logarithm of
	// the number of members.
	RetransmitMultiplier int
	// DeadProbePeriod is the time between probes of dead members.
	DeadProbePeriod time.Duration
	// DeadMemberTTL is how long dead members are remembered. It is longer than the time for which regions may lose
	// contact with each other, so that they find each other again afterwards.
	DeadMemberTTL time.Duration
}

// DefaultConfig returns the configuration that hosts use.
func DefaultConfig() Config {
	return Config{
		ProbePeriod:          500 * time.Millisecond,
		RemoteZoneProbeEvery: 4,
		SuspectTimeout:       2 * time.Second,
		IndirectProbes:       3,
		PushFanout:           2,
		FactTTL:              time.Hour,
		MaxUpdates:           8,
		MaxFacts:             64,
		RetransmitMultiplier: 3,
		DeadProbePeriod:      5 * time.Second,
		DeadMemberTTL:        3 * time.Hour,
	}
}
