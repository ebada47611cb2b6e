package peerrelay

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hibiscuslever/hibiscuslever/coordination/batch"
	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/membership"
	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
	"github.com/hibiscuslever/hibiscuslever/state/id"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// maxPeersPerCall bounds the peers that are asked to make one call.
const maxPeersPerCall = 3

// maxAskTime is the time since a call was first passed to a peer after which no further peer is asked.
const maxAskTime = 600 * time.Millisecond

// ownZoneDoubt is how long after this host has lost its first link the peers of its own zone are asked last: they may have
// lost theirs at the same moment, and need some time to notice and spread it.
const ownZoneDoubt = time.Second

const (
	// inTransitTime is the time after the start of a dial within which what arrives may have been sent before.
	inTransitTime = 50 * time.Millisecond
	// linkCheckDials is the number of other servers that are dialled after a refused connection, linkCheckTimeout the time that
	// this may take.
	linkCheckDials   = 2
	linkCheckTimeout = 100 * time.Millisecond
	// confirmationTimeout bounds the probe by which a peer confirms that a server has failed.
	confirmationTimeout = 200 * time.Millisecond
)

// Dependencies are the components that a Sender uses.
type Dependencies struct {
	Host             id.Host
	AvailabilityZone id.AvailabilityZone
	Clock            timer.Clock
	// Direct sends on the host's own connections.
	Direct    forward.Sender
	Links     *Links
	Members   Members
	Transport Transport
	Metrics   tally.Scope
	Logger    *slog.Logger
	Tracer    trace.Tracer
	// Seed determines the choice among peers.
	Seed uint64
}

// Sender sends requests to backend servers directly, or through a peer where this host has lost its own link. It
// implements forward.Sender and is safe for concurrent use.
type Sender struct {
	host      id.Host
	clock     timer.Clock
	direct    *directSender
	links     *Links
	peers     *peers
	transport Transport
	metrics   tally.Scope
	logger    *slog.Logger
	tracer    trace.Tracer
	// probes are the probes in progress that Run waits for.
	probes tasks.Group
	// outageLogged says that the log says that no server can be reached.
	outageLogged atomic.Bool
}

// NewSender returns a Sender that uses the given components.
func NewSender(deps Dependencies) *Sender {
	return &Sender{
		host:      deps.Host,
		clock:     deps.Clock,
		direct:    &directSender{sender: deps.Direct, links: deps.Links, clock: deps.Clock},
		links:     deps.Links,
		peers:     newPeers(deps.Members, deps.AvailabilityZone, deps.Clock, deps.Seed),
		transport: deps.Transport,
		metrics:   deps.Metrics,
		logger:    deps.Logger,
		tracer:    deps.Tracer,
	}
}

// LearnCutOff takes another host's fact that it is cut off from the backend servers, or no longer is.
func (sd *Sender) LearnCutOff(fact membership.Fact) { sd.peers.learnCutOff(fact) }

// CutOffHosts returns the names of the other hosts that are cut off from the backend servers, in order.
func (sd *Sender) CutOffHosts() []id.Host { return sd.peers.cutOffHosts() }

