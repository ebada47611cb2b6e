// Package id defines the types of identifiers and units that all layers share, and rendezvous hashing of identifiers.
package id

import (
	"cmp"
	"encoding/hex"
	"hash/maphash"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Identifiers of hosts, servers, customers and work. They are distinct types so that the compiler detects when one is
// used in place of another.
type (
	// Host names an entry host.
	Host string
	// Engine names a model engine.
	Engine string
	// BackendServer names a server of a plain service.
	BackendServer string
	// Service names a group of engines or of backend servers.
	Service string
	// Organisation names a customer of the operators.
	Organisation string
	// Plan names a plan: a set of limits that organisations hold.
	Plan string
	// Model names a model that engines serve.
	Model string
	// AvailabilityZone names a failure domain of a region.
	AvailabilityZone string
	// Shard names a group of engines that one dispatcher schedules.
	Shard string
	// Request identifies one request of a client. It consists of the entry host, its incarnation and a sequence number.
	Request string
	// Attempt identifies one execution of a request on one engine or on several together. It consists of the request and
	// the number of the attempt.
	Attempt string
)

// ServerHash identifies a backend server in messages between hosts.
type ServerHash uint64

// HashServer returns the hash of a backend server's id.
func HashServer(server BackendServer) ServerHash {
	return ServerHash(xxhash.Sum64String(string(server)))
}

// Tokens is a number of tokens: the length of a prompt or an answer, or an amount of engine memory.
type Tokens int64

// MaxTokens bounds numbers of tokens that are received from outside. It is far above the memory of any engine, and low
// enough that sums of token numbers and the times that engines take to process the tokens do not overflow.
const MaxTokens Tokens = 1 << 32

// Offset is the position of a record in a stream of the platform's log, with the era of the log in its upper bits. All
// offsets of an era are higher than those of earlier eras, so that what was read later compares as newer although
// positions are given out again when the log is restored from an older copy.
type Offset int64

// NoOffset is the offset before the first record of a stream.
const NoOffset Offset = -1

// Era counts how often a log was restored from an older copy. It is 0 for a log that does not tell.
type Era int64

// positionBits is the number of bits of an offset for the position within an era.
const positionBits = 40

// MaxEra and MaxPosition are the highest values that an offset can hold.
const (
	MaxEra      Era   = 1<<(62-positionBits) - 1
	MaxPosition int64 = 1<<positionBits - 1
)

// NewOffset returns the offset of a position in an era. Both are limited to the range that an offset can hold.
func NewOffset(era Era, position int64) Offset {
	return Offset(min(max(era, 0), MaxEra))<<positionBits | Offset(min(max(position, 0), MaxPosition))
}

// Era returns the era of the offset; 0 for NoOffset.
func (of Offset) Era() Era { return Era(max(of, 0) >> positionBits) }

// Position returns the position of the offset within its era; 0 for NoOffset.
func (of Offset) Position() int64 { return int64(max(of, 0)) & MaxPosition }

// Incarnation distinguishes successive processes of the same host.
type Incarnation int64

// bytesPerToken is the estimated length of a token, which is used until an engine has counted the tokens of a prompt.
const bytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in a prompt of sizeBytes bytes, rounded up.
func EstimateTokens(sizeBytes int) Tokens {
	return Tokens((sizeBytes + bytesPerToken - 1) / bytesPerToken)
}

// Fingerprint identifies the content of a request of one organisation, or a part of prompts. Equal requests have equal
// fingerprints.
type Fingerprint uint64

// partBit is set in the hashes of parts of prompts and clear in those of contents.
const partBit = 1 << 63

// PromptPart returns the part that the fingerprint identifies, and false if it identifies a content.
func (fp Fingerprint) PromptPart() (PromptPart, bool) {
	return PromptPart(fp), fp&partBit != 0
}

// String returns the fingerprint in hexadecimal digits.
func (fp Fingerprint) String() string {
	return strconv.FormatUint(uint64(fp), 16)
}

// NewFingerprint returns a hash of the organisation and the content of a request. The content is the body, or the
// target and the body. The parts are hashed with a separator before each.
func NewFingerprint(organisation Organisation, content ...[]byte) Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(organisation))
	for _, part := range content {
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum64() &^ partBit)
}

