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
	// get a response. A host with little time aborts them earlier, but not before earliestAbortShare, because servers may
	// answer until then.
	abortShare         = 0.92
	earliestAbortShare = 0.84
	// exitShare is the part after which the host no longer waits for requests in flight.
	exitShare = 0.96
	// closeShare is the part after which the host closes connections on which the end of a response is still being sent.
	closeShare = 0.98
)

const (
	// minAnswerTime is the time in which clients of aborted requests get their responses, if the shutdown timeout is long
	// enough. A host without a shutdown timeout takes it nevertheless.
	minAnswerTime = 250 * time.Millisecond
	// closeDelay is how long after minAnswerTime a host without a shutdown timeout closes its connections.
	closeDelay = 50 * time.Millisecond
)

// inFlight returns the number of requests in progress: those of clients, and those sent on behalf of peers.
func (ht *Host) inFlight() int64 { return ht.clientHandler.InFlight() + ht.relayServer.InFlight() }

// acceptTime returns how long a leaving host accepts new requests if it has the given time to stop.
func acceptTime(grace time.Duration) time.Duration {
	return min(maxAcceptTime, share(acceptShare, grace))
}

// share returns a part of the time that a host has to stop.
func share(part float64, grace time.Duration) time.Duration {
	return time.Duration(part * float64(grace))
}

// abortTime returns after what time a leaving host aborts the requests that it can't finish.
func abortTime(grace time.Duration) time.Duration {
	if grace <= 0 {
		return 0
	}
	return min(share(abortShare, grace), max(share(earliestAbortShare, grace), exitTime(grace)-minAnswerTime))
}

// exitTime returns after what time a leaving host no longer waits for requests in flight.
func exitTime(grace time.Duration) time.Duration {
	if grace <= 0 {
		return minAnswerTime
	}
	return share(exitShare, grace)
}

// closeTime returns after what time a leaving host closes its connections whatever is sent on them.
func closeTime(grace time.Duration) time.Duration {
	if grace <= 0 {
		return minAnswerTime + closeDelay
	}
	return share(closeShare, grace)
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
	elapsed := func() time.Duration { return ht.clock.Now().Sub(startedLeavingAt) }
	aborted := false
	for ht.inFlight() > 0 && elapsed() < exitTime(grace) {
		if !aborted && elapsed() >= abortTime(grace) {
			aborted = true
			ht.logger.Warn("host aborts the requests that it can't finish in time", "in_flight", ht.inFlight())
			ht.forwarder.Abort()
		}
		if !timer.Sleep(ctx, ht.clock, pollInterval) {
			break
		}
	}
	ht.logger.Info("host has finished its requests", "in_flight", ht.inFlight(), "took_ms", elapsed().Milliseconds())
	return closeTime(grace) - elapsed()
}