// Send sends the request of an attempt and returns the head of the response. A request that was not sent directly goes
// through a peer. A request that may have been sent is never sent again.
func (sd *Sender) Send(ctx context.Context, attempt forward.Attempt) (forward.Response, error) {
	startedAt := sd.clock.Now()
	way, newConnection := sd.links.plan(attempt.Address)
	reason := way.String()
	if way == reachability.Direct || way == reachability.KeptConnections && !attempt.NewConnection {
		directAttempt := attempt
		directAttempt.KeptConnection = way == reachability.KeptConnections
		directAttempt.NewConnection = attempt.NewConnection || newConnection
		response, err := sd.direct.send(ctx, directAttempt)
		if err == nil || !errors.Is(err, forward.ErrNotSent) || ctx.Err() != nil || !sd.peers.any() {
			return response, err
		}
		if way == reachability.Direct && sd.reachesOthers(ctx, attempt.Address, startedAt, err) {
			if !sd.peerConfirms(ctx, attempt.Address) {
				err = errors.Join(forward.ErrUndetermined, err)
			}
			return response, err
		}
		reason = err.Error()
		// The server may have failed, and idle connections of the peer with it.
		attempt.NewConnection = attempt.NewConnection || way == reachability.Direct
	}
	attempt.Remaining -= sd.clock.Now().Sub(startedAt)
	ctx, span := sd.tracer.Start(ctx, "peer.relay", trace.WithAttributes(attribute.String("server", string(attempt.Server))))
	defer span.End()
	call := sd.newCall(ctx, Send, attempt.Address)
	call.Attempt = attempt
	answer, peer, err := sd.callThroughPeers(ctx, call)
	result := "answered"
	if err != nil {
		result = err.Error()
	}
	span.SetAttributes(attribute.String("peer", string(peer)))
	sd.logger.Info("attempt relayed", "request", attempt.ID, "server", string(attempt.Server), "address", attempt.Address, "peer", string(peer), "way", way.String(), "reason", reason,
		"result", result, "took_ms", sd.clock.Now().Sub(startedAt).Milliseconds())
	return answer.Response, err
}

// reachesOthers reports whether this host's links to other servers of the service work, although it could not connect to the
// one at an address since startedAt. It is then better to choose another server than to ask a peer. If the connection was
// refused, another server must accept one; if it timed out, it suffices that something has arrived from another one since.
func (sd *Sender) reachesOthers(ctx context.Context, address string, startedAt time.Time, err error) bool {
	if !errors.Is(err, forward.ErrConnectionRefused) {
		return sd.links.signSince(address, startedAt.Add(inTransitTime))
	}
	ctx, cancel := context.WithTimeout(ctx, linkCheckTimeout)
	defer cancel()
	return sd.direct.connectsToAny(ctx, sd.links.otherServers(address, linkCheckDials, true))
}

// peerConfirms reports whether a peer that reaches other servers does not reach the one at an address either. Without that
// the failure may be one of this host's own link, which may also have been lost or have come back during the dial.
func (sd *Sender) peerConfirms(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	result := sd.probeThroughPeers(ctx, ProbeConnection, address)
	return result == forward.ConnectionRefused || result == forward.Unresponsive
}

// newCall returns a call of this host with the time that is left until the end of the context.
func (sd *Sender) newCall(ctx context.Context, kind Kind, address string) Call {
	call := Call{Kind: kind, From: sd.host, Address: address}
	if deadline, ok := ctx.Deadline(); ok {
		call.Timeout = deadline.Sub(sd.clock.Now())
	}
	return call
}

