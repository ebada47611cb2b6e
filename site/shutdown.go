package site

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// inFlight returns the number of requests in progress: those of clients, and those sent on behalf of peers.
func (ht *Host) inFlight() int64 { return ht.clientHandler.InFlight() + ht.relayServer.InFlight() }

// shutDown withdraws the host from the addresses that clients are given, continues to serve clients that have cached
// its address for a while, and ends when all requests in flight have finished or the time is over. Requests that no
// server may have run when the host stops accepting new ones are refused. It returns how long the ends of responses may
// still be sent. The cause says what asked for the shutdown.
func (ht *Host) shutDown(ctx context.Context, cause error) time.Duration {
	const pollInterval = 20 * time.Millisecond
	startedLeavingAt := ht.clock.Now()
	grace := lifecycle.Grace(ht.settings.Operators.ShutdownTimeout)
	ht.logger.Info("host is leaving", "cause", cause.Error(), "in_flight", ht.inFlight(), "grace_ms", time.Duration(grace).Milliseconds())
	ht.mutex.Lock()
	ht.leaving = true
	ht.mutex.Unlock()
	ht.clientHandler.DisableKeepAlives()
	if len(ht.gossip.OtherHosts()) > 0 {
		ht.grantServer.Leave()
	}
	go ht.gossip.Leave(ctx)
	timer.Sleep(ctx, ht.clock, grace.AcceptTime())
	ht.clientHandler.RefuseNewRequests()
	ht.forwarder.RejectWaiting()
	elapsed := func() time.Duration { return ht.clock.Now().Sub(startedLeavingAt) }
	aborted := false
	for ht.inFlight() > 0 && elapsed() < grace.ExitTime() {
		if !aborted && elapsed() >= grace.AbortTime() {
			aborted = true
			ht.logger.Warn("host aborts the requests that it can't finish in time", "in_flight", ht.inFlight())
			ht.forwarder.Abort()
		}
		if !timer.Sleep(ctx, ht.clock, pollInterval) {
			break
		}
	}
	ht.logger.Info("host has finished its requests", "in_flight", ht.inFlight(), "took_ms", elapsed().Milliseconds())
	return grace.CloseTime() - elapsed()
}
