// Package id defines the named types of identifiers and units that all layers share.
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

// Identifiers of machines, zones, customers, back ends and work.
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
	// Plan names an entry of the list of plans.
	Plan string
	// Model names a model that engines serve.
	Model string
	// AvailabilityZone names a failure domain of a region.
	AvailabilityZone string
	// Shard names a group of engines that one dispatcher decides for.
	Shard string
	// Request identifies one request of a caller: host, incarnation and sequence number.
	Request string
	// Attempt identifies one execution of a request on one engine or gang.
	Attempt string
)

// Tokens counts tokens of prompts, answers or engine memory.
type Tokens int64

// MaxTokens bounds counts of tokens from outside, far above any engine's memory, so that sums and times of reading don't
// overflow.
const MaxTokens Tokens = 1 << 32

// Offset is a position in a stream of the platform's log.
type Offset int64

// NoOffset is the offset before the first record of a stream.
const NoOffset Offset = -1

// Incarnation distinguishes the successive processes of one host.
type Incarnation int64

// bytesPerToken is the estimate used before an engine has counted a prompt.
const bytesPerToken = 4

// EstimateTokens returns the estimated number of tokens in a prompt of size bytes.
func EstimateTokens(size int) Tokens {
	return Tokens((size + bytesPerToken - 1) / bytesPerToken)
}

// Fingerprint identifies the content of a request of one organisation.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal digits.
func (fp Fingerprint) String() string {
	return strconv.FormatUint(uint64(fp), 16)
}

// NewFingerprint hashes the organisation and the content of a request: its body, or its target and its body.
func NewFingerprint(org Organisation, content ...[]byte) Fingerprint {
	dg := xxhash.New()
	_, _ = dg.WriteString(string(org))
	for _, part := range content {
		_, _ = dg.Write([]byte{0})
		_, _ = dg.Write(part)
	}
	return Fingerprint(dg.Sum64())
}

// NewRequest returns the id of the sequence-th request of a host's incarnation.
func NewRequest(host Host, inc Incarnation, sequence uint64) Request {
	return Request(string(host) + "." + strconv.FormatInt(int64(inc), 36) + "." + strconv.FormatUint(sequence, 36))
}

// NewAttempt returns the id of the number-th attempt of a request.
func NewAttempt(req Request, number int) Attempt {
	return Attempt(string(req) + "/" + strconv.Itoa(number))
}

// RequestOf returns the request that an attempt belongs to.
func RequestOf(att Attempt) Request {
	for ix := len(att) - 1; ix >= 0; ix-- {
		if att[ix] == '/' {
			return Request(att[:ix])
		}
	}
	return Request(att)
}

// RequestOrigin returns the host and the incarnation that made a request, or false if the id has another form.
func RequestOrigin(rq Request) (Host, Incarnation, bool) {
	parts := strings.Split(string(rq), ".")
	if len(parts) < 3 {
		return "", 0, false
	}
	inc, err := strconv.ParseInt(parts[len(parts)-2], 36, 64)
	if err != nil {
		return "", 0, false
	}
	return Host(strings.Join(parts[:len(parts)-2], ".")), Incarnation(inc), true
}

// RendezvousOrder returns the members ordered by descending rendezvous hash weight for key.
func RendezvousOrder[M ~string](key string, members []M) []M {
	type weighted struct {
		member M
		weight uint64
	}
	list := make([]weighted, len(members))
	for ix, mem := range members {
		list[ix] = weighted{mem, xxhash.Sum64String(key + "\x00" + string(mem))}
	}
	slices.SortFunc(list, func(left, right weighted) int {
		return cmp.Or(cmp.Compare(right.weight, left.weight), cmp.Compare(left.member, right.member))
	})
	ordered := make([]M, len(members))
	for ix, each := range list {
		ordered[ix] = each.member
	}
	return ordered
}

// RendezvousRank returns the place of a member in the order that Rendezvous gives, negative if it is none of them.
func RendezvousRank[M ~string](key string, members []M, member M) int {
	own := xxhash.Sum64String(key + "\x00" + string(member))
	rank, present := 0, false
	for _, mem := range members {
		weight := xxhash.Sum64String(key + "\x00" + string(mem))
		switch {
		case mem == member:
			present = true
		case weight > own || weight == own && mem < member:
			rank++
		}
	}
	if !present {
		return -1
	}
	return rank
}

// RendezvousOwner returns the member with the highest rendezvous hash weight for key, or "" without members.
func RendezvousOwner[M ~string](key string, members []M) M {
	var owner M
	var highest uint64
	for _, mem := range members {
		weight := xxhash.Sum64String(key + "\x00" + string(mem))
		if owner == "" || weight > highest || weight == highest && mem < owner {
			owner = mem
			highest = weight
		}
	}
	return owner
}

// NewSeed returns a random seed for generators whose results need not repeat.
func NewSeed() uint64 {
	return new(maphash.Hash).Sum64()
}

// Hex encodes bytes in lower-case hexadecimal digits.
func Hex(raw []byte) string {
	return hex.EncodeToString(raw)
}
