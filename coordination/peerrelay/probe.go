package peerrelay

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/coordination/forward"
	"github.com/hibiscuslever/hibiscuslever/coordination/reachability"
	"github.com/hibiscuslever/hibiscuslever/tasks"
)

const (
	// hedgeDelay is how long a direct probe runs before a peer is asked too.
	hedgeDelay = 60 * time.Millisecond
	// directGrace is how long a direct probe may take although a peer has already reached the server.
	directGrace = 150 * time.Millisecond
)

// ProbeConnection opens a connection to the server at an address and reports how that went, directly or, if that fails
// or takes long, through a peer.
func (sd *Sender) ProbeConnection(ctx context.Context, address string) forward.ProbeResult {
	return sd.probe(ctx, ProbeConnection, address, sd.direct.probeConnection)
}

// ProbeHTTP sends an HTTP request to the engine at an address and reports how that went, directly or, if that fails or
// takes long, through a peer.
func (sd *Sender) ProbeHTTP(ctx context.Context, address string) forward.ProbeResult {
	return sd.probe(ctx, ProbeHTTP, address, sd.direct.probeHTTP)
}

// probe probes the server at an address directly and, if that fails or takes longer than hedgeDelay, through a peer.
func (sd *Sender) probe(ctx context.Context, kind Kind, address string, probeDirectly func(context.Context, string) forward.ProbeResult) forward.ProbeResult {
	if !sd.peers.any() {
		return probeDirectly(ctx, address)
	}
	if sd.links.Way(address) != reachability.Direct {
		return sd.probeThroughPeers(ctx, kind, address)
	}
	startedAt := sd.clock.Now()
	directCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	directResult := make(chan forward.ProbeResult, 1)
	tasks.Go(func() { directResult <- probeDirectly(directCtx, address) })
	hedged, hedge := timerChannel(sd, hedgeDelay)
	defer hedge()
	direct := forward.ProbeResult(0)
	select {
	case direct = <-directResult:
		if direct == forward.Reachable {
			return direct
		}
	case <-hedged:
	}
	peerResult := make(chan forward.ProbeResult, 1)
	tasks.Go(func() { peerResult <- sd.probeThroughPeers(ctx, kind, address) })
	var throughPeer forward.ProbeResult
	if direct == 0 {
		select {
		case direct = <-directResult:
			if direct == forward.Reachable {
				return direct
			}
		case throughPeer = <-peerResult:
			grace := ctx.Done()
			if throughPeer == forward.ReachableThroughPeer {
				passed, stop := timerChannel(sd, directGrace-sd.clock.Now().Sub(startedAt))
				defer stop()
				grace = passed
			}
			select {
			case direct = <-directResult:
			case <-grace:
			}
			if direct == forward.Reachable {
				return direct
			}
		}
	}
	if throughPeer == 0 {
		throughPeer = <-peerResult
	}
	if throughPeer == forward.ReachableThroughPeer && direct == forward.ConnectionRefused && sd.hasRestarted(ctx, address) {
		return forward.ConnectionRefused
	}
	if throughPeer == forward.ReachableThroughPeer {
		if direct != forward.ConnectionRefused {
			// A channel that hangs while a peer reaches the server counts as a lost link.
			sd.links.recordDirect(address, reachability.TimedOut)
		}
		sd.links.recordThroughPeer(address, true)
	}
	return throughPeer
}

// hasRestarted reports whether the server at an address, which refused a connection before, accepts one now. The link
// works then, and the server has started again, so that none of its idle connections is of use.
func (sd *Sender) hasRestarted(ctx context.Context, address string) bool {
	if sd.direct.probeConnection(ctx, address) != forward.Reachable {
		return false
	}
	sd.links.idle.DropIdle(address)
	return true
}

// probeThroughPeers has peers probe the server at an address until one reaches it or, although it reaches some other
// server, does not.
func (sd *Sender) probeThroughPeers(ctx context.Context, kind Kind, address string) forward.ProbeResult {
	answer, peer, err := sd.callThroughPeers(ctx, sd.newCall(ctx, kind, address))
	result := answer.Probe
	switch {
	case err != nil:
		result = forward.Undetermined
	case result == forward.Reachable:
		result = forward.ReachableThroughPeer
	}
	sd.logger.Info("backend server probed through a peer", "address", address, "kind", string(kind), "peer", string(peer), "health", result.String(), "detail", errorText(err))
	return result
}
