package site

import (
	"context"
	"time"

	"github.com/hibiscuslever/hibiscuslever/timer"
)

// Parts of the time that a host has to stop.
const (
	// acceptShare is the part during which new requests are taken from clients that still hold the host's address.
	acceptShare = 0.4
	// abortShare is the part after which the host answers what it can't finish.
	abortShare = 0.92
	// leaveShare is the part after which the host ends what is left.
	leaveShare = 0.96
)

// shutDown leaves the advertised addresses, serves clients that still hold the old answer, finishes all requests in
// flight and returns. Requests that still wait for a place when no new ones are taken are refused.
func (ht *Host) shutDown(ctx context.Context) {
	const lookPeriod = 20 * time.Millisecond
	started := ht.clock.Now()
	grace := ht.settings.Operators.ShutdownTimeout
	ht.logger.Info("host is leaving", "in_flight", ht.front.InFlight(), "grace_ms", grace.Milliseconds())
	ht.mutex.Lock()
	ht.leaving = true
	ht.mutex.Unlock()
	ht.front.DisableKeepAlives()
	if len(ht.gossip.OtherHosts()) > 0 {
		ht.broker.Leave()
	}
	go ht.gossip.Leave(ctx)
	accept := time.Duration(acceptShare * float64(grace))
	timer.Sleep(ctx, ht.clock, accept)
	ht.front.RefuseNewRequests()
	ht.runner.RejectWaiting()
	part := func(share float64) time.Time { return started.Add(time.Duration(share * float64(grace))) }
	aborted := false
	for ht.front.InFlight() > 0 && ht.clock.Now().Before(part(leaveShare)) {
		if !aborted && !ht.clock.Now().Before(part(abortShare)) {
			aborted = true
			ht.logger.Warn("host can't finish all requests", "in_flight", ht.front.InFlight())
			ht.runner.Abort()
		}
		if !timer.Sleep(ctx, ht.clock, lookPeriod) {
			return
		}
	}
	ht.logger.Info("host has finished its requests", "in_flight", ht.front.InFlight(), "took_ms", ht.clock.Now().Sub(started).Milliseconds())
}
