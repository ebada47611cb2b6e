// Package route holds the desired state, which is the routing table that the platform prescribes: which service handles
// a request, on whose behalf, and within which limits.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuslever/hibiscuslever/state/id"
)

// Version is the version number of a desired state. A higher version replaces a lower one.
type Version int64

// Kind says whether the requests of a route may run more than once and whether they are answered with a stream.
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

// String returns the name of the kind for log lines.
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

// Share assigns a part of the requests of a route to a service. The part is proportional to the weight.
type Share struct {
	Service id.Service
	Weight  float64
}

// Route says how to handle the requests to one host name and path prefix.
type Route struct {
	Name string
	// HostName is the host name of the request in lower case, without a port.
	HostName string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is how long after its arrival a request is ended, if the client's deadline is not earlier. Zero means that
	// there is no such limit.
	Timeout time.Duration
	// TargetLatency is the time within which the answer should arrive, or the first event of a stream. A later one has
	// less value to the client.
	TargetLatency time.Duration
	// MaxPause is the longest pause between two events with which a stream still counts as on time. Zero means that there
	// is no such limit.
	MaxPause time.Duration
	// Priority ranks the requests of the route among those of other routes. 0 is the highest priority.
	Priority    int
	Shares      []Share
	MaxAttempts int
	// Public routes are open to requests without an API key.
	Public bool
	// HasPrompt is set if requests carry a prompt for a model.
	HasPrompt bool
	// Resumable streams can be resumed on another engine after the last event that was received.
	Resumable bool
}

// Repeatable reports whether a request may be sent again even if it may have run already.
func (rt Route) Repeatable() bool {
	return rt.Kind == Idempotent || rt.Kind == Streaming && rt.Resumable
}

// WaitLimit returns the time after which a client is assumed to leave if it has received no event of a stream.
func WaitLimit(targetLatency, maxPause time.Duration) time.Duration {
	const minWait, targetFactor, pauseFactor = 2 * time.Second, 4, 8
	return max(minWait, targetFactor*targetLatency, pauseFactor*maxPause)
}

// ServiceFor chooses a service for a request by a hash of the request id, so that services get requests in proportion
// to the weights of their shares. It returns "" if no share has a positive weight.
func (rt Route) ServiceFor(requestID string) id.Service {
	var totalWeight float64
	for _, share := range rt.Shares {
		totalWeight += max(0, share.Weight)
	}
	if totalWeight == 0 {
		return ""
	}
	const hashRange = 1 << 32
	point := totalWeight * float64(xxhash.Sum64String(requestID)%hashRange) / hashRange
	// Rounding errors may leave the point just beyond the last share with a weight.
	var last id.Service
	for _, share := range rt.Shares {
		if share.Weight <= 0 {
			continue
		}
		last = share.Service
		if point -= share.Weight; point < 0 {
			break
		}
	}
	return last
}

// EngineProfile describes the performance and the memory of the engines of a service.
type EngineProfile struct {
	// Slots is the largest number of requests in the batch of an engine.
	Slots int
	// Capacity is the memory of an engine in tokens.
	Capacity id.Tokens
	// StepTime is the time of a decode step, which generates one token for each sequence of the batch. A step takes
	// StepPerSequence longer for each of these sequences, and StepPerThousandContextTokens longer for each thousand tokens
	// of its context.
	StepTime                     time.Duration
	StepPerSequence              time.Duration
	StepPerThousandContextTokens time.Duration
	// PrefillTokensPerSecond is the rate at which an engine processes prompts.
	PrefillTokensPerSecond float64
	// PrefillPerMillionPairs is the additional prefill time for each million pairs of a prompt token and an earlier or the
	// same one. It accounts for attention, whose cost grows with the square of the length.
	PrefillPerMillionPairs time.Duration
	// PrefillChunk is the largest number of prompt tokens that an engine processes in one step.
	PrefillChunk id.Tokens
	// StepsPerDecodePass is the number of steps in a pass that generates tokens for at least one sequence. A pass is a
	// series of steps during which an engine admits no new requests and sends no events.
	StepsPerDecodePass int
}

// PrefillTime returns the time that one engine needs for a prompt if it does nothing else. It is limited to the range from
// 0 to 24 hours, and zero if the prefill rate is not known.
func (en EngineProfile) PrefillTime(prompt id.Tokens) time.Duration {
	if en.PrefillTokensPerSecond <= 0 {
		return 0
	}
	tokens := float64(prompt)
	seconds := tokens / en.PrefillTokensPerSecond
	pairs := tokens * (tokens + 1) / 2 / 1e6
	const maxTime = float64(24 * time.Hour)
	return time.Duration(max(0, min(maxTime, seconds*float64(time.Second)+pairs*float64(en.PrefillPerMillionPairs))))
}

