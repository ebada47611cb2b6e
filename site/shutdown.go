package site

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/lifecycle"
	"github.com/hibiscuslever/hibiscuslever/tasks"
	"github.com/hibiscuslever/hibiscuslever/timer"
)

// inFlight returns the number of requests in progress: those of clients, and those sent on behalf of peers.
func (ht *Host) inFlight() int64 { return ht.clientHandler.InFlight() + ht.relayServer.InFlight() }

// shutDown withdraws the host from the addresses that clients are given, continues to serve clients that have cached
// its address for a while, and ends when all requests in flight have finished or the time is over. Requests that no
// server may have run when the host stops accepting new ones are refused. It returns how long the ends of responses may
// still be sent. The cause says what asked for the shutdown.
func (ht *Host) shutDown(ctx context.Context, cause error) time.Duration {
	drain := lifecycle.Drain{
		Clock:     ht.clock,
		Logger:    ht.logger,
		Grace:     lifecycle.Grace(ht.settings.Operators.ShutdownTimeout),
		StartedAt: ht.clock.Now(),
		InFlight:  ht.inFlight,
		Abort:     ht.forwarder.Abort,
		CutOff:    ht.forwarder.CutOff,
	}
	ht.logger.Info("host is leaving", "cause", cause.Error(), "in_flight", ht.inFlight(), "grace_ms", time.Duration(drain.Grace).Milliseconds())
	ht.mutex.Lock()
	ht.leaving = true
	ht.mutex.Unlock()
	ht.clientHandler.DisableKeepAlives()
	// These lock mutexes that a goroutine may have left locked when it panicked.
	tasks.Go(func() {
		if len(ht.gossip.OtherHosts()) > 0 {
			ht.grantServer.Leave()
		}
		ht.gossip.Leave(ctx)
	})
	timer.Sleep(ctx, ht.clock, drain.Grace.AcceptTime())
	ht.clientHandler.RefuseNewRequests()
	ht.forwarder.RejectWaiting()
	return drain.Wait(ctx)
}