// PromptPart identifies a part of a prompt that several requests may have in common.
type PromptPart uint64

// String returns the part in hexadecimal digits, as it appears in logs.
func (pp PromptPart) String() string {
	return strconv.FormatUint(uint64(pp), 16)
}

// NewPromptPart returns a hash of the name of a part.
func NewPromptPart(name string) PromptPart {
	return PromptPart(xxhash.Sum64String(name) | partBit)
}

// Fingerprint returns the fingerprint that identifies the part.
func (pp PromptPart) Fingerprint() Fingerprint { return Fingerprint(pp) }

// NewRequest returns the identifier of the request with the given sequence number of a host's incarnation.
func NewRequest(host Host, incarnation Incarnation, sequence uint64) Request {
	return Request(string(host) + "." + strconv.FormatInt(int64(incarnation), 36) + "." + strconv.FormatUint(sequence, 36))
}

// NewAttempt returns the identifier of the attempt with the given number of a request.
func NewAttempt(request Request, number int) Attempt {
	return Attempt(string(request) + "/" + strconv.Itoa(number))
}

// RequestOf returns the request that an attempt belongs to. An identifier without an attempt number is returned
// unchanged.
func RequestOf(attempt Attempt) Request {
	for ix := len(attempt) - 1; ix >= 0; ix-- {
		if attempt[ix] == '/' {
			return Request(attempt[:ix])
		}
	}
	return Request(attempt)
}

// RequestOrigin returns the host and the incarnation that assigned the identifier of a request, or false if the
// identifier was not made by NewRequest.
func RequestOrigin(request Request) (Host, Incarnation, bool) {
	parts := strings.Split(string(request), ".")
	if len(parts) < 3 {
		return "", 0, false
	}
	incarnation, err := strconv.ParseInt(parts[len(parts)-2], 36, 64)
	if err != nil {
		return "", 0, false
	}
	return Host(strings.Join(parts[:len(parts)-2], ".")), Incarnation(incarnation), true
}

// RendezvousOrder returns the members in the order of rendezvous hashing for key: by descending hash weight, and by
// name among equal weights. If a member is added or removed, the others keep their order.
func RendezvousOrder[M ~string](key string, members []M) []M {
	type weightedMember struct {
		member M
		weight uint64
	}
	weightedMembers := make([]weightedMember, len(members))
	for ix, member := range members {
		weightedMembers[ix] = weightedMember{member, xxhash.Sum64String(key + "\x00" + string(member))}
	}
	slices.SortFunc(weightedMembers, func(left, right weightedMember) int {
		return cmp.Or(cmp.Compare(right.weight, left.weight), cmp.Compare(left.member, right.member))
	})
	ordered := make([]M, len(members))
	for ix, weighted := range weightedMembers {
		ordered[ix] = weighted.member
	}
	return ordered
}

// RendezvousRank returns the index of a member in the order that RendezvousOrder returns, or -1 if it is not among the
// members. It computes the index without sorting the members.
func RendezvousRank[M ~string](key string, members []M, member M) int {
	memberWeight := xxhash.Sum64String(key + "\x00" + string(member))
	rank, found := 0, false
	for _, candidate := range members {
		weight := xxhash.Sum64String(key + "\x00" + string(candidate))
		switch {
		case candidate == member:
			found = true
		case weight > memberWeight || weight == memberWeight && candidate < member:
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// RendezvousOwner returns the first member in the order that RendezvousOrder returns, or "" if there are no members.
func RendezvousOwner[M ~string](key string, members []M) M {
	var owner M
	var highestWeight uint64
	for _, member := range members {
		weight := xxhash.Sum64String(key + "\x00" + string(member))
		if owner == "" || weight > highestWeight || weight == highestWeight && member < owner {
			owner = member
			highestWeight = weight
		}
	}
	return owner
}

// NewSeed returns a random seed for random number generators whose results need not be reproducible.
func NewSeed() uint64 {
	return new(maphash.Hash).Sum64()
}

// Hex returns the lower-case hexadecimal digits of raw.
func Hex(raw []byte) string {
	return hex.EncodeToString(raw)
}
