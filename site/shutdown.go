package site

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// maxAcceptTime is the longest time during which a leaving host still accepts new requests. A host that accepted them for
// longer would have to abort those that take as long as a client waits.
const maxAcceptTime = 2500 * time.Millisecond

// Parts of the shutdown timeout.
const (
	// acceptShare is the part during which the host still accepts new requests, from clients that have cached its address,
	// up to maxAcceptTime.
	acceptShare = 0.3
	// abortShare is the part after which the host aborts the requests that it can't finish, so that their clients still
	// get a response.
	abortShare = 0.92
	// exitShare is the part after which the host no longer waits for requests in flight.
	exitShare = 0.96
	// closeShare is the part after which the host closes connections on which the end of a response is still being sent.
	closeShare = 0.98
)

// inFlight returns the number of requests in progress: those of clients, and those sent on behalf of peers.
func (ht *Host) inFlight() int64 { return ht.clientHandler.InFlight() + ht.relayServer.InFlight() }

// acceptTime returns how long a leaving host accepts new requests if it has the given time to stop.
func acceptTime(grace time.Duration) time.Duration {
	return min(maxAcceptTime, time.Duration(acceptShare*float64(grace)))
}

// shutDown withdraws the host from the addresses that clients are given, continues to serve clients that have cached
// its address for a while, and ends when all requests in flight have finished or the time is over. Requests that
// still wait for a grant when the host stops accepting new ones are refused; they have not run. It returns how long the
// ends of responses may still be sent.
func (ht *Host) shutDown(ctx context.Context) time.Duration {
	const pollInterval = 20 * time.Millisecond
	startedLeavingAt := ht.clock.Now()
	grace := ht.settings.Operators.ShutdownTimeout
	ht.logger.Info("host is leaving", "in_flight", ht.inFlight(), "grace_ms", grace.Milliseconds())
	ht.mutex.Lock()
	ht.leaving = true
	ht.mutex.Unlock()
	ht.clientHandler.DisableKeepAlives()
	if len(ht.gossip.OtherHosts()) > 0 {
		ht.grantServer.Leave()
	}
	go ht.gossip.Leave(ctx)
	timer.Sleep(ctx, ht.clock, acceptTime(grace))
	ht.clientHandler.RefuseNewRequests()
	ht.forwarder.RejectWaiting()
	graceShareEnd := func(share float64) time.Time { return startedLeavingAt.Add(time.Duration(share * float64(grace))) }
	aborted := false
	for ht.inFlight() > 0 && ht.clock.Now().Before(graceShareEnd(exitShare)) {
		if !aborted && !ht.clock.Now().Before(graceShareEnd(abortShare)) {
			aborted = true
			ht.logger.Warn("host aborts the requests that it can't finish in time", "in_flight", ht.inFlight())
			ht.forwarder.Abort()
		}
		if !timer.Sleep(ctx, ht.clock, pollInterval) {
			break
		}
	}
	ht.logger.Info("host has finished its requests", "in_flight", ht.inFlight(), "took_ms", ht.clock.Now().Sub(startedLeavingAt).Milliseconds())
	return graceShareEnd(closeShare).Sub(ht.clock.Now())
}
