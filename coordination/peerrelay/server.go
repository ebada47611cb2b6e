package peerrelay

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

const (
	// callsPerCore is the number of calls for other hosts that a host runs at a time per processor core that it may use.
	callsPerCore = 512
	// minCalls is the lowest such number.
	minCalls = 64
	// witnessDelay is how long a probe may go without a result before the peer finds out whether it reaches other servers.
	witnessDelay = 40 * time.Millisecond
	// witnessTimeout bounds the dials by which a peer finds out whether it reaches other servers after an attempt failed.
	witnessTimeout = 150 * time.Millisecond
	// answerMargin is the part of a probe's time that remains for the answer to reach the entry host.
	answerMargin = 40 * time.Millisecond
	// witnessDials is the number of other servers that a peer dials to find out whether it reaches any.
	witnessDials = 4
	// maxListAge is the age up to which the server list decides that a server is leaving.
	maxListAge = time.Second
)

// Fleet gives access to this host's copy of the list of backend servers.
type Fleet interface {
	// ListedAsLeaving reports whether the list shows a server as draining or removed.
	ListedAsLeaving(server id.BackendServer) bool
	// AnnouncedLeaving reports whether a server itself announced that it is leaving.
	AnnouncedLeaving(server id.BackendServer) bool
	// Evacuated reports whether the operator has evacuated the availability zone of a listed server.
	Evacuated(server id.BackendServer) bool
	// ListAge returns the time since the list was last known to be up to date.
	ListAge() time.Duration
}

// ServerDependencies are the components that a Server uses.
type ServerDependencies struct {
	Clock timer.Clock
	// Direct sends on the host's own connections.
	Direct forward.Sender
	Links  *Links
	Fleet  Fleet
	// Accepts reports whether the host accepts new requests.
	Accepts func() bool
	// OwnRequests returns the number of requests of the host's own clients in progress.
	OwnRequests func() int64
	// ProcessorShare is the number of processor cores that the host may use; 0 if it is unknown.
	ProcessorShare float64
	Metrics        tally.Scope
	Logger         *slog.Logger
}

// Server makes calls to backend servers on behalf of other hosts. It has only a direct sender. It is safe for concurrent
// use.
type Server struct {
	clock       timer.Clock
	direct      *directSender
	links       *Links
	fleet       Fleet
	accepts     func() bool
	ownRequests func() int64
	maxCalls    int64
	metrics     tally.Scope
	logger      *slog.Logger

	inFlight atomic.Int64
}

// NewServer returns a Server that uses the given components.
func NewServer(deps ServerDependencies) *Server {
	cores := deps.ProcessorShare
	if cores <= 0 {
		cores = 1
	}
	return &Server{
		clock:       deps.Clock,
		direct:      &directSender{sender: deps.Direct, links: deps.Links, clock: deps.Clock},
		links:       deps.Links,
		fleet:       deps.Fleet,
		accepts:     deps.Accepts,
		ownRequests: deps.OwnRequests,
		maxCalls:    max(minCalls, int64(callsPerCore*cores)),
		metrics:     deps.Metrics,
		logger:      deps.Logger,
	}
}

// InFlight returns the number of calls for other hosts that are in progress.
func (sv *Server) InFlight() int64 { return sv.inFlight.Load() }

// Handle makes a call for another host that arrived at receivedAt. Its errors are a *Failure. The caller must close the
// body of a response.
func (sv *Server) Handle(ctx context.Context, call Call, receivedAt time.Time) (Answer, error) {
	sv.inFlight.Add(1)
	end := sync.OnceFunc(func() { sv.inFlight.Add(-1) })
	answer, err := sv.handle(ctx, call, receivedAt)
	result := "answered"
	if err != nil {
		result = string(asFailure(err).Reason)
	}
	sv.metrics.Tagged(map[string]string{"kind": string(call.Kind), "result": result}).Counter("relayed_in").Inc(1)
	if call.Kind == Send {
		sv.logger.Info("attempt sent for a peer", "request", call.Attempt.ID, "server", string(call.Attempt.Server), "address", call.Address, "peer", string(call.From), "result", result,
			"status", answer.Response.Status, "detail", errorText(err), "took_ms", sv.clock.Now().Sub(receivedAt).Milliseconds())
	}
	if err != nil || answer.Response.Body == nil {
		end()
		return answer, err
	}
	answer.Response.Body = &endingBody{ReadCloser: answer.Response.Body, end: end}
	return answer, nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (sv *Server) handle(ctx context.Context, call Call, receivedAt time.Time) (Answer, error) {
	if failure := sv.refuse(call); failure != nil {
		return Answer{}, failure
	}
	passed := sv.clock.Now().Sub(receivedAt)
	cancel := func() {}
	if call.Timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, max(0, call.Timeout-passed))
	}
	if call.Kind == Send {
		return sv.send(ctx, cancel, call, passed)
	}
	defer cancel()
	switch call.Kind {
	case ProbeHTTP:
		return sv.probe(ctx, call, sv.direct.probeHTTP), nil
	case ProbeConnection:
		return sv.probe(ctx, call, sv.direct.probeConnection), nil
	case Reserve:
		granted, err := sv.direct.reserve(ctx, call.part(), call.TTL)
		return Answer{Granted: granted}, sv.describe(ctx, call, err)
	case Release:
		return Answer{}, sv.describe(ctx, call, sv.direct.release(ctx, call.part()))
	default:
		return Answer{}, &Failure{Reason: Unsupported, NotSent: true, Detail: "unknown kind of call"}
	}
}

