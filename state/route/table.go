// Package route holds the desired state: which request goes to which service, for whom and within which limits.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Version numbers desired states; a higher one replaces a lower one.
type Version int64

// Kind says what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once for each attempt of the client.
	NonIdempotent
	// Streaming requests are answered with a stream of events.
	Streaming
)

// String returns the name of the kind as log lines show it.
func (kd Kind) String() string {
	switch kd {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// Share is a service's part of a route's requests.
type Share struct {
	Service id.Service
	Weight  float64
}

// Route says how the requests of one host name and path prefix are served.
type Route struct {
	Name string
	// HostName is the host name in lower case, without a port.
	HostName string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind   Kind
	// Timeout is the longest time that a client is kept waiting for the whole answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or its first event, earns its full benefit.
	TargetLatency time.Duration
	// MaxPause is the longest pause between events for which a stream is on time; zero without one.
	MaxPause time.Duration
	// Priority is the rank among routes; 0 is the highest.
	Priority    int
	Shares      []Share
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// HasPrompt says that requests carry a prompt for a model.
	HasPrompt bool
	// Resumable streams may go on at another engine after their last event.
	Resumable bool
}

// Repeatable reports whether a request may be sent again after it may have run.
func (rt Route) Repeatable() bool {
	return rt.Kind == Idempotent || rt.Kind == Streaming && rt.Resumable
}

// WaitLimit returns the time after which a client leaves that has seen no event of a stream.
func WaitLimit(target, maxPause time.Duration) time.Duration {
	const least, targets, pauses = 2 * time.Second, 4, 8
	return max(least, targets*target, pauses*maxPause)
}

// ServiceFor chooses the service of a request by the weights of the route's shares.
// The same request id gives the same service.
func (rt Route) ServiceFor(request string) id.Service {
	var total float64
	for _, share := range rt.Shares {
		total += max(0, share.Weight)
	}
	if total == 0 {
		return ""
	}
	const span = 1 << 32
	point := total * float64(xxhash.Sum64String(request)%span) / span
	for _, share := range rt.Shares {
		point -= max(0, share.Weight)
		if point < 0 {
			return share.Service
		}
	}
	return rt.Shares[len(rt.Shares)-1].Service
}

// Engine describes how the engines of a service spend their time and memory.
type Engine struct {
	// Slots is the number of requests that an engine batches.
	Slots int
	// Capacity is an engine's memory.
	Capacity id.Tokens
	// StepTime is the time of one token step; StepPerSequence is added for each request that writes, and StepPerThousandContextTokens
	// for each thousand tokens of its context.
	StepTime        time.Duration
	StepPerSequence   time.Duration
	StepPerThousandContextTokens time.Duration
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond float64
	// PrefillPerMillionPairs is added to reading for each million pairs of a token and an earlier one.
	PrefillPerMillionPairs time.Duration
	// PrefillChunk is the largest number of prompt tokens read in one step.
	PrefillChunk id.Tokens
	// StepsPerDecodePass is the number of steps in a pass that has writers.
	StepsPerDecodePass int
}

// PrefillTime returns the time that one engine takes to read a prompt alone; zero if the engine's rate is not known.
func (en Engine) PrefillTime(prompt id.Tokens) time.Duration {
	if en.PrefillTokensPerSecond <= 0 {
		return 0
	}
	tokens := float64(prompt)
	seconds := tokens / en.PrefillTokensPerSecond
	pairs := tokens * (tokens + 1) / 2 / 1e6
	const longest = float64(24 * time.Hour)
	return time.Duration(min(longest, seconds*float64(time.Second)+pairs*float64(en.PrefillPerMillionPairs)))
}

// Service is a group of engines or backend servers that serve the same requests.
type Service struct {
	Name           id.Service
	HealthPath     string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bounds what clients may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation is a customer with the keys that its clients may use.
type Organisation struct {
	Name id.Organisation
	Keys []string
	// Priority takes precedence over the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Contents are the parts of a desired state.
type Contents struct {
	Version       Version
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Table is one desired state. It does not change.
type Table struct {
	contents Contents
	byHost   map[string][]Route
	byKey    map[string]Organisation
	services map[id.Service]Service
}

// New returns the table of a desired state.
func New(contents Contents) *Table {
	tb := &Table{
		contents: contents,
		byHost:   map[string][]Route{},
		byKey:    map[string]Organisation{},
		services: map[id.Service]Service{},
	}
	for _, rt := range contents.Routes {
		rt.HostName = strings.ToLower(rt.HostName)
		tb.byHost[rt.HostName] = append(tb.byHost[rt.HostName], rt)
	}
	for _, routes := range tb.byHost {
		slices.SortStableFunc(routes, func(left, right Route) int { return cmp.Compare(len(right.PathPrefix), len(left.PathPrefix)) })
	}
	for _, org := range contents.Organisations {
		for _, key := range org.Keys {
			tb.byKey[key] = org
		}
	}
	for _, sv := range contents.Services {
		tb.services[sv.Name] = sv
	}
	return tb
}

// Version returns the version of the desired state.
func (tb *Table) Version() Version { return tb.contents.Version }

// Limits returns the bounds of what clients may send.
func (tb *Table) Limits() Limits { return tb.contents.Limits }

// RouteCount returns the number of routes.
func (tb *Table) RouteCount() int { return len(tb.contents.Routes) }

// HasOrganisations reports whether requests need a key.
func (tb *Table) HasOrganisations() bool { return len(tb.contents.Organisations) > 0 }

// Service finds a service.
func (tb *Table) Service(name id.Service) (Service, bool) {
	sv, ok := tb.services[name]
	return sv, ok
}

// Match finds the route with the longest prefix of a path. The host may carry a port.
func (tb *Table) Match(host, path string) (Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, rt := range tb.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, rt.PathPrefix) {
			return rt, true
		}
	}
	return Route{}, false
}

// OrganisationByKey finds the holder of a key.
func (tb *Table) OrganisationByKey(key string) (Organisation, bool) {
	org, ok := tb.byKey[key]
	return org, ok
}