// callThroughPeers has a peer make a call, and returns the peer. If the peer does not take the call, or its answer says
// nothing about the server, it asks another one. It asks no other one if the call may have been sent, or if a peer that
// reaches other servers did not reach this one, or once the request of an attempt must not be sent any more.
func (sd *Sender) callThroughPeers(ctx context.Context, call Call) (Answer, id.Host, error) {
	var tried []id.Host
	var cutOffZones []id.AvailabilityZone
	if !sd.links.lostFor(ownZoneDoubt) {
		cutOffZones = append(cutOffZones, sd.peers.zone)
	}
	failure := &Failure{Reason: PeerUnreachable, NotSent: true, Detail: errNoPeer}
	zone := sd.links.zone(call.Address)
	startedAt := sd.clock.Now()
	for len(tried) < maxPeersPerCall && ctx.Err() == nil && sd.clock.Now().Sub(startedAt) < maxAskTime && mayBegin(call) {
		peer, end, ok := sd.peers.choose(zone, tried, cutOffZones)
		if !ok {
			break
		}
		tried = append(tried, peer.Host)
		answer, err := sd.transport.Relay(ctx, peer, call.after(sd.clock.Now().Sub(startedAt)))
		if err == nil && call.Kind == Send {
			answer.Response.Body = &endingBody{ReadCloser: answer.Response.Body, end: end}
		} else {
			end()
		}
		if err == nil && sd.recordAnswer(call, answer) {
			sd.countRelayed(call.Kind, "answered")
			return answer, peer.Host, nil
		}
		if err == nil {
			err = &Failure{Reason: PeerCutOff, NotSent: true, Detail: "the peer reaches no server"}
		}
		failure = asFailure(err)
		sd.countRelayed(call.Kind, string(failure.Reason))
		switch {
		case !failure.NotSent, failure.Reason == ServerLeaving, failure.Reason == ServerEvacuated, ctx.Err() != nil:
			return Answer{}, peer.Host, failure
		case failure.Reason == ServerUnreachable && failure.ReachesOther:
			sd.links.recordThroughPeer(call.Address, false)
			return Answer{}, peer.Host, failure
		case failure.Reason == PeerCutOff, failure.Reason == ServerUnreachable:
			// The peer reaches no server, and others in its zone may have lost their links with it.
			cutOffZones = append(cutOffZones, peer.AvailabilityZone)
		}
		if failure.Reason != NoDirectWay && failure.Reason != Malformed {
			sd.peers.backOff(peer.Host, failure.Reason)
		}
	}
	// A call that ended before a peer was asked says nothing of the peers.
	callGoesOn := ctx.Err() == nil && mayBegin(call)
	if (len(tried) > 0 || callGoesOn) && saysPeersUnable(failure) {
		sd.links.recordPeersUnable()
	}
	var last id.Host
	if len(tried) > 0 {
		last = tried[len(tried)-1]
	}
	return Answer{}, last, failure
}

// mayBegin reports whether a call may still be passed to a peer.
func mayBegin(call Call) bool {
	return call.Attempt.MayBegin == nil || call.Attempt.MayBegin()
}

// recordAnswer records whether a peer reached the server of a call, and reports whether it did or reaches another one. The
// answer of a peer that reaches no server does not count.
func (sd *Sender) recordAnswer(call Call, answer Answer) bool {
	reached := answer.Probe == 0 || answer.Probe == forward.Reachable
	if !reached && !answer.ReachesOther {
		return false
	}
	sd.links.recordThroughPeer(call.Address, reached)
	return true
}

func (sd *Sender) countRelayed(kind Kind, result string) {
	sd.metrics.Tagged(map[string]string{"kind": string(kind), "result": result}).Counter("relayed_out").Inc(1)
}

// Reserve reserves the memory of a part on its engine for ttl, directly or through a peer.
func (sd *Sender) Reserve(ctx context.Context, part batch.Part, ttl time.Duration) (bool, error) {
	if sd.links.Way(part.Address) == reachability.Direct {
		granted, err := sd.direct.reserve(ctx, part, ttl)
		if !sd.mayUsePeer(ctx, err) {
			return granted, err
		}
	}
	call := sd.newCall(ctx, Reserve, part.Address)
	call.Engine, call.Ticket, call.Tokens, call.TTL = part.Engine, part.Ticket, part.MemoryTokens, ttl
	answer, _, err := sd.callThroughPeers(ctx, call)
	return answer.Granted, err
}

// Release releases the memory that is reserved for a part, directly or through a peer.
func (sd *Sender) Release(ctx context.Context, part batch.Part) error {
	if sd.links.Way(part.Address) == reachability.Direct {
		if err := sd.direct.release(ctx, part); !sd.mayUsePeer(ctx, err) {
			return err
		}
	}
	call := sd.newCall(ctx, Release, part.Address)
	call.Engine, call.Ticket = part.Engine, part.Ticket
	_, _, err := sd.callThroughPeers(ctx, call)
	return err
}

// mayUsePeer reports whether a call that ended directly with an error may be made through a peer.
func (sd *Sender) mayUsePeer(ctx context.Context, err error) bool {
	return errors.Is(err, forward.ErrNotSent) && ctx.Err() == nil && sd.peers.any()
}

// endingBody is the body of a response that arrives through a peer.
type endingBody struct {
	io.ReadCloser
	// end ends the call.
	end func()
}

// Close ends the call.
func (eb *endingBody) Close() error {
	eb.end()
	return eb.ReadCloser.Close()
}