// Service is a group of engines or backend servers that handle the same requests.
type Service struct {
	Name id.Service
	// HealthPath is the path of the servers' health checks. Hosts do not use it.
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all hosts together. Zero means that there
	// is no limit.
	MaxConnections int
	// ColdDuration is how long a server is cold after it has started during traffic, and ColdRequestsPerSecond is the
	// number of requests a second that it takes meanwhile. The service has no cold servers if the latter is zero.
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
	// Engine describes the engines of the service. It is nil for a service of backend servers.
	Engine *EngineProfile
}

// Limits are the limits on the requests and connections of clients that the platform prescribes. MaxHeaderBytes is not
// applied; hosts use their own settings for it, and also for timeouts that are shorter than those of the settings.
type Limits struct {
	MaxHeaderBytes int
	// MaxBodyBytes is the largest size of a request's body. Zero means that there is no limit.
	MaxBodyBytes int64
	// HeaderTimeout is how long a client may take to send the head of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle between two requests.
	IdleTimeout time.Duration
}

// Organisation is a customer with the API keys that its clients use.
type Organisation struct {
	Name    id.Organisation
	APIKeys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Contents are the parts of which a desired state consists.
type Contents struct {
	Version       Version
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}

// Table is an immutable desired state with indexes for lookups. It is safe for concurrent use.
type Table struct {
	contents              Contents
	routesByHostName      map[string][]Route
	organisationsByAPIKey map[string]Organisation
	servicesByName        map[id.Service]Service
	// timeoutsByRoute holds the timeouts of the routes by name, noLimit for those that have none.
	timeoutsByRoute map[string]time.Duration
}

// New returns the table of a desired state. It lower-cases the host names of the routes.
func New(contents Contents) *Table {
	tb := &Table{
		contents:              contents,
		routesByHostName:      map[string][]Route{},
		organisationsByAPIKey: map[string]Organisation{},
		servicesByName:        map[id.Service]Service{},
		timeoutsByRoute:       map[string]time.Duration{},
	}
	for _, rt := range contents.Routes {
		tb.timeoutsByRoute[rt.Name] = max(tb.timeoutsByRoute[rt.Name], limitOf(rt.Timeout))
		rt.HostName = strings.ToLower(rt.HostName)
		tb.routesByHostName[rt.HostName] = append(tb.routesByHostName[rt.HostName], rt)
	}
	for _, routes := range tb.routesByHostName {
		slices.SortStableFunc(routes, func(left, right Route) int { return cmp.Compare(len(right.PathPrefix), len(left.PathPrefix)) })
	}
	for _, org := range contents.Organisations {
		for _, apiKey := range org.APIKeys {
			tb.organisationsByAPIKey[apiKey] = org
		}
	}
	for _, sv := range contents.Services {
		tb.servicesByName[sv.Name] = sv
	}
	return tb
}

// Version returns the version of the desired state.
func (tb *Table) Version() Version { return tb.contents.Version }

// Limits returns the limits on what clients may send.
func (tb *Table) Limits() Limits { return tb.contents.Limits }

// RouteCount returns the number of routes.
func (tb *Table) RouteCount() int { return len(tb.contents.Routes) }

// HasOrganisations reports whether the desired state names organisations. If so, requests need an API key, except on
// public routes.
func (tb *Table) HasOrganisations() bool { return len(tb.contents.Organisations) > 0 }

// Service returns the service with the given name, and false if there is none.
func (tb *Table) Service(name id.Service) (Service, bool) {
	sv, ok := tb.servicesByName[name]
	return sv, ok
}

// Match returns the route of the host name with the longest prefix of the path, and false if there is none. The host
// name may have a port and upper-case letters.
func (tb *Table) Match(hostName, path string) (Route, bool) {
	if portStart := strings.LastIndexByte(hostName, ':'); portStart >= 0 && !strings.HasSuffix(hostName, "]") {
		hostName = hostName[:portStart]
	}
	for _, rt := range tb.routesByHostName[strings.ToLower(hostName)] {
		if strings.HasPrefix(path, rt.PathPrefix) {
			return rt, true
		}
	}
	return Route{}, false
}

// OrganisationByAPIKey returns the organisation that the API key belongs to, and false if there is none.
func (tb *Table) OrganisationByAPIKey(apiKey string) (Organisation, bool) {
	org, ok := tb.organisationsByAPIKey[apiKey]
	return org, ok
}