// refuse returns the failure of a call that this host does not take, or nil. Orders that free memory are always taken. Memory
// is also reserved on evacuated engines, because that may renew the reservation of a running request.
func (sv *Server) refuse(call Call) *Failure {
	refusal := func(reason Reason, detail string) *Failure {
		return &Failure{Reason: reason, NotSent: true, Detail: detail}
	}
	server := call.Attempt.Server
	isProbe := call.Kind == ProbeHTTP || call.Kind == ProbeConnection
	switch {
	case sv.links.CutOff(), sv.links.outageTotal(true):
		return refusal(PeerCutOff, "the peer is cut off from the servers")
	case !isProbe && sv.links.Way(call.Address) != reachability.Direct:
		return refusal(NoDirectWay, "the peer has no direct way to the server")
	case call.Kind == Release:
	case !sv.accepts():
		return refusal(PeerLeaving, "the peer is leaving")
	case sv.inFlight.Load() > sv.maxCalls || sv.inFlight.Load()+sv.ownRequests() > 2*sv.maxCalls:
		return refusal(Busy, "the peer runs too many requests")
	case call.Kind != Send:
	case sv.fleet.AnnouncedLeaving(server), sv.fleet.ListedAsLeaving(server) && sv.fleet.ListAge() <= maxListAge:
		return refusal(ServerLeaving, "the server is leaving")
	case sv.isEvacuated(call.Attempt):
		return refusal(ServerEvacuated, "the server or an engine that helps it is evacuated")
	}
	return nil
}

// isEvacuated reports whether the server of an attempt or an engine that is to help it is evacuated.
func (sv *Server) isEvacuated(attempt forward.Attempt) bool {
	return sv.fleet.Evacuated(attempt.Server) || slices.ContainsFunc(attempt.Helpers, func(part batch.Part) bool {
		return sv.fleet.Evacuated(id.BackendServer(part.Engine))
	})
}

// send sends an attempt once. The deadline that is sent to the server accounts for the time that passed here.
func (sv *Server) send(ctx context.Context, cancel func(), call Call, passed time.Duration) (Answer, error) {
	attempt := call.Attempt
	attempt.Remaining -= passed
	response, err := sv.direct.send(ctx, attempt)
	if err != nil {
		defer cancel()
		return Answer{}, sv.describe(ctx, call, err)
	}
	response.Body = &cancellingBody{ReadCloser: response.Body, cancel: cancel}
	return Answer{Response: response}, nil
}

// describe returns the failure of a call that ended with an error, or nil.
func (sv *Server) describe(ctx context.Context, call Call, err error) error {
	if err == nil {
		return nil
	}
	failure := &Failure{
		Reason: ExchangeFailed, NotSent: errors.Is(err, forward.ErrNotSent), ConnectionRefused: errors.Is(err, forward.ErrConnectionRefused),
		Stale: errors.Is(err, forward.ErrStaleConnection), Detail: err.Error(),
	}
	if failure.NotSent {
		failure.Reason = ServerUnreachable
		ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
		defer cancel()
		failure.ReachesOther = sv.reachesOther(ctx, call.Address)
	}
	return failure
}

// probe probes a server. If the server does not respond, or not at once, it also finds out whether this host reaches some
// other server. An earlier success does not count, because this host may have lost its links since, together with the
// entry host.
func (sv *Server) probe(ctx context.Context, call Call, probeDirectly func(context.Context, string) forward.ProbeResult) Answer {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerMargin))
		defer cancel()
	}
	result := make(chan forward.ProbeResult, 1)
	tasks.Go(func() { result <- probeDirectly(ctx, call.Address) })
	delayed, subscription := timer.Wait(sv.clock, witnessDelay)
	defer subscription.Stop()
	select {
	case found := <-result:
		return Answer{Probe: found, ReachesOther: found == forward.Reachable || sv.reachesOther(ctx, call.Address)}
	case <-delayed:
		reachesOther := sv.reachesOther(ctx, call.Address)
		found := <-result
		return Answer{Probe: found, ReachesOther: reachesOther || found == forward.Reachable}
	}
}

// reachesOther reports whether this host can open a connection now to a server other than the one at an address.
func (sv *Server) reachesOther(ctx context.Context, address string) bool {
	return sv.direct.connectsToAny(ctx, sv.links.otherServers(address, witnessDials, false))
}

// cancellingBody is a body whose context ends when it is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body and ends its context.
func (cb *cancellingBody) Close() error {
	err := cb.ReadCloser.Close()
	cb.cancel()
	return err
}
